package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

// memory plays usual clients that send many requests at once, and the platform, which kills a controller over its memory limit.
func memory(r *rig) {
	const limitMB, sockets, connections, atOnce, perConnection = 32, 512, 120, 16, 96
	const pageCount = 8
	page := strings.Repeat("abcdefghijklmnopqrstuvwxyz\tb\tc\n", 193) // 5,983 bytes; a result has 47,864
	var hosts []host
	for i := range 10 {
		e := r.newEngine(fmt.Sprintf("s-%d", i+1), func(j *job) {
			if !j.run(300 * time.Millisecond) {
				return
			}
			j.engine.mu.Lock()
			for range pageCount {
				j.engine.pages[j.id] = append(j.engine.pages[j.id], page)
			}
			j.engine.mu.Unlock()
			j.reply("HIT", fmt.Sprintf("count=%d,ticks=300,footprint=10,stats=util:0.5", pageCount), page)
		})
		e.pageDelay = 60 * time.Millisecond
		hosts = append(hosts, host{Host: e.name, Dial: e.address, Site: "east", Class: "std", Health: "active", Share: 1})
	}
	f := r.newFeed(hosts...)
	s := smallSettings([]settings{lookups()}, []int{1})
	s["family_info"].(settings)["kind_cores"] = []int{12}
	c := r.newController("n1", f.address, f.known(), settings{"cores": 1.0, "memory_mb": limitMB, "sockets": sockets}, s)
	rss, peak := c.memory()
	r.logf("the controller's memory before any request: %d kB; limit %d kB", rss, limitMB<<10)

	// The platform: over memory_mb the controller is killed.
	killedAt := make(chan int, 1)
	most := 0
	var mu sync.Mutex
	stop := make(chan struct{})
	go func() {
		for last := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			rss, _ := c.memory()
			mu.Lock()
			most = max(most, rss)
			mu.Unlock()
			if time.Since(last) > 250*time.Millisecond {
				last = time.Now()
				r.logf("memory %d kB", rss)
			}
			if rss > limitMB<<10 {
				r.logf("memory %d kB is over the limit of %d kB: the platform kills the controller", rss, limitMB<<10)
				c.kill()
				killedAt <- rss
				return
			}
		}
	}()

	body := "select a, b, c from survey_3.answers where id in (" + strings.Repeat("'0123456789',", 1530) + "'z')"
	r.logf("%d connections; a statement has %d bytes, a result %d", connections, len(body), pageCount*len(page))
	batch := 1
	if r.trouble {
		batch = atOnce
	}
	var all []*request
	var wg sync.WaitGroup
	for range connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl, err := r.dial(c.listen)
			if err != nil {
				return
			}
			defer cl.close()
			for sent := 0; sent < perConnection && time.Since(r.start) < 25*time.Second; sent += batch {
				var mine []*request
				var frames []byte
				if !c.alive() {
					return
				}
				for range batch {
					q, frame := cl.prepare("lookup", 5*time.Second, body, [2]string{"cost", "300.0"}, [2]string{"memory", "10"})
					mine, frames = append(mine, q), append(frames, frame...)
				}
				err := cl.write(frames)
				for _, q := range mine {
					q.sentAt = time.Now()
					if err == nil {
						select {
						case <-q.done:
						case <-c.ended:
						case <-time.After(6 * time.Second):
						}
					}
				}
				mu.Lock()
				all = append(all, mine...)
				mu.Unlock()
				if err != nil || !c.alive() {
					return
				}
				if away := longestAfter(mine); away > 0 { // refused, and told to stay away
					select {
					case <-time.After(away):
					case <-c.ended:
					}
				}
			}
		}()
	}
	wg.Wait()
	close(stop)
	time.Sleep(100 * time.Millisecond)
	codes, unanswered := map[byte]int{}, 0
	for _, q := range all {
		code, _ := q.result()
		codes[code]++
		if code == 0 {
			unanswered++
		}
	}
	if c.alive() {
		_, peak = c.memory()
	}
	r.logf("answers by code: %v (0: none); most memory seen %d kB, the kernel's peak at the end %d kB", codes, most, peak)
	select {
	case rss := <-killedAt:
		r.breakf("the controller went over its memory limit (%d kB of %d) and was killed with %d requests unanswered", rss, limitMB<<10, unanswered)
	default:
	}
}

// longestAfter returns the longest time for which the refusals among some requests tell their client to stay away.
func longestAfter(requests []*request) (longest time.Duration) {
	for _, q := range requests {
		q.mu.Lock()
		for _, fields := range q.fields {
			if ms, err := strconv.Atoi(fields["after"]); err == nil {
				longest = max(longest, time.Duration(ms)*time.Millisecond)
			}
		}
		q.mu.Unlock()
	}
	return longest
}
