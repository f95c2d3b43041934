// Package status tells on a local socket what a running instance knows, as JSON, to whoever may open it.
package status

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// patience is for one answer.
const patience = 2 * time.Second

// Serve answers each connection with what tell gives, until the listener is closed. A socket that a process before left
// behind is replaced, one that somebody serves is not.
func Serve(path string, tell func() any) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, patience); err == nil {
		conn.Close()
		return nil, fmt.Errorf("status socket %s: another process serves it", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("status socket: %w", err)
	}
	_ = os.Chmod(path, 0o600)
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil {
				time.Sleep(10 * time.Millisecond) // descriptors are short for the moment
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(patience))
			_ = json.NewEncoder(conn).Encode(tell()) // one at a time, so that asking costs little
			conn.Close()
		}
	}()
	return ln, nil
}

// Ask reads what an instance tells.
func Ask(path string, into any) error {
	conn, err := net.DialTimeout("unix", path, patience)
	if err != nil {
		return fmt.Errorf("status socket: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	return json.NewDecoder(conn).Decode(into)
}
