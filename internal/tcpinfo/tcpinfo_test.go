package tcpinfo

import (
	"net"
	"testing"
	"time"
)

// waitFor reads a connection's info until the condition holds.
func waitFor(t *testing.T, conn *net.TCPConn, condition func(Info) bool) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info Info
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if controlErr := raw.Control(func(fd uintptr) { info, err = Read(int(fd)) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		if condition(info) {
			return
		}
	}
	t.Fatalf("%+v", info)
}

// TestRead follows a connection: bytes count as received before they are read, and stay counted after.
func TestRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	far := accepted.(*net.TCPConn)
	waitFor(t, far, func(i Info) bool { return i.State == Established && !i.State.PeerClosed() && i.BytesReceived == 0 })
	if _, err := near.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, far, func(i Info) bool { return i.BytesReceived == 1000 })
	if n, err := far.Read(make([]byte, 400)); n != 400 || err != nil {
		t.Fatal(n, err)
	}
	waitFor(t, far, func(i Info) bool { return i.BytesReceived == 1000 })
	near.Close()
	waitFor(t, far, func(i Info) bool { return i.State.PeerClosed() && i.BytesReceived == 1001 })
}

// TestReadError: a descriptor that is no connection is an error.
func TestReadError(t *testing.T) {
	if _, err := Read(-1); err == nil {
		t.Error("no error")
	}
}
