package route

import (
	"fmt"
	"math"
	"time"
)

// Explanation tells where a job goes and why.
type Explanation struct {
	Route  *Route // nil: none takes it
	Passed []Passed
	Pools  []PoolView // of the route, in order
}

// Passed is a route before the one that takes the job, with the term that keeps it from doing so.
type Passed struct {
	Route *Route
	Why   string
}

// PoolView is a pool with its engines among those given.
type PoolView struct {
	Pool    *Pool
	Engines []EngineID
	Left    int    // engines that are no members
	Stands  string // what the engines come to, against the minimum
	Fit     bool
}

// Explain follows a job through a plan, with engines that are all taken to be usable.
func (p *Plan) Explain(j *Job, engines []Engine) (e Explanation) {
	for _, r := range p.Routes {
		why := r.Match.Against(j)
		if why == "" && r.Match.Holds(j) {
			e.Route = r
			break
		}
		e.Passed = append(e.Passed, Passed{r, why})
	}
	if e.Route == nil {
		return e
	}
	for _, pool := range e.Route.Pools {
		v := PoolView{Pool: pool}
		for n := range engines {
			if pool.Has(&engines[n]) {
				v.Engines = append(v.Engines, engines[n].ID)
			} else {
				v.Left++
			}
		}
		least := max(pool.MinCount, 1)
		if pool.MinShare > 0 {
			least = max(int(math.Ceil(pool.MinShare*float64(max(pool.Size, len(v.Engines)))-1e-9)), 1)
		}
		v.Fit = len(v.Engines) >= least
		v.Stands = fmt.Sprintf("%d engines, minimum %d", len(v.Engines), least)
		e.Pools = append(e.Pools, v)
	}
	return e
}

// Limits puts a policy in words, empty where it sets nothing.
func (p *Policy) Limits() (words []string) {
	say := func(set bool, format string, args ...any) {
		if set {
			words = append(words, fmt.Sprintf(format, args...))
		}
	}
	say(p.MostOut > 0, "at most %d attempted", p.MostOut)
	say(p.MostHeld > 0, "at most %d held", p.MostHeld)
	say(p.Rate > 0, "%g jobs/s", p.Rate)
	say(p.FurtherSet, "further attempts %g%% of jobs in %v and %d more", 100*p.FurtherShare, p.FurtherSpan, p.FurtherFree)
	say(p.FurtherWait > 0, "further ones after %v", p.FurtherWait)
	say(p.RepeatWindow > 0, "repeats within %v", p.RepeatWindow)
	say(p.FallbackWait > 0, "fallback after %v", p.FallbackWait.Round(time.Millisecond))
	say(p.EndWhenDown, "ended when no pool is usable")
	return words
}
