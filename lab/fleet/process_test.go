package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestTornWhileStarting checks that the configuration is never truncated while a process is starting, which would make it exit, and that it
// may be afterwards.
func TestTornWhileStarting(t *testing.T) {
	folder := t.TempDir()
	p := NewProcess(program, folder, Setup{Name: "n000"})
	writesValidConfig := func() bool {
		p.reconfigure("127.0.0.1:1", true)
		raw, err := os.ReadFile(filepath.Join(folder, "n000.json"))
		if err != nil {
			t.Fatal(err)
		}
		return json.Valid(raw)
	}
	p.setStarting(true)
	if !writesValidConfig() {
		t.Error("truncated while the process is starting")
	}
	p.setStarting(false)
	if writesValidConfig() {
		t.Error("not truncated after the start")
	}
}

// TestRigDelay checks the stalled time between two times, also where a stall lies only partly between them.
func TestRigDelay(t *testing.T) {
	const ms = time.Millisecond
	log := stallLog{stalls: []stall{{10 * ms, 20 * ms}, {30 * ms, 60 * ms}, {70 * ms, 80 * ms}}}
	for _, c := range []struct{ from, to, want time.Duration }{
		{0, 10 * ms, 0}, {0, 15 * ms, 5 * ms}, {15 * ms, 40 * ms, 15 * ms}, {20 * ms, 30 * ms, 0}, {0, 100 * ms, 50 * ms},
		{90 * ms, 100 * ms, 0}, {12 * ms, 14 * ms, 2 * ms},
	} {
		if got := log.stalledBetween(c.from, c.to); got != c.want {
			t.Errorf("%v to %v: %v, want %v", c.from, c.to, got, c.want)
		}
	}
}
