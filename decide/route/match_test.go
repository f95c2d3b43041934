package route

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// plain matches a pattern the slow way.
func plain(parts []rune, text []rune) bool {
	if len(parts) == 0 {
		return len(text) == 0
	}
	if parts[0] == anything {
		return plain(parts[1:], text) || len(text) > 0 && plain(parts, text[1:])
	}
	return len(text) > 0 && (parts[0] == anyOne || parts[0] == text[0]) && plain(parts[1:], text[1:])
}

func TestPatterns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pattern(rapid.StringMatching(`[abñ*?\\]{0,6}`).Draw(t, "pattern"))
		text := rapid.StringMatching(`[abñ*\\]{0,6}`).Draw(t, "text")
		if got, want := p.Matches(text), plain(p.parts(), []rune(text)); got != want {
			t.Fatalf("%q on %q: %v, wanted %v", p, text, got, want)
		}
		if !Escape(text).Matches(text) {
			t.Fatalf("escaped %q", text)
		}
		if word, is := p.Literal(); is && (!p.Matches(word) || Escape(word).Matches(text) != p.Matches(text)) {
			t.Fatalf("%q is not the literal %q", p, word)
		}
		if p.Matches(text) && !strings.HasPrefix(text, p.prefix()) {
			t.Fatalf("%q on %q: prefix %q", p, text, p.prefix())
		}
	})
}

// TestHostilePattern: one that makes naive matchers take exponential time.
func TestHostilePattern(t *testing.T) {
	p, text := Pattern(strings.Repeat("*a", 200)+"b"), strings.Repeat("a", 5000)
	if p.Matches(text) || !Pattern(strings.Repeat("*a", 200)).Matches(text) {
		t.Error("wrong")
	}
}

// TestBoxes: a match and its boxes mean the same jobs, and boxes subtract as sets do.
func TestBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, o := someMatch(t, 3), someMatch(t, 2)
		a, ok := m.boxes(false)
		b, ok2 := o.boxes(false)
		no, ok3 := m.boxes(true)
		if !ok || !ok2 || !ok3 {
			t.Skip("too wide")
		}
		rest, both := subtract(a, b), meetAll(a, b)
		for range 20 {
			j := someJob(t)
			in := func(list []box) bool { return slices.ContainsFunc(list, func(b box) bool { return b.holds(&j) }) }
			inA, inB := m.Holds(&j), o.Holds(&j)
			if in(a) != inA || in(no) == inA || in(rest) != (inA && !inB) || in(both) != (inA && inB) {
				t.Fatalf("%+v: %v %v, boxes %v, not %v, rest %v, both %v", j, inA, inB, in(a), in(no), in(rest), in(both))
			}
			if (m.Against(&j) == "") != inA {
				t.Fatalf("%+v: against: %q", j, m.Against(&j))
			}
		}
		for _, list := range [][]box{a, no, rest, both} {
			for n := range list {
				if j, found, known := list[n].example(); found && !list[n].holds(&j) || found && !known {
					t.Fatalf("%+v is no example of %+v", j, list[n])
				}
			}
		}
	})
}

// TestEmptySets: sets of texts that are empty for reasons that no single pattern shows.
func TestEmptySets(t *testing.T) {
	for _, c := range []struct {
		any  [][]Pattern
		none []Pattern
		want bool
	}{
		{[][]Pattern{{"a*"}, {"b*"}}, nil, false},
		{[][]Pattern{{"a*"}, {"*b"}}, nil, true},
		{[][]Pattern{{"a*"}, {"*a"}}, []Pattern{"a*a"}, true}, // a itself
		{[][]Pattern{{"a*"}, {"*a"}}, []Pattern{"a*a", "a"}, false},
		{[][]Pattern{{"?*"}}, []Pattern{"a*", "[*", "??*", "b", "c"}, true},
		{[][]Pattern{{"a?", "b?"}, {"?x"}}, []Pattern{"a*", "b*"}, false},
		{[][]Pattern{{"*a*"}, {"*b*"}}, []Pattern{"*ab*", "*ba*", "*a*b*", "*b*a*"}, false},
		{nil, []Pattern{"?*", "?"}, true}, // the empty text
		{nil, []Pattern{"*"}, false},
	} {
		s := textSet{any: c.any, none: c.none}.simple()
		text, found, known := s.example()
		if found != c.want || !known || found && !s.holds(text) {
			t.Errorf("%v without %v: %q %v %v", c.any, c.none, text, found, known)
		}
	}
}
