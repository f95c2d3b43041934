package route

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// matchRecursively is a simple reference implementation of Pattern.Matches.
func matchRecursively(tokens []rune, text []rune) bool {
	if len(tokens) == 0 {
		return len(text) == 0
	}
	if tokens[0] == anySequence {
		return matchRecursively(tokens[1:], text) || len(text) > 0 && matchRecursively(tokens, text[1:])
	}
	return len(text) > 0 && (tokens[0] == anyCharacter || tokens[0] == text[0]) && matchRecursively(tokens[1:], text[1:])
}

// TestPatterns checks the methods of a pattern against the reference implementation and against each other.
func TestPatterns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pattern(rapid.StringMatching(`[abñ*?\\]{0,6}`).Draw(t, "pattern"))
		text := rapid.StringMatching(`[abñ*\\]{0,6}`).Draw(t, "text")
		if got, want := p.Matches(text), matchRecursively(p.tokens(), []rune(text)); got != want {
			t.Fatalf("%q on %q: got %v, want %v", p, text, got, want)
		}
		if !Escape(text).Matches(text) {
			t.Fatalf("Escape(%q) does not match its own text", text)
		}
		if literal, isLiteral := p.Literal(); isLiteral &&
			(!p.Matches(literal) || Escape(literal).Matches(text) != p.Matches(text)) {
			t.Fatalf("%q does not match exactly its literal %q", p, literal)
		}
		if p.Matches(text) && !strings.HasPrefix(text, p.literalPrefix()) {
			t.Fatalf("%q matches %q, which does not begin with its literal prefix %q", p, text, p.literalPrefix())
		}
	})
}

// TestHostilePattern uses a pattern for which a naive backtracking matcher takes exponential time.
func TestHostilePattern(t *testing.T) {
	p, text := Pattern(strings.Repeat("*a", 200)+"b"), strings.Repeat("a", 5000)
	if p.Matches(text) || !Pattern(strings.Repeat("*a", 200)).Matches(text) {
		t.Error("wrong result for a pattern of 200 wildcards")
	}
}

// TestBoxes checks that the boxes of a match contain the jobs that satisfy it, and that negation, subtraction and
// intersection of boxes have the result that they have for sets.
func TestBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, o := randomMatch(t, 3), randomMatch(t, 2)
		boxesA, ok := m.expand(false)
		boxesB, ok2 := o.expand(false)
		negation, ok3 := m.expand(true)
		if !ok || !ok2 || !ok3 {
			t.Skip("the match expands to too many boxes")
		}
		difference, common := subtractAll(boxesA, boxesB), intersectAll(boxesA, boxesB)
		for range 20 {
			j := randomJob(t)
			contains := func(list []box) bool {
				return slices.ContainsFunc(list, func(b box) bool { return b.contains(&j) })
			}
			inA, inB := m.Matches(&j), o.Matches(&j)
			if contains(boxesA) != inA || contains(negation) == inA || contains(difference) != (inA && !inB) ||
				contains(common) != (inA && inB) {
				t.Fatalf("%+v: matches a %v, b %v; in boxes of a %v, not a %v, a without b %v, a and b %v", j, inA, inB,
					contains(boxesA), contains(negation), contains(difference), contains(common))
			}
			if (m.Mismatch(&j) == "") != inA {
				t.Fatalf("%+v: the reported mismatch %q contradicts Matches", j, m.Mismatch(&j))
			}
		}
		for _, list := range [][]box{boxesA, negation, difference, common} {
			for n := range list {
				if j, found, known := list[n].example(); found && !list[n].contains(&j) || found && !known {
					t.Fatalf("example %+v is not in its box %+v", j, list[n])
				}
			}
		}
	})
}

// TestEmptySets checks sets of texts where only the combination of the patterns decides whether the set is empty.
func TestEmptySets(t *testing.T) {
	for _, test := range []struct {
		any  [][]Pattern
		none []Pattern
		want bool
	}{
		{[][]Pattern{{"a*"}, {"b*"}}, nil, false},
		{[][]Pattern{{"a*"}, {"*b"}}, nil, true},
		{[][]Pattern{{"a*"}, {"*a"}}, []Pattern{"a*a"}, true}, // the text "a"
		{[][]Pattern{{"a*"}, {"*a"}}, []Pattern{"a*a", "a"}, false},
		{[][]Pattern{{"?*"}}, []Pattern{"a*", "[*", "??*", "b", "c"}, true},
		{[][]Pattern{{"a?", "b?"}, {"?x"}}, []Pattern{"a*", "b*"}, false},
		{[][]Pattern{{"*a*"}, {"*b*"}}, []Pattern{"*ab*", "*ba*", "*a*b*", "*b*a*"}, false},
		{nil, []Pattern{"?*", "?"}, true}, // the empty text
		{nil, []Pattern{"*"}, false},
	} {
		set := textSet{included: test.any, excluded: test.none}.simplify()
		text, found, known := set.example()
		if found != test.want || !known || found && !set.contains(text) {
			t.Errorf("%v without %v: example %q, found %v, known %v", test.any, test.none, text, found, known)
		}
	}
}
