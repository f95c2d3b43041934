package lang

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types below are the grammar of one line; docs/operate/configuration.md has it as EBNF. A file is parsed line by line, so
// that an error in one line does not hide errors in the others.

// lineNode is a line with code. Exactly one of its fields is set.
type lineNode struct {
	Section *sectionNode
	Match   *matchNode
	Entry   *entryNode
}

// sectionNode is a section header, such as [pool "a"].
type sectionNode struct {
	Pos  lexer.Position
	Kind string    `parser:"'[' @Word"`
	Name *textNode `parser:"@@? ']'"`
}

// matchNode is the match line of a route.
type matchNode struct {
	Pos  lexer.Position
	Key  string  `parser:"@'match' '='"`
	Expr *orNode `parser:"@@"`
}

// entryNode is a key with its values, which are separated by commas.
type entryNode struct {
	Pos    lexer.Position
	Key    string       `parser:"@Word '='"`
	Values []*valueNode `parser:"@@ ( ',' @@ )*"`
}

// textNode is a text with or without quotes. Quoted includes the quotes.
type textNode struct {
	Pos    lexer.Position
	Quoted string `parser:"( @String"`
	Bare   string `parser:"| @Word )"`
}

// valueNode is a text, or a number, or a range of numbers. A single number is in From.
type valueNode struct {
	Pos  lexer.Position
	Text *textNode     `parser:"( @@"`
	From *quantityNode `parser:"| @@"`
	To   *quantityNode `parser:"( '..' @@ )? )"`
}

// quantityNode is a number with its unit, as written.
type quantityNode struct {
	Pos  lexer.Position
	Text string `parser:"@Figure"`
}

// orNode is an expression of a match: a disjunction of conjunctions, as and binds tighter than or.
type orNode struct {
	Operands []*andNode `parser:"@@ ( 'or' @@ )*"`
}

// andNode is a conjunction of conditions.
type andNode struct {
	Operands []*notNode `parser:"@@ ( 'and' @@ )*"`
}

// notNode is a negation, an expression in parentheses or a term.
type notNode struct {
	Not   *notNode  `parser:"( 'not' @@"`
	Group *orNode   `parser:"| '(' @@ ')'"`
	Term  *termNode `parser:"| @@ )"`
}

// termNode is all, a comparison with one value, or a test whether a field is in a list of values.
type termNode struct {
	Pos    lexer.Position
	All    bool         `parser:"( @'all'"`
	Field  string       `parser:"| @Word"`
	Op     string       `parser:"( @( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value  *valueNode   `parser:"@@"`
	NotIn  bool         `parser:"| @'not'?"`
	Values []*valueNode `parser:"'in' '(' @@ ( ',' @@ )* ')' ) )"`
}

// The parsers are built on first use, because a controller without an operators' file needs none of them. Each kind of line has
// a parser of its own, because the beginning of a line determines its kind.
var (
	sectionParser = sync.OnceValue(buildParser[sectionNode])
	matchParser   = sync.OnceValue(buildParser[matchNode])
	entryParser   = sync.OnceValue(buildParser[entryNode])
)

func buildParser[N any]() *participle.Parser[N] {
	return participle.MustBuild[N](participle.Lexer(lineLexer{}), participle.UseLookahead(2))
}

// isMatchLine reports whether the key of a line is match.
func isMatchLine(code string) bool {
	rest, hasKey := strings.CutPrefix(strings.TrimLeft(code, " \t"), "match")
	return hasKey && strings.HasPrefix(strings.TrimLeft(rest, " \t"), "=")
}

// parseLine parses the code of one line. An error has a column, counted from 1, but no file and line.
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
		return nil, &Message{Column: lexError.column + 1, Problem: lexError.problem, Expected: lexError.expected}
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

// quoteOnce puts a token in quotes for a message, unless it is a string with quotes already.
func quoteOnce(text string) string {
	if strings.HasPrefix(text, `"`) {
		return text
	}
	return `"` + text + `"`
}

// followsNumber reports whether the text before a byte offset ends with a digit, apart from spaces.
func followsNumber(code string, offset int) bool {
	before := strings.TrimRight(code[:min(offset, len(code))], " \t")
	return before != "" && before[len(before)-1] >= '0' && before[len(before)-1] <= '9'
}

// excessNestingColumn returns the column at which a line exceeds the limits on nesting, or 0. It protects the stack of the
// recursive parser. Parentheses count by depth, up to maxNesting; all nots of a line count together, up to 4*maxNesting.
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

// expectedSyntax describes the syntax of the kind of line that code begins like.
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
