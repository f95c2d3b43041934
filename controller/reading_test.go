package controller

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/internal/frame"
)

// ready asks whether the controller is, and is told so.
func (k conn) ready() {
	k.t.Helper()
	k.write(frame.AppendHead(nil, frame.Ready, 901, 1), []byte{0})
	k.gets(frame.IsReady, 901, 1, "")
}

// linkOf is the other side of a client's connection; it is for under the lock.
func (b *bed) linkOf(k conn) *link {
	b.t.Helper()
	for _, id := range sorted(b.c.clients) {
		l := b.c.clients[id].link
		peer, err := syscall.Getpeername(l.conn.(netpoll.Conn).Fd())
		if address, is := peer.(*syscall.SockaddrInet4); err == nil && is && address.Port == k.LocalAddr().(*net.TCPAddr).Port {
			return l
		}
	}
	b.t.Fatal("not connected")
	return nil
}

// TestFloodStaysInKernel: while the controller is held up, a peer that goes on sending does not fill its memory.
func TestFloodStaysInKernel(t *testing.T) {
	b := start(t, "")
	k := b.client()
	b.c.do(func() {
		_ = k.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = k.Write(frame.AppendHead(nil, frame.Job, 2, frame.MaxLength-frame.MinLength))
		for piece, sent := make([]byte, 1<<20), 0; sent < 60; sent++ {
			if _, err := k.Write(piece); err != nil {
				break
			}
		}
		if n := b.linkOf(k).conn.Reader().Len(); n > mostRead {
			t.Errorf("%d bytes wait in the process", n)
		}
	})
}

// TestCloseWithinCallback: a connection that ends while its callback runs does not hold up netpoll's poller.
func TestCloseWithinCallback(t *testing.T) {
	b := start(t, "")
	for range 20 {
		k, other := b.client(), b.client()
		b.c.do(func() {
			k.write(frame.AppendHead(nil, frame.Ready, 901, 1), []byte{0})
			l := b.linkOf(k)
			for late := time.Now().Add(patience); !l.busy.Load() && time.Now().Before(late); {
				time.Sleep(100 * time.Microsecond) // until its callback waits for the lock
			}
			_ = l.conn.Close()
		})
		from := time.Now()
		other.ready()
		if took := time.Since(from); took > mostTurn/2 {
			t.Errorf("another client was answered after %v", took)
		}
		_ = other.Close()
	}
	reading.mu.Lock()
	defer reading.mu.Unlock()
	if reading.overdue > 0 {
		t.Error(reading.overdue, "turns were not waited for to their end")
	}
}

// TestCallbackThatHangs: netpoll's poller goes on after a while, and a callback that panics ends its turn.
func TestCallbackThatHangs(t *testing.T) {
	r := newReadTurns()
	hangs := make(chan bool)
	from := time.Now()
	r.run(context.Background(), func() { <-hangs })
	if took := time.Since(from); took < mostTurn || r.overdue != 1 {
		t.Errorf("waited %v, %d overdue", took, r.overdue)
	}
	close(hangs)
	from = time.Now()
	r.run(context.Background(), func() { panic("test") })
	if took := time.Since(from); took > mostTurn/2 {
		t.Errorf("waited %v for a panic", took)
	}
}

// TestHalfMessagesOfManyClients: what many clients have begun and not ended has a bound, and is given back.
func TestHalfMessagesOfManyClients(t *testing.T) {
	b := start(t, "")
	var all []conn
	half := make([]byte, frame.MaxLength-100)
	for range 24 { // 24 times 256 KiB, half of the bound of 12 MB, doubled at most as it grows
		k := b.client()
		k.write(frame.AppendHead(nil, frame.Job, 1, frame.MaxLength-frame.MinLength), half)
		all = append(all, k)
	}
	b.until(func() bool { return b.c.held.Load() >= int64(len(all)*len(half)) || b.c.counts[clientsMisread] > 0 })
	b.c.do(func() {
		if held := b.c.held.Load(); held > b.c.cfg.MemoryMB<<20/16+2*frame.MaxLength {
			t.Errorf("%d bytes held", held)
		}
	})
	for _, k := range all { // ends that message, and begins another with one byte
		k.write(make([]byte, 96+1))
	}
	b.until(func() bool { return b.c.held.Load() <= int64(len(all))*maxRest })
}

// TestOtherCloseKeepsTurn: the end of one connection does not have netpoll's poller go on within the turn of another.
func TestOtherCloseKeepsTurn(t *testing.T) {
	r, own, other := newReadTurns(), &link{}, &link{}
	began, enter, entered, finish := make(chan bool), make(chan bool), make(chan bool), make(chan bool)
	over := make(chan bool)
	go func() {
		r.run(context.Background(), func() {
			close(began)
			<-enter
			r.enters(own)
			close(entered)
			<-finish
		})
		close(over)
	}()
	waits := func(when string) {
		select {
		case <-over:
			t.Error("netpoll's poller goes on ", when)
		case <-time.After(50 * time.Millisecond):
		}
	}
	<-began
	r.closes(other)
	waits("before the callback has told whose it is")
	close(enter)
	<-entered
	r.closes(other)
	waits("in the callback")
	r.closes(own)
	select {
	case <-over:
	case <-time.After(mostTurn / 2):
		t.Error("netpoll's poller waits although the connection ends")
	}
	close(finish)
}
