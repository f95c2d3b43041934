package route

import (
	"cmp"
	"math"
	"time"
)

// meter counts what a route has and had, over all versions that know it by its name, so that a new version neither
// forgives nor forgets.
type meter struct {
	jobs, out int           // open; of them, attempted
	tokens    float64       // of the rate
	filled    time.Duration // when they were last
	begun     bool          // ever
	left      time.Duration // when a job last left the held ones, and the mean time between
	between   float64
	gaps      float64       // that it rests on
	rateAt    time.Duration // until when the rate is promised to jobs that were told to come back
	heldAt    time.Duration // the same for places among the held
	spans     [budgetParts]span
	Counts    Counts
}

// Counts are a route's figures since the start.
type Counts struct {
	Taken, Fallback, Overflowed, Moved, GivenUp, Trials int64
	Refused                                             [reasons]int64
}

// Reason is why a route turns a job away.
type Reason int

const (
	OverRate Reason = iota
	OverHeld
	NoPool
	reasons
)

func (r Reason) String() string {
	return [...]string{"over the route's rate", "too many held", "no pool is usable"}[r]
}

// mostAhead bounds how far ahead places are promised; who is told more comes back to find the rate free.
const mostAhead = time.Minute

// rate takes a token, or tells when one will be there that is promised to nobody else.
func (m *meter) rate(now time.Duration, p *Policy) (comeBack time.Duration, ok bool) {
	if p.Rate == 0 {
		return 0, true
	}
	most := math.Max(cmp.Or(p.Burst, p.Rate), 1)
	if m.tokens = math.Min(m.tokens+p.Rate*(now-m.filled).Seconds(), most); !m.begun {
		m.tokens, m.begun = most, true
	}
	if m.filled = now; m.tokens >= 1 {
		m.tokens--
		return 0, true
	}
	gap := 1 / p.Rate
	first := now + seconds((1-m.tokens)*gap)
	m.rateAt = min(max(m.rateAt+seconds(gap), first), now+mostAhead)
	return m.rateAt - now, false
}

func seconds(s float64) time.Duration { return time.Duration(math.Min(s, 1e6) * float64(time.Second)) }

// place tells whether one more may be held, or when a place will be free that is promised to nobody else.
func (m *meter) place(now time.Duration, p *Policy) (comeBack time.Duration, ok bool) {
	if p.MostHeld == 0 || m.jobs-m.out < p.MostHeld {
		return 0, true
	}
	gap := time.Duration(m.between)
	if gap == 0 {
		gap = time.Second // nothing has left yet, so that nothing is known
	}
	// Where the route stands still, its mean says too little.
	first := max(m.left+gap, now+gap/2, now+(now-m.left)/4)
	m.heldAt = min(max(m.heldAt+gap, first), now+mostAhead)
	return m.heldAt - now, false
}

// departs learns how often a job leaves the held ones.
func (m *meter) departs(now time.Duration) {
	if m.left > 0 {
		// Over some ten jobs, and a pause counts for no more than ten of them.
		gap := float64(now - m.left)
		if m.gaps = math.Min(m.gaps+1, 10); m.gaps > 3 {
			gap = math.Min(gap, 10*math.Max(m.between, float64(time.Millisecond)))
		}
		m.between += (gap - m.between) / m.gaps
	}
	m.left = now
}

// The budget of further attempts counts by parts of its span. The part at the edge counts against the route:
// its further attempts still, its jobs no more.
const budgetParts = 16

type span struct {
	number         int64
	taken, further int
}

func (m *meter) span(now time.Duration, p *Policy) *span {
	number := int64(now / max(p.FurtherSpan/(budgetParts-1), 1))
	s := &m.spans[number%budgetParts]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}

// further tells whether the route's own budget has room for one more further attempt.
func (m *meter) further(now time.Duration, p *Policy) bool {
	if !p.FurtherSet {
		return true
	}
	newest := m.span(now, p).number
	taken, further := 0, 0
	for _, s := range m.spans {
		if s.number > newest-budgetParts {
			further += s.further
			if s.number > newest-budgetParts+1 {
				taken += s.taken
			}
		}
	}
	return float64(further+1) <= float64(p.FurtherFree)+p.FurtherShare*float64(taken)
}
