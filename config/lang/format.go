package lang

import (
	"errors"
	"strings"
	"unicode/utf8"
)

// Format returns the canonical form of a file: one blank line between sections, keys aligned within a section, quantities in
// their canonical units, and texts in quotes only if they need them. Comments and the order of lines are preserved. For a file
// that can't be parsed, the error contains the messages of all invalid lines, up to maxMessages.
func Format(path string, raw []byte) ([]byte, error) {
	var messages Messages
	file := parseFile(path, raw, func(m Message) { messages = append(messages, m) })
	if len(messages) > 0 {
		var errs []error
		for _, m := range messages[:min(len(messages), maxMessages)] {
			errs = append(errs, errors.New(m.String()))
		}
		return nil, errors.Join(errs...)
	}
	var out strings.Builder
	afterBlank := true // the output is empty or ends with a blank line, so none is inserted
	for start := 0; start < len(file.lines); {
		// Lines up to the next section or blank line form a block, whose keys are aligned.
		end := start
		width := 0
		for end < len(file.lines) && (end == start || file.lines[end].node == nil || file.lines[end].node.Section == nil) &&
			strings.TrimSpace(file.lines[end].text) != "" {
			if key := lineKey(&file.lines[end]); key != "" {
				width = max(width, utf8.RuneCountInString(key))
			}
			end++
		}
		for index := start; index < end; index++ {
			line := &file.lines[index]
			if !afterBlank && (line.node != nil && line.node.Section != nil || isSectionComment(file, index)) &&
				!(index > 0 && isSectionComment(file, index-1)) {
				out.WriteByte('\n')
			}
			out.WriteString(formatLine(line, width))
			out.WriteByte('\n')
			afterBlank = false
		}
		if end < len(file.lines) && strings.TrimSpace(file.lines[end].text) == "" {
			for end < len(file.lines) && strings.TrimSpace(file.lines[end].text) == "" {
				end++
			}
			if !afterBlank && end < len(file.lines) {
				out.WriteByte('\n')
				afterBlank = true
			}
		}
		start = end
	}
	return []byte(out.String()), nil
}

// isSectionComment reports whether a line is one of the comments directly above a section header, or the header itself. These
// comments are kept together with the header.
func isSectionComment(file *sourceFile, index int) bool {
	for ; index < len(file.lines); index++ {
		line := &file.lines[index]
		if line.node != nil {
			return line.node.Section != nil
		}
		if line.comment == "" {
			return false
		}
	}
	return false
}

// lineKey returns the key of a line, or an empty string for lines without one.
func lineKey(line *sourceLine) string {
	switch {
	case line.node == nil:
		return ""
	case line.node.Match != nil:
		return line.node.Match.Key
	case line.node.Entry != nil:
		return line.node.Entry.Key
	}
	return ""
}

// formatLine returns the canonical form of a line. Keys are padded to width characters.
func formatLine(line *sourceLine, width int) string {
	code := ""
	switch node := line.node; {
	case node == nil:
	case node.Section != nil:
		code = "[" + node.Section.Kind
		if node.Section.Name != nil {
			code += " " + quote(node.Section.Name.word())
		}
		code += "]"
	default:
		key := lineKey(line)
		code = key + strings.Repeat(" ", max(width-utf8.RuneCountInString(key), 0)) + " = " + formatValue(node)
	}
	comment := strings.TrimRight(line.comment, " \t")
	switch {
	case code == "":
		return comment
	case comment == "":
		return code
	}
	return code + "  " + comment
}

func quote(word string) string { return `"` + strings.ReplaceAll(word, `"`, `\"`) + `"` }

// formatValue returns the canonical form of the value of a key.
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
		return quoteIfNeeded(v.Text.word())
	case v.To != nil:
		return v.From.format() + ".." + v.To.format()
	}
	return v.From.format()
}

// format returns a quantity in its canonical unit. An invalid one is returned unchanged; the checker reports it.
func (q *quantityNode) format() string {
	if quantity, err := parseQuantity(q.Text); err == nil {
		return quantity.String()
	}
	return q.Text
}

// quoteIfNeeded returns a text without quotes if the lexer reads it as the same single word, and in quotes otherwise.
func quoteIfNeeded(word string) string {
	tokens := &scanner{text: word}
	token, err := tokens.Next()
	if err != nil || token.Type != wordToken || token.Value != word {
		return quote(word)
	}
	if _, comment := cutComment(word); comment != "" {
		return quote(word)
	}
	return word
}

// formatOr returns the canonical form of an expression, in parentheses if it is part of another one.
func formatOr(node *orNode, parenthesized bool) string {
	var alternatives []string
	for _, and := range node.Operands {
		var operands []string
		for _, not := range and.Operands {
			operands = append(operands, formatNot(not))
		}
		alternatives = append(alternatives, strings.Join(operands, " and "))
	}
	text := strings.Join(alternatives, " or ")
	if parenthesized {
		return "(" + text + ")"
	}
	return text
}

func formatNot(node *notNode) string {
	switch {
	case node.Not != nil:
		return "not " + formatNot(node.Not)
	case node.Group != nil:
		return formatOr(node.Group, true)
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

// FormatFile reads a file and returns its content and its canonical form.
func FormatFile(path string) (original, formatted []byte, err error) {
	l := &loader{}
	if original, err = l.readBounded(path); err != nil {
		return nil, nil, errors.New(path + ": " + reason(err))
	}
	formatted, err = Format(path, original)
	return original, formatted, err
}
