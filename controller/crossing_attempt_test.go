package controller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// Two events that cross, with the order forced: a connection is held until the other event has been taken in, or both
// happen under one lock. docs/design/crossings.md lists the pairs.

// gate holds the dials of a controller: each is told in came, and goes on once it gets a word from pass.
type gate struct {
	came chan netip.AddrPort
	pass chan struct{}
}

func (b *bed) holdDials() gate {
	g := gate{make(chan netip.AddrPort, 100), make(chan struct{}, 100)}
	b.t.Cleanup(func() { close(g.pass) })
	b.c.do(func() {
		b.c.system.connect = func(_ context.Context, address netip.AddrPort) (netpoll.Connection, error) {
			g.came <- address
			<-g.pass
			return dialTCP(context.Background(), address) // up, however long it took
		}
	})
	return g
}

func (g gate) waits(t *testing.T) {
	t.Helper()
	select {
	case <-g.came:
	case <-time.After(patience):
		t.Fatal("no dial")
	}
}

// onlyHears sends one more job and wants it to be the first that the engine is told to serve.
func (b *bed) onlyHears(e *standIn, k conn, stream uint32) {
	b.t.Helper()
	k.quick(stream, "2900")
	c := e.hears("serve")
	if id := c.words[1]; !strings.HasSuffix(id, string("0123456789abcdef"[stream])) {
		b.t.Error("sent on: ", id)
	}
	c.answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, stream, frame.Done, rowB)
}

// TestGoneWhileDialing: a job whose client has left, or was told that its bytes make no sense, is not sent once its
// connection comes up, also where the module may not recall.
func TestGoneWhileDialing(t *testing.T) {
	for name, leave := range map[string]func(k conn){
		"cancels":        func(k conn) { k.write(frame.AppendHead(nil, frame.Gone, 1, 0)) },
		"closes":         func(k conn) { k.Close() },
		"resets":         func(k conn) { _ = k.Conn.(*net.TCPConn).SetLinger(0); k.Close() },
		"half-closes":    func(k conn) { _ = k.Conn.(*net.TCPConn).CloseWrite() },
		"makes no sense": func(k conn) { k.write([]byte{0x7f, 0, 0, 0}) },
	} {
		t.Run(name, func(t *testing.T) {
			e := newStandIn(t, "127.0.0.1:0")
			b := start(t, `,"may_cancel":false`, e)
			k, other := b.client(), b.client()
			g := b.holdDials()
			k.quick(1, "2900")
			g.waits(t)
			leave(k)
			b.until(func() bool { return b.c.counts[clientGone]+b.c.counts[clientsMisread] == 1 })
			g.pass <- struct{}{}
			b.until(func() bool { return len(b.c.engines["e0"].links) == 1 })
			b.onlyHears(e, other, 2)
		})
	}
}

// TestGoneWhileQueued: the same for a job whose bytes wait for the writer, which a long tick keeps back.
func TestGoneWhileQueued(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, `,"may_cancel":false`+longTick, e)
	k, other := b.client(), b.client()
	b.queued(e, k)
	k.Close()
	b.until(func() bool { return len(b.c.jobs) == 0 && b.c.counts[withdrawn] == 1 })
	b.onlyHears(e, other, 3)
}

// TestOwnReadAfterStandstill: a job that is read right after a standstill is not held back by its own read.
func TestOwnReadAfterStandstill(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, longTick, e)
	k := b.client()
	k.quick(1, "2900")
	e.hears("serve").answer("HIT", "count=1", rowA)
	b.until(func() bool { return b.c.counts[done] == 1 })
	b.c.do(func() { b.c.stood = standstill{b.c.now + time.Second, time.Second} })
	k.quick(2, "2900")
	b.until(func() bool { return len(b.c.jobs) == 1 })
	b.c.do(func() {
		for _, j := range b.c.jobs {
			if j.out == nil || j.out.link == nil || j.out.asked != 0 {
				t.Errorf("held back: %+v", j.out)
			}
		}
	})
}

// lateBegins refuses the begin of each attempt that has waited.
type lateBegins struct {
	logic.Module
	asked int
}

func (m *lateBegins) Began(time.Duration, logic.JobID) bool {
	m.asked++
	return false
}

// TestBudgetSpentWhileDialing: an attempt that has waited for a connection is asked about again when it begins, and is not sent where
// it may not; the next one, which begins as it is decided, is.
func TestBudgetSpentWhileDialing(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	g := b.holdDials()
	k.quick(1, "2900")
	g.waits(t)
	m := &lateBegins{}
	b.c.do(func() { m.Module, b.c.logic = b.c.logic, m })
	g.pass <- struct{}{}
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	b.c.do(func() {
		if m.asked != 1 || b.c.counts[outcomeNotSent] != 1 {
			t.Errorf("asked %d times, %d not sent", m.asked, b.c.counts[outcomeNotSent])
		}
	})
}

// TestLeftUnheard: a client has closed its connection, and the process, which stood still, has not heard of it when it
// comes to send its job.
func TestLeftUnheard(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k, other := b.client(), b.client()
	g := b.holdDials()
	k.quick(1, "2900")
	g.waits(t)
	b.c.do(func() { // nothing is heard under the lock
		j := b.c.jobs["0000000000000001"]
		b.c.now++
		if !b.c.fit(j.out) {
			t.Error("not fit with its client there")
		}
		l := j.client.link
		k.Close()
		for late := time.Now().Add(patience); !l.left() && time.Now().Before(late); {
		}
		b.c.now++
		if b.c.fit(j.out) {
			t.Error("fit without its client")
		}
	})
	b.until(func() bool { return len(b.c.jobs) == 0 })
	g.pass <- struct{}{}
	b.until(func() bool { return len(b.c.engines["e0"].links) == 1 })
	b.onlyHears(e, other, 2)
}

// socket is a connection that no poll reads.
type socket struct {
	netpoll.Connection
	fd int
}

func (s socket) Fd() int { return s.fd }

// TestLeftBehindUnread: a client has closed its connection, or its side of it, behind bytes that nobody has read yet.
func TestLeftBehindUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for what, leave := range map[string]func(*net.TCPConn) error{"closed": (*net.TCPConn).Close, "half closed": (*net.TCPConn).CloseWrite} {
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		file, err := far.(*net.TCPConn).File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		l := &link{conn: socket{fd: int(file.Fd())}}
		if _, err := near.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		if l.left() {
			t.Errorf("%s: left before it has", what)
		}
		if err := leave(near.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		for late := time.Now().Add(patience); !l.left() && time.Now().Before(late); {
		}
		if !l.left() {
			t.Errorf("%s: not seen behind what is unread", what)
		}
	}
}

// TestCancelUnread: the same for a cancel that lies unread. The attempt waits once, for the reader to come to it.
func TestCancelUnread(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, `,"may_cancel":false`, e)
	k, other := b.client(), b.client()
	k.quick(1, "2900")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	g := b.holdDials()
	b.c.do(func() { b.c.engines["e0"].links[0].stale = true })
	k.quick(2, "2900")
	g.waits(t)
	b.c.do(func() { // nothing is heard under the lock
		j := b.c.jobs["0000000000000002"]
		l := j.client.link
		k.write(frame.AppendHead(nil, frame.Gone, 2, 0))
		for late := time.Now().Add(patience); !l.unread() && time.Now().Before(late); {
		}
		b.c.engines["e0"].links[0].stale = false // a connection is there at last
		b.c.now++
		b.c.place(j.out.engine)
		if j.out.link != nil {
			t.Error("sent on before the client was heard")
		}
	})
	b.until(func() bool { return len(b.c.jobs) == 0 })
	g.pass <- struct{}{}
	b.onlyHears(e, other, 3)
}

// TestWindowPassesWhileDialing: a keyed job that may have run, and whose connection comes up only when the window of its key
// has passed, is answered as it passes and not sent.
func TestWindowPassesWhileDialing(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", func(cfg *config.Config) {
		cfg.Settings.Logic.Classes[1].Window = 300 * time.Millisecond
		cfg.Settings.Logic.Classes[1].Deadline = time.Hour // far behind patience: the window alone has it answered
	}, e)
	k := b.client()
	k.asks(1, "load 1", "class", "load", "id", "0000000000000001", "wait", "3600000", "once", "k")
	c := e.hears("serve")
	g := b.holdDials()
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
	g.waits(t)
	k.gets(frame.Answer, 1, frame.Rejected, "")
	b.c.do(func() {
		if b.c.counts[attempted] != 2 || b.c.counts[outcomeNotSent] != 1 {
			t.Error(b.c.counts[attempted], "attempts,", b.c.counts[outcomeNotSent], "not sent")
		}
	})
	g.pass <- struct{}{}
	b.until(func() bool { return len(b.c.engines["e0"].links) == 1 })
	b.onlyHears(e, k, 2)
}

// TestLastMoment: a message whose time has passed stays where it can be taken back, however late the writer comes to it.
func TestLastMoment(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &Controller{born: time.Now()}
	l := &link{c: c, conn: conn, wake: make(chan struct{}, 1)} // no writer runs
	late, soon := l.addUntil(c.clock(), nil, []byte("late")), l.addUntil(c.clock()+time.Hour, nil, []byte("soon"))
	if size, _, _, _ := l.hand(); size != len("soon")+messageOverhead || l.backlog() != len("latesoon")+2*messageOverhead {
		t.Error("handed over: ", size)
	}
	if !l.withdraw(late) || l.withdraw(soon) || l.backlog() != len("soon")+messageOverhead {
		t.Error("not taken back")
	}
	again := l.addUntil(c.clock(), nil, []byte("late"))
	l.hand()
	l.closed()
	if !l.withdraw(again) || c.held.Load() != 0 {
		t.Error("not known as unsent after the end: ", c.held.Load())
	}
}

// TestOmittedTakesBack: an engine that a whole list does not name any more is gone, and what has not left for it goes
// elsewhere, as with one that is named as gone.
func TestOmittedTakesBack(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	g := b.holdDials()
	k.quick(1, "2900")
	g.waits(t)
	b.list.tell(true, [3]string{"e1", f.ln.Addr().String(), "active"})
	b.knows("e1")
	g.waits(t) // the dial to the new one
	g.pass <- struct{}{}
	g.pass <- struct{}{}
	f.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowB)
	b.until(func() bool { return b.c.engines["e0"] == nil || len(b.c.engines["e0"].dials) == 0 })
	select {
	case c := <-e.said:
		t.Error("after the list: ", c.words)
	default:
	}
}

// TestReplacedTakesBack: what waits in the writer of a connection to a process that another one has replaced goes to the new
// one.
func TestReplacedTakesBack(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, longTick, e)
	k := b.client()
	b.queued(e, k)
	b.list.tell(false, [3]string{"e0", f.ln.Addr().String(), "active"})
	b.goesElsewhere(e, f, k)
}

// TestTurnedAwayAfterBegun: an answer that it never ran, behind one that it did, proves nothing: a non-idempotent job does
// not go again.
func TestTurnedAwayAfterBegun(t *testing.T) {
	for _, word := range []string{"SHED", "LATE"} {
		e := newStandIn(t, "127.0.0.1:0")
		b := startWith(t, "", func(cfg *config.Config) { cfg.Settings.Logic.Classes[0].Repeat = logic.NonIdempotent }, e)
		k := b.client()
		k.quick(1, "2900")
		c := e.hears("serve")
		c.answer("HIT", "count=2", rowA)
		c.answer(word, "-", "")
		k.gets(frame.Answer, 1, frame.Failed, "")
		b.c.do(func() {
			if b.c.counts[attempted] != 1 {
				t.Error(word, b.c.counts[attempted], "attempts")
			}
		})
	}
}

// TestDescriptorsTaken: all descriptors for engines are taken by a connection to one that drains, as a job has to go to
// another. While the connection carries a job the next one waits; once it is idle it makes room, and the job is sent.
func TestDescriptorsTaken(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", func(cfg *config.Config) { cfg.Sockets = 50 }, e)
	if most := b.c.mostLinks(); most != 1 {
		t.Fatal("room for ", most)
	}
	k := b.client()
	k.quick(1, "2900")
	first := e.hears("serve")
	b.list.tell(true, [3]string{"e0", e.ln.Addr().String(), "leaving"}, [3]string{"e1", f.ln.Addr().String(), "active"})
	b.knows("e1")
	k.quick(2, "2900")
	b.until(func() bool { return b.c.counts[linksOverLimit] == 1 })
	b.c.do(func() {
		if b.c.links != 1 || len(b.c.jobs) != 2 || b.c.counts[rejected] > 0 {
			t.Error(b.c.links, "connections,", len(b.c.jobs), "jobs open")
		}
	})
	first.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	f.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.c.do(func() {
		if b.c.links != 1 || len(b.c.short) > 0 || b.c.making != 0 || b.c.counts[attempted] != 2 {
			t.Error(b.c.links, "connections,", len(b.c.short), "wait,", b.c.making, "closing,", b.c.counts[attempted], "attempts")
		}
	})
}

// TestDescriptorsRefused: the system refuses a descriptor, though few connections are counted: an idle connection makes room,
// and with none idle the attempt is known as not sent.
func TestDescriptorsRefused(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "2900")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	var refused atomic.Int32 // dials that are; discovery dials too, on goroutines of its own
	refused.Store(1)
	b.c.do(func() {
		b.c.system.connect = func(_ context.Context, address netip.AddrPort) (netpoll.Connection, error) {
			if refused.Add(-1) >= 0 {
				return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
			}
			return dialTCP(context.Background(), address)
		}
	})
	b.list.tell(true, [3]string{"e0", e.ln.Addr().String(), "leaving"}, [3]string{"e1", f.ln.Addr().String(), "active"})
	b.knows("e1")
	k.quick(2, "2900")
	f.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.c.do(func() {
		if b.c.counts[attempted] != 2 || len(b.c.engines["e0"].links) != 0 {
			t.Error(b.c.counts[attempted], "attempts,", len(b.c.engines["e0"].links), "idle connections")
		}
	})
	b.list.tell(true, [3]string{"e1", f.ln.Addr().String(), "leaving"}, [3]string{"e2", e.ln.Addr().String(), "active"})
	b.knows("e2")
	b.c.do(func() {
		for _, l := range b.c.engines["e1"].links { // not idle any more
			l.open["another"] = &attempt{}
		}
		refused.Store(3)
	})
	k.quick(3, "2900")
	k.gets(frame.Answer, 3, frame.Rejected, "")
	b.c.do(func() { clear(b.c.engines["e1"].links[0].open) })
}

// TestOrderByKey: jobs of one key go to engines one at a time, in the order in which they came, also when they are read in one
// piece; the next one goes as soon as the one before is answered, and after a connection that was lost under it only when the
// key has rested. Jobs without a key, or of another one, pass.
func TestOrderByKey(t *testing.T) {
	const rest = 300 * time.Millisecond
	e := newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", func(cfg *config.Config) {
		cfg.Settings.Logic.Classes[1].Ordered, cfg.Settings.Logic.KeyQuiet = true, rest
		cfg.Settings.Logic.Classes[1].Repeat = logic.NonIdempotent
	}, e)
	k := b.client()
	job := func(stream uint32, key string) []byte {
		return jobFrame(stream, "load 1", "class", "load", "id", fmt.Sprintf("%016x", stream), "wait", "2900", "key", key, "tenant", "t")
	}
	k.write(job(1, "a"), job(2, "a"), job(3, "b"), job(4, "a"))
	serves := func(stream uint32) command {
		t.Helper()
		c := e.hears("serve")
		if c.words[1] != fmt.Sprintf("%016x", stream) {
			t.Fatal("sent on: ", c.words[1], ", wanted ", stream)
		}
		return c
	}
	first, other := e.hears("serve"), e.hears("serve") // on connections of their own, so in no order
	if strings.HasSuffix(first.words[1], "3") {
		first, other = other, first
	}
	if !strings.HasSuffix(first.words[1], "1") || !strings.HasSuffix(other.words[1], "3") {
		t.Fatal("sent on: ", first.words[1], other.words[1])
	}
	first.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	second := serves(2)
	other.answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 3, frame.Done, rowB)
	lost := time.Now()
	second.conn.Close()
	k.gets(frame.Answer, 2, frame.Failed, "")
	last := serves(4)
	if after := time.Since(lost); after < rest {
		t.Error("the key rested for ", after)
	}
	last.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 4, frame.Done, rowA)
}

// told is a module that keeps what it was told of jobs.
type told struct {
	logic.Module
	jobs chan [3]any
}

func (m told) JobTaken(now time.Duration, id logic.JobID, name logic.ClassName, customer logic.CustomerID, key logic.Key,
	expires, cost time.Duration, memory float64, tables logic.Tables, repeat bool, place logic.Placement) {
	m.jobs <- [3]any{customer, key, repeat}
	m.Module.JobTaken(now, id, name, customer, key, expires, cost, memory, tables, repeat, place)
}

// TestToldOfJob: what a client tells of its job's tenant, key and repeat reaches the decisions; names that are too long are
// refused with an answer.
func TestToldOfJob(t *testing.T) {
	jobs := make(chan [3]any, 10)
	e := newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", nil, e)
	k := b.client()
	b.c.do(func() { b.c.logic = told{b.c.logic, jobs} })
	k.asks(1, "select 1", "class", "quick", "id", "0000000000000001", "wait", "2900", "tenant", "north", "key", "k 1", "retry", "1")
	if got, want := <-jobs, [3]any{logic.CustomerID("north"), logic.Key("k 1"), true}; got != want {
		t.Error(got, "wanted", want)
	}
	k.quick(2, "2900")
	if got, want := <-jobs, [3]any{logic.CustomerID(""), logic.Key(""), false}; got != want {
		t.Error(got, "wanted", want)
	}
	for n, field := range []string{"tenant", "key"} {
		stream := uint32(3 + n)
		k.asks(stream, "select 1", "class", "quick", "id", fmt.Sprintf("%016x", stream), "wait", "2900", field, strings.Repeat("x", mostName+1))
		if said := k.gets(frame.Answer, stream, frame.Failed, ""); said["error"] != field+": too long" {
			t.Error(said)
		}
	}
}

// TestFurtherAttemptBeforeClose: an attempt whose connection can't be believed any more is over for its engine once that is closed; the
// next one waits for that, however long it takes.
func TestFurtherAttemptBeforeClose(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e, f)
	k := b.client()
	k.quick(1, "2900")
	var first command
	select {
	case first = <-e.said:
	case first = <-f.said:
	}
	var l *engineLink
	b.c.do(func() {
		l = b.c.jobs[logic.JobID(first.words[1])].out.link
		b.c.lose(l, logic.Errored)
	})
	b.until(func() bool { return b.c.jobs[logic.JobID(first.words[1])].out != nil })
	select {
	case <-e.said:
		t.Error("sent while the connection before is open")
	case <-f.said:
		t.Error("sent while the connection before is open")
	case <-time.After(2 * fenceWait):
	}
	_ = l.conn.Close()
	var next command
	select {
	case next = <-e.said:
	case next = <-f.said:
	case <-time.After(patience):
		t.Fatal("not sent")
	}
	next.answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowB)
}
