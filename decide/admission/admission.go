// Package admission implements admission control for client connections: whether a new connection is accepted, which connection
// is asked to leave, and when one may be closed. It does no I/O and reads no clock.
//
// It guarantees: a connection is closed only while its host sees nothing unread, unsent or unanswered on it, or if its client
// does not complete a message; an idle connection is closed only some time after the request to leave was sent to it, unless its
// place is needed for a new connection; no connection is closed before its client had time to send something; there are never
// more connections than places; a new connection is refused only if none of the open ones can be closed.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// ConnID identifies a connection; ids ascend in the order in which connections arrive.
type ConnID int64

// State is the current state of a connection as its host sees it.
type State struct {
	Jobs          int           // jobs open on the connection
	Unsent        bool          // bytes are queued that have not been sent
	IncompleteFor time.Duration // time since the start of a message that is not complete, 0 without one
}

func (s State) isIdle() bool { return s.Jobs == 0 && !s.Unsent && s.IncompleteFor == 0 }

// Host carries out the decisions of a Control.
type Host interface {
	State(ConnID) State
	Unread(ConnID) bool       // reports whether received bytes were not read yet; it asks the kernel, so it is called only before a close
	AskToLeave(ConnID)        // asks the client to send no new job on the connection; the host calls LeaveRequestSent once this has been sent
	End(ConnID, CloseReason)  // closes the connection at once; the Control forgets it with the call
	IncompleteMessage(ConnID) // tells the client that its message was not completed; the host calls Closed afterwards
}

// CloseReason is the reason for which a connection was closed.
type CloseReason int

const (
	Idle CloseReason = iota
	ForNewClient
)

func (w CloseReason) String() string { return [...]string{"idle", "for a newcomer"}[w] }

// Silent limits how long a connection may stay without a first message, or with an incomplete one; a client that has a request
// sends it within one or two round trips. idleTimeout applies after the first message and is longer than the 4 s after which
// clients close connections themselves. frontIdleTimeout applies to the front's connections, on which it asks whether the
// controller is ready. The times are those of the protocol, each with a margin for a slow machine.
const (
	FirstMessageTimeout = 2 * time.Second
	idleTimeout         = 6 * time.Second
	frontIdleTimeout    = time.Minute
)

// linger is the time from sending the request to leave until the close. It spans many round trips, so that a job which a client
// sent before it received the request is read and answered here. The protocol lets a client send a job again only once.
const linger = 100 * time.Millisecond

// firstMessageGrace is how long a connection without a message is not closed in favor of another one: its first job arrives a
// round trip after the connection, or later on a machine that is busy with hundreds of new connections.
const firstMessageGrace = 250 * time.Millisecond

// spareDivisor sets how many places are kept free: once fewer than one in spareDivisor are free, each new connection has the
// idlest one asked to leave. In the operators' scenario of a long day, about seven connections a second arrive for 128 places and
// never close by themselves; an eighth of the places, 16, holds eight times what arrives in the quarter of a second that the
// request and linger take.
const spareDivisor = 8

// conn is the record of an open connection.
type conn struct {
	id           ConnID
	lastActive   time.Duration // time of the last message, of the last answer, or of the connection's arrival
	hasMessage   bool          // a complete message has arrived
	front        bool          // the client asked whether the controller is ready
	askedToLeave bool          // the client was asked to leave
	askedAt      time.Duration // when the request to leave was sent, or 0
	seenIdle     bool          // the last sweep after that found nothing open, unread or unsent
}

// Control holds the connections of one controller.
type Control struct {
	host     Host
	maxConns int
	conns    []*conn // ascending by id, so that no order depends on a map
}

// New returns a Control with the given number of places, at least 1.
func New(host Host, maxConns int) *Control { return &Control{host: host, maxConns: max(maxConns, 1)} }

// MaxConns returns the maximum number of connections.
func (c *Control) MaxConns() int { return c.maxConns }

// Open returns the number of open connections.
func (c *Control) Open() int { return len(c.conns) }

func (c *Control) find(id ConnID) (index int, found bool) {
	return slices.BinarySearchFunc(c.conns, id, func(client *conn, id ConnID) int { return cmp.Compare(client.id, id) })
}

func (c *Control) lookup(id ConnID) *conn {
	if index, found := c.find(id); found {
		return c.conns[index]
	}
	return nil
}

// Connected handles a new connection and reports whether it is accepted. It may close another one to make room.
func (c *Control) Connected(now time.Duration, id ConnID) bool {
	if len(c.conns) >= c.maxConns && !c.makeRoom(now) {
		return false
	}
	if index, found := c.find(id); !found {
		c.conns = slices.Insert(c.conns, index, &conn{id: id, lastActive: now})
	}
	if len(c.conns) > c.maxConns-max(c.maxConns/spareDivisor, 1) {
		if client := c.idlest(now, func(client *conn) bool { return !client.askedToLeave }); client != nil {
			c.ask(client)
		}
	}
	return true
}

// makeRoom closes a connection for a new one and reports whether it could, so that clients that never close their connections, or
// connect and send nothing, can't keep others out. It prefers the idlest connection that was sent the request to leave, and
// otherwise takes the one whose idle time would end next.
func (c *Control) makeRoom(now time.Duration) bool {
	client := c.idlest(now, func(client *conn) bool { return client.askedAt > 0 })
	if client == nil {
		client = c.idlest(now, func(*conn) bool { return true })
	}
	if client == nil {
		return false
	}
	c.end(client, ForNewClient)
	return true
}

// idlest returns the connection whose idle time ends first, among those that match and have nothing open, unread or unsent,
// or nil if there is none.
func (c *Control) idlest(now time.Duration, match func(*conn) bool) *conn {
	var candidates []*conn
	for _, client := range c.conns {
		if match(client) && (client.hasMessage || now >= client.lastActive+firstMessageGrace) {
			candidates = append(candidates, client)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *conn) int { return cmp.Compare(a.idleDeadline(), b.idleDeadline()) })
	if index := slices.IndexFunc(candidates, func(client *conn) bool { return c.isIdle(client) }); index >= 0 {
		return candidates[index]
	}
	return nil
}

func (c *Control) isIdle(client *conn) bool {
	return c.host.State(client.id).isIdle() && !c.host.Unread(client.id)
}

// idleDeadline returns the time at which the idle time of a connection ends that has nothing open.
func (client *conn) idleDeadline() time.Duration {
	switch {
	case client.front:
		return client.lastActive + frontIdleTimeout
	case client.hasMessage:
		return client.lastActive + idleTimeout
	}
	return client.lastActive + FirstMessageTimeout
}

func (c *Control) ask(client *conn) {
	client.askedToLeave, client.seenIdle = true, false
	c.host.AskToLeave(client.id)
}

func (c *Control) end(client *conn, why CloseReason) {
	c.host.End(client.id, why)
	c.Closed(client.id)
}

// MessageReceived records that a complete message was received.
func (c *Control) MessageReceived(now time.Duration, id ConnID) {
	if client := c.lookup(id); client != nil {
		client.lastActive, client.hasMessage, client.seenIdle = now, true, false
	}
}

// Front records a message that asks whether the controller is ready. Such a connection may stay idle longer.
func (c *Control) Front(now time.Duration, id ConnID) {
	if c.MessageReceived(now, id); c.lookup(id) != nil {
		c.lookup(id).front = true
	}
}

// Answered records that an answer was queued on the connection.
func (c *Control) Answered(now time.Duration, id ConnID) {
	if client := c.lookup(id); client != nil {
		client.lastActive, client.seenIdle = now, false
	}
}

// LeaveRequestSent records that the request to leave was sent.
func (c *Control) LeaveRequestSent(now time.Duration, id ConnID) {
	if client := c.lookup(id); client != nil {
		client.askedToLeave, client.askedAt = true, now
	}
}

// Closed forgets a connection that is closed.
func (c *Control) Closed(id ConnID) {
	if index, found := c.find(id); found {
		c.conns = slices.Delete(c.conns, index, index+1)
	}
}

// Sweep checks all connections: it reports incomplete messages, asks idle connections to leave, and closes those that were asked.
// The host calls it several times within each of the times above. A connection is closed only if two sweeps in a row find
// nothing on it, as bytes may be on their way from the kernel to the reader during the first.
func (c *Control) Sweep(now time.Duration) {
	for _, client := range slices.Clone(c.conns) {
		state := c.host.State(client.id)
		switch {
		case state.IncompleteFor > FirstMessageTimeout:
			if !c.host.Unread(client.id) { // otherwise the rest has arrived, and was not read as the process was paused
				c.host.IncompleteMessage(client.id)
			}
		case !state.isIdle():
			client.seenIdle = false
		case !client.askedToLeave:
			if now > client.idleDeadline() && !c.host.Unread(client.id) {
				c.ask(client)
			}
		case client.askedAt > 0 && now >= client.askedAt+linger:
			wasIdle := client.seenIdle
			if client.seenIdle = !c.host.Unread(client.id); wasIdle && client.seenIdle {
				c.end(client, Idle)
			}
		}
	}
}
