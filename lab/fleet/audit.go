package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Audit counts violations of the protocol's rules, judged from what clients and engines saw on the wire. In a run that kept every
// rule all counters are 0; Cold is a measurement and no violation. Jobs sent to a controller that was then killed do not count as lost.
// Rule 5, which orders jobs by a key, is not checked, because no kind of job in this rig has an ordering key.
type Audit struct {
	Lost     int `json:"lost"`           // rule 1: jobs that were never answered
	Overdue  int `json:"overdue"`        // rule 1: jobs answered later than their deadline plus answerGrace
	Doubled  int `json:"answered_twice"` // rule 1: answers beyond the first to a job, and answers to jobs that were never sent
	Repeated int `json:"repeated"`       // rule 2: jobs sent again although they may have run and must not run twice
	Drained  int `json:"after_drain"`    // rule 3: attempts that reached an engine later than drainGrace after its controller learned of the drain
	Felled   int `json:"felled"`         // rule 4: engines that received more work after a cold start than they can bear
	Strayed  int `json:"misplaced"`      // rule 6: attempts at an engine that the job's class does not allow
	Excess   int `json:"over_budget"`    // rule 7: attempts after a job's first that exceed the retry budget
	Together int `json:"at_once"`        // jobs with two attempts at engines at the same time
	Crashes  int `json:"crashes"`        // processes that ended without being told to, ended with an error, or did not start again
	Unwanted int `json:"after_client"`   // attempts that reached an engine later than abandonGrace after their client gave up
	Overtold int `json:"told_too_long"`  // attempts whose engine was told a longer wait than their client had left
	Violated int `json:"violations"`     // violations and panics that the processes logged themselves

	Unbidden   int `json:"ended_unbidden"` // process exits for which the rig had sent no terminating signal
	OverMemory int `json:"over_memory"`    // processes whose resident memory exceeded their limit

	Cold float64 `json:"cold_most"` // highest load of an engine after a cold start, relative to what overloads it; no violation by itself
}

// Broken reports whether any rule was violated.
func (a Audit) Broken() bool {
	a.Cold = 0
	return a != Audit{}
}

// evidence holds what clients, engines and discovery saw during a run, and the limits that the rules are checked against.
type evidence struct {
	sentJobs         map[string]*sentJob
	hosts            []*host
	attempts         []hostAttempt
	breached         map[int]bool  // controllers with a violation; nil: not recorded
	restarted        map[int]bool  // controllers that a fault ended: their next process starts without state, so their retry budget is not checked
	slack            time.Duration // how late an event may be observed
	stalls           *stallLog     // when the rig itself did not run
	overlapTolerance time.Duration // how long an abandoned attempt may continue at its engine
	budget           attemptBudget
	cold             coldStart
	dedupWindow      time.Duration // how long an engine recognizes a repeat of a job with a dedup key
	logf             func(format string, args ...any)
}

// report counts one violation and logs the job with the attempts that show it.
func (e *evidence) report(count *int, rule, id string, job *sentJob, attempts ...hostAttempt) {
	*count++
	if e.breached != nil {
		e.breached[job.controller] = true
	}
	if e.logf == nil {
		return
	}
	text := fmt.Sprintf("%s: %s of controller %d, %s, sent at %v, abandoned at %v", rule, id, job.controller,
		job.kind.name, job.sentAt, job.abandonedAt)
	for _, attempt := range attempts {
		text += fmt.Sprintf("; at %s %v to %v, told to wait %v", attempt.host.name, attempt.ArrivedAt, attempt.closedAt, attempt.toldWait)
	}
	e.logf("%s", text)
}

// sentJob is a job as its client sent it. Times count from the start of the run.
type sentJob struct {
	controller  int
	kind        *jobKind
	sentAt      time.Duration
	incarnation int           // of the client group when the job was sent
	abandonedAt time.Duration // when its client gave up; 0: it did not
}

// hostAttempt is an attempt together with the engine that it reached.
type hostAttempt struct {
	observedAttempt
	host *host
}

// attemptBudget is the retry budget of a controller: within window, base attempts beyond the first ones, plus perJob for each job.
type attemptBudget struct {
	window       time.Duration
	base, perJob float64
}

// coldStart describes how much load an engine bears after a cold start. Its capacity rises from startCapacity to 1 over duration; it is
// overloaded by more than overloadFactor times its capacity within loadWindow.
type coldStart struct {
	duration, loadWindow, meanJobWork time.Duration
	startCapacity, overloadFactor     float64
}

// The protocol allows an attempt to reach an engine for abandonGrace after its client has given up, and the wait that an engine is told
// to exceed the client's remaining time by toldWaitSlack. minSlack is the delay that a loaded machine adds to observed times.
const (
	abandonGrace  = 100 * time.Millisecond
	toldWaitSlack = 150 * time.Millisecond
	minSlack      = 150 * time.Millisecond
)

// checkRules checks the evidence against each rule and counts violations in a. Events on the wire are observed later than the
// controller decides on them; the slack makes up for that.
func (e *evidence) checkRules(a *Audit) {
	slices.SortStableFunc(e.attempts, func(x, y hostAttempt) int { return cmp.Compare(x.ArrivedAt, y.ArrivedAt) })
	byJob := map[string][]hostAttempt{}
	extraAttempts := map[int][]time.Duration{}
	sentTimes := map[int][]time.Duration{}
	for _, job := range e.sentJobs {
		sentTimes[job.controller] = append(sentTimes[job.controller], job.sentAt)
	}
	for _, attempt := range e.attempts {
		job := e.sentJobs[attempt.id]
		if job == nil {
			continue // sent while the run ended
		}
		if drainToldAt, draining := attempt.host.drainToldAt[job.controller]; draining && attempt.ArrivedAt > drainToldAt+drainGrace+e.slack {
			e.report(&a.Drained, "attempt after drain", attempt.id, job, attempt)
		}
		if job.abandonedAt > 0 && attempt.ArrivedAt > job.abandonedAt+abandonGrace+e.slack {
			e.report(&a.Unwanted, "attempt after its client gave up", attempt.id, job, attempt)
		}
		if attempt.toldWait > 0 && attempt.ArrivedAt+attempt.toldWait > job.sentAt+job.kind.deadline+toldWaitSlack+
			e.slack-minSlack+e.stalls.stalledBetween(job.sentAt, attempt.ArrivedAt) {
			e.report(&a.Overtold, "engine told too long a wait", attempt.id, job, attempt)
		}
		if job.kind.requiredRoom != "" && attempt.host.room != job.kind.requiredRoom {
			a.Strayed++
		}
		if len(byJob[attempt.id]) > 0 {
			extraAttempts[job.controller] = append(extraAttempts[job.controller], attempt.ArrivedAt)
		}
		byJob[attempt.id] = append(byJob[attempt.id], attempt)
	}
	for id, attempts := range byJob {
		if e.repeatedUnsafely(e.sentJobs[id].kind, attempts) {
			e.report(&a.Repeated, "repeated", id, e.sentJobs[id], attempts...)
		}
		spans := make([][2]time.Duration, len(attempts))
		for n, attempt := range attempts {
			spans[n] = [2]time.Duration{attempt.ArrivedAt, attempt.closedAt}
		}
		if overlap(spans, e.overlapTolerance) {
			e.report(&a.Together, "two attempts at once", id, e.sentJobs[id], attempts...)
		}
	}
	for controller, times := range extraAttempts {
		if !e.restarted[controller] {
			a.Excess += e.countOverBudget(times, sentTimes[controller])
		}
	}
	e.checkColdEngines(a)
}

// repeatedUnsafely reports whether a job was sent again although an earlier attempt started and the job must not run twice: at any
// time, or for jobs with a dedup key once the engine no longer recognizes the repeat.
func (e *evidence) repeatedUnsafely(k *jobKind, attempts []hostAttempt) bool {
	for n, attempt := range attempts {
		for _, earlier := range attempts[:n] {
			if earlier.StartedAt == 0 { // rejected, or lost before it ran
				continue
			}
			if k.neverRepeated || k.hasDedupKey && attempt.ArrivedAt > earlier.ArrivedAt+e.dedupWindow+e.slack {
				return true
			}
		}
	}
	return false
}

// countOverBudget returns how many of a controller's extra attempts exceed its retry budget. The protocol tolerates 15% and one attempt
// more. extraAttempts must be in order of time; sentTimes gets sorted.
func (e *evidence) countOverBudget(extraAttempts, sentTimes []time.Duration) (overBudget int) {
	slices.Sort(sentTimes)
	for last, t := range extraAttempts {
		inWindow := 0
		for _, other := range extraAttempts[:last+1] {
			if other > t-e.budget.window+e.slack {
				inWindow++
			}
		}
		from, _ := slices.BinarySearch(sentTimes, t-e.budget.window-e.slack)
		to, _ := slices.BinarySearch(sentTimes, t)
		if float64(inWindow) > 1+1.15*(e.budget.base+e.budget.perJob*float64(to-from)) {
			overBudget++
		}
	}
	return overBudget
}

// checkColdEngines checks engines that were announced as started cold. Within any loadWindow they may receive as many jobs of mean work
// as their capacity allows, and for chance three times the square root of that number and three more. The acceptance test counts the
// same way.
func (e *evidence) checkColdEngines(a *Audit) {
	for _, h := range e.hosts {
		if h.coldStartedAt == 0 {
			continue
		}
		var arrived []hostAttempt
		for _, attempt := range e.attempts {
			if attempt.host == h && attempt.ArrivedAt >= h.coldStartedAt && attempt.ArrivedAt < h.coldStartedAt+e.cold.duration {
				arrived = append(arrived, attempt)
			}
		}
		maxLoad := 0.0
		for n, first := range arrived {
			work := 0.0
			for _, attempt := range arrived[n:] {
				if attempt.ArrivedAt >= first.ArrivedAt+e.cold.loadWindow {
					break
				}
				work += attempt.Work.Seconds()
			}
			age := float64(first.ArrivedAt-h.coldStartedAt) / float64(e.cold.duration)
			capacity := e.cold.overloadFactor * (e.cold.startCapacity + (1-e.cold.startCapacity)*age) * float64(h.cores) * e.cold.loadWindow.Seconds()
			meanJobs := capacity / e.cold.meanJobWork.Seconds()
			maxLoad = max(maxLoad, work/((meanJobs+3*math.Sqrt(meanJobs)+3)*e.cold.meanJobWork.Seconds()))
		}
		if a.Cold = max(a.Cold, maxLoad); maxLoad > 1 {
			a.Felled++
		}
	}
}

// overlap reports whether two spans of one job overlap by more than the tolerance. It sorts them by start. An end of 0 means that the span
// was still open at the end of the run; only the last one may be.
func overlap(spans [][2]time.Duration, tolerance time.Duration) bool {
	slices.SortFunc(spans, func(a, b [2]time.Duration) int { return cmp.Compare(a[0], b[0]) })
	for n := 1; n < len(spans); n++ {
		if spans[n-1][1] == 0 || spans[n-1][1] > spans[n][0]+tolerance {
			return true
		}
	}
	return false
}
