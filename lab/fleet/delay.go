package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// rigDelay keeps when the rig's own process did not run, on a machine that is overloaded: what it does and sees then is late by
// that, and says nothing about a controller. It is measured by an alarm that is due each delayTick. The zero value knows of none.
type stallLog struct {
	mu     sync.Mutex
	stalls []stall // in order, apart from each other
}

// delaySpan is a time in which an alarm that was due had not come.
type stall struct{ from, to time.Duration }

// An alarm that comes later than delayLeast is one that a calm machine does not show: its timers are true to some milliseconds.
const (
	stallProbeInterval = 2 * time.Millisecond
	minStall           = 5 * time.Millisecond
)

// measure goes on until its context is over. Times count from began.
func (d *stallLog) measure(ctx context.Context, start time.Time) {
	for ctx.Err() == nil {
		due := time.Since(start) + stallProbeInterval
		time.Sleep(stallProbeInterval)
		if now := time.Since(start); now-due > minStall {
			d.add(stall{due, now})
		}
	}
}

func (d *stallLog) add(s stall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls = append(d.stalls, s)
}

// between is for how long in all the rig did not run between two times.
func (d *stallLog) stalledBetween(from, to time.Duration) (total time.Duration) {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	first, _ := slices.BinarySearchFunc(d.stalls, from, func(s stall, at time.Duration) int { return cmp.Compare(s.to, at) })
	for _, s := range d.stalls[first:] {
		if s.from >= to {
			break
		}
		total += min(s.to, to) - max(s.from, from)
	}
	return total
}
