package controller

import (
	"fmt"
	"testing"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/frame"
)

// TestResultsBeyondMemory: result pages may take up to half of the memory. A job beyond that is not left without an
// answer: its connection fails at once, and the next attempt serves it.
func TestResultsBeyondMemory(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	cl := b.connect()
	cl.sendJob(1, "select 1", "class", "load", "id", "0000000000000001", "wait", "2900", "once", "a")
	serve := e.expectCommand("serve")
	half := b.c.cfg.MemoryMB << 20 / 2
	b.c.withLock(func() { b.c.jobBytes += half }) // pages of other jobs
	serve.answer("HIT", "ticks=1,footprint=1,count=2", rowA)
	b.waitUntil(func() bool { return b.c.counts[enginesMalformed] == 1 })
	b.c.withLock(func() {
		if b.c.jobBytes > half+100 {
			t.Errorf("%d bytes beyond half of the memory", b.c.jobBytes-half)
		}
		b.c.jobBytes -= half
	})
	again := e.expectCommand("serve")
	again.answer("HIT", "ticks=1,footprint=1,count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
}

// TestUnreadAnswersShareQuarter: while connections hold a quarter of the memory, a client that reads nothing may hold
// only its even share of it.
func TestUnreadAnswersShareQuarter(t *testing.T) {
	b := startController(t, "")
	b.connect()
	b.connect()
	share := int(b.c.cfg.MemoryMB<<20/4) / maxClients(b.c.cfg)
	for _, crowded := range []bool{false, true} {
		for index := range 2 {
			b.c.withLock(func() {
				if crowded {
					b.c.connBytes.Add(b.c.cfg.MemoryMB << 20 / 4)
					defer b.c.connBytes.Add(-b.c.cfg.MemoryMB << 20 / 4)
				}
				id := sorted(b.c.clients)[index]
				size := 100
				if index == 0 {
					size = share + 1
				}
				b.c.clients[id].sendFrame(frame.ReadinessResponse, 902, 1, "", "", make([]byte, size))
				if dropped := b.c.clients[id] == nil; dropped != (crowded && index == 0) {
					t.Error(fmt.Sprint("crowded ", crowded, ", client ", index, ": dropped ", dropped))
				}
			})
		}
	}
}

// TestEnginesBeyondMemory: from a list that is too long for the memory, as many engines are kept as fit.
func TestEnginesBeyondMemory(t *testing.T) {
	b := startWithConfig(t, "", func(cfg *config.Config) { cfg.MemoryMB = 32 })
	limit := b.c.maxEngines()
	if limit < 3200 {
		t.Fatal("no room for the operators' longest list: ", limit)
	}
	var all [][3]string
	for n := range limit + 100 {
		all = append(all, [3]string{fmt.Sprint("x", n), fmt.Sprint("127.0.0.1:", 10000+n), "active"})
	}
	b.discovery.publish(true, all...)
	b.waitUntil(func() bool { return len(b.c.engines) == limit && b.c.counts[enginesOverLimit] == 100 })
	b.discovery.publish(false, [3]string{"x0", "127.0.0.1:10000", "left"})
	b.waitUntil(func() bool { return len(b.c.engines) == limit-1 })
	b.discovery.publish(false, [3]string{"y", "127.0.0.1:9999", "active"})
	b.waitUntil(func() bool { return b.c.engines["y"] != nil })
}
