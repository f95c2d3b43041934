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
	Silent          bool
	Loss, Duplicate float64 // parts of the datagrams
	Delay, Jitter   time.Duration
}

// Mesh stands between instances that talk by UDP, and by TCP at the same addresses: each is reached at an address of the
// mesh, which knows by the near end who sends. Its methods may be called from anywhere.
type Mesh struct {
	mu            sync.Mutex
	rng           *rand.Rand
	nameByAddr    map[netip.Addr]string // by near end
	linkBetween   func(from, to string) Link
	ports         []*meshPort
	closed        bool
	datagramCount int
	byteCount     int64
}

// port is where one instance is reached.
type meshPort struct {
	name   string
	target netip.AddrPort
	udp    *net.UDPConn
	tcp    net.Listener
}

// NewMesh passes all until it is told otherwise.
func NewMesh(seed int64) *Mesh {
	return &Mesh{rng: rand.New(rand.NewSource(seed)), nameByAddr: map[netip.Addr]string{}, linkBetween: func(_, _ string) Link { return Link{} }}
}

// Add gives the address at which an instance is reached from now on; address is one that is free, to where it listens.
func (m *Mesh) Add(name, address, to string) (string, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", err
	}
	listenAt, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	added := &meshPort{name: name, target: target}
	if added.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAt)); err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	if added.tcp, err = net.Listen("tcp", address); err != nil {
		added.udp.Close()
		return "", fmt.Errorf("mesh: %w", err)
	}
	m.mu.Lock()
	m.nameByAddr[target.Addr()] = name
	m.ports = append(m.ports, added)
	m.mu.Unlock()
	go m.forwardDatagrams(added)
	go m.forwardStreams(added)
	return address, nil
}

// Between says what each way suffers from, from now on. A stream passes where neither way is silent.
func (m *Mesh) SetLinks(linkBetween func(from, to string) Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.linkBetween = linkBetween
}

// Whole has all pass again.
func (m *Mesh) Heal() { m.SetLinks(func(_, _ string) Link { return Link{} }) }

// Passed is the number of datagrams and of their bytes so far.
func (m *Mesh) Forwarded() (datagrams int, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.datagramCount, m.byteCount
}

// Close ends it.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, p := range m.ports {
		p.udp.Close()
		p.tcp.Close()
	}
}

func (m *Mesh) forwardDatagrams(p *meshPort) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		m.mu.Lock()
		link := m.linkBetween(m.nameByAddr[from.Addr()], p.name)
		copies := 1
		if m.rng.Float64() < link.Duplicate {
			copies = 2
		}
		var delays []time.Duration
		for range copies {
			if link.Silent || m.rng.Float64() < link.Loss {
				continue
			}
			delay := link.Delay
			if link.Jitter > 0 {
				delay += time.Duration(m.rng.Int63n(int64(link.Jitter)))
			}
			delays = append(delays, delay)
		}
		m.datagramCount += len(delays)
		m.byteCount += int64(n * len(delays))
		m.mu.Unlock()
		payload := append([]byte(nil), buf[:n]...)
		for _, delay := range delays {
			if delay == 0 {
				_, _ = p.udp.WriteToUDPAddrPort(payload, p.target)
			} else {
				time.AfterFunc(delay, func() { _, _ = p.udp.WriteToUDPAddrPort(payload, p.target) })
			}
		}
	}
}

func (m *Mesh) forwardStreams(p *meshPort) {
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		m.mu.Lock()
		name := m.nameByAddr[from.Addr()]
		silent := m.linkBetween(name, p.name).Silent || m.linkBetween(p.name, name).Silent
		m.mu.Unlock()
		if silent {
			conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			server, err := net.DialTimeout("tcp", p.target.String(), time.Second)
			if err != nil {
				return
			}
			defer server.Close()
			go func() { _, _ = io.Copy(server, conn) }()
			_, _ = io.Copy(conn, server)
		}()
	}
}
