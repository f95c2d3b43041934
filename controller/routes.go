package controller

import (
	"context"
	"log/slog"
	"time"

	"yarrowbarrow/decide/route"
	"yarrowbarrow/logic"
)

// placement hands a lane to the module.
type placement struct {
	c *Controller
	*route.Lane
}

func (p placement) Allows(e logic.EngineID) bool { return p.Lane.Allows(route.EngineID(e)) }

func (p placement) Further(first, over time.Duration) bool {
	return p.Lane.Further(p.c.now, first, over)
}

// routeHost carries out what the router decides. All is called under the lock. What leads to the module is told later,
// as the router and the module must not be called from within each other.
type routeHost struct{ c *Controller }

func (h routeHost) Admit(id route.JobID, lane *route.Lane) {
	if j := h.c.jobs[logic.JobID(id)]; j != nil && lane != nil {
		j.place = placement{h.c, lane}
	}
}

func (h routeHost) Refuse(id route.JobID, comeBack time.Duration, why route.Reason) {
	j := h.c.jobs[logic.JobID(id)]
	if j == nil {
		return
	}
	h.c.counts[refusedByRoute]++
	h.c.note(slog.LevelDebug, "route refuses", "job", id, "why", why, "after", comeBack)
	h.c.reject(j, min(comeBack, h.c.cfg.Settings.Logic.MaxComeBack))
	h.c.forget(j)
}

func (h routeHost) Move(id route.JobID, lane *route.Lane) {
	h.c.counts[movedByRoute]++
	j := h.c.jobs[logic.JobID(id)]
	if j == nil {
		return
	}
	j.place = placement{h.c, lane}
	h.c.later(func() {
		if h.c.jobs[j.id] == j {
			h.c.logic.Placed(h.c.now, j.id, j.place, false)
		}
	})
}

func (h routeHost) GiveUp(id route.JobID) {
	h.c.later(func() {
		if j := h.c.jobs[logic.JobID(id)]; j != nil {
			h.c.logic.Placed(h.c.now, j.id, j.place, true)
		}
	})
}

// TakeBack guards a pool that drains against what waits for a connection to it, or in a queue.
func (h routeHost) TakeBack(id route.JobID) {
	h.c.later(func() {
		if j := h.c.jobs[logic.JobID(id)]; j != nil && j.out != nil {
			h.c.takeBack(j.out)
		}
	})
}

func (h routeHost) WakeAfter(in time.Duration) {
	r := h.c.router
	h.c.at(h.c.now+in, func() {
		if h.c.router == r {
			r.TimerDue(h.c.now)
		}
	})
}

func (h routeHost) Log(line string) { h.c.note(slog.LevelInfo, "routes", "say", line) }

// adopt takes a version of the operators' routes; a nil one is none at all.
func (c *Controller) adopt(plan *route.Plan, table *route.Table) {
	if plan == nil && c.router == nil {
		return
	}
	if plan == nil {
		plan = &route.Plan{}
		table = route.NewTable(plan, c.router.Table())
	}
	if c.router == nil {
		c.router = route.New(routeHost{c}, c.cfg.Seed^2)
		for _, id := range sorted(c.engines) {
			c.routesSee(c.engines[id])
		}
	}
	c.plan = plan
	c.router.Adopt(c.now, plan, table)
	kept, open := c.router.Versions()
	c.note(slog.LevelInfo, "routes taken", "routes", len(plan.Routes), "pools", len(plan.Pools), "versions", kept,
		"open_jobs", open)
}

func (c *Controller) routesSee(e *engine) {
	if c.router != nil {
		c.router.EngineSeen(c.now, route.Engine{ID: route.EngineID(e.id), Location: string(e.location),
			Kind: string(e.kind)}, e.state == logic.Up)
	}
}

// admitted asks the routes for the engines of a job. One that they refuse is answered.
func (c *Controller) admitted(j *job, customer string, cost, memoryMB float64, tables int64) bool {
	if c.router == nil {
		return true
	}
	described := route.Job{Type: string(j.name), Customer: customer, Front: framedFront, Tables: tables,
		Cost: route.Untold, Memory: route.Untold, Left: j.expires - c.now}
	if cost > 0 {
		described.Cost = time.Duration(cost * float64(time.Millisecond))
	}
	if memoryMB > 0 {
		described.Memory = int64(memoryMB * 1e6)
	}
	c.router.JobTaken(c.now, route.JobID(j.id), &described)
	if c.jobs[j.id] != j {
		return false
	}
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		version, lane := c.router.Where(route.JobID(j.id))
		if lane != nil {
			name, main, extra := lane.Names()
			c.note(slog.LevelDebug, "routed", "job", j.id, "version", version, "route", name, "pool", main, "and", extra)
		}
	}
	return true
}

// framedFront is what routes know our own protocol by.
const framedFront = "framed"

func (c *Controller) logRoutes() {
	if c.router == nil {
		return
	}
	c.router.Each(func(name route.RouteName, jobs, out int, n route.Counts) {
		c.note(slog.LevelInfo, "route", "route", name, "open", jobs, "out", out, "taken", n.Taken, "fallback", n.Fallback,
			"overflowed", n.Overflowed, "moved", n.Moved, "given_up", n.GivenUp, "trials", n.Trials,
			"over_rate", n.Refused[route.OverRate], "over_held", n.Refused[route.OverHeld], "no_pool", n.Refused[route.NoPool])
	})
}

// RouteReport is what a route has and had.
type RouteReport struct {
	Name      string
	Open, Out int
	route.Counts
}

// Routes reports each route that had a job, by name; none without an operators' file. It may be called from anywhere.
func (c *Controller) Routes() (reports []RouteReport) {
	c.do(func() {
		if c.router != nil {
			c.router.Each(func(name route.RouteName, jobs, out int, n route.Counts) {
				reports = append(reports, RouteReport{string(name), jobs, out, n})
			})
		}
	})
	return reports
}
