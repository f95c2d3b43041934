package controller

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// link is a connection with its incomplete input and its queued output. Its writer is a goroutine per connection, not per
// job: netpoll's Flush blocks while the peer's window is full, and whoever queues output holds the controller's lock or
// serves other connections. All output that is queued meanwhile leaves in one gathered write.
type link struct {
	c             *Controller
	conn          netpoll.Connection
	partial       []byte // the beginning of an incomplete message
	skipped       skippedMessage
	reservedBytes int           // memory reserved for the message in partial, or 0
	partialBytes  int           // bytes that partial is accounted with
	wake          chan struct{} // signals the writer
	gracefulClose bool          // closes by shutting down its write side first
	// its partial message has a limit of its own and is not accounted with those of other connections
	ownLimit   bool
	writeTimer *time.Timer // closes the connection when a write takes too long
	// returns the size of a message of which the beginning has arrived, and the call that refuses it, or nil if it can't be
	// refused; may be nil
	refuseMessage func(beginning []byte) (size int, call func())
	// called right before the write side is shut down, under the link's own lock; may be nil
	onShutdown func()
	// a read waits for the controller's lock, with bytes that are no longer in netpoll's buffer
	readWaiting  atomic.Bool
	handledBytes atomic.Int64 // bytes of input that were handled, or kept as the beginning of a message
	// the kernel was seen not to count the bytes that it receives
	bytesNotCounted atomic.Bool
	inputAwaited    atomic.Bool // something waits for input to be handled
	// called under the lock before and after the messages of one read are handled; may be nil
	onInputBegins, onInputHandled func()
	discardInput                  atomic.Bool // its input was malformed: whatever else arrives is discarded
	// when the message that is still incomplete began, by the controller's clock, or 0
	partialSince atomic.Int64
	lastReadAt   atomic.Int64 // when bytes last arrived, by the same clock

	mu                      sync.Mutex // guards the fields below
	pending                 []message  // queued and not handed to the socket
	unsentBytes             int        // memory of queued and unflushed messages
	lastQueued, lastWritten int64      // numbers of the last message queued, and of the last handed to the socket
	closing, connClosed     bool       // closing: closes once everything is flushed; connClosed: the connection is closed
	writeShut               bool       // the write side is shut down
	onFlushed               []func()   // calls to make once the pending messages are written
}

// message is a unit of output, in parts that other messages may share.
type message struct {
	number int64
	sendBy time.Duration // latest time to send it, by the controller's clock, or 0
	sentAt *atomic.Int64 // receives the time at which it was sent, by the same clock; may be nil
	parts  [][]byte
}

// messageOverhead is the memory of a message in addition to its bytes: the struct, its list of parts and the buffer of
// its head.
const messageOverhead = 256

// size is the memory of a message.
func (m message) size() int {
	size := messageOverhead
	for _, part := range m.parts {
		size += len(part)
	}
	return size
}

// newLink wraps a connection and starts its writer.
func newLink(c *Controller, conn netpoll.Connection) *link {
	l := &link{c: c, conn: conn, wake: make(chan struct{}, 1)}
	l.writeTimer = time.AfterFunc(time.Hour, func() {
		defer c.recoverPanic()
		_ = conn.Close()
	})
	l.writeTimer.Stop()
	c.spawn(l.writeLoop)
	return l
}

// enqueue queues a message and returns its number. It does not block.
func (l *link) enqueue(parts ...[]byte) int64 { return l.enqueueUntil(0, nil, parts...) }

// enqueueUntil queues a message that is not sent after the given time; from then on it stays queued until it is
// withdrawn. The time at which it is sent is stored in sentAt.
func (l *link) enqueueUntil(sendBy time.Duration, sentAt *atomic.Int64, parts ...[]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connClosed || l.writeShut || l.closing && !l.gracefulClose {
		return l.lastQueued + 1
	}
	l.lastQueued++
	m := message{l.lastQueued, sendBy, sentAt, parts}
	l.pending = append(l.pending, m)
	l.accountUnsent(m.size())
	l.signal()
	return l.lastQueued
}

// accountUnsent adds to the accounted size of unsent messages, or subtracts from it. Nothing is added after the
// connection is closed.
func (l *link) accountUnsent(size int) {
	if !l.connClosed || size < 0 && l.unsentBytes+size >= 0 {
		l.unsentBytes += size
		l.c.connBytes.Add(int64(size))
	}
}

// afterFlush has f called, under the controller's lock, once everything queued by now is written.
func (l *link) afterFlush(f func()) {
	l.mu.Lock()
	l.onFlushed = append(l.onFlushed, f)
	l.signal()
	l.mu.Unlock()
}

// signal wakes the writer. It does not block.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// closeWhenFlushed closes the connection once all queued output is flushed.
func (l *link) closeWhenFlushed() {
	l.mu.Lock()
	l.closing = true
	l.signal()
	l.mu.Unlock()
}

// markClosed stops the writer after the connection was closed.
func (l *link) markClosed() {
	l.mu.Lock()
	l.connClosed = true
	l.accountUnsent(-l.unsentBytes)
	l.c.connBytes.Add(-int64(l.partialBytes))
	l.partialBytes = 0
	l.signal()
	l.mu.Unlock()
}

// withdraw removes a message that was not handed to the socket, and reports whether it could.
func (l *link) withdraw(number int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := slices.IndexFunc(l.pending, func(m message) bool { return m.number == number })
	if index < 0 {
		return false
	}
	l.accountUnsent(-l.pending[index].size())
	l.pending = slices.Delete(l.pending, index, index+1)
	return true
}

// mayHaveSent reports whether any byte of a message may have been sent.
func (l *link) mayHaveSent(message int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return message <= l.lastWritten
}

// discardPending drops the queued output of a connection that is to be closed at once.
func (l *link) discardPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.pending {
		l.accountUnsent(-m.size())
	}
	l.pending, l.closing = nil, true
}

// backlog returns the memory of the messages that are not flushed yet.
func (l *link) backlog() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsentBytes
}

// writeLoop waits one tick of the settings between writes, so that output queued meanwhile is written together: with many
// messages this saves the peer a read per message. The wait is short compared with a job, and an idle connection does not
// wait at all.
func (l *link) writeLoop() {
	defer func() { _ = l.conn.Close() }()
	var lastWrite time.Time
	rechecks := 0
	for range l.wake {
		time.Sleep(l.c.cfg.Settings.Logic.Tick - time.Since(lastWrite))
		size, flushed, closing, closed := l.handOver()
		if closed || size > 0 && l.flush() != nil {
			break
		}
		l.c.runAll(flushed)
		lastWrite = time.Now()
		l.mu.Lock()
		l.accountUnsent(-size)
		l.mu.Unlock()
		if !closing {
			continue
		}
		if rechecks < maxCloseRechecks && l.activeSinceClose() {
			rechecks++
			time.Sleep(closeRecheckInterval)
			l.signal()
			continue
		}
		l.shutdownAndLinger()
		break
	}
}

// Input that arrives while a connection is closing is read and answered before the write side is shut down, for at most
// this long in total, as a peer that keeps sending could delay the close.
const closeRecheckInterval, maxCloseRechecks = time.Millisecond, 30

// activeSinceClose reports whether input has arrived, or output was queued, since the close was requested: on a slow
// machine that may be long ago.
func (l *link) activeSinceClose() bool {
	if !l.gracefulClose {
		return false
	}
	l.mu.Lock()
	pending, closed := len(l.pending) > 0, l.connClosed
	l.mu.Unlock()
	return !closed && (pending || l.hasUnread())
}

// lingerTimeout is how long input is still read after the write side was shut down, for a peer that has not noticed:
// hundreds of round trips.
const lingerTimeout = 500 * time.Millisecond

// shutdownAndLinger protects answers that are still on their way, here or in the peer's kernel: closing a connection with
// unread input resets it, and answers may be lost with it when the peer sends at the moment of the close. The write side
// is shut down, and input is read and discarded until the peer closes or the linger time is over.
func (l *link) shutdownAndLinger() {
	defer l.c.lingeringConns.Add(-1)
	if l.c.lingeringConns.Add(1) > int64(maxLingering(l.c.cfg)) && !l.c.exiting.Load() || !l.gracefulClose {
		return
	}
	l.mu.Lock()
	conn, ok := l.conn.(netpoll.Conn)
	if l.writeShut = true; l.onShutdown != nil {
		l.onShutdown()
	}
	// The descriptor is still open, as markClosed was not called.
	ok = ok && !l.connClosed && syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) == nil
	l.mu.Unlock()
	if !ok {
		return
	}
	timeout := time.NewTimer(lingerTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-timeout.C:
			return
		case <-l.wake:
			l.mu.Lock()
			closed := l.connClosed
			l.mu.Unlock()
			if closed {
				return
			}
		}
	}
}

// isShutOrClosed reports whether the write side is shut down or the connection is closed.
func (l *link) isShutOrClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeShut || l.connClosed
}

// handOver passes pending messages to netpoll, which keeps references. It holds the link's own lock meanwhile, because
// the buffers are freed after the close callbacks, which call markClosed.
func (l *link) handOver() (size int, flushed []func(), closing, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connClosed {
		return 0, nil, false, true
	}
	remaining := l.pending[:0]
	for now, i := l.c.clock(), 0; i < len(l.pending); i++ {
		m := l.pending[i]
		if m.sendBy > 0 && now >= m.sendBy {
			remaining = append(remaining, m)
			continue
		}
		if m.sentAt != nil {
			m.sentAt.Store(int64(now))
		}
		size += m.size()
		for _, part := range m.parts {
			_, _ = l.conn.Writer().WriteBinary(part)
		}
	}
	clear(l.pending[len(remaining):])
	flushed = l.onFlushed
	l.pending, l.onFlushed, l.lastWritten = remaining, nil, l.lastQueued
	return size, flushed, l.closing, false
}

// partialAge returns how long a message has been arriving, 0 for none.
func (l *link) partialAge(now time.Duration) time.Duration {
	if since := l.partialSince.Load(); since > 0 {
		return now - time.Duration(since)
	}
	return 0
}

// arrivalAges returns how long a message has been arriving, 0 for none, and how long ago bytes last arrived.
func (l *link) arrivalAges(now time.Duration) (partial, idle time.Duration) {
	return l.partialAge(now), now - time.Duration(l.lastReadAt.Load())
}

// maxIdleBuffer is the size up to which the beginning of a message is kept without a look at what other connections hold,
// but for those of clients on small machines; see smallBuffer.
const maxIdleBuffer = 16 << 10

// maxReadBytes is how much input is handled at once: the calls of all its messages, which may be small and many, are kept
// in memory.
const maxReadBytes = 64 << 10

// unreadMemoryDivisor limits the input that may wait on one connection to this part of the memory: what arrived before
// netpoll was held back.
const unreadMemoryDivisor = 32

// errMemory is returned where input would take too much memory.
var errMemory = errors.New("too much is being sent at once")

// readMessages handles input, a bounded piece at a time: netpoll calls again at once while anything is left. parse parses
// one message in place and returns its size, 0 if it is incomplete, and the call to make for it. All calls are made under
// one hold of the controller's lock, before the bytes are released: once the calls begin, nothing of what was read counts
// as unread. After an error nothing more is read on the connection.
func (l *link) readMessages(parse func(data []byte) (call func(), size int, err error)) (err error) {
	l.readWaiting.Store(true)
	defer l.readWaiting.Store(false)
	reader := l.conn.Reader()
	if l.discardInput.Load() {
		l.handledBytes.Add(int64(reader.Len()))
		return errors.Join(reader.Skip(reader.Len()), reader.Release())
	}
	defer func() {
		if err != nil {
			l.discardInput.Store(true)
			l.keepPartial(nil)
		}
	}()
	if int64(reader.Len()) > l.c.cfg.MemoryMB<<20/unreadMemoryDivisor {
		return errMemory
	}
	data, err := reader.Next(min(reader.Len(), maxReadBytes))
	if err != nil {
		return err
	}
	read := len(data)
	l.lastReadAt.Store(int64(l.c.clock()))
	if len(l.partial) > 0 {
		l.partial = append(l.partial, data...)
		data = l.partial
	}
	var calls []func()
	size, consumed := 0, false
	if l.skipped.rest > 0 {
		var call func()
		if data, call = l.skipped.skip(data); call != nil {
			calls, consumed = append(calls, call), true
		}
	}
	for len(data) > 0 {
		var call func()
		if call, size, err = parse(data); err != nil || size == 0 {
			break
		}
		calls = append(calls, call)
		data, consumed = data[size:], true
	}
	l.handleInput(read, calls)
	if len(data) == 0 && l.skipped.rest == 0 {
		l.partialSince.Store(0)
	} else if consumed || l.partialSince.Load() == 0 {
		l.partialSince.Store(int64(l.c.clock()))
	}
	if consumed {
		l.reservedBytes = 0
	}
	l.keepPartial(data)
	_ = reader.Release()
	if err == nil {
		err = l.limitPartial()
	}
	return err
}

// handleInput counts bytes as handled and makes the calls for the messages in them.
func (l *link) handleInput(read int, calls []func()) {
	if len(calls) == 0 && !l.inputAwaited.Load() {
		l.handledBytes.Add(int64(read))
		return
	}
	l.c.withLock(func() {
		l.readWaiting.Store(false)
		l.handledBytes.Add(int64(read))
		if l.onInputBegins != nil {
			l.onInputBegins()
		}
		for _, call := range calls { // a panic in one message must not lose those behind it
			l.c.runGuarded(call)
		}
		if l.onInputHandled != nil {
			l.onInputHandled()
		}
	})
}

// keepPartial keeps the beginning of an incomplete message, in little more memory than it needs, and accounts for it.
func (l *link) keepPartial(data []byte) {
	switch {
	case len(data) == 0 && cap(l.partial) > l.c.smallBuffer():
		l.partial = nil
	case l.reservedBytes > 0:
		l.partial = data // its buffer has room for the whole message
	case cap(l.partial) > max(maxIdleBuffer, 4*len(data)):
		l.partial = slices.Clone(data)
	default:
		l.partial = append(l.partial[:0], data...)
	}
	if l.ownLimit {
		return
	}
	accounted := 0
	if len(l.partial) > 0 {
		accounted = max(cap(l.partial), l.reservedBytes)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connClosed {
		l.c.connBytes.Add(int64(accounted - l.partialBytes))
		l.partialBytes = accounted
	}
}
