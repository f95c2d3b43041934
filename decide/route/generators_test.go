package route

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var updateTraces = flag.Bool("update", false, "write the traces to testdata; review them before committing")

// TestMain gives the property tests the same seed in each run. Use -rapid.seed to test other cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// The generators use few letters and numbers, so that terms often overlap, adjoin or contradict one another.
var (
	patternGen = rapid.Map(rapid.StringMatching(`[ab*?]{0,4}`), func(s string) Pattern { return Pattern(s) })
	textGen    = rapid.StringMatching(`[abc]{0,4}`)
	numberGen  = rapid.Int64Range(-1, 12)
)

func randomMatch(t *rapid.T, depth int) *Match {
	op := In
	if depth > 0 {
		op = rapid.SampledFrom([]Op{In, In, And, Or, Not, All}).Draw(t, "op")
	}
	switch op {
	case And, Or:
		return &Match{Op: op, Operands: []*Match{randomMatch(t, depth-1), randomMatch(t, depth-1)}}
	case Not:
		return &Match{Op: op, Operands: []*Match{randomMatch(t, depth-1)}}
	case All:
		return &Match{}
	}
	f := Field(rapid.IntRange(0, int(fieldCount)-1).Draw(t, "field"))
	m := &Match{Op: In, Field: f, Source: "term"}
	if f.isText() {
		m.Texts = rapid.SliceOfN(patternGen, 1, 3).Draw(t, "texts")
		return m
	}
	for range rapid.IntRange(1, 2).Draw(t, "ranges") {
		from := max(numberGen.Draw(t, "from"), 0)
		to := from + rapid.Int64Range(0, 5).Draw(t, "span")
		if rapid.Bool().Draw(t, "open") {
			to = math.MaxInt64
		}
		m.Ranges = append(m.Ranges, Range{from, to})
	}
	return m
}

func randomJob(t *rapid.T) Job {
	return Job{Type: textGen.Draw(t, "type"), Customer: textGen.Draw(t, "customer"),
		Front: textGen.Draw(t, "front"), Tables: numberGen.Draw(t, "tables"),
		Cost: time.Duration(numberGen.Draw(t, "cost")), Memory: numberGen.Draw(t, "memory"),
		TimeLeft: time.Duration(max(numberGen.Draw(t, "left"), 0))}
}

func randomPlan(t *rapid.T, maxRoutes int) *Plan {
	p := &Plan{}
	for n := range rapid.IntRange(0, maxRoutes).Draw(t, "routes") {
		r := &Route{Name: RouteName(fmt.Sprint("r", n)), Match: randomMatch(t, 2)}
		if n%4 == 3 { // many plain routes that test only the type, besides the random ones
			r.Match = &Match{Op: In, Field: Type, Texts: []Pattern{Pattern(fmt.Sprint("a", n%3))}}
		}
		p.Routes = append(p.Routes, r)
	}
	return p
}

func routeName(r *Route) RouteName {
	if r == nil {
		return "none"
	}
	return r.Name
}
