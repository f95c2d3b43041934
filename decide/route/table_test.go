package route

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTable: the table, also one that shares parts with an earlier version, picks what the plain walk picks.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := somePlan(t, 30)
		table := NewTable(p, nil)
		for range 3 {
			for range 20 {
				if j := someJob(t); name(table.Find(&j)) != name(p.Walk(&j)) {
					t.Fatalf("%+v: %s, wanted %s", j, name(table.Find(&j)), name(p.Walk(&j)))
				}
			}
			next := &Plan{Routes: slices.Clone(p.Routes)}
			if len(next.Routes) > 0 {
				at := rapid.IntRange(0, len(next.Routes)-1).Draw(t, "changed")
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					next.Routes[at] = &Route{Name: next.Routes[at].Name, Match: someMatch(t, 2)}
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

// TestDifferences: a pair of routes is named exactly when some job moves between them, and each example moves.
func TestDifferences(t *testing.T) {
	alike := func(a, b *Route) bool { return name(a) == name(b) }
	rapid.Check(t, func(t *rapid.T) {
		p, q := somePlan(t, 6), somePlan(t, 6)
		if same, _ := p.Differences(p, alike); len(same) > 0 {
			t.Fatalf("with itself: %+v", same)
		}
		moved, complete := p.Differences(q, alike)
		for _, m := range moved {
			if from, to := p.Walk(&m.Example), q.Walk(&m.Example); from != m.From || to != m.To {
				t.Fatalf("%+v goes from %s to %s, not from %s to %s", m.Example, name(from), name(to), name(m.From),
					name(m.To))
			}
		}
		for range 50 {
			j := someJob(t)
			from, to := p.Walk(&j), q.Walk(&j)
			if complete && !alike(from, to) && !slices.ContainsFunc(moved, func(m Moved) bool { return m.From == from && m.To == to }) {
				t.Fatalf("%+v moves from %s to %s, which is not named", j, name(from), name(to))
			}
		}
	})
}

// TestUnreached: what is named takes no job, and each route that takes one is not named.
func TestUnreached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := somePlan(t, 8)
		unreached := p.Unreached()
		for range 50 {
			j := someJob(t)
			if r := p.Walk(&j); slices.ContainsFunc(unreached, func(u Unreached) bool { return u.Route == r }) {
				t.Fatalf("%s takes %+v", name(r), j)
			}
		}
	})
	typeIs := func(words ...Pattern) *Match { return &Match{Op: In, Field: Type, Texts: words} }
	cost := func(from, to int64) *Match { return &Match{Op: In, Field: Cost, Ranges: []Range{{from, to}}} }
	and := func(of ...*Match) *Match { return &Match{Op: And, Of: of} }
	for _, c := range []struct {
		routes []*Match
		want   string
	}{
		{[]*Match{typeIs("a"), typeIs("b"), typeIs("a", "b")}, "[r2 behind r0 r1]"},
		{[]*Match{typeIs("a*"), typeIs("abc")}, "[r1 behind r0]"},
		{[]*Match{typeIs("a*"), typeIs("a*", "b")}, "[]"},
		{[]*Match{cost(0, 9), cost(10, 20), and(cost(5, 15), typeIs("x"))}, "[r2 behind r0 r1]"},
		{[]*Match{cost(0, 9), cost(11, 20), cost(5, 15)}, "[]"},
		{[]*Match{and(typeIs("a"), cost(0, 9)), and(typeIs("a"), &Match{Op: Not, Of: []*Match{cost(0, 9)}}), typeIs("a")},
			"[r2 behind r0 r1]"},
		{[]*Match{and(typeIs("a*"), typeIs("b*"))}, "[r0 behind]"},
		{[]*Match{nil, typeIs("b*")}, "[r1 behind r0]"},
	} {
		p := &Plan{}
		for n, m := range c.routes {
			p.Routes = append(p.Routes, &Route{Name: RouteName(fmt.Sprint("r", n)), Match: m})
		}
		got := []string{}
		for _, u := range p.Unreached() {
			s := string(u.Route.Name) + " behind"
			for _, b := range u.Behind {
				s += " " + string(b.Name)
			}
			got = append(got, s)
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%v, wanted %s", got, c.want)
		}
	}
}

// manyRoutes is a plan of a large installation: most routes name customers, some tables, cost or patterns.
func manyRoutes(n int) (*Plan, func(rng *rand.Rand) Job) {
	types := []Pattern{"consulta", "tabulado", "carga", "exporta"}
	is := func(f Field, words ...Pattern) *Match { return &Match{Op: In, Field: f, Texts: words} }
	p := &Plan{}
	for i := range n {
		var m *Match
		switch i % 10 {
		case 0:
			m = &Match{Op: And, Of: []*Match{is(Type, types[i%4]),
				{Op: In, Field: Tables, Ranges: []Range{{int64(i), int64(i + 5)}}}}}
		case 1:
			m = &Match{Op: And, Of: []*Match{is(Customer, Pattern(fmt.Sprintf("org-%d-*", i))),
				{Op: In, Field: Cost, Ranges: []Range{{int64(time.Second), int64(time.Minute)}}}}}
		default:
			m = &Match{Op: And, Of: []*Match{is(Type, types[i%4], types[(i+1)%4]), is(Customer, Pattern(fmt.Sprint("org-", i)))}}
		}
		p.Routes = append(p.Routes, &Route{Name: RouteName(fmt.Sprint("r", i)), Match: m})
	}
	p.Routes = append(p.Routes, &Route{Name: "rest"})
	return p, func(rng *rand.Rand) Job {
		i := rng.Intn(n)
		j := Job{Type: string(types[rng.Intn(4)]), Customer: fmt.Sprint("org-", i), Tables: int64(rng.Intn(2 * n)),
			Cost: time.Duration(rng.Intn(1e10)), Left: time.Second}
		if i%10 == 1 {
			j.Customer += "-sub"
		}
		return j
	}
}

// TestSharing: of ten thousand routes, a version that changes one shares nearly all of the table.
func TestSharing(t *testing.T) {
	p, job := manyRoutes(10_000)
	first := NewTable(p, nil)
	next := &Plan{Routes: slices.Clone(p.Routes)}
	next.Routes[17] = &Route{Name: "r17", Match: &Match{Op: In, Field: Customer, Texts: []Pattern{"org-other"}}}
	second := NewTable(next, first)
	if second.shared < second.nodes*9/10 {
		t.Errorf("%d of %d nodes shared", second.shared, second.nodes)
	}
	rng := rand.New(rand.NewSource(1))
	for range 2000 {
		if j := job(rng); name(second.Find(&j)) != name(next.Walk(&j)) {
			t.Fatalf("%+v: %s, wanted %s", j, name(second.Find(&j)), name(next.Walk(&j)))
		}
	}
	j := job(rng)
	if n := testing.AllocsPerRun(100, func() { second.Find(&j) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		p, job := manyRoutes(n)
		table := NewTable(p, nil)
		rng := rand.New(rand.NewSource(1))
		jobs := make([]Job, 4096)
		for i := range jobs {
			jobs[i] = job(rng)
		}
		for way, find := range map[string]func(*Job) *Route{"table": table.Find, "walk": p.Walk} {
			b.Run(fmt.Sprintf("%s/%d", way, n), func(b *testing.B) {
				b.ReportAllocs()
				took := make([]time.Duration, 0, 1<<16)
				i := 0
				for b.Loop() {
					if len(took) < cap(took) {
						from := time.Now()
						find(&jobs[i%len(jobs)])
						took = append(took, time.Since(from))
					} else {
						find(&jobs[i%len(jobs)])
					}
					i++
				}
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
			})
		}
	}
}

func BenchmarkNewTable(b *testing.B) {
	p, _ := manyRoutes(10_000)
	for b.Loop() {
		NewTable(p, nil)
	}
}

func BenchmarkUnreached(b *testing.B) {
	p, _ := manyRoutes(10_000)
	for b.Loop() {
		if len(p.Unreached()) > 0 {
			b.Fatal("unreached")
		}
	}
}
