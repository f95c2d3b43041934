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

var updateTraces = flag.Bool("update", false, "write the traces anew, to be read before they are kept")

// TestMain gives the property tests the same seed in each run; -rapid.seed looks further.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// Few letters and few figures, so that terms often overlap, touch and contradict one another.
var (
	somePatterns = rapid.Map(rapid.StringMatching(`[ab*?]{0,4}`), func(s string) Pattern { return Pattern(s) })
	someTexts    = rapid.StringMatching(`[abc]{0,4}`)
	someFigures  = rapid.Int64Range(-1, 12)
)

func someMatch(t *rapid.T, depth int) *Match {
	op := In
	if depth > 0 {
		op = rapid.SampledFrom([]Op{In, In, And, Or, Not, All}).Draw(t, "op")
	}
	switch op {
	case And, Or:
		return &Match{Op: op, Of: []*Match{someMatch(t, depth-1), someMatch(t, depth-1)}}
	case Not:
		return &Match{Op: op, Of: []*Match{someMatch(t, depth-1)}}
	case All:
		return &Match{}
	}
	f := Field(rapid.IntRange(0, int(fields)-1).Draw(t, "field"))
	m := &Match{Op: In, Field: f, Source: "term"}
	if f.isText() {
		m.Texts = rapid.SliceOfN(somePatterns, 1, 3).Draw(t, "texts")
		return m
	}
	for range rapid.IntRange(1, 2).Draw(t, "ranges") {
		from := max(someFigures.Draw(t, "from"), 0)
		to := from + rapid.Int64Range(0, 5).Draw(t, "span")
		if rapid.Bool().Draw(t, "open") {
			to = math.MaxInt64
		}
		m.Ranges = append(m.Ranges, Range{from, to})
	}
	return m
}

func someJob(t *rapid.T) Job {
	return Job{Type: someTexts.Draw(t, "type"), Customer: someTexts.Draw(t, "customer"),
		Front: someTexts.Draw(t, "front"), Tables: someFigures.Draw(t, "tables"),
		Cost: time.Duration(someFigures.Draw(t, "cost")), Memory: someFigures.Draw(t, "memory"), Left: time.Duration(max(someFigures.Draw(t, "left"), 0))}
}

func somePlan(t *rapid.T, most int) *Plan {
	p := &Plan{}
	for n := range rapid.IntRange(0, most).Draw(t, "routes") {
		r := &Route{Name: RouteName(fmt.Sprint("r", n)), Match: someMatch(t, 2)}
		if n%4 == 3 { // a wide table of plain routes beside the odd ones
			r.Match = &Match{Op: In, Field: Type, Texts: []Pattern{Pattern(fmt.Sprint("a", n%3))}}
		}
		p.Routes = append(p.Routes, r)
	}
	return p
}

func name(r *Route) RouteName {
	if r == nil {
		return "none"
	}
	return r.Name
}
