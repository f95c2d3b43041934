package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"yarrowbarrow/lab/fleet/spread"
)

// runSmallFleet runs a small fleet and fails the test if a rule is broken, or if an engine got no work or the run hardly any jobs.
func runSmallFleet(t *testing.T, o Options) Result {
	t.Helper()
	o.Program, o.Controllers, o.Engines, o.Cores, o.JobsPerSecond = program, 8, 3, 2, 6
	if o.Logf = t.Logf; o.Duration == 0 {
		o.Duration = 3 * time.Second
	}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Audit.Broken() {
		t.Errorf("%+v", r.Audit)
	}
	if r.Figures.Jobs < 20 || r.Figures.Windows[1].Idlest == 0 {
		t.Errorf("an engine without work, or hardly any jobs: %+v", r.Figures)
	}
	return r
}

// TestFleet runs small fleets with the program's own policy and with the random one, and with controllers that are killed, stopped and
// terminated. Each job that a live controller accepted must be answered once, and no job may be at two engines at once.
func TestFleet(t *testing.T) {
	runSmallFleet(t, Options{Seed: 1})
	runSmallFleet(t, Options{Seed: 1, Policy: "random"})
	runSmallFleet(t, Options{Seed: 2, Duration: 5 * time.Second, Faults: []Fault{
		{Name: "kill", Share: 0.5, At: time.Second},
		{Name: "stop", Share: 0.4, At: 1500 * time.Millisecond, Duration: time.Second},
		{Name: "hang", Share: 0.3, At: 2 * time.Second, Duration: time.Second},
	}})
	runSmallFleet(t, Options{Seed: 3, Duration: 5 * time.Second, Faults: []Fault{
		{Name: "term", Share: 0.3, At: time.Second},
		{Name: "die", Share: 0.3, At: 1200 * time.Millisecond, Duration: time.Second},
	}})
}

// TestAudit checks which spans of attempts the audit takes for two attempts at once.
func TestAudit(t *testing.T) {
	at := func(from, to int) [2]time.Duration {
		return [2]time.Duration{time.Duration(from), time.Duration(to)}
	}
	for _, c := range []struct {
		spans [][2]time.Duration
		wrong bool
	}{
		{[][2]time.Duration{at(1, 5)}, false},
		{[][2]time.Duration{at(6, 9), at(1, 5)}, false},
		{[][2]time.Duration{at(1, 5), at(4, 9)}, true},
		{[][2]time.Duration{at(1, 0), at(4, 9)}, true}, // the first attempt never ends
	} {
		if overlap(c.spans, 0) != c.wrong {
			t.Error(c)
		}
	}
}

// TestFaults checks that faults are parsed and printed in the same form, and that errors say what is wrong.
func TestFaults(t *testing.T) {
	for _, text := range []string{"kill:0.7@5s", "stop:0.3@500ms/3s", "slow:0.125@2s/1.5s"} {
		if f, err := ParseFault(text); err != nil || f.String() != text {
			t.Error(text, f, err)
		}
	}
	for text, says := range map[string]string{"": "wanted", "burn:1@1s": "not known", "kill:2@1s": "share", "kill:0.5@1s/2s": "takes no duration",
		"stop:0.5@1s": "needs a duration", "stop:0.5@1x/2s": "not a valid time"} {
		if _, err := ParseFault(text); err == nil || !strings.Contains(err.Error(), says) {
			t.Error(text, err)
		}
	}
}

// TestScript checks that scripts have one fault per line and that errors name the line, and that a seed draws the same faults each time.
func TestScript(t *testing.T) {
	all, err := ReadScript(strings.NewReader("# a bad day\nkill:0.7@5s\n\ncut:0.5@2s/6s # one room\n"))
	if err != nil || len(all) != 2 || all[1].String() != "cut:0.5@2s/6s" {
		t.Error(all, err)
	}
	if _, err := ReadScript(strings.NewReader("kill:0.7@5s\ncut:0.5@2s\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Error(err)
	}
	for seed := range int64(50) {
		drawn, again := DrawFaults(seed, 4, 20*time.Second), DrawFaults(seed, 4, 20*time.Second)
		for n, f := range drawn {
			if read, err := ParseFault(f.String()); err != nil || read != f || again[n] != f || f.At+f.Duration > 20*time.Second {
				t.Error(f, read, again[n], err)
			}
		}
	}
}

// TestCompare checks that similar differences in all pairs count as significant, and differences in both directions or of a single pair do not.
func TestCompare(t *testing.T) {
	runs := func(inTime ...float64) (all []Result) {
		for _, x := range inTime {
			all = append(all, Result{Figures: spread.Figures{InTime: x}})
		}
		return all
	}
	figures := []Metric{{Name: "in time", Value: func(r Result) float64 { return r.Figures.InTime }}}
	better := Compare(runs(0.90, 0.92, 0.94), runs(0.93, 0.95, 0.975), figures)[0]
	if !better.Significant || better.Difference < 0.03 || better.CILow < 0.02 || better.CIHigh > 0.045 {
		t.Errorf("%+v", better)
	}
	if none := Compare(runs(0.90, 0.92, 0.94), runs(0.93, 0.90, 0.94), figures)[0]; none.Significant || none.CILow > 0 || none.CIHigh < 0 {
		t.Errorf("%+v", none)
	}
	if one := Compare(runs(0.9), runs(0.8), figures)[0]; one.Significant || one.Pairs != 1 {
		t.Errorf("%+v", one)
	}
}

// TestDays checks that the scripts of all scenarios can be parsed, and that faults which separate rooms have at least two rooms.
func TestDays(t *testing.T) {
	for _, d := range Scenarios {
		if o, err := d.Options(Options{}); err != nil || len(o.Faults) != len(d.Script) {
			t.Error(d.Name, err)
		}
		for _, text := range d.Script {
			if f, _ := ParseFault(text); faults[f.Name].onLinks && f.Name != "silent" && d.Rooms < 2 && faults[f.Name].target == targetRooms {
				t.Errorf("%s: %s separates rooms, but there is only one", d.Name, text)
			}
		}
	}
}
