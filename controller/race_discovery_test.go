package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/logic"
)

// manualDiscovery is a discovery service whose calls the test answers itself.
func manualDiscovery(t *testing.T) (address string, calls chan net.Conn) {
	calls = make(chan net.Conn, 100)
	ln := serveConns(t, "127.0.0.1:0", func(conn net.Conn) {
		for buf := make([]byte, 4096); ; {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			calls <- conn
		}
	})
	return ln.Addr().String(), calls
}

// sendEvents answers a call with a body.
func sendEvents(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
		t.Error(err)
	}
}

// TestSilentWatch: a call that is not answered is repeated on another connection, and a late answer to the first is still
// applied, as discovery may be slow and not dead. Events that are in both answers are applied once.
func TestSilentWatch(t *testing.T) {
	address, calls := manualDiscovery(t)
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Discovery = address })
	first := nextCall(t, calls)
	second := nextCall(t, calls)
	if first == second {
		t.Fatal("call repeated on the same connection")
	}
	b.discovery.publish(false, [3]string{"late", "127.0.0.1:1", "active"})
	sendEvents(t, first, b.discovery.eventsAfter(1))
	b.waitForEngine("late")
	b.discovery.publish(false, [3]string{"new", "127.0.0.1:2", "active"})
	sendEvents(t, second, b.discovery.eventsAfter(1))
	b.waitForEngine("new")
	third := nextCall(t, calls)
	if third != second {
		t.Error("the answered connection is not reused")
	}
	b.c.withLock(func() {
		if b.c.counts[discoveryEvents] != 3 || b.c.counts[discoveryTimeouts] != 1 || b.c.counts[discoveryFailures] != 0 || len(b.c.discovery.lateLinks) != 0 {
			t.Error(b.c.counts[discoveryEvents], b.c.counts[discoveryTimeouts], b.c.counts[discoveryFailures], b.c.discovery.lateLinks)
		}
	})
}

// TestSilentDial: when a dial to discovery does not finish, another one starts beside it.
func TestSilentDial(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	b.connect()
	finished := make(chan int, 100)
	var dials atomic.Int32
	b.c.withLock(func() {
		b.c.sys.connect = func(ctx context.Context, address netip.AddrPort) (netpoll.Connection, error) {
			if n := dials.Add(1); n > 1 { // dials start one after the other
				finished <- int(n)
				return dialTCP(ctx, address)
			}
			<-ctx.Done() // as if a packet of the handshake were lost
			finished <- 1
			return nil, ctx.Err()
		}
		b.c.discovery.handleSilence()
	})
	if first := <-finished; first != 2 {
		t.Error("dial", first, "finished first: the second dial waited for the end of the first")
	}
	b.discovery.publish(false, [3]string{"e9", "127.0.0.1:1", "active"})
	b.waitForEngine("e9")
}

// TestDiscoveryThroughCrowd: idle clients take all places while discovery is unreachable. The controller still reaches it
// when it returns.
func TestDiscoveryThroughCrowd(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	b.connect()
	address := b.discovery.ln.Addr().String()
	b.c.withLock(func() { b.c.discovery.changeAddress("127.0.0.1:1") })
	for range 3 * b.c.cfg.MaxDescriptors {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	b.waitUntil(func() bool { return b.c.admission.Open() == b.c.admission.MaxConns() })
	b.c.withLock(func() {
		b.c.discovery.changeAddress(address)
		if open := len(b.c.clients) + b.c.turnedAwayConns + int(b.c.lingeringConns.Load()); open > maxClients(b.c.cfg)+2*maxLingering(b.c.cfg) {
			t.Error(open, "descriptors are used by clients")
		}
	})
	b.discovery.publish(false, [3]string{"e9", "127.0.0.1:1", "active"})
	b.waitForEngine("e9")
}

// TestMoveWhileDialing: a dial to discovery's old address finishes after the address has changed. The connection is not
// used.
func TestMoveWhileDialing(t *testing.T) {
	b := startController(t, "")
	b.connect()
	other := newFakeDiscovery(t)
	other.events = append(other.events, b.discovery.events...)
	g := b.holdDials()
	b.c.withLock(func() { b.c.discovery.handleSilence() })
	g.awaitDial(t)
	b.c.withLock(func() { b.c.discovery.changeAddress(other.ln.Addr().String()) })
	g.awaitDial(t)
	b.discovery.publish(false, [3]string{"old", "127.0.0.1:1", "active"})
	for range cap(g.release) / 2 {
		g.release <- struct{}{}
	}
	other.publish(false, [3]string{"new", "127.0.0.1:2", "active"})
	b.waitForEngine("new")
	b.c.withLock(func() {
		if b.c.engines["old"] != nil {
			t.Error("events from the old address were applied")
		}
	})
}

// nextCall waits for the next call to discovery.
func nextCall(t *testing.T, calls chan net.Conn) net.Conn {
	t.Helper()
	select {
	case conn := <-calls:
		return conn
	case <-time.After(testTimeout):
		t.Fatal("no call")
		return nil
	}
}

// TestLargeList: a discovery answer with thousands of engines is applied.
func TestLargeList(t *testing.T) {
	address, calls := manualDiscovery(t)
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Discovery = address })
	var engines [][3]string
	for n := range 3200 {
		engines = append(engines, [3]string{fmt.Sprintf("engine-%04d-%0400d", n, n), fmt.Sprintf("127.9.%d.%d:1", n/250, n%250), "active"})
	}
	b.discovery.publish(true, engines...)
	text := b.discovery.eventsAfter(1)
	if len(text) < 3<<19 {
		t.Fatal(len(text), "bytes are too few for a large list")
	}
	sendEvents(t, nextCall(t, calls), text)
	b.waitForEngine(logic.EngineID(engines[3199][0]))
	b.c.withLock(func() {
		if b.c.counts[discoveryFailures] != 0 {
			t.Error(b.c.counts[discoveryFailures], "failures")
		}
	})
}

// TestSlowAnswer: an answer that keeps arriving in pieces for longer than a call may take is waited for; the call is not
// repeated.
func TestSlowAnswer(t *testing.T) {
	address, calls := manualDiscovery(t)
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Discovery, cfg.Settings.DrainGrace = address, 400*time.Millisecond })
	conn := nextCall(t, calls)
	b.discovery.publish(false, [3]string{"new", "127.0.0.1:2", "active"})
	body := b.discovery.eventsAfter(1)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for n := range body { // takes 1.5 s and more, where a call may take 300 ms
		if n%(len(body)/100) == 0 {
			time.Sleep(15 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, body[n:n+1]); err != nil {
			t.Fatal(err)
		}
	}
	b.waitForEngine("new")
	b.c.withLock(func() {
		if n := b.c.counts[discoveryTimeouts] + b.c.counts[discoveryFailures]; n != 0 {
			t.Error(n, "timeouts or failures of calls")
		}
	})
}

// TestPacedCalls: hundreds of changes per second, one by one, do not cause as many calls.
func TestPacedCalls(t *testing.T) {
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.Settings.DrainGrace = 2 * time.Second })
	b.connect()
	for n := range 300 {
		b.discovery.publish(false, [3]string{"new" + strconv.Itoa(n), "127.0.0.1:" + strconv.Itoa(n+1), "active"})
		time.Sleep(time.Millisecond)
	}
	b.waitForEngine("new299")
	b.c.withLock(func() {
		if n := b.c.counts[discoveryCalls]; n > 60 {
			t.Error(n, "calls for 300 changes")
		}
	})
}
