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
	Program     string // that serves without a word, and as a baseline with "baseline NAME"
	Policy      string // a baseline's name, or "" for the program's own decisions
	Controllers int
	Settled     int // controllers that the settings tell of, as when those that run are part of a larger fleet; 0: Controllers
	Engines     int
	Cores       int  // of each engine
	Uneven      bool // every third engine has twice the cores
	Rooms       int  // that controllers and engines are in, by turns
	Ruled       bool // jobs of all kinds that rules are about, not only those that may run again anywhere
	PerSecond   float64
	Length      time.Duration
	Seed        int64
	Faults      []Fault
	Stay        bool // clients use open connections until a controller ends them or is killed
	Draw        bool // a picture too
	Say         func(format string, args ...any)
}

// Result of a run.
type Result struct {
	Policy  string         `json:"policy"`
	Figures spread.Figures `json:"figures"`
	Audit   Audit          `json:"audit"`
	CPU     float64        `json:"cpu_share"` // of one core, mean of the controllers that lived through
	Memory  float64        `json:"memory_mb"` // resident at the end, mean
	PeakMB  float64        `json:"peak_mb"`   // the most memory that a process had resident

	Picture *spread.Picture `json:"picture,omitempty"` // where one was asked for
}

// fleet is a run under way.
type fleet struct {
	delay rigDelay
	Options
	rng         *rand.Rand
	began       time.Time
	kinds       []kind
	linked      bool                   // relays stand between controllers and engines
	hosts       []*host                // in the order in which they came
	discoveries []*discovery.Discovery // each controller's own
	processes   []*Process
	guests      []*guests
	busy        sync.WaitGroup // faults under way
	later       sync.WaitGroup // what lists tell late

	saying sync.Mutex
	said   bool // all: what is noticed from now on belongs to no run

	mu       sync.Mutex
	crashes  int
	troubled time.Duration         // the longest time that links had one trouble
	struck   map[int]bool          // controllers that a fault ended
	late     map[int]time.Duration // by controller, of its list
	away     map[int]time.Duration // until when its discovery is silent
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
	f := &fleet{Options: o, rng: rand.New(rand.NewSource(o.Seed)), began: time.Now(), struck: map[int]bool{},
		late: map[int]time.Duration{}, away: map[int]time.Duration{}, kinds: plainKinds()}
	if o.Ruled {
		f.kinds = ruledKinds()
	}
	for _, fault := range o.Faults {
		f.linked = f.linked || faults[fault.What].link
	}
	defer f.end()
	measured, stop := context.WithCancel(ctx)
	defer stop()
	go f.delay.measure(measured, f.began)
	if err := f.start(ctx, folder); err != nil {
		return Result{}, err
	}
	go f.watchMemory(measured)
	from := time.Since(f.began)
	f.play(ctx, from)
	to := time.Since(f.began)
	last := time.Now().Add(longestWait(f.kinds) + time.Second)
	for _, g := range f.guests {
		g.wait(time.Until(last))
	}
	f.busy.Wait()
	f.later.Wait()
	return f.tell(from, to), ctx.Err()
}

func (f *fleet) start(ctx context.Context, folder string) (err error) {
	for place := range f.Engines {
		if _, err := f.add(place, ""); err != nil {
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
		var all []discovery.Host
		for _, h := range f.hosts {
			all = append(all, f.seenFrom(h, n%f.Rooms, "active"))
		}
		list.Tell(true, all...)
		f.processes = append(f.processes, NewProcess(f.Program, folder, Setup{Name: fmt.Sprintf("n%03d", n), Listen: address,
			Seed: strconv.FormatInt(f.Seed*1000+int64(n), 10), Discovery: list.Address(), Known: list.Since(0),
			Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, Settings: settings(f.Options, f.kinds, f.rank(n), n%f.Rooms)}, args...))
	}
	f.Say("starting %d controllers between %d engines", f.Controllers, f.Engines)
	errs := make(chan error, len(f.processes))
	turns := make(chan bool, 2*runtime.NumCPU()) // so many start at once
	for _, p := range f.processes {
		go func() {
			turns <- true
			defer func() { <-turns }()
			if ctx.Err() != nil {
				errs <- ctx.Err()
				return
			}
			errs <- p.Start(30 * time.Second)
		}()
	}
	for range f.processes {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	return err
}

// say tells of what is noticed while the run lasts.
func (f *fleet) say(format string, args ...any) {
	f.saying.Lock()
	defer f.saying.Unlock()
	if !f.said {
		f.Say(format, args...)
	}
}

// rank is the number of a controller among those that the settings tell of: those that run lie evenly among them.
func (f *fleet) rank(n int) int { return n * f.Settled / f.Controllers }

// play has the clients ask, and the faults happen.
func (f *fleet) play(ctx context.Context, from time.Duration) {
	over, stop := context.WithTimeout(ctx, f.Length)
	defer stop()
	// Some controllers get several times the mean: a lognormal distribution as of traffic between offices.
	const uneven = 0.7
	rates, sum := make([]float64, f.Controllers), 0.0
	for n := range rates {
		rates[n] = math.Exp(uneven * f.rng.NormFloat64())
		sum += rates[n]
	}
	for n, p := range f.processes {
		g := &guests{fleet: f, number: n, process: p, rng: rand.New(rand.NewSource(f.Seed*7919 + int64(n))),
			perSecond: rates[n] / sum * float64(f.Controllers) * f.PerSecond, jobs: map[string]*spread.Job{}, asked: map[string]*ask{}}
		f.guests = append(f.guests, g)
	}
	for _, fault := range f.Faults {
		who := fault.among(f.rng, map[struck]int{controllers: f.Controllers, engines: f.Engines, rooms: f.Rooms}[faults[fault.What].on])
		rng := rand.New(rand.NewSource(f.rng.Int63()))
		f.busy.Add(1)
		go func() {
			defer f.busy.Done()
			select {
			case <-over.Done():
			case <-time.After(fault.At - (time.Since(f.began) - from)):
				f.Say("%s", fault)
				f.strike(over, fault, who, rng)
			}
		}()
	}
	var asking sync.WaitGroup
	for _, g := range f.guests {
		asking.Add(1)
		go func() {
			defer asking.Done()
			g.ask(over)
		}()
	}
	asking.Wait()
}

// strike does what a fault does, to all it strikes at once, and ends it.
func (f *fleet) strike(over context.Context, fault Fault, who []int, rng *rand.Rand) {
	kind := faults[fault.What]
	if kind.link {
		f.strikeLinks(over, fault, who)
		return
	}
	if fault.What == "hot" {
		f.heat(over, fault, rng)
		return
	}
	if kind.on == rooms { // what is in them
		in := who
		who = nil
		for place := range f.Engines {
			if slices.Contains(in, place%f.Rooms) {
				who = append(who, place)
			}
		}
	}
	var all sync.WaitGroup
	for _, n := range who {
		all.Add(1)
		own := rand.New(rand.NewSource(rng.Int63()))
		go func() {
			defer all.Done()
			if kind.on != controllers {
				f.strikeEngine(over, fault, n, own)
				return
			}
			f.strikeController(over, fault, n)
		}()
	}
	all.Wait()
}

func (f *fleet) strikeController(over context.Context, fault Fault, n int) {
	switch fault.What {
	case "kill", "term":
		f.again(n, fault.What == "term")
	case "stop":
		f.guests[n].stands(fault.For)
		_ = f.processes[n].Signal(syscall.SIGSTOP)
		wait(over, fault.For)
		_ = f.processes[n].Signal(syscall.SIGCONT)
	case "away":
		f.mu.Lock()
		f.away[n] = time.Since(f.began) + fault.For
		f.mu.Unlock()
		f.discoveries[n].Silent(true)
		wait(over, fault.For)
		f.discoveries[n].Silent(false)
	case "late":
		f.mu.Lock()
		f.late[n] = fault.For
		f.mu.Unlock()
	case "signals":
		f.signals(over, n, fault.For)
	case "crowd":
		f.crowd(over, n, fault.For)
	case "flood":
		f.flood(over, n, fault.For)
	case "eager", "leave":
		f.guests[n].behave(fault.What, true)
		wait(over, fault.For)
		f.guests[n].behave(fault.What, false)
	}
}

// heat has a share of the controllers get ten times the mean, others each second.
func (f *fleet) heat(over context.Context, fault Fault, rng *rand.Rand) {
	for until := time.Now().Add(fault.For); time.Now().Before(until) && over.Err() == nil; {
		who := fault.among(rng, f.Controllers)
		for _, n := range who {
			f.guests[n].heat(10 * f.PerSecond)
		}
		wait(over, time.Second)
		for _, n := range who {
			f.guests[n].heat(0)
		}
	}
}

// again ends a controller and starts it anew.
func (f *fleet) again(n int, gently bool) {
	p := f.processes[n]
	p.restarts.Lock() // another fault may strike it while it is being restarted
	defer p.restarts.Unlock()
	f.mu.Lock()
	f.struck[n] = true
	f.mu.Unlock()
	f.guests[n].excuse(!gently)
	if gently && f.Stay {
		f.endAtTheEarliest(n)
	} else if gently {
		_ = p.Signal(syscall.SIGTERM)
		// The platform's front sends jobs for 0.6 s at most after the signal.
		time.AfterFunc(400*time.Millisecond, func() { f.guests[n].stayAway(true) })
		select {
		case <-p.Ended():
		case <-time.After(10 * time.Second):
			f.Say("%s does not end", p.Name)
		}
	}
	p.Kill()
	p.knows(f.discoveries[n])
	if err := p.Start(30 * time.Second); err != nil {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		f.Say("%v", err)
	}
	f.guests[n].excuse(false)
	f.guests[n].stayAway(false)
}

func wait(over context.Context, d time.Duration) {
	select {
	case <-over.Done():
	case <-time.After(d):
	}
}

// tell gathers what was seen.
func (f *fleet) tell(from, to time.Duration) Result {
	run := spread.Run{From: from, To: to, Engines: f.Engines, Controllers: f.Controllers}
	for place := range f.Engines {
		run.CoresOf = append(run.CoresOf, f.coresOf(place))
	}
	audit := Audit{Crashes: f.crashes}
	peakMB := 0.0
	for _, p := range f.processes {
		p.notePeak()
		unbidden, peak := p.history()
		audit.Unbidden += unbidden
		if peakMB = max(peakMB, peak); peak > float64(p.Limits.MemoryMB) {
			audit.OverMemory++
			f.Say("%s had %.1f MB of %d", p.Name, peak, p.Limits.MemoryMB)
		}
	}
	came := map[string]time.Duration{}
	proof := evidence{jobs: map[string]*ask{}, hosts: f.hosts, struck: f.struck, breached: map[int]bool{}, slack: f.slack(), delay: &f.delay, budget: theBudget, cold: theCold,
		length: keyWindow, say: f.Say}
	if f.linked { // the word to stop an attempt may be held up on its link
		proof.gap = proof.slack
	}
	proof.cold.meanJob = meanWork(f.kinds)
	for _, h := range f.hosts {
		visits, dials, probes := h.record.all()
		for _, v := range visits {
			v.Engine = h.place
			run.Visits = append(run.Visits, v.Visit)
			if first, was := came[v.id]; !was || v.Came < first {
				came[v.id] = v.Came
			}
			proof.visits = append(proof.visits, seen{v, h})
		}
		run.Dials, run.Probes = append(run.Dials, dials...), append(run.Probes, probes...)
	}
	for _, g := range f.guests {
		jobs, lost, doubled := g.all(came, proof.jobs)
		run.Jobs = append(run.Jobs, jobs...)
		audit.Lost += lost
		audit.Overdue += g.overdue()
		audit.Doubled += doubled
	}
	proof.judge(&audit)
	for n := range proof.breached {
		f.Say("log of %s, of a run that began at %v:\n%s", f.processes[n].Name, f.began.UTC().Format(time.RFC3339Nano), f.processes[n].Log())
	}
	f.countViolations(&audit)
	for _, list := range f.discoveries {
		run.DiscoveryCalls = append(run.DiscoveryCalls, list.Times(f.began)...)
	}
	result := Result{Policy: f.Policy, Audit: audit, Figures: spread.Tell(run), PeakMB: peakMB}
	if f.Draw {
		result.Picture = spread.Draw(run)
	}
	if result.Policy == "" {
		result.Policy = "own"
	}
	lived := 0.0
	for n, p := range f.processes {
		cpu, memory, err := usage(p.PID())
		if err != nil {
			result.Audit.Crashes++
			f.Say("%s is gone: %v\n%s", p.Name, p.Err(), p.Log())
			continue
		}
		if !f.struck[n] {
			lived++
			result.CPU += cpu.Seconds() / (time.Since(f.began) - from).Seconds()
			result.Memory += memory
		}
	}
	if lived > 0 {
		result.CPU, result.Memory = result.CPU/lived, result.Memory/lived
	}
	return result
}

// coresOf an engine at a place, and its kind.
func (f *fleet) coresOf(place int) int {
	if f.Uneven && place%3 == 2 {
		return 2 * f.Cores
	}
	return f.Cores
}

func (f *fleet) kindOf(place int) string {
	if f.coresOf(place) != f.Cores {
		return "big"
	}
	return "std"
}

// slack is how much later than at a controller a thing may be seen at an engine: the protocol's 50 ms, what a loaded machine
// adds, and what the links take.
func (f *fleet) slack() time.Duration {
	slack := 150 * time.Millisecond
	for _, fault := range f.Faults {
		if faults[fault.What].link || fault.What == "stop" {
			slack = max(slack, fault.For+200*time.Millisecond, f.troubled+200*time.Millisecond)
		}
	}
	return slack
}

func longestWait(kinds []kind) (most time.Duration) {
	for _, k := range kinds {
		most = max(most, k.wait)
	}
	return most
}

func meanWork(kinds []kind) (mean time.Duration) {
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
func (f *fleet) end() {
	f.saying.Lock()
	f.said = true
	f.saying.Unlock()
	for _, g := range f.guests {
		g.close()
	}
	var all sync.WaitGroup
	for _, p := range f.processes {
		all.Add(1)
		go func() { p.Kill(); all.Done() }()
	}
	all.Wait()
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
