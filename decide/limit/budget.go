package limit

import (
	"slices"
	"time"
)

// Budget is the retry budget of a controller (rule 7). A retry is any attempt of a job after its first. In each sliding window,
// a controller starts at most a fixed number of retries plus a share of the jobs that it took in that window. Jobs and retries
// are counted by the times at which an outside observer sees jobs arrive and attempts start:
//
//   - A job counts from the time it was taken, but only after an attempt of it has ended that reached an engine and was not
//     refused as faulty. Jobs that are refused at once, that repeat an id, that engines can't parse or whose client has left do
//     not count: otherwise any client could increase the retry budget of all others at no cost.
//   - A retry counts from the time it was decided. When it starts, which may be later as it may have waited for a connection,
//     Began checks it again and counts it from then.
//
// Jobs may be read after they arrived, and the bytes of an attempt may leave after it started. The window is therefore shortened
// for jobs by up to maxJobReadDelay and lengthened for retries by attemptSendDelay. The zero value allows everything.
type Budget struct {
	window                     time.Duration
	freeRetries, retriesPerJob float64
	jobTimes                   []time.Duration // times at which the counted jobs were taken, ascending
	retryTimes                 []time.Duration // times at which retries were decided or started, ascending
}

// A job counts for a shorter time than the window, as it may have arrived before it was read: shorter by maxJobReadDelay, or by
// the window divided by windowsPerReadDelay if that is less. A retry counts for attemptSendDelay longer than the window, as its
// bytes may leave after it started.
const (
	maxJobReadDelay     = 500 * time.Millisecond
	windowsPerReadDelay = 20
	attemptSendDelay    = 150 * time.Millisecond
)

// newBudget returns an empty budget. freeRetries is the number of retries allowed in a window without any job, retriesPerJob the
// number of additional retries for each job. A window of 0 allows everything.
func newBudget(window time.Duration, freeRetries, retriesPerJob float64) Budget {
	return Budget{window: window, freeRetries: freeRetries, retriesPerJob: retriesPerJob}
}

// CountJob counts a job that was taken at the given time. now is the current time.
func (b *Budget) CountJob(now, takenAt time.Duration) {
	if b.window == 0 {
		return
	}
	b.dropExpired(now)
	b.jobTimes = insertSorted(b.jobTimes, takenAt)
}

// MayRetry reports whether the budget allows another retry now. It does not count the retry.
func (b *Budget) MayRetry(now time.Duration) bool { return b.allowsRetry(now) }

// CountRetry counts a retry that was decided now.
func (b *Budget) CountRetry(now time.Duration) {
	if b.window == 0 {
		return
	}
	b.dropExpired(now)
	b.retryTimes = insertSorted(b.retryTimes, now)
}

// MayStartRetry is called when a retry is about to start that was decided earlier. It reports whether the retry may start, and if so
// counts it from now on instead of from its decision. If not, the retry stays counted at the time of its decision.
func (b *Budget) MayStartRetry(decidedAt, now time.Duration) bool {
	if b.window == 0 {
		return true
	}
	index, found := slices.BinarySearch(b.retryTimes, decidedAt)
	if found {
		b.retryTimes = slices.Delete(b.retryTimes, index, index+1)
	}
	if !b.allowsRetry(now) {
		b.retryTimes = insertSorted(b.retryTimes, decidedAt)
		return false
	}
	b.retryTimes = insertSorted(b.retryTimes, now)
	return true
}

// allowsRetry reports whether one more retry fits into the budget.
func (b *Budget) allowsRetry(now time.Duration) bool {
	if b.window == 0 {
		return true
	}
	b.dropExpired(now)
	readDelay := min(maxJobReadDelay, b.window/windowsPerReadDelay)
	jobs := len(b.jobTimes) - firstAfter(b.jobTimes, now-b.window+readDelay)
	retries := len(b.retryTimes)
	return float64(retries+1) <= b.freeRetries+b.retriesPerJob*float64(jobs)
}

// dropExpired drops the times that no window ending at or after now contains.
func (b *Budget) dropExpired(now time.Duration) {
	b.jobTimes = b.jobTimes[firstAfter(b.jobTimes, now-b.window):]
	b.retryTimes = b.retryTimes[firstAfter(b.retryTimes, now-b.window-attemptSendDelay):]
}

// firstAfter returns the index of the first time later than the given one; times are ascending.
func firstAfter(times []time.Duration, after time.Duration) int {
	index, _ := slices.BinarySearch(times, after+1)
	return index
}

func insertSorted(times []time.Duration, at time.Duration) []time.Duration {
	return slices.Insert(times, firstAfter(times, at), at)
}
