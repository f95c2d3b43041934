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

// loadText checks a text as a file of its own, without the file system.
func loadText(text string) *Config {
	l := &loader{parsedFiles: map[string]*sourceFile{}}
	f := parseFile("x.conf", []byte(text), l.addMessage)
	for n := range f.lines { // an include would ask the file system
		if node := f.lines[n].node; node != nil && node.Entry != nil && node.Entry.Key == "include" {
			f.lines[n].node = nil
		}
	}
	l.collect(f)
	return l.checkedConfig(testPlatform)
}

func seeds(f *testing.F) {
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

// FuzzLoad: no text makes the parser or the checker panic, take long or say more than its bound.
func FuzzLoad(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 64<<10 {
			return
		}
		from := time.Now()
		c := loadText(text)
		if len(c.Messages) > maxMessages+1 || (c.Plan == nil) != (c.Messages.Errors() > 0) {
			t.Error(len(c.Messages), c.Plan)
		}
		if took := time.Since(from); took > 10*time.Second {
			t.Error("took ", took)
		}
	})
}

// comments of a text, without the spaces round them.
func comments(text []byte) (all []string) {
	for _, at := range parseFile("x.conf", text, func(Message) {}).lines {
		if c := strings.TrimSpace(at.comment); c != "" {
			all = append(all, c)
		}
	}
	return all
}

// checkFormat: what was formatted means the same, keeps its comments, and stays as it is when formatted again.
func checkFormat(t interface{ Fatalf(string, ...any) }, text string) {
	once, err := Format("x.conf", []byte(text))
	if err != nil {
		return
	}
	twice, err := Format("x.conf", once)
	if err != nil || !bytes.Equal(once, twice) {
		t.Fatalf("formatted again:\n%s\nwas:\n%s\n%v", twice, once, err)
	}
	if a, b := comments([]byte(text)), comments(once); !slices.Equal(a, b) {
		t.Fatalf("comments %q, were %q", b, a)
	}
	was, now := loadText(text), loadText(string(once))
	if (was.Plan == nil) != (now.Plan == nil) || len(was.Messages) != len(now.Messages) {
		t.Fatalf("%v\n%s\nafter formatting: %v\n%s", was.Messages, text, now.Messages, once)
	}
	if was.Plan == nil {
		return
	}
	if changes, _ := Diff(was, now); len(changes) > 0 {
		t.Fatalf("another meaning: %v\n%s\nwas:\n%s", changes, once, text)
	}
}

func FuzzFormat(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) <= 16<<10 {
			checkFormat(t, text)
		}
	})
}

// someFile draws a file that is mostly right, in a careless form.
func someFile(t *rapid.T) string {
	pick := func(label string, words ...string) string { return rapid.SampledFrom(words).Draw(t, label) }
	var b strings.Builder
	line := func(parts ...string) {
		b.WriteString(strings.Repeat(" ", rapid.IntRange(0, 2).Draw(t, "indent")) + strings.Join(parts, pick("space", "", " ", "\t")) +
			pick("end", "", "", "", "  # a note", " ; why", "\r") + "\n")
		if pick("blank", "", "", "", "x") != "" {
			b.WriteString(pick("between", "\n", "\n\n\n", "# on its own\n", "  ; indented\n"))
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
		b.WriteString("# head\n")
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
	for n := range rapid.IntRange(0, 5).Draw(t, "routes") {
		line("[route", " \"r"+string(rune('0'+n))+"\"]")
		if rapid.Bool().Draw(t, "matched") {
			line("match", "=", term(2)+pick("and", "", " and "+term(1)))
		}
		line("pool", "=", pick("pool", "a", `"b"`, `"c d"`))
		if rapid.Bool().Draw(t, "policied") {
			line("policy", "=", "p")
		}
	}
	return b.String()
}

func TestFormatted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := someFile(t)
		if c := loadText(text); c.Plan == nil {
			t.Fatalf("%v\n%s", c.Messages, text)
		}
		if _, err := Format("x.conf", []byte(text)); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		checkFormat(t, text)
	})
}

// TestDiffJobs: of two files, a job that goes elsewhere is named by its pair of routes, and each example does.
func TestDiffJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was, now := loadText(someFile(t)), loadText(someFile(t))
		changes, complete := Diff(was, now)
		named := map[[2]string]bool{}
		for _, c := range changes {
			if c.Type != "jobs" {
				continue
			}
			j, err := ParseJob(c.Example)
			if err != nil {
				t.Fatalf("%s: %v", c.Example, err)
			}
			if from, to := was.Plan.Walk(&j).Goes(), now.Plan.Walk(&j).Goes(); from != c.Old || to != c.New {
				t.Fatalf("%s goes from %s to %s, not from %s to %s", c.Example, from, to, c.Old, c.New)
			}
			named[[2]string{c.Old, c.New}] = true
		}
		for range 30 {
			j := route.Job{Type: rapid.SampledFrom([]string{"lookup", "load", "other"}).Draw(t, "type"),
				Customer: rapid.SampledFrom([]string{"", "inegi", "censo-norte", "x"}).Draw(t, "customer"),
				Tables:   rapid.Int64Range(-1, 25).Draw(t, "tables"), Cost: time.Duration(rapid.Int64Range(-1, 3e9).Draw(t, "cost")),
				Memory: rapid.Int64Range(-1, 1e9).Draw(t, "memory"), Left: time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "left"))}
			if from, to := was.Plan.Walk(&j).Goes(), now.Plan.Walk(&j).Goes(); complete && (from != to) && !named[[2]string{from, to}] {
				t.Fatalf("%s goes from %s to %s, which is not named", Describe(&j), from, to)
			}
		}
		if same, _ := Diff(was, was); len(same) > 0 {
			t.Fatalf("with itself: %v", same)
		}
	})
}
