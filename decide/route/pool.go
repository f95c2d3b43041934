package route

import (
	"math"
	"time"
)

// engine is an engine of the list, with what the decision module (package logic) reports about it.
type engine struct {
	Engine
	available bool // listed and not draining
	suspected bool
}

// poolState is the state of a pool of one version.
type poolState struct {
	*Pool
	version                 *version
	members                 map[EngineID]*engine // members that are available
	usableCount             int                  // number of members that are not suspected
	removed                 bool                 // the newest version has no pool of this name
	currentMax, previousMax int                  // maximum number of members in the current and the previous window
	windowStart             time.Duration        // start of the current window; see sizeWindow
	routes                  []*routeState        // routes that use the pool
	nextTrialAt             time.Duration        // earliest time of the next trial; see trialInterval
}

// sizeWindow is the length of the windows over which the size of a pool is tracked. Without a configured size, a pool
// counts as large as its maximum over the current and the previous window, that is over the last five to ten minutes.
// Otherwise a pool whose failed engines had left the list would look complete. Engines that are out for longer are
// taken to have been removed on purpose.
const sizeWindow = 5 * time.Minute

// expectedSize returns the configured number of engines, or else the maximum number of members in the current and the
// previous window. It also starts a new window when it is due.
func (p *poolState) expectedSize(now time.Duration) int {
	if p.Size > 0 {
		return p.Size
	}
	if now-p.windowStart >= sizeWindow {
		if p.previousMax = p.currentMax; now-p.windowStart >= 2*sizeWindow {
			p.previousMax = len(p.members)
		}
		p.currentMax, p.windowStart = len(p.members), now
	}
	p.currentMax = max(p.currentMax, len(p.members))
	return max(p.currentMax, p.previousMax)
}

// healthy reports whether the pool has its minimum of usable engines. A removed pool is not healthy.
func (p *poolState) healthy(now time.Duration) bool {
	minUsable := max(p.MinCount, 1)
	if p.MinShare > 0 {
		minUsable = max(int(math.Ceil(p.MinShare*float64(p.expectedSize(now))-1e-9)), 1)
	}
	return !p.removed && p.usableCount >= minUsable
}

// refreshCounts recounts the usable members and updates the tracked size.
func (p *poolState) refreshCounts(now time.Duration) {
	p.usableCount = 0
	for _, e := range p.members {
		if !e.suspected {
			p.usableCount++
		}
	}
	p.expectedSize(now)
}

// poolStatus is the status of a pool for one route. Failover and failback are delayed by the policy's waits.
type poolStatus int

const (
	inUse           poolStatus = iota
	failoverPending            // below its minimum, but for less than FailoverDelay: still used; "sinking" in logs
	down                       // below its minimum: fallbacks are used
	failbackPending            // healthy again, but for less than FailbackDelay: not used yet; "rising" in logs
	rampingUp                  // takes a growing share of new jobs for SlowStart; "returning" in logs
)

func (s poolStatus) String() string {
	return [...]string{"in use", "sinking", "down", "rising", "returning"}[s]
}

// poolUse is a pool as one route uses it.
type poolUse struct {
	pool        *poolState
	status      poolStatus
	statusSince time.Duration // when the status began, where it ends after a time
}

// update brings the status up to date and reports whether it changed. Failover and failback both need a wait, which
// guards against flapping: a pool that alternates between healthy and unhealthy stays in use or stays down.
func (u *poolUse) update(now time.Duration, policy *Policy) (changed bool) {
	previous := u.status
	healthy := u.pool.healthy(now)
	switch {
	case u.pool.removed:
		u.status = down
	case u.status == inUse && !healthy:
		u.status, u.statusSince = failoverPending, now
	case u.status == failoverPending && healthy:
		u.status = inUse
	case u.status == down && healthy:
		u.status, u.statusSince = failbackPending, now
	case (u.status == failbackPending || u.status == rampingUp) && !healthy:
		u.status = down
	}
	if u.status == failoverPending && now-u.statusSince >= policy.FailoverDelay {
		u.status = down
	}
	if u.status == failbackPending && now-u.statusSince >= policy.FailbackDelay {
		u.status, u.statusSince = rampingUp, now
	}
	if u.status == rampingUp && now-u.statusSince >= policy.SlowStart {
		u.status = inUse
	}
	return u.status != previous
}

// timed reports whether the status may change by time alone.
func (u *poolUse) timed() bool {
	return u.status == failoverPending || u.status == failbackPending || u.status == rampingUp
}

// jobShare returns the share of new jobs that the pool takes, from 0 to 1.
func (u *poolUse) jobShare(now time.Duration, policy *Policy) float64 {
	switch u.status {
	case inUse, failoverPending:
		return 1
	case rampingUp:
		return float64(now-u.statusSince) / float64(max(policy.SlowStart, 1))
	}
	return 0
}
