package controller

import (
	"errors"
	"syscall"
	"time"
)

// A write that fails for lack of a resource in this system, or was interrupted by a signal, is retried after a pause that
// grows: closing the connection would lose the answers that are due on it. Output to a client may wait about as long as
// clients do; an attempt must not be sent late and has to be reported as over soon.
const (
	minFlushPause     = time.Millisecond
	maxFlushPause     = 50 * time.Millisecond
	clientFlushBudget = 2 * time.Second
	engineFlushBudget = 50 * time.Millisecond
)

// writeTimeout bounds one flush: a peer that reads nothing for so long would not read its answers in time.
const writeTimeout = 5 * time.Second

// flush writes everything that netpoll holds for this connection to the socket. netpoll's own write timeout is not used:
// when it expires, netpoll asks for the peer's address, which an accepted connection made from a descriptor does not
// have.
func (l *link) flush() error {
	l.writeTimer.Reset(writeTimeout)
	defer l.writeTimer.Stop()
	budget := engineFlushBudget
	if l.gracefulClose {
		budget = clientFlushBudget
	}
	for pause, waited := minFlushPause, time.Duration(0); ; pause = min(2*pause, maxFlushPause) {
		err := l.c.sys.flush(l.conn)
		if err == nil || !isTransient(err) || waited >= budget {
			return err
		}
		l.c.withLock(func() {
			l.c.counts[writesRetried]++
			l.c.trace("write again", reason(err.Error()), "pause", pause)
		})
		time.Sleep(pause)
		waited += pause
	}
}

// isTransient reports whether an error of sendmsg(2) says nothing about the connection.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
