package lang

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// unitKind is the dimension of a value. Values of different kinds are never converted into one another.
type unitKind int

const (
	count unitKind = iota
	duration
	size
	rate
	share
	work
)

func (k unitKind) String() string {
	return [...]string{"a count", "a duration", "a size", "a rate", "a share", "an amount of work"}[k]
}

// example describes how a value of a kind is written.
func (k unitKind) example() string {
	return [...]string{"a whole number such as 20", "a duration such as 250ms, 2s or 1m", "a size such as 64MB",
		"a rate such as 50/s or 30/m", "a share such as 25%", "core time such as 250core-ms or 2core-s"}[k]
}

// unit is a unit of measurement.
type unit struct {
	name  string
	kind  unitKind
	scale int64 // number of smallest units (see Quantity) in it; for a rate, the seconds in its period
}

// units are sorted from large to small within a kind. The canonical unit of a value is the first that leaves a whole number.
var units = []unit{
	{"h", duration, int64(time.Hour)}, {"m", duration, int64(time.Minute)}, {"s", duration, int64(time.Second)},
	{"ms", duration, int64(time.Millisecond)}, {"us", duration, int64(time.Microsecond)}, {"ns", duration, 1},
	{"TB", size, 1e12}, {"GB", size, 1e9}, {"MB", size, 1e6}, {"KB", size, 1e3}, {"B", size, 1},
	{"core-h", work, int64(time.Hour)}, {"core-m", work, int64(time.Minute)}, {"core-s", work, int64(time.Second)},
	{"core-ms", work, int64(time.Millisecond)}, {"core-us", work, int64(time.Microsecond)}, {"core-ns", work, 1},
	{"/h", rate, 3600}, {"/m", rate, 60}, {"/s", rate, 1},
	{"%", share, 1},
	{"", count, 1},
}

// Quantity is a value with its kind. Value is in the smallest unit of the kind: nanoseconds, bytes, core nanoseconds, jobs per
// hour, millionths of a percent, or ones.
type Quantity struct {
	Kind  unitKind
	Value int64
}

const unitsPerPercent = 1_000_000 // units of Quantity.Value in one percent

// parseQuantity parses a number with its unit. The error describes what is wrong with the text, and has no position.
func parseQuantity(text string) (Quantity, error) {
	unitStart := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' })
	if unitStart < 0 {
		unitStart = len(text)
	}
	number, unitName := text[:unitStart], text[unitStart:]
	if unitName == "µs" {
		unitName = "us"
	}
	found := findUnit(unitName)
	if found == nil {
		if quantity, ok := parseCompoundDuration(text); ok {
			return quantity, nil
		}
		if alias := unitAliases[strings.ToLower(unitName)]; alias != "" {
			return Quantity{}, fmt.Errorf("unit %q is not known; did you mean %q?", unitName, alias)
		}
		names := []string{}
		for _, u := range units {
			if strings.EqualFold(u.name, unitName) {
				return Quantity{}, fmt.Errorf("unit %q is not known; did you mean %q?", unitName, u.name)
			}
			names = append(names, u.name)
		}
		return Quantity{}, fmt.Errorf("unit %q is not known%s", unitName, suggestion(unitName, names))
	}
	if len(number) > 40 || strings.Count(number, ".") > 1 || strings.HasSuffix(number, ".") {
		return Quantity{}, fmt.Errorf("%q is no number", number)
	}
	scale := found.scale
	switch found.kind {
	case rate:
		scale = 3600 / found.scale
	case share:
		scale = unitsPerPercent
	}
	value, isExact := multiplyExact(number, scale)
	switch {
	case !isExact && found.kind == count:
		return Quantity{}, fmt.Errorf("%q is no whole number", text)
	case !isExact && found.kind == rate:
		return Quantity{}, fmt.Errorf("%q is no whole number of jobs an hour", text)
	case !isExact:
		return Quantity{}, fmt.Errorf("%q is finer than the least unit", text)
	case value < 0:
		return Quantity{}, fmt.Errorf("%q is too large", text)
	}
	return Quantity{found.kind, value}, nil
}

// unitAliases maps names of units in other software to ours, in lower case, for suggestions in messages.
var unitAliases = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms",
	"usec": "us", "min": "m", "mins": "m", "minutes": "m", "hour": "h", "hours": "h", "rps": "/s", "/sec": "/s",
	"/min": "/m", "/hour": "/h", "percent": "%", "core": "core-s", "cores": "core-s", "cpu-s": "core-s",
	"cpu-ms": "core-ms", "k": "KB", "mib": "MB", "gib": "GB", "kib": "KB"}

// findUnit returns the unit with this name, or nil.
func findUnit(name string) *unit {
	for index := range units {
		if units[index].name == name {
			return &units[index]
		}
	}
	return nil
}

// multiplyExact multiplies a decimal number by a scale. It returns -1 if the product exceeds an int64, and false if it is not a
// whole number.
func multiplyExact(number string, scale int64) (int64, bool) {
	if n, err := strconv.ParseInt(number, 10, 64); err == nil {
		if n > math.MaxInt64/scale {
			return -1, true
		}
		return n * scale, true
	}
	product, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, false
	}
	product.Mul(product, new(big.Rat).SetInt64(scale))
	switch {
	case !product.IsInt():
		return 0, false
	case !product.Num().IsInt64():
		return -1, true
	}
	return product.Num().Int64(), true
}

// parseCompoundDuration parses durations with several parts, such as 1m30s. It returns false for other texts and if negative.
func parseCompoundDuration(text string) (Quantity, bool) {
	parsed, err := time.ParseDuration(text)
	return Quantity{duration, int64(parsed)}, err == nil && parsed >= 0
}

// String returns a quantity in its canonical form: in the largest unit that leaves a whole number, for rates the shortest period.
func (q Quantity) String() string {
	switch q.Kind {
	case count:
		return strconv.FormatInt(q.Value, 10)
	case share:
		text := strconv.FormatInt(q.Value/unitsPerPercent, 10)
		if rest := q.Value % unitsPerPercent; rest > 0 {
			text += "." + strings.TrimRight(fmt.Sprintf("%06d", rest), "0")
		}
		return text + "%"
	case rate:
		for _, u := range []unit{{"/s", rate, 3600}, {"/m", rate, 60}, {"/h", rate, 1}} {
			if q.Value%u.scale == 0 {
				return strconv.FormatInt(q.Value/u.scale, 10) + u.name
			}
		}
	}
	if q.Value == 0 {
		return [...]string{duration: "0ms", size: "0B", work: "0core-ms"}[q.Kind]
	}
	for _, u := range units {
		if u.kind == q.Kind && q.Value%u.scale == 0 {
			return strconv.FormatInt(q.Value/u.scale, 10) + u.name
		}
	}
	return ""
}

// perSecond returns a rate in jobs per second.
func (q Quantity) perSecond() float64 { return float64(q.Value) / 3600 }

// fraction returns a share as a number from 0 to 1.
func (q Quantity) fraction() float64 { return float64(q.Value) / (100 * unitsPerPercent) }
