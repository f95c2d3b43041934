package route

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// Job is what the choice of a route may rest on.
type Job struct {
	Type, Customer, Front string        // Customer is empty where the front tells none
	Tables                int64         // the group of tables, or Untold
	Cost                  time.Duration // told work, core time; or Untold
	Memory                int64         // told need in bytes, or Untold
	Left                  time.Duration // time left when the job came
}

// Untold stands for a group of tables, a cost or a need that no one told. No comparison holds for it, so that "not" of one
// does.
const Untold = -1

// Field is one of the things that a term looks at.
type Field int

const (
	Type Field = iota
	Customer
	Front
	Tables
	Cost
	Memory
	Left
	fields
)

const texts, figures = int(Tables), int(fields - Tables)

func (f Field) String() string {
	return [...]string{"type", "customer", "front", "tables", "cost", "memory", "left"}[f]
}

func (f Field) isText() bool { return f < Tables }

func (j *Job) text(f Field) string {
	switch f {
	case Type:
		return j.Type
	case Customer:
		return j.Customer
	}
	return j.Front
}

func (j *Job) figure(f Field) int64 {
	switch f {
	case Tables:
		return j.Tables
	case Cost:
		return int64(j.Cost)
	case Memory:
		return j.Memory
	}
	return int64(j.Left)
}

// Range is a closed range of whole figures: numbers of groups, nanoseconds or bytes.
type Range struct{ From, To int64 }

// Op is the kind of a match.
type Op int

const (
	All Op = iota // holds for every job
	And
	Or
	Not
	In // the field is one of Texts, or in one of Ranges
)

// Match is an expression over the fields of a job. The zero value holds for every job.
type Match struct {
	Op     Op
	Of     []*Match // of And, Or (one or more) and Not (one)
	Field  Field
	Texts  []Pattern
	Ranges []Range
	Source string // a term as the operators' file has it, for explanations

	boxed atomic.Pointer[boxed]
}

// boxed is a match multiplied out; many questions are asked of the same one.
type boxed struct {
	list []box
	ok   bool
}

// all multiplies a match out, once.
func (m *Match) all() ([]box, bool) {
	if m == nil {
		return []box{everything()}, true
	}
	b := m.boxed.Load()
	if b == nil {
		b = &boxed{}
		b.list, b.ok = m.boxes(false)
		m.boxed.Store(b)
	}
	return b.list, b.ok
}

// Holds tells whether a job is one of those meant. It allocates nothing.
func (m *Match) Holds(j *Job) bool {
	if m == nil {
		return true
	}
	switch m.Op {
	case And:
		for _, of := range m.Of {
			if !of.Holds(j) {
				return false
			}
		}
	case Or:
		for _, of := range m.Of {
			if of.Holds(j) {
				return true
			}
		}
		return false
	case Not:
		return !m.Of[0].Holds(j)
	case In:
		if m.Field.isText() {
			return matchesAny(m.Texts, j.text(m.Field))
		}
		return within(m.Ranges, j.figure(m.Field))
	}
	return true
}

// Against names the term that keeps a job from being meant, or is empty for one that is.
func (m *Match) Against(j *Job) string {
	if m.Holds(j) {
		return ""
	}
	switch m.Op {
	case And:
		for _, of := range m.Of {
			if why := of.Against(j); why != "" {
				return why
			}
		}
	case Or:
		why := ""
		for n, of := range m.Of {
			if n > 0 {
				why += ", nor "
			}
			why += of.Against(j)
		}
		return why
	case Not:
		return "not (" + m.Of[0].describe() + ")"
	}
	return m.describe()
}

func (m *Match) describe() string {
	if m.Source != "" || len(m.Of) == 0 {
		return m.Source
	}
	word := " and "
	switch m.Op {
	case Or:
		word = " or "
	case Not:
		return "not (" + m.Of[0].describe() + ")"
	}
	out := ""
	for n, of := range m.Of {
		if n > 0 {
			out += word
		}
		if of.Op == Or || of.Op == And {
			out += "(" + of.describe() + ")"
		} else {
			out += of.describe()
		}
	}
	return out
}

func within(ranges []Range, n int64) bool {
	for _, r := range ranges {
		if n >= r.From && n <= r.To {
			return true
		}
	}
	return false
}

// mostBoxes bounds what one match may come to once multiplied out. Files written by hand stay below ten.
const mostBoxes = 256

// boxes multiplies a match out into boxes whose union it is; false where there would be too many.
func (m *Match) boxes(not bool) ([]box, bool) {
	if m == nil || m.Op == All {
		if not {
			return nil, true
		}
		return []box{everything()}, true
	}
	op := m.Op
	if not && op == And {
		op = Or
	} else if not && op == Or {
		op = And
	}
	switch op {
	case Not:
		return m.Of[0].boxes(!not)
	case Or:
		var all []box
		for _, of := range m.Of {
			more, ok := of.boxes(not)
			if all = append(all, more...); !ok || len(all) > mostBoxes {
				return nil, false
			}
		}
		return all, true
	case And:
		all := []box{everything()}
		for _, of := range m.Of {
			more, ok := of.boxes(not)
			if !ok || len(all)*len(more) > 16*mostBoxes {
				return nil, false
			}
			var next []box
			for _, a := range all {
				for _, b := range more {
					if both, some := a.with(b); some {
						next = append(next, both)
					}
				}
			}
			if all = next; len(all) > mostBoxes {
				return nil, false
			}
		}
		return all, true
	}
	b := everything()
	if m.Field.isText() {
		if not {
			b.texts[m.Field].none = m.Texts
		} else {
			b.texts[m.Field].any = [][]Pattern{m.Texts}
		}
		b.texts[m.Field] = b.texts[m.Field].simple()
	} else {
		r := sortRanges(m.Ranges)
		if not {
			r = without(r)
		}
		b.figures[m.Field-Tables] = meet(b.figures[m.Field-Tables], r)
	}
	if _, some := b.with(everything()); !some {
		return nil, true
	}
	return []box{b}, true
}

// TooWide tells that a match comes to more than 256 combinations once multiplied out, which is not taken.
func (m *Match) TooWide() bool {
	_, ok := m.all()
	return !ok
}

// box is a set of jobs: each field by itself is in a set.
type box struct {
	texts   [texts]textSet
	figures [figures][]Range // sorted and apart
}

var whole = []Range{{Untold, math.MaxInt64}}

func everything() (b box) {
	for n := range b.figures {
		b.figures[n] = whole
	}
	b.figures[Left-Tables] = []Range{{0, math.MaxInt64}} // always known
	return b
}

// with is what both have in common, and whether that may be anything.
func (b box) with(o box) (both box, some bool) {
	for f := range b.figures {
		if both.figures[f] = meet(b.figures[f], o.figures[f]); len(both.figures[f]) == 0 {
			return both, false
		}
	}
	for f := range b.texts {
		if both.texts[f] = b.texts[f].with(o.texts[f]); both.texts[f].never() {
			return both, false
		}
	}
	return both, true
}

// apart tells quickly that two boxes have nothing in common.
func (b *box) apart(o *box) bool {
	for f := range b.figures {
		x, y := b.figures[f], o.figures[f]
		if len(x) == 0 || len(y) == 0 || x[0].From > y[len(y)-1].To || y[0].From > x[len(x)-1].To {
			return true
		}
	}
	for f := range b.texts {
		if b.texts[f].clearlyApart(&o.texts[f]) {
			return true
		}
	}
	return false
}

// less is what remains of b without o, as boxes.
func (b box) less(o box) []box {
	if b.apart(&o) {
		return []box{b}
	}
	var rest []box
	inside := b
	for f := range b.figures {
		if out := meet(inside.figures[f], without(o.figures[f])); len(out) > 0 {
			piece := inside
			piece.figures[f] = out
			rest = append(rest, piece)
		}
		if inside.figures[f] = meet(inside.figures[f], o.figures[f]); len(inside.figures[f]) == 0 {
			return rest
		}
	}
	for f := range b.texts {
		for _, out := range o.texts[f].others() {
			piece := inside
			if piece.texts[f] = inside.texts[f].with(out); !piece.texts[f].never() {
				rest = append(rest, piece)
			}
		}
		if inside.texts[f] = inside.texts[f].with(o.texts[f]); inside.texts[f].never() {
			return rest
		}
	}
	return rest
}

func (b *box) holds(j *Job) bool {
	for f := range b.texts {
		if !b.texts[f].holds(j.text(Field(f))) {
			return false
		}
	}
	for f := range b.figures {
		if r := b.figures[f]; !within(r, j.figure(Tables+Field(f))) {
			return false
		}
	}
	return true
}

// example gives a job of the box. known is false where none was found within the bounds of the search.
func (b *box) example() (j Job, found, known bool) {
	words := [texts]string{}
	for f := range b.texts {
		if t := &b.texts[f]; Field(f) != Type && len(t.any) == 0 && len(t.none) == 0 {
			continue // not told, as it does not matter
		}
		if words[f], found, known = b.texts[f].example(); !found {
			return j, false, known
		}
	}
	return b.job(words, 0), true, true
}

// job fills in the figures of an example, in one of several ways.
func (b *box) job(words [texts]string, way int) Job {
	pick := func(f Field) int64 {
		r := b.figures[f-Tables]
		if r[0] == whole[0] {
			return Untold
		}
		if len(r) > 1 && r[0].To < 0 {
			r = r[1:] // rather told than not
		}
		x := r[way%len(r)]
		switch {
		case x.From < 0:
			return min(x.To, 1)
		case way&(1<<f) != 0 && x.To < math.MaxInt64:
			return x.To
		case f == Left:
			return max(x.From, min(x.To, int64(time.Second)))
		}
		return x.From
	}
	return Job{Type: words[Type], Customer: words[Customer], Front: words[Front], Tables: pick(Tables),
		Cost: time.Duration(pick(Cost)), Memory: pick(Memory), Left: time.Duration(pick(Left))}
}

// likely gives a few jobs of the box that differ, without a search.
func (b *box) likely(ways int, try func(*Job) bool) bool {
	for way := range ways {
		words := [texts]string{}
		for f := range b.texts {
			set := &b.texts[f]
			list := []Pattern{"*"}
			if len(set.any) > 0 {
				list = set.any[0]
			}
			if len(list) == 0 {
				return false
			}
			if words[f] = list[(way+f)%len(list)].fill([...]string{"x", "q7-", ""}[way%3]); !set.holds(words[f]) {
				break
			}
		}
		if j := b.job(words, way); b.holds(&j) && try(&j) {
			return true
		}
	}
	return false
}

func sortRanges(r []Range) []Range {
	var out []Range
	for _, next := range sortedRanges(r) {
		if next.From > next.To {
			continue
		}
		if n := len(out); n > 0 && (out[n-1].To == math.MaxInt64 || next.From <= out[n-1].To+1) {
			out[n-1].To = max(out[n-1].To, next.To)
		} else {
			out = append(out, next)
		}
	}
	return out
}

// without is all figures outside of sorted ranges.
func without(r []Range) (out []Range) {
	from := int64(Untold)
	for _, x := range r {
		if x.From > from {
			out = append(out, Range{from, x.From - 1})
		}
		if x.To == math.MaxInt64 {
			return out
		}
		from = max(from, x.To+1)
	}
	return append(out, Range{from, math.MaxInt64})
}

func meet(a, b []Range) []Range {
	if len(a) == 1 && a[0] == whole[0] {
		return b
	}
	if len(b) == 1 && b[0] == whole[0] {
		return a
	}
	var out []Range
	for len(a) > 0 && len(b) > 0 {
		if r := (Range{max(a[0].From, b[0].From), min(a[0].To, b[0].To)}); r.From <= r.To {
			out = append(out, r)
		}
		if a[0].To < b[0].To {
			a = a[1:]
		} else {
			b = b[1:]
		}
	}
	return out
}

func sortedRanges(r []Range) []Range {
	r = slices.Clone(r)
	slices.SortFunc(r, func(a, b Range) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return r
}

func (m *Match) String() string {
	if m == nil || m.Op == All {
		return "all"
	}
	return m.describe()
}
