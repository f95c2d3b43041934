package logic

import (
	"fmt"
	"testing"
	"time"
)

// earnedCounter wraps Limits and counts the jobs that are reported with CountJob.
type earnedCounter struct {
	Limits
	jobs int
}

func (e *earnedCounter) CountJob(now, taken time.Duration) {
	e.jobs++
	e.Limits.CountJob(now, taken)
}

// TestEarned checks that a job counts for the retry budget once, when an engine has received it and not refused it as
// faulty while its client was still waiting.
func TestEarned(t *testing.T) {
	for _, c := range []struct {
		name       string
		outcomes   []Outcome
		timeout    time.Duration
		clientGone bool
		want       int
	}{
		{"rejected on arrival", nil, ms, false, 0},
		{"answered", []Outcome{Done}, 5 * time.Second, false, 1},
		{"answered at the second attempt", []Outcome{ConnectionLost, Done}, 5 * time.Second, false, 1},
		{"turned away", []Outcome{Refused}, 5 * time.Second, false, 1},
		{"refused by two engines", []Outcome{Errored, Errored}, 5 * time.Second, false, 0},
		{"refused by one engine", []Outcome{Errored, Done}, 5 * time.Second, false, 1},
		{"not sent", []Outcome{NotSent}, 5 * time.Second, false, 0},
		{"no connection", []Outcome{NoConnection}, 5 * time.Second, false, 0},
		{"client left", []Outcome{Recalled}, 5 * time.Second, true, 0},
	} {
		h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
		h.start(func(s *Settings) { s.BudgetWindow, s.BudgetFloor, s.BudgetShare = 10*time.Second, 2, 0.2 })
		counted := &earnedCounter{Limits: h.c.limits}
		h.c.limits = counted
		h.addEngines("a", "b")
		h.learnLatencies("a", 1)
		counted.jobs = 0
		h.submit("j", "lookup", "", c.timeout)
		if c.clientGone {
			h.c.ClientGone(h.now, "j")
		}
		for n, o := range c.outcomes {
			j := h.c.jobs["j"]
			if j == nil || j.inFlight == nil {
				t.Fatalf("%s: attempt %d is not in flight", c.name, n)
			}
			h.endAttempt("j", n, j.inFlight.engine.id, o)
		}
		if counted.jobs != c.want {
			t.Errorf("%s: %d jobs counted, want %d", c.name, counted.jobs, c.want)
		}
	}
}

// TestFloodEarnsNothing checks that jobs rejected on arrival, however many, do not add to the retry budget of others.
func TestFloodEarnsNothing(t *testing.T) {
	h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
	h.start(func(s *Settings) { s.BudgetWindow, s.BudgetFloor, s.BudgetShare = 10*time.Second, 1, 0.2 })
	h.addEngines("a", "b")
	h.learnLatencies("a", 1)
	for n := range 200 {
		h.submit(JobID(fmt.Sprint("flood", n)), "lookup", "", ms)
	}
	if !h.c.limits.MayRetry(h.now) {
		t.Error("the retry that is always allowed was refused")
	}
	h.c.limits.CountRetry(h.now)
	if h.c.limits.MayRetry(h.now) {
		t.Error("rejected jobs added to the retry budget")
	}
}
