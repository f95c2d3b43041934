// Package spread measures how evenly the engines of a fleet were used. It relies on what engines and clients observed and never on
// reports of controllers. Times count from the start of a run.
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
	AnsweredAt    time.Duration // 0: it was not answered
	Done          bool
	Rejected      bool
	InTime        bool          // done within the latency target
	ArrivedAt     time.Duration // when an engine first read it
	ReachedEngine bool          // an engine read it; otherwise ArrivedAt is 0
}

// Attempt is one attempt at a job as its engine saw it.
type Attempt struct {
	Engine    int
	ArrivedAt time.Duration
	Work      time.Duration // core time that the job needs
	StartedAt time.Duration // when it began to run
	EndedAt   time.Duration // when it stopped running; 0: it never ran
}

// Observations is the input of Compute and NewTimeline: what was observed during a run.
type Observations struct {
	From, To       time.Duration // the measured span; events outside of it are ignored
	Engines        int
	CoresPerEngine int   // of every engine that CoresByEngine does not list
	CoresByEngine  []int // by engine number
	Controllers    int
	Jobs           []Job
	Attempts       []Attempt
	Dials          []time.Duration // connections opened by all controllers to all engines
	Probes         []time.Duration
	DiscoveryCalls []time.Duration
}

// Window describes how evenly work arrived at engines in windows of one length: means over the windows in which any work arrived.
type Window struct {
	Length    time.Duration `json:"length_ns"`
	Busiest   float64       `json:"busiest"`   // work of the busiest engine, relative to the mean
	Idlest    float64       `json:"idlest"`    // work of the least busy engine, relative to the mean
	Variation float64       `json:"variation"` // coefficient of variation of the work across engines
}

// Peak describes a rate across the fleet: the number of events, and the maximum per second relative to the mean.
type Peak struct {
	Total       int     `json:"total"`
	MaxOverMean float64 `json:"most_over_mean"`
}

// Figures are the measurements of a run.
type Figures struct {
	Windows              []Window `json:"windows"`
	ArrivalDispersion    float64  `json:"herd"`      // variance over mean of the arrivals at an engine per 50 ms, mean of all engines; 1 for random arrivals
	MaxArrivalDispersion float64  `json:"herd_most"` // the same for the worst engine
	PeakArrivals         float64  `json:"surge"`     // maximum of the arrivals at an engine in 50 ms, relative to its mean
	Idle                 float64  `json:"idle"`      // share of engine time with a free core while a controller held a job
	Busy                 float64  `json:"busy"`      // share of core time used
	Stranded             float64  `json:"stranded"`  // share of jobs rejected while an engine had a free core
	Rejected             float64  `json:"rejected"`  // share of jobs rejected
	InTime               float64  `json:"in_time"`   // share of jobs done in time, mean of controllers
	Worst                float64  `json:"worst"`     // share of jobs done in time at the worst controller
	Lost                 int      `json:"lost"`      // jobs that were not answered
	Jobs                 int      `json:"jobs"`      // jobs sent in the measured span
	AttemptsPerJob       float64  `json:"attempts"`  // attempts per job
	Dials                Peak     `json:"dials"`
	Probes               Peak     `json:"probes"`
	DiscoveryCalls       Peak     `json:"discovery_calls"`
}

// herdWindow is shorter than a typical job and longer than messages take.
const herdWindow = 50 * time.Millisecond

// transitTime is how long after it was sent a job that has not reached an engine counts as in transit and not as held. It covers the path
// from the client through a controller on a machine that runs hundreds of controllers.
const transitTime = 25 * time.Millisecond

// minJobsPerController is the number of jobs from which a controller's share of jobs in time is meaningful.
const minJobsPerController = 10

// Compute returns the figures of a run. Windows longer than the measured span are left out.
func Compute(o Observations) Figures {
	var f Figures
	for _, length := range []time.Duration{herdWindow, time.Second, 10 * time.Second} {
		if length <= o.To-o.From {
			f.Windows = append(f.Windows, o.workBalance(length))
		}
	}
	f.ArrivalDispersion, f.MaxArrivalDispersion, f.PeakArrivals = o.arrivalDispersion()
	f.Dials, f.Probes, f.DiscoveryCalls = o.peakRate(o.Dials), o.peakRate(o.Probes), o.peakRate(o.DiscoveryCalls)
	o.countJobs(&f)
	o.measureIdle(&f)
	return f
}

// coresOf returns the number of cores of an engine.
func (o Observations) coresOf(engine int) int {
	if engine < len(o.CoresByEngine) {
		return o.CoresByEngine[engine]
	}
	return max(o.CoresPerEngine, 1)
}

// totalCores returns the number of cores of all engines.
func (o Observations) totalCores() (total int) {
	for e := range o.Engines {
		total += o.coresOf(e)
	}
	return total
}

func (o Observations) inMeasuredSpan(at time.Duration) bool { return at >= o.From && at < o.To }

// binArrivals sums a weight of the attempts that arrived, by engine and window.
func (o Observations) binArrivals(length time.Duration, weight func(Attempt) float64) [][]float64 {
	count := int((o.To - o.From) / length)
	bins := make([][]float64, o.Engines)
	for e := range bins {
		bins[e] = make([]float64, count)
	}
	for _, attempt := range o.Attempts {
		if at := int((attempt.ArrivedAt - o.From) / length); o.inMeasuredSpan(attempt.ArrivedAt) && at < count {
			bins[attempt.Engine][at] += weight(attempt)
		}
	}
	return bins
}

// workBalance returns how evenly work arrived at engines in windows of a length.
func (o Observations) workBalance(length time.Duration) Window {
	// Work is normalized by capacity: an engine with twice the cores should get twice the work.
	mean := float64(o.totalCores()) / float64(o.Engines)
	bins := o.binArrivals(length, func(attempt Attempt) float64 {
		return attempt.Work.Seconds() * mean / float64(o.coresOf(attempt.Engine))
	})
	w := Window{Length: length}
	windows := 0.0
	for at := range bins[0] {
		work := make([]float64, o.Engines)
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
		w.Variation += deviation / mean
	}
	if windows > 0 {
		w.Busiest, w.Idlest, w.Variation = w.Busiest/windows, w.Idlest/windows, w.Variation/windows
	}
	return w
}

// arrivalDispersion returns the variance-to-mean ratio of arrivals per herdWindow, as the mean of all engines and of the worst one, and the
// highest number of arrivals in a window relative to the engine's mean.
func (o Observations) arrivalDispersion() (mean, maxRatio, surge float64) {
	bins := o.binArrivals(herdWindow, func(Attempt) float64 { return 1 })
	var ratios []float64
	for _, counts := range bins {
		if binMean, variance := stat.PopMeanVariance(counts, nil); binMean > 0 {
			ratios = append(ratios, variance/binMean)
			surge = math.Max(surge, slices.Max(counts)/binMean)
		}
	}
	if len(ratios) == 0 {
		return 0, 0, 0
	}
	return stat.Mean(ratios, nil), slices.Max(ratios), surge
}

// peakRate returns the number of events in the measured span and their highest rate per second relative to the mean.
func (o Observations) peakRate(times []time.Duration) Peak {
	counts := make([]float64, max(int((o.To-o.From)/time.Second), 1))
	total := 0
	for _, t := range times {
		if second := int((t - o.From) / time.Second); o.inMeasuredSpan(t) && second < len(counts) {
			counts[second]++
			total++
		}
	}
	if total == 0 {
		return Peak{}
	}
	return Peak{total, slices.Max(counts) / stat.Mean(counts, nil)}
}

// countJobs sets the figures about jobs and attempts.
func (o Observations) countJobs(f *Figures) {
	sent, inTime := make([]float64, o.Controllers), make([]float64, o.Controllers)
	for _, j := range o.Jobs {
		if !o.inMeasuredSpan(j.SentAt) {
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
	attempts := 0
	for _, attempt := range o.Attempts {
		if o.inMeasuredSpan(attempt.ArrivedAt) {
			attempts++
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
		f.AttemptsPerJob = float64(attempts) / float64(f.Jobs)
	}
}

// step is one change of the number of jobs that run at an engine or that controllers hold, or a rejection.
type step struct {
	at       time.Duration
	engine   int // -1: the number of held jobs changes
	delta    int
	rejected bool
}

// measureIdle sets Idle, Busy and Stranded. It goes through all changes in order of time; of those at the same time it takes decreases
// first, then rejections, then increases.
func (o Observations) measureIdle(f *Figures) {
	var steps []step
	for _, attempt := range o.Attempts {
		if attempt.EndedAt > attempt.StartedAt {
			steps = append(steps, step{attempt.StartedAt, attempt.Engine, 1, false}, step{attempt.EndedAt, attempt.Engine, -1, false})
		}
	}
	for _, j := range o.Jobs {
		until := j.ArrivedAt
		if !j.ReachedEngine {
			until = j.AnsweredAt
		}
		if from := j.SentAt + transitTime; until > from {
			steps = append(steps, step{from, -1, 1, false}, step{until, -1, -1, false})
		}
		if j.Rejected && o.inMeasuredSpan(j.SentAt) {
			steps = append(steps, step{j.AnsweredAt, -1, 0, true})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		if a.at != b.at {
			return int(min(max(a.at-b.at, -1), 1))
		}
		return a.delta - b.delta
	})
	running, heldJobs, coveredUntil := make([]int, o.Engines), 0, o.From
	freeEngines, usedCores := o.Engines, 0
	var idleSeconds, busySeconds float64
	stranded := 0
	for _, s := range steps {
		if s.rejected && freeEngines > 0 {
			stranded++
		}
		if until := min(s.at, o.To); until > coveredUntil {
			span := (until - coveredUntil).Seconds()
			busySeconds += span * float64(usedCores)
			if heldJobs > 0 {
				idleSeconds += span * float64(freeEngines)
			}
			coveredUntil = until
		}
		if s.engine < 0 {
			heldJobs += s.delta
			continue
		}
		before := running[s.engine]
		running[s.engine] += s.delta
		cores := o.coresOf(s.engine)
		usedCores += min(running[s.engine], cores) - min(before, cores)
		wasFree := before < cores
		if isFree := running[s.engine] < cores; wasFree && !isFree {
			freeEngines--
		} else if isFree && !wasFree {
			freeEngines++
		}
	}
	if span := (o.To - o.From).Seconds(); span > 0 && o.Engines > 0 {
		f.Idle = idleSeconds / span / float64(o.Engines)
		f.Busy = busySeconds / span / float64(max(o.totalCores(), 1))
	}
	if f.Jobs > 0 {
		f.Stranded = float64(stranded) / float64(f.Jobs)
	}
}
