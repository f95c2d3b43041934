package controller

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/logic"
)

// A fault in this program fails what is open, never the process: clients are owed their answers, and what a fault has spoilt is begun
// anew. Where faults keep coming back, no job is taken for a while; those that come are told when to come back.
const (
	mostPanics  = 3                // within panicWindow, as a single faulty job may be sent again by its client twice
	panicWindow = 10 * time.Second // also for how many stacks are logged
	idlePause   = time.Second
)

// aside runs f on a goroutine of its own. A fault in it is counted and logged.
func (c *Controller) aside(f func()) {
	go func() {
		defer c.caught()
		f()
	}()
}

// caught is to be deferred by what runs without the lock.
func (c *Controller) caught() {
	if why := recover(); why != nil {
		stack := string(debug.Stack())
		c.do(func() { c.notePanic(why, stack) })
	}
}

// guarded runs f under the lock.
func (c *Controller) guarded(f func()) {
	defer func() {
		if why := recover(); why != nil {
			c.broke(why)
		}
	}()
	f()
}

// notePanic counts and logs a fault, and tells whether they keep coming back.
func (c *Controller) notePanic(why any, stack string) (again bool) {
	c.counts[panicked]++
	c.panics = append(c.panics, c.now)
	if over := len(c.panics) - mostPanics - 1; over > 0 {
		c.panics = c.panics[over:]
	}
	again = len(c.panics) > mostPanics && c.now-c.panics[0] < panicWindow
	if !again || !c.idles {
		c.note(slog.LevelError, "panic", "why", fmt.Sprint(why), "stack", stack)
	}
	return again
}

// broke guards against a fault in the module or in the code round it. What the module held can't be trusted any more, so all jobs
// are failed and a new module begins, like a restart that keeps the sockets.
func (c *Controller) broke(why any) {
	again := c.notePanic(why, string(debug.Stack()))
	c.queue = nil
	for _, id := range sorted(c.jobs) {
		c.survive(func() { c.endJob(c.jobs[id]) })
	}
	if again || !c.survive(c.begin) {
		c.idle()
	}
}

// survive runs what follows a fault, and tells whether it came to its end.
func (c *Controller) survive(f func()) (well bool) {
	defer func() {
		if why := recover(); why != nil {
			c.notePanic(why, string(debug.Stack()))
		}
	}()
	f()
	return true
}

func (c *Controller) endJob(j *job) {
	defer c.forget(j)
	c.failJob(j)
	d := j.out
	if j.out = nil; d != nil {
		c.letGo(d)
	}
}

// idle takes no job for a pause, and tries a new module then.
func (c *Controller) idle() {
	if c.idles {
		return
	}
	c.idles = true
	c.note(slog.LevelError, "no job is taken for now", "why", "panics keep coming back", "pause", idlePause)
	c.at(c.now+idlePause, c.idleOver)
}

func (c *Controller) idleOver() {
	if !c.survive(c.begin) {
		c.at(c.now+idlePause, c.idleOver)
		return
	}
	c.idles = false
	c.note(slog.LevelInfo, "jobs are taken again")
}

// begin has a new module, and a new router of the same routes, learn what is known.
func (c *Controller) begin() {
	c.logic = c.module(host{c}, c.cfg.Settings.Logic, c.cfg.Seed+c.counts[panicked])
	if c.router != nil {
		c.router = nil
		c.adopt(c.plan, route.NewTable(c.plan, nil))
		c.router.ListEnds(c.now)
	}
	c.logic.ListBegins(c.now, logic.ListRemembered)
	for _, id := range sorted(c.engines) {
		e := c.engines[id]
		c.logic.EngineListed(c.now, e.id, e.location, e.kind, e.cell, e.state, e.weight, e.started)
	}
	c.logic.ListEnds(c.now)
	if c.exit != nil {
		c.logic.Leaving(c.now, c.exit.Last())
	}
}

// readGuarded reads a configuration. A fault in its reading is one of the configuration.
func readGuarded(read func() (config.Config, error)) (next config.Config, err error) {
	defer func() {
		if why := recover(); why != nil {
			err = fmt.Errorf("configuration: panic: %v", why)
		}
	}()
	return read()
}
