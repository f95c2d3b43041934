// Package feed is a stand-in for the control feed: numbered events over HTTP on a loopback address, answered at once
// when there are newer ones and else when the wait is over.
package feed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an engine as the list tells of it. Health is active, leaving or left; Born is the Unix millisecond of a late
// start, or 0.
type Host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// Feed is one stand-in. Its methods may be called from anywhere.
type Feed struct {
	ln     net.Listener
	server http.Server

	mu     sync.Mutex
	events []json.RawMessage
	newer  chan struct{} // closed when there are more
	calls  int
}

// Start listens on an address; port 0 picks one.
func Start(address string) (*Feed, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in feed: %w", err)
	}
	f := &Feed{ln: ln, newer: make(chan struct{})}
	f.server.Handler = http.HandlerFunc(f.answer)
	go func() { _ = f.server.Serve(ln) }()
	return f, nil
}

// Address is where it listens.
func (f *Feed) Address() string { return f.ln.Addr().String() }

// Close ends it, with all calls.
func (f *Feed) Close() { _ = f.server.Close() }

// Tell adds an event: the whole list, or what changed.
func (f *Feed) Tell(whole bool, hosts ...Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	event, err := json.Marshal(map[string]any{"n": n, "members": map[string]any{"seq": n, "whole": whole, "hosts": hosts}})
	if err != nil {
		panic(err) // strings and numbers always go
	}
	f.events = append(f.events, event)
	close(f.newer)
	f.newer = make(chan struct{})
}

// Since is the text of the events behind a number, as known in a configuration.
func (f *Feed) Since(last int) json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(last)
}

func (f *Feed) since(last int) json.RawMessage {
	raw, _ := json.Marshal(map[string]any{"n": len(f.events), "events": f.events[min(max(last, 0), len(f.events)):]})
	return raw
}

// mostWait is the protocol's.
const mostWait = 5 * time.Second

func (f *Feed) answer(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.Atoi(r.URL.Query().Get("SUB"))
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait"))
	if r.URL.Path != "/v1/events" || err != nil || err2 != nil || wait < 0 {
		http.Error(w, "GET /v1/events?SUB=N&wait=MS is wanted", http.StatusBadRequest)
		return
	}
	late := time.After(min(time.Duration(wait)*time.Millisecond, mostWait))
	f.mu.Lock()
	f.calls++
	newer := f.newer
	waits := len(f.events) <= last
	f.mu.Unlock()
	if waits {
		select {
		case <-newer:
		case <-late:
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write(f.Since(last))
}
