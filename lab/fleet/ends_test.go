package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

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
	if err := os.Rename(large.Name(), p.file); err != nil {
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
