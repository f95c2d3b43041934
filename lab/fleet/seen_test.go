package fleet

import (
	"testing"
	"time"

	"yarrowbarrow/lab/standin/engine"
)

// TestEndOfEarlierAttempt: where a job comes again before its earlier attempt is given up, each attempt has its own end.
func TestEndOfEarlierAttempt(t *testing.T) {
	began := time.Now()
	r := &record{began: began, open: map[int]int{}}
	for _, e := range []struct {
		at   time.Duration
		what engine.What
		run  int
	}{{1, engine.Came, 1}, {1, engine.Began, 1}, {3, engine.Came, 2}, {4, engine.Dropped, 1}, {5, engine.Began, 2}, {9, engine.Ended, 2}} {
		r.watch(engine.Event{At: began.Add(e.at * time.Millisecond), What: e.what, ID: "same", Run: e.run})
	}
	visits, _, _ := r.all()
	if len(visits) != 2 || visits[0].over != 4*time.Millisecond || visits[1].over != 9*time.Millisecond || visits[1].Began != 5*time.Millisecond {
		t.Errorf("%+v", visits)
	}
}
