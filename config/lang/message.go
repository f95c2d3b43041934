package lang

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Message says what is wrong, and where.
type Message struct {
	File     string    `json:"file"`
	Line     int       `json:"line"` // from 1
	Col      int       `json:"col"`  // in characters, from 1
	Warning  bool      `json:"-"`
	Severity string    `json:"severity"` // error or warning
	What     string    `json:"what"`
	Wanted   string    `json:"wanted,omitempty"`
	Related  []Related `json:"related,omitempty"`
	text     string    // the line
}

// Related is another place that a message speaks of.
type Related struct {
	File string `json:"file"`
	Line int    `json:"line"`
	What string `json:"what"`
}

func (m Message) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s: %s", m.File, m.Line, m.Col, m.severity(), m.What)
	if m.Wanted != "" {
		s += "; wanted: " + m.Wanted
	}
	return s
}

func (m Message) severity() string {
	if m.Warning {
		return "warning"
	}
	return "error"
}

// Messages are what a check found, by place.
type Messages []Message

// Errors tells how many of them are errors.
func (ms Messages) Errors() (n int) {
	for _, m := range ms {
		if !m.Warning {
			n++
		}
	}
	return n
}

// Err is the first error with the number of further ones, or nil.
func (ms Messages) Err() error {
	n := ms.Errors()
	if n == 0 {
		return nil
	}
	first := ms[slices.IndexFunc(ms, func(m Message) bool { return !m.Warning })]
	if n > 1 {
		return fmt.Errorf("%s (and %d more)", first, n-1)
	}
	return fmt.Errorf("%s", first)
}

func (ms Messages) sort() {
	slices.SortStableFunc(ms, func(a, b Message) int {
		return cmp.Or(cmp.Compare(a.File, b.File), a.Line-b.Line, a.Col-b.Col, cmp.Compare(a.What, b.What))
	})
}

// mostShown bounds the part of a line that is shown under a message.
const mostShown = 160

// Print writes each message with its line, and a caret under the place.
func (ms Messages) Print(w io.Writer) error {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString(m.String())
		b.WriteByte('\n')
		if text := []rune(strings.ReplaceAll(m.text, "\t", " ")); len(text) > 0 {
			from := 0
			if m.Col > mostShown/2 {
				from = min(m.Col-mostShown/2, len(text))
			}
			shown := text[from:min(from+mostShown, len(text))]
			fmt.Fprintf(&b, "    %s\n    %s^\n", string(shown), strings.Repeat(" ", max(m.Col-1-from, 0)))
		}
		for _, r := range m.Related {
			fmt.Fprintf(&b, "    %s:%d: %s\n", r.File, r.Line, r.What)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// JSON writes the messages as one array.
func (ms Messages) JSON(w io.Writer) error {
	out := make([]Message, len(ms))
	for n, m := range ms {
		m.Severity = m.severity()
		out[n] = m
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

// near gives the word of a list that was probably meant, or an empty one: the closest within a third of its length.
func near(word string, list []string) string {
	best, least := "", max(len(word)/3+1, min(len(word)-1, 2))
	for _, other := range list {
		if d := distance(word, other, least+1); d < least {
			best, least = other, d
		}
	}
	return best
}

// distance is the number of characters to add, drop, change or swap with a neighbour, or most if it is no less.
func distance(a, b string, most int) int {
	x, y := []rune(a), []rune(b)
	if len(x)-len(y) >= most || len(y)-len(x) >= most || len(x) > 200 || len(y) > 200 {
		return most
	}
	before, last, row := make([]int, len(y)+1), make([]int, len(y)+1), make([]int, len(y)+1)
	for j := range last {
		last[j] = j
	}
	for i := range x {
		row[0] = i + 1
		for j := range y {
			change := 1
			if x[i] == y[j] {
				change = 0
			}
			row[j+1] = min(last[j]+change, last[j+1]+1, row[j]+1)
			if i > 0 && j > 0 && x[i] == y[j-1] && x[i-1] == y[j] {
				row[j+1] = min(row[j+1], before[j-1]+1)
			}
		}
		before, last, row = last, row, before
	}
	return min(last[len(y)], most)
}

func meant(word string, list []string) string {
	if other := near(word, list); other != "" {
		return fmt.Sprintf("; did you mean %q?", other)
	}
	return ""
}
