// Command rig plays the cases of the review: it starts the controller as the deploy file says, between stand-ins on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(couldNot)
	}
	cases := map[string]func(*run) int{"pipeline": pipelineCase, "burst": burstCase, "leave": leaveCase}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(couldNot)
	}
	os.Exit(start(os.Args[2], play))
}

// run is one play of a case.
type run struct {
	trouble bool
	folder  string // temporary, for configurations and logs
	begun   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// killAll ends all controllers at once.
func (r *run) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		_ = p.cmd.Process.Kill()
	}
}

// must ends the play with "could not run" on an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start plays a case and returns its exit code.
func start(record string, play func(*run) int) (code int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(folder)
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: folder, begun: time.Now(), record: file}
	defer func() {
		if failure := recover(); failure != nil { // of the set-up or of the rig itself: the case says nothing then
			r.note("the case could not run: %v", failure)
			fmt.Fprintln(os.Stderr, failure)
			r.killAll()
			code = couldNot
		}
	}()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-terminated
		r.note("the case could not run: it was ended from outside")
		r.killAll()
		_ = os.RemoveAll(folder)
		os.Exit(couldNot)
	}()
	r.note("disruption: %v", r.trouble)
	code = play(r)
	r.note("exit code %d", code)
	return code
}

// note writes a line to the record, with the time since the start of the play.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// limits are those of a controller's machine.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// process is a controller.
type process struct {
	r       *run
	name    string
	address string
	config  string
	cmd     *exec.Cmd
	ended   chan struct{}
	log     string
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// runCommand returns the command `run` of the deploy file.
func runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	must(fmt.Errorf("deploy/balancer.toml has no run"))
	return ""
}

// startController starts a controller and waits until it answers that it is ready.
func (r *run) startController(name, feed string, known json.RawMessage, settings map[string]any, l limits) *process {
	p := &process{r: r, name: name, address: freeAddress(), ended: make(chan struct{})}
	text, err := json.Marshal(map[string]any{"name": name, "listen": p.address, "seed": "8c1f30d27a5be964", "limits": l, "feed": feed,
		"known": known, "settings": settings})
	must(err)
	p.config = filepath.Join(r.folder, name+".json")
	must(os.WriteFile(p.config, text, 0o644))
	p.log = filepath.Join(r.folder, name+".log")
	logFile, err := os.Create(p.log)
	must(err)
	defer logFile.Close()
	temporary := filepath.Join(r.folder, name+".tmp")
	must(os.MkdirAll(temporary, 0o755))
	p.cmd = exec.Command("/bin/sh", "-c", runCommand())
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN="+p.address, "BALANCER_CONFIG="+p.config, "TMPDIR="+temporary)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	for deadline := time.Now().Add(15 * time.Second); !p.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			log, _ := os.ReadFile(p.log)
			must(fmt.Errorf("%s is not ready: %s", name, log))
		}
	}
	r.note("%s is ready at %s", name, p.address)
	return p
}

// ready asks the controller whether it takes requests.
func (p *process) ready() bool {
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(appendFrame(nil, frameReady, 1, []byte{0})); err != nil {
		return false
	}
	answer := make([]byte, 10)
	_, err = io.ReadFull(conn, answer)
	return err == nil && answer[9] == 1
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// noteUsage records the memory of the controller.
func (p *process) noteUsage() {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
			p.r.note("%s: %s", p.name, strings.TrimSpace(line))
		}
	}
}

// stop ends the controller and records the counters of its log.
func (p *process) stop() {
	if p.alive() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	text, _ := os.ReadFile(p.log)
	var last string
	noted := 0
	for line := range strings.Lines(string(text)) {
		if noted < 10 && (strings.Contains(line, "level=ERROR") || strings.Contains(line, "level=WARN")) {
			noted++
			p.r.note("log of %s: %.300s", p.name, strings.TrimSpace(line))
		}
		if strings.Contains(line, "msg=counters") {
			last = line
		}
	}
	p.r.note("%s has ended; %s", p.name, strings.TrimSpace(last))
}
