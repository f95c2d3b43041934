package fleet

import (
	"context"
	"strings"
	"testing"
	"time"
)

// play runs a small fleet and wants the rules kept.
func play(t *testing.T, o Options) Result {
	t.Helper()
	o.Program, o.Controllers, o.Engines, o.Cores, o.PerSecond = program, 8, 3, 2, 6
	if o.Say = t.Logf; o.Length == 0 {
		o.Length = 3 * time.Second
	}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Audit.Broken() {
		t.Errorf("%+v", r.Audit)
	}
	if r.Figures.Jobs < 20 || r.Figures.Windows[1].Idlest == 0 {
		t.Errorf("an engine without work, or hardly any: %+v", r.Figures)
	}
	return r
}

// TestFleet: several processes, by our decisions and by chance, and with controllers that are killed, stopped and told to
// go: each job that a live controller took has one answer, and none is at two engines at once.
func TestFleet(t *testing.T) {
	play(t, Options{Seed: 1})
	play(t, Options{Seed: 1, Policy: "random"})
	play(t, Options{Seed: 2, Length: 5 * time.Second, Faults: []Fault{
		{What: "kill", Share: 0.5, At: time.Second},
		{What: "stop", Share: 0.4, At: 1500 * time.Millisecond, For: time.Second},
		{What: "hang", Share: 0.3, At: 2 * time.Second, For: time.Second},
	}})
	play(t, Options{Seed: 3, Length: 5 * time.Second, Faults: []Fault{
		{What: "term", Share: 0.3, At: time.Second},
		{What: "die", Share: 0.3, At: 1200 * time.Millisecond, For: time.Second},
	}})
}

// TestAudit: what the audit calls two dispatches at once.
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
		{[][2]time.Duration{at(1, 0), at(4, 9)}, true}, // the first never ends
	} {
		if overlap(c.spans) != c.wrong {
			t.Error(c)
		}
	}
}

// TestFaults: what is written is what is read, and what is wrong is said.
func TestFaults(t *testing.T) {
	for _, text := range []string{"kill:0.7@5s", "stop:0.3@500ms/3s", "slow:0.125@2s/1.5s"} {
		if f, err := ParseFault(text); err != nil || f.String() != text {
			t.Error(text, f, err)
		}
	}
	for text, says := range map[string]string{"": "wanted", "burn:1@1s": "not known", "kill:2@1s": "share", "kill:0.5@1s/2s": "no length",
		"stop:0.5@1s": "wants a length", "stop:0.5@1x/2s": "no time"} {
		if _, err := ParseFault(text); err == nil || !strings.Contains(err.Error(), says) {
			t.Error(text, err)
		}
	}
}
