package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

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
