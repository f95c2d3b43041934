package subsetting

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain runs the property tests with a fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// testEngines returns n engines of equal capacity that alternate between locations.
func testEngines(n, locations int) (engines []Engine) {
	for i := range n {
		engines = append(engines, Engine{EngineID(fmt.Sprintf("engine-%d", i*7919)), Location(fmt.Sprint("room-", i%locations)), 0})
	}
	return engines
}

// TestEven checks that every engine is in the same number of subsets, within one, that no controller has an engine twice, and that
// all subsets have the same size.
func TestEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := testEngines(rapid.IntRange(1, 120).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "rooms"))
		controllers, size := rapid.IntRange(1, 150).Draw(t, "controllers"), rapid.IntRange(1, 9).Draw(t, "size")
		result := assign(engines, controllers, size)
		count := make([]int, len(engines))
		for controller, subset := range result.subsets {
			if want := min(size, len(engines)); len(subset) != want || len(distinct(subset)) != want {
				t.Fatalf("controller %d has %v, %d are wanted", controller, subset, want)
			}
			for _, e := range subset {
				count[e]++
			}
		}
		if slices.Max(count) > slices.Min(count)+1 {
			t.Fatal("uneven number of subsets by engine: ", count)
		}
	})
}

// TestCapacity checks that the number of subsets of an engine is in proportion to its capacity, within one, and that no controller
// has an engine twice, even one that is larger than all others together.
func TestCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := testEngines(rapid.IntRange(1, 60).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "rooms"))
		controllers, size := rapid.IntRange(1, 100).Draw(t, "controllers"), rapid.IntRange(1, 6).Draw(t, "size")
		for n := range engines {
			engines[n].Capacity = rapid.SampledFrom([]float64{4, 8, 16, 400}).Draw(t, "cores")
		}
		result := assign(engines, controllers, size)
		count, assigned := make([]float64, len(engines)), 0.0
		for controller, subset := range result.subsets {
			if want := min(size, len(engines)); len(subset) != want || len(distinct(subset)) != want {
				t.Fatalf("controller %d has %v, %d are wanted", controller, subset, want)
			}
			for _, e := range subset {
				count[e]++
				assigned++
			}
		}
		for a := range count {
			for b := range count {
				// Engine a has less than its share and b more, although a could be given to another controller.
				if count[a] < float64(controllers) && (count[a]+1)/result.weights[a] < (count[b]-1)/result.weights[b] {
					t.Fatalf("engine in %g subsets with weight %g, another in %g with weight %g", count[a], result.weights[a], count[b], result.weights[b])
				}
			}
		}
	})
}

func distinct(subset []int) []int {
	subset = slices.Clone(subset)
	slices.Sort(subset)
	return slices.Compact(subset)
}

// TestOrder checks that the order has all engines, begins with the assigned subset, and does not depend on the order of the list.
func TestOrder(t *testing.T) {
	engines := testEngines(20, 2)
	result := assign(engines, 50, 3)
	for controller := range 50 {
		order := Order(engines, 50, controller, 3)
		for _, e := range result.subsets[controller] {
			if at := slices.Index(order, result.engines[e].ID); at < 0 || at >= 3 {
				t.Error(controller, order, result.engines[e].ID)
			}
		}
		slices.Reverse(engines)
		if again := Order(engines, 50, controller, 3); len(order) != 20 || !slices.Equal(order, again) {
			t.Error(controller, order, again)
		}
	}
}

// TestLarge checks an even assignment for the largest fleet that the guarantees are meant for, and for extreme ones.
func TestLarge(t *testing.T) {
	for _, size := range [][2]int{{2000, 500}, {300, 80}, {1, 1}, {1, 500}, {2000, 1}} {
		count := map[int]int{}
		for _, subset := range assign(testEngines(size[1], 3), size[0], 4).subsets {
			for _, e := range subset {
				count[e]++
			}
		}
		minCount, maxCount := 1<<30, 0
		for e := range size[1] {
			minCount, maxCount = min(minCount, count[e]), max(maxCount, count[e])
		}
		if maxCount > minCount+1 {
			t.Error(size, minCount, maxCount)
		}
	}
}

// TestRooms checks that every subset has engines in both locations, so that no controller is without one if a location fails.
func TestRooms(t *testing.T) {
	engines := testEngines(80, 2)
	result := assign(engines, 300, 4)
	for controller, subset := range result.subsets {
		in := map[Location]int{}
		for _, e := range subset {
			in[result.engines[e].Location]++
		}
		if in["room-0"] < 1 || in["room-1"] < 1 {
			t.Error(controller, in)
		}
	}
}

// countMoved counts the engines that controllers lose from their subsets when the list changes, except the removed engine itself.
func countMoved(before, after func(controller int) []EngineID, controllers int, gone EngineID) (n int) {
	for controller := range controllers {
		now := after(controller)
		for _, e := range before(controller) {
			if e != gone && !slices.Contains(now, e) {
				n++
			}
		}
	}
	return n
}

// windowSubsets is the earlier algorithm, for comparison: a subset is a run of consecutive engines in the order of ids, from a
// start that follows from the controller's number.
func windowSubsets(engines []Engine, controllers, size int) func(controller int) []EngineID {
	return func(controller int) (subset []EngineID) {
		for n := range size {
			subset = append(subset, engines[(controller*len(engines)/controllers+n)%len(engines)].ID)
		}
		return subset
	}
}

// assignedSubsets returns the subsets that assign computes.
func assignedSubsets(engines []Engine, controllers, size int) func(controller int) []EngineID {
	result := assign(engines, controllers, size)
	return func(controller int) (subset []EngineID) {
		for _, e := range result.subsets[controller] {
			subset = append(subset, result.engines[e].ID)
		}
		return subset
	}
}

// TestMoves compares assign with the earlier algorithm (window). For the removal of each one of 80 engines, it counts how many of
// the 1,200 entries in the subsets of 300 controllers change without need. It also counts pairs of controllers with equal
// subsets.
func TestMoves(t *testing.T) {
	const controllers, size = 300, 4
	engines := testEngines(80, 2)
	slices.SortFunc(engines, func(a, b Engine) int { return len(a.ID) - len(b.ID) })
	mean := func(subsetsOf func([]Engine, int, int) func(int) []EngineID) float64 {
		total := 0
		for n, e := range engines {
			without := slices.Delete(slices.Clone(engines), n, n+1)
			total += countMoved(subsetsOf(engines, controllers, size), subsetsOf(without, controllers, size), controllers, e.ID)
		}
		return float64(total) / float64(len(engines))
	}
	countEqual := func(subsetsOf func(int) []EngineID) (n int) {
		seen := map[string]int{}
		for controller := range controllers {
			subset := slices.Clone(subsetsOf(controller))
			slices.Sort(subset)
			n += seen[fmt.Sprint(subset)]
			seen[fmt.Sprint(subset)]++
		}
		return n
	}
	assignedMoves, windowMoves := mean(assignedSubsets), mean(windowSubsets)
	assignedEqual, windowEqual := countEqual(assignedSubsets(engines, controllers, size)), countEqual(windowSubsets(engines, controllers, size))
	t.Logf("moved %.1f (window %.1f) of 1200; pairs with the same subset %d (%d)", assignedMoves, windowMoves, assignedEqual, windowEqual)
	if assignedMoves > windowMoves || assignedEqual > windowEqual/10 {
		t.Errorf("moved %.1f (window %.1f), pairs with the same subset %d (%d)", assignedMoves, windowMoves, assignedEqual, windowEqual)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range [][2]int{{300, 80}, {2000, 500}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			engines := testEngines(size[1], 3)
			for b.Loop() {
				Order(engines, size[0], 7, 4)
			}
		})
	}
}
