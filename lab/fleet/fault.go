package fleet

import (
	"fmt"
	"math/rand"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Fault is one thing that goes wrong during a run.
type Fault struct {
	What  string
	Share float64       // of the controllers or engines, drawn from the seed
	At    time.Duration // from the start of the load
	For   time.Duration // until it is over, where it lasts
}

// faults are what may go wrong, and whether it lasts.
var faults = map[string]struct {
	engines, lasts bool
	does           string
}{
	"kill": {false, false, "controllers are killed and started again at once"},
	"term": {false, false, "controllers get SIGTERM and are started again once they have gone"},
	"stop": {false, true, "controllers stand still"},
	"die":  {true, true, "engines are killed and come back cold"},
	"hang": {true, true, "engines take jobs and answer none"},
	"slow": {true, true, "engines take four times as long"},
}

// FaultHelp names what may go wrong, for a command line.
const FaultHelp = "kill, term or stop of controllers, die, hang or slow of engines, as in stop:0.3@5s/3s: a share, when, for how long"

var faultForm = regexp.MustCompile(`^([a-z]+):([0-9.]+)@([0-9a-z.]+)(?:/([0-9a-z.]+))?$`)

// ParseFault reads one as in kill:0.7@5s or stop:0.3@5s/3s.
func ParseFault(text string) (f Fault, err error) {
	m := faultForm.FindStringSubmatch(strings.TrimSpace(text))
	if m == nil {
		return f, fmt.Errorf("fault %q: wanted %s", text, FaultHelp)
	}
	kind, known := faults[m[1]]
	if !known {
		return f, fmt.Errorf("fault %q: %q is not known, wanted %s", text, m[1], FaultHelp)
	}
	f.What = m[1]
	if f.Share, err = strconv.ParseFloat(m[2], 64); err != nil || f.Share <= 0 || f.Share > 1 {
		return f, fmt.Errorf("fault %q: the share is above 0 and at most 1", text)
	}
	if f.At, err = time.ParseDuration(m[3]); err != nil || f.At < 0 {
		return f, fmt.Errorf("fault %q: %q is no time, as 5s or 300ms", text, m[3])
	}
	if kind.lasts != (m[4] != "") {
		return f, fmt.Errorf("fault %q: %s, which %s", text, kind.does, map[bool]string{true: "wants a length, as /3s", false: "has no length"}[kind.lasts])
	}
	if m[4] != "" {
		if f.For, err = time.ParseDuration(m[4]); err != nil || f.For <= 0 {
			return f, fmt.Errorf("fault %q: %q is no length", text, m[4])
		}
	}
	return f, nil
}

func (f Fault) String() string {
	text := fmt.Sprintf("%s:%g@%v", f.What, f.Share, f.At)
	if f.For > 0 {
		text += "/" + f.For.String()
	}
	return text
}

// among draws who is struck: the share of so many, at least one, in no order.
func (f Fault) among(rng *rand.Rand, many int) []int {
	return rng.Perm(many)[:min(max(int(f.Share*float64(many)+0.5), 1), many)]
}
