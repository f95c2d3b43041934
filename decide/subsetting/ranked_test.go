package subsetting

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBestOfKept checks that a controller's ranked lists yield the same engine as a search for its highest ranked among all
// available engines.
func TestBestOfKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := testEngines(rapid.IntRange(100, 900).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "rooms"))
		controllers, size := rapid.IntRange(1, 60).Draw(t, "controllers"), rapid.IntRange(1, 12).Draw(t, "size")
		result := assign(engines, controllers, 0)
		result.rankedLen = size/len(result.locations) + extraRanked
		result.setRemaining(size * len(result.subsets))
		for round := range size {
			for controller := range result.subsets {
				location := result.locationFor(controller, round, size)
				want := result.searchBest(controller, result.locations[location])
				if got := result.bestAvailable(controller, location); got != want {
					t.Fatalf("controller %d takes engine %d, but ranks engine %d highest", controller, got, want)
				}
				result.assignNext(controller, location)
			}
		}
	})
}
