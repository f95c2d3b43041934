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

// request is a client's request and what became of it.
type request struct {
	id, class, once, key, cost string
	wait                       time.Duration
	statement                  string

	client    *client
	stream    uint32
	writtenAt time.Time // when the system had taken its last byte, zero before
	code      byte      // of its answer, 0 for none
	body      string
	answerAt  time.Time
	answers   int
	closedAt  time.Time // when its connection ended before an answer
	takenBack time.Time // when the system had taken the word that nobody waits for it any more
	done      chan struct{}
}

// client is a connection of a client. It reads what it is sent at once.
type client struct {
	conn net.Conn

	writeMu sync.Mutex
	mu      sync.Mutex
	last    uint32
	open    map[uint32]*request
	endedAt time.Time
	why     error
	noNew   bool
	errors0 int // answers on stream 0
}

// dialClient connects to a controller.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, open: map[uint32]*request{}}
	go c.read()
	return c, nil
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
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.endedAt, c.why = now, err
			for _, q := range c.open {
				q.closedAt = now
				close(q.done)
			}
			c.open = map[uint32]*request{}
			c.mu.Unlock()
			return
		}
		stream := binary.BigEndian.Uint32(head[5:])
		switch head[4] {
		case frameNoNew:
			c.noNew = true
		case frameAnswer:
			q := c.open[stream]
			if q == nil {
				c.errors0++
				break
			}
			delete(c.open, stream)
			q.code, q.answerAt = payload[0], now
			q.answers++
			rest := payload[2:]
			for range payload[1] {
				nameSize := int(rest[0])
				valueSize := int(binary.BigEndian.Uint16(rest[1+nameSize:]))
				rest = rest[3+nameSize+valueSize:]
			}
			q.body = string(rest)
			close(q.done)
		}
		c.mu.Unlock()
	}
}

// send writes a request on a new stream.
func (c *client) send(q *request) error {
	fields := [][2]string{{"class", q.class}, {"id", q.id}, {"wait", strconv.FormatInt(q.wait.Milliseconds(), 10)}}
	for _, optional := range [][2]string{{"once", q.once}, {"key", q.key}, {"cost", q.cost}} {
		if optional[1] != "" {
			fields = append(fields, optional)
		}
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
	if c.why != nil {
		c.mu.Unlock()
		return c.why
	}
	c.last++
	q.client, q.stream, q.done = c, c.last, make(chan struct{})
	c.open[q.stream] = q
	c.mu.Unlock()
	if _, err := c.conn.Write(appendFrame(nil, frameRequest, q.stream, payload)); err != nil {
		return err
	}
	c.mu.Lock()
	q.writtenAt = time.Now()
	c.mu.Unlock()
	return nil
}

// takeBack tells the controller that nobody waits for requests any more.
func (c *client) takeBack(all []*request) {
	var text []byte
	c.mu.Lock()
	for _, q := range all {
		if c.open[q.stream] == q {
			delete(c.open, q.stream)
			text = appendFrame(text, frameCancel, q.stream, nil)
		}
	}
	c.mu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.conn.Write(text)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range all {
		if q.code == 0 {
			q.takenBack = now
		}
	}
}
