package limit

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var update = flag.Bool("update", false, "rewrite the golden files; review the changes before committing them")

// TestMain runs the property tests with a fixed seed; -rapid.seed selects another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// compareGolden compares lines with the golden file of the test, or writes the file if -update is set.
func compareGolden(t *testing.T, lines []string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(strings.TrimRight(string(want), "\n"), "\n"), lines); diff != "" {
		t.Error("limits differ from the golden file (-want +got):\n" + diff)
	}
}

// TestRestarted checks that a restarted controller sends nothing to a cold engine for one span, as it has no record of what its
// earlier process sent there. To an engine that starts after the controller it may send at once.
func TestRestarted(t *testing.T) {
	const start = time.Minute
	l := New(Settings{Controllers: 1, StartCapacity: 0.3, ColdPeriod: 10 * time.Second, CollapseMultiple: 3, CollapsePeriod: 2 * time.Second})
	l.TakeCustomerShare(start+time.Second, "")
	before, after := l.Engine(4), l.Engine(4)
	before.SetStart(start)
	after.SetStart(start + time.Second + ms)
	for _, c := range []struct {
		at            time.Duration
		before, after bool
	}{{start + time.Second + 2*ms, false, true}, {start + 3*time.Second - ms, false, true}, {start + 3*time.Second, true, true}} {
		if b, a := before.Allows(c.at, 100*ms, 1), after.Allows(c.at, 100*ms, 1); b != c.before || a != c.after {
			t.Errorf("%v after the start: %v, %v", c.at-start, b, a)
		}
	}
}

// TestTurns traces one of three controllers that sends to a cold engine of 4 cores. A lookup fits into the controller's allowance
// at any time, a report waits for the controller's turn, and work sent counts until the span is over.
func TestTurns(t *testing.T) {
	l := New(Settings{Controllers: 3, StartCapacity: 0.3, ColdPeriod: 10 * time.Second, CollapseMultiple: 3, CollapsePeriod: 2 * time.Second})
	l.TakeCustomerShare(0, "") // the process started long before the engine
	e := l.Engine(4)
	e.SetStart(time.Minute)
	var lines []string
	for now := time.Minute; now <= time.Minute+11*time.Second; now += 500 * ms {
		line := fmt.Sprintf("%5d ms", (now - time.Minute).Milliseconds())
		for _, job := range []struct {
			name string
			work time.Duration
		}{{"report", 4 * time.Second}, {"lookup", 400 * ms}} {
			if e.Allows(now, job.work, 1) {
				line += "  " + job.name
				e.CountWork(now, job.work, 1)
			}
		}
		lines = append(lines, line)
	}
	compareGolden(t, lines)
}

// TestColdTogether checks that in every span, counted at the engine, the controllers together send less work than makes a cold
// engine fail, whatever jobs they have and however often they ask.
func TestColdTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controllers := rapid.IntRange(1, 12).Draw(t, "controllers")
		settings := Settings{Controllers: controllers, StartCapacity: 0.3, ColdPeriod: 10 * time.Second, CollapseMultiple: 3, CollapsePeriod: 2 * time.Second}
		var engines []*Engine
		for settings.Number = range controllers {
			e := New(settings).Engine(4)
			e.SetStart(time.Minute)
			engines = append(engines, e)
		}
		type sentJob struct{ at, work time.Duration }
		var all []sentJob
		works := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{40 * ms, 400 * ms, 1500 * ms, 2500 * ms}), 1, 6).Draw(t, "works")
		skipPercent := rapid.SliceOfN(rapid.IntRange(0, 99), controllers, controllers).Draw(t, "asked") // percentage of steps without a job
		for step, now := 0, time.Minute; now < time.Minute+9*time.Second; now += 20 * ms {
			for n, e := range engines {
				step++
				if work := works[(step+n)%len(works)]; step*7919%100 >= skipPercent[n] && e.Allows(now, work, 1) {
					e.CountWork(now, work, 1)
					all = append(all, sentJob{now, work})
				}
			}
		}
		if len(all) == 0 {
			t.Fatal("no job was allowed")
		}
		for _, first := range all {
			sum := time.Duration(0)
			for _, c := range all {
				if c.at >= first.at && c.at < first.at+settings.CollapsePeriod {
					sum += c.work
				}
			}
			age := float64(first.at-time.Minute) / float64(settings.ColdPeriod)
			maxWork := settings.CollapseMultiple * (settings.StartCapacity + (1-settings.StartCapacity)*age) *
				coldCoreUtilization * coldThreadsPerCore * 4 * settings.CollapsePeriod.Seconds()
			if sum.Seconds() > maxWork {
				t.Fatalf("%v of work in the span from %v on, want at most %.1f s", sum, first.at-time.Minute, maxWork)
			}
		}
	})
}

// TestShares checks that a customer's tokens accumulate for up to one second, and that its rate is divided among the controllers.
func TestShares(t *testing.T) {
	l := New(Settings{Controllers: 2, Customers: []Customer{{"a", 8}, {"none", 0}}})
	var lines []string
	for now := time.Minute; now < time.Minute+2*time.Second; now += 100 * ms {
		lines = append(lines, fmt.Sprintf("%4d ms  a %v, %v; none %v; unknown %v", (now-time.Minute).Milliseconds(),
			l.TakeCustomerShare(now, "a"), l.TakeCustomerShare(now, "a"), l.TakeCustomerShare(now, "none"), l.TakeCustomerShare(now, "unknown")))
	}
	compareGolden(t, lines)
}
