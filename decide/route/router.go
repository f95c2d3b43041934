package route

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Host carries out what the router decides. A call takes effect at the time of the event being handled; none of them
// may call the router before that event's method has returned.
type Host interface {
	Admit(job JobID, lane *Lane) // a nil lane narrows nothing
	Refuse(job JobID, comeBack time.Duration, why Reason)
	Move(job JobID, lane *Lane) // of a held job
	GiveUp(job JobID)           // a held job that no pool will ever take
	TakeBack(job JobID)         // its attempt, where it has not left yet
	WakeAfter(in time.Duration)
	Log(line string)
}

// version is a plan while it is the newest or a job that was taken under it is open.
type version struct {
	number int
	plan   *Plan
	table  *Table
	routes map[RouteName]*routeState // those that had a job
	order  []*routeState
	pools  map[PoolName]*poolState
	listed []*poolState // the same, in order
	sets   map[[2]*poolState]*[2]*poolState
	jobs   int
}

// routeState is a route of one version that had a job.
type routeState struct {
	*Route
	version     *version
	legs        []*leg
	lanes       []*Lane
	meter       *meter
	first, last *job // open, in the order taken
	moving      bool // in the router's list
}

// job is an open job that has a route.
type job struct {
	id         JobID
	route      *routeState
	lane       *Lane
	out        bool
	givenUp    bool
	sent       int
	prev, next *job // of the route
}

// Lane is a set of engines that jobs of one route may go to now: those of a pool, and of one more.
type Lane struct {
	route       *routeState
	main, extra *leg // nil main: every engine
	set         *[2]*poolState
}

// Set is the same for lanes with the same pools, whatever their routes, and nil for those of every engine.
func (l *Lane) Set() any {
	if l.set == nil {
		return nil
	}
	return l.set
}

// Allows tells whether an engine is among those of the lane.
func (l *Lane) Allows(e EngineID) bool {
	return l.main == nil || l.main.pool.members[e] != nil || l.extra != nil && l.extra.pool.members[e] != nil
}

// Room tells whether a job of the lane may leave now: it has engines, and the route's limit is not met.
func (l *Lane) Room() bool {
	p := &l.route.Policy
	return (p.MostOut == 0 || l.route.meter.out < p.MostOut) &&
		(l.main == nil || len(l.main.pool.members) > 0 || l.extra != nil && len(l.extra.pool.members) > 0)
}

// Further tells whether a job may go again: first is the time since its first attempt that may have run (0: none),
// over that since the last one ended.
func (l *Lane) Further(now, first, over time.Duration) bool {
	p := &l.route.Policy
	return over >= p.FurtherWait && (p.RepeatWindow == 0 || first <= p.RepeatWindow) && l.route.meter.further(now, p)
}

// Names gives the lane's route and pools, for logs.
func (l *Lane) Names() (RouteName, PoolName, PoolName) {
	var main, extra PoolName
	if l.main != nil {
		main = l.main.pool.Name
	}
	if l.extra != nil {
		extra = l.extra.pool.Name
	}
	return l.route.Name, main, extra
}

// Router is the state of the routes of one controller.
type Router struct {
	host     Host
	rng      *rand.Rand
	now      time.Duration
	versions []*version // oldest first; the last is the one that new jobs are taken under
	numbered int
	meters   map[RouteName]*meter
	engines  map[EngineID]*engine
	order    []*engine // by id
	jobs     map[JobID]*job
	overflow []overflowing // by the time that it is due
	moving   []*routeState // whose pools may move on by time alone
	waking   bool
}

// overflowing is a job that may take the engines of another pool as well once it was held for long enough.
type overflowing struct {
	at   time.Duration
	job  JobID
	sent int
}

// New begins without any version: every job is admitted everywhere until Adopt.
func New(host Host, seed int64) *Router {
	return &Router{host: host, rng: rand.New(rand.NewSource(seed)), meters: map[RouteName]*meter{},
		engines: map[EngineID]*engine{}, jobs: map[JobID]*job{}}
}

// Table is that of the newest version, or nil, for NewTable.
func (r *Router) Table() *Table {
	if v := r.newest(); v != nil {
		return v.table
	}
	return nil
}

func (r *Router) newest() *version {
	if len(r.versions) == 0 {
		return nil
	}
	return r.versions[len(r.versions)-1]
}

// Versions tells how many are kept, and how many jobs are open.
func (r *Router) Versions() (kept, jobs int) { return len(r.versions), len(r.jobs) }

// Adopt takes a new version for the jobs that come from now on. Jobs that are open keep their own, but what the new
// one took out of a pool, or a pool that it does not have, gets nothing more of theirs either.
func (r *Router) Adopt(now time.Duration, plan *Plan, table *Table) {
	r.now = now
	r.numbered++
	r.versions = append(r.versions, &version{number: r.numbered, plan: plan, table: table,
		routes: map[RouteName]*routeState{}, pools: map[PoolName]*poolState{}, sets: map[[2]*poolState]*[2]*poolState{}})
	for _, p := range plan.Pools {
		r.pool(r.newest(), p)
	}
	r.free()
	r.eachPool(func(p *poolState) {
		r.recount(p, func() { r.fill(p) })
	})
	for _, v := range r.versions {
		for _, rs := range v.order {
			for j := rs.first; j != nil; j = j.next {
				if l := j.lane; j.out && l.main != nil && l.main.pool.gone && (l.extra == nil || l.extra.pool.gone) {
					r.host.TakeBack(j.id)
				}
			}
		}
	}
}

// free forgets versions that no open job was taken under, and what no version knows.
func (r *Router) free() {
	newest := r.newest()
	r.versions = slices.DeleteFunc(r.versions, func(v *version) bool { return v != newest && v.jobs == 0 })
	for name, m := range r.meters {
		known := slices.ContainsFunc(r.versions, func(v *version) bool { return v.table.routes[name] != nil })
		if !known && m.jobs == 0 {
			delete(r.meters, name)
		}
	}
}

// fill works out the members of a pool: by its own version and, where that is not the newest, by the newest as well.
func (r *Router) fill(p *poolState) {
	also := p.Pool
	if newest := r.newest(); p.version != newest {
		if also = newest.plan.Pool(p.Name); also == nil {
			p.gone = true
		}
	}
	clear(p.members)
	for _, e := range r.order {
		if e.up && !p.gone && p.Has(&e.Engine) && also.Has(&e.Engine) {
			p.members[e.ID] = e
		}
	}
	p.count(r.now)
}

// EngineSeen tells of an engine of the list; up is false while it drains and once it has gone. ListEnds follows.
func (r *Router) EngineSeen(now time.Duration, seen Engine, up bool) {
	r.now = now
	e := r.engines[seen.ID]
	if e == nil {
		if !up {
			return
		}
		e = &engine{}
		r.engines[seen.ID] = e
		at, _ := slices.BinarySearchFunc(r.order, seen.ID, func(e *engine, id EngineID) int { return cmp.Compare(e.ID, id) })
		r.order = slices.Insert(r.order, at, e)
	}
	e.Engine, e.up = seen, up
	if !up {
		delete(r.engines, seen.ID)
		r.order = slices.DeleteFunc(r.order, func(o *engine) bool { return o == e })
	}
	r.eachPool(func(p *poolState) {
		delete(p.members, seen.ID)
		if newest := r.newest(); up && !p.gone && p.Has(&e.Engine) &&
			(p.version == newest || newest.plan.Pool(p.Name).Has(&e.Engine)) {
			p.members[seen.ID] = e
		}
	})
}

// ListEnds acts on what the list said.
func (r *Router) ListEnds(now time.Duration) {
	r.now = now
	r.eachPool(func(p *poolState) { r.recount(p, func() { p.count(now) }) })
}

// EngineSuspected tells that the decision module holds an engine for faulty, or no longer.
func (r *Router) EngineSuspected(now time.Duration, id EngineID, suspected bool) {
	r.now = now
	e := r.engines[id]
	if e == nil || e.suspected == suspected {
		return
	}
	e.suspected = suspected
	r.eachPool(func(p *poolState) {
		if p.members[id] != nil {
			r.recount(p, func() { p.count(now) })
		}
	})
}

// recount acts on what a change of a pool's engines comes to. A pool that was down already changes no standing, but
// when it is gone, or has its first usable engine or none any more, jobs that wait may do better elsewhere.
func (r *Router) recount(p *poolState, change func()) {
	gone, none := p.gone, p.usable == 0
	change()
	r.update(p.users...)
	if p.gone == gone && (p.usable == 0) == none {
		return
	}
	for _, rs := range p.users {
		for j := rs.first; j != nil; j = j.next {
			r.reconsider(j)
		}
	}
}

func (r *Router) eachPool(f func(*poolState)) {
	for _, v := range r.versions {
		for _, p := range v.listed {
			f(p)
		}
	}
}

// update moves the standing of the routes' pools on, and held jobs away from pools that went down.
func (r *Router) update(routes ...*routeState) {
	for _, rs := range routes {
		changed, timed := false, false
		for _, l := range rs.legs {
			was := l.stand
			if l.update(r.now, &rs.Policy) {
				changed = true
				if rs.version == r.newest() {
					r.host.Log(fmt.Sprintf("route %s: pool %s is %s, was %s (%d usable of %d)", rs.Name, l.pool.Name,
						l.stand, was, l.pool.usable, l.pool.size(r.now)))
				}
			}
			timed = timed || l.timed()
		}
		if changed {
			for j := rs.first; j != nil; j = j.next {
				r.reconsider(j)
			}
		}
		if timed && !rs.moving {
			rs.moving = true
			r.moving = append(r.moving, rs)
		}
	}
	r.wake()
}

// sweepEvery bounds how late a standing changes by time alone; waits are given in tenths of a second and more.
const sweepEvery = 20 * time.Millisecond

func (r *Router) wake() {
	if !r.waking && (len(r.overflow) > 0 || len(r.moving) > 0) {
		r.waking = true
		r.host.WakeAfter(sweepEvery)
	}
}

// TimerDue follows WakeAfter.
func (r *Router) TimerDue(now time.Duration) {
	r.now, r.waking = now, false
	for len(r.overflow) > 0 && r.overflow[0].at <= now {
		due := r.overflow[0]
		r.overflow = r.overflow[1:]
		j := r.jobs[due.job]
		if j == nil || j.out || j.sent != due.sent || j.lane.main == nil || j.lane.extra != nil {
			continue
		}
		if over := r.overflowOf(j.route, j.lane.main); over != nil && over.pool.usable > 0 {
			j.route.meter.Counts.Overflowed++
			r.move(j, r.lane(j.route, j.lane.main, over))
		}
	}
	moving := r.moving
	r.moving = nil
	for _, rs := range moving {
		rs.moving = false
	}
	r.update(moving...)
}

// overflowOf is the pool that may take what waits for a leg's.
func (r *Router) overflowOf(rs *routeState, l *leg) *leg {
	if l.pool.Overflow == "" {
		return nil
	}
	p := rs.version.plan.Pool(l.pool.Overflow)
	if p == nil {
		return nil
	}
	return r.leg(rs, p)
}

// leg gives a pool as a route uses it beyond its own pools; its standing is not looked at.
func (r *Router) leg(rs *routeState, p *Pool) *leg {
	for _, lane := range rs.lanes {
		if lane.extra != nil && lane.extra.pool.Name == p.Name {
			return lane.extra
		}
	}
	return &leg{pool: r.pool(rs.version, p)}
}

func (r *Router) pool(v *version, p *Pool) *poolState {
	ps := v.pools[p.Name]
	if ps == nil {
		ps = &poolState{Pool: p, version: v, members: map[EngineID]*engine{}, spanned: r.now}
		v.pools[p.Name] = ps
		v.listed = append(v.listed, ps)
		if len(r.versions) > 1 {
			// The size that the pool of the version before remembered holds on.
			for _, older := range r.versions[:len(r.versions)-1] {
				if o := older.pools[p.Name]; o != nil && older != v {
					ps.before = max(o.recent, o.before)
				}
			}
		}
		r.fill(ps)
	}
	return ps
}

// state gives what is known of a route of the newest version, from its first job on.
func (r *Router) state(v *version, found *Route) *routeState {
	if rs := v.routes[found.Name]; rs != nil {
		return rs
	}
	rs := &routeState{Route: v.table.routes[found.Name], version: v}
	if rs.meter = r.meters[found.Name]; rs.meter == nil {
		rs.meter = &meter{}
		r.meters[found.Name] = rs.meter
	}
	for n, p := range rs.Pools {
		l := &leg{pool: r.pool(v, p)}
		// A pool keeps its standing over a change of versions; a new one begins as it is.
		if before := r.standing(rs, n, p.Name); before != nil {
			l.stand, l.since = before.stand, before.since
		} else if !l.pool.fit(r.now) {
			l.stand = down
		}
		rs.legs = append(rs.legs, l)
		l.pool.users = append(l.pool.users, rs)
	}
	v.routes[found.Name] = rs
	v.order = append(v.order, rs)
	r.update(rs)
	return rs
}

// standing finds a pool as the same route of an earlier version uses it.
func (r *Router) standing(rs *routeState, n int, name PoolName) *leg {
	for i := len(r.versions) - 2; i >= 0; i-- {
		if old := r.versions[i].routes[rs.Name]; old != nil && n < len(old.legs) && old.legs[n].pool.Name == name &&
			!old.legs[n].pool.gone {
			return old.legs[n]
		}
	}
	return nil
}

// lane gives the one lane of these pools, so that jobs of one lane are known as such.
func (r *Router) lane(rs *routeState, main, extra *leg) *Lane {
	for _, l := range rs.lanes {
		if l.main == main && l.extra == extra {
			return l
		}
	}
	l := &Lane{route: rs, main: main, extra: extra}
	if main != nil {
		pools := [2]*poolState{main.pool}
		if extra != nil {
			pools[1] = extra.pool
		}
		if rs.version.sets[pools] == nil {
			rs.version.sets[pools] = &pools
		}
		l.set = rs.version.sets[pools]
	}
	rs.lanes = append(rs.lanes, l)
	return l
}

// trialEvery is how often a job may look whether a suspected engine of a pool that is down answers again. The
// decision module itself tries one each 250 ms to 4 s; without jobs that may go there it never would.
const trialEvery = 500 * time.Millisecond

// choose gives the lane for a job: the first pool in use, with a growing share where one returns; else the one with
// the most of its engines usable; else the first, to wait there. none tells that no pool will ever take it, or that
// none is usable where the policy ends such jobs.
func (r *Router) choose(rs *routeState) (lane *Lane, none bool) {
	if len(rs.legs) == 0 {
		return r.lane(rs, nil, nil), false
	}
	for n, l := range rs.legs {
		if share := l.share(r.now, &rs.Policy); share == 0 || share < 1 && r.rng.Float64() >= share {
			continue
		}
		if n > 0 {
			rs.meter.Counts.Fallback++
			for _, before := range rs.legs[:n] {
				p := before.pool
				if before.stand == down && !p.gone && len(p.members) > p.usable && r.now >= p.trial {
					p.trial = r.now + trialEvery
					rs.meter.Counts.Trials++
					return r.lane(rs, l, before), false
				}
			}
		}
		return r.lane(rs, l, nil), false
	}
	var best *leg
	most, left := 0.0, false
	for _, l := range rs.legs {
		left = left || !l.pool.gone
		if share := float64(l.pool.usable) / float64(max(l.pool.size(r.now), 1)); !l.pool.gone && share > most {
			best, most = l, share
		}
	}
	switch {
	case best != nil:
		return r.lane(rs, best, nil), false
	case !left || rs.Policy.EndWhenDown:
		return nil, true
	}
	for _, l := range rs.legs {
		if !l.pool.gone {
			return r.lane(rs, l, nil), false
		}
	}
	return nil, true
}

// JobTaken finds the route of a job and admits or refuses it.
func (r *Router) JobTaken(now time.Duration, id JobID, described *Job) {
	r.now = now
	v := r.newest()
	var found *Route
	if v != nil {
		found = v.table.Find(described)
	}
	if found == nil {
		r.host.Admit(id, nil)
		return
	}
	rs := r.state(v, found)
	m := rs.meter
	if comeBack, ok := m.place(now, &rs.Policy); !ok {
		m.Counts.Refused[OverHeld]++
		r.host.Refuse(id, comeBack, OverHeld)
		return
	}
	lane, none := r.choose(rs)
	if none {
		m.Counts.Refused[NoPool]++
		r.host.Refuse(id, rs.Policy.ReturnWait, NoPool) // none comes back sooner
		return
	}
	if comeBack, ok := m.rate(now, &rs.Policy); !ok {
		m.Counts.Refused[OverRate]++
		r.host.Refuse(id, comeBack, OverRate)
		return
	}
	j := &job{id: id, route: rs, lane: lane, prev: rs.last}
	if rs.last != nil {
		rs.last.next = j
	} else {
		rs.first = j
	}
	rs.last = j
	r.jobs[id] = j
	v.jobs++
	m.jobs++
	m.Counts.Taken++
	m.span(now, &rs.Policy).taken++
	r.await(j)
	r.host.Admit(id, lane)
	r.wake()
}

// await notes when a held job may overflow.
func (r *Router) await(j *job) {
	if j.lane.main == nil || j.lane.extra != nil || j.lane.main.pool.Overflow == "" {
		return
	}
	due := overflowing{r.now + j.lane.main.pool.OverflowAfter, j.id, j.sent}
	at, _ := slices.BinarySearchFunc(r.overflow, due.at+1, func(o overflowing, at time.Duration) int { return cmp.Compare(o.at, at) })
	r.overflow = slices.Insert(r.overflow, at, due)
}

// Attempted tells that a job leaves for an engine.
func (r *Router) Attempted(now time.Duration, id JobID) {
	r.now = now
	j := r.jobs[id]
	if j == nil || j.out {
		return
	}
	m := j.route.meter
	if j.out = true; j.sent > 0 {
		m.span(now, &j.route.Policy).further++
	}
	j.sent++
	m.out++
	m.departs(now)
}

// AttemptOver tells that a job is held again, or over; JobOver follows in that case. It comes before the decision
// module hears of it, so that the job is not sent on to where it was.
func (r *Router) AttemptOver(now time.Duration, id JobID) {
	r.now = now
	j := r.jobs[id]
	if j == nil || !j.out {
		return
	}
	j.out, j.givenUp = false, false // it may have left just before it was to be given up
	j.route.meter.out--
	r.reconsider(j)
	r.await(j)
	r.wake()
}

// reconsider moves a held job that is not in a pool in use. One that waits on its own pool's return, or went to
// another, stays there: jobs do not all come back at once.
func (r *Router) reconsider(j *job) {
	main := j.lane.main
	if j.out || main == nil || main.stand != down && main.stand != rising {
		return
	}
	open := slices.ContainsFunc(j.route.legs, func(l *leg) bool { return l.share(r.now, &j.route.Policy) > 0 })
	if !open && !main.pool.gone && main.pool.usable > 0 {
		return // one of the last resorts is as good as another
	}
	lane, none := r.choose(j.route)
	if none && !j.givenUp {
		j.givenUp = true
		j.route.meter.Counts.GivenUp++
		r.host.GiveUp(j.id)
	} else if !none && lane != j.lane {
		r.move(j, lane)
	}
}

func (r *Router) move(j *job, lane *Lane) {
	j.route.meter.Counts.Moved++
	j.lane = lane
	r.host.Move(j.id, lane)
}

// JobOver tells that a job is over and nothing of it is out.
func (r *Router) JobOver(now time.Duration, id JobID) {
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
		rs.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		rs.last = j.prev
	}
	rs.meter.jobs--
	if j.out {
		rs.meter.out--
	} else {
		rs.meter.departs(now) // its place is free
	}
	if rs.version.jobs--; rs.version.jobs == 0 && rs.version != r.newest() {
		r.free()
	}
}

// Where tells the version that an open job was taken under and the lane it is in; a nil lane: it has no route.
func (r *Router) Where(id JobID) (version int, lane *Lane) {
	if j := r.jobs[id]; j != nil {
		return j.route.version.number, j.lane
	}
	return 0, nil
}

// Each hands over the figures of each route that had a job, by name.
func (r *Router) Each(tell func(name RouteName, jobs, out int, c Counts)) {
	for _, name := range sorted(r.meters) {
		m := r.meters[name]
		tell(name, m.jobs, m.out, m.Counts)
	}
}
