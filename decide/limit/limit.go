// Package limit implements the limits that a controller enforces without talking to the others: the retry budget (rule 7), the
// work sent to an engine that has just started (rule 4), and the job rates of customers. Each controller enforces its own part
// of a limit, so that the parts of all controllers together stay within the limit of the fleet. The package does no I/O and reads
// no clock; times are whole nanoseconds of one monotonic clock.
//
// It guarantees, with equal parts for all controllers: no window has more retries than the settings allow (Budget); in any span
// of Settings.CollapsePeriod, all controllers together send a cold engine no more than the share coldUsableShare of the work that makes it
// fail, as long as no controller has turns at more than one engine at a time.
package limit

import (
	"math"
	"time"
)

// CustomerID identifies the customer who pays for a job.
type CustomerID string

// Customer is a customer with its job rate.
type Customer struct {
	Name          CustomerID
	JobsPerSecond float64 // jobs per second over all controllers; 0 means no limit
}

// Settings are the limits that operators configure. A limit of zero is disabled.
type Settings struct {
	Controllers      int
	Number           int // number of this controller, counted from 0
	Customers        []Customer
	BudgetWindow     time.Duration
	BudgetFloor      float64       // retries allowed in a window without any job
	BudgetShare      float64       // additional retries for each job taken in the window
	StartCapacity    float64       // share of its capacity that an engine has when it starts
	ColdPeriod       time.Duration // time from an engine's start until it has its full capacity
	CollapseMultiple float64       // multiple of its current capacity at which a cold engine fails
	CollapsePeriod   time.Duration // span within which work of that multiple makes it fail
}

// Limits are the limits of one controller.
type Limits struct {
	Budget
	settings    Settings
	controllers float64
	buckets     map[CustomerID]*tokenBucket
	firstCallAt time.Duration // time of the first call that records it, taken as the start of the process
	called      bool          // whether that time is set
}

// New returns the limits of a controller that starts.
func New(settings Settings) *Limits {
	l := &Limits{Budget: newBudget(settings.BudgetWindow, settings.BudgetFloor, settings.BudgetShare), settings: settings,
		controllers: math.Max(1, float64(settings.Controllers)), buckets: map[CustomerID]*tokenBucket{}}
	for _, c := range settings.Customers {
		l.buckets[c.Name] = &tokenBucket{tokensPerSecond: c.JobsPerSecond / l.controllers}
	}
	return l
}

// tokenBucket is the token bucket of a customer.
type tokenBucket struct {
	tokens, tokensPerSecond float64
	refilledAt              time.Duration
}

// TakeCustomerShare reports whether a job of the customer is within its rate, and if so takes a token for it. A customer without a rate is
// always within it. Tokens accumulate for up to one second, so that a short burst is not above the rate.
func (l *Limits) TakeCustomerShare(now time.Duration, customer CustomerID) bool {
	l.recordFirstCall(now)
	bucket := l.buckets[customer]
	if bucket == nil || bucket.tokensPerSecond <= 0 {
		return true
	}
	bucket.tokens = math.Min(bucket.tokens+bucket.tokensPerSecond*(now-bucket.refilledAt).Seconds(), math.Max(1, bucket.tokensPerSecond))
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// recordFirstCall records the time of the first call as the start of the controller's process.
func (l *Limits) recordFirstCall(now time.Duration) {
	if !l.called {
		l.firstCallAt, l.called = now, true
	}
}
