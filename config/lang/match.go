package lang

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yarrowbarrow/decide/route"
)

type termInfo struct {
	name  string
	field route.Field
	kind  unitKind // of figures
}

// terms are what a match may look at.
var terms = []termInfo{
	{"type", route.Type, 0}, {"customer", route.Customer, 0}, {"front", route.Front, 0},
	{"tables", route.Tables, count}, {"cost", route.Cost, work}, {"memory", route.Memory, size},
	{"left", route.Left, duration},
}

func termNames() (names []string) {
	for _, t := range terms {
		names = append(names, t.name)
	}
	return names
}

// match makes a match of an expression.
func (c *checker) match(at *line, node *orNode) *route.Match {
	var of []*route.Match
	for _, and := range node.Of {
		var all []*route.Match
		for _, not := range and.Of {
			all = append(all, c.not(at, not))
		}
		of = append(of, joined(route.And, all))
	}
	return joined(route.Or, of)
}

func joined(op route.Op, of []*route.Match) *route.Match {
	if len(of) == 1 {
		return of[0]
	}
	return &route.Match{Op: op, Of: of}
}

func (c *checker) not(at *line, node *notNode) *route.Match {
	switch {
	case node.Not != nil:
		return &route.Match{Op: route.Not, Of: []*route.Match{c.not(at, node.Not)}}
	case node.Of != nil:
		return c.match(at, node.Of)
	}
	return c.term(at, node.Term)
}

func (c *checker) term(at *line, node *termNode) *route.Match {
	if node.All {
		return &route.Match{}
	}
	for _, t := range terms {
		if t.name != node.Field {
			continue
		}
		m := &route.Match{Op: route.In, Field: t.field, Source: formatTerm(node)}
		if t.field < route.Tables {
			return c.texts(at, node, m)
		}
		return c.figures(at, node, m, t.kind)
	}
	c.say(at, node.Pos.Column, fmt.Sprintf("a match knows no %q%s", node.Field, meant(node.Field, termNames())),
		"one of "+strings.Join(termNames(), ", "))
	return &route.Match{}
}

func (c *checker) texts(at *line, node *termNode, m *route.Match) *route.Match {
	values := node.Values
	if node.Value != nil {
		values = []*valueNode{node.Value}
	}
	if node.Op != "" && node.Op != "=" && node.Op != "!=" {
		c.say(at, node.Pos.Column, fmt.Sprintf("%s is a text, which is not larger or smaller", node.Field),
			"=, !=, in or not in")
	}
	for _, v := range values {
		if v.To != nil {
			c.say(at, v.Pos.Column, fmt.Sprintf("%s is a text, which has no ranges", node.Field), "a list of texts")
			continue
		}
		word := v.word()
		m.Texts = append(m.Texts, route.Pattern(word))
		c.known(at, v.Pos.Column, m.Field, route.Pattern(word))
	}
	if node.Op == "!=" || node.NotIn {
		return &route.Match{Op: route.Not, Of: []*route.Match{m}}
	}
	return m
}

// known checks that a text that a term names is one that the platform has.
func (c *checker) known(at *line, col int, f route.Field, p route.Pattern) {
	if c.platform == nil {
		return
	}
	var list []string
	switch f {
	case route.Type:
		for _, t := range c.platform.Classes {
			list = append(list, t.Name)
		}
	case route.Customer:
		list = c.platform.Customers
	case route.Front:
		list = c.platform.Fronts
	}
	if len(list) == 0 || slices.ContainsFunc(list, p.Matches) {
		return
	}
	shown := list
	if len(shown) > 8 {
		shown = append(slices.Clone(shown[:8]), "…")
	}
	c.say(at, col, fmt.Sprintf("the platform has no %s %q%s", f, p, meant(string(p), list)), "one of "+strings.Join(shown, ", "))
}

func (c *checker) figures(at *line, node *termNode, m *route.Match, kind unitKind) *route.Match {
	k := &key{name: node.Field, form: figureForm, kind: kind, most: math.MaxInt64}
	read := func(f *figureNode) (int64, bool) {
		out, ok := c.figure(at, f, k)
		return out.Value, ok
	}
	whole := func(v *valueNode) bool {
		if v.From == nil {
			c.say(at, v.Pos.Column, fmt.Sprintf("%s: %q is no number", node.Field, v.word()), c.wanted(k))
		}
		return v.From != nil
	}
	if node.Value != nil {
		v := node.Value
		if !whole(v) {
			return m
		}
		if v.To != nil {
			c.say(at, v.Pos.Column, "a range behind "+node.Op, fmt.Sprintf("%s in (1..20)", node.Field))
			return m
		}
		x, ok := read(v.From)
		if !ok {
			return m
		}
		switch node.Op {
		case "=":
			m.Ranges = []route.Range{{From: x, To: x}}
		case "<":
			m.Ranges = []route.Range{{From: 0, To: x - 1}}
		case "<=":
			m.Ranges = []route.Range{{From: 0, To: x}}
		case ">":
			m.Ranges = []route.Range{{From: min(x, math.MaxInt64-1) + 1, To: math.MaxInt64}}
		case ">=":
			m.Ranges = []route.Range{{From: x, To: math.MaxInt64}}
		case "!=":
			m.Ranges = []route.Range{{From: 0, To: x - 1}, {From: min(x, math.MaxInt64-1) + 1, To: math.MaxInt64}}
		}
		return m
	}
	for _, v := range node.Values {
		if !whole(v) {
			continue
		}
		from, ok := read(v.From)
		to := from
		if v.To != nil {
			var fine bool
			to, fine = read(v.To)
			ok = ok && fine
		}
		if !ok {
			continue
		}
		if to < from {
			c.say(at, v.Pos.Column, fmt.Sprintf("%s: the range ends before it begins", node.Field), "the smaller figure first")
			continue
		}
		m.Ranges = append(m.Ranges, route.Range{From: from, To: to})
	}
	if node.NotIn {
		// A comparison, which does not hold for what is not told.
		return &route.Match{Op: route.And, Of: []*route.Match{
			{Op: route.In, Field: m.Field, Ranges: []route.Range{{From: 0, To: math.MaxInt64}}, Source: node.Field + " is told"},
			{Op: route.Not, Of: []*route.Match{m}}}}
	}
	return m
}
