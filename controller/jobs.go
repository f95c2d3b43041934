package controller

import (
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// job is a job taken, until it is answered and nothing of it is out.
type job struct {
	id         logic.JobID
	client     *client // nil once the job is over
	stream     uint32
	name       logic.ClassName
	once       string
	statement  []byte
	taken      time.Duration
	expires    time.Duration
	memoryMB   int64
	priority   int
	place      logic.Placement // by the operators' routes, or nil
	sent       int
	out        *attempt
	last       *attempt // that was on a connection
	ran        []invariant.Ran
	clientGone time.Duration // when its client was known to have gone, 0 for not
	on         []*engineLink // its id is used there no more, as a late answer of one attempt is none of another
}

// attempt is one sending of a job, from the module's call until its outcome is told.
type attempt struct {
	job       *job
	n         int
	engine    *engine
	link      *engineLink  // nil while no connection is up
	message   int64        // on the link
	left      atomic.Int64 // when its first byte left, by the controller's clock, or 0
	sent      time.Duration
	until     time.Duration // the answer is here before
	last      time.Duration // its first byte has left before
	pages     [][]byte
	size      int           // of the pages here
	missing   int           // pages not here yet
	reads     time.Duration // when they were asked for
	paged     time.Duration // when the last one came
	begun     bool
	stopped   bool          // the engine was told to stop, or the connection closed
	fenced    bool          // waits until the one before has stopped
	asked     time.Duration // since when it waits for its client to be heard, or 0
	withdrawn bool          // taken back before any byte had left
	work      time.Duration
	memory    float64
	load      logic.Load
}

// noLoad is where an engine reported nothing.
var noLoad = logic.Load{Util: -1, Waiting: -1, MemoryGranted: -1}

// over ends an attempt that is still out, on the wire and then for the module.
func (c *Controller) over(d *attempt, o logic.Outcome) {
	j := d.job
	if j.out != d {
		return
	}
	c.letGo(d)
	j.out = nil
	c.attemptEnded(d, o)
	c.trace("attempt over", reason(o.String()), "job", j.id, "attempt", d.n, "engine", d.engine.id, "after", c.now-d.sent,
		"left", leftAfter(d))
	c.counts[outcomeCounter(o)]++
	ended := j.client == nil
	if ended {
		c.forget(j)
	} else if c.router != nil { // before the module, so that it does not send the job on to a pool that went down
		was := j.place
		if c.router.AttemptOver(c.now, route.JobID(j.id)); j.place != was {
			c.logic.Placed(c.now, j.id, j.place, false)
		}
	}
	c.logic.AttemptOver(c.now, j.id, d.n, d.engine.id, o, c.now-d.sent, ended, d.work, d.memory, d.load)
}

// giveUp ends an attempt that the engine may be at, or one that never left. A connection that takes in nothing
// must not send a job on after its answer, so what is still queued is taken back.
func (c *Controller) giveUp(d *attempt, o logic.Outcome) {
	c.takeBack(d)
	c.over(d, o) // which a job that was taken back is past
}

// fenceWait is for the answer of an engine that was told to stop: many trips, and little against a job.
const fenceWait = 100 * time.Millisecond

// fence guards against two attempts of a job at once: the word to stop the one before may be slower than the
// next one to a nearer engine. Where probes are allowed, an answer to one that follows that word on the same
// connection tells that it has arrived; elsewhere, and from a silent engine, a time in which it should have.
func (c *Controller) fence(before, next *attempt) {
	l, pass := before.link, func() { c.pass(next) }
	if l.gone && !l.isClosed { // the close tells the engine to stop, and is on its way
		l.whenClosed = append(l.whenClosed, func() { c.fence(before, next) })
		return
	}
	c.at(c.now+fenceWait, pass)
	switch {
	case l.gone:
		c.at(c.now+l.engine.trip.most(), pass)
	case c.cfg.Settings.Probes:
		tag := "fence-" + strconv.FormatInt(c.counts[fences], 10)
		c.counts[fences]++
		c.fences[tag] = next
		l.say("health", tag)
		c.at(c.now+fenceWait, func() { delete(c.fences, tag) })
	default:
		l.then(func() { c.at(c.now+l.engine.trip.most(), pass) })
	}
}

// pass sends an attempt that waited at a fence.
func (c *Controller) pass(d *attempt) {
	if d.fenced && d.job.out == d {
		d.fenced = false
		c.send(d)
	}
}

// lateAnswer is what a machine that keeps up stays below.
const lateAnswer = 20 * time.Millisecond

// answer gives a job its one answer.
func (c *Controller) answer(j *job, code byte, field, value string, body ...[]byte) {
	k := j.client
	if k == nil {
		return
	}
	j.client = nil
	delete(k.jobs, j.stream)
	if j.expires > 0 { // else it was refused as it came
		c.violated(invariant.Answer(c.now, j.expires), "job", j.id, "code", code)
	}
	c.admission.Answered(c.now, k.id)
	if late := c.now - j.expires; j.expires > 0 && late > lateAnswer {
		c.counts[answersLate]++
		c.note(slog.LevelWarn, "answer late", "job", j.id, "by", late, "code", code, "attempts", j.sent)
	}
	k.send(frame.Answer, j.stream, code, field, value, body...)
}

func (c *Controller) failJob(j *job) {
	if j.client != nil {
		c.counts[jobsFailed]++
	}
	c.answer(j, frame.Failed, "", "")
}

func (c *Controller) reject(j *job, comeBack time.Duration) {
	if j.client != nil {
		c.counts[rejected]++
	}
	field, value := "", ""
	if comeBack > 0 {
		field, value = "after", strconv.FormatInt(int64((comeBack+time.Millisecond-1)/time.Millisecond), 10)
	}
	c.answer(j, frame.Rejected, field, value)
}

// owed counts the jobs that have no answer.
func (c *Controller) owed() (n int) {
	for _, j := range c.jobs {
		if j.client != nil {
			n++
		}
	}
	return n
}

// forget drops a job that is over and has nothing out.
func (c *Controller) forget(j *job) {
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		c.bytes -= int64(len(j.statement))
		j.statement = nil // as with pages
		if c.router != nil {
			c.router.JobOver(c.now, route.JobID(j.id))
		}
	}
}

// clientGone ends a job that nobody waits for any more.
func (c *Controller) clientGone(j *job) {
	delete(j.client.jobs, j.stream)
	j.client, j.clientGone = nil, c.now
	c.counts[clientGone]++
	c.trace("client gone", "closed or cancelled", "job", j.id)
	c.unwanted(j)
}

// leftAfter is how long after it was decided an attempt's first byte left, below 0 for none.
func leftAfter(d *attempt) time.Duration {
	if left := time.Duration(d.left.Load()); left > 0 {
		return left - d.sent
	}
	return -1
}

// unwanted tells the module that nobody waits for a job any more, and takes back what has not left of it, whether or not
// the module may recall what has.
func (c *Controller) unwanted(j *job) {
	c.logic.ClientGone(c.now, j.id)
	c.later(func() {
		if j.out != nil {
			c.takeBack(j.out)
		}
		if j.out == nil {
			c.forget(j)
		}
	})
}

// takeBack ends an attempt of which no byte has left; any other goes on.
func (c *Controller) takeBack(d *attempt) {
	if d.job.out == d && (d.link == nil || d.link.withdraw(d.message)) {
		d.withdrawn = true
		c.over(d, logic.NotSent)
	}
}

// catchUp is for what lies unread to be read, and is waited for up to mostBehind: half the tenth of a second in which a
// client that is gone has to be heard, and little against a job.
const catchUp, mostBehind = 2 * time.Millisecond, 50 * time.Millisecond

// unsure tells that the client of an attempt that waited has sent what was not read yet, or discovery, as the process is behind:
// it may be that the client is gone, or the engine.
func (c *Controller) unsure(d *attempt) bool {
	if d.job.client == nil {
		return false
	}
	if c.listUnread() {
		return true
	}
	if c.justRead(d.job) || !d.job.client.unread() {
		return false
	}
	if d.asked == 0 {
		d.asked = c.clock()
	}
	return c.clock()-d.asked < mostBehind
}

// justRead tells that a job was read at this very moment by a process that keeps up: nothing of its client's can lie unread that
// was there before. What a process reads that stood still may be old.
func (c *Controller) justRead(j *job) bool { return c.now == j.taken && !c.catchesUp() }

// fit tells whether an attempt may still leave. Guards against all that may have ended while it waited for a connection
// or at a fence: its client, its engine's service, its time; and against a client that has closed its connection and was
// not heard yet, as the process stood still.
func (c *Controller) fit(d *attempt) bool {
	k := d.job.client
	if k != nil && k.left() {
		c.later(func() { c.allGone(k) })
		return false
	}
	return k != nil && (d.engine.state == logic.Up || c.unguarded) && c.now < d.last
}

// OpenJobs is the number of jobs that were taken and are not over.
func (c *Controller) OpenJobs() (n int) {
	c.do(func() { n = len(c.jobs) })
	return n
}
