package controller

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"yarrowbarrow/decide/watch"
	"yarrowbarrow/internal/resp"
	"yarrowbarrow/logic"
)

// engine is an engine of the list and the connections to it.
type engine struct {
	id         logic.EngineID
	address    string // none once another engine has it
	location   logic.Location
	kind       logic.KindName
	cell       logic.Cell
	state      logic.Health
	weight     float64
	born       time.Duration // as discovery tells it
	started    time.Duration // by the controller's clock, 0 for long ago
	drained    time.Duration // when it was told to take nothing new, 0 while it takes jobs
	links      []*engineLink
	waiting    []*attempt // for a connection
	dials      map[int64]context.CancelFunc
	dialsAgain int           // in a row, for want of something in this system
	heard      time.Duration // when bytes last came, on any connection
	trip       trip
}

// trip is the time that a command and its answer take, learned from pages, which cost an engine nothing.
type trip struct{ mean, spread time.Duration }

// add smooths as TCP does for its own time-outs.
func (t *trip) add(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.spread = took, took/2
		return
	}
	t.spread += ((took - t.mean).Abs() - t.spread) / 4
	t.mean += (took - t.mean) / 8
}

// most is a time in which a trip is over nearly always, what the engine takes to read a command included. Ten
// milliseconds, far above the trips of a network between neighbours and little against a job, are the least;
// fifty the most, as trips that took longer were held up on this machine.
func (t *trip) most() time.Duration {
	return min(max(t.mean+4*t.spread, 10*time.Millisecond), 50*time.Millisecond)
}

// engineLink is a connection to an engine.
type engineLink struct {
	*link
	engine *engine
	open   map[logic.JobID]*attempt
	used   time.Duration // when an attempt last began or ended
	heard  time.Duration // when bytes last came
	mute   int           // attempts that timed out since
	stale  bool          // takes nothing new
	gone   bool

	isClosed   bool
	whenClosed []func() // to be done then, under the lock

	makesRoom bool // it is closed so that another engine may have its descriptor
}

func (l *engineLink) hears() { l.heard, l.engine.heard, l.mute = l.c.now, l.c.now, 0 }

// probe is a question to an engine that belongs to no job.
type probe struct {
	engine *engine
	sent   time.Duration
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// engineListed keeps what discovery tells of an engine, before the module hears of it.
func (c *Controller) engineListed(id logic.EngineID, address string, location logic.Location,
	kind logic.KindName, cell logic.Cell, state logic.Health, weight float64, born time.Duration) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id, address: address, dials: map[int64]context.CancelFunc{}}
		c.engines[id] = e
		e.heardOfStart(c, born)
	}
	if state == logic.Gone {
		c.use(e)
	} else {
		c.takeAddress(e, address)
	}
	if e.state != state {
		c.trace("engine", "listed", "engine", id, "from", e.state.String(), "to", state.String())
	}
	if state == logic.Up {
		e.drained = 0
	} else if e.drained == 0 {
		e.drained = c.now
	}
	moved := e.address != address || e.born != born
	if e.born != born {
		e.heardOfStart(c, born)
	}
	e.address, e.location, e.kind, e.cell, e.state, e.weight = address, location, kind, cell, state, weight
	if moved { // another process: what is open to the old one leads nowhere new, and what is queued would go there
		c.abandon(e)
		c.takeBackQueued(e)
		c.place(e)
	}
	if state != logic.Up {
		c.retract(e)
	}
}

// heardOfStart turns what discovery tells of an engine's start into a time of the controller's clock.
func (e *engine) heardOfStart(c *Controller, born time.Duration) {
	e.born, e.started = born, watch.Started(c.now, c.system.wallClock(), born)
}

// takeAddress guards against work for an engine that is gone reaching the one that has its address now.
func (c *Controller) takeAddress(e *engine, address string) {
	if o := c.byAddress[address]; o != nil && o != e && o.address == address {
		c.unaddress(o)
	}
	if e.address != address && c.byAddress[e.address] == e {
		delete(c.byAddress, e.address)
	}
	c.byAddress[address] = e
}

// use has the sweeps look at an engine: those of a large list that have no connection and are not gone cost nothing.
func (c *Controller) use(e *engine) { c.used[e.id] = e }

func (c *Controller) unaddress(e *engine) {
	e.address = ""
	c.abandon(e)
	c.takeBackQueued(e)
	c.refuse(e, logic.NoConnection)
}

// abandon has nothing new go on the connections to an engine, those being dialed among them.
func (c *Controller) abandon(e *engine) {
	for _, l := range e.links {
		l.stale = true
	}
	for n, cancel := range e.dials {
		cancel()
		delete(e.dials, n)
	}
}

// retract guards the drain of an engine that takes in nothing: what has not left by now would leave any time later.
func (c *Controller) retract(e *engine) {
	c.takeBackQueued(e)
	for _, d := range e.waiting {
		c.later(func() { c.takeBack(d) })
	}
}

// takeBackQueued ends what is on connections to an engine and has not left.
func (c *Controller) takeBackQueued(e *engine) {
	for _, l := range e.links {
		for _, id := range sorted(l.open) {
			d := l.open[id]
			c.later(func() { c.takeBack(d) })
		}
	}
}

// refuse tells the outcome of what waits for a connection to an engine and has no dial left to wait for.
func (c *Controller) refuse(e *engine, o logic.Outcome) {
	for _, d := range slices.Clone(e.waiting[:max(len(e.waiting)-len(e.dials), 0)]) {
		c.later(func() { c.over(d, o) })
	}
}

// send has an attempt wait for a connection, which is mostly there already.
func (c *Controller) send(d *attempt) {
	c.use(d.engine)
	d.engine.waiting = append(d.engine.waiting, d)
	c.place(d.engine)
}

// place puts what waits on connections. Each attempt has one to itself while descriptors last, as one spoilt or
// lost answer takes along all that is open on its connection; after that they share, up to the settings' number.
func (c *Controller) place(e *engine) {
	crowded := c.links >= c.mostLinks()*3/4
	for at, need := 0, 1; at < len(e.waiting); {
		d := e.waiting[at]
		if !c.fit(d) {
			e.waiting = slices.Delete(e.waiting, at, at+1)
			c.counts[unfit]++
			c.later(func() { c.takeBack(d) })
			continue
		}
		if c.unsure(d) {
			c.at(c.clock()+catchUp, func() { c.place(e) }) // not by c.now, which a process that is behind has long passed
			at++
			continue
		}
		l := e.roomiest(d.job)
		if l != nil && (len(l.open) == 0 || crowded && len(l.open) < c.cfg.Settings.Streams) {
			e.waiting = slices.Delete(e.waiting, at, at+1)
			if c.mayBegin(d) {
				c.put(d, l)
			} else {
				c.counts[unfit]++
				c.later(func() { c.takeBack(d) })
			}
			continue
		}
		if len(e.dials) == 0 || !crowded && len(e.dials) < need {
			c.dial(e)
		}
		at, need = at+1, need+1
	}
}

// mayBegin asks the module about an attempt that has waited since it was decided.
func (c *Controller) mayBegin(d *attempt) bool {
	return c.now == d.sent || c.logic.Began(c.now, d.job.id)
}

// roomiest is the connection in use with least open, but for those on which the job's id has been.
func (e *engine) roomiest(j *job) (best *engineLink) {
	for _, l := range e.links {
		if !l.stale && !l.gone && !slices.Contains(j.on, l) && (best == nil || len(l.open) < len(best.open)) {
			best = l
		}
	}
	return best
}

// mostQueued is how long an attempt waits on its connection to leave, beyond the tick that a writer pauses. One that has not left
// by then, as the process stood still or the engine takes nothing in, is taken back and decided anew: its client, its engine and its
// time were looked at when it was queued.
const mostQueued = 85 * time.Millisecond

// put queues an attempt on a connection: the head, the statement as it came, and the end of the line.
func (c *Controller) put(d *attempt, l *engineLink) {
	j := d.job
	fields := "class=" + string(j.name) + ",wait=" +
		strconv.FormatInt(max(int64((d.until-c.now)/time.Millisecond), 1), 10)
	if j.once != "" {
		fields += ",once=" + j.once
	}
	if j.memoryMB > 0 {
		fields += ",heap=" + strconv.FormatInt(j.memoryMB, 10)
	}
	if j.priority != 1 {
		fields += ",order=" + strconv.Itoa(j.priority)
	}
	head := resp.AppendWord(resp.AppendArray(make([]byte, 0, 192), 4), "serve")
	head = resp.AppendWord(resp.AppendWord(head, string(j.id)), fields)
	head = resp.AppendWordHead(head, len(j.statement))
	d.link, j.last, j.on = l, d, append(j.on, l)
	l.open[j.id] = d
	l.used = c.now
	last := min(d.last, c.now+mostQueued+c.cfg.Settings.Logic.Tick)
	d.message = l.addUntil(last, &d.left, head, j.statement, []byte("\r\n"))
	if last < d.last {
		c.at(last, func() { c.takeBack(d) })
	}
	// Guards against an engine that takes nothing in: its connection is given up, and with it what is open.
	if int64(l.backlog()) > c.cfg.MemoryMB<<20/16 {
		l.stale = true
		c.counts[enginesTooSlow]++
		c.trace("engine closed", "takes nothing in", "engine", d.engine.id, "jobs", len(l.open))
		c.closeSoon(l.conn)
	}
}

// say queues a command about a job.
func (l *engineLink) say(words ...string) {
	line := resp.AppendArray(nil, len(words))
	for _, word := range words {
		line = resp.AppendWord(line, word)
	}
	l.add(line)
}

// letGo ends an attempt on the wire: what is no longer wanted is cancelled, or its pages released.
func (c *Controller) letGo(d *attempt) {
	j := d.job
	if d.link == nil {
		d.engine.waiting = slices.DeleteFunc(d.engine.waiting, func(o *attempt) bool { return o == d })
		return
	}
	l := d.link
	if l.open[j.id] == d {
		if d.withdrawn {
			c.counts[withdrawn]++
		} else if d.begun {
			l.say("release", string(j.id))
		} else if !l.gone {
			l.say("cancel", string(j.id))
			d.stopped = true
			c.counts[cancels]++
		}
		c.unlist(d)
	}
}

// unlist takes an attempt off its connection.
func (c *Controller) unlist(d *attempt) {
	l := d.link
	delete(l.open, d.job.id)
	l.used = c.now
	for _, page := range d.pages {
		c.bytes -= int64(len(page))
	}
	if l.stale && len(l.open) == 0 {
		l.end()
	} else if len(l.engine.waiting) > 0 {
		c.place(l.engine)
	}
	if len(l.open) == 0 && len(c.short) > 0 {
		c.makeRoom()
	}
}

func (c *Controller) timeOut(d *attempt) {
	if d.job.out != d {
		return
	}
	if l := d.link; l != nil && l.heard < d.sent {
		// Guards against a connection to a machine that is cut off, which stays open and silent: whether a new one
		// comes up tells more than another time-out would. One that is silent alone may only have a slow job.
		l.mute++
		l.stale = l.stale || l.mute > 1 || d.engine.heard < d.sent
	}
	c.giveUp(d, logic.TimedOut)
}

// weigh tells the priority of an attempt that is out.
func (c *Controller) weigh(d *attempt) {
	if d.link != nil {
		d.link.say("weigh", string(d.job.id), strconv.Itoa(d.job.priority))
	}
}

func (c *Controller) engineClosed(l *engineLink) {
	l.closed()
	if l.makesRoom {
		c.making--
	}
	e := l.engine
	e.links = slices.DeleteFunc(e.links, func(o *engineLink) bool { return o == l })
	if len(l.open) > 0 {
		c.counts[linksLost]++
	}
	c.lose(l, logic.ConnectionLost)
	l.isClosed = true
	for _, f := range l.whenClosed {
		f()
	}
	l.whenClosed = nil
	c.linkFreed()
}

// lose tells the outcome of all that is open on a connection that serves nothing more.
func (c *Controller) lose(l *engineLink, o logic.Outcome) {
	l.gone = true
	for _, id := range sorted(l.open) {
		d, o := l.open[id], o
		d.stopped = true
		if l.withdraw(d.message) || !l.wrote(d.message) {
			o = logic.NotSent
		}
		c.later(func() { c.over(d, o) })
	}
}

// spoilt guards against an engine's connection whose bytes can't be trusted any more: it is closed, and all that is
// open on it has failed at once, not at its time-out. The engine itself has answered, so it is not taken for dead.
func (c *Controller) spoilt(l *engineLink, why error) {
	if l.gone {
		return
	}
	c.counts[enginesMisread]++
	c.note(slog.LevelDebug, "engine misread", "engine", l.engine.id, "why", why)
	c.lose(l, logic.Errored)
	c.closeSoon(l.conn)
}

// probe asks an engine for its health, on a connection that is up.
func (c *Controller) probe(id logic.EngineID) {
	e := c.engines[id]
	tag := "probe-" + strconv.FormatInt(c.counts[probesSent], 10)
	c.counts[probesSent]++
	c.probes[tag] = &probe{engine: e, sent: c.now}
	c.at(c.now+c.cfg.Settings.ConnectTimeout, func() { c.probeOver(tag, logic.TimedOut, noLoad) })
	if e == nil || !slices.ContainsFunc(e.links, func(l *engineLink) bool {
		if !l.stale && !l.gone {
			l.say("gauges", tag)
		}
		return !l.stale && !l.gone
	}) {
		c.probeOver(tag, logic.NoConnection, noLoad)
	}
}

func (c *Controller) probed(tag string, well bool, load logic.Load) {
	if d := c.fences[tag]; d != nil {
		delete(c.fences, tag)
		c.pass(d)
	}
	o := logic.Done
	if !well {
		o = logic.Errored
	}
	c.probeOver(tag, o, load)
}

func (c *Controller) probeOver(tag string, o logic.Outcome, load logic.Load) {
	if p := c.probes[tag]; p != nil {
		delete(c.probes, tag)
		if p.engine != nil {
			c.logic.ProbeAnswered(c.now, p.engine.id, o, c.now-p.sent, load)
		}
	}
}

// closeIdle closes connections to an engine that carried nothing for so long.
func (c *Controller) closeIdle(e *engine, idle time.Duration) {
	if e == nil {
		return
	}
	for _, l := range e.links {
		if len(l.open) == 0 && !l.gone && c.now-l.used >= idle {
			c.trace("engine closed", "idle", "engine", e.id)
			l.stale = true
			l.end()
		}
	}
}

// halfAnswer is for the rest of an answer that has begun, or the next page of a result: many trips, little against
// a job.
const halfAnswer = 400 * time.Millisecond

// sweepLinks guards against answers that break off on a connection that stays open.
func (c *Controller) sweepLinks(e *engine) {
	for _, l := range e.links {
		stopped := l.halfSince(c.now) > halfAnswer
		for _, d := range l.open {
			stopped = stopped || d.begun && c.now-d.paged > halfAnswer
		}
		if stopped {
			c.spoilt(l, errStopped)
		}
	}
}

// sweepEngines closes connections at four fifths of the time after which the engine would, as what is sent
// while it closes would be lost, and forgets engines that are gone.
func (c *Controller) sweepEngines() {
	for _, id := range sorted(c.used) {
		e := c.used[id]
		c.sweepLinks(e)
		if idle := c.cfg.Settings.IdleClose; idle > 0 {
			c.closeIdle(e, idle*4/5)
		}
		if e.state == logic.Gone {
			c.closeIdle(e, 0)
		}
		if len(e.links) == 0 && len(e.waiting) == 0 && len(e.dials) == 0 {
			delete(c.used, id)
			c.forgetGone(e)
		}
	}
}

// forgetGone forgets an engine that is gone and has nothing open.
func (c *Controller) forgetGone(e *engine) {
	if e.state != logic.Gone || c.engines[e.id] != e {
		return
	}
	delete(c.engines, e.id)
	if c.byAddress[e.address] == e {
		delete(c.byAddress, e.address)
	}
}
