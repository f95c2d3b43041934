package controller

import (
	"slices"

	"yarrowbarrow/internal/frame"
)

// Incomplete messages of all connections share a part of the memory. A long request has its place there from when its
// length is known. One that finds no place is refused, and the rest of its bytes is skipped as it arrives: ending its
// connection would lose what is open on it, and the request itself.

// incompleteMemoryDivisor limits what connections hold while a long message is incomplete to this part of the memory.
const incompleteMemoryDivisor = 16

// skippedMessage is the rest of a message whose bytes are not kept.
type skippedMessage struct {
	rest int    // bytes that have not arrived
	call func() // to be made once all have
}

// skip removes the bytes of a skipped message from data, and returns the call to make if it was the rest.
func (s *skippedMessage) skip(data []byte) (remaining []byte, call func()) {
	size := min(s.rest, len(data))
	if s.rest -= size; s.rest == 0 {
		call, s.call = s.call, nil
	}
	return data[size:], call
}

// limitPartial is called after each read. Where the memory has no place for a message that is incomplete, the rest of it
// is skipped, or errMemory returned if the message can't be refused.
func (l *link) limitPartial() error {
	if l.ownLimit || len(l.partial) <= l.c.smallBuffer() || l.reservedBytes > 0 {
		return nil
	}
	bound := l.c.cfg.MemoryMB << 20 / incompleteMemoryDivisor
	if l.refuseMessage == nil {
		if len(l.partial) > maxIdleBuffer && l.c.connBytes.Load() > bound {
			return errMemory
		}
		return nil
	}
	size, call := l.refuseMessage(l.partial)
	if call == nil {
		return errMemory
	}
	if l.c.connBytes.Load()+int64(size-l.partialBytes) <= bound {
		l.reservedBytes = size
		l.keepPartial(slices.Grow(l.partial, size-len(l.partial)))
		return nil
	}
	l.skipped = skippedMessage{size - len(l.partial), call}
	l.keepPartial(nil)
	return nil
}

// refuseIncompleteJob returns the size of a job of which the beginning has arrived, and the call that refuses it; nil if
// it is no job.
func (cl *client) refuseIncompleteJob(beginning []byte) (size int, call func()) {
	kind, stream, size := frame.Header(beginning)
	if kind != frame.Job {
		return 0, nil
	}
	return size, func() { cl.c.refuseSkippedJob(cl, stream) }
}

// refuseSkippedJob refuses a job whose bytes were not kept. It never ran, so a retry does no harm.
func (c *Controller) refuseSkippedJob(cl *client, stream uint32) {
	if !c.beginStream(cl, stream) {
		return
	}
	c.counts[jobsReceived]++
	c.counts[jobsOverLimit]++
	c.trace("job", "skipped for want of memory", "stream", stream, "client", cl.id)
	j := &job{client: cl, stream: stream}
	cl.jobs[stream] = j
	c.rejectJob(j, c.cfg.Settings.Logic.MaxRetryAfter)
	if cl.turnedAway || cl.refusesJobs {
		cl.closeWhenFlushed()
	}
}
