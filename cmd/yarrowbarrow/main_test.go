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

var update = flag.Bool("update", false, "write the kept output anew, to be read before it is kept")

const confA = `[route "quick"]
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

// In this one the unit of a wait was mistaken, a route takes more, and a pool is gone.
const confB = `[route "quick"]
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

// TestCommands: what the commands say, and their exit codes, kept as one readable file each.
func TestCommands(t *testing.T) {
	example, err := filepath.Abs("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	kept, _ := filepath.Abs("testdata")
	for _, c := range []struct {
		name string
		code int
		args string
	}{
		{"check_fine", fine, "check a.conf"},
		{"check_findings", findings, "check a.conf wrong.conf"},
		{"check_platform", fine, "check --platform example.json a.conf"},
		{"check_json", findings, "check --json wrong.conf"},
		{"check_missing", findings, "check nowhere.conf"},
		{"fmt_list", findings, "fmt -l a.conf loose.conf"},
		{"fmt_diff", findings, "fmt -d loose.conf"},
		{"fmt_print", fine, "fmt loose.conf"},
		{"fmt_wrong", findings, "fmt -l broken.conf"},
		{"diff", findings, "diff --exit-code a.conf b.conf"},
		{"diff_same", fine, "diff --exit-code a.conf a.conf"},
		{"diff_json", fine, "diff --json a.conf b.conf"},
		{"diff_wrong", findings, "diff a.conf wrong.conf"},
		{"explain", fine, "explain --platform example.json a.conf type=load cost=300core-ms"},
		{"explain_json", fine, "explain --json a.conf type=lookup tables=17"},
		{"explain_bad_job", findings, "explain a.conf type=lookup cost=3s"},
		{"routes", fine, "routes a.conf"},
		{"help", fine, "--help"},
		{"usage", usage, "chekc a.conf"},
		{"usage_flag", usage, "check --nothing a.conf"},
		{"usage_level", usage, "--log-level loud check a.conf"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			raw, err := os.ReadFile(example)
			if err != nil {
				t.Fatal(err)
			}
			for name, text := range map[string]string{"a.conf": confA, "b.conf": confB, "example.json": string(raw),
				"wrong.conf":  strings.Replace(confA, "12ms", "12", 1) + "helt = 3\n",
				"broken.conf": "[pool \"a\"\n", "loose.conf": "[pool   east]\n; why\nlocation=\"east\"   # here\nminimum = 100.0%\n\n\n\n[ route  \"r\" ]\npool=east"} {
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out, log bytes.Buffer
			if code := run(strings.Fields(c.args), &out, &log); code != c.code {
				t.Errorf("exit code %d, wanted %d", code, c.code)
			}
			if strings.HasSuffix(c.name, "json") && !json.Valid(out.Bytes()) {
				t.Error("no JSON")
			}
			got := "$ yarrowbarrow " + c.args + "\n" + out.String()
			if log.Len() > 0 {
				got += "--- on standard error\n" + log.String()
			}
			path := filepath.Join(kept, c.name+".txt")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(string(want), got); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestFmtWrites: a file is replaced at once, keeps its rights, and a link stays a link.
func TestFmtWrites(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.WriteFile("real.conf", []byte("[pool a]\nid=*\n"), 0o640); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("real.conf", "link.conf"); err != nil {
		t.Fatal(err)
	}
	var out, log bytes.Buffer
	if code := run([]string{"fmt", "-w", "link.conf"}, &out, &log); code != fine {
		t.Fatal(code, log.String())
	}
	raw, err := os.ReadFile("real.conf")
	info, _ := os.Lstat("link.conf")
	real, _ := os.Stat("real.conf")
	if string(raw) != "[pool \"a\"]\nid = *\n" || err != nil || info.Mode()&os.ModeSymlink == 0 || real.Mode().Perm() != 0o640 {
		t.Errorf("%q %v %v %v", raw, err, info.Mode(), real.Mode())
	}
	if left, _ := filepath.Glob("*"); len(left) != 2 {
		t.Error("left behind: ", left)
	}
	if code := run([]string{"fmt", "-l", "link.conf"}, &out, &log); code != fine || out.Len() > 0 {
		t.Error(code, out.String())
	}
}

func TestVersionAndCompletion(t *testing.T) {
	var out, log bytes.Buffer
	if code := run([]string{"version"}, &out, &log); code != fine || !strings.HasPrefix(out.String(), "yarrowbarrow ") {
		t.Error(code, out.String())
	}
	out.Reset()
	if code := run([]string{"completion"}, &out, &log); code != fine || !strings.Contains(out.String(), "explain) words=\"--platform --json --help") {
		t.Error(code, out.String())
	}
}

// TestDemo: a short one, in which an engine and a room are lost, answers each job once and runs none twice.
func TestDemo(t *testing.T) {
	var out, log bytes.Buffer
	if code := run([]string{"demo", "--seconds", "6", "../../deploy/operator.conf"}, &locked{Writer: &out}, &log); code != fine {
		t.Fatal(code, log.String())
	}
	text := out.String()
	for _, want := range []string{"** the east is lost", "pool east is down", "\n0 jobs answered twice, 0 run twice on one engine\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
	var jobs, done int
	for _, line := range strings.Split(text, "\n") {
		if f := strings.Fields(line); len(f) == 9 && f[0] == "lookup" {
			jobs, _ = strconv.Atoi(f[1])
			done, _ = strconv.Atoi(f[2])
		}
	}
	if jobs < 300 || done < jobs*8/10 {
		t.Errorf("%d jobs, %d done", jobs, done)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// locked lets the parts of the demo write in turn.
type locked struct {
	mu sync.Mutex
	io.Writer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Writer.Write(p)
}
