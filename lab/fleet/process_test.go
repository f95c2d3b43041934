package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestTornWhileStarting: a process that is being started finds a whole configuration; later ones may be torn.
func TestTornWhileStarting(t *testing.T) {
	folder := t.TempDir()
	p := NewProcess(program, folder, Setup{Name: "n000"})
	whole := func() bool {
		p.reconfigure("127.0.0.1:1", true)
		raw, err := os.ReadFile(filepath.Join(folder, "n000.json"))
		if err != nil {
			t.Fatal(err)
		}
		return json.Valid(raw)
	}
	p.setStarting(true)
	if !whole() {
		t.Error("torn while it is being started")
	}
	p.setStarting(false)
	if whole() {
		t.Error("not torn")
	}
}

// TestRigDelay: what the rig lost between two times is told, in part where a span is in part between them.
func TestRigDelay(t *testing.T) {
	const ms = time.Millisecond
	d := stallLog{stalls: []stall{{10 * ms, 20 * ms}, {30 * ms, 60 * ms}, {70 * ms, 80 * ms}}}
	for _, c := range []struct{ from, to, want time.Duration }{
		{0, 10 * ms, 0}, {0, 15 * ms, 5 * ms}, {15 * ms, 40 * ms, 15 * ms}, {20 * ms, 30 * ms, 0}, {0, 100 * ms, 50 * ms},
		{90 * ms, 100 * ms, 0}, {12 * ms, 14 * ms, 2 * ms},
	} {
		if got := d.stalledBetween(c.from, c.to); got != c.want {
			t.Errorf("%v to %v: %v, want %v", c.from, c.to, got, c.want)
		}
	}
}
