package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// faultyModule panics in JobArrived while jobs is set.
type faultyModule struct {
	logic.Module
	jobs *atomic.Bool
}

func (m faultyModule) JobArrived(now time.Duration, id logic.JobID, name logic.ClassName, customer logic.CustomerID, key logic.Key,
	expires, cost time.Duration, memory float64, tables logic.Tables, repeat bool, place logic.Placement) {
	if m.jobs.Load() {
		panic("for the test")
	}
	m.Module.JobArrived(now, id, name, customer, key, expires, cost, memory, tables, repeat, place)
}

// TestPanicsThatKeepComingEndProcess: however often the module panics, each job is answered and the process continues.
// Once the module works again, jobs are served.
func TestPanicsThatKeepComingEndProcess(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	var faultyJobs, faultyBegin atomic.Bool
	b := startPrepared(t, "", nil, func(c *Controller) {
		module := c.newModule
		c.newModule = func(h logic.Host, s logic.Settings, seed int64) logic.Module {
			if faultyBegin.Load() {
				panic("for the test")
			}
			return faultyModule{module(h, s, seed), &faultyJobs}
		}
	}, e)
	cl := b.connect()
	faultyJobs.Store(true)
	for n := range uint32(maxPanics + 1) {
		cl.sendQuickJob(n+1, "2000")
		cl.expectFrame(frame.Answer, n+1, frame.Failed, "")
	}
	faultyBegin.Store(true)
	cl.sendQuickJob(90, "2000")
	cl.expectFrame(frame.Answer, 90, frame.Rejected, "")
	cl.write(frame.AppendHeader(nil, frame.ReadinessRequest, 901, 1), []byte{0})
	cl.expectFrame(frame.ReadinessResponse, 901, 2, "")
	b.waitUntil(func() bool { return b.c.counts[panicsCaught] >= maxPanics+3 }) // restarts that failed
	faultyBegin.Store(false)
	faultyJobs.Store(false)
	b.waitUntil(func() bool { return !b.c.paused })
	cl.sendQuickJob(91, "2000")
	e.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 91, frame.Done, rowB)
}

// TestPanicLosesNoOtherMessage guards against a panic in one message that drops the messages read with it: their jobs had
// no answer, and their cancels no effect.
func TestPanicLosesNoOtherMessage(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	var faultyJobs atomic.Bool
	b := startPrepared(t, "", nil, func(c *Controller) {
		module := c.newModule
		c.newModule = func(h logic.Host, s logic.Settings, seed int64) logic.Module {
			faultyJobs.Store(false) // the module after the first panic is sound
			return faultyModule{module(h, s, seed), &faultyJobs}
		}
	}, e)
	cl := b.connect()
	faultyJobs.Store(true)
	frames := jobFrame(1, "select 1", "class", "quick", "id", string(jobIDOf(1)), "wait", "2900")
	cl.write(append(frames, jobFrame(2, "select 1", "class", "quick", "id", string(jobIDOf(2)), "wait", "2900")...))
	cl.expectFrame(frame.Answer, 1, frame.Failed, "")
	e.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 2, frame.Done, rowB)
}

// countingModule counts its timers.
type countingModule struct {
	logic.Module
	timers *int
}

func (m countingModule) TimerDue(now time.Duration, timer logic.TimerID) {
	*m.timers++
	m.Module.TimerDue(now, timer)
}

// TestOneTimerChainAfterPanics guards against timers of a module that a panic has replaced: each went on beside those of
// the new module, so that every panic added a chain of sweeps.
func TestOneTimerChainAfterPanics(t *testing.T) {
	const rounds, interval = 5, 21 * time.Millisecond // the module sweeps every 20 ms
	e := newFakeEngine(t, "127.0.0.1:0")
	timers := 0
	b := startPrepared(t, "", nil, func(c *Controller) {
		module := c.newModule
		c.newModule = func(h logic.Host, s logic.Settings, seed int64) logic.Module {
			return countingModule{module(h, s, seed), &timers}
		}
	}, e)
	b.connect()
	b.c.withLock(func() { // no job ends between the panics
		for range maxPanics {
			b.takeJob()
			b.c.handlePanic("for the test")
		}
		b.takeJob()
		timers = 0
		for range rounds {
			b.elapse(interval)
		}
		if timers == 0 || timers > rounds {
			t.Errorf("%d sweeps in %d intervals", timers, rounds)
		}
	})
}

// takeJob hands a new job of the only client to the module. The lock is held.
func (b *testbed) takeJob() {
	for _, cl := range b.c.clients {
		j := b.addJob(cl, time.Minute)
		b.c.logic.JobArrived(b.c.now, j.id, j.class, "", "", j.deadline, 0, 0, 0, false, nil)
	}
}

// TestPanicInWriterEndsProcess: a panic in a connection's writer closes only that connection.
func TestPanicInWriterEndsProcess(t *testing.T) {
	var faulty atomic.Bool
	b := startPrepared(t, "", nil, func(c *Controller) {
		flush := c.sys.flush
		c.sys.flush = func(conn netpoll.Connection) error {
			if conn.RemoteAddr() == nil && faulty.CompareAndSwap(true, false) { // a client connection
				panic("for the test")
			}
			return flush(conn)
		}
	})
	cl, other := b.connect(), b.connect()
	faulty.Store(true)
	cl.write(frame.AppendHeader(nil, frame.ReadinessRequest, 901, 1), []byte{0})
	cl.expectClosed()
	other.expectReady()
	b.waitUntil(func() bool { return b.c.counts[panicsCaught] == 1 })
}

// TestPanicInReloadEndsProcess: a panic while reading a configuration is an error of that configuration.
func TestPanicInReloadEndsProcess(t *testing.T) {
	b := startController(t, "")
	if err := b.c.Reload(func() (config.Config, error) { panic("for the test") }); err == nil {
		t.Error("taken")
	}
	b.connect().expectReady()
}

// TestSweepsGoOnAfterPanic: a panic does not end the sweeps that close idle connections.
func TestSweepsGoOnAfterPanic(t *testing.T) {
	b := startController(t, "")
	b.connect()
	b.c.withLock(func() { b.c.admission = nil })
	b.waitUntil(func() bool { return b.c.counts[panicsCaught] > 0 })
	b.c.withLock(func() { b.c.admission = newAdmission(b.c) })
	var before time.Duration
	b.c.withLock(func() { before, b.c.countersLoggedAt = b.c.countersLoggedAt, 0 })
	b.waitUntil(func() bool { return b.c.countersLoggedAt > before })
}
