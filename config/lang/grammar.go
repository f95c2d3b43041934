package lang

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar of one line; docs/operate/configuration.md has it as EBNF. A file is read line by line, so that what is
// wrong in one line hides nothing in the others.

// lineNode is one of the three kinds of lines with code.
type lineNode struct {
	Section *sectionNode
	Match   *matchNode
	Entry   *entryNode
}

type sectionNode struct {
	Pos  lexer.Position
	Kind string    `parser:"'[' @Word"`
	Name *textNode `parser:"@@? ']'"`
}

type matchNode struct {
	Pos  lexer.Position
	Key  string  `parser:"@'match' '='"`
	Expr *orNode `parser:"@@"`
}

type entryNode struct {
	Pos    lexer.Position
	Key    string       `parser:"@Word '='"`
	Values []*valueNode `parser:"@@ ( ',' @@ )*"`
}

type textNode struct {
	Pos    lexer.Position
	Quoted string `parser:"( @String"`
	Bare   string `parser:"| @Word )"`
}

type valueNode struct {
	Pos  lexer.Position
	Text *textNode     `parser:"( @@"`
	From *quantityNode `parser:"| @@"`
	To   *quantityNode `parser:"( '..' @@ )? )"`
}

type quantityNode struct {
	Pos  lexer.Position
	Text string `parser:"@Figure"`
}

type orNode struct {
	Operands []*andNode `parser:"@@ ( 'or' @@ )*"`
}

type andNode struct {
	Operands []*notNode `parser:"@@ ( 'and' @@ )*"`
}

type notNode struct {
	Not   *notNode  `parser:"( 'not' @@"`
	Group *orNode   `parser:"| '(' @@ ')'"`
	Term  *termNode `parser:"| @@ )"`
}

type termNode struct {
	Pos    lexer.Position
	All    bool         `parser:"( @'all'"`
	Field  string       `parser:"| @Word"`
	Op     string       `parser:"( @( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value  *valueNode   `parser:"@@"`
	NotIn  bool         `parser:"| @'not'?"`
	Values []*valueNode `parser:"'in' '(' @@ ( ',' @@ )* ')' ) )"`
}

// The parsers are built on first use, as a controller without an operators' file needs none of them. There is one for
// each kind of line, as how a line begins tells its kind.
var (
	sectionParser = sync.OnceValue(buildParser[sectionNode])
	matchParser   = sync.OnceValue(buildParser[matchNode])
	entryParser   = sync.OnceValue(buildParser[entryNode])
)

func buildParser[N any]() *participle.Parser[N] {
	return participle.MustBuild[N](participle.Lexer(lineLexer{}), participle.UseLookahead(2))
}

// beginsMatch tells a line whose key is match.
func isMatchLine(code string) bool {
	rest, hasKey := strings.CutPrefix(strings.TrimLeft(code, " \t"), "match")
	return hasKey && strings.HasPrefix(strings.TrimLeft(rest, " \t"), "=")
}

// parseLine reads the code of one line. An error names a column from 1.
func parseLine(code string) (*lineNode, *Message) {
	if column := excessNestingColumn(code); column > 0 {
		return nil, &Message{Column: column, Problem: "parentheses and nots go too deep",
			Expected: fmt.Sprintf("at most %d of them within one another", maxNesting)}
	}
	node := &lineNode{}
	var err error
	switch {
	case strings.HasPrefix(strings.TrimLeft(code, " \t"), "["):
		node.Section, err = sectionParser().ParseString("", code)
	case isMatchLine(code):
		node.Match, err = matchParser().ParseString("", code)
	default:
		node.Entry, err = entryParser().ParseString("", code)
	}
	if err == nil {
		return node, nil
	}
	var lexError *syntaxError
	var unexpected *participle.UnexpectedTokenError
	var other participle.Error
	switch {
	case errors.As(err, &lexError):
		return nil, &Message{Column: lexError.column + 1, Problem: lexError.what, Expected: lexError.wanted}
	case errors.As(err, &unexpected):
		problem := "the line ends too early"
		if !unexpected.Unexpected.EOF() {
			problem = quoteOnce(unexpected.Unexpected.Value) + " does not belong here"
			if followsNumber(code, unexpected.Position().Offset) && findUnit(unexpected.Unexpected.Value) != nil {
				return nil, &Message{Column: unexpected.Position().Column, Problem: fmt.Sprintf("a space before the unit %q",
					unexpected.Unexpected.Value), Expected: "the unit right behind its number"}
			}
		}
		return nil, &Message{Column: unexpected.Position().Column, Problem: problem, Expected: expectedSyntax(code)}
	case errors.As(err, &other):
		return nil, &Message{Column: max(other.Position().Column, 1), Problem: other.Message(), Expected: expectedSyntax(code)}
	}
	return nil, &Message{Column: 1, Problem: err.Error(), Expected: expectedSyntax(code)}
}

// shown is a text of the file in a message, in quotes once.
func quoteOnce(text string) string {
	if strings.HasPrefix(text, `"`) {
		return text
	}
	return `"` + text + `"`
}

// behindFigure tells that only spaces are between a place and a number before it.
func followsNumber(code string, offset int) bool {
	before := strings.TrimRight(code[:min(offset, len(code))], " \t")
	return before != "" && before[len(before)-1] >= '0' && before[len(before)-1] <= '9'
}

// tooDeep guards the stack against lines that are nothing but parentheses.
func excessNestingColumn(code string) (column int) {
	depth, nots := 0, 0
	for index, currentColumn := 0, 0; index < len(code); index++ {
		if code[index]&0xc0 != 0x80 {
			currentColumn++
		}
		switch code[index] {
		case '(':
			depth++
		case ')':
			depth--
		case 'n':
			if strings.HasPrefix(code[index:], "not ") || strings.HasPrefix(code[index:], "not(") {
				nots++
			}
		}
		if depth > maxNesting || nots > 4*maxNesting {
			return currentColumn
		}
	}
	return 0
}

// wantedOf says what a line that begins so should look like.
func expectedSyntax(code string) string {
	code = strings.TrimSpace(code)
	key, _, hasEquals := strings.Cut(code, "=")
	switch {
	case strings.HasPrefix(code, "["):
		return `a section such as [pool "norte"]`
	case strings.TrimSpace(key) == "match" && hasEquals:
		return "a match such as: type = consulta and (cost < 2core-s or customer in (inegi, censo-*))"
	}
	return "key = value, or a list of values with commas"
}
