package spread

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlaces: the places of a fleet, and of any run of neighbours in it, lie evenly in the span.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(2, 400).Draw(t, "fleet")
		from, many := rapid.IntRange(0, fleet-1).Draw(t, "from"), rapid.IntRange(1, fleet).Draw(t, "many")
		var places []float64
		for n := from; n < min(from+many, fleet); n++ {
			at := NewApart(fleet, n, int64(n)).Place(time.Second)
			if at < 0 || at >= time.Second {
				t.Fatal(n, at)
			}
			places = append(places, at.Seconds())
		}
		slices.Sort(places)
		for n, at := range places { // the golden ratio leaves no gap of over 2.2 shares, the borders taken in
			gap := places[0] + 1 - places[len(places)-1]
			if n > 0 {
				gap = at - places[n-1]
			}
			if len(places) > 1 && gap > 2.2/float64(len(places)) {
				t.Fatalf("%d places from %d on: a gap of %.4f", len(places), from, gap)
			}
		}
	})
}

// TestPolls: 300 controllers that one event answered at the same instant; the most calls in 50 ms over their mean, by
// seconds after it, with waits that are drawn and with waits that are all the same.
func TestPolls(t *testing.T) {
	surge := func(wait func(a *Apart) time.Duration) (by [6]float64) {
		counts := make([]float64, 6*20)
		for n := range 300 {
			a := NewApart(300, n, int64(n))
			for at := time.Duration(0); at < 6*time.Second; at += wait(a) {
				counts[at/(50*time.Millisecond)]++
			}
		}
		sum := 0.0
		for _, c := range counts {
			sum += c
		}
		for s := range by {
			by[s] = slices.Max(counts[s*20:(s+1)*20]) / (sum / float64(len(counts)))
		}
		return by
	}
	drawn := surge(func(a *Apart) time.Duration { return a.Poll(4 * time.Second / 3) })
	same := surge(func(*Apart) time.Duration { return time.Second })
	t.Logf("drawn %.1f, the same %.1f", drawn, same)
	if drawn[1] > 4 || drawn[4] > 2 || same[4] < 15 {
		t.Errorf("drawn %.1f, the same %.1f", drawn, same)
	}
}

// TestAgain: the pauses of a fleet whose discovery is away ask for no more calls than quiet times do three times over, and are
// within the grace of a drain.
func TestAgain(t *testing.T) {
	calls, length := 0, 10*time.Second
	for n := range 300 {
		a, failures := NewApart(300, n, int64(n)), 0
		for at := time.Duration(0); at < length; calls++ {
			failures++
			pause := a.Again(failures, 400*time.Millisecond)
			if pause <= 0 || pause > 600*time.Millisecond {
				t.Fatal(pause)
			}
			at += pause
		}
	}
	if rate := float64(calls) / 300 / length.Seconds(); math.Abs(rate-2.6) > 0.3 {
		t.Error(rate, "calls a second and controller")
	}
}
