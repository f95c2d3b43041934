package spread

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

func near(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if math.Abs(got-want) > by {
		t.Errorf("%s: %.3f, wanted %.3f", what, got, want)
	}
}

// arrivals at engines every few milliseconds, as a policy picks them.
func arrivals(engines int, pick func(n int) int) Observations {
	r := Observations{To: 20 * time.Second, Engines: engines, CoresPerEngine: 1, Controllers: 1}
	for n := range 8000 {
		r.Attempts = append(r.Attempts, Attempt{Engine: pick(n), ArrivedAt: time.Duration(n) * 2500 * time.Microsecond, Work: ms})
	}
	return r
}

// TestWindows: in turn, all on one, and by pure chance.
func TestWindows(t *testing.T) {
	turn := Compute(arrivals(4, func(n int) int { return n % 4 }))
	near(t, "busiest in turn", turn.Windows[1].Busiest, 1, 0.01)
	near(t, "idlest in turn", turn.Windows[1].Idlest, 1, 0.01)
	near(t, "herd in turn", turn.Herd, 0, 0.01)
	one := Compute(arrivals(4, func(int) int { return 2 }))
	near(t, "busiest of all on one", one.Windows[1].Busiest, 4, 0.01)
	near(t, "idlest of all on one", one.Windows[1].Idlest, 0, 0)
	near(t, "variation of all on one", one.Windows[2].Variance, math.Sqrt(3), 0.01)
	rng := rand.New(rand.NewSource(1))
	chance := arrivals(4, func(int) int { return rng.Intn(4) })
	for n := range chance.Attempts { // times by chance too, or the sum over engines would be fixed
		chance.Attempts[n].ArrivedAt = time.Duration(rng.Int63n(int64(20 * time.Second)))
	}
	near(t, "herd of chance", Compute(chance).Herd, 1, 0.1)
	// In herds: each tenth of a second all of it goes to one engine.
	if herd := Compute(arrivals(4, func(n int) int { return n / 40 % 4 })); herd.Herd < 5 || herd.Surge < 3.9 {
		t.Error(herd.Herd, herd.Surge)
	}
}

// TestIdle: two engines of one core for 10 s. A job is held for 2 s while one of them is free, and 1 s while both are.
func TestIdle(t *testing.T) {
	r := Observations{To: 10 * time.Second, Engines: 2, CoresPerEngine: 1, Controllers: 2,
		Attempts: []Attempt{{Engine: 0, ArrivedAt: 0, StartedAt: 1 * ms, EndedAt: 5 * time.Second}},
		Jobs: []Job{
			{SentAt: 3*time.Second - transitTime, ArrivedAt: 6 * time.Second, ReachedEngine: true, AnsweredAt: 7 * time.Second, Done: true, InTime: true},
			{Controller: 1, SentAt: 4 * time.Second, AnsweredAt: 4*time.Second + ms, Rejected: true},
			{Controller: 1, SentAt: 9 * time.Second},
		}}
	f := Compute(r)
	// From 3 to 5 s one is free, from 5 to 6 s both; the job without an answer or an engine is held by nobody known.
	near(t, "idle", f.Idle, (2+2)/20.0, 0.001)
	near(t, "busy", f.Busy, 5/20.0, 0.001)
	near(t, "stranded", f.Stranded, 1/3.0, 0.001)
	near(t, "rejected", f.Rejected, 1/3.0, 0.001)
	if f.Lost != 1 || f.Jobs != 3 {
		t.Error(f)
	}
	// With both engines at work nobody is stranded.
	r.Attempts = append(r.Attempts, Attempt{Engine: 1, StartedAt: 1 * ms, EndedAt: 5 * time.Second})
	near(t, "stranded beside none", Compute(r).Stranded, 0, 0)
}

// TestPeak: rates by seconds, without what lies outside.
func TestPeak(t *testing.T) {
	r := Observations{From: time.Second, To: 5 * time.Second, Engines: 1, CoresPerEngine: 1, Controllers: 1,
		Dials: []time.Duration{0, 1100 * ms, 1200 * ms, 1300 * ms, 4 * time.Second, 6 * time.Second}}
	if p := Compute(r).Dials; p.Total != 4 || p.Most != 3 {
		t.Error(p)
	}
}
