package lang

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Message is an error or a warning about a place in a file.
type Message struct {
	File     string    `json:"file"`
	Line     int       `json:"line"` // from 1
	Column   int       `json:"col"`  // in characters, from 1
	Warning  bool      `json:"-"`
	Severity string    `json:"severity"` // error or warning
	Problem  string    `json:"what"`
	Expected string    `json:"wanted,omitempty"`
	Related  []Related `json:"related,omitempty"`
	source   string    // text of the line
}

// Related is another place that a message refers to.
type Related struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Note string `json:"what"`
}

func (m Message) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s: %s", m.File, m.Line, m.Column, m.severity(), m.Problem)
	if m.Expected != "" {
		text += "; wanted: " + m.Expected
	}
	return text
}

func (m Message) severity() string {
	if m.Warning {
		return "warning"
	}
	return "error"
}

// Messages are the findings of a check, sorted by place.
type Messages []Message

// ErrorCount returns the number of errors, without warnings.
func (messages Messages) ErrorCount() (count int) {
	for _, m := range messages {
		if !m.Warning {
			count++
		}
	}
	return count
}

// Err returns the first error with the number of further ones, or nil if there is none.
func (messages Messages) Err() error {
	errorCount := messages.ErrorCount()
	if errorCount == 0 {
		return nil
	}
	first := messages[slices.IndexFunc(messages, func(m Message) bool { return !m.Warning })]
	if errorCount > 1 {
		return fmt.Errorf("%s (and %d more)", first, errorCount-1)
	}
	return fmt.Errorf("%s", first)
}

func (messages Messages) sort() {
	slices.SortStableFunc(messages, func(a, b Message) int {
		return cmp.Or(cmp.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column, cmp.Compare(a.Problem, b.Problem))
	})
}

// maxShownChars limits the part of a line that is shown below a message.
const maxShownChars = 160

// Print writes each message with its line and a caret below the column.
func (messages Messages) Print(w io.Writer) error {
	var out strings.Builder
	for _, m := range messages {
		out.WriteString(m.String())
		out.WriteByte('\n')
		if text := []rune(strings.ReplaceAll(m.source, "\t", " ")); len(text) > 0 {
			start := 0
			if m.Column > maxShownChars/2 {
				start = min(m.Column-maxShownChars/2, len(text))
			}
			shown := text[start:min(start+maxShownChars, len(text))]
			fmt.Fprintf(&out, "    %s\n    %s^\n", string(shown), strings.Repeat(" ", max(m.Column-1-start, 0)))
		}
		for _, r := range m.Related {
			fmt.Fprintf(&out, "    %s:%d: %s\n", r.File, r.Line, r.Note)
		}
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// JSON writes the messages as one JSON array.
func (messages Messages) JSON(w io.Writer) error {
	out := make([]Message, len(messages))
	for index, m := range messages {
		m.Severity = m.severity()
		out[index] = m
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

// closestWord returns the candidate that was probably meant, or an empty string: the one with the smallest edit distance, of at
// most about a third of the length of word.
func closestWord(word string, candidates []string) string {
	best, bestDistance := "", max(len(word)/3+1, min(len(word)-1, 2))
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate, bestDistance+1); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the number of characters to insert, delete, replace or swap with a neighbour to get from a to b
// (the Damerau-Levenshtein distance, each part edited once), or limit if it is not below that.
func editDistance(a, b string, limit int) int {
	from, to := []rune(a), []rune(b)
	if len(from)-len(to) >= limit || len(to)-len(from) >= limit || len(from) > 200 || len(to) > 200 {
		return limit
	}
	beforePrevious, previous, current := make([]int, len(to)+1), make([]int, len(to)+1), make([]int, len(to)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range from {
		current[0] = i + 1
		for j := range to {
			substitution := 1
			if from[i] == to[j] {
				substitution = 0
			}
			current[j+1] = min(previous[j]+substitution, previous[j+1]+1, current[j]+1)
			if i > 0 && j > 0 && from[i] == to[j-1] && from[i-1] == to[j] {
				current[j+1] = min(current[j+1], beforePrevious[j-1]+1)
			}
		}
		beforePrevious, previous, current = previous, current, beforePrevious
	}
	return min(previous[len(to)], limit)
}

// suggestion returns the end of a message that proposes the closest candidate, or an empty string if none is close.
func suggestion(word string, candidates []string) string {
	if closest := closestWord(word, candidates); closest != "" {
		return fmt.Sprintf("; did you mean %q?", closest)
	}
	return ""
}
