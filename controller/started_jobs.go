package controller

import (
	"slices"
	"time"

	"yarrowbarrow/logic"
)

// startedJobs remembers jobs that have ended and may have run: those without a result, because their clients left or were
// told so, and all that must not run twice. An id is new with every request, and engines tell jobs apart by it alone: when
// it comes again, the earlier attempt may still run, or may have had its effect.
type startedJobs struct {
	byID     map[logic.JobID]*job
	inOrder  []startedJob // the oldest first
	maxCount int
	maxAge   time.Duration
}

type startedJob struct {
	job     *job
	endedAt time.Duration
}

// startedJobsPerMB bounds the remembered jobs, of which each takes up to 2 KB with its connections. At the bound the oldest
// is forgotten.
const startedJobsPerMB = 16

// newStartedJobs remembers jobs for as long as the most patient client waits.
func newStartedJobs(memoryMB int64, classes []logic.Class) startedJobs {
	s := startedJobs{byID: map[logic.JobID]*job{}, maxCount: int(memoryMB * startedJobsPerMB)}
	for _, class := range classes {
		s.maxAge = max(s.maxAge, class.Deadline)
	}
	return s
}

// add remembers a job that has ended.
func (s *startedJobs) add(now time.Duration, j *job) {
	s.byID[j.id] = j
	s.inOrder = append(s.inOrder, startedJob{j, now})
	s.expire(now)
}

// expire forgets jobs that ended long ago, and the oldest beyond the bound.
func (s *startedJobs) expire(now time.Duration) {
	expired := 0
	for _, entry := range s.inOrder {
		if now-entry.endedAt < s.maxAge && len(s.inOrder)-expired <= s.maxCount {
			break
		}
		expired++
		if s.byID[entry.job.id] == entry.job { // otherwise the id has come again since
			delete(s.byID, entry.job.id)
		}
	}
	clear(s.inOrder[:expired])
	s.inOrder = s.inOrder[expired:]
}

// takeID prepares a job whose id may have come before, and returns what is wrong with the id, if anything. A job that may
// have run is not run again if it must not run twice. Another one is: but not before the earlier attempt has stopped, and
// on none of the connections of the earlier job.
func (c *Controller) takeID(j *job) (problem string) {
	if c.jobs[j.id] != nil {
		return "id: in use"
	}
	earlier := c.startedJobs.byID[j.id]
	if earlier == nil {
		return ""
	}
	if c.runsOnce(j) || c.runsOnce(earlier) {
		return "id: used before"
	}
	j.lastSent = earlier.lastSent
	j.usedLinks = slices.DeleteFunc(slices.Clone(earlier.usedLinks), func(l *engineLink) bool { return l.isClosed })
	return ""
}

// runsOnce reports whether a job must not run twice.
func (c *Controller) runsOnce(j *job) bool {
	class := c.classNamed([]byte(j.class))
	return class == nil || class.Repeat == logic.NonIdempotent
}
