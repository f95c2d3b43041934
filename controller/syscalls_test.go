package controller

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/internal/frame"
)

// faultInjector makes system calls fail where tests replace them: each call asks it for an error, nil for none.
type faultInjector struct{ inject atomic.Pointer[func() error] }

func (f *faultInjector) set(inject func() error) { f.inject.Store(&inject) }

func (f *faultInjector) err() error {
	if inject := f.inject.Load(); inject != nil {
		return (*inject)()
	}
	return nil
}

// failTimes fails the first n calls.
func failTimes(n int64, err error) func() error {
	var count atomic.Int64
	return func() error {
		if count.Add(1) <= n {
			return err
		}
		return nil
	}
}

// failFor fails all calls for a time.
func failFor(length time.Duration, err error) func() error {
	until := time.Now().Add(length)
	return func() error {
		if time.Now().Before(until) {
			return err
		}
		return nil
	}
}

// startWithFaults starts a controller whose calls to accept, connect and sendmsg first ask accepts, connects and sends
// for an error.
func startWithFaults(t *testing.T, permissions string, accepts, connects, sends *faultInjector, engines ...*fakeEngine) *testbed {
	return startPrepared(t, permissions, nil, func(c *Controller) {
		c.sys.accept = func(listener int) (int, error) {
			if err := accepts.err(); err != nil {
				return -1, err
			}
			return acceptConnection(listener)
		}
		c.sys.connect = func(ctx context.Context, to netip.AddrPort) (netpoll.Connection, error) {
			if err := connects.err(); err != nil {
				return nil, err
			}
			return dialTCP(ctx, to)
		}
		c.sys.flush = func(conn netpoll.Connection) error {
			if err := sends.err(); err != nil {
				return netpoll.Exception(err, "when flush")
			}
			return conn.Writer().Flush()
		}
	}, engines...)
}

func (b *testbed) counterValue(which counter) (n int64) {
	b.c.withLock(func() { n = b.c.counts[which] })
	return n
}

// TestAcceptFails: whatever error accept returns, once, in a burst or for ten seconds, connections are accepted
// afterwards, and connected clients are served meanwhile.
func TestAcceptFails(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	var accepts faultInjector
	b := startWithFaults(t, "", &accepts, &faultInjector{}, &faultInjector{}, e)
	serve := func(cl testClient, stream uint32) {
		t.Helper()
		_ = cl.SetDeadline(time.Now().Add(testTimeout))
		cl.sendQuickJob(stream, "2900")
		e.expectCommand("serve").answer("HIT", "count=1", rowA)
		cl.expectFrame(frame.Answer, stream, frame.Done, rowA)
	}
	old := b.connect()
	serve(old, 1)
	stream := uint32(2)
	for _, no := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EINVAL} {
		for _, n := range []int64{1, 3, 200} {
			if n > 3 && !isConnectionError(no) {
				continue // each is followed by a pause: tested below
			}
			accepts.set(failTimes(n, no))
			cl := b.connect()
			serve(cl, 1)
			serve(old, stream)
			cl.Close()
			stream++
		}
	}
	before := b.counterValue(acceptsFailed)
	accepts.set(failFor(testTimeout, syscall.ENOBUFS))
	waits, err := net.Dial("tcp", b.address) // connected, and not accepted yet
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	serve(old, stream)
	time.Sleep(testTimeout)
	cl := b.connect()
	serve(old, stream+1)
	serve(cl, 1)
	if n := b.counterValue(acceptsFailed) - before; n < 20 || n > 80 {
		t.Errorf("accept failed %d times in ten seconds", n)
	}
}

// TestSendFails: when sendmsg fails for lack of buffers or because of a signal, answers still reach clients and jobs
// still reach engines.
func TestSendFails(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	var sends faultInjector
	b := startWithFaults(t, "", &faultInjector{}, &faultInjector{}, &sends, e)
	cl := b.connect()
	stream := uint32(1)
	for _, no := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		for _, n := range []int64{1, 4} {
			sends.set(failTimes(n, no))
			cl.sendQuickJob(stream, "2900")
			call := e.expectCommand("serve")
			sends.set(failTimes(n, no))
			call.answer("HIT", "count=1", rowA)
			cl.expectFrame(frame.Answer, stream, frame.Done, rowA)
			stream++
		}
	}
	cl.sendQuickJob(stream, "2900")
	call := e.expectCommand("serve")
	sends.set(failFor(time.Second, syscall.ENOBUFS))
	call.answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, stream, frame.Done, rowA)
	if b.counterValue(writesRetried) == 0 {
		t.Error("no write was retried")
	}
}

// TestConnectFails: local errors of connect say nothing about an engine. It is not suspected, and its job is sent once
// connect works again, or answered in time.
func TestConnectFails(t *testing.T) {
	for _, no := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR} {
		e := newFakeEngine(t, "127.0.0.1:0")
		var connects faultInjector
		b := startWithFaults(t, "", &faultInjector{}, &connects, &faultInjector{}, e)
		cl := b.connect()
		connects.set(failTimes(3, no))
		cl.sendQuickJob(1, "2900")
		e.expectCommand("serve").answer("HIT", "count=1", rowA)
		cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
		if n := b.counterValue(outcomeNoConnection); n != 0 {
			t.Errorf("%v: reported as no connection to the engine %d times", no, n)
		}
		if n := b.counterValue(dialsRetried); n == 0 {
			t.Errorf("%v: retry not counted", no)
		}
	}
}
