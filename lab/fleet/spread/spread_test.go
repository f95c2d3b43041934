package spread

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

func checkNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s: %.3f, wanted %.3f", what, got, want)
	}
}

// arrivalsBy returns observations of one arrival every 2.5 ms at the engine that a policy picks.
func arrivalsBy(engines int, pick func(n int) int) Observations {
	o := Observations{To: 20 * time.Second, Engines: engines, CoresPerEngine: 1, Controllers: 1}
	for n := range 8000 {
		o.Attempts = append(o.Attempts, Attempt{Engine: pick(n), ArrivedAt: time.Duration(n) * 2500 * time.Microsecond, Work: ms})
	}
	return o
}

// TestWindows checks the balance of arrivals in turn, all at one engine, at random, and in herds.
func TestWindows(t *testing.T) {
	roundRobin := Compute(arrivalsBy(4, func(n int) int { return n % 4 }))
	checkNear(t, "busiest in turn", roundRobin.Windows[1].Busiest, 1, 0.01)
	checkNear(t, "idlest in turn", roundRobin.Windows[1].Idlest, 1, 0.01)
	checkNear(t, "herd in turn", roundRobin.ArrivalDispersion, 0, 0.01)
	single := Compute(arrivalsBy(4, func(int) int { return 2 }))
	checkNear(t, "busiest with all at one", single.Windows[1].Busiest, 4, 0.01)
	checkNear(t, "idlest with all at one", single.Windows[1].Idlest, 0, 0)
	checkNear(t, "variation with all at one", single.Windows[2].Variation, math.Sqrt(3), 0.01)
	rng := rand.New(rand.NewSource(1))
	random := arrivalsBy(4, func(int) int { return rng.Intn(4) })
	for n := range random.Attempts { // random times too, otherwise the sum over engines would be fixed
		random.Attempts[n].ArrivedAt = time.Duration(rng.Int63n(int64(20 * time.Second)))
	}
	checkNear(t, "herd at random", Compute(random).ArrivalDispersion, 1, 0.1)
	// In herds: for a tenth of a second at a time, all arrivals are at one engine.
	if herd := Compute(arrivalsBy(4, func(n int) int { return n / 40 % 4 })); herd.ArrivalDispersion < 5 || herd.PeakArrivals < 3.9 {
		t.Error(herd.ArrivalDispersion, herd.PeakArrivals)
	}
}

// TestIdle has two engines of one core for 10 s. A job is held for 2 s while one of them is free, and for 1 s while both are.
func TestIdle(t *testing.T) {
	o := Observations{To: 10 * time.Second, Engines: 2, CoresPerEngine: 1, Controllers: 2,
		Attempts: []Attempt{{Engine: 0, ArrivedAt: 0, StartedAt: 1 * ms, EndedAt: 5 * time.Second}},
		Jobs: []Job{
			{SentAt: 3*time.Second - transitTime, ArrivedAt: 6 * time.Second, ReachedEngine: true, AnsweredAt: 7 * time.Second, Done: true, InTime: true},
			{Controller: 1, SentAt: 4 * time.Second, AnsweredAt: 4*time.Second + ms, Rejected: true},
			{Controller: 1, SentAt: 9 * time.Second},
		}}
	figures := Compute(o)
	// From 3 to 5 s one engine is free, from 5 to 6 s both. A job that neither was answered nor reached an engine does not count as held.
	checkNear(t, "idle", figures.Idle, (2+2)/20.0, 0.001)
	checkNear(t, "busy", figures.Busy, 5/20.0, 0.001)
	checkNear(t, "stranded", figures.Stranded, 1/3.0, 0.001)
	checkNear(t, "rejected", figures.Rejected, 1/3.0, 0.001)
	if figures.Lost != 1 || figures.Jobs != 3 {
		t.Error(figures)
	}
	// With both engines busy no job is stranded.
	o.Attempts = append(o.Attempts, Attempt{Engine: 1, StartedAt: 1 * ms, EndedAt: 5 * time.Second})
	checkNear(t, "stranded with both busy", Compute(o).Stranded, 0, 0)
}

// TestPeak checks rates per second, without events outside of the measured span.
func TestPeak(t *testing.T) {
	o := Observations{From: time.Second, To: 5 * time.Second, Engines: 1, CoresPerEngine: 1, Controllers: 1,
		Dials: []time.Duration{0, 1100 * ms, 1200 * ms, 1300 * ms, 4 * time.Second, 6 * time.Second}}
	if peak := Compute(o).Dials; peak.Total != 4 || peak.MaxOverMean != 3 {
		t.Error(peak)
	}
}
