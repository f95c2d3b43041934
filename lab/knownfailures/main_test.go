package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestJudge: only failures that the list names are ignored, and a package that fails without a failed test never is.
func TestJudge(t *testing.T) {
	known := []knownFailure{{"TestKnown", "cause", "issue 1"}}
	for _, c := range []struct {
		events string
		code   int
	}{
		{`{"Action":"pass","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p"}`, 0},
		{`{"Action":"fail","Package":"p","Test":"TestKnown/part"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestKnown"}` + "\n" +
			`{"Action":"fail","Package":"p"}`, 0},
		{`{"Action":"fail","Package":"p","Test":"TestKnown"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestKnownToo"}`, 1},
		{`{"Action":"fail","Package":"p","Test":"TestKnown"}` + "\n" + `{"Action":"fail","Package":"q"}`, 1},
	} {
		v, err := classify(strings.NewReader(c.events), io.Discard, known)
		if code := v.report(io.Discard, strings.Contains(c.events, "fail")); err != nil || code != c.code {
			t.Error(c.events, code, err)
		}
	}
	if v, _ := classify(strings.NewReader(""), io.Discard, known); v.report(io.Discard, true) != 1 {
		t.Error("a run that failed without any event was reported as passed")
	}
}

// TestReadList: a list has one failure a line and at most three lines; a missing file is an empty list.
func TestReadList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if known, err := readList(path); err != nil || len(known) != 0 {
		t.Error(known, err)
	}
	for text, valid := range map[string]bool{"TestA: b: c: issue 1\n\n": true, "TestA\n": false, strings.Repeat("TestA: b: c\n", 4): false} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readList(path); (err == nil) != valid {
			t.Error(text, err)
		}
	}
}
