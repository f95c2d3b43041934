package fleet

import (
	"context"
	"testing"
	"time"
)

// TestBrokenRules checks that the audit detects violations. For each rule, a run of a variant that does not enforce it must violate it, and
// the same run of the program must violate none. Each run has the faults that make the rule matter.
func TestBrokenRules(t *testing.T) {
	for _, c := range []struct {
		policy string
		broken func(Audit) int
		change func(*Options)
	}{
		{"without-rule-1", func(a Audit) int { return a.Lost }, func(o *Options) { o.JobsPerSecond = 40 }},
		// Rule 7 limits repeats to a fifth of the jobs that engines did not refuse as faulty, so engines fail only after six seconds of
		// service. One repeat in seventeen is of a job that must not run twice, about a dozen in all.
		{"without-rule-2", func(a Audit) int { return a.Repeated }, func(o *Options) {
			o.JobsPerSecond, o.Duration, o.Engines = 100, 8*time.Second, 8
			o.Faults = []Fault{{Name: "fail", Share: 1, At: 6 * time.Second, Duration: 2 * time.Second}}
		}},
		{"without-rule-3", func(a Audit) int { return a.Drained }, func(o *Options) {
			o.Duration = 5 * time.Second
			o.Faults = []Fault{{Name: "replace", Share: 0.5, At: 500 * time.Millisecond, Duration: 500 * time.Millisecond}}
		}},
		// Rule 4: the program without this rule still has its other limits, so the random policy is used.
		{"random", func(a Audit) int { return a.Felled }, func(o *Options) {
			o.Duration, o.JobsPerSecond = 4*time.Second, 60
			o.Faults = []Fault{{Name: "lose", Share: 0.5, At: 500 * time.Millisecond, Duration: 500 * time.Millisecond}}
		}},
		// One job in seventeen must run in a certain room.
		{"without-rule-6", func(a Audit) int { return a.Strayed }, func(o *Options) { o.JobsPerSecond = 30 }},
		{"without-rule-7", func(a Audit) int { return a.Excess }, func(o *Options) {
			o.JobsPerSecond = 16
			o.Faults = []Fault{{Name: "fail", Share: 1, At: 500 * time.Millisecond, Duration: 2 * time.Second}}
		}},
	} {
		t.Run(c.policy, func(t *testing.T) {
			t.Parallel()
			for _, policy := range []string{"", c.policy} {
				o := Options{Program: program, Policy: policy, Controllers: 6, Engines: 4, Cores: 2, Rooms: 2, JobsPerSecond: 8, ConstrainedJobs: true,
					Duration: 3 * time.Second, Seed: 5, Logf: t.Logf}
				c.change(&o)
				r, err := Run(context.Background(), o)
				if err != nil {
					t.Fatal(err)
				}
				if t.Logf("%q: %+v", policy, r.Audit); policy == "" && r.Audit.Broken() {
					t.Errorf("rules broken although all are enforced: %+v", r.Audit)
				} else if policy != "" && c.broken(r.Audit) == 0 {
					t.Errorf("the audit found no violation: %+v", r.Audit)
				}
			}
		})
	}
}

// TestLinks runs fleets with rooms that are partitioned in both directions or one, and links that are silent, slow, of low bandwidth or reset
// during requests. Each job that a controller accepted must be answered once, and no rule may be broken.
func TestLinks(t *testing.T) {
	for _, what := range []string{"cut", "deaf", "mute", "silent", "delay", "reset", "thin"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Options{Program: program, Controllers: 6, Engines: 4, Cores: 2, Rooms: 2, JobsPerSecond: 8,
				Duration: 4 * time.Second, Seed: 7, ConstrainedJobs: true, Logf: t.Logf,
				Faults: []Fault{{Name: what, Share: 0.5, At: time.Second, Duration: 1500 * time.Millisecond}}})
			if err != nil {
				t.Fatal(err)
			}
			if r.Audit.Broken() {
				t.Errorf("%+v", r.Audit)
			}
			t.Logf("in time %.3f, worst controller %.3f, rejected %.3f", r.Figures.InTime, r.Figures.Worst, r.Figures.Rejected)
		})
	}
}
