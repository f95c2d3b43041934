package route

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"strings"
	"unsafe"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Table is an index that finds the route of a job without trying all routes. Boxes of routes that can be found by the
// same fields are in one decision tree, which splits them by one field at a time: texts by the longest literal prefix
// of any pattern, in a radix tree, and numbers by intervals. Subtrees that do not change from one version of the plan
// to the next are shared in memory.
type Table struct {
	groups      []group            // sorted by firstRank
	nodesByHash map[uint64][]*node // all nodes by the hash of their contents, for sharing with the next version
	entries     map[RouteName][]*entry
	routes      map[RouteName]*Route
	sharedNodes int // number of nodes shared with the previous version
	nodeCount   int // number of all nodes
}

// group is the tree of all boxes that can be found by the same fields. In one tree with all boxes, those that do not
// test a field would have to be repeated under each text of that field that other boxes name.
type group struct {
	fieldMask uint   // bit set of these fields
	firstRank uint64 // lowest rank of its entries
	root      *node
}

// entry is one box of a route. Versions share the entries of routes that are equal and in the same order; route is then
// that of the version that had it first.
type entry struct {
	route      *Route
	box        *box   // nil: the match has too many boxes and is evaluated itself
	rank       uint64 // precedence of the route; the lowest rank takes the job
	fieldMask  uint   // bit set of the fields by which the box can be found
	conditions []condition
}

// condition is the condition of a box on one field. A field without a condition may have any value.
type condition struct {
	field         Field
	literal       string   // if exact: the text must be this one
	otherLiterals []string // or one of these
	exact         bool
	set           *textSet // any other condition on a text
	from          int64    // on a number: the bounds of its first range
	to            int64
	otherRanges   []Range // the other ranges
}

// newEntry returns the entry of a box of a route. A nil box stands for the whole match, if it has too many boxes.
func newEntry(r *Route, b *box, rank uint64) *entry {
	e := &entry{route: r, box: b, rank: rank}
	if b == nil {
		return e
	}
	for f := range b.texts {
		set := &b.texts[f]
		if set.onlyLiterals {
			var literals []string
			for _, pattern := range set.included[0] {
				literal, _ := pattern.Literal()
				literals = append(literals, literal)
			}
			e.conditions = append(e.conditions,
				condition{field: Field(f), exact: true, literal: literals[0], otherLiterals: literals[1:]})
		} else if len(set.included) > 0 || len(set.excluded) > 0 {
			e.conditions = append(e.conditions, condition{field: Field(f), set: set})
		}
		if set.onlyLiterals || !slices.Contains(e.prefixes(Field(f)), "") {
			e.fieldMask |= 1 << f
		}
	}
	for f, r := range b.numbers {
		if field := Tables + Field(f); len(r) != 1 || r[0] != unrestricted.numbers[f][0] {
			e.fieldMask |= 1 << field
			e.conditions = append(e.conditions,
				condition{field: field, from: r[0].From, to: r[0].To, otherRanges: r[1:]})
		}
	}
	return e
}

var unrestricted = unrestrictedBox()

func (e *entry) matches(j *Job) bool {
	if e.box == nil {
		return e.route.Match.Matches(j)
	}
	for n := range e.conditions {
		cond := &e.conditions[n]
		switch {
		case cond.exact:
			if text := j.text(cond.field); text != cond.literal && !slices.Contains(cond.otherLiterals, text) {
				return false
			}
		case cond.set != nil:
			if !cond.set.contains(j.text(cond.field)) {
				return false
			}
		default:
			if number := j.number(cond.field); (number < cond.from || number > cond.to) &&
				!inAnyRange(cond.otherRanges, number) {
				return false
			}
		}
	}
	return true
}

// node is a node of a decision tree: a leaf with a list of entries, or an inner node that splits its entries by a
// field.
type node struct {
	field Field
	// Children for a text field: byLiteral has those for the texts of literals, in a map because each step down a radix
	// tree waits for memory (a lookup among 10,000 routes takes 0.7 us instead of 1.6 us). byPrefix has those for all
	// other texts, by the longest literal prefix of a pattern.
	byLiteral  map[string]*node
	byPrefix   *iradix.Tree[*node]
	bounds     []int64 // for a number field: children[n] has the numbers from bounds[n] on; bounds[0] is the minimum
	children   []*node
	entries    []*entry // the entries of a leaf in the order of precedence; nil for an inner node
	allEntries []*entry // all entries that the subtree was built from
	usedFields uint     // bit set of the fields that may not be split by any more
	hash       uint64   // key in Table.nodesByHash
}

// maxLeafEntries is the number of entries up to which a leaf is not split: trying them one by one costs about as much
// as two more steps down the tree.
const maxLeafEntries = 6

// NewTable builds the table of a plan. It shares unchanged entries and nodes with the table of the previous version,
// which may be nil.
func NewTable(p *Plan, previous *Table) *Table {
	t := &Table{nodesByHash: map[uint64][]*node{}, entries: make(map[RouteName][]*entry, len(p.Routes)),
		routes: make(map[RouteName]*Route, len(p.Routes))}
	kept := previous.keptEntries(p)
	ranks, ok := assignRanks(kept)
	if !ok { // no ranks left between the kept entries: rebuild all of them
		clear(kept)
		ranks, _ = assignRanks(kept)
	}
	byFields := map[uint][]*entry{}
	for n, r := range p.Routes {
		entries := kept[n]
		if entries == nil {
			if boxes, ok := r.Match.allBoxes(); ok {
				for m := range boxes {
					entries = append(entries, newEntry(r, &boxes[m], ranks[n]))
				}
			} else {
				entries = []*entry{newEntry(r, nil, ranks[n])}
			}
		}
		t.entries[r.Name], t.routes[r.Name] = entries, r
		for _, e := range entries {
			byFields[e.fieldMask] = append(byFields[e.fieldMask], e)
		}
	}
	for fieldMask, entries := range byFields {
		t.groups = append(t.groups, group{fieldMask, entries[0].rank, t.build(entries, ^fieldMask, previous)})
	}
	slices.SortFunc(t.groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.firstRank, b.firstRank), cmp.Compare(a.fieldMask, b.fieldMask))
	})
	return t
}

// keptEntries returns, by position in a new plan, the entries of the routes that are unchanged and still in the same
// order: those of the longest such subsequence. The others are nil.
func (t *Table) keptEntries(p *Plan) [][]*entry {
	result := make([][]*entry, len(p.Routes))
	if t == nil {
		return result
	}
	var unchanged []int // positions of unchanged routes in the new plan
	for n, r := range p.Routes {
		if old := t.routes[r.Name]; old != nil && old.equal(r) && len(t.entries[r.Name]) > 0 {
			unchanged = append(unchanged, n)
		}
	}
	entries := func(n int) []*entry { return t.entries[p.Routes[n].Name] }
	for m, keep := range LongestIncreasingSubsequence(unchanged, func(n int) uint64 { return entries(n)[0].rank }) {
		if keep {
			result[unchanged[m]] = entries(unchanged[m])
		}
	}
	return result
}

// LongestIncreasingSubsequence marks the elements of a longest subsequence of a list whose values increase.
func LongestIncreasingSubsequence[E any, V cmp.Ordered](list []E, value func(E) V) []bool {
	predecessor := make([]int, len(list))
	var tails []int // for each length, the position that ends a subsequence with the lowest last value
	for n, element := range list {
		length, _ := slices.BinarySearchFunc(tails, value(element), func(m int, target V) int {
			return cmp.Compare(value(list[m]), target)
		})
		if predecessor[n] = -1; length > 0 {
			predecessor[n] = tails[length-1]
		}
		if length == len(tails) {
			tails = append(tails, n)
		} else {
			tails[length] = n
		}
	}
	marks := make([]bool, len(list))
	if len(tails) > 0 {
		for n := tails[len(tails)-1]; n >= 0; n = predecessor[n] {
			marks[n] = true
		}
	}
	return marks
}

// assignRanks returns ranks for new routes between those of the kept entries, and false if there is not enough room
// between two of them.
func assignRanks(kept [][]*entry) (ranks []uint64, ok bool) {
	ranks = make([]uint64, len(kept))
	lower := uint64(0)
	for start := 0; start < len(kept); {
		end := start
		for end < len(kept) && kept[end] == nil {
			end++
		}
		upper := uint64(math.MaxUint64)
		if end < len(kept) {
			upper = kept[end][0].rank
		}
		step := min((upper-lower)/uint64(end-start+1), 1<<40)
		if end > start && step == 0 {
			return nil, false
		}
		for i := start; i < end; i++ {
			lower += step
			ranks[i] = lower
		}
		lower, start = upper, end+1
	}
	return ranks, true
}

// equal reports whether two routes have the same name, match, pools and policy.
func (r *Route) equal(other *Route) bool {
	if r.Name != other.Name || r.Policy != other.Policy || len(r.Pools) != len(other.Pools) ||
		!r.Match.equal(other.Match) {
		return false
	}
	for n, p := range r.Pools {
		if !p.equal(other.Pools[n]) {
			return false
		}
	}
	return true
}

func (m *Match) equal(other *Match) bool {
	if m == nil || other == nil {
		return m == other
	}
	return m.Op == other.Op && m.Field == other.Field && slices.Equal(m.Texts, other.Texts) &&
		slices.Equal(m.Ranges, other.Ranges) && slices.EqualFunc(m.Operands, other.Operands, (*Match).equal)
}

func (p *Pool) equal(other *Pool) bool {
	sameMembers := func(a, b Members) bool {
		return slices.Equal(a.IDs, b.IDs) && slices.Equal(a.Locations, b.Locations) && slices.Equal(a.Kinds, b.Kinds)
	}
	return p == other || p.Name == other.Name && p.MinCount == other.MinCount && p.MinShare == other.MinShare &&
		p.Size == other.Size && p.Overflow == other.Overflow && p.OverflowAfter == other.OverflowAfter &&
		slices.EqualFunc(p.MemberSets, other.MemberSets, func(a, b []Members) bool { return slices.EqualFunc(a, b, sameMembers) })
}

var hashSeed = maphash.MakeSeed()

// build returns the tree of a list of entries: an equal node of this or the previous version, or else a new one. used
// is the set of fields that the tree may not split by.
func (t *Table) build(entries []*entry, used uint, previous *Table) *node {
	var hash maphash.Hash
	hash.SetSeed(hashSeed)
	for _, e := range entries {
		maphash.WriteComparable(&hash, e)
	}
	maphash.WriteComparable(&hash, used)
	key := hash.Sum64()
	isSame := func(n *node) bool { return n.usedFields == used && slices.Equal(n.allEntries, entries) }
	if n := slices.IndexFunc(t.nodesByHash[key], isSame); n >= 0 {
		return t.nodesByHash[key][n]
	}
	if previous != nil {
		if n := slices.IndexFunc(previous.nodesByHash[key], isSame); n >= 0 {
			t.adopt(previous.nodesByHash[key][n], previous)
			return previous.nodesByHash[key][n]
		}
	}
	n := &node{allEntries: entries, usedFields: used, hash: key}
	t.nodesByHash[key] = append(t.nodesByHash[key], n)
	t.nodeCount++
	if len(entries) <= maxLeafEntries || !t.split(n, previous) {
		n.entries = entries
	}
	return n
}

// adopt adds the nodes of a shared subtree to this table, so that the next version can share them too.
func (t *Table) adopt(n *node, previous *Table) {
	if slices.Contains(t.nodesByHash[n.hash], n) {
		return
	}
	t.nodesByHash[n.hash] = append(t.nodesByHash[n.hash], n)
	t.nodeCount++
	t.sharedNodes++
	for _, child := range n.children {
		t.adopt(child, previous)
	}
	for _, child := range n.byLiteral {
		t.adopt(child, previous)
	}
	if n.byPrefix != nil {
		n.byPrefix.Root().Walk(func(_ []byte, child *node) bool { t.adopt(child, previous); return false })
	}
}

// split splits a node by the field whose largest child has the fewest entries. It returns false if no field reduces the
// entries by at least a tenth.
func (t *Table) split(n *node, previous *Table) bool {
	bestField, smallest := -1, len(n.allEntries)
	var byPrefix, byLiteral map[string][]*entry
	var bounds []int64
	var children [][]*entry
	for f := range fieldCount {
		if n.usedFields&(1<<f) != 0 {
			continue
		}
		if f.isText() {
			if literals, prefixes := splitByText(n.allEntries, f); prefixes != nil {
				if largest := max(longestList(literals), longestList(prefixes)); largest < smallest {
					bestField, smallest, byLiteral, byPrefix = int(f), largest, literals, prefixes
				}
			}
		} else if fieldBounds, fieldChildren := splitByNumber(n.allEntries, f); fieldChildren != nil {
			largest := 0
			for _, child := range fieldChildren {
				largest = max(largest, len(child))
			}
			if largest < smallest {
				bestField, smallest, bounds, children = int(f), largest, fieldBounds, fieldChildren
			}
		}
	}
	if bestField < 0 || smallest > len(n.allEntries)*9/10 {
		return false
	}
	n.field = Field(bestField)
	used := n.usedFields | 1<<bestField
	if !n.field.isText() {
		n.bounds = bounds
		for _, child := range children {
			n.children = append(n.children, t.build(child, used, previous))
		}
		return true
	}
	n.byLiteral = make(map[string]*node, len(byLiteral))
	for _, key := range sorted(byLiteral) {
		n.byLiteral[key] = t.build(byLiteral[key], used, previous)
	}
	txn := iradix.New[*node]().Txn()
	for _, key := range sorted(byPrefix) {
		txn.Insert([]byte(key), t.build(byPrefix[key], used, previous))
	}
	n.byPrefix = txn.Commit()
	return true
}

func longestList(lists map[string][]*entry) (largest int) {
	for _, list := range lists {
		largest = max(largest, len(list))
	}
	return largest
}

// sorted returns the keys of a map in order, so that no result depends on the order of the map's iteration.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// prefixes returns literal prefixes such that each text that the box allows in a field begins with one of them.
func (e *entry) prefixes(f Field) []string {
	if e.box == nil || len(e.box.texts[f].included) == 0 {
		return []string{""}
	}
	var result []string
	for _, pattern := range e.box.texts[f].included[0] {
		result = append(result, pattern.literalPrefix())
	}
	slices.Sort(result)
	return slices.Compact(result)
}

// maxCopies bounds the total number of entries in the children of a node. Entries that do not name a text of the field
// are repeated under each text that others name.
func maxCopies(entries int) int { return 16*entries + 4096 }

// splitByText returns the entries that a text may match: for each literal, and for texts that are no literal, for the
// longest literal prefix of a pattern that the text begins with. Both results are nil if the field does not
// distinguish the entries, or if there would be too many copies of them.
func splitByText(entries []*entry, field Field) (literals, prefixes map[string][]*entry) {
	literals, prefixes = map[string][]*entry{}, map[string][]*entry{"": nil}
	add := func(lists map[string][]*entry, key string, e *entry) {
		if existing := lists[key]; len(existing) == 0 || existing[len(existing)-1] != e {
			lists[key] = append(existing, e)
		}
	}
	for _, e := range entries {
		if e.box != nil && e.box.texts[field].onlyLiterals {
			for _, pattern := range e.box.texts[field].included[0] {
				text, _ := pattern.Literal()
				add(literals, text, e)
			}
			continue
		}
		for _, prefix := range e.prefixes(field) {
			add(prefixes, prefix, e)
		}
	}
	if len(literals) == 0 && len(prefixes) == 1 {
		return nil, nil
	}
	// A text can match the entries of its longest prefix and of all shorter ones; a literal also those of its prefixes.
	keys := sorted(prefixes)
	remaining := maxCopies(len(entries))
	byPrefix := make(map[string][]*entry, len(prefixes))
	merge := func(a, b []*entry) []*entry {
		if len(a) == 0 {
			return b
		}
		all := slices.Concat(a, b)
		slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.rank, b.rank) })
		return all
	}
	var stack []string // stack of the prefixes of the current key, shortest first
	for _, key := range keys {
		for len(stack) > 0 && !strings.HasPrefix(key, stack[len(stack)-1]) {
			stack = stack[:len(stack)-1]
		}
		existing := prefixes[key]
		if len(stack) > 0 {
			existing = merge(byPrefix[stack[len(stack)-1]], existing)
		}
		if remaining -= len(existing); remaining < 0 {
			return nil, nil
		}
		byPrefix[key] = existing
		stack = append(stack, key)
	}
	for _, text := range sorted(literals) {
		longest := ""
		for length := len(text); length > 0; length-- {
			if _, found := byPrefix[text[:length]]; found {
				longest = text[:length]
				break
			}
		}
		literals[text] = merge(byPrefix[longest], literals[text])
		if remaining -= len(literals[text]); remaining < 0 {
			return nil, nil
		}
	}
	return literals, byPrefix
}

// splitByNumber returns the intervals between the numbers where a range of some box begins or ends, each by its lower
// bound, and the entries that a number of the interval may match. If there would be too many copies of entries, it
// drops every second bound until there are not.
func splitByNumber(entries []*entry, field Field) (bounds []int64, children [][]*entry) {
	for _, e := range entries {
		if e.box == nil {
			continue
		}
		for _, r := range e.box.numbers[field-Tables] {
			bounds = append(bounds, r.From)
			if r.To < math.MaxInt64 {
				bounds = append(bounds, r.To+1)
			}
		}
	}
	bounds = append(bounds, Unknown)
	slices.Sort(bounds)
	bounds = slices.Compact(bounds)
	for {
		if len(bounds) < 2 {
			return nil, nil
		}
		if children = assignToIntervals(bounds, entries, field); children != nil {
			return bounds, children
		}
		for n := range (len(bounds) + 1) / 2 { // keep every second bound
			bounds[n] = bounds[2*n]
		}
		bounds = bounds[:(len(bounds)+1)/2]
	}
}

// assignToIntervals returns the entries of each interval, or nil if there would be too many copies of them.
func assignToIntervals(bounds []int64, entries []*entry, field Field) [][]*entry {
	children := make([][]*entry, len(bounds))
	remaining := maxCopies(len(entries))
	for _, e := range entries {
		ranges := allNumbers
		if e.box != nil {
			ranges = e.box.numbers[field-Tables]
		}
		for _, r := range ranges {
			for n := intervalOf(bounds, r.From); n < len(bounds) && bounds[n] <= r.To; n++ {
				if existing := children[n]; len(existing) == 0 || existing[len(existing)-1] != e {
					children[n] = append(existing, e)
					if remaining--; remaining < 0 {
						return nil
					}
				}
			}
		}
	}
	return children
}

// intervalOf returns the index of the interval that a number is in.
func intervalOf(bounds []int64, number int64) int {
	index, found := slices.BinarySearch(bounds, number)
	if !found {
		index--
	}
	return max(index, 0)
}

// Find returns the first route that matches a job, or nil. It does not allocate. For an unchanged route it may return
// the equal Route of an earlier version.
func (t *Table) Find(j *Job) *Route {
	var best *entry
	for n := range t.groups {
		g := &t.groups[n]
		if best != nil && best.rank < g.firstRank {
			break
		}
		if e := g.root.find(j); e != nil && (best == nil || e.rank < best.rank) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return best.route
}

func (n *node) find(j *Job) *entry {
	for n.entries == nil {
		switch {
		case n.byPrefix != nil:
			text := j.text(n.field)
			next := n.byLiteral[text]
			if next == nil {
				_, next, _ = n.byPrefix.Root().LongestPrefix(unsafe.Slice(unsafe.StringData(text), len(text)))
			}
			n = next
		case n.children != nil:
			n = n.children[intervalOf(n.bounds, j.number(n.field))]
		default:
			return nil // an empty tree
		}
	}
	for _, e := range n.entries {
		if e.matches(j) {
			return e
		}
	}
	return nil
}
