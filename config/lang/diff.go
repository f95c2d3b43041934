package lang

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yarrowbarrow/decide/route"
)

// Change is one thing that a later version means differently.
type Change struct {
	How  string `json:"how"` // added, gone, changed, moved or jobs
	Kind string `json:"kind"`
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	Was  string `json:"was,omitempty"`
	Now  string `json:"now,omitempty"`
	File string `json:"file,omitempty"` // of the later version, or the earlier one for what is gone
	Line int    `json:"line,omitempty"`
	// Doubt is set where a figure changed so much that its unit is worth a second look.
	Doubt string `json:"doubt,omitempty"`
	// Example is a job that goes elsewhere, with How jobs.
	Example string `json:"example,omitempty"`
}

func (c Change) String() string {
	at := ""
	if c.File != "" {
		at = fmt.Sprintf(" (%s:%d)", c.File, c.Line)
	}
	s := ""
	switch c.How {
	case "added":
		s = fmt.Sprintf("+ %s %q%s", c.Kind, c.Name, at)
		if c.Key != "" {
			s = fmt.Sprintf("+ %s %q: %s = %s%s", c.Kind, c.Name, c.Key, c.Now, at)
		}
	case "gone":
		s = fmt.Sprintf("- %s %q%s", c.Kind, c.Name, at)
		if c.Key != "" {
			s = fmt.Sprintf("- %s %q: %s = %s", c.Kind, c.Name, c.Key, c.Was)
		}
	case "changed":
		s = fmt.Sprintf("~ %s %q: %s = %s, was %s%s", c.Kind, c.Name, c.Key, c.Now, c.Was, at)
	case "moved":
		s = fmt.Sprintf("~ %s %q: now %s, was %s%s", c.Kind, c.Name, c.Now, c.Was, at)
	case "jobs":
		s = fmt.Sprintf("> jobs go from %s to %s, such as %s", c.Was, c.Now, c.Example)
	}
	if c.Doubt != "" {
		s += "\n  ! " + c.Doubt
	}
	return s
}

// doubtful is the factor from which on a changed figure is pointed out: a unit mistaken for its neighbour is off by 60
// or more, most by 1000; a change that is meant is rarely a hundredfold.
const doubtful = 100

// Diff tells what a later version means differently, after includes and inheritance. Both must be free of errors.
// complete is false where the question which jobs go elsewhere was too large to be followed to its end.
func Diff(was, now *Config) (changes []Change, complete bool) {
	for _, kind := range kinds {
		old, later := was.checker.named[kind], now.checker.named[kind]
		for _, s := range was.checker.sections {
			if s.kind == kind && old[s.name] == s && later[s.name] == nil {
				changes = append(changes, Change{How: "gone", Kind: kind, Name: s.name, File: s.at.file.path, Line: s.at.number})
			}
		}
		for _, s := range now.checker.sections {
			if s.kind != kind || later[s.name] != s {
				continue
			}
			before := old[s.name]
			if before == nil {
				changes = append(changes, Change{How: "added", Kind: kind, Name: s.name, File: s.at.file.path, Line: s.at.number})
				continue
			}
			changes = append(changes, keys(was.keys(before), now.keys(s), s)...)
		}
	}
	changes = append(changes, moved(was, now)...)
	jobs, complete := was.Plan.Differences(now.Plan, func(a, b *route.Route) bool { return a.Goes() == b.Goes() })
	for _, m := range jobs {
		changes = append(changes, Change{How: "jobs", Kind: "route", Name: nameOf(m.From), Was: m.From.Goes(),
			Now: m.To.Goes(), Example: Describe(&m.Example)})
	}
	return changes, complete
}

func nameOf(r *route.Route) string {
	if r == nil {
		return ""
	}
	return string(r.Name)
}

// Describe writes a job in the terms of a match.
func Describe(j *route.Job) string {
	parts := []string{"type = " + bare(j.Type)}
	if j.Customer != "" {
		parts = append(parts, "customer = "+bare(j.Customer))
	}
	if j.Front != "" {
		parts = append(parts, "front = "+bare(j.Front))
	}
	if j.Tables >= 0 {
		parts = append(parts, fmt.Sprintf("tables = %d", j.Tables))
	}
	if j.Cost >= 0 {
		parts = append(parts, "cost = "+Figure{work, int64(j.Cost)}.String())
	}
	if j.Memory >= 0 {
		parts = append(parts, "memory = "+Figure{size, j.Memory}.String())
	}
	return strings.Join(append(parts, "left = "+Figure{duration, int64(j.Left)}.String()), ", ")
}

// keys are a section's settings with those that it inherits.
func (c *Config) keys(s *section) map[string]*setting {
	if s.kind == "policy" {
		return c.checker.effective(s)
	}
	return c.checker.settings[s]
}

func keys(was, now map[string]*setting, s *section) (changes []Change) {
	for _, k := range schema[s.kind] {
		a, b := was[k.name], now[k.name]
		change := Change{Kind: s.kind, Name: s.name, Key: k.name}
		if b != nil {
			change.Now, change.File, change.Line = b.canonical(), b.at.file.path, b.at.number
		}
		if a != nil {
			change.Was = a.canonical()
		}
		switch {
		case a == nil && b == nil || change.Was == change.Now && a != nil && b != nil:
			continue
		case k.form == patternsForm && a != nil && b != nil && sameSet(a.patterns, b.patterns):
			continue
		case a == nil:
			change.How = "added"
		case b == nil:
			change.How = "gone"
		default:
			change.How = "changed"
			if x, y := a.figure, b.figure; (k.form == figureForm || k.form == countOrShare) && x.Kind == y.Kind &&
				x.Value > 0 && y.Value > 0 {
				if factor := float64(max(x.Value, y.Value)) / float64(min(x.Value, y.Value)); factor >= doubtful {
					change.Doubt = fmt.Sprintf("a change by a factor of %.0f: is the unit meant?", factor)
				}
			}
		}
		changes = append(changes, change)
	}
	return changes
}

func sameSet(a, b []route.Pattern) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// moved tells of routes that stand elsewhere among those that both versions have, where that matters: where a route
// that they passed takes some of the same jobs.
func moved(was, now *Config) (changes []Change) {
	place := map[route.RouteName]int{}
	for n, r := range was.Plan.Routes {
		place[r.Name] = n
	}
	var both []*route.Route
	for _, r := range now.Plan.Routes {
		if _, had := place[r.Name]; had {
			both = append(both, r)
		}
	}
	stays := route.Rising(both, func(r *route.Route) int { return place[r.Name] })
	for n, r := range both {
		if stays[n] {
			continue
		}
		for m, other := range both {
			if m == n || !stays[m] || (m < n) == (place[other.Name] < place[r.Name]) || !r.Overlaps(other) {
				continue
			}
			s := now.checker.named["route"][string(r.Name)]
			order := [...]string{"before", "behind"}
			at, before := order[0], order[1]
			if m < n {
				at, before = before, at
			}
			changes = append(changes, Change{How: "moved", Kind: "route", Name: string(r.Name),
				Now: fmt.Sprintf("%s route %q", at, other.Name), Was: before + " it", File: s.at.file.path, Line: s.at.number})
			break
		}
	}
	return changes
}

// ParseJob reads a job written as Describe writes it: terms with = and commas. What is not said is untold; the time
// left is then a minute.
func ParseJob(text string) (route.Job, error) {
	j := route.Job{Tables: route.Untold, Cost: route.Untold, Memory: route.Untold, Left: time.Minute}
	for _, part := range strings.Split(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		name, value, has := strings.Cut(part, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		node, wrong := parseLine("x = " + value)
		if !has || wrong != nil || len(node.Entry.Values) != 1 || node.Entry.Values[0].To != nil {
			return j, fmt.Errorf("%q: wanted: a term such as type = lookup", part)
		}
		v := node.Entry.Values[0]
		n := slices.IndexFunc(terms[:], func(t termInfo) bool { return t.name == name })
		if n < 0 {
			return j, fmt.Errorf("%q is not known%s; wanted: one of %s", name, meant(name, termNames()), strings.Join(termNames(), ", "))
		}
		var f Figure
		if terms[n].field >= route.Tables {
			if v.From == nil {
				return j, fmt.Errorf("%s: %q is no number; wanted: %s", name, value, terms[n].kind.form())
			}
			var err error
			if f, err = parseFigure(v.From.Text); err != nil || f.Kind != terms[n].kind {
				return j, fmt.Errorf("%s: %q; wanted: %s", name, value, terms[n].kind.form())
			}
		}
		switch terms[n].field {
		case route.Type:
			j.Type = v.word()
		case route.Customer:
			j.Customer = v.word()
		case route.Front:
			j.Front = v.word()
		case route.Tables:
			j.Tables = f.Value
		case route.Cost:
			j.Cost = time.Duration(f.Value)
		case route.Memory:
			j.Memory = f.Value
		case route.Left:
			j.Left = time.Duration(f.Value)
		}
	}
	return j, nil
}
