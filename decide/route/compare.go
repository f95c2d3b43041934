package route

import "slices"

// maxComparisons bounds the number of pairs of boxes that one analysis of a plan may compare. Past it the result is
// unknown, and nothing is reported. Ten thousand routes that overlap little stay far below the bound.
const maxComparisons = 200_000_000

// maxPieces bounds the number of boxes that remain of a route after those of the routes before it are subtracted.
const maxPieces = 512

// planIndex holds the boxes of all routes of a plan, and finds the routes that may overlap a box.
type planIndex struct {
	boxes   [][]box
	tooWide []bool // routes that expand to too many boxes; these have none here
	fields  [textFields]struct {
		byLiteral map[string][]int // routes whose boxes all allow only literals in the field, by literal
		unindexed []int            // all other routes
	}
}

func newPlanIndex(plan *Plan) *planIndex {
	index := &planIndex{boxes: make([][]box, len(plan.Routes)), tooWide: make([]bool, len(plan.Routes))}
	for f := range index.fields {
		index.fields[f].byLiteral = map[string][]int{}
	}
	for n, r := range plan.Routes {
		boxes, ok := r.Match.allBoxes()
		index.boxes[n], index.tooWide[n] = boxes, !ok
		for f := range index.fields {
			fieldLists := &index.fields[f]
			if !ok || slices.ContainsFunc(boxes, func(b box) bool { return !b.texts[f].onlyLiterals }) {
				fieldLists.unindexed = append(fieldLists.unindexed, n)
				continue
			}
			for _, b := range boxes {
				for _, pattern := range b.texts[f].included[0] {
					text, _ := pattern.Literal()
					if routes := fieldLists.byLiteral[text]; len(routes) == 0 || routes[len(routes)-1] != n {
						fieldLists.byLiteral[text] = append(routes, n)
					}
				}
			}
		}
	}
	return index
}

// candidates returns, in order, the routes that may have jobs in common with a box.
func (index *planIndex) candidates(b *box) []int {
	var shortest []int
	found := false
	for f := range index.fields {
		if !b.texts[f].onlyLiterals {
			continue
		}
		routes := slices.Clone(index.fields[f].unindexed)
		for _, pattern := range b.texts[f].included[0] {
			text, _ := pattern.Literal()
			routes = append(routes, index.fields[f].byLiteral[text]...)
		}
		if !found || len(routes) < len(shortest) {
			shortest, found = routes, true
		}
	}
	if found {
		slices.Sort(shortest)
		return slices.Compact(shortest)
	}
	all := make([]int, len(index.boxes))
	for n := range all {
		all[n] = n
	}
	return all
}

// Unreachable is a route that no job can reach, because the routes before it take all jobs that it matches.
type Unreachable struct {
	Route      *Route
	ShadowedBy []*Route // the routes that take its jobs, in order; empty if no job at all satisfies its match
}

// UnreachableRoutes returns the routes that no job can reach. It leaves out routes whose match expands to too many boxes and
// those for which the analysis reaches its bounds; for all others the result is exact.
func (p *Plan) UnreachableRoutes() (found []Unreachable) {
	index, table := newPlanIndex(p), NewTable(p, nil)
	comparisons := 0
	for n, r := range p.Routes {
		// For most routes, one of a few example jobs shows that the route is reached.
		if index.tooWide[n] || slices.ContainsFunc(index.boxes[n], func(b box) bool {
			return b.tryExamples(8, func(j *Job) bool { return table.Find(j) == r })
		}) {
			continue
		}
		var covering []int
		unknown := false
		uncovered := slices.DeleteFunc(slices.Clone(index.boxes[n]), func(b box) bool {
			_, nonEmpty, known := b.example()
			return known && !nonEmpty
		})
		for i := 0; i < len(uncovered); i++ {
			pieces := []box{uncovered[i]}
			for _, m := range index.candidates(&uncovered[i]) {
				if comparisons += len(pieces); m >= n || len(pieces) == 0 || comparisons > maxComparisons {
					break
				}
				if index.tooWide[m] {
					continue
				}
				next := subtractAll(pieces, index.boxes[m])
				if len(next) > maxPieces {
					unknown = true
					break
				}
				if !slices.Contains(covering, m) && len(intersectAll(pieces, index.boxes[m])) > 0 {
					covering = append(covering, m)
				}
				pieces = next
			}
			// The remaining pieces may be empty: subtraction does not decide whether a set of texts is.
			unknown = unknown || slices.ContainsFunc(pieces, func(b box) bool {
				_, nonEmpty, known := b.example()
				return nonEmpty || !known
			})
			if unknown || comparisons > maxComparisons {
				break
			}
		}
		if unknown || comparisons > maxComparisons {
			continue
		}
		unreached := Unreachable{Route: r}
		slices.Sort(covering)
		for _, m := range covering {
			unreached.ShadowedBy = append(unreached.ShadowedBy, p.Routes[m])
		}
		found = append(found, unreached)
	}
	return found
}

// Reroute reports jobs that another version of the plan sends to another route.
type Reroute struct {
	From, To *Route // nil: no route
	Example  Job
}

// RoutingChanges returns the pairs of a route of this version and one of a later version between which jobs move, each
// with an example. alike reports whether two routes treat jobs alike; such pairs are left out. complete is false if
// the analysis reached its bounds, so that pairs may be missing.
func (p *Plan) RoutingChanges(later *Plan, alike func(a, b *Route) bool) (moved []Reroute, complete bool) {
	index, laterIndex := newPlanIndex(p), newPlanIndex(later)
	complete = true
	comparisons := 0
	var takenBy [][]box // for each route, the jobs that the routes before it leave to it
	for n := range p.Routes {
		taken, ok := index.effectiveBoxes(n, &comparisons)
		complete = complete && ok
		takenBy = append(takenBy, taken)
	}
	unrouted := []box{unrestrictedBox()}
	for n := range p.Routes {
		if unrouted = subtractAll(unrouted, index.boxes[n]); len(unrouted) > maxPieces || index.tooWide[n] {
			unrouted, complete = nil, false
			break
		}
	}
	for n := range len(p.Routes) + 1 {
		var from *Route
		pieces := unrouted
		if n < len(p.Routes) {
			from, pieces = p.Routes[n], takenBy[n]
		}
		reported := map[*Route]bool{}
		compare := func(to *Route, common []box) {
			if reported[to] || alike(from, to) {
				return
			}
			for _, c := range common {
				if job, found, known := c.example(); found {
					reported[to] = true
					moved = append(moved, Reroute{from, to, job})
					return
				} else if !known {
					complete = false
				}
			}
		}
		for _, piece := range pieces {
			remaining := []box{piece}
			for _, m := range laterIndex.candidates(&piece) {
				if comparisons += len(remaining); comparisons > maxComparisons {
					return moved, false
				}
				if laterIndex.tooWide[m] {
					complete = false
					continue
				}
				compare(later.Routes[m], intersectAll(remaining, laterIndex.boxes[m]))
				if remaining = subtractAll(remaining, laterIndex.boxes[m]); len(remaining) == 0 {
					break
				}
				if len(remaining) > maxPieces {
					complete = false
					break
				}
			}
			compare(nil, remaining)
		}
	}
	return moved, complete
}

// effectiveBoxes returns the jobs that route n takes: those of its match without those of the routes before it.
// complete is false if the analysis reached its bounds.
func (index *planIndex) effectiveBoxes(n int, comparisons *int) (taken []box, complete bool) {
	if index.tooWide[n] {
		return nil, false
	}
	for _, b := range index.boxes[n] {
		pieces := []box{b}
		for _, m := range index.candidates(&b) {
			if m >= n || len(pieces) == 0 {
				break
			}
			if *comparisons += len(pieces); index.tooWide[m] || len(pieces) > maxPieces ||
				*comparisons > maxComparisons {
				return taken, false
			}
			pieces = subtractAll(pieces, index.boxes[m])
		}
		taken = append(taken, pieces...)
	}
	return taken, true
}

// subtractAll returns the jobs that are in a box of from but in no box of removed.
func subtractAll(from, removed []box) []box {
	for n := range removed {
		if !slices.ContainsFunc(from, func(b box) bool { return !b.clearlyDisjoint(&removed[n]) }) {
			continue
		}
		var next []box
		for _, b := range from {
			next = append(next, b.subtract(removed[n])...)
		}
		from = next
	}
	return from
}

// intersectAll returns the jobs that are in both a box of a and a box of b.
func intersectAll(a, b []box) (common []box) {
	for n := range a {
		for m := range b {
			if a[n].clearlyDisjoint(&b[m]) {
				continue
			}
			if overlap, nonEmpty := a[n].intersect(b[m]); nonEmpty {
				common = append(common, overlap)
			}
		}
	}
	return common
}

// Overlaps reports whether some job satisfies the matches of both routes. It also reports true if that cannot be
// decided.
func (r *Route) Overlaps(other *Route) bool {
	a, ok := r.Match.allBoxes()
	b, ok2 := other.Match.allBoxes()
	return !ok || !ok2 || slices.ContainsFunc(intersectAll(a, b), func(b box) bool {
		_, found, known := b.example()
		return found || !known
	})
}
