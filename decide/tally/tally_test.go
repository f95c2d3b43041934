package tally

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowbarrow/decide/member"
)

// TestMain gives the property tests the same seed in each run; -rapid.seed looks further.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var open = Key{1, ""}

const second = time.Second

func nameOf(n int) member.Name { return member.Name(fmt.Sprint("i", n)) }

// TestSum: two instances, one answer, a restart, and what is old.
func TestSum(t *testing.T) {
	a, b := New("a", 1, 10), New("b", 1, 10)
	a.Set(open, 3)
	b.Set(open, 4)
	there := []member.Name{"b", "c"}
	// Unasked: the figure is known, its age is not.
	a.Unpack(10*second, "b", 1, -1, b.Pack(0, "a", 400))
	if s := a.Sum(10*second, open, 5*second, there, 100); s != (Sum{Least: 3, Most: 203, Fresh: 1, Unknown: 2}) {
		t.Errorf("%+v", s)
	}
	// The same in an answer to a question of half a second ago.
	a.Unpack(11*second, "b", 1, second/2, b.Pack(second, "a", 400))
	if s := a.Sum(12*second, open, 5*second, there, 100); s != (Sum{Least: 7, Most: 107, Oldest: 3 * second / 2, Fresh: 2, Unknown: 1}) {
		t.Errorf("%+v", s)
	}
	if s := a.Sum(20*second, open, 5*second, there, 100); s.Least != 3 || s.Unknown != 2 {
		t.Errorf("old words count: %+v", s)
	}
	// A new life counts in place of the old one, and the old one never again.
	late := b.Pack(0, "a", 400)
	again := New("b", 2, 10)
	again.Set(open, 1)
	a.Unpack(21*second, "b", 2, 0, again.Pack(0, "a", 400))
	a.Unpack(21*second, "b", 1, 0, late)
	if s := a.Sum(21*second, open, 5*second, there, 0); s.Least != 4 {
		t.Errorf("%+v", s)
	}
}

// TestOnwards: c hears of b by a alone, with ages that add up.
func TestOnwards(t *testing.T) {
	a, b, c := New("a", 1, 10), New("b", 1, 10), New("c", 1, 10)
	b.Set(open, 4)
	a.Unpack(100*second, "b", 1, second, b.Pack(0, "a", 400))
	c.Unpack(7*second, "a", 1, second, a.Pack(102*second, "c", 400))
	s := c.Sum(8*second, open, 10*second, []member.Name{"a", "b"}, 0)
	if s.Least != 4 || s.Fresh != 3 || s.Oldest != 5*second { // 1 at a, 2 on a, 1 on the way, 1 at c
		t.Errorf("%+v", s)
	}
}

// TestAnyOrder: messages between instances that set figures, restart and talk, lost, doubled and in any order: nobody holds
// an older figure of another than it had before, none of an earlier life, and none for newer than it is.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		many := rapid.IntRange(2, 5).Draw(t, "instances")
		type sent struct {
			to   int
			from member.Name
			life member.Life
			at   time.Duration // asked for then
			data []byte
		}
		all, said := make([]*Tally, many), make([]map[string]time.Duration, many) // by life and version: when it was last true
		lives := make([]member.Life, many)
		for n := range all {
			lives[n], said[n] = 1, map[string]time.Duration{}
			all[n] = New(nameOf(n), 1, 10)
		}
		var way []sent
		now := time.Hour
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, many-1).Draw(t, "who")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				all[n].Set(open, Value(rapid.IntRange(0, 50).Draw(t, "value")))
			case 1:
				lives[n]++
				all[n] = New(nameOf(n), lives[n], 10)
			case 2, 3:
				asked := now - time.Duration(rapid.IntRange(0, 300).Draw(t, "asked"))*time.Millisecond
				data := all[n].Pack(now, "", 400)
				said[n][fmt.Sprint(all[n].own.life, " ", all[n].own.version)] = now
				way = append(way, sent{rapid.IntRange(0, many-1).Draw(t, "to"), nameOf(n), lives[n], asked, data})
			case 4:
				if len(way) == 0 {
					continue
				}
				s := way[rapid.IntRange(0, len(way)-1).Draw(t, "message")] // which stays, and may come again
				to, before := all[s.to], map[member.Name]entry{}
				for name, e := range to.others {
					before[name] = *e
				}
				to.Unpack(now, s.from, s.life, now-s.at, s.data)
				for name, e := range to.others {
					if was, is := before[name]; is && (e.life < was.life || e.life == was.life && (e.version < was.version || e.left < was.left)) {
						t.Fatalf("%s: from %+v back to %+v", name, was, *e)
					}
				}
			}
			for n, x := range all {
				for m := range all {
					e := x.others[nameOf(m)]
					if e == nil {
						continue
					}
					// left is never after the last moment at which that version, or a later one, was said.
					last := time.Duration(0)
					for key, at := range said[m] {
						var life member.Life
						var version uint64
						_, _ = fmt.Sscan(key, &life, &version)
						if life == e.life && version <= e.version {
							last = max(last, at)
						}
					}
					if e.left > last {
						t.Fatalf("%d holds for newer than it is what %d said: %v, %v", n, m, e.left, last)
					}
				}
			}
		}
	})
}

// TestFaulty: what can't be read changes nothing, wherever it is cut off or spoilt.
func TestFaulty(t *testing.T) {
	b := New("b", 1, 10)
	b.Set(open, 4)
	b.Set(Key{2, "type"}, 5)
	whole := b.Pack(0, "", 400)
	for n := range whole {
		a := New("a", 1, 10)
		if a.Unpack(0, "b", 1, 0, whole[:n]); len(a.others) > 0 {
			t.Error("cut off at ", n)
		}
	}
	if b.Set(Key{1, string(make([]byte, 65))}, 1) || b.Set(open, -1) {
		t.Error("a figure that can't be is taken")
	}
}

func FuzzUnpack(f *testing.F) {
	b := New("b", 1, 10)
	b.Set(open, 4)
	f.Add(b.Pack(0, "", 400))
	f.Fuzz(func(t *testing.T, data []byte) {
		a := New("a", 1, 10)
		a.Unpack(time.Hour, "b", 1, 0, data)
		if len(a.others) > 10 {
			t.Error(len(a.others))
		}
		_ = a.Sum(time.Hour, open, time.Hour, []member.Name{"b"}, 1)
	})
}
