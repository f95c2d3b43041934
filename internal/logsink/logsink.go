// Package logsink writes a log without ever holding up who logs: where its reader does not keep up, or is gone, lines are dropped and
// counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// mostLines and mostBytes wait to be written.
const (
	mostLines = 1024
	mostBytes = 256 << 10
)

// Sink hands lines to a writer, in order. Its methods may be called from anywhere.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	waiting atomic.Int64 // bytes
	dropped atomic.Int64
	told    int64 // of them, to the reader
}

// New has a goroutine write to a writer, for good.
func New(to io.Writer) *Sink {
	s := &Sink{to: to, lines: make(chan []byte, mostLines)}
	go s.write()
	return s
}

// Write takes a line or drops it. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if s.waiting.Add(int64(len(line))) > mostBytes {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Sink) drop(line []byte) {
	s.waiting.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Dropped counts lines that were not taken.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// write goes on after errors: a reader may come back.
func (s *Sink) write() {
	for line := range s.lines {
		if dropped := s.dropped.Load(); dropped > s.told {
			if _, err := fmt.Fprintf(s.to, "time=%s level=WARN msg=\"log lines dropped\" all=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped); err == nil {
				s.told = dropped
			}
		}
		_, _ = s.to.Write(line)
		s.waiting.Add(-int64(len(line)))
	}
}

// flushEvery is fine against the time that a process has to end.
const flushEvery = time.Millisecond

// Flush waits until all that was taken is written, for a time at most.
func (s *Sink) Flush(within time.Duration) {
	for until := time.Now().Add(within); s.waiting.Load() > 0 && time.Now().Before(until); {
		time.Sleep(flushEvery)
	}
}
