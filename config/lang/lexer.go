package lang

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// The kinds of tokens of a line.
const (
	wordToken    lexer.TokenType = iota + 1 // a bare word, which may hold wildcards
	stringToken                             // in quotes, as it stands in the file
	figureToken                             // a number with what hangs on it: 12ms, 50/s, 20%, 2core-s
	markToken                               // = != < <= > >= ( ) [ ] , ..
	keywordToken                            // and or not in
)

// words is the lexer of one line, without its comment.
type words struct{}

func (words) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{"EOF": lexer.EOF, "Word": wordToken, "String": stringToken,
		"Figure": figureToken, "Mark": markToken, "Keyword": keywordToken}
}

func (w words) Lex(name string, r io.Reader) (lexer.Lexer, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return w.LexString(name, string(text))
}

func (words) LexString(_ string, text string) (lexer.Lexer, error) {
	return &scanner{text: text}, nil
}

type scanner struct {
	text string
	at   int
	col  int // characters before at
}

func isWordStart(r rune) bool {
	return r == '_' || r == '*' || r == '?' || unicode.IsLetter(r)
}

func isWordPart(r rune) bool {
	return isWordStart(r) || r == '-' || r == '.' || r >= '0' && r <= '9'
}

// badText is an error of the lexer, at a column from 0.
type badText struct {
	col          int
	what, wanted string
}

func (b *badText) Error() string { return b.what }

// Next gives the next token; its column counts characters from 1.
func (s *scanner) Next() (lexer.Token, error) {
	for s.at < len(s.text) && (s.text[s.at] == ' ' || s.text[s.at] == '\t') {
		s.at, s.col = s.at+1, s.col+1
	}
	pos := lexer.Position{Offset: s.at, Line: 1, Column: s.col + 1}
	if s.at == len(s.text) {
		return lexer.EOFToken(pos), nil
	}
	rest := s.text[s.at:]
	r, _ := utf8.DecodeRuneInString(rest)
	take := func(kind lexer.TokenType, size int) (lexer.Token, error) {
		s.at += size
		s.col += utf8.RuneCountInString(rest[:size])
		return lexer.Token{Type: kind, Value: rest[:size], Pos: pos}, nil
	}
	switch {
	case r == '"':
		for n := 1; n < len(rest); n++ {
			switch rest[n] {
			case '\\':
				n++
			case '"':
				return take(stringToken, n+1)
			}
		}
		return lexer.Token{}, &badText{s.col, "a text in quotes that does not end", `a closing " on the same line`}
	case r >= '0' && r <= '9':
		size := 0
		for size < len(rest) {
			ch, width := utf8.DecodeRuneInString(rest[size:])
			if ch == '.' && strings.HasPrefix(rest[size:], "..") {
				break
			}
			if !isWordPart(ch) && ch != '/' && ch != '%' && ch != 'µ' {
				break
			}
			size += width
		}
		return take(figureToken, size)
	case rest == `\`:
		return lexer.Token{}, &badText{s.col, "a backslash at the end of the line", "a character behind it, which it takes by its word"}
	case isWordStart(r) || r == '\\':
		size := 0
		for size < len(rest) {
			ch, width := utf8.DecodeRuneInString(rest[size:])
			if ch == '\\' && size+1 < len(rest) {
				_, next := utf8.DecodeRuneInString(rest[size+1:])
				width += next
			} else if !isWordPart(ch) || strings.HasPrefix(rest[size:], "..") {
				break
			}
			size += width
		}
		switch rest[:size] {
		case "and", "or", "not", "in":
			return take(keywordToken, size)
		}
		return take(wordToken, size)
	}
	for _, mark := range [...]string{"..", "!=", "<=", ">=", "=", "<", ">", "(", ")", "[", "]", ","} {
		if strings.HasPrefix(rest, mark) {
			return take(markToken, len(mark))
		}
	}
	return lexer.Token{}, &badText{s.col, fmt.Sprintf("character %q does not belong here", r),
		"a word, a text in quotes, or a number with its unit"}
}

// cutComment splits a line into its code and its comment, which begins with # or ; at the start or after a space,
// outside of quotes.
func cutComment(line string) (code, comment string) {
	quoted := false
	for n := 0; n < len(line); n++ {
		switch ch := line[n]; {
		case quoted && ch == '\\':
			n++
		case ch == '"':
			quoted = !quoted
		case !quoted && (ch == '#' || ch == ';') && (n == 0 || line[n-1] == ' ' || line[n-1] == '\t'):
			return line[:n], line[n:]
		}
	}
	return line, ""
}
