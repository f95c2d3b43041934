package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The burst case: sound clients, each with a request that is being run, send one request with a long statement each at the same moment.
// Without the disruption they send the same requests one after the other.
const (
	burstClients = 160
	burstBytes   = 250_000          // a frame may have 262,144
	burstWait    = 16 * time.Second // of the class's 20 s
)

func burstCase(r *run) int {
	d := r.deploy(1, 8, settings(1), limits{1, 64, 512})
	defer d.stop()
	var clients []*client
	var all []*request
	for n := range burstClients {
		c, err := dialClient(d.controllers[0].address)
		must(err)
		clients = append(clients, c)
		q := &request{id: fmt.Sprintf("00000001%08x", n), class: "lookup", wait: 5 * time.Second, cost: "3500.0",
			statement: "select state from forms_1.status /* work=3500 */"}
		must(c.send(q))
		all = append(all, q)
	}
	time.Sleep(time.Second)
	r.note("the clients' connections are up, with a request open on each")
	long := strings.Repeat("x", burstBytes)
	var senders sync.WaitGroup
	for n, c := range clients {
		q := &request{id: fmt.Sprintf("00000002%08x", n), class: "load", once: fmt.Sprintf("%032x", n), wait: burstWait, cost: "20.0",
			statement: "insert into forms_1.uploads values ('" + long + "') /* work=20 */"}
		all = append(all, q)
		if !r.trouble {
			_ = c.send(q)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			_ = c.send(q)
		}()
	}
	senders.Wait()
	r.note("each of %d clients has sent a request of %d bytes", burstClients, burstBytes)
	awaitAnswers(all, burstWait+2*time.Second)
	taken, lost := r.countAnswers(d, all)
	return verdict(len(all), taken, lost)
}
