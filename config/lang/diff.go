package lang

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yarrowbarrow/decide/route"
)

// Change is one difference in meaning between two versions of a configuration.
type Change struct {
	Type string `json:"how"` // added, gone, changed, moved or jobs
	Kind string `json:"kind"`
	Name string `json:"name"`
	Key  string `json:"key,omitempty"`
	Old  string `json:"was,omitempty"`
	New  string `json:"now,omitempty"`
	File string `json:"file,omitempty"` // in the later version; for a section that is gone, in the earlier one
	Line int    `json:"line,omitempty"`
	// Caution is set if a quantity changed so much that its unit may be wrong.
	Caution string `json:"doubt,omitempty"`
	// Example is a job that is routed differently; it is set for the type jobs.
	Example string `json:"example,omitempty"`
}

func (c Change) String() string {
	location := ""
	if c.File != "" {
		location = fmt.Sprintf(" (%s:%d)", c.File, c.Line)
	}
	text := ""
	switch c.Type {
	case "added":
		text = fmt.Sprintf("+ %s %q%s", c.Kind, c.Name, location)
		if c.Key != "" {
			text = fmt.Sprintf("+ %s %q: %s = %s%s", c.Kind, c.Name, c.Key, c.New, location)
		}
	case "gone":
		text = fmt.Sprintf("- %s %q%s", c.Kind, c.Name, location)
		if c.Key != "" {
			text = fmt.Sprintf("- %s %q: %s = %s", c.Kind, c.Name, c.Key, c.Old)
		}
	case "changed":
		text = fmt.Sprintf("~ %s %q: %s = %s, was %s%s", c.Kind, c.Name, c.Key, c.New, c.Old, location)
	case "moved":
		text = fmt.Sprintf("~ %s %q: now %s, was %s%s", c.Kind, c.Name, c.New, c.Old, location)
	case "jobs":
		text = fmt.Sprintf("> jobs go from %s to %s, such as %s", c.Old, c.New, c.Example)
	}
	if c.Caution != "" {
		text += "\n  ! " + c.Caution
	}
	return text
}

// suspectFactor is the factor of change of a quantity from which a caution is added. Confusing a unit with the next one is off by
// a factor of at least 60, mostly 1000; an intended change by a factor of 100 is rare.
const suspectFactor = 100

// Diff returns the differences in meaning between two versions, after includes and inheritance. Both must be free of errors.
// complete is false if the search for jobs that are routed differently was too large to be finished.
func Diff(before, after *Config) (changes []Change, complete bool) {
	for _, kind := range sectionKinds {
		oldSections, newSections := before.checker.sectionsByName[kind], after.checker.sectionsByName[kind]
		for _, s := range before.checker.sections {
			if s.kind == kind && oldSections[s.name] == s && newSections[s.name] == nil {
				changes = append(changes, Change{Type: "gone", Kind: kind, Name: s.name, File: s.line.file.path, Line: s.line.number})
			}
		}
		for _, s := range after.checker.sections {
			if s.kind != kind || newSections[s.name] != s {
				continue
			}
			oldSection := oldSections[s.name]
			if oldSection == nil {
				changes = append(changes, Change{Type: "added", Kind: kind, Name: s.name, File: s.line.file.path, Line: s.line.number})
				continue
			}
			changes = append(changes, diffKeys(before.sectionSettings(oldSection), after.sectionSettings(s), s)...)
		}
	}
	changes = append(changes, movedRoutes(before, after)...)
	rerouted, complete := before.Plan.RoutingChanges(after.Plan, func(a, b *route.Route) bool { return a.Describe() == b.Describe() })
	for _, move := range rerouted {
		changes = append(changes, Change{Type: "jobs", Kind: "route", Name: routeName(move.From), Old: move.From.Describe(),
			New: move.To.Describe(), Example: FormatJob(&move.Example)})
	}
	return changes, complete
}

// routeName returns the name of a route, or an empty string for nil.
func routeName(r *route.Route) string {
	if r == nil {
		return ""
	}
	return string(r.Name)
}

// FormatJob returns a job as the terms of a match, separated by commas. Fields that the job does not state are left out.
func FormatJob(job *route.Job) string {
	parts := []string{"type = " + quoteIfNeeded(job.Type)}
	if job.Customer != "" {
		parts = append(parts, "customer = "+quoteIfNeeded(job.Customer))
	}
	if job.Front != "" {
		parts = append(parts, "front = "+quoteIfNeeded(job.Front))
	}
	if job.Tables >= 0 {
		parts = append(parts, fmt.Sprintf("tables = %d", job.Tables))
	}
	if job.Cost >= 0 {
		parts = append(parts, "cost = "+Quantity{work, int64(job.Cost)}.String())
	}
	if job.Memory >= 0 {
		parts = append(parts, "memory = "+Quantity{size, job.Memory}.String())
	}
	return strings.Join(append(parts, "left = "+Quantity{duration, int64(job.TimeLeft)}.String()), ", ")
}

// sectionSettings returns the settings of a section, and for a policy also those that it inherits.
func (c *Config) sectionSettings(s *section) map[string]*setting {
	if s.kind == "policy" {
		return c.checker.effectiveSettings(s)
	}
	return c.checker.settings[s]
}

// diffKeys compares the settings of two versions of a section; s is the later one.
func diffKeys(before, after map[string]*setting, s *section) (changes []Change) {
	for _, spec := range schema[s.kind] {
		oldValue, newValue := before[spec.name], after[spec.name]
		change := Change{Kind: s.kind, Name: s.name, Key: spec.name}
		if newValue != nil {
			change.New, change.File, change.Line = newValue.canonical(), newValue.line.file.path, newValue.line.number
		}
		if oldValue != nil {
			change.Old = oldValue.canonical()
		}
		switch {
		case oldValue == nil && newValue == nil || change.Old == change.New && oldValue != nil && newValue != nil:
			continue
		case spec.form == patternsForm && oldValue != nil && newValue != nil && sameSet(oldValue.patterns, newValue.patterns):
			continue
		case oldValue == nil:
			change.Type = "added"
		case newValue == nil:
			change.Type = "gone"
		default:
			change.Type = "changed"
			if oldQuantity, newQuantity := oldValue.quantity, newValue.quantity; (spec.form == quantityForm ||
				spec.form == countOrShareForm) && oldQuantity.Kind == newQuantity.Kind &&
				oldQuantity.Value > 0 && newQuantity.Value > 0 {
				if factor := float64(max(oldQuantity.Value, newQuantity.Value)) /
					float64(min(oldQuantity.Value, newQuantity.Value)); factor >= suspectFactor {
					change.Caution = fmt.Sprintf("a change by a factor of %.0f: is the unit meant?", factor)
				}
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// sameSet reports whether two lists contain the same patterns in any order.
func sameSet(a, b []route.Pattern) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// movedRoutes returns the routes whose order changed among those that both versions have, if the change matters: if a route
// that they moved past matches some of the same jobs.
func movedRoutes(before, after *Config) (changes []Change) {
	oldIndex := map[route.RouteName]int{}
	for index, r := range before.Plan.Routes {
		oldIndex[r.Name] = index
	}
	var common []*route.Route
	for _, r := range after.Plan.Routes {
		if _, existed := oldIndex[r.Name]; existed {
			common = append(common, r)
		}
	}
	inOrder := route.LongestIncreasingSubsequence(common, func(r *route.Route) int { return oldIndex[r.Name] })
	for index, r := range common {
		if inOrder[index] {
			continue
		}
		for otherIndex, other := range common {
			if otherIndex == index || !inOrder[otherIndex] || (otherIndex < index) == (oldIndex[other.Name] < oldIndex[r.Name]) || !r.Overlaps(other) {
				continue
			}
			s := after.checker.sectionsByName["route"][string(r.Name)]
			order := [...]string{"before", "behind"}
			newPosition, oldPosition := order[0], order[1]
			if otherIndex < index {
				newPosition, oldPosition = oldPosition, newPosition
			}
			changes = append(changes, Change{Type: "moved", Kind: "route", Name: string(r.Name),
				New: fmt.Sprintf("%s route %q", newPosition, other.Name), Old: oldPosition + " it",
				File: s.line.file.path, Line: s.line.number})
			break
		}
	}
	return changes
}

// ParseJob parses a job as FormatJob writes it: terms with =, separated by commas. Fields that are not given are empty or
// route.Unknown; the time left defaults to one minute.
func ParseJob(text string) (route.Job, error) {
	job := route.Job{Tables: route.Unknown, Cost: route.Unknown, Memory: route.Unknown, TimeLeft: time.Minute}
	for _, part := range strings.Split(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		name, value, hasEquals := strings.Cut(part, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		node, syntaxErr := parseLine("x = " + value)
		if !hasEquals || syntaxErr != nil || len(node.Entry.Values) != 1 || node.Entry.Values[0].To != nil {
			return job, fmt.Errorf("%q: wanted: a term such as type = lookup", part)
		}
		parsed := node.Entry.Values[0]
		index := slices.IndexFunc(terms[:], func(t termInfo) bool { return t.name == name })
		if index < 0 {
			return job, fmt.Errorf("%q is not known%s; wanted: one of %s", name, suggestion(name, termNames()), strings.Join(termNames(), ", "))
		}
		var quantity Quantity
		if terms[index].field >= route.Tables {
			if parsed.From == nil {
				return job, fmt.Errorf("%s: %q is no number; wanted: %s", name, value, terms[index].kind.example())
			}
			var err error
			if quantity, err = parseQuantity(parsed.From.Text); err != nil || quantity.Kind != terms[index].kind {
				return job, fmt.Errorf("%s: %q; wanted: %s", name, value, terms[index].kind.example())
			}
		}
		switch terms[index].field {
		case route.Type:
			job.Type = parsed.word()
		case route.Customer:
			job.Customer = parsed.word()
		case route.Front:
			job.Front = parsed.word()
		case route.Tables:
			job.Tables = quantity.Value
		case route.Cost:
			job.Cost = time.Duration(quantity.Value)
		case route.Memory:
			job.Memory = quantity.Value
		case route.Left:
			job.TimeLeft = time.Duration(quantity.Value)
		}
	}
	return job, nil
}
