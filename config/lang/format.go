package lang

import (
	"errors"
	"strings"
	"unicode/utf8"
)

// Format writes a file in its canonical form: one blank line between sections, keys aligned within one, figures in
// their canonical units, texts in quotes only where they need them. Comments and the order of everything stay. A file
// that can't be parsed is an error, with all that is wrong in it.
func Format(path string, raw []byte) ([]byte, error) {
	var messages Messages
	f := parseFile(path, raw, func(m Message) { messages = append(messages, m) })
	if len(messages) > 0 {
		var all []error
		for _, m := range messages[:min(len(messages), mostMessages)] {
			all = append(all, errors.New(m.String()))
		}
		return nil, errors.Join(all...)
	}
	var b strings.Builder
	blank := true // nothing before, so that no blank line is wanted
	for from := 0; from < len(f.lines); {
		// Entries that belong together are aligned: up to the next section, or a blank line.
		to := from
		width := 0
		for to < len(f.lines) && (to == from || f.lines[to].node == nil || f.lines[to].node.Section == nil) &&
			strings.TrimSpace(f.lines[to].text) != "" {
			if key := keyIn(&f.lines[to]); key != "" {
				width = max(width, utf8.RuneCountInString(key))
			}
			to++
		}
		for n := from; n < to; n++ {
			at := &f.lines[n]
			if !blank && (at.node != nil && at.node.Section != nil || leads(f, n)) && !(n > 0 && leads(f, n-1)) {
				b.WriteByte('\n')
			}
			b.WriteString(formatLine(at, width))
			b.WriteByte('\n')
			blank = false
		}
		if to < len(f.lines) && strings.TrimSpace(f.lines[to].text) == "" {
			for to < len(f.lines) && strings.TrimSpace(f.lines[to].text) == "" {
				to++
			}
			if !blank && to < len(f.lines) {
				b.WriteByte('\n')
				blank = true
			}
		}
		from = to
	}
	return []byte(b.String()), nil
}

// leads tells that a line is one of the comments right above a section, which stay with it.
func leads(f *file, n int) bool {
	for ; n < len(f.lines); n++ {
		at := &f.lines[n]
		if at.node != nil {
			return at.node.Section != nil
		}
		if at.comment == "" {
			return false
		}
	}
	return false
}

func keyIn(at *line) string {
	switch {
	case at.node == nil:
		return ""
	case at.node.Match != nil:
		return at.node.Match.Key
	case at.node.Entry != nil:
		return at.node.Entry.Key
	}
	return ""
}

func formatLine(at *line, width int) string {
	code := ""
	switch node := at.node; {
	case node == nil:
	case node.Section != nil:
		code = "[" + node.Section.Kind
		if node.Section.Name != nil {
			code += " " + quoted(node.Section.Name.word())
		}
		code += "]"
	default:
		key := keyIn(at)
		code = key + strings.Repeat(" ", max(width-utf8.RuneCountInString(key), 0)) + " = " + formatValue(node)
	}
	comment := strings.TrimRight(at.comment, " \t")
	switch {
	case code == "":
		return comment
	case comment == "":
		return code
	}
	return code + "  " + comment
}

func quoted(word string) string { return `"` + strings.ReplaceAll(word, `"`, `\"`) + `"` }

// formatValue writes what stands behind a key.
func formatValue(node *lineNode) string {
	if node.Match != nil {
		return formatOr(node.Match.Expr, false)
	}
	var parts []string
	for _, v := range node.Entry.Values {
		parts = append(parts, v.format())
	}
	return strings.Join(parts, ", ")
}

func (v *valueNode) format() string {
	switch {
	case v.Text != nil:
		return bare(v.Text.word())
	case v.To != nil:
		return v.From.format() + ".." + v.To.format()
	}
	return v.From.format()
}

// format writes a figure in its canonical unit; one that means nothing stays as it is, for the checker to say so.
func (f *figureNode) format() string {
	if figure, err := parseFigure(f.Text); err == nil {
		return figure.String()
	}
	return f.Text
}

// bare leaves the quotes off a word that is read the same without them.
func bare(word string) string {
	tokens := &scanner{text: word}
	token, err := tokens.Next()
	if err != nil || token.Type != wordToken || token.Value != word {
		return quoted(word)
	}
	if _, comment := cutComment(word); comment != "" {
		return quoted(word)
	}
	return word
}

func formatOr(node *orNode, inside bool) string {
	var parts []string
	for _, and := range node.Of {
		var all []string
		for _, not := range and.Of {
			all = append(all, formatNot(not))
		}
		parts = append(parts, strings.Join(all, " and "))
	}
	out := strings.Join(parts, " or ")
	if inside {
		return "(" + out + ")"
	}
	return out
}

func formatNot(node *notNode) string {
	switch {
	case node.Not != nil:
		return "not " + formatNot(node.Not)
	case node.Of != nil:
		return formatOr(node.Of, true)
	}
	return formatTerm(node.Term)
}

func formatTerm(node *termNode) string {
	if node.All {
		return "all"
	}
	if node.Value != nil {
		return node.Field + " " + node.Op + " " + node.Value.format()
	}
	var parts []string
	for _, v := range node.Values {
		parts = append(parts, v.format())
	}
	not := ""
	if node.NotIn {
		not = "not "
	}
	return node.Field + " " + not + "in (" + strings.Join(parts, ", ") + ")"
}

// FormatFile reads a file and gives what it holds and what it should.
func FormatFile(path string) (was, now []byte, err error) {
	l := &loader{}
	if was, err = l.readFile(path); err != nil {
		return nil, nil, errors.New(path + ": " + reason(err))
	}
	now, err = Format(path, was)
	return was, now, err
}
