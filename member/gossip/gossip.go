// Package gossip carries decide/member over UDP, and full states over TCP at the same address. All messages bear a code
// under a key that the fleet shares. What goes and comes is bounded by the configuration; what is over the bound is dropped,
// as the network would.
package gossip

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yarrowbarrow/decide/member"
)

const ms = time.Millisecond

// Config of an instance.
type Config struct {
	Name    string
	Listen  string   // UDP and TCP, such as 10.0.0.4:7946
	Told    string   // the address by which others reach it, where that is another
	Seeds   []string // where others may be found
	KeyFile string   // a key a line, at least 16 bytes each: the first is used, all are taken; read again with ReadKeys
	Period  time.Duration
	Most    int // members
	BytesPS int // each way
	Cargo   map[byte]member.Cargo
}

// Counts of an instance since its start.
type Counts struct {
	Sent      int64 `json:"Sent"` // datagrams
	Came      int64 `json:"Came"`
	SentBytes int64 `json:"SentBytes"`
	CameBytes int64 `json:"CameBytes"`
	Bounded   int64 `json:"Bounded"` // not sent or not read, as there was more than the configuration allows
	Refused   int64 `json:"Refused"` // of another key or version, replayed, or unreadable
	Streams   int64 `json:"Streams"` // full states exchanged
}

// Gossip is one instance. Its methods may be called from anywhere.
type Gossip struct {
	cfg  Config
	log  *slog.Logger
	born time.Time
	udp  *net.UDPConn
	tcp  net.Listener

	mu      sync.Mutex
	member  *member.Member
	keys    keys
	sender  uint64
	number  uint64
	windows map[uint64]*window
	order   []uint64 // of windows, oldest first
	out     []outgoing
	streams []string // to exchange the full state with
	lines   []func()
	timer   *time.Timer
	counts  Counts
	allowed [2]bucket // out, in
	open    int       // streams under way
	closed  bool
}

type outgoing struct {
	to   netip.AddrPort
	text []byte
}

// bucket holds what may pass, up to two seconds' worth.
type bucket struct {
	left float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, n, perS int) bool {
	b.left = min(b.left+float64(perS)*(now-b.at).Seconds(), 2*float64(perS))
	b.at = now
	if b.left < float64(n) {
		return false
	}
	b.left -= float64(n)
	return true
}

// Start begins an instance; Close or Leave ends it.
func Start(cfg Config, log *slog.Logger) (*Gossip, error) {
	g := &Gossip{cfg: cfg, log: log, born: time.Now(), windows: map[uint64]*window{}}
	if err := g.ReadKeys(); err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	if g.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	if g.tcp, err = net.Listen("tcp", cfg.Listen); err != nil {
		g.udp.Close()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	told := cmp.Or(cfg.Told, cfg.Listen)
	var seeds []member.Address
	for _, s := range cfg.Seeds {
		if s != told {
			seeds = append(seeds, member.Address(s))
		}
	}
	life := g.born.UnixNano()
	g.sender = senderOf(cfg.Name, life)
	for n := range g.allowed {
		g.allowed[n].left = 2 * float64(cfg.BytesPS)
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	g.member = member.New(g, member.Settings{Name: member.Name(cfg.Name), Address: member.Address(told), Life: member.Life(life),
		Seeds: seeds, Period: cfg.Period, Most: cfg.Most, Cargo: cfg.Cargo}, life)
	g.do(func(now time.Duration) { g.member.Begin(now) })
	go g.hear()
	go g.accept()
	return g, nil
}

// leastKey in bytes.
const leastKey = 16

// ReadKeys reads the key file again. A faulty one changes nothing. To change the key of a fleet: add the new one as second
// everywhere, then put it first everywhere, then take the old one out.
func (g *Gossip) ReadKeys() error {
	raw, err := os.ReadFile(g.cfg.KeyFile)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	var read keys
	for n, line := range strings.Split(string(raw), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < leastKey {
			return fmt.Errorf("key file %s: line %d has %d bytes, wanted: %d or more", g.cfg.KeyFile, n+1, len(line), leastKey)
		}
		read = append(read, []byte(line))
	}
	if len(read) == 0 || len(read) > 2 {
		return fmt.Errorf("key file %s: %d keys, wanted: one, or two while they change", g.cfg.KeyFile, len(read))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keys = read
	return nil
}

func (g *Gossip) now() time.Duration { return time.Since(g.born) }

// do runs f under the lock, and then sends and logs what came of it.
func (g *Gossip) do(f func(now time.Duration)) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	f(g.now())
	out, streams, lines := g.out, g.streams, g.lines
	g.out, g.streams, g.lines = nil, nil, nil
	g.mu.Unlock()
	for _, o := range out {
		_, _ = g.udp.WriteToUDPAddrPort(o.text, o.to) // what can't leave is lost, as on the way
	}
	for _, to := range streams {
		go g.exchange(to)
	}
	for _, line := range lines {
		line()
	}
}

func (g *Gossip) tick() { g.do(func(now time.Duration) { g.member.Tick(now) }) }

// Send puts a message into a datagram; what does not fit loses its parcels, ages and news, in this order.
func (g *Gossip) Send(to member.Address, m member.Message) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return
	}
	var text []byte
	for _, less := range []func(){func() {}, func() { m.Parcels = nil }, func() { m.Ages = m.Ages[:len(m.Ages)/2] },
		func() { m.Ages = nil }, func() { m.News = m.News[:len(m.News)/2] }, func() { m.News = nil }} {
		less()
		if text, err = encode(m); err != nil {
			return
		}
		if numbered+len(text) <= mostDatagram {
			break
		}
	}
	if numbered+len(text) > mostDatagram {
		return
	}
	if !g.allowed[0].take(g.now(), numbered+len(text), g.cfg.BytesPS) {
		g.counts.Bounded++
		return
	}
	g.number++
	whole := make([]byte, numbered, numbered+len(text))
	binary.BigEndian.PutUint64(whole[headSize:], g.sender)
	binary.BigEndian.PutUint64(whole[headSize+8:], g.number)
	whole = g.keys.seal(append(whole, text...))
	g.counts.Sent++
	g.counts.SentBytes += int64(len(whole))
	g.out = append(g.out, outgoing{address, whole})
}

// Exchange asks for a stream once the lock is free.
func (g *Gossip) Exchange(to member.Address) { g.streams = append(g.streams, string(to)) }

// WakeAt sets the one timer.
func (g *Gossip) WakeAt(at time.Duration) { g.timer.Reset(max(at-g.now(), 0)) }

// Changed logs what is concluded of a member.
func (g *Gossip) Changed(_ time.Duration, m member.One) {
	level := slog.LevelInfo
	if m.Status == member.Gone {
		level = slog.LevelWarn
	}
	g.lines = append(g.lines, func() {
		g.log.Log(context.Background(), level, "member", "is", m.Status.String(), "who", string(m.Name), "life", int64(m.Life), "age", m.Age, "by", string(m.By))
	})
}

// Turned logs the verdict on this instance.
func (g *Gossip) Turned(_ time.Duration, c member.Contact, _ time.Duration) {
	g.lines = append(g.lines, func() { g.log.Info("contact", "is", c.String()) })
}

// Displaced logs that another has this name.
func (g *Gossip) Displaced(by member.Record) {
	g.lines = append(g.lines, func() {
		g.log.Error("another instance has this name: this one is no member any more", "address", string(by.Address), "life", int64(by.Life))
	})
}

// hear reads datagrams.
func (g *Gossip) hear() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // an answer of the system about something sent: nobody listens there
		}
		text := buf[:n]
		g.do(func(now time.Duration) {
			g.counts.Came++
			g.counts.CameBytes += int64(n)
			if !g.allowed[1].take(now, n, g.cfg.BytesPS) {
				g.counts.Bounded++
				return
			}
			m, err := g.read(text)
			if err != nil {
				g.counts.Refused++
				return
			}
			g.member.Heard(now, member.Address(from.String()), m)
		})
	}
}

// mostWindows are kept: some lives of each member of a fleet.
const mostWindows = 4096

func (g *Gossip) read(text []byte) (m member.Message, err error) {
	body, err := g.keys.open(text)
	if err != nil {
		return m, err
	}
	if len(body) < numbered-headSize {
		return m, errShort
	}
	sender, number := binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])
	if m, err = decode(body[16:]); err != nil {
		return m, err
	}
	if senderOf(string(m.From.Name), int64(m.From.Life)) != sender {
		return m, errReplay
	}
	w := g.windows[sender]
	if w == nil {
		if len(g.order) >= mostWindows {
			delete(g.windows, g.order[0])
			g.order = g.order[1:]
		}
		w = &window{}
		g.windows[sender] = w
		g.order = append(g.order, sender)
	}
	if !w.take(number) {
		return m, errReplay
	}
	return m, nil
}

// streamTime is for a whole exchange; mostStreams are under way at once.
const streamTime, mostStreams = 5 * time.Second, 8

// exchange asks another for its full state, and gives its own. The answer bears the nonce of the question, so what it tells
// left the other after this moment.
func (g *Gossip) exchange(to string) {
	if !g.enter() {
		return
	}
	defer g.leave()
	dialer := net.Dialer{Timeout: streamTime / 5, LocalAddr: &net.TCPAddr{IP: g.udp.LocalAddr().(*net.UDPAddr).IP}}
	conn, err := dialer.Dial("tcp", to)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce) // which never fails
	asked := g.now()
	if g.write(conn, state{Nonce: nonce}) != nil {
		return
	}
	if answer, err := g.readState(conn); err == nil && string(answer.Answer) == string(nonce) {
		g.take(answer, asked)
	}
}

func (g *Gossip) take(s state, asked time.Duration) {
	g.do(func(now time.Duration) {
		g.counts.Streams++
		g.member.Synced(now, asked, s.From.record(), records(s.All), ages(s.Ages))
	})
}

func (g *Gossip) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.open >= mostStreams {
		return false
	}
	g.open++
	return true
}

func (g *Gossip) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}

// accept answers those who ask.
func (g *Gossip) accept() {
	for {
		conn, err := g.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * ms) // descriptors are short for the moment
			continue
		}
		if !g.enter() {
			conn.Close()
			continue
		}
		go func() {
			defer g.leave()
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(streamTime))
			if asked, err := g.readState(conn); err == nil && len(asked.Nonce) > 0 {
				g.take(asked, -1)
				_ = g.write(conn, state{Answer: asked.Nonce})
			}
		}()
	}
}

// write sends the full state with a head of its own: its length, then as a datagram without a number.
func (g *Gossip) write(conn net.Conn, s state) error {
	g.mu.Lock()
	from, all, known := g.member.State(g.now())
	s.From, s.All, s.Ages = toRecord(from), toRecords(all), toAges(known)
	text, err := cbor.Marshal(s)
	if err != nil || len(text) > mostState {
		g.mu.Unlock()
		return errors.Join(err, errShort)
	}
	whole := g.keys.seal(append(make([]byte, headSize, headSize+len(text)), text...))
	g.mu.Unlock()
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(whole))), whole...))
	return err
}

func (g *Gossip) readState(conn net.Conn) (s state, err error) {
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return s, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > headSize+mostState {
		return s, errShort
	}
	text, err := io.ReadAll(io.LimitReader(conn, int64(size))) // grows with what comes, not with what is said
	if err != nil || len(text) < int(size) {
		return s, errors.Join(err, errShort)
	}
	g.mu.Lock()
	body, err := g.keys.open(text)
	if err != nil {
		g.counts.Refused++
	}
	g.mu.Unlock()
	if err != nil {
		return s, err
	}
	if err = reader().Unmarshal(body, &s); err != nil {
		return s, err
	}
	for _, r := range append([]record{s.From}, s.All...) {
		if err := r.valid(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// View is what an instance knows.
type View struct {
	Own     member.Record
	Contact member.Contact
	Since   time.Duration // how long it has been so
	Members []member.One
	Missed  []member.Missing
	Fresh   time.Duration // up to which age words count as fresh
	Counts  Counts
}

// View gives what is known now.
func (g *Gossip) View() (v View) {
	g.do(func(now time.Duration) {
		contact, since := g.member.Contact(now)
		v = View{Own: g.member.Own(), Contact: contact, Since: now - since, Members: g.member.Members(now),
			Missed: g.member.Missed(), Fresh: g.member.FreshWithin(), Counts: g.counts}
	})
	return v
}

// With runs f under the lock that guards what travels along, with the clock that members are told.
func (g *Gossip) With(f func(now time.Duration)) { g.do(f) }

// Leave says good-bye and ends it.
func (g *Gossip) Leave() {
	g.do(func(now time.Duration) { g.member.Leave(now) })
	g.Close()
}

// Close ends it without a word.
func (g *Gossip) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.timer.Stop()
	_ = g.udp.Close()
	_ = g.tcp.Close()
}
