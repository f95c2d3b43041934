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

// Options configure a run.
type Options struct {
	Program               string // path of the program: without arguments it serves, with "baseline NAME" it plays a baseline policy
	Policy                string // name of a baseline policy, or "" for the program's own decisions
	Controllers           int
	ConfiguredControllers int // number of controllers in the settings, if those that run play a part of a larger fleet; 0: Controllers
	Engines               int
	Cores                 int           // of each engine
	MixedCores            bool          // every third engine has twice the cores
	Rooms                 int           // number of rooms, over which controllers and engines are distributed round-robin
	ConstrainedJobs       bool          // also send jobs that rules on repeats and placement apply to
	JobsPerSecond         float64       // mean job rate of a controller
	Duration              time.Duration // of the load
	Seed                  int64
	Faults                []Fault
	KeepConnections       bool                             // clients use open connections until the controller closes them or is killed
	RecordTimeline        bool                             // also record a timeline for plots
	Logf                  func(format string, args ...any) // receives log messages; nil: none
}

// Result is the outcome of a run.
type Result struct {
	Policy  string         `json:"policy"`
	Figures spread.Figures `json:"figures"`
	Audit   Audit          `json:"audit"`
	CPU     float64        `json:"cpu_share"` // of one core, mean of the controllers that no fault ended
	Memory  float64        `json:"memory_mb"` // resident at the end, mean of the same controllers
	PeakMB  float64        `json:"peak_mb"`   // highest resident memory of any process

	Timeline *spread.Timeline `json:"picture,omitempty"` // if Options.RecordTimeline is set
}

// fleet is a run in progress.
type fleet struct {
	stalls stallLog
	Options
	rng          *rand.Rand
	startedAt    time.Time
	kinds        []jobKind
	useRelays    bool                   // a fault on links is planned, so relays run between controllers and engines
	hosts        []*host                // in the order in which they were added
	discoveries  []*discovery.Discovery // one server per controller
	processes    []*Process
	clients      []*clientGroup
	activeFaults sync.WaitGroup // goroutines that wait for a fault or inject it
	lateUpdates  sync.WaitGroup // updates of lists that are delayed by the fault late

	logMu     sync.Mutex
	logClosed bool // the run is over; later messages are dropped

	mu                sync.Mutex
	crashes           int
	longestImpairment time.Duration         // longest time for which links were impaired
	restarted         map[int]bool          // controllers that a fault ended
	listDelay         map[int]time.Duration // delay of list updates by controller
	silentUntil       map[int]time.Duration // by controller, end of the time in which its discovery does not answer
}

// Run starts a fleet, puts load and faults on it, and shuts it down. When it returns, everything that it started has ended, also if ctx
// was cancelled.
func Run(ctx context.Context, o Options) (Result, error) {
	o.Controllers, o.Engines, o.Cores, o.Rooms = max(o.Controllers, 1), max(o.Engines, 1), max(o.Cores, 1), max(o.Rooms, 1)
	o.ConfiguredControllers = max(o.ConfiguredControllers, o.Controllers)
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	f := &fleet{Options: o, rng: rand.New(rand.NewSource(o.Seed)), startedAt: time.Now(), restarted: map[int]bool{},
		listDelay: map[int]time.Duration{}, silentUntil: map[int]time.Duration{}, kinds: plainKinds()}
	if o.ConstrainedJobs {
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

// start starts the engines, the discovery servers and the controllers. It returns the first error once all starts have ended.
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
		list.Publish(true, entries...)
		f.processes = append(f.processes, NewProcess(f.Program, folder, Setup{Name: fmt.Sprintf("n%03d", n), Listen: address,
			Seed: strconv.FormatInt(f.Seed*1000+int64(n), 10), Discovery: list.Address(), Known: list.EventsAfter(0),
			Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, Settings: settingsJSON(f.Options, f.kinds, f.rank(n), n%f.Rooms)}, args...))
	}
	f.Logf("starting %d controllers between %d engines", f.Controllers, f.Engines)
	errs := make(chan error, len(f.processes))
	startSlots := make(chan bool, 2*runtime.NumCPU()) // limits how many start at once
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

// logf logs a message unless the run is over.
func (f *fleet) logf(format string, args ...any) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	if !f.logClosed {
		f.Logf(format, args...)
	}
}

// rank returns the rank of a controller among those in the settings. Running controllers are spread evenly over the ranks.
func (f *fleet) rank(controller int) int { return controller * f.ConfiguredControllers / f.Controllers }

// runLoad sends jobs for the length of the run and injects the faults.
func (f *fleet) runLoad(ctx context.Context, loadStart time.Duration) {
	loadCtx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	// Rates follow a lognormal distribution, as traffic between offices does: some controllers get several times the mean.
	const rateSigma = 0.7
	rates, rateSum := make([]float64, f.Controllers), 0.0
	for n := range rates {
		rates[n] = math.Exp(rateSigma * f.rng.NormFloat64())
		rateSum += rates[n]
	}
	for n, p := range f.processes {
		g := &clientGroup{fleet: f, controller: n, process: p, rng: rand.New(rand.NewSource(f.Seed*7919 + int64(n))),
			jobsPerSecond: rates[n] / rateSum * float64(f.Controllers) * f.JobsPerSecond, outcomes: map[string]*spread.Job{}, sentJobs: map[string]*sentJob{}}
		f.clients = append(f.clients, g)
	}
	for _, fault := range f.Faults {
		targets := fault.pickTargets(f.rng, map[faultTarget]int{targetControllers: f.Controllers, targetEngines: f.Engines,
			targetRooms: f.Rooms}[faults[fault.Name].target])
		rng := rand.New(rand.NewSource(f.rng.Int63()))
		f.activeFaults.Add(1)
		go func() {
			defer f.activeFaults.Done()
			select {
			case <-loadCtx.Done():
			case <-time.After(fault.At - (time.Since(f.startedAt) - loadStart)):
				f.Logf("%s", fault)
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

// injectFault injects a fault into all its targets at the same time, and returns once it has ended.
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
	if spec.target == targetRooms { // all engines in these rooms
		affectedRooms := targets
		targets = nil
		for slot := range f.Engines {
			if slices.Contains(affectedRooms, slot%f.Rooms) {
				targets = append(targets, slot)
			}
		}
	}
	var running sync.WaitGroup
	for _, target := range targets {
		running.Add(1)
		targetRNG := rand.New(rand.NewSource(rng.Int63()))
		go func() {
			defer running.Done()
			if spec.target != targetControllers {
				f.injectEngineFault(ctx, fault, target, targetRNG)
				return
			}
			f.injectControllerFault(ctx, fault, target)
		}()
	}
	running.Wait()
}

// injectControllerFault injects a fault into one controller, and returns once it has ended.
func (f *fleet) injectControllerFault(ctx context.Context, fault Fault, controller int) {
	switch fault.Name {
	case "kill", "term":
		f.restartController(controller, fault.Name == "term")
	case "stop":
		f.clients[controller].addStandstill(fault.Duration)
		_ = f.processes[controller].Signal(syscall.SIGSTOP)
		sleep(ctx, fault.Duration)
		_ = f.processes[controller].Signal(syscall.SIGCONT)
	case "away":
		f.mu.Lock()
		f.silentUntil[controller] = time.Since(f.startedAt) + fault.Duration
		f.mu.Unlock()
		f.discoveries[controller].SetSilent(true)
		sleep(ctx, fault.Duration)
		f.discoveries[controller].SetSilent(false)
	case "late":
		f.mu.Lock()
		f.listDelay[controller] = fault.Duration
		f.mu.Unlock()
	case "signals":
		f.reloadRepeatedly(ctx, controller, fault.Duration)
	case "crowd":
		f.openIdleClients(ctx, controller, fault.Duration)
	case "flood":
		f.floodController(ctx, controller, fault.Duration)
	case "eager", "leave":
		f.clients[controller].setBehavior(fault.Name, true)
		sleep(ctx, fault.Duration)
		f.clients[controller].setBehavior(fault.Name, false)
	}
}

// moveHotTraffic gives a share of the controllers ten times the mean job rate, and selects others each second.
func (f *fleet) moveHotTraffic(ctx context.Context, fault Fault, rng *rand.Rand) {
	for until := time.Now().Add(fault.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		targets := fault.pickTargets(rng, f.Controllers)
		for _, n := range targets {
			f.clients[n].setRate(10 * f.JobsPerSecond)
		}
		sleep(ctx, time.Second)
		for _, n := range targets {
			f.clients[n].setRate(0)
		}
	}
}

// restartController ends a controller, by SIGTERM first if graceful, and starts it again.
func (f *fleet) restartController(controller int, graceful bool) {
	process := f.processes[controller]
	process.restartMu.Lock() // another fault may hit the controller while it is being restarted
	defer process.restartMu.Unlock()
	f.mu.Lock()
	f.restarted[controller] = true
	f.mu.Unlock()
	f.clients[controller].excuseLosses(!graceful)
	if graceful && f.KeepConnections {
		f.terminateAndKill(controller)
	} else if graceful {
		_ = process.Signal(syscall.SIGTERM)
		// The platform's front end sends jobs for at most 0.6 s after the signal.
		time.AfterFunc(400*time.Millisecond, func() { f.clients[controller].setOutOfRotation(true) })
		select {
		case <-process.Ended():
		case <-time.After(10 * time.Second):
			f.Logf("%s did not exit within 10 s of SIGTERM", process.Name)
		}
	}
	process.Kill()
	process.setKnownList(f.discoveries[controller])
	if err := process.Start(30 * time.Second); err != nil {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		f.Logf("%v", err)
	}
	f.clients[controller].excuseLosses(false)
	f.clients[controller].setOutOfRotation(false)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// collectResult gathers what clients, engines and discovery observed, and evaluates it. Processes must still be running.
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
			f.Logf("%s used %.1f MB of memory, limit %d MB", p.Name, peak, p.Limits.MemoryMB)
		}
	}
	arrivedAt := map[string]time.Duration{}
	observed := evidence{sentJobs: map[string]*sentJob{}, hosts: f.hosts, restarted: f.restarted, breached: map[int]bool{},
		slack: f.slack(), stalls: &f.stalls, budget: configuredBudget, cold: configuredColdStart, dedupWindow: dedupWindow, logf: f.Logf}
	if f.useRelays { // a message that cancels an attempt may be delayed on its link
		observed.overlapTolerance = observed.slack
	}
	observed.cold.meanJobWork = meanWork(f.kinds)
	for _, h := range f.hosts {
		attempts, dials, probes := h.recorder.snapshot()
		for _, attempt := range attempts {
			attempt.Engine = h.slot
			observations.Attempts = append(observations.Attempts, attempt.Attempt)
			if first, known := arrivedAt[attempt.id]; !known || attempt.ArrivedAt < first {
				arrivedAt[attempt.id] = attempt.ArrivedAt
			}
			observed.attempts = append(observed.attempts, hostAttempt{attempt, h})
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
		f.Logf("log of %s, in a run that started at %v:\n%s", f.processes[n].Name, f.startedAt.UTC().Format(time.RFC3339Nano), f.processes[n].Log())
	}
	f.countViolations(&audit)
	for _, server := range f.discoveries {
		observations.DiscoveryCalls = append(observations.DiscoveryCalls, server.RequestTimes(f.startedAt)...)
	}
	result := Result{Policy: f.Policy, Audit: audit, Figures: spread.Compute(observations), PeakMB: peakMB}
	if f.RecordTimeline {
		result.Timeline = spread.NewTimeline(observations)
	}
	if result.Policy == "" {
		result.Policy = "own"
	}
	survivors := 0.0
	for n, p := range f.processes {
		cpu, memoryMB, err := usage(p.PID())
		if err != nil {
			result.Audit.Crashes++
			f.Logf("%s has exited: %v\n%s", p.Name, p.Err(), p.Log())
			continue
		}
		if !f.restarted[n] {
			survivors++
			result.CPU += cpu.Seconds() / (time.Since(f.startedAt) - from).Seconds()
			result.Memory += memoryMB
		}
	}
	if survivors > 0 {
		result.CPU, result.Memory = result.CPU/survivors, result.Memory/survivors
	}
	return result
}

// coresOf returns the number of cores of the engine in a slot.
func (f *fleet) coresOf(slot int) int {
	if f.MixedCores && slot%3 == 2 {
		return 2 * f.Cores
	}
	return f.Cores
}

// machineType returns the machine type of the engine in a slot.
func (f *fleet) machineType(slot int) string {
	if f.coresOf(slot) != f.Cores {
		return "big"
	}
	return "std"
}

// slack returns how much later than the controller an engine may observe an event: the protocol's 50 ms, the delay that a loaded machine
// adds, and the delay of impaired links and stopped processes.
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

// usage returns the CPU time of a process and its resident memory in MB. It fails for a process that has ended.
func usage(pid int) (cpu time.Duration, memoryMB float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 || fields[0] == "Z" {
		return 0, 0, fmt.Errorf("process %d has ended", pid)
	}
	const tickLength = time.Second / 100
	for _, field := range []int{11, 12} {
		ticks, _ := strconv.ParseInt(fields[field], 10, 64)
		cpu += time.Duration(ticks) * tickLength
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return cpu, pages * float64(os.Getpagesize()) / (1 << 20), nil
}

// shutdown ends everything that the run started.
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
		h.engine.Crash()
		for _, r := range h.relays {
			r.Close()
		}
	}
	for _, list := range f.discoveries {
		list.Close()
	}
}
