package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// stallLog records when the rig's own process did not run because the machine is overloaded. What the rig does and observes is late by that
// time, which says nothing about a controller. Stalls are measured by a timer that is due every stallProbeInterval. The zero value is empty.
type stallLog struct {
	mu     sync.Mutex
	stalls []stall // in order of time, not overlapping
}

// stall is the time between when a timer was due and when it fired.
type stall struct{ from, to time.Duration }

// Timers that fire later than minStall count as stalls: on an idle machine timers are precise to some milliseconds.
const (
	stallProbeInterval = 2 * time.Millisecond
	minStall           = 5 * time.Millisecond
)

// measure records stalls until ctx ends. Times count from start.
func (l *stallLog) measure(ctx context.Context, start time.Time) {
	for ctx.Err() == nil {
		due := time.Since(start) + stallProbeInterval
		time.Sleep(stallProbeInterval)
		if now := time.Since(start); now-due > minStall {
			l.add(stall{due, now})
		}
	}
}

func (l *stallLog) add(s stall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls = append(l.stalls, s)
}

// stalledBetween returns how long the rig did not run between two times. It is 0 for a nil log.
func (l *stallLog) stalledBetween(from, to time.Duration) (total time.Duration) {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first, _ := slices.BinarySearchFunc(l.stalls, from, func(s stall, at time.Duration) int { return cmp.Compare(s.to, at) })
	for _, s := range l.stalls[first:] {
		if s.from >= to {
			break
		}
		total += min(s.to, to) - max(s.from, from)
	}
	return total
}
