package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"yarrowbarrow/lab/fleet/relay"
	"yarrowbarrow/lab/flood"
	"yarrowbarrow/lab/standin/discovery"
	"yarrowbarrow/lab/standin/engine"
)

// host is one engine process: a place among the engines is filled by another one after a replacement.
type host struct {
	name          string
	slot          int
	cores         int
	room          string
	engine        *engine.Engine
	recorder      *engineRecorder
	relays        []*relay.Relay // by room of controllers; none without faults on links
	coldStartedAt time.Duration  // when it was told as started cold, 0 for long ago
	removed       bool
	drainToldAt   map[int]time.Duration // when each controller was told that it leaves
}

// add starts an engine at a place, at an address of its own or one that another left.
func (f *fleet) addEngine(slot int, address string) (*host, error) {
	h := &host{name: fmt.Sprintf("engine-%03d", slot), slot: slot, cores: f.coresOf(slot), room: roomName(slot % f.Rooms), drainToldAt: map[int]time.Duration{},
		recorder: &engineRecorder{startedAt: f.startedAt, openAttempts: map[int]int{}}}
	var err error
	if address == "" {
		if address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	options := engine.Options{Cores: f.coresOf(slot), Cold: configuredColdStart.duration, Watch: h.recorder.observe}
	if h.engine, err = engine.Start(address, options); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if added := len(f.hosts); added >= f.Engines {
		h.name = fmt.Sprintf("engine-%03d-%d", slot, added)
	}
	for room := range f.Rooms {
		if !f.useRelays {
			break
		}
		relayAddress, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		r, err := relay.Start(relayAddress, address, f.Seed*31+int64(len(f.hosts)*f.Rooms+room))
		if err != nil {
			return nil, err
		}
		h.relays = append(h.relays, r)
	}
	f.hosts = append(f.hosts, h)
	return h, nil
}

// at is the host that fills a place now.
func (f *fleet) currentHost(slot int) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range slices.Backward(f.hosts) {
		if h.slot == slot && !h.removed {
			return h
		}
	}
	return nil
}

// seenFrom is a host as the list tells it to a room.
func (f *fleet) listEntry(h *host, room int, health string) discovery.Host {
	address := h.engine.Address()
	if len(h.relays) > 0 {
		address = h.relays[room].Address()
	}
	f.mu.Lock()
	coldStartedAt := h.coldStartedAt
	f.mu.Unlock()
	bornMillis := int64(0)
	if coldStartedAt > 0 {
		bornMillis = f.startedAt.Add(coldStartedAt).UnixMilli()
	}
	return discovery.Host{Host: h.name, Dial: address, Site: h.room, Class: f.machineType(h.slot), Health: health, Born: bornMillis}
}

// tellAll has the list tell every controller of a change, each as late as its list is.
func (f *fleet) announce(h *host, health string) {
	for n := range f.discoveries {
		tell := func() {
			f.mu.Lock()
			if health == "active" {
				delete(h.drainToldAt, n)
			} else if _, told := h.drainToldAt[n]; !told {
				// What a silent discovery has to tell counts as told when it speaks again, or 7 s later, as the protocol has it.
				now := time.Since(f.startedAt)
				h.drainToldAt[n] = max(now, min(f.silentUntil[n], now+7*time.Second))
			}
			f.mu.Unlock()
			f.discoveries[n].Tell(false, f.listEntry(h, n%f.Rooms, health))
		}
		f.mu.Lock()
		listDelay := f.listDelay[n]
		f.mu.Unlock()
		if listDelay == 0 {
			tell()
		} else {
			f.lateUpdates.Add(1)
			time.AfterFunc(listDelay, func() { defer f.lateUpdates.Done(); tell() })
		}
	}
}

// die ends a host's process; links to it refuse.
func (h *host) kill() {
	h.engine.Die()
	for _, r := range h.relays {
		_ = r.SetRefusing(true)
	}
}

func (h *host) restart() error {
	err := h.engine.Return()
	for _, r := range h.relays {
		if err == nil {
			err = r.SetRefusing(false)
		}
	}
	return err
}

// replace has an engine drain and another one take its place, cold: half of them at addresses of their own, as soon as the
// drain is told, the others at the address of the one that left, once that has ended.
func (f *fleet) replaceEngine(ctx context.Context, slot int, sameAddress bool) {
	old := f.currentHost(slot)
	if old == nil { // another fault is at it
		return
	}
	f.announce(old, "leaving")
	address := ""
	retire := func() {
		sleep(ctx, drainGrace+time.Second)
		f.mu.Lock()
		old.removed = true
		f.mu.Unlock()
		old.kill()
		f.announce(old, "left")
	}
	if sameAddress {
		retire()
		address = old.engine.Address()
	}
	h, err := f.addEngine(slot, address)
	if err != nil {
		f.Say("engine at place %d is not replaced: %v", slot, err)
		return
	}
	h.engine.Chill()
	f.mu.Lock()
	h.coldStartedAt = time.Since(f.startedAt)
	f.mu.Unlock()
	f.announce(h, "active")
	if !sameAddress {
		retire()
	}
}

// links gives the relays between rooms of controllers and hosts that a choice names.
func (f *fleet) selectRelays(selects func(room int, h *host) bool) (relays []*relay.Relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		for room, r := range h.relays {
			if selects(room, h) {
				relays = append(relays, r)
			}
		}
	}
	return relays
}

// suffer puts a trouble on links for a time.
func (f *fleet) impairLinks(ctx context.Context, duration time.Duration, impairment relay.Impairment, selects func(room int, h *host) bool) {
	relays := f.selectRelays(selects)
	start := time.Now()
	for _, r := range relays {
		r.SetImpairment(impairment)
	}
	sleep(ctx, duration)
	for _, r := range relays {
		r.SetImpairment(relay.Impairment{})
	}
	f.mu.Lock() // thousands of links take some time themselves
	f.longestImpairment = max(f.longestImpairment, time.Since(start))
	f.mu.Unlock()
}

// strikeLinks does what a fault on links does to all that it strikes: rooms that are cut off, or places of engines.
func (f *fleet) injectLinkFault(ctx context.Context, fault Fault, targets []int) {
	targeted := map[int]bool{}
	for _, n := range targets {
		targeted[n] = true
	}
	acrossBoundary := func(room int, h *host) bool { return targeted[room] != targeted[h.slot%f.Rooms] }
	fromTargetsOut := func(room int, h *host) bool { return targeted[room] && !targeted[h.slot%f.Rooms] }
	ofEngine := func(_ int, h *host) bool { return targeted[h.slot] }
	switch fault.Name {
	case "cut":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Silent: [2]bool{true, true}}, acrossBoundary)
	case "deaf": // what engines answer does not come back to the struck rooms
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Silent: [2]bool{relay.ToClient: true}}, fromTargetsOut)
	case "mute":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Silent: [2]bool{relay.ToServer: true}}, fromTargetsOut)
	case "silent":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Silent: [2]bool{true, true}}, ofEngine)
	case "delay":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond}, ofEngine)
	case "reset":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{MeanBytesToReset: 2000}, ofEngine)
	case "thin":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{BytesPerSecond: 2000}, ofEngine)
	}
}

// strikeEngines does what a fault of engines does.
func (f *fleet) injectEngineFault(ctx context.Context, fault Fault, slot int, rng *rand.Rand) {
	h := f.currentHost(slot)
	if h == nil {
		return
	}
	switch fault.Name {
	case "die", "lose":
		h.kill()
		announced := fault.Name == "lose"
		if announced {
			f.announce(h, "left")
		}
		sleep(ctx, fault.Duration)
		if announced {
			f.mu.Lock()
			h.coldStartedAt = time.Since(f.startedAt)
			f.mu.Unlock()
		}
		if err := h.restart(); err != nil {
			f.Say("%s does not come back: %v", h.name, err)
		}
		if announced {
			f.announce(h, "active")
		}
	case "hang":
		h.engine.Hang(true)
		sleep(ctx, fault.Duration)
		h.engine.Hang(false)
	case "fail":
		h.engine.Fail(true)
		sleep(ctx, fault.Duration)
		h.engine.Fail(false)
	case "babble":
		h.engine.Flood(flood.Engines())
		sleep(ctx, fault.Duration)
		h.engine.Flood(nil)
	case "slow":
		h.engine.Slow(4)
		sleep(ctx, fault.Duration)
		h.engine.Slow(1)
	case "flap": // well and late by turns of a second
		for until := time.Now().Add(fault.Duration); time.Now().Before(until) && ctx.Err() == nil; {
			h.engine.Slow(4)
			sleep(ctx, time.Second)
			h.engine.Slow(1)
			sleep(ctx, time.Second)
		}
	case "replace":
		sleep(ctx, time.Duration(rng.Int63n(int64(fault.Duration))))
		f.replaceEngine(ctx, slot, rng.Intn(2) == 0)
	}
}
