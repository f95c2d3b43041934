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
	name   string
	place  int
	cores  int
	room   string
	engine *engine.Engine
	record *record
	relays []*relay.Relay // by room of controllers; none without faults on links
	born   time.Duration  // when it was told as started cold, 0 for long ago
	gone   bool
	told   map[int]time.Duration // when each controller was told that it leaves
}

// add starts an engine at a place, at an address of its own or one that another left.
func (f *fleet) add(place int, address string) (*host, error) {
	h := &host{name: fmt.Sprintf("engine-%03d", place), place: place, cores: f.coresOf(place), room: roomName(place % f.Rooms), told: map[int]time.Duration{},
		record: &record{began: f.began, open: map[int]int{}}}
	var err error
	if address == "" {
		if address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	options := engine.Options{Cores: f.coresOf(place), Cold: theCold.length, Watch: h.record.watch}
	if h.engine, err = engine.Start(address, options); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if older := len(f.hosts); older >= f.Engines {
		h.name = fmt.Sprintf("engine-%03d-%d", place, older)
	}
	for room := range f.Rooms {
		if !f.linked {
			break
		}
		relayed, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		r, err := relay.Start(relayed, address, f.Seed*31+int64(len(f.hosts)*f.Rooms+room))
		if err != nil {
			return nil, err
		}
		h.relays = append(h.relays, r)
	}
	f.hosts = append(f.hosts, h)
	return h, nil
}

// at is the host that fills a place now.
func (f *fleet) at(place int) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range slices.Backward(f.hosts) {
		if h.place == place && !h.gone {
			return h
		}
	}
	return nil
}

// seenFrom is a host as the list tells it to a room.
func (f *fleet) seenFrom(h *host, room int, health string) discovery.Host {
	address := h.engine.Address()
	if len(h.relays) > 0 {
		address = h.relays[room].Address()
	}
	f.mu.Lock()
	at := h.born
	f.mu.Unlock()
	born := int64(0)
	if at > 0 {
		born = f.began.Add(at).UnixMilli()
	}
	return discovery.Host{Host: h.name, Dial: address, Site: h.room, Class: f.kindOf(h.place), Health: health, Born: born}
}

// tellAll has the list tell every controller of a change, each as late as its list is.
func (f *fleet) tellAll(h *host, health string) {
	for n := range f.discoveries {
		tell := func() {
			f.mu.Lock()
			if health == "active" {
				delete(h.told, n)
			} else if _, was := h.told[n]; !was {
				// What a silent discovery has to tell counts as told when it speaks again, or 7 s later, as the protocol has it.
				now := time.Since(f.began)
				h.told[n] = max(now, min(f.away[n], now+7*time.Second))
			}
			f.mu.Unlock()
			f.discoveries[n].Tell(false, f.seenFrom(h, n%f.Rooms, health))
		}
		f.mu.Lock()
		late := f.late[n]
		f.mu.Unlock()
		if late == 0 {
			tell()
		} else {
			f.later.Add(1)
			time.AfterFunc(late, func() { defer f.later.Done(); tell() })
		}
	}
}

// die ends a host's process; links to it refuse.
func (h *host) die() {
	h.engine.Die()
	for _, r := range h.relays {
		_ = r.Refuse(true)
	}
}

func (h *host) comeBack() error {
	err := h.engine.Return()
	for _, r := range h.relays {
		if err == nil {
			err = r.Refuse(false)
		}
	}
	return err
}

// replace has an engine drain and another one take its place, cold: half of them at addresses of their own, as soon as the
// drain is told, the others at the address of the one that left, once that has ended.
func (f *fleet) replace(over context.Context, place int, sameAddress bool) {
	old := f.at(place)
	if old == nil { // another fault is at it
		return
	}
	f.tellAll(old, "leaving")
	address := ""
	leave := func() {
		wait(over, grace+time.Second)
		f.mu.Lock()
		old.gone = true
		f.mu.Unlock()
		old.die()
		f.tellAll(old, "left")
	}
	if sameAddress {
		leave()
		address = old.engine.Address()
	}
	h, err := f.add(place, address)
	if err != nil {
		f.Say("engine at place %d is not replaced: %v", place, err)
		return
	}
	h.engine.Chill()
	f.mu.Lock()
	h.born = time.Since(f.began)
	f.mu.Unlock()
	f.tellAll(h, "active")
	if !sameAddress {
		leave()
	}
}

// links gives the relays between rooms of controllers and hosts that a choice names.
func (f *fleet) links(which func(room int, h *host) bool) (all []*relay.Relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		for room, r := range h.relays {
			if which(room, h) {
				all = append(all, r)
			}
		}
	}
	return all
}

// suffer puts a trouble on links for a time.
func (f *fleet) suffer(over context.Context, length time.Duration, t relay.Trouble, which func(room int, h *host) bool) {
	links := f.links(which)
	began := time.Now()
	for _, r := range links {
		r.Set(t)
	}
	wait(over, length)
	for _, r := range links {
		r.Set(relay.Trouble{})
	}
	f.mu.Lock() // thousands of links take some time themselves
	f.troubled = max(f.troubled, time.Since(began))
	f.mu.Unlock()
}

// strikeLinks does what a fault on links does to all that it strikes: rooms that are cut off, or places of engines.
func (f *fleet) strikeLinks(over context.Context, fault Fault, who []int) {
	struck := map[int]bool{}
	for _, n := range who {
		struck[n] = true
	}
	between := func(room int, h *host) bool { return struck[room] != struck[h.place%f.Rooms] }
	outside := func(room int, h *host) bool { return struck[room] && !struck[h.place%f.Rooms] }
	place := func(_ int, h *host) bool { return struck[h.place] }
	switch fault.What {
	case "cut":
		f.suffer(over, fault.For, relay.Trouble{Silent: [2]bool{true, true}}, between)
	case "deaf": // what engines answer does not come back to the struck rooms
		f.suffer(over, fault.For, relay.Trouble{Silent: [2]bool{relay.Back: true}}, outside)
	case "mute":
		f.suffer(over, fault.For, relay.Trouble{Silent: [2]bool{relay.To: true}}, outside)
	case "silent":
		f.suffer(over, fault.For, relay.Trouble{Silent: [2]bool{true, true}}, place)
	case "delay":
		f.suffer(over, fault.For, relay.Trouble{Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond}, place)
	case "reset":
		f.suffer(over, fault.For, relay.Trouble{ResetAfter: 2000}, place)
	case "thin":
		f.suffer(over, fault.For, relay.Trouble{BytesPerS: 2000}, place)
	}
}

// strikeEngines does what a fault of engines does.
func (f *fleet) strikeEngine(over context.Context, fault Fault, place int, rng *rand.Rand) {
	h := f.at(place)
	if h == nil {
		return
	}
	switch fault.What {
	case "die", "lose":
		h.die()
		told := fault.What == "lose"
		if told {
			f.tellAll(h, "left")
		}
		wait(over, fault.For)
		if told {
			f.mu.Lock()
			h.born = time.Since(f.began)
			f.mu.Unlock()
		}
		if err := h.comeBack(); err != nil {
			f.Say("%s does not come back: %v", h.name, err)
		}
		if told {
			f.tellAll(h, "active")
		}
	case "hang":
		h.engine.Hang(true)
		wait(over, fault.For)
		h.engine.Hang(false)
	case "fail":
		h.engine.Fail(true)
		wait(over, fault.For)
		h.engine.Fail(false)
	case "babble":
		h.engine.Flood(flood.Engines())
		wait(over, fault.For)
		h.engine.Flood(nil)
	case "slow":
		h.engine.Slow(4)
		wait(over, fault.For)
		h.engine.Slow(1)
	case "flap": // well and late by turns of a second
		for until := time.Now().Add(fault.For); time.Now().Before(until) && over.Err() == nil; {
			h.engine.Slow(4)
			wait(over, time.Second)
			h.engine.Slow(1)
			wait(over, time.Second)
		}
	case "replace":
		wait(over, time.Duration(rng.Int63n(int64(fault.For))))
		f.replace(over, place, rng.Intn(2) == 0)
	}
}
