package route

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// Job has the properties of a job that a route can match.
type Job struct {
	Type, Customer, Front string        // Customer is empty if the front does not provide it
	Tables                int64         // number of the table group, or Unknown
	Cost                  time.Duration // declared work as core time, or Unknown
	Memory                int64         // declared memory in bytes, or Unknown
	TimeLeft              time.Duration // time to the deadline when the job arrived
}

// Unknown marks a table group, a cost or a memory need that was not provided. It satisfies no comparison, so it
// satisfies the negation of each.
const Unknown = -1

// Field is a property of a job that a term of a match tests.
type Field int

const (
	Type Field = iota
	Customer
	Front
	Tables
	Cost
	Memory
	Left
	fieldCount
)

const textFields, numberFields = int(Tables), int(fieldCount - Tables)

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

func (j *Job) number(f Field) int64 {
	switch f {
	case Tables:
		return j.Tables
	case Cost:
		return int64(j.Cost)
	case Memory:
		return j.Memory
	}
	return int64(j.TimeLeft)
}

// Range is a closed range of integers: table group numbers, nanoseconds or bytes.
type Range struct{ From, To int64 }

// Op is the operator of a match.
type Op int

const (
	All Op = iota // satisfied by every job
	And
	Or
	Not
	In // the field matches one of Texts, or is in one of Ranges
)

// Match is a boolean expression over the fields of a job. The zero value and nil are satisfied by every job.
type Match struct {
	Op       Op
	Operands []*Match // operands: one or more of And and Or, one of Not
	Field    Field
	Texts    []Pattern
	Ranges   []Range
	Source   string // the term as written in the operators' file, for explanations

	cache atomic.Pointer[boxCache]
}

// boxCache is the expansion of a match into boxes. It is kept because the same match is analyzed many times.
type boxCache struct {
	boxes []box
	ok    bool
}

// allBoxes returns the boxes of a match, and false if there are too many. It computes them once.
func (m *Match) allBoxes() ([]box, bool) {
	if m == nil {
		return []box{unrestrictedBox()}, true
	}
	cached := m.cache.Load()
	if cached == nil {
		cached = &boxCache{}
		cached.boxes, cached.ok = m.expand(false)
		m.cache.Store(cached)
	}
	return cached.boxes, cached.ok
}

// Matches reports whether a job satisfies the match. It does not allocate.
func (m *Match) Matches(j *Job) bool {
	if m == nil {
		return true
	}
	switch m.Op {
	case And:
		for _, operand := range m.Operands {
			if !operand.Matches(j) {
				return false
			}
		}
	case Or:
		for _, operand := range m.Operands {
			if operand.Matches(j) {
				return true
			}
		}
		return false
	case Not:
		return !m.Operands[0].Matches(j)
	case In:
		if m.Field.isText() {
			return matchesAny(m.Texts, j.text(m.Field))
		}
		return inAnyRange(m.Ranges, j.number(m.Field))
	}
	return true
}

// Mismatch returns the term that a job does not satisfy, in the words of the operators' file, or an empty string if the
// job matches.
func (m *Match) Mismatch(j *Job) string {
	if m.Matches(j) {
		return ""
	}
	switch m.Op {
	case And:
		for _, operand := range m.Operands {
			if mismatch := operand.Mismatch(j); mismatch != "" {
				return mismatch
			}
		}
	case Or:
		mismatch := ""
		for position, operand := range m.Operands {
			if position > 0 {
				mismatch += ", nor "
			}
			mismatch += operand.Mismatch(j)
		}
		return mismatch
	case Not:
		return "not (" + m.Operands[0].describe() + ")"
	}
	return m.describe()
}

// describe returns the match in the words of the operators' file, as far as its terms have a Source.
func (m *Match) describe() string {
	if m.Source != "" || len(m.Operands) == 0 {
		return m.Source
	}
	operator := " and "
	switch m.Op {
	case Or:
		operator = " or "
	case Not:
		return "not (" + m.Operands[0].describe() + ")"
	}
	text := ""
	for position, operand := range m.Operands {
		if position > 0 {
			text += operator
		}
		if operand.Op == Or || operand.Op == And {
			text += "(" + operand.describe() + ")"
		} else {
			text += operand.describe()
		}
	}
	return text
}

func inAnyRange(ranges []Range, value int64) bool {
	for _, r := range ranges {
		if value >= r.From && value <= r.To {
			return true
		}
	}
	return false
}

// maxBoxes bounds the number of boxes that one match may expand to. Matches in files written by hand stay below ten.
const maxBoxes = 256

// expand converts a match, or its negation, to its disjunctive normal form: boxes whose union is the set of jobs that
// satisfy it. It returns false if there would be too many boxes.
func (m *Match) expand(negated bool) ([]box, bool) {
	if m == nil || m.Op == All {
		if negated {
			return nil, true
		}
		return []box{unrestrictedBox()}, true
	}
	op := m.Op
	if negated && op == And {
		op = Or
	} else if negated && op == Or {
		op = And
	}
	switch op {
	case Not:
		return m.Operands[0].expand(!negated)
	case Or:
		var result []box
		for _, operand := range m.Operands {
			operandBoxes, ok := operand.expand(negated)
			if result = append(result, operandBoxes...); !ok || len(result) > maxBoxes {
				return nil, false
			}
		}
		return result, true
	case And:
		result := []box{unrestrictedBox()}
		for _, operand := range m.Operands {
			operandBoxes, ok := operand.expand(negated)
			if !ok || len(result)*len(operandBoxes) > 16*maxBoxes {
				return nil, false
			}
			var next []box
			for _, a := range result {
				for _, operandBox := range operandBoxes {
					if common, nonEmpty := a.intersect(operandBox); nonEmpty {
						next = append(next, common)
					}
				}
			}
			if result = next; len(result) > maxBoxes {
				return nil, false
			}
		}
		return result, true
	}
	termBox := unrestrictedBox()
	if m.Field.isText() {
		if negated {
			termBox.texts[m.Field].excluded = m.Texts
		} else {
			termBox.texts[m.Field].included = [][]Pattern{m.Texts}
		}
		termBox.texts[m.Field] = termBox.texts[m.Field].simplify()
	} else {
		ranges := normalizeRanges(m.Ranges)
		if negated {
			ranges = complementRanges(ranges)
		}
		termBox.numbers[m.Field-Tables] = intersectRanges(termBox.numbers[m.Field-Tables], ranges)
	}
	if _, nonEmpty := termBox.intersect(unrestrictedBox()); !nonEmpty {
		return nil, true
	}
	return []box{termBox}, true
}

// TooWide reports whether a match expands to more than 256 combinations, which the operators' file may not have.
func (m *Match) TooWide() bool {
	_, ok := m.allBoxes()
	return !ok
}

// box is a set of jobs given by one independent set of values for each field: a conjunction of conditions.
type box struct {
	texts   [textFields]textSet
	numbers [numberFields][]Range // sorted and disjoint
}

var allNumbers = []Range{{Unknown, math.MaxInt64}}

// unrestrictedBox returns the box of all jobs.
func unrestrictedBox() (b box) {
	for n := range b.numbers {
		b.numbers[n] = allNumbers
	}
	b.numbers[Left-Tables] = []Range{{0, math.MaxInt64}} // never Unknown
	return b
}

// intersect returns the jobs that are in both boxes. nonEmpty is false if there clearly are none; example decides the
// other cases.
func (b box) intersect(other box) (common box, nonEmpty bool) {
	for f := range b.numbers {
		if common.numbers[f] = intersectRanges(b.numbers[f], other.numbers[f]); len(common.numbers[f]) == 0 {
			return common, false
		}
	}
	for f := range b.texts {
		if common.texts[f] = b.texts[f].intersect(other.texts[f]); common.texts[f].clearlyEmpty() {
			return common, false
		}
	}
	return common, true
}

// clearlyDisjoint is a quick test that two boxes have no job in common. It may report false for some that have none.
func (b *box) clearlyDisjoint(other *box) bool {
	for f := range b.numbers {
		ranges, otherRanges := b.numbers[f], other.numbers[f]
		if len(ranges) == 0 || len(otherRanges) == 0 || ranges[0].From > otherRanges[len(otherRanges)-1].To ||
			otherRanges[0].From > ranges[len(ranges)-1].To {
			return true
		}
	}
	for f := range b.texts {
		if b.texts[f].clearlyDisjoint(&other.texts[f]) {
			return true
		}
	}
	return false
}

// subtract returns the jobs of b that are not in the other box, as boxes.
func (b box) subtract(other box) []box {
	if b.clearlyDisjoint(&other) {
		return []box{b}
	}
	var remainder []box
	inside := b
	for f := range b.numbers {
		if outside := intersectRanges(inside.numbers[f], complementRanges(other.numbers[f])); len(outside) > 0 {
			piece := inside
			piece.numbers[f] = outside
			remainder = append(remainder, piece)
		}
		if inside.numbers[f] = intersectRanges(inside.numbers[f], other.numbers[f]); len(inside.numbers[f]) == 0 {
			return remainder
		}
	}
	for f := range b.texts {
		for _, outside := range other.texts[f].complement() {
			piece := inside
			if piece.texts[f] = inside.texts[f].intersect(outside); !piece.texts[f].clearlyEmpty() {
				remainder = append(remainder, piece)
			}
		}
		if inside.texts[f] = inside.texts[f].intersect(other.texts[f]); inside.texts[f].clearlyEmpty() {
			return remainder
		}
	}
	return remainder
}

func (b *box) contains(j *Job) bool {
	for f := range b.texts {
		if !b.texts[f].contains(j.text(Field(f))) {
			return false
		}
	}
	for f := range b.numbers {
		if ranges := b.numbers[f]; !inAnyRange(ranges, j.number(Tables+Field(f))) {
			return false
		}
	}
	return true
}

// example returns a job of the box. known is false if the search reached its bound without an answer.
func (b *box) example() (j Job, found, known bool) {
	values := [textFields]string{}
	for f := range b.texts {
		if set := &b.texts[f]; Field(f) != Type && len(set.included) == 0 && len(set.excluded) == 0 {
			continue // any text will do, so leave it empty
		}
		if values[f], found, known = b.texts[f].example(); !found {
			return j, false, known
		}
	}
	return b.exampleJob(values, 0), true, true
}

// exampleJob returns a job with the given texts and with numbers from the box. The variant selects among the ranges and
// their bounds.
func (b *box) exampleJob(values [textFields]string, variant int) Job {
	pick := func(f Field) int64 {
		ranges := b.numbers[f-Tables]
		if ranges[0] == allNumbers[0] {
			return Unknown
		}
		if len(ranges) > 1 && ranges[0].To < 0 {
			ranges = ranges[1:] // prefer a number to Unknown
		}
		selected := ranges[variant%len(ranges)]
		switch {
		case selected.From < 0:
			return min(selected.To, 1)
		case variant&(1<<f) != 0 && selected.To < math.MaxInt64:
			return selected.To
		case f == Left:
			return max(selected.From, min(selected.To, int64(time.Second)))
		}
		return selected.From
	}
	return Job{Type: values[Type], Customer: values[Customer], Front: values[Front], Tables: pick(Tables),
		Cost: time.Duration(pick(Cost)), Memory: pick(Memory), TimeLeft: time.Duration(pick(Left))}
}

// tryExamples passes a few different jobs of the box to a function until it returns true, and reports whether it did.
// The jobs are derived from the patterns without a search, so there may be none.
func (b *box) tryExamples(variants int, try func(*Job) bool) bool {
	for variant := range variants {
		values := [textFields]string{}
		for f := range b.texts {
			set := &b.texts[f]
			patterns := []Pattern{"*"}
			if len(set.included) > 0 {
				patterns = set.included[0]
			}
			if len(patterns) == 0 {
				return false
			}
			if values[f] = patterns[(variant+f)%len(patterns)].sample(
				[...]string{"x", "q7-", ""}[variant%3]); !set.contains(values[f]) {
				break
			}
		}
		if j := b.exampleJob(values, variant); b.contains(&j) && try(&j) {
			return true
		}
	}
	return false
}

// normalizeRanges returns the union of ranges as sorted, disjoint ranges, without empty ones.
func normalizeRanges(ranges []Range) []Range {
	var merged []Range
	for _, next := range sortedCopy(ranges) {
		if next.From > next.To {
			continue
		}
		if count := len(merged); count > 0 && (merged[count-1].To == math.MaxInt64 || next.From <= merged[count-1].To+1) {
			merged[count-1].To = max(merged[count-1].To, next.To)
		} else {
			merged = append(merged, next)
		}
	}
	return merged
}

// complementRanges returns all numbers outside of normalized ranges, Unknown included.
func complementRanges(ranges []Range) (result []Range) {
	start := int64(Unknown)
	for _, excluded := range ranges {
		if excluded.From > start {
			result = append(result, Range{start, excluded.From - 1})
		}
		if excluded.To == math.MaxInt64 {
			return result
		}
		start = max(start, excluded.To+1)
	}
	return append(result, Range{start, math.MaxInt64})
}

func intersectRanges(a, b []Range) []Range {
	if len(a) == 1 && a[0] == allNumbers[0] {
		return b
	}
	if len(b) == 1 && b[0] == allNumbers[0] {
		return a
	}
	var common []Range
	for len(a) > 0 && len(b) > 0 {
		if overlap := (Range{max(a[0].From, b[0].From), min(a[0].To, b[0].To)}); overlap.From <= overlap.To {
			common = append(common, overlap)
		}
		if a[0].To < b[0].To {
			a = a[1:]
		} else {
			b = b[1:]
		}
	}
	return common
}

func sortedCopy(ranges []Range) []Range {
	ranges = slices.Clone(ranges)
	slices.SortFunc(ranges, func(a, b Range) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return ranges
}

func (m *Match) String() string {
	if m == nil || m.Op == All {
		return "all"
	}
	return m.describe()
}
