package admission

import "time"

// Exit decides when a process that was told to stop may exit: as soon as nothing is owed and no more jobs arrive, and early
// enough not to be killed. A process that was paused starts this wait again, as what arrived during the pause is still unread,
// including connections that were not accepted yet.
type Exit struct {
	cutAt          time.Duration // when all open jobs are cut off
	lastArrival    time.Duration // when the last job arrived or the last pause of the process was noticed
	nextRound      time.Duration // when the next round is due
	cutTimePassed  bool          // a late round has found that cutAt has passed
	roundsAfterCut int           // number of punctual rounds since the cut, -1 before it
}

// roundInterval is short compared with quietTime. A round that is late by more than pauseThreshold shows that the process was
// paused; on a machine that keeps up, rounds are late by far less.
const roundInterval, pauseThreshold = 10 * time.Millisecond, 20 * time.Millisecond

// quietTime is how long no job must have arrived before the process exits: many times what the notice of its exit takes to
// reach clients.
const quietTime = 100 * time.Millisecond

// cutRounds is the number of rounds in which the answers to cut jobs are sent. Only punctual rounds count, as a process that was
// paused beyond cutAt still needs that time.
const cutRounds = 10

// NewExit returns an Exit whose first round is due at first, and which cuts all open jobs at cutAt.
func NewExit(first, cutAt time.Duration) *Exit {
	return &Exit{cutAt: cutAt, nextRound: first, roundsAfterCut: -1}
}

// cutMargin is the time from the latest deadline of a job to the cut. It spans a few rounds, so that each job is answered as its
// class allows instead of being cut, even if a round is late.
const cutMargin = 50 * time.Millisecond

// LatestDeadline returns the latest deadline that a job may have.
func (x *Exit) LatestDeadline() time.Duration { return x.cutAt - cutMargin }

// JobArrived records that a job arrived, whether it was accepted or refused.
func (x *Exit) JobArrived(now time.Duration) { x.lastArrival = max(x.lastArrival, now) }

// Round is called when a round is due. owed is the number of open jobs plus the connections with something unread or unsent. It
// returns whether to cut all open jobs now, whether the process may exit, and when the next round is due.
func (x *Exit) Round(now time.Duration, owed int) (cut, end bool, next time.Duration) {
	late := now > x.nextRound+pauseThreshold
	if late {
		x.lastArrival = now
	}
	switch {
	case x.roundsAfterCut >= 0:
		if !late {
			x.roundsAfterCut++
		}
	case now >= x.cutAt && late && !x.cutTimePassed:
		// The process was paused beyond cutAt: the deadlines of open jobs are due now, and what arrived for them
		// is unread. One more round lets them be answered as their classes allow, as cutMargin does on a machine that
		// keeps up.
		x.cutTimePassed = true
	case now >= x.cutAt:
		x.roundsAfterCut, cut = 0, true
	}
	end = !cut && (owed == 0 && now >= x.lastArrival+quietTime || x.roundsAfterCut >= cutRounds)
	x.nextRound = now + roundInterval
	return cut, end, x.nextRound
}
