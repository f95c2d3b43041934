package lang

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"

	"yarrowbarrow/decide/route"
)

// Platform holds the parts of the platform's settings that a file is checked against. Values are not checked against an empty list.
type Platform struct {
	Classes   []PlatformClass
	Locations []string
	Kinds     []string
	Customers []string
	Fronts    []string
}

// PlatformClass is a job class of the platform. DedupWindow is how long engines remember the jobs that they ran; it is set for
// keyed classes.
type PlatformClass struct {
	Name                                 string
	LatencyTarget, Deadline, DedupWindow time.Duration
	Keyed                                bool
	Locations, Kinds                     []string // of the engines that its jobs may go to; empty: all
}

// Config is the result of loading and checking a configuration.
type Config struct {
	Plan     *route.Plan // nil if there is an error
	Messages Messages
	Fleet    *Fleet   // peers of the instances; nil if none are set or there is an error
	Files    []string // resolved paths of all files, sorted
	checker  *checker
}

// setting is a key with its parsed value. Which of the fields is set depends on the form of the key.
type setting struct {
	*entry
	quantity  Quantity
	patterns  []route.Pattern
	names     []string
	columns   []int // column of each pattern or name
	match     *route.Match
	definedIn *section // section that contains the key; for an inherited setting it is another one
}

// canonical returns the value as the formatter writes it.
func (s *setting) canonical() string { return formatValue(s.node) }

// Load reads a file with all its includes and checks it. Errors and warnings are returned as messages; the plan is nil if any of
// them is an error. If platform is not nil, types, customers, fronts, locations, kinds and times are checked against it.
func Load(path string, platform *Platform) *Config {
	l := &loader{}
	l.loadRoot(path)
	return l.checkedConfig(platform)
}

// checkedConfig checks the sections that were loaded and returns the result.
func (l *loader) checkedConfig(platform *Platform) *Config {
	c := &checker{loader: l, platform: platform, settings: map[*section]map[string]*setting{},
		sectionsByName: map[string]map[string]*section{}, pools: map[string]*route.Pool{}, policies: map[string]*route.Policy{}}
	c.check()
	l.messages.sort()
	result := &Config{Messages: l.messages, checker: c}
	for path := range l.parsedFiles {
		result.Files = append(result.Files, path)
	}
	slices.Sort(result.Files)
	if l.messages.ErrorCount() == 0 {
		result.Plan, result.Fleet = c.plan, c.fleet
	}
	return result
}

// checker validates the sections of a loader and builds the plan from them.
type checker struct {
	*loader
	platform       *Platform
	settings       map[*section]map[string]*setting
	sectionsByName map[string]map[string]*section // by kind and name
	pools          map[string]*route.Pool
	policies       map[string]*route.Policy
	usedSections   map[*section]bool
	plan           *route.Plan
	fleet          *Fleet
}

func (c *checker) check() {
	c.usedSections = map[*section]bool{}
	for _, kind := range sectionKinds {
		c.sectionsByName[kind] = map[string]*section{}
	}
	for _, s := range c.sections {
		c.checkSection(s)
	}
	for _, s := range c.sections {
		c.checkReferences(s)
		if s.kind == "pool" || s.kind == "label" {
			c.checkPlacement(s)
		}
	}
	c.plan = &route.Plan{}
	for _, s := range c.sections {
		switch s.kind {
		case "pool":
			c.buildPool(s)
		case "policy":
			c.buildPolicy(s)
		}
	}
	c.checkTeamShares()
	c.buildFleet()
	sectionByRoute := map[*route.Route]*section{}
	for _, s := range c.sections {
		if s.kind == "route" {
			r := c.buildRoute(s)
			sectionByRoute[r] = s
			c.plan.Routes = append(c.plan.Routes, r)
		}
	}
	for _, name := range sortedNames(c.pools) {
		c.plan.Pools = append(c.plan.Pools, c.pools[name])
	}
	if c.messages.ErrorCount() > 0 {
		return // the warnings below could become wrong once the errors are fixed
	}
	for _, s := range c.sections {
		if (s.kind == "pool" || s.kind == "policy" || s.kind == "label") && !c.usedSections[s] {
			c.reportWarning(s.line, s.nameColumn, fmt.Sprintf("%s %q is not used by any route", s.kind, s.name), "")
		}
	}
	for _, u := range c.plan.UnreachableRoutes() {
		s := sectionByRoute[u.Route]
		line, column := s.line, s.nameColumn
		if m := c.settings[s]["match"]; m != nil {
			line, column = m.line, m.column
		}
		problem := fmt.Sprintf("route %q is never reached: ", s.name)
		var related []Related
		if len(u.ShadowedBy) == 0 {
			problem += "its match holds for no job"
		} else {
			problem += "the routes before it take all of it"
		}
		for index, blocker := range u.ShadowedBy {
			if index == 5 {
				break
			}
			blocking := sectionByRoute[blocker]
			related = append(related, Related{blocking.line.file.path, blocking.line.number, fmt.Sprintf("route %q comes first", blocking.name)})
		}
		c.reportWarning(line, column, problem, "", related...)
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// maxNameBytes limits the length of names because they are written to logs and tables.
const maxNameBytes = 64

// checkSection checks the header of a section and reads the values of its keys.
func (c *checker) checkSection(s *section) {
	settings := map[string]*setting{}
	c.settings[s] = settings
	sameKind, known := c.sectionsByName[s.kind]
	switch {
	case !known:
		c.reportError(s.line, s.column, fmt.Sprintf("section [%s] is not known%s", s.kind, suggestion(s.kind, sectionKinds)),
			"one of "+strings.Join(sectionKinds, ", "))
		return
	case s.name == "":
		c.reportError(s.line, s.nameColumn, fmt.Sprintf("a %s without a name", s.kind), fmt.Sprintf("[%s \"name\"]", s.kind))
	case len(s.name) > maxNameBytes || strings.ContainsFunc(s.name, func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_. /", r)
	}):
		c.reportError(s.line, s.nameColumn, fmt.Sprintf("%q is no name", s.name),
			fmt.Sprintf("letters, digits, spaces and -_./, at most %d", maxNameBytes))
	case sameKind[s.name] != nil:
		first := sameKind[s.name]
		c.reportError(s.line, s.nameColumn, fmt.Sprintf("%s %q is there twice", s.kind, s.name), "each name once",
			Related{first.line.file.path, first.line.number, "the first one"})
	default:
		sameKind[s.name] = s
	}
	for _, e := range s.entries {
		spec := findKey(s.kind, e.key)
		switch first := settings[e.key]; {
		case spec == nil:
			c.reportError(e.line, e.column, fmt.Sprintf("key %q is not known in a %s%s", e.key, s.kind,
				suggestion(e.key, keyNames(s.kind))),
				"one of "+strings.Join(keyNames(s.kind), ", "))
		case first != nil:
			c.reportError(e.line, e.column, fmt.Sprintf("key %q is there twice in %s %q", e.key, s.kind, s.name),
				"each key once",
				Related{first.line.file.path, first.line.number, "the first one"})
		default:
			if value := c.readValue(e, spec); value != nil {
				value.definedIn = s
				settings[e.key] = value
			}
		}
	}
}

// readValue reads the value of a key. It reports an error and returns nil if the value is invalid.
func (c *checker) readValue(e *entry, spec *keySpec) *setting {
	result := &setting{entry: e}
	if spec.form == matchForm {
		if e.node.Match == nil {
			return nil
		}
		errorsBefore := c.messages.ErrorCount()
		match := c.buildMatch(e.line, e.node.Match.Expr)
		if c.messages.ErrorCount() > errorsBefore {
			return nil
		}
		if match.TooWide() {
			c.reportError(e.line, e.column, "the match comes to more than 256 combinations",
				"a simpler one, or several routes")
			return nil
		}
		result.match = match
		return result
	}
	if e.node.Entry == nil { // a match line: match is the only key with a grammar rule of its own
		return nil
	}
	values := e.node.Entry.Values
	if single := spec.form != patternsForm && spec.form != namesForm && spec.form != textsForm; single && len(values) > 1 {
		c.reportError(e.line, values[1].Pos.Column, fmt.Sprintf("%s takes one value, here are %d", spec.name, len(values)), "one value")
		return nil
	}
	for _, value := range values {
		if value.To != nil {
			c.reportError(e.line, value.Pos.Column, fmt.Sprintf("%s takes no range", spec.name), c.expectedValue(spec))
			return nil
		}
		column := value.Pos.Column
		switch spec.form {
		case quantityForm, countOrShareForm:
			if value.From == nil {
				c.reportError(e.line, column, fmt.Sprintf("%s: %q is no number", spec.name, value.Text.word()), c.expectedValue(spec))
				return nil
			}
			quantity, ok := c.readQuantity(e.line, value.From, spec)
			if !ok {
				return nil
			}
			result.quantity = quantity
			continue
		}
		word := value.word()
		if result.columns = append(result.columns, column); (spec.form == textForm || spec.form == textsForm) && word == "" {
			c.reportError(e.line, column, spec.name+": an empty text", c.expectedValue(spec))
			return nil
		}
		if spec.form == patternsForm {
			if word == "" {
				c.reportError(e.line, column, spec.name+": an empty text", c.expectedValue(spec))
				return nil
			}
			result.patterns = append(result.patterns, route.Pattern(word))
			continue
		}
		if spec.form == wordForm && !slices.Contains(spec.words, word) {
			c.reportError(e.line, column, fmt.Sprintf("%s: %q is not known%s", spec.name, word, suggestion(word, spec.words)), c.expectedValue(spec))
			return nil
		}
		if slices.Contains(result.names, word) {
			c.reportError(e.line, column, fmt.Sprintf("%s: %q is there twice", spec.name, word), "each name once")
			return nil
		}
		result.names = append(result.names, word)
	}
	return result
}

// word returns a value as text, without quotes. A number is returned as written.
func (v *valueNode) word() string {
	if v.Text != nil {
		return v.Text.word()
	}
	return v.From.Text
}

// expectedValue describes the values that a key accepts, for messages.
func (c *checker) expectedValue(spec *keySpec) string {
	switch spec.form {
	case quantityForm:
		minimum, maximum := Quantity{spec.kind, spec.min}, Quantity{spec.kind, spec.max}
		switch {
		case spec.max == math.MaxInt64:
			return spec.kind.example()
		case spec.kind == duration || spec.kind == count || spec.kind == share:
			return fmt.Sprintf("%s, %s to %s", spec.kind.example(), minimum, maximum)
		}
		return spec.kind.example()
	case countOrShareForm:
		return "a number of engines such as 2, or a share such as 50%"
	case patternsForm:
		return "texts, in which * and ? stand for any characters"
	case textForm, textsForm:
		return "a text in quotes"
	case wordForm:
		return strings.Join(spec.words, " or ")
	}
	return "the name of a " + spec.refKind
}

// readQuantity parses a number with its unit and checks its kind and range. It reports an error and returns false if any is wrong.
func (c *checker) readQuantity(line *sourceLine, node *quantityNode, spec *keySpec) (Quantity, bool) {
	quantity, err := parseQuantity(node.Text)
	column := node.Pos.Column
	switch {
	case err != nil:
		c.reportError(line, column, fmt.Sprintf("%s: %v", spec.name, err), c.expectedValue(spec))
	case spec.form == countOrShareForm && quantity.Kind == share:
		if quantity.Value == 0 || quantity.Value > 100*unitsPerPercent {
			c.reportError(line, column, fmt.Sprintf("%s: %s is out of range", spec.name, quantity), "above 0% to 100%")
			return quantity, false
		}
		return quantity, true
	case quantity.Kind != spec.kind && quantity.Kind == count && node.Text == quantity.String():
		c.reportError(line, column, fmt.Sprintf("%s: %s has no unit", spec.name, node.Text), c.expectedValue(spec))
	case quantity.Kind != spec.kind:
		c.reportError(line, column, fmt.Sprintf("%s: %s is %s, not %s", spec.name, node.Text, quantity.Kind, spec.kind), c.expectedValue(spec))
	case quantity.Value < spec.min || quantity.Value > spec.max:
		c.reportError(line, column, fmt.Sprintf("%s: %s is out of range", spec.name, node.Text), c.expectedValue(spec))
	default:
		return quantity, true
	}
	return quantity, false
}

// checkReferences reports names of sections that are not defined.
func (c *checker) checkReferences(s *section) {
	for _, spec := range schema[s.kind] {
		value := c.settings[s][spec.name]
		if value == nil || spec.form != nameForm && spec.form != namesForm {
			continue
		}
		for index, name := range value.names {
			if target := c.sectionsByName[spec.refKind][name]; target == nil {
				c.reportError(value.line, value.columns[index], fmt.Sprintf("%s %q is not defined%s", spec.refKind, name,
					suggestion(name, sortedNames(c.sectionsByName[spec.refKind]))),
					"the name of a "+spec.refKind+" of this configuration")
			}
		}
	}
}

// reportCycle reports whether s refers back to itself through the given key, directly or through other sections. The error is
// reported once for each cycle, at the first of its sections.
func (c *checker) reportCycle(s *section, key string) bool {
	chain := []*section{s}
	var walk func(current *section) bool
	seen := map[*section]bool{}
	walk = func(current *section) bool {
		value := c.settings[current][key]
		if value == nil || seen[current] {
			return false
		}
		seen[current] = true
		for _, name := range value.names {
			target := c.sectionsByName[current.kind][name]
			if target == s {
				return true
			}
			if target != nil {
				if chain = append(chain, target); walk(target) {
					return true
				}
				chain = chain[:len(chain)-1]
			}
		}
		return false
	}
	if !walk(s) {
		return false
	}
	for _, other := range chain { // reported at the first section of the cycle only
		if slices.Index(c.sections, other) < slices.Index(c.sections, s) {
			return true
		}
	}
	var related []Related
	for index, other := range chain {
		value := c.settings[other][key]
		related = append(related, Related{value.line.file.path, value.line.number,
			fmt.Sprintf("%s %q has %s = %s", other.kind, other.name, key, chain[(index+1)%len(chain)].name)})
	}
	value := c.settings[s][key]
	c.reportError(value.line, value.column, fmt.Sprintf("%s %q leads back to itself by %s", s.kind, s.name, key), "no cycle", related...)
	return true
}

// maxAlternatives limits the number of alternatives that a pool expands to: pools of pools and labels multiply.
const maxAlternatives = 64

// buildPool builds a pool for the plan and checks its settings.
func (c *checker) buildPool(s *section) {
	if s.name == "" || c.sectionsByName["pool"][s.name] != s {
		return
	}
	settings := c.settings[s]
	c.reportCycle(s, "overflow")
	if c.reportCycle(s, "pools") {
		c.pools[s.name] = &route.Pool{Name: route.PoolName(s.name)}
		return
	}
	pool := &route.Pool{Name: route.PoolName(s.name)}
	alternatives, ok := c.poolMembers(s, 0)
	if !ok {
		c.reportError(s.line, s.nameColumn, fmt.Sprintf("pool %q expands to more than %d alternatives", s.name, maxAlternatives),
			"fewer pools and labels in one pool")
	}
	pool.MemberSets = alternatives
	if len(settings["id"].patternList())+len(settings["location"].patternList())+len(settings["kind"].patternList()) == 0 &&
		settings["label"] == nil && settings["pools"] == nil && !c.hasUnreadableKey(s, "id", "location", "kind", "label", "pools") {
		c.reportError(s.line, s.nameColumn, fmt.Sprintf("pool %q names no engines", s.name),
			"at least one of id, location, kind, label, pools; id = * for all engines")
	}
	if value := settings["minimum"]; value != nil {
		if value.quantity.Kind == share {
			pool.MinShare = value.quantity.fraction()
		} else {
			pool.MinCount = int(value.quantity.Value)
		}
	}
	if value := settings["size"]; value != nil {
		pool.Size = int(value.quantity.Value)
		if pool.MinCount > pool.Size {
			c.reportError(settings["minimum"].line, settings["minimum"].column, fmt.Sprintf("minimum %d is above size %d", pool.MinCount, pool.Size),
				"a minimum that the pool can have", Related{value.line.file.path, value.line.number, "the size"})
		}
	}
	overflow, overflowAfter := settings["overflow"], settings["overflow-after"]
	if overflow != nil {
		pool.Overflow = route.PoolName(overflow.names[0])
		pool.OverflowAfter = defaultOverflowAfter
		if overflow.names[0] == s.name {
			return // already reported as a cycle
		}
	}
	if overflowAfter != nil {
		pool.OverflowAfter = time.Duration(overflowAfter.quantity.Value)
		if overflow == nil && !c.hasUnreadableKey(s, "overflow") {
			c.reportWarning(overflowAfter.line, overflowAfter.column, "overflow-after without overflow has no effect", "")
		}
	}
	c.pools[s.name] = pool
}

// checkPlacement checks the locations and kinds of a pool or label against the platform. An unknown location is only a warning
// because engines may be added there later; a kind must be in the settings.
func (c *checker) checkPlacement(s *section) {
	if c.platform == nil {
		return
	}
	checkKey := func(key string, allowed []string,
		report func(line *sourceLine, column int, problem, expected string, related ...Related)) {
		value := c.settings[s][key]
		for index, pattern := range value.patternList() {
			if len(allowed) > 0 && !slices.ContainsFunc(allowed, pattern.Matches) {
				report(value.line, value.columns[index], fmt.Sprintf("the platform has no %s %q%s", key, pattern, suggestion(string(pattern), allowed)),
					"one of "+strings.Join(allowed[:min(len(allowed), 8)], ", "))
			}
		}
	}
	checkKey("location", c.platform.Locations, c.reportWarning)
	checkKey("kind", c.platform.Kinds, c.reportError)
}

// defaultOverflowAfter is one fifth of a short latency target: a job that waits longer is likely to miss the target.
const defaultOverflowAfter = 100 * time.Millisecond

// patternList returns the patterns of a setting, or nil if the setting is nil.
func (s *setting) patternList() []route.Pattern {
	if s == nil {
		return nil
	}
	return s.patterns
}

// hasUnreadableKey reports whether the section may contain one of the keys with a value that could not be read. It avoids a
// second message, that the key is missing.
func (c *checker) hasUnreadableKey(s *section, keys ...string) bool {
	return s.hasInvalidLine || slices.ContainsFunc(s.entries, func(e *entry) bool {
		return slices.Contains(keys, e.key) && c.settings[s][e.key] == nil
	})
}

// poolMembers expands a pool into its alternatives. Each combines the conditions of the pool itself with one of its labels and one
// alternative of one of its pools. ok is false if there are more than maxAlternatives. Pools are followed down to maxDepth.
func (c *checker) poolMembers(s *section, depth int) (alternatives [][]route.Members, ok bool) {
	settings := c.settings[s]
	alternatives = [][]route.Members{nil}
	if members := (route.Members{IDs: settings["id"].patternList(), Locations: settings["location"].patternList(),
		Kinds: settings["kind"].patternList()}); len(members.IDs)+
		len(members.Locations)+len(members.Kinds) > 0 {
		alternatives = [][]route.Members{{members}}
	}
	if v := settings["label"]; v != nil {
		var labels [][]route.Members
		for _, name := range v.names {
			if label := c.sectionsByName["label"][name]; label != nil {
				labelSettings := c.settings[label]
				labels = append(labels, []route.Members{{IDs: labelSettings["id"].patternList(), Locations: labelSettings["location"].patternList(),
					Kinds: labelSettings["kind"].patternList()}})
				c.usedSections[label] = true
			}
		}
		alternatives = product(alternatives, labels)
	}
	if v := settings["pools"]; v != nil && depth < maxDepth {
		var pools [][]route.Members
		for _, name := range v.names {
			if pool := c.sectionsByName["pool"][name]; pool != nil {
				nested, nestedOK := c.poolMembers(pool, depth+1)
				if pools = append(pools, nested...); !nestedOK || len(pools) > maxAlternatives {
					return nil, false
				}
			}
		}
		alternatives = product(alternatives, pools)
	}
	return alternatives, len(alternatives) <= maxAlternatives
}

// product concatenates each element of a with each element of b.
func product(a, b [][]route.Members) (out [][]route.Members) {
	for _, x := range a {
		for _, y := range b {
			out = append(out, slices.Concat(x, y))
		}
	}
	return out
}

// effectiveSettings returns the settings of a policy and those that it inherits. The bound on the depth ends a cycle.
func (c *checker) effectiveSettings(s *section) map[string]*setting {
	effective := map[string]*setting{}
	for depth := 0; s != nil && depth < len(c.sections)+1; depth++ {
		for key, value := range c.settings[s] {
			if effective[key] == nil && key != "use" {
				effective[key] = value
			}
		}
		parent := c.settings[s]["use"]
		if parent == nil {
			break
		}
		s = c.sectionsByName["policy"][parent.names[0]]
	}
	return effective
}

// buildPolicy builds a policy with the settings that it inherits, and checks them.
func (c *checker) buildPolicy(s *section) {
	if s.name == "" || c.sectionsByName["policy"][s.name] != s || c.reportCycle(s, "use") {
		return
	}
	settings := c.effectiveSettings(s)
	policy := route.NewPolicy(s.name)
	setInt := func(key string, target *int) {
		if value := settings[key]; value != nil {
			*target = int(value.quantity.Value)
		}
	}
	setDuration := func(key string, target *time.Duration) {
		if value := settings[key]; value != nil {
			*target = time.Duration(value.quantity.Value)
		}
	}
	setInt("dispatched", &policy.MaxInFlight)
	setInt("held", &policy.MaxHeld)
	if value := settings["rate"]; value != nil {
		policy.Rate = value.quantity.perSecond()
	}
	if value := settings["burst"]; value != nil {
		policy.Burst = float64(value.quantity.Value)
		if settings["rate"] == nil && value.definedIn == s && !c.hasUnreadableKey(s, "rate") {
			c.reportWarning(value.line, value.column, "burst without rate has no effect", "")
		}
	}
	if value := settings["further"]; value != nil {
		policy.RetryBudgetSet, policy.RetryBudgetShare = true, value.quantity.fraction()
	}
	setInt("further-free", &policy.RetryBudgetFloor)
	setDuration("further-window", &policy.RetryBudgetWindow)
	for _, key := range []string{"further-free", "further-window"} {
		if value := settings[key]; value != nil && settings["further"] == nil && value.definedIn == s && !c.hasUnreadableKey(s, "further") {
			c.reportWarning(value.line, value.column, key+" without further has no effect", "")
		}
	}
	setDuration("further-wait", &policy.RetryDelay)
	setDuration("repeat-window", &policy.RepeatWindow)
	setDuration("fallback-wait", &policy.FailoverDelay)
	setDuration("return-wait", &policy.FailbackDelay)
	setDuration("return-over", &policy.SlowStart)
	if value := settings["no-pool"]; value != nil {
		policy.RejectWhenDown = value.names[0] == "end"
	}
	if furtherWait, repeatWindow := settings["further-wait"], settings["repeat-window"]; furtherWait != nil && repeatWindow != nil &&
		furtherWait.quantity.Value >= repeatWindow.quantity.Value &&
		(furtherWait.definedIn == s || repeatWindow.definedIn == s) {
		c.reportError(furtherWait.line, furtherWait.column,
			fmt.Sprintf("further-wait %s is not below repeat-window %s, so that nothing would ever go again",
				furtherWait.quantity, repeatWindow.quantity),
			"a wait well below the window", Related{repeatWindow.line.file.path, repeatWindow.line.number, "the window"})
	}
	c.policies[s.name] = &policy
}

// checkTeamShares reports the first team with which the sum of the shares exceeds 100%.
func (c *checker) checkTeamShares() {
	sum := int64(0)
	for _, s := range c.sections {
		if value := c.settings[s]["share"]; s.kind == "team" && value != nil {
			if sum += value.quantity.Value; sum > 100*unitsPerPercent && sum-value.quantity.Value <= 100*unitsPerPercent {
				c.reportError(value.line, value.column, fmt.Sprintf("the shares of all teams up to here come to %s", Quantity{share, sum}),
					"at most 100% together")
			}
		}
	}
}

// buildRoute builds a route for the plan and marks the sections that it uses.
func (c *checker) buildRoute(s *section) *route.Route {
	settings := c.settings[s]
	r := &route.Route{Name: route.RouteName(s.name), Policy: route.NewPolicy("")}
	if value := settings["match"]; value != nil {
		r.Match = value.match
	}
	if value := settings["pool"]; value != nil {
		c.addPool(s, r, value.names[0])
	}
	if value := settings["fallback"]; value != nil {
		if settings["pool"] == nil && !c.hasUnreadableKey(s, "pool") {
			c.reportError(value.line, value.column, fmt.Sprintf("route %q has a fallback and no pool", s.name), "pool = name")
		}
		for index, name := range value.names {
			if pool := settings["pool"]; pool != nil && pool.names[0] == name {
				c.reportError(value.line, value.columns[index], fmt.Sprintf("pool %q is its own fallback", name), "other pools")
				continue
			}
			c.addPool(s, r, name)
		}
	}
	if value := settings["policy"]; value != nil {
		if policy := c.sectionsByName["policy"][value.names[0]]; policy != nil {
			for ancestor := policy; ancestor != nil && !c.usedSections[ancestor]; {
				c.usedSections[ancestor] = true
				parent := c.settings[ancestor]["use"]
				if parent == nil {
					break
				}
				ancestor = c.sectionsByName["policy"][parent.names[0]]
			}
			if built := c.policies[value.names[0]]; built != nil {
				r.Policy = *built
				if len(r.Pools) == 0 && settings["pool"] == nil {
					c.warnNoPool(value, policy)
				}
			}
		}
	}
	if c.platform != nil {
		c.checkAgainstPlatform(s, r)
	}
	return r
}

// warnNoPool warns about the first pool-related setting in the policy of a route that has no pool.
func (c *checker) warnNoPool(policyRef *setting, policy *section) {
	settings := c.effectiveSettings(policy)
	for _, key := range []string{"fallback-wait", "return-wait", "return-over", "no-pool"} {
		if settings[key] != nil {
			c.reportWarning(policyRef.line, policyRef.column,
				fmt.Sprintf("policy %q sets %s, which has no effect on a route without a pool", policy.name, key), "",
				Related{settings[key].line.file.path, settings[key].line.number, key})
			return
		}
	}
}

// addPool appends a pool to the route and marks it as used. Undefined pools are skipped; checkReferences reports them.
func (c *checker) addPool(s *section, r *route.Route, name string) {
	if pool := c.sectionsByName["pool"][name]; pool != nil {
		c.markPoolUsed(pool, 0)
		if built := c.pools[name]; built != nil {
			r.Pools = append(r.Pools, built)
		}
	}
}

// markPoolUsed marks a pool and the pools that it refers to as used.
func (c *checker) markPoolUsed(pool *section, depth int) {
	if c.usedSections[pool] || depth > maxDepth {
		return
	}
	c.usedSections[pool] = true
	for _, key := range []string{"pools", "overflow"} {
		if value := c.settings[pool][key]; value != nil {
			for _, name := range value.names {
				if next := c.sectionsByName["pool"][name]; next != nil {
					c.markPoolUsed(next, depth+1)
				}
			}
		}
	}
}

// checkAgainstPlatform checks a route for each class whose jobs it takes: some engine of its pools must be allowed for the class,
// its waits must be below the deadline or the latency target of the class, and its repeat window must not exceed the dedup window.
func (c *checker) checkAgainstPlatform(s *section, r *route.Route) {
	for _, class := range c.platform.Classes {
		if !r.MayMatchText(route.Type, class.Name) {
			continue
		}
		checkLimit := func(key string, limit time.Duration, limitName string) {
			value := c.findSetting(s, key)
			if value == nil || limit <= 0 || time.Duration(value.quantity.Value) < limit ||
				key == "repeat-window" && time.Duration(value.quantity.Value) == limit {
				return
			}
			relation := "is not below"
			if key == "repeat-window" {
				relation = "is beyond"
			}
			c.reportOnce(value, fmt.Sprintf("%s %s %s %s of type %q, %s", key, value.quantity, relation, limitName, class.Name,
				Quantity{duration, int64(limit)}),
				"a shorter time; is the unit meant?", Related{s.line.file.path, s.line.number, fmt.Sprintf("route %q takes %q", s.name, class.Name)})
		}
		c.checkReachable(s, r, &class)
		checkLimit("further-wait", class.Deadline, "the deadline")
		checkLimit("fallback-wait", class.LatencyTarget, "the latency target")
		checkLimit("overflow-after", class.LatencyTarget, "the latency target")
		if class.Keyed {
			checkLimit("repeat-window", class.DedupWindow, "the time that engines remember jobs")
		}
	}
}

// checkReachable reports an error if no pool of a route can have engines that are allowed for a class. The class's own placement
// applies in addition to the route, so such jobs would only wait until they are refused.
func (c *checker) checkReachable(s *section, r *route.Route, class *PlatformClass) {
	compatible := func(patterns []route.Pattern, allowed []string) bool {
		return len(patterns) == 0 || len(allowed) == 0 || slices.ContainsFunc(allowed, func(name string) bool {
			return slices.ContainsFunc(patterns, func(pattern route.Pattern) bool { return pattern.Matches(name) })
		})
	}
	reachable := slices.ContainsFunc(r.Pools, func(pool *route.Pool) bool {
		return slices.ContainsFunc(pool.MemberSets, func(members []route.Members) bool {
			return !slices.ContainsFunc(members, func(member route.Members) bool {
				return !compatible(member.Locations, class.Locations) || !compatible(member.Kinds, class.Kinds)
			})
		})
	})
	if poolSetting := c.settings[s]["pool"]; poolSetting != nil && len(r.Pools) > 0 && !reachable && len(r.Pools[0].MemberSets) > 0 {
		c.reportError(poolSetting.line, poolSetting.columns[0],
			fmt.Sprintf("jobs of type %q can go to no engine of this route's pools: it is allowed in %s",
				class.Name, strings.Join(slices.Concat(class.Locations, class.Kinds), ", ")),
			"a pool with such engines, or a match that leaves the type out")
	}
}

// reportOnce reports an error about a setting only once, even if several routes use it. A message on the same line with the same
// expected text counts as the same error.
func (c *checker) reportOnce(value *setting, problem, expected string, related ...Related) {
	for _, m := range c.messages {
		if m.File == value.line.file.path && m.Line == value.line.number && m.Expected == expected {
			return
		}
	}
	c.reportError(value.line, value.column, problem, expected, related...)
}

// findSetting looks up a key in the policy of a route or, for overflow-after, in its pools. It returns nil if the key is not set.
func (c *checker) findSetting(s *section, key string) *setting {
	settings := c.settings[s]
	if key == "overflow-after" {
		for _, reference := range []string{"pool", "fallback"} {
			if value := settings[reference]; value != nil {
				for _, name := range value.names {
					if target := c.sectionsByName["pool"][name]; target != nil && c.settings[target][key] != nil {
						return c.settings[target][key]
					}
				}
			}
		}
		return nil
	}
	if value := settings["policy"]; value != nil {
		if target := c.sectionsByName["policy"][value.names[0]]; target != nil {
			return c.effectiveSettings(target)[key]
		}
	}
	return nil
}
