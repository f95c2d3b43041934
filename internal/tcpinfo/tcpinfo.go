// Package tcpinfo reads what Linux knows about a TCP connection (TCP_INFO of tcp(7), struct tcp_info of linux/tcp.h).
package tcpinfo

import (
	"encoding/binary"
	"syscall"
	"unsafe"
)

// State is the state of a connection, by the numbers of the kernel's tcp_states.h.
type State byte

// The states that callers ask for.
const (
	Established State = 1
	timeWait    State = 6
	closed      State = 7
	closeWait   State = 8
	lastAck     State = 9
	closing     State = 11
)

// PeerClosed reports whether the peer has closed its side, or the connection has ended.
func (s State) PeerClosed() bool {
	switch s {
	case timeWait, closed, closeWait, lastAck, closing:
		return true
	}
	return false
}

// Info is part of what the kernel knows about a connection.
type Info struct {
	State State
	// BytesReceived counts all bytes that have arrived in order, whether or not they were read. The end of the stream
	// counts as one. It is 0 where the kernel does not tell.
	BytesReceived uint64
}

// Offsets in struct tcp_info.
const (
	stateOffset         = 0
	bytesReceivedOffset = 128
	infoSize            = bytesReceivedOffset + 8
)

// Read asks the kernel about the connection of a descriptor. The error is that of getsockopt(2).
func Read(descriptor int) (Info, error) {
	var raw [infoSize]byte
	size := uint32(len(raw))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(descriptor), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&raw)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return Info{}, errno
	}
	info := Info{State: State(raw[stateOffset])}
	if size >= infoSize {
		info.BytesReceived = binary.NativeEndian.Uint64(raw[bytesReceivedOffset:])
	}
	return info, nil
}
