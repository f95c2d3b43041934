// Package engine is a stand-in for an analytic engine, listening on a loopback address. It speaks the engine side of the protocol and
// runs jobs that share a number of cores. Tests can make it crash, hang, fail, slow down and restart cold (slow at first), and read
// counters of what it served.
package engine

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yarrowbarrow/internal/resp"
	"yarrowbarrow/lab/flood"
)

// Options configures an Engine. The zero value has one core and no warm-up.
type Options struct {
	Cores     int           // jobs that run at full speed, at least 1; more jobs share the cores evenly
	MaxJobs   int           // jobs that run at once; further jobs are refused; 0: 8 per core
	WarmUp    time.Duration // warm-up after a start, during which the speed rises linearly from a third to full
	ResultRow string        // the single row of each result; empty: a default row
	Pages     int           // pages of each result, each of them ResultRow; 0: 1
	PageDelay time.Duration // from the request for a further page to its answer
	Watch     func(Event)   // receives each event while the engine's lock is held, so it must not call the engine; may be nil
}

// Event is one step of a job, or a connection or probe, at an engine. Connections and probes set only At and Type.
type Event struct {
	At      time.Time
	Type    EventType
	ID      string        // job ID
	Attempt int           // number of the attempt, as a job may arrive again before its previous attempt is dropped
	Work    time.Duration // core time that the statement declares for the job
	Wait    time.Duration // how long the sender waits for the answer, as the command says
}

// EventType is the type of an Event.
type EventType int

const (
	Received    EventType = iota // a job was received
	Started                      // the job started to run
	Completed                    // the job finished and its result was sent
	Dropped                      // the job was cancelled, refused or failed, or its connection closed
	LostInCrash                  // the job was running when the engine crashed
	Connected                    // a connection was accepted
	Probed                       // a probe was received
)

// Audit counts what an Engine served since Start, across all its restarts.
type Audit struct {
	Received, Completed, Cancelled, RanTwice int // jobs received, completed and cancelled; RanTwice: job IDs that completed more than once
	Connections, Probes                      int
	CoreTime                                 time.Duration // core time spent on jobs
	LastJobAt                                time.Time     // when the latest job was received
}

// Engine is a stand-in engine. Its methods are safe for concurrent use.
type Engine struct {
	options Options
	address string

	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
	incarnation     int // changes with each start and crash, so that goroutines of an earlier one are ignored
	running         bool
	startedAt       time.Time
	slowdown        float64 // factor on how long jobs take; normally 1
	hanging         bool
	failing         bool
	floods          []flood.Flood     // jobs are answered with these in turn; empty: with results
	flooding        map[net.Conn]bool // connections on which a flood is sent, and nothing else
	jobs            []*activeJob      // in order of arrival
	progressAt      time.Time         // time up to which the progress of the jobs is accounted
	completionTimer *time.Timer       // fires when the next job is due
	completions     map[string]int
	audit           Audit
}

// activeJob is a job that the engine runs.
type activeJob struct {
	id        string
	attempt   int
	work      time.Duration
	wait      time.Duration
	remaining time.Duration // core time still to do
	conn      net.Conn
}

// Start starts an engine that listens on address; port 0 picks a free port. The engine starts warm.
func Start(address string, options Options) (*Engine, error) {
	options.Cores = max(options.Cores, 1)
	if options.MaxJobs == 0 {
		options.MaxJobs = 8 * options.Cores
	}
	if options.ResultRow == "" {
		options.ResultRow = "a\tb\tc\n"
	}
	e := &Engine{options: options, address: address, conns: map[net.Conn]bool{}, flooding: map[net.Conn]bool{},
		completions: map[string]int{}, slowdown: 1}
	if err := e.listen(time.Now().Add(-options.WarmUp)); err != nil { // warm: only restarts are cold
		return nil, err
	}
	return e, nil
}

// listen starts to accept connections, as an engine that has run since startedAt.
func (e *Engine) listen(startedAt time.Time) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("stand-in engine: %w", err)
	}
	e.mu.Lock()
	e.listener, e.address, e.startedAt = listener, listener.Addr().String(), startedAt
	e.incarnation++
	e.running = true
	incarnation := e.incarnation
	e.mu.Unlock()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			e.mu.Lock()
			if e.incarnation == incarnation {
				e.conns[conn] = true
				e.audit.Connections++
				e.notify(Connected, &activeJob{})
				go e.serve(conn, incarnation)
			} else {
				conn.Close()
			}
			e.mu.Unlock()
		}
	}()
	return nil
}

// Address returns the address that the engine listens on. It stays the same across restarts.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Crash crashes the engine as a killed process does: its connections are reset and the jobs it runs are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.running = false
	_ = e.listener.Close()
	for _, job := range e.jobs { // notify before any peer can see its connection reset
		e.notify(LostInCrash, job)
	}
	e.jobs = nil
	for conn := range e.conns {
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(e.conns)
	clear(e.flooding)
}

// notify passes an event to Options.Watch, with the lock held.
func (e *Engine) notify(what EventType, job *activeJob) {
	if e.options.Watch != nil {
		e.options.Watch(Event{At: time.Now(), Type: what, ID: job.id, Attempt: job.attempt, Work: job.work, Wait: job.wait})
	}
}

// Restart restarts a crashed engine at the same address, cold. It does nothing if the engine is running.
func (e *Engine) Restart() error {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	if running {
		return nil
	}
	return e.listen(time.Now())
}

// SetSlowdown makes jobs take factor times as long from now on; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) { e.applyChange(func() { e.slowdown = factor }) }

// SetHanging makes the engine accept jobs and probes without answering them while enabled. Jobs make no progress meanwhile.
func (e *Engine) SetHanging(enabled bool) { e.applyChange(func() { e.hanging = enabled }) }

// SetFailing makes the engine answer each new job with an error at once while enabled.
func (e *Engine) SetFailing(enabled bool) { e.applyChange(func() { e.failing = enabled }) }

// SetFloods makes the engine answer each new job with one of floods in turn. A flooded connection carries no other answer afterwards. Nil
// restores normal answers.
func (e *Engine) SetFloods(floods []flood.Flood) { e.applyChange(func() { e.floods = floods }) }

// MakeCold makes the engine cold, as if it had just started.
func (e *Engine) MakeCold() { e.applyChange(func() { e.startedAt = time.Now() }) }

// applyChange makes a change that affects the speed of jobs, after accounting their progress at the speed before it.
func (e *Engine) applyChange(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateProgress()
	change()
	e.completeDue()
}

// Audit returns the counters so far.
func (e *Engine) Audit() Audit {
	e.mu.Lock()
	defer e.mu.Unlock()
	audit := e.audit
	for _, count := range e.completions {
		if count > 1 {
			audit.RanTwice++
		}
	}
	return audit
}

// Load returns the number of jobs that run, up to the number of cores, and the number of jobs in excess of it.
func (e *Engine) Load() (active, excess int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active = min(len(e.jobs), e.options.Cores)
	return active, len(e.jobs) - active
}

// parseWork returns the core time that a statement declares in a comment such as /* work=250ms */, or 0 without one. The comment is
// needed because the protocol does not send the cost to engines.
func parseWork(statement string) time.Duration {
	_, after, _ := strings.Cut(statement, "/* work=")
	text, _, _ := strings.Cut(after, " */")
	work, _ := time.ParseDuration(text)
	return work
}

// parseWait returns the field "wait" of a command: the milliseconds for which its sender waits for the answer.
func parseWait(fields string) (wait time.Duration) {
	resp.ParsePairs([]byte(fields), func(name, value []byte) {
		if string(name) == "wait" {
			ms, _ := strconv.Atoi(string(value))
			wait = time.Duration(ms) * time.Millisecond
		}
	})
	return wait
}

func (e *Engine) serve(conn net.Conn, incarnation int) {
	var data []byte
	for buf := make([]byte, 16<<10); ; {
		n, err := conn.Read(buf)
		if err != nil {
			e.connectionClosed(conn, incarnation)
			return
		}
		data = append(data, buf[:n]...)
		for {
			words, size, err := resp.Next(data, nil)
			if size == 0 || err != nil {
				break
			}
			args := make([]string, len(words))
			for i, word := range words {
				args[i] = string(word)
			}
			data = data[size:]
			e.handleCommand(conn, incarnation, args)
		}
	}
}

// connectionClosed drops the jobs of a closed connection, as the protocol requires.
func (e *Engine) connectionClosed(conn net.Conn, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return
	}
	delete(e.conns, conn)
	delete(e.flooding, conn)
	_ = conn.Close()
	e.cancelMatching(func(job *activeJob) bool { return job.conn == conn })
}

// cancelMatching stops the jobs for which matches is true and sends no answer to them.
func (e *Engine) cancelMatching(matches func(*activeJob) bool) {
	e.updateProgress()
	e.jobs = slices.DeleteFunc(e.jobs, func(job *activeJob) bool {
		if matches(job) {
			e.audit.Cancelled++
			e.notify(Dropped, job)
			return true
		}
		return false
	})
	e.completeDue()
}

// handleCommand handles one command of a peer: "serve" brings a job, "cancel" cancels one, "health" and "gauges" are probes. Malformed
// and unknown commands are ignored.
func (e *Engine) handleCommand(conn net.Conn, incarnation int, args []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || len(args) < 2 || args[0] == "serve" && len(args) < 4 {
		return
	}
	switch args[0] {
	case "serve":
		job := &activeJob{id: args[1], conn: conn, work: parseWork(args[len(args)-1]), wait: parseWait(args[2])}
		job.remaining = job.work
		e.audit.Received++
		job.attempt = e.audit.Received
		e.audit.LastJobAt = time.Now()
		e.notify(Received, job)
		if len(e.jobs) >= e.options.MaxJobs {
			e.notify(Dropped, job)
			e.reply(conn, job.id, "SHED", "-", "")
			return
		}
		if e.failing {
			e.notify(Started, job)
			e.notify(Dropped, job)
			e.reply(conn, job.id, "FAULT", "-", "")
			return
		}
		if len(e.floods) > 0 {
			job.remaining = floodedWork
			e.flooding[conn] = true
			go e.floods[e.audit.Received%len(e.floods)].Send(conn)
		}
		e.updateProgress()
		e.jobs = append(e.jobs, job)
		e.notify(Started, job)
		e.completeDue()
	case "cancel":
		e.cancelMatching(func(job *activeJob) bool { return job.id == args[1] })
	case "read":
		if len(args) == 3 {
			e.replyPage(conn, incarnation, args[1], args[2])
		}
	case "health", "gauges":
		e.audit.Probes++
		e.notify(Probed, &activeJob{})
		if !e.hanging {
			e.reply(conn, args[1], "PONG", "-", "")
		}
	}
}

// floodedWork is the work assumed for a job that is answered with a flood, as such an answer does not end.
const floodedWork = time.Hour

// progressRate returns the core time that each running job gets per unit of elapsed time: 1 at full speed, 0 while the engine
// hangs.
func (e *Engine) progressRate() float64 {
	if e.hanging || len(e.jobs) == 0 {
		return 0
	}
	rate := min(1, float64(e.options.Cores)/float64(len(e.jobs))) / e.slowdown
	if age := time.Since(e.startedAt); age < e.options.WarmUp {
		rate *= (1 + 2*float64(age)/float64(e.options.WarmUp)) / 3
	}
	return rate
}

// updateProgress accounts the progress of all running jobs since its last call. It must be called before anything that changes the
// rate, as it applies the current rate to the whole interval.
func (e *Engine) updateProgress() {
	now := time.Now()
	progress := time.Duration(float64(now.Sub(e.progressAt)) * e.progressRate())
	e.progressAt = now
	for _, job := range e.jobs {
		job.remaining -= progress
		e.audit.CoreTime += progress
	}
}

// coldUpdateInterval is the longest time between updates of a cold engine, whose rate rises meanwhile.
const coldUpdateInterval = 50 * time.Millisecond

// completeDue answers the jobs whose work is done and sets the timer for the next one.
func (e *Engine) completeDue() {
	e.jobs = slices.DeleteFunc(e.jobs, func(job *activeJob) bool {
		if job.remaining > 0 || e.hanging {
			return false
		}
		e.completions[job.id]++
		e.audit.Completed++
		e.notify(Completed, job)
		e.reply(job.conn, job.id, "HIT", fmt.Sprintf("count=%d,ticks=%d,footprint=16", max(e.options.Pages, 1), max(job.work.Milliseconds(), 1)),
			e.options.ResultRow)
		return true
	})
	if e.completionTimer != nil {
		e.completionTimer.Stop()
	}
	rate := e.progressRate()
	if rate == 0 {
		return
	}
	minRemaining := slices.MinFunc(e.jobs, func(a, b *activeJob) int { return cmp.Compare(a.remaining, b.remaining) }).remaining
	delay := time.Duration(float64(minRemaining)/rate) + time.Microsecond
	if time.Since(e.startedAt) < e.options.WarmUp {
		delay = min(delay, coldUpdateInterval)
	}
	e.completionTimer = time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.updateProgress()
		e.completeDue()
	})
}

// replyPage answers the request for a further page of a result, after the delay of the options.
func (e *Engine) replyPage(conn net.Conn, incarnation int, id, page string) {
	time.AfterFunc(e.options.PageDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation && e.conns[conn] {
			e.reply(conn, id, "PART", "pos="+page, e.options.ResultRow)
		}
	})
}

// reply writes a message, with the lock held. It writes nothing on a flooded connection, where the write would block behind the flood.
func (e *Engine) reply(conn net.Conn, words ...string) {
	if e.flooding[conn] {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // a peer that does not read must not block the engine
	_, _ = conn.Write(resp.AppendArray(nil, words...))
}

// WithWork returns the statement with a comment that makes the engine spend the given core time on it.
func WithWork(statement string, work time.Duration) string {
	return strings.TrimSpace(statement) + fmt.Sprintf(" /* work=%s */", work)
}
