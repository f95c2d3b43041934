package controller

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/logic"
)

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
