// Package load is a load generator: clients that speak the framed protocol, and a mix of jobs with statistics of the answers.
package load

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/tcpinfo"
)

// Job is a request of a client. Type is the class of the job and IdempotencyKey makes retries safe; an empty IdempotencyKey or Customer is not sent.
type Job struct {
	Type, ID, IdempotencyKey, Customer string
	Wait                               time.Duration // how long the client waits for the answer
	CostMS                             float64       // estimated cost; 0: not sent
	Statement                          string
}

// Answer is the response to a Job.
type Answer struct {
	Code       byte          // frame.Done, Rejected or Failed
	RetryAfter time.Duration // how long the client should wait before a retry, or 0
	Body       string
	Latency    time.Duration // from sending the job to reading its answer
}

// Client is one connection to a controller. Its methods are safe for concurrent use.
type Client struct {
	conn net.Conn

	mu               sync.Mutex
	lastStream       uint32
	pending          map[uint32]pendingJob
	cancelled        map[uint32]bool
	unmatchedAnswers int // answers to no pending job: duplicates, or for a stream that carried no job
	err              error
	draining         bool
	ignoreDraining   bool // keeps sending jobs although the peer asked for no more
}

type pendingJob struct {
	id         string
	sentAt     time.Time
	callback   func(Answer, error)
	peerClosed bool // the peer had closed the connection by the time the job was written
}

// ErrClosedBeforeSent reports that the peer had closed the connection before the job reached it, which the client had not noticed when it sent
// the job. The peer never read the job.
var ErrClosedBeforeSent = errors.New("peer closed the connection before the job reached it")

// Dial connects to a controller at address and starts to read its frames.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, pending: map[uint32]pendingJob{}, cancelled: map[uint32]bool{}}
	go c.readLoop()
	return c, nil
}

// IgnoreDraining makes the client keep sending jobs after the peer has asked for no new jobs on the connection, until the peer closes it.
func (c *Client) IgnoreDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ignoreDraining = true
}

// Close closes the connection. The callbacks of pending jobs receive an error.
func (c *Client) Close() { _ = c.conn.Close() }

// UnmatchedAnswers returns the number of answers that matched no pending or cancelled job.
func (c *Client) UnmatchedAnswers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unmatchedAnswers
}

// maxStreams is the protocol's limit on concurrent streams of a connection.
const maxStreams = 32

// ErrBusy reports that all streams of a connection are in use, or that the peer has asked for no new jobs on it.
var ErrBusy = errors.New("no free stream, or the peer accepts no new jobs on the connection")

// Send sends a job. If it returns nil, callback is called once, with the answer or with the error that ended the connection, unless Cancel
// cancels the job first.
func (c *Client) Send(job Job, callback func(Answer, error)) error {
	fields := [][2]string{{"class", job.Type}, {"id", job.ID}, {"wait", strconv.FormatInt(job.Wait.Milliseconds(), 10)}}
	if job.IdempotencyKey != "" {
		fields = append(fields, [2]string{"once", job.IdempotencyKey})
	}
	if job.Customer != "" {
		fields = append(fields, [2]string{"customer", job.Customer})
	}
	if job.CostMS > 0 {
		fields = append(fields, [2]string{"cost", strconv.FormatFloat(job.CostMS, 'f', 1, 64)})
	}
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = frame.AppendField(payload, f[0], f[1])
	}
	payload = append(payload, job.Statement...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if len(c.pending) >= maxStreams || c.draining && !c.ignoreDraining {
		return ErrBusy
	}
	if c.closedByPeer() {
		return ErrClosedBeforeSent
	}
	c.lastStream++
	p := pendingJob{id: job.ID, sentAt: time.Now(), callback: callback}
	c.pending[c.lastStream] = p
	// Writes under the lock because stream numbers must increase on the wire.
	_, err := c.conn.Write(append(frame.AppendHeader(nil, frame.Job, c.lastStream, len(payload)), payload...))
	if err != nil {
		delete(c.pending, c.lastStream)
		return err
	}
	if p.peerClosed = c.closedByPeer(); p.peerClosed {
		c.pending[c.lastStream] = p
	}
	return nil
}

// closedByPeer tells whether the peer has closed the connection, even if data from it is still unread.
func (c *Client) closedByPeer() bool {
	conn, ok := c.conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var info tcpinfo.Info
	failed := raw.Control(func(fd uintptr) { info, err = tcpinfo.Read(int(fd)) })
	return failed != nil || err != nil || info.State != tcpinfo.Established
}

// Cancel cancels a job and notifies the peer that nobody waits for it. The job's callback is not called afterwards. It returns whether the
// job was pending.
func (c *Client) Cancel(id string) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream, p := range c.pending {
		if p.id == id {
			found = true
			delete(c.pending, stream)
			c.cancelled[stream] = true // an answer may still arrive
			_, _ = c.conn.Write(frame.AppendHeader(nil, frame.Cancel, stream, 0))
		}
	}
	return found
}

func (c *Client) readLoop() {
	var err error
	for err == nil {
		err = c.readFrame()
	}
	c.mu.Lock()
	c.err = fmt.Errorf("connection closed: %w", err)
	unanswered := c.pending
	c.pending = map[uint32]pendingJob{}
	c.mu.Unlock()
	for _, p := range unanswered {
		err := c.err
		if p.peerClosed {
			err = ErrClosedBeforeSent
		}
		p.callback(Answer{}, err)
	}
}

func (c *Client) readFrame() error {
	header := make([]byte, frame.HeaderBytes)
	if _, err := io.ReadFull(c.conn, header); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header)
	if length < frame.MinLength || length > frame.MaxLength {
		return fmt.Errorf("frame length %d is out of range", length)
	}
	payload := make([]byte, length-frame.MinLength)
	if _, err := io.ReadFull(c.conn, payload); err != nil {
		return err
	}
	stream := binary.BigEndian.Uint32(header[5:])
	c.mu.Lock()
	if header[4] == frame.Drain {
		c.draining = true
	}
	if header[4] != frame.Answer || len(payload) < 2 {
		c.mu.Unlock()
		return nil
	}
	p, found := c.pending[stream]
	if delete(c.pending, stream); !found && !c.cancelled[stream] {
		c.unmatchedAnswers++
	}
	delete(c.cancelled, stream)
	c.mu.Unlock()
	if !found {
		return nil
	}
	answer := Answer{Code: payload[0], Latency: time.Since(p.sentAt)}
	body, err := frame.ParseFields(payload[1:], func(name, value []byte) {
		if string(name) == "after" {
			ms, _ := strconv.Atoi(string(value))
			answer.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	})
	answer.Body = string(body)
	p.callback(answer, err)
	return nil
}
