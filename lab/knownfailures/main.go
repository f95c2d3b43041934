// Command knownfailures runs the tests and passes over those failures, and only those, that a list names. It prints what the
// tests print, then each failure that it passed over with its cause.
//
//	go run ./lab/knownfailures KNOWN-RED.txt -race ./...
//
// The arguments behind the list are those of go test. A package that fails without a failed test (it does not build, it panics
// between tests, its time is over) is never passed over.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// mostKnown is how many failures a list may name.
const mostKnown = 3

// failure is a line of the list.
type failure struct{ Test, Cause, Issue string }

// event is what go test -json writes, as far as it is read here.
type event struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// verdict is what a run of the tests came to.
type verdict struct {
	Known   []failure // that were passed over
	Unknown []string  // tests, and packages that failed without one
	Passed  []failure // that the list names although they passed or did not run
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: knownfailures LIST GO-TEST-ARGUMENTS...")
		os.Exit(2)
	}
	known, err := readList(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, os.Args[2:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	v, err := judge(out, os.Stdout, known)
	failed := cmd.Wait() != nil
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(v.report(os.Stdout, failed))
}

// readList reads a list of known failures; one that is not there is empty. Each line is a test, its cause and its issue, with a
// colon behind each of the first two.
func readList(path string) ([]failure, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []failure
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		parts := strings.SplitN(line, ":", 3)
		if len(parts) != 3 || !strings.HasPrefix(parts[0], "Test") {
			return nil, fmt.Errorf("%s: %q: TestName: cause: issue is wanted", path, line)
		}
		known = append(known, failure{parts[0], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])})
	}
	if len(known) > mostKnown {
		return nil, fmt.Errorf("%s names %d failures, %d at most", path, len(known), mostKnown)
	}
	return known, nil
}

// judge reads the events of a run, writes what the tests printed and tells known failures from others.
func judge(events io.Reader, out io.Writer, known []failure) (v verdict, err error) {
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, 1<<20)
	printed := map[string][]string{} // by test, until it is known whether it failed
	failedIn := map[string]bool{}    // packages with a failed test
	failed := map[string]bool{}      // names of failed tests
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		key := e.Package + "\n" + e.Test
		switch {
		case e.Action == "output" && e.Test != "":
			printed[key] = append(printed[key], e.Output)
		case e.Action == "output":
			fmt.Fprint(out, e.Output)
		case e.Action == "fail" && e.Test != "":
			name, _, _ := strings.Cut(e.Test, "/")
			failed[name], failedIn[e.Package] = true, true
			fmt.Fprint(out, strings.Join(printed[key], ""))
			delete(printed, key)
			if !slices.ContainsFunc(known, func(f failure) bool { return f.Test == name }) {
				v.Unknown = append(v.Unknown, e.Package+" "+e.Test)
			}
		case e.Action == "pass" || e.Action == "skip":
			delete(printed, key)
		case e.Action == "fail" && !failedIn[e.Package]:
			v.Unknown = append(v.Unknown, e.Package)
		}
	}
	for _, f := range known {
		if failed[f.Test] {
			v.Known = append(v.Known, f)
		} else {
			v.Passed = append(v.Passed, f)
		}
	}
	return v, lines.Err()
}

// report prints a verdict and gives the exit code: 0 where nothing failed but what is known.
func (v verdict) report(out io.Writer, failed bool) int {
	for _, f := range v.Known {
		fmt.Fprintf(out, "known failure: %s: %s (%s)\n", f.Test, f.Cause, f.Issue)
	}
	for _, f := range v.Passed {
		fmt.Fprintf(out, "named as a known failure, and did not fail: %s\n", f.Test)
	}
	for _, name := range v.Unknown {
		fmt.Fprintf(out, "failed: %s\n", name)
	}
	if len(v.Unknown) > 0 || failed && len(v.Known) == 0 {
		return 1
	}
	return 0
}
