package limit

import (
	"math"
	"sort"
	"time"
)

// Engine records the work that a controller has sent to one engine, and limits it while the engine is cold (rule 4). Work is
// measured in thread time: the time a job runs, times its threads.
type Engine struct {
	limits       *Limits
	cores        float64
	startedAt    time.Duration // start of the engine's process, 0 if it is long ago
	recent       []sentJob
	totalSent    time.Duration // total work sent so far
	blockedUntil time.Duration // after a job larger than the allowance, no job is sent before this time
}

// sentJob is one job sent; totalBefore is the total work that was sent earlier.
type sentJob struct{ sentAt, totalBefore time.Duration }

// Engine returns an empty record for an engine with the given number of cores.
func (l *Limits) Engine(cores float64) *Engine { return &Engine{limits: l, cores: cores} }

// SetStart sets when the engine's process started, 0 if that is long ago. Work sent earlier still counts, as it may be in transit.
func (e *Engine) SetStart(startedAt time.Duration) { e.startedAt = startedAt }

// Cold reports whether the engine started too recently to have its full capacity.
func (e *Engine) Cold(now time.Duration) bool {
	return e.startedAt != 0 && e.limits.settings.CollapsePeriod != 0 && now-e.startedAt < e.limits.settings.ColdPeriod
}

// coldUsableShare is the share of the work under which a cold engine fails that controllers may send. The rest is headroom for work
// sent before controllers learned of the start, for random variation, and for load that differs between controllers.
const coldUsableShare = 0.75

// coldThreadsPerCore is the number of threads for each core that an engine can run. As threads wait for disks part of the time,
// this keeps about 85% of the cores busy (coldCoreUtilization), on which the capacity is based. The share of disk time is not
// reported; the headroom of coldUsableShare covers other values down to no disk time at all (TestColdFleet).
const coldThreadsPerCore, coldCoreUtilization = 1.4, 0.85

// turnFraction is the length of a turn as a fraction of a span. Jobs sent in one span belong to the turns that begin in it and to
// those that began before it; coldUsableShare leaves headroom for a third more than the mean.
const turnFraction = 0.5

// Allows reports whether a job of the given work may be sent to the engine now (rule 4). The work that a cold engine can take in
// a span, Settings.CollapsePeriod, is divided equally among the controllers that have it in their subsets; others send nothing. share is
// the fraction of all controllers that have the engine in their subset: the size of a subset over the number of engines.
//
// A job larger than the controller's allowance for one span is sent in turn: the controllers' turns are spread by controller
// number over as many spans as the job needs allowances, and as many spans must pass between the engine's start and the job, and
// after the job. Clocks need to agree only roughly. This guards against controllers that hold large jobs when an engine starts:
// without it, each controller whose turn it was sent such a job while all others sent their allowances, one and a half times the
// intended work.
//
// Capacity is assumed to rise at half the slope of the linear ramp. The limit can be exceeded when an engine stays at its
// starting capacity, or when controllers have different lists of engines.
func (e *Engine) Allows(now, work time.Duration, share float64) bool {
	if !e.Cold(now) {
		return true
	}
	if e.limits.recordFirstCall(now); e.mayHaveForgotten(now) {
		return false
	}
	own, fleet := e.allowance(now, share)
	spans, total := math.Max(1, math.Ceil(float64(work)/own)), float64(work)
	if share == 0 || total > fleet || now < e.blockedUntil || spans > 1 && !e.isOwnTurn(now, spans) {
		return false
	}
	windowStart := now - e.limits.settings.CollapsePeriod*time.Duration(spans)
	if index := sort.Search(len(e.recent), func(index int) bool { return e.recent[index].sentAt >= windowStart }); index < len(e.recent) {
		total += float64(e.totalSent - e.recent[index].totalBefore)
	}
	return total <= spans*own
}

// mayHaveForgotten reports whether an earlier process of this controller may have sent work to the engine within the last span. A
// restarted process has no record of that work.
func (e *Engine) mayHaveForgotten(now time.Duration) bool {
	return e.startedAt <= e.limits.firstCallAt && now-e.limits.firstCallAt < e.limits.settings.CollapsePeriod
}

// allowance returns the work that this controller may send in a span, and the work that all controllers together may send. If on
// average less than one controller has the engine in its subset, a controller that has it may send all of that work.
func (e *Engine) allowance(now time.Duration, share float64) (own, fleet float64) {
	settings := &e.limits.settings
	warmThreads := coldCoreUtilization * e.cores * coldThreadsPerCore // threads a warm engine runs: work per unit of time
	fleet = coldUsableShare * settings.CollapseMultiple * e.minCapacityShare(now) * warmThreads * float64(settings.CollapsePeriod)
	return fleet / math.Max(1, share*e.limits.controllers), fleet
}

// isOwnTurn reports whether it is this controller's turn. Each controller has one turn in the given number of spans, and none
// before that many spans have passed since the engine's start.
func (e *Engine) isOwnTurn(now time.Duration, spans float64) bool {
	settings := &e.limits.settings
	_, phase := math.Modf(float64(now)/float64(settings.CollapsePeriod)/spans + float64(settings.Number)*math.Phi)
	return phase*spans <= turnFraction && float64(now-e.startedAt) >= spans*float64(settings.CollapsePeriod)
}

// minCapacityShare returns a lower bound of the share of its full capacity that a cold engine has.
func (e *Engine) minCapacityShare(now time.Duration) float64 {
	settings := &e.limits.settings
	age := float64(now-settings.CollapsePeriod-e.startedAt) / float64(settings.ColdPeriod)
	return settings.StartCapacity + (1-settings.StartCapacity)*math.Max(age, 0)/2
}

// CountWork records a job that was sent to the engine. It also does so while the engine is not cold, as a controller may learn of a
// restart only later.
func (e *Engine) CountWork(now, work time.Duration, share float64) {
	firstRecent := sort.Search(len(e.recent), func(n int) bool { return e.recent[n].sentAt >= now-e.limits.settings.ColdPeriod })
	e.recent = append(e.recent[firstRecent:], sentJob{now, e.totalSent})
	e.totalSent += work
	if own, _ := e.allowance(now, share); e.Cold(now) && float64(work) > own {
		e.blockedUntil = now + time.Duration(math.Ceil(float64(work)/own))*e.limits.settings.CollapsePeriod
	}
}
