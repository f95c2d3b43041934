package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/lab/fleet/spread"
	"yarrowbarrow/lab/load"
	"yarrowbarrow/lab/standin/engine"
)

// visit is a dispatch at an engine, with the job's id, and when it was over there.
type visit struct {
	spread.Visit
	id   string
	over time.Duration
}

// record is what one engine saw.
type record struct {
	began time.Time

	mu            sync.Mutex
	visits        []visit
	open          map[string]int // the newest visit of a job
	dials, probes []time.Duration
}

func (r *record) watch(e engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := e.At.Sub(r.began)
	n, known := r.open[e.ID]
	switch {
	case e.What == engine.Dialled:
		r.dials = append(r.dials, at)
	case e.What == engine.Probed:
		r.probes = append(r.probes, at)
	case e.What == engine.Came:
		r.open[e.ID] = len(r.visits)
		r.visits = append(r.visits, visit{Visit: spread.Visit{Came: at, Work: e.Work}, id: e.ID})
	case !known:
	case e.What == engine.Began:
		r.visits[n].Began = at
	default:
		v := &r.visits[n]
		if v.over == 0 {
			v.over = at
		}
		if v.Began > 0 {
			v.Ended = at
		}
	}
}

func (r *record) all() ([]visit, []time.Duration, []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.visits), slices.Clone(r.dials), slices.Clone(r.probes)
}

// overlap tells whether two spans of one job overlap. One that is not over at the end of a run is the last.
func overlap(spans [][2]time.Duration) bool {
	slices.SortFunc(spans, func(a, b [2]time.Duration) int { return int(min(max(a[0]-b[0], -1), 1)) })
	for n := 1; n < len(spans); n++ {
		if spans[n-1][1] == 0 || spans[n-1][1] > spans[n][0] {
			return true
		}
	}
	return false
}

// guests are the clients of one controller.
type guests struct {
	fleet     *fleet
	number    int
	process   *Process
	rng       *rand.Rand
	perSecond float64
	open      sync.WaitGroup

	mu      sync.Mutex
	client  *load.Client
	jobs    map[string]*spread.Job
	order   []string
	lost    int
	excused bool // the controller is being killed
	away    bool // the front has taken the controller out
	strays  int
}

// ask sends jobs at times drawn from an exponential distribution, as of many independent clients.
func (g *guests) ask(over context.Context) {
	from := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / g.perSecond * float64(time.Second))
		j := load.Job{Type: "lookup", ID: fmt.Sprintf("%08x%08x", g.number, g.rng.Uint32()), Wait: lookupWait}
		work, sla := lookupWork, lookupSLA
		if g.rng.Float64() < reportShare {
			work, sla, j.Type, j.Wait = reportWork, reportSLA, "report", reportWait
		}
		work = time.Duration((0.5 + g.rng.Float64()) * float64(work))
		j.CostMS = float64(work) / float64(time.Millisecond)
		j.Statement = engine.Work("select 1 from t_1.x", work)
		timer := time.NewTimer(at - time.Since(from))
		select {
		case <-over.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.send(j, sla)
	}
}

// send asks on the present connection, or a new one: the one before may be over or take no more.
func (g *guests) send(j load.Job, sla time.Duration) {
	job := &spread.Job{Controller: g.number, Sent: time.Since(g.fleet.began)}
	g.open.Add(1)
	for try := 0; ; try++ {
		g.mu.Lock()
		c, away := g.client, g.away
		g.mu.Unlock()
		if away {
			g.open.Done()
			return
		}
		if c == nil {
			c = g.dial()
		}
		if c == nil && try < mostDials {
			time.Sleep(10 * time.Millisecond)
			continue
		} else if c == nil { // nobody is there: the job was never taken
			g.open.Done()
			return
		}
		g.mu.Lock()
		if _, again := g.jobs[j.ID]; !again {
			g.jobs[j.ID] = job
			g.order = append(g.order, j.ID)
		}
		g.mu.Unlock()
		if c.Ask(j, func(a load.Answer, err error) { g.answered(j.ID, job, sla, a, err) }) == nil {
			return
		}
		g.mu.Lock()
		if g.client == c {
			g.client = nil
		}
		g.mu.Unlock()
	}
}

// mostDials is how often a job tries to reach a controller that is starting, a hundredth of a second apart.
const mostDials = 20

func (g *guests) dial() *load.Client {
	c, err := load.Dial(g.process.Listen)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client != nil {
		g.strays += g.client.Strays()
	}
	g.client = c
	return c
}

func (g *guests) answered(id string, job *spread.Job, sla time.Duration, a load.Answer, err error) {
	defer g.open.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		if delete(g.jobs, id); !g.excused {
			g.lost++
		}
		return
	}
	job.Answered = time.Since(g.fleet.began)
	job.Done, job.Throttled = a.Code == frame.Done, a.Code == frame.Throttled
	job.InTime = job.Done && a.Took <= sla
}

// excuse has what is open, or sent until it is taken back, not count as lost.
func (g *guests) excuse(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.excused = yes
}

// stayAway has nothing sent, as when the front has taken a controller out.
func (g *guests) stayAway(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = yes
}

// wait is for the last answers.
func (g *guests) wait(most time.Duration) {
	all := make(chan bool)
	go func() { g.open.Wait(); close(all) }()
	select {
	case <-all:
	case <-time.After(most):
	}
}

func (g *guests) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client != nil {
		g.client.Close()
	}
}

// all gives the jobs, with what engines saw of them.
func (g *guests) all(came map[string]time.Duration) (jobs []spread.Job, lost, doubled int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.order {
		if j := g.jobs[id]; j != nil {
			job := *j
			job.Came, job.Reached = came[id]
			jobs = append(jobs, job)
			if job.Answered == 0 {
				lost++
			}
		}
	}
	doubled = g.strays
	if g.client != nil {
		doubled += g.client.Strays()
	}
	return jobs, lost + g.lost, doubled
}
