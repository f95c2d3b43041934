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
	Text *textNode   `parser:"( @@"`
	From *figureNode `parser:"| @@"`
	To   *figureNode `parser:"( '..' @@ )? )"`
}

type figureNode struct {
	Pos  lexer.Position
	Text string `parser:"@Figure"`
}

type orNode struct {
	Of []*andNode `parser:"@@ ( 'or' @@ )*"`
}

type andNode struct {
	Of []*notNode `parser:"@@ ( 'and' @@ )*"`
}

type notNode struct {
	Not  *notNode  `parser:"( 'not' @@"`
	Of   *orNode   `parser:"| '(' @@ ')'"`
	Term *termNode `parser:"| @@ )"`
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
	sections = sync.OnceValue(build[sectionNode])
	matches  = sync.OnceValue(build[matchNode])
	entries  = sync.OnceValue(build[entryNode])
)

func build[N any]() *participle.Parser[N] {
	return participle.MustBuild[N](participle.Lexer(words{}), participle.UseLookahead(2))
}

// beginsMatch tells a line whose key is match.
func beginsMatch(code string) bool {
	rest, is := strings.CutPrefix(strings.TrimLeft(code, " \t"), "match")
	return is && strings.HasPrefix(strings.TrimLeft(rest, " \t"), "=")
}

// parseLine reads the code of one line. An error names a column from 1.
func parseLine(code string) (*lineNode, *Message) {
	if col := tooDeep(code); col > 0 {
		return nil, &Message{Col: col, What: "parentheses and nots go too deep",
			Wanted: fmt.Sprintf("at most %d of them within one another", mostNesting)}
	}
	node := &lineNode{}
	var err error
	switch {
	case strings.HasPrefix(strings.TrimLeft(code, " \t"), "["):
		node.Section, err = sections().ParseString("", code)
	case beginsMatch(code):
		node.Match, err = matches().ParseString("", code)
	default:
		node.Entry, err = entries().ParseString("", code)
	}
	if err == nil {
		return node, nil
	}
	var bad *badText
	var unexpected *participle.UnexpectedTokenError
	var other participle.Error
	switch {
	case errors.As(err, &bad):
		return nil, &Message{Col: bad.col + 1, What: bad.what, Wanted: bad.wanted}
	case errors.As(err, &unexpected):
		what := "the line ends too early"
		if !unexpected.Unexpected.EOF() {
			what = shown(unexpected.Unexpected.Value) + " does not belong here"
			if behindFigure(code, unexpected.Position().Offset) && unitNamed(unexpected.Unexpected.Value) != nil {
				return nil, &Message{Col: unexpected.Position().Column, What: fmt.Sprintf("a space before the unit %q",
					unexpected.Unexpected.Value), Wanted: "the unit right behind its number"}
			}
		}
		return nil, &Message{Col: unexpected.Position().Column, What: what, Wanted: wantedOf(code)}
	case errors.As(err, &other):
		return nil, &Message{Col: max(other.Position().Column, 1), What: other.Message(), Wanted: wantedOf(code)}
	}
	return nil, &Message{Col: 1, What: err.Error(), Wanted: wantedOf(code)}
}

// shown is a text of the file in a message, in quotes once.
func shown(text string) string {
	if strings.HasPrefix(text, `"`) {
		return text
	}
	return `"` + text + `"`
}

// behindFigure tells that only spaces are between a place and a number before it.
func behindFigure(code string, at int) bool {
	before := strings.TrimRight(code[:min(at, len(code))], " \t")
	return before != "" && before[len(before)-1] >= '0' && before[len(before)-1] <= '9'
}

// tooDeep guards the stack against lines that are nothing but parentheses.
func tooDeep(code string) (col int) {
	depth, nots := 0, 0
	for n, at := 0, 0; n < len(code); n++ {
		if code[n]&0xc0 != 0x80 {
			at++
		}
		switch code[n] {
		case '(':
			depth++
		case ')':
			depth--
		case 'n':
			if strings.HasPrefix(code[n:], "not ") || strings.HasPrefix(code[n:], "not(") {
				nots++
			}
		}
		if depth > mostNesting || nots > 4*mostNesting {
			return at
		}
	}
	return 0
}

// wantedOf says what a line that begins so should look like.
func wantedOf(code string) string {
	code = strings.TrimSpace(code)
	key, _, assigns := strings.Cut(code, "=")
	switch {
	case strings.HasPrefix(code, "["):
		return `a section such as [pool "norte"]`
	case strings.TrimSpace(key) == "match" && assigns:
		return "a match such as: type = consulta and (cost < 2core-s or customer in (inegi, censo-*))"
	}
	return "key = value, or a list of values with commas"
}
