package controller

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll reads all that a peer sends as fast as it comes, and calls back on another goroutine: a peer that sends faster than it is
// handled fills the memory. Here netpoll's poller waits until the callback has taken what was read; the rest stays in the kernel,
// which has the peer wait.
var reading = newReadTurns()

func init() {
	if err := netpoll.Configure(netpoll.Config{Runner: reading.run, LoggerOutput: netpollLog{}}); err != nil {
		panic(err) // the library's own terms of use are broken
	}
}

// netpollLog has what netpoll logs go where all else does.
type netpollLog struct{}

func (netpollLog) Write(line []byte) (int, error) {
	slog.Debug("netpoll", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// readTurns are the callbacks of netpoll that run. netpoll tells its runner nothing of the connection, so one turn at a time enters its
// callback, which tells whose it is. A turn in which its connection ends is over before that end, as that needs netpoll's poller.
type readTurns struct {
	tasks    chan func()   // to goroutines that have nothing to do
	entrance chan struct{} // holds one item while a turn enters its callback

	mu       sync.Mutex
	open     map[*readTurn]bool
	entering *readTurn
	of       map[*link]*readTurn // the newest of each connection
	overdue  int64               // turns that netpoll's poller did not wait for any longer
}

// readTurn is netpoll's calls for one connection until nothing of what was read is left.
type readTurn struct {
	link *link         // nil where it is not known
	over chan struct{} // closed when netpoll's poller may go on
	ends bool          // it is closed
}

func newReadTurns() *readTurns {
	return &readTurns{tasks: make(chan func()), entrance: make(chan struct{}, 1), open: map[*readTurn]bool{}, of: map[*link]*readTurn{}}
}

// mostTurn is how long netpoll's poller waits for one callback: seconds of a process that hardly runs. After that it goes on.
const mostTurn = 2 * time.Second

// run is netpoll's runner.
func (r *readTurns) run(_ context.Context, callback func()) {
	t := &readTurn{over: make(chan struct{})}
	r.entrance <- struct{}{}
	r.mu.Lock()
	r.open[t], r.entering = true, t
	r.mu.Unlock()
	r.start(func() { r.turn(t, callback) })
	late := time.NewTimer(mostTurn)
	defer late.Stop()
	select {
	case <-t.over:
	case <-late.C:
		r.mu.Lock()
		r.overdue++
		r.mu.Unlock()
	}
}

// start has a goroutine that is idle, or a new one, do a task. There are as many as there were turns at once.
func (r *readTurns) start(task func()) {
	select {
	case r.tasks <- task:
	default:
		go func() {
			for ; ; task = <-r.tasks {
				task()
			}
		}()
	}
}

func (r *readTurns) turn(t *readTurn, callback func()) {
	defer r.end(t)
	defer func() {
		if why := recover(); why != nil { // netpoll closes the connection
			slog.Error("panic in a callback", "why", fmt.Sprint(why), "stack", string(debug.Stack()))
		}
	}()
	callback()
}

func (r *readTurns) end(t *readTurn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.letOn(t)
	if r.entering == t {
		r.hasEntered()
	}
	delete(r.open, t)
	if r.of[t.link] == t {
		delete(r.of, t.link)
	}
}

// letOn has netpoll's poller wait for a turn no longer.
func (r *readTurns) letOn(t *readTurn) {
	if !t.ends {
		t.ends = true
		close(t.over)
	}
}

func (r *readTurns) hasEntered() {
	r.entering = nil
	<-r.entrance
}

// enters tells that the callback of a connection runs, for the first time in its turn or again. Where an earlier turn of the connection
// is open and another one enters, it may be either of them: whose the other one is then is not known.
func (r *readTurns) enters(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.entering
	if t == nil {
		return
	}
	if r.of[l] == nil {
		t.link, r.of[l] = l, t
	}
	r.hasEntered()
}

// closes is called as a connection ends, by the callback that ran last or by whoever ended it.
func (r *readTurns) closes(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t := range r.open {
		if t.link == l || t.link == nil && t != r.entering { // one that enters has not come to its callback, and does
			r.letOn(t)
		}
	}
}

// begin has a connection call back with what comes. It is called under the controller's lock, right after the connection came up:
// what netpoll reads before that does not wait in the kernel.
func (r *readTurns) begin(l *link, onData func()) {
	begun := make(chan bool, 1)
	tell := sync.OnceFunc(func() { begun <- true })
	go func() { // waits for the first callback, if anything has come already; whoever has the lock must not
		_ = l.conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
			r.enters(l)
			tell()
			onData()
			return nil
		})
		tell()
	}()
	<-begun
}
