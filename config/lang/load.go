// Package lang reads the operators' language: routes, pools, policies and teams in INI form, with includes and units.
//
// Load reads a file with all that it includes, checks it as a whole and gives the plan that package route obeys, or
// messages that name file, line and column. Format writes one file in its canonical form, and Diff tells what two
// versions mean differently. The language is described in docs/operate/configuration.md.
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

// What a configuration may come to. Each is some ten times what the largest installation in sight needs, and small
// enough that a wrong file does no harm to the controller that reads it.
const (
	maxFiles      = 1000
	maxDepth      = 16
	maxTotalBytes = 16 << 20 // of all files together
	maxLineBytes  = 16 << 10
	maxSections   = 50_000
	maxMessages   = 200
	maxNesting    = 50 // of parentheses and nots
)

// line is one line of a file.
type sourceLine struct {
	file    *sourceFile
	number  int
	text    string // without its end
	code    string
	comment string
	node    *lineNode // nil for lines without code, and faulty ones
	invalid bool
}

// file is one file as it was read.
type sourceFile struct {
	path  string // as it is named in messages
	lines []sourceLine
}

// loader reads a file and those that it includes.
type loader struct {
	rootDir      string                 // the directory that nothing may be included from outside of, resolved
	parsedFiles  map[string]*sourceFile // by resolved path; nil while it is being read
	includeChain []includeStep          // the includes that led here
	fileCount    int
	totalBytes   int64
	sections     []*section
	messages     Messages
}

// step is an include on the way to a file.
type includeStep struct {
	path, resolvedPath string
	line               int
}

// section is one section of the whole configuration.
type section struct {
	kind, name     string
	line           *sourceLine
	column         int
	nameColumn     int
	entries        []*entry
	hasInvalidLine bool // a line of it could not be read
}

// entry is one key of a section.
type entry struct {
	key    string
	line   *sourceLine
	column int
	node   *lineNode
}

func (l *loader) reportError(line *sourceLine, column int, problem, expected string, related ...Related) {
	l.addMessage(Message{File: line.file.path, Line: line.number, Column: column, Problem: problem, Expected: expected, Related: related, source: line.text})
}

func (l *loader) reportWarning(line *sourceLine, column int, problem, expected string, related ...Related) {
	l.addMessage(Message{File: line.file.path, Line: line.number, Column: column, Warning: true, Problem: problem, Expected: expected,
		Related: related, source: line.text})
}

func (l *loader) addMessage(m Message) {
	if len(l.messages) < maxMessages {
		l.messages = append(l.messages, m)
	} else if len(l.messages) == maxMessages {
		l.messages = append(l.messages, Message{File: m.File, Line: m.Line, Column: m.Column, Problem: "too many errors; the rest is not shown"})
	}
}

// load reads the first file.
func (l *loader) loadRoot(path string) {
	resolved, err := resolve(path)
	if err != nil {
		l.addMessage(Message{File: path, Line: 1, Column: 1, Problem: "can't be read: " + reason(err), Expected: "the path of a configuration file"})
		return
	}
	l.rootDir, l.parsedFiles = filepath.Dir(resolved), map[string]*sourceFile{}
	l.loadFile(path, resolved, nil, 1)
}

// resolve gives the one path by which a file is known, whatever links lead to it.
func resolve(path string) (string, error) {
	resolved, err := filepath.EvalSymlinks(path)
	if err != nil {
		return "", err
	}
	return filepath.Abs(resolved)
}

// reason leaves out the path, which a message names by itself.
func reason(err error) string {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// readFile reads a regular file up to the bound of all bytes.
func (l *loader) readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return nil, err
	case info.IsDir():
		return nil, errors.New("it is a directory")
	case !info.Mode().IsRegular():
		return nil, errors.New("it is no regular file")
	case l.totalBytes+info.Size() > maxTotalBytes:
		return nil, fmt.Errorf("it is too large: all files together may have %d MB", maxTotalBytes>>20)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// It may grow while it is read.
	raw, err := io.ReadAll(io.LimitReader(f, maxTotalBytes-l.totalBytes+1))
	l.totalBytes += int64(len(raw))
	if err == nil && l.totalBytes > maxTotalBytes {
		err = fmt.Errorf("it is too large: all files together may have %d MB", maxTotalBytes>>20)
	}
	return raw, err
}

// read takes in one file, at the place of the include that named it.
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
		report(fmt.Sprintf("includes go deeper than %d files", maxDepth), "a flatter order of files")
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
	f := parseFile(path, raw, l.addMessage)
	l.collect(f)
	l.includeChain = l.includeChain[:len(l.includeChain)-1]
	l.parsedFiles[resolved] = f
}

// parseFile splits a file into lines and reads each.
func parseFile(path string, raw []byte, report func(Message)) *sourceFile {
	f := &sourceFile{path: path}
	raw = bytes.TrimPrefix(raw, []byte("\ufeff"))
	for number := 1; len(raw) > 0; number++ {
		text, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		text = bytes.TrimSuffix(text, []byte("\r"))
		line := sourceLine{file: f, number: number, text: string(text)}
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
			markInvalid(column, "bytes that are no UTF-8", "text in UTF-8")
		case control >= 0:
			markInvalid(utf8.RuneCountInString(line.text[:control])+1, fmt.Sprintf("control character %q", line.text[control]),
				"text without control characters")
		}
		f.lines = append(f.lines, line)
	}
	errs := parseLines(f.lines)
	for index := range f.lines {
		if line := &f.lines[index]; errs[index] != nil {
			report(Message{File: path, Line: line.number, Column: errs[index].Column, Problem: errs[index].Problem, Expected: errs[index].Expected, source: line.text})
			line.code, line.comment, line.invalid = "", "", true
		}
	}
	return f
}

// together is how many lines make it worth to start one more goroutine: some milliseconds of work.
const linesPerGoroutine = 100

// parseLines reads the code of lines on all cores, as reading is most of the work of a check.
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

// collect takes the sections of a file, and follows its includes.
func (l *loader) collect(f *sourceFile) {
	var current *section
	afterInvalidHeader := false // what follows a faulty header belongs nowhere
	for index := range f.lines {
		line := &f.lines[index]
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

// word is a text without its quotes.
func (t *textNode) word() string {
	if t.Quoted == "" {
		return t.Bare
	}
	return strings.ReplaceAll(t.Quoted[1:len(t.Quoted)-1], `\"`, `"`)
}

// include follows an include, relative to the file that it stands in, or all that its pattern finds, by name.
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
		return // each file once
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
