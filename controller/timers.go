package controller

import (
	"container/heap"
	"log/slog"
	"time"
)

// alarm is something to be done at a time. Alarms are never taken back: what they do looks whether it is still
// wanted.
type alarm struct {
	at time.Duration
	do func()
}

type timers []alarm

func (t timers) Len() int           { return len(t) }
func (t timers) Less(a, b int) bool { return t[a].at < t[b].at }
func (t timers) Swap(a, b int)      { t[a], t[b] = t[b], t[a] }
func (t *timers) Push(a any)        { *t = append(*t, a.(alarm)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	a := (*t)[last]
	(*t)[last] = alarm{}
	*t = (*t)[:last]
	return a
}

func (c *Controller) at(when time.Duration, do func()) { heap.Push(&c.timers, alarm{when, do}) }

// keepTime waits for the one runtime timer, in one goroutine whose stack has grown once and for all.
func (c *Controller) keepTime() {
	for range c.timer.C {
		c.do(c.ring)
	}
}

// ring does what is due.
func (c *Controller) ring() {
	if len(c.timers) > 0 && c.now-c.timers[0].at > lateAnswer {
		c.counts[alarmsLate]++
		c.note(slog.LevelWarn, "late", "by", c.now-c.timers[0].at)
	}
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		c.later(heap.Pop(&c.timers).(alarm).do)
	}
}

// arm sets the one runtime timer to the next alarm.
func (c *Controller) arm() {
	if len(c.timers) > 0 && c.timer != nil {
		c.timer.Reset(max(c.timers[0].at-c.now, 0))
	}
}

// sweepEvery is fine enough for idle times of seconds, and for answers that break off.
const sweepEvery = 100 * time.Millisecond

// countersEvery lets a log tell when something began; a line each time is little.
const countersEvery = 10 * time.Second

func (c *Controller) sweep() {
	c.at(c.now+sweepEvery, c.sweep) // first, as a fault must not end it
	c.admission.Sweep(c.now)
	c.sweepEngines()
	if c.now >= c.logged+countersEvery {
		c.logCounters()
		c.aside(c.logUsage)
	}
}
