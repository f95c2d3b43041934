// Command rig-2 holds the stand-ins of the second review and plays its cases, one a subcommand. It speaks the operators' pages:
// framed TCP as a client, RESP as an executor, HTTP as the control feed, and the platform's start of a controller.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one run of a case.
type rig struct {
	root, temp string
	trouble    bool
	start      time.Time
	mu         sync.Mutex
	record     *os.File
	ctls       []*controller
	broken     []string
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// breakf notes a broken rule.
func (r *rig) breakf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.logf("BROKEN: %s", line)
	r.mu.Lock()
	r.broken = append(r.broken, line)
	r.mu.Unlock()
}

// cannot ends the run as one that could not be played.
func (r *rig) cannot(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.logf("CANNOT RUN: %s", line)
	fmt.Println("cannot run:", line)
	r.end()
	os.Exit(2)
}

func (r *rig) end() {
	for _, c := range r.ctls {
		c.kill()
	}
	_ = os.RemoveAll(r.temp)
}

// settings is a JSON object.
type settings = map[string]any

// controller is one process, started as the platform starts it.
type controller struct {
	r       *rig
	name    string
	listen  string
	config  settings
	path    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	endedAt time.Time
	env     []string
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// runLine returns the command `run` of the deploy file.
func (r *rig) runLine() string {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		r.cannot("deploy file: %v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	r.cannot("the deploy file has no run")
	return ""
}

// newController writes a configuration and starts a controller; it returns once that is ready.
func (r *rig) newController(name, feed string, known json.RawMessage, limits, s settings, env ...string) *controller {
	c := &controller{r: r, name: name, listen: freeAddress(), path: filepath.Join(r.temp, name+".json")}
	c.config = settings{"name": name, "listen": c.listen, "seed": fmt.Sprintf("%016x", uint64(time.Now().UnixNano())), "limits": limits,
		"feed": feed, "known": known, "settings": s}
	c.writeConfig()
	r.ctls = append(r.ctls, c)
	c.env = env
	c.startProcess()
	c.awaitReady(10 * time.Second)
	return c
}

func (c *controller) writeConfig() {
	raw, err := json.MarshalIndent(c.config, "", " ")
	if err == nil {
		err = os.WriteFile(c.path+".new", raw, 0o644)
	}
	if err == nil {
		err = os.Rename(c.path+".new", c.path)
	}
	if err != nil {
		c.r.cannot("configuration: %v", err)
	}
}

func (c *controller) startProcess() {
	out, err := os.OpenFile(c.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.r.cannot("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", c.r.runLine())
	cmd.Dir = c.r.root
	cmd.Env = append(append(os.Environ(), "BALANCER_NAME="+c.name, "BALANCER_LISTEN="+c.listen, "BALANCER_CONFIG="+c.path,
		"TMPDIR="+c.r.temp), c.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.r.cannot("start: %v", err)
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.ended = cmd, ended
	c.mu.Unlock()
	c.r.logf("controller %s started, pid %d, at %s", c.name, cmd.Process.Pid, c.listen)
	go func() {
		err := cmd.Wait()
		out.Close()
		c.mu.Lock()
		c.endedAt = time.Now()
		c.mu.Unlock()
		c.r.logf("controller %s ended: %v", c.name, err)
		close(ended)
	}()
}

// awaitReady asks type 110 on new connections until the controller says yes.
func (c *controller) awaitReady(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		cl, err := c.r.dial(c.listen)
		if err != nil {
			continue
		}
		ok := cl.ready(time.Second)
		cl.close()
		if ok {
			c.r.logf("controller %s ready", c.name)
			return
		}
	}
	c.r.cannot("controller %s is not ready", c.name)
}

func (c *controller) signal(s syscall.Signal) {
	c.r.logf("signal %v to controller %s", s, c.name)
	_ = c.cmd.Process.Signal(s)
}

func (c *controller) kill() {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

func (c *controller) alive() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// memory returns the resident memory and its peak in kB.
func (c *controller) memory() (rss, peak int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &rss)
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &peak)
	}
	return rss, peak
}

// copyLog copies the controller's log into the record.
func (c *controller) copyLog(contains string) {
	raw, _ := os.ReadFile(c.path + ".log")
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, contains) {
			c.r.logf("log of %s: %.600s", c.name, line)
		}
	}
}

// cases are the subcommands.
var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig-2 CASE FOLDER")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		os.Exit(2)
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := &rig{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	r.logf("case %s, trouble %v, %s", os.Args[1], r.trouble, time.Now().UTC().Format(time.RFC3339))
	watchdog := time.AfterFunc(110*time.Second, func() { r.cannot("the run took too long") })
	cases[os.Args[1]](r)
	watchdog.Stop()
	r.end()
	if len(r.broken) > 0 {
		fmt.Printf("rule broken, %d times; first: %s\n", len(r.broken), r.broken[0])
		os.Exit(1)
	}
	r.logf("rule held")
	fmt.Println("rule held")
}
