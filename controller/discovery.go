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

	"yarrowbarrow/decide/watch"
	"yarrowbarrow/internal/http1"
	"yarrowbarrow/internal/listing"
	"yarrowbarrow/logic"
)

// discovery follows the list of engines: one connection, one call at a time, the next as soon as one is answered. A call whose
// answer is late is asked again on another connection, while the first is still listened to: a connection that is dead says
// nothing, and discovery that is slow would never be heard if its answers were given up. Jobs go on with the list that is held
// while it is away.
type discovery struct {
	c         *Controller
	address   string
	pace      watch.Pace
	link      *link
	late      []*link       // whose answers are, the oldest first
	last      int64         // number of the newest event held
	call      int64         // of the call that is out, to tell old time-outs apart
	waits     bool          // a call is out
	rests     time.Duration // by so much the next call has been put off, or 0
	calls     watch.Calls
	following bool
	dials     map[int64]context.CancelFunc // under way, by number
	dialed    int64                        // the newest number
	round     int64                        // of dials, to tell old alarms apart
	failures  int                          // in a row
}

// mostLate connections are listened to beside the newest one, and mostDials are under way at once: a few, as each takes a
// descriptor of those kept free for discovery and its like.
const mostLate, mostDials = 3, 4

// remembered tells the module what the configuration knows.
func (f *discovery) remembered(known []byte) error {
	events, err := f.parse(known)
	if err == nil {
		f.tell(events, func(bool) logic.ListKind { return logic.ListRemembered })
	}
	return err
}

// longest is the most bytes of an answer that are taken, a sixteenth of small memories.
func (f *discovery) longest() int { return int(min(http1.MaxBody, f.c.cfg.MemoryMB<<20/16)) }

// mostChanged is how often the list may have changed whole within one answer; each change is small and kept until it is taken.
const mostChanged = 12

func (f *discovery) parse(text []byte) (listing.Events, error) {
	return listing.Parse(text, mostChanged*f.c.mostEngines())
}

// mostEngines are kept. Each takes 4 kB at most by the operators' terms; 3,200 of them have room in the smallest memory.
func (c *Controller) mostEngines() int { return int(c.cfg.MemoryMB) * 100 }

// start follows discovery from the beginning where changes come by themselves.
func (f *discovery) start() {
	if !f.c.cfg.Settings.Logic.ListOnRequest {
		f.follow(true)
	}
}

func (f *discovery) follow(on bool) {
	if f.following = on; on && !f.waits {
		f.ask()
	}
}

// anew asks for the whole list.
func (f *discovery) anew() {
	f.last = 0
	f.following = true
	f.ask()
}

// tell hands events to the module. A gap in the numbers has all of them read anew.
func (f *discovery) tell(events listing.Events, kind func(whole bool) logic.ListKind) {
	c := f.c
	var listed map[logic.EngineID]bool
	last, gap := events.Since(f.last, func(whole bool) {
		if listed = nil; whole {
			listed = map[logic.EngineID]bool{}
		}
		c.counts[discoveryEvents]++
		c.logic.ListBegins(c.now, kind(whole))
	}, func(id logic.EngineID, address string, location logic.Location, kind logic.KindName, cell logic.Cell,
		state logic.Health, weight float64, born time.Duration) {
		if listed != nil {
			listed[id] = true
		}
		if c.engines[id] == nil && len(c.engines) >= c.mostEngines() {
			c.counts[enginesOverLimit]++
			return
		}
		c.engineListed(id, address, location, kind, cell, state, weight, born)
		c.routesSee(c.engines[id])
		c.logic.EngineListed(c.now, id, location, kind, cell, state, weight, c.engines[id].started)
	}, func() {
		if listed != nil {
			c.dropUnlisted(listed)
		}
		if c.router != nil {
			c.router.ListEnds(c.now)
		}
		c.logic.ListEnds(c.now)
	})
	f.last = last
	if gap {
		c.counts[discoveryGaps]++
		f.last = 0
	}
}

// dropUnlisted takes the engines that a whole list does not hold for gone.
func (c *Controller) dropUnlisted(listed map[logic.EngineID]bool) {
	for _, id := range sorted(c.engines) {
		if e := c.engines[id]; !listed[id] && e.state != logic.Gone {
			e.state = logic.Gone
			if e.drained == 0 {
				e.drained = c.now
			}
			c.use(e)
			c.retract(e)
			c.routesSee(e)
		}
	}
}

// ask sends the next call, over a new connection when there is none.
func (f *discovery) ask() {
	c := f.c
	if f.link == nil {
		f.connect()
		return
	}
	f.waits = true
	f.call++
	call, wait := f.call, c.apart.Poll(f.pace.Wait-f.rests) // in which a change may have been told
	f.rests = 0
	target := "/v1/events?SUB=" + strconv.FormatInt(f.last, 10) + "&wait=" +
		strconv.FormatInt(int64(wait/time.Millisecond), 10)
	f.link.add(http1.AppendGet(nil, f.address, target))
	c.counts[discoveryCalls]++
	c.at(c.now+wait+f.pace.Slack, func() { f.answerDue(call) })
}

// unread tells that an answer has come and was not read to its end.
func (f *discovery) unread() bool {
	behind := func(l *link) bool { return l.unread() || l.half.Load() > 0 }
	return f.link != nil && behind(f.link) || slices.ContainsFunc(f.late, behind)
}

// answerDue looks whether a call has been answered in time. An answer that is arriving is not late: asked again beside it, it
// would take even longer, and the list of a large fleet over a slow network would never be heard. Nor is one that lies unread, as
// the process stood still.
func (f *discovery) answerDue(call int64) {
	if !f.waits || f.call != call || f.link == nil {
		return
	}
	if f.pace.Arriving(f.link.arrival(f.c.now)) || f.link.unread() {
		f.c.at(f.c.now+f.pace.Slack, func() { f.answerDue(call) })
		return
	}
	f.silent()
}

// askPaced sends the next call, later if many were answered of late: each change of a large list would be a call.
func (f *discovery) askPaced() {
	pause := f.calls.Next(f.c.now, f.pace)
	if pause <= 0 {
		f.ask()
		return
	}
	f.rests = pause
	f.c.at(f.c.now+pause, func() {
		if f.rests > 0 && f.following && !f.waits {
			f.ask()
		}
	})
}

// silent guards against a watch that says nothing more on a connection that stays up: another one is asked beside it.
func (f *discovery) silent() {
	c := f.c
	if c.cfg.Settings.Logic.ListOnRequest { // the module decides when to ask again
		f.failed(errors.New("no answer in time"))
		return
	}
	c.counts[discoverySilent]++
	if f.late = append(f.late, f.link); len(f.late) > mostLate {
		c.closeSoon(f.late[0].conn)
		f.late = f.late[1:]
	}
	f.link, f.waits = nil, false
	f.connect()
}

// forgetLate closes the connections whose answers nobody needs any more.
func (f *discovery) forgetLate() {
	for _, l := range f.late {
		f.c.closeSoon(l.conn)
	}
	f.late = nil
}

// connect dials unless a dial is under way.
func (f *discovery) connect() {
	if len(f.dials) == 0 {
		f.round++
		f.dial()
		f.dialAgain(f.round)
	}
}

// dialAgain guards against a connection that does not come up where the next one would: one is tried beside it.
func (f *discovery) dialAgain(round int64) {
	f.c.at(f.c.now+f.pace.Redial, func() {
		if f.round != round || len(f.dials) == 0 {
			return
		}
		if len(f.dials) < mostDials {
			f.dial()
		}
		f.dialAgain(round)
	})
}

// giveUpDials ends those under way. One that comes up all the same leads to nothing.
func (f *discovery) giveUpDials() {
	for _, stop := range f.dials {
		stop()
	}
	clear(f.dials)
}

func (f *discovery) dial() {
	c := f.c
	address, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), max(c.cfg.Settings.ConnectTimeout, time.Second))
	f.dialed++
	number, connect := f.dialed, c.system.connect
	f.dials[number] = stop
	c.aside(func() {
		conn, err := connect(ctx, address)
		stop()
		if err != nil {
			c.do(func() {
				wanted := f.dials[number] != nil
				if delete(f.dials, number); wanted && len(f.dials) == 0 {
					f.failed(err)
				}
			})
			return
		}
		l := newLink(c, conn)
		l.ownBound = true
		c.do(func() {
			_ = conn.AddCloseCallback(func(netpoll.Connection) error {
				c.do(func() { f.closed(l) })
				reading.closes(l)
				return nil
			})
			var seen http1.Progress
			reading.begin(l, func() { f.onData(l, &seen) })
			if f.dials[number] == nil {
				c.closeSoon(conn)
				return
			}
			f.giveUpDials()
			f.link = l
			if f.following {
				f.ask()
			}
		})
		if !conn.IsActive() {
			_ = conn.Close()
		}
	})
}

// move follows discovery at another address from the last number held. What the old one would still say, on its
// connection or on a dial under way, is not heard any more.
func (f *discovery) move(address string) {
	if address == f.address {
		return
	}
	f.address, f.waits, f.failures = address, false, 0
	f.call++
	f.giveUpDials()
	f.forgetLate()
	if f.link != nil {
		f.c.closeSoon(f.link.conn)
		f.link = nil
	}
	if f.following {
		f.ask()
	}
}

func (f *discovery) closed(l *link) {
	l.closed()
	f.late = slices.DeleteFunc(f.late, func(o *link) bool { return o == l })
	if f.link != l {
		return
	}
	// A body without a length ends with its connection.
	_, body, size, _, err := http1.Next(l.rest, true, f.longest(), &http1.Progress{})
	if f.link = nil; f.waits && size > 0 && err == nil {
		f.waits = false
		f.heard(f.parse(body))
	} else if f.waits {
		f.failed(errors.New("connection closed"))
	}
}

// failed guards against discovery that is away or broken: it is tried again after a pause that grows and is drawn
// (decide/spread), so that controllers that lost it together do not come back together.
func (f *discovery) failed(err error) {
	c := f.c
	c.counts[discoveryFailures]++
	if f.failures == 0 { // once, not at each try
		c.note(slog.LevelWarn, "discovery lost", "why", err)
	}
	f.waits = false
	if f.link != nil {
		c.closeSoon(f.link.conn)
		f.link = nil
	}
	f.failures++
	if c.cfg.Settings.Logic.ListOnRequest {
		f.following = false
		c.logic.ListBegins(c.now, logic.ListRefused)
		c.logic.ListEnds(c.now)
		return
	}
	c.at(c.now+c.apart.Again(f.failures, f.pace.Pause), func() {
		if f.following && !f.waits && f.link == nil {
			f.ask()
		}
	})
}

func (f *discovery) onData(l *link, seen *http1.Progress) {
	c := f.c
	err := l.read(func(data []byte) (func(), int, error) {
		status, body, size, last, err := http1.Next(data, false, f.longest(), seen)
		if err != nil || size == 0 {
			return nil, 0, err
		}
		var events listing.Events
		var faulty error
		if status == 200 { // a long list is read before the lock is taken
			events, faulty = f.parse(body)
		}
		return func() { f.answered(l, status, last, events, faulty) }, size, nil
	})
	if err != nil {
		c.do(func() {
			if f.link == l {
				f.failed(err)
			} else {
				c.closeSoon(l.conn)
			}
		})
	}
}

// answered takes the answer to a call, the last on its connection or not.
func (f *discovery) answered(l *link, status int, last bool, events listing.Events, faulty error) {
	if slices.Contains(f.late, l) {
		f.heardLate(l, status, events, faulty)
		return
	}
	if f.link != l || !f.waits {
		return
	}
	f.waits = false
	if last {
		f.c.closeSoon(l.conn)
		f.link = nil
	}
	if status != 200 {
		f.failed(fmt.Errorf("status %d", status))
		return
	}
	f.heard(events, faulty)
}

// heardLate takes what a late answer tells that the newer call has not told yet, which goes on.
func (f *discovery) heardLate(l *link, status int, events listing.Events, faulty error) {
	f.late = slices.DeleteFunc(f.late, func(o *link) bool { return o == l })
	f.c.closeSoon(l.conn)
	before := f.last
	if status == 200 && faulty == nil {
		f.tell(events, whole)
		f.last = max(f.last, before)
	}
}

func whole(yes bool) logic.ListKind {
	if yes {
		return logic.ListWhole
	}
	return logic.ListChanges
}

// heard takes an answer and asks on.
func (f *discovery) heard(events listing.Events, faulty error) {
	c, before := f.c, f.last
	f.forgetLate()
	if faulty != nil {
		f.failed(faulty)
		return
	}
	f.tell(events, whole)
	switch {
	case f.last < before: // numbers that can't be right: not at once again
		f.failed(errors.New("events are missing"))
	case f.following:
		if f.failures > 0 {
			c.note(slog.LevelInfo, "discovery answers again")
		}
		f.failures = 0
		f.askPaced()
	}
}
