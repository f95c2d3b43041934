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

// maxLinks leaves a sixteenth of the descriptors, and at least 24, to the listener, the connections and dials to
// discovery, the pollers and the standard streams, 16 in all, and to clients that linger or are turned away. Where memory
// is scarcer than descriptors, that is the bound.
func (c *Controller) maxLinks() int {
	return min(c.cfg.MaxDescriptors-maxClients(c.cfg)-max(c.cfg.MaxDescriptors/16, 24), c.maxLinkBytes()/connectionBytes)
}

// dial opens a connection on a goroutine of its own. It gives up after the time in the settings, or when the engine loses
// its address.
func (c *Controller) dial(e *engine) {
	address, err := netip.ParseAddrPort(e.address)
	if err != nil {
		c.failWaiting(e, logic.NoConnection)
		return
	}
	if c.linkCount >= c.maxLinks() {
		c.waitForDescriptor(e)
		return
	}
	c.linkCount++
	c.counts[dialsStarted]++
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Settings.ConnectTimeout)
	number, connect := c.counts[dialsStarted], c.sys.connect
	e.dials[number] = cancel
	c.spawn(func() {
		conn, err := connect(ctx, address)
		cancel()
		if err != nil {
			c.withLock(func() { c.dialFinished(e, number, nil, err) })
			return
		}
		l := &engineLink{link: newLink(c, conn), engine: e, attempts: map[logic.JobID]*attempt{}}
		c.withLock(func() {
			_ = conn.AddCloseCallback(func(netpoll.Connection) error {
				c.withLock(func() { c.engineLinkClosed(l) })
				runner.linkClosing(l.link)
				return nil
			})
			runner.register(l.link, l.onData)
			c.dialFinished(e, number, l, nil)
		})
		if !conn.IsActive() { // closed before the close callback was set
			_ = conn.Close()
		}
	})
}

// dialFinished handles the end of a dial, successful or not.
func (c *Controller) dialFinished(e *engine, number int64, l *engineLink, err error) {
	wanted := e.dials[number] != nil
	delete(e.dials, number)
	if err == nil && !wanted { // the engine lost its address meanwhile, which may belong to another engine now
		l.retired = true
		l.closeWhenFlushed()
	}
	if err != nil {
		outOfDescriptors := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if c.linkReleased(); outOfDescriptors && c.longestIdleLink() != nil {
			c.waitForDescriptor(e)
		} else if isLocalError(err) && e.dialRetries < maxDialRetries {
			c.retryDial(e, err)
		} else if outOfDescriptors || isLocalError(err) {
			c.counts[linksOverLimit]++
			e.dialRetries = 0
			c.failWaiting(e, logic.NotSent)
		} else {
			c.counts[dialsFailed]++
			c.failWaiting(e, logic.NoConnection)
		}
		return
	}
	c.markActive(e)
	e.dialRetries = 0
	e.links = append(e.links, l)
	l.lastUsed, l.lastHeard = c.now, c.now
	c.placeWaiting(e)
}

// isLocalError reports whether an error of socket(2) or connect(2) is about this system and says nothing about the
// engine.
func isLocalError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// An engine is dialed again after a pause that doubles from 5 to 160 ms, at most maxDialRetries times in a row. Then the
// attempts that wait for it are reported as not sent and may go to another engine.
const (
	minDialPause   = 5 * time.Millisecond
	maxDialRetries = 6
)

// retryDial schedules another dial after one that failed for lack of a local resource.
func (c *Controller) retryDial(e *engine, err error) {
	pause := minDialPause << e.dialRetries
	e.dialRetries++
	c.counts[dialsRetried]++
	c.trace("dial again", reason(err.Error()), "engine", e.id, "pause", pause)
	c.schedule(c.now+pause, func() { c.placeWaiting(e) })
}

// waitForDescriptor handles a job that finds all descriptors in use by connections to other engines: the attempts for
// this engine keep waiting, within their time, and the connection that has been idle for longest is closed for them.
func (c *Controller) waitForDescriptor(e *engine) {
	if slices.Contains(c.descriptorQueue, e) {
		return
	}
	c.counts[linksOverLimit]++
	c.descriptorQueue = append(c.descriptorQueue, e)
	c.freeDescriptors()
}

// freeDescriptors closes as many idle connections as there are engines waiting for a descriptor. Where none is idle yet,
// the next one that becomes idle is closed.
func (c *Controller) freeDescriptors() {
	for c.closingForRoom < len(c.descriptorQueue) {
		l := c.longestIdleLink()
		if l == nil {
			return
		}
		c.closingForRoom++
		c.trace("engine closed", "descriptor needed for another engine", "engine", l.engine.id)
		l.closingForRoom, l.retired = true, true
		l.closeWhenFlushed()
	}
}

// longestIdleLink returns the engine connection without attempts that was used least recently, or nil.
func (c *Controller) longestIdleLink() (best *engineLink) {
	for _, id := range sorted(c.activeEngines) {
		for _, l := range c.activeEngines[id].links {
			if len(l.attempts) == 0 && !l.failed && !l.closingForRoom && (best == nil || l.lastUsed < best.lastUsed) {
				best = l
			}
		}
	}
	return best
}

// linkReleased records that an engine connection is closed or could not be opened, and lets the engines that wait for a
// descriptor dial, the longest-waiting first.
func (c *Controller) linkReleased() {
	c.linkCount--
	for len(c.descriptorQueue) > 0 && c.linkCount < c.maxLinks() {
		e := c.descriptorQueue[0]
		c.descriptorQueue = c.descriptorQueue[1:]
		c.placeWaiting(e)
	}
}
