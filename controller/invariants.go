package controller

import (
	"context"
	"log/slog"
	"time"

	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/logic"
)

// This file is the only place where the controller's actions, before or after they happen, are checked against
// decide/invariant. A violation is counted and logged with the ids involved; where the action can still be stopped, it
// is.

// reportViolation counts and logs a violation, and reports whether there was one.
func (c *Controller) reportViolation(v invariant.Violation, values ...any) bool {
	if v == invariant.None {
		return false
	}
	c.violations[v]++
	c.logEvent(slog.LevelError, "invariant violated", append([]any{"what", v.String()}, values...)...)
	return true
}

// mayAttempt is called before each attempt, the first and all further ones.
func (c *Controller) mayAttempt(j *job, to *engine) bool {
	class := c.classNamed([]byte(j.class))
	if class == nil || c.checksDisabled {
		return true
	}
	repeat := invariant.Attempt{Now: c.now, Out: j.inFlight != nil, Ran: j.mayHaveRun, Window: class.DedupWindow, To: placeOf(to), Effect: effectOf(class),
		Group: groupOf(class)}
	return !c.reportViolation(repeat.Check(), "job", j.id, "engine", to.id, "attempts", j.attempts)
}

func effectOf(class *logic.Class) invariant.Effect {
	switch class.Repeat {
	case logic.Keyed:
		return invariant.KnownByKey
	case logic.NonIdempotent:
		return invariant.Harmful
	}
	return invariant.Harmless
}

func groupOf(class *logic.Class) invariant.Group {
	switch class.Group {
	case logic.GroupLocation:
		return invariant.InLocation
	case logic.GroupCell:
		return invariant.InCell
	}
	return invariant.Everywhere
}

func placeOf(e *engine) invariant.Place {
	return invariant.Place{Location: string(e.location), Cell: int64(e.cell)}
}

// checkEndedAttempt records whether an attempt may have run, and checks the time at which it was sent.
func (c *Controller) checkEndedAttempt(a *attempt, outcome logic.Outcome) {
	if outcome != logic.Refused && outcome != logic.NoConnection && outcome != logic.NotSent {
		a.job.mayHaveRun = append(a.job.mayHaveRun, invariant.EarlierAttempt{Sent: a.decidedAt, At: placeOf(a.engine)})
	}
	sentAt := time.Duration(a.firstByteAt.Load())
	if sentAt == 0 || c.checksDisabled {
		return
	}
	if a.job.client != nil && sentAt > a.inputUpToDateAt+invariant.ClientGrace {
		c.counts[attemptsOnOldInput]++
	}
	send := invariant.Send{SentAt: sentAt, ClientGone: a.job.clientGoneAt, DrainedAt: a.engine.drainingSince, Grace: c.cfg.Settings.DrainGrace,
		Deadline: a.deadline}
	if send.Grace == 0 { // without a grace period discovery reports no drains here
		send.DrainedAt = 0
	}
	c.reportViolation(send.Check(), "job", a.job.id, "attempt", a.number, "engine", a.engine.id, "left", sentAt, "now", c.now)
}

// reason is why something was done, for the log: each close, further attempt and refusal has one.
type reason string

// trace logs an event of a job, a connection or an engine at level debug.
func (c *Controller) trace(event string, why reason, values ...any) {
	if c.tracing {
		c.logEvent(slog.LevelDebug, event, append([]any{"why", string(why)}, values...)...)
	}
}

// debugEnabled reports whether the log is at level debug.
func debugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

// stall is a time in which the process did not run, or lagged behind.
type stall struct {
	noticedAt time.Duration // when it was noticed, by the controller's clock; 0 for never
	length    time.Duration // upper bound: the time since the event before it
}

// After a stall, input that arrived meanwhile is read within stallCatchUp, also on a busy machine; a long engine list on
// a slow core within maxListRead.
const (
	stallCatchUp = 100 * time.Millisecond
	maxListRead  = time.Second
)

// detectStall is called first on every event, with the time of the previous event: a timer that is long overdue shows
// that nothing ran since. A shorter stall right after a longer one does not replace it.
func (c *Controller) detectStall(previous time.Duration) {
	if len(c.timers) == 0 {
		return
	}
	overdue := c.now - c.timers[0].dueAt
	length := max(c.now-previous, overdue)
	if overdue <= lateThreshold || c.catchingUp() && length <= c.lastStall.length {
		return
	}
	c.lastStall = stall{c.now, length}
	if c.discoveryUnreadSince == 0 {
		c.discoveryUnreadSince = c.now - length
	}
	c.counts[stallsNoticed]++
	c.longestStall = max(c.longestStall, overdue)
	c.trace("standstill", "timers are late", "by", overdue)
}

// catchingUp reports whether input that arrived during a stall may still be unread.
func (c *Controller) catchingUp() bool {
	return c.lastStall.noticedAt > 0 && c.now-c.lastStall.noticedAt < stallCatchUp
}

// maxInputAge is the maximum age of a message or signal that is handled now: it may have arrived at the beginning of a
// stall. Without a stall it is 0.
func (c *Controller) maxInputAge() time.Duration {
	if c.catchingUp() {
		return c.lastStall.length
	}
	return 0
}

// discoveryUnread reports whether input of discovery that arrived during a stall is still unread and may be older than
// half of the drain grace: engines may have left.
func (c *Controller) discoveryUnread() bool {
	if c.discoveryUnreadSince == 0 {
		return false
	}
	if c.now >= c.lastStall.noticedAt+maxListRead || !c.discovery.hasUnread() {
		c.discoveryUnreadSince = 0
		return false
	}
	return c.now-c.discoveryUnreadSince > c.cfg.Settings.DrainGrace/2
}
