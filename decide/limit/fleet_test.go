package limit

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowbarrow/decide/subsetting"
)

// coldStart simulates a fleet of controllers that send to an engine that has just started. Only some have it in their subset,
// they learn of the start at different times, their clocks differ, and some restart and forget what they sent.
type coldStart struct {
	controllers, engines int
	jobWorks             []time.Duration              // work of the jobs, all equally likely
	restartShare         float64                      // share of controllers that restart, all at restartAt
	restartAt            time.Duration                // after the engine's start
	cores                float64                      // of each engine
	sendProbability      func(controller int) float64 // probability of a job in each step
}

// simulate runs the simulation. It returns for each job sent to the engine when it was sent, counted from the engine's start, and
// its work.
func (c coldStart) simulate(t *rapid.T, rng *rand.Rand, settings Settings) (sentAt, work []time.Duration) {
	const start = time.Hour
	settings.Controllers = c.controllers
	var list []subsetting.Engine
	for n := range c.engines {
		list = append(list, subsetting.Engine{ID: subsetting.EngineID(rune('a' + n)), Location: "here", Capacity: c.cores})
	}
	size := max(1, min(c.engines, int(math.Ceil(3*c.cores*float64(c.engines)/float64(1+c.controllers)/2))))
	type sender struct {
		*Engine
		learnsAfter, clockSkew time.Duration
		share                  float64
	}
	var senders []sender
	for n := range c.controllers {
		settings.Number = n
		seen := list
		if rng.Intn(10) == 0 { // a list that lacks one of the other engines
			seen = list[:max(1, len(list)-1)]
		}
		order := subsetting.Order(append([]subsetting.Engine(nil), seen...), c.controllers, n, size)
		share := 0.0
		for _, id := range order[:min(size, len(order))] {
			if id == list[0].ID {
				share = math.Min(1, float64(size)/float64(len(seen)))
			}
		}
		l := New(settings)
		l.TakeCustomerShare(start-time.Minute, "")
		e := l.Engine(c.cores)
		e.SetStart(start)
		senders = append(senders, sender{e, time.Duration(rng.Int63n(int64(2 * time.Second))),
			time.Duration(rng.Int63n(int64(200*ms))) - 100*ms, share})
	}
	for now := start; now < start+settings.ColdPeriod-200*ms; now += 20 * ms { // ends early enough that no clock takes the engine for warm
		for n := range senders {
			s := &senders[n]
			if c.restartShare > 0 && now-start >= c.restartAt && now-start < c.restartAt+20*ms && rng.Float64() < c.restartShare {
				settings.Number = n
				l := New(settings)
				l.TakeCustomerShare(now, "")
				s.Engine = l.Engine(c.cores)
				s.Engine.SetStart(start)
			}
			if now-start < s.learnsAfter || rng.Float64() >= c.sendProbability(n) {
				continue
			}
			if w := c.jobWorks[rng.Intn(len(c.jobWorks))]; s.Allows(now+s.clockSkew, w, s.share) {
				s.CountWork(now+s.clockSkew, w, s.share)
				sentAt, work = append(sentAt, now-start), append(work, w)
			}
		}
	}
	return sentAt, work
}

// TestColdFleet checks what 1 to 900 controllers together send to a cold engine in any span, counted in jobs of mean work. It must
// stay below N, the jobs that the settings allow at that time, plus 2*sqrt(N)+2 for random variation, or 3*sqrt(N)+3 if N is below
// 30, for any share of disk time in the work.
func TestColdFleet(t *testing.T) {
	settings := Settings{StartCapacity: 0.3, ColdPeriod: 10 * time.Second, CollapseMultiple: 3, CollapsePeriod: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		fleet := coldStart{controllers: rapid.SampledFrom([]int{1, 3, 20, 30, 300, 900}).Draw(t, "controllers"),
			engines: rapid.IntRange(1, 12).Draw(t, "engines"),
			cores:   rapid.SampledFrom([]float64{4, 1, 0.25}).Draw(t, "cores"),
			jobWorks: rapid.SliceOfN(rapid.SampledFrom([]time.Duration{40 * ms, 250 * ms, 400 * ms, 1500 * ms, 2500 * ms}), 1, 5).
				Draw(t, "works")}
		if rapid.Bool().Draw(t, "restarts") {
			fleet.restartShare = rapid.Float64Range(0.1, 0.7).Draw(t, "restarted")
			fleet.restartAt = time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "restart at"))
		}
		heavy := rapid.IntRange(1, 10).Draw(t, "heavy")
		fleet.sendProbability = func(n int) float64 {
			if n%heavy == 0 {
				return 0.9
			}
			return 0.1
		}
		// The share of work that waits for disks differs by site and is not reported. A core then runs 1/(1-share) threads.
		threadsPerCore := 1 / (1 - rapid.Float64Range(0, 0.6).Draw(t, "at the disks"))
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		sentAt, work := fleet.simulate(t, rng, settings)
		mean := time.Duration(0)
		for _, w := range fleet.jobWorks {
			mean += w / time.Duration(len(fleet.jobWorks))
		}
		used := 0.0
		for first := range sentAt {
			sum := time.Duration(0)
			for n := first; n < len(sentAt) && sentAt[n] < sentAt[first]+settings.CollapsePeriod; n++ {
				sum += work[n]
			}
			capacity := settings.StartCapacity + (1-settings.StartCapacity)*sentAt[first].Seconds()/settings.ColdPeriod.Seconds()
			allowed := settings.CollapseMultiple * capacity * coldCoreUtilization * threadsPerCore * fleet.cores * settings.CollapsePeriod.Seconds() / mean.Seconds()
			maxJobs := allowed + 2*math.Sqrt(allowed) + 2
			if allowed < 30 {
				maxJobs = allowed + 3*math.Sqrt(allowed) + 3
			}
			if sent := sum.Seconds() / mean.Seconds(); sent > maxJobs {
				t.Fatalf("%.1f jobs sent in the span from %v on, %.1f allowed before the margin for variation (%+v)", sent, sentAt[first], allowed, fleet)
			} else {
				used = math.Max(used, sent/allowed)
			}
		}
	})
}

// TestColdUsed checks that controllers with enough jobs to send use a reasonable share of a cold engine's capacity over the ramp,
// so that the limit is not too strict.
func TestColdUsed(t *testing.T) {
	settings := Settings{StartCapacity: 0.3, ColdPeriod: 10 * time.Second, CollapseMultiple: 3, CollapsePeriod: 2 * time.Second}
	for _, controllers := range []int{3, 30, 300} {
		fleet := coldStart{controllers: controllers, engines: 8, cores: 4, jobWorks: []time.Duration{40 * ms, 250 * ms, 400 * ms, 1500 * ms},
			sendProbability: func(int) float64 { return 0.9 }}
		_, work := fleet.simulate(nil, rand.New(rand.NewSource(1)), settings)
		sum := 0.0
		for _, w := range work {
			sum += w.Seconds()
		}
		available := settings.CollapseMultiple * (settings.StartCapacity + 1) / 2 * coldCoreUtilization * coldThreadsPerCore * 4 * settings.ColdPeriod.Seconds()
		t.Logf("%d controllers use %.2f of the ramp", controllers, sum/available)
		if sum/available < 0.25 {
			t.Errorf("%d controllers use %.2f of the ramp", controllers, sum/available)
		}
	}
}
