package controller

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// systemCalls holds the calls to Linux that may fail. Tests replace them.
type systemCalls struct {
	accept    func(listener int) (fd int, err error)                            // accept(2), without blocking
	connect   func(context.Context, netip.AddrPort) (netpoll.Connection, error) // to engines and discovery
	flush     func(netpoll.Connection) error                                    // sendmsg(2) until all queued output is sent
	wallClock func() time.Duration                                              // Unix time
}

// linuxCalls returns the real system calls.
func linuxCalls() systemCalls {
	return systemCalls{accept: acceptConnection, connect: dialTCP, flush: flushConnection, wallClock: wallClock}
}

// acceptConnection takes a waiting connection as a non-blocking descriptor that child processes do not inherit.
func acceptConnection(listener int) (fd int, err error) {
	fd, _, err = syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return fd, err
}

// dialTCP opens a connection that netpoll reads.
func dialTCP(ctx context.Context, address netip.AddrPort) (netpoll.Connection, error) {
	conn, err := netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{TCPAddr: *net.TCPAddrFromAddrPort(address)})
	if err != nil { // a typed nil in the interface would not equal nil
		return nil, err
	}
	return conn, nil
}

func flushConnection(conn netpoll.Connection) error { return conn.Writer().Flush() }
