package controller

import (
	"log/slog"
	"strconv"
	"time"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// job is a job taken, until it is answered and nothing of it is out.
type job struct {
	id        logic.JobID
	client    *client // nil once the job is over
	stream    uint32
	name      logic.TypeName
	once      string
	statement []byte
	expires   time.Duration
	memoryMB  int64
	priority  int
	sent      int
	out       *dispatch
	last      *engineLink // where it went last: its id is not used there again
}

// dispatch is one sending of a job, from the module's call until its outcome is told.
type dispatch struct {
	job     *job
	n       int
	engine  *engine
	link    *engineLink // nil while no connection is up
	message int64       // on the link
	sent    time.Duration
	until   time.Duration
	pages   [][]byte
	missing int           // pages not here yet
	reads   time.Duration // when they were asked for
	begun   bool
	ends    bool // given up, its outcome known and to be told once the engine is told
	outcome logic.Outcome
	work    time.Duration
	memory  float64
	load    logic.Load
}

// noLoad is where an engine reported nothing.
var noLoad = logic.Load{Util: -1, Waiting: -1, MemoryGranted: -1}

// over ends a dispatch that is still out, on the wire and then for the module.
func (c *Controller) over(d *dispatch, o logic.Outcome) {
	if d.job.out == d && !d.ends {
		c.letGo(d)
		c.tell(d, o)
	}
}

// giveUp ends a dispatch that the engine may be at. The module hears of it once the engine was told to stop and
// the word had time to arrive, or the job's next dispatch could reach a nearer engine first and two would run at
// once. A job that is out of time gets no other, and its answer must not wait.
func (c *Controller) giveUp(d *dispatch, o logic.Outcome) {
	l := d.link
	switch {
	case d.job.out != d || d.ends:
	case l == nil:
		c.over(d, logic.NotSent)
	case l.gone || d.job.client == nil || c.now >= d.job.expires:
		c.over(d, o)
	default:
		c.letGo(d)
		d.ends, d.outcome = true, o
		l.leaving[d] = true
		l.then(func() {
			l.leaving[d] = false
			c.at(c.now+d.engine.trip.most(), func() { c.left(d) })
		})
		// A connection that takes in nothing is closed, which gives up all that is open on it.
		c.at(c.now+c.cfg.Settings.ConnectTimeout, func() {
			if l.leaving[d] && !l.gone {
				c.counts[enginesTooSlow]++
				l.stale = true
				c.closeSoon(l.conn)
			}
		})
		// The connection may be so full that not even its close comes before the job is out of time.
		c.at(d.job.expires, func() { c.left(d) })
	}
}

// left tells the outcome of a dispatch that was given up.
func (c *Controller) left(d *dispatch) {
	if d.job.out == d {
		delete(d.link.leaving, d)
		c.tell(d, d.outcome)
	}
}

// tell hands the outcome of a dispatch to the module.
func (c *Controller) tell(d *dispatch, o logic.Outcome) {
	j := d.job
	j.out = nil
	c.counts[outcomeCounter(o)]++
	ended := j.client == nil
	if ended {
		c.forget(j)
	}
	c.logic.DispatchOver(c.now, j.id, d.n, d.engine.id, o, c.now-d.sent, ended, d.work, d.memory, d.load)
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
	k.idle = c.now
	if late := c.now - j.expires; j.expires > 0 && late > lateAnswer {
		c.counts[answersLate]++
		c.note(slog.LevelWarn, "answer late", "job", j.id, "by", late, "code", code, "dispatches", j.sent)
	}
	k.send(frame.Answer, j.stream, code, field, value, body...)
}

func (c *Controller) cancelForGood(j *job) {
	if j.client != nil {
		c.counts[cancelledForGood]++
	}
	c.answer(j, frame.CancelledFor, "", "")
}

func (c *Controller) throttle(j *job, comeBack time.Duration) {
	if j.client != nil {
		c.counts[throttled]++
	}
	field, value := "", ""
	if comeBack > 0 {
		field, value = "after", strconv.FormatInt(int64((comeBack+time.Millisecond-1)/time.Millisecond), 10)
	}
	c.answer(j, frame.Throttled, field, value)
}

// forget drops a job that is over and has nothing out.
func (c *Controller) forget(j *job) {
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		c.bytes -= int64(len(j.statement))
	}
}

// clientGone ends a job that nobody waits for any more.
func (c *Controller) clientGone(j *job) {
	delete(j.client.jobs, j.stream)
	j.client = nil
	c.counts[clientGone]++
	c.logic.ClientGone(c.now, j.id)
	c.later(func() {
		if j.out == nil {
			c.forget(j)
		}
	})
}
