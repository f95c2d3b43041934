// Package status serves the state of a running instance as JSON on a local Unix socket, and reads it from there.
package status

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// connectionTimeout limits a connection attempt, and each exchange on a connection.
const connectionTimeout = 2 * time.Second

// Serve listens on a Unix socket at path and answers each connection with the JSON encoding of what snapshot returns, until the
// listener is closed. It replaces a stale socket that an earlier process left behind, and fails if another process serves it.
// The socket's mode is set to 0600.
func Serve(path string, snapshot func() any) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, connectionTimeout); err == nil {
		conn.Close()
		return nil, fmt.Errorf("status socket %s is in use by another process", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("status socket: %w", err)
	}
	_ = os.Chmod(path, 0o600)
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil {
				time.Sleep(10 * time.Millisecond) // the process may be out of file descriptors for the moment
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(connectionTimeout))
			_ = json.NewEncoder(conn).Encode(snapshot()) // one connection at a time, so that status requests cost little
			conn.Close()
		}
	}()
	return listener, nil
}

// Query connects to the status socket of a running instance and decodes its state into dst.
func Query(path string, dst any) error {
	conn, err := net.DialTimeout("unix", path, connectionTimeout)
	if err != nil {
		return fmt.Errorf("status socket: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connectionTimeout))
	return json.NewDecoder(conn).Decode(dst)
}
