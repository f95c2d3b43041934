package slowness

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

// scenario gives the true slowness of each engine.
type scenario struct {
	name     string
	slowness func(engine int) float64
}

var scenarios = []scenario{
	{"all alike", func(int) float64 { return 1.3 }},
	{"one in eight slow", func(e int) float64 { return 1.3 + 2.7*float64((e%8)/7) }},
	{"one location slow", func(e int) float64 { return 1.3 + 1.2*float64(e%2) }},
}

// rmsErrors simulates a controller that gets perSecond answers a second from 40 engines in two locations. The slowness of answers
// varies by about a factor of two around the truth. It returns the root mean square error over engines, measured each second from
// 5 s on, of an engine's own mean, the mean of all engines, a pooled estimate of fixed weight, and the Estimator.
func rmsErrors(scenario scenario, seed int64) (own, all, fixed, pooled float64) {
	rng := rand.New(rand.NewSource(seed))
	const engines, perSecond = 40, 20
	book := New()
	estimates := make([]*Engine, engines)
	ownMeans := make([]mean, engines)
	last := make([]time.Duration, engines)
	var overallMean mean
	for e := range estimates {
		estimates[e] = book.Engine(Location(fmt.Sprint(e%2)), "std")
	}
	count := 0.0
	for n := range 30 * perSecond {
		now := time.Duration(n) * time.Second / perSecond
		e := rng.Intn(engines)
		sample := math.Min(scenario.slowness(e)*math.Exp(0.4*rng.NormFloat64()-0.08), 4)
		estimates[e].Add(now, sample)
		ownMeans[e].samples *= math.Exp(float64(last[e]-now) / float64(fadeTime))
		ownMeans[e].add(sample, ownSamples)
		last[e] = now
		overallMean.add(sample, pooledSamples)
		if n < 5*perSecond || n%perSecond != 0 {
			continue
		}
		for e := range estimates {
			want := math.Min(scenario.slowness(e), 4)
			weight := ownMeans[e].samples * math.Exp(float64(last[e]-now)/float64(fadeTime))
			own += square(ownMeans[e].value - want)
			all += square(overallMean.value - want)
			fixed += square((weight*ownMeans[e].value+3*overallMean.value)/(weight+3) - want)
			pooled += square(estimates[e].Estimate(now) - want)
			count++
		}
	}
	root := func(sum float64) float64 { return math.Sqrt(sum / count) }
	return root(own), root(all), root(fixed), root(pooled)
}

// TestError checks that the error of the estimate is close to that of the best simple one, averaged over ten seeds for each
// scenario.
func TestError(t *testing.T) {
	for _, scenario := range scenarios {
		var sums [4]float64
		for seed := range int64(10) {
			a, b, c, d := rmsErrors(scenario, seed)
			for n, x := range []float64{a, b, c, d} {
				sums[n] += x / 10
			}
		}
		t.Logf("%-18s own %.3f, all %.3f, fixed weight %.3f, learned %.3f", scenario.name, sums[0], sums[1], sums[2], sums[3])
		if best := min(sums[0], sums[1], sums[2]); sums[3] > 1.15*best {
			t.Errorf("%s: error %.3f, the best simple estimate has %.3f", scenario.name, sums[3], best)
		}
	}
}

// TestTold checks that an engine that becomes slow is recognized after a few of its own answers, and that one whose process was
// replaced is not judged by answers of the earlier process.
func TestTold(t *testing.T) {
	book := New()
	rng := rand.New(rand.NewSource(1))
	var estimates []*Engine
	for range 8 {
		estimates = append(estimates, book.Engine("here", "std"))
	}
	now := time.Duration(0)
	answer := func(e int, slowness float64) {
		now += 20 * ms
		estimates[e].Add(now, slowness*math.Exp(0.3*rng.NormFloat64()))
	}
	for range 100 {
		answer(rng.Intn(8), 1.2)
	}
	before := estimates[3].Estimate(now)
	for n := 1; ; n++ {
		answer(3, 4)
		answer(rng.Intn(3), 1.2)
		if slow := estimates[3].Estimate(now); slow > 2.2 {
			t.Logf("slowness after %d slow answers: %.2f (%.2f before)", n, slow, before)
			break
		} else if n > 8 {
			t.Fatalf("slowness is only %.2f after %d slow answers", slow, n)
		}
	}
	for range 10 {
		answer(rng.Intn(3), 1.2)
	}
	estimates[3].Reset()
	if slow := estimates[3].Estimate(now); slow > 1.5 {
		t.Error("estimate still includes the earlier process: ", slow)
	}
	if slow := New().Engine("here", "std").Estimate(now); slow != 0 {
		t.Error("want 0 without any answers, got ", slow)
	}
}

// TestFades checks that old answers lose their weight.
func TestFades(t *testing.T) {
	book := New()
	rng := rand.New(rand.NewSource(1))
	slow, quick := book.Engine("here", "std"), book.Engine("here", "std")
	for n := range 40 {
		slow.Add(time.Duration(n)*20*ms, 4*math.Exp(0.3*rng.NormFloat64()))
	}
	for n := range 40 {
		quick.Add(time.Second+time.Duration(n)*time.Second, math.Exp(0.3*rng.NormFloat64()))
	}
	if x := slow.Estimate(41 * time.Second); x > 1.6 {
		t.Error(x)
	}
}
