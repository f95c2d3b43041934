package controller

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/statement"
	"yarrowbarrow/logic"
)

// client is a connection from a client.
type client struct {
	*link
	jobs   map[uint32]*job // open, by stream
	idle   time.Duration   // since when none is open
	gone   bool
	faulty bool // read no further
}

type clientKey struct{}

// mostClients is half the descriptors: clients keep to a third by themselves, and past half ours would be short.
func (c *Controller) mostClients() int { return c.cfg.Sockets / 2 }

// accept makes the object of a new connection; netpoll calls it before any data is read.
func (c *Controller) accept(conn netpoll.Connection) context.Context {
	k := &client{jobs: map[uint32]*job{}}
	c.do(func() {
		if len(c.clients) >= c.mostClients() {
			c.counts[clientsRefused]++
			return
		}
		c.counts[clientsAccepted]++
		k.link, k.idle = newLink(c, conn), c.now
		c.clients[k] = true
		if c.phase == Draining {
			k.sendEmpty(frame.NoMore, 0)
		}
	})
	if k.link == nil {
		_ = conn.Close()
		return context.Background()
	}
	_ = conn.AddCloseCallback(func(netpoll.Connection) error {
		c.do(func() { c.clientClosed(k) })
		return nil
	})
	return context.WithValue(context.Background(), clientKey{}, k)
}

func (c *Controller) clientClosed(k *client) {
	k.link.closed()
	k.gone = true
	delete(c.clients, k)
	for _, stream := range sorted(k.jobs) {
		if j := k.jobs[stream]; j != nil {
			c.clientGone(j)
		}
	}
}

func onClientData(ctx context.Context, conn netpoll.Connection) error {
	k, _ := ctx.Value(clientKey{}).(*client)
	if k == nil {
		return conn.Close()
	}
	c := k.c
	if k.faulty { // closes as soon as it has been told
		_ = conn.Reader().Skip(conn.Reader().Len())
		return conn.Reader().Release()
	}
	var calls []func()
	err := k.read(func(data []byte) (int, error) {
		kind, stream, payload, size, err := frame.Next(data)
		if err != nil || size == 0 {
			return 0, err
		}
		switch kind {
		case frame.Job:
			calls = append(calls, c.jobComes(k, stream, payload))
		case frame.Gone:
			calls = append(calls, func() {
				if j := k.jobs[stream]; j != nil {
					k.idle = c.now
					c.clientGone(j)
				}
			})
		case frame.Ready:
			calls = append(calls, func() {
				code := byte(1)
				if c.phase != Ready {
					code = 2
				}
				k.send(frame.IsReady, stream, code, "", "")
			})
		default:
			return 0, errKind
		}
		return size, nil
	}, func() { c.all(calls) })
	if err != nil {
		c.do(func() { c.misread(k, err) })
	}
	return nil
}

var (
	errKind   = errors.New("unknown type of frame")
	errStream = errors.New("stream in use")
)

// misread tells a client that its bytes make no sense, and ends the connection, as what follows can't be read.
func (c *Controller) misread(k *client, err error) {
	c.counts[clientsMisread]++
	c.note(slog.LevelWarn, "client misread", "why", err)
	k.faulty = true
	k.send(frame.Answer, 0, frame.CancelledFor, "error", err.Error())
	k.end()
}

// jobComes reads a job in place and gives the call that takes it.
func (c *Controller) jobComes(k *client, stream uint32, payload []byte) func() {
	var name, id, once, wait, cost, memory []byte
	body, err := frame.Fields(payload, func(field, value []byte) {
		switch string(field) {
		case "class":
			name = value
		case "id":
			id = value
		case "wait":
			wait = value
		case "once":
			once = value
		case "cost":
			cost = value
		case "memory":
			memory = value
		}
	})
	waitMS, waitErr := strconv.ParseUint(string(wait), 10, 32)
	costMS, costOK := number(cost)
	needMB, memoryOK := number(memory)
	switch {
	case err != nil:
	case !c.knows(logic.TypeName(name)):
		err = errors.New("class: not known")
	case !isID(id):
		err = errors.New("id: 16 hex digits are wanted")
	case waitErr != nil:
		err = errors.New("wait: milliseconds are wanted")
	case !isWord(once):
		err = errors.New("once: letters and digits are wanted")
	case !costOK:
		err = errors.New("cost: a number is wanted")
	case !memoryOK:
		err = errors.New("memory: a number is wanted")
	}
	if err != nil {
		return func() {
			c.counts[jobsMisread]++
			if !k.usable(stream) {
				c.misread(k, errStream)
				return
			}
			k.send(frame.Answer, stream, frame.CancelledFor, "error", err.Error())
		}
	}
	j := &job{id: logic.JobID(id), client: k, stream: stream, name: logic.TypeName(name), once: string(once),
		statement: append([]byte(nil), body...), priority: 1}
	tables := statement.Group(string(j.statement))
	return func() {
		switch {
		case k.gone || k.faulty:
			return
		case !k.usable(stream):
			c.misread(k, errStream)
			return
		case c.jobs[j.id] != nil:
			c.counts[jobsMisread]++
			k.send(frame.Answer, stream, frame.CancelledFor, "error", "id: in use")
			return
		}
		c.counts[jobsTaken]++
		k.jobs[stream] = j
		// Guards the machine: it must not die of what it holds. The job never ran, so a retry does no harm.
		if most := c.cfg.Settings.OpenCap; c.full(len(j.statement)) || most > 0 && len(c.jobs) >= most ||
			len(k.jobs) > streamsPerClient {
			c.counts[jobsOverLimit]++
			c.throttle(j, c.cfg.Settings.Logic.MaxComeBack)
			return
		}
		j.expires = c.now + time.Duration(waitMS)*time.Millisecond - onTheWay
		c.jobs[j.id] = j
		c.bytes += int64(len(j.statement))
		c.logic.JobTaken(c.now, j.id, j.name, "", "", j.expires, time.Duration(costMS*float64(time.Millisecond)),
			needMB, logic.Tables(max(tables, 0)), false)
	}
}

// onTheWay comes off a client's wait, which counts from when it sent the job and until it has the answer: time
// for both ways and for a busy machine. Job timeouts are hundreds of times as long.
const onTheWay = 25 * time.Millisecond

// streamsPerClient is the protocol's, with as much again for jobs that end while others come.
const streamsPerClient = 64

// full tells that a quarter of the memory is held by statements and pages; buffers and garbage need the rest.
func (c *Controller) full(more int) bool { return c.bytes+int64(more) > c.cfg.MemoryMB<<20/4 }

func (k *client) usable(stream uint32) bool { return stream > 0 && k.jobs[stream] == nil }

func (c *Controller) knows(name logic.TypeName) bool {
	for _, t := range c.cfg.Settings.Logic.Types {
		if t.Name == name {
			return true
		}
	}
	return false
}

// number reads an estimate; none is 0.
func number(text []byte) (float64, bool) {
	if len(text) == 0 {
		return 0, true
	}
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n >= 0 && n <= math.MaxInt32
}

func isID(id []byte) bool {
	for _, ch := range id {
		if !(ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'f' || ch >= 'A' && ch <= 'F') {
			return false
		}
	}
	return len(id) == 16
}

// isWord guards the engines' lists of fields, in which an idempotency key goes on: it must not end one.
func isWord(text []byte) bool {
	for _, ch := range text {
		if ch <= ' ' || ch == ',' || ch == '=' || ch == 0x7f {
			return false
		}
	}
	return len(text) <= 256
}

// send queues a frame with a code, at most one field and a body in parts.
func (k *client) send(kind byte, stream uint32, code byte, field, value string, body ...[]byte) {
	size := 2
	if field != "" {
		size += 3 + len(field) + len(value)
	}
	for _, part := range body {
		size += len(part)
	}
	head := make([]byte, 0, frame.HeadSize+64)
	head = append(frame.AppendHead(head, kind, stream, size), code, 0)
	if field != "" {
		head[len(head)-1] = 1
		head = frame.AppendField(head, field, value)
	}
	k.out(head, body...)
}

func (k *client) sendEmpty(kind byte, stream uint32) { k.out(frame.AppendHead(nil, kind, stream, 0)) }

// out guards against a client that sends jobs and does not read: past a bound its connection is closed. 32 of
// the largest results are 1.5 MB.
func (k *client) out(head []byte, body ...[]byte) {
	if k.gone {
		return
	}
	k.add(append([][]byte{head}, body...)...)
	if k.backlog() > 4<<20 {
		k.gone = true
		k.c.counts[clientsTooSlow]++
		k.c.closeSoon(k.conn)
	}
}

// closeSoon closes a connection without the lock, as the callbacks that follow take it.
func (c *Controller) closeSoon(conn netpoll.Connection) { go conn.Close() }

// clientIdle is far above the seconds after which clients close by themselves.
const clientIdle = time.Minute

func (c *Controller) sweepClients() {
	for k := range c.clients {
		if len(k.jobs) == 0 && !k.gone && c.now-k.idle > clientIdle {
			c.counts[clientsIdle]++
			k.end()
		}
	}
}

// drain begins the way to the exit: clients are told to send nothing new here, and what still comes is served.
func (c *Controller) drain() {
	if c.phase != Ready {
		return
	}
	c.enter(Draining)
	for k := range c.clients {
		k.sendEmpty(frame.NoMore, 0)
	}
	// The platform lets connections and jobs come for 0.6 s after the signal, and kills no sooner than 0.7 s and
	// the longest job timeout, 3 s at most, after it. A tenth of a second is left for the last bytes to leave.
	longest := time.Duration(0)
	for _, t := range c.cfg.Settings.Logic.Types {
		longest = max(longest, t.JobTimeout)
	}
	first := c.now + 700*time.Millisecond
	c.at(first, func() { c.leave(first + min(longest, 3*time.Second) - 200*time.Millisecond) })
}

// leave ends the process once nothing is owed, or answers what is left when the time is over.
func (c *Controller) leave(last time.Duration) {
	if c.now >= last {
		for _, id := range sorted(c.jobs) {
			if j := c.jobs[id]; j != nil && j.client != nil {
				c.counts[cutByExit]++
				c.cancelForGood(j)
				c.logic.ClientGone(c.now, j.id)
			}
		}
	}
	owed := 0
	for k := range c.clients {
		owed += len(k.jobs) + k.backlog()
	}
	if owed == 0 || c.now >= last+100*time.Millisecond {
		c.fail(nil)
		return
	}
	c.at(c.now+10*time.Millisecond, func() { c.leave(last) })
}
