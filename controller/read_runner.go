package controller

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll reads everything that a peer sends as fast as it arrives, and calls back on another goroutine: a peer that
// sends faster than its input is handled would fill the memory. With this runner netpoll's poller waits until the
// callback has consumed what was read; the rest stays in the kernel, whose flow control slows the peer down.
var runner = newReadRunner()

func init() {
	if err := netpoll.Configure(netpoll.Config{Runner: runner.run, LoggerOutput: netpollLog{}}); err != nil {
		panic(err) // the configuration violates the library's own contract
	}
}

// netpollLog redirects netpoll's log to slog.
type netpollLog struct{}

func (netpollLog) Write(line []byte) (int, error) {
	slog.Debug("netpoll", "says", strings.TrimSpace(string(line)))
	return len(line), nil
}

// readRunner runs netpoll's callbacks. netpoll does not tell its runner which connection a callback belongs to, so only
// one task at a time may be starting its callback, which identifies the connection. A task in which its connection closes
// is released before the close, because that needs netpoll's poller.
type readRunner struct {
	tasks chan func()   // to idle worker goroutines
	entry chan struct{} // holds one item while a task is starting its callback

	mu           sync.Mutex
	running      map[*readTask]bool  // all tasks that are not finished
	starting     *readTask           // has not identified its connection yet, or nil
	latest       map[*link]*readTask // the newest task of each connection
	overdueTasks int64               // tasks for which netpoll's poller stopped waiting
	yieldedAt    time.Time           // when a poller last let all other goroutines run
}

// readTask is netpoll's calls for one connection until everything that was read is consumed.
type readTask struct {
	link     *link         // nil if it is unknown
	done     chan struct{} // closed when netpoll's poller may continue
	released bool          // done is closed
}

func newReadRunner() *readRunner {
	return &readRunner{tasks: make(chan func()), entry: make(chan struct{}, 1), running: map[*readTask]bool{}, latest: map[*link]*readTask{}}
}

// maxPollerWait is how long netpoll's poller waits for one callback: long enough for a process that hardly gets CPU time.
// After that the poller continues.
const maxPollerWait = 2 * time.Second

// run is netpoll's runner.
func (r *readRunner) run(_ context.Context, callback func()) {
	task := &readTask{done: make(chan struct{})}
	r.entry <- struct{}{}
	r.mu.Lock()
	r.running[task], r.starting = true, task
	r.mu.Unlock()
	r.submit(func() { r.runTask(task, callback) })
	timeout := time.NewTimer(maxPollerWait)
	defer timeout.Stop()
	select {
	case <-task.done:
	case <-timeout.C:
		r.mu.Lock()
		r.overdueTasks++
		r.mu.Unlock()
	}
	if r.turnOver() {
		runtime.Gosched()
	}
}

// maxReadTurn is how long reads follow one another before all other goroutines get their turn. The poller and a task's
// goroutine wake each other, and on one core the runtime runs such a pair before all others, for as long as input arrives.
const maxReadTurn = time.Millisecond

// turnOver reports whether it is the turn of the other goroutines, and begins the next turn if so.
func (r *readRunner) turnOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	over := now.Sub(r.yieldedAt) >= maxReadTurn
	if over {
		r.yieldedAt = now
	}
	return over
}

// submit runs a task on an idle worker goroutine, or on a new one. There are as many workers as there were tasks at once.
func (r *readRunner) submit(task func()) {
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

// runTask runs a callback and finishes its task, also after a panic.
func (r *readRunner) runTask(task *readTask, callback func()) {
	defer r.finish(task)
	defer func() {
		if panicValue := recover(); panicValue != nil { // netpoll closes the connection
			slog.Error("panic in a callback", "why", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
		}
	}()
	callback()
}

// finish releases the poller and removes a task.
func (r *readRunner) finish(task *readTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(task)
	if r.starting == task {
		r.leaveEntry()
	}
	delete(r.running, task)
	if r.latest[task.link] == task {
		delete(r.latest, task.link)
	}
}

// release lets netpoll's poller continue.
func (r *readRunner) release(task *readTask) {
	if !task.released {
		task.released = true
		close(task.done)
	}
}

// leaveEntry lets the next task start.
func (r *readRunner) leaveEntry() {
	r.starting = nil
	<-r.entry
}

// callbackStarted records which connection the current callback belongs to; a task may call it several times. While an
// earlier task of the connection is still running and another one starts, the callback may belong to either of them: the
// connection of the other one stays unknown.
func (r *readRunner) callbackStarted(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := r.starting
	if task == nil {
		return
	}
	if r.latest[l] == nil {
		task.link, r.latest[l] = l, task
	}
	r.leaveEntry()
}

// linkClosing is called when a connection closes, by the callback that ran last or by whoever closed it.
func (r *readRunner) linkClosing(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.running {
		// A task that is starting has not reached its callback, and will.
		if task.link == l || task.link == nil && task != r.starting {
			r.release(task)
		}
	}
}

// register sets the callback for a connection's input. It is called under the controller's lock, right after the
// connection was opened: what netpoll reads before that does not wait in the kernel.
func (r *readRunner) register(l *link, onData func()) {
	registered := make(chan bool, 1)
	notify := sync.OnceFunc(func() { registered <- true })
	go func() { // waits for the first callback if input has already arrived, which the holder of the lock must not do
		_ = l.conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
			r.callbackStarted(l)
			notify()
			onData()
			return nil
		})
		notify()
	}()
	<-registered
}
