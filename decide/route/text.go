package route

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// Pattern is a glob: * matches any sequence of characters and ? matches one character. A backslash makes the character
// after it literal.
type Pattern string

// Literal returns the only text that the pattern matches, and false if the pattern has wildcards.
func (p Pattern) Literal() (string, bool) {
	if !strings.ContainsAny(string(p), `*?\`) {
		return string(p), true
	}
	text := p.literalPrefix()
	return text, len(p.tokens()) == utf8.RuneCountInString(text)
}

// Escape returns the pattern that matches only the given text.
func Escape(text string) Pattern {
	if !strings.ContainsAny(text, `\*?`) {
		return Pattern(text)
	}
	return Pattern(strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`).Replace(text))
}

// A pattern is parsed to tokens: characters, or one of these wildcards.
const anySequence, anyCharacter rune = -1, -2

func (p Pattern) tokens() (tokens []rune) {
	for rest := string(p); rest != ""; {
		r, size := utf8.DecodeRuneInString(rest)
		switch {
		case r == '*':
			r = anySequence
		case r == '?':
			r = anyCharacter
		case r == '\\' && len(rest) > 1:
			rest = rest[1:]
			r, size = utf8.DecodeRuneInString(rest)
		}
		if rest = rest[size:]; r != anySequence || len(tokens) == 0 || tokens[len(tokens)-1] != anySequence {
			tokens = append(tokens, r)
		}
	}
	return tokens
}

// sample returns a text that the pattern matches, with the given text in place of each *.
func (p Pattern) sample(wildcardText string) string {
	if text, isLiteral := p.Literal(); isLiteral {
		return text
	}
	var b strings.Builder
	for _, r := range p.tokens() {
		switch r {
		case anySequence:
			b.WriteString(wildcardText)
		case anyCharacter:
			b.WriteByte('x')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// literalPrefix returns the prefix that all texts that the pattern matches have in common: what is before the first
// wildcard.
func (p Pattern) literalPrefix() string {
	if n := strings.IndexAny(string(p), `*?\`); n < 0 {
		return string(p)
	}
	var b strings.Builder
	for _, r := range p.tokens() {
		if r < 0 {
			break
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Matches reports whether the pattern matches a text. It takes time proportional to at most the product of both lengths
// and does not allocate.
func (p Pattern) Matches(text string) bool {
	patternPos, textPos := 0, 0
	starPos, starTextPos := -1, 0
	for textPos < len(text) {
		if patternPos < len(p) {
			switch char := p[patternPos]; {
			case char == '*':
				starPos, starTextPos = patternPos, textPos
				patternPos++
				continue
			case char == '?':
				_, size := utf8.DecodeRuneInString(text[textPos:])
				patternPos, textPos = patternPos+1, textPos+size
				continue
			case char == '\\' && patternPos+1 < len(p) && p[patternPos+1] == text[textPos]:
				patternPos, textPos = patternPos+2, textPos+1
				continue
			case (char != '\\' || patternPos+1 == len(p)) && char == text[textPos]:
				patternPos, textPos = patternPos+1, textPos+1
				continue
			}
		}
		if starPos < 0 {
			return false
		}
		_, size := utf8.DecodeRuneInString(text[starTextPos:])
		starTextPos += size
		patternPos, textPos = starPos+1, starTextPos
	}
	for patternPos < len(p) && p[patternPos] == '*' {
		patternPos++
	}
	return patternPos == len(p)
}

func matchesAny(patterns []Pattern, text string) bool {
	for _, p := range patterns {
		if p.Matches(text) {
			return true
		}
	}
	return false
}

// textSet is the set of texts that match at least one pattern of each list in included, and no pattern in excluded.
type textSet struct {
	included     [][]Pattern
	excluded     []Pattern
	onlyLiterals bool // included is one list of literals, and excluded is empty
}

func (t *textSet) contains(text string) bool {
	for _, list := range t.included {
		if !matchesAny(list, text) {
			return false
		}
	}
	return len(t.excluded) == 0 || !matchesAny(t.excluded, text)
}

// simplify reduces a set with a list of only literals to the literals that are in the set. It returns other sets
// unchanged.
func (t textSet) simplify() textSet {
	shortest := -1
	for n, list := range t.included {
		onlyLiterals := !slices.ContainsFunc(list, func(p Pattern) bool {
			_, isLiteral := p.Literal()
			return !isLiteral
		})
		if onlyLiterals && (shortest < 0 || len(list) < len(t.included[shortest])) {
			shortest = n
		}
	}
	if shortest < 0 {
		return t
	}
	var literals []Pattern
	for _, p := range t.included[shortest] {
		if text, _ := p.Literal(); t.contains(text) && !slices.Contains(literals, Escape(text)) {
			literals = append(literals, Escape(text))
		}
	}
	return textSet{included: [][]Pattern{literals}, onlyLiterals: true}
}

// intersect returns the texts that are in both sets.
func (t textSet) intersect(other textSet) textSet {
	switch {
	case len(other.included) == 0 && len(other.excluded) == 0:
		return t
	case len(t.included) == 0 && len(t.excluded) == 0:
		return other
	}
	common := textSet{included: slices.Concat(t.included, other.included),
		excluded: slices.Concat(t.excluded, other.excluded)}
	slices.Sort(common.excluded)
	common.excluded = slices.Compact(common.excluded)
	return common.simplify()
}

// clearlyEmpty is a quick test for an empty set. It may report false for some empty sets; example decides these.
func (t *textSet) clearlyEmpty() bool { return t.onlyLiterals && len(t.included[0]) == 0 }

// clearlyDisjoint is a quick test that two sets have no text in common. It may report false for some that have none.
func (t *textSet) clearlyDisjoint(other *textSet) bool {
	if t.onlyLiterals && len(t.included[0]) == 1 {
		text, _ := t.included[0][0].Literal()
		return !other.contains(text)
	}
	if other.onlyLiterals && len(other.included[0]) == 1 {
		text, _ := other.included[0][0].Literal()
		return !t.contains(text)
	}
	return false
}

// complement returns sets whose union is all texts that are not in this set.
func (t *textSet) complement() (sets []textSet) {
	for _, list := range t.included {
		sets = append(sets, textSet{excluded: list})
	}
	if len(t.excluded) > 0 {
		sets = append(sets, textSet{included: [][]Pattern{t.excluded}}.simplify())
	}
	return sets
}

// maxStates bounds the number of automaton states that search visits. Sets of a few patterns need some hundred.
const maxStates = 20_000

// example returns a text of the set. known is false if the search reached its bound without an answer.
func (t *textSet) example() (text string, found, known bool) {
	if t.onlyLiterals {
		if len(t.included[0]) == 0 {
			return "", false, true
		}
		text, _ = t.included[0][0].Literal()
		return text, true, true
	}
	// Try likely texts first: those of the patterns, with a few texts in place of the wildcards.
	for _, wildcardText := range [...]string{"x", "", "q7", "zz-9"} {
		candidates := []Pattern{"*"}
		if len(t.included) > 0 {
			candidates = t.included[0]
		}
		for _, p := range candidates {
			if text = p.sample(wildcardText); t.contains(text) {
				return text, true, true
			}
		}
	}
	return t.search()
}

// automaton is the nondeterministic finite automaton of one pattern. Its state is a bit set of the tokens that may
// match the next character; the bit past the last token stands for a complete match.
type automaton struct {
	tokens     []rune
	stateWords int // length of the state in 64-bit words
}

// addToken adds a token to the state, and the one after it if the token is *, which also matches nothing.
func (a automaton) addToken(state []uint64, index int) {
	state[index/64] |= 1 << (index % 64)
	if index < len(a.tokens) && a.tokens[index] == anySequence {
		a.addToken(state, index+1)
	}
}

// step adds to next the tokens that are reached from state by one character.
func (a automaton) step(state, next []uint64, r rune) {
	for index, token := range a.tokens {
		if state[index/64]&(1<<(index%64)) == 0 {
			continue
		}
		if token == anySequence {
			a.addToken(next, index)
		} else if token == anyCharacter || token == r {
			a.addToken(next, index+1)
		}
	}
}

// accepts reports whether the characters so far match the whole pattern.
func (a automaton) accepts(state []uint64) bool {
	return state[len(a.tokens)/64]&(1<<(len(a.tokens)%64)) != 0
}

// search runs the automata of all patterns in parallel, breadth first over texts of growing length, until a text is in
// the set or there is no unvisited state. The texts consist of the characters in the patterns and one that is in none.
func (t *textSet) search() (text string, found, known bool) {
	var automata []automaton
	alphabet := []rune{}
	stateWords := 0
	for _, list := range append(slices.Clone(t.included), t.excluded) {
		for _, p := range list {
			a := automaton{tokens: p.tokens()}
			a.stateWords = len(a.tokens)/64 + 1
			stateWords += a.stateWords
			automata = append(automata, a)
			for _, r := range a.tokens {
				if r >= 0 {
					alphabet = append(alphabet, r)
				}
			}
		}
	}
	slices.Sort(alphabet)
	alphabet = slices.Compact(alphabet)
	for unused := 'x'; ; unused++ {
		if _, used := slices.BinarySearch(alphabet, unused); !used {
			alphabet = append(alphabet, unused)
			break
		}
	}
	if len(automata) > 200 || len(alphabet) > 200 {
		return "", false, false
	}
	stateKey := func(state []uint64) string {
		var b strings.Builder
		for _, word := range state {
			for ; word > 0; word >>= 7 {
				b.WriteByte(byte(word&0x7f) | 0x80)
			}
			b.WriteByte(0)
		}
		return b.String()
	}
	// evaluate reports whether the texts of a state are in the set, and whether a longer text may be.
	evaluate := func(state []uint64) (inSet, viable bool) {
		inSet, index, offset := true, 0, 0
		for _, list := range t.included {
			matched, listViable := false, false
			for range list {
				a := automata[index]
				matched = matched || a.accepts(state[offset:offset+a.stateWords])
				listViable = listViable || slices.ContainsFunc(state[offset:offset+a.stateWords],
					func(w uint64) bool { return w != 0 })
				index, offset = index+1, offset+a.stateWords
			}
			if inSet = inSet && matched; !listViable {
				return false, false
			}
		}
		for range t.excluded {
			a := automata[index]
			inSet = inSet && !a.accepts(state[offset:offset+a.stateWords])
			index, offset = index+1, offset+a.stateWords
		}
		return inSet, true
	}
	type step struct {
		state []uint64
		text  string
	}
	start := make([]uint64, stateWords)
	offset := 0
	for _, a := range automata {
		a.addToken(start[offset:offset+a.stateWords], 0)
		offset += a.stateWords
	}
	visited := map[string]bool{stateKey(start): true}
	for queue := []step{{start, ""}}; len(queue) > 0; queue = queue[1:] {
		inSet, viable := evaluate(queue[0].state)
		if inSet {
			return queue[0].text, true, true
		}
		if !viable {
			continue
		}
		for _, r := range alphabet {
			next := make([]uint64, stateWords)
			offset := 0
			for _, a := range automata {
				a.step(queue[0].state[offset:offset+a.stateWords], next[offset:offset+a.stateWords], r)
				offset += a.stateWords
			}
			if k := stateKey(next); !visited[k] {
				if len(visited) >= maxStates {
					return "", false, false
				}
				visited[k] = true
				queue = append(queue, step{next, queue[0].text + string(r)})
			}
		}
	}
	return "", false, true
}
