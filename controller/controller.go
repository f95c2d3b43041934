// Package controller carries out the decisions of package logic on real sockets: it accepts jobs from clients, sends them
// to engines, follows discovery, and answers each job exactly once.
//
// One lock guards the module, the job table and the clock. Whoever holds it may queue output and start a dial, but never
// flushes, dials or logs: each connection has a writer of its own, and log records are written after the unlock.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/admission"
	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/decide/polling"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/decide/subsetting"
	"yarrowbarrow/logic"
)

// Phase is the state of a controller between start and exit.
type Phase int

const (
	Starting Phase = iota
	Ready
	Draining // told to stop: still accepts jobs for a while
	Leaving  // accepts no jobs, and exits once all are answered
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "draining", "leaving", "stopped"}[p]
}

// Controller is one running controller.
type Controller struct {
	cfg       config.Config
	log       *slog.Logger
	sys       systemCalls
	startTime time.Time
	startUnix time.Duration // wall clock at the start
	runResult chan error    // the first value ends Run

	reloadMu        sync.Mutex    // serializes Reload
	mu              sync.Mutex    // guards the fields below, but for the atomic ones
	now             time.Duration // Unix time at the start plus the monotonic time since
	phase           Phase
	logic           logic.Module
	newModule       func(logic.Host, logic.Settings, int64) logic.Module
	moduleStarts    int                // how often a new module was started after a panic
	router          *route.Router      // nil without an operators' file
	plan            *route.Plan        // the newest version
	stagger         *subsetting.Jitter // staggers calls in time against those of the other controllers
	jobs            map[logic.JobID]*job
	startedJobs     startedJobs
	clients         map[admission.ConnID]*client
	lastConnID      admission.ConnID // id of the newest connection
	admission       *admission.Control
	exit            *admission.Exit // nil until told to stop
	engines         map[logic.EngineID]*engine
	engineByAddress map[string]*engine // the current owner of each address
	// engines with connections, dials or waiting attempts, and those that are gone
	activeEngines     map[logic.EngineID]*engine
	probes            map[string]*probe
	fences            map[string]*attempt
	linkCount         int        // connections to engines, including dials
	descriptorQueue   []*engine  // engines that wait for a descriptor, in order
	closingForRoom    int        // connections that are being closed for them
	awaitingDiscovery []*attempt // attempts without a connection that wait for input of discovery to be read
	discovery         *discovery
	timers            timerHeap
	runtimeTimer      *time.Timer
	pendingCalls      []func()
	logRecords        []slog.Record
	counts            [counterCount]int64

	violations [invariant.Count]int64
	lastStall  stall
	// since when discovery may have sent input that a stalled process has not read, 0 if there is none
	discoveryUnreadSince time.Duration
	longestStall         time.Duration // the longest stall so far
	tracing              bool          // the log is at level debug

	jobBytes        int64        // of statements and pages
	lingeringConns  atomic.Int64 // connections that are shut down and not closed
	checksDisabled  bool
	exiting         atomic.Bool // the process exits now: nothing new needs a descriptor
	turnedAwayConns int         // client connections that were turned away and are not closed
	// bytes that connections hold: unsent output and incomplete messages
	connBytes        atomic.Int64
	acceptedRoom     atomic.Int64    // bytes that statements may still take, as of the last event
	recentPanics     []time.Duration // times of the most recent ones
	paused           bool            // panics keep recurring: no job is accepted until a new module has started
	countersLoggedAt time.Duration   // when the counters were last logged
}

// New prepares a controller; Run starts it.
func New(cfg config.Config, log *slog.Logger) *Controller {
	c := &Controller{cfg: cfg, log: log, sys: linuxCalls(), startTime: time.Now(), startUnix: wallClock(), runResult: make(chan error, 1),
		stagger: subsetting.NewJitter(cfg.Settings.Logic.Controllers, cfg.Settings.Logic.Number, cfg.Seed^1), jobs: map[logic.JobID]*job{}, clients: map[admission.ConnID]*client{},
		engines: map[logic.EngineID]*engine{}, engineByAddress: map[string]*engine{}, activeEngines: map[logic.EngineID]*engine{}, probes: map[string]*probe{},
		fences: map[string]*attempt{}}
	c.startedJobs = newStartedJobs(cfg.MemoryMB, cfg.Settings.Logic.Classes)
	c.newModule = func(h logic.Host, s logic.Settings, seed int64) logic.Module { return config.NewModule(h, s, seed) }
	c.discovery = &discovery{c: c, address: cfg.Discovery, pace: polling.NewPace(cfg.Settings.DrainGrace), dials: map[int64]context.CancelFunc{}}
	c.admission = newAdmission(c)
	c.tracing = debugEnabled(log)
	return c
}

// SetModule replaces the module that makes the decisions, for baselines. With unguarded, the controller omits its own last
// check of an engine's state and its check against a second effect, for modules that break rules 2 and 3 to prove an
// audit. Decide must be called before Run.
func (c *Controller) SetModule(newModule func(logic.Host, logic.Settings, int64) logic.Module, unguarded bool) {
	c.newModule, c.checksDisabled = newModule, unguarded
}

// Run serves until the context ends and every accepted job is answered, or until a fatal error.
func (c *Controller) Run(ctx context.Context) error {
	setRuntimeLimits(c.cfg)
	listener, err := c.listen(c.cfg.Listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	var table *route.Table
	if c.cfg.Plan != nil {
		table = route.NewTable(c.cfg.Plan, nil)
	}
	c.runtimeTimer = time.NewTimer(time.Hour)
	c.spawn(c.runTimer)
	c.withLock(func() {
		c.logic = c.newModule(host{c}, c.cfg.Settings.Logic, c.cfg.Seed)
		c.adoptRoutes(c.cfg.Plan, table)
		if err = c.discovery.loadKnown(c.cfg.InitialDiscovery); err != nil {
			return
		}
		c.discovery.start()
		c.schedule(c.now+sweepInterval, c.sweep)
		c.setPhase(Ready)
	})
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.spawn(func() { c.endRun(fmt.Errorf("listener: %w", listener.serve())) })
	select {
	case <-ctx.Done():
		c.withLock(c.startDrain)
		err = <-c.runResult
	case err = <-c.runResult:
	}
	c.withLock(func() {
		c.setPhase(Stopped)
		c.reportViolation(invariant.End(c.unansweredJobs()), "open", len(c.jobs))
	})
	c.LogCounters()
	return err
}

// Reload applies a new configuration while serving. An invalid one changes nothing. A new discovery address takes effect
// at once; the keys that only a restart can change are named in the log.
func (c *Controller) Reload(read func() (config.Config, error)) error {
	c.reloadMu.Lock()
	defer c.reloadMu.Unlock()
	next, err := readConfigGuarded(read)
	var table *route.Table
	if err == nil && next.Plan != nil { // building the table takes too long for the lock
		var oldTable *route.Table
		c.withLock(func() {
			if c.router != nil {
				oldTable = c.router.Table()
			}
		})
		table = route.NewTable(next.Plan, oldTable)
	}
	c.withLock(func() {
		for _, m := range next.Messages[:min(len(next.Messages), maxMessages)] {
			c.logEvent(slog.LevelWarn, "operators' file", "says", m.String())
		}
		if err != nil {
			c.counts[reloadsFailed]++
			c.logEvent(slog.LevelError, "configuration not taken", "why", err)
			return
		}
		c.counts[reloads]++
		c.logEvent(slog.LevelInfo, "configuration taken", "discovery", next.Discovery, "after_restart", c.cfg.RestartKeys(next))
		c.discovery.changeAddress(next.Discovery)
		c.adoptRoutes(next.Plan, table)
	})
	return err
}

// maxMessages is how many messages of a configuration check are logged; the command check shows them all.
const maxMessages = 20

// setRuntimeLimits keeps the process within its machine. The garbage collector waits until the heap has grown fourfold, a
// few tens of MB here, and collects more often from two thirds of the memory on, which leaves room for what it does not
// count.
func setRuntimeLimits(cfg config.Config) {
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(min(cfg.MemoryMB<<20*2/3, (cfg.MemoryMB-programFileMB)<<20))
}

// programFileMB is memory for pages of the program's own file, which the platform counts and the collector does not know
// about.
const programFileMB = 14

// endRun ends Run; only the first call counts.
func (c *Controller) endRun(err error) {
	select {
	case c.runResult <- err:
	default:
	}
}

// setPhase is the only place where the phase changes.
func (c *Controller) setPhase(phase Phase) {
	c.logEvent(slog.LevelInfo, "phase", "from", c.phase.String(), "to", phase.String())
	c.phase = phase
}

// withLock runs f, and then all calls that f has queued, under the lock. Only code that runs here may call the module.
func (c *Controller) withLock(f func()) {
	c.mu.Lock()
	previous := c.now
	c.now = c.clock()
	c.detectStall(previous)
	c.runGuarded(f)
	c.runPending()
	c.updateRoom()
	c.armTimer()
	records := c.logRecords
	c.logRecords = nil
	c.mu.Unlock()
	for _, record := range records {
		_ = c.log.Handler().Handle(context.Background(), record)
	}
}

// runAll makes the calls that follow one write, under one hold of the lock.
func (c *Controller) runAll(calls []func()) {
	if len(calls) == 0 {
		return
	}
	c.withLock(func() {
		for _, call := range calls {
			c.runGuarded(call)
		}
	})
}

// runPending makes the calls that runLater has queued, and those that they queue.
func (c *Controller) runPending() {
	for len(c.pendingCalls) > 0 {
		call := c.pendingCalls[0]
		c.pendingCalls = c.pendingCalls[1:]
		c.runGuarded(call)
	}
}

// runLater queues a call that a host method leads to, because the module must not be called from within itself.
func (c *Controller) runLater(f func()) { c.pendingCalls = append(c.pendingCalls, f) }

// logEvent keeps a record to be logged after the unlock.
func (c *Controller) logEvent(level slog.Level, message string, values ...any) {
	if !c.log.Enabled(context.Background(), level) {
		return
	}
	record := slog.NewRecord(time.Unix(0, int64(c.now)), level, message, 0)
	record.Add(values...)
	c.logRecords = append(c.logRecords, record)
}
