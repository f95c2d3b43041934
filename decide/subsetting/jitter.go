package subsetting

import (
	"math"
	"math/rand"
	"time"
)

// Jitter computes jittered delays, so that the controllers of a fleet do not all act at the same time after a common event: calls
// for the list of engines that one event answered together, retries when discovery is unavailable, and the first attempts at an
// engine that failed for all of them. Random delays depend on the seed alone. A place in a time span follows from the
// controller's number and their count, so that the places of a fleet are even without communication.
type Jitter struct {
	rng         *rand.Rand
	number      int
	controllers int
}

// NewJitter returns a Jitter for the controller with the given number, counted from 0, of the given number of controllers.
func NewJitter(controllers, number int, seed int64) *Jitter {
	return &Jitter{rng: rand.New(rand.NewSource(seed)), number: max(number, 0), controllers: max(controllers, 1)}
}

// Offset returns this controller's offset into a span. The offsets of all controllers lie evenly in it, and those of controllers
// with neighboring numbers lie far apart, so that any part of the fleet is spread as well. A single controller has offset 0.
func (a *Jitter) Offset(span time.Duration) time.Duration {
	if a.controllers == 1 {
		return 0
	}
	_, fraction := math.Modf(float64(a.number) * math.Phi)
	return time.Duration(fraction * float64(span))
}

// minPollFraction is the minimum wait of a call as a fraction of the longest wait. Waits are random between the two, three
// quarters of the longest on average. The calls of a fleet that one event answered together are spread over a quarter of a call's
// duration after one round, and evenly after about four.
const minPollFraction = 0.5

// PollWait returns a random time for which discovery may hold a call for a newer list, between minPollFraction of the longest time
// and all of it.
func (a *Jitter) PollWait(longest time.Duration) time.Duration {
	return time.Duration((minPollFraction + (1-minPollFraction)*a.rng.Float64()) * float64(longest))
}

// firstBackoff is the delay before the first retry. It is short, as a single lost connection is mostly an accident; later delays
// double.
const firstBackoff = 50 * time.Millisecond

// Backoff returns the backoff before the next attempt after the given number of failures in a row, counted from 1. It doubles up to
// longest (decide/polling), which applies from the fourth failure on, and is random between half of that delay and one and a half
// times of it.
func (a *Jitter) Backoff(failures int, longest time.Duration) time.Duration {
	backoff := longest
	if failures < 4 {
		backoff = min(firstBackoff<<max(failures-1, 0), longest)
	}
	return backoff/2 + time.Duration(a.rng.Int63n(max(int64(backoff), 1)))
}
