package controller

import (
	"fmt"
	"testing"

	"yarrowbarrow/config"
	"yarrowbarrow/internal/frame"
)

// TestResultsBeyondMemory: pages of results are taken in up to half of the memory, and a request beyond that gets its answer at once.
func TestResultsBeyondMemory(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	b := start(t, "", e)
	k := b.client()
	k.asks(1, "select 1", "class", "load", "id", "0000000000000001", "wait", "2900", "once", "a")
	serve := e.hears("serve")
	half := b.c.cfg.MemoryMB << 20 / 2
	b.c.do(func() { b.c.bytes += half }) // others' pages
	serve.answer("HIT", "ticks=1,footprint=1,count=2", rowA)
	b.until(func() bool { return b.c.counts[enginesMisread] == 1 })
	b.c.do(func() {
		if b.c.bytes > half+100 {
			t.Errorf("%d bytes beyond half of the memory", b.c.bytes-half)
		}
		b.c.bytes -= half
	})
	again := e.hears("serve")
	again.answer("HIT", "ticks=1,footprint=1,count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
}

// TestUnreadAnswersShareQuarter: where connections hold a quarter of the memory, a client that reads nothing gets its even share of that.
func TestUnreadAnswersShareQuarter(t *testing.T) {
	b := start(t, "")
	b.client()
	b.client()
	share := int(b.c.cfg.MemoryMB<<20/4) / mostClients(b.c.cfg)
	for _, crowded := range []bool{false, true} {
		for n := range 2 {
			b.c.do(func() {
				if crowded {
					b.c.held.Add(b.c.cfg.MemoryMB << 20 / 4)
					defer b.c.held.Add(-b.c.cfg.MemoryMB << 20 / 4)
				}
				id := sorted(b.c.clients)[n]
				size := 100
				if n == 0 {
					size = share + 1
				}
				b.c.clients[id].send(frame.IsReady, 902, 1, "", "", make([]byte, size))
				if dropped := b.c.clients[id] == nil; dropped != (crowded && n == 0) {
					t.Error(fmt.Sprint("crowded ", crowded, ", client ", n, ": dropped ", dropped))
				}
			})
		}
	}
}

// TestEnginesBeyondMemory: of a list that is longer than the memory has room for, as many engines are kept as that has.
func TestEnginesBeyondMemory(t *testing.T) {
	b := startWith(t, "", func(cfg *config.Config) { cfg.MemoryMB = 32 })
	most := b.c.mostEngines()
	if most < 3200 {
		t.Fatal("no room for the longest list that operators have: ", most)
	}
	var all [][3]string
	for n := range most + 100 {
		all = append(all, [3]string{fmt.Sprint("x", n), fmt.Sprint("127.0.0.1:", 10000+n), "active"})
	}
	b.list.tell(true, all...)
	b.until(func() bool { return len(b.c.engines) == most && b.c.counts[enginesOverLimit] == 100 })
	b.list.tell(false, [3]string{"x0", "127.0.0.1:10000", "left"})
	b.until(func() bool { return len(b.c.engines) == most-1 })
	b.list.tell(false, [3]string{"y", "127.0.0.1:9999", "active"})
	b.until(func() bool { return b.c.engines["y"] != nil })
}
