package invariant

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestSend checks an attempt that was sent in time, and each way in which one can be sent too late.
func TestSend(t *testing.T) {
	good := Send{SentAt: 1000 * ms, ClientGone: 900 * ms, DrainedAt: 500 * ms, Grace: 500 * ms, Deadline: 1000 * ms}
	for want, change := range map[Violation]func(*Send){
		None:             func(*Send) {},
		SentAfterClient:  func(s *Send) { s.ClientGone -= 1 },
		SentAfterDrain:   func(s *Send) { s.DrainedAt -= 1 },
		SentPastDeadline: func(s *Send) { s.Deadline -= 1 },
	} {
		s := good
		if change(&s); s.Check() != want {
			t.Errorf("%+v: %v, wanted %v", s, s.Check(), want)
		}
	}
	if v := (Send{SentAt: time.Hour, Deadline: time.Hour}).Check(); v != None { // the client has not left and the engine is not draining
		t.Error(v)
	}
}

// TestRepeat checks which jobs may be sent again, by the effect of running them twice.
func TestRepeat(t *testing.T) {
	here, there := Place{"a", 1}, Place{"b", 2}
	ran := []EarlierAttempt{{100 * ms, here}, {200 * ms, here}}
	for _, c := range []struct {
		Attempt
		want Violation
	}{
		{Attempt{Effect: Harmful}, None},
		{Attempt{Effect: Harmful, Ran: ran}, RepeatedUnsafe},
		{Attempt{Effect: Harmless, Ran: ran}, None},
		{Attempt{Effect: Harmless, Out: true}, TwoAttempts},
		{Attempt{Effect: KnownByKey, Ran: ran, Now: 150 * ms, Window: 50 * ms, To: there}, None},
		{Attempt{Effect: KnownByKey, Ran: ran, Now: 151 * ms, Window: 50 * ms}, RepeatedPastWindow},
		{Attempt{Effect: KnownByKey, Ran: ran, Now: 150 * ms, Window: 50 * ms, Group: InLocation, To: there}, RepeatedElsewhere},
		{Attempt{Effect: KnownByKey, Ran: ran, Now: 150 * ms, Window: 50 * ms, Group: InCell, To: there}, RepeatedElsewhere},
		{Attempt{Effect: KnownByKey, Ran: ran, Now: 150 * ms, Window: 50 * ms, Group: InCell, To: here}, None},
	} {
		if got := c.Check(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestEnds checks the rules about late answers, closed connections and the end of the process, and the names of violations.
func TestEnds(t *testing.T) {
	if Answer(1500*ms, 1000*ms) != None || Answer(1501*ms, 1000*ms) != AnsweredOverdue {
		t.Error("answer")
	}
	if Close(0, false) != None || Close(1, true) != None || Close(1, false) != ClosedWithJobs {
		t.Error("close")
	}
	if End(0) != None || End(1) != EndedWithJobs {
		t.Error("end")
	}
	for v := range Count {
		if Violation(v).String() == "" {
			t.Error(v, "has no name")
		}
	}
}
