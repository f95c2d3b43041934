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
	Controller    int
	SentAt        time.Duration
	AnsweredAt    time.Duration // 0: never
	Done          bool
	Rejected      bool
	InTime        bool // done within the latency target
	ArrivedAt     time.Duration
	ReachedEngine bool // an engine read it, first at Came
}

// Visit is one attempt as its engine saw it.
type Attempt struct {
	Engine    int
	ArrivedAt time.Duration
	Work      time.Duration
	StartedAt time.Duration // runs from then
	EndedAt   time.Duration // until then; 0 for one that never began
}

// Run is what is to be told about.
type Observations struct {
	From, To       time.Duration // what lies outside is left out
	Engines        int
	CoresPerEngine int   // of each, or
	CoresByEngine  []int // of each by number
	Controllers    int
	Jobs           []Job
	Attempts       []Attempt
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
const transitTime = 25 * time.Millisecond

// leastJobs of a controller tell about its share in time.
const minJobsPerController = 10

// Tell works the figures out.
func Compute(r Observations) Figures {
	var f Figures
	for _, length := range []time.Duration{herdWindow, time.Second, 10 * time.Second} {
		if length <= r.To-r.From {
			f.Windows = append(f.Windows, r.workBalance(length))
		}
	}
	f.Herd, f.HerdMost, f.Surge = r.arrivalDispersion()
	f.Dials, f.Probes, f.DiscoveryCalls = r.peakRate(r.Dials), r.peakRate(r.Probes), r.peakRate(r.DiscoveryCalls)
	r.countJobs(&f)
	r.measureIdle(&f)
	return f
}

// cores of an engine.
func (r Observations) coresOf(engine int) int {
	if engine < len(r.CoresByEngine) {
		return r.CoresByEngine[engine]
	}
	return max(r.CoresPerEngine, 1)
}

// allCores over all engines.
func (r Observations) totalCores() (total int) {
	for e := range r.Engines {
		total += r.coresOf(e)
	}
	return total
}

func (r Observations) inMeasuredSpan(at time.Duration) bool { return at >= r.From && at < r.To }

// bins counts what engines got in windows: weight by engine and window.
func (r Observations) binArrivals(length time.Duration, weight func(Attempt) float64) [][]float64 {
	n := int((r.To - r.From) / length)
	bins := make([][]float64, r.Engines)
	for e := range bins {
		bins[e] = make([]float64, n)
	}
	for _, v := range r.Attempts {
		if at := int((v.ArrivedAt - r.From) / length); r.inMeasuredSpan(v.ArrivedAt) && at < n {
			bins[v.Engine][at] += weight(v)
		}
	}
	return bins
}

func (r Observations) workBalance(length time.Duration) Window {
	// By capacity, so that an engine of twice the cores should get twice the work.
	mean := float64(r.totalCores()) / float64(r.Engines)
	bins := r.binArrivals(length, func(v Attempt) float64 { return v.Work.Seconds() * mean / float64(r.coresOf(v.Engine)) })
	w := Window{Length: length}
	windows := 0.0
	for at := range bins[0] {
		work := make([]float64, r.Engines)
		for e := range bins {
			work[e] = bins[e][at]
		}
		mean, deviation := stat.PopMeanStdDev(work, nil)
		if mean == 0 {
			continue
		}
		windows++
		w.Busiest += slices.Max(work) / mean
		w.Idlest += slices.Min(work) / mean
		w.Variance += deviation / mean
	}
	if windows > 0 {
		w.Busiest, w.Idlest, w.Variance = w.Busiest/windows, w.Idlest/windows, w.Variance/windows
	}
	return w
}

func (r Observations) arrivalDispersion() (mean, maxRatio, surge float64) {
	bins := r.binArrivals(herdWindow, func(Attempt) float64 { return 1 })
	var ratios []float64
	for _, counts := range bins {
		if m, v := stat.PopMeanVariance(counts, nil); m > 0 {
			ratios = append(ratios, v/m)
			surge = math.Max(surge, slices.Max(counts)/m)
		}
	}
	if len(ratios) == 0 {
		return 0, 0, 0
	}
	return stat.Mean(ratios, nil), slices.Max(ratios), surge
}

func (r Observations) peakRate(at []time.Duration) Peak {
	counts := make([]float64, max(int((r.To-r.From)/time.Second), 1))
	total := 0
	for _, t := range at {
		if n := int((t - r.From) / time.Second); r.inMeasuredSpan(t) && n < len(counts) {
			counts[n]++
			total++
		}
	}
	if total == 0 {
		return Peak{}
	}
	return Peak{total, slices.Max(counts) / stat.Mean(counts, nil)}
}

func (r Observations) countJobs(f *Figures) {
	sent, inTime := make([]float64, r.Controllers), make([]float64, r.Controllers)
	for _, j := range r.Jobs {
		if !r.inMeasuredSpan(j.SentAt) {
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
		if j.AnsweredAt == 0 {
			f.Lost++
		}
	}
	visits := 0
	for _, v := range r.Attempts {
		if r.inMeasuredSpan(v.ArrivedAt) {
			visits++
		}
	}
	var shares []float64
	for c := range sent {
		if sent[c] >= minJobsPerController {
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
type step struct {
	at       time.Duration
	engine   int // -1: a job is held or no longer
	delta    int
	rejected bool
}

// idle walks through all changes in order of time.
func (r Observations) measureIdle(f *Figures) {
	var steps []step
	for _, v := range r.Attempts {
		if v.EndedAt > v.StartedAt {
			steps = append(steps, step{v.StartedAt, v.Engine, 1, false}, step{v.EndedAt, v.Engine, -1, false})
		}
	}
	for _, j := range r.Jobs {
		until := j.ArrivedAt
		if !j.ReachedEngine {
			until = j.AnsweredAt
		}
		if from := j.SentAt + transitTime; until > from {
			steps = append(steps, step{from, -1, 1, false}, step{until, -1, -1, false})
		}
		if j.Rejected && r.inMeasuredSpan(j.SentAt) {
			steps = append(steps, step{j.AnsweredAt, -1, 0, true})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		if a.at != b.at {
			return int(min(max(a.at-b.at, -1), 1))
		}
		return a.delta - b.delta
	})
	running, heldJobs, last := make([]int, r.Engines), 0, r.From
	freeEngines, usedCores := r.Engines, 0
	var idle, busy float64
	stranded := 0
	for _, s := range steps {
		if s.rejected && freeEngines > 0 {
			stranded++
		}
		if until := min(s.at, r.To); until > last {
			span := (until - last).Seconds()
			busy += span * float64(usedCores)
			if heldJobs > 0 {
				idle += span * float64(freeEngines)
			}
			last = until
		}
		if s.engine < 0 {
			heldJobs += s.delta
			continue
		}
		before := running[s.engine]
		running[s.engine] += s.delta
		cores := r.coresOf(s.engine)
		usedCores += min(running[s.engine], cores) - min(before, cores)
		wasFree := before < cores
		if isFree := running[s.engine] < cores; wasFree && !isFree {
			freeEngines--
		} else if isFree && !wasFree {
			freeEngines++
		}
	}
	if span := (r.To - r.From).Seconds(); span > 0 && r.Engines > 0 {
		f.Idle = idle / span / float64(r.Engines)
		f.Busy = busy / span / float64(max(r.totalCores(), 1))
	}
	if f.Jobs > 0 {
		f.Stranded = float64(stranded) / float64(f.Jobs)
	}
}
