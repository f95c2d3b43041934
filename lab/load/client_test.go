package load

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestCrossed: a job is sent on an open connection and refused on one that the peer has closed, whether or not the client has read the
// end of the stream yet. Otherwise a job that the peer never read would count as lost.
func TestCrossed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := client.Send(Job{ID: "1", Wait: time.Second}, func(Answer, error) {}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	client.mu.Lock() // the client cannot process the end of the stream meanwhile
	if client.closedByPeer() {
		t.Error("closedByPeer is true while the connection is open")
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); !client.closedByPeer() && time.Now().Before(deadline); {
	}
	client.mu.Unlock()
	if err := client.Send(Job{ID: "2", Wait: time.Second}, nil); err == nil || !errors.Is(err, ErrClosedBeforeSent) && !errors.Is(err, io.EOF) {
		t.Error("Ask on a connection that the peer has closed: want ErrCrossed or EOF, got", err)
	}
}
