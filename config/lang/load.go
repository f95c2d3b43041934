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
	mostFiles    = 1000
	mostDepth    = 16
	mostBytes    = 16 << 20 // of all files together
	mostLine     = 16 << 10
	mostSections = 50_000
	mostMessages = 200
	mostNesting  = 50 // of parentheses and nots
)

// line is one line of a file.
type line struct {
	file    *file
	number  int
	text    string // without its end
	code    string
	comment string
	node    *lineNode // nil for lines without code, and faulty ones
	faulty  bool
}

// file is one file as it was read.
type file struct {
	path  string // as it is named in messages
	lines []line
}

// loader reads a file and those that it includes.
type loader struct {
	top      string           // the directory that nothing may be included from outside of, resolved
	done     map[string]*file // by resolved path; nil while it is being read
	chain    []step           // the includes that led here
	files    int
	bytes    int64
	sections []*section
	messages Messages
}

// step is an include on the way to a file.
type step struct {
	path, real string
	line       int
}

// section is one section of the whole configuration.
type section struct {
	kind, name string
	at         *line
	col        int
	nameCol    int
	entries    []*entry
	faulty     bool // a line of it could not be read
}

// entry is one key of a section.
type entry struct {
	key  string
	at   *line
	col  int
	node *lineNode
}

func (l *loader) say(at *line, col int, what, wanted string, related ...Related) {
	l.add(Message{File: at.file.path, Line: at.number, Col: col, What: what, Wanted: wanted, Related: related, text: at.text})
}

func (l *loader) warn(at *line, col int, what, wanted string, related ...Related) {
	l.add(Message{File: at.file.path, Line: at.number, Col: col, Warning: true, What: what, Wanted: wanted,
		Related: related, text: at.text})
}

func (l *loader) add(m Message) {
	if len(l.messages) < mostMessages {
		l.messages = append(l.messages, m)
	} else if len(l.messages) == mostMessages {
		l.messages = append(l.messages, Message{File: m.File, Line: m.Line, Col: m.Col, What: "too many errors; the rest is not shown"})
	}
}

// load reads the first file.
func (l *loader) load(path string) {
	real, err := resolve(path)
	if err != nil {
		l.add(Message{File: path, Line: 1, Col: 1, What: "can't be read: " + reason(err), Wanted: "the path of a configuration file"})
		return
	}
	l.top, l.done = filepath.Dir(real), map[string]*file{}
	l.read(path, real, nil, 1)
}

// resolve gives the one path by which a file is known, whatever links lead to it.
func resolve(path string) (string, error) {
	real, err := filepath.EvalSymlinks(path)
	if err != nil {
		return "", err
	}
	return filepath.Abs(real)
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
func (l *loader) readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return nil, err
	case info.IsDir():
		return nil, errors.New("it is a directory")
	case !info.Mode().IsRegular():
		return nil, errors.New("it is no regular file")
	case l.bytes+info.Size() > mostBytes:
		return nil, fmt.Errorf("it is too large: all files together may have %d MB", mostBytes>>20)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// It may grow while it is read.
	raw, err := io.ReadAll(io.LimitReader(f, mostBytes-l.bytes+1))
	l.bytes += int64(len(raw))
	if err == nil && l.bytes > mostBytes {
		err = fmt.Errorf("it is too large: all files together may have %d MB", mostBytes>>20)
	}
	return raw, err
}

// read takes in one file, at the place of the include that named it.
func (l *loader) read(path, real string, include *line, col int) {
	fail := func(what, wanted string) {
		if include != nil {
			l.say(include, col, fmt.Sprintf("include %q: %s", path, what), wanted)
		} else {
			l.add(Message{File: path, Line: 1, Col: 1, What: "can't be read: " + what, Wanted: wanted})
		}
	}
	if l.files++; l.files > mostFiles {
		fail(fmt.Sprintf("more than %d files", mostFiles), "fewer files")
		return
	}
	if len(l.chain) >= mostDepth {
		fail(fmt.Sprintf("includes go deeper than %d files", mostDepth), "a flatter order of files")
		return
	}
	raw, err := l.readFile(real)
	if err != nil {
		fail(reason(err), "a readable file")
		l.done[real] = &file{path: path}
		return
	}
	l.done[real] = nil
	l.chain = append(l.chain, step{path, real, 0})
	f := parseFile(path, raw, l.add)
	l.collect(f)
	l.chain = l.chain[:len(l.chain)-1]
	l.done[real] = f
}

// parseFile splits a file into lines and reads each.
func parseFile(path string, raw []byte, say func(Message)) *file {
	f := &file{path: path}
	raw = bytes.TrimPrefix(raw, []byte("\ufeff"))
	for number := 1; len(raw) > 0; number++ {
		text, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		text = bytes.TrimSuffix(text, []byte("\r"))
		at := line{file: f, number: number, text: string(text)}
		fault := func(col int, what, wanted string) {
			say(Message{File: path, Line: number, Col: col, What: what, Wanted: wanted, text: at.text})
			at.code, at.comment, at.faulty = "", "", true
		}
		at.code, at.comment = cutComment(at.text)
		at.code = strings.TrimRight(at.code, " \t")
		control := strings.IndexFunc(at.text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
		switch {
		case len(at.text) > mostLine:
			at.text = at.text[:80]
			for !utf8.ValidString(at.text) {
				at.text = at.text[:len(at.text)-1]
			}
			fault(1, fmt.Sprintf("a line of %d bytes", len(text)), fmt.Sprintf("lines of at most %d bytes", mostLine))
		case !utf8.Valid(text):
			n := 0
			for valid := true; valid; {
				r, size := utf8.DecodeRune(text[n:])
				if valid = r != utf8.RuneError || size > 1; valid {
					n += size
				}
			}
			col := utf8.RuneCount(text[:n]) + 1
			at.text = strings.ToValidUTF8(at.text, "\ufffd")
			fault(col, "bytes that are no UTF-8", "text in UTF-8")
		case control >= 0:
			fault(utf8.RuneCountInString(at.text[:control])+1, fmt.Sprintf("control character %q", at.text[control]),
				"text without control characters")
		}
		f.lines = append(f.lines, at)
	}
	wrong := parseLines(f.lines)
	for n := range f.lines {
		if at := &f.lines[n]; wrong[n] != nil {
			say(Message{File: path, Line: at.number, Col: wrong[n].Col, What: wrong[n].What, Wanted: wrong[n].Wanted, text: at.text})
			at.code, at.comment, at.faulty = "", "", true
		}
	}
	return f
}

// together is how many lines make it worth to start one more goroutine: some milliseconds of work.
const together = 100

// parseLines reads the code of lines on all cores, as reading is most of the work of a check.
func parseLines(lines []line) (wrong []*Message) {
	wrong = make([]*Message, len(lines))
	parts := min(runtime.GOMAXPROCS(0), len(lines)/together+1)
	var all sync.WaitGroup
	for part := range parts {
		all.Go(func() {
			for n := part * len(lines) / parts; n < (part+1)*len(lines)/parts; n++ {
				if lines[n].code != "" {
					lines[n].node, wrong[n] = parseLine(lines[n].code)
				}
			}
		})
	}
	all.Wait()
	return wrong
}

// collect takes the sections of a file, and follows its includes.
func (l *loader) collect(f *file) {
	var in *section
	lost := false // what follows a faulty header belongs nowhere
	for n := range f.lines {
		at := &f.lines[n]
		switch node := at.node; {
		case node == nil:
			if at.faulty && strings.HasPrefix(strings.TrimSpace(at.text), "[") {
				in, lost = nil, true
			} else if at.faulty && in != nil {
				in.faulty = true
			}
		case node.Section != nil:
			in, lost = l.section(at, node.Section), false
		case node.Entry != nil && node.Entry.Key == "include" && in == nil && !lost:
			l.include(at, node.Entry)
		case node.Entry != nil && node.Entry.Key == "include" && in != nil:
			l.say(at, node.Entry.Pos.Column, fmt.Sprintf("include in section [%s %q]", in.kind, in.name),
				"includes before the first section of a file")
		case in == nil && !lost:
			l.say(at, 1, "a key before the first section", `a section such as [pool "norte"] before it`)
		case in != nil:
			e := &entry{at: at, node: node}
			if node.Match != nil {
				e.key, e.col = node.Match.Key, node.Match.Pos.Column
			} else {
				e.key, e.col = node.Entry.Key, node.Entry.Pos.Column
			}
			in.entries = append(in.entries, e)
		}
	}
}

func (l *loader) section(at *line, node *sectionNode) *section {
	s := &section{kind: node.Kind, at: at, col: node.Pos.Column, nameCol: node.Pos.Column}
	if node.Name != nil {
		s.name, s.nameCol = node.Name.word(), node.Name.Pos.Column
	}
	if len(l.sections) == mostSections {
		l.say(at, s.col, fmt.Sprintf("more than %d sections", mostSections), "fewer sections")
	}
	if len(l.sections) < mostSections {
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
func (l *loader) include(at *line, node *entryNode) {
	for _, v := range node.Values {
		if v.Text == nil {
			l.say(at, v.Pos.Column, "an include without a path", `a path such as "rooms/norte.conf"`)
			continue
		}
		named := v.Text.word()
		path := named
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(at.file.path), path)
		}
		paths := []string{path}
		if strings.ContainsAny(named, "*?[") {
			found, err := filepath.Glob(path)
			if err != nil {
				l.say(at, v.Pos.Column, fmt.Sprintf("include %q: %v", named, err), "a path, in which * and ? stand for any characters")
				continue
			}
			if paths = found; len(found) == 0 {
				l.warn(at, v.Pos.Column, fmt.Sprintf("include %q finds no file", named), "")
			}
			slices.Sort(paths)
		}
		for _, path := range paths {
			l.follow(at, v.Pos.Column, path)
		}
	}
}

func (l *loader) follow(at *line, col int, path string) {
	real, err := resolve(path)
	if err != nil {
		l.say(at, col, fmt.Sprintf("include %q: %s", path, reason(err)), "a readable file")
		return
	}
	if inside, err := filepath.Rel(l.top, real); err != nil || inside == ".." || strings.HasPrefix(inside, "../") {
		l.say(at, col, fmt.Sprintf("include %q leads out of the top directory", path),
			"a file in the directory of the first file or below it")
		return
	}
	l.chain[len(l.chain)-1].line = at.number
	if f, met := l.done[real]; met && f != nil {
		return // each file once
	} else if met {
		var related []Related
		from := slices.IndexFunc(l.chain, func(s step) bool { return s.real == real })
		for n, s := range l.chain[from:] {
			next := path
			if from+n+1 < len(l.chain) {
				next = l.chain[from+n+1].path
			}
			related = append(related, Related{s.path, s.line, fmt.Sprintf("includes %q", next)})
		}
		l.say(at, col, fmt.Sprintf("include cycle: %q is being read already", path), "files that do not include one another",
			related...)
		return
	}
	l.read(path, real, at, col)
}
