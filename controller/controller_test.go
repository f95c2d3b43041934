package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/admission"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/listing"
	"yarrowbarrow/internal/resp"
	"yarrowbarrow/logic"
)

// patience bounds every wait of these tests; none of them sleeps.
const patience = 10 * time.Second

const rowA, rowB = "a\tb\tc\n", "d\te\tf\n"

// standIn is an engine: what it is told comes out of said, and answers go where they were asked for.
type standIn struct {
	t    *testing.T
	ln   net.Listener
	said chan command
}

type command struct {
	conn  net.Conn
	words []string
}

func newStandIn(t *testing.T, address string) *standIn {
	e := &standIn{t: t, said: make(chan command, 1000)}
	e.ln = listen(t, address, e.listen)
	return e
}

// listen hands each connection to serve, in a goroutine of its own.
func listen(t *testing.T, address string, serve func(net.Conn)) net.Listener {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			t.Cleanup(func() { conn.Close() })
			go serve(conn)
		}
	}()
	return ln
}

func (e *standIn) listen(conn net.Conn) {
	var data []byte
	for buf := make([]byte, 4096); ; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		data = append(data, buf[:n]...)
		for {
			words, size, err := resp.Next(data, nil)
			if size == 0 || err != nil {
				break
			}
			c := command{conn: conn}
			for _, word := range words {
				c.words = append(c.words, string(word))
			}
			data = data[size:]
			e.said <- c
		}
	}
}

// hears waits for a command that begins so; others are passed over.
func (e *standIn) hears(verb string) command {
	e.t.Helper()
	for late := time.After(patience); ; {
		select {
		case c := <-e.said:
			if c.words[0] == verb {
				return c
			}
		case <-late:
			e.t.Fatal("no ", verb)
		}
	}
}

func (c command) answer(words ...string) {
	line := resp.AppendArray(nil, 4)
	for _, word := range append([]string{c.words[1]}, words...) {
		line = resp.AppendWord(line, word)
	}
	_, _ = c.conn.Write(line)
}

// list is discovery: it holds events and answers calls over HTTP.
type list struct {
	ln     net.Listener
	mu     sync.Mutex
	events []string
	wakes  chan struct{}
	raw    string // answered instead, once
}

func newList(t *testing.T) *list {
	l := &list{wakes: make(chan struct{})}
	l.ln = listen(t, "127.0.0.1:0", l.serve)
	return l
}

func (l *list) serve(conn net.Conn) {
	for buf := make([]byte, 4096); ; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		_, after, _ := strings.Cut(string(buf[:n]), "SUB=")
		after, _, _ = strings.Cut(after, "&")
		last, _ := strconv.Atoi(after)
		for {
			l.mu.Lock()
			wakes, raw, body := l.wakes, l.raw, l.text(last)
			has := len(l.events) > last
			l.raw = ""
			l.mu.Unlock()
			if raw != "" {
				_, _ = conn.Write([]byte(raw))
				break
			}
			if has {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				break
			}
			<-wakes
		}
	}
}

// text is the events behind a number.
func (l *list) text(last int) string {
	return fmt.Sprintf(`{"n":%d,"events":[%s]}`, len(l.events), strings.Join(l.events[min(last, len(l.events)):], ","))
}

// tell adds an event: engines as id, address and state.
func (l *list) tell(whole bool, engines ...[3]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []string
	for _, e := range engines {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","health":%q}`, e[0], e[1], e[2]))
	}
	l.events = append(l.events, fmt.Sprintf(`{"n":%d,"members":{"seq":1,"whole":%v,"hosts":[%s]}}`, len(l.events)+1,
		whole, strings.Join(hosts, ",")))
	close(l.wakes)
	l.wakes = make(chan struct{})
}

func (l *list) answersOnce(raw string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raw = raw
	close(l.wakes)
	l.wakes = make(chan struct{})
}

// bed is a controller between stand-ins.
type bed struct {
	t       *testing.T
	c       *Controller
	list    *list
	address string
	stop    context.CancelFunc
	ended   chan error
}

func start(t *testing.T, permissions string, engines ...*standIn) *bed {
	return startWith(t, permissions, nil, engines...)
}

// startWith changes the configuration first.
func startWith(t *testing.T, permissions string, change func(*config.Config), engines ...*standIn) *bed {
	return startPrepared(t, permissions, change, nil, engines...)
}

// startPrepared also prepares the controller before it runs.
func startPrepared(t *testing.T, permissions string, change func(*config.Config), prepare func(*Controller), engines ...*standIn) *bed {
	b := &bed{t: t, list: newList(t), ended: make(chan error, 1)}
	var hosts [][3]string
	for n, e := range engines {
		hosts = append(hosts, [3]string{"e" + strconv.Itoa(n), e.ln.Addr().String(), "active"})
	}
	b.list.tell(true, hosts...)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = free.Addr().String()
	free.Close()
	cfg, err := config.Read(fmt.Appendf(nil, `{"name":"n","listen":%q,"seed":"1","limits":{"sockets":64},"feed":%q,"known":%s,"settings":{
		"classes":[{"name":"quick","aim":500000000,"deadline":3000000000,"gain":1,"late_worth":0.5,"repeat":"retryable"},
		{"name":"load","aim":500000000,"deadline":3000000000,"gain":1,"late_worth":0.5,"repeat":"dedup","group":"all",
		"key_ttl":12000000000}],"machine_types":["std"],"zone":"east","tick":5000000,
		"family_info":{"kind_cores":[4],"ram_of_kind_mb":[1000],"grants_count":true,"grant_cap":0.5},
		"permissions":{"connect_timeout":250000000,"streams_per_conn":32,"max_attempts":3,"may_cancel":true,
		"retry_after":true,"max_retry_after":1000000000%s}}}`, b.address, b.list.ln.Addr(), b.list.text(0),
		permissions), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&cfg)
	}
	b.c = New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if prepare != nil {
		prepare(b.c)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.ended <- b.c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		b.exits()
	})
	return b
}

// exits waits for the end of Run, once or again.
func (b *bed) exits() {
	b.t.Helper()
	select {
	case err := <-b.ended:
		if err != nil {
			b.t.Error("Run:", err)
		}
		b.ended <- nil
	case <-time.After(patience):
		b.t.Error("Run does not end")
	}
}

type conn struct {
	net.Conn
	t *testing.T
}

// client connects and waits until the controller is ready.
func (b *bed) client() conn {
	b.t.Helper()
	for late := time.Now().Add(patience); time.Now().Before(late); {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			continue
		}
		b.t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		k := conn{c, b.t}
		k.write(frame.AppendHead(nil, frame.Ready, 900, 1), []byte{0})
		k.gets(frame.IsReady, 900, 1, "")
		return k
	}
	b.t.Fatal("not ready")
	return conn{}
}

func (k conn) write(parts ...[]byte) {
	if _, err := k.Write(bytes.Join(parts, nil)); err != nil {
		k.t.Fatal(err)
	}
}

// jobFrame is a job as it is sent; fields come in pairs.
func jobFrame(stream uint32, body string, fields ...string) []byte {
	payload := []byte{byte(len(fields) / 2)}
	for n := 0; n < len(fields); n += 2 {
		payload = frame.AppendField(payload, fields[n], fields[n+1])
	}
	payload = append(payload, body...)
	return append(frame.AppendHead(nil, frame.Job, stream, len(payload)), payload...)
}

// asks sends a job.
func (k conn) asks(stream uint32, body string, fields ...string) {
	k.write(jobFrame(stream, body, fields...))
}

func (k conn) quick(stream uint32, wait string) {
	k.asks(stream, "select 1", "class", "quick", "id", fmt.Sprintf("%016x", stream), "wait", wait)
}

// next reads a frame.
func (k conn) next() (kind byte, stream uint32, code byte, fields map[string]string, body string) {
	k.t.Helper()
	head := make([]byte, frame.HeadSize)
	if _, err := io.ReadFull(k, head); err != nil {
		k.t.Fatal("no frame: ", err)
	}
	payload := make([]byte, int(head[2])<<8+int(head[3])-frame.MinLength)
	if _, err := io.ReadFull(k, payload); err != nil {
		k.t.Fatal(err)
	}
	fields = map[string]string{}
	if len(payload) > 0 {
		code = payload[0]
		rest, _ := frame.Fields(payload[1:], func(name, value []byte) { fields[string(name)] = string(value) })
		body = string(rest)
	}
	return head[4], uint32(head[7])<<8 + uint32(head[8]), code, fields, body
}

// gets wants a certain frame next and gives its fields.
func (k conn) gets(kind byte, stream uint32, code byte, body string) map[string]string {
	k.t.Helper()
	gotKind, gotStream, gotCode, fields, gotBody := k.next()
	if gotKind != kind || gotStream != stream || gotCode != code || gotBody != body {
		k.t.Fatalf("type %d, stream %d, code %d, body %q, %v; wanted %d, %d, %d, %q", gotKind, gotStream, gotCode,
			gotBody, fields, kind, stream, code, body)
	}
	return fields
}

func (k conn) closes() {
	k.t.Helper()
	if n, err := k.Read(make([]byte, 1)); err != io.EOF {
		k.t.Fatal("still open: ", n, err)
	}
}

func TestPages(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, "", e).client()
	k.asks(1, "select * from a_1.t\r\n*1", "class", "load", "id", "00000000000000a1", "wait", "2000", "once", "k1",
		"memory", "100", "cost", "20.5")
	c := e.hears("serve")
	if c.words[1] != "00000000000000a1" || c.words[3] != "select * from a_1.t\r\n*1" ||
		!strings.HasPrefix(c.words[2], "class=load,wait=") || !strings.Contains(c.words[2], ",once=k1,heap=125") {
		t.Errorf("%q", c.words)
	}
	c.answer("HIT", "count=3,ticks=20,footprint=96,stats=util:0.5", "a\tb\tc\n")
	e.hears("read")
	e.hears("read")
	c.answer("PART", "pos=2", "g\th\ti\n")
	c.answer("PART", "pos=1", "d\te\tf\n")
	k.gets(frame.Answer, 1, frame.Done, "a\tb\tc\nd\te\tf\ng\th\ti\n")
	if r := e.hears("release"); r.words[1] != "00000000000000a1" {
		t.Error(r.words)
	}
}

// TestSpoiltAnswer: what can't be trusted ends its connection and fails the job there at once, and no other; a
// good answer elsewhere serves it.
func TestSpoiltAnswer(t *testing.T) {
	for _, answers := range [][]string{
		{"HIT", "count=2", rowA, "PART", "pos=1", "no end of row"},
		{"HIT", "count=2", rowA, "PART", "pos=0", rowB}, // there already, and not the same
		{"HIT", "count=2", rowA, "PART", "pos=2", rowB},
		{"HIT", "count=2", rowA, "PART", "pos=1", ""},
		{"HIT", "count=1", "two\tcolumns\n"},
		{"HIT", "count=1", "a\tb\xff\tc\n"},
		{"HIT", "count=1", "a\tb\x00\tc\n"},
		{"HIT", "count=-1", rowA},
		{"HIT", "count=3000000000", rowA},
		{"HIT", "count=1,ticks=NaN", rowA},
		{"HIT", "count=1,footprint=-3", rowA},
		{"HIT", "count=1,stats=util:inf", rowA},
		{"HAT", "count=1", rowA},
	} {
		e := newStandIn(t, "127.0.0.1:0")
		k := start(t, "", e).client()
		k.quick(1, "2900")
		other := e.hears("serve")
		k.quick(2, "2900")
		c := e.hears("serve")
		for n := 0; n < len(answers); n += 3 {
			c.answer(answers[n : n+3]...)
		}
		e.hears("serve").answer("HIT", "count=1", rowB)
		k.gets(frame.Answer, 2, frame.Done, rowB)
		other.answer("HIT", "count=1", rowA)
		k.gets(frame.Answer, 1, frame.Done, rowA)
	}
}

// TestMoreThanAsked: second copies and answers under ids of nobody do no harm.
func TestMoreThanAsked(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, "", e).client()
	k.quick(1, "2900")
	c := e.hears("serve")
	stray := c
	stray.words = []string{"serve", "00000000000000ff"}
	stray.answer("HIT", "count=1", rowB)
	c.answer("HIT", "count=2", rowA)
	c.answer("HIT", "count=2", rowA)
	c.answer("PART", "pos=0", rowA)
	c.answer("PART", "pos=1", rowB)
	c.answer("PART", "pos=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowA+rowB)
}

// TestAnswerStops: an answer that breaks off on an open connection is not waited for until the job's time is up.
func TestAnswerStops(t *testing.T) {
	for _, begins := range []string{"*4\r\n$16\r\n00000000000", ""} {
		e := newStandIn(t, "127.0.0.1:0")
		b := start(t, "", e)
		k := b.client()
		k.quick(1, "2900")
		if c := e.hears("serve"); begins != "" {
			_, _ = c.conn.Write([]byte(begins))
		} else {
			c.answer("HIT", "count=2", rowA)
		}
		began := time.Now()
		e.hears("serve").answer("HIT", "count=1", rowB)
		k.gets(frame.Answer, 1, frame.Done, rowB)
		if took := time.Since(began); took > 1500*time.Millisecond {
			t.Error("noticed after", took)
		}
	}
}

func TestThrottledWithAfter(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, `,"open_cap":1`, e).client()
	k.quick(1, "2000")
	c := e.hears("serve")
	k.quick(2, "2000")
	if fields := k.gets(frame.Answer, 2, frame.Rejected, ""); fields["after"] != "1000" {
		t.Error(fields)
	}
	c.answer("HIT", "count=1", "")
	k.gets(frame.Answer, 1, frame.Done, "")
}

func TestEngineResets(t *testing.T) {
	a, b := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	k := start(t, "", a, b).client()
	k.quick(1, "2500")
	var c command
	other := a
	select {
	case c = <-a.said:
		other = b
	case c = <-b.said:
	}
	c.answer("HIT", "count=2", rowA)
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
	other.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowB)
}

func TestSilentEngine(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, "", e).client()
	began := time.Now()
	k.quick(1, "600")
	e.hears("serve")
	k.gets(frame.Answer, 1, frame.Rejected, "")
	if took := time.Since(began); took > 650*time.Millisecond {
		t.Error("answered after", took)
	}
	e.hears("cancel")
}

// TestOneTimeOut: a connection on which a job timed out stays in use while its engine answers on others.
func TestOneTimeOut(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, "", e).client()
	conns := map[net.Conn]bool{}
	both := func(stream uint32, wait string) (one, other command) {
		k.quick(stream, wait)
		one = e.hears("serve")
		k.quick(stream+1, "2900")
		other = e.hears("serve")
		conns[one.conn], conns[other.conn] = true, true
		return one, other
	}
	one, other := both(1, "2900")
	one.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	other.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 2, frame.Done, rowA)
	_, other = both(3, "500")
	other.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 4, frame.Done, rowA)
	k.gets(frame.Answer, 3, frame.Rejected, "")
	if both(5, "2900"); len(conns) != 2 {
		t.Error(len(conns), "connections")
	}
}

// TestStopsBeforeNext: the next attempt goes out only once the engine has taken in that the one before is over.
func TestStopsBeforeNext(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, `,"probes":true`, e).client()
	k.asks(1, "select 1", "class", "quick", "id", "0000000000000001", "wait", "2900", "cost", "10")
	e.hears("serve")
	e.hears("cancel")
	fence := e.hears("health")
	select {
	case c := <-e.said:
		t.Error("before the fence: ", c.words)
	default:
	}
	fence.answer("PONG", "-", "")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
}

func TestClientGone(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := start(t, "", e).client()
	k.quick(1, "2000")
	e.hears("serve")
	k.write(frame.AppendHead(nil, frame.Gone, 1, 0))
	if c := e.hears("cancel"); c.words[1] != "0000000000000001" {
		t.Error(c.words)
	}
	k.quick(2, "2000") // the next answer is the next job's
	e.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	k.Close()
}

func TestEngineReplaced(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "2900")
	old := e.hears("serve")
	b.list.tell(false, [3]string{"e9", e.ln.Addr().String(), "active"}, [3]string{"e0", e.ln.Addr().String(), "left"})
	k.quick(2, "2900")
	c := e.hears("serve")
	if c.conn == old.conn && c.words[1] == "0000000000000002" {
		// Told before the change arrived; the next job is sent after it.
		c.answer("HIT", "count=1", rowA)
		k.gets(frame.Answer, 2, frame.Done, rowA)
		b.knows("e9")
		k.quick(3, "2900")
		c = e.hears("serve")
	}
	if c.conn == old.conn {
		t.Error("the old engine's connection")
	}
}

// until waits for a condition, which is looked at under the lock.
func (b *bed) until(holds func() bool) {
	b.t.Helper()
	for late := time.Now().Add(patience); time.Now().Before(late); {
		held := false
		b.c.do(func() { held = holds() })
		if held {
			return
		}
	}
	b.t.Fatal("waited in vain")
}

// knows waits until an engine is listed.
func (b *bed) knows(id logic.EngineID) {
	b.t.Helper()
	b.until(func() bool { return b.c.engines[id] != nil })
}

// TestDrainTakesBack: what has not left yet when an engine is to drain goes elsewhere. A long tick keeps it back.
func TestDrainTakesBack(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, longTick, e)
	k := b.client()
	b.queued(e, k)
	b.list.tell(false, [3]string{"e0", e.ln.Addr().String(), "leaving"}, [3]string{"e1", f.ln.Addr().String(), "active"})
	b.goesElsewhere(e, f, k)
}

// longTick keeps what is queued from the writer for a second.
const longTick = `},"tick":1000000000,"more":{"none":0`

// queued has a second job wait in the writer of an engine's connection, behind one that was answered.
func (b *bed) queued(e *standIn, k conn) {
	b.t.Helper()
	k.quick(1, "2900")
	e.hears("serve").answer("HIT", "count=1", rowA)
	b.until(func() bool { return b.c.counts[done] == 1 })
	k.quick(2, "2900")
	b.until(func() bool { return len(b.c.jobs) == 1 })
}

// goesElsewhere takes what the list tells at once, as discovery's calls wait a tick too, and wants what was queued on one
// engine served by another.
func (b *bed) goesElsewhere(from, to *standIn, k conn) {
	b.t.Helper()
	events, err := listing.Parse([]byte(b.list.text(1)), 100)
	if err != nil {
		b.t.Fatal(err)
	}
	b.c.do(func() { b.c.discovery.tell(events, whole) })
	to.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	select {
	case c := <-from.said:
		b.t.Error("sent all the same: ", c.words)
	default:
	}
}

func TestDiscoveryLost(t *testing.T) {
	e, f := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	b.list.answersOnce("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	k.quick(1, "2000")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	b.list.tell(false, [3]string{"e9", f.ln.Addr().String(), "active"}) // heard once discovery is back
	b.knows("e9")
}

// TestReload: a new address of discovery is followed from the last number held, and the old one tells nothing more; a
// faulty configuration changes nothing.
func TestReload(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	b.client()
	other := newList(t)
	other.events = append(other.events, b.list.events...)
	taken := func(discovery string) func() (config.Config, error) {
		return func() (config.Config, error) {
			next := b.c.cfg
			next.Discovery = discovery
			return next, nil
		}
	}
	for _, l := range []*list{other, b.list, other} {
		if err := b.c.Reload(taken(l.ln.Addr().String())); err != nil {
			t.Fatal(err)
		}
	}
	b.list.tell(false, [3]string{"late", "127.0.0.1:1", "active"})
	if err := b.c.Reload(func() (config.Config, error) { return config.Config{}, io.EOF }); err != io.EOF {
		t.Error(err)
	}
	other.tell(false, [3]string{"e9", "127.0.0.1:2", "active"})
	b.knows("e9")
	b.c.do(func() {
		if b.c.engines["late"] != nil || b.c.counts[reloads] != 3 || b.c.counts[reloadsFailed] != 1 {
			t.Error(b.c.engines, b.c.counts[reloads])
		}
	})
}

func TestStopsWithJobsOpen(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "2000")
	c := e.hears("serve")
	b.stop()
	k.gets(frame.NoMore, 0, 0, "")
	k.write(frame.AppendHead(nil, frame.Ready, 5, 1), []byte{0})
	k.gets(frame.IsReady, 5, 2, "")
	k.quick(2, "2000") // crossed the word to stop
	d := e.hears("serve")
	c.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	d.answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.exits()
}

// TestLateWhileLeaving: a client that comes, or sends, when the controller is about to go is answered all the same, so
// that a job that a slow machine brings late is rejected and not lost.
func TestLateWhileLeaving(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "2500")
	c := e.hears("serve")
	b.stop()
	k.gets(frame.NoMore, 0, 0, "")
	b.until(func() bool { return b.c.phase == Leaving })
	late, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	l := conn{late, t}
	l.quick(3, "2000")
	l.gets(frame.NoMore, 0, 0, "")
	l.gets(frame.Answer, 3, frame.Rejected, "")
	k.quick(2, "2000")
	k.gets(frame.Answer, 2, frame.Rejected, "")
	c.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	b.exits()
}

// TestStopsOnSilence: what nothing answers is failed before the time is over.
func TestStopsOnSilence(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "60000")
	e.hears("serve")
	began := time.Now()
	b.stop()
	k.gets(frame.NoMore, 0, 0, "")
	k.gets(frame.Answer, 1, frame.Rejected, "")
	b.exits()
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Error("exit after", took)
	}
}

func TestMalformedFromClient(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	for stream, fields := range [][]string{
		{"id", "0000000000000001", "wait", "100"},
		{"class", "nope", "id", "0000000000000001", "wait", "100"},
		{"class", "quick", "id", "1", "wait", "100"},
		{"class", "quick", "id", "0000000000000001"},
		{"class", "quick", "id", "0000000000000001", "wait", "soon"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "cost", "-1"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "once", "a,heap=9"},
		{"class", "quick", "id", "0000000000000001", "wait", "0"},
		{"class", "quick", "id", "0000000000000001", "wait", "4000000000"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "cost", "NaN"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "cost", "1e3"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "cost", ""},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "memory", "99999999999999999999"},
		{"class", "quick", "id", "0000000000000001", "wait", "100", "id", "0000000000000002"},
		{"class", "load", "id", "0000000000000001", "wait", "100"},
	} {
		k.asks(uint32(stream+1), "", fields...)
		if got := k.gets(frame.Answer, uint32(stream+1), frame.Failed, ""); got["error"] == "" {
			t.Error(got)
		}
	}
	for _, data := range [][]byte{{0, 0, 0, 1}, {0x7f, 0, 0, 0}, frame.AppendHead(nil, 77, 1, 0)} {
		k := b.client()
		k.write(data)
		k.gets(frame.Answer, 0, frame.Failed, "")
		k.closes()
	}
	k.quick(30, "2000")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 30, frame.Done, rowA)
	k.quick(31, "2000") // is answered before the connection ends
	e.hears("serve")
	k.quick(30, "2000") // not new, though the job is over
	k.gets(frame.Answer, 31, frame.Failed, "")
	k.gets(frame.Answer, 0, frame.Failed, "")
	k.closes()
	e.hears("cancel")
}

// TestTooManyOpen: past the protocol's number of open jobs a client's are turned away, others' are not.
func TestTooManyOpen(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k, other := b.client(), b.client()
	for stream := range uint32(33) {
		k.quick(stream+1, "2900")
	}
	for last := uint32(0); last != 33; { // the module may turn others away
		_, stream, code, _, _ := k.next()
		if last = stream; code != frame.Rejected {
			t.Fatal(stream, code)
		}
	}
	other.asks(1, "select 1", "class", "quick", "id", "00000000000000ff", "wait", "2900")
	for c := e.hears("serve"); ; c = e.hears("serve") {
		c.answer("HIT", "count=1", rowA)
		if c.words[1] == "00000000000000ff" {
			break
		}
	}
	other.gets(frame.Answer, 1, frame.Done, rowA)
}

// TestQuietClients: connections that say nothing or half a frame end, and at the limit the one quiet for longest
// makes room for a newcomer.
func TestQuietClients(t *testing.T) {
	b := start(t, "")
	b.client()
	dial := func() conn {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		return conn{c, t}
	}
	silent, half := dial(), dial()
	half.write([]byte{0, 0, 1, 0, frame.Job})
	b.until(func() bool {
		for _, k := range b.c.clients {
			if k.half.Load() > 0 {
				return true
			}
		}
		return false
	})
	b.until(func() bool { // it is asked to leave, that word leaves, and two looks find nothing
		b.c.now += admission.Silent + time.Second
		b.c.admission.Sweep(b.c.now)
		return b.c.counts[clientsIdle] == 1
	})
	silent.gets(frame.NoMore, 0, 0, "")
	silent.closes()
	half.gets(frame.Answer, 0, frame.Failed, "")
	half.closes()
	first := dial()
	for range b.c.admission.Most() {
		b.client()
	}
	first.gets(frame.NoMore, 0, 0, "")
	first.closes()
}

func TestMalformedFromEngine(t *testing.T) {
	for _, answer := range []string{"garbage\r\n", "*1\r\n$1\r\na\r\n"} {
		e := newStandIn(t, "127.0.0.1:0")
		k := start(t, "", e).client()
		k.quick(1, "2900")
		_, _ = e.hears("serve").conn.Write([]byte(answer))
		e.hears("serve").answer("HIT", "count=1", rowB)
		k.gets(frame.Answer, 1, frame.Done, rowB)
	}
}

// TestNotes: where the settings say that engines tell how far a job is, such a word ends nothing; elsewhere it makes no
// sense, and the job goes on on another connection.
func TestNotes(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := startWith(t, "", func(cfg *config.Config) { cfg.Settings.Notes = true }, e).client()
	k.quick(1, "2900")
	c := e.hears("serve")
	c.answer("FAR", "done=0.25", "")
	c.answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowB)
	k = start(t, "", e).client()
	k.quick(1, "2900")
	e.hears("serve").answer("FAR", "done=0.25", "")
	e.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 1, frame.Done, rowB)
}

func TestPanic(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.quick(1, "2000")
	e.hears("serve")
	b.c.do(func() { panic("for the test") })
	k.gets(frame.Answer, 1, frame.Failed, "")
	e.hears("cancel")
	k.quick(2, "2000")
	e.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
}

// TestUnreachable: a refused connection proves that nothing ran, and the job goes elsewhere.
func TestUnreachable(t *testing.T) {
	a, b := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	k := start(t, "", a, b).client()
	a.ln.Close()
	for stream := uint32(1); stream <= 4; stream++ {
		k.asks(stream, "", "class", "load", "id", fmt.Sprintf("%016x", stream), "wait", "2900", "once", "k")
		b.hears("serve").answer("HIT", "count=1", rowB)
		k.gets(frame.Answer, stream, frame.Done, rowB)
	}
}

// TestWithdrawn: on a connection that takes in nothing, what was not written is taken back and never arrives.
func TestWithdrawn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{c: &Controller{}, conn: conn, wake: make(chan struct{}, 1)} // no writer runs
	first, second := l.add([]byte("first ")), l.add([]byte("sec"), []byte("ond "))
	third := l.add([]byte("third"))
	if !l.withdraw(second) || l.withdraw(second) || l.wrote(first) || l.backlog() != len("first third")+2*messageOverhead {
		t.Error("not withdrawn", l.backlog())
	}
	if size, _, _, _ := l.hand(); size != len("first third")+2*messageOverhead || !l.wrote(third) || l.withdraw(third) {
		t.Error("withdrawn too late", size)
	}
	_ = conn.Writer().Flush()
	conn.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if got, err := io.ReadAll(peer); string(got) != "first third" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}
