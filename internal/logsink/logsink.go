// Package logsink writes log lines to a writer asynchronously, so that logging never blocks the caller. Lines are dropped and counted
// while the reader of the log does not keep up.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits on the lines that wait to be written, and on their bytes.
const (
	maxQueuedLines = 1024
	maxQueuedBytes = 256 << 10
)

// Sink is an io.Writer that passes lines on to another writer in order. Its methods may be called concurrently.
type Sink struct {
	out             io.Writer
	queue           chan []byte
	queuedBytes     atomic.Int64 // bytes of the lines taken and not yet written
	dropped         atomic.Int64
	reportedDropped int64 // dropped lines that the reader of the log has been notified of
}

// New returns a Sink and starts a goroutine that writes its lines to out. The goroutine never ends.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, maxQueuedLines)}
	go s.writeQueued()
	return s
}

// Write queues a copy of line, or drops the line if the queue is full. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if s.queuedBytes.Add(int64(len(line))) > maxQueuedBytes {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Sink) drop(line []byte) {
	s.queuedBytes.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Dropped returns the number of lines dropped because the queue was full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// writeQueued writes the queued lines, and before a line a notice of the lines dropped since the last notice. It continues after
// write errors, as a reader may return; lines that fail are lost and not counted as dropped.
func (s *Sink) writeQueued() {
	for line := range s.queue {
		if dropped := s.dropped.Load(); dropped > s.reportedDropped {
			if _, err := fmt.Fprintf(s.out, "time=%s level=WARN msg=\"log lines dropped\" all=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped); err == nil {
				s.reportedDropped = dropped
			}
		}
		_, _ = s.out.Write(line)
		s.queuedBytes.Add(-int64(len(line)))
	}
}

// flushPollInterval is how often Flush checks the queue. It is short compared to the time that a process has to shut down.
const flushPollInterval = time.Millisecond

// Flush waits until all queued lines are written, but no longer than timeout.
func (s *Sink) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); s.queuedBytes.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}
