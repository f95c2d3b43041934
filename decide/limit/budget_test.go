package limit

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget checks by a separate count that no window has more retries than the settings allow, for retries that start as soon
// as they are decided.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{BudgetWindow: time.Second, BudgetFloor: 2, BudgetShare: 0.2}
		l := New(settings)
		var jobTimes, retryTimes []time.Duration
		countWithin := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at <= to {
					n++
				}
			}
			return n
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "job") {
				l.CountJob(now, now)
				jobTimes = append(jobTimes, now)
			} else if l.MayRetry(now) {
				l.CountRetry(now)
				retryTimes = append(retryTimes, now)
				if n := countWithin(retryTimes, now-settings.BudgetWindow, now); float64(n) > settings.BudgetFloor+
					settings.BudgetShare*float64(countWithin(jobTimes, now-settings.BudgetWindow, now)) {
					t.Fatalf("%d retries in the window before %v", n, now)
				}
			}
		}
	})
}

// observedBudget pairs a controller's budget with what an observer sees on the wire: when jobs arrived and when retries were sent.
type observedBudget struct {
	budget                     Budget
	window                     time.Duration
	freeRetries, retriesPerJob float64
	jobTimes, sentTimes        []time.Duration
	pending                    []pendingRetry // by start time
}

// pendingRetry is a retry that was decided and starts later, for example when its connection is up.
type pendingRetry struct{ decidedAt, startsAt, sentAt time.Duration }

// Upper bounds of the random delays until a job is read, until an attempt's connection is up, and until its bytes leave.
const maxReadDelay, maxDialDelay, maxSendDelay = 350 * ms, 1500 * ms, 110 * ms

// startDue starts the pending retries that are due, as far as the budget allows them.
func (o *observedBudget) startDue(now time.Duration) {
	slices.SortStableFunc(o.pending, func(a, b pendingRetry) int { return int(a.startsAt - b.startsAt) })
	for len(o.pending) > 0 && o.pending[0].startsAt <= now {
		a := o.pending[0]
		o.pending = o.pending[1:]
		if a.startsAt == a.decidedAt || o.budget.MayStartRetry(a.decidedAt, a.startsAt) {
			o.sentTimes = append(o.sentTimes, a.sentAt)
		}
	}
}

// maxExcess returns the largest number of retries above the budget, over all windows that end with the start of a retry. The rule
// is kept if it is 0 or less.
func (o *observedBudget) maxExcess() float64 {
	excess := math.Inf(-1)
	for _, t := range o.sentTimes {
		n, jobs := 0, 0
		for _, at := range o.sentTimes {
			if at > t-o.window && at <= t {
				n++
			}
		}
		for _, at := range o.jobTimes {
			if at > t-o.window && at <= t {
				jobs++
			}
		}
		excess = max(excess, float64(n)-o.freeRetries-o.retriesPerJob*float64(jobs))
	}
	return excess
}

// TestBudgetObserved checks the budget as an observer sees it, who counts jobs when they arrive and retries when they are sent.
// Jobs are read late after the process was paused, connections come up late, writers are slow, and the process restarts, which
// forgets its counts and drops pending retries. Phases in which jobs arrive alternate with phases in which attempts fail.
func TestBudgetObserved(t *testing.T) {
	const seeds, steps = 200, 800
	for seed := range int64(seeds) {
		rng := rand.New(rand.NewSource(seed))
		window, maxDelay := 10*time.Second, maxReadDelay
		if rng.Intn(2) == 0 { // the read delay is bounded by a share of the window, not by maxJobReadDelay
			window, maxDelay = window/2, maxDelay/4
		}
		o := &observedBudget{window: window, freeRetries: 2, retriesPerJob: 0.1 + 0.1*rng.Float64()}
		o.budget = newBudget(o.window, o.freeRetries, o.retriesPerJob)
		randomUpTo := func(bound time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(bound))) }
		now, phaseEnd, jobProbability, dialProbability := time.Minute, time.Duration(0), 0.0, 0.0
		for range steps {
			if now >= phaseEnd {
				phaseEnd = now + randomUpTo(4*time.Second)
				jobProbability, dialProbability = []float64{0, 0.3, 0.9, 1}[rng.Intn(4)], rng.Float64()
			}
			now += randomUpTo(100 * ms)
			o.startDue(now)
			switch {
			case rng.Intn(steps) == 0:
				o = &observedBudget{budget: newBudget(o.window, o.freeRetries, o.retriesPerJob), window: o.window,
					freeRetries: o.freeRetries, retriesPerJob: o.retriesPerJob}
			case rng.Float64() < jobProbability:
				o.jobTimes = append(o.jobTimes, now-randomUpTo(maxDelay))
				o.budget.CountJob(now, now)
			default:
				o.retryAll(now, func() (dial, leave time.Duration) {
					if rng.Float64() < dialProbability {
						dial = randomUpTo(maxDialDelay)
					}
					return dial, randomUpTo(maxSendDelay)
				})
			}
		}
		o.startDue(now + maxDialDelay)
		if excess := o.maxExcess(); excess > 0 {
			t.Fatalf("seed %d: %.1f retries above the budget in a window", seed, excess)
		}
	}
}

// retryAll decides as many retries as the budget allows, as happens when all attempts fail at once.
func (o *observedBudget) retryAll(now time.Duration, randomDelays func() (dial, send time.Duration)) {
	for o.budget.MayRetry(now) {
		o.budget.CountRetry(now)
		dial, send := randomDelays()
		o.pending = append(o.pending, pendingRetry{now, now + dial, now + dial + send})
	}
}
