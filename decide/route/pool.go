package route

import (
	"math"
	"time"
)

// engine is what the list and the decision module say of one.
type engine struct {
	Engine
	up        bool // listed, and neither draining nor gone
	suspected bool
}

// poolState is a pool of one version while some route of it is in use.
type poolState struct {
	*Pool
	version        *version
	members        map[EngineID]*engine // that are up
	usable         int                  // of them, not suspected
	gone           bool                 // a later version has no such pool
	recent, before int                  // most members in this span of sizeSpan and the one before
	spanned        time.Duration        // when this span began
	users          []*routeState
	trial          time.Duration // when the next job may look whether a suspected engine answers again
}

// sizeSpan guards against a pool whose lost engines are forgotten, and which so seems whole: its size is the most it
// had in the last five to ten minutes. An operator who takes engines out for longer means it.
const sizeSpan = 5 * time.Minute

func (p *poolState) size(now time.Duration) int {
	if p.Size > 0 {
		return p.Size
	}
	if now-p.spanned >= sizeSpan {
		if p.before = p.recent; now-p.spanned >= 2*sizeSpan {
			p.before = len(p.members)
		}
		p.recent, p.spanned = len(p.members), now
	}
	p.recent = max(p.recent, len(p.members))
	return max(p.recent, p.before)
}

// fit tells whether the pool has its minimum of usable engines.
func (p *poolState) fit(now time.Duration) bool {
	least := max(p.MinCount, 1)
	if p.MinShare > 0 {
		least = max(int(math.Ceil(p.MinShare*float64(p.size(now))-1e-9)), 1)
	}
	return !p.gone && p.usable >= least
}

// count works out what the members' states come to.
func (p *poolState) count(now time.Duration) {
	p.usable = 0
	for _, e := range p.members {
		if !e.suspected {
			p.usable++
		}
	}
	p.size(now)
}

// standing is where a pool stands for one route.
type standing int

const (
	inUse     standing = iota
	sinking            // under its minimum, not yet for long enough to leave it
	down               // under its minimum: fallbacks are used
	rising             // fit again, not yet for long enough to come back
	returning          // gets a growing share of new jobs
)

func (s standing) String() string {
	return [...]string{"in use", "sinking", "down", "rising", "returning"}[s]
}

// leg is a pool as one route uses it.
type leg struct {
	pool  *poolState
	stand standing
	since time.Duration
}

// update moves a leg on, and tells whether it did. Time on both ways guards against flapping: a pool that is fit and
// unfit in turn stays in use or stays down.
func (l *leg) update(now time.Duration, p *Policy) (changed bool) {
	was := l.stand
	fit := l.pool.fit(now)
	switch {
	case l.pool.gone:
		l.stand = down
	case l.stand == inUse && !fit:
		l.stand, l.since = sinking, now
	case l.stand == sinking && fit:
		l.stand = inUse
	case l.stand == down && fit:
		l.stand, l.since = rising, now
	case (l.stand == rising || l.stand == returning) && !fit:
		l.stand = down
	}
	if l.stand == sinking && now-l.since >= p.FallbackWait {
		l.stand = down
	}
	if l.stand == rising && now-l.since >= p.ReturnWait {
		l.stand, l.since = returning, now
	}
	if l.stand == returning && now-l.since >= p.ReturnOver {
		l.stand = inUse
	}
	return l.stand != was
}

// timed tells that a leg may move on by time alone.
func (l *leg) timed() bool { return l.stand == sinking || l.stand == rising || l.stand == returning }

// share is the part of new jobs that a leg takes.
func (l *leg) share(now time.Duration, p *Policy) float64 {
	switch l.stand {
	case inUse, sinking:
		return 1
	case returning:
		return float64(now-l.since) / float64(max(p.ReturnOver, 1))
	}
	return 0
}
