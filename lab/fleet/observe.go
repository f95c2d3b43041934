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
func (r *engineRecorder) observe(event engine.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := event.At.Sub(r.startedAt)
	index, isOpen := r.openAttempts[event.Attempt]
	switch {
	case event.Type == engine.Connected:
		r.dials = append(r.dials, at)
	case event.Type == engine.Probed:
		r.probes = append(r.probes, at)
	case event.Type == engine.Received:
		r.openAttempts[event.Attempt] = len(r.attempts)
		r.attempts = append(r.attempts, observedAttempt{Attempt: spread.Attempt{ArrivedAt: at, Work: event.Work}, id: event.ID, toldWait: event.Wait})
	case !isOpen:
	case event.Type == engine.Started:
		r.attempts[index].StartedAt = at
	default:
		attempt := &r.attempts[index]
		if attempt.closedAt == 0 {
			attempt.closedAt = at
		}
		if attempt.StartedAt > 0 {
			attempt.EndedAt = at
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
		job := load.Job{ID: fmt.Sprintf("%08x%08x", g.controller, g.rng.Uint32())}
		kind := &g.fleet.kinds[0]
		draw := g.rng.Float64()
		for n := range g.fleet.kinds {
			if draw >= kind.share && n > 0 {
				draw -= kind.share
				kind = &g.fleet.kinds[n]
			}
		}
		work := time.Duration((0.5 + g.rng.Float64()) * float64(kind.work))
		job.Type, job.Wait, job.CostMS = kind.name, kind.deadline, float64(work)/float64(time.Millisecond)
		sent := &sentJob{controller: g.controller, kind: kind}
		if kind.hasDedupKey {
			job.IdempotencyKey = fmt.Sprintf("%016x%016x", g.rng.Uint64(), g.rng.Uint64())
		}
		job.Statement = engine.WithWork(kind.statement, work)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.send(job, sent, 0)
		if abandonsEarly {
			time.AfterFunc(job.Wait/10, func() { g.abandon(job.ID) })
		}
	}
}

// abandon cancels a job that is still unanswered: it tells the controller that its client has given up.
func (g *clientGroup) abandon(id string) {
	g.mu.Lock()
	job, client := g.outcomes[id], g.client
	open := job != nil && job.AnsweredAt == 0 && client != nil
	if open {
		delete(g.outcomes, id)
		g.sentJobs[id].abandonedAt = time.Since(g.fleet.startedAt)
	}
	g.mu.Unlock()
	if open && client.Cancel(id) {
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
func (g *clientGroup) send(job load.Job, sent *sentJob, retries int) {
	outcome := &spread.Job{Controller: g.controller}
	g.pending.Add(1)
	for try := 0; ; try++ {
		g.mu.Lock()
		client, outOfRotation := g.client, g.outOfRotation
		g.mu.Unlock()
		if outOfRotation && (client == nil || !g.fleet.KeepConnections) {
			g.forgetUnsent(job.ID)
			return
		}
		if client == nil {
			client = g.dial()
		}
		if client == nil && try < maxDials {
			time.Sleep(10 * time.Millisecond)
			continue
		} else if client == nil { // the controller does not listen
			g.forgetUnsent(job.ID)
			return
		}
		g.mu.Lock()
		outcome.SentAt = time.Since(g.fleet.startedAt) // the deadline counts from here
		sent.sentAt = outcome.SentAt
		if _, alreadySent := g.outcomes[job.ID]; !alreadySent {
			g.outcomes[job.ID], g.sentJobs[job.ID] = outcome, sent
			sent.incarnation = g.incarnation
			g.sentOrder = append(g.sentOrder, job.ID)
		}
		g.mu.Unlock()
		if client.Send(job, func(answer load.Answer, err error) { g.handleAnswer(job, outcome, sent, retries, answer, err) }) == nil {
			return
		}
		g.mu.Lock()
		if g.client == client {
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
	client, err := load.Dial(g.process.Listen)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.KeepConnections {
		client.IgnoreDraining()
	}
	if g.client != nil {
		g.strayAnswers += g.client.UnmatchedAnswers()
	}
	g.client = client
	return client
}

// handleAnswer records the answer to a job, or that its connection ended without one. A job that crossed with the end of its connection
// does not count as lost.
func (g *clientGroup) handleAnswer(job load.Job, outcome *spread.Job, sent *sentJob, retries int, answer load.Answer, err error) {
	defer g.pending.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		now := time.Since(g.fleet.startedAt)
		crossed := errors.Is(err, load.ErrClosedBeforeSent) || g.fleet.KeepConnections &&
			now-sent.sentAt < crossingWindow+g.fleet.stalls.stalledBetween(sent.sentAt, now)
		if delete(g.outcomes, job.ID); !g.lossExcused && sent.incarnation == g.incarnation && !crossed {
			g.lost++
			g.fleet.logf("lost: %s of controller %d, %s, sent at %v, connection ended after %v, the rig was stalled for %v of that: %v",
				job.ID, g.controller, sent.kind.name, sent.sentAt, now-sent.sentAt, g.fleet.stalls.stalledBetween(sent.sentAt, now), err)
		}
		return
	}
	outcome.AnsweredAt = time.Since(g.fleet.startedAt)
	outcome.Done, outcome.Rejected = answer.Code == frame.Done, answer.Code == frame.Rejected
	outcome.InTime = outcome.Done && answer.Latency <= sent.kind.sla
	if outcome.Rejected && g.retriesRejected && retries < maxClientRetries {
		job.ID = fmt.Sprintf("%s%02x%s", job.ID[:8], 0xf0+retries, job.ID[10:])
		next := *sent
		g.pending.Add(1)
		go func() { defer g.pending.Done(); g.send(job, &next, retries+1) }()
	}
}

// maxClientRetries is how often an eager client sends a rejected job again.
const maxClientRetries = 2

// crossingWindow is how soon after a job was sent its connection may end without the job counting as lost: the two crossed on the wire,
// and the client would send the job again. The protocol sets it; time in which the rig itself was stalled is added.
const crossingWindow = 50 * time.Millisecond

// addStandstill notes that the controller is stopped for some time, in which it cannot answer.
func (g *clientGroup) addStandstill(duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standstillTime += duration
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
	for id, outcome := range g.outcomes {
		lateBy := outcome.AnsweredAt - outcome.SentAt - g.sentJobs[id].kind.deadline
		if outcome.AnsweredAt > 0 && lateBy > answerGrace+g.standstillTime {
			overdue++
			g.fleet.logf("overdue: %s of controller %d, sent at %v, late by %v", id, g.controller, outcome.SentAt, lateBy)
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
		if outcome := g.outcomes[id]; outcome != nil {
			job := *outcome
			job.ArrivedAt, job.ReachedEngine = arrivedAt[id]
			jobs = append(jobs, job)
			if job.AnsweredAt == 0 {
				lost++
			}
		}
	}
	doubled = g.strayAnswers
	if g.client != nil {
		doubled += g.client.UnmatchedAnswers()
	}
	return jobs, lost + g.lost, doubled
}
