// Command knownfailures runs the tests and ignores the failures, and only those, that a list names. It prints the output of the tests,
// then each ignored failure with its cause.
//
//	go run ./lab/knownfailures KNOWN-RED.txt -race ./...
//
// The arguments after the list are passed to go test. A package that fails without a failed test (build failure, panic between tests,
// timeout) is never ignored.
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

// maxKnown is the maximum number of failures in a list.
const maxKnown = 3

// knownFailure is a line of the list.
type knownFailure struct{ Test, Cause, Issue string }

// testEvent holds the fields of a go test -json event that are used here.
type testEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// verdict is the outcome of a test run.
type verdict struct {
	Known      []knownFailure // listed failures that occurred and are ignored
	Unexpected []string       // unlisted failed tests, and packages that failed without a failed test
	NotFailed  []knownFailure // listed tests that passed or did not run
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
	v, err := classify(out, os.Stdout, known)
	runFailed := cmd.Wait() != nil
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(v.report(os.Stdout, runFailed))
}

// readList reads a list of known failures. A missing file is an empty list. Each line has the form "TestName: cause: issue".
func readList(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []knownFailure
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		parts := strings.SplitN(line, ":", 3)
		if len(parts) != 3 || !strings.HasPrefix(parts[0], "Test") {
			return nil, fmt.Errorf("%s: %q: want \"TestName: cause: issue\"", path, line)
		}
		known = append(known, knownFailure{parts[0], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])})
	}
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%s lists %d failures, want at most %d", path, len(known), maxKnown)
	}
	return known, nil
}

// classify reads the events of a test run, writes the output of failed tests and of packages, and separates known failures from others.
func classify(events io.Reader, out io.Writer, known []knownFailure) (result verdict, err error) {
	scanner := bufio.NewScanner(events)
	scanner.Buffer(nil, 1<<20)
	outputs := map[string][]string{}    // output by test, kept until the test's result is known
	failedPackages := map[string]bool{} // packages with a failed test
	failedTests := map[string]bool{}    // names of failed tests
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			fmt.Fprintln(out, scanner.Text())
			continue
		}
		key := event.Package + "\n" + event.Test
		switch {
		case event.Action == "output" && event.Test != "":
			outputs[key] = append(outputs[key], event.Output)
		case event.Action == "output":
			fmt.Fprint(out, event.Output)
		case event.Action == "fail" && event.Test != "":
			name, _, _ := strings.Cut(event.Test, "/")
			failedTests[name], failedPackages[event.Package] = true, true
			fmt.Fprint(out, strings.Join(outputs[key], ""))
			delete(outputs, key)
			if !slices.ContainsFunc(known, func(f knownFailure) bool { return f.Test == name }) {
				result.Unexpected = append(result.Unexpected, event.Package+" "+event.Test)
			}
		case event.Action == "pass" || event.Action == "skip":
			delete(outputs, key)
		case event.Action == "fail" && !failedPackages[event.Package]:
			result.Unexpected = append(result.Unexpected, event.Package)
		}
	}
	for _, f := range known {
		if failedTests[f.Test] {
			result.Known = append(result.Known, f)
		} else {
			result.NotFailed = append(result.NotFailed, f)
		}
	}
	return result, scanner.Err()
}

// report prints the verdict and returns the exit code: 0 if only known failures occurred, else 1. runFailed tells whether go test failed.
func (v verdict) report(out io.Writer, runFailed bool) int {
	for _, f := range v.Known {
		fmt.Fprintf(out, "known failure: %s: %s (%s)\n", f.Test, f.Cause, f.Issue)
	}
	for _, f := range v.NotFailed {
		fmt.Fprintf(out, "listed as a known failure but did not fail: %s\n", f.Test)
	}
	for _, name := range v.Unexpected {
		fmt.Fprintf(out, "failed: %s\n", name)
	}
	if len(v.Unexpected) > 0 || runFailed && len(v.Known) == 0 {
		return 1
	}
	return 0
}
