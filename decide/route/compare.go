package route

import "slices"

// mostWork bounds the pairs of boxes that one question about a plan may look at; past it the answer is "not known",
// which warns of nothing. Ten thousand routes that overlap little stay far below.
const mostWork = 200_000_000

// mostPieces bounds what a route is cut into by those before it.
const mostPieces = 512

// expanded is a plan multiplied out.
type expanded struct {
	boxes [][]box
	wide  []bool // no boxes: too many
	lists [texts]struct {
		by   map[string][]int // routes all of whose boxes allow only literals, by literal
		open []int            // all others
	}
}

func expand(p *Plan) *expanded {
	x := &expanded{boxes: make([][]box, len(p.Routes)), wide: make([]bool, len(p.Routes))}
	for f := range x.lists {
		x.lists[f].by = map[string][]int{}
	}
	for n, r := range p.Routes {
		boxes, ok := r.Match.all()
		x.boxes[n], x.wide[n] = boxes, !ok
		for f := range x.lists {
			l := &x.lists[f]
			if !ok || slices.ContainsFunc(boxes, func(b box) bool { return !b.texts[f].done }) {
				l.open = append(l.open, n)
				continue
			}
			for _, b := range boxes {
				for _, p := range b.texts[f].any[0] {
					text, _ := p.Literal()
					if own := l.by[text]; len(own) == 0 || own[len(own)-1] != n {
						l.by[text] = append(own, n)
					}
				}
			}
		}
	}
	return x
}

// near lists, in order, the routes that may have something in common with a box.
func (x *expanded) near(b *box) []int {
	var least []int
	found := false
	for f := range x.lists {
		if !b.texts[f].done {
			continue
		}
		list := slices.Clone(x.lists[f].open)
		for _, p := range b.texts[f].any[0] {
			text, _ := p.Literal()
			list = append(list, x.lists[f].by[text]...)
		}
		if !found || len(list) < len(least) {
			least, found = list, true
		}
	}
	if found {
		slices.Sort(least)
		return slices.Compact(least)
	}
	all := make([]int, len(x.boxes))
	for n := range all {
		all[n] = n
	}
	return all
}

// Unreached tells of a route that no job can come to, as those before it take them all.
type Unreached struct {
	Route  *Route
	Behind []*Route // that take its jobs, in order; empty where its match holds for no job at all
}

// Unreached finds the routes that no job can come to. It is exact but for routes whose match is too wide to be
// multiplied out and for questions past its bounds, which are left out.
func (p *Plan) Unreached() (found []Unreached) {
	x, table := expand(p), NewTable(p, nil)
	work := 0
	for n, r := range p.Routes {
		// Most routes show at once that some job comes to them.
		if x.wide[n] || slices.ContainsFunc(x.boxes[n], func(b box) bool {
			return b.likely(8, func(j *Job) bool { return table.Find(j) == r })
		}) {
			continue
		}
		var behind []int
		unknown := false
		left := slices.DeleteFunc(slices.Clone(x.boxes[n]), func(b box) bool {
			_, some, known := b.example()
			return known && !some
		})
		for at := 0; at < len(left); at++ {
			pieces := []box{left[at]}
			for _, m := range x.near(&left[at]) {
				if work += len(pieces); m >= n || len(pieces) == 0 || work > mostWork {
					break
				}
				if x.wide[m] {
					continue
				}
				next := subtract(pieces, x.boxes[m])
				if len(next) > mostPieces {
					unknown = true
					break
				}
				if !slices.Contains(behind, m) && len(meetAll(pieces, x.boxes[m])) > 0 {
					behind = append(behind, m)
				}
				pieces = next
			}
			// What looks left may be empty: sets of texts are only decided at the end.
			unknown = unknown || slices.ContainsFunc(pieces, func(b box) bool {
				_, some, known := b.example()
				return some || !known
			})
			if unknown || work > mostWork {
				break
			}
		}
		if unknown || work > mostWork {
			continue
		}
		u := Unreached{Route: r}
		slices.Sort(behind)
		for _, m := range behind {
			u.Behind = append(u.Behind, p.Routes[m])
		}
		found = append(found, u)
	}
	return found
}

// Moved tells of jobs that another version sends elsewhere.
type Moved struct {
	From, To *Route // nil: no route
	Example  Job
}

// Differences lists the pairs of routes, of this version and of a later one, between which jobs move, each with one
// such job. alike tells which routes treat jobs alike. complete is false where the bounds were met before the end.
func (p *Plan) Differences(later *Plan, alike func(a, b *Route) bool) (moved []Moved, complete bool) {
	a, b := expand(p), expand(later)
	complete = true
	work := 0
	var claimed [][]box // what a route really takes, after those before it
	for n := range p.Routes {
		own, ok := a.reach(n, &work)
		complete = complete && ok
		claimed = append(claimed, own)
	}
	rest := []box{everything()}
	for n := range p.Routes {
		if rest = subtract(rest, a.boxes[n]); len(rest) > mostPieces || a.wide[n] {
			rest, complete = nil, false
			break
		}
	}
	for n := range len(p.Routes) + 1 {
		var from *Route
		pieces := rest
		if n < len(p.Routes) {
			from, pieces = p.Routes[n], claimed[n]
		}
		seen := map[*Route]bool{}
		compare := func(to *Route, common []box) {
			if seen[to] || alike(from, to) {
				return
			}
			for _, c := range common {
				if job, found, known := c.example(); found {
					seen[to] = true
					moved = append(moved, Moved{from, to, job})
					return
				} else if !known {
					complete = false
				}
			}
		}
		for _, piece := range pieces {
			left := []box{piece}
			for _, m := range b.near(&piece) {
				if work += len(left); work > mostWork {
					return moved, false
				}
				if b.wide[m] {
					complete = false
					continue
				}
				compare(later.Routes[m], meetAll(left, b.boxes[m]))
				if left = subtract(left, b.boxes[m]); len(left) == 0 {
					break
				}
				if len(left) > mostPieces {
					complete = false
					break
				}
			}
			compare(nil, left)
		}
	}
	return moved, complete
}

// reach is what route n takes after those before it.
func (x *expanded) reach(n int, work *int) (own []box, complete bool) {
	if x.wide[n] {
		return nil, false
	}
	for _, b := range x.boxes[n] {
		pieces := []box{b}
		for _, m := range x.near(&b) {
			if m >= n || len(pieces) == 0 {
				break
			}
			if *work += len(pieces); x.wide[m] || len(pieces) > mostPieces || *work > mostWork {
				return own, false
			}
			pieces = subtract(pieces, x.boxes[m])
		}
		own = append(own, pieces...)
	}
	return own, true
}

func subtract(from, what []box) []box {
	for n := range what {
		if !slices.ContainsFunc(from, func(b box) bool { return !b.apart(&what[n]) }) {
			continue
		}
		var next []box
		for _, b := range from {
			next = append(next, b.less(what[n])...)
		}
		from = next
	}
	return from
}

func meetAll(a, b []box) (out []box) {
	for n := range a {
		for m := range b {
			if a[n].apart(&b[m]) {
				continue
			}
			if both, some := a[n].with(b[m]); some {
				out = append(out, both)
			}
		}
	}
	return out
}

// Overlaps tells whether some job is meant by both matches; also where that can't be decided.
func (r *Route) Overlaps(o *Route) bool {
	a, ok := r.Match.all()
	b, ok2 := o.Match.all()
	return !ok || !ok2 || slices.ContainsFunc(meetAll(a, b), func(b box) bool {
		_, found, known := b.example()
		return found || !known
	})
}
