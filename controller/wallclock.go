package controller

import "time"

// wallClock returns Unix time. It may be stepped at any moment, so it is not used to measure time. It is read once at the
// start of the process, as the origin of a clock that only moves forward, and when discovery reports an engine's start
// (decide/polling, Started). The linter rejects any other use.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// clock returns Unix time at the start plus the monotonic time since.
func (c *Controller) clock() time.Duration { return c.startUnix + time.Since(c.startTime) }
