package main

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Types of frames, and codes of answers, as on the operators' page.
const (
	frameRequest = 100
	frameAnswer  = 101
	frameCancel  = 102
	frameReady   = 110
	frameNoNew   = 120
)

var codeNames = map[byte]string{1: "served", 2: "refused", 3: "failed"}

// appendFrame appends a frame.
func appendFrame(dst []byte, kind byte, stream uint32, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(5+len(payload)))
	dst = binary.BigEndian.AppendUint32(append(dst, kind), stream)
	return append(dst, payload...)
}

// request is a client's request and what became of it. The lock of its client guards the fields from client on.
type request struct {
	id, class, once, cost string
	wait                  time.Duration
	statement             string

	client    *client
	stream    uint32
	writtenAt time.Time // when the system had taken its last byte, zero before
	code      byte      // of its answer, 0 for none
	body      string
	answerAt  time.Time
	answers   int
	closedAt  time.Time // when its connection ended before an answer
	sentAgain bool      // it had crossed the end of its connection
	takenBack time.Time // when the system had taken the word that nobody waits for it any more
}

// over reports whether nothing more can become of the request. Its client's lock is held.
func (q *request) over() bool { return q.code != 0 || !q.closedAt.IsZero() || !q.takenBack.IsZero() }

// client is a connection of a sound client. It reads what it is sent at once, sends nothing new once it is told so, and closes the connection
// after 4 s at rest.
type client struct {
	address string
	conn    net.Conn

	writeMu    sync.Mutex
	mu         sync.Mutex
	last       uint32
	open       map[uint32]*request
	known      map[uint32]*request // all requests of the connection
	activeAt   time.Time
	why        error // why it has ended
	noNew      bool
	strayCount int // answers that belong to no request, as on stream 0
}

// restTime is after which clients close idle connections. crossTime is the time within which a request may cross the end of a connection
// on which no other request is open, and is sent again then, once: 50 ms, as each time limit is 50 ms longer on sockets.
const restTime, crossTime = 4 * time.Second, 100 * time.Millisecond

// errNoNew reports that the connection takes no new requests.
var errNoNew = errors.New("no new request on this connection")

// dialClient connects to a controller.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{address: address, conn: conn, open: map[uint32]*request{}, known: map[uint32]*request{}, activeAt: time.Now()}
	go c.read()
	go c.rest()
	return c, nil
}

// rest closes the connection after some time at rest.
func (c *client) rest() {
	for range time.Tick(250 * time.Millisecond) {
		c.mu.Lock()
		ended, resting := c.why != nil, len(c.open) == 0 && time.Since(c.activeAt) > restTime
		c.mu.Unlock()
		if ended || resting {
			c.conn.Close()
			return
		}
	}
}

// read takes in answers until the connection ends.
func (c *client) read() {
	head := make([]byte, 9)
	for {
		_, err := io.ReadFull(c.conn, head)
		var payload []byte
		if err == nil {
			size := binary.BigEndian.Uint32(head)
			if size < 5 || size > 262144 {
				err = errors.New("a frame of a wrong length")
			} else {
				payload = make([]byte, size-5)
				_, err = io.ReadFull(c.conn, payload)
			}
		}
		if err != nil {
			c.connectionEnded(err)
			return
		}
		c.mu.Lock()
		switch head[4] {
		case frameNoNew:
			c.noNew = true
		case frameAnswer:
			c.answered(c.known[binary.BigEndian.Uint32(head[5:])], payload)
		}
		c.mu.Unlock()
	}
}

// answered handles an answer, with the lock held.
func (c *client) answered(q *request, payload []byte) {
	c.activeAt = time.Now()
	if q == nil {
		c.strayCount++
		return
	}
	delete(c.open, q.stream)
	if q.answers++; q.answers > 1 || len(payload) < 2 {
		return
	}
	rest := payload[2:]
	for range payload[1] {
		nameSize := int(rest[0])
		valueSize := int(binary.BigEndian.Uint16(rest[1+nameSize:]))
		rest = rest[3+nameSize+valueSize:]
	}
	q.code, q.answerAt, q.body = payload[0], time.Now(), string(rest)
}

// connectionEnded records the end of the connection. A request that may have crossed it is sent again, once.
func (c *client) connectionEnded(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.why = why
	for _, q := range c.open {
		if len(c.open) == 1 && !q.sentAgain && (q.writtenAt.IsZero() || now.Sub(q.writtenAt) <= crossTime) {
			q.sentAgain = true
			go c.sendAgain(q)
		} else {
			q.closedAt = now
		}
	}
	c.open = map[uint32]*request{}
}

// sendAgain sends a request on a new connection.
func (c *client) sendAgain(q *request) {
	next, err := dialClient(c.address)
	if err == nil {
		err = next.send(q)
	}
	if err != nil {
		c.mu.Lock()
		q.closedAt = time.Now()
		c.mu.Unlock()
	}
}

// send writes a request on a new stream.
func (c *client) send(q *request) error {
	fields := [][2]string{{"class", q.class}, {"id", q.id}, {"wait", strconv.FormatInt(q.wait.Milliseconds(), 10)}, {"cost", q.cost}}
	if q.once != "" {
		fields = append(fields, [2]string{"once", q.once})
	}
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = append(append(payload, byte(len(f[0]))), f[0]...)
		payload = append(binary.BigEndian.AppendUint16(payload, uint16(len(f[1]))), f[1]...)
	}
	payload = append(payload, q.statement...)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	if c.why != nil || c.noNew {
		defer c.mu.Unlock()
		if c.why != nil {
			return c.why
		}
		return errNoNew
	}
	c.last++
	q.client, q.stream = c, c.last
	c.open[q.stream], c.known[q.stream] = q, q
	c.mu.Unlock()
	_, err := c.conn.Write(appendFrame(nil, frameRequest, q.stream, payload))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeAt = time.Now(); err == nil {
		q.writtenAt = c.activeAt
	}
	return err
}

// takeBack tells the controller that nobody waits any more for those requests that have no answer.
func (c *client) takeBack(all []*request) {
	var text []byte
	var still []*request
	c.mu.Lock()
	for _, q := range all {
		if c.open[q.stream] == q {
			delete(c.open, q.stream)
			still = append(still, q)
			text = appendFrame(text, frameCancel, q.stream, nil)
		}
	}
	c.mu.Unlock()
	c.writeMu.Lock()
	_, err := c.conn.Write(text)
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeAt = time.Now()
	for _, q := range still {
		if err == nil {
			q.takenBack = c.activeAt
		}
	}
}
