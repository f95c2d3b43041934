package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds waits and is long enough for the slowest machine; quietPeriod is how long a test waits to see that nothing arrives.
const testTimeout, quietPeriod = 20 * time.Second, 150 * time.Millisecond

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return ln.Addr().String()
}

func startRelay(t *testing.T, to string) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", to, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dialRelay(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// expect reads a text, or checks that nothing arrives if it is empty.
func expect(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	wait := testTimeout
	if text == "" {
		wait = quietPeriod
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, max(len(text), 1))
	n, err := io.ReadFull(conn, buf)
	if string(buf[:n]) != text || err != nil && text != "" {
		t.Fatalf("received %q, %v, wanted %q", buf[:n], err, text)
	}
}

// TestSilence checks that nothing passes a link that is silent in either direction or both, and that data sent meanwhile arrives afterwards,
// complete and once.
func TestSilence(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	conn := dialRelay(t, r)
	send(t, conn, "before ")
	expect(t, conn, "before ")
	for _, silent := range [][2]bool{{true, false}, {false, true}, {true, true}} {
		r.SetImpairment(Impairment{Silent: silent})
		send(t, conn, "held ")
		expect(t, conn, "")
		if late, err := net.DialTimeout("tcp", r.Address(), quietPeriod); err == nil {
			late.Close()
			t.Errorf("%v: a connection was established", silent)
		}
		r.SetImpairment(Impairment{})
		expect(t, conn, "held ")
	}
	again := dialRelay(t, r)
	send(t, again, "after")
	expect(t, again, "after")
	if r.Connections() > 5 { // two of the test, and at most the three dials that timed out: the kernel may still deliver their SYNs
		t.Error(r.Connections(), "connections")
	}
}

// TestDeafWhileAccepting checks that the backlog is filled only after an Accept call in progress has returned when a link becomes silent.
// Otherwise the filler would be accepted, and its place in the backlog would be free for others.
func TestDeafWhileAccepting(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	locked := func(f func() bool) (held bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return f()
	}
	locked(func() bool { r.accepting++; return true })
	impaired := make(chan bool)
	go func() { r.SetImpairment(Impairment{Silent: [2]bool{true, false}}); close(impaired) }()
	for deadline := time.Now().Add(testTimeout); !locked(func() bool { return r.impairment.blocksConnect() }) && time.Now().Before(deadline); {
	}
	if locked(func() bool { return len(r.fillers) > 0 }) {
		t.Error("backlog filled while an Accept call is in progress")
	}
	locked(func() bool { r.accepting--; r.acceptDone.Broadcast(); return true })
	<-impaired
	if !locked(func() bool { return len(r.fillers) == 1 }) {
		t.Error("backlog not filled")
	}
}

func TestDelay(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	conn := dialRelay(t, r)
	r.SetImpairment(Impairment{Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond})
	from := time.Now()
	for range 5 {
		send(t, conn, "in order ")
	}
	expect(t, conn, "in order in order in order in order in order ")
	if took := time.Since(from); took < 100*time.Millisecond {
		t.Error("both directions together took ", took)
	}
}

// TestReset checks that connections are reset before all data has passed.
func TestReset(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	r.SetImpairment(Impairment{MeanBytesToReset: 100})
	for range 5 {
		conn := dialRelay(t, r)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), 5000))
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		if back, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || len(back) == 5000 {
			t.Error("no reset: ", len(back), err)
		}
	}
}

func TestRefuse(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	conn := dialRelay(t, r)
	send(t, conn, "x")
	expect(t, conn, "x")
	if err := r.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error("not reset: ", err)
	}
	if _, err := net.Dial("tcp", r.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("not refused: ", err)
	}
	if err := r.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	again := dialRelay(t, r)
	send(t, again, "y")
	expect(t, again, "y")
}

func TestBandwidth(t *testing.T) {
	r := startRelay(t, startEchoServer(t))
	r.SetImpairment(Impairment{BytesPerSecond: 20_000})
	conn := dialRelay(t, r)
	from := time.Now()
	send(t, conn, string(bytes.Repeat([]byte("x"), 4000)))
	expect(t, conn, string(bytes.Repeat([]byte("x"), 4000)))
	if took := time.Since(from); took < 200*time.Millisecond {
		t.Error("transfer took ", took)
	}
}
