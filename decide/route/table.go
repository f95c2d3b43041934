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

// Table finds the route of a job without walking over all of them. Routes that look at the same fields stand in one
// tree, which splits them by one field at a time: texts by the longest prefix that any pattern names, in a radix
// tree, and figures by cuts. Parts of the trees that a later version has too are the same in memory.
type Table struct {
	groups  []group            // by the first route in them
	known   map[uint64][]*node // by what they hold, for the next version
	entries map[RouteName][]*entry
	routes  map[RouteName]*Route
	shared  int // nodes taken over from the version before
	nodes   int
}

// group is the tree of all boxes that look at the same fields: in one tree with those that do not, each of these
// would stand under each text that the others name.
type group struct {
	looks uint
	first uint64 // least place of its entries
	root  *node
}

// entry is one box of a route. Versions share the entries of routes that are alike and in the same order; the route
// is the one of the version that first had it.
type entry struct {
	route *Route
	box   *box   // nil: the whole match is to be asked, as it has too many boxes
	place uint64 // in the order of routes
	looks uint   // the fields by which the box can be found
	tests []test
}

// test is a condition of a box on one field; fields without one hold every job.
type test struct {
	field Field
	word  string   // of a text that must be this one,
	words []string // or one of these
	exact bool
	set   *textSet // any other condition on a text
	least int64    // of a figure in one range
	most  int64
	more  []Range // its other ranges
}

func newEntry(r *Route, b *box, place uint64) *entry {
	e := &entry{route: r, box: b, place: place}
	if b == nil {
		return e
	}
	for f := range b.texts {
		set := &b.texts[f]
		if set.done {
			var words []string
			for _, p := range set.any[0] {
				word, _ := p.Literal()
				words = append(words, word)
			}
			e.tests = append(e.tests, test{field: Field(f), exact: true, word: words[0], words: words[1:]})
		} else if len(set.any) > 0 || len(set.none) > 0 {
			e.tests = append(e.tests, test{field: Field(f), set: set})
		}
		if set.done || !slices.Contains(e.prefixes(Field(f)), "") {
			e.looks |= 1 << f
		}
	}
	for f, r := range b.figures {
		if field := Tables + Field(f); len(r) != 1 || r[0] != everyone.figures[f][0] {
			e.looks |= 1 << field
			e.tests = append(e.tests, test{field: field, least: r[0].From, most: r[0].To, more: r[1:]})
		}
	}
	return e
}

var everyone = everything()

func (e *entry) holds(j *Job) bool {
	if e.box == nil {
		return e.route.Match.Holds(j)
	}
	for n := range e.tests {
		t := &e.tests[n]
		switch {
		case t.exact:
			if text := j.text(t.field); text != t.word && !slices.Contains(t.words, text) {
				return false
			}
		case t.set != nil:
			if !t.set.holds(j.text(t.field)) {
				return false
			}
		default:
			if x := j.figure(t.field); (x < t.least || x > t.most) && !within(t.more, x) {
				return false
			}
		}
	}
	return true
}

type node struct {
	field Field
	// By the texts that literals name, in a plain map, as a radix tree's steps each wait for memory (1.6 us against
	// 0.7 in all, of 10,000 routes); and all other texts by the longest prefix that a pattern names.
	exact map[string]*node
	texts *iradix.Tree[*node]
	cuts  []int64 // kids[n] holds figures from cuts[n] on; cuts[0] is the least
	kids  []*node
	list  []*entry // of a leaf, in order
	of    []*entry // all that it was made of
	used  uint
	key   uint64 // in known
}

// leafSize is how many entries are tried one by one: about the cost of two more steps down the tree.
const leafSize = 6

// NewTable compiles a plan. What it has in common with the version before, which may be nil, is shared.
func NewTable(p *Plan, before *Table) *Table {
	t := &Table{known: map[uint64][]*node{}, entries: make(map[RouteName][]*entry, len(p.Routes)),
		routes: make(map[RouteName]*Route, len(p.Routes))}
	kept := before.kept(p)
	places, ok := between(kept)
	if !ok { // no places left in between: all anew
		clear(kept)
		places, _ = between(kept)
	}
	by := map[uint][]*entry{}
	for n, r := range p.Routes {
		list := kept[n]
		if list == nil {
			if boxes, ok := r.Match.all(); ok {
				for m := range boxes {
					list = append(list, newEntry(r, &boxes[m], places[n]))
				}
			} else {
				list = []*entry{newEntry(r, nil, places[n])}
			}
		}
		t.entries[r.Name], t.routes[r.Name] = list, r
		for _, e := range list {
			by[e.looks] = append(by[e.looks], e)
		}
	}
	for looks, list := range by {
		t.groups = append(t.groups, group{looks, list[0].place, t.build(list, ^looks, before)})
	}
	slices.SortFunc(t.groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.looks, b.looks))
	})
	return t
}

// kept lists, by the position in a new plan, the entries of routes that are alike and in the same order as before:
// the longest such row of routes.
func (t *Table) kept(p *Plan) [][]*entry {
	out := make([][]*entry, len(p.Routes))
	if t == nil {
		return out
	}
	var alike []int // positions in the new plan
	for n, r := range p.Routes {
		if old := t.routes[r.Name]; old != nil && old.same(r) && len(t.entries[r.Name]) > 0 {
			alike = append(alike, n)
		}
	}
	entries := func(n int) []*entry { return t.entries[p.Routes[n].Name] }
	for m, stays := range Rising(alike, func(n int) uint64 { return entries(n)[0].place }) {
		if stays {
			out[alike[m]] = entries(alike[m])
		}
	}
	return out
}

// Rising marks the members of a longest row of a list, not broken up, whose values rise.
func Rising[E any, V cmp.Ordered](list []E, value func(E) V) []bool {
	prior := make([]int, len(list))
	var ends []int // the position that ends a row of each length at the least value
	for n, e := range list {
		at, _ := slices.BinarySearchFunc(ends, value(e), func(m int, to V) int { return cmp.Compare(value(list[m]), to) })
		if prior[n] = -1; at > 0 {
			prior[n] = ends[at-1]
		}
		if at == len(ends) {
			ends = append(ends, n)
		} else {
			ends[at] = n
		}
	}
	marks := make([]bool, len(list))
	if len(ends) > 0 {
		for n := ends[len(ends)-1]; n >= 0; n = prior[n] {
			marks[n] = true
		}
	}
	return marks
}

// between gives new routes places between those that are kept; false where there is no room for them.
func between(kept [][]*entry) (places []uint64, ok bool) {
	places = make([]uint64, len(kept))
	last := uint64(0)
	for n := 0; n < len(kept); {
		to := n
		for to < len(kept) && kept[to] == nil {
			to++
		}
		next := uint64(math.MaxUint64)
		if to < len(kept) {
			next = kept[to][0].place
		}
		step := min((next-last)/uint64(to-n+1), 1<<40)
		if to > n && step == 0 {
			return nil, false
		}
		for i := n; i < to; i++ {
			last += step
			places[i] = last
		}
		last, n = next, to+1
	}
	return places, true
}

// same tells that two routes match and act alike.
func (r *Route) same(o *Route) bool {
	if r.Name != o.Name || r.Policy != o.Policy || len(r.Pools) != len(o.Pools) || !r.Match.same(o.Match) {
		return false
	}
	for n, p := range r.Pools {
		if !p.same(o.Pools[n]) {
			return false
		}
	}
	return true
}

func (m *Match) same(o *Match) bool {
	if m == nil || o == nil {
		return m == o
	}
	return m.Op == o.Op && m.Field == o.Field && slices.Equal(m.Texts, o.Texts) && slices.Equal(m.Ranges, o.Ranges) &&
		slices.EqualFunc(m.Of, o.Of, (*Match).same)
}

func (p *Pool) same(o *Pool) bool {
	members := func(a, b Members) bool {
		return slices.Equal(a.IDs, b.IDs) && slices.Equal(a.Locations, b.Locations) && slices.Equal(a.Kinds, b.Kinds)
	}
	return p == o || p.Name == o.Name && p.MinCount == o.MinCount && p.MinShare == o.MinShare && p.Size == o.Size &&
		p.Overflow == o.Overflow && p.OverflowAfter == o.OverflowAfter &&
		slices.EqualFunc(p.Any, o.Any, func(a, b []Members) bool { return slices.EqualFunc(a, b, members) })
}

var hashSeed = maphash.MakeSeed()

func (t *Table) build(list []*entry, used uint, before *Table) *node {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, e := range list {
		maphash.WriteComparable(&h, e)
	}
	maphash.WriteComparable(&h, used)
	key := h.Sum64()
	alike := func(n *node) bool { return n.used == used && slices.Equal(n.of, list) }
	if n := slices.IndexFunc(t.known[key], alike); n >= 0 {
		return t.known[key][n]
	}
	if before != nil {
		if n := slices.IndexFunc(before.known[key], alike); n >= 0 {
			t.takeOver(before.known[key][n], before)
			return before.known[key][n]
		}
	}
	n := &node{of: list, used: used, key: key}
	t.known[key] = append(t.known[key], n)
	t.nodes++
	if len(list) <= leafSize || !t.split(n, before) {
		n.list = list
	}
	return n
}

// takeOver makes a shared part known to this version too, for the next one.
func (t *Table) takeOver(n *node, before *Table) {
	if slices.Contains(t.known[n.key], n) {
		return
	}
	t.known[n.key] = append(t.known[n.key], n)
	t.nodes++
	t.shared++
	for _, kid := range n.kids {
		t.takeOver(kid, before)
	}
	for _, kid := range n.exact {
		t.takeOver(kid, before)
	}
	if n.texts != nil {
		n.texts.Root().Walk(func(_ []byte, kid *node) bool { t.takeOver(kid, before); return false })
	}
}

// split divides a node by the field that leaves the least to try one by one.
func (t *Table) split(n *node, before *Table) bool {
	best, least := -1, len(n.of)
	var texts, literal map[string][]*entry
	var cuts []int64
	var kids [][]*entry
	for f := range fields {
		if n.used&(1<<f) != 0 {
			continue
		}
		if f.isText() {
			if words, parts := byText(n.of, f); parts != nil {
				if most := max(mostOf(words), mostOf(parts)); most < least {
					best, least, literal, texts = int(f), most, words, parts
				}
			}
		} else if c, k := byCuts(n.of, f); k != nil {
			most := 0
			for _, kid := range k {
				most = max(most, len(kid))
			}
			if most < least {
				best, least, cuts, kids = int(f), most, c, k
			}
		}
	}
	if best < 0 || least > len(n.of)*9/10 {
		return false
	}
	n.field = Field(best)
	used := n.used | 1<<best
	if !n.field.isText() {
		n.cuts = cuts
		for _, kid := range kids {
			n.kids = append(n.kids, t.build(kid, used, before))
		}
		return true
	}
	n.exact = make(map[string]*node, len(literal))
	for _, key := range sorted(literal) {
		n.exact[key] = t.build(literal[key], used, before)
	}
	tx := iradix.New[*node]().Txn()
	for _, key := range sorted(texts) {
		tx.Insert([]byte(key), t.build(texts[key], used, before))
	}
	n.texts = tx.Commit()
	return true
}

func mostOf(parts map[string][]*entry) (most int) {
	for _, list := range parts {
		most = max(most, len(list))
	}
	return most
}

// sorted lists the keys of a map, so that no order depends on it.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// prefixes are what the texts that a box allows in a field begin with: one of them each.
func (e *entry) prefixes(f Field) []string {
	if e.box == nil || len(e.box.texts[f].any) == 0 {
		return []string{""}
	}
	var out []string
	for _, p := range e.box.texts[f].any[0] {
		out = append(out, p.prefix())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// mostRoom bounds how often entries may stand in a tree, as those that name no text of a field stand under each that
// is named.
func mostRoom(entries int) int { return 16*entries + 4096 }

// byText lists the entries that a text may meet: for each literal that is named, and, for texts that are none, for
// each prefix that a pattern names and is the longest one. prefixes is nil where there is nothing to tell apart, or
// where it would take too much room.
func byText(list []*entry, f Field) (literals, prefixes map[string][]*entry) {
	literals, prefixes = map[string][]*entry{}, map[string][]*entry{"": nil}
	add := func(parts map[string][]*entry, key string, e *entry) {
		if own := parts[key]; len(own) == 0 || own[len(own)-1] != e {
			parts[key] = append(own, e)
		}
	}
	for _, e := range list {
		if e.box != nil && e.box.texts[f].done {
			for _, p := range e.box.texts[f].any[0] {
				text, _ := p.Literal()
				add(literals, text, e)
			}
			continue
		}
		for _, prefix := range e.prefixes(f) {
			add(prefixes, prefix, e)
		}
	}
	if len(literals) == 0 && len(prefixes) == 1 {
		return nil, nil
	}
	// A text meets what is under its longest prefix and under all shorter ones, a literal what is under its prefixes.
	keys := sorted(prefixes)
	room := mostRoom(len(list))
	under := make(map[string][]*entry, len(prefixes))
	together := func(a, b []*entry) []*entry {
		if len(a) == 0 {
			return b
		}
		all := slices.Concat(a, b)
		slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.place, b.place) })
		return all
	}
	var over []string // prefixes of the key at hand
	for _, key := range keys {
		for len(over) > 0 && !strings.HasPrefix(key, over[len(over)-1]) {
			over = over[:len(over)-1]
		}
		own := prefixes[key]
		if len(over) > 0 {
			own = together(under[over[len(over)-1]], own)
		}
		if room -= len(own); room < 0 {
			return nil, nil
		}
		under[key] = own
		over = append(over, key)
	}
	for _, text := range sorted(literals) {
		longest := ""
		for n := len(text); n > 0; n-- {
			if _, named := under[text[:n]]; named {
				longest = text[:n]
				break
			}
		}
		literals[text] = together(under[longest], literals[text])
		if room -= len(literals[text]); room < 0 {
			return nil, nil
		}
	}
	return literals, under
}

// byCuts lists, for each span between the figures where some box begins or ends, the entries that it may meet. Where
// that takes too much room, only some of the figures are used.
func byCuts(list []*entry, f Field) (cuts []int64, kids [][]*entry) {
	for _, e := range list {
		if e.box == nil {
			continue
		}
		for _, r := range e.box.figures[f-Tables] {
			cuts = append(cuts, r.From)
			if r.To < math.MaxInt64 {
				cuts = append(cuts, r.To+1)
			}
		}
	}
	cuts = append(cuts, Untold)
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	for {
		if len(cuts) < 2 {
			return nil, nil
		}
		if kids = fill(cuts, list, f); kids != nil {
			return cuts, kids
		}
		for n := range (len(cuts) + 1) / 2 { // each second one
			cuts[n] = cuts[2*n]
		}
		cuts = cuts[:(len(cuts)+1)/2]
	}
}

func fill(cuts []int64, list []*entry, f Field) [][]*entry {
	kids := make([][]*entry, len(cuts))
	room := mostRoom(len(list))
	for _, e := range list {
		ranges := whole
		if e.box != nil {
			ranges = e.box.figures[f-Tables]
		}
		for _, r := range ranges {
			for n := place(cuts, r.From); n < len(cuts) && cuts[n] <= r.To; n++ {
				if own := kids[n]; len(own) == 0 || own[len(own)-1] != e {
					kids[n] = append(own, e)
					if room--; room < 0 {
						return nil
					}
				}
			}
		}
	}
	return kids
}

// place is the span that a figure is in.
func place(cuts []int64, figure int64) int {
	n, found := slices.BinarySearch(cuts, figure)
	if !found {
		n--
	}
	return max(n, 0)
}

// Find gives the first route that takes a job, or nil. It allocates nothing. After a change of versions it may be an
// equal route of an earlier one.
func (t *Table) Find(j *Job) *Route {
	var best *entry
	for n := range t.groups {
		g := &t.groups[n]
		if best != nil && best.place < g.first {
			break
		}
		if e := g.root.find(j); e != nil && (best == nil || e.place < best.place) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return best.route
}

func (n *node) find(j *Job) *entry {
	for n.list == nil {
		switch {
		case n.texts != nil:
			text := j.text(n.field)
			next := n.exact[text]
			if next == nil {
				_, next, _ = n.texts.Root().LongestPrefix(unsafe.Slice(unsafe.StringData(text), len(text)))
			}
			n = next
		case n.kids != nil:
			n = n.kids[place(n.cuts, j.figure(n.field))]
		default:
			return nil // what is empty
		}
	}
	for _, e := range n.list {
		if e.holds(j) {
			return e
		}
	}
	return nil
}
