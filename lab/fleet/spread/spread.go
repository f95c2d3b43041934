// Package spread tells how evenly the engines of a fleet were used, from what engines and clients saw and never from a
// controller's word. Times count from the start of a run.
package spread

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Job is one job as its client and the engines saw it.
type Job struct {
	Controller int
	Sent       time.Duration
	Answered   time.Duration // 0: never
	Done       bool
	Rejected   bool
	InTime     bool // done within the latency target
	Came       time.Duration
	Reached    bool // an engine read it, first at Came
}

// Visit is one attempt as its engine saw it.
type Visit struct {
	Engine int
	Came   time.Duration
	Work   time.Duration
	Began  time.Duration // runs from then
	Ended  time.Duration // until then; 0 for one that never began
}

// Run is what is to be told about.
type Run struct {
	From, To       time.Duration // what lies outside is left out
	Engines        int
	Cores          int   // of each, or
	CoresOf        []int // of each by number
	Controllers    int
	Jobs           []Job
	Visits         []Visit
	Dials          []time.Duration // of all controllers at all engines
	Probes         []time.Duration
	DiscoveryCalls []time.Duration
}

// Window is how evenly work came to engines in windows of one length: means over the windows in which any came.
type Window struct {
	Length   time.Duration `json:"length_ns"`
	Busiest  float64       `json:"busiest"`   // work of the busiest engine over the mean
	Idlest   float64       `json:"idlest"`    // of the idlest
	Variance float64       `json:"variation"` // coefficient of variation over engines
}

// Peak is a rate over the fleet: the most in a window of a second over the mean.
type Peak struct {
	Total int     `json:"total"`
	Most  float64 `json:"most_over_mean"`
}

// Figures of a run.
type Figures struct {
	Windows        []Window `json:"windows"`
	Herd           float64  `json:"herd"`      // variance over mean of arrivals at an engine in 50 ms, mean of engines; 1 is chance
	HerdMost       float64  `json:"herd_most"` // of the worst engine
	Surge          float64  `json:"surge"`     // most arrivals at an engine in 50 ms over its mean
	Idle           float64  `json:"idle"`      // engine time with a free core while a job was held, as a share
	Busy           float64  `json:"busy"`      // core time used, as a share
	Stranded       float64  `json:"stranded"`  // jobs rejected while an engine had a free core, as a share of jobs
	Rejected       float64  `json:"rejected"`  // as a share of jobs
	InTime         float64  `json:"in_time"`   // mean of controllers
	Worst          float64  `json:"worst"`     // in time at the worst controller
	Lost           int      `json:"lost"`      // jobs without an answer
	Jobs           int      `json:"jobs"`      // in the span
	Attempt        float64  `json:"attempts"`  // a job
	Dials          Peak     `json:"dials"`
	Probes         Peak     `json:"probes"`
	DiscoveryCalls Peak     `json:"discovery_calls"`
}

// herdWindow is short against a job and long against the ways of messages.
const herdWindow = 50 * time.Millisecond

// onTheWay is how long a job that reached no engine counts as on its way and not as held: the way from the client through a
// controller, on a machine that runs hundreds of them.
const onTheWay = 25 * time.Millisecond

// leastJobs of a controller tell about its share in time.
const leastJobs = 10

// Tell works the figures out.
func Tell(r Run) Figures {
	var f Figures
	for _, length := range []time.Duration{herdWindow, time.Second, 10 * time.Second} {
		if length <= r.To-r.From {
			f.Windows = append(f.Windows, r.window(length))
		}
	}
	f.Herd, f.HerdMost, f.Surge = r.herd()
	f.Dials, f.Probes, f.DiscoveryCalls = r.peak(r.Dials), r.peak(r.Probes), r.peak(r.DiscoveryCalls)
	r.jobs(&f)
	r.idle(&f)
	return f
}

// cores of an engine.
func (r Run) cores(engine int) int {
	if engine < len(r.CoresOf) {
		return r.CoresOf[engine]
	}
	return max(r.Cores, 1)
}

// allCores over all engines.
func (r Run) allCores() (n int) {
	for e := range r.Engines {
		n += r.cores(e)
	}
	return n
}

func (r Run) inside(at time.Duration) bool { return at >= r.From && at < r.To }

// bins counts what engines got in windows: weight by engine and window.
func (r Run) bins(length time.Duration, weight func(Visit) float64) [][]float64 {
	n := int((r.To - r.From) / length)
	bins := make([][]float64, r.Engines)
	for e := range bins {
		bins[e] = make([]float64, n)
	}
	for _, v := range r.Visits {
		if at := int((v.Came - r.From) / length); r.inside(v.Came) && at < n {
			bins[v.Engine][at] += weight(v)
		}
	}
	return bins
}

func (r Run) window(length time.Duration) Window {
	// By capacity, so that an engine of twice the cores should get twice the work.
	mean := float64(r.allCores()) / float64(r.Engines)
	bins := r.bins(length, func(v Visit) float64 { return v.Work.Seconds() * mean / float64(r.cores(v.Engine)) })
	w := Window{Length: length}
	used := 0.0
	for at := range bins[0] {
		got := make([]float64, r.Engines)
		for e := range bins {
			got[e] = bins[e][at]
		}
		mean, deviation := stat.PopMeanStdDev(got, nil)
		if mean == 0 {
			continue
		}
		used++
		w.Busiest += slices.Max(got) / mean
		w.Idlest += slices.Min(got) / mean
		w.Variance += deviation / mean
	}
	if used > 0 {
		w.Busiest, w.Idlest, w.Variance = w.Busiest/used, w.Idlest/used, w.Variance/used
	}
	return w
}

func (r Run) herd() (mean, most, surge float64) {
	bins := r.bins(herdWindow, func(Visit) float64 { return 1 })
	var all []float64
	for _, counts := range bins {
		if m, v := stat.PopMeanVariance(counts, nil); m > 0 {
			all = append(all, v/m)
			surge = math.Max(surge, slices.Max(counts)/m)
		}
	}
	if len(all) == 0 {
		return 0, 0, 0
	}
	return stat.Mean(all, nil), slices.Max(all), surge
}

func (r Run) peak(at []time.Duration) Peak {
	counts := make([]float64, max(int((r.To-r.From)/time.Second), 1))
	total := 0
	for _, t := range at {
		if n := int((t - r.From) / time.Second); r.inside(t) && n < len(counts) {
			counts[n]++
			total++
		}
	}
	if total == 0 {
		return Peak{}
	}
	return Peak{total, slices.Max(counts) / stat.Mean(counts, nil)}
}

func (r Run) jobs(f *Figures) {
	sent, inTime := make([]float64, r.Controllers), make([]float64, r.Controllers)
	for _, j := range r.Jobs {
		if !r.inside(j.Sent) {
			continue
		}
		f.Jobs++
		sent[j.Controller]++
		if j.InTime {
			inTime[j.Controller]++
		}
		if j.Rejected {
			f.Rejected++
		}
		if j.Answered == 0 {
			f.Lost++
		}
	}
	visits := 0
	for _, v := range r.Visits {
		if r.inside(v.Came) {
			visits++
		}
	}
	var shares []float64
	for c := range sent {
		if sent[c] >= leastJobs {
			shares = append(shares, inTime[c]/sent[c])
		}
	}
	if len(shares) > 0 {
		f.InTime, f.Worst = stat.Mean(shares, nil), slices.Min(shares)
	}
	if f.Jobs > 0 {
		f.Rejected /= float64(f.Jobs)
		f.Attempt = float64(visits) / float64(f.Jobs)
	}
}

// change is one step of what goes on: cores of an engine, or jobs held. A rejected job is looked at before the steps
// of its instant.
type change struct {
	at      time.Duration
	engine  int // -1: a job is held or no longer
	by      int
	refused bool
}

// idle walks through all changes in order of time.
func (r Run) idle(f *Figures) {
	var steps []change
	for _, v := range r.Visits {
		if v.Ended > v.Began {
			steps = append(steps, change{v.Began, v.Engine, 1, false}, change{v.Ended, v.Engine, -1, false})
		}
	}
	for _, j := range r.Jobs {
		until := j.Came
		if !j.Reached {
			until = j.Answered
		}
		if from := j.Sent + onTheWay; until > from {
			steps = append(steps, change{from, -1, 1, false}, change{until, -1, -1, false})
		}
		if j.Rejected && r.inside(j.Sent) {
			steps = append(steps, change{j.Answered, -1, 0, true})
		}
	}
	slices.SortStableFunc(steps, func(a, b change) int {
		if a.at != b.at {
			return int(min(max(a.at-b.at, -1), 1))
		}
		return a.by - b.by
	})
	running, held, last := make([]int, r.Engines), 0, r.From
	free, used := r.Engines, 0
	var idle, busy float64
	stranded := 0
	for _, s := range steps {
		if s.refused && free > 0 {
			stranded++
		}
		if to := min(s.at, r.To); to > last {
			span := (to - last).Seconds()
			busy += span * float64(used)
			if held > 0 {
				idle += span * float64(free)
			}
			last = to
		}
		if s.engine < 0 {
			held += s.by
			continue
		}
		before := running[s.engine]
		running[s.engine] += s.by
		cores := r.cores(s.engine)
		used += min(running[s.engine], cores) - min(before, cores)
		was := before < cores
		if is := running[s.engine] < cores; was && !is {
			free--
		} else if is && !was {
			free++
		}
	}
	if span := (r.To - r.From).Seconds(); span > 0 && r.Engines > 0 {
		f.Idle = idle / span / float64(r.Engines)
		f.Busy = busy / span / float64(max(r.allCores(), 1))
	}
	if f.Jobs > 0 {
		f.Stranded = float64(stranded) / float64(f.Jobs)
	}
}
