package simwire

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestWire runs each testdata/*.in and compares the replies, the warnings and the final error with the .out file of the same name.
func TestWire(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.in")
	if err != nil || len(inputs) == 0 {
		t.Fatal("no inputs in testdata", err)
	}
	for _, input := range inputs {
		t.Run(filepath.Base(input), func(t *testing.T) {
			in, err := os.ReadFile(input)
			if err != nil {
				t.Fatal(err)
			}
			var out, stderr bytes.Buffer
			end := "ends well"
			if err := Run(bytes.NewReader(in), &out, &stderr); err != nil {
				end = "ends with: " + err.Error()
			}
			got := out.String() + stderr.String() + end + "\n"
			want, err := os.ReadFile(strings.TrimSuffix(input, "in") + "out")
			if err != nil {
				t.Fatal(err, "\n"+got)
			}
			if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
				t.Error("(-want +got):\n" + diff)
			}
		})
	}
}
