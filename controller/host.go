package controller

import (
	"log/slog"
	"math"
	"time"

	"yarrowbarrow/decide/route"
	"yarrowbarrow/logic"
)

// host carries out the module's decisions. All methods are called under the lock, and none of them calls the module.
type host struct{ c *Controller }

// Attempt starts an attempt of a job on an engine. Its first byte must be sent within the given time, and its answer must
// arrive before the timeout and the job's deadline.
func (h host) Attempt(id logic.JobID, to logic.EngineID, timeout, within time.Duration) {
	c, j := h.c, h.c.jobs[id]
	if j == nil {
		return
	}
	a := &attempt{job: j, number: j.attempts, engine: c.engines[to], decidedAt: c.now,
		deadline: min(c.now+timeout, j.deadline), load: noLoad}
	a.sendBy = min(c.now+within, a.deadline)
	if a.engine == nil {
		a.engine = &engine{id: to}
	}
	forbidden := !c.mayAttempt(j, a.engine)
	j.attempts++
	j.inFlight = a
	c.counts[attemptsDecided]++
	if c.router != nil {
		c.router.AttemptStarted(c.now, route.JobID(id))
	}
	if j.attempts > 1 {
		c.trace("further attempt", "decided", "job", j.id, "attempt", a.number, "engine", to)
	}
	if c.now >= a.sendBy || j.client == nil || forbidden {
		c.runLater(func() { c.finishAttempt(a, logic.NotSent) })
		return
	}
	if previous := j.lastSent; previous != nil && previous.stopRequested {
		a.fenced = true
		c.fence(previous, a)
	} else {
		c.sendAttempt(a)
	}
	if a.sendBy < a.deadline {
		c.schedule(a.sendBy, func() { c.withdrawAttempt(a) })
	}
	c.schedule(a.deadline, func() { c.attemptTimedOut(a) })
}

// SetTerms sets the memory grant and the priority of a job; an attempt in flight gets the new priority.
func (h host) SetTerms(id logic.JobID, memoryMB float64, priority int) {
	if j := h.c.jobs[id]; j != nil {
		j.memoryMB, j.priority = int64(math.Ceil(memoryMB)), priority
		if j.inFlight != nil {
			h.c.sendPriority(j.inFlight)
		}
	}
}

// Recall abandons an attempt, if it is still the current one of its job.
func (h host) Recall(id logic.JobID, number int) {
	if j := h.c.jobs[id]; j != nil && j.inFlight != nil && j.inFlight.number == number {
		a := j.inFlight
		h.c.runLater(func() { h.c.abandonAttempt(a, logic.Recalled) })
	}
}

// Reject answers a job with a rejection.
func (h host) Reject(id logic.JobID, retryAfter time.Duration) {
	if j := h.c.jobs[id]; j != nil {
		h.c.trace("rejected", "decided", "job", id, "attempts", j.attempts, "back_in", retryAfter)
		h.c.rejectJob(j, retryAfter)
		h.forgetIfIdle(j)
	}
}

// Fail answers a job with a failure.
func (h host) Fail(id logic.JobID) {
	if j := h.c.jobs[id]; j != nil {
		h.c.trace("failed", "decided", "job", id, "attempts", j.attempts)
		h.c.failJob(j)
		h.forgetIfIdle(j)
	}
}

// forgetIfIdle forgets an answered job unless an attempt of it is still in flight.
func (h host) forgetIfIdle(j *job) {
	if j.inFlight == nil {
		h.c.forgetJob(j)
	}
}

// StartTimer wakes the module after a delay, unless a new one has been started by then, which sets timers of its own.
func (h host) StartTimer(timer logic.TimerID, delay time.Duration) {
	start := h.c.moduleStarts
	h.c.schedule(h.c.now+delay, func() {
		if h.c.moduleStarts == start {
			h.c.logic.TimerDue(h.c.now, timer)
		}
	})
}

func (h host) FollowList(on bool)      { h.c.runLater(func() { h.c.discovery.setFollowing(on) }) }
func (h host) FetchList()              { h.c.runLater(h.c.discovery.refetch) }
func (h host) Probe(id logic.EngineID) { h.c.runLater(func() { h.c.probe(id) }) }
func (h host) CloseIdle(id logic.EngineID) {
	h.c.runLater(func() { h.c.closeIdleLinks(h.c.engines[id], 0) })
}

// SendToPeer only counts: this network gives controllers no way to talk to each other.
func (h host) SendToPeer(logic.PeerID, string) { h.c.counts[peerMessagesDropped]++ }

// SetSuspected passes a suspicion about an engine, or its end, to the router.
func (h host) SetSuspected(id logic.EngineID, suspected bool) {
	if r := h.c.router; r != nil {
		h.c.runLater(func() { r.EngineSuspected(h.c.now, route.EngineID(id), suspected) })
	}
}

// KeyRests counts and logs the rest of an order key.
func (h host) KeyRests(id logic.JobID, until time.Duration) {
	h.c.counts[keysRested]++
	h.c.trace("key rests", "an attempt may still run", "job", id, "for", until-h.c.now)
}

func (h host) Log(line string) { h.c.logEvent(slog.LevelInfo, "module", "says", line) }
