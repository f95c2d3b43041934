package fleet

import (
	"context"
	"errors"
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

// visit is an attempt at an engine, with the job's id, and when it was over there.
type visit struct {
	spread.Visit
	id   string
	over time.Duration
	wait time.Duration // for which the controller waits, as it told
}

// record is what one engine saw.
type record struct {
	began time.Time

	mu            sync.Mutex
	visits        []visit
	open          map[int]int // the visit of each attempt, by its number
	dials, probes []time.Duration
}

func (r *record) watch(e engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := e.At.Sub(r.began)
	n, known := r.open[e.Run]
	switch {
	case e.What == engine.Dialled:
		r.dials = append(r.dials, at)
	case e.What == engine.Probed:
		r.probes = append(r.probes, at)
	case e.What == engine.Came:
		r.open[e.Run] = len(r.visits)
		r.visits = append(r.visits, visit{Visit: spread.Visit{Came: at, Work: e.Work}, id: e.ID, wait: e.Wait})
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
	asked   map[string]*ask
	hot     float64       // jobs a second while it is above 0
	eager   bool          // asks again at once what was turned away
	leaves  bool          // gives up early
	excused bool          // the controller is being killed
	lives   int           // how often it was: what was sent to an earlier life is not lost, whenever that is noticed
	away    bool          // the front has taken the controller out
	stopped time.Duration // for how long the controller stood still
	strays  int
}

// ask sends jobs at times drawn from an exponential distribution, as of many independent clients.
func (g *guests) ask(over context.Context) {
	for next := time.Now(); ; {
		g.mu.Lock()
		rate, leaves := max(g.hot, g.perSecond), g.leaves
		g.mu.Unlock()
		next = next.Add(time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second)))
		j := load.Job{ID: fmt.Sprintf("%08x%08x", g.number, g.rng.Uint32())}
		k := &g.fleet.kinds[0]
		at := g.rng.Float64()
		for n := range g.fleet.kinds {
			if at >= k.share && n > 0 {
				at -= k.share
				k = &g.fleet.kinds[n]
			}
		}
		work := time.Duration((0.5 + g.rng.Float64()) * float64(k.work))
		j.Type, j.Wait, j.CostMS = k.name, k.wait, float64(work)/float64(time.Millisecond)
		a := &ask{controller: g.number, kind: k}
		if k.keyed {
			j.Once = fmt.Sprintf("%016x%016x", g.rng.Uint64(), g.rng.Uint64())
		}
		j.Statement = engine.Work(k.statement, work)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-over.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.send(j, a, 0)
		if leaves {
			time.AfterFunc(j.Wait/10, func() { g.giveUp(j.ID) })
		}
	}
}

// giveUp tells the controller that nobody waits for a job that is still open.
func (g *guests) giveUp(id string) {
	g.mu.Lock()
	job, c := g.jobs[id], g.client
	open := job != nil && job.Answered == 0 && c != nil
	if open {
		delete(g.jobs, id)
		g.asked[id].left = time.Since(g.fleet.began)
	}
	g.mu.Unlock()
	if open && c.Leave(id) {
		g.open.Done()
	}
}

// heat sets another rate, or with 0 the usual one.
func (g *guests) heat(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = perSecond
}

// behave has clients ask again at once, or give up early.
func (g *guests) behave(how string, yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == "eager" {
		g.eager = yes
	} else {
		g.leaves = yes
	}
}

// send asks on the present connection, or a new one: the one before may be over or take no more.
func (g *guests) send(j load.Job, a *ask, again int) {
	job := &spread.Job{Controller: g.number}
	g.open.Add(1)
	for try := 0; ; try++ {
		g.mu.Lock()
		c, away := g.client, g.away
		g.mu.Unlock()
		if away && (c == nil || !g.fleet.Stay) {
			g.notSent(j.ID)
			return
		}
		if c == nil {
			c = g.dial()
		}
		if c == nil && try < mostDials {
			time.Sleep(10 * time.Millisecond)
			continue
		} else if c == nil { // nobody is there
			g.notSent(j.ID)
			return
		}
		g.mu.Lock()
		job.Sent = time.Since(g.fleet.began) // its time counts from when it is sent
		a.sent = job.Sent
		if _, was := g.jobs[j.ID]; !was {
			g.jobs[j.ID], g.asked[j.ID] = job, a
			a.life = g.lives
			g.order = append(g.order, j.ID)
		}
		g.mu.Unlock()
		if c.Ask(j, func(said load.Answer, err error) { g.answered(j, job, a, again, said, err) }) == nil {
			return
		}
		g.mu.Lock()
		if g.client == c {
			g.client = nil
		}
		g.mu.Unlock()
	}
}

// notSent tells that a job was never taken: no connection took it.
func (g *guests) notSent(id string) {
	g.mu.Lock()
	delete(g.jobs, id)
	g.mu.Unlock()
	g.open.Done()
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
	if g.fleet.Stay {
		c.Stay()
	}
	if g.client != nil {
		g.strays += g.client.Strays()
	}
	g.client = c
	return c
}

func (g *guests) answered(j load.Job, job *spread.Job, a *ask, again int, said load.Answer, err error) {
	defer g.open.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		now := time.Since(g.fleet.began)
		crossed := errors.Is(err, load.ErrCrossed) || g.fleet.Stay && now-a.sent < crossing+g.fleet.delay.between(a.sent, now)
		if delete(g.jobs, j.ID); !g.excused && a.life == g.lives && !crossed {
			g.lost++
			g.fleet.say("lost: %s of controller %d, %s, sent at %v, its connection over after %v, of which the rig lost %v: %v", j.ID, g.number,
				a.kind.name, a.sent, now-a.sent, g.fleet.delay.between(a.sent, now), err)
		}
		return
	}
	job.Answered = time.Since(g.fleet.began)
	job.Done, job.Rejected = said.Code == frame.Done, said.Code == frame.Rejected
	job.InTime = job.Done && said.Took <= a.kind.sla
	if job.Rejected && g.eager && again < mostAgain {
		j.ID = fmt.Sprintf("%s%02x%s", j.ID[:8], 0xf0+again, j.ID[10:])
		next := *a
		g.open.Add(1)
		go func() { defer g.open.Done(); g.send(j, &next, again+1) }()
	}
}

// mostAgain is how often an eager client asks again.
const mostAgain = 2

// crossing is how soon after it was sent a job may meet the end of its connection: its client sends it again. It is the protocol's;
// time in which the rig itself did not run is added.
const crossing = 50 * time.Millisecond

// stands tells that the controller stands still for some time, in which it can answer nothing.
func (g *guests) stands(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped += length
}

// excuse has what is open, or sent until it is taken back, not count as lost.
func (g *guests) excuse(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.excused = yes; yes {
		g.lives++
	}
}

// stayAway has nothing sent, as when the front has taken a controller out.
func (g *guests) stayAway(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = yes
}

// answerGrace is by how much an answer may come after its job's time: later ones count as lost. It is the protocol's half a
// second.
const answerGrace = 500 * time.Millisecond

// overdue counts the jobs whose answer came too late to be one.
func (g *guests) overdue() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, j := range g.jobs {
		late := j.Answered - j.Sent - g.asked[id].kind.wait
		if j.Answered > 0 && late > answerGrace+g.stopped {
			n++
			g.fleet.say("overdue: %s of controller %d, sent at %v, by %v", id, g.number, j.Sent, late)
		}
	}
	return n
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
func (g *guests) all(came map[string]time.Duration, asked map[string]*ask) (jobs []spread.Job, lost, doubled int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, a := range g.asked {
		asked[id] = a
	}
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
