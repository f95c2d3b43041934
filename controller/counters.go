package controller

import (
	"log/slog"

	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/logic"
)

// counter numbers what is counted; README.md has the meaning of each.
type counter int

const (
	clientsAccepted counter = iota
	clientsRefused
	clientsEvicted
	clientsAsked
	clientsMisread
	clientsTooSlow
	clientsIdle
	jobsTaken
	jobsMisread
	jobsOverLimit
	clientGone
	done
	rejected
	jobsFailed
	cutByExit
	answersLate
	alarmsLate
	attempted
	outcomeDone // eight in the order of logic.Outcome
	outcomeErrored
	outcomeTurnedAway
	outcomeTimedOut
	outcomeNoConnection
	outcomeConnectionLost
	outcomeRecalled
	outcomeNotSent
	cancels
	fences
	withdrawn
	unfit
	pagesRead
	faultyAnswers
	strayAnswers
	notesUnread
	enginesMisread
	enginesTooSlow
	dials
	dialsFailed
	linksLost
	linksOverLimit
	probesSent
	discoveryCalls
	discoveryEvents
	discoveryGaps
	discoveryFailures
	discoverySilent
	reloads
	reloadsFailed
	peerUnsaid
	panicked
	refusedByRoute
	movedByRoute
	standstills
	acceptsFailed
	writesAgain
	dialsAgain
	enginesOverLimit
	counters
)

var counterNames = [counters]string{"clients_accepted", "clients_refused", "clients_evicted", "clients_asked", "clients_misread",
	"clients_too_slow", "clients_idle", "jobs_taken", "jobs_misread", "jobs_over_limit", "client_gone", "done",
	"rejected", "failed", "cut_by_exit", "answers_late", "alarms_late", "attempts", "outcome_done", "outcome_errored",
	"outcome_turned_away", "outcome_timed_out", "outcome_no_connection", "outcome_connection_lost",
	"outcome_recalled", "outcome_not_sent", "cancels", "fences", "withdrawn", "unfit", "pages_read", "faulty_answers", "stray_answers", "notes_unread",
	"engines_misread", "engines_too_slow", "dials", "dials_failed", "links_lost", "links_over_limit",
	"probes_sent", "discovery_calls", "discovery_events", "discovery_gaps", "discovery_failures", "discovery_silent", "reloads", "reloads_failed", "peer_unsaid", "panics",
	"refused_by_route", "moved_by_route", "standstills", "accepts_failed", "writes_again", "dials_again", "engines_over_limit"}

func outcomeCounter(o logic.Outcome) counter { return outcomeDone + counter(o) }

// LogCounters logs all counters, and what is open now.
func (c *Controller) LogCounters() {
	c.do(c.logCounters)
	c.logUsage()
}

func (c *Controller) logCounters() {
	c.logged = c.now
	values := make([]any, 0, 2*counters+12)
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
	if c.longest > 0 {
		values = append(values, "longest_standstill", c.longest)
	}
	values = append(values, "open_jobs", len(c.jobs), "open_clients", len(c.clients), "open_links", c.links,
		"held_bytes", c.bytes, "engines", len(c.engines), "alarms", len(c.timers))
	c.note(slog.LevelInfo, "counters", values...)
	c.logRoutes()
}
