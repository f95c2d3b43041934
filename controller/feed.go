package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/internal/http1"
	"yarrowbarrow/internal/listing"
	"yarrowbarrow/logic"
)

// feed follows the control feed: one connection, one call at a time, the next as soon as one is answered. Jobs
// go on with the list that is held while it is away.
type feed struct {
	c         *Controller
	address   string
	link      *link
	last      int64 // number of the newest event held
	call      int64 // of the call that is out, to tell old time-outs apart
	waits     bool  // a call is out
	following bool
	stopDial  context.CancelFunc // of the dial under way, if any
	dial      int64              // its number, to tell given up dials apart
	failures  int                // in a row
}

// longestWait is for the feed to hold a call, at most 5 s by its protocol; a call without an answer by slack later
// has failed. Both together are below the two seconds in which a drain is usually to be acted on, as a connection
// that is dead says nothing. Calls wait for a second in the mean (decide/spread).
const longestWait, callSlack = 4 * time.Second / 3, 500 * time.Millisecond

// remembered tells the module what the configuration knows.
func (f *feed) remembered(known []byte) error {
	return f.tell(known, func(bool) logic.ListKind { return logic.ListRemembered })
}

// start follows the feed from the beginning where changes come by themselves.
func (f *feed) start() {
	if !f.c.cfg.Settings.Logic.ListOnRequest {
		f.follow(true)
	}
}

func (f *feed) follow(on bool) {
	if f.following = on; on && !f.waits {
		f.ask()
	}
}

// anew asks for the whole list.
func (f *feed) anew() {
	f.last = 0
	f.following = true
	f.ask()
}

// tell hands the events of a text to the module. A gap in the numbers has all of them read anew.
func (f *feed) tell(text []byte, kind func(whole bool) logic.ListKind) error {
	c := f.c
	var listed map[logic.EngineID]bool
	last, gap, err := listing.Read(text, f.last, func(whole bool) {
		if listed = nil; whole {
			listed = map[logic.EngineID]bool{}
		}
		c.counts[feedEvents]++
		c.logic.ListBegins(c.now, kind(whole))
	}, func(id logic.EngineID, address string, location logic.Location, kind logic.KindName, cell logic.Cell,
		state logic.Health, weight float64, since time.Duration) {
		if listed != nil {
			listed[id] = true
		}
		c.engineListed(id, address, location, kind, cell, state, weight, since)
		c.routesSee(c.engines[id])
		c.logic.EngineListed(c.now, id, location, kind, cell, state, weight, since)
	}, func() {
		for _, id := range sorted(c.engines) {
			e := c.engines[id]
			if listed != nil && !listed[id] && e.state != logic.Gone {
				e.state = logic.Gone
				c.retract(e)
				c.routesSee(e)
			}
		}
		if c.router != nil {
			c.router.ListEnds(c.now)
		}
		c.logic.ListEnds(c.now)
	})
	f.last = last
	if gap {
		c.counts[feedGaps]++
		f.last = 0
	}
	return err
}

// ask sends the next call, over a new connection when there is none.
func (f *feed) ask() {
	c := f.c
	if f.link == nil {
		f.connect()
		return
	}
	f.waits = true
	f.call++
	call, wait := f.call, c.apart.Poll(longestWait)
	target := "/v1/events?SUB=" + strconv.FormatInt(f.last, 10) + "&wait=" +
		strconv.FormatInt(int64(wait/time.Millisecond), 10)
	f.link.add(http1.AppendGet(nil, f.address, target))
	c.counts[feedCalls]++
	c.at(c.now+wait+callSlack, func() {
		if f.waits && f.call == call {
			f.failed(errors.New("no answer in time"))
		}
	})
}

// connect dials unless a dial is under way. One that was given up meanwhile leads to nothing.
func (f *feed) connect() {
	c := f.c
	address, err := netip.ParseAddrPort(f.address)
	if err != nil || f.stopDial != nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), max(c.cfg.Settings.ConnectTimeout, time.Second))
	f.dial++
	f.stopDial = stop
	number, connect := f.dial, c.connect
	go func() {
		conn, err := connect(ctx, address)
		stop()
		if err != nil {
			c.do(func() {
				if f.dial == number {
					f.stopDial = nil
					f.failed(err)
				}
			})
			return
		}
		l := newLink(c, conn)
		_ = conn.AddCloseCallback(func(netpoll.Connection) error {
			c.do(func() { f.closed(l) })
			return nil
		})
		c.do(func() {
			if f.dial != number {
				c.closeSoon(conn)
				return
			}
			f.stopDial = nil
			f.link = l
			if f.following {
				f.ask()
			}
		})
		_ = conn.SetOnRequest(func(context.Context, netpoll.Connection) error { return f.onData(l) })
		if !conn.IsActive() {
			_ = conn.Close()
		}
	}()
}

// move follows the feed at another address from the last number held. What the old one would still say, on its
// connection or on a dial under way, is not heard any more.
func (f *feed) move(address string) {
	if address == f.address {
		return
	}
	f.address, f.waits, f.failures = address, false, 0
	f.call++
	f.dial++
	if f.stopDial != nil {
		f.stopDial()
		f.stopDial = nil
	}
	if f.link != nil {
		f.c.closeSoon(f.link.conn)
		f.link = nil
	}
	if f.following {
		f.ask()
	}
}

func (f *feed) closed(l *link) {
	l.closed()
	if f.link != l {
		return
	}
	// A body without a length ends with its connection.
	_, body, size, _, err := http1.Next(l.rest, true)
	if f.link = nil; f.waits && size > 0 && err == nil {
		f.waits = false
		f.heard(body)
	} else if f.waits {
		f.failed(errors.New("connection closed"))
	}
}

// failed guards against a feed that is away or broken: it is tried again after a pause that grows and is drawn
// (decide/spread), so that controllers that lost it together do not come back together.
func (f *feed) failed(err error) {
	c := f.c
	c.counts[feedFailures]++
	if f.failures == 0 { // once, not at each try
		c.note(slog.LevelWarn, "feed lost", "why", err)
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
	c.at(c.now+c.apart.Again(f.failures), func() {
		if f.following && !f.waits && f.link == nil {
			f.ask()
		}
	})
}

func (f *feed) onData(l *link) error {
	c := f.c
	var calls []func()
	err := l.read(func(data []byte) (int, error) {
		status, body, size, last, err := http1.Next(data, false)
		if err != nil || size == 0 {
			return 0, err
		}
		calls = append(calls, func() {
			if f.link != l || !f.waits {
				return
			}
			f.waits = false
			if last {
				c.closeSoon(l.conn)
				f.link = nil
			}
			if status != 200 {
				f.failed(fmt.Errorf("status %d", status))
				return
			}
			f.heard(body)
		})
		return size, nil
	}, func() { c.all(calls) })
	if err != nil {
		c.do(func() {
			if f.link == l {
				f.failed(err)
			}
		})
	}
	return nil
}

// heard takes an answer and asks on.
func (f *feed) heard(body []byte) {
	c, before := f.c, f.last
	err := f.tell(body, func(whole bool) logic.ListKind {
		if whole {
			return logic.ListWhole
		}
		return logic.ListChanges
	})
	switch {
	case err != nil:
		f.failed(err)
	case f.last < before: // numbers that can't be right: not at once again
		f.failed(errors.New("events are missing"))
	case f.following:
		if f.failures > 0 {
			c.note(slog.LevelInfo, "feed answers again")
		}
		f.failures = 0
		f.ask()
	}
}
