package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"
)

// client is one connection of a client.
type client struct {
	r       *rig
	conn    net.Conn
	writeMu sync.Mutex
	mu      sync.Mutex
	last    uint32
	open    map[uint32]*request
	readyCh chan byte
	told    bool // type 120 came
	ended   error
	endedAt time.Time
}

// request is one request and its answers.
type request struct {
	id, body   string
	stream     uint32
	sentAt     time.Time // last byte written
	wait       time.Duration
	mu         sync.Mutex
	codes      []byte
	answers    []string
	fields     []map[string]string
	answeredAt time.Time
	lost       error // the connection ended without an answer
	done       chan struct{}
}

func (q *request) result() (code byte, body string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.codes) == 0 {
		return 0, ""
	}
	return q.codes[0], q.answers[0]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (r *rig) dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{r: r, conn: conn, open: map[uint32]*request{}, readyCh: make(chan byte, 16)}
	go c.read()
	return c, nil
}

func (r *rig) mustDial(address string) *client {
	c, err := r.dial(address)
	if err != nil {
		r.cannot("client: %v", err)
	}
	return c
}

func frameOf(kind byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

func fieldsOf(fields [][2]string) []byte {
	b := []byte{byte(len(fields))}
	for _, f := range fields {
		b = append(append(b, byte(len(f[0]))), f[0]...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(f[1]))), f[1]...)
	}
	return b
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) ready(timeout time.Duration) bool {
	c.mu.Lock()
	c.last++
	stream := c.last
	c.mu.Unlock()
	c.write(frameOf(110, stream, []byte{0}))
	select {
	case code := <-c.readyCh:
		return code == 1
	case <-time.After(timeout):
		return false
	}
}

func (c *client) write(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.conn.Write(b)
	return err
}

// prepare makes a request with its frame, not sent yet.
func (c *client) prepare(class string, wait time.Duration, body string, more ...[2]string) (*request, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	q := &request{id: newID(), body: body, stream: c.last, wait: wait, done: make(chan struct{})}
	fields := append([][2]string{{"class", class}, {"id", q.id}, {"wait", fmt.Sprint(wait.Milliseconds())}}, more...)
	c.open[q.stream] = q
	return q, frameOf(100, q.stream, append(fieldsOf(fields), body...))
}

// send sends a request.
func (c *client) send(class string, wait time.Duration, body string, more ...[2]string) *request {
	q, frame := c.prepare(class, wait, body, more...)
	q.sentAt = time.Now()
	if err := c.write(frame); err != nil {
		c.r.logf("client: %s not written: %v", q.id, err)
	}
	q.sentAt = time.Now()
	return q
}

// cancel says that nobody waits for a request any more.
func (c *client) cancel(q *request) { _ = c.write(frameOf(102, q.stream, nil)) }

func (c *client) read() {
	err := c.readFrames()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.endedAt = err, time.Now()
	for _, q := range c.open {
		q.mu.Lock()
		if len(q.codes) == 0 {
			q.lost = err
			close(q.done)
		}
		q.mu.Unlock()
	}
	c.open = map[uint32]*request{}
}

func (c *client) readFrames() error {
	head := make([]byte, 9)
	for {
		if _, err := io.ReadFull(c.conn, head); err != nil {
			return err
		}
		length := int(binary.BigEndian.Uint32(head))
		if length < 5 || length > 262144 {
			return errors.New("a frame with a length out of range")
		}
		payload := make([]byte, length-5)
		if _, err := io.ReadFull(c.conn, payload); err != nil {
			return err
		}
		stream := binary.BigEndian.Uint32(head[5:])
		switch head[4] {
		case 111:
			c.readyCh <- payload[0]
		case 120:
			c.mu.Lock()
			c.told = true
			c.mu.Unlock()
		case 101:
			c.answered(stream, payload)
		}
	}
}

func (c *client) answered(stream uint32, payload []byte) {
	code := payload[0]
	rest := payload[1:]
	fields := map[string]string{}
	count := int(rest[0])
	rest = rest[1:]
	for range count {
		n := int(rest[0])
		name := string(rest[1 : 1+n])
		rest = rest[1+n:]
		m := int(binary.BigEndian.Uint16(rest))
		fields[name] = string(rest[2 : 2+m])
		rest = rest[2+m:]
	}
	if stream == 0 {
		c.r.logf("client: an error on stream 0: %v", fields)
		return
	}
	c.mu.Lock()
	q := c.open[stream]
	c.mu.Unlock()
	if q == nil {
		c.r.logf("client: an answer on stream %d, which is not open", stream)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.codes, q.answers, q.fields = append(q.codes, code), append(q.answers, string(rest)), append(q.fields, fields)
	if len(q.codes) == 1 {
		q.answeredAt = time.Now()
		close(q.done)
	}
}
