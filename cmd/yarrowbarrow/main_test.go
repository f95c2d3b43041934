package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata; review the changes before committing them")

const baseConf = `[route "quick"]
match = type = lookup
pool  = east

[route "rest"]
pool     = west
fallback = east
policy   = p

[pool "east"]
location = east

[pool "west"]
location = west
minimum  = 50%

[policy "p"]
held          = 200
fallback-wait = 12ms
`

// changedConf differs from baseConf: a wait has the wrong unit, a route matches more jobs, and a pool is missing.
const changedConf = `[route "quick"]
match = type = lookup or type = load and cost < 500core-ms
pool  = east

[route "rest"]
pool   = east
policy = p

[pool "east"]
location = east

[policy "p"]
held          = 200
fallback-wait = 2s
return-wait   = 5s
`

// TestCommands compares the output of each command with a golden file in testdata, and checks its exit code.
func TestCommands(t *testing.T) {
	example, err := filepath.Abs("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	goldenDir, _ := filepath.Abs("testdata")
	for _, test := range []struct {
		name string
		code int
		args string
	}{
		{"check_fine", exitOK, "check a.conf"},
		{"check_findings", exitFindings, "check a.conf wrong.conf"},
		{"check_platform", exitOK, "check --platform example.json a.conf"},
		{"check_json", exitFindings, "check --json wrong.conf"},
		{"check_missing", exitFindings, "check nowhere.conf"},
		{"fmt_list", exitFindings, "fmt -l a.conf loose.conf"},
		{"fmt_diff", exitFindings, "fmt -d loose.conf"},
		{"fmt_print", exitOK, "fmt loose.conf"},
		{"fmt_wrong", exitFindings, "fmt -l broken.conf"},
		{"diff", exitFindings, "diff --exit-code a.conf b.conf"},
		{"diff_same", exitOK, "diff --exit-code a.conf a.conf"},
		{"diff_json", exitOK, "diff --json a.conf b.conf"},
		{"diff_wrong", exitFindings, "diff a.conf wrong.conf"},
		{"explain", exitOK, "explain --platform example.json a.conf type=load cost=300core-ms"},
		{"explain_json", exitOK, "explain --json a.conf type=lookup tables=17"},
		{"explain_bad_job", exitFindings, "explain a.conf type=lookup cost=3s"},
		{"routes", exitOK, "routes a.conf"},
		{"help", exitOK, "--help"},
		{"usage", exitUsage, "chekc a.conf"},
		{"usage_flag", exitUsage, "check --nothing a.conf"},
		{"usage_level", exitUsage, "--log-level loud check a.conf"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			raw, err := os.ReadFile(example)
			if err != nil {
				t.Fatal(err)
			}
			for name, text := range map[string]string{"a.conf": baseConf, "b.conf": changedConf, "example.json": string(raw),
				"wrong.conf":  strings.Replace(baseConf, "12ms", "12", 1) + "helt = 3\n",
				"broken.conf": "[pool \"a\"\n", "loose.conf": "[pool   east]\n; why\nlocation=\"east\"   # here\nminimum = 100.0%\n\n\n\n[ route  \"r\" ]\npool=east"} {
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out, errOut bytes.Buffer
			if code := run(strings.Fields(test.args), &out, &errOut); code != test.code {
				t.Errorf("exit code %d, wanted %d", code, test.code)
			}
			if strings.HasSuffix(test.name, "json") && !json.Valid(out.Bytes()) {
				t.Error("output is not valid JSON")
			}
			got := "$ yarrowbarrow " + test.args + "\n" + out.String()
			if errOut.Len() > 0 {
				got += "--- on standard error\n" + errOut.String()
			}
			path := filepath.Join(goldenDir, test.name+".txt")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFmtWrites checks that fmt -w on a symbolic link rewrites the target, keeps its permissions and the link, and leaves no temporary
// files.
func TestFmtWrites(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.WriteFile("real.conf", []byte("[pool a]\nid=*\n"), 0o640); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("real.conf", "link.conf"); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := run([]string{"fmt", "-w", "link.conf"}, &out, &errOut); code != exitOK {
		t.Fatal(code, errOut.String())
	}
	raw, err := os.ReadFile("real.conf")
	link, _ := os.Lstat("link.conf")
	target, _ := os.Stat("real.conf")
	if string(raw) != "[pool \"a\"]\nid = *\n" || err != nil || link.Mode()&os.ModeSymlink == 0 || target.Mode().Perm() != 0o640 {
		t.Errorf("%q %v %v %v", raw, err, link.Mode(), target.Mode())
	}
	if remaining, _ := filepath.Glob("*"); len(remaining) != 2 {
		t.Error("unexpected files in the directory: ", remaining)
	}
	if code := run([]string{"fmt", "-l", "link.conf"}, &out, &errOut); code != exitOK || out.Len() > 0 {
		t.Error(code, out.String())
	}
}

func TestVersionAndCompletion(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := run([]string{"version"}, &out, &errOut); code != exitOK || !strings.HasPrefix(out.String(), "yarrowbarrow ") {
		t.Error(code, out.String())
	}
	out.Reset()
	if code := run([]string{"completion"}, &out, &errOut); code != exitOK || !strings.Contains(out.String(), "explain) words=\"--platform --json --help") {
		t.Error(code, out.String())
	}
}

// TestDemo runs a short demo, in which an engine and then a whole room crash, and checks that at
// least 80% of the lookups are answered, and that no job is answered twice or run twice.
func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := run([]string{"demo", "--seconds", "6", "../../deploy/operator.conf"}, &lockedWriter{Writer: &out}, &errOut); code != exitOK {
		t.Fatal(code, errOut.String())
	}
	text := out.String()
	for _, want := range []string{"** room east crashes", "pool east is down", "\n0 jobs answered twice, 0 run twice on one engine\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("output does not contain %q", want)
		}
	}
	var jobs, done int
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) == 9 && fields[0] == "lookup" {
			jobs, _ = strconv.Atoi(fields[1])
			done, _ = strconv.Atoi(fields[2])
		}
	}
	if jobs < 300 || done < jobs*8/10 {
		t.Errorf("%d jobs, %d done", jobs, done)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// lockedWriter serializes writes, as several goroutines of the demo print at the same time.
type lockedWriter struct {
	mu sync.Mutex
	io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Writer.Write(p)
}
