package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startLogging starts a process whose log goes to a pipe, which the test holds.
func startLogging(t *testing.T) (p *Process, log *os.File) {
	t.Helper()
	p, _, _ = between(t, 256, shortSettings, 1)
	log, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	// A shell hands the pipe on, as the process' own output is kept by the rig.
	p.program, p.args = "/bin/sh", []string{"-c", fmt.Sprintf(`exec %q --log-level debug serve 2>/proc/%d/fd/%d`, program, os.Getpid(), w.Fd())}
	if err := p.Start(patience); err != nil {
		t.Fatal(err)
	}
	w.Close()
	return p, log
}

// TestLogReaderGoneEndsProcess: where nobody reads the log any more, clients are answered as ever.
func TestLogReaderGoneEndsProcess(t *testing.T) {
	t.Parallel()
	p, log := startLogging(t)
	log.Close()
	g := newGuest(t, p, 1)
	for range 10 {
		g.ask()
		if err := g.answered(); err != nil {
			t.Error(err)
		}
	}
	lives(t, p)
}

// TestStalledLogHoldsUpProcess: the same where its reader stands still.
func TestStalledLogHoldsUpProcess(t *testing.T) {
	t.Parallel()
	p, _ := startLogging(t)
	g := newGuest(t, p, 1)
	from := time.Now()
	for range 300 { // each with some lines, against 64 KiB of a pipe
		g.ask()
		if err := g.answered(); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(from); took > patience/2 {
		t.Error("took ", took)
	}
	lives(t, p)
}

// TestSignalsInSeriesOverExit: signals without a pause until a process is gone don't change how it ends.
func TestSignalsInSeriesOverExit(t *testing.T) {
	for range 20 {
		p := alone(t, 256)
		p.must(t, syscall.SIGTERM)
		for over := false; !over; time.Sleep(50 * time.Microsecond) {
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGINT, syscall.SIGPIPE} {
				over = over || p.Signal(s) != nil
			}
		}
		<-p.Ended()
		if err := p.Err(); err != nil {
			t.Fatal(err, "\n", p.Log())
		}
	}
}

// TestLargeConfigurationOnHangup: a configuration of any length is refused without being kept.
func TestLargeConfigurationOnHangup(t *testing.T) {
	t.Parallel()
	p := alone(t, 256)
	large, err := os.Create(filepath.Join(t.TempDir(), "large"))
	if err != nil {
		t.Fatal(err)
	}
	defer large.Close()
	if err := large.Truncate(300 << 20); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(large.Name(), p.configFile); err != nil {
		t.Fatal(err)
	}
	p.must(t, syscall.SIGHUP)
	for until := time.Now().Add(patience); !p.logged("configuration not taken"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("not refused: ", p.Log())
		}
	}
	staysWithinMemory(t, p)
}

// logged tells whether the process has logged a text.
func (p *Process) logged(text string) bool { return strings.Contains(p.Log(), text) }
