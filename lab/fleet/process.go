// Package fleet runs real processes of the program between stand-in engines and discovery servers on loopback addresses, injects faults,
// and audits what engines and clients observed.
package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yarrowbarrow/lab/standin/discovery"
)

// Setup is the configuration that the platform hands to one controller.
type Setup struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`
	Discovery string          `json:"feed"`
	Known     json.RawMessage `json:"known"`
	Limits    Limits          `json:"limits"`
	Settings  any             `json:"settings"`
}

// Limits are the resource limits of a controller's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Process is one controller: a process of the program, which may be ended and started again. Its methods are safe for concurrent use.
type Process struct {
	Setup
	program, configFile string
	args                []string
	restartMu           sync.Mutex // held during a restart
	configMu            sync.Mutex // held while the configuration file is written; protects starting
	starting            bool       // a process is starting, and its first configuration must be complete

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current process has ended
	err   error
	log   tailBuffer

	exitRequested    bool    // the current process was sent a terminating signal
	unrequestedExits int     // exits without a terminating signal
	peakMB           float64 // highest resident memory of all processes so far
}

// listenPort is the same for all listeners, as each has a loopback address of its own. A port of 127.0.0.1 that is free now may be the local
// end of an outgoing connection a moment later.
const listenPort = 7050

var addressCounter atomic.Uint32

// FreeAddress returns a loopback address that no one listens on or connects from. It does not try to listen on it: a process that is being
// forked would inherit the socket and keep the address in use for a moment after the trial.
func FreeAddress() (string, error) {
	n := addressCounter.Add(1)
	if n > 250*250 {
		return "", errors.New("all loopback addresses have been used")
	}
	// Depends on the process id, because several test processes may run at the same time.
	pid := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid%200, (pid/200+n/250)%250, 1+n%250, listenPort), nil
}

// NewProcess returns a controller that is not started yet. program is the path of the built program; the configuration is written to folder.
func NewProcess(program, folder string, setup Setup, args ...string) *Process {
	return &Process{Setup: setup, program: program, args: args, configFile: filepath.Join(folder, setup.Name+".json")}
}

// Start starts the process and waits until it listens. It fails if the process ends before that, or after timeout.
func (p *Process) Start(timeout time.Duration) error {
	p.setStarting(true)
	defer p.setStarting(false)
	if err := p.writeConfig(p.Setup, false); err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configFile)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	// The kernel kills the process when the rig is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.err, p.exitRequested = cmd, ended, nil, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		if !p.exitRequested {
			p.unrequestedExits++
		}
		p.mu.Unlock()
		close(ended)
	}()
	for deadline := time.Now().Add(timeout); ; {
		conn, err := net.Dial("tcp", p.Listen)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it listened: %w\n%s", p.Name, errors.Join(p.Err(), err), p.Log())
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not listen within the timeout: %w\n%s", p.Name, err, p.Log())
		}
	}
}

// setKnownList gives the next process the list that discovery has published by now, as the platform does.
func (p *Process) setKnownList(list *discovery.Discovery) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	p.Known = list.EventsAfter(0)
}

// setStarting notes whether a process is starting, so that writeConfig does not truncate its configuration.
func (p *Process) setStarting(starting bool) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	p.starting = starting
}

// writeConfig atomically replaces the configuration file of the process. With truncated it writes only the first half, unless the process
// is starting: it would rightly exit on a truncated file.
func (p *Process) writeConfig(setup Setup, truncated bool) error {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	path := p.configFile
	raw, err := json.Marshal(setup)
	if err != nil {
		return err
	}
	if truncated && !p.starting {
		raw = raw[:len(raw)/2]
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Signal sends a signal to the current process. It fails if none was started or it has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	terminates := sig == syscall.SIGTERM || sig == syscall.SIGINT || sig == syscall.SIGKILL
	if terminates {
		p.recordPeak() // it can't be read after the process has ended
	}
	p.mu.Lock()
	p.exitRequested = p.exitRequested || terminates
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s: signal to a process that was not started", p.Name)
	}
	return p.cmd.Process.Signal(sig)
}

// SignalIfHandled sends a signal to the current process if that ignores or catches it by now, and reports whether it sent it. Before the
// libraries of a new process are loaded, only its parent could have set the signal to be ignored.
func (p *Process) SignalIfHandled(sig syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && mask&(1<<(sig-1)) != 0 {
			return p.Signal(sig) == nil
		}
	}
	return false
}

// Ended returns a channel that is closed when the current process has ended; nil before the first start.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Err returns how the last process ended: nil for exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Kill kills the current process, if there is one, and waits until it has ended.
func (p *Process) Kill() {
	if p.Ended() != nil {
		_ = p.Signal(syscall.SIGKILL) // also ends a stopped process; fails if it has already ended
		<-p.Ended()
	}
}

// PID returns the process id of the current process, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// PeakMB returns the highest resident memory of the current process in MB, including file pages, or 0 if it has ended.
func (p *Process) PeakMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			return kB / 1024
		}
	}
	return 0
}

// recordPeak updates peakMB with the peak of the current process.
func (p *Process) recordPeak() {
	peak := p.PeakMB()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMB = max(p.peakMB, peak)
}

// exitsAndPeak returns the number of exits without a terminating signal, and the highest memory of all processes in MB.
func (p *Process) exitsAndPeak() (unrequestedExits int, peakMB float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unrequestedExits, p.peakMB
}

// Log returns the end of what all processes wrote to stdout and stderr.
func (p *Process) Log() string { return p.log.String() }

// tailBuffer is a writer that keeps the end of what was written to it.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

// maxLogBytes of each controller's log are kept at least, some hundred lines. The buffer may grow to twice that.
const maxLogBytes = 64 << 10

func (t *tailBuffer) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, data...)
	if excess := len(t.text) - 2*maxLogBytes; excess > 0 {
		t.text = bytes.Clone(t.text[len(t.text)-maxLogBytes:])
	}
	return len(data), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
