// Package admission decides about connections from clients: whether a newcomer is let in, which one is asked to leave, and
// when one may be ended. It does no I/O and asks no clock.
//
// Its promises: a connection is ended only while its host sees nothing unread, unsent or unanswered on it, or it never
// ends what it began to say; one that is ended for its quiet was asked to leave before, and that word had left for a
// time, unless places ran out at once; none is sent away before it had time to speak; there are never more connections
// than places; a newcomer is turned away only when none of those inside could be ended.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// ConnID numbers connections in the order they came.
type ConnID int64

// State is what a host sees of a connection now.
type State struct {
	Jobs   int           // open on it
	Unsent bool          // bytes that are to leave, and have not
	Half   time.Duration // for how long a message has been coming, or 0
}

func (s State) clear() bool { return s.Jobs == 0 && !s.Unsent && s.Half == 0 }

// Host carries out what admission decides.
type Host interface {
	State(ConnID) State
	Unread(ConnID) bool // bytes that came were not taken in yet: a look into the kernel, so only before an end
	AskToLeave(ConnID)  // no new job is wanted on it; Told follows once the word has left
	End(ConnID, Why)    // at once: it is forgotten here with the call
	Misread(ConnID)     // it began a message and does not end it: it is told, and Went follows
}

// Why a connection was ended.
type Why int

const (
	Idle Why = iota
	ForNewcomer
)

func (w Why) String() string { return [...]string{"idle", "for a newcomer"}[w] }

// Silent guards against connections that say nothing, or begin a message and do not end it; a client that has
// something to ask sends it in a trip or two. idle is above the 4 s after which clients close by themselves, and front
// for the connections on which the front asks. Times are those of the protocol, each with room for a slow machine.
const (
	Silent = 2 * time.Second
	idle   = 6 * time.Second
	front  = time.Minute
)

// linger is from when the word to leave has left to the end: many trips, so that a client that sent before it heard
// has its job read and answered here. The protocol lets a client send again only once.
const linger = 100 * time.Millisecond

// fresh is how long a connection that has said nothing is not sent away for others: its first job is on the way, a trip
// behind it, or longer on a machine that is busy with hundreds of newcomers.
const fresh = 250 * time.Millisecond

// spare is the part of the places from which on newcomers have the quietest asked to leave. On the operators' long day
// some seven a second come to 128 places to stay for good; an eighth, 16, takes in eight times what comes in the
// quarter of a second that asking and lingering take.
const spare = 8

// conn is what admission knows of a connection.
type conn struct {
	id     ConnID
	active time.Duration // when it came, and when a message last came or an answer went
	spoke  bool          // a whole message has come
	front  bool          // asked whether the controller is ready
	asked  bool          // to leave
	told   time.Duration // when that word had left, or 0
	clear  bool          // nothing was on it at the last look since
}

// Control is the state for one controller.
type Control struct {
	host  Host
	most  int
	conns []*conn // by id, so that no order depends on a map
}

// New makes the control of so many places.
func New(host Host, most int) *Control { return &Control{host: host, most: max(most, 1)} }

// Most is the number of places.
func (d *Control) Most() int { return d.most }

// Open is the number of connections inside.
func (d *Control) Open() int { return len(d.conns) }

func (d *Control) find(id ConnID) (at int, known bool) {
	return slices.BinarySearchFunc(d.conns, id, func(k *conn, id ConnID) int { return cmp.Compare(k.id, id) })
}

func (d *Control) get(id ConnID) *conn {
	if at, known := d.find(id); known {
		return d.conns[at]
	}
	return nil
}

// Came tells of a new connection and gives whether it is let in.
func (d *Control) Came(now time.Duration, id ConnID) bool {
	if len(d.conns) >= d.most && !d.makeRoom(now) {
		return false
	}
	if at, known := d.find(id); !known {
		d.conns = slices.Insert(d.conns, at, &conn{id: id, active: now})
	}
	if len(d.conns) > d.most-max(d.most/spare, 1) {
		if k := d.quietest(now, func(k *conn) bool { return !k.asked }); k != nil {
			d.ask(k)
		}
	}
	return true
}

// makeRoom guards newcomers against clients that keep their connections for good, or connect and say nothing. One that
// has been asked to leave goes first; else that which would be ended next for its quiet.
func (d *Control) makeRoom(now time.Duration) bool {
	k := d.quietest(now, func(k *conn) bool { return k.told > 0 })
	if k == nil {
		k = d.quietest(now, func(*conn) bool { return true })
	}
	if k == nil {
		return false
	}
	d.end(k, ForNewcomer)
	return true
}

// quietest is the first to go for its quiet among those on which nothing is open, unread or unsent.
func (d *Control) quietest(now time.Duration, of func(*conn) bool) *conn {
	var from []*conn
	for _, k := range d.conns {
		if of(k) && (k.spoke || now >= k.active+fresh) {
			from = append(from, k)
		}
	}
	slices.SortStableFunc(from, func(a, b *conn) int { return cmp.Compare(a.quietUntil(), b.quietUntil()) })
	if at := slices.IndexFunc(from, func(k *conn) bool { return d.clear(k) }); at >= 0 {
		return from[at]
	}
	return nil
}

func (d *Control) clear(k *conn) bool { return d.host.State(k.id).clear() && !d.host.Unread(k.id) }

// quietUntil is how long a connection on which nothing is open may say nothing.
func (k *conn) quietUntil() time.Duration {
	switch {
	case k.front:
		return k.active + front
	case k.spoke:
		return k.active + idle
	}
	return k.active + Silent
}

func (d *Control) ask(k *conn) {
	k.asked, k.clear = true, false
	d.host.AskToLeave(k.id)
}

func (d *Control) end(k *conn, why Why) {
	d.host.End(k.id, why)
	d.Went(k.id)
}

// Heard tells of a whole message.
func (d *Control) Heard(now time.Duration, id ConnID) {
	if k := d.get(id); k != nil {
		k.active, k.spoke, k.clear = now, true, false
	}
}

// Front tells that the connection asked whether the controller is ready.
func (d *Control) Front(now time.Duration, id ConnID) {
	if d.Heard(now, id); d.get(id) != nil {
		d.get(id).front = true
	}
}

// Answered tells of an answer that was queued.
func (d *Control) Answered(now time.Duration, id ConnID) {
	if k := d.get(id); k != nil {
		k.active, k.clear = now, false
	}
}

// Told tells that the word to leave has left.
func (d *Control) Told(now time.Duration, id ConnID) {
	if k := d.get(id); k != nil {
		k.asked, k.told = true, now
	}
}

// Went tells that a connection is no more.
func (d *Control) Went(id ConnID) {
	if at, known := d.find(id); known {
		d.conns = slices.Delete(d.conns, at, at+1)
	}
}

// Sweep looks at all connections; it is due several times in each of the times above. Two looks in a row must find
// nothing on a connection that is ended: the first guards against the moment between the kernel and the reader.
func (d *Control) Sweep(now time.Duration) {
	for _, k := range slices.Clone(d.conns) {
		s := d.host.State(k.id)
		switch {
		case s.Half > Silent:
			if !d.host.Unread(k.id) { // or the rest is here, and was not read in a standstill
				d.host.Misread(k.id)
			}
		case !s.clear():
			k.clear = false
		case !k.asked:
			if now > k.quietUntil() && !d.host.Unread(k.id) {
				d.ask(k)
			}
		case k.told > 0 && now >= k.told+linger:
			was := k.clear
			if k.clear = !d.host.Unread(k.id); was && k.clear {
				d.end(k, Idle)
			}
		}
	}
}
