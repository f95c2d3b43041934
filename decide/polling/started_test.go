package polling

import (
	"testing"
	"time"
)

// TestStarted checks that steps of the wall clock before an engine's start have no effect, and start times that the controller's
// clock can't represent.
func TestStarted(t *testing.T) {
	const now, hour = 1000 * time.Hour, time.Hour
	for _, c := range []struct {
		name             string
		wall, born, want time.Duration
	}{
		{"started long ago", now, 0, 0},
		{"no clock step", now, now - 3*time.Second, now - 3*time.Second},
		{"wall clock stepped forward before the engine's start", now + hour, now + hour - 3*time.Second, now - 3*time.Second},
		{"wall clock stepped back before the engine's start", now - hour, now - hour - 3*time.Second, now - 3*time.Second},
		{"start time in the future", now, now + hour, now},
		{"start before the epoch of the controller's clock", now, 1, 1},
	} {
		if got := Started(now, c.wall, c.born); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
