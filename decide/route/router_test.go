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

// bench is a host that prints what it is told.
type bench struct {
	r     *Router
	now   time.Duration
	wakes time.Duration // 0: none
	trace strings.Builder
	lanes map[JobID]*Lane
	over  map[JobID]bool
	quiet bool
}

func newBench(plan *Plan) *bench {
	h := &bench{now: 1000 * time.Second, lanes: map[JobID]*Lane{}, over: map[JobID]bool{}}
	h.r = New(h, 1)
	if plan != nil {
		h.r.Adopt(h.now, plan, NewTable(plan, nil))
	}
	return h
}

func (h *bench) say(format string, args ...any) {
	if !h.quiet {
		fmt.Fprintf(&h.trace, "%6d ms  %s\n", (h.now - 1000*time.Second).Milliseconds(), fmt.Sprintf(format, args...))
	}
}

func laneText(l *Lane) string {
	if l == nil {
		return "anywhere"
	}
	_, main, extra := l.Names()
	if extra != "" {
		return fmt.Sprintf("%s and %s", main, extra)
	}
	if main == "" {
		return "any engine"
	}
	return string(main)
}

func (h *bench) Admit(j JobID, l *Lane) {
	h.lanes[j] = l
	h.say("admit %s: %s", j, laneText(l))
}
func (h *bench) Refuse(j JobID, in time.Duration, why Reason) {
	h.over[j] = true
	h.say("refuse %s: %s, back in %v", j, why, in.Round(msec))
}
func (h *bench) Move(j JobID, l *Lane) { h.lanes[j] = l; h.say("move %s: %s", j, laneText(l)) }
func (h *bench) GiveUp(j JobID)        { h.over[j] = true; h.say("give up %s", j) }
func (h *bench) TakeBack(j JobID)      { h.say("take back %s", j) }
func (h *bench) WakeAfter(in time.Duration) {
	h.wakes = h.now + in
}
func (h *bench) Log(line string) { h.say("log: %s", line) }

// wait lets time pass, with the timers that are due.
func (h *bench) wait(d time.Duration) {
	for until := h.now + d; ; {
		if h.wakes == 0 || h.wakes > until {
			h.now = until
			return
		}
		h.now, h.wakes = h.wakes, 0
		h.r.TimerDue(h.now)
	}
}

// list tells of engines: their location is the first letter of the id.
func (h *bench) list(up bool, ids ...EngineID) {
	for _, id := range ids {
		h.r.EngineSeen(h.now, Engine{ID: id, Location: string(id[:1]), Kind: "k"}, up)
	}
	h.r.ListEnds(h.now)
}

func (h *bench) suspect(yes bool, ids ...EngineID) {
	for _, id := range ids {
		h.r.EngineSuspected(h.now, id, yes)
	}
}

func (h *bench) take(ids ...JobID) {
	for _, id := range ids {
		h.r.JobTaken(h.now, id, &Job{Type: strings.TrimRight(string(id), "0123456789"), Tables: Untold, Cost: Untold,
			Memory: Untold, Left: time.Second})
	}
}

func (h *bench) send(ids ...JobID) {
	for _, id := range ids {
		h.r.Attempted(h.now, id)
	}
}

func (h *bench) back(ids ...JobID) {
	for _, id := range ids {
		h.r.AttemptOver(h.now, id)
	}
}

func (h *bench) done(ids ...JobID) {
	for _, id := range ids {
		h.r.JobOver(h.now, id)
	}
}

func (h *bench) kept(t *testing.T) {
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
	if d := cmp.Diff(string(want), h.trace.String()); d != "" {
		t.Error(d)
	}
}

func at(name PoolName, location Pattern, change func(*Pool)) *Pool {
	p := &Pool{Name: name, Any: [][]Members{{{Locations: []Pattern{location}}}}}
	if change != nil {
		change(p)
	}
	return p
}

func planWith(policy func(*Policy), pools ...*Pool) *Plan {
	r := &Route{Name: "r", Pools: pools, Policy: NewPolicy("p")}
	if policy != nil {
		policy(&r.Policy)
	}
	return &Plan{Routes: []*Route{r}, Pools: pools}
}

func half(p *Pool) { p.MinShare = 0.5 }

// TestFallback: below its minimum for the wait, a pool is left; flapping does not count; it comes back slowly.
func TestFallback(t *testing.T) {
	h := newBench(planWith(func(p *Policy) {
		p.FallbackWait, p.ReturnWait, p.ReturnOver = 100*msec, 300*msec, 200*msec
	}, at("a", "a", half), at("b", "b", nil)))
	h.list(true, "a1", "a2", "a3", "a4", "b1")
	h.take("j1")
	h.list(false, "a1", "a2", "a3")
	h.wait(60 * msec)
	h.list(true, "a1", "a2") // back in time
	h.wait(60 * msec)
	h.take("j2")
	h.suspect(true, "a1", "a2")
	h.wait(120 * msec)
	h.take("j3", "j4")
	h.suspect(false, "a1", "a2")
	h.wait(200 * msec)
	h.suspect(true, "a1", "a2") // not fit for long enough
	h.wait(200 * msec)
	h.suspect(false, "a1", "a2")
	h.wait(400 * msec)
	for n := range 12 {
		h.take(JobID(fmt.Sprint("r", n)))
		h.wait(20 * msec)
	}
	h.kept(t)
}

// TestAllDown: with a policy that holds, jobs wait for whichever pool comes first; with one that ends, they go at once.
// Below the minimum everywhere, the pool with the larger part left is used.
func TestAllDown(t *testing.T) {
	h := newBench(planWith(nil, at("a", "a", half), at("b", "b", half)))
	h.list(true, "a1", "a2", "a3", "a4", "b1", "b2", "b3")
	h.list(false, "a1", "a2", "a3", "b1", "b2")
	h.take("j1")
	h.list(false, "a4", "b3")
	h.take("j2")
	h.list(true, "b3")
	h.wait(time.Second)
	plan := planWith(func(p *Policy) { p.EndWhenDown = true }, at("a", "a", nil))
	h.r.Adopt(h.now, plan, NewTable(plan, h.r.Table()))
	h.take("j3")
	h.list(true, "a1")
	h.wait(3 * time.Second)
	h.take("j4")
	h.list(false, "a1")
	h.kept(t)
}

// TestTrials: while a pool is down for suspicion alone, a job now and then may look at it.
func TestTrials(t *testing.T) {
	h := newBench(planWith(nil, at("a", "a", nil), at("b", "b", nil)))
	h.list(true, "a1", "b1")
	h.suspect(true, "a1")
	for n := range 8 {
		h.take(JobID(fmt.Sprint("j", n)))
		h.wait(100 * msec)
	}
	h.kept(t)
}

// TestLimits: what is over a limit is told a time at which there is room, each job another.
func TestLimits(t *testing.T) {
	plan := planWith(func(p *Policy) { p.Rate, p.Burst, p.MostOut = 10, 2, 1 })
	held := &Route{Name: "h", Match: &Match{Op: In, Field: Type, Texts: []Pattern{"h"}}, Policy: NewPolicy("h")}
	held.Policy.MostHeld = 2
	plan.Routes = append([]*Route{held}, plan.Routes...)
	h := newBench(plan)
	h.take("j1", "j2", "j3", "j4", "j5")
	h.wait(100 * msec)
	h.take("j6")
	h.say("room %v", h.lanes["j1"].Room())
	h.send("j1")
	h.say("room %v", h.lanes["j2"].Room())
	h.done("j1")
	h.say("room %v", h.lanes["j2"].Room())
	for n := range 6 { // one each 50 ms leaves
		id := JobID(fmt.Sprint("h", n))
		h.take(id)
		h.wait(50 * msec)
		h.send(id)
		h.done(id)
	}
	h.take("h10", "h11", "h12", "h13", "h14")
	h.kept(t)
}

// TestFurther: a route's own budget of further attempts, the wait before one, and the window for repeats.
func TestFurther(t *testing.T) {
	h := newBench(planWith(func(p *Policy) {
		p.FurtherSet, p.FurtherShare, p.FurtherFree, p.FurtherSpan = true, 0.1, 1, 10*time.Second
		p.FurtherWait, p.RepeatWindow = 50*msec, 2*time.Second
	}))
	for n := range 10 {
		h.take(JobID(fmt.Sprint("j", n)))
	}
	l := h.lanes["j0"]
	say := func(what string, first, over time.Duration) { h.say("%s: %v", what, l.Further(h.now, first, over)) }
	h.send("j0")
	h.back("j0")
	say("at once", 0, 10*msec)
	say("after the wait", 0, 60*msec)
	say("may have run lately", time.Second, 60*msec)
	say("may have run long ago", 3*time.Second, 60*msec)
	h.wait(time.Second)
	h.send("j0") // further ones: one free, and a tenth of ten jobs
	h.back("j0")
	say("one is gone", 0, 60*msec)
	h.send("j0")
	h.back("j0")
	say("two are gone", 0, 60*msec)
	h.wait(9 * time.Second)
	say("later", 0, 60*msec)
	h.wait(2 * time.Second)
	say("in the next window", 0, 60*msec)
	h.kept(t)
}

// TestOverflow: a job that waits for long may take the other pool's engines too; one that left and came back waits anew.
func TestOverflow(t *testing.T) {
	plan := planWith(nil, at("a", "a", func(p *Pool) { p.Overflow, p.OverflowAfter = "b", 100*msec }))
	plan.Pools = append(plan.Pools, at("b", "b", nil))
	h := newBench(plan)
	h.list(true, "a1", "b1")
	h.take("j1", "j2")
	h.wait(50 * msec)
	h.send("j2")
	h.wait(60 * msec)
	h.say("j1 may go to b1: %v", h.lanes["j1"].Allows("b1"))
	h.back("j2")
	h.wait(60 * msec)
	h.wait(60 * msec)
	h.kept(t)
}

// TestVersions: jobs keep their version; what a later one takes away drains for them at once.
func TestVersions(t *testing.T) {
	first := planWith(nil, at("a", "a", nil), at("b", "b", nil))
	h := newBench(first)
	h.list(true, "a1", "a2", "b1")
	h.take("j1", "j2", "j3")
	h.send("j2")
	adopt := func(p *Plan) {
		h.r.Adopt(h.now, p, NewTable(p, h.r.Table()))
		kept, open := h.r.Versions()
		h.say("%d versions, %d jobs", kept, open)
	}
	// One engine less in a, by id.
	adopt(planWith(nil, &Pool{Name: "a", Any: [][]Members{{{IDs: []Pattern{"a2"}}}}}, at("b", "b", nil)))
	h.say("j1 may go to a1 %v, a2 %v", h.lanes["j1"].Allows("a1"), h.lanes["j1"].Allows("a2"))
	h.take("j4")
	adopt(planWith(nil, at("b", "b", nil))) // a is gone
	h.say("room for j2 %v", h.lanes["j2"].Room())
	h.back("j2")
	adopt(planWith(nil, at("c", "c", nil))) // b as well: nothing will ever take them
	h.take("j5")
	h.done("j1", "j2", "j3", "j4")
	kept, open := h.r.Versions()
	h.say("%d versions, %d jobs", kept, open)
	adopt(&Plan{})
	h.take("j6")
	h.done("j5")
	kept, open = h.r.Versions()
	h.say("%d versions, %d jobs", kept, open)
	h.kept(t)
}

// TestPromises drives a router with random events and checks what it promises after each.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newBench(nil)
		h.quiet = true
		engines := []EngineID{"a1", "a2", "a3", "b1", "b2", "c1"}
		up, open, out := map[EngineID]bool{}, map[JobID]int{}, map[JobID]bool{}
		adopted, jobs := 0, 0
		adopt := func(t *rapid.T) {
			locations := rapid.Permutation([]Pattern{"a", "b", "c"}).Draw(t, "order")
			var pools []*Pool
			for _, l := range locations[:rapid.IntRange(0, 3).Draw(t, "pools")] {
				pools = append(pools, at(PoolName(l), l, func(p *Pool) {
					p.MinShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")
					if rapid.Bool().Draw(t, "ids") {
						p.Any[0][0].IDs = []Pattern{"*1", "*2"}
					}
					if rapid.Bool().Draw(t, "overflow") {
						p.Overflow, p.OverflowAfter = PoolName(rapid.SampledFrom(locations).Draw(t, "to")), 50*msec
					}
				}))
			}
			plan := planWith(func(p *Policy) {
				p.MostOut = rapid.SampledFrom([]int{0, 2}).Draw(t, "out")
				p.MostHeld = rapid.SampledFrom([]int{0, 3}).Draw(t, "held")
				p.EndWhenDown = rapid.Bool().Draw(t, "end")
				p.FallbackWait = rapid.SampledFrom([]time.Duration{0, 100 * msec}).Draw(t, "wait")
			}, pools...)
			plan.Pools = slices.Clone(pools)
			slices.SortFunc(plan.Pools, func(a, b *Pool) int { return stdcmp.Compare(a.Name, b.Name) })
			h.r.Adopt(h.now, plan, NewTable(plan, h.r.Table()))
			adopted++
		}
		adopt(t)
		id := func(t *rapid.T, want bool) (JobID, bool) {
			var list []JobID
			for j := range open {
				if out[j] == want {
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
			h.done(j)
			delete(open, j)
			delete(out, j)
		}
		t.Repeat(map[string]func(*rapid.T){
			"adopt": adopt,
			"list": func(t *rapid.T) {
				e := rapid.SampledFrom(engines).Draw(t, "engine")
				up[e] = !up[e]
				h.list(up[e], e)
			},
			"suspect": func(t *rapid.T) {
				h.suspect(rapid.Bool().Draw(t, "yes"), rapid.SampledFrom(engines).Draw(t, "engine"))
			},
			"wait": func(t *rapid.T) {
				h.wait(time.Duration(rapid.SampledFrom([]int{1, 30, 300, 3000}).Draw(t, "ms")) * msec)
			},
			"take": func(t *rapid.T) {
				jobs++
				j := JobID(fmt.Sprint("j", jobs))
				h.take(j)
				if _, admitted := h.lanes[j]; admitted == h.over[j] {
					t.Fatalf("%s admitted %v, refused %v", j, admitted, h.over[j])
				} else if admitted {
					open[j] = adopted
				}
			},
			"send": func(t *rapid.T) {
				j, some := id(t, false)
				if some && h.lanes[j].Room() && slices.ContainsFunc(engines, h.lanes[j].Allows) {
					h.send(j)
					out[j] = true
				}
			},
			"back": func(t *rapid.T) {
				if j, some := id(t, true); some {
					delete(out, j)
					h.back(j)
				}
			},
			"done": func(t *rapid.T) {
				if j, some := id(t, rapid.Bool().Draw(t, "out")); some {
					finish(j)
				}
			},
			"": func(t *rapid.T) {
				for j := range h.over { // the caller ends what is given up
					if _, is := open[j]; is && !out[j] {
						finish(j)
					}
				}
				versions := map[int]bool{adopted: true}
				held, sent := 0, 0
				newest := h.r.newest()
				for j, version := range open {
					versions[version] = true
					if out[j] {
						sent++
					} else {
						held++
					}
					v, lane := h.r.Where(j)
					if v != version || lane != h.lanes[j] || lane.route.version.number != version {
						t.Fatalf("%s was taken under %d, is under %d", j, version, v)
					}
					for _, e := range engines {
						if !lane.Allows(e) || lane.main == nil {
							continue
						}
						in := func(l *leg) bool {
							if l == nil || l.pool.version.number != version {
								return false
							}
							later := newest.plan.Pool(l.pool.Name)
							engine := &Engine{ID: e, Location: string(e[:1]), Kind: "k"}
							return later != nil && later.Has(engine) && l.pool.Has(engine)
						}
						if !up[e] || !in(lane.main) && !in(lane.extra) {
							t.Fatalf("%s may go to %s, up %v", j, e, up[e])
						}
					}
					if out[j] || lane.main == nil {
						continue
					}
					if lane.main.pool.gone {
						t.Fatalf("%s is held for pool %s, which is gone", j, lane.main.pool.Name)
					}
					better := slices.ContainsFunc(lane.route.legs, func(l *leg) bool { return l.pool.usable > 0 })
					if s := lane.main.stand; better && (s == down || s == rising) && lane.main.pool.usable == 0 {
						t.Fatalf("%s waits for pool %s, which is %s, while another has engines", j, lane.main.pool.Name, s)
					}
				}
				kept, known := h.r.Versions()
				if kept != len(versions) || known != len(open) {
					t.Fatalf("%d versions kept of %v, %d jobs of %d", kept, versions, known, len(open))
				}
				if m := h.r.meters["r"]; m != nil && (m.out != sent || m.jobs != held+sent) {
					t.Fatalf("%d out of %d jobs, counted %d and %d", sent, held+sent, m.out, m.jobs)
				}
			},
		})
	})
}

func BenchmarkJobTaken(b *testing.B) {
	for _, n := range []int{1, 10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			plan, job := manyRoutes(n)
			for _, r := range plan.Routes {
				r.Pools = []*Pool{at("a", "a", nil)}
			}
			plan.Pools = plan.Routes[0].Pools
			h := newBench(plan)
			h.quiet = true
			h.list(true, "a1")
			rng := rand.New(rand.NewSource(1))
			jobs := make([]Job, 4096)
			for i := range jobs {
				jobs[i] = job(rng)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				h.r.JobTaken(h.now, "j", &jobs[i%len(jobs)])
				h.r.Attempted(h.now, "j")
				h.r.JobOver(h.now, "j")
				i++
			}
		})
	}
}
