package controller

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// acceptor accepts clients' connections. netpoll's own listener is not used: of two lacks of descriptors it survives the first
// only, as it can't take its listener off a poll twice, and of other lacks none without asking in a loop without a pause.
type acceptor struct {
	c    *Controller
	file *os.File // the listening socket
	raw  syscall.RawConn
	take func(listener int) (fd int, err error) // accept(2)
}

// listen begins to listen at an address. Close ends it.
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
	file, err := tcp.File() // as the library's own gives no way to accept without a connection of its own
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &acceptor{c, file, raw, c.system.accept}, nil
}

// Close ends listening, and serve.
func (a *acceptor) Close() error { return a.file.Close() }

// After a call that failed for a lack in this system the next one comes after a pause that doubles. Connections that broke before
// they were accepted are passed over, some of them without a pause.
const (
	leastAcceptPause = time.Millisecond
	mostAcceptPause  = 200 * time.Millisecond
	mostPassedOver   = 64
)

// serve goes on until the listener is closed.
func (a *acceptor) serve() error {
	for pause, passed := time.Duration(0), 0; ; {
		fd, no, err := a.next()
		switch {
		case err != nil:
			return err
		case no == nil:
			pause, passed = 0, 0
			a.serveClient(fd)
			continue
		case isOfOneConnection(no) && passed < mostPassedOver:
			passed++
		default:
			passed = 0
			pause = min(max(2*pause, leastAcceptPause), mostAcceptPause)
		}
		a.failed(no, pause)
		time.Sleep(pause)
	}
}

// next waits for a connection. no is the error of accept(2), err one of the listener as a whole.
func (a *acceptor) next() (fd int, no, err error) {
	err = a.raw.Read(func(listener uintptr) (done bool) {
		fd, no = a.take(int(listener))
		return no != syscall.EAGAIN
	})
	return fd, no, err
}

func (a *acceptor) failed(no error, pause time.Duration) {
	a.c.do(func() {
		a.c.counts[acceptsFailed]++
		a.c.trace("accept failed", reason(no.Error()), "pause", pause)
	})
}

// serveClient hands a connection to netpoll and to admission.
func (a *acceptor) serveClient(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // without it answers wait for others, no more
	var conn netpoll.Connection
	var err error
	taken := false
	a.c.do(func() { // netpoll reads from the first moment, so nothing may come between that and the callback
		if conn, err = netpoll.NewFDConnection(fd); err == nil {
			taken = a.c.accept(conn) != nil
		}
	})
	if err != nil { // it is closed
		a.failed(err, 0)
		return
	}
	if !taken || !conn.IsActive() { // it has no place, or ended before there was a callback to tell
		_ = conn.Close()
	}
}

// isOfOneConnection tells an error of accept(2) that is about the connection, not about this system: it was broken off, or the
// network had an error for it that Linux hands over with it. The next one may be sound.
func isOfOneConnection(err error) bool {
	var no syscall.Errno
	if !errors.As(err, &no) {
		return false
	}
	switch no {
	case syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT:
		return true
	}
	return false
}
