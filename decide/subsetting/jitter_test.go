package subsetting

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlaces checks that the offsets of a fleet, and of any controllers with consecutive numbers, lie evenly in the span.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(2, 400).Draw(t, "fleet")
		from, count := rapid.IntRange(0, fleet-1).Draw(t, "from"), rapid.IntRange(1, fleet).Draw(t, "many")
		var offsets []float64
		for n := from; n < min(from+count, fleet); n++ {
			offset := NewJitter(fleet, n, int64(n)).Offset(time.Second)
			if offset < 0 || offset >= time.Second {
				t.Fatal(n, offset)
			}
			offsets = append(offsets, offset.Seconds())
		}
		slices.Sort(offsets)
		for n, offset := range offsets { // the golden ratio keeps gaps below 2.2 times the mean, also across the ends
			gap := offsets[0] + 1 - offsets[len(offsets)-1]
			if n > 0 {
				gap = offset - offsets[n-1]
			}
			if len(offsets) > 1 && gap > 2.2/float64(len(offsets)) {
				t.Fatalf("offsets of %d controllers from number %d on have a gap of %.4f s", len(offsets), from, gap)
			}
		}
	})
}

// TestPolls guards against 300 controllers calling in step after one event answered all of them at the same time. For each second
// after it, it compares the most calls in 50 ms with the mean, for random waits and for waits of the same length.
func TestPolls(t *testing.T) {
	peaks := func(wait func(a *Jitter) time.Duration) (by [6]float64) {
		counts := make([]float64, 6*20)
		for n := range 300 {
			a := NewJitter(300, n, int64(n))
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
	random := peaks(func(a *Jitter) time.Duration { return a.PollWait(4 * time.Second / 3) })
	equal := peaks(func(*Jitter) time.Duration { return time.Second })
	t.Logf("peak over mean by second: random waits %.1f, equal waits %.1f", random, equal)
	if random[1] > 4 || random[4] > 2 || equal[4] < 15 {
		t.Errorf("peak over mean by second: random waits %.1f, equal waits %.1f", random, equal)
	}
}

// TestAgain checks that the retries of a fleet whose discovery is unavailable are no more than about three times its calls in quiet
// times, and that the delays are within the grace period of a drain.
func TestAgain(t *testing.T) {
	calls, length := 0, 10*time.Second
	for n := range 300 {
		a, failures := NewJitter(300, n, int64(n)), 0
		for at := time.Duration(0); at < length; calls++ {
			failures++
			backoff := a.Backoff(failures, 400*time.Millisecond)
			if backoff <= 0 || backoff > 600*time.Millisecond {
				t.Fatal(backoff)
			}
			at += backoff
		}
	}
	if rate := float64(calls) / 300 / length.Seconds(); math.Abs(rate-2.6) > 0.3 {
		t.Error(rate, "calls a second for each controller, want about 2.6")
	}
}
