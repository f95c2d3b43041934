package route

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTable checks that the table finds the same route as trying all in order, also after changes of the plan, when
// it shares nodes with the table of the previous version.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := randomPlan(t, 30)
		table := NewTable(p, nil)
		for range 3 {
			for range 20 {
				if j := randomJob(t); routeName(table.Find(&j)) != routeName(p.FindLinear(&j)) {
					t.Fatalf("%+v: found route %s, want %s", j, routeName(table.Find(&j)), routeName(p.FindLinear(&j)))
				}
			}
			next := &Plan{Routes: slices.Clone(p.Routes)}
			if len(next.Routes) > 0 {
				at := rapid.IntRange(0, len(next.Routes)-1).Draw(t, "changed")
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					next.Routes[at] = &Route{Name: next.Routes[at].Name, Match: randomMatch(t, 2)}
				case 1:
					next.Routes = slices.Delete(next.Routes, at, at+1)
				case 2:
					next.Routes[0], next.Routes[at] = next.Routes[at], next.Routes[0]
				}
			}
			p, table = next, NewTable(next, table)
		}
	})
}

// TestDifferences checks that each reported pair of routes has an example that moves between them, and that each job
// that moves is between a reported pair.
func TestDifferences(t *testing.T) {
	alike := func(a, b *Route) bool { return routeName(a) == routeName(b) }
	rapid.Check(t, func(t *rapid.T) {
		plan, later := randomPlan(t, 6), randomPlan(t, 6)
		if own, _ := plan.RoutingChanges(plan, alike); len(own) > 0 {
			t.Fatalf("differences of a plan from itself: %+v", own)
		}
		moved, complete := plan.RoutingChanges(later, alike)
		for _, m := range moved {
			if from, to := plan.FindLinear(&m.Example), later.FindLinear(&m.Example); from != m.From || to != m.To {
				t.Fatalf("example %+v moves from %s to %s, but is reported from %s to %s", m.Example, routeName(from),
					routeName(to), routeName(m.From), routeName(m.To))
			}
		}
		for range 50 {
			j := randomJob(t)
			from, to := plan.FindLinear(&j), later.FindLinear(&j)
			if complete && !alike(from, to) &&
				!slices.ContainsFunc(moved, func(m Reroute) bool { return m.From == from && m.To == to }) {
				t.Fatalf("%+v moves from %s to %s, which is not reported", j, routeName(from), routeName(to))
			}
		}
	})
}

// TestUnreached checks that no route that takes a job is reported as unreached, and the exact result for some plans.
func TestUnreached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := randomPlan(t, 8)
		unreached := p.UnreachableRoutes()
		for range 50 {
			j := randomJob(t)
			if r := p.FindLinear(&j); slices.ContainsFunc(unreached, func(u Unreachable) bool { return u.Route == r }) {
				t.Fatalf("route %s is reported as unreached, but takes %+v", routeName(r), j)
			}
		}
	})
	typeIs := func(words ...Pattern) *Match { return &Match{Op: In, Field: Type, Texts: words} }
	cost := func(from, to int64) *Match { return &Match{Op: In, Field: Cost, Ranges: []Range{{from, to}}} }
	and := func(of ...*Match) *Match { return &Match{Op: And, Operands: of} }
	for _, test := range []struct {
		routes []*Match
		want   string
	}{
		{[]*Match{typeIs("a"), typeIs("b"), typeIs("a", "b")}, "[r2 behind r0 r1]"},
		{[]*Match{typeIs("a*"), typeIs("abc")}, "[r1 behind r0]"},
		{[]*Match{typeIs("a*"), typeIs("a*", "b")}, "[]"},
		{[]*Match{cost(0, 9), cost(10, 20), and(cost(5, 15), typeIs("x"))}, "[r2 behind r0 r1]"},
		{[]*Match{cost(0, 9), cost(11, 20), cost(5, 15)}, "[]"},
		{[]*Match{and(typeIs("a"), cost(0, 9)), and(typeIs("a"), &Match{Op: Not, Operands: []*Match{cost(0, 9)}}), typeIs("a")},
			"[r2 behind r0 r1]"},
		{[]*Match{and(typeIs("a*"), typeIs("b*"))}, "[r0 behind]"},
		{[]*Match{nil, typeIs("b*")}, "[r1 behind r0]"},
	} {
		p := &Plan{}
		for n, m := range test.routes {
			p.Routes = append(p.Routes, &Route{Name: RouteName(fmt.Sprint("r", n)), Match: m})
		}
		got := []string{}
		for _, u := range p.UnreachableRoutes() {
			s := string(u.Route.Name) + " behind"
			for _, b := range u.ShadowedBy {
				s += " " + string(b.Name)
			}
			got = append(got, s)
		}
		if fmt.Sprint(got) != test.want {
			t.Errorf("unreached routes: got %v, want %s", got, test.want)
		}
	}
}

// largePlan returns a plan like that of a large installation and a generator of jobs for it. Most routes test the type
// and the customer; some test the tables, the cost or a pattern.
func largePlan(n int) (*Plan, func(rng *rand.Rand) Job) {
	types := []Pattern{"consulta", "tabulado", "carga", "exporta"}
	oneOf := func(f Field, words ...Pattern) *Match { return &Match{Op: In, Field: f, Texts: words} }
	p := &Plan{}
	for i := range n {
		var m *Match
		switch i % 10 {
		case 0:
			m = &Match{Op: And, Operands: []*Match{oneOf(Type, types[i%4]),
				{Op: In, Field: Tables, Ranges: []Range{{int64(i), int64(i + 5)}}}}}
		case 1:
			m = &Match{Op: And, Operands: []*Match{oneOf(Customer, Pattern(fmt.Sprintf("org-%d-*", i))),
				{Op: In, Field: Cost, Ranges: []Range{{int64(time.Second), int64(time.Minute)}}}}}
		default:
			m = &Match{Op: And, Operands: []*Match{oneOf(Type, types[i%4], types[(i+1)%4]),
				oneOf(Customer, Pattern(fmt.Sprint("org-", i)))}}
		}
		p.Routes = append(p.Routes, &Route{Name: RouteName(fmt.Sprint("r", i)), Match: m})
	}
	p.Routes = append(p.Routes, &Route{Name: "rest"})
	return p, func(rng *rand.Rand) Job {
		i := rng.Intn(n)
		j := Job{Type: string(types[rng.Intn(4)]), Customer: fmt.Sprint("org-", i), Tables: int64(rng.Intn(2 * n)),
			Cost: time.Duration(rng.Intn(1e10)), TimeLeft: time.Second}
		if i%10 == 1 {
			j.Customer += "-sub"
		}
		return j
	}
}

// TestSharing checks that a new version that changes one of ten thousand routes shares at least 90% of the nodes with
// the previous table, and that Find does not allocate.
func TestSharing(t *testing.T) {
	p, job := largePlan(10_000)
	first := NewTable(p, nil)
	next := &Plan{Routes: slices.Clone(p.Routes)}
	next.Routes[17] = &Route{Name: "r17", Match: &Match{Op: In, Field: Customer, Texts: []Pattern{"org-other"}}}
	second := NewTable(next, first)
	if second.sharedNodes < second.nodeCount*9/10 {
		t.Errorf("%d of %d nodes are shared, want at least nine tenths", second.sharedNodes, second.nodeCount)
	}
	rng := rand.New(rand.NewSource(1))
	for range 2000 {
		if j := job(rng); routeName(second.Find(&j)) != routeName(next.FindLinear(&j)) {
			t.Fatalf("%+v: found route %s, want %s", j, routeName(second.Find(&j)), routeName(next.FindLinear(&j)))
		}
	}
	j := job(rng)
	if n := testing.AllocsPerRun(100, func() { second.Find(&j) }); n > 0 {
		t.Errorf("Find made %v allocations, want none", n)
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		p, job := largePlan(n)
		table := NewTable(p, nil)
		rng := rand.New(rand.NewSource(1))
		jobs := make([]Job, 4096)
		for i := range jobs {
			jobs[i] = job(rng)
		}
		for kind, find := range map[string]func(*Job) *Route{"table": table.Find, "walk": p.FindLinear} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				b.ReportAllocs()
				durations := make([]time.Duration, 0, 1<<16)
				i := 0
				for b.Loop() {
					if len(durations) < cap(durations) {
						start := time.Now()
						find(&jobs[i%len(jobs)])
						durations = append(durations, time.Since(start))
					} else {
						find(&jobs[i%len(jobs)])
					}
					i++
				}
				slices.Sort(durations)
				b.ReportMetric(float64(durations[len(durations)*99/100].Nanoseconds()), "p99-ns")
			})
		}
	}
}

func BenchmarkNewTable(b *testing.B) {
	p, _ := largePlan(10_000)
	for b.Loop() {
		NewTable(p, nil)
	}
}

func BenchmarkUnreached(b *testing.B) {
	p, _ := largePlan(10_000)
	for b.Loop() {
		if len(p.UnreachableRoutes()) > 0 {
			b.Fatal("a route is reported as unreached")
		}
	}
}
