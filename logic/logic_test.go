package logic

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestRules compares the decisions in scenarios of the order of dispatch and of each numbered rule with expected traces.
func TestRules(t *testing.T) {
	runGolden(t, "least_slack", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.fillEngine("a", 0)
		h.submit("long", "report", "", 20*time.Second)
		h.submit("quick", "lookup", "", 5*time.Second)
		h.submit("tighter", "lookup", "", 4*time.Second)
		h.advance(100 * ms)
		h.endAttempt("fill", 0, "a", Done)
		h.endAttempt("tighter", 0, "a", Done)
	})
	runGolden(t, "rule1_expired_on_arrival", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.submit("late", "lookup", "", 0)
		h.advance(40 * ms)
	})
	runGolden(t, "rule1_client_leaves", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.submit("j", "report", "", 20*time.Second)
		h.c.ClientGone(h.now, "j")
		h.endAttempt("j", 0, "a", Recalled)
		h.advance(100 * ms)
	})
	runGolden(t, "rule1_deadline_while_out", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.submit("j", "report", "", 3*time.Second)
		h.advance(3 * time.Second)
		h.endAttempt("j", 0, "a", TimedOut)
		h.c.ClientGone(h.now, "j")
	})
	// Jobs that can not be answered before the end of the process are answered at once, and the others have until then.
	runGolden(t, "rule1_leaving", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.fillEngine("a", 0)
		h.submit("held", "report", "", 20*time.Second)
		h.c.ShuttingDown(h.now, h.now+1500*ms)
		h.endAttempt("fill", 0, "a", Done)
		h.advance(1500 * ms)
		h.endAttempt("held", 0, "a", TimedOut)
	})
	// There is no room before the window ends: the job is answered at once when no engine may take it any more.
	runGolden(t, "rule2_window_ends_while_held", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[1].Group = GroupCell })
		h.addEngines("a")
		h.submit("j", "load", "", 20*time.Second)
		h.fillEngine("a", 0)
		h.c.list.byID["a"].suspected, h.c.list.byID["a"].nextTrialAt = true, h.now+time.Hour
		h.addEngines("b1")
		h.endAttempt("j", 0, "a", ConnectionLost)
		h.advance(5 * time.Second)
	})
	// The cell of an attempt is the engine's cell when it was sent, not its cell now.
	runGolden(t, "rule2_cell_moves", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[1].Group = GroupCell })
		h.addEngines("a")
		h.submit("j", "load", "", 20*time.Second)
		h.c.ListBegins(h.now, ListChanges)
		h.c.EngineListed(h.now, "a", "here", "k", 7, Up, 1, 0)
		h.c.EngineListed(h.now, "b", "here", "k", 7, Up, 1, 0)
		h.c.EngineListed(h.now, "c", "here", "k", 1, Up, 1, 0)
		h.c.ListEnds(h.now)
		h.endAttempt("j", 0, "a", ConnectionLost)
	})
	runGolden(t, "rule2_run_once", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.submit("refused", "once", "", 9*time.Second)
		h.endAttempt("refused", 0, "a", NoConnection)
		h.submit("ran", "once", "", 9*time.Second)
		h.endAttempt("ran", 0, "b", Errored)
	})
	runGolden(t, "rule2_keyed_window", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[1].Group = GroupCell })
		h.addEngines("a")
		h.submit("inside", "load", "", 20*time.Second)
		h.endAttempt("inside", 0, "a", ConnectionLost)
		h.endAttempt("inside", 1, "a", Done)
		h.submit("outside", "load", "", 20*time.Second)
		h.advance(4 * time.Second)
		h.endAttempt("outside", 0, "a", ConnectionLost)
		h.submit("other-cell", "load", "", 20*time.Second)
		h.listEngine("a", Gone, 0)
		h.addEngines("bb")
		h.endAttempt("other-cell", 0, "a", ConnectionLost)
	})
	runGolden(t, "rule3_drain", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.listEngine("a", Draining, 0)
		h.submit("j", "lookup", "", 5*time.Second)
		h.advance(1200 * ms)
	})
	runGolden(t, "rule4_cold", func(h *fakeHost) {
		h.start(nil)
		h.listEngine("a", Up, h.now-time.Second)
		h.submit("more than a cold engine's part", "report", "", 20*time.Second)
		h.submit("in its part", "lookup", "", 5*time.Second)
		h.endAttempt("in its part", 0, "a", Done)
		h.advance(9200 * ms)
	})
	runGolden(t, "rule5_order", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.submit("first", "load", "t", 20*time.Second)
		h.submit("second", "load", "t", 20*time.Second)
		h.submit("other", "load", "u", 20*time.Second)
		h.endAttempt("first", 0, "a", TimedOut)
		h.endAttempt("first", 1, "a", Done)
		h.advance(200 * ms)
		h.advance(200 * ms)
	})
	runGolden(t, "rule6_placement", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[0].Locations = []Location{"there"} })
		h.addEngines("a", "b")
		h.submit("j", "lookup", "", 5*time.Second)
		h.advance(1200 * ms)
	})
	runGolden(t, "rule7_budget", func(h *fakeHost) {
		h.start(func(s *Settings) { s.BudgetWindow, s.BudgetFloor = 5*time.Second, 1 })
		h.addEngines("a", "b")
		h.submit("j", "lookup", "", 5*time.Second)
		h.endAttempt("j", 0, "a", Refused)
		h.endAttempt("j", 1, "b", Refused)
		h.advance(1200 * ms)
	})
}

// TestFailures compares the decisions after failures of engines, in overload and with many controllers with expected
// traces.
func TestFailures(t *testing.T) {
	runGolden(t, "clock_far_from_zero", func(h *fakeHost) {
		h.now += 200 * time.Hour
		h.start(nil)
		h.addEngines("a")
		h.learnLatencies("a", 40)
		h.submit("j", "lookup", "", 5*time.Second)
	})
	runGolden(t, "fast_errors", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.submit("1", "report", "", 20*time.Second)
		h.endAttempt("1", 0, "a", Errored)
		h.endAttempt("1", 1, "b", Done)
		h.submit("2", "report", "", 20*time.Second)
		h.endAttempt("2", 0, "a", Errored)
		h.submit("3", "report", "", 20*time.Second)
	})
	// One lost connection may be chance, two in a row are taken as the engine's fault.
	runGolden(t, "connections_lost", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.submit("1", "report", "", 20*time.Second)
		h.endAttempt("1", 0, "a", ConnectionLost)
		h.endAttempt("1", 1, "a", ConnectionLost)
		h.advance(300 * ms)
	})
	runGolden(t, "no_connection_then_trial", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.submit("1", "report", "", 20*time.Second)
		h.endAttempt("1", 0, "a", NoConnection)
		h.submit("2", "lookup", "", 5*time.Second)
		h.advance(300 * ms)
		h.submit("3", "lookup", "", 5*time.Second)
		h.endAttempt("3", 0, "a", Done)
	})
	runGolden(t, "stuck_job_recalled", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.learnLatencies("a", 40)
		h.submit("j", "report", "", 20*time.Second)
		h.advance(8 * time.Second)
		h.endAttempt("j", 0, "a", Recalled)
	})
	runGolden(t, "short_sla_time_leaves_some_for_another_engine", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[0].LatencyTarget = 400 * ms })
		h.addEngines("a", "b")
		for _, id := range []JobID{"known", "1", "2", "3", "4"} {
			h.c.JobArrived(h.now, id, "lookup", "", "", h.now+3*time.Second, 20*ms, 0, 1, false, nil)
			if at := h.c.jobs[id].inFlight.engine.id; id != "known" {
				h.advance(340 * ms)
				h.endAttempt(id, 0, at, Recalled)
			}
			h.c.AttemptEnded(h.now, id, 0, "", Done, 20*ms, true, 0, 0, Load{})
		}
	})
	runGolden(t, "overload_sheds_least_value", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.fillEngine("a", 0)
		for _, id := range []JobID{"r1", "r2", "l1", "r3", "l2", "r4"} {
			if id[0] == 'r' {
				h.submit(id, "report", "", 20*time.Second)
			} else {
				h.submit(id, "lookup", "", 5*time.Second)
			}
		}
	})
	runGolden(t, "many_controllers_narrow_limits", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Controllers, s.Number = 100, 7 })
		h.addEngines("a", "b", "c", "d")
		h.submit("wide", "report", "", 20*time.Second)
		h.submit("passes", "lookup", "", 5*time.Second)
		h.submit("waits", "lookup", "", 5*time.Second)
		h.endAttempt("passes", 0, "", Done)
		h.endAttempt("wide", 0, "", Done)
	})
	runGolden(t, "many_controllers_cold_in_turn", func(h *fakeHost) {
		for number := range 3 {
			h.start(func(s *Settings) { s.Controllers, s.Number, s.CollapseMultiple = 4, number, 6 })
			h.listEngine("a", Up, h.now-time.Second)
			h.submit(JobID(fmt.Sprint("of ", number)), "load", "", 20*time.Second)
			h.advance(8 * time.Second)
		}
	})
	// Half of the engines are cold: a wide job that would fit only with their limits counted waits, and a narrow one
	// passes it and goes to a cold engine.
	runGolden(t, "cold_limits_are_no_room_elsewhere", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Controllers, s.Number = 10, 3 })
		h.addEngines("a", "b", "c", "d")
		for _, e := range []EngineID{"e", "f", "g", "h"} {
			h.listEngine(e, Up, h.now-time.Second)
		}
		h.submit("wide", "report", "", 20*time.Second)
		h.submit("waits", "report", "", 20*time.Second)
		h.submit("narrow", "lookup", "", 5*time.Second)
		h.submit("second", "lookup", "", 5*time.Second)
		h.advance(100 * ms)
		h.endAttempt("wide", 0, "d", Done)
	})
	runGolden(t, "memory_granted_shrinks_limits", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		h.learnLatencies("a", 40)
		seen := map[float64]bool{}
		for _, full := range []float64{0.5, 3} {
			for i := range 20 {
				id := JobID(fmt.Sprint("j", i))
				h.c.JobArrived(h.now, id, "lookup", "", "", h.now+5*time.Second, 100*ms, 0, 1, false, nil)
				h.c.AttemptEnded(h.now, id, 0, "a", Done, 100*ms, true, 0, 0, Load{MemoryGranted: full})
			}
			seen[full] = h.c.list.byID["a"].limit > 5
		}
		h.trace.Reset()
		h.record("limit above 5 with memory half granted: %v, thrice: %v", seen[0.5], seen[3])
	})
	runGolden(t, "limit_keeps_an_even_share", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Controllers = 2 })
		h.addEngines("a")
		h.learnLatencies("a", 40)
		for i := range 200 { // slow because of other controllers' jobs, so that a narrower limit here would not help
			id := JobID(fmt.Sprint("j", i))
			h.c.JobArrived(h.now, id, "lookup", "", "", h.now+5*time.Second, 0, 0, 1, false, nil)
			h.c.AttemptEnded(h.now, id, 0, "a", Done, 800*ms, true, 0, 0, Load{})
		}
		h.trace.Reset()
		h.record("limit %.2f of 4 cores with 2 controllers", h.c.list.byID["a"].limit)
	})
	runGolden(t, "list_refused", func(h *fakeHost) {
		h.start(func(s *Settings) { s.ListOnRequest = true })
		h.c.ListBegins(h.now, ListInitial)
		h.c.ListEnds(h.now)
		h.c.ListBegins(h.now, ListFailed)
		h.c.ListEnds(h.now)
		h.advance(time.Second)
	})
}

// TestSubset checks that draining engines are in no subset, and that the numbers of subsets that the other engines are in
// differ by at most one.
func TestSubset(t *testing.T) {
	const controllers = 40
	subsetCounts := map[EngineID]int{}
	for number := range controllers {
		h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
		h.start(func(s *Settings) { s.Controllers, s.Number = controllers, number })
		for n := range 20 {
			h.listEngine(EngineID(fmt.Sprintf("e%02d", n)), Up, 0)
		}
		for n := range 20 {
			if n%5 < 3 {
				h.listEngine(EngineID(fmt.Sprintf("e%02d", n)), Draining, 0)
			}
		}
		h.c.allocateLimits()
		ownCount := 0
		for _, e := range h.c.candidates {
			if e.allocatedLimit > 0 {
				subsetCounts[e.id]++
				ownCount++
			}
			if e.allocatedLimit > 0 && e.health != Up {
				t.Error(number, "is a controller with a draining engine in its subset:", e.id)
			}
		}
		if ownCount != int(h.c.subsetSize) {
			t.Error(number, "is a controller with a subset of", ownCount, "engines, want", h.c.subsetSize)
		}
	}
	minSubsets, maxSubsets := controllers, 0
	for _, n := range subsetCounts {
		minSubsets, maxSubsets = min(minSubsets, n), max(maxSubsets, n)
	}
	if len(subsetCounts) != 8 || maxSubsets > minSubsets+1 {
		t.Error(subsetCounts)
	}
}

// TestLimitOfTheBusy checks that the limits of a controller with more jobs than its even share admits grow beyond two
// threads per core while answers are quick, and are back there after the first slow answers.
func TestLimitOfTheBusy(t *testing.T) {
	h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
	h.start(func(s *Settings) { s.Controllers = 10 })
	h.addEngines("a", "b")
	evenShare := 2.0 * 4 * 2 / 11 * 2 // two threads per core of both engines, as the share of one of ten controllers
	n := 0
	round := func(took time.Duration) {
		for range 12 {
			n++
			h.c.JobArrived(h.now, JobID(fmt.Sprint("j", n)), "lookup", "", "", h.now+5*time.Second, 100*ms, 0, Tables(n), false, nil)
		}
		h.now += took
		for _, e := range h.c.candidates {
			for len(e.inFlight) > 0 {
				j := e.inFlight[0]
				h.c.AttemptEnded(h.now, j.id, j.attemptCount-1, e.id, Done, took, true, 100*ms, 0, Load{})
				if len(e.inFlight) > 0 && e.inFlight[0].inFlight.sentAt == h.now {
					break // jobs dispatched just now are answered in the next round
				}
			}
		}
	}
	for range 60 {
		round(100 * ms)
	}
	if h.c.usableLimit < 1.5*evenShare || h.c.usableLimit > 4*evenShare+1e-9 {
		t.Errorf("after quick answers the limit is %.2f threads, two per core are %.2f", h.c.usableLimit, evenShare)
	}
	for range 8 {
		round(300 * ms)
	}
	if h.c.usableLimit > evenShare+1e-9 {
		t.Errorf("after slow answers the limit is %.2f threads, two per core are %.2f", h.c.usableLimit, evenShare)
	}
}

// TestLeaningEstimates guards against taking biased declared costs for congestion. One class takes three times its
// declared cost even on an idle engine, and another less than declared: a controller that has just started keeps its
// initial limits. Where no class takes less than declared, the limits shrink.
func TestLeaningEstimates(t *testing.T) {
	for _, biased := range []bool{true, false} {
		h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
		h.start(func(s *Settings) { s.Controllers = 10 })
		h.addEngines("a", "b")
		n := 0
		answered := func(name ClassName, took time.Duration) float64 {
			n++
			id := JobID(fmt.Sprint("j", n))
			h.c.JobArrived(h.now, id, name, "", "", h.now+5*time.Second, 100*ms, 0, Tables(n), false, nil)
			h.now += took
			if j := h.c.jobs[id]; j != nil && j.inFlight != nil {
				h.c.AttemptEnded(h.now, id, 0, j.inFlight.engine.id, Done, took, true, 0, 0, Load{})
			}
			h.c.updateTotals()
			return h.c.usableLimit
		}
		for range 5 {
			took := 100 * ms
			if biased {
				took = 60 * ms
			}
			answered("once", took)
		}
		initial, lowest := h.c.usableLimit, h.c.usableLimit
		for range 30 {
			lowest = min(lowest, answered("lookup", 300*ms))
		}
		if biased != (lowest > 0.8*initial) {
			t.Errorf("biased %v: the limit fell to %.2f threads from %.2f", biased, lowest, initial)
		}
	}
}

// TestScatteredEstimates guards against taking scattered declared costs for congestion. The engines are equally fast all
// the time, but the least mean of the ratios of latency to cost is a lucky one, so that later answers seem slow. The test
// takes the mean slowness over the worst hundred answers, averaged over some seeds. When the engines take twice as long,
// the slowness must rise.
func TestScatteredEstimates(t *testing.T) {
	const seeds = 10
	calm, busy := 0.0, 0.0
	for seed := range seeds {
		h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
		h.start(func(s *Settings) { s.Controllers = 10 })
		h.addEngines("a", "b")
		rng := rand.New(rand.NewSource(int64(seed)))
		n := 0
		slowness := func(answers int, factor float64) (slow float64) {
			for range answers {
				n++
				id := JobID(fmt.Sprint("j", n))
				took := time.Duration(factor * math.Exp(0.9*rng.NormFloat64()) * float64(10*ms))
				h.c.JobArrived(h.now, id, "lookup", "", "", h.now+time.Minute, 10*ms, 0, Tables(n), false, nil)
				h.now += took
				if j := h.c.jobs[id]; j != nil && j.inFlight != nil {
					h.c.AttemptEnded(h.now, id, 0, j.inFlight.engine.id, Done, took, true, 0, 0, Load{})
				}
				slow += h.c.slowness.value / float64(answers)
			}
			return slow
		}
		slowness(200, 1)
		worst := 0.0
		for range 6 {
			worst = max(worst, slowness(100, 1))
		}
		calm += worst / seeds
		busy += slowness(120, 2) / seeds
	}
	if calm > 1.3 || busy < 1.5 {
		t.Errorf("slowness %.2f at full speed, want at most 1.3; %.2f at half the speed, want at least 1.5", calm, busy)
	}
}

// TestKeysForgotten checks that the queues of keys that are never used again are removed while other jobs are open. Those
// of keys with an open job or in their quiet period are kept.
func TestKeysForgotten(t *testing.T) {
	h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
	h.start(func(s *Settings) { s.KeyQuietPeriod = time.Hour })
	h.addEngines("a", "b")
	ordered := h.c.settings.Classes[slices.IndexFunc(h.c.settings.Classes, func(c Class) bool { return c.Ordered })].Name
	submit := func(id JobID, key Key) bool {
		h.c.JobArrived(h.now, id, ordered, "", key, h.now+10*time.Second, 10*ms, 0, 0, false, nil)
		return h.c.jobs[id] != nil && h.c.jobs[id].inFlight != nil
	}
	endAttempt := func(id JobID, o Outcome) {
		if j := h.c.jobs[id]; j != nil && j.inFlight != nil {
			h.c.AttemptEnded(h.now, id, 0, j.inFlight.engine.id, o, 10*ms, true, 0, 0, Load{})
		}
	}
	if !submit("open", "stays") || !submit("lost", "rests") {
		t.Fatal("a job was not dispatched")
	}
	endAttempt("lost", ConnectionLost)
	maxQueues := 0
	for n := range 2000 {
		id := JobID(fmt.Sprint("j", n))
		h.now += 10 * ms
		submit(id, Key(fmt.Sprint("k", n)))
		endAttempt(id, Done)
		maxQueues = max(maxQueues, len(h.c.keyQueues))
	}
	if maxQueues > 200 || h.c.keyQueues["stays"] == nil || h.c.keyQueues["rests"] == nil {
		t.Error(maxQueues, "key queues at most, want up to 200; open and quiet ones kept:",
			h.c.keyQueues["stays"] != nil, h.c.keyQueues["rests"] != nil)
	}
}
