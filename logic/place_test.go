package logic

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// enginePool is a placement that allows some engines. Its fields may change while jobs have it.
type enginePool struct {
	engines   []EngineID
	full      bool // has no room
	noRetries bool // allows no retries
}

func (p *enginePool) EngineSetKey() any                                 { return p }
func (p *enginePool) Allows(e EngineID) bool                            { return slices.Contains(p.engines, e) }
func (p *enginePool) HasRoom() bool                                     { return !p.full }
func (p *enginePool) MayRetry(sinceFirst, sinceLast time.Duration) bool { return !p.noRetries }

// submitPlaced has a job with a placement arrive.
func (h *fakeHost) submitPlaced(id JobID, name ClassName, timeout time.Duration, p *enginePool) {
	h.record("- %s taken (%s)", id, name)
	h.c.JobArrived(h.now, id, name, "", "", h.now+timeout, 0, 0, 1, false, p)
}

// TestPlacements compares the decisions for jobs with placements with expected traces.
func TestPlacements(t *testing.T) {
	runGolden(t, "placement_keeps_to_its_engines", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		for n := range 3 {
			h.submitPlaced(JobID(fmt.Sprint("j", n)), "report", 20*time.Second, &enginePool{engines: []EngineID{"b"}})
			h.endAttempt(JobID(fmt.Sprint("j", n)), 0, "b", Done)
		}
	})
	runGolden(t, "full_placement_holds_back_only_its_own", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		one, other := &enginePool{engines: []EngineID{"a"}}, &enginePool{engines: []EngineID{"b"}}
		h.submitPlaced("fill", "report", 20*time.Second, one)
		h.c.list.byID["a"].limit = 4
		h.submitPlaced("wide", "report", 4*time.Second, one)
		h.submitPlaced("behind", "lookup", 5*time.Second, one)
		h.submitPlaced("beside", "lookup", 5*time.Second, other)
		h.submit("anywhere", "lookup", "", 5*time.Second)
		h.endAttempt("fill", 0, "a", Done)
	})
	runGolden(t, "placement_without_room_holds", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		p := &enginePool{engines: []EngineID{"a"}, full: true}
		h.submitPlaced("j", "lookup", 5*time.Second, p)
		h.submit("other", "lookup", "", 5*time.Second)
		h.advance(100 * ms)
		p.full = false
		h.advance(20 * ms)
	})
	// Jobs that wait for a placement without room must not cause others to be shed, and overload of a small pool sheds
	// only jobs of that pool.
	runGolden(t, "placement_sheds_its_own", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.learnLatencies("a", 10)
		nowhere, small := &enginePool{full: true}, &enginePool{engines: []EngineID{"b"}}
		for n := range 40 {
			h.submitPlaced(JobID(fmt.Sprint("waits", n)), "report", 20*time.Second, nowhere)
		}
		h.submit("free", "lookup", "", 5*time.Second)
		h.c.list.byID["b"].limit = 1
		for n := range 8 {
			h.submitPlaced(JobID(fmt.Sprint("small", n)), "report", 20*time.Second, small)
		}
	})
	runGolden(t, "placement_moved", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a", "b")
		h.submitPlaced("j", "lookup", 5*time.Second, &enginePool{})
		h.submitPlaced("none", "lookup", 5*time.Second, &enginePool{})
		h.advance(100 * ms)
		h.c.PlacementChanged(h.now, "j", &enginePool{engines: []EngineID{"b"}}, false)
		h.c.PlacementChanged(h.now, "none", &enginePool{}, true)
		h.c.PlacementChanged(h.now, "unknown", &enginePool{}, true)
	})
	// Rule 2 (repeats) overrides any placement: a job that may have run in one cell is not sent to another, and is
	// answered at once instead of being queued.
	runGolden(t, "placement_never_widens_rule2", func(h *fakeHost) {
		h.start(func(s *Settings) { s.Classes[1].Group = GroupCell })
		h.addEngines("a", "bb")
		h.submitPlaced("j", "load", 20*time.Second, &enginePool{engines: []EngineID{"a"}})
		h.endAttempt("j", 0, "a", Errored)
		h.c.ListBegins(h.now, ListChanges)
		h.c.EngineListed(h.now, "a", "here", "k", 1, Draining, 1, 0)
		h.c.ListEnds(h.now)
		h.endAttempt("j", 1, "a", ConnectionLost)
		h.submitPlaced("moved", "load", 20*time.Second, &enginePool{engines: []EngineID{"bb"}})
		h.endAttempt("moved", 0, "bb", ConnectionLost)
		h.c.PlacementChanged(h.now, "moved", &enginePool{engines: []EngineID{"a"}}, false)
		h.endAttempt("moved", 1, "bb", ConnectionLost)
	})
	runGolden(t, "placement_without_repeats", func(h *fakeHost) {
		h.start(nil)
		h.addEngines("a")
		p := &enginePool{engines: []EngineID{"a"}, noRetries: true}
		h.submitPlaced("j", "lookup", 5*time.Second, p)
		h.endAttempt("j", 0, "a", Errored)
		h.advance(200 * ms)
		p.noRetries = false
		h.advance(20 * ms)
		h.endAttempt("j", 1, "a", Done)
	})
}
