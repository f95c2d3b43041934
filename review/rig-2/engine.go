package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is an executor. onServe decides what becomes of a request; it runs on a goroutine of its own.
type engine struct {
	r         *rig
	name      string
	address   string
	listener  net.Listener
	mu        sync.Mutex
	number    int
	pageDelay time.Duration
	pageFault func() string // what goes wrong with a page that is asked for; may be nil
	conns     map[*engineConn]bool
	onServe   func(*job)
	jobs      []*job
	pages     map[string][]string // pages of the results that were given
}

type engineConn struct {
	e      *engine
	conn   net.Conn
	mu     sync.Mutex
	number int
}

// job is one attempt as it came to the executor.
type job struct {
	conn      *engineConn
	engine    *engine
	id, body  string
	fields    map[string]string
	at        time.Time // when it had come whole
	mu        sync.Mutex
	endedAt   time.Time // its end was written, or it was given up
	how       string
	cancelled chan struct{}
}

func (r *rig) newEngine(name string, onServe func(*job)) *engine {
	e := &engine{r: r, name: name, conns: map[*engineConn]bool{}, onServe: onServe, pages: map[string][]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("executor: %v", err)
	}
	e.listener, e.address = l, l.Addr().String()
	go e.accept(l)
	return e
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.number++
		ec := &engineConn{e: e, conn: conn, number: e.number}
		e.conns[ec] = true
		e.mu.Unlock()
		go ec.serve()
	}
}

// down ends the executor's process as a kill does, for a while: connections are reset, new ones refused.
func (e *engine) down(length time.Duration) {
	e.mu.Lock()
	_ = e.listener.Close()
	for c := range e.conns {
		c.reset()
	}
	e.mu.Unlock()
	time.AfterFunc(length, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			e.r.logf("%s does not come back: %v", e.name, err)
			return
		}
		e.mu.Lock()
		e.listener = l
		e.mu.Unlock()
		go e.accept(l)
	})
}

// end marks the end of an attempt, once, and reports whether this was it.
func (j *job) end(how string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.endedAt.IsZero() {
		return false
	}
	j.endedAt, j.how = time.Now(), how
	close(j.cancelled)
	return true
}

func (j *job) ended() (time.Time, string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endedAt, j.how
}

// run waits for the work of an attempt, and reports whether it was not given up meanwhile.
func (j *job) run(work time.Duration) bool {
	select {
	case <-time.After(work):
		return true
	case <-j.cancelled:
		return false
	}
}

// reply answers an attempt with one page, unless it has ended.
func (j *job) reply(word, fields, body string) {
	if j.end(word) {
		j.conn.send(j.id, word, fields, body)
	}
}

// serveRows answers with a result of one page.
func (j *job) serveRows(rows string, ticks time.Duration) {
	j.reply("HIT", fmt.Sprintf("count=1,ticks=%d,footprint=10,stats=util:0.2", ticks.Milliseconds()), rows)
}

func words(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

func (c *engineConn) send(w ...string) { c.raw(words(w...)) }

func (c *engineConn) raw(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.conn, text)
}

// reset ends the connection with a reset.
func (c *engineConn) reset() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

func (c *engineConn) serve() {
	e := c.e
	defer func() {
		_ = c.conn.Close()
		e.mu.Lock()
		delete(e.conns, c)
		jobs := append([]*job(nil), e.jobs...)
		e.mu.Unlock()
		for _, j := range jobs {
			if j.conn == c && j.end("connection closed") {
				e.r.logf("%s: %s given up, its connection %d closed", e.name, j.id, c.number)
			}
		}
	}()
	in := bufio.NewReaderSize(c.conn, 1<<16)
	for {
		w, err := readWords(in)
		if err != nil {
			return
		}
		switch {
		case w[0] == "serve" && len(w) == 4:
			j := &job{conn: c, engine: e, id: w[1], body: w[3], fields: map[string]string{}, at: time.Now(), cancelled: make(chan struct{})}
			for _, pair := range strings.Split(w[2], ",") {
				if name, value, ok := strings.Cut(pair, "="); ok {
					j.fields[name] = value
				}
			}
			e.mu.Lock()
			e.jobs = append(e.jobs, j)
			e.mu.Unlock()
			go e.onServe(j)
		case w[0] == "cancel":
			e.mu.Lock()
			jobs := append([]*job(nil), e.jobs...)
			e.mu.Unlock()
			for _, j := range jobs {
				if j.conn == c && j.id == w[1] && j.end("cancel") {
					e.r.logf("%s: cancel %s", e.name, j.id)
				}
			}
		case w[0] == "health" || w[0] == "gauges":
			c.send(w[1], "PONG", "stats=util:0.2", "")
		case w[0] == "read" && len(w) == 3:
			n, _ := strconv.Atoi(w[2])
			e.mu.Lock()
			pages := e.pages[w[1]]
			e.mu.Unlock()
			if e.pageFault != nil {
				switch e.pageFault() {
				case "FAULT":
					c.send(w[1], "FAULT", "-", "")
					continue
				case "lost":
					continue
				case "noise":
					c.raw("#?!~ noise\r\n")
					continue
				case "reset":
					c.reset()
					continue
				case "twice":
					if n >= 1 && n < len(pages) {
						c.send(w[1], "PART", "pos="+w[2], pages[n])
					}
				}
			}
			if e.pageDelay > 0 {
				go func() {
					time.Sleep(time.Duration(n) * e.pageDelay / 2)
					c.send(w[1], "PART", "pos="+w[2], pages[n])
				}()
				continue
			}
			if n < 1 || n >= len(pages) {
				c.send(w[1], "FAULT", "-", "")
			} else {
				c.send(w[1], "PART", "pos="+w[2], pages[n])
			}
		}
	}
}

func readWords(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil || count < 1 {
		return nil, fmt.Errorf("no array: %w", err)
	}
	var out []string
	for range count {
		n, err := readCount(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		out = append(out, string(b[:n]))
	}
	return out, nil
}

func readCount(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != prefix {
		return 0, fmt.Errorf("line %q: %w", line, err)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
