package lang

import (
	"math"
	"time"
)

// form is what stands behind a key.
type form int

const (
	figureForm   form = iota // one figure of a kind
	countOrShare             // a count, or a share
	patternsForm             // texts with wildcards
	nameForm                 // one name
	namesForm                // names in order
	wordForm                 // one of some words
	textForm                 // one text
	textsForm                // texts
	matchForm
)

// key is what the checker knows of one.
type key struct {
	name  string
	form  form
	kind  unitKind
	least int64 // allowed figures; a duration in ns
	most  int64
	words []string
	of    string // the kind of section that a name is of
}

const (
	ms = int64(time.Millisecond)
	s  = int64(time.Second)
	m  = int64(time.Minute)
)

// schema lists the keys of each kind of section, in the order in which they are named. The bounds of durations are
// wide, but less than a thousandfold wherever that can be, so that 12s for 12ms is seen.
var schema = map[string][]key{
	"pool": {
		{name: "id", form: patternsForm}, {name: "location", form: patternsForm}, {name: "kind", form: patternsForm},
		{name: "label", form: namesForm, of: "label"}, {name: "pools", form: namesForm, of: "pool"},
		{name: "minimum", form: countOrShare, least: 1, most: 100_000},
		{name: "size", form: figureForm, kind: count, least: 1, most: 100_000},
		{name: "overflow", form: nameForm, of: "pool"},
		{name: "overflow-after", form: figureForm, kind: duration, least: 5 * ms, most: 30 * s},
	},
	"label": {
		{name: "id", form: patternsForm}, {name: "location", form: patternsForm}, {name: "kind", form: patternsForm},
	},
	"route": {
		{name: "match", form: matchForm}, {name: "pool", form: nameForm, of: "pool"},
		{name: "fallback", form: namesForm, of: "pool"}, {name: "policy", form: nameForm, of: "policy"},
	},
	"policy": {
		{name: "use", form: nameForm, of: "policy"},
		{name: "dispatched", form: figureForm, kind: count, least: 1, most: 1_000_000},
		{name: "held", form: figureForm, kind: count, least: 1, most: 1_000_000},
		{name: "rate", form: figureForm, kind: rate, least: 1, most: math.MaxInt64},
		{name: "burst", form: figureForm, kind: count, least: 1, most: 1_000_000},
		{name: "further", form: figureForm, kind: share, least: 0, most: 100 * shareUnit},
		{name: "further-free", form: figureForm, kind: count, least: 0, most: 10_000},
		{name: "further-window", form: figureForm, kind: duration, least: s, most: 10 * m},
		{name: "further-wait", form: figureForm, kind: duration, least: 0, most: 5 * s},
		{name: "repeat-window", form: figureForm, kind: duration, least: 100 * ms, most: 60 * m},
		{name: "fallback-wait", form: figureForm, kind: duration, least: 0, most: 10 * s},
		{name: "return-wait", form: figureForm, kind: duration, least: 0, most: 10 * m},
		{name: "return-over", form: figureForm, kind: duration, least: 0, most: 10 * m},
		{name: "no-pool", form: wordForm, words: []string{"hold", "end"}},
	},
	"team": {
		{name: "share", form: figureForm, kind: share, least: 0, most: 100 * shareUnit},
	},
	"fleet": {
		{name: "port", form: figureForm, kind: count, least: 1, most: 65535},
		{name: "advertise", form: textForm}, {name: "seeds", form: textsForm}, {name: "key-file", form: textForm},
		{name: "period", form: figureForm, kind: duration, least: 50 * ms, most: 30 * s},
		{name: "members", form: figureForm, kind: count, least: 2, most: 10_000},
		{name: "traffic", form: figureForm, kind: size, least: 4_000, most: 100_000_000},
		{name: "status", form: textForm},
	},
}

// kinds in the order in which they are named.
var kinds = []string{"pool", "label", "route", "policy", "team", "fleet"}

func keyOf(kind, name string) *key {
	for n := range schema[kind] {
		if schema[kind][n].name == name {
			return &schema[kind][n]
		}
	}
	return nil
}

func keyNames(kind string) (names []string) {
	for _, k := range schema[kind] {
		names = append(names, k.name)
	}
	return names
}
