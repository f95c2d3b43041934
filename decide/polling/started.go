package polling

import "time"

// Started returns when an engine started, by the controller's monotonic clock. born is the start time that discovery reports, by
// the wall clock, or 0 if it is long ago, for which Started returns 0. now and wall are the controller's monotonic clock and its
// wall clock when it first receives that report.
//
// The engine's age is computed once, at that time. A step of the wall clock before the engine's start or after the report
// therefore has no effect. A step between the two, or clocks that differ, make the age wrong by as much. A negative age counts as
// 0, which is the safe side, as an engine that has just started is sent least.
func Started(now, wall, born time.Duration) time.Duration {
	if born == 0 {
		return 0
	}
	age := max(wall-born, 0)
	return max(now-age, 1)
}
