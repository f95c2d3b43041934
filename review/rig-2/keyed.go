package main

import (
	"strconv"
	"sync"
	"time"
)

func init() { cases["keyed"] = keyed }

// keyed plays five of seven executors that do the work and every third of whose answers never arrives, for look-ups and keyed loads. A
// client that is refused tries again once, as it was told that this is harmless. Executors drop repeats of a key for as long as the
// settings say, all of them together, counted from the end of the work; a repeat that is dropped is answered well.
func keyed(r *rig) {
	const window, retryWait, troubleLength = 5 * time.Second, 600 * time.Millisecond, 15 * time.Second
	var mu sync.Mutex
	effects := map[string][]time.Time{} // by key
	seen := map[string]int{}            // attempts at lossy executors, by class
	lossy := map[string]bool{"s-1": true, "s-2": true, "s-3": true, "s-4": true, "s-5": true}
	onServe := func(j *job) {
		once, class := j.fields["once"], j.fields["class"]
		mu.Lock()
		lost := false
		if lossy[j.engine.name] && time.Since(r.start) < troubleLength {
			lost = r.trouble && seen[class]%3 == 0
			seen[class]++
		}
		times := effects[once]
		repeat := class == "carga" && len(times) > 0 && time.Since(times[len(times)-1]) <= window
		mu.Unlock()
		r.logf("%s: serve %s class=%s once=%s", j.engine.name, j.id, class, once)
		work := 250 * time.Millisecond
		if class == "carga" {
			work = 1500 * time.Millisecond
		}
		if !j.run(work) {
			return
		}
		if class == "carga" {
			mu.Lock()
			times := effects[once]
			if !repeat && (len(times) == 0 || time.Since(times[len(times)-1]) > window) {
				effects[once] = append(times, time.Now())
				r.logf("%s: %s takes effect, key %s", j.engine.name, j.id, once)
			} else {
				r.logf("%s: %s is dropped as a repeat, key %s", j.engine.name, j.id, once)
			}
			mu.Unlock()
		}
		if lost {
			if j.end("answer lost") {
				r.logf("%s: the answer to %s never arrives", j.engine.name, j.id)
			}
			return
		}
		j.serveRows(j.id+"\tdone\tc\n", work)
	}
	var hosts []host
	for i := range 7 {
		e := r.newEngine("s-"+string(rune('1'+i)), onServe)
		hosts = append(hosts, host{Host: e.name, Dial: e.address, Site: "east", Class: "std", Health: "active", Share: 1})
	}
	f := r.newFeed(hosts...)
	look := settings{"name": "consulta", "aim": 1_200_000_000, "aim_stretch": 2, "deadline": 6_000_000_000, "gain": 1, "late_worth": 0.3,
		"repeat": "retryable"}
	load := settings{"name": "carga", "aim": 3_000_000_000, "aim_stretch": 3, "deadline": 20_000_000_000, "gain": 4, "late_worth": 0.6,
		"repeat": "dedup", "group": "all", "key_ttl": int64(window)}
	s := smallSettings([]settings{look, load}, []int{1, 2})
	s["family_info"].(settings)["kind_cores"] = []int{12}
	c := r.newController("n1", f.address, f.known(), settings{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, s)

	type upload struct {
		once string
		q    *request
	}
	var uploads []upload
	clients := []*client{r.mustDial(c.listen), r.mustDial(c.listen)}
	sendLoad := func(once string) *request {
		return clients[0].send("carga", 20*time.Second, "load into survey_4.answers", [2]string{"once", once}, [2]string{"cost", "3000.0"},
			[2]string{"memory", "20"})
	}
	for n := range 60 {
		clients[1].send("consulta", 6*time.Second, "select * from survey_4.answers", [2]string{"cost", "250.0"}, [2]string{"memory", "10"})
		if n < 60 && n%6 == 0 {
			once := newID() + newID()
			uploads = append(uploads, upload{once, sendLoad(once)})
		}
		time.Sleep(time.Second / 30)
	}
	var wg sync.WaitGroup
	for _, u := range uploads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			<-u.q.done
			code, _ := u.q.result()
			r.logf("client: load %s, key %s, answered %d %v after %v", u.q.id, u.once, code, u.q.fields, u.q.answeredAt.Sub(u.q.sentAt))
			if code != 2 { // 'failed' promises nothing: this client asks again only where it was told that it may
				return
			}
			wait := retryWait
			if after, err := strconv.Atoi(u.q.fields[0]["after"]); err == nil {
				wait = max(wait, time.Duration(after)*time.Millisecond)
			}
			time.Sleep(wait)
			again := sendLoad(u.once)
			<-again.done
			code, _ = again.result()
			r.logf("client: the refused load again as %s, key %s, answered %d", again.id, u.once, code)
			mu.Lock()
			defer mu.Unlock()
			if n := len(effects[u.once]); n > 1 {
				r.breakf("load %s had run, was refused %v after it was sent, and took effect again as %s, %v after the first time", u.q.id,
					u.q.answeredAt.Sub(u.q.sentAt), again.id, effects[u.once][1].Sub(effects[u.once][0]))
			}
		}()
	}
	wg.Wait()
}
