// Package polling computes the timeouts and retry delays with which a controller asks discovery for the list of engines. They follow
// from the grace period within which a controller must act on a drain. The package does no I/O and reads no clock.
//
// It guarantees that a drain is noticed within the grace period even if it is announced during a watch that never returns, as
// long as a new connection, a call and its answer together take no longer than Pace.Reserve.
package polling

import "time"

// Pace holds the timeouts and delays of calls to discovery.
type Pace struct {
	Wait   time.Duration // maximum time for which discovery holds a call (long polling)
	Slack  time.Duration // time after Wait at which an answer is late; another connection is then asked in parallel
	Redial time.Duration // time after which another connection is dialed in parallel to one that is not up yet
	Pause  time.Duration // maximum delay between attempts while discovery is unavailable
}

// DefaultGrace is the grace period if the settings have none. It is the value of the deployments that set one.
const DefaultGrace = 2 * time.Second

// Fractions of the grace period. Calls are held for three fifths of it: shorter calls cost discovery more, longer ones leave no
// time for a second attempt. The cost of a call is not known, so calls are no shorter than the grace period requires. An answer
// may be late by three twentieths, which is many round trips. A quarter remains for the second attempt.
const waitFraction, slackFraction, reserveFraction = 0.60, 0.15, 0.25

// maxWait bounds the age of the list if the grace period is long. Calls then last a second on average.
const maxWait = 4 * time.Second / 3

// maxPause limits the calls of a fleet whose discovery is unavailable to about two a second for each controller, if the grace
// period allows it.
const maxPause = 400 * time.Millisecond

// NewPace returns the Pace for a grace period; 0 or less means DefaultGrace.
func NewPace(grace time.Duration) Pace {
	if grace <= 0 {
		grace = DefaultGrace
	}
	ofGrace := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return Pace{Wait: min(ofGrace(waitFraction), maxWait), Slack: ofGrace(slackFraction), Redial: ofGrace(reserveFraction / 2),
		Pause: min(ofGrace(reserveFraction*0.8), maxPause)}
}

// Reserve returns the part of the grace period that remains for a second attempt after a call that was not answered.
func (p Pace) Reserve(grace time.Duration) time.Duration { return grace - p.Wait - p.Slack }

// maxArrival limits how long an answer may take whose bytes keep arriving.
const maxArrival = 5 * time.Second

// Arriving reports whether an answer is still being received. since is the time since its first bytes arrived, 0 if none have, and
// quiet is the time since its last bytes arrived.
func (p Pace) Arriving(since, quiet time.Duration) bool {
	return since > 0 && since < maxArrival && quiet < p.Slack
}

// CallLimiter limits the rate of the calls that follow answers. Discovery answers a call at each change, and a list of thousands of
// engines changes hundreds of times a second.
type CallLimiter struct {
	usedUntil time.Duration // time up to which the calls so far use the rate
}

// After a burst of calls at once, calls are at least a third of Pace.Slack apart, a twentieth of the grace period. A change waits
// at most that long, in addition to the duration of a call.
const (
	callsPerSlack = 3
	burstCalls    = 10
)

// Next counts a call and returns how long to wait before making it.
func (c *CallLimiter) Next(now time.Duration, pace Pace) (wait time.Duration) {
	interval := pace.Slack / callsPerSlack
	c.usedUntil = max(c.usedUntil, now-burstCalls*interval) + interval
	return max(c.usedUntil-now, 0)
}
