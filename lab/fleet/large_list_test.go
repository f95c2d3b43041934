package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestThousandsOfExecutors runs a few controllers, as part of a fleet of 900 or alone, with a list of 3,200 engines. Half of the engines are
// replaced within seconds while controllers are restarted. Each job must be answered by its deadline, and no engine may get one after its
// drain.
func TestThousandsOfExecutors(t *testing.T) {
	for _, settled := range []int{900, 4} { // number of controllers in the settings
		t.Run(fmt.Sprint("of ", settled), func(t *testing.T) { replaceThousands(t, settled) })
	}
}

func replaceThousands(t *testing.T, settled int) {
	r, err := Run(context.Background(), Options{Program: program, Controllers: 4, ConfiguredControllers: settled, Engines: 3200, Cores: 1, JobsPerSecond: 15,
		Duration: 7 * time.Second, Seed: 1, Logf: t.Logf, Faults: []Fault{
			{Name: "replace", Share: 0.5, At: time.Second, Duration: 3 * time.Second},
			{Name: "term", Share: 0.25, At: 2 * time.Second},
			{Name: "kill", Share: 0.25, At: 3 * time.Second},
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("processor time %.2f of a core, %.0f MB, %d jobs, %.1f%% in time, %.1f%% rejected", r.CPU, r.Memory, r.Figures.Jobs,
		100*r.Figures.InTime, 100*r.Figures.Rejected)
	if r.Audit.Broken() {
		t.Errorf("%+v", r.Audit)
	}
	if r.Figures.Jobs < 200 || r.Figures.Rejected > 0.5 {
		t.Errorf("hardly any jobs, or most of them rejected: %+v", r.Figures)
	}
}
