package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// feed is the control feed: numbered events over HTTP, by long polling.
type feed struct {
	r       *rig
	address string
	mu      sync.Mutex
	events  []json.RawMessage
	changed chan struct{}
	fault   int // -1: none, 0: calls are not answered, 1: answers break off, 2: connections are refused or reset at once
	onTold  func(upTo int)
	server  *http.Server
}

func (f *feed) setFault(kind int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = kind
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.events)
}

// move has the feed answer at a new address; the old one takes no new connection, tells nothing more, and closes after a while.
func (f *feed) move(closesAfter time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f.address
	}
	old := f.server
	f.mu.Lock()
	f.address = l.Addr().String()
	f.mu.Unlock()
	f.serve(l)
	time.AfterFunc(closesAfter, func() { _ = old.Close() })
	return f.address
}

func (f *feed) serve(l net.Listener) {
	address := l.Addr().String()
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { f.handle(address, w, q) })}
	go func(s *http.Server) { _ = s.Serve(l) }(f.server)
}

type host struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Share  int    `json:"share"`
	Born   int64  `json:"born_ms"`
}

func (r *rig) newFeed(hosts ...host) *feed {
	f := &feed{r: r, changed: make(chan struct{}), fault: -1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("feed: %v", err)
	}
	f.address = l.Addr().String()
	f.publish(true, hosts...)
	f.serve(l)
	return f
}

func (f *feed) publish(whole bool, hosts ...host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	raw, _ := json.Marshal(settings{"n": n, "members": settings{"seq": n, "whole": whole, "hosts": hosts}})
	f.events = append(f.events, raw)
	close(f.changed)
	f.changed = make(chan struct{})
	f.r.logf("feed: event %d: %s", n, raw)
}

func (f *feed) after(n int) (json.RawMessage, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = min(max(n, 0), len(f.events))
	list := append([]json.RawMessage{}, f.events[n:]...)
	raw, _ := json.Marshal(settings{"n": len(f.events), "events": list})
	return raw, len(list) > 0, f.changed
}

func (f *feed) known() json.RawMessage {
	raw, _, _ := f.after(0)
	return raw
}

func (f *feed) handle(address string, w http.ResponseWriter, q *http.Request) {
	n, _ := strconv.Atoi(q.URL.Query().Get("SUB"))
	ms, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	until := time.After(time.Duration(min(ms, 5000)) * time.Millisecond)
	over := false
	for {
		raw, some, changed := f.after(n)
		f.mu.Lock()
		fault, moved := f.fault, f.address != address
		f.mu.Unlock()
		switch {
		case moved || fault == 0:
		case fault == 2:
			panic(http.ErrAbortHandler)
		case (some || over) && fault == 1:
			w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
			_, _ = w.Write(raw[:len(raw)*2/3])
			panic(http.ErrAbortHandler)
		case some || over:
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
			if f.onTold != nil {
				var told struct{ N int }
				_ = json.Unmarshal(raw, &told)
				f.onTold(told.N)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-until:
			over = true
			until = nil
		}
	}
}

// smallSettings are settings like those of a small deployment with one controller.
func smallSettings(classes []settings, widths []int) settings {
	return settings{
		"balancers": 1, "rank": 0, "zone": "east", "tick": 5_000_000, "discovery": "pushed", "classes": classes,
		"machine_types": []string{"std"},
		"family_info": settings{"kind_cores": []int{8}, "ram_of_kind_mb": []int{16384}, "width_by_class": widths, "grants_count": true,
			"grant_cap": 0.4, "out_of_memory": "swap"},
		"load_report": settings{"columns": []string{"util"}},
		"permissions": settings{"connect_timeout": 250_000_000, "idle_close": 15_000_000_000, "max_attempts": 3,
			"max_retry_after": 1_000_000_000, "may_cancel": true, "probes": true, "retry_after": true, "streams_per_conn": 32, "open_cap": 20000},
		"safety": settings{"cold": 15_000_000_000, "fall": 2_000_000_000, "start_capacity": 0.31, "tip_multiple": 3, "drain_grace": 2_000_000_000,
			"budget_window": 10_000_000_000, "extra_floor": 2, "extra_per_request": 0.2},
	}
}

// lookups is a class that may run again.
func lookups() settings {
	return settings{"name": "lookup", "aim": 1_200_000_000, "aim_stretch": 2, "deadline": 6_000_000_000, "gain": 1, "late_worth": 0.3,
		"repeat": "retryable"}
}
