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

// A panic fails the open jobs, never the process: clients are owed their answers, and the state that a panic may have
// corrupted is rebuilt. Where panics keep recurring, no job is accepted for a while; jobs that arrive are told when to
// come back.
const (
	maxPanics   = 3                // within panicWindow; a client may resend a single faulty job twice
	panicWindow = 10 * time.Second // also limits how many stacks are logged
	pauseLength = time.Second
)

// spawn runs f on a goroutine of its own. A panic in it is counted and logged.
func (c *Controller) spawn(f func()) {
	go func() {
		defer c.recoverPanic()
		f()
	}()
}

// recoverPanic is deferred by code that runs without the lock.
func (c *Controller) recoverPanic() {
	if panicValue := recover(); panicValue != nil {
		stack := string(debug.Stack())
		c.withLock(func() { c.recordPanic(panicValue, stack) })
	}
}

// runGuarded runs f under the lock.
func (c *Controller) runGuarded(f func()) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			c.handlePanic(panicValue)
		}
	}()
	f()
}

// recordPanic counts and logs a panic, and reports whether panics keep recurring.
func (c *Controller) recordPanic(panicValue any, stack string) (recurring bool) {
	c.counts[panicsCaught]++
	c.recentPanics = append(c.recentPanics, c.now)
	if excess := len(c.recentPanics) - maxPanics - 1; excess > 0 {
		c.recentPanics = c.recentPanics[excess:]
	}
	recurring = len(c.recentPanics) > maxPanics && c.now-c.recentPanics[0] < panicWindow
	if !recurring || !c.paused {
		c.logEvent(slog.LevelError, "panic", "why", fmt.Sprint(panicValue), "stack", stack)
	}
	return recurring
}

// handlePanic handles a panic in the module or in the code around it. The module's state can't be trusted any more, so
// all jobs are failed and a new module starts, like a restart that keeps the sockets.
func (c *Controller) handlePanic(panicValue any) {
	recurring := c.recordPanic(panicValue, string(debug.Stack()))
	c.pendingCalls = nil
	for _, id := range sorted(c.jobs) {
		if j := c.jobs[id]; !j.notHandedOver { // the new module gets the others
			c.tryRun(func() { c.discardJob(j) })
		}
	}
	if recurring || !c.tryRun(c.restartModule) {
		c.pause()
	}
}

// tryRun runs code that follows a panic, and reports whether it finished without another one.
func (c *Controller) tryRun(f func()) (ok bool) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			c.recordPanic(panicValue, string(debug.Stack()))
		}
	}()
	f()
	return true
}

// discardJob fails a job and ends its attempt without telling the module.
func (c *Controller) discardJob(j *job) {
	defer c.forgetJob(j)
	c.failJob(j)
	a := j.inFlight
	if j.inFlight = nil; a != nil {
		c.releaseAttempt(a)
		a.pages = nil
		c.checkEndedAttempt(a, logic.Recalled)
	}
}

// pause stops accepting jobs for a while; after that a new module is tried.
func (c *Controller) pause() {
	if c.paused {
		return
	}
	c.paused = true
	c.logEvent(slog.LevelError, "no job is taken for now", "why", "panics keep recurring", "pause", pauseLength)
	c.schedule(c.now+pauseLength, c.endPause)
}

// endPause accepts jobs again once a new module has started.
func (c *Controller) endPause() {
	if !c.tryRun(c.restartModule) {
		c.schedule(c.now+pauseLength, c.endPause)
		return
	}
	c.paused = false
	c.logEvent(slog.LevelInfo, "jobs are taken again")
}

// restartModule creates a new module, and a new router with the same routes, and tells them what is known.
func (c *Controller) restartModule() {
	c.moduleStarts++
	settings := c.cfg.Settings.Logic
	settings.KeysQuietUntil = c.now + settings.KeyQuietPeriod
	c.logic = c.newModule(host{c}, settings, c.cfg.Seed+c.counts[panicsCaught])
	if c.router != nil {
		c.router = nil
		c.adoptRoutes(c.plan, route.NewTable(c.plan, nil))
		c.router.EngineListEnd(c.now)
	}
	c.logic.ListBegins(c.now, logic.ListInitial)
	for _, id := range sorted(c.engines) {
		e := c.engines[id]
		c.logic.EngineListed(c.now, e.id, e.location, e.kind, e.cell, e.state, e.weight, e.startedAt)
	}
	c.logic.ListEnds(c.now)
	if c.exit != nil {
		c.logic.ShuttingDown(c.now, c.exit.LatestDeadline())
	}
}

// readConfigGuarded reads a configuration. A panic while reading it is returned as an error.
func readConfigGuarded(read func() (config.Config, error)) (cfg config.Config, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("configuration: panic: %v", panicValue)
		}
	}()
	return read()
}
