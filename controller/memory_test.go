package controller

import (
	"fmt"
	"strings"
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

// TestLongJobBeyondMemoryIsRefused guards against a long request that ends its connection while incomplete messages of
// others take the memory for them: it and what was open on the connection had no answer.
func TestLongJobBeyondMemoryIsRefused(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	cl := b.connect()
	cl.sendQuickJob(1, "2900")
	serve := e.expectCommand("serve")
	others := b.c.cfg.MemoryMB<<20/incompleteMemoryDivisor + 1
	b.c.connBytes.Add(others) // incomplete messages of other connections
	long := jobFrame(2, strings.Repeat("x", 200_000), "class", "quick", "id", string(jobIDOf(2)), "wait", "2900")
	cl.write(long[:100_000])
	b.waitUntil(func() bool { return b.linkOf(cl).handledBytes.Load() >= 100_000 })
	if held := b.c.connBytes.Load(); held > others+maxIdleBuffer {
		t.Errorf("%d bytes kept beyond the bound", held-others)
	}
	cl.write(long[100_000:], jobFrame(3, "select 1", "class", "quick", "id", string(jobIDOf(3)), "wait", "2900"))
	if fields := cl.expectFrame(frame.Answer, 2, frame.Rejected, ""); fields["after"] == "" {
		t.Error("no time to retry after: ", fields)
	}
	b.c.connBytes.Add(-others)
	serve.answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
	e.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 3, frame.Done, rowB)
	b.c.withLock(func() {
		if b.c.counts[clientsMalformed] != 0 || b.c.connBytes.Load() < 0 {
			t.Error("malformed: ", b.c.counts[clientsMalformed], ", bytes: ", b.c.connBytes.Load())
		}
	})
}

// TestSkippedMessageIsBounded: a client that does not complete a message whose bytes are skipped loses its connection like
// any other with half a message.
func TestSkippedMessageIsBounded(t *testing.T) {
	b := startController(t, "")
	cl := b.connect()
	others := b.c.cfg.MemoryMB<<20/incompleteMemoryDivisor + 1
	b.c.connBytes.Add(others)
	defer b.c.connBytes.Add(-others)
	cl.write(frame.AppendHeader(nil, frame.Job, 1, frame.MaxLength-frame.MinLength), make([]byte, 100_000))
	cl.expectFrame(frame.Answer, 0, frame.Failed, "")
	cl.expectClosed()
}

// TestFirstLongJobKeepsItsPlace: of two long requests that arrive at the same time and find room for one, the first goes
// to an engine and the second is refused.
func TestFirstLongJobKeepsItsPlace(t *testing.T) {
	const size, begun = 30_000, 20_000
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	first, second := b.connect(), b.connect()
	others := b.c.cfg.MemoryMB<<20/incompleteMemoryDivisor - size*3/2
	b.c.connBytes.Add(others)
	defer b.c.connBytes.Add(-others)
	long := func(id uint32) []byte {
		return jobFrame(1, strings.Repeat("x", size), "class", "quick", "id", string(jobIDOf(id)), "wait", "2900")
	}
	for n, cl := range []testClient{first, second} {
		cl.write(long(uint32(n))[:begun])
		b.waitUntil(func() bool { return b.linkOf(cl).handledBytes.Load() >= begun })
	}
	second.write(long(1)[begun:])
	second.expectFrame(frame.Answer, 1, frame.Rejected, "")
	first.write(long(0)[begun:])
	b.waitUntil(func() bool { return b.c.counts[attemptsDecided] == 1 })
	b.c.withLock(func() {
		if j := b.c.jobs[jobIDOf(0)]; j == nil || string(j.statement) != strings.Repeat("x", size) || b.c.counts[jobsOverLimit] != 1 {
			t.Error("the first job is not there as it was sent")
		}
	})
	b.waitUntil(func() bool { return b.c.connBytes.Load() <= others+2*maxIdleBuffer })
}
