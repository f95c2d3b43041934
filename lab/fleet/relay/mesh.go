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

// Link describes how the path from one instance to another is impaired. The zero value forwards everything at once.
type Link struct {
	Silent          bool
	Loss, Duplicate float64 // shares of datagrams that are lost and duplicated
	Delay, Jitter   time.Duration
}

// Mesh forwards UDP datagrams between instances, and TCP connections at the same addresses. Each instance is reached at an address of the
// mesh, which identifies senders by their source address. Its methods are safe for concurrent use.
type Mesh struct {
	mu            sync.Mutex
	rng           *rand.Rand
	nameByAddr    map[netip.Addr]string // instance names by source address
	linkBetween   func(from, to string) Link
	ports         []*meshPort
	closed        bool
	datagramCount int
	byteCount     int64
}

// meshPort is the address of the mesh at which one instance is reached.
type meshPort struct {
	name   string
	target netip.AddrPort
	udp    *net.UDPConn
	tcp    net.Listener
}

// NewMesh returns a mesh that forwards everything until SetLinks is called. The seed determines loss, duplicates and jitter.
func NewMesh(seed int64) *Mesh {
	return &Mesh{rng: rand.New(rand.NewSource(seed)), nameByAddr: map[netip.Addr]string{}, linkBetween: func(_, _ string) Link { return Link{} }}
}

// Add makes the instance that listens at to reachable at address, which must be free, and returns that address.
func (m *Mesh) Add(name, address, to string) (string, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", err
	}
	listenAt, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	port := &meshPort{name: name, target: target}
	if port.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAt)); err != nil {
		return "", fmt.Errorf("mesh: %w", err)
	}
	if port.tcp, err = net.Listen("tcp", address); err != nil {
		port.udp.Close()
		return "", fmt.Errorf("mesh: %w", err)
	}
	m.mu.Lock()
	m.nameByAddr[target.Addr()] = name
	m.ports = append(m.ports, port)
	m.mu.Unlock()
	go m.forwardDatagrams(port)
	go m.forwardStreams(port)
	return address, nil
}

// SetLinks sets the impairment of each path from now on. A TCP connection is forwarded if neither direction is silent when it is opened;
// the other impairments do not apply to it.
func (m *Mesh) SetLinks(linkBetween func(from, to string) Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.linkBetween = linkBetween
}

// Heal removes all impairments.
func (m *Mesh) Heal() { m.SetLinks(func(_, _ string) Link { return Link{} }) }

// Forwarded returns the number of datagrams forwarded so far, and of their bytes. Duplicates count; lost datagrams do not.
func (m *Mesh) Forwarded() (datagrams int, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.datagramCount, m.byteCount
}

// Close stops the mesh.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, p := range m.ports {
		p.udp.Close()
		p.tcp.Close()
	}
}

// forwardDatagrams forwards datagrams to one instance until the mesh is closed.
func (m *Mesh) forwardDatagrams(port *meshPort) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := port.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		m.mu.Lock()
		link := m.linkBetween(m.nameByAddr[from.Addr()], port.name)
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
				_, _ = port.udp.WriteToUDPAddrPort(payload, port.target)
			} else {
				time.AfterFunc(delay, func() { _, _ = port.udp.WriteToUDPAddrPort(payload, port.target) })
			}
		}
	}
}

// forwardStreams forwards TCP connections to one instance until the mesh is closed.
func (m *Mesh) forwardStreams(port *meshPort) {
	for {
		conn, err := port.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
		m.mu.Lock()
		name := m.nameByAddr[from.Addr()]
		silent := m.linkBetween(name, port.name).Silent || m.linkBetween(port.name, name).Silent
		m.mu.Unlock()
		if silent {
			conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			server, err := net.DialTimeout("tcp", port.target.String(), time.Second)
			if err != nil {
				return
			}
			defer server.Close()
			go func() { _, _ = io.Copy(server, conn) }()
			_, _ = io.Copy(conn, server)
		}()
	}
}
