// Package engine is a stand-in for an analytic engine on a loopback address: it speaks the engines' side of the
// protocol, runs jobs that share a number of cores, and dies, hangs, slows down and returns cold when it is told to. Its audit
// says what took place.
package engine

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yarrowbarrow/internal/resp"
	"yarrowbarrow/lab/flood"
)

// Options of an engine. The zero value has one core, and jobs take no time.
type Options struct {
	Cores int           // jobs that run at full speed, 1 or more; more of them share the cores evenly
	Most  int           // jobs that run at once, what comes then is turned away; 0: eight a core
	Cold  time.Duration // after a start it runs slower for so long, from a third of its speed up
	Row   string        // each result has this one row
	Watch func(Event)   // is told what takes place, under the engine's lock: it must not call the engine
}

// Event is what took place at an engine.
type Event struct {
	At   time.Time
	What What
	ID   string        // of the job
	Run  int           // numbers attempts, as a job may come again before its last attempt is given up
	Work time.Duration // that it says of itself
	Wait time.Duration // for which the sender waits, as it says
}

// What took place.
type What int

const (
	Came    What = iota // a job was read
	Began               // it runs
	Ended               // it was answered
	Dropped             // it was given up, or turned away
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
	up     bool
	since  time.Time
	slow   float64 // times as long, 1 usually
	hung   bool
	fails  bool
	floods []flood.Flood     // that jobs are answered with by turns, or none
	fills  map[net.Conn]bool // a flood is being sent there, and nothing else
	runs   []*run            // in the order they came
	shared time.Time         // until when their shares are worked out
	timer  *time.Timer       // for the next end
	ran    map[string]int
	audit  Audit
}

// run is a job that an engine has taken.
type run struct {
	id   string
	n    int
	work time.Duration
	wait time.Duration
	left time.Duration // of its work
	conn net.Conn
}

// Start listens on an address; port 0 picks one.
func Start(address string, options Options) (*Engine, error) {
	options.Cores = max(options.Cores, 1)
	if options.Most == 0 {
		options.Most = 8 * options.Cores
	}
	if options.Row == "" {
		options.Row = "a\tb\tc\n"
	}
	e := &Engine{options: options, address: address, conns: map[net.Conn]bool{}, fills: map[net.Conn]bool{}, ran: map[string]int{}, slow: 1}
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
	e.up = true
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
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Die ends the engine as a killed process does: connections are reset and what it ran is lost.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.up = false
	_ = e.ln.Close()
	for _, r := range e.runs { // before anybody can know
		e.tell(Lost, r)
	}
	e.runs = nil
	for conn := range e.conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(e.conns)
	clear(e.fills)
}

func (e *Engine) tell(what What, r *run) {
	if e.options.Watch != nil {
		e.options.Watch(Event{At: time.Now(), What: what, ID: r.id, Run: r.n, Work: r.work, Wait: r.wait})
	}
}

// Return starts it again at its address, cold. One that is up stays as it is.
func (e *Engine) Return() error {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if up {
		return nil
	}
	return e.listen()
}

// Slow has jobs take so many times as long from now on.
func (e *Engine) Slow(times float64) { e.change(func() { e.slow = times }) }

// Hang has it take jobs and answer none, until it is told not to.
func (e *Engine) Hang(yes bool) { e.change(func() { e.hung = yes }) }

// Fail has it answer each job with an error at once, until it is told not to.
func (e *Engine) Fail(yes bool) { e.change(func() { e.fails = yes }) }

// Flood has each job answered with one of these, by turns, on its connection, which then serves no further job. None ends that.
func (e *Engine) Flood(with []flood.Flood) { e.change(func() { e.floods = with }) }

// Chill has it begin as if it had started just now.
func (e *Engine) Chill() { e.change(func() { e.since = time.Now() }) }

// change does what changes the speed, after what was done at the one before.
func (e *Engine) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share()
	f()
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

// Load is the jobs that run, as many as there are cores, and those beyond.
func (e *Engine) Load() (active, beyond int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active = min(len(e.runs), e.options.Cores)
	return active, len(e.runs) - active
}

// workIn finds what a statement says of its own work, in a comment: /* work=250ms */. The protocol does not tell an
// engine the cost.
func workIn(statement string) time.Duration {
	_, after, _ := strings.Cut(statement, "/* work=")
	text, _, _ := strings.Cut(after, " */")
	work, _ := time.ParseDuration(text)
	return work
}

// waitIn reads the field of a command that tells for how many milliseconds its sender waits.
func waitIn(fields string) (wait time.Duration) {
	resp.Fields([]byte(fields), func(name, value []byte) {
		if string(name) == "wait" {
			ms, _ := strconv.Atoi(string(value))
			wait = time.Duration(ms) * time.Millisecond
		}
	})
	return wait
}

func (e *Engine) serve(conn net.Conn, life int) {
	var data []byte
	for buf := make([]byte, 16<<10); ; {
		n, err := conn.Read(buf)
		if err != nil {
			e.giveUp(conn, life)
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

// giveUp drops what was open on a connection that is over, as the protocol has it.
func (e *Engine) giveUp(conn net.Conn, life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life {
		return
	}
	delete(e.conns, conn)
	delete(e.fills, conn)
	_ = conn.Close()
	e.drop(func(r *run) bool { return r.conn == conn })
}

// drop has those that a choice names run no more.
func (e *Engine) drop(which func(*run) bool) {
	e.share()
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if which(r) {
			e.audit.Cancelled++
			e.tell(Dropped, r)
			return true
		}
		return false
	})
	e.next()
}

func (e *Engine) hear(conn net.Conn, life int, said []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life || len(said) < 2 || said[0] == "serve" && len(said) < 4 {
		return
	}
	switch said[0] {
	case "serve":
		r := &run{id: said[1], conn: conn, work: workIn(said[len(said)-1]), wait: waitIn(said[2])}
		r.left = r.work
		e.audit.Taken++
		r.n = e.audit.Taken
		e.audit.Last = time.Now()
		e.tell(Came, r)
		if len(e.runs) >= e.options.Most {
			e.tell(Dropped, r)
			e.answer(conn, r.id, "SHED", "-", "")
			return
		}
		if e.fails {
			e.tell(Began, r)
			e.tell(Dropped, r)
			e.answer(conn, r.id, "FAULT", "-", "")
			return
		}
		if len(e.floods) > 0 {
			r.left = flooded
			e.fills[conn] = true
			go e.floods[e.audit.Taken%len(e.floods)].Send(conn)
		}
		e.share()
		e.runs = append(e.runs, r)
		e.tell(Began, r)
		e.next()
	case "cancel":
		e.drop(func(r *run) bool { return r.id == said[1] })
	case "health", "gauges":
		e.audit.Probes++
		e.tell(Probed, &run{})
		if !e.hung {
			e.answer(conn, said[1], "PONG", "-", "")
		}
	}
}

// flooded is the work of a job whose answer does not end.
const flooded = time.Hour

// speed is how much of its work a job gets done in a time.
func (e *Engine) speed() float64 {
	if e.hung || len(e.runs) == 0 {
		return 0
	}
	speed := min(1, float64(e.options.Cores)/float64(len(e.runs))) / e.slow
	if age := time.Since(e.since); age < e.options.Cold {
		speed *= (1 + 2*float64(age)/float64(e.options.Cold)) / 3
	}
	return speed
}

// share gives all that run their parts of the time since it was last done. What changes the speed comes after it.
func (e *Engine) share() {
	now := time.Now()
	done := time.Duration(float64(now.Sub(e.shared)) * e.speed())
	e.shared = now
	for _, r := range e.runs {
		r.left -= done
		e.audit.Busy += done
	}
}

// coldStep is how often the growing speed of a cold engine is looked at.
const coldStep = 50 * time.Millisecond

// next answers what is through, and waits for the next one.
func (e *Engine) next() {
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if r.left > 0 || e.hung {
			return false
		}
		e.ran[r.id]++
		e.audit.Ran++
		e.tell(Ended, r)
		e.answer(r.conn, r.id, "HIT", fmt.Sprintf("count=1,ticks=%d,footprint=16", max(r.work.Milliseconds(), 1)), e.options.Row)
		return true
	})
	if e.timer != nil {
		e.timer.Stop()
	}
	speed := e.speed()
	if speed == 0 {
		return
	}
	least := slices.MinFunc(e.runs, func(a, b *run) int { return cmp.Compare(a.left, b.left) }).left
	wait := time.Duration(float64(least)/speed) + time.Microsecond
	if time.Since(e.since) < e.options.Cold {
		wait = min(wait, coldStep)
	}
	e.timer = time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.share()
		e.next()
	})
}

// answer says something under the lock: on a connection that a flood fills it would wait for that.
func (e *Engine) answer(conn net.Conn, words ...string) {
	if e.fills[conn] {
		return
	}
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
