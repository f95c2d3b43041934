package controller

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"yarrowbarrow/decide/polling"
	"yarrowbarrow/internal/resp"
	"yarrowbarrow/logic"
)

// engine is a listed engine and the connections to it.
type engine struct {
	id            logic.EngineID
	address       string // empty once another engine has it
	location      logic.Location
	kind          logic.KindName
	cell          logic.Cell
	state         logic.Health
	weight        float64
	reportedStart time.Duration // Unix time, as discovery reports it
	startedAt     time.Duration // by the controller's clock, 0 if long ago
	drainingSince time.Duration // since when it is not to receive new jobs, 0 while it may
	links         []*engineLink
	waiting       waitingAttempts
	dials         map[int64]context.CancelFunc
	// consecutive dials that failed for lack of a local resource
	dialRetries int
	lastHeard   time.Duration // when bytes last arrived, on any connection
	rtt         rttEstimate
}

// rttEstimate estimates the time from a command to its answer. Its samples are page reads, which cost an engine nothing.
type rttEstimate struct{ mean, deviation time.Duration }

// addSample smooths like TCP's retransmission timer.
func (t *rttEstimate) addSample(sample time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = sample, sample/2
		return
	}
	t.deviation += ((sample - t.mean).Abs() - t.deviation) / 4
	t.mean += (sample - t.mean) / 8
}

// upperBound is a time within which nearly every round trip completes, including the time that the engine takes to read a
// command. The lower limit is 10 ms, far above round trips in a local network and short compared with a job. The upper
// limit is 50 ms, as longer round trips were caused by delays on this machine.
func (t *rttEstimate) upperBound() time.Duration {
	return min(max(t.mean+4*t.deviation, 10*time.Millisecond), 50*time.Millisecond)
}

// engineLink is a connection to an engine.
type engineLink struct {
	*link
	engine             *engine
	attempts           map[logic.JobID]*attempt // in flight on it
	lastUsed           time.Duration            // when an attempt last began or ended
	lastHeard          time.Duration            // when bytes last arrived
	timeoutsSinceHeard int                      // attempts that timed out since bytes last arrived
	retired            bool                     // takes no new attempts
	failed             bool                     // closed, or its input was malformed

	isClosed bool
	// calls to make, under the lock, when the connection is closed
	onClosed []func()

	// it is closing so that another engine may use its descriptor
	closingForRoom bool
}

// markHeard records that bytes arrived from the engine.
func (l *engineLink) markHeard() {
	l.lastHeard, l.engine.lastHeard, l.timeoutsSinceHeard = l.c.now, l.c.now, 0
}

// probe is a health request to an engine that belongs to no job.
type probe struct {
	engine *engine
	sentAt time.Duration
}

// sorted returns the keys of a map in ascending order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// updateEngine records what discovery reports about an engine, before the module is told.
func (c *Controller) updateEngine(id logic.EngineID, address string, location logic.Location,
	kind logic.KindName, cell logic.Cell, state logic.Health, weight float64, reportedStart time.Duration) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id, address: address, dials: map[int64]context.CancelFunc{}}
		c.engines[id] = e
		e.setReportedStart(c, reportedStart)
	}
	if state == logic.Gone {
		c.markActive(e)
	} else {
		c.claimAddress(e, address)
	}
	if e.state != state {
		c.trace("engine", "listed", "engine", id, "from", e.state.String(), "to", state.String())
	}
	if state == logic.Up {
		e.drainingSince = 0
	} else if e.drainingSince == 0 {
		e.drainingSince = c.now
	}
	replaced := e.address != address || e.reportedStart != reportedStart
	if e.reportedStart != reportedStart {
		e.setReportedStart(c, reportedStart)
	}
	e.address, e.location, e.kind, e.cell, e.state, e.weight = address, location, kind, cell, state, weight
	if replaced { // another process: open connections lead to the old one, and queued attempts would go there
		c.retireLinks(e)
		c.withdrawQueued(e)
		c.placeWaiting(e)
	}
	if state != logic.Up {
		c.withdrawUnsent(e)
	}
}

// setReportedStart converts the start time that discovery reports to the controller's clock.
func (e *engine) setReportedStart(c *Controller, reportedStart time.Duration) {
	e.reportedStart, e.startedAt = reportedStart, polling.Started(c.now, c.sys.wallClock(), reportedStart)
}

// claimAddress gives an address to an engine and takes it from its previous owner, so that work for an engine that is
// gone does not reach the one that has its address now.
func (c *Controller) claimAddress(e *engine, address string) {
	if owner := c.engineByAddress[address]; owner != nil && owner != e && owner.address == address {
		c.dropAddress(owner)
	}
	if e.address != address && c.engineByAddress[e.address] == e {
		delete(c.engineByAddress, e.address)
	}
	c.engineByAddress[address] = e
}

// markActive includes an engine in the sweeps. Engines of a large list that have no connection and are not gone are left
// out and cost nothing.
func (c *Controller) markActive(e *engine) { c.activeEngines[e.id] = e }

// dropAddress takes an engine's address away and ends what was on its way to it.
func (c *Controller) dropAddress(e *engine) {
	e.address = ""
	c.retireLinks(e)
	c.withdrawQueued(e)
	c.failWaiting(e, logic.NoConnection)
}

// retireLinks stops the use of the connections to an engine for new attempts and cancels the dials.
func (c *Controller) retireLinks(e *engine) {
	for _, l := range e.links {
		l.retired = true
	}
	for number, cancel := range e.dials {
		cancel()
		delete(e.dials, number)
	}
}

// withdrawUnsent protects the drain of an engine that reads nothing: attempts not sent by now could be sent at any later
// time.
func (c *Controller) withdrawUnsent(e *engine) {
	c.withdrawQueued(e)
	for _, a := range e.waiting.oldest(e.waiting.all.Len()) {
		c.runLater(func() { c.withdrawAttempt(a) })
	}
}

// withdrawQueued withdraws the attempts that are queued on connections to an engine and were not sent.
func (c *Controller) withdrawQueued(e *engine) {
	for _, l := range e.links {
		c.withdrawQueuedOn(l)
	}
}

// withdrawQueuedOn withdraws the attempts that are queued on a connection and were not sent.
func (c *Controller) withdrawQueuedOn(l *engineLink) {
	for _, id := range sorted(l.attempts) {
		a := l.attempts[id]
		c.runLater(func() { c.withdrawAttempt(a) })
	}
}

// failWaiting ends the attempts that wait for a connection to an engine, beyond those for which a dial is under way.
func (c *Controller) failWaiting(e *engine, outcome logic.Outcome) {
	for _, a := range e.waiting.oldest(e.waiting.all.Len() - len(e.dials)) {
		c.runLater(func() { c.finishAttempt(a, outcome) })
	}
}

// mayBegin asks the module again about an attempt that has waited since it was decided.
func (c *Controller) mayBegin(a *attempt) bool {
	return c.now == a.decidedAt || c.logic.MayStart(c.now, a.job.id)
}

// leastLoadedLink returns the usable connection with the fewest attempts that has not carried the job's id, or nil.
func (e *engine) leastLoadedLink(j *job) (best *engineLink) {
	for _, l := range e.links {
		if !l.retired && !l.failed && !slices.Contains(j.usedLinks, l) && (best == nil || len(l.attempts) < len(best.attempts)) {
			best = l
		}
	}
	return best
}

// maxQueueTime is how long after the input of its client was up to date an attempt may stay queued on its connection,
// beyond the tick for which a writer pauses. An attempt that is still unsent after that, because the process stalled or
// the engine reads nothing, is withdrawn and decided again: its client, its engine and its time were checked when it was
// queued.
const maxQueueTime = 85 * time.Millisecond

// writeAttempt queues an attempt on a connection: the head, the statement as it arrived, and the end of the line.
func (c *Controller) writeAttempt(a *attempt, l *engineLink) {
	j := a.job
	fields := "class=" + string(j.class) + ",wait=" +
		strconv.FormatInt(max(int64((a.deadline-c.now)/time.Millisecond), 1), 10)
	if j.idempotencyKey != "" {
		fields += ",once=" + j.idempotencyKey
	}
	if j.memoryMB > 0 {
		fields += ",heap=" + strconv.FormatInt(j.memoryMB, 10)
	}
	if j.priority != 1 {
		fields += ",order=" + strconv.Itoa(j.priority)
	}
	head := resp.AppendBulkString(resp.AppendArrayHeader(make([]byte, 0, 192), 4), "serve")
	head = resp.AppendBulkString(resp.AppendBulkString(head, string(j.id)), fields)
	head = resp.AppendBulkStringHeader(head, len(j.statement))
	a.link, j.lastSent, j.usedLinks = l, a, append(j.usedLinks, l)
	l.attempts[j.id] = a
	l.lastUsed = c.now
	a.inputUpToDateAt = c.now
	if j.client != nil {
		a.inputUpToDateAt = j.client.input.upToDateAt
	}
	sendBy := min(a.sendBy, a.inputUpToDateAt+maxQueueTime+c.cfg.Settings.Logic.Tick)
	a.messageNumber = l.enqueueUntil(sendBy, &a.firstByteAt, head, j.statement, []byte("\r\n"))
	if sendBy < a.sendBy {
		c.schedule(sendBy, func() { c.withdrawAttempt(a) })
	}
	// An engine that reads nothing loses its connection, and with it all attempts that are open on it.
	if int64(l.backlog()) > c.cfg.MemoryMB<<20/16 {
		l.retired = true
		c.counts[enginesTooSlow]++
		c.trace("engine closed", "peer does not read", "engine", a.engine.id, "jobs", len(l.attempts))
		c.closeAsync(l.conn)
	}
}

// sendCommand queues a command, usually about a job.
func (l *engineLink) sendCommand(words ...string) {
	l.enqueue(resp.AppendArray(nil, words...))
}

// releaseAttempt ends an attempt on the wire: it cancels a job that is no longer wanted, or releases its pages.
func (c *Controller) releaseAttempt(a *attempt) {
	j := a.job
	if a.link == nil {
		a.engine.waiting.remove(a)
		return
	}
	l := a.link
	if l.attempts[j.id] == a {
		if a.withdrawn {
			c.counts[attemptsWithdrawn]++
		} else if a.resultBegun {
			l.sendCommand("release", string(j.id))
		} else {
			c.stopAttempt(a)
		}
		// The rest of an answer that has begun may never come, and whatever else was sent would be lost with the connection.
		l.retired = l.retired || l.partialSince.Load() > 0
		c.removeFromLink(a)
	}
}

// stopAttempt tells an engine to stop an attempt. The close of a failed connection, which is under way, says the same.
func (c *Controller) stopAttempt(a *attempt) {
	a.stopRequested = true
	if !a.link.failed {
		a.link.sendCommand("cancel", string(a.job.id))
		c.counts[cancelsSent]++
	}
}

// removeFromLink removes an attempt from its connection.
func (c *Controller) removeFromLink(a *attempt) {
	l := a.link
	delete(l.attempts, a.job.id)
	l.lastUsed = c.now
	for _, page := range a.pages {
		c.jobBytes -= int64(len(page))
	}
	if l.retired && len(l.attempts) == 0 {
		l.closeWhenFlushed()
	} else if l.engine.waiting.ready.Len() > 0 {
		c.placeWaiting(l.engine)
	}
	if len(l.attempts) == 0 && len(c.descriptorQueue) > 0 {
		c.freeDescriptors()
	}
}

// attemptTimedOut ends an attempt whose deadline has passed.
func (c *Controller) attemptTimedOut(a *attempt) {
	if a.job.inFlight != a {
		return
	}
	if l := a.link; l != nil && l.lastHeard < a.decidedAt {
		// A connection to a machine that is cut off stays open and silent. Whether a new one can be opened tells more
		// than another timeout would. A connection that is silent while others to the engine are not may only have a slow
		// job.
		l.timeoutsSinceHeard++
		l.retired = l.retired || l.timeoutsSinceHeard > 1 || a.engine.lastHeard < a.decidedAt
	}
	c.abandonAttempt(a, logic.TimedOut)
}

// sendPriority sends the priority of the job of an attempt in flight to its engine.
func (c *Controller) sendPriority(a *attempt) {
	if a.link != nil {
		a.link.sendCommand("weigh", string(a.job.id), strconv.Itoa(a.job.priority))
	}
}

// engineLinkClosed handles the end of an engine connection: what is open on it has lost its connection.
func (c *Controller) engineLinkClosed(l *engineLink) {
	l.markClosed()
	if l.closingForRoom {
		c.closingForRoom--
	}
	e := l.engine
	e.links = slices.DeleteFunc(e.links, func(other *engineLink) bool { return other == l })
	if len(l.attempts) > 0 && !l.failed {
		c.counts[linksLost]++
	}
	c.trace("engine closed", "connection ended", "engine", e.id, "jobs", len(l.attempts), "misread", l.failed)
	c.failLink(l)
	l.isClosed = true
	for _, f := range l.onClosed {
		f()
	}
	l.onClosed = nil
	c.linkReleased()
}

// failLink ends all attempts on a connection that is closed. Whoever closed it, an attempt that was sent may still be
// running: the engine may not have noticed yet.
func (c *Controller) failLink(l *engineLink) {
	l.failed = true
	for _, id := range sorted(l.attempts) {
		a, outcome := l.attempts[id], logic.ConnectionLost
		a.stopRequested = true
		if l.withdraw(a.messageNumber) || !l.mayHaveSent(a.messageNumber) {
			outcome = logic.NotSent
		}
		c.runLater(func() { c.finishAttempt(a, outcome) })
	}
}

// closeMalformedLink closes an engine's connection whose input can't be trusted any more. The attempts on it end once it
// is closed, not at their timeouts: until then the engine goes on with them. Those not sent yet end at once.
func (c *Controller) closeMalformedLink(l *engineLink, why error) {
	if l.failed {
		return
	}
	c.counts[enginesMalformed]++
	c.logEvent(slog.LevelDebug, "engine misread", "engine", l.engine.id, "why", why, "jobs", len(l.attempts))
	l.failed = true
	c.withdrawQueuedOn(l)
	c.closeAsync(l.conn)
}

// probe sends a health request to an engine on all open connections.
func (c *Controller) probe(id logic.EngineID) {
	e := c.engines[id]
	tag := "probe-" + strconv.FormatInt(c.counts[probesSent], 10)
	c.counts[probesSent]++
	c.probes[tag] = &probe{engine: e, sentAt: c.now}
	c.schedule(c.now+c.cfg.Settings.ConnectTimeout, func() { c.finishProbe(tag, logic.TimedOut, noLoad) })
	if e == nil || !slices.ContainsFunc(e.links, func(l *engineLink) bool {
		if !l.retired && !l.failed {
			l.sendCommand("gauges", tag)
		}
		return !l.retired && !l.failed
	}) {
		c.finishProbe(tag, logic.NoConnection, noLoad)
	}
}

// probeAnswered handles the answer to a probe or to a fence.
func (c *Controller) probeAnswered(tag string, healthy bool, load logic.Load) {
	if a := c.fences[tag]; a != nil {
		delete(c.fences, tag)
		c.releaseFenced(a)
	}
	outcome := logic.Done
	if !healthy {
		outcome = logic.Errored
	}
	c.finishProbe(tag, outcome, load)
}

// finishProbe reports the outcome of a probe to the module, once.
func (c *Controller) finishProbe(tag string, outcome logic.Outcome, load logic.Load) {
	if p := c.probes[tag]; p != nil {
		delete(c.probes, tag)
		if p.engine != nil {
			c.logic.ProbeAnswered(c.now, p.engine.id, outcome, c.now-p.sentAt, load)
		}
	}
}

// closeIdleLinks closes the connections to an engine that have carried nothing for the given time.
func (c *Controller) closeIdleLinks(e *engine, idle time.Duration) {
	if e == nil {
		return
	}
	for _, l := range e.links {
		if len(l.attempts) == 0 && !l.failed && c.now-l.lastUsed >= idle {
			c.trace("engine closed", "idle", "engine", e.id)
			l.retired = true
			l.closeWhenFlushed()
		}
	}
}

// maxAnswerGap bounds the wait for the rest of an answer that has begun, or for the next page of a result: many round
// trips, and short compared with a job.
const maxAnswerGap = 400 * time.Millisecond

// sweepLinks closes connections that stay open although an answer on them has broken off.
func (c *Controller) sweepLinks(e *engine) {
	for _, l := range e.links {
		broken := l.partialAge(c.now) > maxAnswerGap
		for _, a := range l.attempts {
			broken = broken || a.resultBegun && c.now-a.lastPageAt > maxAnswerGap
		}
		if broken {
			c.closeMalformedLink(l, errIncompleteAnswer)
		}
	}
}

// sweepEngines closes connections at four fifths of the time after which the engine would close them, because what is
// sent while the engine closes would be lost. It also forgets engines that are gone.
func (c *Controller) sweepEngines() {
	for _, id := range sorted(c.activeEngines) {
		e := c.activeEngines[id]
		c.sweepLinks(e)
		if idle := c.cfg.Settings.IdleClose; idle > 0 {
			c.closeIdleLinks(e, idle*4/5)
		}
		if e.state == logic.Gone {
			c.closeIdleLinks(e, 0)
		}
		if len(e.links) == 0 && e.waiting.all.Len() == 0 && len(e.dials) == 0 {
			delete(c.activeEngines, id)
			c.forgetGoneEngine(e)
		}
	}
}

// forgetGoneEngine forgets an engine that is gone and has nothing open.
func (c *Controller) forgetGoneEngine(e *engine) {
	if e.state != logic.Gone || c.engines[e.id] != e {
		return
	}
	delete(c.engines, e.id)
	if c.engineByAddress[e.address] == e {
		delete(c.engineByAddress, e.address)
	}
}
