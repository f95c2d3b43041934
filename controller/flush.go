package controller

import (
	"errors"
	"syscall"
	"time"
)

// A write that fails for want of something in this system, or as a signal came, is tried again after a pause that grows: closing
// the connection would lose what is to be answered on it. What is for a client may wait about as long as clients do; an attempt
// may not leave late, and has to be known as over soon.
const (
	leastFlushPause = time.Millisecond
	mostFlushPause  = 50 * time.Millisecond
	clientFlush     = 2 * time.Second
	engineFlush     = 50 * time.Millisecond
)

// writeTimeout is for one flush: a peer that takes nothing for so long would not read its answers in time.
const writeTimeout = 5 * time.Second

// flush hands all that netpoll holds of this connection to the socket. netpoll's own time limit for that is not used: as it passes,
// netpoll asks for the address of the peer, which an accepted connection made of a descriptor does not have.
func (l *link) flush() error {
	l.overdue.Reset(writeTimeout)
	defer l.overdue.Stop()
	most := engineFlush
	if l.shut {
		most = clientFlush
	}
	for pause, waited := leastFlushPause, time.Duration(0); ; pause = min(2*pause, mostFlushPause) {
		err := l.c.system.flush(l.conn)
		if err == nil || !isPassing(err) || waited >= most {
			return err
		}
		l.c.do(func() {
			l.c.counts[writesAgain]++
			l.c.trace("write again", reason(err.Error()), "pause", pause)
		})
		time.Sleep(pause)
		waited += pause
	}
}

// isPassing tells an error of sendmsg(2) that says nothing about the connection.
func isPassing(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
