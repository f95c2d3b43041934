package spread

import "time"

// Picture is a run over time, for plots.
type Timeline struct {
	Window         time.Duration       `json:"window_ns"`
	Engines        [][]float64         `json:"engines"` // core time used by engine and window, over what it has
	Jobs           []JobOutcomes       `json:"jobs"`    // by window, of when they were sent
	Controllers    []ControllerOutcome `json:"controllers"`
	Dials          []int               `json:"dials"` // by window
	DiscoveryCalls []int               `json:"discovery_calls"`
}

// Slice is what became of the jobs of one window.
type JobOutcomes struct {
	Sent       int `json:"Sent"`
	InTime     int `json:"InTime"`
	Late       int `json:"Late"`
	Rejected   int `json:"Rejected"`
	Unanswered int `json:"None"`
}

// Share is how many jobs a controller had, and how many of them were done in time.
type ControllerOutcome struct {
	Jobs   int `json:"Jobs"`
	InTime int `json:"InTime"`
}

// pictureWindow shows faults of a second, and keeps a minute of 80 engines small.
const timelineWindow = 250 * time.Millisecond

// Draw gives the picture of a run.
func NewTimeline(r Observations) *Timeline {
	n := max(int((r.To-r.From)/timelineWindow), 1)
	p := &Timeline{Window: timelineWindow, Engines: make([][]float64, r.Engines), Jobs: make([]JobOutcomes, n),
		Controllers: make([]ControllerOutcome, r.Controllers), Dials: make([]int, n), DiscoveryCalls: make([]int, n)}
	at := func(t time.Duration) int {
		if !r.inMeasuredSpan(t) {
			return -1
		}
		return min(int((t-r.From)/timelineWindow), n-1)
	}
	for e := range p.Engines {
		p.Engines[e] = make([]float64, n)
	}
	for _, v := range r.Attempts {
		p.addAttempt(r, v)
	}
	for _, j := range r.Jobs {
		w := at(j.SentAt)
		if w < 0 {
			continue
		}
		s, c := &p.Jobs[w], &p.Controllers[j.Controller]
		s.Sent++
		c.Jobs++
		switch {
		case j.InTime:
			s.InTime++
			c.InTime++
		case j.Done:
			s.Late++
		case j.Rejected:
			s.Rejected++
		default:
			s.Unanswered++
		}
	}
	for counts, times := range map[*[]int][]time.Duration{&p.Dials: r.Dials, &p.DiscoveryCalls: r.DiscoveryCalls} {
		for _, t := range times {
			if w := at(t); w >= 0 {
				(*counts)[w]++
			}
		}
	}
	return p
}

// use adds the time that an attempt ran to the windows of its engine, as a part of its cores: above 1 jobs share them.
func (p *Timeline) addAttempt(r Observations, v Attempt) {
	for from := v.StartedAt - r.From; v.EndedAt > v.StartedAt && from < v.EndedAt-r.From; {
		w := int(from / p.Window)
		to := min(v.EndedAt-r.From, time.Duration(w+1)*p.Window)
		if from >= 0 && w < len(p.Engines[v.Engine]) {
			p.Engines[v.Engine][w] += float64(to-from) / float64(p.Window) / float64(r.coresOf(v.Engine))
		} else if from >= 0 {
			return
		}
		from = to
	}
}
