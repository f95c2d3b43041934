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
func deploySetting(t *testing.T, key string) string {
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
	runCommand := strings.Fields(deploySetting(t, "run"))
	if len(runCommand) < 2 || runCommand[0] != "exec" {
		t.Fatal("run starts a process of its own: ", runCommand)
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	build := exec.Command("sh", "-c", deploySetting(t, "build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	program, err := elf.Open(filepath.Join(root, runCommand[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	interpreter := ""
	for _, segment := range program.Progs {
		if segment.Type == elf.PT_INTERP {
			path, _ := io.ReadAll(segment.Open())
			interpreter = filepath.Base(strings.TrimRight(string(path), "\x00"))
		}
	}
	if !strings.HasPrefix(interpreter, "ld-linux") {
		t.Error("no dynamic linker of the C library: ", interpreter)
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
