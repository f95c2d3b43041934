package lang

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"yarrowbarrow/decide/route"
)

// termInfo describes a field of jobs that a match can test.
type termInfo struct {
	name  string
	field route.Field
	kind  unitKind // of quantities; unused for text fields
}

// terms lists the fields that a match can test.
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

// buildMatch builds a match from an expression. The result is not usable if an error was reported.
func (c *checker) buildMatch(line *sourceLine, node *orNode) *route.Match {
	var alternatives []*route.Match
	for _, and := range node.Operands {
		var conditions []*route.Match
		for _, not := range and.Operands {
			conditions = append(conditions, c.buildNot(line, not))
		}
		alternatives = append(alternatives, combine(route.And, conditions))
	}
	return combine(route.Or, alternatives)
}

// combine joins matches with an operator; a single match is returned as it is.
func combine(op route.Op, operands []*route.Match) *route.Match {
	if len(operands) == 1 {
		return operands[0]
	}
	return &route.Match{Op: op, Operands: operands}
}

func (c *checker) buildNot(line *sourceLine, node *notNode) *route.Match {
	switch {
	case node.Not != nil:
		return &route.Match{Op: route.Not, Operands: []*route.Match{c.buildNot(line, node.Not)}}
	case node.Group != nil:
		return c.buildMatch(line, node.Group)
	}
	return c.buildTerm(line, node.Term)
}

func (c *checker) buildTerm(line *sourceLine, node *termNode) *route.Match {
	if node.All {
		return &route.Match{}
	}
	for _, term := range terms {
		if term.name != node.Field {
			continue
		}
		match := &route.Match{Op: route.In, Field: term.field, Source: formatTerm(node)}
		if term.field < route.Tables {
			return c.buildTextTerm(line, node, match)
		}
		return c.buildQuantityTerm(line, node, match, term.kind)
	}
	c.reportError(line, node.Pos.Column, fmt.Sprintf("a match knows no %q%s", node.Field, suggestion(node.Field, termNames())),
		"one of "+strings.Join(termNames(), ", "))
	return &route.Match{}
}

// buildTextTerm builds the match of a term over a text field.
func (c *checker) buildTextTerm(line *sourceLine, node *termNode, match *route.Match) *route.Match {
	values := node.Values
	if node.Value != nil {
		values = []*valueNode{node.Value}
	}
	if node.Op != "" && node.Op != "=" && node.Op != "!=" {
		c.reportError(line, node.Pos.Column, fmt.Sprintf("%s is a text, which is not larger or smaller", node.Field),
			"=, !=, in or not in")
	}
	for _, value := range values {
		if value.To != nil {
			c.reportError(line, value.Pos.Column, fmt.Sprintf("%s is a text, which has no ranges", node.Field), "a list of texts")
			continue
		}
		word := value.word()
		match.Texts = append(match.Texts, route.Pattern(word))
		c.checkKnownText(line, value.Pos.Column, match.Field, route.Pattern(word))
	}
	if node.Op == "!=" || node.NotIn {
		return &route.Match{Op: route.Not, Operands: []*route.Match{match}}
	}
	return match
}

// checkKnownText reports a pattern that matches no type, customer or front of the platform. An empty list allows all.
func (c *checker) checkKnownText(line *sourceLine, column int, field route.Field, pattern route.Pattern) {
	if c.platform == nil {
		return
	}
	var known []string
	switch field {
	case route.Type:
		for _, class := range c.platform.Classes {
			known = append(known, class.Name)
		}
	case route.Customer:
		known = c.platform.Customers
	case route.Front:
		known = c.platform.Fronts
	}
	if len(known) == 0 || slices.ContainsFunc(known, pattern.Matches) {
		return
	}
	shown := known
	if len(shown) > 8 {
		shown = append(slices.Clone(shown[:8]), "…")
	}
	c.reportError(line, column, fmt.Sprintf("the platform has no %s %q%s", field, pattern, suggestion(string(pattern), known)),
		"one of "+strings.Join(shown, ", "))
}

// buildQuantityTerm builds the match of a term over a numeric field, as ranges of values. No range holds for a job that does not
// state the field, so neither does a !=.
func (c *checker) buildQuantityTerm(line *sourceLine, node *termNode, match *route.Match, kind unitKind) *route.Match {
	spec := &keySpec{name: node.Field, form: quantityForm, kind: kind, max: math.MaxInt64}
	read := func(number *quantityNode) (int64, bool) {
		quantity, ok := c.readQuantity(line, number, spec)
		return quantity.Value, ok
	}
	isNumber := func(value *valueNode) bool {
		if value.From == nil {
			c.reportError(line, value.Pos.Column, fmt.Sprintf("%s: %q is no number", node.Field, value.word()), c.expectedValue(spec))
		}
		return value.From != nil
	}
	if node.Value != nil {
		value := node.Value
		if !isNumber(value) {
			return match
		}
		if value.To != nil {
			c.reportError(line, value.Pos.Column, "a range behind "+node.Op, fmt.Sprintf("%s in (1..20)", node.Field))
			return match
		}
		bound, ok := read(value.From)
		if !ok {
			return match
		}
		switch node.Op {
		case "=":
			match.Ranges = []route.Range{{From: bound, To: bound}}
		case "<":
			match.Ranges = []route.Range{{From: 0, To: bound - 1}}
		case "<=":
			match.Ranges = []route.Range{{From: 0, To: bound}}
		case ">":
			match.Ranges = []route.Range{{From: min(bound, math.MaxInt64-1) + 1, To: math.MaxInt64}}
		case ">=":
			match.Ranges = []route.Range{{From: bound, To: math.MaxInt64}}
		case "!=":
			match.Ranges = []route.Range{{From: 0, To: bound - 1}, {From: min(bound, math.MaxInt64-1) + 1, To: math.MaxInt64}}
		}
		return match
	}
	for _, value := range node.Values {
		if !isNumber(value) {
			continue
		}
		from, ok := read(value.From)
		to := from
		if value.To != nil {
			var toOK bool
			to, toOK = read(value.To)
			ok = ok && toOK
		}
		if !ok {
			continue
		}
		if to < from {
			c.reportError(line, value.Pos.Column, fmt.Sprintf("%s: the range ends before it begins", node.Field), "the smaller figure first")
			continue
		}
		match.Ranges = append(match.Ranges, route.Range{From: from, To: to})
	}
	if node.NotIn {
		// Like any comparison, not in does not hold for a job that does not state the field.
		return &route.Match{Op: route.And, Operands: []*route.Match{
			{Op: route.In, Field: match.Field, Ranges: []route.Range{{From: 0, To: math.MaxInt64}}, Source: node.Field + " is stated"},
			{Op: route.Not, Operands: []*route.Match{match}}}}
	}
	return match
}
