// Package controller carries out the decisions of package logic on real sockets: it takes jobs from clients,
// sends them to engines, follows discovery, and answers each job exactly once.
//
// One lock guards the module, the job table and the clock. Whoever holds it may queue output and start a dial,
// but never flushes, dials or logs: each connection has a writer of its own, and logging follows the unlock.
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
	"yarrowbarrow/decide/route"
	"yarrowbarrow/decide/spread"
	"yarrowbarrow/decide/watch"
	"yarrowbarrow/logic"
)

// Phase is where a controller stands between start and exit.
type Phase int

const (
	Starting Phase = iota
	Ready
	Draining // told to stop: still takes jobs for a while
	Leaving  // takes none, and goes once all are answered
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "draining", "leaving", "stopped"}[p]
}

// Controller is one running controller.
type Controller struct {
	cfg      config.Config
	log      *slog.Logger
	system   system
	born     time.Time
	bornUnix time.Duration // by the wall clock
	ended    chan error    // one value ends Run

	reloading sync.Mutex // one Reload at a time
	mu        sync.Mutex
	now       time.Duration // Unix time at the start and what the monotonic clock added since
	phase     Phase
	logic     logic.Module
	module    func(logic.Host, logic.Settings, int64) logic.Module
	router    *route.Router // nil without an operators' file
	plan      *route.Plan   // the newest
	apart     *spread.Apart // from the other controllers, in time
	jobs      map[logic.JobID]*job
	clients   map[admission.ConnID]*client
	connected admission.ConnID // the newest
	admission *admission.Control
	exit      *admission.Exit // nil until told to stop
	engines   map[logic.EngineID]*engine
	byAddress map[string]*engine         // that has it now
	used      map[logic.EngineID]*engine // with connections, dials or jobs that wait for one, and those that are gone
	probes    map[string]*probe
	fences    map[string]*attempt
	links     int       // connections to engines, dials among them
	short     []*engine // that wait for a descriptor, in order
	making    int       // connections that are being closed for them
	discovery *discovery
	timers    timers
	timer     *time.Timer
	queue     []func()
	lines     []slog.Record
	counts    [counters]int64

	violations [invariant.Count]int64
	stood      standstill
	newsSince  time.Duration // since when discovery may have said what was not read, as the process stood still; 0 for not
	longest    time.Duration // of all standstills
	tracing    bool          // the log is at level debug

	bytes     int64        // of statements and pages
	lingering atomic.Int64 // connections that are shut and not closed
	unguarded bool
	parting   atomic.Bool     // the process ends now: nothing new needs a descriptor
	refusing  int             // connections from clients that are turned away and not closed
	held      atomic.Int64    // bytes that connections keep: unsent, or of messages that are not whole
	panics    []time.Duration // the last of them
	idles     bool            // faults keep coming back: no job is taken until a new module has begun
	logged    time.Duration   // when the counters last were
}

// New prepares a controller; Run starts it.
func New(cfg config.Config, log *slog.Logger) *Controller {
	c := &Controller{cfg: cfg, log: log, system: linux(), born: time.Now(), bornUnix: wallClock(), ended: make(chan error, 1),
		apart: spread.NewApart(cfg.Settings.Logic.Controllers, cfg.Settings.Logic.Number, cfg.Seed^1), jobs: map[logic.JobID]*job{}, clients: map[admission.ConnID]*client{},
		engines: map[logic.EngineID]*engine{}, byAddress: map[string]*engine{}, used: map[logic.EngineID]*engine{}, probes: map[string]*probe{},
		fences: map[string]*attempt{}}
	c.module = func(h logic.Host, s logic.Settings, seed int64) logic.Module { return config.Module(h, s, seed) }
	c.discovery = &discovery{c: c, address: cfg.Discovery, pace: watch.For(cfg.Settings.DrainGrace), dials: map[int64]context.CancelFunc{}}
	c.admission = newAdmission(c)
	c.tracing = debugs(log)
	return c
}

// Decide has another module decide than the one that serves, for baselines. unguarded leaves out the core's own last look at
// an engine's service, and its check of a second effect, for those that break rules 2 and 3 to prove an audit. It is for before Run.
func (c *Controller) Decide(module func(logic.Host, logic.Settings, int64) logic.Module, unguarded bool) {
	c.module, c.unguarded = module, unguarded
}

// Run serves until the context ends and all that is owed is answered, or until an error that it can't survive.
func (c *Controller) Run(ctx context.Context) error {
	limit(c.cfg)
	clients, err := c.listen(c.cfg.Listen)
	if err != nil {
		return err
	}
	defer clients.Close()
	var table *route.Table
	if c.cfg.Plan != nil {
		table = route.NewTable(c.cfg.Plan, nil)
	}
	c.timer = time.NewTimer(time.Hour)
	c.aside(c.keepTime)
	c.do(func() {
		c.logic = c.module(host{c}, c.cfg.Settings.Logic, c.cfg.Seed)
		c.adopt(c.cfg.Plan, table)
		if err = c.discovery.remembered(c.cfg.Known); err != nil {
			return
		}
		c.discovery.start()
		c.at(c.now+sweepEvery, c.sweep)
		c.enter(Ready)
	})
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.aside(func() { c.fail(fmt.Errorf("listener: %w", clients.serve())) })
	select {
	case <-ctx.Done():
		c.do(c.drain)
		err = <-c.ended
	case err = <-c.ended:
	}
	c.do(func() {
		c.enter(Stopped)
		c.violated(invariant.End(c.owed()), "open", len(c.jobs))
	})
	c.LogCounters()
	return err
}

// Reload takes a new configuration while serving. A faulty one changes nothing. Discovery's address is followed at
// once; the keys that only a restart can change are named in the log.
func (c *Controller) Reload(read func() (config.Config, error)) error {
	c.reloading.Lock()
	defer c.reloading.Unlock()
	next, err := readGuarded(read)
	var table *route.Table
	if err == nil && next.Plan != nil { // which takes too long to be made under the lock
		var before *route.Table
		c.do(func() {
			if c.router != nil {
				before = c.router.Table()
			}
		})
		table = route.NewTable(next.Plan, before)
	}
	c.do(func() {
		for _, m := range next.Messages[:min(len(next.Messages), mostMessages)] {
			c.note(slog.LevelWarn, "operators' file", "says", m.String())
		}
		if err != nil {
			c.counts[reloadsFailed]++
			c.note(slog.LevelError, "configuration not taken", "why", err)
			return
		}
		c.counts[reloads]++
		c.note(slog.LevelInfo, "configuration taken", "discovery", next.Discovery, "after_restart", c.cfg.Differs(next))
		c.discovery.move(next.Discovery)
		c.adopt(next.Plan, table)
	})
	return err
}

// mostMessages of a check are logged; the command check shows them all.
const mostMessages = 20

// limit keeps the process inside its machine. The collector waits until what is held has grown fourfold, a few
// tens of MB here, and starts to press at two thirds of the memory, which leaves room for what it does not count.
func limit(cfg config.Config) {
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(min(cfg.MemoryMB<<20*2/3, (cfg.MemoryMB-programMB)<<20))
}

// programMB of memory are pages of the program's own file, which the platform counts and the collector does not know of.
const programMB = 14

// fail ends Run; only the first reason counts.
func (c *Controller) fail(err error) {
	select {
	case c.ended <- err:
	default:
	}
}

// enter is the one place where the phase changes.
func (c *Controller) enter(next Phase) {
	c.note(slog.LevelInfo, "phase", "from", c.phase.String(), "to", next.String())
	c.phase = next
}

// do runs f, and all that f brings about at once, under the lock. It is the only way to the module.
func (c *Controller) do(f func()) {
	c.mu.Lock()
	before := c.now
	c.now = c.clock()
	c.noticeStandstill(before)
	c.guarded(f)
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.guarded(next)
	}
	c.arm()
	lines := c.lines
	c.lines = nil
	c.mu.Unlock()
	for _, line := range lines {
		_ = c.log.Handler().Handle(context.Background(), line)
	}
}

// all makes the calls that one write led to, under one lock.
func (c *Controller) all(calls []func()) {
	if len(calls) == 0 {
		return
	}
	c.do(func() {
		for _, call := range calls {
			call()
		}
	})
}

// later queues what a call of the host brings about, as the module must not be called from within itself.
func (c *Controller) later(f func()) { c.queue = append(c.queue, f) }

// note keeps a line to be logged after the unlock.
func (c *Controller) note(level slog.Level, message string, values ...any) {
	if !c.log.Enabled(context.Background(), level) {
		return
	}
	line := slog.NewRecord(time.Unix(0, int64(c.now)), level, message, 0)
	line.Add(values...)
	c.lines = append(c.lines, line)
}
