package fleet

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"yarrowbarrow/lab/flood"
	"yarrowbarrow/lab/load"
	"yarrowbarrow/lab/standin/discovery"
)

// floodLimitsMB are the memory limits of flooded processes: the lowest that the configuration allows, and the highest of the scored scenarios.
var floodLimitsMB = []int64{32, 192}

// testFloods runs each flood against a process of its own at each limit. The process must stay within the limit and go on serving.
func testFloods(t *testing.T, floods []flood.Flood, start func(*testing.T, flood.Flood, Limits) *Process) {
	t.Helper()
	for _, limit := range floodLimitsMB {
		for _, f := range floods {
			t.Run(fmt.Sprint(f.Name, " at ", limit, " MB"), func(t *testing.T) {
				requireWithinMemory(t, start(t, f, Limits{Cores: 1, MemoryMB: limit, Sockets: 256}))
			})
		}
	}
}

// startWithLimits starts a process with resource limits.
func startWithLimits(t *testing.T, p *Process, limits Limits) *Process {
	t.Helper()
	p.Limits = limits
	if err := p.Start(testTimeout); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestMemoryLimitUnderClientFloods guards against a process that exceeds its memory limit because clients send at full speed or read nothing.
func TestMemoryLimitUnderClientFloods(t *testing.T) {
	testFloods(t, flood.Clients("quick"), func(t *testing.T, f flood.Flood, limits Limits) *Process {
		p, _, _ := newProcessWithFakes(t, limits.Sockets, shortSettings, 1)
		startWithLimits(t, p, limits)
		var floods sync.WaitGroup
		for range 16 {
			floods.Add(1)
			go func() {
				defer floods.Done()
				_ = f.Run(p.Listen)
			}()
		}
		floods.Wait()
		return p
	})
}

// TestMemoryLimitUnderEngineFloods is the same for engines that answer a request with a flood.
func TestMemoryLimitUnderEngineFloods(t *testing.T) {
	testFloods(t, flood.Engines(), func(t *testing.T, f flood.Flood, limits Limits) *Process {
		p, list, _ := newProcessWithFakes(t, limits.Sockets, shortSettings, 0)
		list.Publish(true, discovery.Host{Host: "e0", Dial: startFloodingPeer(t, f), Site: "east", Class: "std", Health: "active"})
		p.Known = list.EventsAfter(0)
		startWithLimits(t, p, limits)
		client := newTestClient(t, p, 1)
		for range 16 {
			client.sendIgnoringResult()
		}
		_ = client.awaitAnswers()
		return p
	})
}

// TestMemoryLimitUnderDiscoveryFloods is the same for floods from discovery.
func TestMemoryLimitUnderDiscoveryFloods(t *testing.T) {
	testFloods(t, flood.Discoveries(), func(t *testing.T, f flood.Flood, limits Limits) *Process {
		p, _, _ := newProcessWithFakes(t, limits.Sockets, shortSettings, 1)
		p.Discovery = startFloodingPeer(t, f)
		startWithLimits(t, p, limits)
		time.Sleep(time.Second)
		return p
	})
}

// startFloodingPeer starts a peer that answers the first byte on a connection with a flood, and returns its address.
func startFloodingPeer(t *testing.T, f flood.Flood) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() {
				defer conn.Close()
				if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
					f.Send(conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// sendIgnoringResult sends a job whose outcome does not matter.
func (c *testClient) sendIgnoringResult() {
	c.t.Helper()
	c.pending.Add(1)
	c.sent++
	err := c.Send(load.Job{Type: "quick", ID: fmt.Sprintf("%08x%08x", c.number, c.sent), Wait: time.Second, Statement: "select 1"},
		func(load.Answer, error) { c.pending.Done() })
	if err != nil {
		c.t.Fatal(err)
	}
}

// requireRunning fails the test if the process has ended.
func requireRunning(t *testing.T, p *Process) {
	t.Helper()
	select {
	case <-p.Ended():
		t.Fatal("the process has ended: ", p.Err(), "\n", p.Log())
	default:
	}
}

// requireWithinMemory fails the test unless the process runs, accepts a job of a new client, and never exceeded its memory limit.
func requireWithinMemory(t *testing.T, p *Process) {
	t.Helper()
	requireRunning(t, p)
	client := newTestClient(t, p, 2)
	client.sendIgnoringResult()
	_ = client.awaitAnswers()
	requireRunning(t, p)
	peak := p.PeakMB()
	t.Logf("peak memory %.1f MB", peak)
	if peak > float64(p.Limits.MemoryMB) {
		t.Errorf("peak memory %.0f MB, limit %d MB", peak, p.Limits.MemoryMB)
	}
}

// TestStalledClientEndsProcess guards against a process that ends when a client reads none of its answers for longer than a write may take.
// Only that client's connection may end.
func TestStalledClientEndsProcess(t *testing.T) {
	t.Parallel()
	p := startAlone(t, 256)
	var floods sync.WaitGroup
	for _, f := range flood.Clients("quick") {
		if f.Unread {
			f.ChunkCount, f.Linger, f.Deadline = 4, 8*time.Second, 10*time.Second
			floods.Add(1)
			go func() {
				defer floods.Done()
				_ = f.Run(p.Listen)
			}()
		}
	}
	floods.Wait()
	requireRunning(t, p)
	client := newTestClient(t, p, 2)
	client.sendJob()
	if err := client.awaitAnswers(); err != nil {
		t.Error(err)
	}
}
