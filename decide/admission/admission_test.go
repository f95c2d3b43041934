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

var updateTraces = flag.Bool("update", false, "rewrite the golden traces; review the changes before committing them")

// TestMain runs the property tests with a fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// fakeHost is a fake Host. It holds the states of connections, traces all calls, and notes in violation a call that breaks a
// guarantee.
type fakeHost struct {
	control    *Control
	now        time.Duration
	states     map[ConnID]*State
	unread     map[ConnID]bool
	askedAt    map[ConnID]time.Duration
	placesFull bool // a new connection is arriving while all places are taken
	trace      strings.Builder
	violation  string
}

func newFakeHost(maxConns int) *fakeHost {
	h := &fakeHost{states: map[ConnID]*State{}, unread: map[ConnID]bool{}, askedAt: map[ConnID]time.Duration{}}
	h.control = New(h, maxConns)
	return h
}

func (h *fakeHost) tracef(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%6d ms  %s\n", h.now.Milliseconds(), fmt.Sprintf(format, args...))
}

func (h *fakeHost) State(id ConnID) State { return *h.states[id] }
func (h *fakeHost) Unread(id ConnID) bool { return h.unread[id] }
func (h *fakeHost) AskToLeave(id ConnID)  { h.tracef("asks %d to leave", id) }
func (h *fakeHost) IncompleteMessage(id ConnID) {
	h.tracef("%d does not end its message", id)
	h.forget(id)
}

func (h *fakeHost) End(id ConnID, why CloseReason) {
	h.tracef("ends %d: %v", id, why)
	askedAt, asked := h.askedAt[id]
	switch s := h.states[id]; {
	case s.Jobs > 0 || s.Unsent || s.IncompleteFor > 0 || h.unread[id]:
		h.violation = fmt.Sprintf("ends %d with %+v, unread %v", id, *s, h.unread[id])
	case why == Idle && (!asked || h.now < askedAt+linger):
		h.violation = fmt.Sprintf("ends %d as idle before linger after the request to leave", id)
	case why == ForNewClient && !h.control.lookup(id).hasMessage && h.now < h.control.lookup(id).lastActive+firstMessageGrace:
		h.violation = fmt.Sprintf("ends %d for a newcomer before its first message could arrive", id)
	case why == ForNewClient && !h.placesFull:
		h.violation = fmt.Sprintf("ends %d for a newcomer although places are free", id)
	}
	h.forget(id)
}

func (h *fakeHost) forget(id ConnID) {
	delete(h.states, id)
	delete(h.unread, id)
	delete(h.askedAt, id)
	h.control.Closed(id)
}

func (h *fakeHost) connect(id ConnID) bool {
	h.placesFull = h.control.Open() == h.control.MaxConns()
	accepted := h.control.Connected(h.now, id)
	if h.placesFull = false; accepted {
		h.states[id] = &State{}
	}
	h.tracef("%d comes, let in: %v", id, accepted)
	return accepted
}

// advance advances the time, with a sweep every 100 ms.
func (h *fakeHost) advance(duration time.Duration) {
	for until := h.now + duration; h.now < until; {
		h.now += 100 * time.Millisecond
		h.control.Sweep(h.now)
	}
}

func (h *fakeHost) markAsked(id ConnID) {
	h.askedAt[id] = h.now
	h.control.LeaveRequestSent(h.now, id)
}

// compareGolden compares a trace with the golden file of the test, or writes the file if -update is set.
func compareGolden(t *testing.T, trace string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if *updateTraces {
		if err := os.WriteFile(file, []byte(trace), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile(file)
	if diff := cmp.Diff(string(want), trace); diff != "" {
		t.Error(diff)
	}
}

// TestQuiet traces idle connections: one without any message, one with a single job, one of the front, one with an incomplete
// message, and one whose client sends a job just before it would be closed.
func TestQuiet(t *testing.T) {
	h := newFakeHost(8)
	for id := range ConnID(5) {
		h.connect(id)
	}
	h.control.MessageReceived(h.now, 1)
	h.control.Front(h.now, 2)
	h.control.MessageReceived(h.now, 3)
	h.states[4].IncompleteFor = FirstMessageTimeout + 1
	h.advance(2100 * time.Millisecond)
	h.markAsked(0)
	h.advance(200 * time.Millisecond)
	h.unread[3] = true
	h.advance(4 * time.Second)
	h.markAsked(1)
	h.advance(100 * time.Millisecond)
	h.tracef("1 sends a job between two looks")
	h.unread[1] = true
	h.advance(time.Second)
	h.tracef("1 has its answer, and 3 is read")
	h.unread[1], h.unread[3] = false, false
	h.control.Answered(h.now, 1)
	h.control.MessageReceived(h.now, 3)
	h.advance(time.Second)
	h.tracef("nothing for a minute")
	h.markAsked(3)
	h.advance(time.Minute)
	compareGolden(t, h.trace.String())
}

// TestNewcomers traces new connections at eight places. The idlest are asked to leave before the places run out, those that were
// asked are closed first, and one that is busy is never closed.
func TestNewcomers(t *testing.T) {
	h := newFakeHost(8)
	for id := range ConnID(7) {
		h.connect(id)
		h.control.MessageReceived(h.now, id)
		h.now += 10 * time.Millisecond
	}
	h.states[0].Jobs = 1
	h.unread[1] = true
	h.states[2].Unsent = true
	h.connect(7)
	h.now += 10 * time.Millisecond
	h.markAsked(4)
	h.connect(8)
	h.connect(9)
	h.now += firstMessageGrace
	h.connect(10)
	h.tracef("all that are left send")
	for id := range h.states {
		h.unread[id] = true
	}
	h.connect(11)
	compareGolden(t, h.trace.String())
}

// TestKeepsItsPromises checks the guarantees of the package under random calls and states.
func TestKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFakeHost(rapid.IntRange(1, 9).Draw(t, "places"))
		next := ConnID(0)
		pick := func() (ConnID, *State) {
			id := ConnID(rapid.Int64Range(0, int64(next)).Draw(t, "id"))
			return id, h.states[id]
		}
		for range 120 {
			h.now += time.Duration(rapid.SampledFrom([]int{0, 1, 50, 100, 2500, 7000}).Draw(t, "ms")) * time.Millisecond
			id, s := pick()
			switch event := rapid.IntRange(0, 9).Draw(t, "what"); {
			case event <= 2:
				busy := 0
				for id, s := range h.states {
					if client := h.control.lookup(id); !s.isIdle() || h.unread[id] || !client.hasMessage && h.now < client.lastActive+firstMessageGrace {
						busy++
					}
				}
				next++
				if accepted := h.connect(next); !accepted && busy < h.control.MaxConns() {
					t.Fatal("refused although a connection could be closed\n", h.trace.String())
				}
			case event == 3:
				h.control.Sweep(h.now)
			case s == nil:
			case event == 4:
				h.control.MessageReceived(h.now, id)
				s.Jobs = rapid.IntRange(0, 1).Draw(t, "jobs")
			case event == 5:
				h.unread[id] = rapid.Bool().Draw(t, "unread")
			case event == 6:
				s.Unsent = rapid.Bool().Draw(t, "unsent")
			case event == 7:
				s.IncompleteFor = time.Duration(rapid.IntRange(0, 3).Draw(t, "half")) * time.Second
			case event == 8:
				h.markAsked(id)
			default:
				h.forget(id)
			}
			if h.violation != "" || h.control.Open() > h.control.MaxConns() || h.control.Open() != len(h.states) {
				t.Fatal(h.violation, h.control.Open(), len(h.states), "\n", h.trace.String())
			}
		}
	})
}

// TestQuietEnds checks that a connection on which nothing more arrives is closed in bounded time, whatever happened before.
func TestQuietEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFakeHost(4)
		h.connect(1)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			h.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				h.control.MessageReceived(h.now, 1)
			case 1:
				h.control.Answered(h.now, 1)
			default:
				h.control.Sweep(h.now)
			}
		}
		for end := h.now + idleTimeout + linger + 400*time.Millisecond; h.now < end; {
			h.advance(100 * time.Millisecond)
			if client := h.control.lookup(1); client != nil && client.askedToLeave && client.askedAt == 0 {
				h.markAsked(1)
			}
		}
		if h.control.Open() > 0 {
			t.Fatal("the connection is still open\n", h.trace.String())
		}
	})
}

// TestExit traces an exit with nothing open, with a job that arrives late, with a pause of the process beyond the last moment, and
// with a job that never ends.
func TestExit(t *testing.T) {
	var trace strings.Builder
	for _, scenario := range []struct {
		name  string
		round func(x *Exit, now time.Duration) (standstill time.Duration, owed int)
	}{
		{"nothing is open", func(*Exit, time.Duration) (time.Duration, int) { return 0, 0 }},
		{"a job comes at 730 ms and takes 50", func(x *Exit, now time.Duration) (time.Duration, int) {
			if now == 730*time.Millisecond {
				x.JobArrived(now)
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
		x.JobArrived(first - 10*time.Millisecond)
		fmt.Fprintf(&trace, "%s\n", scenario.name)
		for now := first; ; {
			pause, owed := scenario.round(x, now)
			cut, end, next := x.Round(now, owed)
			if cut {
				fmt.Fprintf(&trace, "%6d ms  cut\n", now.Milliseconds())
			}
			if end {
				fmt.Fprintf(&trace, "%6d ms  end, owed %d\n", now.Milliseconds(), owed)
				break
			}
			now = next + pause
		}
	}
	compareGolden(t, trace.String())
}
