package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["termstorm"] = termstorm }

func termstorm(r *rig) {
	sockets, _ := strconv.Atoi(os.Getenv("SOCKETS"))
	rate, _ := strconv.Atoi(os.Getenv("RATE"))
	hang := os.Getenv("HANG") != ""
	var hosts []host
	for i := range 6 {
		e := r.newEngine(fmt.Sprintf("s-%d", i), func(j *job) {
			if hang && i < 3 {
				return
			}
			if j.run(time.Duration(rand.Intn(100)) * time.Millisecond) {
				j.serveRows(j.id+"\tb\tc\n", 50*time.Millisecond)
			}
		})
		hosts = append(hosts, host{Host: e.name, Dial: e.address, Site: "east", Class: "std", Health: "active", Share: 1})
	}
	f := r.newFeed(hosts...)
	s := smallSettings([]settings{lookups()}, []int{1})
	c := r.newController("n1", f.address, f.known(), settings{"cores": 1.0, "memory_mb": 96, "sockets": sockets}, s)
	var mu sync.Mutex
	var all []*request
	conns := map[*request]*client{}
	var term time.Time
	var wg sync.WaitGroup
	start := time.Now()
	termAt := start.Add(2 * time.Second)
	maxfd := 0
	go func() {
		for c.alive() {
			if d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid)); err == nil {
				mu.Lock()
				maxfd = max(maxfd, len(d))
				mu.Unlock()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	for time.Now().Before(termAt.Add(390 * time.Millisecond)) {
		if term.IsZero() && time.Now().After(termAt) {
			term = time.Now()
			c.signal(syscall.SIGTERM)
			go func() { time.Sleep(3700 * time.Millisecond); c.kill() }()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl, err := r.dial(c.listen)
			if err != nil {
				r.logf("dial: %v", err)
				return
			}
			for n := 0; ; n++ {
				q := cl.send("lookup", 3*time.Second, "select", [2]string{"cost", "50.0"}, [2]string{"memory", "10"})
				mu.Lock()
				all = append(all, q)
				conns[q] = cl
				mu.Unlock()
				time.Sleep(time.Duration(rand.Intn(300)) * time.Millisecond)
				cl.mu.Lock()
				stop := cl.told || cl.ended != nil
				cl.mu.Unlock()
				if stop || n > 3 || time.Now().After(termAt.Add(590*time.Millisecond)) {
					break
				}
			}
			time.Sleep(3500 * time.Millisecond)
			cl.close()
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	<-c.ended
	r.logf("ended %v after TERM", c.endedAt.Sub(term))
	codes := map[string]int{}
	for _, q := range all {
		q.mu.Lock()
		code := byte(0)
		if len(q.codes) > 0 {
			code = q.codes[0]
		}
		codes[fmt.Sprint(code, " ", q.lost)]++
		if code == 0 {
			r.breakf("%s no answer, sent %v after TERM, conn ended %v after it was sent: %v", q.id, q.sentAt.Sub(term), conns[q].endedAt.Sub(q.sentAt), q.lost)
		}
		q.mu.Unlock()
	}
	fmt.Println(codes, "fds", maxfd, "ended", c.endedAt.Sub(term))
	c.copyLog("counters")
}
