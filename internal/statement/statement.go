// Package statement finds the table group that an SQL statement reads or writes. The schema of a table carries the number of the
// group, as in sales_17.orders.
package statement

import (
	"strconv"
	"strings"
)

// TableGroup returns the number after the last underscore in the name of a table's schema, or -1 if no schema has one. The first table
// whose schema has such a number decides. A qualified name after a keyword that introduces tables takes precedence over an
// earlier one elsewhere, which may be a column's.
func TableGroup(text string) int64 {
	s := scanner{text: text}
	firstGroup, tableExpected := int64(-1), false
	for {
		word, quoted, ok := s.nextName()
		if !ok {
			return firstGroup
		}
		parts := 1
		schema, lastPart := "", word
		for s.acceptDot() {
			next, _, ok := s.nextName()
			if !ok {
				break
			}
			schema, lastPart, parts = lastPart, next, parts+1
		}
		if parts == 1 {
			tableExpected = !quoted && introducesTable(word) || tableExpected && s.mayPrecedeTable(word)
			continue
		}
		if group := groupNumber(schema); group >= 0 && tableExpected {
			return group
		} else if firstGroup < 0 {
			firstGroup = group
		}
		tableExpected = false
	}
}

// introducesTable reports whether a table name may follow the keyword.
func introducesTable(word string) bool {
	switch strings.ToLower(word) {
	case "from", "join", "into", "update", "table", "copy", "using", "truncate":
		return true
	}
	return false
}

// groupNumber returns the number after the last underscore of a schema name, or -1 if there is none.
func groupNumber(schema string) int64 {
	underscore := strings.LastIndexByte(schema, '_')
	if underscore < 1 || strings.EqualFold(schema, "staging") {
		return -1
	}
	for _, digit := range schema[underscore+1:] {
		if digit < '0' || digit > '9' {
			return -1
		}
	}
	n, err := strconv.ParseInt(schema[underscore+1:], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// scanner reads the names in an SQL text.
type scanner struct {
	text string
	pos  int
}

// mayPrecedeTable reports whether the keyword may stand between a keyword that introduces tables and the table name.
func (s *scanner) mayPrecedeTable(word string) bool {
	switch strings.ToLower(word) {
	case "only", "lateral", "table", "if", "exists", "not", "overwrite":
		return true
	}
	return false
}

// skipStringOrComment moves past a string or comment that begins at the current position, or past a dollar sign that begins no
// dollar-quoted string. It reports whether it moved.
func (s *scanner) skipStringOrComment() bool {
	rest := s.text[s.pos:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.skipPast(rest, "\n", 2)
	case strings.HasPrefix(rest, "/*"):
		s.skipBlockComment()
	case rest[0] == '\'':
		escapes := s.pos > 0 && (s.text[s.pos-1] == 'E' || s.text[s.pos-1] == 'e') &&
			(s.pos < 2 || !isNameByte(s.text[s.pos-2]))
		s.readQuoted('\'', escapes)
	case rest[0] == '$':
		if tagBytes := strings.IndexByte(rest[1:], '$'); tagBytes >= 0 && isDollarQuoteTag(rest[1:1+tagBytes]) {
			s.skipPast(rest, rest[:tagBytes+2], tagBytes+2)
		} else {
			s.pos++
		}
	default:
		return false
	}
	return true
}

// isDollarQuoteTag reports whether tag may stand between the dollar signs that delimit a dollar-quoted string; it may be empty.
func isDollarQuoteTag(tag string) bool {
	for i := range len(tag) {
		if !isNameByte(tag[i]) || tag[i] == '$' || i == 0 && tag[0] >= '0' && tag[0] <= '9' {
			return false
		}
	}
	return true
}

// skipPast moves past the first terminator at or after offset in rest, which is the text from the current position on, or to the end
// of the text if there is none.
func (s *scanner) skipPast(rest, terminator string, offset int) {
	if index := strings.Index(rest[offset:], terminator); index >= 0 {
		s.pos += offset + index + len(terminator)
	} else {
		s.pos = len(s.text)
	}
}

// skipBlockComment moves past a block comment, which may contain nested ones.
func (s *scanner) skipBlockComment() {
	depth := 0
	for ; s.pos < len(s.text); s.pos++ {
		switch rest := s.text[s.pos:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos++
		case strings.HasPrefix(rest, "*/"):
			s.pos++
			if depth--; depth == 0 {
				s.pos++
				return
			}
		}
	}
}

// readQuoted reads a quoted string or name and returns its content. A doubled quote stands for one quote. With escapes, a backslash
// escapes the next character; both are left out of the content.
func (s *scanner) readQuoted(quote byte, escapes bool) string {
	var content strings.Builder
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch ch := s.text[s.pos]; {
		case ch == '\\' && escapes:
			s.pos++
		case ch == quote && s.pos+1 < len(s.text) && s.text[s.pos+1] == quote:
			s.pos++
			content.WriteByte(ch)
		case ch == quote:
			s.pos++
			return content.String()
		default:
			content.WriteByte(ch)
		}
	}
	s.pos = len(s.text)
	return content.String()
}

// isNameByte reports whether ch may be part of an unquoted name. Bytes of non-ASCII characters may.
func isNameByte(ch byte) bool {
	return ch == '_' || ch == '$' || ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' ||
		ch >= 0x80
}

// nextName returns the next name or keyword; ok is false at the end of the text.
func (s *scanner) nextName() (word string, quoted, ok bool) {
	for s.pos < len(s.text) {
		ch := s.text[s.pos]
		switch {
		case s.skipStringOrComment():
		case ch == '"' || ch == '`':
			return s.readQuoted(ch, false), true, true
		case ch >= '0' && ch <= '9': // a number, with any letters attached to it
			for s.pos < len(s.text) && (isNameByte(s.text[s.pos]) || s.text[s.pos] == '.') {
				s.pos++
			}
		case isNameByte(ch):
			start := s.pos
			for s.pos < len(s.text) && isNameByte(s.text[s.pos]) {
				s.pos++
			}
			if s.pos < len(s.text) && s.text[s.pos] == '\'' && s.pos-start == 1 {
				continue // the prefix of a string, such as E
			}
			return s.text[start:s.pos], false, true
		default:
			s.pos++
		}
	}
	return "", false, false
}

// acceptDot moves past a dot and any white space and comments before it. If no dot follows, it reports false and does not move.
func (s *scanner) acceptDot() bool {
	start := s.pos
	for s.pos < len(s.text) {
		switch ch := s.text[s.pos]; {
		case ch == '.':
			s.pos++
			return true
		case ch == ' ' || ch == '\t' || ch == '\n' || ch == '\r':
			s.pos++
		case strings.HasPrefix(s.text[s.pos:], "--") || strings.HasPrefix(s.text[s.pos:], "/*"):
			s.skipStringOrComment()
		default:
			s.pos = start
			return false
		}
	}
	s.pos = start
	return false
}
