package fleet

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is one thing that goes wrong during a run.
type Fault struct {
	Name     string
	Share    float64       // of the controllers, engines or rooms, drawn from the seed
	At       time.Duration // from the start of the load
	Duration time.Duration // until it is over, where it lasts
}

// struck is what a fault strikes.
type faultTarget int

const (
	targetControllers faultTarget = iota
	targetEngines
	targetRooms
)

// faults are what may go wrong, and whether it lasts. Those on links have relays put between controllers and engines.
var faults = map[string]struct {
	target               faultTarget
	hasDuration, onLinks bool
	description          string
	excludedFromDraw     bool // is not drawn with the others, whose draws of a seed stay as they are
}{
	"kill":    {targetControllers, false, false, "controllers are killed and started again at once", false},
	"term":    {targetControllers, false, false, "controllers get SIGTERM and are started again once they have gone", false},
	"stop":    {targetControllers, true, false, "controllers stand still", false},
	"away":    {targetControllers, true, false, "discovery answers nothing to them", false},
	"late":    {targetControllers, true, false, "their list is so late, until the end", false},
	"hot":     {targetControllers, true, false, "they get ten times the mean, others each second", false},
	"signals": {targetControllers, true, false, "they get HUP and USR1 in quick succession, each with another address of discovery", false},
	"crowd":   {targetControllers, true, false, "idle clients take a third of their descriptors and more", false},
	"flood":   {target: targetControllers, hasDuration: true, description: "clients send them what can't be read, or all they can, or read no answer", excludedFromDraw: true},
	"babble":  {target: targetEngines, hasDuration: true, description: "engines answer jobs with bytes that can't be read and do not end", excludedFromDraw: true},
	"eager":   {targetControllers, true, false, "their clients ask again at once, twice, what was turned away", false},
	"leave":   {targetControllers, true, false, "their clients give up after a tenth of their time", false},
	"die":     {targetEngines, true, false, "engines are killed and come back cold, which nobody tells", false},
	"hang":    {targetEngines, true, false, "engines take jobs and answer none", false},
	"fail":    {targetEngines, true, false, "engines answer each job with an error, at once", false},
	"slow":    {targetEngines, true, false, "engines take four times as long", false},
	"flap":    {targetEngines, true, false, "engines take four times as long, by turns of a second", false},
	"replace": {targetEngines, true, false, "engines drain and others take their places, cold, over that time", false},
	"silent":  {targetEngines, true, true, "all links to engines are silent", false},
	"delay":   {targetEngines, true, true, "each way on links to engines takes 100 to 200 ms", false},
	"reset":   {targetEngines, true, true, "connections to engines are reset, after 2 kB in the mean", false},
	"thin":    {targetEngines, true, true, "links to engines carry 2 kB a second and connection", false},
	"lose":    {targetRooms, true, false, "all engines of rooms die and come back cold, and the list says so", false},
	"cut":     {targetRooms, true, true, "links between rooms and the others are silent", false},
	"deaf":    {targetRooms, true, true, "controllers of rooms hear nothing of the others' engines", false},
	"mute":    {targetRooms, true, true, "the others' engines hear nothing of controllers of rooms", false},
}

// FaultHelp names what may go wrong, for a command line.
const FaultHelp = "what, the share, when, for how long, as in stop:0.3@5s/3s or kill:0.7@5s"

// FaultKinds are all that may go wrong with what they do, in order.
func FaultKinds() (all [][2]string) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		all = append(all, [2]string{name, faults[name].description})
	}
	return all
}

var faultPattern = regexp.MustCompile(`^([a-z]+):([0-9.]+)@([0-9a-z.]+)(?:/([0-9a-z.]+))?$`)

// ParseFault reads one as in kill:0.7@5s or stop:0.3@5s/3s.
func ParseFault(text string) (f Fault, err error) {
	m := faultPattern.FindStringSubmatch(strings.TrimSpace(text))
	if m == nil {
		return f, fmt.Errorf("fault %q: wanted %s", text, FaultHelp)
	}
	spec, known := faults[m[1]]
	if !known {
		return f, fmt.Errorf("fault %q: %q is not known, wanted one of %s", text, m[1],
			strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
	}
	f.Name = m[1]
	if f.Share, err = strconv.ParseFloat(m[2], 64); err != nil || f.Share <= 0 || f.Share > 1 {
		return f, fmt.Errorf("fault %q: the share is above 0 and at most 1", text)
	}
	if f.At, err = time.ParseDuration(m[3]); err != nil || f.At < 0 {
		return f, fmt.Errorf("fault %q: %q is no time, as 5s or 300ms", text, m[3])
	}
	if spec.hasDuration != (m[4] != "") {
		return f, fmt.Errorf("fault %q: %s, which %s", text, spec.description, map[bool]string{true: "wants a length, as /3s", false: "has no length"}[spec.hasDuration])
	}
	if m[4] != "" {
		if f.Duration, err = time.ParseDuration(m[4]); err != nil || f.Duration <= 0 {
			return f, fmt.Errorf("fault %q: %q is no length", text, m[4])
		}
	}
	return f, nil
}

// ReadScript reads a fault a line; what follows a # is a comment. An error names the line.
func ReadScript(r io.Reader) (all []Fault, err error) {
	lines := bufio.NewScanner(r)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		f, err := ParseFault(text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		all = append(all, f)
	}
	return all, lines.Err()
}

// DrawFaults makes a script of so many faults from a seed, within a length of load. Standstills, silence and cuts last some
// seconds, and shares are of the sizes that operators have seen: an eighth to two thirds.
func DrawFaults(seed int64, count int, length time.Duration) (all []Fault) {
	rng := rand.New(rand.NewSource(seed))
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(faults)), func(name string) bool { return faults[name].excludedFromDraw })
	for range count {
		f := Fault{Name: names[rng.Intn(len(names))], Share: []float64{0.125, 0.2, 0.33, 0.5, 0.67}[rng.Intn(5)]}
		f.At = (length/10 + time.Duration(rng.Int63n(int64(length)*6/10))).Round(100 * time.Millisecond)
		if faults[f.Name].hasDuration {
			f.Duration = (length/20 + time.Duration(rng.Int63n(int64(length)/4))).Round(100 * time.Millisecond)
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

func (f Fault) String() string {
	text := fmt.Sprintf("%s:%g@%v", f.Name, f.Share, f.At)
	if f.Duration > 0 {
		text += "/" + f.Duration.String()
	}
	return text
}

// among draws who is struck: the share of so many, at least one, in no order.
func (f Fault) pickTargets(rng *rand.Rand, count int) []int {
	return rng.Perm(count)[:min(max(int(f.Share*float64(count)+0.5), 1), count)]
}
