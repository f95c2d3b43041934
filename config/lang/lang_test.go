package lang

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected messages; review them before they are committed")

// TestMain gives the property tests a fixed seed, so that runs are reproducible; -rapid.seed tries others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// testPlatform is the platform that the files in testdata are checked against.
var testPlatform = &Platform{
	Classes: []PlatformClass{
		{Name: "lookup", LatencyTarget: time.Second, Deadline: 5 * time.Second},
		{Name: "load", LatencyTarget: 3 * time.Second, Deadline: 20 * time.Second, DedupWindow: 12 * time.Second, Keyed: true},
		{Name: "export", LatencyTarget: 5 * time.Second, Deadline: 20 * time.Second, Locations: []string{"east"}, Kinds: []string{"big"}},
	},
	Locations: []string{"east", "west"}, Kinds: []string{"std", "big"}, Customers: []string{"censo-norte", "inegi"},
	Fronts: []string{"framed"},
}

// writeFiles writes the files to a temporary directory and makes it the working directory, so that messages have short paths.
func writeFiles(t *testing.T, files []txtar.File) {
	t.Helper()
	t.Chdir(t.TempDir())
	for _, f := range files {
		if err := os.MkdirAll(filepath.Dir(f.Name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(f.Name, f.Data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestBroken: each file in testdata/broken must give exactly the messages in its archive. Files named warn-* have only warnings
// and load; all others are rejected.
func TestBroken(t *testing.T) {
	archives, err := filepath.Glob("testdata/broken/*.txtar")
	if err != nil || len(archives) < 150 {
		t.Fatal(len(archives), " files", err)
	}
	for _, path := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			path, _ := filepath.Abs(path)
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			files, want := archive.Files, ""
			if last := len(files) - 1; files[last].Name == "messages" {
				files, want = files[:last], string(files[last].Data)
			}
			writeFiles(t, files)
			loaded := Load("operator.conf", testPlatform)
			var got bytes.Buffer
			if err := loaded.Messages.Print(&got); err != nil {
				t.Fatal(err)
			}
			if *update {
				archive.Files = append(files, txtar.File{Name: "messages", Data: got.Bytes()})
				if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
			} else if diff := cmp.Diff(want, got.String()); diff != "" {
				t.Error(diff)
			}
			onlyWarnings := strings.HasPrefix(filepath.Base(path), "warn-")
			if len(loaded.Messages) == 0 || (loaded.Plan == nil) == onlyWarnings || (loaded.Messages.ErrorCount() > 0) == onlyWarnings {
				t.Errorf("plan %v, %d errors of %d messages", loaded.Plan != nil, loaded.Messages.ErrorCount(), len(loaded.Messages))
			}
		})
	}
}

// TestBytes: unusual encodings, control characters and extreme lines, which txtar archives can't hold. Each is accepted or
// rejected with a short message that has the line.
func TestBytes(t *testing.T) {
	const good = "[pool \"a\"]\nid = *\n[route \"r\"]\npool = a\n"
	for _, testCase := range []struct{ name, text, want string }{
		{"CRLF", strings.ReplaceAll(good, "\n", "\r\n"), ""},
		{"BOM", "\ufeff" + good, ""},
		{"no end of line", strings.TrimSuffix(good, "\n"), ""},
		{"empty", "", ""},
		{"BOM inside", good + "\ufeff[pool \"b\"]\n", `operator.conf:5:1: error: character '\ufeff' does not belong here`},
		{"NUL", good + "id\x00 = a\n", `operator.conf:5:3: error: control character '\x00'`},
		{"escape", good + "# \x1b[31m\n", `operator.conf:5:3: error: control character '\x1b'`},
		{"lone CR", "[pool \"a\"]\rid = *\n", `operator.conf:1:11: error: control character '\r'`},
		{"invalid UTF-8", good + "# ñ\xff\n", "operator.conf:5:4: error: bytes that are not valid UTF-8"},
		{"UTF-16", "\xff\xfe[\x00p\x00", "operator.conf:1:1: error: bytes that are not valid UTF-8"},
		{"line of 1 MB", good + "# " + strings.Repeat("x", 1<<20) + "\n", "operator.conf:5:1: error: a line of 1048578 bytes"},
		{"list of 1 MB", "[pool \"a\"]\nid = e1" + strings.Repeat(", e", 1<<18) + "\n", "operator.conf:2:1: error: a line of "},
		{"parentheses", "[route \"r\"]\nmatch = " + strings.Repeat("(", 10_000) + "\n", "operator.conf:2:59: error: parentheses and nots go too deep"},
		{"nots", "[route \"r\"]\nmatch = " + strings.Repeat("not ", 3000) + "all\n", "error: parentheses and nots go too deep"},
		{"text after blank lines", good + strings.Repeat("\n", 1000) + "x\n", "operator.conf:1005:2: error: the line ends too early"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			writeFiles(t, []txtar.File{{Name: "operator.conf", Data: []byte(testCase.text)}})
			messages := Load("operator.conf", nil).Messages
			if testCase.want == "" && len(messages) > 0 || testCase.want != "" && (len(messages) == 0 ||
				!strings.Contains(messages[0].String(), testCase.want)) {
				t.Error(messages)
			}
			for _, message := range messages {
				if len(message.String()) > 1000 {
					t.Error("message is too long: ", len(message.String()), " bytes")
				}
			}
		})
	}
}

// TestLarge: a file of 100 MB and one of 100,000 sections are rejected with an error, without much time or memory.
func TestLarge(t *testing.T) {
	t.Chdir(t.TempDir())
	f, err := os.Create("operator.conf")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Truncate(100 << 20); err != nil { // a sparse file
		t.Fatal(err)
	}
	f.Close()
	if got := Load("operator.conf", nil).Messages; len(got) != 1 ||
		got[0].String() != "operator.conf:1:1: error: can't be read: it is too large: all files together may have 16 MB; wanted: a readable file" {
		t.Error(got)
	}
	var text strings.Builder
	for number := range 100_000 {
		fmt.Fprintf(&text, "[pool \"p%d\"]\nid=e%d\n", number, number)
	}
	if err := os.WriteFile("operator.conf", []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := Load("operator.conf", nil).Messages; len(got) == 0 || len(got) > maxMessages+1 ||
		!strings.Contains(got[0].String(), "operator.conf:100001:1: error: more than 50000 sections") {
		t.Error(len(got), got[0])
	}
}

// TestFiles: includes through symbolic links, out of the directory, of unreadable files, in deep chains and in a diamond.
func TestFiles(t *testing.T) {
	files := []txtar.File{{Name: "top/operator.conf", Data: []byte("include = \"rooms/*.conf\"\n")},
		{Name: "top/rooms/a.conf", Data: []byte("[team \"a\"]\nshare = 5%\n")}, {Name: "secret.conf", Data: []byte("[pool \"x\"]\n")}}
	expect := func(want string) {
		t.Helper()
		got := Load("top/operator.conf", nil).Messages
		if want == "" && len(got) > 0 || want != "" && (len(got) == 0 || !strings.Contains(got[0].String(), want)) {
			t.Error(got, "; expected ", want)
		}
	}
	link := func(target, path string) {
		t.Helper()
		if err := os.Symlink(target, path); err != nil {
			t.Fatal(err)
		}
	}
	writeFiles(t, files)
	expect("")
	link("../../secret.conf", "top/rooms/b.conf")
	expect(`top/operator.conf:1:11: error: include "top/rooms/b.conf" leads out of the top directory`)
	os.Remove("top/rooms/b.conf")
	link("a.conf", "top/rooms/c.conf") // the same file by another name is read only once
	expect("")
	link("d.conf", "top/rooms/d.conf")
	expect(`include "top/rooms/d.conf": `)
	os.Remove("top/rooms/d.conf")
	link("/dev/zero", "top/zero.conf")
	if err := os.WriteFile("top/operator.conf", []byte("include = zero.conf\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect("leads out of the top directory")
	if err := os.WriteFile("top/operator.conf", []byte("include = \"f.conf\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("top/f.conf", nil, 0o000); err != nil {
		t.Fatal(err)
	}
	if _, err := os.ReadFile("top/f.conf"); err != nil { // root can read every file
		expect(`top/operator.conf:1:11: error: include "top/f.conf": permission denied`)
	}
	// A chain of includes that is too deep is rejected; a diamond is accepted.
	for number := range 20 {
		text := fmt.Sprintf("include = \"deep%d.conf\"\n", number+1)
		if err := os.WriteFile(fmt.Sprintf("top/deep%d.conf", number), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile("top/operator.conf", []byte("include = deep0.conf\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect("top/deep14.conf:1:11: error: include \"top/deep15.conf\": includes go deeper than 16 files")
	for name, text := range map[string]string{"operator": "include = l.conf, r.conf\n", "l": "include = both.conf\n",
		"r": "include = both.conf\n", "both": "[team \"a\"]\nshare = 5%\n"} {
		if err := os.WriteFile("top/"+name+".conf", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expect("")
	if got := Load("nowhere/operator.conf", nil).Messages; len(got) != 1 || !strings.Contains(got[0].String(), "no such file") {
		t.Error(got)
	}
}
