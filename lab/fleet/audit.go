package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Audit is what went against the rules, from the wire alone; all of it is 0 where they were kept. What a client sent to a
// controller that was killed is not counted as lost. Rule 5 is not played, as no kind of jobs here goes in order by a key.
type Audit struct {
	Lost     int `json:"lost"`           // rule 1: jobs without an answer
	Overdue  int `json:"overdue"`        // rule 1: jobs whose answer came later than their time and the grace of an answer
	Doubled  int `json:"answered_twice"` // rule 1: jobs, or answers to nothing that was asked
	Repeated int `json:"repeated"`       // rule 2: jobs that went again though they may have run and must not run twice
	Drained  int `json:"after_drain"`    // rule 3: jobs that came to an engine past the grace after its controller was told
	Felled   int `json:"felled"`         // rule 4: cold engines that got more than they stand
	Strayed  int `json:"misplaced"`      // rule 6: jobs at an engine that their class bars
	Excess   int `json:"over_budget"`    // rule 7: further attempts beyond the budget
	Together int `json:"at_once"`        // jobs with two attempts at engines at once
	Crashes  int `json:"crashes"`        // processes that ended though nothing of ours ended them, or not well
	Unwanted int `json:"after_client"`   // attempts that came to an engine past the grace after their client had given up
	Overtold int `json:"told_too_long"`  // attempts whose engine was told of more time than their client had left
	Violated int `json:"violations"`     // that processes counted themselves

	Unbidden   int `json:"ended_unbidden"` // lives of processes that ended without a signal to end from the rig
	OverMemory int `json:"over_memory"`    // processes that had more memory resident than their limit

	Cold float64 `json:"cold_most"` // the most work that came to a cold engine, over what fells it; no breach by itself
}

// Broken tells whether anything went against a rule.
func (a Audit) Broken() bool {
	a.Cold = 0
	return a != Audit{}
}

// evidence is what clients, engines and discovery saw.
type evidence struct {
	jobs     map[string]*ask
	hosts    []*host
	visits   []seen
	breached map[int]bool  // controllers whose jobs were found in a breach, or nil
	struck   map[int]bool  // controllers that a fault ended, who begin anew and know nothing
	slack    time.Duration // by which things are seen late
	delay    *rigDelay     // when the rig itself did not run
	gap      time.Duration // by which an attempt that was given up may go on at its engine
	budget   budget
	cold     cold
	length   time.Duration // of the window in which a repeat of a keyed job is known
	say      func(format string, args ...any)
}

// found tells of one breach, with what was seen.
func (e *evidence) found(count *int, what, id string, j *ask, visits ...seen) {
	*count++
	if e.breached != nil {
		e.breached[j.controller] = true
	}
	if e.say == nil {
		return
	}
	text := fmt.Sprintf("%s: %s of controller %d, %s, sent at %v, left at %v", what, id, j.controller, j.kind.name, j.sent, j.left)
	for _, v := range visits {
		text += fmt.Sprintf("; at %s %v to %v, told %v", v.host.name, v.Came, v.over, v.wait)
	}
	e.say("%s", text)
}

// ask is a job as its client sent it.
type ask struct {
	controller int
	kind       *kind
	sent       time.Duration
	life       int           // of its controller
	left       time.Duration // when its client gave it up, 0 for not
}

// seen is an attempt at an engine.
type seen struct {
	visit
	host *host
}

type budget struct {
	window      time.Duration
	free, share float64
}

type cold struct {
	length, fall, meanJob time.Duration
	start, multiple       float64
}

// clientGrace is how long after its client has gone an attempt may begin, and waitSlack by how much an engine may be told of more
// time than a client has left, both by the protocol. leastSlack is what a loaded machine adds to the times that are seen.
const (
	clientGrace = 100 * time.Millisecond
	waitSlack   = 150 * time.Millisecond
	leastSlack  = 150 * time.Millisecond
)

// judge goes through the evidence. Times on the wire lag behind those that a controller knows: slack is for that.
func (e *evidence) judge(a *Audit) {
	slices.SortStableFunc(e.visits, func(x, y seen) int { return cmp.Compare(x.Came, y.Came) })
	byJob := map[string][]seen{}
	further := map[int][]time.Duration{}
	taken := map[int][]time.Duration{}
	for _, j := range e.jobs {
		taken[j.controller] = append(taken[j.controller], j.sent)
	}
	for _, v := range e.visits {
		j := e.jobs[v.id]
		if j == nil {
			continue // sent as the run ended
		}
		if told, was := v.host.told[j.controller]; was && v.Came > told+grace+e.slack {
			e.found(&a.Drained, "after a drain", v.id, j, v)
		}
		if j.left > 0 && v.Came > j.left+clientGrace+e.slack {
			e.found(&a.Unwanted, "after its client", v.id, j, v)
		}
		if v.wait > 0 && v.Came+v.wait > j.sent+j.kind.wait+waitSlack+e.slack-leastSlack+e.delay.between(j.sent, v.Came) {
			e.found(&a.Overtold, "told too long", v.id, j, v)
		}
		if j.kind.room != "" && v.host.room != j.kind.room {
			a.Strayed++
		}
		if len(byJob[v.id]) > 0 {
			further[j.controller] = append(further[j.controller], v.Came)
		}
		byJob[v.id] = append(byJob[v.id], v)
	}
	for id, visits := range byJob {
		if e.repeated(e.jobs[id].kind, visits) {
			e.found(&a.Repeated, "repeated", id, e.jobs[id], visits...)
		}
		spans := make([][2]time.Duration, len(visits))
		for n, v := range visits {
			spans[n] = [2]time.Duration{v.Came, v.over}
		}
		if overlap(spans, e.gap) {
			e.found(&a.Together, "two at once", id, e.jobs[id], visits...)
		}
	}
	for c, times := range further {
		if !e.struck[c] {
			a.Excess += e.excess(times, taken[c])
		}
	}
	e.chill(a)
}

// repeated tells whether a job came again that may have run and must not run twice.
func (e *evidence) repeated(k *kind, visits []seen) bool {
	for n, v := range visits {
		for _, before := range visits[:n] {
			if before.Began == 0 { // turned away, or lost before it ran
				continue
			}
			if k.once || k.keyed && v.Came > before.Came+e.length+e.slack {
				return true
			}
		}
	}
	return false
}

// excess counts the further attempts of a controller beyond its budget, with the protocol's width of 15 in 100 and one.
func (e *evidence) excess(further, taken []time.Duration) (n int) {
	slices.Sort(taken)
	for at, t := range further {
		out := 0
		for _, other := range further[:at+1] {
			if other > t-e.budget.window+e.slack {
				out++
			}
		}
		from, _ := slices.BinarySearch(taken, t-e.budget.window-e.slack)
		to, _ := slices.BinarySearch(taken, t)
		if float64(out) > 1+1.15*(e.budget.free+e.budget.share*float64(to-from)) {
			n++
		}
	}
	return n
}

// chill looks at what came to engines that had just started and were told as such: within any span that the settings name at
// most as many jobs of mean work as that, and three times its root and three for chance, as the standing test counts.
func (e *evidence) chill(a *Audit) {
	for _, h := range e.hosts {
		if h.born == 0 {
			continue
		}
		var came []seen
		for _, v := range e.visits {
			if v.host == h && v.Came >= h.born && v.Came < h.born+e.cold.length {
				came = append(came, v)
			}
		}
		most := 0.0
		for n, first := range came {
			sum := 0.0
			for _, v := range came[n:] {
				if v.Came >= first.Came+e.cold.fall {
					break
				}
				sum += v.Work.Seconds()
			}
			age := float64(first.Came-h.born) / float64(e.cold.length)
			able := e.cold.multiple * (e.cold.start + (1-e.cold.start)*age) * float64(h.cores) * e.cold.fall.Seconds()
			jobs := able / e.cold.meanJob.Seconds()
			most = max(most, sum/((jobs+3*math.Sqrt(jobs)+3)*e.cold.meanJob.Seconds()))
		}
		if a.Cold = max(a.Cold, most); most > 1 {
			a.Felled++
		}
	}
}

// overlap tells whether two spans of one job overlap by more than a gap. One that is not over at the end of a run is the last.
func overlap(spans [][2]time.Duration, gap time.Duration) bool {
	slices.SortFunc(spans, func(a, b [2]time.Duration) int { return cmp.Compare(a[0], b[0]) })
	for n := 1; n < len(spans); n++ {
		if spans[n-1][1] == 0 || spans[n-1][1] > spans[n][0]+gap {
			return true
		}
	}
	return false
}
