// Package lang implements the operators' configuration language: routes, pools, policies, teams and fleets in INI form, with
// includes and units.
//
// Load reads a file with all its includes, checks the whole and returns the plan that package route executes, or messages with
// file, line and column. Format writes one file in its canonical form, and Diff lists the differences in meaning between two
// versions. The language is described in docs/operate/configuration.md.
package lang

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"
)

// Limits on the size of a configuration. Each is about ten times what the largest expected installation needs, and small enough
// that a malformed file does no harm to the controller that reads it.
const (
	maxFiles      = 1000
	maxDepth      = 16       // of nested includes, and of pools within pools
	maxTotalBytes = 16 << 20 // of all files together
	maxLineBytes  = 16 << 10
	maxSections   = 50_000
	maxMessages   = 200
	maxNesting    = 50 // depth of parentheses; see excessNestingColumn for nots
)

// sourceLine is one line of a file.
type sourceLine struct {
	file    *sourceFile
	number  int
	text    string // without the line ending
	code    string
	comment string
	node    *lineNode // nil for lines without code and for invalid lines
	invalid bool
}

// sourceFile is a file that was read and split into lines.
type sourceFile struct {
	path  string // as shown in messages
	lines []sourceLine
}

// loader reads a file and its includes, and collects their sections.
type loader struct {
	rootDir      string                 // resolved directory of the first file; included files must be inside it
	parsedFiles  map[string]*sourceFile // by resolved path; the value is nil while the file is being read
	includeChain []includeStep          // files from the first one to the one being read
	fileCount    int
	totalBytes   int64
	sections     []*section
	messages     Messages
}

// includeStep is a file in the chain of includes. line is the number of the include statement being processed in it.
type includeStep struct {
	path, resolvedPath string
	line               int
}

// section is one section of the configuration.
type section struct {
	kind, name     string
	line           *sourceLine
	column         int
	nameColumn     int
	entries        []*entry
	hasInvalidLine bool // at least one of its lines could not be parsed
}

// entry is one key of a section.
type entry struct {
	key    string
	line   *sourceLine
	column int
	node   *lineNode
}

// reportError adds an error at a line and column.
func (l *loader) reportError(line *sourceLine, column int, problem, expected string, related ...Related) {
	l.addMessage(Message{File: line.file.path, Line: line.number, Column: column, Problem: problem, Expected: expected,
		Related: related, source: line.text})
}

// reportWarning adds a warning at a line and column.
func (l *loader) reportWarning(line *sourceLine, column int, problem, expected string, related ...Related) {
	l.addMessage(Message{File: line.file.path, Line: line.number, Column: column, Warning: true, Problem: problem, Expected: expected,
		Related: related, source: line.text})
}

// addMessage adds a message. After maxMessages it adds a final one, that the rest is not shown, and drops all others.
func (l *loader) addMessage(m Message) {
	if len(l.messages) < maxMessages {
		l.messages = append(l.messages, m)
	} else if len(l.messages) == maxMessages {
		l.messages = append(l.messages, Message{File: m.File, Line: m.Line, Column: m.Column, Problem: "too many errors; the rest is not shown"})
	}
}

// loadRoot reads the first file, whose directory bounds the includes.
func (l *loader) loadRoot(path string) {
	resolved, err := resolve(path)
	if err != nil {
		l.addMessage(Message{File: path, Line: 1, Column: 1, Problem: "can't be read: " + reason(err),
			Expected: "the path of a configuration file"})
		return
	}
	l.rootDir, l.parsedFiles = filepath.Dir(resolved), map[string]*sourceFile{}
	l.loadFile(path, resolved, nil, 1)
}

// resolve returns the absolute path of a file without symbolic links, so that a file has one path whatever links point to it.
func resolve(path string) (string, error) {
	resolved, err := filepath.EvalSymlinks(path)
	if err != nil {
		return "", err
	}
	return filepath.Abs(resolved)
}

// reason returns the text of an error without the path, which the messages already contain.
func reason(err error) string {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// readBounded reads a regular file. It fails if all files together exceed maxTotalBytes.
func (l *loader) readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return nil, err
	case info.IsDir():
		return nil, errors.New("it is a directory")
	case !info.Mode().IsRegular():
		return nil, errors.New("it is not a regular file")
	case l.totalBytes+info.Size() > maxTotalBytes:
		return nil, fmt.Errorf("it is too large: all files together may have %d MB", maxTotalBytes>>20)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// The file may grow while it is being read.
	raw, err := io.ReadAll(io.LimitReader(f, maxTotalBytes-l.totalBytes+1))
	l.totalBytes += int64(len(raw))
	if err == nil && l.totalBytes > maxTotalBytes {
		err = fmt.Errorf("it is too large: all files together may have %d MB", maxTotalBytes>>20)
	}
	return raw, err
}

// loadFile reads one file and collects its sections. include is the line that includes it, or nil for the first file.
func (l *loader) loadFile(path, resolved string, include *sourceLine, column int) {
	report := func(problem, expected string) {
		if include != nil {
			l.reportError(include, column, fmt.Sprintf("include %q: %s", path, problem), expected)
		} else {
			l.addMessage(Message{File: path, Line: 1, Column: 1, Problem: "can't be read: " + problem, Expected: expected})
		}
	}
	if l.fileCount++; l.fileCount > maxFiles {
		report(fmt.Sprintf("more than %d files", maxFiles), "fewer files")
		return
	}
	if len(l.includeChain) >= maxDepth {
		report(fmt.Sprintf("includes go deeper than %d files", maxDepth), "less deeply nested includes")
		return
	}
	raw, err := l.readBounded(resolved)
	if err != nil {
		report(reason(err), "a readable file")
		l.parsedFiles[resolved] = &sourceFile{path: path}
		return
	}
	l.parsedFiles[resolved] = nil
	l.includeChain = append(l.includeChain, includeStep{path, resolved, 0})
	file := parseFile(path, raw, l.addMessage)
	l.collect(file)
	l.includeChain = l.includeChain[:len(l.includeChain)-1]
	l.parsedFiles[resolved] = file
}

// parseFile splits a file into lines and parses each. Invalid lines are passed to report and marked.
func parseFile(path string, raw []byte, report func(Message)) *sourceFile {
	file := &sourceFile{path: path}
	raw = bytes.TrimPrefix(raw, []byte("\ufeff"))
	for number := 1; len(raw) > 0; number++ {
		text, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		text = bytes.TrimSuffix(text, []byte("\r"))
		line := sourceLine{file: file, number: number, text: string(text)}
		markInvalid := func(column int, problem, expected string) {
			report(Message{File: path, Line: number, Column: column, Problem: problem, Expected: expected, source: line.text})
			line.code, line.comment, line.invalid = "", "", true
		}
		line.code, line.comment = cutComment(line.text)
		line.code = strings.TrimRight(line.code, " \t")
		control := strings.IndexFunc(line.text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
		switch {
		case len(line.text) > maxLineBytes:
			line.text = line.text[:80]
			for !utf8.ValidString(line.text) {
				line.text = line.text[:len(line.text)-1]
			}
			markInvalid(1, fmt.Sprintf("a line of %d bytes", len(text)), fmt.Sprintf("lines of at most %d bytes", maxLineBytes))
		case !utf8.Valid(text):
			index := 0
			for valid := true; valid; {
				r, size := utf8.DecodeRune(text[index:])
				if valid = r != utf8.RuneError || size > 1; valid {
					index += size
				}
			}
			column := utf8.RuneCount(text[:index]) + 1
			line.text = strings.ToValidUTF8(line.text, "\ufffd")
			markInvalid(column, "bytes that are not valid UTF-8", "text in UTF-8")
		case control >= 0:
			markInvalid(utf8.RuneCountInString(line.text[:control])+1, fmt.Sprintf("control character %q", line.text[control]),
				"text without control characters")
		}
		file.lines = append(file.lines, line)
	}
	errs := parseLines(file.lines)
	for index := range file.lines {
		if line := &file.lines[index]; errs[index] != nil {
			report(Message{File: path, Line: line.number, Column: errs[index].Column, Problem: errs[index].Problem,
				Expected: errs[index].Expected, source: line.text})
			line.code, line.comment, line.invalid = "", "", true
		}
	}
	return file
}

// linesPerGoroutine is the number of lines that justify one more goroutine: a few milliseconds of work.
const linesPerGoroutine = 100

// parseLines parses the code of the lines on all cores, because parsing is most of the work of a check. errs has the error of each
// line, or nil.
func parseLines(lines []sourceLine) (errs []*Message) {
	errs = make([]*Message, len(lines))
	workers := min(runtime.GOMAXPROCS(0), len(lines)/linesPerGoroutine+1)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for index := worker * len(lines) / workers; index < (worker+1)*len(lines)/workers; index++ {
				if lines[index].code != "" {
					lines[index].node, errs[index] = parseLine(lines[index].code)
				}
			}
		})
	}
	group.Wait()
	return errs
}

// collect adds the sections of a file and processes its includes.
func (l *loader) collect(file *sourceFile) {
	var current *section
	afterInvalidHeader := false // keys after an invalid header belong to no section and are not reported
	for index := range file.lines {
		line := &file.lines[index]
		switch node := line.node; {
		case node == nil:
			if line.invalid && strings.HasPrefix(strings.TrimSpace(line.text), "[") {
				current, afterInvalidHeader = nil, true
			} else if line.invalid && current != nil {
				current.hasInvalidLine = true
			}
		case node.Section != nil:
			current, afterInvalidHeader = l.addSection(line, node.Section), false
		case node.Entry != nil && node.Entry.Key == "include" && current == nil && !afterInvalidHeader:
			l.processInclude(line, node.Entry)
		case node.Entry != nil && node.Entry.Key == "include" && current != nil:
			l.reportError(line, node.Entry.Pos.Column, fmt.Sprintf("include in section [%s %q]", current.kind, current.name),
				"includes before the first section of a file")
		case current == nil && !afterInvalidHeader:
			l.reportError(line, 1, "a key before the first section", `a section such as [pool "norte"] before it`)
		case current != nil:
			e := &entry{line: line, node: node}
			if node.Match != nil {
				e.key, e.column = node.Match.Key, node.Match.Pos.Column
			} else {
				e.key, e.column = node.Entry.Key, node.Entry.Pos.Column
			}
			current.entries = append(current.entries, e)
		}
	}
}

// addSection adds a section. Each section above maxSections is reported as an error and dropped.
func (l *loader) addSection(line *sourceLine, node *sectionNode) *section {
	s := &section{kind: node.Kind, line: line, column: node.Pos.Column, nameColumn: node.Pos.Column}
	if node.Name != nil {
		s.name, s.nameColumn = node.Name.word(), node.Name.Pos.Column
	}
	if len(l.sections) == maxSections {
		l.reportError(line, s.column, fmt.Sprintf("more than %d sections", maxSections), "fewer sections")
	}
	if len(l.sections) < maxSections {
		l.sections = append(l.sections, s)
	}
	return s
}

// word returns a text without its quotes. Within quotes, \" stands for a quote.
func (t *textNode) word() string {
	if t.Quoted == "" {
		return t.Bare
	}
	return strings.ReplaceAll(t.Quoted[1:len(t.Quoted)-1], `\"`, `"`)
}

// processInclude includes the listed files. Paths are relative to the including file; a pattern includes all matches, sorted by name.
func (l *loader) processInclude(line *sourceLine, node *entryNode) {
	for _, value := range node.Values {
		if value.Text == nil {
			l.reportError(line, value.Pos.Column, "an include without a path", `a path such as "rooms/norte.conf"`)
			continue
		}
		pattern := value.Text.word()
		path := pattern
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(line.file.path), path)
		}
		paths := []string{path}
		if strings.ContainsAny(pattern, "*?[") {
			found, err := filepath.Glob(path)
			if err != nil {
				l.reportError(line, value.Pos.Column, fmt.Sprintf("include %q: %v", pattern, err), "a path, in which * and ? stand for any characters")
				continue
			}
			if paths = found; len(found) == 0 {
				l.reportWarning(line, value.Pos.Column, fmt.Sprintf("include %q finds no file", pattern), "")
			}
			slices.Sort(paths)
		}
		for _, path := range paths {
			l.includeFile(line, value.Pos.Column, path)
		}
	}
}

// includeFile includes one file unless it was read before. It rejects files outside of rootDir, and cycles.
func (l *loader) includeFile(line *sourceLine, column int, path string) {
	resolved, err := resolve(path)
	if err != nil {
		l.reportError(line, column, fmt.Sprintf("include %q: %s", path, reason(err)), "a readable file")
		return
	}
	if relative, err := filepath.Rel(l.rootDir, resolved); err != nil || relative == ".." || strings.HasPrefix(relative, "../") {
		l.reportError(line, column, fmt.Sprintf("include %q leads out of the top directory", path),
			"a file in the directory of the first file or below it")
		return
	}
	l.includeChain[len(l.includeChain)-1].line = line.number
	if f, seen := l.parsedFiles[resolved]; seen && f != nil {
		return // each file is read once
	} else if seen {
		var related []Related
		first := slices.IndexFunc(l.includeChain, func(s includeStep) bool { return s.resolvedPath == resolved })
		for n, s := range l.includeChain[first:] {
			next := path
			if first+n+1 < len(l.includeChain) {
				next = l.includeChain[first+n+1].path
			}
			related = append(related, Related{s.path, s.line, fmt.Sprintf("includes %q", next)})
		}
		l.reportError(line, column, fmt.Sprintf("include cycle: %q is being read already", path), "files that do not include one another",
			related...)
		return
	}
	l.loadFile(path, resolved, line, column)
}
