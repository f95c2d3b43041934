package counters

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowbarrow/decide/membership"
)

// TestMain runs the property tests with a fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var openJobs = Key{1, ""}

const second = time.Second

func nameOf(n int) membership.Name { return membership.Name(fmt.Sprint("i", n)) }

// TestSum checks the sums of two instances for unsolicited messages, answers, reports that are too old, and a restart.
func TestSum(t *testing.T) {
	a, b := New("a", 1, 10), New("b", 1, 10)
	a.Set(openJobs, 3)
	b.Set(openJobs, 4)
	present := []membership.Name{"b", "c"}
	// Unsolicited message: the counter is known, its age is not.
	a.Unpack(10*second, "b", 1, -1, b.Pack(0, "a", 400))
	if s := a.Sum(10*second, openJobs, 5*second, present, 100); s != (Sum{Min: 3, Max: 203, Instances: 1, Unknown: 2}) {
		t.Errorf("%+v", s)
	}
	// The same counter in an answer to a question sent half a second ago.
	a.Unpack(11*second, "b", 1, second/2, b.Pack(second, "a", 400))
	if s := a.Sum(12*second, openJobs, 5*second, present, 100); s != (Sum{Min: 7, Max: 107, MaxAge: 3 * second / 2, Instances: 2, Unknown: 1}) {
		t.Errorf("%+v", s)
	}
	if s := a.Sum(20*second, openJobs, 5*second, present, 100); s.Min != 3 || s.Unknown != 2 {
		t.Errorf("an outdated report counts: %+v", s)
	}
	// The report of a new incarnation replaces that of the old one; a late report of the old one is ignored.
	late := b.Pack(0, "a", 400)
	restarted := New("b", 2, 10)
	restarted.Set(openJobs, 1)
	a.Unpack(21*second, "b", 2, 0, restarted.Pack(0, "a", 400))
	a.Unpack(21*second, "b", 1, 0, late)
	if s := a.Sum(21*second, openJobs, 5*second, present, 0); s.Min != 4 {
		t.Errorf("%+v", s)
	}
}

// TestOnwards checks that a relayed report arrives with the sum of the ages of each step: c hears of b only by way of a.
func TestOnwards(t *testing.T) {
	a, b, c := New("a", 1, 10), New("b", 1, 10), New("c", 1, 10)
	b.Set(openJobs, 4)
	a.Unpack(100*second, "b", 1, second, b.Pack(0, "a", 400))
	c.Unpack(7*second, "a", 1, second, a.Pack(102*second, "c", 400))
	s := c.Sum(8*second, openJobs, 10*second, []membership.Name{"a", "b"}, 0)
	if s.Min != 4 || s.Instances != 3 || s.MaxAge != 5*second { // at most 1 s to a, 2 s at a, 1 s to c, 1 s at c
		t.Errorf("%+v", s)
	}
}

// TestAnyOrder checks instances that set counters, restart and exchange messages which are lost, duplicated and reordered. No
// instance may replace a report by an older one or by one of an earlier incarnation, or take a report for newer than it is.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(t, "instances")
		type sent struct {
			to   int
			from membership.Name
			life membership.Generation
			at   time.Duration // time of the question that the message answers
			data []byte
		}
		all, lastSent := make([]*Tally, count), make([]map[string]time.Duration, count) // by generation and version: when it was last sent
		lives := make([]membership.Generation, count)
		for n := range all {
			lives[n], lastSent[n] = 1, map[string]time.Duration{}
			all[n] = New(nameOf(n), 1, 10)
		}
		var messages []sent
		now := time.Hour
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, count-1).Draw(t, "who")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				all[n].Set(openJobs, Value(rapid.IntRange(0, 50).Draw(t, "value")))
			case 1:
				lives[n]++
				all[n] = New(nameOf(n), lives[n], 10)
			case 2, 3:
				asked := now - time.Duration(rapid.IntRange(0, 300).Draw(t, "asked"))*time.Millisecond
				data := all[n].Pack(now, "", 400)
				lastSent[n][fmt.Sprint(all[n].own.life, " ", all[n].own.version)] = now
				messages = append(messages, sent{rapid.IntRange(0, count-1).Draw(t, "to"), nameOf(n), lives[n], asked, data})
			case 4:
				if len(messages) == 0 {
					continue
				}
				s := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")] // stays in the list, so it may be delivered again
				to, before := all[s.to], map[membership.Name]entry{}
				for name, e := range to.others {
					before[name] = *e
				}
				to.Unpack(now, s.from, s.life, now-s.at, s.data)
				for name, e := range to.others {
					if old, existed := before[name]; existed && (e.life < old.life || e.life == old.life && (e.version < old.version || e.sentAt < old.sentAt)) {
						t.Fatalf("%s: report %+v replaced by the older %+v", name, old, *e)
					}
				}
			}
			for n, instance := range all {
				for m := range all {
					e := instance.others[nameOf(m)]
					if e == nil {
						continue
					}
					// sentAt must not be after the last time at which this version or an earlier one of the same generation was sent.
					last := time.Duration(0)
					for key, at := range lastSent[m] {
						var life membership.Generation
						var version uint64
						_, _ = fmt.Sscan(key, &life, &version)
						if life == e.life && version <= e.version {
							last = max(last, at)
						}
					}
					if e.sentAt > last {
						t.Fatalf("instance %d takes the report of %d for newer than it is: %v, last sent at %v", n, m, e.sentAt, last)
					}
				}
			}
		}
	})
}

// TestFaulty checks that a message truncated at any point changes nothing, and that invalid counters are refused.
func TestFaulty(t *testing.T) {
	b := New("b", 1, 10)
	b.Set(openJobs, 4)
	b.Set(Key{2, "type"}, 5)
	message := b.Pack(0, "", 400)
	for n := range message {
		a := New("a", 1, 10)
		if a.Unpack(0, "b", 1, 0, message[:n]); len(a.others) > 0 {
			t.Error("entry accepted from a message truncated at byte ", n)
		}
	}
	if b.Set(Key{1, string(make([]byte, 65))}, 1) || b.Set(openJobs, -1) {
		t.Error("invalid counter accepted")
	}
}

func FuzzUnpack(f *testing.F) {
	b := New("b", 1, 10)
	b.Set(openJobs, 4)
	f.Add(b.Pack(0, "", 400))
	f.Fuzz(func(t *testing.T, data []byte) {
		a := New("a", 1, 10)
		a.Unpack(time.Hour, "b", 1, 0, data)
		if len(a.others) > 10 {
			t.Error(len(a.others))
		}
		_ = a.Sum(time.Hour, openJobs, time.Hour, []membership.Name{"b"}, 1)
	})
}
