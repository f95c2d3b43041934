package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/decide/polling"
	"yarrowbarrow/internal/http1"
	"yarrowbarrow/internal/listing"
	"yarrowbarrow/logic"
)

// discovery follows the list of engines: one connection with one call at a time, the next as soon as one is answered. A
// call whose answer is late is repeated on another connection while the first is still read: a dead connection delivers
// nothing, and answers of a slow discovery service would never be received if each were given up. While discovery is
// unavailable, jobs continue with the last list.
type discovery struct {
	c         *Controller
	address   string
	pace      polling.Pace
	link      *link
	lateLinks []*link // connections whose answers are late, the oldest first
	lastEvent int64   // number of the newest event received
	// number of the current call, which tells timeouts of older calls apart
	callNumber     int64
	awaitingAnswer bool          // a call is in progress
	callDelay      time.Duration // how long the next call was postponed, or 0
	recentCalls    polling.CallLimiter
	following      bool
	dials          map[int64]context.CancelFunc // in progress, by number
	lastDial       int64                        // the newest number
	dialRound      int64                        // number of the current series of dials, which tells timers of older series apart
	failures       int                          // consecutive failures
}

// maxLateLinks connections are read in addition to the newest one, and at most maxDiscoveryDials dials are in progress:
// few, as each takes one of the descriptors that are reserved for discovery and similar uses.
const maxLateLinks, maxDiscoveryDials = 3, 4

// loadKnown passes the engine list of the configuration to the module.
func (d *discovery) loadKnown(known []byte) error {
	events, err := d.parse(known)
	if err == nil {
		d.applyEvents(events, func(bool) logic.ListKind { return logic.ListInitial })
	}
	return err
}

// maxAnswerBytes is the largest answer that is accepted, a sixteenth of the memory where that is small.
func (d *discovery) maxAnswerBytes() int { return int(min(http1.MaxBody, d.c.cfg.MemoryMB<<20/16)) }

// maxListChanges is how often the whole list may have changed within one answer; each change is small and kept until it
// is applied.
const maxListChanges = 12

// parse parses the events of an answer.
func (d *discovery) parse(text []byte) (listing.Events, error) {
	return listing.Parse(text, maxListChanges*d.c.maxEngines())
}

// maxEngines is how many engines are kept. Each takes at most 4 kB under the operators' terms; 3,200 of them fit into the
// smallest memory.
func (c *Controller) maxEngines() int { return int(c.cfg.MemoryMB) * 100 }

// start follows discovery from the beginning where it reports changes unasked.
func (d *discovery) start() {
	if !d.c.cfg.Settings.Logic.ListOnRequest {
		d.setFollowing(true)
	}
}

// setFollowing starts or stops following discovery. A call in progress is not interrupted.
func (d *discovery) setFollowing(on bool) {
	if d.following = on; on && !d.awaitingAnswer {
		d.sendCall()
	}
}

// refetch requests the whole list.
func (d *discovery) refetch() {
	d.lastEvent = 0
	d.following = true
	d.sendCall()
}

// applyEvents passes events to the module. After a gap in their numbers the whole list is requested again.
func (d *discovery) applyEvents(events listing.Events, kind func(whole bool) logic.ListKind) {
	c := d.c
	var listed map[logic.EngineID]bool
	last, gap := events.ReplaySince(d.lastEvent, func(whole bool) {
		if listed = nil; whole {
			listed = map[logic.EngineID]bool{}
		}
		c.counts[discoveryEvents]++
		c.logic.ListBegins(c.now, kind(whole))
	}, func(id logic.EngineID, address string, location logic.Location, kind logic.KindName, cell logic.Cell,
		state logic.Health, weight float64, reportedStart time.Duration) {
		if listed != nil {
			listed[id] = true
		}
		if c.engines[id] == nil && len(c.engines) >= c.maxEngines() {
			c.counts[enginesOverLimit]++
			return
		}
		c.updateEngine(id, address, location, kind, cell, state, weight, reportedStart)
		c.notifyRouter(c.engines[id])
		c.logic.EngineListed(c.now, id, location, kind, cell, state, weight, c.engines[id].startedAt)
	}, func() {
		if listed != nil {
			c.removeUnlisted(listed)
		}
		if c.router != nil {
			c.router.EngineListEnd(c.now)
		}
		c.logic.ListEnds(c.now)
	})
	d.lastEvent = last
	if gap {
		c.counts[discoveryGaps]++
		d.lastEvent = 0
	}
}

// removeUnlisted marks the engines that a whole list does not contain as gone.
func (c *Controller) removeUnlisted(listed map[logic.EngineID]bool) {
	for _, id := range sorted(c.engines) {
		if e := c.engines[id]; !listed[id] && e.state != logic.Gone {
			e.state = logic.Gone
			if e.drainingSince == 0 {
				e.drainingSince = c.now
			}
			c.markActive(e)
			c.withdrawUnsent(e)
			c.notifyRouter(e)
		}
	}
}

// sendCall sends the next call, on a new connection if there is none.
func (d *discovery) sendCall() {
	c := d.c
	if d.link == nil {
		d.connect()
		return
	}
	d.awaitingAnswer = true
	d.callNumber++
	// wait is how long the service may hold the call until there is a change.
	call, wait := d.callNumber, c.stagger.PollWait(d.pace.Wait-d.callDelay)
	d.callDelay = 0
	target := "/v1/events?SUB=" + strconv.FormatInt(d.lastEvent, 10) + "&wait=" +
		strconv.FormatInt(int64(wait/time.Millisecond), 10)
	d.link.enqueue(http1.AppendGet(nil, d.address, target))
	c.counts[discoveryCalls]++
	c.schedule(c.now+wait+d.pace.Slack, func() { d.checkCallTimeout(call) })
}

// hasUnread reports whether an answer has arrived that was not read to its end.
func (d *discovery) hasUnread() bool {
	incomplete := func(l *link) bool { return l.hasUnread() || l.partialSince.Load() > 0 }
	return d.link != nil && incomplete(d.link) || slices.ContainsFunc(d.lateLinks, incomplete)
}

// checkCallTimeout checks whether a call was answered in time. An answer that is still arriving is not late: a second
// call beside it would slow it down further, and the list of a large fleet would never arrive over a slow network. An
// answer that is unread because the process stalled is not late either.
func (d *discovery) checkCallTimeout(call int64) {
	if !d.awaitingAnswer || d.callNumber != call || d.link == nil {
		return
	}
	if d.pace.Arriving(d.link.arrivalAges(d.c.now)) || d.link.hasUnread() {
		d.c.schedule(d.c.now+d.pace.Slack, func() { d.checkCallTimeout(call) })
		return
	}
	d.handleSilence()
}

// sendPacedCall sends the next call, after a pause if many were answered recently: otherwise each change of a large list
// would cost a call.
func (d *discovery) sendPacedCall() {
	pause := d.recentCalls.Next(d.c.now, d.pace)
	if pause <= 0 {
		d.sendCall()
		return
	}
	d.callDelay = pause
	d.c.schedule(d.c.now+pause, func() {
		if d.callDelay > 0 && d.following && !d.awaitingAnswer {
			d.sendCall()
		}
	})
}

// handleSilence handles a connection that stays open but delivers no answer: the call is repeated on another connection,
// and the silent one is still read.
func (d *discovery) handleSilence() {
	c := d.c
	if c.cfg.Settings.Logic.ListOnRequest { // the module decides when to ask again
		d.handleFailure(errors.New("no answer in time"))
		return
	}
	c.counts[discoveryTimeouts]++
	if d.lateLinks = append(d.lateLinks, d.link); len(d.lateLinks) > maxLateLinks {
		c.closeAsync(d.lateLinks[0].conn)
		d.lateLinks = d.lateLinks[1:]
	}
	d.link, d.awaitingAnswer = nil, false
	d.connect()
}

// closeLateLinks closes the connections whose answers are no longer needed.
func (d *discovery) closeLateLinks() {
	for _, l := range d.lateLinks {
		d.c.closeAsync(l.conn)
	}
	d.lateLinks = nil
}

// connect dials unless a dial is in progress.
func (d *discovery) connect() {
	if len(d.dials) == 0 {
		d.dialRound++
		d.dial()
		d.scheduleParallelDial(d.dialRound)
	}
}

// scheduleParallelDial starts another dial if one is not finished after a while: a connection may fail to open where the
// next one would.
func (d *discovery) scheduleParallelDial(round int64) {
	d.c.schedule(d.c.now+d.pace.Redial, func() {
		if d.dialRound != round || len(d.dials) == 0 {
			return
		}
		if len(d.dials) < maxDiscoveryDials {
			d.dial()
		}
		d.scheduleParallelDial(round)
	})
}

// cancelDials cancels the dials in progress. A connection that opens all the same is closed.
func (d *discovery) cancelDials() {
	for _, cancel := range d.dials {
		cancel()
	}
	clear(d.dials)
}

// dial opens a connection to discovery on a goroutine of its own. The first one that opens is used; it cancels the
// others.
func (d *discovery) dial() {
	c := d.c
	address, err := netip.ParseAddrPort(d.address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(c.cfg.Settings.ConnectTimeout, time.Second))
	d.lastDial++
	number, connect := d.lastDial, c.sys.connect
	d.dials[number] = cancel
	c.spawn(func() {
		conn, err := connect(ctx, address)
		cancel()
		if err != nil {
			c.withLock(func() {
				wanted := d.dials[number] != nil
				if delete(d.dials, number); wanted && len(d.dials) == 0 {
					d.handleFailure(err)
				}
			})
			return
		}
		l := newLink(c, conn)
		l.ownLimit = true
		c.withLock(func() {
			_ = conn.AddCloseCallback(func(netpoll.Connection) error {
				c.withLock(func() { d.linkClosed(l) })
				runner.linkClosing(l)
				return nil
			})
			var progress http1.Progress
			runner.register(l, func() { d.onData(l, &progress) })
			if d.dials[number] == nil {
				c.closeAsync(conn)
				return
			}
			d.cancelDials()
			d.link = l
			if d.following {
				d.sendCall()
			}
		})
		if !conn.IsActive() {
			_ = conn.Close()
		}
	})
}

// changeAddress follows discovery at another address from the last event number on. Input from the old address, on its
// connection or on a dial in progress, is ignored from now on.
func (d *discovery) changeAddress(address string) {
	if address == d.address {
		return
	}
	d.address, d.awaitingAnswer, d.failures = address, false, 0
	d.callNumber++
	d.cancelDials()
	d.closeLateLinks()
	if d.link != nil {
		d.c.closeAsync(d.link.conn)
		d.link = nil
	}
	if d.following {
		d.sendCall()
	}
}

// linkClosed handles the end of a discovery connection.
func (d *discovery) linkClosed(l *link) {
	l.markClosed()
	d.lateLinks = slices.DeleteFunc(d.lateLinks, func(other *link) bool { return other == l })
	if d.link != l {
		return
	}
	// A body without a length ends with its connection.
	_, body, size, _, err := http1.Next(l.partial, true, d.maxAnswerBytes(), &http1.Progress{})
	if d.link = nil; d.awaitingAnswer && size > 0 && err == nil {
		d.awaitingAnswer = false
		d.handleEvents(d.parse(body))
	} else if d.awaitingAnswer {
		d.handleFailure(errors.New("connection closed"))
	}
}

// handleFailure handles a discovery service that is unreachable or broken: it is called again after a randomized pause
// that grows (decide/subsetting), so that controllers that lost it together do not return together.
func (d *discovery) handleFailure(err error) {
	c := d.c
	c.counts[discoveryFailures]++
	if d.failures == 0 { // logged once, not for each try
		c.logEvent(slog.LevelWarn, "discovery lost", "why", err)
	}
	d.awaitingAnswer = false
	if d.link != nil {
		c.closeAsync(d.link.conn)
		d.link = nil
	}
	d.failures++
	if c.cfg.Settings.Logic.ListOnRequest {
		d.following = false
		c.logic.ListBegins(c.now, logic.ListFailed)
		c.logic.ListEnds(c.now)
		return
	}
	c.schedule(c.now+c.stagger.Backoff(d.failures, d.pace.Pause), func() {
		if d.following && !d.awaitingAnswer && d.link == nil {
			d.sendCall()
		}
	})
}

// onData parses the answers on a connection.
func (d *discovery) onData(l *link, progress *http1.Progress) {
	c := d.c
	err := l.readMessages(func(data []byte) (func(), int, error) {
		status, body, size, last, err := http1.Next(data, false, d.maxAnswerBytes(), progress)
		if err != nil || size == 0 {
			return nil, 0, err
		}
		var events listing.Events
		var parseErr error
		if status == 200 { // a long list is parsed before the lock is taken
			events, parseErr = d.parse(body)
		}
		return func() { d.handleAnswer(l, status, last, events, parseErr) }, size, nil
	})
	if err != nil {
		c.withLock(func() {
			if d.link == l {
				d.handleFailure(err)
			} else {
				c.closeAsync(l.conn)
			}
		})
	}
}

// handleAnswer handles the answer to a call; last tells whether it is the last one on its connection.
func (d *discovery) handleAnswer(l *link, status int, last bool, events listing.Events, parseErr error) {
	if slices.Contains(d.lateLinks, l) {
		d.handleLateAnswer(l, status, events, parseErr)
		return
	}
	if d.link != l || !d.awaitingAnswer {
		return
	}
	d.awaitingAnswer = false
	if last {
		d.c.closeAsync(l.conn)
		d.link = nil
	}
	if status != 200 {
		d.handleFailure(fmt.Errorf("status %d", status))
		return
	}
	d.handleEvents(events, parseErr)
}

// handleLateAnswer applies events of a late answer that the newer call has not delivered yet. That call continues.
func (d *discovery) handleLateAnswer(l *link, status int, events listing.Events, parseErr error) {
	d.lateLinks = slices.DeleteFunc(d.lateLinks, func(other *link) bool { return other == l })
	d.c.closeAsync(l.conn)
	previous := d.lastEvent
	if status == 200 && parseErr == nil {
		d.applyEvents(events, listKind)
		d.lastEvent = max(d.lastEvent, previous)
	}
}

// listKind returns the kind of an event's list.
func listKind(wholeList bool) logic.ListKind {
	if wholeList {
		return logic.ListComplete
	}
	return logic.ListChanges
}

// handleEvents applies an answer and sends the next call.
func (d *discovery) handleEvents(events listing.Events, parseErr error) {
	c, previous := d.c, d.lastEvent
	d.closeLateLinks()
	if parseErr != nil {
		d.handleFailure(parseErr)
		return
	}
	d.applyEvents(events, listKind)
	switch {
	case d.lastEvent < previous: // the numbers can't be right: call again only after a pause
		d.handleFailure(errors.New("events are missing"))
	case d.following:
		if d.failures > 0 {
			c.logEvent(slog.LevelInfo, "discovery answers again")
		}
		d.failures = 0
		d.sendPacedCall()
	}
}
