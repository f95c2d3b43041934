package controller

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/admission"
	"yarrowbarrow/decide/invariant"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/statement"
	"yarrowbarrow/logic"
)

// client is a connection from a client.
type client struct {
	*link
	id     admission.ConnID
	jobs   map[uint32]*job // open, by stream
	last   uint32          // highest stream so far
	gone   bool
	turned bool        // away: it has no place, and is told so
	parts  bool        // its connection ends: a job that crosses that is refused
	faulty atomic.Bool // what comes is passed over
}

// mostClients is half the descriptors: clients keep to a third by themselves, and past half ours would be short.
func mostClients(cfg config.Config) int { return cfg.Sockets / 2 }

// mostLingering connections that are shut and not closed are read on at once, and as many that are turned away are told so;
// those beyond are closed outright. Their descriptors are of those that mostLinks keeps free.
func mostLingering(cfg config.Config) int { return max(cfg.Sockets/64, 4) }

// accept makes the object of a new connection; nil for one that has no place.
func (c *Controller) accept(conn netpoll.Connection) *client {
	k := &client{jobs: map[uint32]*job{}}
	c.connected++
	if k.id = c.connected; c.phase == Stopped || !c.admission.Came(c.now, k.id) {
		c.counts[clientsRefused]++
		if c.refusing >= mostLingering(c.cfg) {
			return nil
		}
		c.turnAway(k, conn)
	} else {
		c.counts[clientsAccepted]++
		k.link = newLink(c, conn)
		c.clients[k.id] = k
	}
	k.shut, k.down = true, func() { k.faulty.Store(true) }
	_ = conn.AddCloseCallback(func(netpoll.Connection) error {
		c.do(func() { c.clientClosed(k) })
		reading.closes(k.link)
		return nil
	})
	if k.turned || c.phase >= Draining {
		k.sendEmpty(frame.NoMore, 0)
	}
	reading.begin(k.link, k.onData)
	return k
}

// turnAway guards a client that found no place against a connection that is reset under its job: it is told that none is
// wanted, and one that it has sent is refused. Only a few are told so at once; the others are closed.
func (c *Controller) turnAway(k *client, conn netpoll.Connection) {
	c.refusing++
	k.turned, k.link = true, newLink(c, conn)
	c.at(c.now+lingers, k.end)
}

func newAdmission(c *Controller) *admission.Control {
	return admission.New(admissionHost{c}, mostClients(c.cfg))
}

// admissionHost carries out what admission decides about clients' connections.
type admissionHost struct{ c *Controller }

func (h admissionHost) State(id admission.ConnID) admission.State {
	k := h.c.clients[id]
	return admission.State{Jobs: len(k.jobs), Unsent: k.backlog() > 0, Half: k.halfSince(h.c.now)}
}

func (h admissionHost) Unread(id admission.ConnID) bool { return h.c.clients[id].unread() }

func (h admissionHost) AskToLeave(id admission.ConnID) {
	c, k := h.c, h.c.clients[id]
	c.counts[clientsAsked]++
	k.sendEmpty(frame.NoMore, 0)
	k.then(func() { c.admission.Told(c.now, id) })
}

func (h admissionHost) End(id admission.ConnID, why admission.Why) {
	if why == admission.ForNewcomer {
		h.c.counts[clientsEvicted]++
		h.c.part(h.c.clients[id], "room for a newcomer")
	} else {
		h.c.counts[clientsIdle]++
		h.c.part(h.c.clients[id], "idle")
	}
}

func (h admissionHost) Misread(id admission.ConnID) { h.c.misread(h.c.clients[id], errHalf) }

// part ends a connection on which nothing is owed. A job that is read before its side is shut is refused; what is read later is
// not taken: its client sends it again.
func (c *Controller) part(k *client, why reason) {
	c.trace("client closed", why, "client", k.id, "jobs", len(k.jobs))
	c.violated(invariant.Close(len(k.jobs), false), "client", k.id, "why", string(why))
	k.parts = true
	c.forgetClient(k)
	k.end()
}

// drop closes a connection at once, with all that is owed on it.
func (c *Controller) drop(k *client) {
	c.trace("client closed", "takes nothing in", "client", k.id, "jobs", len(k.jobs))
	k.gone = true
	c.forgetClient(k)
	k.discard()
	c.closeSoon(k.conn)
}

func (c *Controller) forgetClient(k *client) {
	delete(c.clients, k.id)
	c.admission.Went(k.id)
}

func (c *Controller) clientClosed(k *client) {
	k.link.closed()
	if k.gone = true; k.turned {
		c.refusing--
	}
	c.forgetClient(k)
	c.allGone(k)
}

// allGone ends the jobs of a client that waits for none of them.
func (c *Controller) allGone(k *client) {
	for _, stream := range sorted(k.jobs) {
		if j := k.jobs[stream]; j != nil {
			c.clientGone(j)
		}
	}
}

// onData takes what a client has sent.
func (k *client) onData() {
	c := k.c
	if k.faulty.Load() { // ends as soon as it has been told
		k.deaf.Store(true)
	}
	err := k.read(func(data []byte) (func(), int, error) {
		kind, stream, payload, size, err := frame.Next(data)
		if err != nil || size == 0 {
			return nil, 0, err
		}
		switch kind {
		case frame.Job:
			return c.jobComes(k, stream, payload), size, nil
		case frame.Gone:
			return func() { c.goneComes(k, stream) }, size, nil
		case frame.Ready:
			return func() { c.readyComes(k, stream) }, size, nil
		}
		return nil, 0, errKind
	})
	if err != nil {
		c.do(func() { c.misread(k, err) })
	}
}

// goneComes takes that a client waits for a job no more.
func (c *Controller) goneComes(k *client, stream uint32) {
	k.heard()
	if j := k.jobs[stream]; j != nil {
		c.clientGone(j)
	}
}

// readyComes answers whether jobs are taken.
func (c *Controller) readyComes(k *client, stream uint32) {
	c.admission.Front(c.now, k.id)
	code := byte(1)
	if c.phase != Ready || c.idles {
		code = 2
	}
	k.send(frame.IsReady, stream, code, "", "")
}

var (
	errKind   = errors.New("unknown type of frame")
	errStream = errors.New("stream in use")
	errHalf   = errors.New("half a frame")
)

// misread tells a client that its bytes make no sense, and ends the connection, as what follows can't be read. What
// was taken on it is answered first.
func (c *Controller) misread(k *client, err error) {
	if k.gone || k.faulty.Load() {
		return
	}
	c.counts[clientsMisread]++
	c.note(slog.LevelDebug, "client misread", "client", k.id, "why", err)
	for _, stream := range sorted(k.jobs) {
		if j := k.jobs[stream]; j != nil {
			c.cut(j)
		}
	}
	k.faulty.Store(true)
	k.send(frame.Answer, 0, frame.Failed, "error", err.Error())
	k.end()
}

// cut fails a job whatever it is at.
func (c *Controller) cut(j *job) {
	c.failJob(j)
	c.unwanted(j)
}

// heard keeps a connection from being idle.
func (k *client) heard() { k.c.admission.Heard(k.c.now, k.id) }

// fields of a job, as they came.
type fields struct{ name, id, wait, once, cost, memory, customer, tenant, key, retry []byte }

// read takes the fields that are known, each once; others are for later versions of the protocol.
func (f *fields) read(payload []byte) (body []byte, err error) {
	again := false
	body, err = frame.Fields(payload, func(field, value []byte) {
		var at *[]byte
		switch string(field) {
		case "class":
			at = &f.name
		case "id":
			at = &f.id
		case "wait":
			at = &f.wait
		case "once":
			at = &f.once
		case "cost":
			at = &f.cost
		case "memory":
			at = &f.memory
		case "customer": // for routes alone, where there is no tenant
			at = &f.customer
		case "tenant": // of the settings, whose share the job counts to
			at = &f.tenant
		case "key": // jobs of one key go one at a time, in the order in which they came
			at = &f.key
		case "retry":
			at = &f.retry
		default:
			return
		}
		again = again || *at != nil
		*at = value
	})
	if err == nil && again {
		err = errors.New("a field is there twice")
	}
	return body, err
}

// Estimates and waits of more than a day are no figures of a job.
const mostFigure = 86_400_000

// check tells what is wrong with a job, if anything: an engine closes a connection, under all its jobs, on what it
// can't read.
func (f *fields) check(t *logic.Class, body []byte) error {
	wait, err := strconv.ParseUint(string(f.wait), 10, 32)
	_, costOK := number(f.cost, mostFigure)
	_, memoryOK := number(f.memory, mostFigure)
	switch {
	case t == nil:
		return errors.New("class: not known")
	case !isID(f.id):
		return errors.New("id: 16 hex digits are wanted")
	case err != nil || wait == 0 || wait > mostFigure:
		return errors.New("wait: milliseconds are wanted")
	case len(f.once) == 0 && t.Repeat == logic.Keyed:
		return errors.New("once: a key is wanted")
	case !isWord(f.once):
		return errors.New("once: letters and digits are wanted")
	case len(f.key) > mostName:
		return errors.New("key: too long")
	case len(f.tenant) > mostName:
		return errors.New("tenant: too long")
	case f.cost != nil && (!costOK || len(f.cost) == 0):
		return errors.New("cost: a number is wanted")
	case f.memory != nil && (!memoryOK || len(f.memory) == 0):
		return errors.New("memory: a number is wanted")
	case !utf8.Valid(body):
		return errors.New("statement: no text")
	}
	return nil
}

// jobComes reads a job in place and gives the call that takes it.
func (c *Controller) jobComes(k *client, stream uint32, payload []byte) func() {
	var f fields
	body, err := f.read(payload)
	if err == nil {
		err = f.check(c.classOf(f.name), body)
	}
	if err != nil {
		return func() {
			k.heard()
			c.counts[jobsMisread]++
			if !k.opens(stream) {
				c.misread(k, errStream)
				return
			}
			k.send(frame.Answer, stream, frame.Failed, "error", err.Error())
		}
	}
	waitMS, _ := strconv.ParseUint(string(f.wait), 10, 32)
	costMS, _ := number(f.cost, mostFigure)
	needMB, _ := number(f.memory, mostFigure)
	j := &job{id: logic.JobID(f.id), client: k, stream: stream, name: logic.ClassName(f.name), once: string(f.once),
		statement: append([]byte(nil), body...), priority: 1}
	tables, customer := statement.Group(string(j.statement)), cmp.Or(string(f.tenant), string(f.customer))
	tenant, key, again := logic.CustomerID(f.tenant), logic.Key(f.key), len(f.retry) > 0 && string(f.retry) != "0"
	return func() {
		k.heard()
		switch {
		case k.gone || k.faulty.Load():
			return
		case !k.opens(stream):
			c.misread(k, errStream)
			return
		case c.jobs[j.id] != nil:
			c.counts[jobsMisread]++
			k.send(frame.Answer, stream, frame.Failed, "error", "id: in use")
			return
		}
		c.counts[jobsTaken]++
		c.trace("job", "read", "job", j.id, "class", j.name, "wait_ms", waitMS, "client", k.id)
		if k.turned || k.parts {
			c.counts[jobsOverLimit]++
			k.jobs[stream] = j
			c.reject(j, c.cfg.Settings.Logic.MaxComeBack)
			k.end()
			return
		}
		if c.exit != nil {
			c.exit.JobCame(c.now)
		}
		k.jobs[stream] = j
		// Guards the machine: it must not die of what it holds. The job never ran, so a retry does no harm.
		if most := c.cfg.Settings.OpenCap; c.full(len(j.statement)) || most > 0 && len(c.jobs) >= most ||
			len(k.jobs) > streamsPerClient || c.phase >= Leaving || c.idles {
			c.counts[jobsOverLimit]++
			c.reject(j, c.cfg.Settings.Logic.MaxComeBack)
			return
		}
		j.taken = c.now
		j.expires = c.now + time.Duration(waitMS)*time.Millisecond - onTheWay - c.age()
		if c.exit != nil {
			j.expires = min(j.expires, c.exit.Last())
		}
		c.jobs[j.id] = j
		c.bytes += int64(len(j.statement))
		if !c.admitted(j, customer, costMS, needMB, tables) {
			return
		}
		c.logic.JobTaken(c.now, j.id, j.name, tenant, key, j.expires, time.Duration(costMS*float64(time.Millisecond)),
			needMB, logic.Tables(max(tables, 0)), again, j.place)
	}
}

// onTheWay comes off a client's wait, which counts from when it sent the job and until it has the answer: time
// for both ways and for a busy machine. Deadlines are hundreds of times as long.
const onTheWay = 25 * time.Millisecond

// streamsPerClient is the protocol's.
const streamsPerClient = 32

// full tells that a quarter of the memory is held by statements, pages and what connections keep; garbage and the
// runtime need the rest.
func (c *Controller) full(more int) bool {
	return c.bytes+c.held.Load()+int64(more) > c.cfg.MemoryMB<<20/4
}

// opens tells whether a stream is new on its connection: they count up.
func (k *client) opens(stream uint32) bool {
	if stream <= k.last {
		return false
	}
	k.last = stream
	return true
}

// classOf is the class of a name, if the settings have it.
func (c *Controller) classOf(name []byte) *logic.Class {
	classes := c.cfg.Settings.Logic.Classes
	for n := range classes {
		if string(classes[n].Name) == string(name) {
			return &classes[n]
		}
	}
	return nil
}

// number reads a figure without a sign or an exponent, up to a most; none is 0.
func number(text []byte, most float64) (float64, bool) {
	if len(text) == 0 {
		return 0, true
	}
	for _, ch := range text {
		if (ch < '0' || ch > '9') && ch != '.' {
			return 0, false
		}
	}
	n, err := strconv.ParseFloat(string(text), 64)
	return n, err == nil && n <= most
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
	return len(text) <= mostName
}

// mostName is the longest name or key in bytes: several times those that operators give, as it is kept with its job.
const mostName = 256

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

// out guards against clients that send jobs and do not read: past a bound their connections are closed. 32 of the largest results are
// 1.5 MB; the bound is 2 MB on the smallest machines. Where all connections together hold a quarter of the memory, it is an even
// share of that quarter.
func (k *client) out(head []byte, body ...[]byte) {
	if k.gone {
		return
	}
	c := k.c
	k.add(append([][]byte{head}, body...)...)
	most, all := c.cfg.MemoryMB<<20/16, c.cfg.MemoryMB<<20/4
	if c.held.Load() > all {
		most = min(most, all/int64(mostClients(c.cfg)))
	}
	if int64(k.backlog()) > most {
		c.counts[clientsTooSlow]++
		c.drop(k)
	}
}

// closeSoon closes a connection without the lock, as the callbacks that follow take it.
func (c *Controller) closeSoon(conn netpoll.Connection) { c.aside(func() { _ = conn.Close() }) }

// drain begins the way to the exit: clients are told to send nothing new here, and what still comes is served.
func (c *Controller) drain() {
	if c.phase != Ready {
		return
	}
	c.enter(Draining)
	for _, k := range c.clients {
		k.sendEmpty(frame.NoMore, 0)
	}
	// The platform lets connections and jobs come for 0.6 s after the signal, and kills no sooner than 0.7 s and
	// the longest deadline, 3 s at most, after it. A tenth of a second is left for the last bytes to leave.
	longest := time.Duration(0)
	for _, t := range c.cfg.Settings.Logic.Classes {
		longest = max(longest, t.Deadline)
	}
	first := c.now - c.age() + 700*time.Millisecond
	c.exit = admission.NewExit(first, first+min(longest, 3*time.Second)-200*time.Millisecond)
	c.at(first, c.leave)
	last := c.exit.Last()
	// Nothing is sent on that can't be answered before the end.
	c.logic.Leaving(c.now, last)
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if j.expires = min(j.expires, last); j.out != nil && j.out.until > last {
			d := j.out
			d.until, d.last = last, min(d.last, last)
			c.at(last, func() { c.timeOut(d) })
		}
	}
}

// leave ends the process once nothing is owed, or answers what is left when the time is over. What was sent before the
// client heard that we leave, and lies unread, is owed too: it would be lost with the connection.
func (c *Controller) leave() {
	if c.phase == Draining {
		c.enter(Leaving)
	}
	owed := 0
	for _, k := range c.clients {
		if len(k.jobs) > 0 || k.backlog() > 0 || k.unread() {
			owed++
		}
	}
	cut, end, next := c.exit.Round(c.now, owed)
	if cut {
		for _, id := range sorted(c.jobs) {
			if j := c.jobs[id]; j != nil && j.client != nil {
				c.counts[cutByExit]++
				c.cut(j)
			}
		}
	}
	if end {
		c.parting.Store(true)
		var ending []*client
		for _, id := range sorted(c.clients) {
			k := c.clients[id]
			ending = append(ending, k)
			c.part(k, "the process ends")
		}
		last := max(c.now+lastWords, c.exit.Last())
		c.at(c.now+lastWords, func() { c.lastLook(ending, last) })
		return
	}
	c.at(next, c.leave)
}

// lastLook ends the process once all connections of clients are shut, or when its time is over: on a slow machine their writers,
// which answer what crosses the end, may need longer than usual.
func (c *Controller) lastLook(ending []*client, last time.Duration) {
	if c.now < last && slices.ContainsFunc(ending, func(k *client) bool { return !k.ended() }) {
		c.at(c.now+lastLookEvery, func() { c.lastLook(ending, last) })
		return
	}
	c.fail(nil)
}

// lastLookEvery is fine against the time that is left.
const lastLookEvery = 5 * time.Millisecond

// lastWords is from shutting the connections of clients to the end of the process: many trips, so that none is closed over
// bytes that nobody read. It is a quarter of what is left between the cut and the kill.
const lastWords = 50 * time.Millisecond
