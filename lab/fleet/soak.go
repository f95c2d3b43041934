package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"yarrowbarrow/lab/flood"
)

// Soak draws a run from a seed: 10 to 40 processes, four to nine faults of all kinds that overlap in time, lists from a handful of
// engines to thousands, clients that use their connections until the kill, and a kill at the protocol's earliest. The invariants
// are the audit's. Each kind of fault is drawn as often as any other.
func Soak(seed int64, length time.Duration) Options {
	rng := rand.New(rand.NewSource(seed))
	o := Options{Seed: seed, Length: length, Controllers: 10 + rng.Intn(31), Ruled: true, KeepConnections: true, Rooms: 1 + rng.Intn(3), Uneven: rng.Intn(4) == 0}
	o.Engines = []int{5, 8, 16, 40, 400, 1200}[rng.Intn(6)]
	if rng.Intn(3) == 0 {
		o.Settled = []int{100, 300, 900}[rng.Intn(3)]
	}
	o.PerSecond = 160 / float64(o.Controllers)
	o.Cores = max(int(math.Ceil(1.6*soakMeanCores/float64(o.Engines))), 1)
	o.Faults = DrawFaults(seed, 4+rng.Intn(6), length)
	// In every run controllers are told to end, and in half of them engines hang from just before until they are gone.
	termAt := (length/6 + time.Duration(rng.Int63n(int64(length)/4))).Round(100 * time.Millisecond)
	o.Faults = append(o.Faults, Fault{Name: "term", Share: 0.1 + 0.3*rng.Float64(), At: termAt})
	if rng.Intn(2) == 0 {
		o.Faults = append(o.Faults, Fault{Name: "hang", Share: 0.2 + 0.3*rng.Float64(), At: termAt - length/30, Duration: maxExitDeadline + killDelay})
	}
	return o
}

// hostile adds peers that send what can't be read or all they can, crowds of clients, and signals, to a run. They are drawn apart, so
// that a seed's other faults are the same with and without.
func (o *Options) addHostileFaults() {
	rng := rand.New(rand.NewSource(o.Seed ^ 0x5eed))
	draw := func(name string, share float64, maxExtra time.Duration) {
		at := (o.Length/10 + time.Duration(rng.Int63n(int64(o.Length)*6/10))).Round(100 * time.Millisecond)
		length := (o.Length/20 + time.Duration(rng.Int63n(int64(maxExtra)))).Round(100 * time.Millisecond)
		o.Faults = append(o.Faults, Fault{Name: name, Share: share * (0.5 + rng.Float64()), At: at, Duration: length})
	}
	draw("flood", 0.2, o.Length/4)
	draw("signals", 0.3, o.Length/3)
	if rng.Intn(2) == 0 {
		draw("babble", 0.15, o.Length/6)
	}
	if rng.Intn(3) == 0 {
		draw("crowd", 0.3, o.Length/3)
	}
}

// Soaked is what a run of a soak came to.
type Soaked struct {
	Seed    int64
	Options Options
	Result  Result
	Said    []string // what its rig had to say, for a run that broke a rule
}

// RunSoak plays seeds from a first one, so many side by side, and hands over each as it ends. It stops with the first error.
// Hostile runs have peers that flood, crowds and signals besides.
func RunSoak(ctx context.Context, program string, first int64, seeds, parallel int, length time.Duration, hostile bool, each func(Soaked)) error {
	runSlots, results := make(chan bool, max(parallel, 1)), make(chan error, seeds)
	var eachMu sync.Mutex
	for n := range seeds {
		go func() {
			runSlots <- true
			defer func() { <-runSlots }()
			s := Soaked{Seed: first + int64(n), Options: Soak(first+int64(n), length)}
			var saidMu sync.Mutex
			s.Options.Program = program
			if hostile {
				s.Options.addHostileFaults()
			}
			s.Options.Say = func(format string, args ...any) {
				saidMu.Lock()
				defer saidMu.Unlock()
				s.Said = append(s.Said, fmt.Sprintf(format, args...))
			}
			var err error
			if s.Result, err = Run(ctx, s.Options); err == nil {
				eachMu.Lock()
				each(s)
				eachMu.Unlock()
			}
			results <- err
		}()
	}
	for range seeds {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// soakCores is what the jobs of a soak keep busy in the mean: 160 a second of 72 ms.
const soakMeanCores = 11.5

// longestExit and killAfter are the protocol's: the longest deadline counted at an exit, and when after it and the signal to end
// a process may be killed.
const maxExitDeadline, killDelay = 3 * time.Second, 700 * time.Millisecond

// endAtTheEarliest tells a controller to end, more than once and with other signals between, and kills it at the protocol's
// earliest. New connections come for 0.3 s more; open ones are used until they are ended.
func (f *fleet) terminateAndKill(n int) {
	p := f.processes[n]
	kill := time.After(min(longestDeadline(f.kinds), maxExitDeadline) + killDelay)
	time.AfterFunc(300*time.Millisecond, func() { f.clients[n].setOutOfRotation(true) })
	signalTicker := time.NewTicker(20 * time.Millisecond)
	defer signalTicker.Stop()
	for count := 0; ; count++ {
		s := [...]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1}[count%4]
		_ = p.Signal(s) // an error tells that it has ended
		select {
		case <-p.Ended():
			if err := p.Err(); err != nil {
				f.recordCrash("%s has ended badly: %v\n%s", p.Name, err, p.Log())
			}
			return
		case <-kill:
			f.Say("%s is killed", p.Name)
			return
		case <-signalTicker.C:
		}
	}
}

// memoryEvery is how often the peaks of memory are looked at, as those of a life that ended are gone.
const memorySampleInterval = 100 * time.Millisecond

func (f *fleet) sampleMemory(ctx context.Context) {
	ticker := time.NewTicker(memorySampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, p := range f.processes {
				p.recordPeak()
			}
		}
	}
}

// flood has hostile clients come to a controller, one at a time and of all kinds by turns, each for some MB at most.
func (f *fleet) floodController(ctx context.Context, n int, duration time.Duration) {
	until := time.Now().Add(duration)
	floods := flood.Clients(f.kinds[0].name)
	for next := n; time.Now().Before(until) && ctx.Err() == nil; next++ {
		current := floods[next%len(floods)]
		current.Times, current.Deadline = min(current.Times, maxFloodPieces), time.Second
		_ = current.Run(f.processes[n].Listen) // an error tells that it is being restarted
		sleep(ctx, 50*time.Millisecond)
	}
}

// mostPieces of a flood are sent at a time: a MiB each, mostly.
const maxFloodPieces = 4

func (f *fleet) recordCrash(format string, args ...any) {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	f.Say(format, args...)
}

// signals has a controller take one configuration after the other; each moves discovery to another connection point of the same
// list, and one of them can't be read.
func (f *fleet) reloadRepeatedly(ctx context.Context, n int, duration time.Duration) {
	p := f.processes[n]
	first := p.Discovery
	pause := time.NewTicker(max(duration/20, 10*time.Millisecond))
	defer pause.Stop()
	for round := range 20 {
		address := first
		if round%2 == 0 && round < 18 {
			address = f.discoveries[n].Second()
		}
		p.reconfigure(address, round%5 == 3)
		p.SignalIfHandled(syscall.SIGHUP)
		if round%4 == 0 {
			p.SignalIfHandled(syscall.SIGUSR1)
		}
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
	}
	p.reconfigure(first, false)
	p.SignalIfHandled(syscall.SIGHUP)
}

// crowdShare of a controller's descriptors are taken by idle clients.
const idleClientShare = 0.45

// crowd has idle clients connect and stay.
func (f *fleet) openIdleClients(ctx context.Context, n int, duration time.Duration) {
	until := time.After(duration)
	var conns []net.Conn
	for range int(idleClientShare * float64(f.processes[n].Limits.Sockets)) {
		conn, err := net.DialTimeout("tcp", f.processes[n].Listen, time.Second)
		if err != nil {
			continue // it is being restarted
		}
		conns = append(conns, conn)
	}
	select {
	case <-ctx.Done():
	case <-until:
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// countViolations adds what processes counted themselves. An answer that is overdue where the process was stopped is physics.
func (f *fleet) countViolations(a *Audit) {
	for n, p := range f.processes {
		for line := range strings.Lines(p.Log()) {
			broken := strings.Contains(line, "invariant violated") && (f.clients[n].standstillTime == 0 || !strings.Contains(line, "answered_overdue"))
			if broken || strings.Contains(line, "msg=panic") || strings.Contains(line, "fatal error") {
				a.Violated++
				f.Say("%s: %s", p.Name, strings.TrimSpace(line))
			}
		}
	}
}

// reconfigure writes another configuration for a process, to be taken with HUP; a torn one ends in the middle.
func (p *Process) reconfigure(address string, truncated bool) {
	p.configMu.Lock()
	setup := p.Setup
	p.configMu.Unlock()
	setup.Discovery = address
	if err := p.writeConfig(setup, truncated); err != nil {
		panic(fmt.Sprint("a configuration can't be written: ", err)) // the rig's own folder
	}
}
