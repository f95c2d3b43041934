package lang

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"yarrowbarrow/decide/route"
)

// loadText loads and checks a text as a single file, without the file system.
func loadText(text string) *Config {
	loader := &loader{parsedFiles: map[string]*sourceFile{}}
	file := parseFile("x.conf", []byte(text), loader.addMessage)
	for index := range file.lines { // an include would access the file system
		if node := file.lines[index].node; node != nil && node.Entry != nil && node.Entry.Key == "include" {
			file.lines[index].node = nil
		}
	}
	loader.collect(file)
	return loader.checkedConfig(testPlatform)
}

// addSeeds adds the broken files and the example configuration to the corpus.
func addSeeds(f *testing.F) {
	archives, _ := filepath.Glob("testdata/broken/*.txtar")
	for _, path := range archives {
		if a, err := txtar.ParseFile(path); err == nil {
			f.Add(string(a.Files[0].Data))
		}
	}
	example, err := os.ReadFile("../../deploy/operator.conf")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(example))
}

// FuzzLoad: no text may make the parser or the checker panic, run for more than 10 s or exceed the limit on messages.
func FuzzLoad(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 64<<10 {
			return
		}
		started := time.Now()
		loaded := loadText(text)
		if len(loaded.Messages) > maxMessages+1 || (loaded.Plan == nil) != (loaded.Messages.ErrorCount() > 0) {
			t.Error(len(loaded.Messages), loaded.Plan)
		}
		if elapsed := time.Since(started); elapsed > 10*time.Second {
			t.Error("loading took ", elapsed)
		}
	})
}

// comments returns the comments of a text without surrounding spaces.
func comments(text []byte) (found []string) {
	for _, line := range parseFile("x.conf", text, func(Message) {}).lines {
		if comment := strings.TrimSpace(line.comment); comment != "" {
			found = append(found, comment)
		}
	}
	return found
}

// checkFormat fails if formatting changes the meaning or the comments of a text, or if formatting the result again changes it.
// Texts that can't be parsed are skipped.
func checkFormat(t interface{ Fatalf(string, ...any) }, text string) {
	once, err := Format("x.conf", []byte(text))
	if err != nil {
		return
	}
	twice, err := Format("x.conf", once)
	if err != nil || !bytes.Equal(once, twice) {
		t.Fatalf("formatting the result again gives:\n%s\nfirst result:\n%s\nerror: %v", twice, once, err)
	}
	if commentsBefore, commentsAfter := comments([]byte(text)), comments(once); !slices.Equal(commentsBefore, commentsAfter) {
		t.Fatalf("comments after formatting: %q, before: %q", commentsAfter, commentsBefore)
	}
	before, after := loadText(text), loadText(string(once))
	if (before.Plan == nil) != (after.Plan == nil) || len(before.Messages) != len(after.Messages) {
		t.Fatalf("%v\n%s\nafter formatting: %v\n%s", before.Messages, text, after.Messages, once)
	}
	if before.Plan == nil {
		return
	}
	if changes, _ := Diff(before, after); len(changes) > 0 {
		t.Fatalf("formatting changed the meaning: %v\n%s\noriginal:\n%s", changes, once, text)
	}
}

// FuzzFormat checks formatting with arbitrary texts.
func FuzzFormat(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) <= 16<<10 {
			checkFormat(t, text)
		}
	})
}

// randomFile draws a valid file that is not in canonical form: with odd spacing, comments, line endings and units.
func randomFile(t *rapid.T) string {
	pick := func(label string, words ...string) string { return rapid.SampledFrom(words).Draw(t, label) }
	var text strings.Builder
	line := func(parts ...string) {
		text.WriteString(strings.Repeat(" ", rapid.IntRange(0, 2).Draw(t, "indent")) + strings.Join(parts, pick("space", "", " ", "\t")) +
			pick("end", "", "", "", "  # a note", " ; why", "\r") + "\n")
		if pick("blank", "", "", "", "x") != "" {
			text.WriteString(pick("between", "\n", "\n\n\n", "# on its own\n", "  ; indented\n"))
		}
	}
	var term func(depth int) string
	term = func(depth int) string {
		switch rapid.IntRange(0, 9).Draw(t, "term") {
		case 0:
			if depth > 0 {
				return "( " + term(depth-1) + " or " + term(depth-1) + ")"
			}
			return "all"
		case 1:
			if depth > 0 {
				return "not " + term(depth-1)
			}
			return `type="lookup"`
		case 2, 3:
			return "type " + pick("op", "=", "!=") + pick("type", " lookup", " load", `"lo*"`, " *")
		case 4:
			return "customer " + pick("not", "", "not ") + "in (" + pick("customer", `inegi`, `"censo-norte",inegi`, "*norte, i*") + ")"
		case 5:
			return "tables in (" + pick("tables", "1..20", "3, 5 .. 9", "0") + ")"
		case 6:
			return "cost " + pick("op", "<", ">=", "!=", "=") + pick("cost", "1500core-ms", " 2core-s", "0.5core-s")
		case 7:
			return "memory" + pick("op", "<=", ">") + pick("memory", "64MB", "0.5GB", "1000KB")
		}
		return "left " + pick("op", "<", ">") + pick("left", "1500ms", "1m30s", "0.25s", "2000000us")
	}
	if pick("first", "", "# head\n", "\n\n; head\n\n") != "" {
		text.WriteString("# head\n")
	}
	for _, name := range []string{"a", "b", "c d"} {
		line("[pool", pick("quoted", " \"", "  \"")+name+"\"", "]")
		if pick("by", "id", "kind") == "id" {
			line("id", "=", pick("any", "*", `"*"`, "12, *", `"e\*", *`, `e\*`, `"a\"b"`))
		} else {
			line("kind", "=", pick("kinds", "big", `"*"`, "std, b?g"))
		}
		if rapid.Bool().Draw(t, "more") {
			line("minimum", "=", pick("minimum", "2", "50%", "12.5%", "100.0%"))
		}
	}
	line(`[policy "p"]`)
	line("rate", "=", pick("rate", "50/s", "120/m", "7200/h", "0.5/s"))
	line("held", "=", pick("held", "20", "0020"))
	line("fallback-wait", "=", pick("wait", "200ms", "0.2s", "0ms", "200000us"))
	for number := range rapid.IntRange(0, 5).Draw(t, "routes") {
		line("[route", " \"r"+string(rune('0'+number))+"\"]")
		if rapid.Bool().Draw(t, "matched") {
			line("match", "=", term(2)+pick("and", "", " and "+term(1)))
		}
		line("pool", "=", pick("pool", "a", `"b"`, `"c d"`))
		if rapid.Bool().Draw(t, "policied") {
			line("policy", "=", "p")
		}
	}
	return text.String()
}

// TestFormatted: valid files load, and formatting preserves them.
func TestFormatted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := randomFile(t)
		if loaded := loadText(text); loaded.Plan == nil {
			t.Fatalf("%v\n%s", loaded.Messages, text)
		}
		if _, err := Format("x.conf", []byte(text)); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		checkFormat(t, text)
	})
}

// TestDiffJobs: Diff must list each pair of routes between which jobs move, and each of its examples must be routed as it says.
// Random jobs are routed with both versions; a move that Diff does not list is a failure, unless the search was incomplete.
func TestDiffJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := loadText(randomFile(t)), loadText(randomFile(t))
		changes, complete := Diff(before, after)
		listed := map[[2]string]bool{}
		for _, change := range changes {
			if change.Type != "jobs" {
				continue
			}
			job, err := ParseJob(change.Example)
			if err != nil {
				t.Fatalf("%s: %v", change.Example, err)
			}
			if from, to := before.Plan.FindLinear(&job).Describe(), after.Plan.FindLinear(&job).Describe(); from != change.Old || to != change.New {
				t.Fatalf("%s goes from %s to %s, not from %s to %s", change.Example, from, to, change.Old, change.New)
			}
			listed[[2]string{change.Old, change.New}] = true
		}
		for range 30 {
			job := route.Job{Type: rapid.SampledFrom([]string{"lookup", "load", "other"}).Draw(t, "type"),
				Customer: rapid.SampledFrom([]string{"", "inegi", "censo-norte", "x"}).Draw(t, "customer"),
				Tables:   rapid.Int64Range(-1, 25).Draw(t, "tables"), Cost: time.Duration(rapid.Int64Range(-1, 3e9).Draw(t, "cost")),
				Memory: rapid.Int64Range(-1, 1e9).Draw(t, "memory"), TimeLeft: time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "left"))}
			if from, to := before.Plan.FindLinear(&job).Describe(), after.Plan.FindLinear(&job).Describe(); complete && (from != to) && !listed[[2]string{from, to}] {
				t.Fatalf("%s goes from %s to %s, which Diff does not list", FormatJob(&job), from, to)
			}
		}
		if same, _ := Diff(before, before); len(same) > 0 {
			t.Fatalf("Diff of a file with itself: %v", same)
		}
	})
}
