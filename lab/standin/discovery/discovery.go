// Package discovery is a stand-in for the discovery service. It serves numbered events over HTTP on a loopback address by long
// polling: a request is answered at once when there are newer events, else when one is added or the wait has passed.
package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Host is an entry of the engine list. Health is "active", "leaving" or "left". Born is the time of a recent start in Unix
// milliseconds, or 0 for an engine that started long ago.
type Host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// Discovery is a stand-in discovery service. Its methods are safe for concurrent use.
type Discovery struct {
	listener, secondListener net.Listener // secondListener is nil until SecondAddress is called

	mu           sync.Mutex
	conns        map[net.Conn]bool
	events       []json.RawMessage
	updated      chan struct{} // closed and replaced when an event is added
	requestTimes []time.Time   // arrival times of the latest requests
	silent       bool
	resumed      chan struct{} // closed when silent ends
}

// Start starts a service that listens on address; port 0 picks a free port.
func Start(address string) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{listener: listener, updated: make(chan struct{}), conns: map[net.Conn]bool{}}
	go d.accept(listener)
	return d, nil
}

func (d *Discovery) accept(listener net.Listener) {
	for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
		d.mu.Lock()
		d.conns[conn] = true
		d.mu.Unlock()
		go d.serve(conn)
	}
}

// SecondAddress returns a second address that serves the same events. It returns the first address if no second one can be opened.
func (d *Discovery) SecondAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.secondListener == nil {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return d.Address()
		}
		d.secondListener = listener
		go d.accept(listener)
	}
	return d.secondListener.Addr().String()
}

// Address returns the address that the service listens on.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// RequestTimes returns when the latest requests arrived, relative to from.
func (d *Discovery) RequestTimes(from time.Time) (offsets []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.requestTimes {
		offsets = append(offsets, t.Sub(from))
	}
	return offsets
}

// Close stops the service and closes its connections.
func (d *Discovery) Close() {
	_ = d.listener.Close()
	d.SetSilent(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.secondListener != nil {
		_ = d.secondListener.Close()
	}
	for conn := range d.conns {
		_ = conn.Close()
	}
}

// serve answers the requests of one connection. It parses HTTP itself because net/http would take memory in every controller
// process, as controllers run from the same binary.
func (d *Discovery) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}()
	for reader := textproto.NewReader(bufio.NewReader(conn)); ; {
		requestLine, err := reader.ReadLine()
		if err != nil {
			return
		}
		if _, err := reader.ReadMIMEHeader(); err != nil {
			return
		}
		status, body := "400 Bad Request", []byte("GET /v1/events?SUB=N&wait=MS is wanted")
		if words := strings.Fields(requestLine); len(words) == 3 && words[0] == "GET" {
			if response := d.handleRequest(words[1]); response != nil {
				status, body = "200 OK", response
			}
		}
		header := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, len(body))
		if _, err := conn.Write(append([]byte(header), body...)); err != nil {
			return
		}
	}
}

// SetSilent makes the service accept requests without answering them while silent is true. Requests held meanwhile are answered when it
// ends.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silent && !d.silent {
		d.resumed = make(chan struct{})
	} else if !silent && d.silent {
		close(d.resumed)
	}
	d.silent = silent
}

// waitWhileSilent blocks until the service is not silent.
func (d *Discovery) waitWhileSilent() {
	d.mu.Lock()
	silent, resumed := d.silent, d.resumed
	d.mu.Unlock()
	if silent {
		<-resumed
	}
}

// Publish adds an event: the complete list if complete is true, else the hosts that changed.
func (d *Discovery) Publish(complete bool, hosts ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := len(d.events) + 1
	event, err := json.Marshal(map[string]any{"n": number, "members": map[string]any{"seq": number, "whole": complete, "hosts": hosts}})
	if err != nil {
		panic(err) // strings, numbers and booleans always marshal
	}
	d.events = append(d.events, event)
	close(d.updated)
	d.updated = make(chan struct{})
}

// EventsAfter returns the events after number lastSeen as JSON, in the format of a response and of "known" in a controller's configuration.
func (d *Discovery) EventsAfter(lastSeen int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.eventsAfter(lastSeen)
}

func (d *Discovery) eventsAfter(lastSeen int) json.RawMessage {
	text, _ := json.Marshal(map[string]any{"n": len(d.events), "events": d.events[min(max(lastSeen, 0), len(d.events)):]})
	return text
}

// maxRequestTimes is how many arrival times are kept at least: enough for hundreds of controllers over some minutes.
const maxRequestTimes = 100_000

// maxWait is the longest wait of a request that the protocol allows.
const maxWait = 5 * time.Second

// handleRequest returns the response to a request target, after waiting for newer events, or nil for an invalid request.
func (d *Discovery) handleRequest(target string) []byte {
	request, err := url.Parse(target)
	if err != nil || request.Path != "/v1/events" {
		return nil
	}
	lastSeen, err := strconv.Atoi(request.Query().Get("SUB"))
	waitMS, waitErr := strconv.Atoi(request.Query().Get("wait"))
	if err != nil || waitErr != nil || waitMS < 0 {
		return nil
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	d.mu.Lock()
	if d.requestTimes = append(d.requestTimes, time.Now()); len(d.requestTimes) > 2*maxRequestTimes {
		d.requestTimes = slices.Clone(d.requestTimes[maxRequestTimes:])
	}
	updated := d.updated
	upToDate := len(d.events) <= lastSeen
	d.mu.Unlock()
	if upToDate {
		select {
		case <-updated:
		case <-timeout:
		}
	}
	d.waitWhileSilent()
	return d.EventsAfter(lastSeen)
}
