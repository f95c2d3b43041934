package lang

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// The types of tokens in a line.
const (
	wordToken        lexer.TokenType = iota + 1 // a word without quotes, which may contain wildcards
	stringToken                                 // a text in quotes, as written in the file
	quantityToken                               // a number with its unit: 12ms, 50/s, 20%, 2core-s
	punctuationToken                            // = != < <= > >= ( ) [ ] , ..
	keywordToken                                // and or not in
)

// lineLexer splits one line without its comment into tokens.
type lineLexer struct{}

func (lineLexer) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{"EOF": lexer.EOF, "Word": wordToken, "String": stringToken,
		"Figure": quantityToken, "Mark": punctuationToken, "Keyword": keywordToken}
}

func (w lineLexer) Lex(name string, r io.Reader) (lexer.Lexer, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return w.LexString(name, string(text))
}

func (lineLexer) LexString(_ string, text string) (lexer.Lexer, error) {
	return &scanner{text: text}, nil
}

// scanner scans one line.
type scanner struct {
	text   string
	offset int
	column int // number of characters before offset
}

// isWordStart reports whether a word without quotes can begin with r. * and ? are wildcards.
func isWordStart(r rune) bool {
	return r == '_' || r == '*' || r == '?' || unicode.IsLetter(r)
}

// isWordPart reports whether a word without quotes can continue with r.
func isWordPart(r rune) bool {
	return isWordStart(r) || r == '-' || r == '.' || r >= '0' && r <= '9'
}

// syntaxError is an error of the lexer. The column is counted from 0.
type syntaxError struct {
	column            int
	problem, expected string
}

func (e *syntaxError) Error() string { return e.problem }

// Next returns the next token. Its column is counted in characters, from 1.
func (s *scanner) Next() (lexer.Token, error) {
	for s.offset < len(s.text) && (s.text[s.offset] == ' ' || s.text[s.offset] == '\t') {
		s.offset, s.column = s.offset+1, s.column+1
	}
	pos := lexer.Position{Offset: s.offset, Line: 1, Column: s.column + 1}
	if s.offset == len(s.text) {
		return lexer.EOFToken(pos), nil
	}
	rest := s.text[s.offset:]
	r, _ := utf8.DecodeRuneInString(rest)
	emit := func(kind lexer.TokenType, size int) (lexer.Token, error) {
		s.offset += size
		s.column += utf8.RuneCountInString(rest[:size])
		return lexer.Token{Type: kind, Value: rest[:size], Pos: pos}, nil
	}
	switch {
	case r == '"':
		for index := 1; index < len(rest); index++ {
			switch rest[index] {
			case '\\':
				index++
			case '"':
				return emit(stringToken, index+1)
			}
		}
		return lexer.Token{}, &syntaxError{s.column, "a text in quotes that does not end", `a closing " on the same line`}
	case r >= '0' && r <= '9':
		size := 0
		for size < len(rest) {
			char, width := utf8.DecodeRuneInString(rest[size:])
			if char == '.' && strings.HasPrefix(rest[size:], "..") {
				break
			}
			if !isWordPart(char) && char != '/' && char != '%' && char != 'µ' {
				break
			}
			size += width
		}
		return emit(quantityToken, size)
	case rest == `\`:
		return lexer.Token{}, &syntaxError{s.column, "a backslash at the end of the line",
			"a character after it, which the backslash makes literal"}
	case isWordStart(r) || r == '\\':
		size := 0
		for size < len(rest) {
			char, width := utf8.DecodeRuneInString(rest[size:])
			if char == '\\' && size+1 < len(rest) {
				_, next := utf8.DecodeRuneInString(rest[size+1:])
				width += next
			} else if !isWordPart(char) || strings.HasPrefix(rest[size:], "..") {
				break
			}
			size += width
		}
		switch rest[:size] {
		case "and", "or", "not", "in":
			return emit(keywordToken, size)
		}
		return emit(wordToken, size)
	}
	for _, punctuation := range [...]string{"..", "!=", "<=", ">=", "=", "<", ">", "(", ")", "[", "]", ","} {
		if strings.HasPrefix(rest, punctuation) {
			return emit(punctuationToken, len(punctuation))
		}
	}
	return lexer.Token{}, &syntaxError{s.column, fmt.Sprintf("character %q does not belong here", r),
		"a word, a text in quotes, or a number with its unit"}
}

// cutComment splits a line into its code and its comment. A comment begins with # or ; outside of quotes, at the start of the
// line or after a space or tab.
func cutComment(line string) (code, comment string) {
	quoted := false
	for index := 0; index < len(line); index++ {
		switch char := line[index]; {
		case quoted && char == '\\':
			index++
		case char == '"':
			quoted = !quoted
		case !quoted && (char == '#' || char == ';') && (index == 0 || line[index-1] == ' ' || line[index-1] == '\t'):
			return line[:index], line[index:]
		}
	}
	return line, ""
}
