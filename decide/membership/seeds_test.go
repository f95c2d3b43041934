package membership

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

var seeds = flag.Int64("seeds", 150, "number of random fleets with random faults to simulate")

// injectFault injects one random fault, or repairs the network, and returns what it did.
func (w *world) injectFault(rng *rand.Rand) string {
	i := w.instances[rng.Intn(len(w.instances))]
	switch rng.Intn(9) {
	case 0:
		if i.running {
			i.kill()
		}
		return fmt.Sprint("kill ", i.index)
	case 1:
		if !i.running {
			i.start()
		}
		return fmt.Sprint("start ", i.index)
	case 2:
		if i.running {
			i.pause()
		}
		return fmt.Sprint("pause ", i.index)
	case 3:
		if i.running && i.paused {
			i.resume()
		}
		return fmt.Sprint("resume ", i.index)
	case 4: // random partition
		side := make([]int, len(w.instances))
		for n := range side {
			side[n] = rng.Intn(3)
		}
		w.cut = func(from, to int) bool { return side[from] != side[to] }
		return fmt.Sprint("partition ", side)
	case 5: // random links cut in one direction
		cut := map[[2]int]bool{}
		for a := range w.instances {
			for b := range w.instances {
				cut[[2]int{a, b}] = rng.Intn(4) == 0
			}
		}
		w.cut = func(from, to int) bool { return cut[[2]int{from, to}] }
		return "cut links"
	case 6:
		w.loss, w.duplication = rng.Float64()/2, rng.Float64()/2
		return fmt.Sprintf("loss %.2f", w.loss)
	case 7:
		maxDelay := time.Duration(rng.Intn(3000)+1) * time.Millisecond
		w.delay = func() time.Duration { return time.Duration(w.rng.Int63n(int64(maxDelay))) }
		return fmt.Sprint("delay ", maxDelay)
	}
	w.repairLinks()
	w.loss, w.duplication = 0, 0
	return "repair"
}

// TestSeeds injects random faults into fleets of random size. After each step no age may be too low and no instance may keep more
// members than allowed; an instance that is cut off must report it; and once the network is repaired and all instances run, all
// must have all as alive within three minutes. A seed replays the same way.
func TestSeeds(t *testing.T) {
	for seed := range *seeds {
		rng := rand.New(rand.NewSource(seed))
		w := newWorld(t, 2+rng.Intn(9), seed)
		w.pausedBuffer = rng.Intn(3) * 20
		w.run(10 * second)
		var faults []string
		for range rng.Intn(12) {
			faults = append(faults, fmt.Sprint(w.now, " ", w.injectFault(rng)))
			w.run(w.now + time.Duration(rng.Intn(8000))*time.Millisecond)
		}
		w.checkIsolated(faults)
		w.repairLinks()
		w.loss, w.duplication = 0, 0
		w.delay = func() time.Duration { return time.Duration(1+w.rng.Intn(4)) * time.Millisecond }
		for _, i := range w.instances {
			if !i.running {
				i.start()
			} else if i.paused {
				i.resume()
			}
		}
		from := w.now
		for w.checkConverged() != nil && w.now < from+3*time.Minute {
			w.run(w.now + 100*time.Millisecond)
		}
		if err := w.checkConverged(); err != nil {
			t.Fatalf("seed %d: %v; %q", seed, err, faults)
		}
	}
}

// checkIsolated cuts one running instance off, and leaves other faults in place. The instance must report itself Deaf or Alone
// in time, and declare nobody gone from then on.
func (w *world) checkIsolated(faults []string) {
	var running []*instance
	for _, i := range w.instances {
		if i.running && !i.paused {
			running = append(running, i)
		}
	}
	if len(running) < 2 {
		return
	}
	i, cutBefore := running[len(running)/2], w.cut
	w.cut = func(from, to int) bool { return from == i.index || to == i.index || cutBefore(from, to) }
	// 3 s more, as messages in transit still arrive.
	w.run(w.now + 3*second + (DeafAfterPeriods+1)*second)
	if c, _ := i.member.Contact(i.clock()); c != Deaf && c != Alone {
		w.t.Fatalf("%d is cut off but reports contact %v; %q", i.index, c, faults)
	}
	goneBefore := len(i.gone)
	w.run(w.now + 20*second)
	if len(i.gone) > goneBefore {
		w.t.Fatalf("%d is deaf but has declared members gone: %v; %q", i.index, i.gone, faults)
	}
}

// TestReplayed checks that the same seed gives the same trace twice.
func TestReplayed(t *testing.T) {
	simulate := func() string {
		rng := rand.New(rand.NewSource(77))
		w := newWorld(t, 9, 77)
		w.traced = true
		for range 15 {
			w.tracef("%s", w.injectFault(rng))
			w.run(w.now + time.Duration(rng.Intn(8000))*time.Millisecond)
		}
		return w.trace.String()
	}
	if a, b := simulate(), simulate(); a != b || len(a) < 1000 {
		t.Errorf("traces differ or are too short: %d bytes, then %d", len(a), len(b))
	}
}

// TestGrowth logs, for fleets of several sizes, the time to form, the message rate, the ages of signs of life, and the time until
// all know of a failure. It fails if an instance does not learn of the failure within 5 minutes.
func TestGrowth(t *testing.T) {
	sizes := []int{20, 60}
	if *seeds > 1000 {
		sizes = []int{20, 100, 300}
	}
	for _, size := range sizes {
		w := newWorld(t, size, 1)
		w.unchecked = true
		formed := w.runUntil(time.Duration(20+size/4)*second, func() bool { return w.now > second && w.checkConverged() == nil })
		w.run(w.now + 20*second)
		sent := w.sent
		from := w.now
		w.run(w.now + 20*second)
		var ages []time.Duration
		for _, i := range w.instances {
			for _, info := range i.member.Members(i.clock()) {
				ages = append(ages, info.Age)
			}
		}
		slices.Sort(ages)
		perSecond := float64(w.sent-sent) / (w.now - from).Seconds() / float64(size)
		w.instances[size/2].kill()
		var detectedAfter []time.Duration
		for failedAt := w.now; len(detectedAfter) < size-1 && w.now < failedAt+5*time.Minute; {
			w.run(w.now + 100*time.Millisecond)
			counts := w.statuses(size / 2)
			for len(detectedAfter) < counts[Gone] {
				detectedAfter = append(detectedAfter, w.now-failedAt)
			}
		}
		if len(detectedAfter) < size-1 {
			t.Fatalf("fleet of %d: only %d instances know of the failure", size, len(detectedAfter))
		}
		wrongGone := 0
		for _, i := range w.instances {
			wrongGone += i.wrongGoneCount
		}
		t.Logf("%4d: formed after %v; %.1f messages per second and instance; age of signs of life %v (median), %v (99%%); failure known after %v (first), %v (median), %v (last); %d wrongly declared gone",
			size, formed, perSecond, ages[len(ages)/2].Round(10*time.Millisecond), ages[len(ages)*99/100].Round(10*time.Millisecond),
			detectedAfter[0], detectedAfter[len(detectedAfter)/2], detectedAfter[len(detectedAfter)-1], wrongGone)
	}
}
