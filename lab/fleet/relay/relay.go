// Package relay forwards traffic between two processes on loopback addresses and impairs it as networks do: silence in one direction
// or both, delay, resets in the middle of a message, low bandwidth. It is for tests and the test rig.
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

// The two directions of a link.
const (
	ToServer = 0 // from the side that connects to the side that listens
	ToClient = 1
)

// Impairment describes how a link is impaired. The zero value forwards everything at once.
type Impairment struct {
	Silent           [2]bool       // by direction: nothing passes; data sent meanwhile is held and passes afterwards, as with TCP retransmission
	Delay, Jitter    time.Duration // time that a direction takes, and the limit of the random time added to it; bytes stay in order
	MeanBytesToReset int           // mean number of bytes after which a connection is reset, anywhere in a message; 0: never
	BytesPerSecond   int           // bandwidth per connection and direction; 0: no limit
}

// Relay listens in place of one server and forwards connections to it. Its methods are safe for concurrent use.
type Relay struct {
	server string

	mu          sync.Mutex
	rng         *rand.Rand
	listener    *net.TCPListener
	address     string
	impairment  Impairment
	changed     chan struct{} // closed when the impairment changes or the relay closes
	conns       map[net.Conn]bool
	fillers     []net.Conn // connections that keep the listen backlog full
	refusing    bool
	accepting   int        // Accept calls in progress
	acceptDone  *sync.Cond // signaled when one of them returns or the impairment changes
	closed      bool
	connections int // accepted so far, without fillers
}

// Start starts a relay that listens on an address in place of a server. The seed determines random choices, such as the byte at which a
// connection is reset.
func Start(address, server string, seed int64) (*Relay, error) {
	r := &Relay{server: server, address: address, rng: rand.New(rand.NewSource(seed)), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.acceptDone = sync.NewCond(&r.mu)
	return r, r.listen()
}

// listenBacklog is the usual number of connections that may wait to be accepted.
const listenBacklog = 1024

// listen opens the listener and starts to accept.
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

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Connections returns the number of connections accepted so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// SetImpairment replaces the link's impairment, at once and for open connections too. While a direction is silent no new connection is
// established: its SYN is not answered, as by a machine that is cut off.
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

// dropsConnects reports whether the relay listens but must not establish connections.
func (r *Relay) dropsConnects() bool { return r.impairment.blocksConnect() && !r.refusing && !r.closed }

// blocksConnect reports whether a direction is silent, so that no connection can be established.
func (i Impairment) blocksConnect() bool { return i.Silent[ToServer] || i.Silent[ToClient] }

// fillerDialTimeout allows for a busy machine when a filler dials a backlog with a free place. If another connection already waits to be
// accepted, no place is free and the dial times out.
const fillerDialTimeout = 500 * time.Millisecond

// fillBacklog shortens the listen backlog to one place and fills it, so that the kernel drops further SYNs. Before that it waits for an
// Accept call in progress, which would take the filler and leave the place free. The caller holds r.mu.
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

// reopenBacklog undoes fillBacklog.
func (r *Relay) reopenBacklog() {
	r.setBacklog(listenBacklog)
	_ = r.listener.SetDeadline(time.Time{})
	for _, conn := range r.fillers {
		_ = conn.Close()
	}
}

// setBacklog calls listen(2) again, which changes the backlog of a socket that already listens.
func (r *Relay) setBacklog(length int) {
	if raw, err := r.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
	}
}

// SetRefusing with true resets all connections and has new ones refused, as if no process listened; with false the relay listens again.
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

// resetConnections resets all open connections. The caller holds r.mu.
func (r *Relay) resetConnections() {
	for conn := range r.conns {
		abort(conn)
	}
	clear(r.conns)
}

// Close stops the relay and resets all connections.
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

// accept accepts connections on ln while the impairment allows new ones, until the relay closes or listens on another listener.
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

// isFiller reports whether an accepted connection is a filler of the backlog.
func (r *Relay) isFiller(conn net.Conn) bool {
	for _, f := range r.fillers {
		if f.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// forward connects to the server and copies data in both directions until both have ended.
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
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
			} else { // half-close: the side that has finished sending still receives the rest
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

// byteBudget is the number of bytes until a connection is reset, over both directions; below 0: no reset.
type byteBudget struct {
	mu        sync.Mutex
	remaining int
}

var errReset = errors.New("reset")

// consume takes n bytes from the budget and returns how many of them may still pass, with errReset if the connection is to be reset.
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

// chunk is data, or the end of a direction, that is forwarded at due.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// copyDirection copies data in one direction until it ends. It returns nil if the sender closed it properly.
func (r *Relay) copyDirection(ctx context.Context, direction int, from, to net.Conn, limit *byteBudget) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan chunk, 64) // bounds the data in transit
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
	for next := range chunks {
		if err := r.waitToPass(ctx, direction, next.due); err != nil {
			return err
		}
		r.mu.Lock()
		rate := r.impairment.BytesPerSecond
		r.mu.Unlock()
		if rate > 0 {
			time.Sleep(time.Second * time.Duration(len(next.data)) / time.Duration(rate))
		}
		n, err := limit.consume(len(next.data))
		if _, writeErr := to.Write(next.data[:n]); writeErr != nil || err != nil {
			return errors.Join(writeErr, err)
		}
		if errors.Is(next.err, syscall.ECONNRESET) || next.err != nil && ctx.Err() != nil {
			return next.err
		} else if next.err != nil {
			return nil
		}
	}
	return ctx.Err()
}

// waitToPass waits until the direction is not silent and due has come.
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

// abort closes a connection with a reset (RST).
func abort(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
