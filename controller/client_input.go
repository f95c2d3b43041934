package controller

import (
	"time"

	"yarrowbarrow/logic"
)

// A cancel is handled only when it is read, and it may lie behind much other input of its client. Therefore nothing is
// begun for a client on the word of old input: its jobs reach the module, and its attempts leave, while everything that
// had arrived from it a short time ago has been handled.
const (
	// An attempt must not begin over 100 ms after its client has gone. This is the part that may pass before the attempt
	// is queued on its connection; maxQueueTime counts from the same moment.
	maxInputLag = 50 * time.Millisecond
	// Jobs and attempts of a client whose input is behind wait at most this long: jobs are then handed to the module,
	// and attempts withdrawn, which gives their place at the engine to others.
	maxInputWait = 250 * time.Millisecond
	// inputCheckInterval is the time between checks of a client for which something waits. Usually reading its input
	// ends the wait earlier.
	inputCheckInterval = 10 * time.Millisecond
)

// arrival is a job that was read and not handed to the module yet.
type arrival struct {
	job        *job
	customer   string
	tenant     logic.CustomerID
	key        logic.Key
	costMS     float64
	memoryMB   float64
	tables     int64
	isRetry    bool
	handOverAt time.Duration // latest time to hand it to the module
}

// clientInput is what waits for the input of a client to be read.
type clientInput struct {
	beingHandled   bool          // the messages of one read are being handled
	checkedAt      time.Duration // when the kernel was last asked, by Controller.now
	closed         bool          // the client had closed then
	upToDateAt     time.Duration // latest time at which all that had arrived was handled, by the controller's clock
	arrivals       []arrival
	attempts       []*attempt
	checkScheduled bool
}

// refreshInput asks the kernel about a client's input, once for all that happens at one moment.
func (cl *client) refreshInput() {
	if cl.input.checkedAt == cl.c.now {
		return
	}
	cl.input.checkedAt = cl.c.now
	asked := cl.c.clock()
	received := cl.received()
	cl.input.closed = received.closed
	if !received.unread && !cl.input.beingHandled {
		cl.input.upToDateAt = asked
	}
}

// hasClosed reports whether the client has closed its connection.
func (cl *client) hasClosed() bool {
	cl.refreshInput()
	return cl.input.closed
}

// inputUpToDate reports whether all that arrived from the client until a short time ago was handled.
func (cl *client) inputUpToDate() bool {
	cl.refreshInput()
	return cl.c.clock()-cl.input.upToDateAt < maxInputLag
}

// inputBegins is called before the messages of one read are handled.
func (cl *client) inputBegins() { cl.input.beingHandled = true }

// inputHandled is called after the messages of one read were handled.
func (cl *client) inputHandled() {
	cl.input.beingHandled = false
	cl.input.checkedAt = 0 // what was read counts as handled now
	cl.c.continueWaiting(cl)
}

// queueArrival hands a job to the module once the input of its client is up to date. Jobs with an order key are handed
// over at once, because they run in the order of their arrival, also on different connections; and so are those that have
// no time to wait.
func (c *Controller) queueArrival(cl *client, a arrival) {
	a.handOverAt = c.now + min(maxInputWait, (a.job.deadline-c.now)/4)
	a.job.notHandedOver = true
	if a.key != "" || a.handOverAt < c.now+inputCheckInterval {
		c.handOver(a)
		return
	}
	cl.input.arrivals = append(cl.input.arrivals, a)
	c.awaitInputOf(cl)
}

// handOver hands a job to the router and the module, unless it has ended.
func (c *Controller) handOver(a arrival) {
	j := a.job
	if c.jobs[j.id] != j || j.client == nil {
		return
	}
	j.notHandedOver = false
	if c.paused {
		c.counts[jobsOverLimit]++
		c.rejectJob(j, c.cfg.Settings.Logic.MaxRetryAfter)
		c.forgetJob(j)
		return
	}
	if !c.admitToRoute(j, a.customer, a.costMS, a.memoryMB, a.tables) {
		return
	}
	c.logic.JobArrived(c.now, j.id, j.class, a.tenant, a.key, j.deadline, time.Duration(a.costMS*float64(time.Millisecond)), a.memoryMB,
		logic.Tables(max(a.tables, 0)), a.isRetry, j.placement)
}

// holdForInput has an attempt wait for the input of its client.
func (c *Controller) holdForInput(a *attempt) {
	cl := a.job.client
	c.counts[attemptsHeld]++
	a.heldSince = c.clock()
	cl.input.attempts = append(cl.input.attempts, a)
	c.awaitInputOf(cl)
}

// awaitInputOf has a client checked while something waits for its input: one timer for all of it, and none while a read is
// being handled, which ends with a check.
func (c *Controller) awaitInputOf(cl *client) {
	cl.inputAwaited.Store(true)
	if cl.input.checkScheduled || cl.input.beingHandled {
		return
	}
	cl.input.checkScheduled = true
	c.schedule(c.clock()+inputCheckInterval, func() {
		cl.input.checkScheduled = false
		c.continueWaiting(cl)
	})
}

// continueWaiting continues with what waits for the input of a client, once that is up to date or the wait is over.
func (c *Controller) continueWaiting(cl *client) {
	if cl.input.beingHandled || len(cl.input.arrivals)+len(cl.input.attempts) == 0 {
		return
	}
	upToDate := cl.inputUpToDate()
	arrivals, attempts := cl.input.arrivals, cl.input.attempts
	cl.input.arrivals, cl.input.attempts = nil, nil
	for _, a := range attempts {
		c.continueAttempt(a, upToDate)
	}
	for _, a := range arrivals {
		if upToDate || c.now >= a.handOverAt {
			c.runGuarded(func() { c.handOver(a) })
		} else if a.job.client != nil {
			cl.input.arrivals = append(cl.input.arrivals, a)
		}
	}
	if len(cl.input.arrivals)+len(cl.input.attempts) > 0 {
		c.awaitInputOf(cl)
	} else {
		cl.inputAwaited.Store(false)
	}
}

// continueAttempt checks an attempt again that waited for the input of its client.
func (c *Controller) continueAttempt(a *attempt, upToDate bool) {
	switch {
	case a.inAll == nil: // it has ended
	case upToDate:
		c.recheckWaiting(a)
	case c.clock()-a.heldSince >= maxInputWait:
		c.counts[attemptsHeldTooLong]++
		c.withdrawUnfit(a)
	default:
		cl := a.job.client
		cl.input.attempts = append(cl.input.attempts, a)
	}
}

// dropWaiting forgets what waits for the input of a client that is gone.
func (cl *client) dropWaiting() { cl.input.arrivals, cl.input.attempts = nil, nil }
