package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHeardInTime checks for any grace period that a call which is never answered leaves the guaranteed part of it for a second
// attempt, and that the delay between attempts fits into that part.
func TestHeardInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "grace"))
		pace := NewPace(grace)
		if reserve := pace.Reserve(grace); reserve < time.Duration(0.249*float64(grace)) {
			t.Errorf("%v of the grace period %v left for a second attempt", reserve, grace)
		}
		if pace.Wait > maxWait || pace.Pause > maxPause || 2*pace.Redial > pace.Reserve(grace) || pace.Pause > pace.Reserve(grace) {
			t.Errorf("%+v for the grace period %v", pace, grace)
		}
	})
}

// TestFigures checks the values for several grace periods.
func TestFigures(t *testing.T) {
	const ms = time.Millisecond
	for grace, want := range map[time.Duration]Pace{
		0:           {1200 * ms, 300 * ms, 250 * ms, 400 * ms},
		2000 * ms:   {1200 * ms, 300 * ms, 250 * ms, 400 * ms},
		250 * ms:    {150 * ms, 37500 * time.Microsecond, 31250 * time.Microsecond, 50 * ms},
		10000 * ms:  {maxWait, 1500 * ms, 1250 * ms, 400 * ms},
		time.Second: {600 * ms, 150 * ms, 125 * ms, 200 * ms},
	} {
		if got := NewPace(grace); got != want {
			t.Errorf("%v: %+v, wanted %+v", grace, got, want)
		}
	}
}

// TestCalls checks that a burst of calls is made at once and further ones no faster than the rate allows, and that after a quiet
// period another burst is made at once.
func TestCalls(t *testing.T) {
	pace := NewPace(2 * time.Second)
	var calls CallLimiter
	now, callCount := time.Hour, 0
	for end := now + 4*time.Second; now < end; callCount++ {
		wait := calls.Next(now, pace)
		if wait > pace.Slack/callsPerSlack {
			t.Fatalf("a call waits %v", wait)
		}
		now += wait
	}
	if maxCalls := burstCalls + 41; callCount > maxCalls {
		t.Errorf("%d calls in four seconds, want at most %d", callCount, maxCalls)
	}
	now += 2 * time.Second
	for range burstCalls {
		if wait := calls.Next(now, pace); wait > 0 {
			t.Errorf("a call waits %v after a quiet period", wait)
		}
	}
}

// TestArriving checks that an answer counts as being received while its bytes arrive, but not forever.
func TestArriving(t *testing.T) {
	pace := NewPace(2 * time.Second)
	for _, c := range []struct {
		since, quiet time.Duration
		want         bool
	}{{0, 0, false}, {time.Second, pace.Slack / 2, true}, {time.Second, pace.Slack, false}, {maxArrival, 0, false}} {
		if pace.Arriving(c.since, c.quiet) != c.want {
			t.Error(c)
		}
	}
}
