package controller

import (
	"bytes"
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
	id           admission.ConnID
	jobs         map[uint32]*job // unanswered jobs, by stream
	lastStream   uint32          // highest stream number so far
	disconnected bool            // closed, or about to be closed at once
	turnedAway   bool            // refused for lack of room, and told so
	refusesJobs  bool            // the connection is closing: a job that arrives meanwhile is refused
	malformed    atomic.Bool     // its input was malformed: whatever else arrives is discarded
	input        clientInput
}

// maxClients is half of the descriptors. Well-behaved clients stay within a third, and with more than half the
// controller's own connections would run short.
func maxClients(cfg config.Config) int { return cfg.MaxDescriptors / 2 }

// maxLingering bounds the connections that are shut down and still read until the peer closes, and equally the refused
// connections that are told so; further ones are closed at once. Their descriptors come out of those that maxLinks
// reserves.
func maxLingering(cfg config.Config) int { return max(cfg.MaxDescriptors/64, 4) }

// addClient registers a new connection. It returns nil if there is no room for it.
func (c *Controller) addClient(conn netpoll.Connection) *client {
	cl := &client{jobs: map[uint32]*job{}}
	c.lastConnID++
	if cl.id = c.lastConnID; c.phase == Stopped || !c.admission.Connected(c.now, cl.id) {
		c.counts[clientsRefused]++
		if c.turnedAwayConns >= maxLingering(c.cfg) {
			return nil
		}
		c.turnAway(cl, conn)
	} else {
		c.counts[clientsAccepted]++
		cl.link = newLink(c, conn)
		c.clients[cl.id] = cl
	}
	cl.gracefulClose, cl.onShutdown = true, func() { cl.malformed.Store(true) }
	cl.refuseMessage = cl.refuseIncompleteJob
	cl.onInputBegins, cl.onInputHandled = cl.inputBegins, cl.inputHandled
	_ = conn.AddCloseCallback(func(netpoll.Connection) error {
		c.withLock(func() { c.clientClosed(cl) })
		runner.linkClosing(cl.link)
		return nil
	})
	if cl.turnedAway || c.phase >= Draining {
		cl.sendEmptyFrame(frame.Drain, 0)
	}
	runner.register(cl.link, cl.onData)
	return cl
}

// turnAway refuses a client for lack of room without resetting its connection under a job that it has already sent: the
// client is told to send no more, and a job that has arrived is rejected. Only a few connections are told so at once; the
// others are closed.
func (c *Controller) turnAway(cl *client, conn netpoll.Connection) {
	c.turnedAwayConns++
	cl.turnedAway, cl.link = true, newLink(c, conn)
	c.schedule(c.now+lingerTimeout, cl.closeWhenFlushed)
}

func newAdmission(c *Controller) *admission.Control {
	return admission.New(admissionHost{c}, maxClients(c.cfg))
}

// admissionHost carries out admission's decisions about client connections.
type admissionHost struct{ c *Controller }

func (h admissionHost) State(id admission.ConnID) admission.State {
	cl := h.c.clients[id]
	return admission.State{Jobs: len(cl.jobs), Unsent: cl.backlog() > 0, IncompleteFor: cl.partialAge(h.c.now)}
}

func (h admissionHost) Unread(id admission.ConnID) bool { return h.c.clients[id].hasUnread() }

func (h admissionHost) AskToLeave(id admission.ConnID) {
	c, cl := h.c, h.c.clients[id]
	c.counts[clientsAskedToLeave]++
	cl.sendEmptyFrame(frame.Drain, 0)
	cl.afterFlush(func() { c.admission.LeaveRequestSent(c.now, id) })
}

func (h admissionHost) End(id admission.ConnID, why admission.CloseReason) {
	if why == admission.ForNewClient {
		h.c.counts[clientsEvicted]++
		h.c.closeClient(h.c.clients[id], "room for a new client")
	} else {
		h.c.counts[clientsIdleClosed]++
		h.c.closeClient(h.c.clients[id], "idle")
	}
}

func (h admissionHost) IncompleteMessage(id admission.ConnID) {
	h.c.failMalformed(h.c.clients[id], errIncompleteFrame)
}

// closeClient closes a connection that has no unanswered job. A job that is read before the write side is shut down is
// rejected; what is read later is not taken, and its client sends it again.
func (c *Controller) closeClient(cl *client, why reason) {
	c.trace("client closed", why, "client", cl.id, "jobs", len(cl.jobs))
	c.reportViolation(invariant.Close(len(cl.jobs), false), "client", cl.id, "why", string(why))
	cl.refusesJobs = true
	c.forgetClient(cl)
	cl.closeWhenFlushed()
}

// dropClient closes a connection at once, whatever is still unanswered on it.
func (c *Controller) dropClient(cl *client) {
	c.trace("client closed", "peer does not read", "client", cl.id, "jobs", len(cl.jobs))
	cl.disconnected = true
	c.forgetClient(cl)
	cl.discardPending()
	c.closeAsync(cl.conn)
}

// forgetClient removes a connection from the table and from admission.
func (c *Controller) forgetClient(cl *client) {
	delete(c.clients, cl.id)
	c.admission.Closed(cl.id)
}

// clientClosed handles the end of a client connection.
func (c *Controller) clientClosed(cl *client) {
	cl.link.markClosed()
	if cl.disconnected = true; cl.turnedAway {
		c.turnedAwayConns--
	}
	c.forgetClient(cl)
	c.cancelAllJobs(cl)
	cl.dropWaiting()
}

// cancelAllJobs cancels the jobs of a client that is gone.
func (c *Controller) cancelAllJobs(cl *client) {
	for _, stream := range sorted(cl.jobs) {
		if j := cl.jobs[stream]; j != nil {
			c.cancelJob(j)
		}
	}
}

// onData handles what a client has sent.
func (cl *client) onData() {
	c := cl.c
	if cl.malformed.Load() { // it closes once the client has been told
		cl.discardInput.Store(true)
	}
	err := cl.readMessages(func(data []byte) (func(), int, error) {
		kind, stream, payload, size, err := frame.Next(data)
		if err != nil || size == 0 {
			return nil, 0, err
		}
		switch kind {
		case frame.Job:
			return c.readJob(cl, stream, payload), size, nil
		case frame.Cancel:
			return func() { c.handleGone(cl, stream) }, size, nil
		case frame.ReadinessRequest:
			return func() { c.handleReady(cl, stream) }, size, nil
		}
		return nil, 0, errFrameType
	})
	if err != nil {
		c.withLock(func() { c.failMalformed(cl, err) })
	}
}

// handleGone handles a client's cancellation of a job.
func (c *Controller) handleGone(cl *client, stream uint32) {
	cl.touch()
	if j := cl.jobs[stream]; j != nil {
		c.cancelJob(j)
	}
}

// handleReady answers whether jobs are accepted.
func (c *Controller) handleReady(cl *client, stream uint32) {
	c.admission.Front(c.now, cl.id)
	code := byte(1)
	if c.phase != Ready || c.paused {
		code = 2
	}
	cl.sendFrame(frame.ReadinessResponse, stream, code, "", "")
}

var (
	errFrameType       = errors.New("unknown type of frame")
	errStreamInUse     = errors.New("stream in use")
	errIncompleteFrame = errors.New("half a frame")
)

// failMalformed tells a client that its input is malformed and closes the connection, because what follows can't be
// parsed. Jobs accepted on it are answered first.
func (c *Controller) failMalformed(cl *client, err error) {
	if cl.disconnected || cl.malformed.Load() {
		return
	}
	c.counts[clientsMalformed]++
	c.logEvent(slog.LevelDebug, "client misread", "client", cl.id, "why", err)
	for _, stream := range sorted(cl.jobs) {
		if j := cl.jobs[stream]; j != nil {
			c.abortJob(j)
		}
	}
	cl.malformed.Store(true)
	cl.sendFrame(frame.Answer, 0, frame.Failed, "error", err.Error())
	cl.closeWhenFlushed()
}

// abortJob fails a job whatever its state.
func (c *Controller) abortJob(j *job) {
	c.failJob(j)
	c.abandonJob(j)
}

// touch keeps a connection from being considered idle.
func (cl *client) touch() { cl.c.admission.MessageReceived(cl.c.now, cl.id) }

// jobFields holds the fields of a job as they arrived.
type jobFields struct{ class, id, wait, idempotencyKey, cost, memory, customer, tenant, key, retry []byte }

// read parses the known fields, each of which may occur once; unknown ones belong to later versions of the protocol.
func (f *jobFields) read(payload []byte) (body []byte, err error) {
	duplicate := false
	body, err = frame.ParseFields(payload, func(field, value []byte) {
		var target *[]byte
		switch string(field) {
		case "class":
			target = &f.class
		case "id":
			target = &f.id
		case "wait":
			target = &f.wait
		case "once":
			target = &f.idempotencyKey
		case "cost":
			target = &f.cost
		case "memory":
			target = &f.memory
		case "customer": // only for routes, and only without a tenant
			target = &f.customer
		case "tenant": // of the settings; the job counts against its share
			target = &f.tenant
		case "key": // jobs with the same key run one at a time, in order of arrival
			target = &f.key
		case "retry":
			target = &f.retry
		default:
			return
		}
		duplicate = duplicate || *target != nil
		*target = value
	})
	if err == nil && duplicate {
		err = errors.New("a field is there twice")
	}
	return body, err
}

// maxNumber bounds estimates and waits, in milliseconds or MB: nothing above one day in milliseconds is plausible for a
// job.
const maxNumber = 86_400_000

// validate returns what is wrong with a job, if anything: an engine that can't parse a job closes the connection, with
// all other jobs on it.
func (f *jobFields) validate(class *logic.Class, body []byte) error {
	wait, err := strconv.ParseUint(string(f.wait), 10, 32)
	_, costOK := parseNumber(f.cost, maxNumber)
	_, memoryOK := parseNumber(f.memory, maxNumber)
	switch {
	case class == nil:
		return errors.New("class: not known")
	case !isJobID(f.id):
		return errors.New("id: 16 hex digits are wanted")
	case err != nil || wait == 0 || wait > maxNumber:
		return errors.New("wait: milliseconds are wanted")
	case len(f.idempotencyKey) == 0 && class.Repeat == logic.Keyed:
		return errors.New("once: a key is wanted")
	case !isFieldValue(f.idempotencyKey):
		return errors.New("once: letters and digits are wanted")
	case len(f.key) > maxNameBytes:
		return errors.New("key: too long")
	case len(f.tenant) > maxNameBytes:
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

// readJob parses a job in place and returns the call that accepts it.
func (c *Controller) readJob(cl *client, stream uint32, payload []byte) func() {
	var f jobFields
	body, err := f.read(payload)
	if err == nil {
		err = f.validate(c.classNamed(f.class), body)
	}
	if err != nil {
		return func() {
			cl.touch()
			c.counts[jobsMalformed]++
			if !cl.openStream(stream) {
				c.failMalformed(cl, errStreamInUse)
				return
			}
			cl.sendFrame(frame.Answer, stream, frame.Failed, "error", err.Error())
		}
	}
	waitMS, _ := strconv.ParseUint(string(f.wait), 10, 32)
	costMS, _ := parseNumber(f.cost, maxNumber)
	needMB, _ := parseNumber(f.memory, maxNumber)
	j := &job{id: logic.JobID(f.id), client: cl, stream: stream, class: logic.ClassName(f.class), idempotencyKey: string(f.idempotencyKey),
		priority: 1}
	overMemory := c.acceptedRoom.Load() < int64(len(body))
	if !overMemory { // the copy of one that is refused would be garbage
		j.statement = bytes.Clone(body)
	}
	tables, customer := statement.TableGroup(string(j.statement)), cmp.Or(string(f.tenant), string(f.customer))
	tenant, key, isRetry := logic.CustomerID(f.tenant), logic.Key(f.key), len(f.retry) > 0 && string(f.retry) != "0"
	return func() {
		if !c.beginStream(cl, stream) {
			return
		}
		if problem := c.takeID(j); problem != "" {
			c.counts[jobsMalformed]++
			cl.sendFrame(frame.Answer, stream, frame.Failed, "error", problem)
			return
		}
		c.counts[jobsReceived]++
		c.trace("job", "read", "job", j.id, "class", j.class, "wait_ms", waitMS, "client", cl.id)
		if cl.turnedAway || cl.refusesJobs {
			c.counts[jobsOverLimit]++
			cl.jobs[stream] = j
			c.rejectJob(j, c.cfg.Settings.Logic.MaxRetryAfter)
			cl.closeWhenFlushed()
			return
		}
		if c.exit != nil {
			c.exit.JobArrived(c.now)
		}
		cl.jobs[stream] = j
		// Load shedding: the process must not run out of memory. The job never ran, so a retry does no harm.
		if openCap := c.cfg.Settings.MaxOpenJobs; overMemory || c.overMemory(len(j.statement)) || openCap > 0 && len(c.jobs) >= openCap ||
			len(cl.jobs) > streamsPerClient || c.phase >= Leaving || c.paused {
			c.counts[jobsOverLimit]++
			c.rejectJob(j, c.cfg.Settings.Logic.MaxRetryAfter)
			return
		}
		j.acceptedAt = c.now
		j.deadline = c.now + time.Duration(waitMS)*time.Millisecond - transitAllowance - c.maxInputAge()
		if c.exit != nil {
			j.deadline = min(j.deadline, c.exit.LatestDeadline())
		}
		c.jobs[j.id] = j
		c.jobBytes += int64(len(j.statement))
		c.queueArrival(cl, arrival{job: j, customer: customer, tenant: tenant, key: key, costMS: costMS, memoryMB: needMB, tables: tables,
			isRetry: isRetry})
	}
}

// transitAllowance is subtracted from a client's wait, which runs from sending the job to receiving the answer: it covers
// the network both ways and scheduling delays on a busy machine. Deadlines are hundreds of times as long.
const transitAllowance = 25 * time.Millisecond

// streamsPerClient is set by the protocol.
const streamsPerClient = 32

// overMemory reports whether there is no memory to accept a statement of so many bytes.
func (c *Controller) overMemory(more int) bool {
	return c.heldBytes()+int64(more) > c.maxAcceptedBytes()
}

// beginStream opens the stream of a job that was read, and reports whether the job is to be handled. A stream that is not
// new makes its client's input malformed.
func (c *Controller) beginStream(cl *client, stream uint32) bool {
	cl.touch()
	if cl.disconnected || cl.malformed.Load() {
		return false
	}
	if !cl.openStream(stream) {
		c.failMalformed(cl, errStreamInUse)
		return false
	}
	return true
}

// openStream reports whether a stream is new on its connection, and records it: stream numbers increase.
func (cl *client) openStream(stream uint32) bool {
	if stream <= cl.lastStream {
		return false
	}
	cl.lastStream = stream
	return true
}

// classNamed returns the class with that name, or nil if the settings have none.
func (c *Controller) classNamed(name []byte) *logic.Class {
	classes := c.cfg.Settings.Logic.Classes
	for i := range classes {
		if string(classes[i].Name) == string(name) {
			return &classes[i]
		}
	}
	return nil
}

// parseNumber parses a number without sign or exponent, up to a maximum. An empty text is 0.
func parseNumber(text []byte, maximum float64) (float64, bool) {
	if len(text) == 0 {
		return 0, true
	}
	for _, char := range text {
		if (char < '0' || char > '9') && char != '.' {
			return 0, false
		}
	}
	value, err := strconv.ParseFloat(string(text), 64)
	return value, err == nil && value <= maximum
}

// isJobID reports whether a text is 16 hexadecimal digits.
func isJobID(id []byte) bool {
	for _, char := range id {
		if !(char >= '0' && char <= '9' || char >= 'a' && char <= 'f' || char >= 'A' && char <= 'F') {
			return false
		}
	}
	return len(id) == 16
}

// isFieldValue reports whether a text may stand in the list of fields that is sent to engines. It protects that list from
// an idempotency key that would end a field.
func isFieldValue(text []byte) bool {
	for _, char := range text {
		if char <= ' ' || char == ',' || char == '=' || char == 0x7f {
			return false
		}
	}
	return len(text) <= maxNameBytes
}

// maxNameBytes is the longest name or key: several times what operators use, as it is kept in memory with its job.
const maxNameBytes = 256

// sendFrame queues a frame with a code, at most one field and a body in parts.
func (cl *client) sendFrame(kind byte, stream uint32, code byte, field, value string, body ...[]byte) {
	size := 2
	if field != "" {
		size += 3 + len(field) + len(value)
	}
	for _, part := range body {
		size += len(part)
	}
	head := make([]byte, 0, frame.HeaderBytes+64)
	head = append(frame.AppendHeader(head, kind, stream, size), code, 0)
	if field != "" {
		head[len(head)-1] = 1
		head = frame.AppendField(head, field, value)
	}
	cl.queueOutput(head, body...)
}

// sendEmptyFrame queues a frame without a payload.
func (cl *client) sendEmptyFrame(kind byte, stream uint32) {
	cl.queueOutput(frame.AppendHeader(nil, kind, stream, 0))
}

// queueOutput closes the connection of a client that sends jobs and does not read its answers, once its unsent output
// passes a bound. 32 of the largest results take 1.5 MB; the bound is 2 MB on the smallest machines. While all
// connections together hold a quarter of the memory, the bound is an even share of that quarter.
func (cl *client) queueOutput(head []byte, body ...[]byte) {
	if cl.disconnected {
		return
	}
	c := cl.c
	cl.enqueue(append([][]byte{head}, body...)...)
	limit, sharedLimit := c.cfg.MemoryMB<<20/16, c.cfg.MemoryMB<<20/4
	if c.connBytes.Load() > sharedLimit {
		limit = min(limit, sharedLimit/int64(maxClients(c.cfg)))
	}
	if int64(cl.backlog()) > limit {
		c.counts[clientsTooSlow]++
		c.dropClient(cl)
	}
}

// closeAsync closes a connection outside the lock, because its close callbacks take the lock.
func (c *Controller) closeAsync(conn netpoll.Connection) { c.spawn(func() { _ = conn.Close() }) }

// startDrain begins the shutdown: clients are told to send nothing new here, and what still arrives is served.
func (c *Controller) startDrain() {
	if c.phase != Ready {
		return
	}
	c.setPhase(Draining)
	for _, cl := range c.clients {
		cl.sendEmptyFrame(frame.Drain, 0)
	}
	// The platform lets connections and jobs arrive for 0.6 s after the signal. It kills the process no sooner than 0.7 s
	// plus the longest deadline, which is at most 3 s, after the signal. 100 ms are left for the last bytes to be sent.
	maxDeadline := time.Duration(0)
	for _, class := range c.cfg.Settings.Logic.Classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	leaveAt := c.now - c.maxInputAge() + 700*time.Millisecond
	c.exit = admission.NewExit(leaveAt, leaveAt+min(maxDeadline, 3*time.Second)-200*time.Millisecond)
	c.schedule(leaveAt, c.leaveRound)
	deadline := c.exit.LatestDeadline()
	// An attempt whose answer can't arrive before the end is not sent.
	c.logic.ShuttingDown(c.now, deadline)
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if j.deadline = min(j.deadline, deadline); j.inFlight != nil && j.inFlight.deadline > deadline {
			a := j.inFlight
			a.deadline, a.sendBy = deadline, min(a.sendBy, deadline)
			c.schedule(deadline, func() { c.attemptTimedOut(a) })
		}
	}
}

// leaveRound ends the process once nothing is owed to clients, or answers what is left when the time is up. Unread input
// counts as owed too: it was sent before the client learned that the controller leaves, and would be lost with the
// connection.
func (c *Controller) leaveRound() {
	if c.phase == Draining {
		c.setPhase(Leaving)
	}
	busyClients := 0
	for _, cl := range c.clients {
		if len(cl.jobs) > 0 || cl.backlog() > 0 || cl.hasUnread() {
			busyClients++
		}
	}
	cut, end, next := c.exit.Round(c.now, busyClients)
	if cut {
		for _, id := range sorted(c.jobs) {
			if j := c.jobs[id]; j != nil && j.client != nil {
				c.counts[jobsCutByExit]++
				c.abortJob(j)
			}
		}
	}
	if end {
		c.exiting.Store(true)
		var ending []*client
		for _, id := range sorted(c.clients) {
			cl := c.clients[id]
			ending = append(ending, cl)
			c.closeClient(cl, "the process ends")
		}
		deadline := max(c.now+shutdownGrace, c.exit.LatestDeadline())
		c.schedule(c.now+shutdownGrace, func() { c.awaitShutdown(ending, deadline) })
		return
	}
	c.schedule(next, c.leaveRound)
}

// awaitShutdown ends the process once all client connections are shut down, or when its time is up. On a slow machine the
// writers, which answer input that arrives during the close, may need longer than usual.
func (c *Controller) awaitShutdown(ending []*client, deadline time.Duration) {
	if c.now < deadline && slices.ContainsFunc(ending, func(cl *client) bool { return !cl.isShutOrClosed() }) {
		c.schedule(c.now+shutdownPollInterval, func() { c.awaitShutdown(ending, deadline) })
		return
	}
	c.endRun(nil)
}

// shutdownPollInterval is short compared with the time that is left.
const shutdownPollInterval = 5 * time.Millisecond

// shutdownGrace is the time from shutting down client connections to the end of the process: many round trips, so that
// none is closed while bytes on it are unread, which would reset it. It is a quarter of the time between the cut and the
// kill.
const shutdownGrace = 50 * time.Millisecond
