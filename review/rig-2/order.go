package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["order"] = order }

const keyRest = 300 * time.Millisecond

// order plays a spoilt answer on a connection that also carries a load of a key, with a second load of that key held behind it.
// The rule: after a time-out, reset or cancel a key rests for keyRest before anything is sent for it.
func order(r *rig) {
	const slack = 50 * time.Millisecond
	var mu sync.Mutex
	arrived, spoil := 0, map[string]bool{}
	onServe := func(j *job) {
		mu.Lock()
		arrived++
		mu.Unlock()
		r.logf("%s: serve %s class=%s %q on connection %d", j.engine.name, j.id, j.fields["class"], j.body, j.conn.number)
		work := 3 * time.Second
		if j.fields["class"] == "meter-load" {
			work = 2 * time.Second
		}
		for end := time.Now().Add(work); time.Now().Before(end); {
			if !j.run(5 * time.Millisecond) {
				return
			}
			mu.Lock()
			bad := spoil[j.id]
			mu.Unlock()
			if bad && j.end("spoilt answer") {
				r.logf("%s: the answer to %s is noise, on connection %d", j.engine.name, j.id, j.conn.number)
				j.conn.raw("#?!~ noise\r\n")
				return
			}
		}
		j.serveRows(j.id+"\tserved\tc\n", work)
	}
	var hosts []host
	var engines []*engine
	for i := range 8 {
		e := r.newEngine(fmt.Sprintf("s-%d", i+1), onServe)
		engines = append(engines, e)
		hosts = append(hosts, host{Host: e.name, Dial: e.address, Site: "east", Class: "std", Health: "active", Share: 1})
	}
	f := r.newFeed(hosts...)
	reports := settings{"name": "report", "aim": 3_000_000_000, "aim_stretch": 2, "deadline": 20_000_000_000, "gain": 4, "late_worth": 0.5,
		"repeat": "retryable"}
	loads := settings{"name": "meter-load", "aim": 4_000_000_000, "aim_stretch": 3, "deadline": 20_000_000_000, "gain": 6, "late_worth": 0.5,
		"repeat": "fragile", "by_arrival": true}
	s := smallSettings([]settings{reports, loads}, []int{1, 2})
	s["safety"].(settings)["key_quiet"] = int64(keyRest)
	c := r.newController("n1", f.address, f.known(), settings{"cores": 1.0, "memory_mb": 192, "sockets": 256}, s)

	var all []*request
	var clients []*client
	for range 4 {
		clients = append(clients, r.mustDial(c.listen))
	}
	const reportCount = 88
	for i := range reportCount {
		all = append(all, clients[i%4].send("report", 18*time.Second, "select report", [2]string{"cost", "3000.0"}, [2]string{"memory", "10"}))
		time.Sleep(8 * time.Millisecond)
	}
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := arrived
		mu.Unlock()
		if n == reportCount {
			break
		}
	}
	r.logf("%d reports run", arrived)
	type pair struct{ first, second *request }
	var pairs []pair
	cl := r.mustDial(c.listen)
	for n := range 4 {
		key := [2]string{"key", fmt.Sprintf("ledger_%d", n)}
		send := func(body string) *request {
			q := cl.send("meter-load", 18*time.Second, body, key, [2]string{"cost", "2000.0"}, [2]string{"memory", "10"})
			all = append(all, q)
			return q
		}
		pairs = append(pairs, pair{send(fmt.Sprintf("first load of ledger %d", n)), send(fmt.Sprintf("second load of ledger %d", n))})
	}
	time.Sleep(500 * time.Millisecond)
	find := func(id string) (jobs []*job) {
		for _, e := range engines {
			e.mu.Lock()
			for _, j := range e.jobs {
				if j.id == id {
					jobs = append(jobs, j)
				}
			}
			e.mu.Unlock()
		}
		return jobs
	}
	shared := 0
	for _, p := range pairs {
		for _, load := range find(p.first.id) {
			load.engine.mu.Lock()
			for _, other := range load.engine.jobs {
				if at, _ := other.ended(); other.conn == load.conn && other.id != load.id && at.IsZero() && other.fields["class"] == "report" {
					shared++
					r.logf("%s runs on a connection that carries %s as well", load.id, other.id)
					if r.trouble {
						mu.Lock()
						spoil[other.id] = true
						mu.Unlock()
					}
					break
				}
			}
			load.engine.mu.Unlock()
		}
	}
	if shared == 0 {
		r.cannot("no load shares its connection")
	}
	for _, q := range all {
		select {
		case <-q.done:
		case <-time.After(20 * time.Second):
		}
	}
	for _, p := range pairs {
		c1, _ := p.first.result()
		c2, _ := p.second.result()
		r.logf("ledger: first %s answered %d, second %s answered %d", p.first.id, c1, p.second.id, c2)
		for _, a := range find(p.first.id) {
			for _, b := range find(p.second.id) {
				at, how := a.ended()
				rest := b.at.Sub(at)
				r.logf("second sent to %s %v after the first's attempt at %s ended by %s", b.engine.name, rest, a.engine.name, how)
				if at.IsZero() {
					r.breakf("%s sent while an attempt of %s was out", b.id, a.id)
				} else if how != "HIT" && rest < keyRest-slack {
					r.breakf("%s sent %v after an attempt of %s was given up (%s); the key has to rest for %v", b.id, rest, a.id, how, keyRest)
				}
			}
		}
	}
}
