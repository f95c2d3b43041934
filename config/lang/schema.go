package lang

import (
	"math"
	"time"
)

// valueForm is the form of the value of a key.
type valueForm int

const (
	quantityForm     valueForm = iota // one quantity of a kind
	countOrShareForm                  // a count or a share
	patternsForm                      // a list of texts with wildcards
	nameForm                          // the name of one section
	namesForm                         // an ordered list of names of sections
	wordForm                          // one of the words of the key
	textForm                          // one text
	textsForm                         // a list of texts
	matchForm
)

// keySpec specifies the values that a key accepts.
type keySpec struct {
	name    string
	form    valueForm
	kind    unitKind
	min     int64 // range of quantities, in the units of Quantity.Value
	max     int64
	words   []string
	refKind string // kind of the sections that a name refers to
}

const (
	millisecond = int64(time.Millisecond)
	second      = int64(time.Second)
	minute      = int64(time.Minute)
)

// schema lists the keys of each kind of section, in the order in which messages list them. The ranges of durations are wide, but
// span less than a factor of 1000 where possible, so that 12s instead of 12ms is rejected.
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

// sectionKinds are listed in the order in which messages list them.
var sectionKinds = []string{"pool", "label", "route", "policy", "team", "fleet"}

// findKey returns the specification of a key, or nil if sections of this kind have no such key.
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
