// Package fleet runs real processes of the program between stand-ins on loopback addresses, and puts faults on them.
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

// Setup is the platform's configuration of one controller.
type Setup struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`
	Discovery string          `json:"feed"`
	Known     json.RawMessage `json:"known"`
	Limits    Limits          `json:"limits"`
	Settings  any             `json:"settings"`
}

// Limits of a controller's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Process is one controller. Its methods may be called from anywhere.
type Process struct {
	Setup
	program, configFile string
	args                []string
	restartMu           sync.Mutex // one restart at a time
	configMu            sync.Mutex // one configuration is written at a time
	starting            bool       // a life reads its first configuration, which has to be whole; under files

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the present life is over
	err   error
	log   tailBuffer

	exitRequested    bool    // to end: the present life had a signal for that
	unrequestedExits int     // lives that ended without
	peakMB           float64 // the most memory resident, over all lives
}

// listenPort is the same for all, as each has a loopback address of its own: a port of 127.0.0.1 that is free now may be
// the near end of somebody's connection a moment later.
const listenPort = 7050

var addressCounter atomic.Uint32

// FreeAddress picks a loopback address that nobody listens on, and nobody connects from. It is not tried: a process that is
// just being started would hold on to the trial for a moment after it is over, and the address would be in use.
func FreeAddress() (string, error) {
	n := addressCounter.Add(1)
	if n > 250*250 {
		return "", errors.New("no loopback address is free")
	}
	// By process, as several of them may listen on such addresses at once.
	pid := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid%200, (pid/200+n/250)%250, 1+n%250, listenPort), nil
}

// NewProcess prepares a controller of a built program; its configuration goes into a folder.
func NewProcess(program, folder string, setup Setup, args ...string) *Process {
	return &Process{Setup: setup, program: program, args: args, configFile: filepath.Join(folder, setup.Name+".json")}
}

// Start begins a life of the process and waits until it listens, or for as long as is given.
func (p *Process) Start(timeout time.Duration) error {
	p.setStarting(true)
	defer p.setStarting(false)
	if err := p.writeConfig(p.Setup, false); err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configFile)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	// A rig that is killed takes its processes with it.
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
			return fmt.Errorf("%s ended before it served: %w\n%s", p.Name, errors.Join(p.Err(), err), p.Log())
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not listen: %w\n%s", p.Name, err, p.Log())
		}
	}
}

// knows has the next life begin with what discovery has told by now, as the platform does.
func (p *Process) setKnownList(list *discovery.Discovery) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	p.Known = list.Since(0)
}

func (p *Process) setStarting(yes bool) {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	p.starting = yes
}

// configure puts a configuration where the process reads it; a torn one ends in the middle, but for a process that is being started,
// which rightly ends on that. It is in place at once.
func (p *Process) writeConfig(s Setup, truncated bool) error {
	p.configMu.Lock()
	defer p.configMu.Unlock()
	path := p.configFile
	raw, err := json.Marshal(s)
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

// Signal sends one to the present life: SIGSTOP and SIGCONT for a standstill, SIGTERM, SIGHUP, SIGKILL.
func (p *Process) Signal(s syscall.Signal) error {
	terminates := s == syscall.SIGTERM || s == syscall.SIGINT || s == syscall.SIGKILL
	if terminates {
		p.recordPeak() // as there is none to ask for afterwards
	}
	p.mu.Lock()
	p.exitRequested = p.exitRequested || terminates
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return p.cmd.Process.Signal(s)
}

// SignalIfTaken sends a signal to the present life if that ignores or catches it by now, and tells whether it did. In the first
// moments of a process, before its libraries are loaded, only its parent could have it ignored.
func (p *Process) SignalIfHandled(s syscall.Signal) bool {
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
		if err == nil && mask&(1<<(s-1)) != 0 {
			return p.Signal(s) == nil
		}
	}
	return false
}

// Ended is closed when the present life is over.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Err tells how the last life ended: nil with exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Kill ends the present life, if there is one, and waits for its end.
func (p *Process) Kill() {
	if p.Ended() != nil {
		_ = p.Signal(syscall.SIGKILL) // which also ends one that is stopped; an error tells that it is over
		<-p.Ended()
	}
}

// PID of the present life, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// PeakMB is the most memory that the present life has had resident, in MB, pages of files among it; 0 once it has ended.
func (p *Process) PeakMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, is := strings.CutPrefix(line, "VmHWM:"); is {
			kB, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			return kB / 1024
		}
	}
	return 0
}

// notePeak keeps the peak of the present life with those of the others.
func (p *Process) recordPeak() {
	peak := p.PeakMB()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMB = max(p.peakMB, peak)
}

// history tells how many lives ended without a signal for that, and the most memory of all.
func (p *Process) exitsAndPeak() (unrequestedExits int, peakMB float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unrequestedExits, p.peakMB
}

// Log is the end of what all lives wrote.
func (p *Process) Log() string { return p.log.String() }

// tail keeps the last of what is written to it.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

// mostLog of each process is kept: some hundred lines.
const maxLogBytes = 64 << 10

func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if excess := len(t.text) - 2*maxLogBytes; excess > 0 {
		t.text = bytes.Clone(t.text[len(t.text)-maxLogBytes:])
	}
	return len(b), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
