package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps the list of engines and selects the candidates, the part of the list that decisions consider. The list
// may have thousands of engines while a controller needs some tens: the work for a job must not grow with the list, and
// the work for a change of the list must not grow with the number of controllers.

// engine is the state of an engine from its first listing until it is gone and has no job in flight.
type engine struct {
	id                EngineID
	location          Location
	kind              KindName
	cell              Cell
	health            Health
	inSnapshot        bool          // seen in the complete list that is being read
	startedAt         time.Duration // start of its process, 0 for long ago
	cores, memoryMB   float64
	limit             float64 // concurrency limit: threads of this controller's jobs
	busyThreads       float64 // threads of this controller's jobs in flight there
	allocatedLimit    float64 // the part of the summed limits that allocateLimits gives to it, 0 outside of the subset
	slowness          EngineSlowness
	inFlight          []*job        // jobs in flight there
	coldLimit         EngineLimit   // rule 4: limit on the work of an engine that has just started
	errorRate         float64       // moving average of failed attempts, 0 to 1
	memoryGranted     float64       // share of memory granted, as last reported
	memoryReportedAtS float64       // time of that report, in seconds
	lastAnswerAt      time.Duration // last answer, error or lost connection
	unansweredCount   int           // attempts that timed out or were recalled and were sent after the last answer
	subsetRank        int           // position in this controller's order of engines
	suspected         bool
	nextTrialAt       time.Duration // from when a suspected engine may get a trial job
	trialBackoff      time.Duration // delay before the next trial, without jitter
	isCandidate       bool          // it is in Controller.candidates
}

// engineList is the list of engines that discovery reports, and the state of its last ordering.
type engineList struct {
	byID           map[EngineID]*engine
	all            []*engine // sorted by ID, so that no decision depends on the order of a map
	gone           []*engine // health is Gone; kept until no job is in flight there and the event has been read
	isSnapshot     bool      // the event being read is a complete list
	stale          bool      // changed since it was last ordered
	orderedAt      time.Duration
	candidateCount int     // candidates that take jobs, as of the last ordering
	coreRatio      float64 // cores of the list over cores of the candidates, 1 where all engines are candidates
}

// minCandidates is several times the number of engines that a controller uses, so that selection by chance, health and
// room has a choice. Smaller lists are considered completely.
const minCandidates = 128

// minCandidatesPerClass is the minimum number of candidates of the locations and kinds that a class is restricted to,
// where that many exist.
const minCandidatesPerClass = 16

// The work of ordering is measured in pairs of an engine and a controller. A list of up to minCandidates engines and
// maxImmediatePairs pairs is ordered at each change. A larger one is ordered again after a delay of reorderDelayPerPair
// for each pair. That is some hundred times the measured cost, so that ordering takes a hundredth of a core. An engine
// costs as much as minPairsPerEngine, however few controllers there are.
const (
	maxImmediatePairs   = 100_000
	reorderDelayPerPair = time.Microsecond
	minPairsPerEngine   = 64
)

// ListBegins starts an event of the list of engines: a complete list, changes to it, or a failed request for it.
func (c *Controller) ListBegins(now time.Duration, kind ListKind) {
	c.now = now
	c.list.isSnapshot = kind == ListComplete || kind == ListInitial
	if c.list.isSnapshot {
		for _, e := range c.list.all {
			e.inSnapshot = false
		}
	}
	// Where the list must be requested, request it at the start and, after a failure, again after a random delay, so
	// that controllers that failed at the same time do not retry at the same time.
	if c.settings.ListOnRequest && kind == ListInitial {
		c.host.FollowList(true)
	} else if c.settings.ListOnRequest && kind == ListFailed {
		c.host.StartTimer(listRetryTimer, time.Duration((0.2+0.8*c.rng.Float64())*float64(time.Second)))
	}
}

// compareID compares an engine with an ID, for binary searches.
func compareID(e *engine, id EngineID) int { return cmp.Compare(e.id, id) }

// EngineListed handles the entry of an engine in the event being read. startedAt is when its process started.
func (c *Controller) EngineListed(now time.Duration, id EngineID, location Location, kind KindName, cell Cell,
	health Health, weight float64, startedAt time.Duration) {
	e := c.list.byID[id]
	if e == nil {
		e = c.addEngine(id, location, kind, startedAt)
	}
	if startedAt > e.startedAt || (e.health != Up && health == Up) {
		// The process was restarted, or takes jobs again: what was learned before is void, and a start counts as a passed
		// trial.
		e.startedAt = max(startedAt, e.startedAt)
		e.coldLimit.SetStart(e.startedAt)
		c.host.SetSuspected(e.id, false)
		e.suspected, e.errorRate, e.trialBackoff = false, 0, 0
		c.resetLimit(e)
	}
	if health == Gone && e.health != Gone {
		c.list.gone = append(c.list.gone, e)
	}
	e.location, e.kind, e.cell, e.health, e.inSnapshot = location, kind, cell, health, true
}

// addEngine adds an engine to the list. A kind that is not in the settings counts as one core.
func (c *Controller) addEngine(id EngineID, location Location, kind KindName, startedAt time.Duration) *engine {
	e := &engine{id: id, startedAt: startedAt, cores: 1, subsetRank: math.MaxInt}
	c.list.byID[id] = e
	index, _ := slices.BinarySearchFunc(c.list.all, id, compareID)
	c.list.all = slices.Insert(c.list.all, index, e)
	if kindIndex := slices.IndexFunc(c.settings.Kinds, func(k EngineKind) bool { return k.Name == kind }); kindIndex >= 0 {
		e.cores, e.memoryMB = c.settings.Kinds[kindIndex].Cores, c.settings.Kinds[kindIndex].MemoryMB
	}
	e.coldLimit, e.slowness = c.limits.Engine(e.cores), c.settings.Slowness.Engine(location, kind)
	e.coldLimit.SetStart(startedAt)
	c.resetLimit(e)
	return e
}

// ListEnds ends the event, and dispatches what can be dispatched. Engines missing from a complete list are gone.
func (c *Controller) ListEnds(now time.Duration) {
	c.now = now
	if c.list.isSnapshot {
		for _, e := range c.list.all {
			if !e.inSnapshot && e.health != Gone {
				e.health = Gone
				c.list.gone = append(c.list.gone, e)
			}
		}
	}
	c.removeGone()
	c.list.stale = true
	c.dispatchQueued()
}

// removeGone removes engines that are gone and have no job in flight, as memory would otherwise grow with each engine
// that is replaced.
func (c *Controller) removeGone() {
	c.list.gone = slices.DeleteFunc(c.list.gone, func(e *engine) bool {
		if e.health != Gone { // it was listed again
			return true
		}
		if len(e.inFlight) > 0 {
			return false
		}
		delete(c.list.byID, e.id)
		if index, known := slices.BinarySearchFunc(c.list.all, e.id, compareID); known {
			c.list.all = slices.Delete(c.list.all, index, index+1)
		}
		if index, found := slices.BinarySearchFunc(c.candidates, e.id, compareID); found {
			c.candidates = slices.Delete(c.candidates, index, index+1)
		}
		return true
	})
}

// refreshCandidates orders the list again once it has changed. A list of the usual size is ordered at each change. A
// large one is ordered again only after a delay that grows with the work, unless half of the candidates have left. A new
// engine is then used some moments later, while one that leaves gets no job whether or not the list was ordered since.
func (c *Controller) refreshCandidates() {
	list := &c.list
	if !list.stale {
		return
	}
	pairs := len(list.all) * max(c.settings.Controllers, minPairsPerEngine)
	large := len(list.all) > minCandidates || pairs > maxImmediatePairs
	if large && c.now < list.orderedAt+time.Duration(pairs)*reorderDelayPerPair {
		upCount := 0
		for _, e := range c.candidates {
			if e.health == Up {
				upCount++
			}
		}
		if upCount > 0 && 2*upCount >= list.candidateCount {
			return
		}
	}
	list.stale, list.orderedAt = false, c.now
	c.selectCandidates(c.orderEngines())
}

// orderEngines assigns subsets of the engines to all controllers again, of the size that the initial limits need. It
// returns the engines that take jobs in this controller's order, and the size of a subset.
func (c *Controller) orderEngines() (ordered []*engine, size int) {
	var up []Candidate
	initialLimit := 0.0
	for _, e := range c.list.all {
		e.subsetRank = math.MaxInt
		if e.health == Up {
			up, initialLimit = append(up, Candidate{e.id, e.location, e.cores}),
				initialLimit+e.cores*initialThreadsPerCore/(1+c.controllerCount)
		}
	}
	size = int(math.Ceil(initialLimit / c.maxJobThreads))
	for position, candidate := range c.settings.sortCandidates(up, size) {
		e := c.list.byID[candidate.ID]
		e.subsetRank = position
		ordered = append(ordered, e)
	}
	return ordered, size
}

// selectCandidates makes the first engines of the order the candidates: several times the subset, some for each class
// that is restricted to locations or kinds, and enough that an engine is a candidate of two controllers on average.
// Engines with jobs in flight stay candidates. A limit is a share of the engine among the controllers that use it, so
// limits grow with the part of the list that is left out.
func (c *Controller) selectCandidates(order []*engine, size int) {
	list := &c.list
	wanted := max(minCandidates, 4*size, int(math.Ceil(2*float64(len(list.all))/c.controllerCount)))
	if len(list.all) <= wanted {
		c.setCandidates(slices.Clone(list.all), 1)
		list.candidateCount = len(order)
		return
	}
	limitPerCore := c.limitPerCore()
	chosen := slices.Clone(order[:min(wanted, len(order))])
	list.candidateCount = len(chosen)
	for index := range c.settings.Classes {
		chosen = append(chosen, missingForClass(&c.settings.Classes[index], chosen, order[len(chosen):])...)
	}
	upCores, chosenCores := 0.0, 0.0
	for _, e := range order {
		upCores += e.cores
	}
	for _, e := range chosen {
		chosenCores += e.cores
		if !e.isCandidate {
			e.limit = limitPerCore * e.cores
		}
	}
	for _, e := range list.all {
		if len(e.inFlight) > 0 && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	c.setCandidates(chosen, upCores/math.Max(chosenCores, 1e-9))
}

// limitPerCore returns the mean limit of the candidates, in threads per core. New candidates start with it, as what was
// learned of the load applies to them too.
func (c *Controller) limitPerCore() float64 {
	if c.updateTotals(); c.upCores == 0 {
		return initialThreadsPerCore / (1 + c.controllerCount) * c.list.coreRatio
	}
	return c.upLimit / c.upCores
}

// missingForClass returns the engines from the rest of the order that a class needs to have minCandidatesPerClass
// candidates. It returns none for a class without restrictions.
func missingForClass(class *Class, chosen, rest []*engine) (added []*engine) {
	if len(class.Locations) == 0 && len(class.Kinds) == 0 {
		return nil
	}
	count := 0
	for _, e := range chosen {
		if class.allowsEngine(e) {
			count++
		}
	}
	for _, e := range rest {
		if count >= minCandidatesPerClass {
			break
		}
		if class.allowsEngine(e) && !slices.Contains(chosen, e) {
			added = append(added, e)
			count++
		}
	}
	return added
}

// allowsEngine checks rule 6: the locations and kinds that a class is restricted to.
func (class *Class) allowsEngine(e *engine) bool {
	return (len(class.Locations) == 0 || slices.Contains(class.Locations, e.location)) &&
		(len(class.Kinds) == 0 || slices.Contains(class.Kinds, e.kind))
}

// setCandidates replaces the candidates, and scales their limits to the new ratio of cores.
func (c *Controller) setCandidates(candidates []*engine, coreRatio float64) {
	for _, e := range c.candidates {
		e.isCandidate = false
	}
	for _, e := range candidates {
		e.isCandidate = true
		if coreRatio != c.list.coreRatio {
			e.limit *= coreRatio / c.list.coreRatio
		}
	}
	c.candidates, c.list.coreRatio = candidates, coreRatio
}

// addCandidates searches the rest of the list for engines that a job may go to, makes up to minCandidatesPerClass of them
// candidates and reports whether it found any.
func (c *Controller) addCandidates(allows func(*engine) bool) (found bool) {
	if len(c.candidates) >= len(c.list.all) {
		return false
	}
	var eligible []*engine
	for _, e := range c.list.all {
		if !e.isCandidate && allows(e) {
			eligible = append(eligible, e)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *engine) int { return cmp.Compare(a.subsetRank, b.subsetRank) })
	limitPerCore := c.limitPerCore()
	for _, e := range eligible[:min(len(eligible), minCandidatesPerClass)] {
		e.isCandidate, e.limit = true, limitPerCore*e.cores
		index, _ := slices.BinarySearchFunc(c.candidates, e.id, compareID)
		c.candidates = slices.Insert(c.candidates, index, e)
	}
	return len(eligible) > 0
}

// initialThreadsPerCore is divided by the number of controllers plus one. This gives a single controller 1.5 threads per
// core, about what keeps cores busy when half of the work waits for disks. Many controllers together get twice that, as
// their peaks do not coincide.
const initialThreadsPerCore = 3.0

// resetLimit sets the concurrency limit of an engine whose process has just started or become known.
func (c *Controller) resetLimit(e *engine) {
	e.slowness.Reset()
	e.limit = e.cores * initialThreadsPerCore / (1 + c.controllerCount) * c.list.coreRatio
}
