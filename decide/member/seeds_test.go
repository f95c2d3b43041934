package member

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

var seeds = flag.Int64("seeds", 150, "how many fleets of random size and troubles are played")

// trouble does one random thing to a fleet.
func (w *world) trouble(rng *rand.Rand) string {
	i := w.all[rng.Intn(len(w.all))]
	switch rng.Intn(9) {
	case 0:
		if i.up {
			i.kill()
		}
		return fmt.Sprint("kill ", i.n)
	case 1:
		if !i.up {
			i.start()
		}
		return fmt.Sprint("start ", i.n)
	case 2:
		if i.up {
			i.stop()
		}
		return fmt.Sprint("stop ", i.n)
	case 3:
		if i.up && i.stopped {
			i.goOn()
		}
		return fmt.Sprint("go on ", i.n)
	case 4: // sides by chance
		side := make([]int, len(w.all))
		for n := range side {
			side[n] = rng.Intn(3)
		}
		w.cut = func(from, to int) bool { return side[from] != side[to] }
		return fmt.Sprint("sides ", side)
	case 5: // ways by chance, one way each
		cut := map[[2]int]bool{}
		for a := range w.all {
			for b := range w.all {
				cut[[2]int{a, b}] = rng.Intn(4) == 0
			}
		}
		w.cut = func(from, to int) bool { return cut[[2]int{from, to}] }
		return "ways"
	case 6:
		w.loss, w.double = rng.Float64()/2, rng.Float64()/2
		return fmt.Sprintf("loss %.2f", w.loss)
	case 7:
		most := time.Duration(rng.Intn(3000)+1) * time.Millisecond
		w.delay = func() time.Duration { return time.Duration(w.rng.Int63n(int64(most))) }
		return fmt.Sprint("delay ", most)
	}
	w.whole()
	w.loss, w.double = 0, 0
	return "whole"
}

// TestSeeds: random troubles on fleets of random size. After each step nobody holds a word for newer than it is; those that
// the wire lets speak to nobody say so; nobody keeps more than there is room for; and once the network is whole and all
// run, all know all. A seed replays the same way.
func TestSeeds(t *testing.T) {
	for seed := range *seeds {
		rng := rand.New(rand.NewSource(seed))
		w := newWorld(t, 2+rng.Intn(9), seed)
		w.buffer = rng.Intn(3) * 20
		w.run(10 * second)
		var did []string
		for range rng.Intn(12) {
			did = append(did, fmt.Sprint(w.now, " ", w.trouble(rng)))
			w.run(w.now + time.Duration(rng.Intn(8000))*time.Millisecond)
		}
		w.lonely(did)
		w.whole()
		w.loss, w.double = 0, 0
		w.delay = func() time.Duration { return time.Duration(1+w.rng.Intn(4)) * time.Millisecond }
		for _, i := range w.all {
			if !i.up {
				i.start()
			} else if i.stopped {
				i.goOn()
			}
		}
		from := w.now
		for w.allKnow() != nil && w.now < from+3*time.Minute {
			w.run(w.now + 100*time.Millisecond)
		}
		if err := w.allKnow(); err != nil {
			t.Fatalf("seed %d: %v; %q", seed, err, did)
		}
	}
}

// lonely cuts one off in a fleet that is otherwise as it is: it must say so in time, and declare nobody gone from then on.
func (w *world) lonely(did []string) {
	var up []*instance
	for _, i := range w.all {
		if i.up && !i.stopped {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return
	}
	i, before := up[len(up)/2], w.cut
	w.cut = func(from, to int) bool { return from == i.n || to == i.n || before(from, to) }
	// What was on its way still comes.
	w.run(w.now + 3*second + (DeafAfter+1)*second)
	if c, _ := i.member.Contact(i.clock()); c != Deaf && c != Alone {
		w.t.Fatalf("%d is cut off and says %v; %q", i.n, c, did)
	}
	gone := len(i.gone)
	w.run(w.now + 20*second)
	if len(i.gone) > gone {
		w.t.Fatalf("%d is deaf and declares gone %v; %q", i.n, i.gone, did)
	}
}

// TestReplayed: a seed plays the same way twice.
func TestReplayed(t *testing.T) {
	play := func() string {
		rng := rand.New(rand.NewSource(77))
		w := newWorld(t, 9, 77)
		w.told = true
		for range 15 {
			w.say("%s", w.trouble(rng))
			w.run(w.now + time.Duration(rng.Intn(8000))*time.Millisecond)
		}
		return w.trace.String()
	}
	if a, b := play(), play(); a != b || len(a) < 1000 {
		t.Errorf("%d bytes, then %d", len(a), len(b))
	}
}

// TestGrowth tells how a fleet's size tells: time until a loss is known, how old words are, messages.
func TestGrowth(t *testing.T) {
	sizes := []int{20, 60}
	if *seeds > 1000 {
		sizes = []int{20, 100, 300}
	}
	for _, many := range sizes {
		w := newWorld(t, many, 1)
		w.quiet = true
		formed := w.until(time.Duration(20+many/4)*second, func() bool { return w.now > second && w.allKnow() == nil })
		w.run(w.now + 20*second)
		sent := w.sent
		from := w.now
		w.run(w.now + 20*second)
		var ages []time.Duration
		for _, i := range w.all {
			for _, one := range i.member.Members(i.clock()) {
				ages = append(ages, one.Age)
			}
		}
		slices.Sort(ages)
		perSecond := float64(w.sent-sent) / (w.now - from).Seconds() / float64(many)
		w.all[many/2].kill()
		var known []time.Duration
		for at := w.now; len(known) < many-1 && w.now < at+5*time.Minute; {
			w.run(w.now + 100*time.Millisecond)
			n := w.statuses(many / 2)
			for len(known) < n[Gone] {
				known = append(known, w.now-at)
			}
		}
		if len(known) < many-1 {
			t.Fatalf("%d: only %d know of the loss", many, len(known))
		}
		wrong := 0
		for _, i := range w.all {
			wrong += i.wronged
		}
		t.Logf("%4d: all known after %v; %.1f messages a second each; words at most %v old (half), %v (99%%); a loss known after %v (first), %v (half), %v (last); %d wrongly gone",
			many, formed, perSecond, ages[len(ages)/2].Round(10*time.Millisecond), ages[len(ages)*99/100].Round(10*time.Millisecond), known[0], known[len(known)/2], known[len(known)-1], wrong)
	}
}
