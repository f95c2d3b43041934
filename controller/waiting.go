package controller

import (
	"container/list"
	"time"
)

// This file keeps the attempts that have no connection yet. Each event looks at the attempts that it may help and at no
// others: a check of all of them on each arrival would take the lock for longer the more of them wait.

// waitingAttempts lists the attempts for one engine that have no connection.
type waitingAttempts struct {
	all   list.List // in the order in which they were decided
	ready list.List // those that wait for nothing but a connection, in the order in which they became ready
}

// add adds an attempt that is not ready.
func (w *waitingAttempts) add(a *attempt) { a.inAll = w.all.PushBack(a) }

// setReady adds an attempt to the ready ones.
func (w *waitingAttempts) setReady(a *attempt) {
	if a.inReady == nil {
		a.inReady = w.ready.PushBack(a)
	}
}

// remove removes an attempt, if it is there.
func (w *waitingAttempts) remove(a *attempt) {
	w.unready(a)
	if a.inAll != nil {
		w.all.Remove(a.inAll)
		a.inAll = nil
	}
}

// unready removes an attempt from the ready ones.
func (w *waitingAttempts) unready(a *attempt) {
	if a.inReady != nil {
		w.ready.Remove(a.inReady)
		a.inReady = nil
	}
}

// oldest returns the first attempts in the order in which they were decided.
func (w *waitingAttempts) oldest(count int) []*attempt {
	attempts := make([]*attempt, 0, max(count, 0))
	for item := w.all.Front(); item != nil && len(attempts) < count; item = item.Next() {
		attempts = append(attempts, item.Value.(*attempt))
	}
	return attempts
}

// sendAttempt sends an attempt, on a connection that is free or on one that it waits for; usually one is free.
func (c *Controller) sendAttempt(a *attempt) {
	e := a.engine
	c.markActive(e)
	obstacle := c.obstacleTo(a)
	if obstacle == noObstacle && e.waiting.ready.Len() == 0 {
		if l := c.freeLink(e, a.job); l != nil {
			c.begin(a, l)
			return
		}
	}
	e.waiting.add(a)
	c.applyObstacle(a, obstacle)
	c.placeWaiting(e)
}

// obstacle is what keeps an attempt from being put on a connection.
type obstacle int

const (
	noObstacle obstacle = iota
	mayNotLeave
	discoveryIsUnread
	clientIsUnread
)

// obstacleTo checks an attempt that has no connection.
func (c *Controller) obstacleTo(a *attempt) obstacle {
	c.counts[attemptsChecked]++
	a.checkedAt = c.now
	switch {
	case !c.maySend(a):
		return mayNotLeave
	case c.discoveryUnread():
		return discoveryIsUnread
	case !a.job.client.inputUpToDate():
		return clientIsUnread
	}
	return noObstacle
}

// admitWaiting checks an attempt that is in the lists: it becomes ready, waits for input that is not handled yet, or is
// withdrawn.
func (c *Controller) admitWaiting(a *attempt) { c.applyObstacle(a, c.obstacleTo(a)) }

// recheckWaiting checks an attempt again that waited for input, and places it if it is ready.
func (c *Controller) recheckWaiting(a *attempt) {
	if c.admitWaiting(a); a.inReady != nil {
		c.placeWaiting(a.engine)
	}
}

// applyObstacle has an attempt that is in the lists wait for the right thing.
func (c *Controller) applyObstacle(a *attempt, found obstacle) {
	switch found {
	case mayNotLeave:
		c.withdrawUnfit(a)
	case discoveryIsUnread:
		a.engine.waiting.unready(a)
		c.holdForDiscovery(a)
	case clientIsUnread:
		a.engine.waiting.unready(a)
		c.holdForInput(a)
	case noObstacle:
		a.engine.waiting.setReady(a)
	}
}

// withdrawUnfit withdraws an attempt that must not be sent any more.
func (c *Controller) withdrawUnfit(a *attempt) {
	a.engine.waiting.remove(a)
	c.counts[attemptsUnfit]++
	c.runLater(func() { c.withdrawAttempt(a) })
}

// maxPassedOver bounds the attempts that are passed over in one search because they can use none of the free
// connections.
const maxPassedOver = 8

// placeWaiting assigns the ready attempts to connections, in order. Each attempt has a connection to itself while
// descriptors last, because a malformed or lost answer fails everything that is open on its connection. After that
// attempts share connections, up to the number in the settings.
func (c *Controller) placeWaiting(e *engine) {
	passedOver := 0
	for item := e.waiting.ready.Front(); item != nil && passedOver < maxPassedOver; {
		a := item.Value.(*attempt)
		item = item.Next()
		l := c.freeLink(e, a.job)
		if l == nil && len(a.job.usedLinks) == 0 {
			break // no connection is free
		}
		if l == nil {
			passedOver++
			continue
		}
		c.place(a, l)
	}
	c.dialForWaiting(e)
}

// place puts a ready attempt on a connection, unless it may not be sent any more.
func (c *Controller) place(a *attempt, l *engineLink) {
	if a.checkedAt != c.now {
		if c.admitWaiting(a); a.inReady == nil {
			return
		}
	}
	c.begin(a, l)
}

// begin puts an attempt on a connection, unless the module does not allow it any more.
func (c *Controller) begin(a *attempt, l *engineLink) {
	if !c.mayBegin(a) {
		c.withdrawUnfit(a)
		return
	}
	a.engine.waiting.remove(a)
	c.writeAttempt(a, l)
}

// freeLink returns a connection that may carry a job, or nil.
func (c *Controller) freeLink(e *engine, j *job) *engineLink {
	l := e.leastLoadedLink(j)
	if l != nil && (len(l.attempts) == 0 || c.linksCrowded() && len(l.attempts) < c.cfg.Settings.JobsPerConnection) {
		return l
	}
	return nil
}

// linksCrowded reports whether descriptors run short, so that attempts share connections.
func (c *Controller) linksCrowded() bool { return c.linkCount >= c.maxLinks()*3/4 }

// dialForWaiting opens a connection for each ready attempt, or one for all of them where descriptors run short.
func (c *Controller) dialForWaiting(e *engine) {
	for {
		wanted := e.waiting.ready.Len()
		if c.linksCrowded() {
			wanted = min(wanted, 1)
		}
		dialing := len(e.dials)
		if dialing >= wanted {
			return
		}
		if c.dial(e); len(e.dials) == dialing { // none can be opened now
			return
		}
	}
}

// discoveryCheckInterval is the time between checks whether the input of discovery was read.
const discoveryCheckInterval = 2 * time.Millisecond

// holdForDiscovery has an attempt checked again later, as unread input of discovery may say that its engine has left.
func (c *Controller) holdForDiscovery(a *attempt) {
	c.awaitingDiscovery = append(c.awaitingDiscovery, a)
	if len(c.awaitingDiscovery) == 1 { // one timer for all of them
		c.schedule(c.clock()+discoveryCheckInterval, c.continueAfterDiscovery)
	}
}

// continueAfterDiscovery checks the attempts again that wait for the input of discovery.
func (c *Controller) continueAfterDiscovery() {
	if c.discoveryUnread() {
		c.schedule(c.clock()+discoveryCheckInterval, c.continueAfterDiscovery)
		return
	}
	waiting := c.awaitingDiscovery
	c.awaitingDiscovery = nil
	for _, a := range waiting {
		if a.inAll != nil { // otherwise it has ended
			c.recheckWaiting(a)
		}
	}
}
