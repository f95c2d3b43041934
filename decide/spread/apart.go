package spread

import (
	"math"
	"math/rand"
	"time"
)

// Apart spreads over time what one cause has all controllers of a fleet do: calls for the list that one event answered
// together, tries after discovery went away, first tries of an engine that failed them all. What is drawn depends on the seed
// alone; a place in a span follows from number and count, so that the places of a fleet are even though nobody talks.
type Apart struct {
	rng    *rand.Rand
	number int
	fleet  int
}

// NewApart is for one of so many controllers, by its number from 0.
func NewApart(controllers, number int, seed int64) *Apart {
	return &Apart{rng: rand.New(rand.NewSource(seed)), number: max(number, 0), fleet: max(controllers, 1)}
}

// Place is where in a span this controller comes: the places of all lie evenly in it, those of neighbours by number far
// apart, so that any part of the fleet is spread as well. A controller alone comes at once.
func (a *Apart) Place(span time.Duration) time.Duration {
	if a.fleet == 1 {
		return 0
	}
	_, at := math.Modf(float64(a.number) * math.Phi)
	return time.Duration(at * float64(span))
}

// pollLeast of the longest wait: drawn between it and the whole, three quarters in the mean. A fleet that one event answered
// together is spread over a quarter of a call's time after one round, and evenly after some four.
const pollLeast = 0.5

// Poll is how long a call for what is newer waits at discovery, at most so long.
func (a *Apart) Poll(longest time.Duration) time.Duration {
	return time.Duration((pollLeast + (1-pollLeast)*a.rng.Float64()) * float64(longest))
}

// A first try soon, as one lost connection is mostly an accident; then waits that double.
const firstPause = 50 * time.Millisecond

// Again is the pause before the next try after so many failures in a row, from 1, up to a longest one (decide/watch): drawn
// from half of it to one and a half.
func (a *Apart) Again(failures int, longest time.Duration) time.Duration {
	pause := longest
	if failures < 4 {
		pause = min(firstPause<<max(failures-1, 0), longest)
	}
	return pause/2 + time.Duration(a.rng.Int63n(max(int64(pause), 1)))
}
