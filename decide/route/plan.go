// Package route decides which engines a job may go to by the operators' routes, and what a route has no room for.
//
// A Plan is one version of the operators' file: routes in order, pools, policies. Table finds the route of a job
// among many; Router keeps the state of a running controller: which version each job was taken under, which pools
// are fit for use, what each route has out, held and spent. Nothing here sends, retries or answers: it narrows what
// package logic may choose from, and tells the caller of jobs that have no place. There is no I/O and no clock; times
// are whole nanoseconds.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Ids and names, as the list of engines and the operators' file give them.
type (
	JobID     string
	EngineID  string
	PoolName  string
	RouteName string
)

// Engine is what a pool may pick an engine by.
type Engine struct {
	ID             EngineID
	Location, Kind string
}

// Members picks engines: all conditions that are given must hold, each with one of its patterns.
type Members struct {
	IDs, Locations, Kinds []Pattern
}

func (m *Members) picks(e *Engine) bool {
	return (len(m.IDs) == 0 || matchesAny(m.IDs, string(e.ID))) &&
		(len(m.Locations) == 0 || matchesAny(m.Locations, e.Location)) &&
		(len(m.Kinds) == 0 || matchesAny(m.Kinds, e.Kind))
}

// Pool is a set of engines under a name.
type Pool struct {
	Name PoolName
	Any  [][]Members // an engine belongs to it that all conditions of one of these pick
	// The least usable engines for the pool to be used: a number, or a share of Size. Both 0: one engine.
	MinCount int
	MinShare float64 // 0 to 1
	Size     int     // engines the pool should have; 0: the most it had within the last ten minutes
	// Overflow is a pool whose engines a job may take as well once it was held for OverflowAfter; empty: none.
	Overflow      PoolName
	OverflowAfter time.Duration
}

// Has tells whether an engine is a member.
func (p *Pool) Has(e *Engine) bool {
	return slices.ContainsFunc(p.Any, func(of []Members) bool {
		return !slices.ContainsFunc(of, func(m Members) bool { return !m.picks(e) })
	})
}

// Policy is what a route keeps to. A limit of zero is off.
type Policy struct {
	Name         string
	MostOut      int     // attempts at once
	MostHeld     int     // jobs held at once
	Rate         float64 // jobs a second
	Burst        float64 // jobs that may come at once within the rate; 0: a second's worth, at least 1
	FurtherSet   bool    // whether further attempts have a budget of the route's own:
	FurtherShare float64 // of the jobs taken in FurtherSpan
	FurtherFree  int     // and as many more
	FurtherSpan  time.Duration
	FurtherWait  time.Duration // between the end of an attempt and the next of the job
	RepeatWindow time.Duration // in which a job that may have run may go again; 0: the class's
	FallbackWait time.Duration // a pool must be under its minimum for so long before the fallback takes over
	ReturnWait   time.Duration // and fit for so long before it is used again
	ReturnOver   time.Duration // over which its share of new jobs then grows from nothing to all
	EndWhenDown  bool          // with no usable engine in any pool, jobs are ended at once and not held
}

// Route sends the jobs of a match to the engines of a pool.
type Route struct {
	Name   RouteName
	Match  *Match  // nil: every job
	Pools  []*Pool // the pool, then its fallbacks in order; none: any engine
	Policy Policy
}

// Plan is one version of the routes, pools and policies. It does not change once made.
type Plan struct {
	Routes []*Route // the first that matches takes the job
	Pools  []*Pool  // by name
}

// Pool finds a pool by its name, or nil.
func (p *Plan) Pool(name PoolName) *Pool {
	if n, found := slices.BinarySearchFunc(p.Pools, name, func(p *Pool, name PoolName) int {
		return cmp.Compare(p.Name, name)
	}); found {
		return p.Pools[n]
	}
	return nil
}

// Walk finds the route of a job by trying each in order, or nil. Table finds the same one.
func (p *Plan) Walk(j *Job) *Route {
	for _, r := range p.Routes {
		if r.Match.Holds(j) {
			return r
		}
	}
	return nil
}

// Goes tells where a route sends its jobs, in words: two routes with the same words treat jobs alike.
func (r *Route) Goes() string {
	if r == nil {
		return "any engine"
	}
	out := fmt.Sprintf("route %q", r.Name)
	for n, p := range r.Pools {
		out += [...]string{" to pool ", ", else "}[min(n, 1)] + string(p.Name)
	}
	if len(r.Pools) == 0 {
		out += " to any engine"
	}
	return out
}

// NewPolicy gives a policy with what holds where nothing is said. A pool must be fit for 2 s before it is used again,
// about eight times what an engine that came back needs to answer its first trial; over 5 s, a third of the usual
// cold time, its share then grows, as its engines are cold. The budget's window is that of rule 7 on most platforms.
func NewPolicy(name string) Policy {
	return Policy{Name: name, FurtherSpan: 10 * time.Second, ReturnWait: 2 * time.Second, ReturnOver: 5 * time.Second}
}

// Takes tells whether a route's match can hold for jobs with a text in a field.
func (r *Route) Takes(f Field, text string) bool {
	boxes, ok := r.Match.all()
	return !ok || slices.ContainsFunc(boxes, func(b box) bool { return b.texts[f].holds(text) })
}
