package spread

import "time"

// Timeline is a run over time, for plots.
type Timeline struct {
	Window         time.Duration       `json:"window_ns"`
	Engines        [][]float64         `json:"engines"` // core time used, by engine and window, relative to the engine's cores
	Jobs           []JobOutcomes       `json:"jobs"`    // by the window in which they were sent
	Controllers    []ControllerOutcome `json:"controllers"`
	Dials          []int               `json:"dials"` // by window
	DiscoveryCalls []int               `json:"discovery_calls"`
}

// JobOutcomes counts the outcomes of the jobs sent in one window.
type JobOutcomes struct {
	Sent       int `json:"Sent"`
	InTime     int `json:"InTime"`
	Late       int `json:"Late"`
	Rejected   int `json:"Rejected"`
	Unanswered int `json:"None"`
}

// ControllerOutcome counts a controller's jobs, and those of them that were done in time.
type ControllerOutcome struct {
	Jobs   int `json:"Jobs"`
	InTime int `json:"InTime"`
}

// timelineWindow is short enough to show faults of one second and keeps a minute of 80 engines small.
const timelineWindow = 250 * time.Millisecond

// NewTimeline returns the timeline of a run.
func NewTimeline(o Observations) *Timeline {
	windows := max(int((o.To-o.From)/timelineWindow), 1)
	p := &Timeline{Window: timelineWindow, Engines: make([][]float64, o.Engines), Jobs: make([]JobOutcomes, windows),
		Controllers: make([]ControllerOutcome, o.Controllers), Dials: make([]int, windows), DiscoveryCalls: make([]int, windows)}
	windowOf := func(t time.Duration) int {
		if !o.inMeasuredSpan(t) {
			return -1
		}
		return min(int((t-o.From)/timelineWindow), windows-1)
	}
	for e := range p.Engines {
		p.Engines[e] = make([]float64, windows)
	}
	for _, v := range o.Attempts {
		p.addAttempt(o, v)
	}
	for _, j := range o.Jobs {
		window := windowOf(j.SentAt)
		if window < 0 {
			continue
		}
		outcomes, controller := &p.Jobs[window], &p.Controllers[j.Controller]
		outcomes.Sent++
		controller.Jobs++
		switch {
		case j.InTime:
			outcomes.InTime++
			controller.InTime++
		case j.Done:
			outcomes.Late++
		case j.Rejected:
			outcomes.Rejected++
		default:
			outcomes.Unanswered++
		}
	}
	for counts, times := range map[*[]int][]time.Duration{&p.Dials: o.Dials, &p.DiscoveryCalls: o.DiscoveryCalls} {
		for _, t := range times {
			if window := windowOf(t); window >= 0 {
				(*counts)[window]++
			}
		}
	}
	return p
}

// addAttempt adds the time that an attempt ran to the windows of its engine, as a share of the engine's cores. Above 1, jobs share cores.
func (p *Timeline) addAttempt(o Observations, attempt Attempt) {
	for from := attempt.StartedAt - o.From; attempt.EndedAt > attempt.StartedAt && from < attempt.EndedAt-o.From; {
		window := int(from / p.Window)
		to := min(attempt.EndedAt-o.From, time.Duration(window+1)*p.Window)
		if from >= 0 && window < len(p.Engines[attempt.Engine]) {
			p.Engines[attempt.Engine][window] += float64(to-from) / float64(p.Window) / float64(o.coresOf(attempt.Engine))
		} else if from >= 0 {
			return
		}
		from = to
	}
}
