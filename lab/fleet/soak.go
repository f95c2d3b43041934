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

// Soak returns the options of a run drawn from a seed: 10 to 40 controllers, four to nine overlapping faults of all kinds plus terminations,
// lists from a handful of engines to more than a thousand, clients that use their connections until the controller is killed, and kills at
// the earliest time that the protocol allows. The audit checks the invariants. Each kind of fault is equally likely.
func Soak(seed int64, length time.Duration) Options {
	rng := rand.New(rand.NewSource(seed))
	options := Options{Seed: seed, Duration: length, Controllers: 10 + rng.Intn(31), ConstrainedJobs: true,
		KeepConnections: true, Rooms: 1 + rng.Intn(3), MixedCores: rng.Intn(4) == 0}
	options.Engines = []int{5, 8, 16, 40, 400, 1200}[rng.Intn(6)]
	if rng.Intn(3) == 0 {
		options.ConfiguredControllers = []int{100, 300, 900}[rng.Intn(3)]
	}
	options.JobsPerSecond = 160 / float64(options.Controllers)
	options.Cores = max(int(math.Ceil(1.6*soakMeanCores/float64(options.Engines))), 1)
	options.Faults = DrawFaults(seed, 4+rng.Intn(6), length)
	// Every run terminates controllers, and in half of the runs engines hang from shortly before that until the controllers have ended.
	termAt := (length/6 + time.Duration(rng.Int63n(int64(length)/4))).Round(100 * time.Millisecond)
	options.Faults = append(options.Faults, Fault{Name: "term", Share: 0.1 + 0.3*rng.Float64(), At: termAt})
	if rng.Intn(2) == 0 {
		options.Faults = append(options.Faults, Fault{Name: "hang", Share: 0.2 + 0.3*rng.Float64(), At: termAt - length/30,
			Duration: maxExitDeadline + killDelay})
	}
	return options
}

// addHostileFaults adds peers that flood or send malformed data, crowds of idle clients, and signals. They are drawn from a separate
// generator, so that the other faults of a seed are the same with and without them.
func (o *Options) addHostileFaults() {
	rng := rand.New(rand.NewSource(o.Seed ^ 0x5eed))
	draw := func(name string, share float64, maxExtra time.Duration) {
		at := (o.Duration/10 + time.Duration(rng.Int63n(int64(o.Duration)*6/10))).Round(100 * time.Millisecond)
		length := (o.Duration/20 + time.Duration(rng.Int63n(int64(maxExtra)))).Round(100 * time.Millisecond)
		o.Faults = append(o.Faults, Fault{Name: name, Share: share * (0.5 + rng.Float64()), At: at, Duration: length})
	}
	draw("flood", 0.2, o.Duration/4)
	draw("signals", 0.3, o.Duration/3)
	if rng.Intn(2) == 0 {
		draw("babble", 0.15, o.Duration/6)
	}
	if rng.Intn(3) == 0 {
		draw("crowd", 0.3, o.Duration/3)
	}
}

// SoakResult is the result of one run of a soak.
type SoakResult struct {
	Seed     int64
	Options  Options
	Result   Result
	LogLines []string // log messages of the rig, to explain violations
}

// RunSoak runs seeds from first on, up to parallel of them at a time, and calls each with every result, one call at a time. It returns the
// first error. With hostile, runs also have the faults of addHostileFaults.
func RunSoak(ctx context.Context, program string, first int64, seeds, parallel int, length time.Duration, hostile bool, each func(SoakResult)) error {
	runSlots, results := make(chan bool, max(parallel, 1)), make(chan error, seeds)
	var eachMu sync.Mutex
	for n := range seeds {
		go func() {
			runSlots <- true
			defer func() { <-runSlots }()
			s := SoakResult{Seed: first + int64(n), Options: Soak(first+int64(n), length)}
			var saidMu sync.Mutex
			s.Options.Program = program
			if hostile {
				s.Options.addHostileFaults()
			}
			s.Options.Logf = func(format string, args ...any) {
				saidMu.Lock()
				defer saidMu.Unlock()
				s.LogLines = append(s.LogLines, fmt.Sprintf(format, args...))
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

// soakMeanCores is the mean number of cores that the jobs of a soak keep busy: 160 jobs per second of 72 ms.
const soakMeanCores = 11.5

// By the protocol, a process may be killed once the longest deadline of its jobs, at most maxExitDeadline, and killDelay have passed since
// SIGTERM.
const maxExitDeadline, killDelay = 3 * time.Second, 700 * time.Millisecond

// terminateAndKill sends a controller SIGTERM repeatedly, with other signals in between, until it ends or may be killed by the protocol; the
// caller then kills it. Clients send jobs for 0.3 s more over new connections, and over open ones until those are closed.
func (f *fleet) terminateAndKill(controller int) {
	process := f.processes[controller]
	kill := time.After(min(longestDeadline(f.kinds), maxExitDeadline) + killDelay)
	time.AfterFunc(300*time.Millisecond, func() { f.clients[controller].setOutOfRotation(true) })
	signalTicker := time.NewTicker(20 * time.Millisecond)
	defer signalTicker.Stop()
	for count := 0; ; count++ {
		sig := [...]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1}[count%4]
		_ = process.Signal(sig) // fails once the process has ended
		select {
		case <-process.Ended():
			if err := process.Err(); err != nil {
				f.recordCrash("%s exited with an error: %v\n%s", process.Name, err, process.Log())
			}
			return
		case <-kill:
			f.Logf("%s did not exit in time and will be killed", process.Name)
			return
		case <-signalTicker.C:
		}
	}
}

// memorySampleInterval is how often peak memory is read, as it can't be read once a process has ended.
const memorySampleInterval = 100 * time.Millisecond

// sampleMemory records the peak memory of all processes until ctx ends.
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

// floodController runs hostile clients against a controller, one at a time and of each kind in turn, each sending some MB at most.
func (f *fleet) floodController(ctx context.Context, controller int, duration time.Duration) {
	deadline := time.Now().Add(duration)
	floods := flood.Clients(f.kinds[0].name)
	for next := controller; time.Now().Before(deadline) && ctx.Err() == nil; next++ {
		current := floods[next%len(floods)]
		current.ChunkCount, current.Deadline = min(current.ChunkCount, maxFloodPieces), time.Second
		_ = current.Run(f.processes[controller].Listen) // fails while the controller is being restarted
		sleep(ctx, 50*time.Millisecond)
	}
}

// maxFloodPieces is how many pieces one hostile client sends, most of them 1 MiB.
const maxFloodPieces = 4

// recordCrash counts and logs a process that ended with an error.
func (f *fleet) recordCrash(format string, args ...any) {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	f.Logf(format, args...)
}

// reloadRepeatedly has a controller reload its configuration again and again. About half of the configurations move discovery to another
// address that serves the same list, and every fifth is truncated.
func (f *fleet) reloadRepeatedly(ctx context.Context, controller int, duration time.Duration) {
	process := f.processes[controller]
	firstAddress := process.Discovery
	ticker := time.NewTicker(max(duration/20, 10*time.Millisecond))
	defer ticker.Stop()
	for round := range 20 {
		address := firstAddress
		if round%2 == 0 && round < 18 {
			address = f.discoveries[controller].SecondAddress()
		}
		process.reconfigure(address, round%5 == 3)
		process.SignalIfHandled(syscall.SIGHUP)
		if round%4 == 0 {
			process.SignalIfHandled(syscall.SIGUSR1)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	process.reconfigure(firstAddress, false)
	process.SignalIfHandled(syscall.SIGHUP)
}

// idleClientShare is the share of a controller's descriptors that idle clients take.
const idleClientShare = 0.45

// openIdleClients opens idle client connections to a controller and keeps them for a duration.
func (f *fleet) openIdleClients(ctx context.Context, controller int, duration time.Duration) {
	until := time.After(duration)
	var conns []net.Conn
	for range int(idleClientShare * float64(f.processes[controller].Limits.Sockets)) {
		conn, err := net.DialTimeout("tcp", f.processes[controller].Listen, time.Second)
		if err != nil {
			continue // the controller is being restarted
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

// countViolations adds the invariant violations, panics and fatal errors in the processes' logs. Overdue answers of a process that was
// stopped are unavoidable and do not count.
func (f *fleet) countViolations(a *Audit) {
	for n, p := range f.processes {
		for line := range strings.Lines(p.Log()) {
			broken := strings.Contains(line, "invariant violated") && (f.clients[n].standstillTime == 0 || !strings.Contains(line, "answered_overdue"))
			if broken || strings.Contains(line, "msg=panic") || strings.Contains(line, "fatal error") {
				a.Violated++
				f.Logf("%s: %s", p.Name, strings.TrimSpace(line))
			}
		}
	}
}

// reconfigure writes a configuration with another address of discovery, which the process reads on SIGHUP. A truncated one ends in the
// middle.
func (p *Process) reconfigure(address string, truncated bool) {
	p.configMu.Lock()
	setup := p.Setup
	p.configMu.Unlock()
	setup.Discovery = address
	if err := p.writeConfig(setup, truncated); err != nil {
		panic(fmt.Sprint("can't write a configuration file: ", err)) // the file is in the rig's own folder
	}
}
