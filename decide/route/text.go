package route

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// Pattern is a text in which * stands for any characters and ? for one; a backslash takes either by its word.
type Pattern string

// Literal gives the one text that a pattern without wildcards means.
func (p Pattern) Literal() (string, bool) {
	if !strings.ContainsAny(string(p), `*?\`) {
		return string(p), true
	}
	text := p.prefix()
	return text, len(p.parts()) == utf8.RuneCountInString(text)
}

// Escape is the pattern that means one text only.
func Escape(text string) Pattern {
	if !strings.ContainsAny(text, `\*?`) {
		return Pattern(text)
	}
	return Pattern(strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`).Replace(text))
}

// The parts of a pattern are characters, or one of these.
const anything, anyOne rune = -1, -2

func (p Pattern) parts() (out []rune) {
	for s := string(p); s != ""; {
		r, size := utf8.DecodeRuneInString(s)
		switch {
		case r == '*':
			r = anything
		case r == '?':
			r = anyOne
		case r == '\\' && len(s) > 1:
			s = s[1:]
			r, size = utf8.DecodeRuneInString(s)
		}
		if s = s[size:]; r != anything || len(out) == 0 || out[len(out)-1] != anything {
			out = append(out, r)
		}
	}
	return out
}

// fill is a text that is meant, with a text for each *.
func (p Pattern) fill(with string) string {
	if text, is := p.Literal(); is {
		return text
	}
	var b strings.Builder
	for _, r := range p.parts() {
		switch r {
		case anything:
			b.WriteString(with)
		case anyOne:
			b.WriteByte('x')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// prefix is what all texts meant begin with.
func (p Pattern) prefix() string {
	if n := strings.IndexAny(string(p), `*?\`); n < 0 {
		return string(p)
	}
	var b strings.Builder
	for _, r := range p.parts() {
		if r < 0 {
			break
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Matches tells whether a text is meant. It takes at most the product of both lengths, and allocates nothing.
func (p Pattern) Matches(text string) bool {
	at, in := 0, 0
	star, mark := -1, 0
	for in < len(text) {
		if at < len(p) {
			switch ch := p[at]; {
			case ch == '*':
				star, mark = at, in
				at++
				continue
			case ch == '?':
				_, size := utf8.DecodeRuneInString(text[in:])
				at, in = at+1, in+size
				continue
			case ch == '\\' && at+1 < len(p) && p[at+1] == text[in]:
				at, in = at+2, in+1
				continue
			case (ch != '\\' || at+1 == len(p)) && ch == text[in]:
				at, in = at+1, in+1
				continue
			}
		}
		if star < 0 {
			return false
		}
		_, size := utf8.DecodeRuneInString(text[mark:])
		mark += size
		at, in = star+1, mark
	}
	for at < len(p) && p[at] == '*' {
		at++
	}
	return at == len(p)
}

func matchesAny(patterns []Pattern, text string) bool {
	for _, p := range patterns {
		if p.Matches(text) {
			return true
		}
	}
	return false
}

// textSet holds the texts that match one pattern of each list of any, and none of none.
type textSet struct {
	any  [][]Pattern
	none []Pattern
	done bool // any is one list of literals, and none is empty
}

func (t *textSet) holds(text string) bool {
	for _, list := range t.any {
		if !matchesAny(list, text) {
			return false
		}
	}
	return len(t.none) == 0 || !matchesAny(t.none, text)
}

// simple brings a set that can only be some literals into the form of one list of them.
func (t textSet) simple() textSet {
	least := -1
	for n, list := range t.any {
		literal := !slices.ContainsFunc(list, func(p Pattern) bool { _, is := p.Literal(); return !is })
		if literal && (least < 0 || len(list) < len(t.any[least])) {
			least = n
		}
	}
	if least < 0 {
		return t
	}
	var some []Pattern
	for _, p := range t.any[least] {
		if text, _ := p.Literal(); t.holds(text) && !slices.Contains(some, Escape(text)) {
			some = append(some, Escape(text))
		}
	}
	return textSet{any: [][]Pattern{some}, done: true}
}

func (t textSet) with(o textSet) textSet {
	switch {
	case len(o.any) == 0 && len(o.none) == 0:
		return t
	case len(t.any) == 0 && len(t.none) == 0:
		return o
	}
	both := textSet{any: slices.Concat(t.any, o.any), none: slices.Concat(t.none, o.none)}
	slices.Sort(both.none)
	both.none = slices.Compact(both.none)
	return both.simple()
}

// never tells sets that are clearly empty; example decides the rest.
func (t *textSet) never() bool { return t.done && len(t.any[0]) == 0 }

func (t *textSet) clearlyApart(o *textSet) bool {
	if t.done && len(t.any[0]) == 1 {
		text, _ := t.any[0][0].Literal()
		return !o.holds(text)
	}
	if o.done && len(o.any[0]) == 1 {
		text, _ := o.any[0][0].Literal()
		return !t.holds(text)
	}
	return false
}

// others are sets that together hold all that this one does not.
func (t *textSet) others() (out []textSet) {
	for _, list := range t.any {
		out = append(out, textSet{none: list})
	}
	if len(t.none) > 0 {
		out = append(out, textSet{any: [][]Pattern{t.none}}.simple())
	}
	return out
}

// mostStates bounds the search for a text by automata. Sets of a few patterns take some hundred.
const mostStates = 20_000

// example gives a text of the set. known is false where the search was given up.
func (t *textSet) example() (text string, found, known bool) {
	if t.done {
		if len(t.any[0]) == 0 {
			return "", false, true
		}
		text, _ = t.any[0][0].Literal()
		return text, true, true
	}
	// Likely ones first: each pattern's own text with its wildcards filled in.
	for _, fill := range [...]string{"x", "", "q7", "zz-9"} {
		candidates := []Pattern{"*"}
		if len(t.any) > 0 {
			candidates = t.any[0]
		}
		for _, p := range candidates {
			if text = p.fill(fill); t.holds(text) {
				return text, true, true
			}
		}
	}
	return t.search()
}

// automaton runs one pattern; its state is the set of parts that may come next, as bits.
type automaton struct {
	parts []rune
	size  int // words of bits
}

func (a automaton) add(state []uint64, at int) {
	state[at/64] |= 1 << (at % 64)
	if at < len(a.parts) && a.parts[at] == anything {
		a.add(state, at+1)
	}
}

func (a automaton) step(state, next []uint64, r rune) {
	for at, part := range a.parts {
		if state[at/64]&(1<<(at%64)) == 0 {
			continue
		}
		if part == anything {
			a.add(next, at)
		} else if part == anyOne || part == r {
			a.add(next, at+1)
		}
	}
}

func (a automaton) accepts(state []uint64) bool {
	return state[len(a.parts)/64]&(1<<(len(a.parts)%64)) != 0
}

// search runs all patterns side by side over ever longer texts, made of the characters that they name and one that
// none does, until one is in the set or no new state is met.
func (t *textSet) search() (text string, found, known bool) {
	var all []automaton
	letters := []rune{}
	size := 0
	for _, list := range append(slices.Clone(t.any), t.none) {
		for _, p := range list {
			a := automaton{parts: p.parts()}
			a.size = len(a.parts)/64 + 1
			size += a.size
			all = append(all, a)
			for _, r := range a.parts {
				if r >= 0 {
					letters = append(letters, r)
				}
			}
		}
	}
	slices.Sort(letters)
	letters = slices.Compact(letters)
	for fresh := 'x'; ; fresh++ {
		if _, taken := slices.BinarySearch(letters, fresh); !taken {
			letters = append(letters, fresh)
			break
		}
	}
	if len(all) > 200 || len(letters) > 200 {
		return "", false, false
	}
	key := func(state []uint64) string {
		var b strings.Builder
		for _, word := range state {
			for ; word > 0; word >>= 7 {
				b.WriteByte(byte(word&0x7f) | 0x80)
			}
			b.WriteByte(0)
		}
		return b.String()
	}
	// judge tells whether a state is in the set, and whether any text beyond it can be.
	judge := func(state []uint64) (in, alive bool) {
		in, n, at := true, 0, 0
		for _, list := range t.any {
			some, live := false, false
			for range list {
				a := all[n]
				some = some || a.accepts(state[at:at+a.size])
				live = live || slices.ContainsFunc(state[at:at+a.size], func(w uint64) bool { return w != 0 })
				n, at = n+1, at+a.size
			}
			if in = in && some; !live {
				return false, false
			}
		}
		for range t.none {
			a := all[n]
			in = in && !a.accepts(state[at:at+a.size])
			n, at = n+1, at+a.size
		}
		return in, true
	}
	type step struct {
		state []uint64
		text  string
	}
	first := make([]uint64, size)
	at := 0
	for _, a := range all {
		a.add(first[at:at+a.size], 0)
		at += a.size
	}
	seen := map[string]bool{key(first): true}
	for queue := []step{{first, ""}}; len(queue) > 0; queue = queue[1:] {
		in, alive := judge(queue[0].state)
		if in {
			return queue[0].text, true, true
		}
		if !alive {
			continue
		}
		for _, r := range letters {
			next := make([]uint64, size)
			at := 0
			for _, a := range all {
				a.step(queue[0].state[at:at+a.size], next[at:at+a.size], r)
				at += a.size
			}
			if k := key(next); !seen[k] {
				if len(seen) >= mostStates {
					return "", false, false
				}
				seen[k] = true
				queue = append(queue, step{next, queue[0].text + string(r)})
			}
		}
	}
	return "", false, true
}
