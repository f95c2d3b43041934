package controller

import (
	"context"
	"log/slog"
	"time"

	"yarrowbarrow/decide/route"
	"yarrowbarrow/logic"
)

// placement presents a lane of the router to the module.
type placement struct {
	c *Controller
	*route.Lane
}

func (p placement) Allows(e logic.EngineID) bool { return p.Lane.Allows(route.EngineID(e)) }

func (p placement) MayRetry(first, over time.Duration) bool {
	return p.Lane.RetryAllowed(p.c.now, first, over)
}

// routeHost carries out the router's decisions. All methods are called under the lock. Calls to the module are queued,
// because the router and the module must not be called from within each other.
type routeHost struct{ c *Controller }

// Admit records the lane of an admitted job. A nil lane does not restrict the engines.
func (h routeHost) Admit(id route.JobID, lane *route.Lane) {
	if j := h.c.jobs[logic.JobID(id)]; j != nil && lane != nil {
		j.placement = placement{h.c, lane}
	}
}

// Refuse rejects a job that its route does not admit.
func (h routeHost) Refuse(id route.JobID, retryAfter time.Duration, why route.Reason) {
	j := h.c.jobs[logic.JobID(id)]
	if j == nil {
		return
	}
	h.c.counts[refusedByRoute]++
	h.c.logEvent(slog.LevelDebug, "route refuses", "job", id, "why", why, "after", retryAfter)
	h.c.rejectJob(j, min(retryAfter, h.c.cfg.Settings.Logic.MaxRetryAfter))
	h.c.forgetJob(j)
}

// Move gives a job another lane and tells the module.
func (h routeHost) Move(id route.JobID, lane *route.Lane) {
	h.c.counts[movedByRoute]++
	j := h.c.jobs[logic.JobID(id)]
	if j == nil {
		return
	}
	j.placement = placement{h.c, lane}
	h.c.runLater(func() {
		if h.c.jobs[j.id] == j {
			h.c.logic.PlacementChanged(h.c.now, j.id, j.placement, false)
		}
	})
}

// GiveUp tells the module that no pool will ever take a held job.
func (h routeHost) GiveUp(id route.JobID) {
	h.c.runLater(func() {
		if j := h.c.jobs[logic.JobID(id)]; j != nil {
			h.c.logic.PlacementChanged(h.c.now, j.id, j.placement, true)
		}
	})
}

// WithdrawAttempt withdraws an unsent attempt whose pool drains, whether it waits for a connection or in an output queue.
func (h routeHost) WithdrawAttempt(id route.JobID) {
	h.c.runLater(func() {
		if j := h.c.jobs[logic.JobID(id)]; j != nil && j.inFlight != nil {
			h.c.withdrawAttempt(j.inFlight)
		}
	})
}

// StartTimer wakes the router after a delay, unless it has been replaced by then.
func (h routeHost) StartTimer(delay time.Duration) {
	r := h.c.router
	h.c.schedule(h.c.now+delay, func() {
		if h.c.router == r {
			r.TimerDue(h.c.now)
		}
	})
}

func (h routeHost) Log(line string) { h.c.logEvent(slog.LevelInfo, "routes", "say", line) }

// adoptRoutes applies a version of the operators' routes; nil means none.
func (c *Controller) adoptRoutes(plan *route.Plan, table *route.Table) {
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
			c.notifyRouter(c.engines[id])
		}
	}
	c.plan = plan
	c.router.Adopt(c.now, plan, table)
	kept, open := c.router.Versions()
	c.logEvent(slog.LevelInfo, "routes taken", "routes", len(plan.Routes), "pools", len(plan.Pools), "versions", kept,
		"open_jobs", open)
}

// notifyRouter tells the router about an engine and whether it is in service.
func (c *Controller) notifyRouter(e *engine) {
	if c.router != nil {
		c.router.UpdateEngine(c.now, route.Engine{ID: route.EngineID(e.id), Location: string(e.location),
			Kind: string(e.kind)}, e.state == logic.Up)
	}
}

// admitToRoute asks the router for the engines of a job, and reports whether the job is admitted. A refused job is
// answered.
func (c *Controller) admitToRoute(j *job, customer string, cost, memoryMB float64, tables int64) bool {
	if c.router == nil {
		return true
	}
	described := route.Job{Type: string(j.class), Customer: customer, Front: framedProtocol, Tables: tables,
		Cost: route.Unknown, Memory: route.Unknown, TimeLeft: j.deadline - c.now}
	if cost > 0 {
		described.Cost = time.Duration(cost * float64(time.Millisecond))
	}
	if memoryMB > 0 {
		described.Memory = int64(memoryMB * 1e6)
	}
	c.router.JobArrived(c.now, route.JobID(j.id), &described)
	if c.jobs[j.id] != j {
		return false
	}
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		version, lane := c.router.Placement(route.JobID(j.id))
		if lane != nil {
			name, main, extra := lane.Names()
			c.logEvent(slog.LevelDebug, "routed", "job", j.id, "version", version, "route", name, "pool", main, "and", extra)
		}
	}
	return true
}

// framedProtocol is the routes' name for the framed client protocol.
const framedProtocol = "framed"

// logRoutes logs the state and the counts of each route.
func (c *Controller) logRoutes() {
	if c.router == nil {
		return
	}
	c.router.EachRoute(func(name route.RouteName, jobs, inFlight int, counts route.Counts) {
		c.logEvent(slog.LevelInfo, "route", "route", name, "open", jobs, "out", inFlight, "taken", counts.Taken, "fallback", counts.Fallback,
			"overflowed", counts.Overflowed, "moved", counts.Moved, "given_up", counts.GivenUp, "trials", counts.Trials,
			"over_rate", counts.Refused[route.OverRate], "over_held", counts.Refused[route.TooManyHeld], "no_pool", counts.Refused[route.NoPool])
	})
}

// RouteReport holds a route's open jobs, its attempts in flight and its counts.
type RouteReport struct {
	Name           string
	Open, InFlight int
	route.Counts
}

// Routes reports each route that had a job, by name; none without an operators' file. It may be called from any
// goroutine.
func (c *Controller) Routes() (reports []RouteReport) {
	c.withLock(func() {
		if c.router != nil {
			c.router.EachRoute(func(name route.RouteName, jobs, inFlight int, counts route.Counts) {
				reports = append(reports, RouteReport{string(name), jobs, inFlight, counts})
			})
		}
	})
	return reports
}
