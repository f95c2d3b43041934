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
func (k unitKind) form() string {
	return [...]string{"a whole number such as 20", "a duration such as 250ms, 2s or 1m", "a size such as 64MB",
		"a rate such as 50/s or 30/m", "a share such as 25%", "core time such as 250core-ms or 2core-s"}[k]
}

type unit struct {
	name string
	kind unitKind
	is   int64 // of the least unit: ns, bytes, jobs a second divided by (see rate), 1
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
type Figure struct {
	Kind  unitKind
	Value int64
}

const shareUnit = 1_000_000 // of a percent

// parseFigure reads a number with its unit; the error says what is wrong.
func parseFigure(text string) (Figure, error) {
	at := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' })
	if at < 0 {
		at = len(text)
	}
	number, name := text[:at], text[at:]
	if name == "µs" {
		name = "us"
	}
	found := unitNamed(name)
	if found == nil {
		if f, ok := compound(text); ok {
			return f, nil
		}
		if other := otherNames[strings.ToLower(name)]; other != "" {
			return Figure{}, fmt.Errorf("unit %q is not known; did you mean %q?", name, other)
		}
		names := []string{}
		for _, u := range units {
			if strings.EqualFold(u.name, name) {
				return Figure{}, fmt.Errorf("unit %q is not known; did you mean %q?", name, u.name)
			}
			names = append(names, u.name)
		}
		return Figure{}, fmt.Errorf("unit %q is not known%s", name, meant(name, names))
	}
	if len(number) > 40 || strings.Count(number, ".") > 1 || strings.HasSuffix(number, ".") {
		return Figure{}, fmt.Errorf("%q is no number", number)
	}
	is := found.is
	switch found.kind {
	case rate:
		is = 3600 / found.is
	case share:
		is = shareUnit
	}
	value, fine := exact(number, is)
	switch {
	case !fine && found.kind == count:
		return Figure{}, fmt.Errorf("%q is no whole number", text)
	case !fine && found.kind == rate:
		return Figure{}, fmt.Errorf("%q is no whole number of jobs an hour", text)
	case !fine:
		return Figure{}, fmt.Errorf("%q is finer than the least unit", text)
	case value < 0:
		return Figure{}, fmt.Errorf("%q is too large", text)
	}
	return Figure{found.kind, value}, nil
}

// otherNames are what units are called elsewhere.
var otherNames = map[string]string{"sec": "s", "secs": "s", "second": "s", "seconds": "s", "msec": "ms", "millis": "ms",
	"usec": "us", "min": "m", "mins": "m", "minutes": "m", "hour": "h", "hours": "h", "rps": "/s", "/sec": "/s",
	"/min": "/m", "/hour": "/h", "percent": "%", "core": "core-s", "cores": "core-s", "cpu-s": "core-s",
	"cpu-ms": "core-ms", "k": "KB", "mib": "MB", "gib": "GB", "kib": "KB"}

func unitNamed(name string) *unit {
	for n := range units {
		if units[n].name == name {
			return &units[n]
		}
	}
	return nil
}

// exact multiplies a decimal number by a unit: -1 where it is too large, false where something is left over.
func exact(number string, is int64) (int64, bool) {
	if n, err := strconv.ParseInt(number, 10, 64); err == nil {
		if n > math.MaxInt64/is {
			return -1, true
		}
		return n * is, true
	}
	r, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, false
	}
	r.Mul(r, new(big.Rat).SetInt64(is))
	switch {
	case !r.IsInt():
		return 0, false
	case !r.Num().IsInt64():
		return -1, true
	}
	return r.Num().Int64(), true
}

// compound reads durations of several parts, such as 1m30s.
func compound(text string) (Figure, bool) {
	d, err := time.ParseDuration(text)
	return Figure{duration, int64(d)}, err == nil && d >= 0
}

// String writes a figure in its canonical form, in the largest unit that leaves a whole number.
func (f Figure) String() string {
	switch f.Kind {
	case count:
		return strconv.FormatInt(f.Value, 10)
	case share:
		s := strconv.FormatInt(f.Value/shareUnit, 10)
		if rest := f.Value % shareUnit; rest > 0 {
			s += "." + strings.TrimRight(fmt.Sprintf("%06d", rest), "0")
		}
		return s + "%"
	case rate:
		for _, u := range []unit{{"/s", rate, 3600}, {"/m", rate, 60}, {"/h", rate, 1}} {
			if f.Value%u.is == 0 {
				return strconv.FormatInt(f.Value/u.is, 10) + u.name
			}
		}
	}
	if f.Value == 0 {
		return [...]string{duration: "0ms", size: "0B", work: "0core-ms"}[f.Kind]
	}
	for _, u := range units {
		if u.kind == f.Kind && f.Value%u.is == 0 {
			return strconv.FormatInt(f.Value/u.is, 10) + u.name
		}
	}
	return ""
}

// perSecond gives a rate.
func (f Figure) perSecond() float64 { return float64(f.Value) / 3600 }

// part gives a share from 0 to 1.
func (f Figure) part() float64 { return float64(f.Value) / (100 * shareUnit) }
