package controller

import (
	"container/list"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// job is an accepted job. It is kept until it is answered and none of its attempts is in flight.
type job struct {
	id             logic.JobID
	client         *client // nil once the job is answered or its client is gone
	stream         uint32
	class          logic.ClassName
	idempotencyKey string // the key by which engines recognize a repeat, or empty
	statement      []byte
	acceptedAt     time.Duration // by the controller's clock
	deadline       time.Duration // when the answer must be sent, by the same clock; 0 for a job that was refused on arrival
	notHandedOver  bool          // it waits for the input of its client and the module does not know it
	served         bool          // its result was passed on
	memoryMB       int64
	priority       int
	placement      logic.Placement            // assigned by the operators' routes, or nil
	attempts       int                        // number of attempts decided so far
	inFlight       *attempt                   // the current attempt, or nil
	lastSent       *attempt                   // the last attempt that was put on a connection
	mayHaveRun     []invariant.EarlierAttempt // ended attempts that may have run
	// when the client was known to be gone, 0 if it is not
	clientGoneAt time.Duration
	// Connections that have carried the job's id. They are not used for it again, so that a late answer to one attempt is
	// not taken for the answer to another.
	usedLinks []*engineLink
}

// attempt is one attempt to run a job on an engine, from the module's decision until its outcome is reported.
type attempt struct {
	job              *job
	number           int // number of the attempt within its job, from 0
	engine           *engine
	link             *engineLink   // nil until a connection is available
	messageNumber    int64         // its number on the link
	firstByteAt      atomic.Int64  // when its first byte was sent, by the controller's clock, or 0
	decidedAt        time.Duration // when the module decided it
	deadline         time.Duration // the answer must arrive before
	sendBy           time.Duration // its first byte must be sent before
	pages            [][]byte
	resultBytes      int           // bytes of the pages received
	missingPages     int           // pages not received yet
	pagesRequestedAt time.Duration // when the remaining pages were requested
	lastPageAt       time.Duration // when the last page arrived
	resultBegun      bool          // the first page of the result has arrived
	stopRequested    bool          // the engine was told to stop, or its connection closed
	fenced           bool          // waits until the previous attempt has stopped
	heldSince        time.Duration // since when it last waited for the input of its client
	inputUpToDateAt  time.Duration // when the input of its client had last been handled, as it was put on a connection
	checkedAt        time.Duration // when it was last checked while it had no connection
	inAll, inReady   *list.Element // its places in the lists of its engine, or nil
	withdrawn        bool          // withdrawn before any byte was sent
	work             time.Duration // as the engine reports them with the result, like memory and load
	memory           float64
	load             logic.Load
}

// noLoad stands for an engine that reported no load.
var noLoad = logic.Load{Util: -1, Waiting: -1, MemoryGranted: -1}

// finishAttempt ends an attempt that is still in flight: first on the wire, then in the router and the module.
func (c *Controller) finishAttempt(a *attempt, outcome logic.Outcome) {
	j := a.job
	if j.inFlight != a {
		return
	}
	c.releaseAttempt(a)
	j.inFlight, a.pages = nil, nil // timers may keep the attempt alive for seconds
	c.checkEndedAttempt(a, outcome)
	c.trace("attempt over", reason(outcome.String()), "job", j.id, "attempt", a.number, "engine", a.engine.id, "after", c.now-a.decidedAt,
		"left", firstByteDelay(a))
	c.counts[outcomeCounter(outcome)]++
	ended := j.client == nil
	if ended {
		c.forgetJob(j)
	} else if c.router != nil { // before the module, which must not send the job on to a pool that is down
		previousPlacement := j.placement
		if c.router.AttemptEnded(c.now, route.JobID(j.id)); j.placement != previousPlacement {
			c.logic.PlacementChanged(c.now, j.id, j.placement, false)
		}
	}
	c.logic.AttemptEnded(c.now, j.id, a.number, a.engine.id, outcome, c.now-a.decidedAt, ended, a.work, a.memory, a.load)
}

// abandonAttempt ends an attempt that the engine may be working on, or one that was never sent. What is still queued is
// withdrawn, because a connection whose peer stopped reading must not deliver a job after its answer.
func (c *Controller) abandonAttempt(a *attempt, outcome logic.Outcome) {
	c.withdrawAttempt(a)
	c.finishAttempt(a, outcome) // does nothing if the attempt was withdrawn
}

// fenceTimeout is how long to wait for an answer from an engine that was told to stop: many round trips, and short
// compared with a job.
const fenceTimeout = 100 * time.Millisecond

// fence prevents two attempts of a job from running at once: the command that stops the previous attempt may arrive later
// than the next attempt does at a nearer engine. Where probes are allowed, a probe follows that command on the same
// connection, and its answer proves that the command has arrived. Elsewhere, and for a silent engine, fence waits for a
// time in which the command should have arrived.
func (c *Controller) fence(previous, next *attempt) {
	previousLink, release := previous.link, func() { c.releaseFenced(next) }
	if previousLink.failed && !previousLink.isClosed { // closing the connection tells the engine to stop, and is under way
		previousLink.onClosed = append(previousLink.onClosed, func() { c.fence(previous, next) })
		return
	}
	c.schedule(c.now+fenceTimeout, release)
	switch {
	case previousLink.failed:
		c.schedule(c.now+previousLink.engine.rtt.upperBound(), release)
	case c.cfg.Settings.Probes:
		tag := "fence-" + strconv.FormatInt(c.counts[fencesSent], 10)
		c.counts[fencesSent]++
		c.fences[tag] = next
		previousLink.sendCommand("health", tag)
		c.schedule(c.now+fenceTimeout, func() { delete(c.fences, tag) })
	default:
		previousLink.afterFlush(func() { c.schedule(c.now+previousLink.engine.rtt.upperBound(), release) })
	}
}

// releaseFenced sends an attempt that waited at a fence.
func (c *Controller) releaseFenced(a *attempt) {
	if a.fenced && a.job.inFlight == a {
		a.fenced = false
		c.sendAttempt(a)
	}
}

// lateThreshold is the lateness of answers and timers that a process with enough CPU time stays below.
const lateThreshold = 20 * time.Millisecond

// answerJob sends a job's only answer to its client.
func (c *Controller) answerJob(j *job, code byte, field, value string, body ...[]byte) {
	cl := j.client
	if cl == nil {
		return
	}
	j.client = nil
	delete(cl.jobs, j.stream)
	if j.deadline > 0 { // 0 if the job was refused on arrival
		c.reportViolation(invariant.Answer(c.now, j.deadline), "job", j.id, "code", code)
	}
	c.admission.Answered(c.now, cl.id)
	if lateness := c.now - j.deadline; j.deadline > 0 && lateness > lateThreshold {
		c.counts[answersLate]++
		c.logEvent(slog.LevelWarn, "answer late", "job", j.id, "by", lateness, "code", code, "attempts", j.attempts)
	}
	cl.sendFrame(frame.Answer, j.stream, code, field, value, body...)
}

// failJob answers a job with a failure.
func (c *Controller) failJob(j *job) {
	if j.client != nil {
		c.counts[jobsFailed]++
	}
	c.answerJob(j, frame.Failed, "", "")
}

// rejectJob answers a job with a rejection, and with the time after which to retry, in whole milliseconds, if that is not
// 0.
func (c *Controller) rejectJob(j *job, retryAfter time.Duration) {
	if j.client != nil {
		c.counts[jobsRejected]++
	}
	field, value := "", ""
	if retryAfter > 0 {
		field, value = "after", strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	c.answerJob(j, frame.Rejected, field, value)
}

// unansweredJobs counts the jobs that have no answer yet.
func (c *Controller) unansweredJobs() (count int) {
	for _, j := range c.jobs {
		if j.client != nil {
			count++
		}
	}
	return count
}

// forgetJob drops a job that is answered and has no attempt in flight.
func (c *Controller) forgetJob(j *job) {
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		if len(j.mayHaveRun) > 0 && (!j.served || c.runsOnce(j)) {
			c.startedJobs.add(c.now, j)
		}
		c.jobBytes -= int64(len(j.statement))
		j.statement = nil // timers may keep the job alive for seconds, as with pages
		if c.router != nil {
			c.router.JobEnded(c.now, route.JobID(j.id))
		}
	}
}

// cancelJob ends a job whose client is gone or has cancelled it.
func (c *Controller) cancelJob(j *job) {
	delete(j.client.jobs, j.stream)
	j.client, j.clientGoneAt = nil, c.now
	c.counts[jobsClientGone]++
	c.trace("client gone", "closed or cancelled", "job", j.id)
	c.abandonJob(j)
}

// firstByteDelay returns the time from the decision of an attempt until its first byte was sent, negative if none was.
func firstByteDelay(a *attempt) time.Duration {
	if sentAt := time.Duration(a.firstByteAt.Load()); sentAt > 0 {
		return sentAt - a.decidedAt
	}
	return -1
}

// abandonJob tells the module that no client waits for a job any more, and withdraws an unsent attempt of it, whether or
// not the module may recall one that was sent.
func (c *Controller) abandonJob(j *job) {
	c.logic.ClientGone(c.now, j.id)
	c.runLater(func() {
		if j.inFlight != nil {
			c.withdrawAttempt(j.inFlight)
		}
		if j.inFlight == nil {
			c.forgetJob(j)
		}
	})
}

// withdrawAttempt ends an attempt of which no byte was sent; it does nothing to any other.
func (c *Controller) withdrawAttempt(a *attempt) {
	if a.job.inFlight == a && (a.link == nil || a.link.withdraw(a.messageNumber)) {
		a.withdrawn = true
		c.finishAttempt(a, logic.NotSent)
	}
}

// maySend reports whether an attempt may still be sent. While it waited for a connection or at a fence, its client may
// have gone, its engine may have left service, or its time may have passed. It also asks the kernel whether the client
// has closed its connection, which a stalled process may not have noticed yet.
func (c *Controller) maySend(a *attempt) bool {
	cl := a.job.client
	if cl != nil && cl.hasClosed() {
		c.runLater(func() { c.cancelAllJobs(cl) })
		return false
	}
	return cl != nil && (a.engine.state == logic.Up || c.checksDisabled) && c.now < a.sendBy
}

// OpenJobs returns the number of jobs that were accepted and are not forgotten yet.
func (c *Controller) OpenJobs() (count int) {
	c.withLock(func() { count = len(c.jobs) })
	return count
}
