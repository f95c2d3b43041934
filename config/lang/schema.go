package lang

import (
	"math"
	"time"
)

// form is what stands behind a key.
type valueForm int

const (
	quantityForm     valueForm = iota // one figure of a kind
	countOrShareForm                  // a count, or a share
	patternsForm                      // texts with wildcards
	nameForm                          // one name
	namesForm                         // names in order
	wordForm                          // one of some words
	textForm                          // one text
	textsForm                         // texts
	matchForm
)

// key is what the checker knows of one.
type keySpec struct {
	name    string
	form    valueForm
	kind    unitKind
	min     int64 // allowed figures; a duration in ns
	max     int64
	words   []string
	refKind string // the kind of section that a name is of
}

const (
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
	minute      = int64(time.Minute)
)

// schema lists the keys of each kind of section, in the order in which they are named. The bounds of durations are
// wide, but less than a thousandfold wherever that can be, so that 12s for 12ms is seen.
var schema = map[string][]keySpec{
	"pool": {
		{name: "id", form: patternsForm}, {name: "location", form: patternsForm}, {name: "kind", form: patternsForm},
		{name: "label", form: namesForm, refKind: "label"}, {name: "pools", form: namesForm, refKind: "pool"},
		{name: "minimum", form: countOrShareForm, min: 1, max: 100_000},
		{name: "size", form: quantityForm, kind: count, min: 1, max: 100_000},
		{name: "overflow", form: nameForm, refKind: "pool"},
		{name: "overflow-after", form: quantityForm, kind: duration, min: 5 * millisecond, max: 30 * second},
	},
	"label": {
		{name: "id", form: patternsForm}, {name: "location", form: patternsForm}, {name: "kind", form: patternsForm},
	},
	"route": {
		{name: "match", form: matchForm}, {name: "pool", form: nameForm, refKind: "pool"},
		{name: "fallback", form: namesForm, refKind: "pool"}, {name: "policy", form: nameForm, refKind: "policy"},
	},
	"policy": {
		{name: "use", form: nameForm, refKind: "policy"},
		{name: "dispatched", form: quantityForm, kind: count, min: 1, max: 1_000_000},
		{name: "held", form: quantityForm, kind: count, min: 1, max: 1_000_000},
		{name: "rate", form: quantityForm, kind: rate, min: 1, max: math.MaxInt64},
		{name: "burst", form: quantityForm, kind: count, min: 1, max: 1_000_000},
		{name: "further", form: quantityForm, kind: share, min: 0, max: 100 * unitsPerPercent},
		{name: "further-free", form: quantityForm, kind: count, min: 0, max: 10_000},
		{name: "further-window", form: quantityForm, kind: duration, min: second, max: 10 * minute},
		{name: "further-wait", form: quantityForm, kind: duration, min: 0, max: 5 * second},
		{name: "repeat-window", form: quantityForm, kind: duration, min: 100 * millisecond, max: 60 * minute},
		{name: "fallback-wait", form: quantityForm, kind: duration, min: 0, max: 10 * second},
		{name: "return-wait", form: quantityForm, kind: duration, min: 0, max: 10 * minute},
		{name: "return-over", form: quantityForm, kind: duration, min: 0, max: 10 * minute},
		{name: "no-pool", form: wordForm, words: []string{"hold", "end"}},
	},
	"team": {
		{name: "share", form: quantityForm, kind: share, min: 0, max: 100 * unitsPerPercent},
	},
	"fleet": {
		{name: "port", form: quantityForm, kind: count, min: 1, max: 65535},
		{name: "advertise", form: textForm}, {name: "seeds", form: textsForm}, {name: "key-file", form: textForm},
		{name: "period", form: quantityForm, kind: duration, min: 50 * millisecond, max: 30 * second},
		{name: "members", form: quantityForm, kind: count, min: 2, max: 10_000},
		{name: "traffic", form: quantityForm, kind: size, min: 4_000, max: 100_000_000},
		{name: "status", form: textForm},
	},
}

// kinds in the order in which they are named.
var sectionKinds = []string{"pool", "label", "route", "policy", "team", "fleet"}

func findKey(kind, name string) *keySpec {
	for index := range schema[kind] {
		if schema[kind][index].name == name {
			return &schema[kind][index]
		}
	}
	return nil
}

func keyNames(kind string) (names []string) {
	for _, spec := range schema[kind] {
		names = append(names, spec.name)
	}
	return names
}
