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

// faultyModule panics where it is told to.
type faultyModule struct {
	logic.Module
	jobs *atomic.Bool
}

func (m faultyModule) JobTaken(now time.Duration, id logic.JobID, name logic.ClassName, customer logic.CustomerID, key logic.Key,
	expires, cost time.Duration, memory float64, tables logic.Tables, repeat bool, place logic.Placement) {
	if m.jobs.Load() {
		panic("for the test")
	}
	m.Module.JobTaken(now, id, name, customer, key, expires, cost, memory, tables, repeat, place)
}

// TestPanicsThatKeepComingEndProcess: however often the module panics, each job is answered and the process goes on; once the module
// is well it serves.
func TestPanicsThatKeepComingEndProcess(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	var faultyJobs, faultyBegin atomic.Bool
	b := startPrepared(t, "", nil, func(c *Controller) {
		module := c.module
		c.module = func(h logic.Host, s logic.Settings, seed int64) logic.Module {
			if faultyBegin.Load() {
				panic("for the test")
			}
			return faultyModule{module(h, s, seed), &faultyJobs}
		}
	}, e)
	k := b.client()
	faultyJobs.Store(true)
	for n := range uint32(mostPanics + 1) {
		k.quick(n+1, "2000")
		k.gets(frame.Answer, n+1, frame.Failed, "")
	}
	faultyBegin.Store(true)
	k.quick(90, "2000")
	k.gets(frame.Answer, 90, frame.Rejected, "")
	k.write(frame.AppendHead(nil, frame.Ready, 901, 1), []byte{0})
	k.gets(frame.IsReady, 901, 2, "")
	b.until(func() bool { return b.c.counts[panicked] >= mostPanics+3 }) // begun in vain
	faultyBegin.Store(false)
	faultyJobs.Store(false)
	b.until(func() bool { return !b.c.idles })
	k.quick(91, "2000")
	e.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 91, frame.Done, rowB)
}

// TestPanicInWriterEndsProcess: a fault in a connection's writer ends that connection alone.
func TestPanicInWriterEndsProcess(t *testing.T) {
	var faulty atomic.Bool
	b := startPrepared(t, "", nil, func(c *Controller) {
		flush := c.system.flush
		c.system.flush = func(conn netpoll.Connection) error {
			if conn.RemoteAddr() == nil && faulty.CompareAndSwap(true, false) { // a client's
				panic("for the test")
			}
			return flush(conn)
		}
	})
	k, other := b.client(), b.client()
	faulty.Store(true)
	k.write(frame.AppendHead(nil, frame.Ready, 901, 1), []byte{0})
	k.closes()
	other.ready()
	b.until(func() bool { return b.c.counts[panicked] == 1 })
}

// TestPanicInReloadEndsProcess: a fault in the reading of a configuration is one of the configuration.
func TestPanicInReloadEndsProcess(t *testing.T) {
	b := start(t, "")
	if err := b.c.Reload(func() (config.Config, error) { panic("for the test") }); err == nil {
		t.Error("taken")
	}
	b.client().ready()
}

// TestSweepsGoOnAfterPanic: what looks after idle connections does not end with a fault.
func TestSweepsGoOnAfterPanic(t *testing.T) {
	b := start(t, "")
	b.client()
	b.c.do(func() { b.c.admission = nil })
	b.until(func() bool { return b.c.counts[panicked] > 0 })
	b.c.do(func() { b.c.admission = newAdmission(b.c) })
	var before time.Duration
	b.c.do(func() { before, b.c.logged = b.c.logged, 0 })
	b.until(func() bool { return b.c.logged > before })
}
