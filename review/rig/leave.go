package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The leave case: clients send as many requests as a connection may carry and take them all back a moment later, all clients at once. Without
// the disruption they do so one after the other.
const (
	leaveClients  = 100
	leaveRequests = 32 // open requests that a connection may carry
	leaveBytes    = 8000
	leaveRounds   = 3
	leaveEvery    = 20 * time.Second // 160 requests a second
	leaveAfter    = 20 * time.Millisecond
	// An attempt that begins later than this after its client has gone breaks the rule; each time limit is 50 ms longer on sockets.
	goneGrace = 150 * time.Millisecond
)

func leaveCase(r *run) int {
	d := r.deploy(1, 4, settings(1), limits{1, 192, 1024})
	defer d.stop()
	lag := watchLag()
	for round := range leaveRounds {
		begun := time.Now()
		var all []*request
		var clients sync.WaitGroup
		for n := range leaveClients {
			var own []*request
			for i := range leaveRequests {
				own = append(own, &request{id: fmt.Sprintf("%04x%04x%08x", round, n, i), class: "lookup", wait: 5 * time.Second, cost: "100.0",
					statement: "select '" + strings.Repeat("x", leaveBytes) + "' from forms_1.status /* work=100 */"})
			}
			all = append(all, own...)
			clients.Add(1)
			play := func() {
				defer clients.Done()
				if c, err := dialClient(d.controllers[0].address); err == nil {
					for _, q := range own {
						if c.send(q) != nil {
							return
						}
					}
					time.Sleep(leaveAfter)
					c.takeBack(own)
				}
			}
			if r.trouble {
				go play()
			} else {
				play()
				time.Sleep(leaveEvery / 2 / leaveClients)
			}
		}
		clients.Wait()
		r.note("round %d: %d clients have each sent %d requests and taken back those without an answer, in %v", round+1, leaveClients,
			leaveRequests, time.Since(begun))
		time.Sleep(6 * time.Second)
		taken, late := r.countAfterLeaving(d, all, goneGrace+lag())
		if code := verdict(len(all), taken, late); code != held {
			return code
		}
		time.Sleep(leaveEvery - time.Since(begun))
	}
	return held
}

// watchLag returns a function that tells by how much this process has been late at most, which may delay what the stand-ins see.
func watchLag() func() time.Duration {
	var worst atomic.Int64
	go func() {
		for last := time.Now(); ; {
			time.Sleep(2 * time.Millisecond)
			now := time.Now()
			worst.Store(max(worst.Load(), int64(now.Sub(last)-2*time.Millisecond)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}

// countAfterLeaving records and returns how many requests were taken back, and how many attempts of these began at an engine longer than the
// grace after that.
func (r *run) countAfterLeaving(d *deployment, all []*request, grace time.Duration) (takenBack, late int) {
	var received int
	var longest time.Duration
	for _, q := range all {
		result := "answered before, or not sent"
		if q.client != nil && !q.takenBack.IsZero() {
			takenBack++
			result = "taken back"
			for _, e := range d.engines {
				e.mu.Lock()
				for _, at := range e.received[q.id] {
					received++
					if after := at.Sub(q.takenBack); after > grace {
						late++
						longest = max(longest, after)
						result = fmt.Sprintf("BROKEN: came to %s %v after it was taken back", e.name, after)
					}
				}
				e.mu.Unlock()
			}
		}
		r.note("%s", r.history(d, q, result))
	}
	text := fmt.Sprintf("%d requests were taken back; engines received %d attempts of these, %d of them over %v later, at most %v", takenBack, received,
		late, grace, longest)
	r.note("%s", text)
	fmt.Println(text)
	return takenBack, late
}
