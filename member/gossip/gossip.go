// Package gossip is the transport of decide/membership: messages go over UDP, exchanges of the full state over TCP at the same
// address. All messages carry an authentication code under a key that the fleet shares. The configuration limits the bytes per
// second in each direction; datagrams over the limit are dropped, like datagrams that the network loses.
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

	"yarrowbarrow/decide/membership"
)

const ms = time.Millisecond

// Config configures an instance.
type Config struct {
	Name              string
	Listen            string                        // UDP and TCP address to listen on, such as 10.0.0.4:7946
	AdvertiseAddress  string                        // advertised address, at which others reach this instance; empty if it is Listen
	Seeds             []string                      // addresses to join through
	KeyFile           string                        // one key per line, of at least 16 bytes; the first is used for sending, all are accepted; see ReadKeys
	Period            time.Duration                 // protocol period, see member.Settings
	MaxMembers        int                           // members that are kept
	MaxBytesPerSecond int                           // bytes per second in datagrams, each for sending and receiving
	Piggyback         map[byte]membership.Piggyback // modules whose data is piggybacked, by payload type
}

// Counts are counters of an instance since its start.
type Counts struct {
	Sent          int64 `json:"Sent"` // datagrams
	Received      int64 `json:"Came"` // datagrams
	SentBytes     int64 `json:"SentBytes"`
	ReceivedBytes int64 `json:"CameBytes"`
	RateLimited   int64 `json:"Bounded"` // datagrams not sent or not read because of Config.MaxBytesPerSecond
	Rejected      int64 `json:"Refused"` // messages of another key or version, replayed, or malformed
	Exchanges     int64 `json:"Streams"` // full states received
}

// Gossip is a running instance. Its member calls the methods Send, ExchangeState, WakeAt, StatusChanged, ContactChanged and
// Displaced, with the lock held. The other methods may be called from any goroutine.
type Gossip struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	udp       *net.UDPConn
	tcp       net.Listener

	mu            sync.Mutex
	member        *membership.Member
	keys          keys
	sender        uint64             // sender number of this instance
	number        uint64             // of the last datagram sent
	windows       map[uint64]*window // replay windows by sender number
	order         []uint64           // sender numbers of windows, oldest first
	outgoing      []datagram         // datagrams to send once the lock is released
	exchanges     []string           // addresses to exchange the full state with, once the lock is released
	logCalls      []func()           // log calls to make once the lock is released
	timer         *time.Timer
	counts        Counts
	buckets       [2]bucket // token buckets for sending and receiving
	openExchanges int       // state exchanges under way
	closed        bool
}

// datagram is a sealed datagram and where it goes.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// bucket is a token bucket in bytes that holds up to two seconds of its rate.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// take refills the bucket at a rate in bytes per second and takes bytes out, or returns false if there are too few.
func (b *bucket) take(now time.Duration, bytes, bytesPerSecond int) bool {
	b.tokens = min(b.tokens+float64(bytesPerSecond)*(now-b.refilledAt).Seconds(), 2*float64(bytesPerSecond))
	b.refilledAt = now
	if b.tokens < float64(bytes) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

// Start starts an instance, which runs until Close or Leave. It fails on an invalid key file and if it cannot listen.
func Start(cfg Config, log *slog.Logger) (*Gossip, error) {
	g := &Gossip{cfg: cfg, log: log, startedAt: time.Now(), windows: map[uint64]*window{}}
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
	advertised := cmp.Or(cfg.AdvertiseAddress, cfg.Listen)
	var seeds []membership.Address
	for _, seed := range cfg.Seeds {
		if seed != advertised {
			seeds = append(seeds, membership.Address(seed))
		}
	}
	life := g.startedAt.UnixNano()
	g.sender = senderNumber(cfg.Name, life)
	for i := range g.buckets {
		g.buckets[i].tokens = 2 * float64(cfg.MaxBytesPerSecond)
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	g.member = membership.New(g, membership.Settings{Name: membership.Name(cfg.Name), Address: membership.Address(advertised), Generation: membership.Generation(life),
		Seeds: seeds, Period: cfg.Period, MaxMembers: cfg.MaxMembers, Piggyback: cfg.Piggyback}, life)
	g.do(func(now time.Duration) { g.member.Start(now) })
	go g.receive()
	go g.accept()
	return g, nil
}

// minKeyBytes is the minimum length of a key.
const minKeyBytes = 16

// ReadKeys reads the key file again. If the file is invalid, it returns an error and the keys stay as they were.
//
// To rotate the key of a fleet, add the new key as the second one on all instances, then put it first on all instances, then
// remove the old one.
func (g *Gossip) ReadKeys() error {
	raw, err := os.ReadFile(g.cfg.KeyFile)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	var loaded keys
	for i, line := range strings.Split(string(raw), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minKeyBytes {
			return fmt.Errorf("key file %s: the key in line %d has %d bytes, wanted: %d or more", g.cfg.KeyFile, i+1, len(line), minKeyBytes)
		}
		loaded = append(loaded, []byte(line))
	}
	if len(loaded) == 0 || len(loaded) > 2 {
		return fmt.Errorf("key file %s: %d keys, wanted: one, or two during a key rotation", g.cfg.KeyFile, len(loaded))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keys = loaded
	return nil
}

// now is the clock that the member is given: the time since the start, which is monotonic.
func (g *Gossip) now() time.Duration { return time.Since(g.startedAt) }

// do runs f under the lock, and after its release sends, exchanges and logs what f has queued. It does nothing once closed.
func (g *Gossip) do(f func(now time.Duration)) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	f(g.now())
	outgoing, exchanges, logCalls := g.outgoing, g.exchanges, g.logCalls
	g.outgoing, g.exchanges, g.logCalls = nil, nil, nil
	g.mu.Unlock()
	for _, datagram := range outgoing {
		// A failed send is treated like a datagram lost in the network.
		_, _ = g.udp.WriteToUDPAddrPort(datagram.data, datagram.to)
	}
	for _, to := range exchanges {
		go g.exchange(to)
	}
	for _, call := range logCalls {
		call()
	}
}

func (g *Gossip) tick() { g.do(func(now time.Duration) { g.member.Tick(now) }) }

// Send queues a message as a datagram. If the message is too large, its payloads are removed, then half or all of the ages, then
// half or all of the updates.
func (g *Gossip) Send(to membership.Address, m membership.Message) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return
	}
	var encoded []byte
	for _, shrink := range []func(){func() {}, func() { m.Payloads = nil }, func() { m.Ages = m.Ages[:len(m.Ages)/2] },
		func() { m.Ages = nil }, func() { m.Updates = m.Updates[:len(m.Updates)/2] }, func() { m.Updates = nil }} {
		shrink()
		if encoded, err = encode(m); err != nil {
			return
		}
		if datagramHeaderBytes+len(encoded) <= maxDatagramBytes {
			break
		}
	}
	if datagramHeaderBytes+len(encoded) > maxDatagramBytes {
		return
	}
	if !g.buckets[0].take(g.now(), datagramHeaderBytes+len(encoded), g.cfg.MaxBytesPerSecond) {
		g.counts.RateLimited++
		return
	}
	g.number++
	sealed := make([]byte, datagramHeaderBytes, datagramHeaderBytes+len(encoded))
	binary.BigEndian.PutUint64(sealed[headerBytes:], g.sender)
	binary.BigEndian.PutUint64(sealed[headerBytes+8:], g.number)
	sealed = g.keys.seal(append(sealed, encoded...))
	g.counts.Sent++
	g.counts.SentBytes += int64(len(sealed))
	g.outgoing = append(g.outgoing, datagram{address, sealed})
}

// ExchangeState queues an exchange of the full state, which starts once the lock is released.
func (g *Gossip) ExchangeState(to membership.Address) { g.exchanges = append(g.exchanges, string(to)) }

// WakeAt sets the timer of the next tick.
func (g *Gossip) WakeAt(at time.Duration) { g.timer.Reset(max(at-g.now(), 0)) }

// StatusChanged logs the new status of a member.
func (g *Gossip) StatusChanged(_ time.Duration, m membership.Info) {
	level := slog.LevelInfo
	if m.Status == membership.Gone {
		level = slog.LevelWarn
	}
	g.logCalls = append(g.logCalls, func() {
		g.log.Log(context.Background(), level, "member", "is", m.Status.String(), "who", string(m.Name), "life", int64(m.Generation), "age", m.Age, "by", string(m.AccusedBy))
	})
}

// ContactChanged logs the new contact of this instance.
func (g *Gossip) ContactChanged(_ time.Duration, c membership.Contact, _ time.Duration) {
	g.logCalls = append(g.logCalls, func() { g.log.Info("contact", "is", c.String()) })
}

// Displaced logs that a later instance runs under the name of this one.
func (g *Gossip) Displaced(by membership.Record) {
	g.logCalls = append(g.logCalls, func() {
		g.log.Error("a later instance runs under this name; this instance is no longer a member", "address", string(by.Address), "life", int64(by.Generation))
	})
}

// receive reads datagrams and passes them to the member until the socket is closed.
func (g *Gossip) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // the system reports an earlier send to which nobody listens
		}
		data := buf[:n]
		g.do(func(now time.Duration) {
			g.counts.Received++
			g.counts.ReceivedBytes += int64(n)
			if !g.buckets[1].take(now, n, g.cfg.MaxBytesPerSecond) {
				g.counts.RateLimited++
				return
			}
			m, err := g.decodeDatagram(data)
			if err != nil {
				g.counts.Rejected++
				return
			}
			g.member.HandleMessage(now, membership.Address(from.String()), m)
		})
	}
}

// maxWindows limits the replay windows; it has room for several lives of each member of a fleet.
const maxWindows = 4096

// decodeDatagram authenticates and decodes a datagram, and rejects replays.
func (g *Gossip) decodeDatagram(data []byte) (m membership.Message, err error) {
	body, err := g.keys.open(data)
	if err != nil {
		return m, err
	}
	if len(body) < datagramHeaderBytes-headerBytes {
		return m, errLength
	}
	sender, number := binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])
	if m, err = decode(body[16:]); err != nil {
		return m, err
	}
	if senderNumber(string(m.From.Name), int64(m.From.Generation)) != sender {
		return m, errReplay
	}
	w := g.windows[sender]
	if w == nil {
		if len(g.order) >= maxWindows {
			delete(g.windows, g.order[0])
			g.order = g.order[1:]
		}
		w = &window{}
		g.windows[sender] = w
		g.order = append(g.order, sender)
	}
	if !w.accept(number) {
		return m, errReplay
	}
	return m, nil
}

// exchangeTimeout is for an entire state exchange; maxExchanges limits the exchanges under way at once.
const exchangeTimeout, maxExchanges = 5 * time.Second, 8

// exchange requests the full state of another instance, and sends its own with the request. The answer repeats the nonce of the
// request, which proves that it was sent after the request.
func (g *Gossip) exchange(to string) {
	if !g.beginExchange() {
		return
	}
	defer g.endExchange()
	dialer := net.Dialer{Timeout: exchangeTimeout / 5, LocalAddr: &net.TCPAddr{IP: g.udp.LocalAddr().(*net.UDPAddr).IP}}
	conn, err := dialer.Dial("tcp", to)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce) // never fails
	requestedAt := g.now()
	if g.writeState(conn, state{Nonce: nonce}) != nil {
		return
	}
	if answer, err := g.readState(conn); err == nil && string(answer.Answer) == string(nonce) {
		g.handleState(answer, requestedAt)
	}
}

// handleState passes a received state to the member. requestedAt is when it was requested, or negative for the state that comes
// with a request.
func (g *Gossip) handleState(s state, requestedAt time.Duration) {
	g.do(func(now time.Duration) {
		g.counts.Exchanges++
		g.member.HandleState(now, requestedAt, s.From.toMember(), fromRecords(s.Records), fromAges(s.Ages))
	})
}

// beginExchange reserves one of the maxExchanges, or returns false if all are taken or the instance is closed.
func (g *Gossip) beginExchange() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.openExchanges >= maxExchanges {
		return false
	}
	g.openExchanges++
	return true
}

// endExchange releases what beginExchange has reserved.
func (g *Gossip) endExchange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openExchanges--
}

// accept answers requests for the full state until the listener is closed.
func (g *Gossip) accept() {
	for {
		conn, err := g.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * ms) // probably out of file descriptors; wait until some are closed
			continue
		}
		if !g.beginExchange() {
			conn.Close()
			continue
		}
		go func() {
			defer g.endExchange()
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
			if request, err := g.readState(conn); err == nil && len(request.Nonce) > 0 {
				g.handleState(request, -1)
				_ = g.writeState(conn, state{Answer: request.Nonce})
			}
		}()
	}
}

// writeState sends the full state: the length in 4 bytes, then a sealed message as in a datagram, but without sender and number.
func (g *Gossip) writeState(conn net.Conn, s state) error {
	g.mu.Lock()
	from, records, ages := g.member.State(g.now())
	s.From, s.Records, s.Ages = toRecord(from), toRecords(records), toAges(ages)
	encoded, err := cbor.Marshal(s)
	if err != nil || len(encoded) > maxStateBytes {
		g.mu.Unlock()
		return errors.Join(err, errLength)
	}
	sealed := g.keys.seal(append(make([]byte, headerBytes, headerBytes+len(encoded)), encoded...))
	g.mu.Unlock()
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(sealed))), sealed...))
	return err
}

// readState reads, authenticates and checks what writeState has sent.
func (g *Gossip) readState(conn net.Conn) (s state, err error) {
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return s, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > headerBytes+maxStateBytes {
		return s, errLength
	}
	// The buffer grows with the bytes received, not with the length announced.
	data, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(data) < int(size) {
		return s, errors.Join(err, errLength)
	}
	g.mu.Lock()
	body, err := g.keys.open(data)
	if err != nil {
		g.counts.Rejected++
	}
	g.mu.Unlock()
	if err != nil {
		return s, err
	}
	if err = decoder().Unmarshal(body, &s); err != nil {
		return s, err
	}
	for _, r := range append([]record{s.From}, s.Records...) {
		if err := r.valid(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// View is a snapshot of what an instance knows.
type View struct {
	Own         membership.Record
	Contact     membership.Contact
	ContactFor  time.Duration // how long Contact has been so
	Members     []membership.Info
	BrokenLinks []membership.BrokenLink
	MaxFreshAge time.Duration // up to which age a sign of life counts as fresh
	Counts      Counts
}

// View returns what is known now, or the zero View once the instance is closed.
func (g *Gossip) View() (v View) {
	g.do(func(now time.Duration) {
		contact, since := g.member.Contact(now)
		v = View{Own: g.member.Own(), Contact: contact, ContactFor: now - since, Members: g.member.Members(now),
			BrokenLinks: g.member.BrokenLinks(), MaxFreshAge: g.member.MaxFreshAge(), Counts: g.counts}
	})
	return v
}

// DoLocked runs f under the lock under which the methods of Config.Piggyback are called, with the time on their clock. It does nothing
// once the instance is closed.
func (g *Gossip) DoLocked(f func(now time.Duration)) { g.do(f) }

// Leave announces to other members that this instance leaves, and closes it.
func (g *Gossip) Leave() {
	g.do(func(now time.Duration) { g.member.Leave(now) })
	g.Close()
}

// Close stops the instance without announcing it.
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
