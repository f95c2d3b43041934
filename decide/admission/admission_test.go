package admission

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var updateTraces = flag.Bool("update", false, "write the traces anew, to be read before they are kept")

// TestMain gives the property tests the same seed in each run; -rapid.seed looks further.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// bench is a host with connections as they are, and prints what it is told.
type bench struct {
	d      *Control
	now    time.Duration
	states map[ConnID]*State
	unread map[ConnID]bool
	told   map[ConnID]time.Duration
	full   bool // a newcomer is being let in
	trace  strings.Builder
	wrong  string
}

func newBench(most int) *bench {
	h := &bench{states: map[ConnID]*State{}, unread: map[ConnID]bool{}, told: map[ConnID]time.Duration{}}
	h.d = New(h, most)
	return h
}

func (h *bench) say(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%6d ms  %s\n", h.now.Milliseconds(), fmt.Sprintf(format, args...))
}

func (h *bench) State(id ConnID) State { return *h.states[id] }
func (h *bench) Unread(id ConnID) bool { return h.unread[id] }
func (h *bench) AskToLeave(id ConnID)  { h.say("asks %d to leave", id) }
func (h *bench) Misread(id ConnID) {
	h.say("%d does not end its message", id)
	h.went(id)
}

func (h *bench) End(id ConnID, why Why) {
	h.say("ends %d: %v", id, why)
	told, was := h.told[id]
	switch s := h.states[id]; {
	case s.Jobs > 0 || s.Unsent || s.Half > 0 || h.unread[id]:
		h.wrong = fmt.Sprintf("ends %d with %+v, unread %v", id, *s, h.unread[id])
	case why == Idle && (!was || h.now < told+linger):
		h.wrong = fmt.Sprintf("ends %d before it heard", id)
	case why == ForNewcomer && !h.d.get(id).spoke && h.now < h.d.get(id).active+fresh:
		h.wrong = fmt.Sprintf("ends %d before it could speak", id)
	case why == ForNewcomer && !h.full:
		h.wrong = fmt.Sprintf("ends %d for nobody", id)
	}
	h.went(id)
}

func (h *bench) went(id ConnID) {
	delete(h.states, id)
	delete(h.unread, id)
	delete(h.told, id)
	h.d.Went(id)
}

func (h *bench) come(id ConnID) bool {
	h.full = h.d.Open() == h.d.Most()
	in := h.d.Came(h.now, id)
	if h.full = false; in {
		h.states[id] = &State{}
	}
	h.say("%d comes, let in: %v", id, in)
	return in
}

// wait lets time pass, with a sweep each tenth of a second.
func (h *bench) wait(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now += 100 * time.Millisecond
		h.d.Sweep(h.now)
	}
}

func (h *bench) tell(id ConnID) {
	h.told[id] = h.now
	h.d.Told(h.now, id)
}

func keep(t *testing.T, trace string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if *updateTraces {
		if err := os.WriteFile(file, []byte(trace), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile(file)
	if d := cmp.Diff(string(want), trace); d != "" {
		t.Error(d)
	}
}

// TestQuiet: one that never spoke, one that asked once, one of the front; one sends as it is about to be ended.
func TestQuiet(t *testing.T) {
	h := newBench(8)
	for id := range ConnID(5) {
		h.come(id)
	}
	h.d.Heard(h.now, 1)
	h.d.Front(h.now, 2)
	h.d.Heard(h.now, 3)
	h.states[4].Half = Silent + 1
	h.wait(2100 * time.Millisecond)
	h.tell(0)
	h.wait(200 * time.Millisecond)
	h.unread[3] = true
	h.wait(4 * time.Second)
	h.tell(1)
	h.wait(100 * time.Millisecond)
	h.say("1 sends a job between two looks")
	h.unread[1] = true
	h.wait(time.Second)
	h.say("1 has its answer, and 3 is read")
	h.unread[1], h.unread[3] = false, false
	h.d.Answered(h.now, 1)
	h.d.Heard(h.now, 3)
	h.wait(time.Second)
	h.say("nothing for a minute")
	h.tell(3)
	h.wait(time.Minute)
	keep(t, h.trace.String())
}

// TestNewcomers: eight places. The quietest are asked early, those that were go first, one that is busy never does.
func TestNewcomers(t *testing.T) {
	h := newBench(8)
	for id := range ConnID(7) {
		h.come(id)
		h.d.Heard(h.now, id)
		h.now += 10 * time.Millisecond
	}
	h.states[0].Jobs = 1
	h.unread[1] = true
	h.states[2].Unsent = true
	h.come(7)
	h.now += 10 * time.Millisecond
	h.tell(4)
	h.come(8)
	h.come(9)
	h.now += fresh
	h.come(10)
	h.say("all that are left send")
	for id := range h.states {
		h.unread[id] = true
	}
	h.come(11)
	keep(t, h.trace.String())
}

// TestKeepsItsPromises drives it with anything at all.
func TestKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newBench(rapid.IntRange(1, 9).Draw(t, "places"))
		next := ConnID(0)
		some := func() (ConnID, *State) {
			id := ConnID(rapid.Int64Range(0, int64(next)).Draw(t, "id"))
			return id, h.states[id]
		}
		for range 120 {
			h.now += time.Duration(rapid.SampledFrom([]int{0, 1, 50, 100, 2500, 7000}).Draw(t, "ms")) * time.Millisecond
			id, s := some()
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what <= 2:
				busy := 0
				for id, s := range h.states {
					if k := h.d.get(id); !s.clear() || h.unread[id] || !k.spoke && h.now < k.active+fresh {
						busy++
					}
				}
				next++
				if in := h.come(next); !in && busy < h.d.Most() {
					t.Fatal("turned away beside one that is clear\n", h.trace.String())
				}
			case what == 3:
				h.d.Sweep(h.now)
			case s == nil:
			case what == 4:
				h.d.Heard(h.now, id)
				s.Jobs = rapid.IntRange(0, 1).Draw(t, "jobs")
			case what == 5:
				h.unread[id] = rapid.Bool().Draw(t, "unread")
			case what == 6:
				s.Unsent = rapid.Bool().Draw(t, "unsent")
			case what == 7:
				s.Half = time.Duration(rapid.IntRange(0, 3).Draw(t, "half")) * time.Second
			case what == 8:
				h.tell(id)
			default:
				h.went(id)
			}
			if h.wrong != "" || h.d.Open() > h.d.Most() || h.d.Open() != len(h.states) {
				t.Fatal(h.wrong, h.d.Open(), len(h.states), "\n", h.trace.String())
			}
		}
	})
}

// TestQuietEnds: whatever happened before, a connection on which nothing comes any more ends in bounded time.
func TestQuietEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newBench(4)
		h.come(1)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			h.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				h.d.Heard(h.now, 1)
			case 1:
				h.d.Answered(h.now, 1)
			default:
				h.d.Sweep(h.now)
			}
		}
		for end := h.now + idle + linger + 400*time.Millisecond; h.now < end; {
			h.wait(100 * time.Millisecond)
			if k := h.d.get(1); k != nil && k.asked && k.told == 0 {
				h.tell(1)
			}
		}
		if h.d.Open() > 0 {
			t.Fatal("still open\n", h.trace.String())
		}
	})
}

// TestExit: the usual way out, a job that comes late, a standstill across the last moment, and one that never ends.
func TestExit(t *testing.T) {
	var trace strings.Builder
	for _, c := range []struct {
		name  string
		round func(x *Exit, now time.Duration) (standstill time.Duration, owed int)
	}{
		{"nothing is open", func(*Exit, time.Duration) (time.Duration, int) { return 0, 0 }},
		{"a job comes at 730 ms and takes 50", func(x *Exit, now time.Duration) (time.Duration, int) {
			if now == 730*time.Millisecond {
				x.JobCame(now)
			}
			if now >= 730*time.Millisecond && now < 780*time.Millisecond {
				return 0, 1
			}
			return 0, 0
		}},
		{"stands still at 720 ms for 3 s, with a job unread", func(_ *Exit, now time.Duration) (time.Duration, int) {
			if now == 720*time.Millisecond {
				return 3 * time.Second, 1
			}
			if now >= 3*time.Second && now < 3800*time.Millisecond {
				return 0, 1
			}
			return 0, 0
		}},
		{"one job is never over", func(*Exit, time.Duration) (time.Duration, int) { return 0, 1 }},
	} {
		first, last := 700*time.Millisecond, 1500*time.Millisecond
		x := NewExit(first, last)
		x.JobCame(first - 10*time.Millisecond)
		fmt.Fprintf(&trace, "%s\n", c.name)
		for now := first; ; {
			stands, owed := c.round(x, now)
			cut, end, next := x.Round(now, owed)
			if cut {
				fmt.Fprintf(&trace, "%6d ms  cut\n", now.Milliseconds())
			}
			if end {
				fmt.Fprintf(&trace, "%6d ms  end, owed %d\n", now.Milliseconds(), owed)
				break
			}
			now = next + stands
		}
	}
	keep(t, trace.String())
}
