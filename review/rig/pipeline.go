package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The pipeline case: after a quiet time, sound clients send as many requests as a connection may carry, one behind the other. Without the
// disruption the same clients send the same requests in as much time, evenly.
const (
	pipelineControllers = 1
	pipelineClients     = 150 // of each controller, at a time
	pipelineRequests    = 32  // open requests that a connection may carry
	pipelineBytes       = 2000
	pipelineRounds      = 6
	pipelineEvery       = 14 * time.Second // 343 requests a second
	pipelineWait        = 5 * time.Second  // of the class's 6 s
	// After a client's time, an answer is late for half a second and lost from then on; each time limit is 50 ms longer on sockets.
	lostAfter = 550 * time.Millisecond
)

func pipelineCase(r *run) int {
	d := r.deploy(pipelineControllers, 4, settings(pipelineControllers), limits{1, 192, 1024})
	defer d.stop()
	filler := strings.Repeat("x", pipelineBytes)
	for round := range pipelineRounds {
		begun := time.Now()
		var all []*request
		var senders sync.WaitGroup
		for rank, p := range d.controllers {
			for n := range pipelineClients {
				var own []*request
				for i := range pipelineRequests {
					own = append(own, &request{id: fmt.Sprintf("%02x%02x%04x%08x", round, rank, n, i), class: "lookup", wait: pipelineWait,
						cost: "100.0", statement: "select '" + filler + "' from forms_1.status /* work=100 */"})
				}
				all = append(all, own...)
				senders.Add(1)
				go func() {
					defer senders.Done()
					pipelineSend(r, p, own)
				}()
			}
		}
		senders.Wait()
		r.note("round %d: for each controller, %d clients have each sent %d requests in %v", round+1, pipelineClients, pipelineRequests,
			time.Since(begun))
		awaitAnswers(all, pipelineWait+time.Second)
		taken, lost := r.countAnswers(d, all)
		if code := verdict(len(all), taken, lost); code != held {
			return code
		}
		time.Sleep(pipelineEvery - time.Since(begun))
	}
	return held
}

// pipelineSend is one client.
func pipelineSend(r *run, p *process, own []*request) {
	c, err := dialClient(p.address)
	if err != nil {
		r.note("a client could not connect: %v", err)
		return
	}
	for _, q := range own {
		err := c.send(q)
		if err != nil && q.client == nil { // the connection takes no new requests
			if c, err = dialClient(p.address); err == nil {
				err = c.send(q)
			}
		}
		if err != nil {
			return
		}
		if !r.trouble {
			time.Sleep(pipelineEvery / 2 / pipelineRequests)
		}
	}
}
