package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yarrowbarrow/lab/fleet/spread"
	"yarrowbarrow/lab/standin/engine"
	"yarrowbarrow/lab/standin/feed"
)

// Options of a run.
type Options struct {
	Program     string // that serves without a word, and as a baseline with "baseline NAME"
	Policy      string // a baseline's name, or "" for the program's own decisions
	Controllers int
	Engines     int
	Cores       int // of each engine
	PerSecond   float64
	Length      time.Duration
	Seed        int64
	Faults      []Fault
	Say         func(format string, args ...any)
}

// Result of a run.
type Result struct {
	Policy  string         `json:"policy"`
	Figures spread.Figures `json:"figures"`
	Audit   Audit          `json:"audit"`
	CPU     float64        `json:"cpu_share"` // of one core, mean of the controllers that lived through
	Memory  float64        `json:"memory_mb"` // resident at the end, mean
}

// Audit is what went against the rules, from the wire alone; all of it is 0 where they were kept. What a client sent to a
// controller that was killed is not counted as lost.
type Audit struct {
	Lost     int `json:"lost"`           // jobs without an answer
	Doubled  int `json:"answered_twice"` // jobs, or answers to nothing that was asked
	Together int `json:"at_once"`        // jobs with two dispatches at engines at once
	Crashes  int `json:"crashes"`        // processes that ended though nothing of ours ended them
}

// Broken tells whether anything did.
func (a Audit) Broken() bool { return a != Audit{} }

// kinds of jobs: quick ones, and a tenth that take ten times as long. The mean work of a job is 76 ms of one core.
const (
	lookupWork, reportWork = 40 * time.Millisecond, 400 * time.Millisecond
	reportShare            = 0.1
	lookupSLA, reportSLA   = 500 * time.Millisecond, 2 * time.Second
	lookupWait, reportWait = 3 * time.Second, 10 * time.Second
	coldFor                = 5 * time.Second
)

func settings(o Options, rank int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"balancers":%d,"rank":%d,"zone":"east","tick":5000000,"discovery":"pushed",
"classes":[{"name":"lookup","aim":%d,"deadline":%d,"gain":1,"late_worth":0,"repeat":"retryable"},
{"name":"report","aim":%d,"deadline":%d,"gain":4,"late_worth":0.4,"repeat":"retryable"}],
"machine_types":["std"],"family_info":{"kind_cores":[%d],"ram_of_kind_mb":[8192],"width_by_class":[1,1]},
"permissions":{"connect_timeout":250000000,"idle_close":15000000000,"max_attempts":3,"max_retry_after":1000000000,
"may_cancel":true,"probes":true,"retry_after":true,"streams_per_conn":32,"open_cap":20000},
"safety":{"cold":%d,"fall":2000000000,"start_capacity":0.31,"tip_multiple":3,"drain_grace":2000000000,
"budget_window":10000000000,"extra_floor":2,"extra_per_request":0.2}}`, o.Controllers, rank, lookupSLA, lookupWait, reportSLA,
		reportWait, o.Cores, coldFor))
}

// fleet is a run under way.
type fleet struct {
	Options
	rng       *rand.Rand
	began     time.Time
	engines   []*engine.Engine
	records   []*record
	feed      *feed.Feed
	processes []*Process
	guests    []*guests
	busy      sync.WaitGroup // faults under way

	mu      sync.Mutex
	crashes int
	struck  map[int]bool // controllers that a fault ended
}

// Run starts the fleet, loads it and ends it. All that it started has ended when it returns, also when the context ends.
func Run(ctx context.Context, o Options) (Result, error) {
	o.Controllers, o.Engines, o.Cores = max(o.Controllers, 1), max(o.Engines, 1), max(o.Cores, 1)
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	f := &fleet{Options: o, rng: rand.New(rand.NewSource(o.Seed)), began: time.Now(), struck: map[int]bool{}}
	defer f.end()
	if err := f.start(ctx, folder); err != nil {
		return Result{}, err
	}
	from := time.Since(f.began)
	f.play(ctx, from)
	to := time.Since(f.began)
	for _, g := range f.guests {
		g.wait(reportWait + time.Second)
	}
	f.busy.Wait()
	return f.tell(from, to), ctx.Err()
}

func (f *fleet) start(ctx context.Context, folder string) (err error) {
	if f.feed, err = feed.Start("127.0.0.1:0"); err != nil {
		return err
	}
	var hosts []feed.Host
	for n := range f.Engines {
		r := &record{began: f.began, open: map[string]int{}}
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		e, err := engine.Start(address, engine.Options{Cores: f.Cores, Cold: coldFor, Watch: r.watch})
		if err != nil {
			return err
		}
		f.engines, f.records = append(f.engines, e), append(f.records, r)
		hosts = append(hosts, feed.Host{Host: fmt.Sprintf("engine-%03d", n), Dial: e.Address(), Site: "east", Class: "std", Health: "active"})
	}
	f.feed.Tell(true, hosts...)
	var args []string
	if f.Policy != "" {
		args = []string{"baseline", f.Policy}
	}
	for n := range f.Controllers {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		f.processes = append(f.processes, NewProcess(f.Program, folder, Setup{Name: fmt.Sprintf("n%03d", n), Listen: address,
			Seed: strconv.FormatInt(f.Seed*1000+int64(n), 10), Feed: f.feed.Address(), Known: f.feed.Since(0),
			Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, Settings: settings(f.Options, n)}, args...))
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
			perSecond: rates[n] / sum * float64(f.Controllers) * f.PerSecond, jobs: map[string]*spread.Job{}}
		f.guests = append(f.guests, g)
	}
	for _, fault := range f.Faults {
		who := fault.among(f.rng, map[bool]int{true: f.Engines, false: f.Controllers}[faults[fault.What].engines])
		f.busy.Add(1)
		go func() {
			defer f.busy.Done()
			select {
			case <-over.Done():
			case <-time.After(fault.At - (time.Since(f.began) - from)):
				f.Say("%s", fault)
				f.strike(over, fault, who)
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
func (f *fleet) strike(over context.Context, fault Fault, who []int) {
	var all sync.WaitGroup
	for _, n := range who {
		all.Add(1)
		go func() {
			defer all.Done()
			switch fault.What {
			case "kill", "term":
				f.again(n, fault.What == "term")
			case "stop":
				_ = f.processes[n].Signal(syscall.SIGSTOP)
				wait(over, fault.For)
				_ = f.processes[n].Signal(syscall.SIGCONT)
			case "die":
				f.engines[n].Die()
				wait(over, fault.For)
				if err := f.engines[n].Return(); err != nil {
					f.Say("engine %d does not come back: %v", n, err)
				}
			case "hang":
				f.engines[n].Hang(true)
				wait(over, fault.For)
				f.engines[n].Hang(false)
			case "slow":
				f.engines[n].Slow(4)
				wait(over, fault.For)
				f.engines[n].Slow(1)
			}
		}()
	}
	all.Wait()
}

// again ends a controller and starts it anew.
func (f *fleet) again(n int, gently bool) {
	p := f.processes[n]
	f.mu.Lock()
	f.struck[n] = true
	f.mu.Unlock()
	f.guests[n].excuse(!gently)
	if gently {
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
	run := spread.Run{From: from, To: to, Engines: f.Engines, Cores: f.Cores, Controllers: f.Controllers}
	audit := Audit{Crashes: f.crashes}
	came := map[string]time.Duration{}
	spans := map[string][][2]time.Duration{}
	for n, r := range f.records {
		visits, dials, probes := r.all()
		for _, v := range visits {
			v.Engine = n
			run.Visits = append(run.Visits, v.Visit)
			if first, was := came[v.id]; !was || v.Came < first {
				came[v.id] = v.Came
			}
			spans[v.id] = append(spans[v.id], [2]time.Duration{v.Came, v.over})
		}
		run.Dials, run.Probes = append(run.Dials, dials...), append(run.Probes, probes...)
	}
	for _, s := range spans {
		if overlap(s) {
			audit.Together++
		}
	}
	for _, g := range f.guests {
		jobs, lost, doubled := g.all(came)
		run.Jobs = append(run.Jobs, jobs...)
		audit.Lost += lost
		audit.Doubled += doubled
	}
	run.FeedCalls = f.feed.Times(f.began)
	result := Result{Policy: f.Policy, Audit: audit, Figures: spread.Tell(run)}
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
	for _, g := range f.guests {
		g.close()
	}
	var all sync.WaitGroup
	for _, p := range f.processes {
		all.Add(1)
		go func() { p.Kill(); all.Done() }()
	}
	all.Wait()
	for _, e := range f.engines {
		e.Die()
	}
	if f.feed != nil {
		f.feed.Close()
	}
}
