package controller

import (
	"log/slog"

	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/logic"
)

// counter is the index of a counter; README.md explains each.
type counter int

const (
	clientsAccepted counter = iota
	clientsRefused
	clientsEvicted
	clientsAskedToLeave
	clientsMalformed
	clientsTooSlow
	clientsIdleClosed
	jobsReceived
	jobsMalformed
	jobsOverLimit
	jobsClientGone
	jobsDone
	jobsRejected
	jobsFailed
	jobsCutByExit
	answersLate
	timersLate
	timersRun
	attemptsDecided
	outcomeDone // the first of eight, in the order of logic.Outcome
	outcomeErrored
	outcomeTurnedAway
	outcomeTimedOut
	outcomeNoConnection
	outcomeConnectionLost
	outcomeRecalled
	outcomeNotSent
	keysRested
	cancelsSent
	fencesSent
	attemptsWithdrawn
	attemptsUnfit
	attemptsChecked
	attemptsHeld
	attemptsHeldTooLong
	attemptsOnOldInput
	pagesRead
	faultyAnswers
	strayAnswers
	unknownAnswers
	enginesMalformed
	enginesTooSlow
	dialsStarted
	dialsFailed
	linksLost
	linksOverLimit
	probesSent
	discoveryCalls
	discoveryEvents
	discoveryGaps
	discoveryFailures
	discoveryTimeouts
	reloads
	reloadsFailed
	peerMessagesDropped
	panicsCaught
	refusedByRoute
	movedByRoute
	stallsNoticed
	acceptsFailed
	writesRetried
	dialsRetried
	enginesOverLimit
	counterCount
)

// counterNames are the names in the log, in the order of the constants.
var counterNames = [counterCount]string{"clients_accepted", "clients_refused", "clients_evicted", "clients_asked", "clients_misread",
	"clients_too_slow", "clients_idle", "jobs_taken", "jobs_misread", "jobs_over_limit", "client_gone", "done",
	"rejected", "failed", "cut_by_exit", "answers_late", "alarms_late", "alarms_run", "attempts", "outcome_done", "outcome_errored",
	"outcome_turned_away", "outcome_timed_out", "outcome_no_connection", "outcome_connection_lost",
	"outcome_recalled", "outcome_not_sent", "keys_rested", "cancels", "fences", "withdrawn", "unfit", "attempts_checked", "held_for_input", "held_too_long", "sent_on_old_input", "pages_read", "faulty_answers", "stray_answers", "notes_unread",
	"engines_misread", "engines_too_slow", "dials", "dials_failed", "links_lost", "links_over_limit",
	"probes_sent", "discovery_calls", "discovery_events", "discovery_gaps", "discovery_failures", "discovery_silent", "reloads", "reloads_failed", "peer_unsaid", "panics",
	"refused_by_route", "moved_by_route", "standstills", "accepts_failed", "writes_again", "dials_again", "engines_over_limit"}

// outcomeCounter returns the counter of an outcome.
func outcomeCounter(outcome logic.Outcome) counter { return outcomeDone + counter(outcome) }

// LogCounters logs all counters and what is currently open.
func (c *Controller) LogCounters() {
	c.withLock(c.logCounters)
	c.logUsage()
}

func (c *Controller) logCounters() {
	c.countersLoggedAt = c.now
	values := make([]any, 0, 2*counterCount+12)
	for n, name := range counterNames {
		if c.counts[n] > 0 {
			values = append(values, name, c.counts[n])
		}
	}
	for v, n := range c.violations {
		if n > 0 {
			values = append(values, "violations_"+invariant.Violation(v).String(), n)
		}
	}
	if c.longestStall > 0 {
		values = append(values, "longest_standstill", c.longestStall)
	}
	values = append(values, "open_jobs", len(c.jobs), "open_clients", len(c.clients), "open_links", c.linkCount,
		"held_bytes", c.jobBytes, "engines", len(c.engines), "alarms", len(c.timers))
	c.logEvent(slog.LevelInfo, "counters", values...)
	c.logRoutes()
}
