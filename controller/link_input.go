package controller

import (
	"syscall"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/internal/tcpinfo"
)

// This file tells what a peer has sent that was not handled yet. The kernel's count of bytes received is compared with the
// bytes handled, as input has no other trace while netpoll has read it and not yet offered it.

// receivedInput is what the kernel tells about the input of a connection.
type receivedInput struct {
	// the peer has closed the connection or its side of it, even if this process has not noticed yet and unread bytes
	// precede the close
	closed bool
	unread bool // not all input was handled
}

// received asks the kernel about the input of a connection. An error of the kernel counts as neither.
func (l *link) received() receivedInput {
	if info, ok := l.tcpInfo(); ok {
		unread := info.BytesReceived - uint64(l.handledBytes.Load())
		closed := info.State.PeerClosed()
		if closed && unread > 0 {
			unread-- // the end of the stream
		}
		return receivedInput{closed, unread > 0}
	}
	closed, inKernel := l.peekInput()
	return receivedInput{closed, inKernel || l.readWaiting.Load() || l.conn.Reader().Len() > 0}
}

// tcpInfo returns what the kernel knows about a connection. ok is false if the kernel doesn't count the bytes, and then
// it is not asked again.
func (l *link) tcpInfo() (info tcpinfo.Info, ok bool) {
	conn, ok := l.conn.(netpoll.Conn)
	if !ok || l.bytesNotCounted.Load() {
		return info, false
	}
	handled := uint64(l.handledBytes.Load()) // before the kernel's count, which only grows
	info, err := tcpinfo.Read(conn.Fd())
	if err == nil && info.BytesReceived < handled {
		l.bytesNotCounted.Store(true)
	}
	return info, err == nil && info.BytesReceived > 0 && info.BytesReceived >= handled
}

// peekInput looks into the kernel's buffer, for a system that doesn't count received bytes.
func (l *link) peekInput() (closed, inKernel bool) {
	conn, ok := l.conn.(netpoll.Conn)
	if !ok {
		return false, false
	}
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(conn.Fd(), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil && n > 0 {
		info, err := tcpinfo.Read(conn.Fd())
		return err == nil && info.State.PeerClosed(), true
	}
	return err == nil || err == syscall.ECONNRESET, false
}

// hasUnread reports whether input has arrived that was not handled.
func (l *link) hasUnread() bool { return l.received().unread }
