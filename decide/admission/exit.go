package admission

import "time"

// Exit decides when a process that was told to stop may end: as soon as nothing is owed and nothing comes any more,
// and in time before it is killed. A process that stood still has to wait anew, as what came meanwhile lies unread,
// connections that nobody accepted yet among it.
type Exit struct {
	last    time.Duration // what is open then is cut
	came    time.Duration // when a job last came, or the process last stood still
	planned time.Duration // when the next round is due
	passed  bool          // a late round has found the last moment over
	after   int           // rounds on time since the cut, or -1 before it
}

// roundEvery is fine against the wait; stoodStill is far above how late a round is on a machine that keeps up.
const roundEvery, stoodStill = 10 * time.Millisecond, 20 * time.Millisecond

// lastJobs is how long no job has come when the process ends: many trips of the word that it leaves.
const lastJobs = 100 * time.Millisecond

// cutRounds are for the answers of jobs that were cut to leave, counted in rounds that were on time: a machine that
// stood still past the last moment still needs them.
const cutRounds = 10

// NewExit begins with a first round at a time; what is open at the last moment is cut.
func NewExit(first, last time.Duration) *Exit { return &Exit{last: last, planned: first, after: -1} }

// beforeCut is from the last deadline of a job to the cut: a few rounds, so that each is answered by what its class allows
// and not just cut, also where a round is late.
const beforeCut = 50 * time.Millisecond

// Last is the latest deadline of a job.
func (x *Exit) Last() time.Duration { return x.last - beforeCut }

// JobCame tells of a job, taken or turned away.
func (x *Exit) JobCame(now time.Duration) { x.came = max(x.came, now) }

// Round tells what is owed: jobs open, and connections with something unread or unsent. It gives whether all that is
// open is to be cut now, whether the process may end, and when the next round is due.
func (x *Exit) Round(now time.Duration, owed int) (cut, end bool, next time.Duration) {
	late := now > x.planned+stoodStill
	if late {
		x.came = now
	}
	switch {
	case x.after >= 0:
		if !late {
			x.after++
		}
	case now >= x.last && late && !x.passed:
		// Guards the jobs that were open in a standstill past the last moment: their deadlines are due now, and what came for
		// them lies unread. One round lets them be answered by what their classes allow, as beforeCut does on a machine that
		// keeps up.
		x.passed = true
	case now >= x.last:
		x.after, cut = 0, true
	}
	end = !cut && (owed == 0 && now >= x.came+lastJobs || x.after >= cutRounds)
	x.planned = now + roundEvery
	return cut, end, x.planned
}
