// Package invariant checks the rules that a controller must never break, whichever component made the decision: which job it may
// send, send again or answer, and which connection or process it may end. The controller calls a check before an action where
// the result can still prevent it, and afterwards where the facts are known only then. The package does no I/O and reads no
// clock; times are whole nanoseconds of one monotonic clock.
//
// It guarantees that each function depends on its arguments alone, and on none of the state on which the decision was based, so
// that wrong decisions are found. The rules are those of the operators' protocol.
package invariant

import "time"

// Violation identifies a broken rule, or None.
type Violation int

// The violations, named by what the controller did.
const (
	None               Violation = iota
	SentAfterClient              // an attempt was sent after its client had left
	SentAfterDrain               // an attempt was sent to a draining engine after the grace period
	SentPastDeadline             // an attempt was sent after its deadline
	RepeatedUnsafe               // a job was sent again that may have run and must not run twice
	RepeatedPastWindow           // a keyed job was sent again after the window of its key
	RepeatedElsewhere            // a keyed job was sent again to an engine outside the group that knows its key
	TwoAttempts                  // a job had two attempts in flight
	AnsweredOverdue              // an answer was sent later than half a second, as the protocol allows, after its job's deadline
	ClosedWithJobs               // a connection with open jobs was closed although its client was not at fault
	EndedWithJobs                // the process ended with open jobs
	violationCount
)

// Count is the number of values of Violation, including None. It is the length of an array of counters by violation.
const Count = int(violationCount)

var violationNames = [Count]string{"none", "sent_after_client", "sent_after_drain", "sent_past_deadline", "repeated_unsafe",
	"repeated_past_window", "repeated_elsewhere", "two_attempts", "answered_overdue", "closed_with_jobs", "ended_with_jobs"}

// String returns the violation's name in counters and logs.
func (v Violation) String() string { return violationNames[v] }

// ClientGrace is how long after its client has left an attempt may still be sent. answerGrace is how long after the deadline of a
// job its answer may still be sent. Both values are from the operators' pages.
const (
	ClientGrace = 100 * time.Millisecond
	answerGrace = 500 * time.Millisecond
)

// Send describes an attempt that was sent.
type Send struct {
	SentAt     time.Duration // when the first byte of the attempt was sent
	ClientGone time.Duration // when the controller learned that the client had left, 0 if it has not
	DrainedAt  time.Duration // when the engine was told to accept no new jobs, 0 if it was not
	Grace      time.Duration // time allowed for acting on DrainedAt
	Deadline   time.Duration // deadline of the attempt
}

// Check returns the rule that the attempt broke when it was sent, or None.
func (s Send) Check() Violation {
	switch {
	case s.ClientGone > 0 && s.SentAt > s.ClientGone+ClientGrace:
		return SentAfterClient
	case s.DrainedAt > 0 && s.SentAt > s.DrainedAt+s.Grace:
		return SentAfterDrain
	case s.SentAt > s.Deadline:
		return SentPastDeadline
	}
	return None
}

// Effect is the consequence of running a job twice.
type Effect int

// The effects, as in the settings.
const (
	Harmless   Effect = iota
	KnownByKey        // engines discard a job that repeats a key they know
	Harmful
)

// Group is the set of engines among which a key is known.
type Group int

// The groups, as in the settings.
const (
	Everywhere Group = iota
	InLocation
	InCell
)

// Place is the location and cell of an engine.
type Place struct {
	Location string
	Cell     int64
}

// EarlierAttempt is an earlier attempt of a job that may have run, as its outcome does not prove that it did not.
type EarlierAttempt struct {
	Sent time.Duration
	At   Place
}

// Attempt describes an attempt of a job, its first or a later one, that is about to be sent.
type Attempt struct {
	Now    time.Duration
	Out    bool             // another attempt is in flight
	Ran    []EarlierAttempt // earlier attempts that may have run, the earliest first
	Effect Effect
	Group  Group
	Window time.Duration // time for which a key is known, counted from the earliest attempt
	To     Place
}

// Check returns the rule that the attempt would break, or None.
func (r Attempt) Check() Violation {
	switch {
	case r.Out:
		return TwoAttempts
	case len(r.Ran) == 0 || r.Effect == Harmless:
		return None
	case r.Effect == Harmful:
		return RepeatedUnsafe
	case r.Now > r.Ran[0].Sent+r.Window:
		return RepeatedPastWindow
	}
	for _, ran := range r.Ran {
		if r.Group == InLocation && ran.At.Location != r.To.Location || r.Group == InCell && ran.At.Cell != r.To.Cell {
			return RepeatedElsewhere
		}
	}
	return None
}

// Answer returns the rule that an answer sent now breaks, or None. deadline is the time until which the client waits.
func Answer(now, deadline time.Duration) Violation {
	if now > deadline+answerGrace {
		return AnsweredOverdue
	}
	return None
}

// Close returns the rule that closing a connection breaks, or None. jobs is the number of jobs open on the connection, and
// clientsFault is whether the client broke the protocol or does not read.
func Close(jobs int, clientsFault bool) Violation {
	if jobs > 0 && !clientsFault {
		return ClosedWithJobs
	}
	return None
}

// End returns the rule that ending the process breaks, or None. jobs is the number of jobs without an answer.
func End(jobs int) Violation {
	if jobs > 0 {
		return EndedWithJobs
	}
	return None
}
