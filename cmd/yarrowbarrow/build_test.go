package main

import (
	"debug/elf"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// deployed gives a text of the deploy file.
func deployed(t *testing.T, key string) string {
	t.Helper()
	file, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(file)) {
		if name, value, _ := strings.Cut(line, "="); strings.TrimSpace(name) == key {
			text, err := strconv.Unquote(strings.TrimSpace(value))
			if err != nil {
				t.Fatal(key, err)
			}
			return text
		}
	}
	t.Fatal("no ", key)
	return ""
}

// TestDeployedProgram: what the platform builds is dynamically linked against the C library and nothing else, as it
// loads a library of its own beside it, and it runs in the process that it starts.
func TestDeployedProgram(t *testing.T) {
	words := strings.Fields(deployed(t, "run"))
	if len(words) < 2 || words[0] != "exec" {
		t.Fatal("run starts a process of its own: ", words)
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	build := exec.Command("sh", "-c", deployed(t, "build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	program, err := elf.Open(filepath.Join(root, words[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	linker := ""
	for _, part := range program.Progs {
		if part.Type == elf.PT_INTERP {
			text, _ := io.ReadAll(part.Open())
			linker = filepath.Base(strings.TrimRight(string(text), "\x00"))
		}
	}
	if !strings.HasPrefix(linker, "ld-linux") {
		t.Error("no dynamic linker of the C library: ", linker)
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || len(libraries) == 0 {
		t.Error("linked statically: ", err)
	}
	for _, library := range libraries {
		switch name, _, _ := strings.Cut(library, "."); name {
		case "libc", "libpthread", "libresolv", "libdl", "ld-linux-x86-64": // all of the C library
		default:
			t.Error("asks for ", library)
		}
	}
}
