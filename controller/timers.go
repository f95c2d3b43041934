package controller

import (
	"container/heap"
	"log/slog"
	"time"
)

// timerEvent is a call to be made at a time. Events are never cancelled: each call checks whether it is still needed.
type timerEvent struct {
	dueAt time.Duration
	call  func()
}

type timerHeap []timerEvent

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(a, b int) bool { return t[a].dueAt < t[b].dueAt }
func (t timerHeap) Swap(a, b int)      { t[a], t[b] = t[b], t[a] }
func (t *timerHeap) Push(a any)        { *t = append(*t, a.(timerEvent)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	event := (*t)[last]
	(*t)[last] = timerEvent{}
	*t = (*t)[:last]
	return event
}

// schedule has a call made, under the lock, at a time of the controller's clock.
func (c *Controller) schedule(when time.Duration, call func()) {
	heap.Push(&c.timers, timerEvent{when, call})
}

// runTimer waits for the single runtime timer, in one goroutine, whose stack therefore grows only once.
func (c *Controller) runTimer() {
	for range c.runtimeTimer.C {
		c.withLock(c.runDue)
	}
}

// runDue makes the calls that are due.
func (c *Controller) runDue() {
	if len(c.timers) > 0 && c.now-c.timers[0].dueAt > lateThreshold {
		c.counts[timersLate]++
		c.logEvent(slog.LevelWarn, "late", "by", c.now-c.timers[0].dueAt)
	}
	for len(c.timers) > 0 && c.timers[0].dueAt <= c.now {
		c.counts[timersRun]++
		c.runLater(heap.Pop(&c.timers).(timerEvent).call)
	}
}

// armTimer sets the single runtime timer to the next event.
func (c *Controller) armTimer() {
	if len(c.timers) > 0 && c.runtimeTimer != nil {
		c.runtimeTimer.Reset(max(c.timers[0].dueAt-c.now, 0))
	}
}

// sweepInterval is fine enough for idle timeouts of seconds, and for answers that break off.
const sweepInterval = 100 * time.Millisecond

// counterLogInterval is fine enough to tell from the log when something began, and coarse enough that the lines cost
// little.
const counterLogInterval = 10 * time.Second

// sweep closes idle connections, checks for answers that broke off, and logs the counters.
func (c *Controller) sweep() {
	c.schedule(c.now+sweepInterval, c.sweep) // scheduled first, so that a panic does not end the sweeps
	c.admission.Sweep(c.now)
	c.sweepEngines()
	c.startedJobs.expire(c.now)
	if c.now >= c.countersLoggedAt+counterLogInterval {
		c.logCounters()
		c.spawn(c.logUsage)
	}
}
