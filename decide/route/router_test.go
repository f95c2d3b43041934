package route

import (
	stdcmp "cmp"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const msec = time.Millisecond

// fakeHost drives a Router with a simulated clock and records the Router's calls in a trace.
type fakeHost struct {
	router *Router
	now    time.Duration
	wakeAt time.Duration // when to call TimerDue; 0: not scheduled
	trace  strings.Builder
	lanes  map[JobID]*Lane
	ended  map[JobID]bool // refused or given up
	quiet  bool           // disables the trace
}

func newFakeHost(plan *Plan) *fakeHost {
	h := &fakeHost{now: 1000 * time.Second, lanes: map[JobID]*Lane{}, ended: map[JobID]bool{}}
	h.router = New(h, 1)
	if plan != nil {
		h.router.Adopt(h.now, plan, NewTable(plan, nil))
	}
	return h
}

func (h *fakeHost) tracef(format string, args ...any) {
	if !h.quiet {
		fmt.Fprintf(&h.trace, "%6d ms  %s\n", (h.now - 1000*time.Second).Milliseconds(), fmt.Sprintf(format, args...))
	}
}

func formatLane(l *Lane) string {
	if l == nil {
		return "anywhere"
	}
	_, primary, extra := l.Names()
	if extra != "" {
		return fmt.Sprintf("%s and %s", primary, extra)
	}
	if primary == "" {
		return "any engine"
	}
	return string(primary)
}

func (h *fakeHost) Admit(j JobID, l *Lane) {
	h.lanes[j] = l
	h.tracef("admit %s: %s", j, formatLane(l))
}
func (h *fakeHost) Refuse(j JobID, retryAfter time.Duration, reason Reason) {
	h.ended[j] = true
	h.tracef("refuse %s: %s, back in %v", j, reason, retryAfter.Round(msec))
}
func (h *fakeHost) Move(j JobID, l *Lane)   { h.lanes[j] = l; h.tracef("move %s: %s", j, formatLane(l)) }
func (h *fakeHost) GiveUp(j JobID)          { h.ended[j] = true; h.tracef("give up %s", j) }
func (h *fakeHost) WithdrawAttempt(j JobID) { h.tracef("take back %s", j) }
func (h *fakeHost) StartTimer(delay time.Duration) {
	h.wakeAt = h.now + delay
}
func (h *fakeHost) Log(line string) { h.tracef("log: %s", line) }

// advance moves the clock forward and fires the timers that are due.
func (h *fakeHost) advance(interval time.Duration) {
	for end := h.now + interval; ; {
		if h.wakeAt == 0 || h.wakeAt > end {
			h.now = end
			return
		}
		h.now, h.wakeAt = h.wakeAt, 0
		h.router.TimerDue(h.now)
	}
}

// listEngines adds or removes engines of the list. The location of an engine is the first letter of its id.
func (h *fakeHost) listEngines(available bool, ids ...EngineID) {
	for _, id := range ids {
		h.router.UpdateEngine(h.now, Engine{ID: id, Location: string(id[:1]), Kind: "k"}, available)
	}
	h.router.EngineListEnd(h.now)
}

func (h *fakeHost) suspectEngines(suspected bool, ids ...EngineID) {
	for _, id := range ids {
		h.router.EngineSuspected(h.now, id, suspected)
	}
}

// submitJobs submits jobs. The type of a job is its id without the digits at the end.
func (h *fakeHost) submitJobs(ids ...JobID) {
	for _, id := range ids {
		h.router.JobArrived(h.now, id, &Job{Type: strings.TrimRight(string(id), "0123456789"), Tables: Unknown, Cost: Unknown,
			Memory: Unknown, TimeLeft: time.Second})
	}
}

func (h *fakeHost) startAttempts(ids ...JobID) {
	for _, id := range ids {
		h.router.AttemptStarted(h.now, id)
	}
}

func (h *fakeHost) endAttempts(ids ...JobID) {
	for _, id := range ids {
		h.router.AttemptEnded(h.now, id)
	}
}

func (h *fakeHost) finishJobs(ids ...JobID) {
	for _, id := range ids {
		h.router.JobEnded(h.now, id)
	}
}

// compareTrace compares the trace with the file in testdata that is named after the test, or writes it with -update.
func (h *fakeHost) compareTrace(t *testing.T) {
	t.Helper()
	path := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if *updateTraces {
		if err := os.MkdirAll("testdata", 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(h.trace.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), h.trace.String()); diff != "" {
		t.Error(diff)
	}
}

// poolAt returns a pool of the engines at a location.
func poolAt(name PoolName, location Pattern, change func(*Pool)) *Pool {
	p := &Pool{Name: name, MemberSets: [][]Members{{{Locations: []Pattern{location}}}}}
	if change != nil {
		change(p)
	}
	return p
}

// planWith returns a plan with one route for all jobs to these pools, in this order.
func planWith(policy func(*Policy), pools ...*Pool) *Plan {
	r := &Route{Name: "r", Pools: pools, Policy: NewPolicy("p")}
	if policy != nil {
		policy(&r.Policy)
	}
	return &Plan{Routes: []*Route{r}, Pools: pools}
}

func minHalf(p *Pool) { p.MinShare = 0.5 }

// TestFallback checks that the fallback is used only after the pool has been below its minimum for FailoverDelay, that
// the pool is used again only after it has been healthy for FailbackDelay, and that its share of new jobs then grows.
func TestFallback(t *testing.T) {
	h := newFakeHost(planWith(func(p *Policy) {
		p.FailoverDelay, p.FailbackDelay, p.SlowStart = 100*msec, 300*msec, 200*msec
	}, poolAt("a", "a", minHalf), poolAt("b", "b", nil)))
	h.listEngines(true, "a1", "a2", "a3", "a4", "b1")
	h.submitJobs("j1")
	h.listEngines(false, "a1", "a2", "a3")
	h.advance(60 * msec)
	h.listEngines(true, "a1", "a2") // before FailoverDelay is over
	h.advance(60 * msec)
	h.submitJobs("j2")
	h.suspectEngines(true, "a1", "a2")
	h.advance(120 * msec)
	h.submitJobs("j3", "j4")
	h.suspectEngines(false, "a1", "a2")
	h.advance(200 * msec)
	h.suspectEngines(true, "a1", "a2") // before FailbackDelay is over
	h.advance(200 * msec)
	h.suspectEngines(false, "a1", "a2")
	h.advance(400 * msec)
	for n := range 12 {
		h.submitJobs(JobID(fmt.Sprint("r", n)))
		h.advance(20 * msec)
	}
	h.compareTrace(t)
}

// TestAllDown checks what happens without a usable pool: jobs are held until one of the pools has a usable engine or,
// with RejectWhenDown, are ended at once. If all pools are below their minimum, the one with the larger share of usable
// engines is used.
func TestAllDown(t *testing.T) {
	h := newFakeHost(planWith(nil, poolAt("a", "a", minHalf), poolAt("b", "b", minHalf)))
	h.listEngines(true, "a1", "a2", "a3", "a4", "b1", "b2", "b3")
	h.listEngines(false, "a1", "a2", "a3", "b1", "b2")
	h.submitJobs("j1")
	h.listEngines(false, "a4", "b3")
	h.submitJobs("j2")
	h.listEngines(true, "b3")
	h.advance(time.Second)
	plan := planWith(func(p *Policy) { p.RejectWhenDown = true }, poolAt("a", "a", nil))
	h.router.Adopt(h.now, plan, NewTable(plan, h.router.Table()))
	h.submitJobs("j3")
	h.listEngines(true, "a1")
	h.advance(3 * time.Second)
	h.submitJobs("j4")
	h.listEngines(false, "a1")
	h.compareTrace(t)
}

// TestTrials checks that while a pool is down only because its engines are suspected, a job may use it as an extra pool
// once per trial interval. Otherwise no job would find out that they answer again.
func TestTrials(t *testing.T) {
	h := newFakeHost(planWith(nil, poolAt("a", "a", nil), poolAt("b", "b", nil)))
	h.listEngines(true, "a1", "b1")
	h.suspectEngines(true, "a1")
	for n := range 8 {
		h.submitJobs(JobID(fmt.Sprint("j", n)))
		h.advance(100 * msec)
	}
	h.compareTrace(t)
}

// TestLimits checks that jobs over a limit are refused with the time at which there is room again, and that each
// refused job gets a different time.
func TestLimits(t *testing.T) {
	plan := planWith(func(p *Policy) { p.Rate, p.Burst, p.MaxInFlight = 10, 2, 1 })
	held := &Route{Name: "h", Match: &Match{Op: In, Field: Type, Texts: []Pattern{"h"}}, Policy: NewPolicy("h")}
	held.Policy.MaxHeld = 2
	plan.Routes = append([]*Route{held}, plan.Routes...)
	h := newFakeHost(plan)
	h.submitJobs("j1", "j2", "j3", "j4", "j5")
	h.advance(100 * msec)
	h.submitJobs("j6")
	h.tracef("room %v", h.lanes["j1"].HasRoom())
	h.startAttempts("j1")
	h.tracef("room %v", h.lanes["j2"].HasRoom())
	h.finishJobs("j1")
	h.tracef("room %v", h.lanes["j2"].HasRoom())
	for n := range 6 { // one job leaves every 50 ms
		id := JobID(fmt.Sprint("h", n))
		h.submitJobs(id)
		h.advance(50 * msec)
		h.startAttempts(id)
		h.finishJobs(id)
	}
	h.submitJobs("h10", "h11", "h12", "h13", "h14")
	h.compareTrace(t)
}

// TestFurther checks a route's own retry budget, the delay before a retry, and the window for jobs that may have run.
func TestFurther(t *testing.T) {
	h := newFakeHost(planWith(func(p *Policy) {
		p.RetryBudgetSet, p.RetryBudgetShare, p.RetryBudgetFloor, p.RetryBudgetWindow = true, 0.1, 1, 10*time.Second
		p.RetryDelay, p.RepeatWindow = 50*msec, 2*time.Second
	}))
	for n := range 10 {
		h.submitJobs(JobID(fmt.Sprint("j", n)))
	}
	lane := h.lanes["j0"]
	trace := func(label string, sinceFirst, sinceLast time.Duration) {
		h.tracef("%s: %v", label, lane.RetryAllowed(h.now, sinceFirst, sinceLast))
	}
	h.startAttempts("j0")
	h.endAttempts("j0")
	trace("at once", 0, 10*msec)
	trace("after the wait", 0, 60*msec)
	trace("may have run lately", time.Second, 60*msec)
	trace("may have run long ago", 3*time.Second, 60*msec)
	h.advance(time.Second)
	h.startAttempts("j0") // the budget is two retries: one free, and a tenth of ten jobs
	h.endAttempts("j0")
	trace("one is gone", 0, 60*msec)
	h.startAttempts("j0")
	h.endAttempts("j0")
	trace("two are gone", 0, 60*msec)
	h.advance(9 * time.Second)
	trace("later", 0, 60*msec)
	h.advance(2 * time.Second)
	trace("in the next window", 0, 60*msec)
	h.compareTrace(t)
}

// TestOverflow checks that a job may use the overflow pool after it was held for OverflowAfter, and that this time
// starts again when the job is held again after an attempt.
func TestOverflow(t *testing.T) {
	plan := planWith(nil, poolAt("a", "a", func(p *Pool) { p.Overflow, p.OverflowAfter = "b", 100*msec }))
	plan.Pools = append(plan.Pools, poolAt("b", "b", nil))
	h := newFakeHost(plan)
	h.listEngines(true, "a1", "b1")
	h.submitJobs("j1", "j2")
	h.advance(50 * msec)
	h.startAttempts("j2")
	h.advance(60 * msec)
	h.tracef("j1 may go to b1: %v", h.lanes["j1"].Allows("b1"))
	h.endAttempts("j2")
	h.advance(60 * msec)
	h.advance(60 * msec)
	h.compareTrace(t)
}

// TestVersions checks that open jobs keep the version that they were admitted under, but lose access at once to engines
// and pools that a later version removes.
func TestVersions(t *testing.T) {
	first := planWith(nil, poolAt("a", "a", nil), poolAt("b", "b", nil))
	h := newFakeHost(first)
	h.listEngines(true, "a1", "a2", "b1")
	h.submitJobs("j1", "j2", "j3")
	h.startAttempts("j2")
	adopt := func(p *Plan) {
		h.router.Adopt(h.now, p, NewTable(p, h.router.Table()))
		kept, open := h.router.Versions()
		h.tracef("%d versions, %d jobs", kept, open)
	}
	// Pool a loses engine a1.
	adopt(planWith(nil, &Pool{Name: "a", MemberSets: [][]Members{{{IDs: []Pattern{"a2"}}}}}, poolAt("b", "b", nil)))
	h.tracef("j1 may go to a1 %v, a2 %v", h.lanes["j1"].Allows("a1"), h.lanes["j1"].Allows("a2"))
	h.submitJobs("j4")
	adopt(planWith(nil, poolAt("b", "b", nil))) // pool a is removed
	h.tracef("room for j2 %v", h.lanes["j2"].HasRoom())
	h.endAttempts("j2")
	adopt(planWith(nil, poolAt("c", "c", nil))) // pool b is removed too, so no pool can take the old jobs
	h.submitJobs("j5")
	h.finishJobs("j1", "j2", "j3", "j4")
	kept, open := h.router.Versions()
	h.tracef("%d versions, %d jobs", kept, open)
	adopt(&Plan{})
	h.submitJobs("j6")
	h.finishJobs("j5")
	kept, open = h.router.Versions()
	h.tracef("%d versions, %d jobs", kept, open)
	h.compareTrace(t)
}

// TestPromises drives a Router with random events and checks its invariants after each: the version and the lane of
// each open job, the engines that it may be sent to, and the counts.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFakeHost(nil)
		h.quiet = true
		engines := []EngineID{"a1", "a2", "a3", "b1", "b2", "c1"}
		available, open, inFlight := map[EngineID]bool{}, map[JobID]int{}, map[JobID]bool{}
		adopted, jobs := 0, 0
		adopt := func(t *rapid.T) {
			locations := rapid.Permutation([]Pattern{"a", "b", "c"}).Draw(t, "order")
			var pools []*Pool
			for _, use := range locations[:rapid.IntRange(0, 3).Draw(t, "pools")] {
				pools = append(pools, poolAt(PoolName(use), use, func(p *Pool) {
					p.MinShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")
					if rapid.Bool().Draw(t, "ids") {
						p.MemberSets[0][0].IDs = []Pattern{"*1", "*2"}
					}
					if rapid.Bool().Draw(t, "overflow") {
						p.Overflow, p.OverflowAfter = PoolName(rapid.SampledFrom(locations).Draw(t, "to")), 50*msec
					}
				}))
			}
			plan := planWith(func(p *Policy) {
				p.MaxInFlight = rapid.SampledFrom([]int{0, 2}).Draw(t, "out")
				p.MaxHeld = rapid.SampledFrom([]int{0, 3}).Draw(t, "held")
				p.RejectWhenDown = rapid.Bool().Draw(t, "end")
				p.FailoverDelay = rapid.SampledFrom([]time.Duration{0, 100 * msec}).Draw(t, "wait")
			}, pools...)
			plan.Pools = slices.Clone(pools)
			slices.SortFunc(plan.Pools, func(a, b *Pool) int { return stdcmp.Compare(a.Name, b.Name) })
			h.router.Adopt(h.now, plan, NewTable(plan, h.router.Table()))
			adopted++
		}
		adopt(t)
		pickJob := func(t *rapid.T, wantInFlight bool) (JobID, bool) {
			var list []JobID
			for j := range open {
				if inFlight[j] == wantInFlight {
					list = append(list, j)
				}
			}
			slices.Sort(list)
			if len(list) == 0 {
				return "", false
			}
			return rapid.SampledFrom(list).Draw(t, "job"), true
		}
		finish := func(j JobID) {
			h.finishJobs(j)
			delete(open, j)
			delete(inFlight, j)
		}
		t.Repeat(map[string]func(*rapid.T){
			"adopt": adopt,
			"list": func(t *rapid.T) {
				e := rapid.SampledFrom(engines).Draw(t, "engine")
				available[e] = !available[e]
				h.listEngines(available[e], e)
			},
			"suspect": func(t *rapid.T) {
				h.suspectEngines(rapid.Bool().Draw(t, "yes"), rapid.SampledFrom(engines).Draw(t, "engine"))
			},
			"wait": func(t *rapid.T) {
				h.advance(time.Duration(rapid.SampledFrom([]int{1, 30, 300, 3000}).Draw(t, "ms")) * msec)
			},
			"take": func(t *rapid.T) {
				jobs++
				j := JobID(fmt.Sprint("j", jobs))
				h.submitJobs(j)
				if _, admitted := h.lanes[j]; admitted == h.ended[j] {
					t.Fatalf("%s must be either admitted or refused: admitted %v, refused %v", j, admitted, h.ended[j])
				} else if admitted {
					open[j] = adopted
				}
			},
			"send": func(t *rapid.T) {
				j, found := pickJob(t, false)
				if found && h.lanes[j].HasRoom() && slices.ContainsFunc(engines, h.lanes[j].Allows) {
					h.startAttempts(j)
					inFlight[j] = true
				}
			},
			"back": func(t *rapid.T) {
				if j, found := pickJob(t, true); found {
					delete(inFlight, j)
					h.endAttempts(j)
				}
			},
			"done": func(t *rapid.T) {
				if j, found := pickJob(t, rapid.Bool().Draw(t, "out")); found {
					finish(j)
				}
			},
			"": func(t *rapid.T) {
				for j := range h.ended { // the caller ends jobs that were given up
					if _, isOpen := open[j]; isOpen && !inFlight[j] {
						finish(j)
					}
				}
				versions := map[int]bool{adopted: true}
				held, attempts := 0, 0
				newest := h.router.newestVersion()
				for j, version := range open {
					versions[version] = true
					if inFlight[j] {
						attempts++
					} else {
						held++
					}
					v, lane := h.router.Placement(j)
					if v != version || lane != h.lanes[j] || lane.route.version.number != version {
						t.Fatalf("%s was admitted under version %d, but has version %d or a wrong lane", j, version, v)
					}
					for _, e := range engines {
						if !lane.Allows(e) || lane.primary == nil {
							continue
						}
						isMember := func(use *poolUse) bool {
							if use == nil || use.pool.version.number != version {
								return false
							}
							later := newest.plan.Pool(use.pool.Name)
							engine := &Engine{ID: e, Location: string(e[:1]), Kind: "k"}
							return later != nil && later.Contains(engine) && use.pool.Contains(engine)
						}
						if !available[e] || !isMember(lane.primary) && !isMember(lane.extra) {
							t.Fatalf("%s may be sent to %s (available: %v), which is not an available member of its pools",
								j, e, available[e])
						}
					}
					if inFlight[j] || lane.primary == nil {
						continue
					}
					if lane.primary.pool.removed {
						t.Fatalf("%s is held for pool %s, which was removed", j, lane.primary.pool.Name)
					}
					anyUsable := slices.ContainsFunc(lane.route.poolUses, func(use *poolUse) bool {
						return use.pool.usableCount > 0
					})
					if s := lane.primary.status; anyUsable && (s == down || s == failbackPending) &&
						lane.primary.pool.usableCount == 0 {
						t.Fatalf("%s is held for pool %s, which is %s, while another pool has usable engines", j,
							lane.primary.pool.Name, s)
					}
				}
				kept, openCount := h.router.Versions()
				if kept != len(versions) || openCount != len(open) {
					t.Fatalf("%d versions kept, want %v; %d open jobs, want %d", kept, versions, openCount, len(open))
				}
				if m := h.router.meters["r"]; m != nil && (m.inFlight != attempts || m.openJobs != held+attempts) {
					t.Fatalf("%d attempts of %d jobs, but the meter has %d and %d", attempts, held+attempts, m.inFlight,
						m.openJobs)
				}
			},
		})
	})
}

func BenchmarkJobTaken(b *testing.B) {
	for _, n := range []int{1, 10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			plan, job := largePlan(n)
			for _, r := range plan.Routes {
				r.Pools = []*Pool{poolAt("a", "a", nil)}
			}
			plan.Pools = plan.Routes[0].Pools
			h := newFakeHost(plan)
			h.quiet = true
			h.listEngines(true, "a1")
			rng := rand.New(rand.NewSource(1))
			jobs := make([]Job, 4096)
			for i := range jobs {
				jobs[i] = job(rng)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				h.router.JobArrived(h.now, "j", &jobs[i%len(jobs)])
				h.router.AttemptStarted(h.now, "j")
				h.router.JobEnded(h.now, "j")
				i++
			}
		})
	}
}
