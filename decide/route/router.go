package route

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Host carries out the decisions of a Router. The Router calls it while it handles an event, and each call takes
// effect at the time of that event. An implementation must not call the Router back before the method that handles
// the event has returned.
type Host interface {
	// Admit accepts a job and gives the engines that it may be sent to. A nil lane allows every engine.
	Admit(job JobID, lane *Lane)
	// Refuse rejects a job. The client may submit it again after retryAfter.
	Refuse(job JobID, retryAfter time.Duration, reason Reason)
	// Move changes the engines that a held job may be sent to.
	Move(job JobID, lane *Lane)
	// GiveUp ends a held job that no pool can take any more.
	GiveUp(job JobID)
	// WithdrawAttempt withdraws the attempt of a job unless it has already been sent to the engine.
	WithdrawAttempt(job JobID)
	// StartTimer schedules a call of Router.TimerDue.
	StartTimer(delay time.Duration)
	Log(line string)
}

// version is a plan that was adopted, with its state. It is kept while it is the newest one or while a job that was
// admitted under it is still open.
type version struct {
	number     int
	plan       *Plan
	table      *Table
	routes     map[RouteName]*routeState // routes that have been given at least one job
	routeOrder []*routeState
	pools      map[PoolName]*poolState
	poolOrder  []*poolState // the values of pools in the order of creation
	// The key is a lane's pools; the value is a pointer that all lanes with these pools share, for Lane.Set.
	laneSets map[[2]*poolState]*[2]*poolState
	openJobs int
}

// routeState is the state of a route of one version. It is created with the first job of the route.
type routeState struct {
	*Route
	version           *version
	poolUses          []*poolUse
	lanes             []*Lane
	meter             *meter
	firstJob, lastJob *job // linked list of open jobs in the order of admission
	timed             bool // whether the route is in Router.timedRoutes
}

// job is an open job that matched a route.
type job struct {
	id         JobID
	route      *routeState
	lane       *Lane
	inFlight   bool // whether an attempt is under way; otherwise the job is held
	givenUp    bool // whether Host.GiveUp was called
	attempts   int  // attempts so far
	prev, next *job // neighbors in the route's list of open jobs
}

// Lane is the set of engines that jobs of one route may be sent to: the members of one pool and, where there is an
// extra pool, also the members of that one. A job has an extra pool while it overflows or tries out a pool that is
// down.
type Lane struct {
	route          *routeState
	primary, extra *poolUse // a nil primary allows every engine
	set            *[2]*poolState
}

// EngineSetKey returns a comparable value that identifies the pools of the lane: it is equal for all lanes of a version with
// the same pools, also for those of different routes. It is nil for a lane that allows every engine.
func (l *Lane) EngineSetKey() any {
	if l.set == nil {
		return nil
	}
	return l.set
}

// Allows reports whether a job of the lane may be sent to an engine.
func (l *Lane) Allows(id EngineID) bool {
	return l.primary == nil || l.primary.pool.members[id] != nil || l.extra != nil && l.extra.pool.members[id] != nil
}

// HasRoom reports whether a job of the lane may be sent now: the lane has engines, and the route is below its limit of
// concurrent attempts.
func (l *Lane) HasRoom() bool {
	policy := &l.route.Policy
	return (policy.MaxInFlight == 0 || l.route.meter.inFlight < policy.MaxInFlight) &&
		(l.primary == nil || len(l.primary.pool.members) > 0 || l.extra != nil && len(l.extra.pool.members) > 0)
}

// RetryAllowed reports whether a job may be retried now. sinceFirst is the time since its first attempt that may have run
// on an engine, or 0 if there was none; sinceLast is the time since its last attempt ended.
func (l *Lane) RetryAllowed(now, sinceFirst, sinceLast time.Duration) bool {
	policy := &l.route.Policy
	return sinceLast >= policy.RetryDelay && (policy.RepeatWindow == 0 || sinceFirst <= policy.RepeatWindow) &&
		l.route.meter.retryAllowed(now, policy)
}

// Names returns the names of the lane's route, its pool and its extra pool, for logs. A missing pool has an empty name.
func (l *Lane) Names() (RouteName, PoolName, PoolName) {
	var primary, extra PoolName
	if l.primary != nil {
		primary = l.primary.pool.Name
	}
	if l.extra != nil {
		extra = l.extra.pool.Name
	}
	return l.route.Name, primary, extra
}

// Router holds the state of the routes of one controller. It is not safe for concurrent use.
type Router struct {
	host             Host
	rng              *rand.Rand
	now              time.Duration
	versions         []*version // oldest first; new jobs are admitted under the last one
	lastVersion      int
	meters           map[RouteName]*meter
	engines          map[EngineID]*engine
	sortedEngines    []*engine // sorted by id
	jobs             map[JobID]*job
	pendingOverflows []pendingOverflow // sorted by dueAt
	timedRoutes      []*routeState     // routes with a pool whose status may change by time alone
	wakeScheduled    bool              // whether a call of TimerDue is scheduled
}

// pendingOverflow is a job that may also use the engines of its pool's overflow pool if it is still held at dueAt. It
// is void once the job has had another attempt.
type pendingOverflow struct {
	dueAt    time.Duration
	job      JobID
	attempts int
}

// New returns a Router without a plan. Until the first call of Adopt, each job is admitted to every engine.
func New(host Host, seed int64) *Router {
	return &Router{host: host, rng: rand.New(rand.NewSource(seed)), meters: map[RouteName]*meter{},
		engines: map[EngineID]*engine{}, jobs: map[JobID]*job{}}
}

// Table returns the table of the newest version, which NewTable can share nodes with, or nil if there is no version.
func (r *Router) Table() *Table {
	if v := r.newestVersion(); v != nil {
		return v.table
	}
	return nil
}

func (r *Router) newestVersion() *version {
	if len(r.versions) == 0 {
		return nil
	}
	return r.versions[len(r.versions)-1]
}

// Versions returns the number of versions that are kept and the number of open jobs that have a route.
func (r *Router) Versions() (kept, jobs int) { return len(r.versions), len(r.jobs) }

// Adopt makes a plan the version for all jobs that arrive from now on. Open jobs keep the version that they were
// admitted under, but are no longer sent to engines that the new version has removed from a pool, nor to pools that
// it does not have. Attempts for such a pool that were not sent yet are taken back.
func (r *Router) Adopt(now time.Duration, plan *Plan, table *Table) {
	r.now = now
	r.lastVersion++
	r.versions = append(r.versions, &version{number: r.lastVersion, plan: plan, table: table,
		routes: map[RouteName]*routeState{}, pools: map[PoolName]*poolState{},
		laneSets: map[[2]*poolState]*[2]*poolState{}})
	for _, p := range plan.Pools {
		r.ensurePool(r.newestVersion(), p)
	}
	r.dropUnused()
	r.forEachPool(func(p *poolState) {
		r.applyPoolChange(p, func() { r.fillMembers(p) })
	})
	for _, v := range r.versions {
		for _, rs := range v.routeOrder {
			for j := rs.firstJob; j != nil; j = j.next {
				if l := j.lane; j.inFlight && l.primary != nil && l.primary.pool.removed &&
					(l.extra == nil || l.extra.pool.removed) {
					r.host.WithdrawAttempt(j.id)
				}
			}
		}
	}
}

// dropUnused removes versions other than the newest that have no open jobs, and meters of routes that are in no
// version and have no open jobs.
func (r *Router) dropUnused() {
	newest := r.newestVersion()
	r.versions = slices.DeleteFunc(r.versions, func(v *version) bool { return v != newest && v.openJobs == 0 })
	for name, m := range r.meters {
		inAnyVersion := slices.ContainsFunc(r.versions, func(v *version) bool { return v.table.routes[name] != nil })
		if !inAnyVersion && m.openJobs == 0 {
			delete(r.meters, name)
		}
	}
}

// fillMembers determines the members of a pool. In a version that is not the newest, an engine must be a member by
// both that version and the newest one.
func (r *Router) fillMembers(p *poolState) {
	newestPool := p.Pool
	if newest := r.newestVersion(); p.version != newest {
		if newestPool = newest.plan.Pool(p.Name); newestPool == nil {
			p.removed = true
		}
	}
	clear(p.members)
	for _, e := range r.sortedEngines {
		if e.available && !p.removed && p.Contains(&e.Engine) && newestPool.Contains(&e.Engine) {
			p.members[e.ID] = e
		}
	}
	p.refreshCounts(r.now)
}

// UpdateEngine adds, updates or removes one engine of the list of engines. available is false while the engine drains
// and after it has left. The caller calls EngineListEnd after the last engine of an update.
func (r *Router) UpdateEngine(now time.Duration, properties Engine, available bool) {
	r.now = now
	e := r.engines[properties.ID]
	if e == nil {
		if !available {
			return
		}
		e = &engine{}
		r.engines[properties.ID] = e
		index, _ := slices.BinarySearchFunc(r.sortedEngines, properties.ID, func(e *engine, id EngineID) int {
			return cmp.Compare(e.ID, id)
		})
		r.sortedEngines = slices.Insert(r.sortedEngines, index, e)
	}
	e.Engine, e.available = properties, available
	if !available {
		delete(r.engines, properties.ID)
		r.sortedEngines = slices.DeleteFunc(r.sortedEngines, func(o *engine) bool { return o == e })
	}
	r.forEachPool(func(p *poolState) {
		delete(p.members, properties.ID)
		if newest := r.newestVersion(); available && !p.removed && p.Contains(&e.Engine) &&
			(p.version == newest || newest.plan.Pool(p.Name).Contains(&e.Engine)) {
			p.members[properties.ID] = e
		}
	})
}

// EngineListEnd applies the preceding calls of UpdateEngine to the pools and the jobs held for them.
func (r *Router) EngineListEnd(now time.Duration) {
	r.now = now
	r.forEachPool(func(p *poolState) { r.applyPoolChange(p, func() { p.refreshCounts(now) }) })
}

// EngineSuspected records whether the decision module (package logic) considers an engine faulty.
func (r *Router) EngineSuspected(now time.Duration, id EngineID, suspected bool) {
	r.now = now
	e := r.engines[id]
	if e == nil || e.suspected == suspected {
		return
	}
	e.suspected = suspected
	r.forEachPool(func(p *poolState) {
		if p.members[id] != nil {
			r.applyPoolChange(p, func() { p.refreshCounts(now) })
		}
	})
}

// applyPoolChange runs a function that changes a pool's engines, then updates the routes that use the pool. A pool that
// was down already may keep its status; still, when it is removed, gets its first usable engine or loses its last one,
// another pool may have become the better choice for the jobs held for it, so these are reassigned.
func (r *Router) applyPoolChange(p *poolState, change func()) {
	wasRemoved, wasUnusable := p.removed, p.usableCount == 0
	change()
	r.updateStatuses(p.routes...)
	if p.removed == wasRemoved && (p.usableCount == 0) == wasUnusable {
		return
	}
	for _, rs := range p.routes {
		for j := rs.firstJob; j != nil; j = j.next {
			r.reassign(j)
		}
	}
}

func (r *Router) forEachPool(f func(*poolState)) {
	for _, v := range r.versions {
		for _, p := range v.poolOrder {
			f(p)
		}
	}
}

// updateStatuses updates the status of the pools of some routes, and reassigns held jobs where a status changed.
func (r *Router) updateStatuses(routes ...*routeState) {
	for _, rs := range routes {
		changed, hasTimed := false, false
		for _, use := range rs.poolUses {
			previous := use.status
			if use.update(r.now, &rs.Policy) {
				changed = true
				if rs.version == r.newestVersion() {
					r.host.Log(fmt.Sprintf("route %s: pool %s is %s, was %s (%d usable of %d)", rs.Name, use.pool.Name,
						use.status, previous, use.pool.usableCount, use.pool.expectedSize(r.now)))
				}
			}
			hasTimed = hasTimed || use.timed()
		}
		if changed {
			for j := rs.firstJob; j != nil; j = j.next {
				r.reassign(j)
			}
		}
		if hasTimed && !rs.timed {
			rs.timed = true
			r.timedRoutes = append(r.timedRoutes, rs)
		}
	}
	r.scheduleWake()
}

// sweepInterval bounds the delay of status changes that are due by time alone. Waits are configured in tenths of a
// second or more.
const sweepInterval = 20 * time.Millisecond

func (r *Router) scheduleWake() {
	if !r.wakeScheduled && (len(r.pendingOverflows) > 0 || len(r.timedRoutes) > 0) {
		r.wakeScheduled = true
		r.host.StartTimer(sweepInterval)
	}
}

// TimerDue handles the timer that Host.StartTimer started: overflows that are due, and status changes by time.
func (r *Router) TimerDue(now time.Duration) {
	r.now, r.wakeScheduled = now, false
	for len(r.pendingOverflows) > 0 && r.pendingOverflows[0].dueAt <= now {
		pending := r.pendingOverflows[0]
		r.pendingOverflows = r.pendingOverflows[1:]
		j := r.jobs[pending.job]
		if j == nil || j.inFlight || j.attempts != pending.attempts || j.lane.primary == nil || j.lane.extra != nil {
			continue
		}
		if overflow := r.overflowPool(j.route, j.lane.primary); overflow != nil && overflow.pool.usableCount > 0 {
			j.route.meter.Counts.Overflowed++
			r.moveJob(j, r.laneFor(j.route, j.lane.primary, overflow))
		}
	}
	routes := r.timedRoutes
	r.timedRoutes = nil
	for _, rs := range routes {
		rs.timed = false
	}
	r.updateStatuses(routes...)
}

// overflowPool returns the overflow pool for jobs that wait for a pool, or nil if there is none.
func (r *Router) overflowPool(rs *routeState, use *poolUse) *poolUse {
	if use.pool.Overflow == "" {
		return nil
	}
	p := rs.version.plan.Pool(use.pool.Overflow)
	if p == nil {
		return nil
	}
	return r.extraPoolUse(rs, p)
}

// extraPoolUse returns a pool for use as the extra pool of a route's lanes, the same one as in an existing lane if
// there is one. Its status is not used.
func (r *Router) extraPoolUse(rs *routeState, p *Pool) *poolUse {
	for _, lane := range rs.lanes {
		if lane.extra != nil && lane.extra.pool.Name == p.Name {
			return lane.extra
		}
	}
	return &poolUse{pool: r.ensurePool(rs.version, p)}
}

// ensurePool returns the state of a pool of a version, and creates it if there is none yet.
func (r *Router) ensurePool(v *version, p *Pool) *poolState {
	state := v.pools[p.Name]
	if state == nil {
		state = &poolState{Pool: p, version: v, members: map[EngineID]*engine{}, windowStart: r.now}
		v.pools[p.Name] = state
		v.poolOrder = append(v.poolOrder, state)
		if len(r.versions) > 1 {
			// Keep the maximum size that the latest earlier version with this pool has tracked.
			for _, older := range r.versions[:len(r.versions)-1] {
				if earlier := older.pools[p.Name]; earlier != nil && older != v {
					state.previousMax = max(earlier.currentMax, earlier.previousMax)
				}
			}
		}
		r.fillMembers(state)
	}
	return state
}

// ensureRoute returns the state of a route of the newest version, and creates it for the first job of the route.
func (r *Router) ensureRoute(v *version, found *Route) *routeState {
	if rs := v.routes[found.Name]; rs != nil {
		return rs
	}
	rs := &routeState{Route: v.table.routes[found.Name], version: v}
	if rs.meter = r.meters[found.Name]; rs.meter == nil {
		rs.meter = &meter{}
		r.meters[found.Name] = rs.meter
	}
	for position, p := range rs.Pools {
		use := &poolUse{pool: r.ensurePool(v, p)}
		// A pool keeps its status when a new version is adopted. A new pool is in use, or down if it is not healthy.
		if previous := r.previousUse(rs, position, p.Name); previous != nil {
			use.status, use.statusSince = previous.status, previous.statusSince
		} else if !use.pool.healthy(r.now) {
			use.status = down
		}
		rs.poolUses = append(rs.poolUses, use)
		use.pool.routes = append(use.pool.routes, rs)
	}
	v.routes[found.Name] = rs
	v.routeOrder = append(v.routeOrder, rs)
	r.updateStatuses(rs)
	return rs
}

// previousUse returns the pool at the same position in the same route of the latest earlier version that has it, or
// nil.
func (r *Router) previousUse(rs *routeState, position int, name PoolName) *poolUse {
	for i := len(r.versions) - 2; i >= 0; i-- {
		if earlier := r.versions[i].routes[rs.Name]; earlier != nil && position < len(earlier.poolUses) &&
			earlier.poolUses[position].pool.Name == name && !earlier.poolUses[position].pool.removed {
			return earlier.poolUses[position]
		}
	}
	return nil
}

// laneFor returns the lane of a route with these pools. There is one Lane per route and pools, so that lanes can be
// compared by their pointers.
func (r *Router) laneFor(rs *routeState, primary, extra *poolUse) *Lane {
	for _, l := range rs.lanes {
		if l.primary == primary && l.extra == extra {
			return l
		}
	}
	l := &Lane{route: rs, primary: primary, extra: extra}
	if primary != nil {
		pools := [2]*poolState{primary.pool}
		if extra != nil {
			pools[1] = extra.pool
		}
		if rs.version.laneSets[pools] == nil {
			rs.version.laneSets[pools] = &pools
		}
		l.set = rs.version.laneSets[pools]
	}
	rs.lanes = append(rs.lanes, l)
	return l
}

// trialInterval is the minimum time between two jobs that may go to a pool that is down, to find out whether a
// suspected engine of it answers again. The decision module probes a suspected engine with a job every 250 ms to 4 s;
// without jobs that are allowed to go there it never could.
const trialInterval = 500 * time.Millisecond

// chooseLane returns the lane for a job: that of the first pool in use, where a pool that is ramping up takes a growing
// share of the jobs; else of the pool with the largest share of usable engines; else of the first pool that was not
// removed, to wait there. rejected is true if all pools were removed, or if no pool has a usable engine and the policy
// ends such jobs.
func (r *Router) chooseLane(rs *routeState) (lane *Lane, rejected bool) {
	if len(rs.poolUses) == 0 {
		return r.laneFor(rs, nil, nil), false
	}
	for position, use := range rs.poolUses {
		if share := use.jobShare(r.now, &rs.Policy); share == 0 || share < 1 && r.rng.Float64() >= share {
			continue
		}
		if position > 0 {
			rs.meter.Counts.Fallback++
			for _, earlier := range rs.poolUses[:position] {
				p := earlier.pool
				if earlier.status == down && !p.removed && len(p.members) > p.usableCount && r.now >= p.nextTrialAt {
					p.nextTrialAt = r.now + trialInterval
					rs.meter.Counts.Trials++
					return r.laneFor(rs, use, earlier), false
				}
			}
		}
		return r.laneFor(rs, use, nil), false
	}
	var best *poolUse
	bestShare, anyLeft := 0.0, false
	for _, use := range rs.poolUses {
		anyLeft = anyLeft || !use.pool.removed
		if share := float64(use.pool.usableCount) / float64(max(use.pool.expectedSize(r.now), 1)); !use.pool.removed &&
			share > bestShare {
			best, bestShare = use, share
		}
	}
	switch {
	case best != nil:
		return r.laneFor(rs, best, nil), false
	case !anyLeft || rs.Policy.RejectWhenDown:
		return nil, true
	}
	for _, use := range rs.poolUses {
		if !use.pool.removed {
			return r.laneFor(rs, use, nil), false
		}
	}
	return nil, true
}

// JobArrived handles a job that arrives: it finds the route and calls Host.Admit or Host.Refuse.
func (r *Router) JobArrived(now time.Duration, id JobID, properties *Job) {
	r.now = now
	v := r.newestVersion()
	var found *Route
	if v != nil {
		found = v.table.Find(properties)
	}
	if found == nil {
		r.host.Admit(id, nil)
		return
	}
	rs := r.ensureRoute(v, found)
	m := rs.meter
	if retryAfter, ok := m.reservePlace(now, &rs.Policy); !ok {
		m.Counts.Refused[TooManyHeld]++
		r.host.Refuse(id, retryAfter, TooManyHeld)
		return
	}
	lane, rejected := r.chooseLane(rs)
	if rejected {
		m.Counts.Refused[NoPool]++
		r.host.Refuse(id, rs.Policy.FailbackDelay, NoPool) // no pool is used again sooner than that
		return
	}
	if retryAfter, ok := m.takeToken(now, &rs.Policy); !ok {
		m.Counts.Refused[OverRate]++
		r.host.Refuse(id, retryAfter, OverRate)
		return
	}
	j := &job{id: id, route: rs, lane: lane, prev: rs.lastJob}
	if rs.lastJob != nil {
		rs.lastJob.next = j
	} else {
		rs.firstJob = j
	}
	rs.lastJob = j
	r.jobs[id] = j
	v.openJobs++
	m.openJobs++
	m.Counts.Taken++
	m.bucket(now, &rs.Policy).jobs++
	r.scheduleOverflow(j)
	r.host.Admit(id, lane)
	r.scheduleWake()
}

// scheduleOverflow records when a held job may overflow, if its pool has an overflow pool.
func (r *Router) scheduleOverflow(j *job) {
	if j.lane.primary == nil || j.lane.extra != nil || j.lane.primary.pool.Overflow == "" {
		return
	}
	pending := pendingOverflow{r.now + j.lane.primary.pool.OverflowAfter, j.id, j.attempts}
	at, _ := slices.BinarySearchFunc(r.pendingOverflows, pending.dueAt+1, func(o pendingOverflow, at time.Duration) int {
		return cmp.Compare(o.dueAt, at)
	})
	r.pendingOverflows = slices.Insert(r.pendingOverflows, at, pending)
}

// AttemptStarted records that an attempt of a job begins.
func (r *Router) AttemptStarted(now time.Duration, id JobID) {
	r.now = now
	j := r.jobs[id]
	if j == nil || j.inFlight {
		return
	}
	m := j.route.meter
	if j.inFlight = true; j.attempts > 0 {
		m.bucket(now, &j.route.Policy).retries++
	}
	j.attempts++
	m.inFlight++
	m.recordDeparture(now)
}

// AttemptEnded records that the attempt of a job has ended. The job is held again, unless JobEnded follows. The caller
// calls AttemptEnded before it notifies the decision module, so that the job is reassigned before it can be retried in
// its old lane.
func (r *Router) AttemptEnded(now time.Duration, id JobID) {
	r.now = now
	j := r.jobs[id]
	if j == nil || !j.inFlight {
		return
	}
	j.inFlight, j.givenUp = false, false // the attempt may have begun just before GiveUp took effect
	j.route.meter.inFlight--
	r.reassign(j)
	r.scheduleOverflow(j)
	r.scheduleWake()
}

// reassign chooses a lane again for a held job whose pool is not used for new jobs, and moves the job or gives it up.
// A job that was moved to another pool, or whose own pool is returning, stays there, so that jobs do not all come back
// at once.
func (r *Router) reassign(j *job) {
	primary := j.lane.primary
	if j.inFlight || primary == nil || primary.status != down && primary.status != failbackPending {
		return
	}
	anyInUse := slices.ContainsFunc(j.route.poolUses, func(use *poolUse) bool {
		return use.jobShare(r.now, &j.route.Policy) > 0
	})
	if !anyInUse && !primary.pool.removed && primary.pool.usableCount > 0 {
		return // no pool is in use, and the job's pool, with a usable engine, is as good a last resort as any other
	}
	lane, rejected := r.chooseLane(j.route)
	if rejected && !j.givenUp {
		j.givenUp = true
		j.route.meter.Counts.GivenUp++
		r.host.GiveUp(j.id)
	} else if !rejected && lane != j.lane {
		r.moveJob(j, lane)
	}
}

func (r *Router) moveJob(j *job, lane *Lane) {
	j.route.meter.Counts.Moved++
	j.lane = lane
	r.host.Move(j.id, lane)
}

// JobEnded removes a job that has ended and has no attempt under way.
func (r *Router) JobEnded(now time.Duration, id JobID) {
	r.now = now
	j := r.jobs[id]
	if j == nil {
		return
	}
	delete(r.jobs, id)
	rs := j.route
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		rs.firstJob = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		rs.lastJob = j.prev
	}
	rs.meter.openJobs--
	if j.inFlight {
		rs.meter.inFlight--
	} else {
		rs.meter.recordDeparture(now) // a place among the held jobs becomes free
	}
	if rs.version.openJobs--; rs.version.openJobs == 0 && rs.version != r.newestVersion() {
		r.dropUnused()
	}
}

// Placement returns the number of the version that an open job was admitted under and its lane, or 0 and nil for a job
// without a route.
func (r *Router) Placement(id JobID) (version int, lane *Lane) {
	if j := r.jobs[id]; j != nil {
		return j.route.version.number, j.lane
	}
	return 0, nil
}

// EachRoute calls a function for each route that has had a job, sorted by name, with the number of open jobs, the number of
// those with an attempt under way, and the counters.
func (r *Router) EachRoute(report func(name RouteName, jobs, inFlight int, c Counts)) {
	for _, name := range sorted(r.meters) {
		m := r.meters[name]
		report(name, m.openJobs, m.inFlight, m.Counts)
	}
}
