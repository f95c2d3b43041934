// Package limit keeps the amounts that a controller may use by itself: further attempts (rule 7), work for an engine
// that has just started (rule 4), and what is within a customer's share. Each controller keeps its own part, with no word
// from the others, so that all parts together stay within the whole. It does no I/O and asks no clock; times are whole
// nanoseconds of one clock that only moves forward.
//
// Its promises, with equal parts for all controllers: in no window more further attempts than the settings allow; to a
// cold engine, over any span of the settings, no more from all controllers together than the share named at coldShare of
// what makes it fall, as long as no controller has more than one engine's turn at a time.
package limit

import (
	"math"
	"sort"
	"time"
)

// CustomerID names who pays for jobs.
type CustomerID string

// Customer has a share of the fleet's jobs a second.
type Customer struct {
	Name     CustomerID
	JobsPerS float64 // over all controllers; 0 for no share
}

// Settings are the operators' figures. A limit of zero is off.
type Settings struct {
	Controllers   int
	Number        int // of this controller, from 0
	Customers     []Customer
	BudgetWindow  time.Duration
	BudgetFree    float64
	BudgetShare   float64       // of the jobs taken in the window
	StartCapacity float64       // of an engine, as it starts
	Cold          time.Duration // until it has all of it
	FallMultiple  float64       // of its capacity, at which it falls
	Fall          time.Duration // in which that has to come
}

// Limits of one controller.
type Limits struct {
	set            Settings
	many           float64
	customers      map[CustomerID]*customer
	taken, further []time.Duration // jobs taken and further attempts in the window
}

// New gives the limits of a controller that starts.
func New(set Settings) *Limits {
	l := &Limits{set: set, many: math.Max(1, float64(set.Controllers)), customers: map[CustomerID]*customer{}}
	for _, c := range set.Customers {
		l.customers[c.Name] = &customer{perS: c.JobsPerS / l.many}
	}
	return l
}

type customer struct {
	tokens, perS float64
	filled       time.Duration
}

// Within takes one of the customer's tokens, which gather for a second, so that a short bunch is not over its share.
func (l *Limits) Within(now time.Duration, name CustomerID) bool {
	c := l.customers[name]
	if c == nil || c.perS <= 0 {
		return true
	}
	c.tokens = math.Min(c.tokens+c.perS*(now-c.filled).Seconds(), math.Max(1, c.perS))
	c.filled = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// JobTaken earns what further attempts are allowed for it.
func (l *Limits) JobTaken(now time.Duration) {
	if l.set.BudgetWindow > 0 {
		l.forget(now)
		l.taken = append(l.taken, now)
	}
}

// Repeated spends a further attempt.
func (l *Limits) Repeated(now time.Duration) {
	if l.set.BudgetWindow > 0 {
		l.further = append(l.further, now)
	}
}

// MayRepeat keeps rule 7.
func (l *Limits) MayRepeat(now time.Duration) bool {
	if l.set.BudgetWindow == 0 {
		return true
	}
	l.forget(now)
	return float64(len(l.further)+1) <= l.set.BudgetFree+l.set.BudgetShare*float64(len(l.taken))
}

// forget what is past the window. The edge counts against us: it may be drawn either way.
func (l *Limits) forget(now time.Duration) {
	from := now - l.set.BudgetWindow
	l.taken = l.taken[sort.Search(len(l.taken), func(n int) bool { return l.taken[n] > from }):]
	l.further = l.further[sort.Search(len(l.further), func(n int) bool { return l.further[n] >= from }):]
}
