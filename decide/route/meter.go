package route

import (
	"cmp"
	"math"
	"time"
)

// meter holds the use of a route's limits and its counters. All versions that have a route of the same name share it,
// so that adopting a new version does not reset the limits.
type meter struct {
	openJobs, inFlight int           // open jobs, and those of them that have an attempt under way; the others are held
	tokens             float64       // token bucket of the rate
	refilledAt         time.Duration // time of the last refill
	initialized        bool          // whether the bucket was ever filled
	lastDeparture      time.Duration // when a job last left the held ones
	meanInterval       float64       // moving average of the time between two departures, in nanoseconds
	samples            float64       // number of intervals in the average, at most 10
	rateReservedUntil  time.Duration // until when tokens are reserved for refused jobs, which may be submitted again
	placeReservedUntil time.Duration // the same for places among the held jobs
	buckets            [budgetBuckets]budgetBucket
	Counts             Counts
}

// Counts has the counters of a route since it got its first job.
type Counts struct {
	Taken, Fallback, Overflowed, Moved, GivenUp, Trials int64
	Refused                                             [reasons]int64
}

// Reason is the reason for which a route refuses a job.
type Reason int

const (
	OverRate Reason = iota
	TooManyHeld
	NoPool
	reasons
)

func (r Reason) String() string {
	return [...]string{"over the route's rate", "too many held", "no pool is usable"}[r]
}

// maxReservation bounds how far ahead a token or a place is reserved for a refused job. A job that was told to wait for
// longer would come back to find the rate unused.
const maxReservation = time.Minute

// takeToken takes a token of the route's rate. If there is none, it reserves a future one and returns the time until
// then. Within maxReservation, no two refused jobs reserve the same token.
func (m *meter) takeToken(now time.Duration, p *Policy) (retryAfter time.Duration, ok bool) {
	if p.Rate == 0 {
		return 0, true
	}
	capacity := math.Max(cmp.Or(p.Burst, p.Rate), 1)
	if m.tokens = math.Min(m.tokens+p.Rate*(now-m.refilledAt).Seconds(), capacity); !m.initialized {
		m.tokens, m.initialized = capacity, true
	}
	if m.refilledAt = now; m.tokens >= 1 {
		m.tokens--
		return 0, true
	}
	interval := 1 / p.Rate
	earliest := now + seconds((1-m.tokens)*interval)
	m.rateReservedUntil = min(max(m.rateReservedUntil+seconds(interval), earliest), now+maxReservation)
	return m.rateReservedUntil - now, false
}

func seconds(s float64) time.Duration { return time.Duration(math.Min(s, 1e6) * float64(time.Second)) }

// reservePlace reports whether one more job may be held. If not, it reserves a place that is expected to become free
// and returns the time until then. Within maxReservation, no two refused jobs reserve the same place.
func (m *meter) reservePlace(now time.Duration, p *Policy) (retryAfter time.Duration, ok bool) {
	if p.MaxHeld == 0 || m.openJobs-m.inFlight < p.MaxHeld {
		return 0, true
	}
	interval := time.Duration(m.meanInterval)
	if interval == 0 {
		interval = time.Second // no job has departed yet, so the interval is unknown
	}
	// While no job departs, the average interval is too short an estimate.
	earliest := max(m.lastDeparture+interval, now+interval/2, now+(now-m.lastDeparture)/4)
	m.placeReservedUntil = min(max(m.placeReservedUntil+interval, earliest), now+maxReservation)
	return m.placeReservedUntil - now, false
}

// recordDeparture updates the average interval at which jobs leave the held ones.
func (m *meter) recordDeparture(now time.Duration) {
	if m.lastDeparture > 0 {
		// The average is over about ten jobs, and a pause counts as no more than ten average intervals.
		interval := float64(now - m.lastDeparture)
		if m.samples = math.Min(m.samples+1, 10); m.samples > 3 {
			interval = math.Min(interval, 10*math.Max(m.meanInterval, float64(time.Millisecond)))
		}
		m.meanInterval += (interval - m.meanInterval) / m.samples
	}
	m.lastDeparture = now
}

// The retry budget counts jobs and retries in buckets of its sliding window. The oldest bucket, which is partly outside
// of the window, is counted against the route: its retries still count, its jobs no longer do.
const budgetBuckets = 16

// budgetBucket has the jobs admitted and the retries begun in one part of the window.
type budgetBucket struct {
	index         int64
	jobs, retries int
}

// bucket returns the bucket of the current time. It resets the bucket if it was last used for an earlier time.
func (m *meter) bucket(now time.Duration, p *Policy) *budgetBucket {
	index := int64(now / max(p.RetryBudgetWindow/(budgetBuckets-1), 1))
	current := &m.buckets[index%budgetBuckets]
	if current.index != index {
		*current = budgetBucket{index: index}
	}
	return current
}

// retryAllowed reports whether the retry budget of the route allows one more retry.
func (m *meter) retryAllowed(now time.Duration, p *Policy) bool {
	if !p.RetryBudgetSet {
		return true
	}
	newest := m.bucket(now, p).index
	jobs, retries := 0, 0
	for _, bucket := range m.buckets {
		if bucket.index > newest-budgetBuckets {
			retries += bucket.retries
			if bucket.index > newest-budgetBuckets+1 {
				jobs += bucket.jobs
			}
		}
	}
	return float64(retries+1) <= float64(p.RetryBudgetFloor)+p.RetryBudgetShare*float64(jobs)
}
