package route

import (
	"fmt"
	"math"
	"time"
)

// Explanation is the route that a job takes, with the reasons why the routes before it do not take it.
type Explanation struct {
	Route         *Route // nil: no route matches
	SkippedRoutes []Skipped
	Pools         []PoolView // the pools of the route, in order
}

// Skipped is a route before the one that takes the job, with the term of its match that the job does not satisfy.
type Skipped struct {
	Route    *Route
	Mismatch string
}

// PoolView is a pool and its members among the given engines.
type PoolView struct {
	Pool       *Pool
	Engines    []EngineID
	NonMembers int    // number of engines that are not members
	Summary    string // number of members and the minimum, for display
	Healthy    bool   // whether the pool has its minimum of members
}

// Explain determines the route of a job and the members of its pools, and takes all given engines to be usable.
func (p *Plan) Explain(j *Job, engines []Engine) (explanation Explanation) {
	for _, r := range p.Routes {
		why := r.Match.Mismatch(j)
		if why == "" && r.Match.Matches(j) {
			explanation.Route = r
			break
		}
		explanation.SkippedRoutes = append(explanation.SkippedRoutes, Skipped{r, why})
	}
	if explanation.Route == nil {
		return explanation
	}
	for _, pool := range explanation.Route.Pools {
		view := PoolView{Pool: pool}
		for index := range engines {
			if pool.Contains(&engines[index]) {
				view.Engines = append(view.Engines, engines[index].ID)
			} else {
				view.NonMembers++
			}
		}
		minEngines := max(pool.MinCount, 1)
		if pool.MinShare > 0 {
			minEngines = max(int(math.Ceil(pool.MinShare*float64(max(pool.Size, len(view.Engines)))-1e-9)), 1)
		}
		view.Healthy = len(view.Engines) >= minEngines
		view.Summary = fmt.Sprintf("%d engines, minimum %d", len(view.Engines), minEngines)
		explanation.Pools = append(explanation.Pools, view)
	}
	return explanation
}

// Limits describes the limits and waits that a policy sets, one string each.
func (p *Policy) Limits() (descriptions []string) {
	add := func(set bool, format string, args ...any) {
		if set {
			descriptions = append(descriptions, fmt.Sprintf(format, args...))
		}
	}
	add(p.MaxInFlight > 0, "at most %d attempted", p.MaxInFlight)
	add(p.MaxHeld > 0, "at most %d held", p.MaxHeld)
	add(p.Rate > 0, "%g jobs/s", p.Rate)
	add(p.RetryBudgetSet, "further attempts %g%% of jobs in %v and %d more", 100*p.RetryBudgetShare, p.RetryBudgetWindow, p.RetryBudgetFloor)
	add(p.RetryDelay > 0, "further ones after %v", p.RetryDelay)
	add(p.RepeatWindow > 0, "repeats within %v", p.RepeatWindow)
	add(p.FailoverDelay > 0, "fallback after %v", p.FailoverDelay.Round(time.Millisecond))
	add(p.RejectWhenDown, "ended when no pool is usable")
	return descriptions
}
