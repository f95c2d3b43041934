// Package relay stands on a link between two processes on loopback and does to it what networks do: silence one way or
// both, delay, resets in the middle of a message, little bandwidth. It is for tests and the laboratory.
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The two ways of a link.
const (
	ToServer = 0 // from who connects to who listens
	ToClient = 1
)

// Trouble is what a link suffers from. The zero value passes all at once.
type Impairment struct {
	Silent           [2]bool       // nothing passes this way; what is sent waits and passes when it is over, as with TCP
	Delay, Jitter    time.Duration // a way takes that, and up to the jitter more; bytes stay in order
	MeanBytesToReset int           // connections are reset after so many bytes in the mean, anywhere in a message; 0: never
	BytesPerSecond   int           // bandwidth of each connection and way, 0 for no limit
}

// Relay listens for one server. Its methods may be called from anywhere.
type Relay struct {
	server string

	mu          sync.Mutex
	rng         *rand.Rand
	listener    *net.TCPListener
	address     string
	impairment  Impairment
	changed     chan struct{} // closed at each change
	conns       map[net.Conn]bool
	fillers     []net.Conn // which take the places of a queue that nobody serves
	refusing    bool
	accepting   int        // accepts under way
	acceptDone  *sync.Cond // one of them is over, or the trouble has changed
	closed      bool
	connections int // connections so far
}

// Start listens on an address for a server. What chance decides, which byte a connection is reset at, follows the seed.
func Start(address, to string, seed int64) (*Relay, error) {
	r := &Relay{server: to, address: address, rng: rand.New(rand.NewSource(seed)), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.acceptDone = sync.NewCond(&r.mu)
	return r, r.listen()
}

// places are the connections that wait until they are accepted, as usual.
const listenBacklog = 1024

func (r *Relay) listen() error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("relay to %s: %w", r.server, err)
	}
	r.mu.Lock()
	r.listener, r.address = ln.(*net.TCPListener), ln.Addr().String()
	r.mu.Unlock()
	go r.accept(r.listener)
	return nil
}

// Address is where it listens.
func (r *Relay) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Total is the number of connections so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// Set has the link suffer from something else, at once and on open connections too. While a way is silent no new connection
// comes up: its first packet is not answered, as from a machine that is cut off.
func (r *Relay) SetImpairment(impairment Impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasBlocked := r.impairment.blocksConnect()
	r.impairment = impairment
	if blocked := impairment.blocksConnect(); blocked != wasBlocked && !r.refusing && !r.closed {
		if blocked {
			r.fillBacklog()
		} else {
			r.reopenBacklog()
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.acceptDone.Broadcast()
}

// deaf tells that it listens, and that no connection is to come up.
func (r *Relay) dropsConnects() bool { return r.impairment.blocksConnect() && !r.refusing && !r.closed }

func (t Impairment) blocksConnect() bool { return t.Silent[ToServer] || t.Silent[ToClient] }

// fills is for a dial to a place that is free, on a machine that is busy with other things; where somebody waits to be
// accepted there is none, and the dial fails.
const fillerDialTimeout = 500 * time.Millisecond

// deafen shortens the listener's queue to one place and fills that, so that the system drops what comes. It waits for an
// accept that is under way, which would take the filler and leave the place free.
func (r *Relay) fillBacklog() {
	r.setBacklog(0)
	_ = r.listener.SetDeadline(time.Now())
	for r.accepting > 0 && r.dropsConnects() {
		r.acceptDone.Wait()
	}
	if !r.dropsConnects() {
		return
	}
	if conn, err := net.DialTimeout("tcp", r.address, fillerDialTimeout); err == nil {
		r.fillers = append(r.fillers, conn)
	}
}

func (r *Relay) reopenBacklog() {
	r.setBacklog(listenBacklog)
	_ = r.listener.SetDeadline(time.Time{})
	for _, conn := range r.fillers {
		_ = conn.Close()
	}
}

func (r *Relay) setBacklog(n int) {
	if raw, err := r.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

// Refuse ends all connections and has new ones refused, as where no process listens; or listens again.
func (r *Relay) SetRefusing(refuse bool) error {
	r.mu.Lock()
	if r.refusing == refuse || r.closed {
		r.mu.Unlock()
		return nil
	}
	if r.refusing = refuse; refuse {
		_ = r.listener.Close()
		r.resetConnections()
		r.mu.Unlock()
		return nil
	}
	r.mu.Unlock()
	err := r.listen()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.impairment.blocksConnect() {
		r.fillBacklog()
	}
	return err
}

func (r *Relay) resetConnections() {
	for conn := range r.conns {
		abort(conn)
	}
	clear(r.conns)
}

// Close ends it with all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.listener.Close()
	r.resetConnections()
	for _, conn := range r.fillers {
		_ = conn.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// accept takes connections while the link is heard on.
func (r *Relay) accept(ln *net.TCPListener) {
	for {
		r.mu.Lock()
		blocked, changed, closed := r.impairment.blocksConnect(), r.changed, r.closed || r.listener != ln
		if !closed && !blocked {
			r.accepting++
		}
		r.mu.Unlock()
		if closed {
			return
		}
		if blocked {
			<-changed
			continue
		}
		conn, err := ln.Accept()
		r.mu.Lock()
		r.accepting--
		r.acceptDone.Broadcast()
		r.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(time.Millisecond)
			continue
		} else if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// filler tells whether a connection is one of those that fill the queue.
func (r *Relay) isFiller(conn net.Conn) bool {
	for _, f := range r.fillers {
		if f.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// join connects one to the server and passes on until either ends.
func (r *Relay) forward(conn net.Conn) {
	r.mu.Lock()
	if r.isFiller(conn) {
		r.mu.Unlock()
		_ = conn.Close()
		return
	}
	r.connections++
	r.mu.Unlock()
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		abort(conn)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r.mu.Lock()
	bytesLeft := -1
	if mean := r.impairment.MeanBytesToReset; mean > 0 {
		bytesLeft = int(r.rng.ExpFloat64() * float64(mean))
	}
	if r.conns[conn], r.conns[server] = true, true; r.closed || r.refusing {
		r.resetConnections()
	}
	r.mu.Unlock()
	budget := &byteBudget{remaining: bytesLeft}
	var directions sync.WaitGroup
	for direction, ends := range [][2]net.Conn{{conn, server}, {server, conn}} {
		directions.Add(1)
		go func() {
			defer directions.Done()
			if err := r.copyDirection(ctx, direction, ends[0], ends[1], budget); err != nil {
				abort(conn)
				abort(server)
			} else { // one that says no more hears the rest for a moment
				_ = ends[1].(*net.TCPConn).CloseWrite()
			}
		}()
	}
	directions.Wait()
	_, _ = conn.Close(), server.Close()
	r.mu.Lock()
	delete(r.conns, conn)
	delete(r.conns, server)
	r.mu.Unlock()
}

// budget of bytes until a connection is reset, for both ways; below 0: none.
type byteBudget struct {
	mu        sync.Mutex
	remaining int
}

var errReset = errors.New("reset")

// spend gives how many of so many bytes still pass.
func (b *byteBudget) consume(n int) (allowed int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.remaining < 0:
		return n, nil
	case n >= b.remaining:
		return b.remaining, errReset
	}
	b.remaining -= n
	return n, nil
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// pass carries one way until it ends, nil with a proper end.
func (r *Relay) copyDirection(ctx context.Context, direction int, from, to net.Conn, limit *byteBudget) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	chunks := make(chan chunk, 64) // so many at most are on the way
	go func() {
		defer close(chunks)
		last := time.Time{}
		for {
			buf := make([]byte, 4<<10)
			n, err := from.Read(buf)
			r.mu.Lock()
			due := time.Now().Add(r.impairment.Delay)
			if r.impairment.Jitter > 0 {
				due = due.Add(time.Duration(r.rng.Int63n(int64(r.impairment.Jitter))))
			}
			r.mu.Unlock()
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case chunks <- chunk{due, buf[:n], err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if err := r.waitToPass(ctx, direction, c.due); err != nil {
			return err
		}
		r.mu.Lock()
		rate := r.impairment.BytesPerSecond
		r.mu.Unlock()
		if rate > 0 {
			time.Sleep(time.Second * time.Duration(len(c.data)) / time.Duration(rate))
		}
		n, err := limit.consume(len(c.data))
		if _, writeErr := to.Write(c.data[:n]); writeErr != nil || err != nil {
			return errors.Join(writeErr, err)
		}
		if errors.Is(c.err, syscall.ECONNRESET) || c.err != nil && ctx.Err() != nil {
			return c.err
		} else if c.err != nil {
			return nil
		}
	}
	return ctx.Err()
}

// hold waits until a chunk may pass.
func (r *Relay) waitToPass(ctx context.Context, direction int, due time.Time) error {
	for {
		r.mu.Lock()
		silent, changed := r.impairment.Silent[direction], r.changed
		r.mu.Unlock()
		wait := time.Until(due)
		if !silent && wait <= 0 {
			return nil
		}
		var until <-chan time.Time
		if !silent {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			until = timer.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-until:
			return nil
		}
	}
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
