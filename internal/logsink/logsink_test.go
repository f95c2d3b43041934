package logsink

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// reader is a reader of a log that stalls, fails or takes lines.
type reader struct {
	mu    sync.Mutex
	err   error
	taken bytes.Buffer
}

func (r *reader) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	return r.taken.Write(line)
}

// TestStalledReader: lines are taken at once whether or not they are read, their memory has a bound, and the reader is told of the rest.
func TestStalledReader(t *testing.T) {
	r := &reader{}
	s := New(r)
	r.mu.Lock()
	from := time.Now()
	for n := range 10 * mostLines {
		if _, err := s.Write(fmt.Appendf(nil, "line %d %s\n", n, strings.Repeat("x", 1000))); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(from); took > time.Second {
		t.Error("held up for ", took)
	}
	if waits := s.waiting.Load(); waits > mostBytes {
		t.Errorf("%d bytes wait, %d at most", waits, mostBytes)
	}
	r.mu.Unlock()
	s.Flush(time.Second)
	_, _ = s.Write([]byte("last\n"))
	s.Flush(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	text := r.taken.String()
	if !strings.HasPrefix(text, "line 0 ") || !strings.HasSuffix(text, "last\n") || !strings.Contains(text, fmt.Sprint("all=", s.Dropped())) {
		t.Error("not in order, or drops are not told")
	}
}

// TestReaderGone: an error of the reader ends nothing.
func TestReaderGone(t *testing.T) {
	r := &reader{err: errors.New("broken pipe")}
	s := New(r)
	_, _ = s.Write([]byte("lost\n"))
	s.Flush(time.Second)
	r.mu.Lock()
	r.err = nil
	r.mu.Unlock()
	_, _ = s.Write([]byte("here\n"))
	s.Flush(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if text := r.taken.String(); text != "here\n" {
		t.Errorf("%q", text)
	}
}
