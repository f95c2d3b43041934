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

// engine is a stand-in for an executor, after the operators' page "Controllers to executors". Each request takes the time that its statement
// names in /* work=MS */, and answers one page of one row. It runs up to 8 requests a core at once and turns further ones away.
type engine struct {
	r        *run
	name     string
	cores    int
	listener net.Listener

	mu        sync.Mutex
	running   map[string]*execution
	completed map[string]int
	received  map[string][]time.Time // when the first byte of a request came, by its id
}

// execution is a request that an engine runs.
type execution struct {
	id, statement string
	conn          net.Conn
	timer         *time.Timer
}

// startEngine starts an engine on a free loopback address.
func (r *run) startEngine(name string, cores int) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &engine{r: r, name: name, cores: cores, listener: l, running: map[string]*execution{}, completed: map[string]int{},
		received: map[string][]time.Time{}}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go e.serve(conn)
		}
	}()
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) (words []string, err error) {
	count, err := readNumber(in, '*')
	for i := 0; i < count && err == nil; i++ {
		var size int
		if size, err = readNumber(in, '$'); err == nil {
			text := make([]byte, size+2)
			_, err = io.ReadFull(in, text)
			words = append(words, string(text[:size]))
		}
	}
	return words, err
}

func readNumber(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("%q is no command", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// encode returns an answer.
func encode(words ...string) []byte {
	text := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// workOf returns the time that a statement takes.
func workOf(statement string) time.Duration {
	_, after, _ := strings.Cut(statement, "/* work=")
	text, _, _ := strings.Cut(after, " */")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

// rowFor is the result of a request: it tells whose it is.
func rowFor(id string) string { return id + "\tdone\t1\n" }

func (e *engine) serve(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		_, _ = in.Peek(1)
		begun := time.Now()
		words, err := readCommand(in)
		if err != nil || len(words) < 2 {
			e.mu.Lock()
			for id, x := range e.running {
				if x.conn == conn {
					x.timer.Stop()
					delete(e.running, id)
				}
			}
			e.mu.Unlock()
			conn.Close()
			return
		}
		e.handle(conn, words, begun)
	}
}

func (e *engine) handle(conn net.Conn, words []string, begun time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := words[1]
	switch words[0] {
	case "serve":
		e.received[id] = append(e.received[id], begun)
		if len(e.running) >= 8*e.cores {
			_, _ = conn.Write(encode(id, "SHED", "-", ""))
			return
		}
		x := &execution{id: id, statement: words[3], conn: conn}
		e.running[id] = x
		x.timer = time.AfterFunc(workOf(x.statement), func() { e.complete(x) })
	case "cancel":
		if x := e.running[id]; x != nil {
			x.timer.Stop()
			delete(e.running, id)
		}
	case "health", "gauges":
		_, _ = conn.Write(encode(id, "PONG", "-", ""))
	}
}

// complete ends a request with its result.
func (e *engine) complete(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[x.id] != x {
		return
	}
	delete(e.running, x.id)
	e.completed[x.id]++
	_, _ = x.conn.Write(encode(x.id, "HIT", fmt.Sprintf("count=1,ticks=%d,footprint=16", workOf(x.statement).Milliseconds()), rowFor(x.id)))
}
