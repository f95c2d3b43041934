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

// startWithLogPipe starts a process that logs to a pipe, and returns the read end.
func startWithLogPipe(t *testing.T) (p *Process, log *os.File) {
	t.Helper()
	p, _, _ = newProcessWithFakes(t, 256, shortSettings, 1)
	log, writeEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	// The rig collects the output of the process that it starts, so a shell redirects the log to the pipe.
	p.program, p.args = "/bin/sh", []string{"-c",
		fmt.Sprintf(`exec %q --log-level debug serve 2>/proc/%d/fd/%d`, program, os.Getpid(), writeEnd.Fd())}
	if err := p.Start(testTimeout); err != nil {
		t.Fatal(err)
	}
	writeEnd.Close()
	return p, log
}

// TestLogReaderGoneEndsProcess guards against a process that ends when it writes to a log pipe whose reader has closed it.
func TestLogReaderGoneEndsProcess(t *testing.T) {
	t.Parallel()
	p, log := startWithLogPipe(t)
	log.Close()
	client := newTestClient(t, p, 1)
	for range 10 {
		client.sendJob()
		if err := client.awaitAnswers(); err != nil {
			t.Error(err)
		}
	}
	requireRunning(t, p)
}

// TestStalledLogHoldsUpProcess guards against a process that blocks when its log pipe is full because the reader does not read.
func TestStalledLogHoldsUpProcess(t *testing.T) {
	t.Parallel()
	p, _ := startWithLogPipe(t)
	client := newTestClient(t, p, 1)
	from := time.Now()
	for range 300 { // each logs some lines, and the pipe holds 64 KiB
		client.sendJob()
		if err := client.awaitAnswers(); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(from); took > testTimeout/2 {
		t.Error("answers took ", took)
	}
	requireRunning(t, p)
}

// TestSignalsInSeriesOverExit checks that a process told to end exits with code 0 even if it gets signals without a pause until it has exited.
func TestSignalsInSeriesOverExit(t *testing.T) {
	for range 20 {
		p := startAlone(t, 256)
		p.mustSignal(t, syscall.SIGTERM)
		for ended := false; !ended; time.Sleep(50 * time.Microsecond) {
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGINT, syscall.SIGPIPE} {
				ended = ended || p.Signal(s) != nil
			}
		}
		<-p.Ended()
		if err := p.Err(); err != nil {
			t.Fatal(err, "\n", p.Log())
		}
	}
}

// TestLargeConfigurationOnHangup guards against a process that reads an oversized configuration into memory on SIGHUP instead of refusing it.
func TestLargeConfigurationOnHangup(t *testing.T) {
	t.Parallel()
	p := startAlone(t, 256)
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
	p.mustSignal(t, syscall.SIGHUP)
	for until := time.Now().Add(testTimeout); !p.logged("configuration not taken"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("large configuration was not refused: ", p.Log())
		}
	}
	requireWithinMemory(t, p)
}

// logged reports whether the process has logged a text.
func (p *Process) logged(text string) bool { return strings.Contains(p.Log(), text) }
