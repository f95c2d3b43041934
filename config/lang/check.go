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

// Platform is what the platform's settings say that a file can be checked against.
type Platform struct {
	Classes   []PlatformClass
	Locations []string
	Kinds     []string
	Customers []string
	Fronts    []string
}

// PlatformClass is a class of the platform. Window is how long engines remember what they ran, for keyed
// ones.
type PlatformClass struct {
	Name                            string
	LatencyTarget, Deadline, Window time.Duration
	Keyed                           bool
	Locations, Kinds                []string // of engines that it may go to; none: all
}

// Config is a configuration that was read and checked.
type Config struct {
	Plan     *route.Plan // nil where there is an error
	Messages Messages
	Fleet    *Fleet   // whom instances talk to; nil where none is set, or there is an error
	Files    []string // in the order in which they were read
	checker  *checker
}

// setting is a key with its value, read.
type setting struct {
	*entry
	figure   Figure
	patterns []route.Pattern
	names    []string
	cols     []int // of each pattern or name
	match    *route.Match
	from     *section // where it stands, which for what is inherited is another section
}

// canonical writes the value as the formatter does.
func (s *setting) canonical() string { return formatValue(s.node) }

// Load reads a file with all that it includes and checks it. What is wrong is in the messages; the plan is nil where
// any of them is an error. A platform, where given, is what types, locations, kinds and times are checked against.
func Load(path string, platform *Platform) *Config {
	l := &loader{}
	l.load(path)
	return l.checked(platform)
}

// checked checks what was read.
func (l *loader) checked(platform *Platform) *Config {
	c := &checker{loader: l, platform: platform, settings: map[*section]map[string]*setting{},
		named: map[string]map[string]*section{}, pools: map[string]*route.Pool{}, policies: map[string]*route.Policy{}}
	c.check()
	l.messages.sort()
	out := &Config{Messages: l.messages, checker: c}
	for real := range l.done {
		out.Files = append(out.Files, real)
	}
	slices.Sort(out.Files)
	if l.messages.Errors() == 0 {
		out.Plan, out.Fleet = c.plan, c.fleet
	}
	return out
}

type checker struct {
	*loader
	platform *Platform
	settings map[*section]map[string]*setting
	named    map[string]map[string]*section // by kind and name
	pools    map[string]*route.Pool
	policies map[string]*route.Policy
	used     map[*section]bool
	plan     *route.Plan
	fleet    *Fleet
}

func (c *checker) check() {
	c.used = map[*section]bool{}
	for _, k := range kinds {
		c.named[k] = map[string]*section{}
	}
	for _, s := range c.sections {
		c.section(s)
	}
	for _, s := range c.sections {
		c.references(s)
		if s.kind == "pool" || s.kind == "label" {
			c.places(s)
		}
	}
	c.plan = &route.Plan{}
	for _, s := range c.sections {
		switch s.kind {
		case "pool":
			c.pool(s)
		case "policy":
			c.policy(s)
		}
	}
	c.teams()
	c.fleets()
	bySection := map[*route.Route]*section{}
	for _, s := range c.sections {
		if s.kind == "route" {
			r := c.route(s)
			bySection[r] = s
			c.plan.Routes = append(c.plan.Routes, r)
		}
	}
	for _, name := range sortedNames(c.pools) {
		c.plan.Pools = append(c.plan.Pools, c.pools[name])
	}
	if c.messages.Errors() > 0 {
		return // warnings about what will change
	}
	for _, s := range c.sections {
		if (s.kind == "pool" || s.kind == "policy" || s.kind == "label") && !c.used[s] {
			c.warn(s.at, s.nameCol, fmt.Sprintf("%s %q is not used by any route", s.kind, s.name), "")
		}
	}
	for _, u := range c.plan.Unreached() {
		s := bySection[u.Route]
		at, col := s.at, s.nameCol
		if m := c.settings[s]["match"]; m != nil {
			at, col = m.at, m.col
		}
		what := fmt.Sprintf("route %q is never reached: ", s.name)
		var related []Related
		if len(u.Behind) == 0 {
			what += "its match holds for no job"
		} else {
			what += "the routes before it take all of it"
		}
		for n, b := range u.Behind {
			if n == 5 {
				break
			}
			before := bySection[b]
			related = append(related, Related{before.at.file.path, before.at.number, fmt.Sprintf("route %q comes first", before.name)})
		}
		c.warn(at, col, what, "", related...)
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// mostName bounds names, which stand in logs and tables.
const mostName = 64

// section checks a header and reads the values of its keys.
func (c *checker) section(s *section) {
	own := map[string]*setting{}
	c.settings[s] = own
	named, known := c.named[s.kind]
	switch {
	case !known:
		c.say(s.at, s.col, fmt.Sprintf("section [%s] is not known%s", s.kind, meant(s.kind, kinds)),
			"one of "+strings.Join(kinds, ", "))
		return
	case s.name == "":
		c.say(s.at, s.nameCol, fmt.Sprintf("a %s without a name", s.kind), fmt.Sprintf("[%s \"name\"]", s.kind))
	case len(s.name) > mostName || strings.ContainsFunc(s.name, func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_. /", r)
	}):
		c.say(s.at, s.nameCol, fmt.Sprintf("%q is no name", s.name),
			fmt.Sprintf("letters, digits, spaces and -_./, at most %d", mostName))
	case named[s.name] != nil:
		first := named[s.name]
		c.say(s.at, s.nameCol, fmt.Sprintf("%s %q is there twice", s.kind, s.name), "each name once",
			Related{first.at.file.path, first.at.number, "the first one"})
	default:
		named[s.name] = s
	}
	for _, e := range s.entries {
		k := keyOf(s.kind, e.key)
		switch first := own[e.key]; {
		case k == nil:
			c.say(e.at, e.col, fmt.Sprintf("key %q is not known in a %s%s", e.key, s.kind, meant(e.key, keyNames(s.kind))),
				"one of "+strings.Join(keyNames(s.kind), ", "))
		case first != nil:
			c.say(e.at, e.col, fmt.Sprintf("key %q is there twice in %s %q", e.key, s.kind, s.name), "each key once",
				Related{first.at.file.path, first.at.number, "the first one"})
		default:
			if v := c.value(e, k); v != nil {
				v.from = s
				own[e.key] = v
			}
		}
	}
}

// value reads what stands behind a key; nil where it is faulty.
func (c *checker) value(e *entry, k *key) *setting {
	v := &setting{entry: e}
	if k.form == matchForm {
		if e.node.Match == nil {
			return nil
		}
		before := c.messages.Errors()
		m := c.match(e.at, e.node.Match.Expr)
		if c.messages.Errors() > before {
			return nil
		}
		if m.TooWide() {
			c.say(e.at, e.col, "the match comes to more than 256 combinations", "a simpler one, or several routes")
			return nil
		}
		v.match = m
		return v
	}
	if e.node.Entry == nil { // match, which the grammar knows as a key of its own
		return nil
	}
	values := e.node.Entry.Values
	if single := k.form != patternsForm && k.form != namesForm && k.form != textsForm; single && len(values) > 1 {
		c.say(e.at, values[1].Pos.Column, fmt.Sprintf("%s takes one value, here are %d", k.name, len(values)), "one value")
		return nil
	}
	for _, value := range values {
		if value.To != nil {
			c.say(e.at, value.Pos.Column, fmt.Sprintf("%s takes no range", k.name), c.wanted(k))
			return nil
		}
		col := value.Pos.Column
		switch k.form {
		case figureForm, countOrShare:
			if value.From == nil {
				c.say(e.at, col, fmt.Sprintf("%s: %q is no number", k.name, value.Text.word()), c.wanted(k))
				return nil
			}
			f, ok := c.figure(e.at, value.From, k)
			if !ok {
				return nil
			}
			v.figure = f
			continue
		}
		word := value.word()
		if v.cols = append(v.cols, col); (k.form == textForm || k.form == textsForm) && word == "" {
			c.say(e.at, col, k.name+": an empty text", c.wanted(k))
			return nil
		}
		if k.form == patternsForm {
			if word == "" {
				c.say(e.at, col, k.name+": an empty text", c.wanted(k))
				return nil
			}
			v.patterns = append(v.patterns, route.Pattern(word))
			continue
		}
		if k.form == wordForm && !slices.Contains(k.words, word) {
			c.say(e.at, col, fmt.Sprintf("%s: %q is not known%s", k.name, word, meant(word, k.words)), c.wanted(k))
			return nil
		}
		if slices.Contains(v.names, word) {
			c.say(e.at, col, fmt.Sprintf("%s: %q is there twice", k.name, word), "each name once")
			return nil
		}
		v.names = append(v.names, word)
	}
	return v
}

func (v *valueNode) word() string {
	if v.Text != nil {
		return v.Text.word()
	}
	return v.From.Text
}

// wanted says what a key takes.
func (c *checker) wanted(k *key) string {
	switch k.form {
	case figureForm:
		least, most := Figure{k.kind, k.least}, Figure{k.kind, k.most}
		switch {
		case k.most == math.MaxInt64:
			return k.kind.form()
		case k.kind == duration || k.kind == count || k.kind == share:
			return fmt.Sprintf("%s, %s to %s", k.kind.form(), least, most)
		}
		return k.kind.form()
	case countOrShare:
		return "a number of engines such as 2, or a share such as 50%"
	case patternsForm:
		return "texts, in which * and ? stand for any characters"
	case textForm, textsForm:
		return "a text in quotes"
	case wordForm:
		return strings.Join(k.words, " or ")
	}
	return "the name of a " + k.of
}

// figure reads a number and checks its kind and range.
func (c *checker) figure(at *line, node *figureNode, k *key) (Figure, bool) {
	f, err := parseFigure(node.Text)
	col := node.Pos.Column
	switch {
	case err != nil:
		c.say(at, col, fmt.Sprintf("%s: %v", k.name, err), c.wanted(k))
	case k.form == countOrShare && f.Kind == share:
		if f.Value == 0 || f.Value > 100*shareUnit {
			c.say(at, col, fmt.Sprintf("%s: %s is out of range", k.name, f), "above 0% to 100%")
			return f, false
		}
		return f, true
	case f.Kind != k.kind && f.Kind == count && node.Text == f.String():
		c.say(at, col, fmt.Sprintf("%s: %s has no unit", k.name, node.Text), c.wanted(k))
	case f.Kind != k.kind:
		c.say(at, col, fmt.Sprintf("%s: %s is %s, not %s", k.name, node.Text, f.Kind, k.kind), c.wanted(k))
	case f.Value < k.least || f.Value > k.most:
		c.say(at, col, fmt.Sprintf("%s: %s is out of range", k.name, node.Text), c.wanted(k))
	default:
		return f, true
	}
	return f, false
}

// references checks that names stand for something.
func (c *checker) references(s *section) {
	for _, k := range schema[s.kind] {
		v := c.settings[s][k.name]
		if v == nil || k.form != nameForm && k.form != namesForm {
			continue
		}
		for n, name := range v.names {
			if to := c.named[k.of][name]; to == nil {
				c.say(v.at, v.cols[n], fmt.Sprintf("%s %q is not defined%s", k.of, name, meant(name, sortedNames(c.named[k.of]))),
					"the name of a "+k.of+" of this configuration")
			}
		}
	}
}

// cycle reports sections that lead back to themselves by a key, once for each cycle. It tells whether s is on one.
func (c *checker) cycle(s *section, key string) bool {
	chain := []*section{s}
	var walk func(at *section) bool
	seen := map[*section]bool{}
	walk = func(at *section) bool {
		v := c.settings[at][key]
		if v == nil || seen[at] {
			return false
		}
		seen[at] = true
		for _, name := range v.names {
			to := c.named[at.kind][name]
			if to == s {
				return true
			}
			if to != nil {
				if chain = append(chain, to); walk(to) {
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
	for _, other := range chain { // told at the one that comes first
		if slices.Index(c.sections, other) < slices.Index(c.sections, s) {
			return true
		}
	}
	var related []Related
	for n, other := range chain {
		v := c.settings[other][key]
		related = append(related, Related{v.at.file.path, v.at.number,
			fmt.Sprintf("%s %q has %s = %s", other.kind, other.name, key, chain[(n+1)%len(chain)].name)})
	}
	v := c.settings[s][key]
	c.say(v.at, v.col, fmt.Sprintf("%s %q leads back to itself by %s", s.kind, s.name, key), "no cycle", related...)
	return true
}

// mostAlternatives bounds what pools of pools with labels come to.
const mostAlternatives = 64

// pool works a pool out.
func (c *checker) pool(s *section) {
	if s.name == "" || c.named["pool"][s.name] != s {
		return
	}
	own := c.settings[s]
	c.cycle(s, "overflow")
	if c.cycle(s, "pools") {
		c.pools[s.name] = &route.Pool{Name: route.PoolName(s.name)}
		return
	}
	p := &route.Pool{Name: route.PoolName(s.name)}
	any, ok := c.members(s, 0)
	if !ok {
		c.say(s.at, s.nameCol, fmt.Sprintf("pool %q comes to more than %d alternatives", s.name, mostAlternatives),
			"fewer pools and labels in one pool")
	}
	p.Any = any
	if len(own["id"].list())+len(own["location"].list())+len(own["kind"].list()) == 0 && own["label"] == nil &&
		own["pools"] == nil && !c.faulty(s, "id", "location", "kind", "label", "pools") {
		c.say(s.at, s.nameCol, fmt.Sprintf("pool %q names no engines", s.name),
			"at least one of id, location, kind, label, pools; id = * for all engines")
	}
	if v := own["minimum"]; v != nil {
		if v.figure.Kind == share {
			p.MinShare = v.figure.part()
		} else {
			p.MinCount = int(v.figure.Value)
		}
	}
	if v := own["size"]; v != nil {
		p.Size = int(v.figure.Value)
		if p.MinCount > p.Size {
			c.say(own["minimum"].at, own["minimum"].col, fmt.Sprintf("minimum %d is above size %d", p.MinCount, p.Size),
				"a minimum that the pool can have", Related{v.at.file.path, v.at.number, "the size"})
		}
	}
	over, after := own["overflow"], own["overflow-after"]
	if over != nil {
		p.Overflow = route.PoolName(over.names[0])
		p.OverflowAfter = defaultOverflowAfter
		if over.names[0] == s.name {
			return // told as a cycle
		}
	}
	if after != nil {
		p.OverflowAfter = time.Duration(after.figure.Value)
		if over == nil && !c.faulty(s, "overflow") {
			c.warn(after.at, after.col, "overflow-after without overflow has no effect", "")
		}
	}
	c.pools[s.name] = p
}

// places checks the locations and kinds that a pool or label names against the platform. A location may come later; a
// kind has to be in the settings.
func (c *checker) places(s *section) {
	if c.platform == nil {
		return
	}
	look := func(key string, list []string, say func(at *line, col int, what, wanted string, related ...Related)) {
		v := c.settings[s][key]
		for n, p := range v.list() {
			if len(list) > 0 && !slices.ContainsFunc(list, p.Matches) {
				say(v.at, v.cols[n], fmt.Sprintf("the platform has no %s %q%s", key, p, meant(string(p), list)),
					"one of "+strings.Join(list[:min(len(list), 8)], ", "))
			}
		}
	}
	look("location", c.platform.Locations, c.warn)
	look("kind", c.platform.Kinds, c.say)
}

// defaultOverflowAfter is a fifth of a short latency target: a job that waits for longer is likely to miss it.
const defaultOverflowAfter = 100 * time.Millisecond

// list are a setting's patterns; none where it is absent.
func (s *setting) list() []route.Pattern {
	if s == nil {
		return nil
	}
	return s.patterns
}

// faulty tells that a section has one of some keys, though nothing could be read from it.
func (c *checker) faulty(s *section, keys ...string) bool {
	return s.faulty || slices.ContainsFunc(s.entries, func(e *entry) bool {
		return slices.Contains(keys, e.key) && c.settings[s][e.key] == nil
	})
}

// members multiplies a pool out: its own conditions, with one of its labels and one of its pools.
func (c *checker) members(s *section, depth int) (any [][]route.Members, ok bool) {
	own := c.settings[s]
	any = [][]route.Members{nil}
	if m := (route.Members{IDs: own["id"].list(), Locations: own["location"].list(), Kinds: own["kind"].list()}); len(m.IDs)+
		len(m.Locations)+len(m.Kinds) > 0 {
		any = [][]route.Members{{m}}
	}
	if v := own["label"]; v != nil {
		var labels [][]route.Members
		for _, name := range v.names {
			if l := c.named["label"][name]; l != nil {
				set := c.settings[l]
				labels = append(labels, []route.Members{{IDs: set["id"].list(), Locations: set["location"].list(),
					Kinds: set["kind"].list()}})
				c.used[l] = true
			}
		}
		any = product(any, labels)
	}
	if v := own["pools"]; v != nil && depth < mostDepth {
		var pools [][]route.Members
		for _, name := range v.names {
			if p := c.named["pool"][name]; p != nil {
				more, fits := c.members(p, depth+1)
				if pools = append(pools, more...); !fits || len(pools) > mostAlternatives {
					return nil, false
				}
			}
		}
		any = product(any, pools)
	}
	return any, len(any) <= mostAlternatives
}

func product(a, b [][]route.Members) (out [][]route.Members) {
	for _, x := range a {
		for _, y := range b {
			out = append(out, slices.Concat(x, y))
		}
	}
	return out
}

// effective gives a policy's keys with those that it inherits.
func (c *checker) effective(s *section) map[string]*setting {
	out := map[string]*setting{}
	for depth := 0; s != nil && depth < len(c.sections)+1; depth++ {
		for key, v := range c.settings[s] {
			if out[key] == nil && key != "use" {
				out[key] = v
			}
		}
		use := c.settings[s]["use"]
		if use == nil {
			break
		}
		s = c.named["policy"][use.names[0]]
	}
	return out
}

// policy works a policy out, with what it inherits.
func (c *checker) policy(s *section) {
	if s.name == "" || c.named["policy"][s.name] != s || c.cycle(s, "use") {
		return
	}
	set := c.effective(s)
	p := route.NewPolicy(s.name)
	number := func(key string, into *int) {
		if v := set[key]; v != nil {
			*into = int(v.figure.Value)
		}
	}
	span := func(key string, into *time.Duration) {
		if v := set[key]; v != nil {
			*into = time.Duration(v.figure.Value)
		}
	}
	number("dispatched", &p.MostOut)
	number("held", &p.MostHeld)
	if v := set["rate"]; v != nil {
		p.Rate = v.figure.perSecond()
	}
	if v := set["burst"]; v != nil {
		p.Burst = float64(v.figure.Value)
		if set["rate"] == nil && v.from == s && !c.faulty(s, "rate") {
			c.warn(v.at, v.col, "burst without rate has no effect", "")
		}
	}
	if v := set["further"]; v != nil {
		p.FurtherSet, p.FurtherShare = true, v.figure.part()
	}
	number("further-free", &p.FurtherFree)
	span("further-window", &p.FurtherSpan)
	for _, key := range []string{"further-free", "further-window"} {
		if v := set[key]; v != nil && set["further"] == nil && v.from == s && !c.faulty(s, "further") {
			c.warn(v.at, v.col, key+" without further has no effect", "")
		}
	}
	span("further-wait", &p.FurtherWait)
	span("repeat-window", &p.RepeatWindow)
	span("fallback-wait", &p.FallbackWait)
	span("return-wait", &p.ReturnWait)
	span("return-over", &p.ReturnOver)
	if v := set["no-pool"]; v != nil {
		p.EndWhenDown = v.names[0] == "end"
	}
	if w, r := set["further-wait"], set["repeat-window"]; w != nil && r != nil && w.figure.Value >= r.figure.Value &&
		(w.from == s || r.from == s) {
		c.say(w.at, w.col, fmt.Sprintf("further-wait %s is not below repeat-window %s, so that nothing would ever go again",
			w.figure, r.figure), "a wait well below the window", Related{r.at.file.path, r.at.number, "the window"})
	}
	c.policies[s.name] = &p
}

// teams checks that shares sum up to no more than all.
func (c *checker) teams() {
	sum := int64(0)
	for _, s := range c.sections {
		if v := c.settings[s]["share"]; s.kind == "team" && v != nil {
			if sum += v.figure.Value; sum > 100*shareUnit && sum-v.figure.Value <= 100*shareUnit {
				c.say(v.at, v.col, fmt.Sprintf("the shares of all teams up to here come to %s", Figure{share, sum}),
					"at most 100% together")
			}
		}
	}
}

// route works a route out.
func (c *checker) route(s *section) *route.Route {
	own := c.settings[s]
	r := &route.Route{Name: route.RouteName(s.name), Policy: route.NewPolicy("")}
	if v := own["match"]; v != nil {
		r.Match = v.match
	}
	if v := own["pool"]; v != nil {
		c.to(s, r, v.names[0])
	}
	if v := own["fallback"]; v != nil {
		if own["pool"] == nil && !c.faulty(s, "pool") {
			c.say(v.at, v.col, fmt.Sprintf("route %q has a fallback and no pool", s.name), "pool = name")
		}
		for n, name := range v.names {
			if pool := own["pool"]; pool != nil && pool.names[0] == name {
				c.say(v.at, v.cols[n], fmt.Sprintf("pool %q is its own fallback", name), "other pools")
				continue
			}
			c.to(s, r, name)
		}
	}
	if v := own["policy"]; v != nil {
		if p := c.named["policy"][v.names[0]]; p != nil {
			for q := p; q != nil && !c.used[q]; {
				c.used[q] = true
				use := c.settings[q]["use"]
				if use == nil {
					break
				}
				q = c.named["policy"][use.names[0]]
			}
			if worked := c.policies[v.names[0]]; worked != nil {
				r.Policy = *worked
				if len(r.Pools) == 0 && own["pool"] == nil {
					c.noPool(v, p)
				}
			}
		}
	}
	if c.platform != nil {
		c.against(s, r)
	}
	return r
}

// noPool warns of settings about pools in the policy of a route without one.
func (c *checker) noPool(v *setting, p *section) {
	set := c.effective(p)
	for _, key := range []string{"fallback-wait", "return-wait", "return-over", "no-pool"} {
		if set[key] != nil {
			c.warn(v.at, v.col, fmt.Sprintf("policy %q sets %s, which has no effect on a route without a pool", p.name, key), "",
				Related{set[key].at.file.path, set[key].at.number, key})
			return
		}
	}
}

func (c *checker) to(s *section, r *route.Route, name string) {
	if p := c.named["pool"][name]; p != nil {
		c.use(p, 0)
		if worked := c.pools[name]; worked != nil {
			r.Pools = append(r.Pools, worked)
		}
	}
}

func (c *checker) use(p *section, depth int) {
	if c.used[p] || depth > mostDepth {
		return
	}
	c.used[p] = true
	for _, key := range []string{"pools", "overflow"} {
		if v := c.settings[p][key]; v != nil {
			for _, name := range v.names {
				if next := c.named["pool"][name]; next != nil {
					c.use(next, depth+1)
				}
			}
		}
	}
}

// against checks a route and what it uses against the platform: names that it does not have, and times that can't
// hold for a class that the route takes.
func (c *checker) against(s *section, r *route.Route) {
	for _, t := range c.platform.Classes {
		if !r.Takes(route.Type, t.Name) {
			continue
		}
		limit := func(key string, most time.Duration, what string) {
			v := c.settingOf(s, key)
			if v == nil || most <= 0 || time.Duration(v.figure.Value) < most ||
				key == "repeat-window" && time.Duration(v.figure.Value) == most {
				return
			}
			relation := "is not below"
			if key == "repeat-window" {
				relation = "is beyond"
			}
			c.once(v, fmt.Sprintf("%s %s %s %s of type %q, %s", key, v.figure, relation, what, t.Name, Figure{duration, int64(most)}),
				"a shorter time; is the unit meant?", Related{s.at.file.path, s.at.number, fmt.Sprintf("route %q takes %q", s.name, t.Name)})
		}
		c.reaches(s, r, &t)
		limit("further-wait", t.Deadline, "the deadline")
		limit("fallback-wait", t.LatencyTarget, "the latency target")
		limit("overflow-after", t.LatencyTarget, "the latency target")
		if t.Keyed {
			limit("repeat-window", t.Window, "the time that engines remember jobs")
		}
	}
}

// reaches checks that a class can go to some engine of some pool of a route: its own placement holds as well,
// and jobs with none in common would only wait until they are refused.
func (c *checker) reaches(s *section, r *route.Route, t *PlatformClass) {
	fits := func(patterns []route.Pattern, allowed []string) bool {
		return len(patterns) == 0 || len(allowed) == 0 || slices.ContainsFunc(allowed, func(name string) bool {
			return slices.ContainsFunc(patterns, func(p route.Pattern) bool { return p.Matches(name) })
		})
	}
	reached := slices.ContainsFunc(r.Pools, func(p *route.Pool) bool {
		return slices.ContainsFunc(p.Any, func(all []route.Members) bool {
			return !slices.ContainsFunc(all, func(m route.Members) bool { return !fits(m.Locations, t.Locations) || !fits(m.Kinds, t.Kinds) })
		})
	})
	if v := c.settings[s]["pool"]; v != nil && len(r.Pools) > 0 && !reached && len(r.Pools[0].Any) > 0 {
		c.say(v.at, v.cols[0], fmt.Sprintf("jobs of type %q can go to no engine of this route's pools: it is allowed in %s", t.Name,
			strings.Join(slices.Concat(t.Locations, t.Kinds), ", ")), "a pool with such engines, or a match that leaves the type out")
	}
}

// once says a thing about a setting only once, however many routes come to it.
func (c *checker) once(v *setting, what, wanted string, related ...Related) {
	for _, m := range c.messages {
		if m.File == v.at.file.path && m.Line == v.at.number && m.Wanted == wanted {
			return
		}
	}
	c.say(v.at, v.col, what, wanted, related...)
}

// settingOf finds a key in the policy of a route, or in its pools.
func (c *checker) settingOf(s *section, key string) *setting {
	own := c.settings[s]
	if key == "overflow-after" {
		for _, by := range []string{"pool", "fallback"} {
			if v := own[by]; v != nil {
				for _, name := range v.names {
					if p := c.named["pool"][name]; p != nil && c.settings[p][key] != nil {
						return c.settings[p][key]
					}
				}
			}
		}
		return nil
	}
	if v := own["policy"]; v != nil {
		if p := c.named["policy"][v.names[0]]; p != nil {
			return c.effective(p)[key]
		}
	}
	return nil
}
