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

// observedAttempt is an attempt as its engine saw it, with the job's id.
type observedAttempt struct {
	spread.Attempt
	id       string
	closedAt time.Duration // when it was answered, dropped or lost; 0: still open
	toldWait time.Duration // how long the controller waits for the answer, as it told the engine
}

// engineRecorder records the events of one engine.
type engineRecorder struct {
	startedAt time.Time

	mu            sync.Mutex
	attempts      []observedAttempt
	openAttempts  map[int]int // index into attempts by the attempt's run number
	dials, probes []time.Duration
}

// observe records an event. The engine calls it under its lock.
func (r *engineRecorder) observe(e engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := e.At.Sub(r.startedAt)
	n, isOpen := r.openAttempts[e.Run]
	switch {
	case e.What == engine.Dialled:
		r.dials = append(r.dials, at)
	case e.What == engine.Probed:
		r.probes = append(r.probes, at)
	case e.What == engine.Came:
		r.openAttempts[e.Run] = len(r.attempts)
		r.attempts = append(r.attempts, observedAttempt{Attempt: spread.Attempt{ArrivedAt: at, Work: e.Work}, id: e.ID, toldWait: e.Wait})
	case !isOpen:
	case e.What == engine.Began:
		r.attempts[n].StartedAt = at
	default:
		v := &r.attempts[n]
		if v.closedAt == 0 {
			v.closedAt = at
		}
		if v.StartedAt > 0 {
			v.EndedAt = at
		}
	}
}

// snapshot returns copies of the attempts, the times of dials and the times of probes.
func (r *engineRecorder) snapshot() ([]observedAttempt, []time.Duration, []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attempts), slices.Clone(r.dials), slices.Clone(r.probes)
}

// clientGroup plays the clients of one controller and records what became of their jobs.
type clientGroup struct {
	fleet         *fleet
	controller    int
	process       *Process
	rng           *rand.Rand
	jobsPerSecond float64
	pending       sync.WaitGroup

	mu              sync.Mutex
	client          *load.Client
	outcomes        map[string]*spread.Job
	sentOrder       []string
	lost            int
	sentJobs        map[string]*sentJob
	overrideRate    float64       // jobs per second; used where it is above jobsPerSecond
	retriesRejected bool          // clients send a rejected job again at once
	abandonsEarly   bool          // clients give up after a tenth of the deadline
	lossExcused     bool          // the controller is being killed
	incarnation     int           // number of kills so far; a job sent before the last one never counts as lost, whenever its loss is noticed
	outOfRotation   bool          // the front end routes no more jobs to the controller
	standstillTime  time.Duration // how long the controller was stopped
	strayAnswers    int
}

// generateJobs sends jobs until ctx ends. The intervals between them follow an exponential distribution, as for many independent clients.
func (g *clientGroup) generateJobs(ctx context.Context) {
	for next := time.Now(); ; {
		g.mu.Lock()
		rate, abandonsEarly := max(g.overrideRate, g.jobsPerSecond), g.abandonsEarly
		g.mu.Unlock()
		next = next.Add(time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second)))
		j := load.Job{ID: fmt.Sprintf("%08x%08x", g.controller, g.rng.Uint32())}
		k := &g.fleet.kinds[0]
		draw := g.rng.Float64()
		for n := range g.fleet.kinds {
			if draw >= k.share && n > 0 {
				draw -= k.share
				k = &g.fleet.kinds[n]
			}
		}
		work := time.Duration((0.5 + g.rng.Float64()) * float64(k.work))
		j.Type, j.Wait, j.CostMS = k.name, k.deadline, float64(work)/float64(time.Millisecond)
		sent := &sentJob{controller: g.controller, kind: k}
		if k.hasDedupKey {
			j.Once = fmt.Sprintf("%016x%016x", g.rng.Uint64(), g.rng.Uint64())
		}
		j.Statement = engine.Work(k.statement, work)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.send(j, sent, 0)
		if abandonsEarly {
			time.AfterFunc(j.Wait/10, func() { g.abandon(j.ID) })
		}
	}
}

// abandon cancels a job that is still unanswered: it tells the controller that its client has given up.
func (g *clientGroup) abandon(id string) {
	g.mu.Lock()
	job, c := g.outcomes[id], g.client
	open := job != nil && job.AnsweredAt == 0 && c != nil
	if open {
		delete(g.outcomes, id)
		g.sentJobs[id].abandonedAt = time.Since(g.fleet.startedAt)
	}
	g.mu.Unlock()
	if open && c.Leave(id) {
		g.pending.Done()
	}
}

// setRate raises the job rate to perSecond; 0 restores the usual rate.
func (g *clientGroup) setRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.overrideRate = perSecond
}

// setBehavior turns a behavior of clients on or off: with "eager" they send a rejected job again at once, otherwise they give up early.
func (g *clientGroup) setBehavior(behavior string, enabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if behavior == "eager" {
		g.retriesRejected = enabled
	} else {
		g.abandonsEarly = enabled
	}
}

// send sends a job on the current connection, or on a new one if that is closed or accepts no more jobs.
func (g *clientGroup) send(j load.Job, sent *sentJob, retries int) {
	job := &spread.Job{Controller: g.controller}
	g.pending.Add(1)
	for try := 0; ; try++ {
		g.mu.Lock()
		c, outOfRotation := g.client, g.outOfRotation
		g.mu.Unlock()
		if outOfRotation && (c == nil || !g.fleet.KeepConnections) {
			g.forgetUnsent(j.ID)
			return
		}
		if c == nil {
			c = g.dial()
		}
		if c == nil && try < maxDials {
			time.Sleep(10 * time.Millisecond)
			continue
		} else if c == nil { // the controller does not listen
			g.forgetUnsent(j.ID)
			return
		}
		g.mu.Lock()
		job.SentAt = time.Since(g.fleet.startedAt) // the deadline counts from here
		sent.sentAt = job.SentAt
		if _, alreadySent := g.outcomes[j.ID]; !alreadySent {
			g.outcomes[j.ID], g.sentJobs[j.ID] = job, sent
			sent.incarnation = g.incarnation
			g.sentOrder = append(g.sentOrder, j.ID)
		}
		g.mu.Unlock()
		if c.Ask(j, func(answer load.Answer, err error) { g.handleAnswer(j, job, sent, retries, answer, err) }) == nil {
			return
		}
		g.mu.Lock()
		if g.client == c {
			g.client = nil
		}
		g.mu.Unlock()
	}
}

// forgetUnsent drops a job that no connection accepted.
func (g *clientGroup) forgetUnsent(id string) {
	g.mu.Lock()
	delete(g.outcomes, id)
	g.mu.Unlock()
	g.pending.Done()
}

// maxDials is how often a client dials a controller that is starting, at intervals of 10 ms.
const maxDials = 20

// dial opens a new current connection. It returns nil if the controller does not listen.
func (g *clientGroup) dial() *load.Client {
	c, err := load.Dial(g.process.Listen)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.KeepConnections {
		c.Stay()
	}
	if g.client != nil {
		g.strayAnswers += g.client.Strays()
	}
	g.client = c
	return c
}

// handleAnswer records the answer to a job, or that its connection ended without one. A job that crossed with the end of its connection
// does not count as lost.
func (g *clientGroup) handleAnswer(j load.Job, job *spread.Job, sent *sentJob, retries int, answer load.Answer, err error) {
	defer g.pending.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		now := time.Since(g.fleet.startedAt)
		crossed := errors.Is(err, load.ErrCrossed) || g.fleet.KeepConnections && now-sent.sentAt < crossingWindow+g.fleet.stalls.stalledBetween(sent.sentAt, now)
		if delete(g.outcomes, j.ID); !g.lossExcused && sent.incarnation == g.incarnation && !crossed {
			g.lost++
			g.fleet.logf("lost: %s of controller %d, %s, sent at %v, connection ended after %v, the rig was stalled for %v of that: %v", j.ID, g.controller,
				sent.kind.name, sent.sentAt, now-sent.sentAt, g.fleet.stalls.stalledBetween(sent.sentAt, now), err)
		}
		return
	}
	job.AnsweredAt = time.Since(g.fleet.startedAt)
	job.Done, job.Rejected = answer.Code == frame.Done, answer.Code == frame.Rejected
	job.InTime = job.Done && answer.Took <= sent.kind.sla
	if job.Rejected && g.retriesRejected && retries < maxClientRetries {
		j.ID = fmt.Sprintf("%s%02x%s", j.ID[:8], 0xf0+retries, j.ID[10:])
		next := *sent
		g.pending.Add(1)
		go func() { defer g.pending.Done(); g.send(j, &next, retries+1) }()
	}
}

// maxClientRetries is how often an eager client sends a rejected job again.
const maxClientRetries = 2

// crossingWindow is how soon after a job was sent its connection may end without the job counting as lost: the two crossed on the wire,
// and the client would send the job again. The protocol sets it; time in which the rig itself was stalled is added.
const crossingWindow = 50 * time.Millisecond

// addStandstill notes that the controller is stopped for some time, in which it cannot answer.
func (g *clientGroup) addStandstill(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standstillTime += length
}

// excuseLosses with true stops counting losses of jobs that are open or are sent from now on; with false, jobs sent from then on count again.
func (g *clientGroup) excuseLosses(excused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lossExcused = excused; excused {
		g.incarnation++
	}
}

// setOutOfRotation stops or resumes sending jobs, as a front end does with a controller that it takes out of rotation.
func (g *clientGroup) setOutOfRotation(out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outOfRotation = out
}

// answerGrace is how late after its job's deadline an answer may arrive, half a second by the protocol. Later answers are overdue.
const answerGrace = 500 * time.Millisecond

// countOverdue returns the number of jobs whose answer arrived later than answerGrace after their deadline. Time in which the controller
// was stopped is allowed for.
func (g *clientGroup) countOverdue() (overdue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, j := range g.outcomes {
		lateBy := j.AnsweredAt - j.SentAt - g.sentJobs[id].kind.deadline
		if j.AnsweredAt > 0 && lateBy > answerGrace+g.standstillTime {
			overdue++
			g.fleet.logf("overdue: %s of controller %d, sent at %v, late by %v", id, g.controller, j.SentAt, lateBy)
		}
	}
	return overdue
}

// awaitAnswers waits until no job is pending, for at most timeout.
func (g *clientGroup) awaitAnswers(timeout time.Duration) {
	answered := make(chan bool)
	go func() { g.pending.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(timeout):
	}
}

func (g *clientGroup) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client != nil {
		g.client.Close()
	}
}

// collect returns the group's jobs with the time at which each first reached an engine, how many were lost, and how many answers were
// duplicate or unexpected. It adds the sent jobs to sentJobs.
func (g *clientGroup) collect(arrivedAt map[string]time.Duration, sentJobs map[string]*sentJob) (jobs []spread.Job, lost, doubled int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, sent := range g.sentJobs {
		sentJobs[id] = sent
	}
	for _, id := range g.sentOrder {
		if j := g.outcomes[id]; j != nil {
			job := *j
			job.ArrivedAt, job.ReachedEngine = arrivedAt[id]
			jobs = append(jobs, job)
			if job.AnsweredAt == 0 {
				lost++
			}
		}
	}
	doubled = g.strayAnswers
	if g.client != nil {
		doubled += g.client.Strays()
	}
	return jobs, lost + g.lost, doubled
}
