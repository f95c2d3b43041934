package lang

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// unitKind is what a value measures. Values of different kinds never stand for one another.
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

// form shows how a value of a kind is written.
func (k unitKind) example() string {
	return [...]string{"a whole number such as 20", "a duration such as 250ms, 2s or 1m", "a size such as 64MB",
		"a rate such as 50/s or 30/m", "a share such as 25%", "core time such as 250core-ms or 2core-s"}[k]
}

type unit struct {
	name  string
	kind  unitKind
	scale int64 // of the least unit: ns, bytes, jobs a second divided by (see rate), 1
}

// units are listed from large to small within a kind, which is the order in which a canonical one is looked for.
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

// Figure is a value with its unit. Value counts the least unit of its kind: nanoseconds, bytes, core nanoseconds,
// jobs an hour, millionths of a percent, ones.
type Quantity struct {
	Kind  unitKind
	Value int64
}

const unitsPerPercent = 1_000_000 // of a percent

// parseFigure reads a number with its unit; the error says what is wrong.
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

// otherNames are what units are called elsewhere.
var unitAliases = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms",
	"usec": "us", "min": "m", "mins": "m", "minutes": "m", "hour": "h", "hours": "h", "rps": "/s", "/sec": "/s",
	"/min": "/m", "/hour": "/h", "percent": "%", "core": "core-s", "cores": "core-s", "cpu-s": "core-s",
	"cpu-ms": "core-ms", "k": "KB", "mib": "MB", "gib": "GB", "kib": "KB"}

func findUnit(name string) *unit {
	for index := range units {
		if units[index].name == name {
			return &units[index]
		}
	}
	return nil
}

// exact multiplies a decimal number by a unit: -1 where it is too large, false where something is left over.
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

// compound reads durations of several parts, such as 1m30s.
func parseCompoundDuration(text string) (Quantity, bool) {
	parsed, err := time.ParseDuration(text)
	return Quantity{duration, int64(parsed)}, err == nil && parsed >= 0
}

// String writes a figure in its canonical form, in the largest unit that leaves a whole number.
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

// perSecond gives a rate.
func (q Quantity) perSecond() float64 { return float64(q.Value) / 3600 }

// part gives a share from 0 to 1.
func (q Quantity) fraction() float64 { return float64(q.Value) / (100 * unitsPerPercent) }
