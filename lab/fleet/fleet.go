package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yarrowbarrow/lab/fleet/spread"
	"yarrowbarrow/lab/standin/discovery"
)

// Options of a run.
type Options struct {
	Program         string // that serves without a word, and as a baseline with "baseline NAME"
	Policy          string // a baseline's name, or "" for the program's own decisions
	Controllers     int
	Settled         int // controllers that the settings tell of, as when those that run are part of a larger fleet; 0: Controllers
	Engines         int
	Cores           int  // of each engine
	Uneven          bool // every third engine has twice the cores
	Rooms           int  // that controllers and engines are in, by turns
	Ruled           bool // jobs of all kinds that rules are about, not only those that may run again anywhere
	PerSecond       float64
	Length          time.Duration
	Seed            int64
	Faults          []Fault
	KeepConnections bool // clients use open connections until a controller ends them or is killed
	Draw            bool // a picture too
	Say             func(format string, args ...any)
}

// Result of a run.
type Result struct {
	Policy  string         `json:"policy"`
	Figures spread.Figures `json:"figures"`
	Audit   Audit          `json:"audit"`
	CPU     float64        `json:"cpu_share"` // of one core, mean of the controllers that lived through
	Memory  float64        `json:"memory_mb"` // resident at the end, mean
	PeakMB  float64        `json:"peak_mb"`   // the most memory that a process had resident

	Picture *spread.Timeline `json:"picture,omitempty"` // where one was asked for
}

// fleet is a run under way.
type fleet struct {
	stalls stallLog
	Options
	rng          *rand.Rand
	startedAt    time.Time
	kinds        []jobKind
	useRelays    bool                   // relays stand between controllers and engines
	hosts        []*host                // in the order in which they came
	discoveries  []*discovery.Discovery // each controller's own
	processes    []*Process
	clients      []*clientGroup
	activeFaults sync.WaitGroup // faults under way
	lateUpdates  sync.WaitGroup // what lists tell late

	logMu     sync.Mutex
	logClosed bool // all: what is noticed from now on belongs to no run

	mu                sync.Mutex
	crashes           int
	longestImpairment time.Duration         // the longest time that links had one trouble
	restarted         map[int]bool          // controllers that a fault ended
	listDelay         map[int]time.Duration // by controller, of its list
	silentUntil       map[int]time.Duration // until when its discovery is silent
}

// Run starts the fleet, loads it and ends it. All that it started has ended when it returns, also when the context ends.
func Run(ctx context.Context, o Options) (Result, error) {
	o.Controllers, o.Engines, o.Cores, o.Rooms = max(o.Controllers, 1), max(o.Engines, 1), max(o.Cores, 1), max(o.Rooms, 1)
	o.Settled = max(o.Settled, o.Controllers)
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	f := &fleet{Options: o, rng: rand.New(rand.NewSource(o.Seed)), startedAt: time.Now(), restarted: map[int]bool{},
		listDelay: map[int]time.Duration{}, silentUntil: map[int]time.Duration{}, kinds: plainKinds()}
	if o.Ruled {
		f.kinds = constrainedKinds()
	}
	for _, fault := range o.Faults {
		f.useRelays = f.useRelays || faults[fault.Name].onLinks
	}
	defer f.shutdown()
	rigCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.stalls.measure(rigCtx, f.startedAt)
	if err := f.start(ctx, folder); err != nil {
		return Result{}, err
	}
	go f.sampleMemory(rigCtx)
	from := time.Since(f.startedAt)
	f.runLoad(ctx, from)
	to := time.Since(f.startedAt)
	deadline := time.Now().Add(longestDeadline(f.kinds) + time.Second)
	for _, g := range f.clients {
		g.awaitAnswers(time.Until(deadline))
	}
	f.activeFaults.Wait()
	f.lateUpdates.Wait()
	return f.collectResult(from, to), ctx.Err()
}

func (f *fleet) start(ctx context.Context, folder string) (err error) {
	for slot := range f.Engines {
		if _, err := f.addEngine(slot, ""); err != nil {
			return err
		}
	}
	var args []string
	if f.Policy != "" {
		args = []string{"baseline", f.Policy}
	}
	for n := range f.Controllers {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		list, err := discovery.Start("127.0.0.1:0")
		if err != nil {
			return err
		}
		f.discoveries = append(f.discoveries, list)
		var entries []discovery.Host
		for _, h := range f.hosts {
			entries = append(entries, f.listEntry(h, n%f.Rooms, "active"))
		}
		list.Tell(true, entries...)
		f.processes = append(f.processes, NewProcess(f.Program, folder, Setup{Name: fmt.Sprintf("n%03d", n), Listen: address,
			Seed: strconv.FormatInt(f.Seed*1000+int64(n), 10), Discovery: list.Address(), Known: list.Since(0),
			Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, Settings: settingsJSON(f.Options, f.kinds, f.rank(n), n%f.Rooms)}, args...))
	}
	f.Say("starting %d controllers between %d engines", f.Controllers, f.Engines)
	errs := make(chan error, len(f.processes))
	startSlots := make(chan bool, 2*runtime.NumCPU()) // so many start at once
	for _, p := range f.processes {
		go func() {
			startSlots <- true
			defer func() { <-startSlots }()
			if ctx.Err() != nil {
				errs <- ctx.Err()
				return
			}
			errs <- p.Start(30 * time.Second)
		}()
	}
	for range f.processes {
		if startErr := <-errs; startErr != nil && err == nil {
			err = startErr
		}
	}
	return err
}

// say tells of what is noticed while the run lasts.
func (f *fleet) logf(format string, args ...any) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	if !f.logClosed {
		f.Say(format, args...)
	}
}

// rank is the number of a controller among those that the settings tell of: those that run lie evenly among them.
func (f *fleet) rank(n int) int { return n * f.Settled / f.Controllers }

// play has the clients ask, and the faults happen.
func (f *fleet) runLoad(ctx context.Context, from time.Duration) {
	loadCtx, cancel := context.WithTimeout(ctx, f.Length)
	defer cancel()
	// Some controllers get several times the mean: a lognormal distribution as of traffic between offices.
	const rateSigma = 0.7
	rates, sum := make([]float64, f.Controllers), 0.0
	for n := range rates {
		rates[n] = math.Exp(rateSigma * f.rng.NormFloat64())
		sum += rates[n]
	}
	for n, p := range f.processes {
		g := &clientGroup{fleet: f, controller: n, process: p, rng: rand.New(rand.NewSource(f.Seed*7919 + int64(n))),
			jobsPerSecond: rates[n] / sum * float64(f.Controllers) * f.PerSecond, outcomes: map[string]*spread.Job{}, sentJobs: map[string]*sentJob{}}
		f.clients = append(f.clients, g)
	}
	for _, fault := range f.Faults {
		targets := fault.pickTargets(f.rng, map[faultTarget]int{targetControllers: f.Controllers, targetEngines: f.Engines, targetRooms: f.Rooms}[faults[fault.Name].target])
		rng := rand.New(rand.NewSource(f.rng.Int63()))
		f.activeFaults.Add(1)
		go func() {
			defer f.activeFaults.Done()
			select {
			case <-loadCtx.Done():
			case <-time.After(fault.At - (time.Since(f.startedAt) - from)):
				f.Say("%s", fault)
				f.injectFault(loadCtx, fault, targets, rng)
			}
		}()
	}
	var generators sync.WaitGroup
	for _, g := range f.clients {
		generators.Add(1)
		go func() {
			defer generators.Done()
			g.generateJobs(loadCtx)
		}()
	}
	generators.Wait()
}

// strike does what a fault does, to all it strikes at once, and ends it.
func (f *fleet) injectFault(ctx context.Context, fault Fault, targets []int, rng *rand.Rand) {
	spec := faults[fault.Name]
	if spec.onLinks {
		f.injectLinkFault(ctx, fault, targets)
		return
	}
	if fault.Name == "hot" {
		f.moveHotTraffic(ctx, fault, rng)
		return
	}
	if spec.target == targetRooms { // what is in them
		affectedRooms := targets
		targets = nil
		for slot := range f.Engines {
			if slices.Contains(affectedRooms, slot%f.Rooms) {
				targets = append(targets, slot)
			}
		}
	}
	var running sync.WaitGroup
	for _, n := range targets {
		running.Add(1)
		targetRNG := rand.New(rand.NewSource(rng.Int63()))
		go func() {
			defer running.Done()
			if spec.target != targetControllers {
				f.injectEngineFault(ctx, fault, n, targetRNG)
				return
			}
			f.injectControllerFault(ctx, fault, n)
		}()
	}
	running.Wait()
}

func (f *fleet) injectControllerFault(ctx context.Context, fault Fault, n int) {
	switch fault.Name {
	case "kill", "term":
		f.restartController(n, fault.Name == "term")
	case "stop":
		f.clients[n].addStandstill(fault.Duration)
		_ = f.processes[n].Signal(syscall.SIGSTOP)
		sleep(ctx, fault.Duration)
		_ = f.processes[n].Signal(syscall.SIGCONT)
	case "away":
		f.mu.Lock()
		f.silentUntil[n] = time.Since(f.startedAt) + fault.Duration
		f.mu.Unlock()
		f.discoveries[n].Silent(true)
		sleep(ctx, fault.Duration)
		f.discoveries[n].Silent(false)
	case "late":
		f.mu.Lock()
		f.listDelay[n] = fault.Duration
		f.mu.Unlock()
	case "signals":
		f.reloadRepeatedly(ctx, n, fault.Duration)
	case "crowd":
		f.openIdleClients(ctx, n, fault.Duration)
	case "flood":
		f.floodController(ctx, n, fault.Duration)
	case "eager", "leave":
		f.clients[n].setBehavior(fault.Name, true)
		sleep(ctx, fault.Duration)
		f.clients[n].setBehavior(fault.Name, false)
	}
}

// heat has a share of the controllers get ten times the mean, others each second.
func (f *fleet) moveHotTraffic(ctx context.Context, fault Fault, rng *rand.Rand) {
	for until := time.Now().Add(fault.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		targets := fault.pickTargets(rng, f.Controllers)
		for _, n := range targets {
			f.clients[n].setRate(10 * f.PerSecond)
		}
		sleep(ctx, time.Second)
		for _, n := range targets {
			f.clients[n].setRate(0)
		}
	}
}

// again ends a controller and starts it anew.
func (f *fleet) restartController(n int, graceful bool) {
	p := f.processes[n]
	p.restartMu.Lock() // another fault may strike it while it is being restarted
	defer p.restartMu.Unlock()
	f.mu.Lock()
	f.restarted[n] = true
	f.mu.Unlock()
	f.clients[n].excuseLosses(!graceful)
	if graceful && f.KeepConnections {
		f.terminateAndKill(n)
	} else if graceful {
		_ = p.Signal(syscall.SIGTERM)
		// The platform's front sends jobs for 0.6 s at most after the signal.
		time.AfterFunc(400*time.Millisecond, func() { f.clients[n].setOutOfRotation(true) })
		select {
		case <-p.Ended():
		case <-time.After(10 * time.Second):
			f.Say("%s does not end", p.Name)
		}
	}
	p.Kill()
	p.setKnownList(f.discoveries[n])
	if err := p.Start(30 * time.Second); err != nil {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		f.Say("%v", err)
	}
	f.clients[n].excuseLosses(false)
	f.clients[n].setOutOfRotation(false)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// tell gathers what was seen.
func (f *fleet) collectResult(from, to time.Duration) Result {
	observations := spread.Observations{From: from, To: to, Engines: f.Engines, Controllers: f.Controllers}
	for slot := range f.Engines {
		observations.CoresByEngine = append(observations.CoresByEngine, f.coresOf(slot))
	}
	audit := Audit{Crashes: f.crashes}
	peakMB := 0.0
	for _, p := range f.processes {
		p.recordPeak()
		unrequested, peak := p.exitsAndPeak()
		audit.Unbidden += unrequested
		if peakMB = max(peakMB, peak); peak > float64(p.Limits.MemoryMB) {
			audit.OverMemory++
			f.Say("%s had %.1f MB of %d", p.Name, peak, p.Limits.MemoryMB)
		}
	}
	arrivedAt := map[string]time.Duration{}
	observed := evidence{sentJobs: map[string]*sentJob{}, hosts: f.hosts, restarted: f.restarted, breached: map[int]bool{}, slack: f.slack(), stalls: &f.stalls, budget: configuredBudget, cold: configuredColdStart,
		dedupWindow: dedupWindow, logf: f.Say}
	if f.useRelays { // the word to stop an attempt may be held up on its link
		observed.overlapTolerance = observed.slack
	}
	observed.cold.meanJobWork = meanWork(f.kinds)
	for _, h := range f.hosts {
		attempts, dials, probes := h.recorder.snapshot()
		for _, v := range attempts {
			v.Engine = h.slot
			observations.Attempts = append(observations.Attempts, v.Attempt)
			if first, known := arrivedAt[v.id]; !known || v.ArrivedAt < first {
				arrivedAt[v.id] = v.ArrivedAt
			}
			observed.attempts = append(observed.attempts, hostAttempt{v, h})
		}
		observations.Dials, observations.Probes = append(observations.Dials, dials...), append(observations.Probes, probes...)
	}
	for _, g := range f.clients {
		jobs, lost, doubled := g.collect(arrivedAt, observed.sentJobs)
		observations.Jobs = append(observations.Jobs, jobs...)
		audit.Lost += lost
		audit.Overdue += g.countOverdue()
		audit.Doubled += doubled
	}
	observed.checkRules(&audit)
	for n := range observed.breached {
		f.Say("log of %s, of a run that began at %v:\n%s", f.processes[n].Name, f.startedAt.UTC().Format(time.RFC3339Nano), f.processes[n].Log())
	}
	f.countViolations(&audit)
	for _, list := range f.discoveries {
		observations.DiscoveryCalls = append(observations.DiscoveryCalls, list.Times(f.startedAt)...)
	}
	result := Result{Policy: f.Policy, Audit: audit, Figures: spread.Compute(observations), PeakMB: peakMB}
	if f.Draw {
		result.Picture = spread.NewTimeline(observations)
	}
	if result.Policy == "" {
		result.Policy = "own"
	}
	survivors := 0.0
	for n, p := range f.processes {
		cpu, memory, err := usage(p.PID())
		if err != nil {
			result.Audit.Crashes++
			f.Say("%s is gone: %v\n%s", p.Name, p.Err(), p.Log())
			continue
		}
		if !f.restarted[n] {
			survivors++
			result.CPU += cpu.Seconds() / (time.Since(f.startedAt) - from).Seconds()
			result.Memory += memory
		}
	}
	if survivors > 0 {
		result.CPU, result.Memory = result.CPU/survivors, result.Memory/survivors
	}
	return result
}

// coresOf an engine at a place, and its kind.
func (f *fleet) coresOf(slot int) int {
	if f.Uneven && slot%3 == 2 {
		return 2 * f.Cores
	}
	return f.Cores
}

func (f *fleet) machineType(slot int) string {
	if f.coresOf(slot) != f.Cores {
		return "big"
	}
	return "std"
}

// slack is how much later than at a controller a thing may be seen at an engine: the protocol's 50 ms, what a loaded machine
// adds, and what the links take.
func (f *fleet) slack() time.Duration {
	slack := 150 * time.Millisecond
	for _, fault := range f.Faults {
		if faults[fault.Name].onLinks || fault.Name == "stop" {
			slack = max(slack, fault.Duration+200*time.Millisecond, f.longestImpairment+200*time.Millisecond)
		}
	}
	return slack
}

func longestDeadline(kinds []jobKind) (longest time.Duration) {
	for _, k := range kinds {
		longest = max(longest, k.deadline)
	}
	return longest
}

func meanWork(kinds []jobKind) (mean time.Duration) {
	for _, k := range kinds {
		mean += time.Duration(k.share * float64(k.work))
	}
	return mean
}

// usage is the processor time and the resident memory in MB of a process.
func usage(pid int) (cpu time.Duration, memory float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 || fields[0] == "Z" {
		return 0, 0, fmt.Errorf("process %d has ended", pid)
	}
	const tick = time.Second / 100
	for _, at := range []int{11, 12} {
		n, _ := strconv.ParseInt(fields[at], 10, 64)
		cpu += time.Duration(n) * tick
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return cpu, pages * float64(os.Getpagesize()) / (1 << 20), nil
}

// end ends all that was started.
func (f *fleet) shutdown() {
	f.logMu.Lock()
	f.logClosed = true
	f.logMu.Unlock()
	for _, g := range f.clients {
		g.close()
	}
	var killed sync.WaitGroup
	for _, p := range f.processes {
		killed.Add(1)
		go func() { p.Kill(); killed.Done() }()
	}
	killed.Wait()
	for _, h := range f.hosts {
		h.engine.Die()
		for _, r := range h.relays {
			r.Close()
		}
	}
	for _, list := range f.discoveries {
		list.Close()
	}
}
