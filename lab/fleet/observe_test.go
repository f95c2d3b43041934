package fleet

import (
	"testing"
	"time"

	"yarrowbarrow/lab/standin/engine"
)

// TestEndOfEarlierAttempt guards against mixing up attempts with the same job id: if a job is sent again before its earlier attempt is
// dropped, each attempt must get its own end.
func TestEndOfEarlierAttempt(t *testing.T) {
	began := time.Now()
	recorder := &engineRecorder{startedAt: began, openAttempts: map[int]int{}}
	for _, e := range []struct {
		at   time.Duration
		what engine.EventType
		run  int
	}{{1, engine.Received, 1}, {1, engine.Started, 1}, {3, engine.Received, 2}, {4, engine.Dropped, 1}, {5, engine.Started, 2}, {9, engine.Completed, 2}} {
		recorder.observe(engine.Event{At: began.Add(e.at * time.Millisecond), Type: e.what, ID: "same", Attempt: e.run})
	}
	attempts, _, _ := recorder.snapshot()
	if len(attempts) != 2 || attempts[0].closedAt != 4*time.Millisecond || attempts[1].closedAt != 9*time.Millisecond ||
		attempts[1].StartedAt != 5*time.Millisecond {
		t.Errorf("%+v", attempts)
	}
}
