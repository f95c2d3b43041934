package controller

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// acceptor accepts client connections. netpoll's own listener is not used: it survives a lack of descriptors only the
// first time, as it can't remove its listener from a poll twice, and on other shortages it retries in a loop without a
// pause.
type acceptor struct {
	c       *Controller
	file    *os.File // the listening socket
	rawConn syscall.RawConn
	accept  func(listener int) (fd int, err error) // accept(2)
}

// listen starts to listen at an address. Close ends it.
func (c *Controller) listen(address string) (*acceptor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	file, err := tcp.File() // because the library itself can't accept without making a connection of its own
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &acceptor{c, file, raw, c.sys.accept}, nil
}

// Close stops listening and ends serve.
func (a *acceptor) Close() error { return a.file.Close() }

// After an error caused by a shortage in this system the next call follows a pause that doubles. Errors of connections
// that broke before they were accepted are skipped, up to a number of them in a row without a pause.
const (
	minAcceptPause = time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
	maxSkipped     = 64
)

// serve accepts connections until the listener is closed.
func (a *acceptor) serve() error {
	for pause, skipped := time.Duration(0), 0; ; {
		fd, errno, err := a.acceptNext()
		switch {
		case err != nil:
			return err
		case errno == nil:
			pause, skipped = 0, 0
			a.serveClient(fd)
			continue
		case isConnectionError(errno) && skipped < maxSkipped:
			skipped++
		default:
			skipped = 0
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
		}
		a.recordFailure(errno, pause)
		time.Sleep(pause)
	}
}

// acceptNext waits for a connection. errno is the error of accept(2), err an error of the listener itself.
func (a *acceptor) acceptNext() (fd int, errno, err error) {
	err = a.rawConn.Read(func(listener uintptr) (done bool) {
		fd, errno = a.accept(int(listener))
		return errno != syscall.EAGAIN
	})
	return fd, errno, err
}

// recordFailure counts and traces an error of accept(2).
func (a *acceptor) recordFailure(errno error, pause time.Duration) {
	a.c.withLock(func() {
		a.c.counts[acceptsFailed]++
		a.c.trace("accept failed", reason(errno.Error()), "pause", pause)
	})
}

// serveClient hands a connection to netpoll and to admission.
func (a *acceptor) serveClient(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // a failure only means that answers wait for others
	var conn netpoll.Connection
	var err error
	taken := false
	a.c.withLock(func() { // netpoll reads from the first moment on, so the callback must be set under the same lock
		if conn, err = netpoll.NewFDConnection(fd); err == nil {
			taken = a.c.addClient(conn) != nil
		}
	})
	if err != nil { // the descriptor is closed already
		a.recordFailure(err, 0)
		return
	}
	if !taken || !conn.IsActive() { // refused, or closed before there was a callback to report it
		_ = conn.Close()
	}
}

// isConnectionError reports whether an error of accept(2) is about the connection and not about this system: it was
// aborted, or Linux passes on a network error of it. The next connection may be sound.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT:
		return true
	}
	return false
}
