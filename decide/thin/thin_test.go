package thin

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

// truth of engines: how slow each is.
type truth struct {
	name string
	of   func(engine int) float64
}

var truths = []truth{
	{"all alike", func(int) float64 { return 1.3 }},
	{"one in eight slow", func(e int) float64 { return 1.3 + 2.7*float64((e%8)/7) }},
	{"one location slow", func(e int) float64 { return 1.3 + 1.2*float64(e%2) }},
}

// errors are the root of the mean squared error over engines, for a controller that gets so many answers a second from 40
// engines in two locations, each twice or half of the truth by chance; measured each second from 5 s on.
func errors(t truth, seed int64) (own, all, fixed, book float64) {
	rng := rand.New(rand.NewSource(seed))
	const engines, perSecond = 40, 20
	b := New()
	pages := make([]*Engine, engines)
	alone := make([]mean, engines)
	last := make([]time.Duration, engines)
	var together mean
	for e := range pages {
		pages[e] = b.Engine(Location(fmt.Sprint(e%2)), "std")
	}
	count := 0.0
	for n := range 30 * perSecond {
		now := time.Duration(n) * time.Second / perSecond
		e := rng.Intn(engines)
		x := math.Min(t.of(e)*math.Exp(0.4*rng.NormFloat64()-0.08), 4)
		pages[e].Answered(now, x)
		alone[e].n *= math.Exp(float64(last[e]-now) / float64(fade))
		alone[e].add(x, ownSpan)
		last[e] = now
		together.add(x, manySpan)
		if n < 5*perSecond || n%perSecond != 0 {
			continue
		}
		for e := range pages {
			want := math.Min(t.of(e), 4)
			weight := alone[e].n * math.Exp(float64(last[e]-now)/float64(fade))
			own += square(alone[e].value - want)
			all += square(together.value - want)
			fixed += square((weight*alone[e].value+3*together.value)/(weight+3) - want)
			book += square(pages[e].Slow(now) - want)
			count++
		}
	}
	root := func(sum float64) float64 { return math.Sqrt(sum / count) }
	return root(own), root(all), root(fixed), root(book)
}

// TestError: the promise, over ten seeds for each truth.
func TestError(t *testing.T) {
	for _, truth := range truths {
		var sums [4]float64
		for seed := range int64(10) {
			a, b, c, d := errors(truth, seed)
			for n, x := range []float64{a, b, c, d} {
				sums[n] += x / 10
			}
		}
		t.Logf("%-18s own %.3f, all %.3f, fixed weight %.3f, learned %.3f", truth.name, sums[0], sums[1], sums[2], sums[3])
		if best := min(sums[0], sums[1], sums[2]); sums[3] > 1.15*best {
			t.Errorf("%s: %.3f, the best plain way has %.3f", truth.name, sums[3], best)
		}
	}
}

// TestTold: an engine that turns slow is told apart after few answers of its own, and one that started anew is not judged
// by the process before.
func TestTold(t *testing.T) {
	b := New()
	rng := rand.New(rand.NewSource(1))
	var pages []*Engine
	for range 8 {
		pages = append(pages, b.Engine("here", "std"))
	}
	now := time.Duration(0)
	answer := func(e int, x float64) {
		now += 20 * ms
		pages[e].Answered(now, x*math.Exp(0.3*rng.NormFloat64()))
	}
	for range 100 {
		answer(rng.Intn(8), 1.2)
	}
	calm := pages[3].Slow(now)
	for n := 1; ; n++ {
		answer(3, 4)
		answer(rng.Intn(3), 1.2)
		if slow := pages[3].Slow(now); slow > 2.2 {
			t.Logf("after %d answers: %.2f (%.2f before)", n, slow, calm)
			break
		} else if n > 8 {
			t.Fatalf("still %.2f after %d slow answers", slow, n)
		}
	}
	for range 10 {
		answer(rng.Intn(3), 1.2)
	}
	pages[3].Anew()
	if slow := pages[3].Slow(now); slow > 1.5 {
		t.Error("judged by the process before: ", slow)
	}
	if slow := New().Engine("here", "std").Slow(now); slow != 0 {
		t.Error("nothing is known, and it says ", slow)
	}
}

// TestFades: what is old counts for little.
func TestFades(t *testing.T) {
	b := New()
	rng := rand.New(rand.NewSource(1))
	slow, quick := b.Engine("here", "std"), b.Engine("here", "std")
	for n := range 40 {
		slow.Answered(time.Duration(n)*20*ms, 4*math.Exp(0.3*rng.NormFloat64()))
	}
	for n := range 40 {
		quick.Answered(time.Second+time.Duration(n)*time.Second, math.Exp(0.3*rng.NormFloat64()))
	}
	if x := slow.Slow(41 * time.Second); x > 1.6 {
		t.Error(x)
	}
}
