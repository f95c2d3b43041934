// Package statement finds the group of tables that a statement reads or writes.
package statement

import (
	"strconv"
	"strings"
)

// Group is the number behind the last underscore in the name of the schema of the first table named, or -1.
// A name after a word that brings in tables goes before one that may be a column's.
func Group(text string) int64 {
	s := scanner{text: text}
	first, brings := int64(-1), false
	for {
		word, quoted, ok := s.name()
		if !ok {
			return first
		}
		parts := 1
		schema, last := "", word
		for s.dot() {
			next, _, ok := s.name()
			if !ok {
				break
			}
			schema, last, parts = last, next, parts+1
		}
		if parts == 1 {
			brings = !quoted && bringsTables(word) || brings && s.mayQualify(word)
			continue
		}
		if n := number(schema); n >= 0 && brings {
			return n
		} else if first < 0 {
			first = n
		}
		brings = false
	}
}

func bringsTables(word string) bool {
	switch strings.ToLower(word) {
	case "from", "join", "into", "update", "table", "copy", "using", "truncate":
		return true
	}
	return false
}

func number(schema string) int64 {
	at := strings.LastIndexByte(schema, '_')
	if at < 1 || strings.EqualFold(schema, "staging") {
		return -1
	}
	for _, d := range schema[at+1:] {
		if d < '0' || d > '9' {
			return -1
		}
	}
	n, err := strconv.ParseInt(schema[at+1:], 10, 64)
	if err != nil {
		return -1
	}
	return n
}

type scanner struct {
	text string
	at   int
}

// mayQualify tells words that may stand between one that brings in tables and the table.
func (s *scanner) mayQualify(word string) bool {
	switch strings.ToLower(word) {
	case "only", "lateral", "table", "if", "exists", "not", "overwrite":
		return true
	}
	return false
}

// skip passes strings and comments.
func (s *scanner) skip() bool {
	rest := s.text[s.at:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.past(rest, "\n", 2)
	case strings.HasPrefix(rest, "/*"):
		s.comment()
	case rest[0] == '\'':
		escapes := s.at > 0 && (s.text[s.at-1] == 'E' || s.text[s.at-1] == 'e') &&
			(s.at < 2 || !isPart(s.text[s.at-2]))
		s.quoted('\'', escapes)
	case rest[0] == '$':
		if tag := strings.IndexByte(rest[1:], '$'); tag >= 0 && isTag(rest[1:1+tag]) {
			s.past(rest, rest[:tag+2], tag+2)
		} else {
			s.at++
		}
	default:
		return false
	}
	return true
}

func isTag(tag string) bool {
	for i := range len(tag) {
		if !isPart(tag[i]) || tag[i] == '$' || i == 0 && tag[0] >= '0' && tag[0] <= '9' {
			return false
		}
	}
	return true
}

func (s *scanner) past(rest, end string, from int) {
	if n := strings.Index(rest[from:], end); n >= 0 {
		s.at += from + n + len(end)
	} else {
		s.at = len(s.text)
	}
}

// comment passes a block comment; such comments may hold others.
func (s *scanner) comment() {
	depth := 0
	for ; s.at < len(s.text); s.at++ {
		switch rest := s.text[s.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.at++
		case strings.HasPrefix(rest, "*/"):
			s.at++
			if depth--; depth == 0 {
				s.at++
				return
			}
		}
	}
}

// quoted reads up to the closing mark; a doubled one stands for itself.
func (s *scanner) quoted(mark byte, escapes bool) string {
	var b strings.Builder
	for s.at++; s.at < len(s.text); s.at++ {
		switch ch := s.text[s.at]; {
		case ch == '\\' && escapes:
			s.at++
		case ch == mark && s.at+1 < len(s.text) && s.text[s.at+1] == mark:
			s.at++
			b.WriteByte(ch)
		case ch == mark:
			s.at++
			return b.String()
		default:
			b.WriteByte(ch)
		}
	}
	s.at = len(s.text)
	return b.String()
}

func isPart(ch byte) bool {
	return ch == '_' || ch == '$' || ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' ||
		ch >= 0x80
}

// name gives the next name, quoted or not.
func (s *scanner) name() (word string, quoted, ok bool) {
	for s.at < len(s.text) {
		ch := s.text[s.at]
		switch {
		case s.skip():
		case ch == '"' || ch == '`':
			return s.quoted(ch, false), true, true
		case ch >= '0' && ch <= '9': // a number, with what hangs on it
			for s.at < len(s.text) && (isPart(s.text[s.at]) || s.text[s.at] == '.') {
				s.at++
			}
		case isPart(ch):
			from := s.at
			for s.at < len(s.text) && isPart(s.text[s.at]) {
				s.at++
			}
			if s.at < len(s.text) && s.text[s.at] == '\'' && s.at-from == 1 {
				continue // the mark before a string
			}
			return s.text[from:s.at], false, true
		default:
			s.at++
		}
	}
	return "", false, false
}

// dot passes a dot, with room and comments round it.
func (s *scanner) dot() bool {
	at := s.at
	for s.at < len(s.text) {
		switch ch := s.text[s.at]; {
		case ch == '.':
			s.at++
			return true
		case ch == ' ' || ch == '\t' || ch == '\n' || ch == '\r':
			s.at++
		case strings.HasPrefix(s.text[s.at:], "--") || strings.HasPrefix(s.text[s.at:], "/*"):
			s.skip()
		default:
			s.at = at
			return false
		}
	}
	s.at = at
	return false
}
