// Package engine is a stand-in for an analytic engine on a loopback address: it speaks the engines' side of the
// protocol, runs jobs on a number of cores, and dies, hangs, slows down and returns cold when it is told to. Its audit
// says what took place.
package engine

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"yarrowbarrow/internal/resp"
)

// Options of an engine. The zero value runs one job at a time, each in no time.
type Options struct {
	Cores int           // jobs that run at once, 1 or more
	Cold  time.Duration // after a start it runs slower for so long, from a third of its speed up
	Row   string        // each result has this one row
	Watch func(Event)   // is told what takes place, under the engine's lock: it must not call the engine
}

// Event is what took place at an engine.
type Event struct {
	At   time.Time
	What What
	ID   string        // of the job
	Work time.Duration // that it says of itself
}

// What took place.
type What int

const (
	Came    What = iota // a job was read
	Began               // it has a core
	Ended               // it was answered
	Dropped             // it was given up before it had a core
	Stopped             // it is to be given up and has a core, which it keeps: engines need not stop
	Lost                // it was lost with the engine's process
	Dialled             // a connection came
	Probed              // a probe
)

// Audit is what took place since the engine was made, over all its starts.
type Audit struct {
	Taken, Ran, Cancelled, Doubled int // Doubled: ids that ran twice
	Dials, Probes                  int
	Busy                           time.Duration // core time spent
	Last                           time.Time     // when a job last came
}

// Engine is one stand-in. Its methods may be called from anywhere.
type Engine struct {
	options Options
	address string

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]bool
	life   int // counts starts
	since  time.Time
	slow   float64 // times as long, 1 usually
	hung   bool
	queue  []*run
	active int
	runs   map[*run]bool // that have a core
	ran    map[string]int
	audit  Audit
}

// run is a job that an engine has taken.
type run struct {
	id      string
	work    time.Duration
	conn    net.Conn
	life    int
	dropped bool
}

// Start listens on an address; port 0 picks one.
func Start(address string, options Options) (*Engine, error) {
	options.Cores = max(options.Cores, 1)
	if options.Row == "" {
		options.Row = "a\tb\tc\n"
	}
	e := &Engine{options: options, address: address, conns: map[net.Conn]bool{}, runs: map[*run]bool{}, ran: map[string]int{}, slow: 1}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.since = time.Now().Add(-options.Cold) // the first start is long ago
	return e, nil
}

func (e *Engine) listen() error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("stand-in engine: %w", err)
	}
	e.mu.Lock()
	e.ln, e.address, e.since = ln, ln.Addr().String(), time.Now()
	e.life++
	life := e.life
	e.mu.Unlock()
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			e.mu.Lock()
			if e.life == life {
				e.conns[conn] = true
				e.audit.Dials++
				e.tell(Dialled, &run{})
				go e.serve(conn, life)
			} else {
				conn.Close()
			}
			e.mu.Unlock()
		}
	}()
	return nil
}

// Address is where it listens, the same after each start.
func (e *Engine) Address() string { return e.address }

// Die ends the engine as a killed process does: connections are reset and what it ran is lost.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	_ = e.ln.Close()
	for conn := range e.conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(e.conns)
	for r := range e.runs {
		e.tell(Lost, r)
	}
	for _, r := range e.queue {
		if !r.dropped {
			e.tell(Lost, r)
		}
	}
	clear(e.runs)
	e.queue, e.active = nil, 0
}

func (e *Engine) tell(what What, r *run) {
	if e.options.Watch != nil {
		e.options.Watch(Event{At: time.Now(), What: what, ID: r.id, Work: r.work})
	}
}

// Return starts it again at its address, cold.
func (e *Engine) Return() error { return e.listen() }

// Slow has jobs take so many times as long from now on.
func (e *Engine) Slow(times float64) { e.mu.Lock(); e.slow = times; e.mu.Unlock() }

// Hang has it take jobs and answer none, until it is told not to.
func (e *Engine) Hang(yes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hung = yes
	e.next()
}

// Audit gives what took place so far.
func (e *Engine) Audit() Audit {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.audit
	for _, n := range e.ran {
		if n > 1 {
			a.Doubled++
		}
	}
	return a
}

// Load is the jobs that run and those that wait.
func (e *Engine) Load() (active, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active, len(e.queue)
}

// workIn finds what a statement says of its own work, in a comment: /* work=250ms */. The protocol does not tell an
// engine the cost.
func workIn(statement string) time.Duration {
	_, after, _ := strings.Cut(statement, "/* work=")
	text, _, _ := strings.Cut(after, " */")
	work, _ := time.ParseDuration(text)
	return work
}

func (e *Engine) serve(conn net.Conn, life int) {
	var data []byte
	for buf := make([]byte, 16<<10); ; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		data = append(data, buf[:n]...)
		for {
			words, size, err := resp.Next(data, nil)
			if size == 0 || err != nil {
				break
			}
			said := make([]string, len(words))
			for n, word := range words {
				said[n] = string(word)
			}
			data = data[size:]
			e.hear(conn, life, said)
		}
	}
}

func (e *Engine) hear(conn net.Conn, life int, said []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life || len(said) < 2 {
		return
	}
	switch said[0] {
	case "serve":
		r := &run{id: said[1], conn: conn, life: life, work: workIn(said[len(said)-1])}
		e.audit.Taken++
		e.audit.Last = time.Now()
		e.tell(Came, r)
		e.queue = append(e.queue, r)
		e.next()
	case "cancel":
		for _, r := range e.queue {
			if r.id == said[1] && !r.dropped {
				r.dropped = true
				e.audit.Cancelled++
				e.tell(Dropped, r)
			}
		}
		for r := range e.runs {
			if r.id == said[1] {
				e.tell(Stopped, r)
			}
		}
	case "health", "gauges":
		e.audit.Probes++
		e.tell(Probed, &run{})
		if !e.hung {
			answer(conn, said[1], "PONG", "-", "")
		}
	}
}

// next runs what waits while there are cores.
func (e *Engine) next() {
	for len(e.queue) > 0 && e.active < e.options.Cores && !e.hung {
		r := e.queue[0]
		if e.queue = e.queue[1:]; r.dropped {
			continue
		}
		e.active++
		e.runs[r] = true
		e.tell(Began, r)
		takes := time.Duration(float64(r.work) * e.slow)
		if age := time.Since(e.since); age < e.options.Cold {
			takes = time.Duration(float64(takes) * 3 / (1 + 2*float64(age)/float64(e.options.Cold)))
		}
		time.AfterFunc(takes, func() { e.end(r, takes) })
	}
}

func (e *Engine) end(r *run, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != r.life {
		return // lost with the process
	}
	e.active--
	delete(e.runs, r)
	e.tell(Ended, r)
	e.ran[r.id]++
	e.audit.Ran++
	e.audit.Busy += took
	if !e.hung {
		answer(r.conn, r.id, "HIT", fmt.Sprintf("count=1,ticks=%d,footprint=16", max(r.work.Milliseconds(), 1)), e.options.Row)
	}
	e.next()
}

func answer(conn net.Conn, words ...string) {
	out := resp.AppendArray(nil, len(words))
	for _, word := range words {
		out = resp.AppendWord(out, word)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // a reader that stands still must not hold the engine
	_, _ = conn.Write(out)
}

// Work is a statement that takes so long on one core.
func Work(statement string, work time.Duration) string {
	return strings.TrimSpace(statement) + fmt.Sprintf(" /* work=%s */", work)
}
