package controller

import (
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// link is a connection: what came in and is not whole yet, and what is to go out. Its writer is a goroutine of
// the connection, not of a job: netpoll's Flush waits while the peer's window is full, and whoever queues
// output holds the lock or serves other connections. All that gathers meanwhile goes out in one gathered write.
type link struct {
	c        *Controller
	conn     netpoll.Connection
	rest     []byte
	kept     int // bytes of memory that rest is counted with
	wake     chan struct{}
	shut     bool         // ends by shutting its side first
	ownBound bool         // what it keeps of a message has a bound of its own, and is not counted with that of others
	overdue  *time.Timer  // closes the connection when a write takes too long
	down     func()       // is called right before that, under the link's own lock; nil for nothing
	busy     atomic.Bool  // a read waits for the controller's lock, with what netpoll's buffer no longer shows
	deaf     atomic.Bool  // it said what can't be read: whatever else comes is passed over
	half     atomic.Int64 // when the message that is not whole yet began, by the controller's clock, or 0
	came     atomic.Int64 // when bytes last came, by the same clock

	mu            sync.Mutex
	pending       []message
	unsent        int      // memory of what is queued and not flushed, in bytes
	queued, taken int64    // messages queued, and handed to the socket
	ending, over  bool     // ending: closes once all is flushed
	isDown        bool     // its side is shut
	flushed       []func() // to be done once what is pending has left
}

// message is what belongs together, in parts that may be shared.
type message struct {
	number int64
	last   time.Duration // until when it may leave, by the controller's clock, or 0
	left   *atomic.Int64 // when it left, by the same clock, is kept here, or nil
	parts  [][]byte
}

// messageOverhead is what a message takes in memory beside its bytes: itself, its list of parts, and the buffer of its head.
const messageOverhead = 256

// size is what a message takes in memory.
func (m message) size() int {
	size := messageOverhead
	for _, part := range m.parts {
		size += len(part)
	}
	return size
}

func newLink(c *Controller, conn netpoll.Connection) *link {
	l := &link{c: c, conn: conn, wake: make(chan struct{}, 1)}
	l.overdue = time.AfterFunc(time.Hour, func() {
		defer c.caught()
		_ = conn.Close()
	})
	l.overdue.Stop()
	c.aside(l.write)
	return l
}

// add queues a message and gives its number. It does not wait.
func (l *link) add(parts ...[]byte) int64 { return l.addUntil(0, nil, parts...) }

// addUntil queues a message that stays here once a time has passed, until it is taken back. When it leaves is kept in left.
func (l *link) addUntil(last time.Duration, left *atomic.Int64, parts ...[]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.isDown || l.ending && !l.shut {
		return l.queued + 1
	}
	l.queued++
	m := message{l.queued, last, left, parts}
	l.pending = append(l.pending, m)
	l.keep(m.size())
	l.signal()
	return l.queued
}

// keep counts what is queued, or has left. Nothing is counted after the end.
func (l *link) keep(size int) {
	if !l.over || size < 0 && l.unsent+size >= 0 {
		l.unsent += size
		l.c.held.Add(int64(size))
	}
}

// then has f done, under the controller's lock, once all that is queued now has left.
func (l *link) then(f func()) {
	l.mu.Lock()
	l.flushed = append(l.flushed, f)
	l.signal()
	l.mu.Unlock()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes the connection once all that is queued is flushed.
func (l *link) end() {
	l.mu.Lock()
	l.ending = true
	l.signal()
	l.mu.Unlock()
}

// closed ends the writer after the connection.
func (l *link) closed() {
	l.mu.Lock()
	l.over = true
	l.keep(-l.unsent)
	l.c.held.Add(-int64(l.kept))
	l.kept = 0
	l.signal()
	l.mu.Unlock()
}

// withdraw takes back a message that has not been handed to the socket, and tells whether it could.
func (l *link) withdraw(number int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.IndexFunc(l.pending, func(m message) bool { return m.number == number })
	if at < 0 {
		return false
	}
	l.keep(-l.pending[at].size())
	l.pending = slices.Delete(l.pending, at, at+1)
	return true
}

// wrote tells whether any byte of a message may have left.
func (l *link) wrote(message int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return message <= l.taken
}

// discard gives up what is queued on a connection that is to be closed at once.
func (l *link) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.pending {
		l.keep(-m.size())
	}
	l.pending, l.ending = nil, true
}

func (l *link) backlog() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsent
}

// write waits a tick of the settings from one write to the next: what comes meanwhile goes together, which spares
// the peer a read a message when there are many. It is little against a job, and nothing on a connection that was
// idle.
func (l *link) write() {
	defer func() { _ = l.conn.Close() }()
	var last time.Time
	crossings := 0
	for range l.wake {
		time.Sleep(l.c.cfg.Settings.Logic.Tick - time.Since(last))
		size, flushed, ending, over := l.hand()
		if over || size > 0 && l.flush() != nil {
			break
		}
		l.c.all(flushed)
		last = time.Now()
		l.mu.Lock()
		l.keep(-size)
		l.mu.Unlock()
		if !ending {
			continue
		}
		if crossings < mostCrossings && l.crossed() {
			crossings++
			time.Sleep(crossingWait)
			l.signal()
			continue
		}
		l.shutFirst()
		break
	}
}

// What crosses the end of a connection is read and answered before it is shut, for as long as a peer that sends on may hold that up.
const crossingWait, mostCrossings = time.Millisecond, 30

// crossed tells that something came, or is to leave, since the end was decided: on a slow machine that may be long ago.
func (l *link) crossed() bool {
	if !l.shut {
		return false
	}
	l.mu.Lock()
	pending, over := len(l.pending) > 0, l.over
	l.mu.Unlock()
	return !over && (pending || l.unread())
}

// lingers is how long a connection whose side here is shut is read on, for a peer that has not noticed: hundreds of trips.
const lingers = 500 * time.Millisecond

// shutFirst guards answers that are still on their way, here or in the peer's system, against what the peer sends in the very
// moment of a close: closing over bytes that nobody read resets the connection, and they may go with it. It shuts its own
// side, and what comes is read and passed over until the peer closes or its time is up.
func (l *link) shutFirst() {
	defer l.c.lingering.Add(-1)
	if l.c.lingering.Add(1) > int64(mostLingering(l.c.cfg)) && !l.c.parting.Load() || !l.shut {
		return
	}
	l.mu.Lock()
	conn, ok := l.conn.(netpoll.Conn)
	if l.isDown = true; l.down != nil {
		l.down()
	}
	ok = ok && !l.over && syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) == nil // open, as closed has not come for it
	l.mu.Unlock()
	if !ok {
		return
	}
	late := time.NewTimer(lingers)
	defer late.Stop()
	for {
		select {
		case <-late.C:
			return
		case <-l.wake:
			l.mu.Lock()
			over := l.over
			l.mu.Unlock()
			if over {
				return
			}
		}
	}
}

// ended tells whether this side is shut, or the connection closed.
func (l *link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDown || l.over
}

// hand gives what is pending to netpoll, which keeps references. It does so under the link's own lock, as the
// buffers go when the connection's close callbacks, closed among them, are through.
func (l *link) hand() (size int, flushed []func(), ending, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return 0, nil, false, true
	}
	kept := l.pending[:0]
	for now, at := l.c.clock(), 0; at < len(l.pending); at++ {
		m := l.pending[at]
		if m.last > 0 && now >= m.last {
			kept = append(kept, m)
			continue
		}
		if m.left != nil {
			m.left.Store(int64(now))
		}
		size += m.size()
		for _, part := range m.parts {
			_, _ = l.conn.Writer().WriteBinary(part)
		}
	}
	clear(l.pending[len(kept):])
	flushed = l.flushed
	l.pending, l.flushed, l.taken = kept, nil, l.queued
	return size, flushed, l.ending, false
}

// halfSince is for how long a message has been coming.
func (l *link) halfSince(now time.Duration) time.Duration {
	if since := l.half.Load(); since > 0 {
		return now - time.Duration(since)
	}
	return 0
}

// arrival is for how long a message has been coming, 0 for none, and how long ago bytes of it last came.
func (l *link) arrival(now time.Duration) (since, quiet time.Duration) {
	return l.halfSince(now), now - time.Duration(l.came.Load())
}

// left tells whether the peer has closed the connection, or its side of it, and this process has not noticed yet, whatever lies
// unread before it. A look that the kernel refuses tells nothing.
func (l *link) left() bool {
	n, err := l.peek()
	if err == nil && n > 0 {
		return l.peerShut()
	}
	return err == nil || err == syscall.ECONNRESET
}

// peerShut asks the kernel for the state of a connection before which bytes lie unread.
func (l *link) peerShut() bool {
	conn, ok := l.conn.(netpoll.Conn)
	if !ok {
		return false
	}
	info, err := syscall.GetsockoptInt(conn.Fd(), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	var first [4]byte // tcpi_state is the first byte of tcp_info
	binary.NativeEndian.PutUint32(first[:], uint32(info))
	return first[0] == closeWait
}

// closeWait is TCP_CLOSE_WAIT of the kernel's tcp_states.h: the peer has sent all that it will.
const closeWait byte = 8

// peek looks into the kernel's buffer without taking anything: one byte, or none where the peer has closed its side.
func (l *link) peek() (n int, err error) {
	conn, ok := l.conn.(netpoll.Conn)
	if !ok {
		return 0, syscall.ENOTSUP
	}
	var look [1]byte
	n, _, err = syscall.Recvfrom(conn.Fd(), look[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// unread tells whether anything came that has not been taken in: by a read that waits for the lock, in netpoll's
// buffer, or in the kernel's, where it lies while the process stands still. A look that the kernel refuses tells
// nothing.
func (l *link) unread() bool {
	if l.busy.Load() || l.conn.Reader().Len() > 0 {
		return true
	}
	n, err := l.peek()
	return err == nil && n > 0
}

// maxRest is what an idle connection may keep of a buffer for messages in parts.
const maxRest = 16 << 10

// mostRead is how much is handled at once: as many calls as small messages in it are kept in memory.
const mostRead = 64 << 10

// mostUnread is a part of the memory that may wait to be handled on one connection: what came before netpoll was held back.
const mostUnread = 32

var errMemory = errors.New("too much is being sent at once")

// read takes what has come, a bounded piece at a time: netpoll calls again at once while anything is left. next reads one message in
// place and gives its size, 0 while it is not whole, and the call that it leads to. All calls are made under one hold of the
// controller's lock, before the bytes are given back: from its begin on nothing of what was read lies unread. After an error
// nothing more is read on the connection.
func (l *link) read(next func(data []byte) (call func(), size int, err error)) (err error) {
	l.busy.Store(true)
	defer l.busy.Store(false)
	r := l.conn.Reader()
	if l.deaf.Load() {
		return errors.Join(r.Skip(r.Len()), r.Release())
	}
	defer func() {
		if err != nil {
			l.deaf.Store(true)
			l.keepRest(nil)
		}
	}()
	if int64(r.Len()) > l.c.cfg.MemoryMB<<20/mostUnread {
		return errMemory
	}
	data, err := r.Next(min(r.Len(), mostRead))
	if err != nil {
		return err
	}
	l.came.Store(int64(l.c.clock()))
	if len(l.rest) > 0 {
		l.rest = append(l.rest, data...)
		data = l.rest
	}
	var calls []func()
	size, whole := 0, false
	for len(data) > 0 {
		var call func()
		if call, size, err = next(data); err != nil || size == 0 {
			break
		}
		calls = append(calls, call)
		data, whole = data[size:], true
	}
	if len(calls) > 0 {
		l.c.do(func() {
			l.busy.Store(false)
			for _, call := range calls {
				call()
			}
		})
	}
	if len(data) == 0 {
		l.half.Store(0)
	} else if whole || l.half.Load() == 0 {
		l.half.Store(int64(l.c.clock()))
	}
	l.keepRest(data)
	_ = r.Release()
	if err == nil && !l.ownBound && len(l.rest) > maxRest && l.c.held.Load() > l.c.cfg.MemoryMB<<20/16 {
		err = errMemory
	}
	return err
}

// keepRest keeps the begin of a message that is not whole, in little more memory than it takes, and counts that.
func (l *link) keepRest(data []byte) {
	switch {
	case len(data) == 0 && cap(l.rest) > maxRest:
		l.rest = nil
	case cap(l.rest) > max(maxRest, 4*len(data)):
		l.rest = slices.Clone(data)
	default:
		l.rest = append(l.rest[:0], data...)
	}
	if l.ownBound {
		return
	}
	kept := 0
	if len(l.rest) > 0 {
		kept = cap(l.rest)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.c.held.Add(int64(kept - l.kept))
		l.kept = kept
	}
}
