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

// patience is long on the slowest machine; short is enough to tell that nothing comes.
const patience, short = 20 * time.Second, 150 * time.Millisecond

// echo is a server that says back what it hears.
func echo(t *testing.T) string {
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

func start(t *testing.T, to string) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", to, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func says(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// hears wants a text, or nothing at all.
func hears(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	wait := patience
	if text == "" {
		wait = short
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, max(len(text), 1))
	n, err := io.ReadFull(conn, buf)
	if string(buf[:n]) != text || err != nil && text != "" {
		t.Fatalf("heard %q, %v, wanted %q", buf[:n], err, text)
	}
}

// TestSilence: one way, both ways, and what was sent comes when it is over, once and whole.
func TestSilence(t *testing.T) {
	r := start(t, echo(t))
	conn := dial(t, r)
	says(t, conn, "before ")
	hears(t, conn, "before ")
	for _, silent := range [][2]bool{{true, false}, {false, true}, {true, true}} {
		r.SetImpairment(Impairment{Silent: silent})
		says(t, conn, "held ")
		hears(t, conn, "")
		if late, err := net.DialTimeout("tcp", r.Address(), short); err == nil {
			late.Close()
			t.Errorf("%v: a connection comes up", silent)
		}
		r.SetImpairment(Impairment{})
		hears(t, conn, "held ")
	}
	again := dial(t, r)
	says(t, again, "after")
	hears(t, again, "after")
	if r.Connections() > 5 { // ours, and at most those three that gave up: the system may still pass on their first packet
		t.Error(r.Connections(), "connections")
	}
}

// TestDeafWhileAccepting: silence comes while a connection is being accepted. The queue is filled only after that, as the
// filler would be accepted too, and its place be free for others.
func TestDeafWhileAccepting(t *testing.T) {
	r := start(t, echo(t))
	under := func(f func() bool) (held bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return f()
	}
	under(func() bool { r.accepting++; return true })
	set := make(chan bool)
	go func() { r.SetImpairment(Impairment{Silent: [2]bool{true, false}}); close(set) }()
	for late := time.Now().Add(patience); !under(func() bool { return r.impairment.blocksConnect() }) && time.Now().Before(late); {
	}
	if under(func() bool { return len(r.fillers) > 0 }) {
		t.Error("filled while an accept is under way")
	}
	under(func() bool { r.accepting--; r.acceptDone.Broadcast(); return true })
	<-set
	if !under(func() bool { return len(r.fillers) == 1 }) {
		t.Error("not filled")
	}
}

func TestDelay(t *testing.T) {
	r := start(t, echo(t))
	conn := dial(t, r)
	r.SetImpairment(Impairment{Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond})
	from := time.Now()
	for range 5 {
		says(t, conn, "in order ")
	}
	hears(t, conn, "in order in order in order in order in order ")
	if took := time.Since(from); took < 100*time.Millisecond {
		t.Error("two ways took ", took)
	}
}

// TestReset: a connection ends in the middle of what is said, and others at other places.
func TestReset(t *testing.T) {
	r := start(t, echo(t))
	r.SetImpairment(Impairment{MeanBytesToReset: 100})
	for range 5 {
		conn := dial(t, r)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), 5000))
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		if back, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || len(back) == 5000 {
			t.Error("no reset: ", len(back), err)
		}
	}
}

func TestRefuse(t *testing.T) {
	r := start(t, echo(t))
	conn := dial(t, r)
	says(t, conn, "x")
	hears(t, conn, "x")
	if err := r.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error("not reset: ", err)
	}
	if _, err := net.Dial("tcp", r.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("not refused: ", err)
	}
	if err := r.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	again := dial(t, r)
	says(t, again, "y")
	hears(t, again, "y")
}

func TestBandwidth(t *testing.T) {
	r := start(t, echo(t))
	r.SetImpairment(Impairment{BytesPerSecond: 20_000})
	conn := dial(t, r)
	from := time.Now()
	says(t, conn, string(bytes.Repeat([]byte("x"), 4000)))
	hears(t, conn, string(bytes.Repeat([]byte("x"), 4000)))
	if took := time.Since(from); took < 200*time.Millisecond {
		t.Error("took ", took)
	}
}
