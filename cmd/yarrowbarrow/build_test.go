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

// deploySetting returns the value of the first line in deploy/balancer.toml that sets key.
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
	t.Fatal("deploy/balancer.toml does not set ", key)
	return ""
}

// TestDeployedProgram builds the program as the platform does. The program must be dynamically linked against the C library, and
// against nothing else, as the platform loads a library of its own into the process. The run command must use exec, so that the
// program runs in the process that the platform started.
func TestDeployedProgram(t *testing.T) {
	runCommand := strings.Fields(deploySetting(t, "run"))
	if len(runCommand) < 2 || runCommand[0] != "exec" {
		t.Fatal("the run command does not begin with exec, so that a shell stays as the parent: ", runCommand)
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
		t.Error("interpreter is not the dynamic linker of the C library: ", interpreter)
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || len(libraries) == 0 {
		t.Error("program is linked statically, or its libraries can't be read: ", err)
	}
	for _, library := range libraries {
		switch name, _, _ := strings.Cut(library, "."); name {
		case "libc", "libpthread", "libresolv", "libdl", "ld-linux-x86-64": // parts of the C library
		default:
			t.Error("linked against a library other than the C library: ", library)
		}
	}
}
