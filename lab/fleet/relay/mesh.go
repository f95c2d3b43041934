package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is what a way from one instance to another suffers from. The zero value passes all at once.
type Link struct {
	Silent        bool
	Loss, Double  float64 // parts of the datagrams
	Delay, Jitter time.Duration
}

// Mesh stands between instances that talk by UDP, and by TCP at the same addresses: each is reached at an address of the
// mesh, which knows by the near end who sends. Its methods may be called from anywhere.
type Mesh struct {
	mu      sync.Mutex
	rng     *rand.Rand
	names   map[netip.Addr]string // by near end
	between func(from, to string) Link
	ports   []*port
	over    bool
	passed  int
	bytes   int64
}

// port is where one instance is reached.
type port struct {
	name string
	to   netip.AddrPort
	udp  *net.UDPConn
	tcp  net.Listener
}

// NewMesh passes all until it is told otherwise.
func NewMesh(seed int64) *Mesh {
	return &Mesh{rng: rand.New(rand.NewSource(seed)), names: map[netip.Addr]string{}, between: func(_, _ string) Link { return Link{} }}
}

// Add gives the address at which an instance is reached from now on; address is one that is free, to where it listens.
func (m *Mesh) Add(name, address, to string) (string, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", err
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	p := &port{name: name, to: target}
	if p.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	if p.tcp, err = net.Listen("tcp", address); err != nil {
		p.udp.Close()
		return "", fmt.Errorf("mesh: %w", err)
	}
	m.mu.Lock()
	m.names[target.Addr()] = name
	m.ports = append(m.ports, p)
	m.mu.Unlock()
	go m.datagrams(p)
	go m.streams(p)
	return address, nil
}

// Between says what each way suffers from, from now on. A stream passes where neither way is silent.
func (m *Mesh) Between(f func(from, to string) Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.between = f
}

// Whole has all pass again.
func (m *Mesh) Whole() { m.Between(func(_, _ string) Link { return Link{} }) }

// Passed is the number of datagrams and of their bytes so far.
func (m *Mesh) Passed() (datagrams int, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.passed, m.bytes
}

// Close ends it.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over = true
	for _, p := range m.ports {
		p.udp.Close()
		p.tcp.Close()
	}
}

func (m *Mesh) datagrams(p *port) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		m.mu.Lock()
		link := m.between(m.names[from.Addr()], p.name)
		copies := 1
		if m.rng.Float64() < link.Double {
			copies = 2
		}
		var waits []time.Duration
		for range copies {
			if link.Silent || m.rng.Float64() < link.Loss {
				continue
			}
			wait := link.Delay
			if link.Jitter > 0 {
				wait += time.Duration(m.rng.Int63n(int64(link.Jitter)))
			}
			waits = append(waits, wait)
		}
		m.passed += len(waits)
		m.bytes += int64(n * len(waits))
		m.mu.Unlock()
		text := append([]byte(nil), buf[:n]...)
		for _, wait := range waits {
			if wait == 0 {
				_, _ = p.udp.WriteToUDPAddrPort(text, p.to)
			} else {
				time.AfterFunc(wait, func() { _, _ = p.udp.WriteToUDPAddrPort(text, p.to) })
			}
		}
	}
}

func (m *Mesh) streams(p *port) {
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		m.mu.Lock()
		name := m.names[from.Addr()]
		silent := m.between(name, p.name).Silent || m.between(p.name, name).Silent
		m.mu.Unlock()
		if silent {
			conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			server, err := net.DialTimeout("tcp", p.to.String(), time.Second)
			if err != nil {
				return
			}
			defer server.Close()
			go func() { _, _ = io.Copy(server, conn) }()
			_, _ = io.Copy(conn, server)
		}()
	}
}
