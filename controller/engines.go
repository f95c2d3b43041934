package controller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/decide/watch"
	"yarrowbarrow/internal/frame"
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

// mostLinks leaves a sixteenth of the descriptors, and at least 24, to the listener, discovery's connections and dials, the
// pollers and the standard streams, 16 in all, and to clients that linger or are turned away.
func (c *Controller) mostLinks() int {
	return c.cfg.Sockets - mostClients(c.cfg) - max(c.cfg.Sockets/16, 24)
}

// dial starts a connection. It runs beside everything else and is given up after the settings' time, or when
// the engine loses its address.
func (c *Controller) dial(e *engine) {
	address, err := netip.ParseAddrPort(e.address)
	if err != nil {
		c.refuse(e, logic.NoConnection)
		return
	}
	if c.links >= c.mostLinks() {
		c.waitForLink(e)
		return
	}
	c.links++
	c.counts[dials]++
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Settings.ConnectTimeout)
	n, connect := c.counts[dials], c.system.connect
	e.dials[n] = cancel
	c.aside(func() {
		conn, err := connect(ctx, address)
		cancel()
		if err != nil {
			c.do(func() { c.dialed(e, n, nil, err) })
			return
		}
		l := &engineLink{link: newLink(c, conn), engine: e, open: map[logic.JobID]*attempt{}}
		c.do(func() {
			_ = conn.AddCloseCallback(func(netpoll.Connection) error {
				c.do(func() { c.engineClosed(l) })
				reading.closes(l.link)
				return nil
			})
			reading.begin(l.link, l.onData)
			c.dialed(e, n, l, nil)
		})
		if !conn.IsActive() { // ended before there was a callback to tell
			_ = conn.Close()
		}
	})
}

func (c *Controller) dialed(e *engine, n int64, l *engineLink, err error) {
	wanted := e.dials[n] != nil
	delete(e.dials, n)
	if err == nil && !wanted { // the engine lost its address meanwhile: whoever has it now is another
		l.stale = true
		l.end()
	}
	if err != nil {
		full := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if c.linkFreed(); full && c.idlest() != nil {
			c.waitForLink(e)
		} else if isOfThisSystem(err) && e.dialsAgain < mostDialsAgain {
			c.dialAgain(e, err)
		} else if full || isOfThisSystem(err) {
			c.counts[linksOverLimit]++
			e.dialsAgain = 0
			c.refuse(e, logic.NotSent)
		} else {
			c.counts[dialsFailed]++
			c.refuse(e, logic.NoConnection)
		}
		return
	}
	c.use(e)
	e.dialsAgain = 0
	e.links = append(e.links, l)
	l.used, l.heard = c.now, c.now
	c.place(e)
}

// isOfThisSystem tells an error of socket(2) or connect(2) that says nothing about the engine.
func isOfThisSystem(err error) bool {
	for _, no := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

// An engine is dialed again after a pause that doubles, mostDialsAgain times in a row: 5 to 160 ms. What waits for it is then told
// as not sent, and may go elsewhere.
const (
	leastDialPause = 5 * time.Millisecond
	mostDialsAgain = 6
)

// dialAgain is for a dial that failed for want of something in this system.
func (c *Controller) dialAgain(e *engine, err error) {
	pause := leastDialPause << e.dialsAgain
	e.dialsAgain++
	c.counts[dialsAgain]++
	c.trace("dial again", reason(err.Error()), "engine", e.id, "pause", pause)
	c.at(c.now+pause, func() { c.place(e) })
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

// waitForLink guards jobs against descriptors that are all taken by connections to other engines: what waits for this one
// goes on waiting, within its time, and the connection that has been idle for longest is closed for it.
func (c *Controller) waitForLink(e *engine) {
	if slices.Contains(c.short, e) {
		return
	}
	c.counts[linksOverLimit]++
	c.short = append(c.short, e)
	c.makeRoom()
}

// makeRoom closes so many idle connections as there are engines that wait for one. Where none is idle yet, the next one
// that carries nothing is.
func (c *Controller) makeRoom() {
	for c.making < len(c.short) {
		l := c.idlest()
		if l == nil {
			return
		}
		c.making++
		c.trace("engine closed", "its descriptor is wanted", "engine", l.engine.id)
		l.makesRoom, l.stale = true, true
		l.end()
	}
}

// idlest is the connection to an engine that has carried nothing for longest, if any carries nothing.
func (c *Controller) idlest() (best *engineLink) {
	for _, id := range sorted(c.used) {
		for _, l := range c.used[id].links {
			if len(l.open) == 0 && !l.gone && !l.makesRoom && (best == nil || l.used < best.used) {
				best = l
			}
		}
	}
	return best
}

// linkFreed tells that a connection to an engine is over, or did not come up, and lets the engine dial that waited longest.
func (c *Controller) linkFreed() {
	c.links--
	for len(c.short) > 0 && c.links < c.mostLinks() {
		e := c.short[0]
		c.short = c.short[1:]
		c.place(e)
	}
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

// onData reads answers of an engine in place.
func (l *engineLink) onData() {
	c := l.c
	var words [][]byte
	err := l.read(func(data []byte) (call func(), size int, err error) {
		words, size, err = resp.Next(data, words[:0])
		if err != nil || size == 0 {
			return nil, 0, err
		}
		if len(words) != 4 {
			return nil, 0, errors.New("four words are wanted")
		}
		return c.engineSays(l, logic.JobID(words[0]), string(words[1]), words[2], words[3]), size, nil
	})
	if err != nil {
		c.do(func() { c.spoilt(l, err) })
	}
}

var (
	errAnswer  = errors.New("no answer of the protocol")
	errFigure  = errors.New("a figure can't be read")
	errPage    = errors.New("no page of a result")
	errSecond  = errors.New("two answers differ")
	errStopped = errors.New("an answer does not go on")
)

// engineSays reads one answer in place and gives the call that it leads to.
func (c *Controller) engineSays(l *engineLink, id logic.JobID, word string, fields, body []byte) func() {
	load, work, memory, pages, page, err := noLoad, 0.0, 0.0, 0, -1, error(nil)
	resp.Fields(fields, func(name, value []byte) {
		var wrong error
		switch string(name) {
		case "ticks":
			work, wrong = figure(value)
		case "footprint":
			memory, wrong = figure(value)
		case "count":
			pages, wrong = strconv.Atoi(string(value))
		case "pos":
			page, wrong = strconv.Atoi(string(value))
		case "stats":
			load, wrong = readLoad(value)
		}
		err = cmp.Or(err, wrong)
	})
	if word == "PONG" || word == "SICK" {
		return func() {
			l.hears()
			c.probed(string(id), word == "PONG", load)
		}
	}
	return func() {
		if l.gone {
			return
		}
		l.hears()
		d := l.open[id]
		if d == nil {
			c.counts[strayAnswers]++
			return
		}
		if load != noLoad {
			d.load = load
		}
		switch word {
		case "HIT":
			if err == nil && d.begun { // a second copy does no harm
				c.counts[strayAnswers]++
				err = d.same(0, body)
				break
			}
			if pages < 1 || pages > mostPages {
				err = cmp.Or(err, errPage)
			}
			if err != nil {
				break
			}
			d.work, d.memory = time.Duration(work*float64(time.Millisecond)), memory
			d.begun, d.pages, d.missing, d.reads = true, make([][]byte, pages), pages, c.now
			for n := 1; n < pages; n++ {
				l.say("read", string(id), strconv.Itoa(n))
			}
			err = c.page(d, 0, body)
		case "PART":
			if err != nil {
				break
			}
			if d.begun && page == 1 {
				d.engine.trip.add(c.now - d.reads)
			}
			err = c.page(d, page, body)
		case "SHED", "LATE":
			if d.begun { // it ran, so this is no proof that it did not
				err = errSecond
				break
			}
			c.unlist(d)
			c.over(d, logic.TurnedAway)
		case "FAULT":
			c.unlist(d)
			c.over(d, logic.Errored)
		default:
			// Where engines tell how far a job is, a word that is no answer of the protocol is such a note, or a later
			// kind of it: it ends nothing, and its engine is alive.
			if c.counts[notesUnread]++; !c.cfg.Settings.Notes {
				err = errAnswer
			}
		}
		if err != nil {
			c.counts[faultyAnswers]++
			c.spoilt(l, err)
		}
	}
}

// A result has 48,000 bytes at most and a page 6,000. Pages that are filled with rows as far as they go come to 17;
// there is room for an engine that fills them badly.
const mostResult, mostPage, mostPages = 48_000, 6_000, 64

// page keeps a page at its place; with the last one the job is done.
func (c *Controller) page(d *attempt, n int, body []byte) error {
	if !d.begun || n < 0 || n >= len(d.pages) || !isPage(body) || len(body) == 0 && len(d.pages) > 1 {
		return errPage
	}
	if d.pages[n] != nil {
		c.counts[strayAnswers]++
		return d.same(n, body)
	}
	// Guards the machine: results of requests that were let in while there was room, and answers that nobody reads yet.
	if c.bytes+c.held.Load()+int64(len(body)) > c.cfg.MemoryMB<<20/2 {
		return errMemory
	}
	d.pages[n] = append(make([]byte, 0, len(body)), body...)
	d.size += len(body)
	c.bytes += int64(len(body))
	c.counts[pagesRead]++
	d.paged = c.now
	if d.size > mostResult {
		return errPage
	}
	if d.missing--; d.missing > 0 {
		return nil
	}
	if len(d.pages) > 1 {
		d.link.say("release", string(d.job.id))
	}
	c.unlist(d)
	if d.job.client != nil {
		c.counts[done]++
	}
	c.answer(d.job, frame.Done, "", "", d.pages...)
	d.pages = nil // alarms may hold on to the attempt for seconds
	c.over(d, logic.Done)
	return nil
}

// same tells whether a page came twice the same. Which of two is right can't be told.
func (d *attempt) same(n int, body []byte) error {
	if !bytes.Equal(d.pages[n], body) {
		return errSecond
	}
	return nil
}

// isPage tells whether a text is whole rows of three columns, as far as that shows.
func isPage(body []byte) bool {
	if len(body) > mostPage || !utf8.Valid(body) || len(body) > 0 && body[len(body)-1] != '\n' {
		return false
	}
	tabs := 0
	for _, ch := range body {
		switch {
		case ch == '\t':
			tabs++
		case ch == '\n':
			if tabs != 2 {
				return false
			}
			tabs = 0
		case ch < ' ' || ch == 0x7f:
			return false
		}
	}
	return true
}

// figure reads a number that an engine reports.
func figure(text []byte) (float64, error) {
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(n >= 0 && n <= mostFigure) {
		return 0, errFigure
	}
	return n, nil
}

// readLoad reads an engine's report of itself, as in util:0.61;queue:3. A figure that can't be is none.
func readLoad(stats []byte) (load logic.Load, err error) {
	load = noLoad
	resp.Pairs(stats, ';', ':', func(name, value []byte) {
		var at *float64
		switch string(name) {
		case "util":
			at = &load.Util
		case "queue":
			at = &load.Waiting
		case "x0":
			at = &load.MemoryGranted
		default:
			return
		}
		n, wrong := figure(value)
		if *at = n; wrong != nil {
			err = wrong
		}
	})
	if err != nil {
		load = noLoad
	}
	return load, err
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
