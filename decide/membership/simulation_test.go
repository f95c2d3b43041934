package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// world simulates a fleet on a virtual clock, with a network that a test can disturb. The clocks of the instances differ by
// random offsets.
type world struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	events       events
	eventCount   int64
	instances    []*instance
	byAddress    map[Address]*instance
	loss         float64 // share of messages lost
	delay        func() time.Duration
	duplication  float64                 // share of messages delivered twice
	cut          func(from, to int) bool // links on which all messages are lost
	trace        strings.Builder
	traced       bool // record a trace
	unchecked    bool // skip the checks after each step, for large fleets
	sent         int
	pausedBuffer int // messages queued for a paused instance; further ones are lost
}

// instance is a simulated process and the Host of its Member.
type instance struct {
	*world
	index          int
	member         *Member
	skew           time.Duration
	running        bool
	paused         bool
	queued         []func() // events that arrived while it is paused
	lastSent       time.Duration
	gone           map[Name]time.Duration // members that it has declared gone, and when
	life           int
	displaced      bool
	wakeCount      int
	suspectedCount int
	wrongGoneCount int // wrong declarations: the member was running and reachable in both directions
}

// event is something that happens at a time; number keeps events at the same time in order.
type event struct {
	at     time.Duration
	number int64
	run    func()
}

// events is a heap by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].number < e[b].number
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule adds an event, not before the present.
func (w *world) schedule(when time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.events, event{max(when, w.now), w.eventCount, do})
}

// run processes the events up to a time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// tracef adds a line to the trace, if one is recorded.
func (w *world) tracef(format string, args ...any) {
	if w.traced {
		fmt.Fprintf(&w.trace, "%7.2f s  %s\n", w.now.Seconds(), fmt.Sprintf(format, args...))
	}
}

func nameOf(n int) Name { return Name(fmt.Sprintf("i%03d", n)) }

func newWorld(t *testing.T, size int, seed int64) *world {
	w := &world{t: t, pausedBuffer: 1000, rng: rand.New(rand.NewSource(seed)), byAddress: map[Address]*instance{}}
	w.delay = func() time.Duration { return time.Duration(1+w.rng.Intn(4)) * time.Millisecond }
	w.cut = func(int, int) bool { return false }
	for n := range size {
		i := &instance{world: w, index: n, skew: time.Duration(w.rng.Int63n(int64(1000 * time.Hour)))}
		w.instances = append(w.instances, i)
		w.byAddress[Address(nameOf(n))] = i
		w.schedule(time.Duration(w.rng.Intn(500))*time.Millisecond, i.start)
	}
	return w
}

func (i *instance) clock() time.Duration { return i.now + i.skew }

func (i *instance) start() {
	i.life++
	i.running, i.paused, i.displaced, i.queued, i.gone = true, false, false, nil, map[Name]time.Duration{}
	i.member = New(i, Settings{Name: nameOf(i.index), Address: Address(nameOf(i.index)), Generation: Generation(i.life),
		Seeds: []Address{Address(nameOf(0)), Address(nameOf(1))}}, i.rng.Int63())
	i.member.Start(i.clock())
}

func (i *instance) kill() { i.running, i.member, i.queued = false, nil, nil }

// pause pauses the instance as SIGSTOP does.
func (i *instance) pause() { i.paused = true }

// resume resumes the instance as SIGCONT does; the queued events are processed first.
func (i *instance) resume() {
	i.paused = false
	queued := i.queued
	i.queued = nil
	for _, do := range queued {
		do()
	}
}

// deliver runs an event for a life of the instance, at once or, if it is paused, when it resumes.
func (i *instance) deliver(life int, do func()) {
	switch {
	case !i.running || i.life != life:
	case i.paused:
		if len(i.queued) < i.pausedBuffer {
			i.queued = append(i.queued, func() { i.deliver(life, do) })
		}
	default:
		do()
		i.check()
	}
}

func (i *instance) Send(to Address, m Message) {
	w := i.world
	i.lastSent = w.now
	w.sent++
	other := w.byAddress[to]
	if other == nil {
		return
	}
	copies := 1
	if w.rng.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		if w.cut(i.index, other.index) || w.rng.Float64() < w.loss {
			continue
		}
		from := Address(nameOf(i.index))
		w.schedule(w.now+w.delay(), func() {
			other.deliver(other.life, func() { other.member.HandleMessage(other.clock(), from, m) })
		})
	}
}

func (i *instance) ExchangeState(to Address) {
	w, other := i.world, i.byAddress[to]
	requestedAt, life := i.clock(), i.life
	if other == nil || w.cut(i.index, other.index) || w.cut(other.index, i.index) {
		return
	}
	i.lastSent = w.now
	from, records, ages := i.member.State(i.clock())
	w.schedule(w.now+w.delay(), func() {
		other.deliver(other.life, func() {
			other.lastSent = w.now
			other.member.HandleState(other.clock(), -1, from, records, ages)
			from, records, ages := other.member.State(other.clock())
			w.schedule(w.now+w.delay(), func() {
				i.deliver(life, func() { i.member.HandleState(i.clock(), requestedAt, from, records, ages) })
			})
		})
	})
}

func (i *instance) WakeAt(at time.Duration) {
	i.wakeCount++
	life, wake := i.life, i.wakeCount
	i.world.schedule(at-i.skew, func() {
		if i.wakeCount == wake && i.paused && i.running && i.life == life { // a timer is not lost while paused, unlike messages
			i.queued = append(i.queued, func() { i.deliver(life, func() { i.member.Tick(i.clock()) }) })
		} else if i.wakeCount == wake {
			i.deliver(life, func() { i.member.Tick(i.clock()) })
		}
	})
}

func (i *instance) StatusChanged(now time.Duration, m Info) {
	i.tracef("%s: %s is %v", nameOf(i.index), m.Name, m.Status)
	if m.Status == Suspect {
		i.suspectedCount++
	}
	if m.Status == Gone {
		if other := i.byAddress[m.Address]; other != nil && other.running && !i.cut(i.index, other.index) &&
			!i.cut(other.index, i.index) && !other.paused {
			i.wrongGoneCount++
		}
		i.gone[m.Name] = i.now
	} else {
		delete(i.gone, m.Name)
	}
}

func (i *instance) ContactChanged(now time.Duration, c Contact, since time.Duration) {
	i.tracef("%s is %v", nameOf(i.index), c)
}

func (i *instance) Displaced(by Record) {
	i.displaced = true
	i.tracef("%s: a later instance runs under this name", nameOf(i.index))
}

// check verifies the guarantees after each step: no age is less than the time since the member last sent something, and no more
// members are kept than allowed.
func (i *instance) check() {
	if !i.running || i.member == nil || i.unchecked {
		return
	}
	now := i.clock()
	for _, info := range i.member.Members(now) {
		other := i.byAddress[info.Address]
		if info.Age >= 0 && info.Age < i.now-other.lastSent {
			i.t.Fatalf("%v: %s takes the last sign of life of %s for %v old, but it has sent nothing for %v",
				i.now, nameOf(i.index), info.Name, info.Age, i.now-other.lastSent)
		}
	}
	if len(i.member.peers) > i.member.settings.MaxMembers {
		i.t.Fatal("more members kept than the maximum")
	}
}

// statuses counts the statuses that the running instances have for another; -1 is for those that do not know it.
func (w *world) statuses(index int) map[Status]int {
	count := map[Status]int{}
	for _, i := range w.instances {
		if i.index == index || !i.running || i.paused {
			continue
		}
		if p := i.member.peers[nameOf(index)]; p != nil {
			count[p.Status]++
		} else {
			count[-1]++
		}
	}
	return count
}

// checkConverged returns an error unless all running instances have all running instances as Alive, and the others as Gone, Left or
// unknown.
func (w *world) checkConverged() error {
	for _, j := range w.instances {
		want := Alive
		if !j.running {
			want = Gone
		}
		for status, n := range w.statuses(j.index) {
			if status != want && !(want == Gone && (status == Left || status == -1)) {
				return fmt.Errorf("%v: %d instances have %s as %v", w.now, n, nameOf(j.index), status)
			}
		}
	}
	return nil
}

// runUntil runs until a condition holds and returns how long that took. It fails the test after the given time.
func (w *world) runUntil(timeout time.Duration, condition func() bool) time.Duration {
	from := w.now
	for w.now < from+timeout {
		if condition() {
			return w.now - from
		}
		w.run(w.now + 50*time.Millisecond)
	}
	w.t.Fatalf("condition did not hold within %v from %v on: %v", timeout, from, w.checkConverged())
	return 0
}

// contacts counts the contacts of some instances, leaving out those that are down or paused.
func (w *world) contacts(indexes []int) map[Contact]int {
	count := map[Contact]int{}
	for _, n := range indexes {
		if i := w.instances[n]; i.running && !i.paused {
			c, _ := i.member.Contact(i.clock())
			count[c]++
		}
	}
	return count
}

// indexRange returns the numbers from from to to-1.
func indexRange(from, to int) (all []int) {
	for n := from; n < to; n++ {
		all = append(all, n)
	}
	return all
}

// partition cuts the network into parts that cannot exchange messages with one another.
func (w *world) partition(parts ...[]int) {
	w.cut = func(from, to int) bool {
		for _, part := range parts {
			if slices.Contains(part, from) {
				return !slices.Contains(part, to)
			}
		}
		return false
	}
}

// repairLinks restores all links.
func (w *world) repairLinks() { w.cut = func(int, int) bool { return false } }
