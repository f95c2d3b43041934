// Package route decides by the operators' routes which engines a job may be sent to, and enforces the limits of a
// route.
//
// A Plan is one version of the operators' file: an ordered list of routes with their policies, and the pools. A Table
// finds the route of a job among many. A Router keeps the state of a running controller: the version that each job was
// admitted under, the pools that are healthy, and for each route the attempts under way, the jobs held and the rate and
// retry budget used. The package does not send, retry or answer jobs: it restricts the engines that package logic may
// choose from, and notifies the caller of jobs that must be refused or ended. It has no I/O and no clock; the caller
// passes the time as a Duration in whole nanoseconds.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// IDs and names as in the list of engines and in the operators' file.
type (
	JobID     string
	EngineID  string
	PoolName  string
	RouteName string
)

// Engine has the properties of an engine that a pool can select by.
type Engine struct {
	ID             EngineID
	Location, Kind string
}

// Members is a condition on engines. For each list that is not empty, the engine must match one of its patterns.
type Members struct {
	IDs, Locations, Kinds []Pattern
}

func (m *Members) matches(engine *Engine) bool {
	return (len(m.IDs) == 0 || matchesAny(m.IDs, string(engine.ID))) &&
		(len(m.Locations) == 0 || matchesAny(m.Locations, engine.Location)) &&
		(len(m.Kinds) == 0 || matchesAny(m.Kinds, engine.Kind))
}

// Pool is a named set of engines.
type Pool struct {
	Name       PoolName
	MemberSets [][]Members // an engine is a member if it meets all conditions of at least one inner list
	// MinCount is the minimum number of usable engines for the pool to be used. If MinShare is set, the minimum is that
	// share of Size instead. If both are 0, it is one engine.
	MinCount int
	MinShare float64 // 0 to 1
	Size     int     // expected number of engines; 0: the maximum within the last ten minutes
	// Overflow is a pool whose engines a job may use as well after it was held for OverflowAfter. Empty: none.
	Overflow      PoolName
	OverflowAfter time.Duration
}

// Contains reports whether an engine is a member of the pool.
func (p *Pool) Contains(engine *Engine) bool {
	return slices.ContainsFunc(p.MemberSets, func(conditions []Members) bool {
		return !slices.ContainsFunc(conditions, func(condition Members) bool { return !condition.matches(engine) })
	})
}

// Policy has the limits and waits of a route. A limit of zero is disabled.
type Policy struct {
	Name              string
	MaxInFlight       int           // maximum number of concurrent attempts
	MaxHeld           int           // maximum number of jobs held
	Rate              float64       // jobs per second
	Burst             float64       // size of the token bucket for Rate, in jobs; 0: the jobs of one second, at least 1
	RetryBudgetSet    bool          // whether the route has a retry budget of its own, given by the next three fields
	RetryBudgetShare  float64       // retries allowed within RetryBudgetWindow, as a share of the jobs admitted in it
	RetryBudgetFloor  int           // retries allowed in addition to the share
	RetryBudgetWindow time.Duration // sliding window of the retry budget
	RetryDelay        time.Duration // delay from the end of an attempt to a retry
	RepeatWindow      time.Duration // time after its first attempt in which a job that may have run may be retried; 0: the class's
	FailoverDelay     time.Duration // time that a pool must be below its minimum before its fallback is used
	FailbackDelay     time.Duration // time that a pool must be healthy again before it is used again
	SlowStart         time.Duration // time in which its share of new jobs then grows from none to all (slow start)
	RejectWhenDown    bool          // end jobs at once, and do not hold them, if no pool has a usable engine
}

// Route sends the jobs that satisfy a match to the engines of a pool.
type Route struct {
	Name   RouteName
	Match  *Match  // nil: every job
	Pools  []*Pool // the primary pool, then its fallbacks in order; empty: any engine
	Policy Policy
}

// Plan is one version of the routes, pools and policies. It is immutable once built.
type Plan struct {
	Routes []*Route // in order of precedence: the first route that matches takes the job
	Pools  []*Pool  // sorted by name
}

// Pool returns the pool of a name, or nil.
func (p *Plan) Pool(name PoolName) *Pool {
	if index, found := slices.BinarySearchFunc(p.Pools, name, func(p *Pool, name PoolName) int {
		return cmp.Compare(p.Name, name)
	}); found {
		return p.Pools[index]
	}
	return nil
}

// FindLinear returns the route of a job by trying each in order, or nil if none matches. Table.Find returns the same one.
func (p *Plan) FindLinear(j *Job) *Route {
	for _, r := range p.Routes {
		if r.Match.Matches(j) {
			return r
		}
	}
	return nil
}

// Describe describes the route and the pools that it sends its jobs to. A nil route allows any engine. Two routes with the
// same description treat jobs alike.
func (r *Route) Describe() string {
	if r == nil {
		return "any engine"
	}
	text := fmt.Sprintf("route %q", r.Name)
	for position, p := range r.Pools {
		text += [...]string{" to pool ", ", else "}[min(position, 1)] + string(p.Name)
	}
	if len(r.Pools) == 0 {
		text += " to any engine"
	}
	return text
}

// NewPolicy returns a policy with the default values. A pool must be healthy for 2 s before it is used again, about
// eight times the time in which an engine that has come back answers its first trial. Its share of new jobs then grows
// over 5 s, a third of the time that an engine usually stays cold, because its engines are cold. The window of the
// retry budget is that of rule 7 on most platforms.
func NewPolicy(name string) Policy {
	return Policy{Name: name, RetryBudgetWindow: 10 * time.Second, FailbackDelay: 2 * time.Second, SlowStart: 5 * time.Second}
}

// MayMatchText reports whether the route's match can be satisfied by a job that has the given text in a field. It also
// reports true if the match expands to too many boxes to tell.
func (r *Route) MayMatchText(field Field, text string) bool {
	boxes, ok := r.Match.allBoxes()
	return !ok || slices.ContainsFunc(boxes, func(b box) bool { return b.texts[field].contains(text) })
}
