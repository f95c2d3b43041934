package fleet

import (
	"context"
	"testing"
	"time"
)

// TestSoak runs fleets with overlapping faults drawn from a few seeds. The command fleet soak does the same with many seeds.
func TestSoak(t *testing.T) {
	err := RunSoak(context.Background(), program, 1, 6, 2, 5*time.Second, true, func(s SoakResult) {
		o, r := s.Options, s.Result
		t.Logf("seed %d: %d controllers of %d, %d engines, %v: %d jobs, %.0f%% in time", s.Seed, o.Controllers,
			max(o.ConfiguredControllers, o.Controllers), o.Engines, o.Faults, r.Figures.Jobs, 100*r.Figures.InTime)
		if r.Audit.Broken() {
			t.Errorf("seed %d broke a rule: %+v\n%s", s.Seed, r.Audit, s.LogLines)
		}
		if r.Figures.Jobs < 100 || r.Figures.Rejected > 0.8 {
			t.Errorf("seed %d: hardly any jobs, or most of them rejected: %+v", s.Seed, r.Figures)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
