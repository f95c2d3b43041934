package main

import (
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

type chaosReq struct {
	*request
	class, key string
	cl         *client
	goneAt     time.Time // client left or cancelled
	seq        int
	epoch      int
}

// chaos plays drawn faults, and audits.
func chaos(r *rig) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = time.Now().UnixNano() % 1000000
	}
	rng := rand.New(rand.NewSource(seed))
	var rmu sync.Mutex
	fl := func() float64 { rmu.Lock(); defer rmu.Unlock(); return rng.Float64() }
	in := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rng.Intn(n) }
	chance := func(p float64) bool { return fl() < p }
	mayCancel, probes, notes := chance(0.7), chance(0.5), chance(0.3)
	quiet := time.Duration(in(3)) * 250 * time.Millisecond
	grace := []time.Duration{250 * time.Millisecond, 2 * time.Second}[in(2)]
	ttl := []time.Duration{1500 * time.Millisecond, 4 * time.Second, 12 * time.Second}[in(3)]
	group := []string{"all", "zone", "cell"}[in(3)]
	sockets := []int{64, 96, 256, 1024}[in(4)]
	streams := []int{1, 4, 32}[in(3)]
	loadRepeat := []string{"dedup", "fragile"}[in(2)]
	lateWorth := []float64{0, 0.4}[in(2)]
	classes := []settings{lookups(),
		{"name": "load", "aim": 1_500_000_000, "aim_stretch": 2, "deadline": 8_000_000_000, "gain": 4, "late_worth": lateWorth, "repeat": loadRepeat, "group": group, "key_ttl": int64(ttl), "by_arrival": true},
		{"name": "move", "aim": 1_000_000_000, "aim_stretch": 2, "deadline": 5_000_000_000, "gain": 4, "late_worth": lateWorth, "repeat": "fragile"},
		{"name": "put", "aim": 1_000_000_000, "aim_stretch": 2, "deadline": 6_000_000_000, "gain": 4, "late_worth": 0.3, "repeat": "dedup", "group": group, "key_ttl": int64(ttl), "allowed_in": []string{"east"}},
		{"name": "rep", "aim": 1_000_000_000, "aim_stretch": 2, "deadline": 6_000_000_000, "gain": 4, "late_worth": 0.3, "repeat": "retryable", "machine_types_open": []string{"big"}},
	}
	s := smallSettings(classes, []int{1, 2, 1, 1, 3})
	s["machine_types"] = []string{"std", "big"}
	fi := s["family_info"].(settings)
	fi["kind_cores"], fi["ram_of_kind_mb"] = []int{2, 4}, []int{8000, 16000}
	if notes {
		fi["note_period"] = 500_000_000
	}
	p := s["permissions"].(settings)
	p["may_cancel"], p["probes"], p["streams_per_conn"], p["max_attempts"] = mayCancel, probes, streams, 2+in(4)
	sf := s["safety"].(settings)
	sf["drain_grace"], sf["key_quiet"] = int64(grace), int64(quiet)
	budget := chance(0.5)
	if !budget {
		delete(sf, "budget_window")
		delete(sf, "extra_floor")
		delete(sf, "extra_per_request")
	}
	if seed%3 == 0 {
		s["discovery"] = "on_request"
	}
	r.logf("seed %d cancel %v probes %v notes %v quiet %v grace %v ttl %v group %s sockets %d streams %d load %s budget %v late %v", seed, mayCancel, probes, notes, quiet, grace, ttl, group, sockets, streams, loadRepeat, budget, lateWorth)

	var mu sync.Mutex
	made := map[string]map[string]bool{} // id -> results made
	note := func(id, rows string) {
		mu.Lock()
		defer mu.Unlock()
		if made[id] == nil {
			made[id] = map[string]bool{}
		}
		made[id][rows] = true
	}
	type site struct {
		e          *engine
		h          host
		drained    time.Time // told
		bad        string
		badUntil   time.Time
		drainEvent int
	}
	var sites []*site
	var allEngines []*engine
	siteOf := map[*engine]*site{}
	serial := 0
	onServe := func(j *job) {
		mu.Lock()
		st := siteOf[j.engine]
		bad := st.bad
		if time.Now().After(st.badUntil) {
			bad = ""
		}
		serial++
		my := serial
		mu.Unlock()
		work := 5*time.Millisecond + time.Duration(fl()*fl()*400)*time.Millisecond
		ticks := work
		if bad == "slow" {
			work *= 6
		}
		roll := fl()
		switch bad {
		case "hang":
			return
		case "fail":
			if roll < 0.7 {
				j.run(2 * time.Millisecond)
				j.reply([]string{"FAULT", "SHED", "LATE"}[in(3)], "-", "")
				return
			}
		case "shed":
			j.reply("SHED", "-", "")
			return
		case "lose": // does the work, never answers
			j.run(work)
			return
		case "spoil", "reset", "cut", "dup", "late":
			if !j.run(work) {
				return
			}
			rows := fmt.Sprintf("%s\t%d\t%s\n", j.id, my, j.engine.name)
			note(j.id, rows)
			if roll < 0.5 {
				j.serveRows(rows, ticks)
				return
			}
			switch bad {
			case "spoil":
				if j.end("spoilt") {
					switch in(4) {
					case 0:
						j.conn.raw("*4\r\n$16\r\n" + j.id + "\r\n$3\r\nHIT\r\n$99999999\r\n")
					case 1:
						j.conn.raw("noise noise\r\n")
					case 2:
						j.conn.raw(words(j.id, "HIT", "count=1,ticks=xx", rows))
					case 3:
						j.conn.raw(words(j.id, "HIT", "count=1,ticks=5", "a\tb\n"))
					}
				}
			case "reset":
				if j.end("reset") {
					j.conn.reset()
				}
			case "cut":
				if j.end("cut") {
					full := words(j.id, "HIT", "count=1,ticks=5", rows)
					j.conn.raw(full[:len(full)/2])
					if in(2) == 0 {
						_ = j.conn.conn.Close()
					}
				}
			case "dup":
				j.conn.raw(words("0000000000000001", "HIT", "count=1,ticks=5", "x\ty\tz\n"))
				j.serveRows(rows, ticks)
				time.Sleep(time.Duration(in(8)) * time.Millisecond)
				j.conn.send(j.id, "HIT", fmt.Sprintf("count=1,ticks=%d", ticks.Milliseconds()), rows)
			case "late":
				time.Sleep(time.Duration(in(3000)) * time.Millisecond)
				j.conn.send(j.id, "HIT", "count=1,ticks=5", rows)
				j.end("late answer")
			}
			return
		}
		if !j.run(work) {
			return
		}
		if in(3) == 0 { // several pages
			n := 2 + in(4)
			var pages []string
			for i := range n {
				pages = append(pages, fmt.Sprintf("%s\t%d.%d\t%s\n", j.id, my, i, strings.Repeat("x", in(3000))))
			}
			j.engine.mu.Lock()
			j.engine.pages[j.id] = pages
			j.engine.mu.Unlock()
			note(j.id, strings.Join(pages, ""))
			j.reply("HIT", fmt.Sprintf("count=%d,ticks=%d,footprint=5", n, ticks.Milliseconds()), pages[0])
			return
		}
		rows := fmt.Sprintf("%s\t%d\t%s\n", j.id, my, j.engine.name)
		note(j.id, rows)
		j.serveRows(rows, ticks)
	}
	nextEngine := 0
	newSite := func(born int64) *site {
		nextEngine++
		e := r.newEngine(fmt.Sprintf("s-%02d", nextEngine), onServe)
		e.pageFault = func() string {
			if seed%2 == 0 && chance(0.04) {
				return []string{"FAULT", "lost", "twice", "noise", "reset"}[in(5)]
			}
			return ""
		}
		st := &site{e: e, h: host{Host: e.name, Dial: e.address, Site: []string{"east", "west"}[nextEngine%2], Class: []string{"std", "big"}[nextEngine/2%2], Block: nextEngine % 3, Health: "active", Share: 1, Born: born}}
		mu.Lock()
		siteOf[e] = st
		sites = append(sites, st)
		allEngines = append(allEngines, e)
		mu.Unlock()
		return st
	}
	for range 6 {
		newSite(0)
	}
	var hosts []host
	for _, st := range sites {
		hosts = append(hosts, st.h)
	}
	f := r.newFeed(hosts...)
	c := r.newController("n1", f.address, f.known(), settings{"cores": 1.0, "memory_mb": 96, "sockets": sockets}, s)
	var reqs []*chaosReq
	epoch, noConn, noSend := 0, false, false
	killed := map[int]time.Time{}
	state := func() (int, bool, bool) { mu.Lock(); defer mu.Unlock(); return epoch, noConn, noSend }
	fedAt := map[int]time.Time{}
	f.onTold = func(upTo int) {
		mu.Lock()
		defer mu.Unlock()
		for n := 1; n <= upTo; n++ {
			if fedAt[n].IsZero() {
				fedAt[n] = time.Now()
			}
		}
	}
	opsFile := r.temp + "/ops.conf"
	opsTexts := []string{
		"[pool \"e\"]\nlocation = east\nminimum = 50%\noverflow = w\noverflow-after = 150ms\n[pool \"w\"]\nlocation = west\n[route \"a\"]\nmatch = type = lookup\npool = e\nfallback = w\npolicy = q\n[policy \"q\"]\ndispatched = 6\nheld = 20\nfurther = 20%\nfurther-free = 5\n",
		"[pool \"e\"]\nlocation = west\n[route \"a\"]\nmatch = type = lookup\npool = e\npolicy = q\n[route \"b\"]\nmatch = type = move\npool = e\n[policy \"q\"]\ndispatched = 2\n",
		"[pool \"w\"]\nlocation = west\n[route \"a\"]\nmatch = type = lookup\npool = w\n",
		"[pool \"n\"]\nlocation = nowhere\n[route \"a\"]\nmatch = type = lookup\npool = n\n",
	}
	ops := chance(0.4)
	writeOps := func() {
		_ = os.WriteFile(opsFile+".new", []byte(opsTexts[in(len(opsTexts))]), 0o644)
		_ = os.Rename(opsFile+".new", opsFile)
	}
	if ops {
		writeOps()
		c.env = append(c.env, "BALANCER_OPERATORS="+opsFile)
		c.kill()
		c.startProcess()
		c.awaitReady(5 * time.Second)
	}
	r.logf("ops %v", ops)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ended := time.Now().Add(18 * time.Second)
	keyNames := []string{"ka", "kb"}
	seq := 0
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var cl *client
			for time.Now().Before(ended) {
				myEpoch, nc, ns := state()
				if cl == nil && nc || ns {
					time.Sleep(10 * time.Millisecond)
					if cl != nil {
						cl.mu.Lock()
						if cl.told || cl.ended != nil {
							defer cl.close()
							cl.mu.Unlock()
							cl = nil
							continue
						}
						cl.mu.Unlock()
					}
					continue
				}
				if cl == nil {
					var err error
					if cl, err = r.dial(c.listen); err != nil {
						cl = nil
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				burst := 1
				if chance(0.05) {
					burst = 10
				}
				for range burst {
					cl.mu.Lock()
					open := 0
					for _, q := range cl.open {
						q.mu.Lock()
						if len(q.codes) == 0 {
							open++
						}
						q.mu.Unlock()
					}
					bad := cl.told || cl.ended != nil
					cl.mu.Unlock()
					if open >= 32 || bad {
						break
					}
					class := []string{"lookup", "load", "move", "put", "rep"}[in(5)]
					key := ""
					if n < 2 && chance(0.7) {
						class, key = "load", keyNames[n]
					} else if class == "load" && n >= 2 {
						class = "lookup"
					}
					wait := map[string]int{"lookup": 6000, "load": 8000, "move": 5000, "put": 6000, "rep": 6000}[class]
					if chance(0.3) {
						wait = 200 + in(wait)
					}
					more := [][2]string{{"once", newID() + newID()}, {"cost", fmt.Sprint(20 + in(300))}, {"memory", "20"}}
					if key != "" {
						more = append(more, [2]string{"key", key})
					}
					mu.Lock()
					seq++
					mySeq := seq
					mu.Unlock()
					q := &chaosReq{cl: cl, class: class, key: key, seq: mySeq, epoch: myEpoch}
					q.request = cl.send(class, time.Duration(wait)*time.Millisecond, "select "+q.key+" from x_3.t", more...)
					mu.Lock()
					reqs = append(reqs, q)
					mu.Unlock()
					if chance(0.07) {
						go func() {
							time.Sleep(time.Duration(in(600)) * time.Millisecond)
							q.mu.Lock()
							done := len(q.codes) > 0 || q.lost != nil
							if !done {
								q.goneAt = time.Now()
							}
							q.mu.Unlock()
							if !done {
								q.cl.cancel(q.request)
							}
						}()
					}
				}
				if chance(0.01) { // leaves
					mu.Lock()
					for _, q := range reqs {
						if q.cl == cl && q.goneAt.IsZero() {
							q.mu.Lock()
							if len(q.codes) == 0 && q.lost == nil {
								q.goneAt = time.Now()
							}
							q.mu.Unlock()
						}
					}
					mu.Unlock()
					cl.close()
					cl = nil
				} else {
					cl.mu.Lock()
					bad := cl.told || cl.ended != nil
					cl.mu.Unlock()
					if bad {
						cl = nil
					}
				}
				time.Sleep(time.Duration(10+in(80)) * time.Millisecond)
			}
		}()
	}
	wg.Add(1)
	go func() { // faults
		defer wg.Done()
		for time.Now().Before(ended) {
			time.Sleep(time.Duration(200+in(900)) * time.Millisecond)
			mu.Lock()
			st := sites[in(len(sites))]
			mu.Unlock()
			switch in(14) {
			case 9, 10: // the program is restarted
				if chance(0.5) {
					continue
				}
				term := chance(0.7)
				if term {
					c.signal(syscall.SIGTERM)
					time.Sleep(time.Duration(200+in(200)) * time.Millisecond)
					mu.Lock()
					noConn = true
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
					mu.Lock()
					noSend = true
					mu.Unlock()
					select {
					case <-c.ended:
					case <-time.After(3300 * time.Millisecond):
						r.logf("SIGKILL after SIGTERM")
						c.kill()
					}
				} else {
					mu.Lock()
					noConn, noSend = true, true
					killed[epoch] = time.Now()
					mu.Unlock()
					c.kill()
				}
				c.config["known"] = f.known()
				c.writeConfig()
				mu.Lock()
				epoch++
				mu.Unlock()
				c.startProcess()
				c.awaitReady(5 * time.Second)
				mu.Lock()
				noConn, noSend = false, false
				mu.Unlock()
			case 11: // the feed is silent, or breaks
				kind := in(3)
				length := time.Duration(500+in(5000)) * time.Millisecond
				r.logf("fault: feed kind %d for %v", kind, length)
				f.setFault(kind)
				go func() { time.Sleep(length); f.setFault(-1) }()
			case 12: // an executor refuses connections for a while
				r.logf("fault: %s down", st.e.name)
				st.e.down(time.Duration(500+in(3000)) * time.Millisecond)
			case 13:
				if chance(0.6) {
					if ops {
						writeOps()
					}
					c.config["feed"] = f.move(1500 * time.Millisecond)
					c.writeConfig()
					c.signal(syscall.SIGHUP)
				}
			case 0, 1, 2, 3, 4, 5:
				kind := []string{"hang", "fail", "shed", "lose", "spoil", "reset", "cut", "dup", "late", "slow"}[in(10)]
				length := time.Duration(500+in(3500)) * time.Millisecond
				mu.Lock()
				st.bad, st.badUntil = kind, time.Now().Add(length)
				mu.Unlock()
				r.logf("fault: %s is %s for %v", st.e.name, kind, length)
			case 6: // drain and replace
				mu.Lock()
				ok := st.drained.IsZero() && len(sites) > 4
				mu.Unlock()
				if !ok {
					continue
				}
				h := st.h
				h.Health = "leaving"
				f.publish(false, h)
				mu.Lock()
				st.drained = time.Now()
				st.drainEvent = f.count()
				mu.Unlock()
				n := newSite(time.Now().UnixMilli())
				f.publish(false, n.h)
				go func() {
					time.Sleep(3 * time.Second)
					h.Health = "left"
					f.publish(false, h)
					mu.Lock()
					for i := range sites {
						if sites[i] == st {
							sites = append(sites[:i], sites[i+1:]...)
							break
						}
					}
					mu.Unlock()
				}()
			case 7: // connections reset
				r.logf("fault: all connections of %s reset", st.e.name)
				st.e.mu.Lock()
				for ec := range st.e.conns {
					ec.reset()
				}
				st.e.mu.Unlock()
			case 8:
				if chance(0.3) {
					c.writeConfig()
					c.signal(syscall.SIGHUP)
				}
			}
		}
	}()
	time.Sleep(time.Until(ended))
	close(stop)
	wg.Wait()
	term := chance(0.5)
	if term {
		c.signal(syscall.SIGTERM)
		go func() { time.Sleep(3800 * time.Millisecond); c.kill() }()
	}
	time.Sleep(9 * time.Second)
	if !term && !c.alive() {
		r.breakf("the controller crashed")
	}
	c.copyLog("violat")
	c.copyLog("panic")
	c.copyLog("counters")
	// The audit.
	byID := map[string]*chaosReq{}
	for _, q := range reqs {
		byID[q.id] = q
	}
	attempts := map[string][]*job{}
	var all []*job
	for _, e := range allEngines {
		e.mu.Lock()
		for _, j := range e.jobs {
			attempts[j.id] = append(attempts[j.id], j)
			all = append(all, j)
		}
		e.mu.Unlock()
	}
	const slack = 50 * time.Millisecond
	codes := map[string]int{}
	for _, q := range reqs {
		q.mu.Lock()
		code := byte(0)
		if len(q.codes) > 0 {
			code = q.codes[0]
		}
		codes[fmt.Sprintf("%s %d", q.class, code)]++
		switch {
		case len(q.codes) > 1:
			r.breakf("1: %s got %d answers", q.id, len(q.codes))
		case len(q.codes) == 0 && !killed[q.epoch].IsZero() && q.sentAt.Add(q.wait).After(killed[q.epoch]):
		case len(q.codes) == 0 && q.lost != nil && q.cl.endedAt.Sub(q.sentAt) < slack && len(attempts[q.id]) == 0:
			r.logf("%s crossed a close", q.id)
		case len(q.codes) == 0 && q.goneAt.IsZero():
			r.breakf("1: %s (%s) got no answer: %v; sent %v", q.id, q.class, q.lost, q.sentAt.Sub(r.start))
		case len(q.codes) == 1 && q.answeredAt.Sub(q.sentAt) > q.wait+500*time.Millisecond:
			r.breakf("1: %s answered %v after its time", q.id, q.answeredAt.Sub(q.sentAt)-q.wait)
		case len(q.codes) == 1 && q.answeredAt.Sub(q.sentAt) > q.wait+slack:
			r.logf("late answer %s by %v", q.id, q.answeredAt.Sub(q.sentAt)-q.wait)
		}
		if code == 1 && !made[q.id][q.answers[0]] {
			r.breakf("1: %s was served what no executor made for it: %.80q", q.id, q.answers[0])
		}
		list := attempts[q.id]
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
		mayRun := []*job{}
		for i, j := range list {
			st := siteOf[j.engine]
			if !q.answeredAt.IsZero() && j.at.After(q.answeredAt.Add(slack)) {
				r.breakf("1: %s sent %v after its answer", q.id, j.at.Sub(q.answeredAt))
			}
			if !q.goneAt.IsZero() && j.at.After(q.goneAt.Add(100*time.Millisecond+slack)) {
				r.breakf("1: %s sent %v after its client had gone", q.id, j.at.Sub(q.goneAt))
			}
			told := st.drained
			if at := fedAt[st.drainEvent]; at.IsZero() || at.After(told) {
				told = told.Add(7 * time.Second)
				if !at.IsZero() && at.Before(told) {
					told = at
				}
			}
			if !st.drained.IsZero() && j.at.After(told.Add(grace+slack)) {
				r.breakf("3: %s sent to %s %v after it was told", q.id, j.engine.name, j.at.Sub(st.drained))
			}
			if q.class == "put" && st.h.Site != "east" || q.class == "rep" && st.h.Class != "big" {
				r.breakf("6: %s of %s at %s", q.id, q.class, j.engine.name)
			}
			for _, earlier := range list[:i] {
				at, how := earlier.ended()
				if how == "late answer" {
					continue
				}
				if at.IsZero() || at.After(j.at.Add(2*time.Millisecond)) {
					r.breakf("2: %s at two executors at once, by %v (%s)", q.id, at.Sub(j.at), how)
				}
			}
			if len(mayRun) > 0 {
				repeat := q.class == "move" || q.class == "load" && loadRepeat == "fragile"
				dedup := q.class == "put" || q.class == "load" && loadRepeat == "dedup"
				if repeat {
					r.breakf("2: unsafe %s sent again", q.id)
				}
				if dedup && j.at.After(mayRun[0].at.Add(ttl+slack)) {
					r.breakf("2: keyed %s sent again %v after the first", q.id, j.at.Sub(mayRun[0].at))
				}
				for _, m := range mayRun {
					o := siteOf[m.engine].h
					if dedup && (group == "zone" && o.Site != st.h.Site || group == "cell" && o.Block != st.h.Block) {
						r.breakf("2: keyed %s sent out of its group", q.id)
					}
				}
			}
			if _, how := j.ended(); how != "SHED" && how != "LATE" {
				mayRun = append(mayRun, j)
			}
		}
		if code == 2 && len(mayRun) > 0 {
			if q.class == "move" || q.class == "load" && loadRepeat == "fragile" || (q.class == "put" || q.class == "load") && group != "all" {
				r.breakf("2: %s (%s) refused though it may have run", q.id, q.class)
			}
		}
		q.mu.Unlock()
	}
	// order
	for _, key := range keyNames {
		var line []*chaosReq
		for _, q := range reqs {
			if q.key == key {
				line = append(line, q)
			}
		}
		sort.Slice(line, func(a, b int) bool { return line[a].seq < line[b].seq })
		for i, q := range line {
			if len(attempts[q.id]) == 0 {
				continue
			}
			first := attempts[q.id][0].at
			for _, earlier := range line[:i] {
				if earlier.epoch != q.epoch {
					continue
				}
				over := earlier.answeredAt
				if !earlier.goneAt.IsZero() {
					over = earlier.goneAt
				}
				if over.After(first.Add(20 * time.Millisecond)) {
					r.breakf("5: %s sent %v before %s was over", q.id, over.Sub(first), earlier.id)
				}
				for _, j := range attempts[earlier.id] {
					at, how := j.ended()
					if j.at.After(first) {
						r.breakf("5: %s sent before an attempt of %s", q.id, earlier.id)
						continue
					}
					rest := time.Duration(0)
					if how == "cancel" || how == "connection closed" || how == "reset" {
						rest = quiet - slack
					}
					if at.IsZero() || how == "late answer" {
						continue
					}
					if first.Before(at.Add(rest - 2*time.Millisecond)) {
						r.breakf("5: %s sent %v after an attempt of %s ended by %s", q.id, first.Sub(at), earlier.id, how)
					}
				}
			}
		}
	}
	// budget
	if budget {
		var further []time.Time
		for _, list := range attempts {
			for i, j := range list {
				if i > 0 {
					further = append(further, j.at)
				}
			}
		}
		for _, at := range further {
			n, taken := 0, 0
			if epoch > 0 {
				break
			}
			for _, o := range further {
				if !o.After(at) && at.Sub(o) < 10*time.Second {
					n++
				}
			}
			for _, q := range reqs {
				if !q.sentAt.After(at) && at.Sub(q.sentAt) < 10*time.Second {
					taken++
				}
			}
			if float64(n) > (2+0.2*float64(taken))*1.15+1 {
				r.breakf("7: %d further attempts with %d taken", n, taken)
				break
			}
		}
	}
	r.logf("requests %d, attempts %d, codes %v", len(reqs), len(all), codes)
	fmt.Println("seed", seed, "requests", len(reqs), "attempts", len(all), codes)
}
