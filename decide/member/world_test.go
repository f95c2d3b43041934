package member

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// world is a fleet on a virtual clock, with a network that a test breaks. Each instance has a clock that stands elsewhere.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events events
	count  int64
	all    []*instance
	byAddr map[Address]*instance
	loss   float64
	delay  func() time.Duration
	double float64
	cut    func(from, to int) bool // messages that get lost whatever else
	trace  strings.Builder
	told   bool // keep a trace
	quiet  bool // no checks after each step, for large fleets
	sent   int
	buffer int // messages that wait for one that stands still
}

type instance struct {
	*world
	n         int
	member    *Member
	skew      time.Duration
	up        bool
	stopped   bool
	waiting   []func() // what comes while it stands still
	lastSent  time.Duration
	gone      map[Name]time.Duration // what it declared
	life      int
	displaced bool
	wakes     int
	suspected int
	wronged   int // declarations that somebody who hears it is gone
}

type event struct {
	at time.Duration
	n  int64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].n < e[b].n
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) at(when time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{max(when, w.now), w.count, do})
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) say(format string, args ...any) {
	if w.told {
		fmt.Fprintf(&w.trace, "%7.2f s  %s\n", w.now.Seconds(), fmt.Sprintf(format, args...))
	}
}

func nameOf(n int) Name { return Name(fmt.Sprintf("i%03d", n)) }

func newWorld(t *testing.T, many int, seed int64) *world {
	w := &world{t: t, buffer: 1000, rng: rand.New(rand.NewSource(seed)), byAddr: map[Address]*instance{}}
	w.delay = func() time.Duration { return time.Duration(1+w.rng.Intn(4)) * time.Millisecond }
	w.cut = func(int, int) bool { return false }
	for n := range many {
		i := &instance{world: w, n: n, skew: time.Duration(w.rng.Int63n(int64(1000 * time.Hour)))}
		w.all = append(w.all, i)
		w.byAddr[Address(nameOf(n))] = i
		w.at(time.Duration(w.rng.Intn(500))*time.Millisecond, i.start)
	}
	return w
}

func (i *instance) clock() time.Duration { return i.now + i.skew }

func (i *instance) start() {
	i.life++
	i.up, i.stopped, i.displaced, i.waiting, i.gone = true, false, false, nil, map[Name]time.Duration{}
	i.member = New(i, Settings{Name: nameOf(i.n), Address: Address(nameOf(i.n)), Life: Life(i.life),
		Seeds: []Address{Address(nameOf(0)), Address(nameOf(1))}}, i.rng.Int63())
	i.member.Begin(i.clock())
}

func (i *instance) kill() { i.up, i.member, i.waiting = false, nil, nil }

// stop has it stand still, as SIGSTOP does; go on.
func (i *instance) stop() { i.stopped = true }
func (i *instance) goOn() {
	i.stopped = false
	waiting := i.waiting
	i.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// does what comes to it, now or once it goes on.
func (i *instance) does(life int, do func()) {
	switch {
	case !i.up || i.life != life:
	case i.stopped:
		if len(i.waiting) < i.buffer {
			i.waiting = append(i.waiting, func() { i.does(life, do) })
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
	other := w.byAddr[to]
	if other == nil {
		return
	}
	copies := 1
	if w.rng.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.cut(i.n, other.n) || w.rng.Float64() < w.loss {
			continue
		}
		from := Address(nameOf(i.n))
		w.at(w.now+w.delay(), func() {
			other.does(other.life, func() { other.member.Heard(other.clock(), from, m) })
		})
	}
}

func (i *instance) Exchange(to Address) {
	w, other := i.world, i.byAddr[to]
	asked, life := i.clock(), i.life
	if other == nil || w.cut(i.n, other.n) || w.cut(other.n, i.n) {
		return
	}
	i.lastSent = w.now
	from, all, ages := i.member.State(i.clock())
	w.at(w.now+w.delay(), func() {
		other.does(other.life, func() {
			other.lastSent = w.now
			other.member.Synced(other.clock(), -1, from, all, ages)
			from, all, ages := other.member.State(other.clock())
			w.at(w.now+w.delay(), func() {
				i.does(life, func() { i.member.Synced(i.clock(), asked, from, all, ages) })
			})
		})
	})
}

func (i *instance) WakeAt(at time.Duration) {
	i.wakes++
	life, wake := i.life, i.wakes
	i.world.at(at-i.skew, func() {
		if i.wakes == wake && i.stopped && i.up && i.life == life { // an alarm is not lost
			i.waiting = append(i.waiting, func() { i.does(life, func() { i.member.Tick(i.clock()) }) })
		} else if i.wakes == wake {
			i.does(life, func() { i.member.Tick(i.clock()) })
		}
	})
}

func (i *instance) Changed(now time.Duration, m One) {
	i.say("%s: %s is %v", nameOf(i.n), m.Name, m.Status)
	if m.Status == Suspect {
		i.suspected++
	}
	if m.Status == Gone {
		if other := i.byAddr[m.Address]; other != nil && other.up && !i.cut(i.n, other.n) && !i.cut(other.n, i.n) && !other.stopped {
			i.wronged++
		}
		i.gone[m.Name] = i.now
	} else {
		delete(i.gone, m.Name)
	}
}

func (i *instance) Turned(now time.Duration, c Contact, since time.Duration) {
	i.say("%s is %v", nameOf(i.n), c)
}

func (i *instance) Displaced(by Record) {
	i.displaced = true
	i.say("%s: another one has this name", nameOf(i.n))
}

// check is the promise on ages, after each step: never newer than the last word that left the other one.
func (i *instance) check() {
	if !i.up || i.member == nil || i.quiet {
		return
	}
	now := i.clock()
	for _, one := range i.member.Members(now) {
		other := i.byAddr[one.Address]
		if one.Age >= 0 && one.Age < i.now-other.lastSent {
			i.t.Fatalf("%v: %s holds a word of %s for %v old, and it said nothing for %v", i.now, nameOf(i.n), one.Name, one.Age,
				i.now-other.lastSent)
		}
	}
	if len(i.member.peers) > i.member.set.Most {
		i.t.Fatal("more members than there is room for")
	}
}

// statuses counts what the instances that run conclude of another.
func (w *world) statuses(of int) map[Status]int {
	count := map[Status]int{}
	for _, i := range w.all {
		if i.n == of || !i.up || i.stopped {
			continue
		}
		if p := i.member.peers[nameOf(of)]; p != nil {
			count[p.Status]++
		} else {
			count[-1]++
		}
	}
	return count
}

// allKnow tells whether all that run hold all that run for alive, and no other.
func (w *world) allKnow() error {
	for _, j := range w.all {
		want := Alive
		if !j.up {
			want = Gone
		}
		for status, n := range w.statuses(j.n) {
			if status != want && !(want == Gone && (status == Left || status == -1)) {
				return fmt.Errorf("%v: %d hold %s for %v", w.now, n, nameOf(j.n), status)
			}
		}
	}
	return nil
}

// until plays on until a thing is so, and gives how long that took.
func (w *world) until(most time.Duration, so func() bool) time.Duration {
	from := w.now
	for w.now < from+most {
		if so() {
			return w.now - from
		}
		w.run(w.now + 50*time.Millisecond)
	}
	w.t.Fatalf("not within %v from %v on: %v", most, from, w.allKnow())
	return 0
}

// contacts counts the verdicts of a part of the instances.
func (w *world) contacts(of []int) map[Contact]int {
	count := map[Contact]int{}
	for _, n := range of {
		if i := w.all[n]; i.up && !i.stopped {
			c, _ := i.member.Contact(i.clock())
			count[c]++
		}
	}
	return count
}

func span(from, to int) (all []int) {
	for n := from; n < to; n++ {
		all = append(all, n)
	}
	return all
}

// sides cuts the fleet into parts that do not hear one another.
func (w *world) sides(parts ...[]int) {
	w.cut = func(from, to int) bool {
		for _, part := range parts {
			if slices.Contains(part, from) {
				return !slices.Contains(part, to)
			}
		}
		return false
	}
}

func (w *world) whole() { w.cut = func(int, int) bool { return false } }
