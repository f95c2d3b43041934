package controller

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/frame"
)

// TestTurnedAway: a new client that finds no room, because all connected clients have open jobs, gets an answer.
func TestTurnedAway(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Settings.Logic.Kinds[0].Cores = 64 }, e)
	for n := range b.c.admission.MaxConns() {
		b.connect().sendJob(1, "select 1", "class", "quick", "id", "00000000000000"+string("0123456789abcdef"[n/16])+string("0123456789abcdef"[n%16]), "wait", "2900")
		e.expectCommand("serve")
	}
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	cl := testClient{c, t}
	cl.sendJob(1, "select 1", "class", "quick", "id", "00000000000000ff", "wait", "2900")
	cl.expectFrame(frame.Drain, 0, 0, "")
	cl.expectFrame(frame.Answer, 1, frame.Rejected, "")
	cl.expectClosed()
}

// TestSendsIntoClose: bytes that a client sends at the moment of the close do not reset its connection, and it receives
// what was sent to it before.
func TestSendsIntoClose(t *testing.T) {
	b := startController(t, "")
	cl := b.connect()
	b.c.withLock(func() {
		for _, id := range sorted(b.c.clients) {
			b.c.clients[id].sendFrame(frame.ReadinessResponse, 901, 1, "", "")
			b.c.closeClient(b.c.clients[id], "test")
		}
	})
	b.waitUntil(func() bool { return b.c.lingeringConns.Load() == 1 })
	cl.sendQuickJob(1, "2000") // crosses the close
	for at := range 100 {
		cl.sendQuickJob(uint32(2+at), "2000")
	}
	if kind, _, _, _, _ := cl.readFrame(); kind != frame.ReadinessResponse {
		t.Error("type", kind)
	}
	cl.expectClosed()
	b.c.withLock(func() {
		if b.c.counts[jobsReceived] != 0 {
			t.Error(b.c.counts[jobsReceived], "jobs read from a connection that is shut down")
		}
	})
	cl.Close()
	b.waitUntil(func() bool { return b.c.lingeringConns.Load() == 0 })
}

// TestEndsWithClientsAtRest: a process that exits shuts down the connections of all idle clients first, however many.
func TestEndsWithClientsAtRest(t *testing.T) {
	b := startController(t, "")
	var clients []testClient
	for range 2 * maxLingering(b.c.cfg) {
		clients = append(clients, b.connect())
	}
	b.stop()
	for _, cl := range clients {
		cl.expectFrame(frame.Drain, 0, 0, "")
	}
	b.waitUntil(func() bool { return int(b.c.lingeringConns.Load()) == len(clients) })
	for _, cl := range clients {
		cl.sendQuickJob(1, "2000") // during the close
		cl.expectClosed()
	}
	b.awaitExit()
}

// startWithHangingJob starts a controller with a job of the given deadline in flight on an engine that hangs.
func startWithHangingJob(t *testing.T, deadline time.Duration) (*testbed, testClient) {
	t.Helper()
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Settings.Logic.Classes[0].Deadline = deadline }, e)
	cl := b.connect()
	cl.sendQuickJob(1, "20000")
	e.expectCommand("serve")
	return b, cl
}

// TestLongDeadlineWhileLeaving: an idempotent job is in flight on an engine that hangs, and its deadline is far beyond
// the end of the process. It is rejected before the end, so that its client tries elsewhere, and no attempt is begun that
// can't be answered by then.
func TestLongDeadlineWhileLeaving(t *testing.T) {
	b, cl := startWithHangingJob(t, 20*time.Second)
	b.stop()
	cl.expectFrame(frame.Drain, 0, 0, "")
	b.waitUntil(func() bool { return b.c.exit != nil })
	b.c.withLock(func() {
		if j := b.c.jobs["0000000000000001"]; j.inFlight.deadline > b.c.exit.LatestDeadline() || j.deadline > b.c.exit.LatestDeadline() {
			t.Error("attempt or job continues beyond the end of the process")
		}
	})
	cl.expectFrame(frame.Answer, 1, frame.Rejected, "")
	b.awaitExit()
	if b.c.counts[jobsCutByExit] != 0 || b.c.counts[outcomeNotSent] != 0 {
		t.Error(b.c.counts[jobsCutByExit], "cut,", b.c.counts[outcomeNotSent], "attempts not sent")
	}
}

// TestCutAfterStandstill: a process that exits stalls beyond its last moment, with a job in flight on an engine that
// hangs. The job's deadline and the first exit round are then due together: the job is answered according to its class,
// and not cut.
func TestCutAfterStandstill(t *testing.T) {
	b, cl := startWithHangingJob(t, time.Second)
	b.c.withLock(func() { // under the lock nothing else is handled
		b.c.startDrain()
		time.Sleep(b.c.exit.LatestDeadline() + 2*shutdownGrace - b.c.clock())
	})
	cl.expectFrame(frame.Drain, 0, 0, "")
	cl.expectFrame(frame.Answer, 1, frame.Rejected, "")
	b.awaitExit()
	if b.c.counts[jobsCutByExit] != 0 {
		t.Error(b.c.counts[jobsCutByExit], "cut")
	}
}

// TestNoDelay: TCP_NODELAY is set on accepted and on dialed connections.
func TestNoDelay(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	cl := b.connect()
	cl.sendQuickJob(1, "2900")
	e.expectCommand("serve")
	b.c.withLock(func() {
		links := []*link{b.c.discovery.link, b.c.engines["e0"].links[0].link}
		for _, cl := range b.c.clients {
			links = append(links, cl.link)
		}
		for n, l := range links {
			if l == nil {
				continue // discovery's connection may not be open yet
			}
			on, err := syscall.GetsockoptInt(l.conn.(netpoll.Conn).Fd(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			if on == 0 || err != nil {
				t.Error("connection", n, on, err)
			}
		}
	})
}

// TestSlowWritersAtExit: the process does not exit before the writers of client connections have shut them down, however
// slow they are; here each waits for a long tick after the last answer.
func TestSlowWritersAtExit(t *testing.T) {
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Settings.Logic.Tick = 1200 * time.Millisecond })
	cl := b.connect()
	var client *client
	b.c.withLock(func() {
		for _, id := range sorted(b.c.clients) {
			client = b.c.clients[id]
		}
	})
	b.stop()
	b.awaitExit()
	if !client.isShutOrClosed() {
		t.Error("Run has ended and the connection is not shut down")
	}
	cl.expectFrame(frame.Drain, 0, 0, "")
}
