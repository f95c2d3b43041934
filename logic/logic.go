package logic

// This file makes all decisions of a controller. A caller creates a Controller with New and then calls one method
// per event, with the current time as first argument. A method acts by calling the Host given to New. The
// interfaces in both directions, Module and Host, are in host.go. Queued jobs are dispatched in order of least
// static slack; docs/design.md describes the design and each exception to that order.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// attempt is one dispatch of a job to an engine.
type attempt struct {
	engine          *engine
	location        Location // location of the engine at the time of sending; the engine may move later
	cell            Cell     // cell of the engine at the time of sending
	sentAt          time.Duration
	expectedLatency time.Duration // the estimated latency E at the time of sending
	progress        float64       // fraction of the job that is done, from the last progress note, 0 to 1
	progressAt      time.Duration // time of the last progress note, or the time of sending
	recalled        bool          // Host.Recall was called for it
	answerStarted   bool          // the answer has started to arrive and is already being passed on to the client
}

// job is the state of a job. It is kept until the job has its final answer and no attempt is in flight.
type job struct {
	id                 JobID
	class              *class
	keyQueue           *keyQueue // queue of its order key, or nil if its class is unordered or it has no key
	seq                int       // number in order of arrival
	attemptCount       int       // attempts dispatched so far
	dispatchLevel      int       // 0 to 2, lowest first; set by updatePriority as are the next two fields
	backlogThreadNs    float64   // thread nanoseconds that it adds to the backlog, 0 if its key or placement holds it
	valueDensity       float64   // value per thread nanosecond; the lowest is shed first
	arrivedAt          time.Duration
	deadline           time.Duration
	lastAttemptEndedAt time.Duration
	slack              time.Duration // S = deadline - (t + E), where t is when it was last added to the queue
	declaredCostNs     float64       // thread nanoseconds that the client declared, or 0
	declaredMemoryMB   float64       // megabytes that the client declared, or 0
	tables             Tables
	overShare          bool       // beyond its customer's share of the fleet
	placement          Placement  // restricts its engines, or nil
	engineSet          any        // identifies the set of engines of its placement, nil for all engines
	finished           bool       // its final answer was given, or the client left
	earnedRetryCredit  bool       // it was counted for the retry budget
	maybeExecuted      []*attempt // the attempt in flight, and ended ones that may have executed the job
	inFlight           *attempt   // the attempt in flight, or nil
}

// class has the settings of a class and the statistics learned from its answers.
type class struct {
	Class
	unitLatency      runningMean // latency over declared cost per thread; latency in ns for jobs without a declared cost
	bestUnitLatency  float64     // least value of unitLatency, which decays upwards; see recordAnswer
	bestUpdatedAt    time.Duration
	relativeVariance runningMean // squared relative deviation of single answers from unitLatency
	threadNs         runningMean // thread nanoseconds of a job
	memoryRatio      runningMean // memory that jobs needed over the memory that was declared
}

// runningMean is a running mean. It is the plain average until it has the maximum number of samples that is passed to
// add, and an exponentially weighted one from then on.
type runningMean struct{ value, samples float64 }

// add counts one sample.
func (m *runningMean) add(sample, maxSamples float64) {
	m.samples = math.Min(m.samples+1, maxSamples)
	m.value += (sample - m.value) / m.samples
}

// keyQueue is the FIFO queue of the jobs of one order key. Only the first job is dispatched; it leaves the queue when it
// has its final answer and no attempt in flight.
type keyQueue struct {
	jobs       []*job
	quietUntil time.Duration // the next job of the key waits until then, as an earlier one may still be running
}

// Controller decides for one controller process. It shares no state with other instances.
type Controller struct {
	host             Host
	settings         Settings
	rng              *rand.Rand
	now              time.Duration
	classes          map[ClassName]*class
	limits           Limits
	list             engineList
	candidates       []*engine // the part of the list that decisions consider, sorted by ID
	jobs             map[JobID]*job
	queue            []*job        // sorted by compareJobs
	rankedAt         time.Duration // when rankQueue last ran
	backlogThreadNs  float64       // thread nanoseconds of all queued jobs that could be dispatched
	keyQueues        map[Key]*keyQueue
	lastSeq          int           // number of jobs that have arrived
	sweepScheduled   bool          // the sweep timer is running
	commonFault      bool          // most engines are suspected, so suspicion is ignored; see updateTotals
	maxJobThreads    float64       // threads of the widest class
	minLatencyTarget time.Duration // of all classes
	controllerCount  float64       // controllers in the fleet, at least 1
	// Totals over the candidates that take jobs, set by updateTotals unless noted. Counts are float64, as they are used
	// in calculations of threads.
	upCount    float64 // number of engines
	upCores    float64 // their cores
	coldCount  float64 // number of cold engines
	subsetSize float64 // number of engines that the limits are allocated to, set by allocateLimits
	upLimit    float64 // sum of their limits, in threads
	// Totals over the engines in use, set by updateTotals. Suspected engines are left out unless most are suspected, and
	// the limit of a cold engine counts as the threads that it has in flight.
	usableLimit     float64
	busyThreads     float64
	burstCredit     float64 // thread seconds of the limits that were left unused lately; see updateTotals
	creditUpdatedAt time.Duration
	// Statistics of the answers of all engines.
	underestimatedShare runningMean // share of answers that took far less than their declared cost, 0 to 1
	slowness            runningMean // latency over the best latency
	memoryGranted       runningMean // share of memory granted
}

// Timers: the sweep, and the delay before the list of engines is requested again after a failure.
const sweepTimer, listRetryTimer TimerID = 1, 2

// sweepInterval bounds how late a queued job is rejected. It is a few ticks long, so that timers stay few.
const sweepInterval = 20 * time.Millisecond

// New creates a Controller that acts on host. seed is the seed of its random choices.
func New(host Host, settings Settings, seed int64) *Controller {
	c := &Controller{host: host, settings: settings, rng: rand.New(rand.NewSource(seed)),
		classes: map[ClassName]*class{}, limits: settings.Limits,
		list: engineList{byID: map[EngineID]*engine{}, coreRatio: 1}, jobs: map[JobID]*job{},
		keyQueues: map[Key]*keyQueue{}, minLatencyTarget: math.MaxInt64,
		controllerCount: math.Max(1, float64(settings.Controllers))}
	for _, jobClass := range settings.Classes {
		c.classes[jobClass.Name] = &class{Class: jobClass}
		c.maxJobThreads, c.minLatencyTarget = math.Max(c.maxJobThreads, jobClass.Threads),
			min(c.minLatencyTarget, jobClass.LatencyTarget)
	}
	return c
}

// JobArrived queues a job that has just arrived, and dispatches what can be dispatched. The job is rejected at once if
// it can not meet its deadline. expires is the latest time of the answer. declaredCost is the thread time that the client
// declares, and memoryMB the memory, each 0 if it declares none. placement restricts the job's engines, or is nil.
func (c *Controller) JobArrived(now time.Duration, id JobID, className ClassName, customer CustomerID, key Key,
	expires, declaredCost time.Duration, memoryMB float64, tables Tables, repeat bool, placement Placement) {
	c.now = now
	jobClass := c.classes[className]
	if jobClass == nil { // a class that is not in the settings: never retry it once it may have run
		remaining := expires - now
		jobClass = &class{Class: Class{Deadline: remaining, LatencyTarget: remaining, Repeat: NonIdempotent, Threads: 1}}
	}
	c.lastSeq++
	j := &job{id: id, class: jobClass, seq: c.lastSeq, arrivedAt: now, declaredCostNs: float64(declaredCost),
		declaredMemoryMB: memoryMB, tables: tables, deadline: min(now+jobClass.Deadline, expires)}
	c.setPlacement(j, placement)
	c.jobs[id] = j
	if jobClass.Ordered && key != "" {
		j.keyQueue = cmp.Or(c.keyQueues[key], &keyQueue{quietUntil: c.settings.KeysQuietUntil})
		c.keyQueues[key] = j.keyQueue
		j.keyQueue.jobs = append(j.keyQueue.jobs, j)
	}
	j.overShare = !c.limits.TakeCustomerShare(now, customer)
	if c.enqueue(j); c.tooLate(j) {
		c.rejectOrFail(j)
		return
	}
	c.dispatchQueued()
	c.shedLoad(j)
	if !c.sweepScheduled {
		c.host.StartTimer(sweepTimer, sweepInterval)
	}
	c.sweepScheduled = true
}

// expectedLatency returns the estimated latency E: the declared cost times the learned latency per cost, or the mean
// latency where no cost is declared, or the latency target before any answer was seen.
func (c *Controller) expectedLatency(j *job) time.Duration {
	if j.class.unitLatency.samples == 0 {
		return j.class.LatencyTarget
	}
	// Capped, as a learned latency that rejected every job could never be corrected by another answer.
	return min(time.Duration(j.class.unitLatency.value*j.costPerThread()), j.class.Deadline)
}

// costPerThread returns the declared nanoseconds per thread of the job, or 1 if no cost was declared.
func (j *job) costPerThread() float64 { return cmp.Or(j.declaredCostNs/j.class.Threads, 1) }

// targetTime returns the time until which an answer earns its full value.
func (c *Controller) targetTime(j *job) time.Duration {
	threadNs := cmp.Or(j.declaredCostNs, j.class.bestUnitLatency*j.class.Threads)
	return j.arrivedAt + j.class.LatencyTarget + time.Duration(j.class.TargetStretch*threadNs/j.class.Threads)
}

// enqueue inserts the job into the queue by its priority. Its slack is computed here and does not change while it is
// queued.
func (c *Controller) enqueue(j *job) {
	j.slack = j.deadline - (c.now + c.expectedLatency(j))
	c.updatePriority(j)
	index, _ := slices.BinarySearchFunc(c.queue, j, compareJobs)
	c.queue = slices.Insert(c.queue, index, j)
}

// dequeue removes the job from the queue, if it is there, and its work from the backlog.
func (c *Controller) dequeue(j *job) {
	if index, found := slices.BinarySearchFunc(c.queue, j, compareJobs); found {
		c.queue = slices.Delete(c.queue, index, index+1)
		c.backlogThreadNs -= j.backlogThreadNs
	}
}

// updatePriority computes the values that the order of the queue, the estimate of the backlog and load shedding use, and
// adds the job's work to the backlog. A job that waits for an earlier one of its key, or whose placement has no room,
// adds no work.
func (c *Controller) updatePriority(j *job) {
	threadNs := float64(c.expectedLatency(j)) * j.class.Threads
	j.dispatchLevel, j.backlogThreadNs, j.valueDensity = c.dispatchLevel(j), threadNs, j.class.Value/(threadNs+1)
	if j.overShare {
		j.valueDensity *= c.settings.OverShareValue
	}
	if j.keyQueue != nil && j.keyQueue.jobs[0] != j || j.placement != nil && !j.placement.HasRoom() {
		j.backlogThreadNs = 0
	}
	c.backlogThreadNs += j.backlogThreadNs
}

// rankQueue computes the priorities of all queued jobs again and sorts the queue. Once per tick is enough, as time and
// the learned latencies change little within one.
func (c *Controller) rankQueue() {
	c.rankedAt, c.backlogThreadNs = c.now, 0
	for _, j := range c.queue {
		c.updatePriority(j)
	}
	slices.SortFunc(c.queue, compareJobs)
}

// without removes the job from the list, in place.
func without(list []*job, j *job) []*job {
	return slices.DeleteFunc(list, func(other *job) bool { return other == j })
}

// dispatchLevel returns the level at which a queued job is dispatched, lowest first; within a level the least slack goes
// first. The levels are exceptions to plain slack. A job that is about to miss its latency target goes first, as jobs
// of classes with a long deadline would otherwise wait until their answers are worthless. A job beyond its customer's
// share, or too late for its latency target, goes last.
func (c *Controller) dispatchLevel(j *job) int {
	targetSlack := c.targetTime(j) - c.now - c.expectedLatency(j)
	switch {
	case j.overShare || targetSlack < -c.expectedLatency(j)/2:
		return 2
	case targetSlack < j.class.LatencyTarget/4:
		return 0
	}
	return 1
}

// compareJobs compares jobs by level, slack and arrival.
func compareJobs(a, b *job) int {
	return cmp.Or(a.dispatchLevel-b.dispatchLevel, cmp.Compare(a.slack, b.slack), a.seq-b.seq)
}

// dispatchQueued dispatches queued jobs in order while an engine has room. Every attempt is started here.
func (c *Controller) dispatchQueued() {
	c.refreshCandidates()
	if c.now >= c.rankedAt+c.settings.Tick {
		c.rankQueue()
	}
	for c.updateTotals(); len(c.queue) > 0 && (c.coldCount > 0 || c.hasRoomFor(1)); c.updateTotals() {
		var selected *engine
		var blocked []*job // no engine may take these now, so that others of their class and engine set are not tried
		var fullSets []any // engine sets that an earlier job waits for
		coldOnly := false  // an earlier job waits for room on warm engines, so later ones may only use cold engines
		index := slices.IndexFunc(c.queue, func(j *job) (waits bool) {
			firstUnordered := j.keyQueue == nil && j.attemptCount == 0
			alike := func(other *job) bool { return other.class == j.class && other.engineSet == j.engineSet }
			if firstUnordered && slices.ContainsFunc(blocked, alike) ||
				j.engineSet != nil && slices.Contains(fullSets, j.engineSet) {
				return false
			}
			if selected, waits = c.selectEngine(j, coldOnly); selected != nil {
				return true
			} else if firstUnordered && !waits && (j.placement == nil || j.placement.HasRoom()) {
				blocked = append(blocked, j)
			} else if waits && j.engineSet != nil && c.hasRoomFor(j.class.Threads) {
				fullSets, waits = append(fullSets, j.engineSet), false // engines outside of the set may have room
			}
			coldOnly = coldOnly || waits
			return waits && c.coldCount == 0
		})
		if selected == nil {
			return
		}
		c.startAttempt(c.queue[index], selected)
	}
}

// updateTotals sums up the engines in use and updates the burst credit: the part of their limits that was left unused
// lately. When most engines are suspected, a common cause is more likely than that many separate faults, and all are
// used.
//
// The credit lets a controller exceed its limit for a moment when jobs arrive in bunches, as the limits of each of many
// controllers are narrow. There is none in congestion, and it may go slightly negative. It is capped at a thread
// per core, divided among all controllers: with more than that, saved up by all of them, engines were overloaded to the
// point of collapse as a burst began.
//
// Only rule 4 (cold engines) limits the work of cold engines. Their limits are not counted here, as the other engines
// would otherwise get jobs that only the cold ones have room for.
func (c *Controller) updateTotals() {
	maxCredit := math.Min(c.maxJobThreads, c.upCores*c.list.coreRatio/c.controllerCount) *
		math.Min(1, 8*math.Max(0, 1.25-c.slowness.value))
	c.burstCredit = math.Max(-0.3*c.maxJobThreads,
		math.Min(c.burstCredit+(c.usableLimit-c.busyThreads)*(c.now-c.creditUpdatedAt).Seconds(), maxCredit))
	var suspectedCount, suspectedLimit, suspectedThreads float64
	c.creditUpdatedAt, c.upCount, c.upCores, c.coldCount, c.upLimit, c.usableLimit, c.busyThreads = c.now, 0, 0, 0, 0, 0, 0
	for _, e := range c.candidates {
		if e.health != Up {
			continue
		}
		limit := e.limit
		if e.coldLimit.Cold(c.now) {
			c.coldCount, limit = c.coldCount+1, e.busyThreads
		}
		c.upCount, c.upCores, c.upLimit = c.upCount+1, c.upCores+e.cores, c.upLimit+e.limit
		c.usableLimit, c.busyThreads = c.usableLimit+limit, c.busyThreads+e.busyThreads
		if e.suspected {
			suspectedCount, suspectedLimit, suspectedThreads = suspectedCount+1, suspectedLimit+limit,
				suspectedThreads+e.busyThreads
		}
	}
	if c.commonFault = 3*suspectedCount > 2*c.upCount; !c.commonFault {
		c.usableLimit, c.busyThreads = c.usableLimit-suspectedLimit, c.busyThreads-suspectedThreads
	}
}

// hasRoomFor reports whether the controller as a whole may dispatch a job of so many threads. It guards against many
// controllers that each put one job on every engine where limits are under a thread: all jobs in flight must fit the
// sum of the limits plus the burst credit. A job that does not fit is still dispatched if nothing is in flight, or
// if all jobs in flight are wider. When engines are lost, one job per controller is already too much: at twice the
// best latency, a job wider than the sum of the limits waits until the credit is not negative.
func (c *Controller) hasRoomFor(threads float64) bool {
	if c.busyThreads == 0 {
		return c.burstCredit >= 0 || c.slowness.value < 2 || threads <= math.Max(c.usableLimit, 1)
	}
	return c.busyThreads+threads/2 <= c.usableLimit+math.Max(c.burstCredit, 0) ||
		!slices.ContainsFunc(c.candidates, func(e *engine) bool {
			return slices.ContainsFunc(e.inFlight, func(j *job) bool { return j.class.Threads <= threads })
		})
}

// allocateLimits guards against limits that are narrower than a job, which would never admit one. It concentrates the sum
// of the limits on as few engines as gives each of them room for the widest job. These engines, none of which is
// draining, are the controller's subset.
func (c *Controller) allocateLimits() {
	c.subsetSize = math.Max(1, math.Min(math.Ceil(c.upLimit/c.maxJobThreads), c.upCount))
	// The fraction of all controllers that have an engine in their subset, per core of the engine.
	controllerFractionPerCore := c.subsetSize / c.upCores
	if c.subsetSize == c.upCount {
		controllerFractionPerCore = 1
	}
	for _, e := range c.candidates {
		if e.allocatedLimit = 0; e.health == Up && e.subsetRank < int(c.subsetSize) {
			e.allocatedLimit = e.limit / math.Min(1, controllerFractionPerCore*e.cores)
		}
	}
}

// hasRoomFor reports whether a job of so many threads fits the engine's allocated limit. Half of the job may exceed the
// limit, as a narrow limit would otherwise never admit a wide job. An idle engine always has room.
func (e *engine) hasRoomFor(threads float64) bool {
	return len(e.inFlight) == 0 || e.busyThreads+threads/2 <= e.allocatedLimit
}

// selectEngine returns the engine with the most room that the rules and its health allow, or nil. Without an engine,
// waits reports that nothing but room is missing: later jobs then wait behind this one, unless they go to cold engines.
// No job waits behind one that a rule holds back.
func (c *Controller) selectEngine(j *job, coldOnly bool) (best *engine, waits bool) {
	if !c.mayDispatch(j) {
		return nil, false
	}
	bestScore := math.Inf(-1)
	if coldOnly = coldOnly || !c.hasRoomFor(j.class.Threads); coldOnly && c.coldCount == 0 {
		return nil, true
	}
	waits = true
	c.allocateLimits()
	for _, e := range c.candidates {
		if coldOnly && !e.coldLimit.Cold(c.now) {
			continue
		}
		if !c.mayRunOn(j, e) || !e.coldLimit.Allows(c.now, c.typicalWork(j), c.subsetShare(e)) {
			waits = waits && (e.health != Up || !j.placementAllows(e))
			continue
		}
		healthy := !e.suspected || c.commonFault ||
			c.now >= e.nextTrialAt && len(e.inFlight) == 0 && j.class.Repeat != NonIdempotent
		if score := e.allocatedLimit - e.busyThreads + c.preference(j, e); score > bestScore && healthy &&
			e.hasRoomFor(j.class.Threads) {
			best, bestScore = e, score
		}
	}
	return best, waits || coldOnly
}

// preference returns what is added to an engine's free threads in the comparison of engines of nearly equal room, in
// threads.
func (c *Controller) preference(j *job, e *engine) float64 {
	// The random part breaks ties, as every controller would take the first engine otherwise. A report of memory granted
	// loses its weight over about a second.
	score := c.rng.Float64()/4 - 2*(e.memoryGranted-c.memoryGranted.value)*math.Exp(e.memoryReportedAtS-c.now.Seconds())
	if c.slowness.value > 0 {
		score -= e.slowness.Estimate(c.now) / c.slowness.value
	}
	if e.location == c.settings.Location {
		score += 0.5 // another location costs little, so this decides only between nearly equal engines
	}
	if slices.ContainsFunc(j.maybeExecuted, func(earlier *attempt) bool { return earlier.engine == e }) {
		score -= e.cores // an earlier attempt failed or stalled there
	}
	for _, other := range e.inFlight {
		if other.class.HoldsTables && other.tables == j.tables && (j.class.BlockedByLoads || j.class.HoldsTables) {
			score -= e.cores // it would block on tables that a load holds there
		}
	}
	return score
}

// The checks of the rules follow, each in one place.

// mayDispatch checks rule 5 (order by key), rule 7 (retry budget), the room of the placement and the number of attempts.
func (c *Controller) mayDispatch(j *job) bool {
	// A retry of the first job of a key need not wait for the quiet period.
	if j.keyQueue != nil && (j.keyQueue.jobs[0] != j || j.attemptCount == 0 && c.now < j.keyQueue.quietUntil) {
		return false
	}
	return (j.placement == nil || j.placement.HasRoom()) &&
		(j.attemptCount == 0 || j.attemptCount < c.settings.MaxAttempts && c.mayRetry(j))
}

// mayRetry checks rule 7 (retry budget) and the restrictions that the job's placement adds to it.
func (c *Controller) mayRetry(j *job) bool {
	firstSentAt := c.now
	if len(j.maybeExecuted) > 0 {
		firstSentAt = j.maybeExecuted[0].sentAt
	}
	return c.limits.MayRetry(c.now) &&
		(j.placement == nil || j.placement.MayRetry(c.now-firstSentAt, c.now-j.lastAttemptEndedAt))
}

// setPlacement restricts the engines of a job, and makes some of them candidates if none is.
func (c *Controller) setPlacement(j *job, placement Placement) {
	if j.placement, j.engineSet = placement, nil; placement == nil {
		return
	}
	j.engineSet = placement.EngineSetKey()
	allows := func(e *engine) bool { return e.health == Up && placement.Allows(e.id) }
	if !slices.ContainsFunc(c.candidates, allows) {
		c.addCandidates(allows)
	}
}

// placementAllows reports whether the job's placement allows the engine.
func (j *job) placementAllows(e *engine) bool { return j.placement == nil || j.placement.Allows(e.id) }

// mayRunOn checks rule 2 (repeats), rule 3 (draining engines) and rule 6 (locations and kinds) for an attempt on
// one engine.
func (c *Controller) mayRunOn(j *job, e *engine) bool {
	if e.health != Up || !j.class.allowsEngine(e) || !j.placementAllows(e) {
		return false
	}
	for _, earlier := range j.maybeExecuted {
		if j.class.Repeat == NonIdempotent || j.class.Repeat == Keyed && (c.now >= c.retryCutoff(j) ||
			j.class.Group == GroupLocation && earlier.location != e.location ||
			j.class.Group == GroupCell && earlier.cell != e.cell) {
			return false
		}
	}
	return true
}

// retryCutoff returns the time from which a keyed job that may have run must not be dispatched again: the end of the
// deduplication window of the earliest attempt that may have run, less one tick, as the clock only moves by ticks.
func (c *Controller) retryCutoff(j *job) time.Duration {
	if j.class.Repeat != Keyed || len(j.maybeExecuted) == 0 {
		return math.MaxInt64
	}
	return j.maybeExecuted[0].sentAt + j.class.DedupWindow - c.settings.Tick
}

// subsetShare returns the fraction of all controllers that have the engine in their subset, by its cores, or 0 if it is
// not in this controller's subset.
func (c *Controller) subsetShare(e *engine) float64 {
	if e.allocatedLimit == 0 {
		return 0
	}
	return e.limit / e.allocatedLimit / c.list.coreRatio
}

// typicalWork returns the mean thread time of a job of this class, or the latency target on all its threads before
// any answer was seen.
func (c *Controller) typicalWork(j *job) time.Duration {
	return time.Duration(cmp.Or(j.class.threadNs.value, float64(j.class.LatencyTarget)*j.class.Threads))
}

// startAttempt removes the job from the queue and starts an attempt on the engine.
func (c *Controller) startAttempt(j *job, e *engine) {
	c.dequeue(j)
	started := &attempt{engine: e, sentAt: c.now, expectedLatency: c.expectedLatency(j), progressAt: c.now}
	started.location, started.cell = e.location, e.cell
	c.setTerms(j, e)
	if j.attemptCount > 0 {
		c.limits.CountRetry(c.now)
	}
	j.attemptCount++
	j.inFlight = started
	startWithin := c.retryCutoff(j) - c.now
	j.maybeExecuted = append(j.maybeExecuted, started)
	e.inFlight = append(e.inFlight, j)
	e.busyThreads += j.class.Threads
	e.coldLimit.CountWork(c.now, c.typicalWork(j), c.subsetShare(e))
	e.nextTrialAt = c.now + e.trialBackoff // read only while suspected
	answerBy := j.deadline
	if j.class.LateValue == 0 {
		// A late answer earns nothing, so an overloaded engine need not compute it.
		answerBy = min(answerBy, c.targetTime(j)+started.expectedLatency/2)
	}
	timeout := max(answerBy-c.now, 1)
	c.host.Attempt(j.id, e.id, timeout, min(timeout, startWithin))
}

// setTerms sets the memory grant and the priority of the next attempt. Where engines swap when memory is overcommitted,
// only the memory that jobs need counts, so a generous grant costs nothing and avoids spills. Elsewhere the grant stays
// near the need.
func (c *Controller) setTerms(j *job, e *engine) {
	if j.declaredMemoryMB <= 0 || !c.settings.GrantsHeeded {
		return
	}
	grantMB := j.declaredMemoryMB * cmp.Or(j.class.memoryRatio.value, 1) * 1.25
	if c.settings.SwapsWhenFull {
		grantMB *= 1.28
	}
	grantMB = math.Min(grantMB, cmp.Or(c.settings.GrantShare*e.memoryMB, grantMB))
	priority := 1
	if c.settings.PriorityHeeded && j.slack < c.expectedLatency(j) {
		priority = 2
	}
	c.host.SetTerms(j.id, grantMB, priority)
}

// AttemptEnded handles the end of a job's attempt. jobOver says that the job has its final answer. work is the thread time
// and memoryMB the memory that the engine reported, or 0.
func (c *Controller) AttemptEnded(now time.Duration, id JobID, attemptIndex int, engineID EngineID, outcome Outcome,
	latency time.Duration, jobOver bool, work time.Duration, memoryMB float64, load Load) {
	c.now = now
	j := c.jobs[id]
	if j == nil || j.inFlight == nil {
		return
	}
	ended, e := j.inFlight, j.inFlight.engine
	j.inFlight, j.lastAttemptEndedAt = nil, now
	e.inFlight = without(e.inFlight, j)
	e.busyThreads -= j.class.Threads
	if outcome == Refused || outcome == NoConnection || outcome == NotSent { // these prove that the job did not run
		j.maybeExecuted = j.maybeExecuted[:len(j.maybeExecuted)-1]
	}
	if j.keyQueue != nil && (outcome == TimedOut || outcome == ConnectionLost || outcome == Recalled) {
		j.keyQueue.quietUntil = now + c.settings.KeyQuietPeriod
		c.host.KeyRests(id, j.keyQueue.quietUntil)
	}
	if load.MemoryGranted > 0 {
		e.memoryGranted, e.memoryReportedAtS = load.MemoryGranted, now.Seconds()
		c.memoryGranted.add(e.memoryGranted, memorySamples)
	}
	c.updateHealth(j, ended, outcome)
	c.earnRetryCredit(j, outcome)
	if outcome == Done {
		c.recordAnswer(j, ended, latency, work, memoryMB, load.MemoryGranted)
	} else if outcome == TimedOut && latency > ended.expectedLatency {
		// Without this, limits would be adjusted only by the jobs that a congested engine still answers.
		c.adjustLimits(e, j, maxSlowness, 0)
	}
	switch {
	case jobOver || j.finished || outcome == Done:
		c.removeJob(j)
	case c.tooLate(j) || !c.hasRetryTarget(j):
		c.rejectOrFail(j)
	default:
		c.enqueue(j)
	}
	c.dispatchQueued()
}

// MayStart checks rule 7 (retry budget) again for a retry that waited for a connection after it was decided.
func (c *Controller) MayStart(now time.Duration, id JobID) bool {
	j := c.jobs[id]
	return j == nil || j.inFlight == nil || j.attemptCount < 2 || c.limits.MayStartRetry(j.inFlight.sentAt, now)
}

// earnRetryCredit adds a job to the base of the retry budget, once, when an engine has received it and not refused it as
// faulty while its client was still waiting.
func (c *Controller) earnRetryCredit(j *job, outcome Outcome) {
	if j.earnedRetryCredit || j.finished || outcome == NoConnection || outcome == NotSent || outcome == Errored {
		return
	}
	j.earnedRetryCredit = true
	c.limits.CountJob(c.now, j.arrivedAt)
}

// hasRetryTarget reports whether the job has attempts left and an engine that the rules allow it, among the candidates or
// beyond them.
func (c *Controller) hasRetryTarget(j *job) bool {
	allows := func(e *engine) bool { return c.mayRunOn(j, e) }
	return j.attemptCount < c.settings.MaxAttempts && (slices.ContainsFunc(c.candidates, allows) || c.addCandidates(allows))
}

// updateHealth updates the failure detection of an engine with the outcome of an attempt, and suspects or clears it.
func (c *Controller) updateHealth(j *job, ended *attempt, outcome Outcome) {
	e := ended.engine
	switch outcome {
	case Done:
		e.lastAnswerAt, e.unansweredCount, e.errorRate = c.now, 0, e.errorRate*0.8
		if e.suspected {
			e.suspected, e.trialBackoff, e.errorRate = false, 0, 0
			c.host.SetSuspected(e.id, false)
			c.host.Log(fmt.Sprintf("engine %s answers again", e.id))
		}
	case Errored, ConnectionLost:
		// An engine that fails jobs quickly always seems to have room. It is suspected after two errors in a row, or
		// when about a third of its jobs fail.
		e.lastAnswerAt, e.unansweredCount, e.errorRate = c.now, 0, e.errorRate*0.8+0.2
		if e.errorRate > 0.35 || e.suspected {
			c.suspect(e, "errors")
		}
	case TimedOut, Recalled:
		// An engine may accept jobs and answer none. It is suspected after three unanswered attempts, all sent after its
		// last answer.
		if ended.sentAt > e.lastAnswerAt && !j.finished {
			e.unansweredCount++
		}
		if e.unansweredCount >= 3 {
			c.suspect(e, "silence")
		}
	case NoConnection:
		c.suspect(e, outcome.String())
	}
}

// suspect ejects an engine from selection, except for one trial job after each backoff. The backoff starts
// at 250 ms and doubles with each failed trial, up to 4 s.
func (c *Controller) suspect(e *engine, reason string) {
	if !e.suspected {
		c.host.SetSuspected(e.id, true)
		c.host.Log(fmt.Sprintf("engine %s suspected: %s", e.id, reason))
		e.trialBackoff = 250 * time.Millisecond
	} else if c.now < e.nextTrialAt-e.trialBackoff/2 && len(e.inFlight) > 0 {
		return // failures of other attempts in flight at the same time do not extend the backoff
	} else {
		e.trialBackoff = min(2*e.trialBackoff, 4*time.Second)
	}
	// With jitter, as all controllers that lost the engine at the same time would otherwise try it at the same time.
	e.suspected, e.nextTrialAt = true, c.now+time.Duration((0.75+c.rng.Float64()/2)*float64(e.trialBackoff))
}

// Answers that take less than two thirds of their declared cost show that declared costs scatter or are biased:
// congestion does not cause them, and warm caches and fast cores seldom save as much. One in twenty of the recent
// answers is enough. This guards against classes whose declared costs are too low, which look like congestion to a
// controller that has few answers. The drawback: where some jobs keep their data cached while others wait, congestion
// is detected later.
const underestimateSamples, minUnderestimatedShare, underestimateRatio = 40, 0.05, 0.65

// The slowness of an answer is capped at maxSlowness, so that a single bad query plan or a wait for a load does not
// shrink a limit. The mean of memory granted spans memorySamples answers, about as many as a limit admits at a time. The
// means of a class span classSamples jobs, which is some seconds for a class of short jobs.
const maxSlowness, memorySamples, classSamples = 4, 20, 60

// recordAnswer updates the statistics of the job's class from its answer, and adjusts the limits by how slow it was.
// memoryMB is what the job needed, or 0; memoryGranted is the share of memory granted that the engine reported.
func (c *Controller) recordAnswer(j *job, ended *attempt, latency, work time.Duration, memoryMB, memoryGranted float64) {
	jobClass := j.class
	unitLatency := float64(latency) / j.costPerThread()
	if j.declaredCostNs > 0 {
		underestimated := 0.0
		if unitLatency < underestimateRatio {
			underestimated = 1
		}
		c.underestimatedShare.add(underestimated, underestimateSamples)
	}
	if jobClass.unitLatency.samples > 5 {
		// Capped, as a single bad query plan must not move the mean far.
		unitLatency = math.Min(unitLatency, 4*jobClass.unitLatency.value)
		jobClass.relativeVariance.add(math.Pow(unitLatency/jobClass.unitLatency.value-1, 2), classSamples)
	}
	jobClass.unitLatency.add(unitLatency, classSamples)
	jobClass.threadNs.add(cmp.Or(float64(work), j.declaredCostNs, jobClass.bestUnitLatency*jobClass.Threads,
		float64(latency)*jobClass.Threads), classSamples)
	if memoryMB > 0 && j.declaredMemoryMB > 0 {
		jobClass.memoryRatio.add(memoryMB/j.declaredMemoryMB, classSamples)
	}
	// The best latency decays with a time constant of 60 s, as one lucky answer would shrink every limit for good.
	if jobClass.bestUnitLatency > 0 && (j.declaredCostNs > 0 || jobClass.unitLatency.samples > 30) {
		jobClass.bestUnitLatency = math.Min(jobClass.unitLatency.value,
			jobClass.bestUnitLatency*math.Exp((c.now-jobClass.bestUpdatedAt).Seconds()/60))
	} else if jobClass.unitLatency.samples >= 10 || j.declaredCostNs > 0 && jobClass.unitLatency.samples >= 5 {
		jobClass.bestUnitLatency = jobClass.unitLatency.value
	}
	jobClass.bestUpdatedAt = c.now
	bestUnitLatency := jobClass.bestUnitLatency
	// Until many answers were seen, the declared cost counts as the latency on an idle engine.
	if j.declaredCostNs > 0 && (bestUnitLatency == 0 || bestUnitLatency > 1) {
		bestUnitLatency = 1 + math.Max(bestUnitLatency-1, 0)*jobClass.unitLatency.samples/classSamples
	}
	if bestUnitLatency > 0 {
		slowness := math.Min(float64(latency)/(j.costPerThread()*bestUnitLatency), maxSlowness)
		if j.declaredCostNs > 0 && c.underestimatedShare.value > minUnderestimatedShare {
			slowness *= min(1, max(1-bestLatencyStdDevs*math.Sqrt(jobClass.relativeVariance.value/(2*classSamples)),
				bestUnitLatency/jobClass.unitLatency.value))
			// Slowness over the target counts by the square of how much is learned, as many such answers add up.
			slowness -= math.Max(slowness-steadySlowness/fleetSlownessFactor, 0) *
				(1 - math.Pow(jobClass.unitLatency.samples/classSamples, 2))
		}
		c.adjustLimits(ended.engine, j, slowness, memoryGranted)
	}
}

// bestLatencyStdDevs is how many of its own standard deviations the minimum of a running mean lies below it, over a
// minute. It corrects for declared costs that scatter: their lucky minimum makes engines without congestion look slow.
// The correction never exceeds the distance of the minimum from the mean.
const bestLatencyStdDevs = 2

// steadySlowness is the slowness at which an engine is busy but not thrashing, where costs are declared; its limit then
// neither grows nor shrinks. fleetSlownessFactor scales the mean slowness of all engines, so that all limits together are
// steady at a slowness of 1.5.
const steadySlowness, fleetSlownessFactor = 1.6, 1.07

// adjustLimits grows or shrinks the engine's limit by the slowness of an answer, and all limits by the mean slowness. The
// target is the slowness at which a limit is steady; it is higher where no cost is declared, as the best mean is then a
// lucky one and lies lower. memoryGranted is the share of memory granted, which counts as slowness too. The lower bound,
// an even share of a thread per core, keeps a controller from starving beside controllers whose limits stay wide. The
// upper bound is an even share of two threads per core, rising to eight while all answers are quick, as some controllers
// get several times the mean number of jobs.
func (c *Controller) adjustLimits(e *engine, j *job, slowness, memoryGranted float64) {
	const minPerCore, maxPerCore, quickMaxPerCore = 1.0, 2.0, 8.0
	targetSlowness := steadySlowness
	if j.declaredCostNs == 0 {
		targetSlowness = 2.0
	}
	adjustment := func(slowness, limit float64, limitReached bool) float64 {
		step := math.Max(math.Min(3*(targetSlowness-slowness)/targetSlowness, 1), -1)
		if step > 0 && !limitReached {
			return 0
		}
		// About one thread for as many answers as the limit admits at a time.
		return step * math.Min(j.class.Threads/math.Max(limit, 1)/limit, 0.25)
	}
	slowness = math.Max(slowness, math.Min(targetSlowness*memoryGranted/1.25, maxSlowness))
	e.slowness.Add(c.now, slowness)
	c.slowness.add(slowness, 10)
	c.updateTotals()
	e.limit *= 1 + adjustment(e.slowness.Estimate(c.now), e.limit, e.busyThreads+j.class.Threads+1 >= e.allocatedLimit)
	fleetFactor := 1 + adjustment(fleetSlownessFactor*c.slowness.value, c.usableLimit,
		c.busyThreads+j.class.Threads/2 >= c.usableLimit)
	currentMaxPerCore := maxPerCore + (quickMaxPerCore-maxPerCore)*math.Max(0, math.Min(1, (1.3-c.slowness.value)/0.3))
	for _, e := range c.candidates {
		cores := e.cores * c.list.coreRatio
		e.limit = math.Min(math.Max(e.limit*fleetFactor, minPerCore*cores/c.controllerCount),
			currentMaxPerCore*cores*2/(1+c.controllerCount))
	}
}

// rejectOrFail gives the final answer: a rejection where it is certain that a retry by the client does no harm, or else a
// failure.
func (c *Controller) rejectOrFail(j *job) {
	c.dequeue(j)
	j.finished = true
	jobClass := j.class
	if jobClass.Repeat == Idempotent || len(j.maybeExecuted) == 0 || jobClass.Repeat == Keyed && jobClass.Group == GroupAll {
		// The client is advised to wait for the time that the queued work takes, and up to as much again at random, as
		// all clients would otherwise retry at the same time.
		retryAfter := c.backlogSeconds(j) * (1 + c.rng.Float64()) * float64(time.Second)
		c.host.Reject(j.id, min(c.settings.MaxRetryAfter, time.Duration(retryAfter)))
	} else {
		c.host.Fail(j.id)
	}
	if j.inFlight == nil {
		c.removeJob(j)
	}
}

// maxIdleKeyQueues is how many key queues may be empty before they are scanned for removal.
const maxIdleKeyQueues = 64

// removeJob drops the state of a job that has its final answer and no attempt in flight.
func (c *Controller) removeJob(j *job) {
	delete(c.jobs, j.id)
	if j.keyQueue != nil {
		j.keyQueue.jobs = without(j.keyQueue.jobs, j)
	}
	// The queue of a key is kept during the key's quiet period. Others are removed, as memory would otherwise grow with
	// keys that are never used again.
	if len(c.keyQueues) > 2*len(c.jobs)+maxIdleKeyQueues {
		maps.DeleteFunc(c.keyQueues, func(_ Key, queue *keyQueue) bool {
			return len(queue.jobs) == 0 && c.now >= queue.quietUntil
		})
	}
}

// ShuttingDown handles the shutdown of the process. It caps all deadlines at exitBy, so that no job is dispatched that can
// not be answered by then.
func (c *Controller) ShuttingDown(now, exitBy time.Duration) {
	c.now = now
	for _, j := range c.jobs {
		j.deadline = min(j.deadline, exitBy)
	}
}

// PlacementChanged replaces a job's placement. A queued job gets its final answer at once if noneLeft says that no engine is left
// for it, or if it may have run and no engine may take it again.
func (c *Controller) PlacementChanged(now time.Duration, id JobID, placement Placement, noneLeft bool) {
	if j := c.jobs[id]; j != nil {
		c.now = now
		c.setPlacement(j, placement)
		if j.inFlight == nil && !j.finished && (noneLeft || len(j.maybeExecuted) > 0 && !c.hasRetryTarget(j)) {
			c.rejectOrFail(j)
		}
		c.dispatchQueued()
	}
}

// ClientGone removes the job of a client that has left from the queue, or recalls its attempt.
func (c *Controller) ClientGone(now time.Duration, id JobID) {
	c.now = now
	if j := c.jobs[id]; j != nil {
		j.finished = true
		c.dequeue(j)
		if j.inFlight == nil {
			c.removeJob(j)
		} else {
			c.recall(j)
		}
		c.dispatchQueued()
	}
}

// recall asks for the cancellation of the attempt in flight, once, if the settings allow it and no answer has started.
func (c *Controller) recall(j *job) {
	if c.settings.MayRecall && !j.inFlight.recalled && !j.inFlight.answerStarted {
		j.inFlight.recalled = true
		c.host.Recall(j.id, j.attemptCount-1)
	}
}

// backlogSeconds returns how many seconds the queued jobs would keep all limits busy. For a job of an engine set, these
// are the jobs and the limits of that set.
func (c *Controller) backlogSeconds(sample *job) float64 {
	threadNs, limit := c.backlogThreadNs, c.usableLimit
	if sample.engineSet != nil {
		threadNs, limit = 0, 0
		for _, j := range c.queue {
			if j.engineSet == sample.engineSet {
				threadNs += j.backlogThreadNs
			}
		}
		for _, e := range c.candidates {
			if e.health == Up && sample.placementAllows(e) {
				limit += e.limit
			}
		}
	}
	return threadNs / 1e9 / math.Max(limit, 1)
}

// shedLoad rejects queued jobs of the same engine set as the given job while more work is queued than can be dispatched
// in useful time: half the shortest latency target (with the whole of it, more jobs were late). Jobs of the least value
// for their thread time go first, and the oldest among equals.
func (c *Controller) shedLoad(sample *job) {
	for len(c.queue) > 1 && c.backlogSeconds(sample) > c.minLatencyTarget.Seconds()/2 {
		var worst *job
		sameSet := 0
		for _, j := range c.queue {
			if j.engineSet != sample.engineSet {
				continue
			} else if sameSet++; worst == nil ||
				cmp.Or(cmp.Compare(j.valueDensity, worst.valueDensity), j.seq-worst.seq) < 0 {
				worst = j
			}
		}
		if sameSet < 2 {
			return
		}
		c.rejectOrFail(worst)
	}
}

// TimerDue handles a timer that was set with Host.StartTimer.
func (c *Controller) TimerDue(now time.Duration, timer TimerID) {
	if c.now = now; timer == listRetryTimer {
		c.host.FollowList(true)
		return
	}
	// Queued jobs that are out of time are rejected, and jobs in flight are checked for stalls. A keyed job that may have
	// run and that no engine may take again, as its deduplication window has ended or its group of engines has left, gets
	// its final answer at once too.
	for _, j := range slices.Clone(c.queue) {
		if c.tooLate(j) || j.class.Repeat == Keyed && len(j.maybeExecuted) > 0 && !c.hasRetryTarget(j) {
			c.rejectOrFail(j)
		}
	}
	for _, e := range c.candidates {
		for _, j := range e.inFlight {
			if !j.finished && c.stalled(j) && c.hasRetryTarget(j) && c.mayRetry(j) {
				c.recall(j)
			}
		}
	}
	c.dispatchQueued()
	if c.sweepScheduled = len(c.jobs) > 0; c.sweepScheduled {
		c.host.StartTimer(sweepTimer, sweepInterval)
	}
}

// tooLate reports whether the job is to be rejected, as less than half of its estimated latency E, or two sweep
// intervals, is left before its deadline. Where a late answer earns nothing, the time of its latency target counts as a
// deadline too.
func (c *Controller) tooLate(j *job) bool {
	minRemaining := max(c.expectedLatency(j)/2, 2*sweepInterval)
	return j.deadline-c.now < minRemaining ||
		j.class.LateValue == 0 && c.targetTime(j)-c.now < min(minRemaining, j.class.LatencyTarget/2)
}

// stalled reports whether the attempt in flight has exceeded its estimate so far that a new attempt should answer sooner.
func (c *Controller) stalled(j *job) bool {
	current, expected := j.inFlight, j.inFlight.expectedLatency
	if expected = min(expected, time.Duration(1.5*j.declaredCostNs/j.class.Threads)); j.declaredCostNs == 0 {
		// A mean is no estimate of a single job. A declared cost is, and it does not grow in congestion.
		expected = max(current.expectedLatency, j.class.LatencyTarget)
	}
	switch {
	case j.deadline-c.now < expected:
		return false
	case current.progress > 0.02:
		return float64(current.progressAt-current.sentAt)*(1-current.progress)/current.progress-
			float64(c.now-current.progressAt) > 4*float64(expected)
	}
	// Some of a short latency target must be left for the new attempt.
	return c.now-current.sentAt > 3*expected+min(300*time.Millisecond, c.minLatencyTarget*3/5)
}

// NoteReceived records the progress that an engine reports of an attempt. level is the fraction that is done.
func (c *Controller) NoteReceived(now time.Duration, id JobID, attemptIndex int, engineID EngineID, topic Topic, level float64) {
	if j := c.jobs[id]; j != nil && j.inFlight != nil && attemptIndex == j.attemptCount-1 && topic == Progress {
		j.inFlight.progress, j.inFlight.progressAt = level, now
	}
}

// AnswerStarted records that the answer of an attempt has started to arrive, after which it is not recalled.
func (c *Controller) AnswerStarted(now time.Duration, id JobID, attemptIndex int, engineID EngineID, latency time.Duration) {
	if j := c.jobs[id]; j != nil && j.inFlight != nil && attemptIndex == j.attemptCount-1 {
		j.inFlight.answerStarted = true
	}
}

// ProbeAnswered does nothing: the Controller sends no probes, as answers tell as much and cost nothing.
func (c *Controller) ProbeAnswered(time.Duration, EngineID, Outcome, time.Duration, Load) {}

// PeerMessage does nothing: controllers send each other no messages.
func (c *Controller) PeerMessage(now time.Duration, from PeerID, message string) {}
