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

// host is one engine process. Each slot has one engine at a time; a replacement fills the slot with a new host.
type host struct {
	name          string
	slot          int
	cores         int
	room          string
	engine        *engine.Engine
	recorder      *engineRecorder
	relays        []*relay.Relay        // by room of controllers; empty without faults on links
	coldStartedAt time.Duration         // when it was announced as started cold; 0: long ago
	removed       bool                  // replaced in its slot
	drainToldAt   map[int]time.Duration // by controller, when it learned that the engine leaves
}

// addEngine starts an engine in a slot, at a new address if address is empty, otherwise at that of the engine it replaces.
func (f *fleet) addEngine(slot int, address string) (*host, error) {
	h := &host{name: fmt.Sprintf("engine-%03d", slot), slot: slot, cores: f.coresOf(slot), room: roomName(slot % f.Rooms),
		drainToldAt: map[int]time.Duration{}, recorder: &engineRecorder{startedAt: f.startedAt, openAttempts: map[int]int{}}}
	var err error
	if address == "" {
		if address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	options := engine.Options{Cores: f.coresOf(slot), WarmUp: configuredColdStart.duration, Watch: h.recorder.observe}
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

// currentHost returns the host in a slot, or nil while it is being replaced.
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

// listEntry returns the entry for a host in the list for controllers of a room.
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

// announce publishes a change of a host's health in every controller's list, each after the delay of that list.
func (f *fleet) announce(h *host, health string) {
	for controller := range f.discoveries {
		update := func() {
			f.mu.Lock()
			if health == "active" {
				delete(h.drainToldAt, controller)
			} else if _, told := h.drainToldAt[controller]; !told {
				// By the protocol, a change while discovery does not answer counts as known when it answers again, or 7 s later at the latest.
				now := time.Since(f.startedAt)
				h.drainToldAt[controller] = max(now, min(f.silentUntil[controller], now+7*time.Second))
			}
			f.mu.Unlock()
			f.discoveries[controller].Publish(false, f.listEntry(h, controller%f.Rooms, health))
		}
		f.mu.Lock()
		listDelay := f.listDelay[controller]
		f.mu.Unlock()
		if listDelay == 0 {
			update()
		} else {
			f.lateUpdates.Add(1)
			time.AfterFunc(listDelay, func() { defer f.lateUpdates.Done(); update() })
		}
	}
}

// kill ends the host's process; its relays refuse connections from then on.
func (h *host) kill() {
	h.engine.Crash()
	for _, r := range h.relays {
		_ = r.SetRefusing(true)
	}
}

// restart starts the host's process again and reopens its relays.
func (h *host) restart() error {
	err := h.engine.Restart()
	for _, r := range h.relays {
		if err == nil {
			err = r.SetRefusing(false)
		}
	}
	return err
}

// replaceEngine drains the engine in a slot and starts a cold one in its place: at a new address as soon as the drain is announced, or with
// sameAddress at the address of the old engine once that has ended. The caller draws sameAddress, so it applies to about half of the
// replacements.
func (f *fleet) replaceEngine(ctx context.Context, slot int, sameAddress bool) {
	old := f.currentHost(slot)
	if old == nil { // another fault is replacing it
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
		f.Logf("engine in slot %d is not replaced: %v", slot, err)
		return
	}
	h.engine.MakeCold()
	f.mu.Lock()
	h.coldStartedAt = time.Since(f.startedAt)
	f.mu.Unlock()
	f.announce(h, "active")
	if !sameAddress {
		retire()
	}
}

// selectRelays returns the relays, each between a room of controllers and a host, for which selects returns true.
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

// impairLinks impairs the selected links for a duration.
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
	f.mu.Lock() // setting thousands of links takes a while itself
	f.longestImpairment = max(f.longestImpairment, time.Since(start))
	f.mu.Unlock()
}

// injectLinkFault injects a fault into the links of its targets, rooms or engine slots, and returns once it has ended.
func (f *fleet) injectLinkFault(ctx context.Context, fault Fault, targets []int) {
	targeted := map[int]bool{}
	for _, target := range targets {
		targeted[target] = true
	}
	acrossBoundary := func(room int, h *host) bool { return targeted[room] != targeted[h.slot%f.Rooms] }
	fromTargetsOut := func(room int, h *host) bool { return targeted[room] && !targeted[h.slot%f.Rooms] }
	ofEngine := func(_ int, h *host) bool { return targeted[h.slot] }
	switch fault.Name {
	case "cut":
		f.impairLinks(ctx, fault.Duration, relay.Impairment{Silent: [2]bool{true, true}}, acrossBoundary)
	case "deaf": // answers of engines don't reach controllers in the targeted rooms
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

// injectEngineFault injects a fault into the engine in a slot, and returns once it has ended.
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
			f.Logf("%s can't be restarted: %v", h.name, err)
		}
		if announced {
			f.announce(h, "active")
		}
	case "hang":
		h.engine.SetHanging(true)
		sleep(ctx, fault.Duration)
		h.engine.SetHanging(false)
	case "fail":
		h.engine.SetFailing(true)
		sleep(ctx, fault.Duration)
		h.engine.SetFailing(false)
	case "babble":
		h.engine.SetFloods(flood.Engines())
		sleep(ctx, fault.Duration)
		h.engine.SetFloods(nil)
	case "slow":
		h.engine.SetSlowdown(4)
		sleep(ctx, fault.Duration)
		h.engine.SetSlowdown(1)
	case "flap": // slow and normal, one second each
		for until := time.Now().Add(fault.Duration); time.Now().Before(until) && ctx.Err() == nil; {
			h.engine.SetSlowdown(4)
			sleep(ctx, time.Second)
			h.engine.SetSlowdown(1)
			sleep(ctx, time.Second)
		}
	case "replace":
		sleep(ctx, time.Duration(rng.Int63n(int64(fault.Duration))))
		f.replaceEngine(ctx, slot, rng.Intn(2) == 0)
	}
}
