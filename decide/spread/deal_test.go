package spread

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain gives the property tests the same seed in each run; -rapid.seed looks further.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func list(n, rooms int) (engines []Engine) {
	for i := range n {
		engines = append(engines, Engine{EngineID(fmt.Sprintf("engine-%d", i*7919)), Location(fmt.Sprint("room-", i%rooms)), 0})
	}
	return engines
}

// TestEven: every engine is in as many subsets within one, no controller one twice, and all have as many.
func TestEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := list(rapid.IntRange(1, 120).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "rooms"))
		controllers, size := rapid.IntRange(1, 150).Draw(t, "controllers"), rapid.IntRange(1, 9).Draw(t, "size")
		d := deal(engines, controllers, size)
		count := make([]int, len(engines))
		for k, hand := range d.hands {
			if want := min(size, len(engines)); len(hand) != want || len(distinct(hand)) != want {
				t.Fatalf("controller %d has %v, %d are wanted", k, hand, want)
			}
			for _, e := range hand {
				count[e]++
			}
		}
		if slices.Max(count) > slices.Min(count)+1 {
			t.Fatal("subsets by engine: ", count)
		}
	})
}

// TestCapacity: engines are in subsets by capacity, within one, and none has a controller twice though it is larger than all
// others together.
func TestCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := list(rapid.IntRange(1, 60).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "rooms"))
		controllers, size := rapid.IntRange(1, 100).Draw(t, "controllers"), rapid.IntRange(1, 6).Draw(t, "size")
		for n := range engines {
			engines[n].Capacity = rapid.SampledFrom([]float64{4, 8, 16, 400}).Draw(t, "cores")
		}
		d := deal(engines, controllers, size)
		count, dealt := make([]float64, len(engines)), 0.0
		for k, hand := range d.hands {
			if want := min(size, len(engines)); len(hand) != want || len(distinct(hand)) != want {
				t.Fatalf("controller %d has %v, %d are wanted", k, hand, want)
			}
			for _, e := range hand {
				count[e]++
				dealt++
			}
		}
		for a := range count {
			for b := range count {
				// One that has fewer than its part, beside one that has more, though it could have another controller.
				if count[a] < float64(controllers) && (count[a]+1)/d.weights[a] < (count[b]-1)/d.weights[b] {
					t.Fatalf("%g of capacity %g beside %g of %g", count[a], d.weights[a], count[b], d.weights[b])
				}
			}
		}
	})
}

func distinct(hand []int) []int {
	hand = slices.Clone(hand)
	slices.Sort(hand)
	return slices.Compact(hand)
}

// TestOrder: all engines, the dealt ones first, and the same for whoever asks.
func TestOrder(t *testing.T) {
	engines := list(20, 2)
	d := deal(engines, 50, 3)
	for k := range 50 {
		own := Order(engines, 50, k, 3)
		for _, e := range d.hands[k] {
			if at := slices.Index(own, d.engines[e].ID); at < 0 || at >= 3 {
				t.Error(k, own, d.engines[e].ID)
			}
		}
		slices.Reverse(engines)
		if again := Order(engines, 50, k, 3); len(own) != 20 || !slices.Equal(own, again) {
			t.Error(k, own, again)
		}
	}
}

// TestLarge: the largest fleet of the promises.
func TestLarge(t *testing.T) {
	for _, size := range [][2]int{{2000, 500}, {300, 80}, {1, 1}, {1, 500}, {2000, 1}} {
		count := map[int]int{}
		for _, hand := range deal(list(size[1], 3), size[0], 4).hands {
			for _, e := range hand {
				count[e]++
			}
		}
		least, most := 1<<30, 0
		for e := range size[1] {
			least, most = min(least, count[e]), max(most, count[e])
		}
		if most > least+1 {
			t.Error(size, least, most)
		}
	}
}

// TestRooms: with a room lost, nobody is without an engine: subsets lie in locations as engines do.
func TestRooms(t *testing.T) {
	engines := list(80, 2)
	d := deal(engines, 300, 4)
	for k, hand := range d.hands {
		in := map[Location]int{}
		for _, e := range hand {
			in[d.engines[e].Location]++
		}
		if in["room-0"] < 1 || in["room-1"] < 1 {
			t.Error(k, in)
		}
	}
}

// moved counts engines of subsets that a change of the list moves, beside those on engines that went.
func moved(before, after func(k int) []EngineID, controllers int, gone EngineID) (n int) {
	for k := range controllers {
		now := after(k)
		for _, e := range before(k) {
			if e != gone && !slices.Contains(now, e) {
				n++
			}
		}
	}
	return n
}

// window is the way before: subsets are neighbours in the order of ids, from a place by number.
func window(engines []Engine, controllers, size int) func(k int) []EngineID {
	return func(k int) (own []EngineID) {
		for n := range size {
			own = append(own, engines[(k*len(engines)/controllers+n)%len(engines)].ID)
		}
		return own
	}
}

func dealt(engines []Engine, controllers, size int) func(k int) []EngineID {
	d := deal(engines, controllers, size)
	return func(k int) (own []EngineID) {
		for _, e := range d.hands[k] {
			own = append(own, d.engines[e].ID)
		}
		return own
	}
}

// TestMoves: one engine of 80 goes, for each of them; engines in subsets of 300 controllers that move without need, of 1,200, and
// pairs of controllers that share all of them.
func TestMoves(t *testing.T) {
	const controllers, size = 300, 4
	engines := list(80, 2)
	slices.SortFunc(engines, func(a, b Engine) int { return len(a.ID) - len(b.ID) })
	mean := func(way func([]Engine, int, int) func(int) []EngineID) float64 {
		total := 0
		for n, e := range engines {
			without := slices.Delete(slices.Clone(engines), n, n+1)
			total += moved(way(engines, controllers, size), way(without, controllers, size), controllers, e.ID)
		}
		return float64(total) / float64(len(engines))
	}
	twins := func(way func(int) []EngineID) (n int) {
		seen := map[string]int{}
		for k := range controllers {
			own := slices.Clone(way(k))
			slices.Sort(own)
			n += seen[fmt.Sprint(own)]
			seen[fmt.Sprint(own)]++
		}
		return n
	}
	dealtMoves, windowMoves := mean(dealt), mean(window)
	dealtTwins, windowTwins := twins(dealt(engines, controllers, size)), twins(window(engines, controllers, size))
	t.Logf("moved %.1f (window %.1f) of 1200; pairs with the same subset %d (%d)", dealtMoves, windowMoves, dealtTwins, windowTwins)
	if dealtMoves > windowMoves || dealtTwins > windowTwins/10 {
		t.Errorf("moved %.1f (window %.1f), pairs with the same subset %d (%d)", dealtMoves, windowMoves, dealtTwins, windowTwins)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range [][2]int{{300, 80}, {2000, 500}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			engines := list(size[1], 3)
			for b.Loop() {
				Order(engines, size[0], 7, 4)
			}
		})
	}
}
