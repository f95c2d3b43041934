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

// Fault is one fault to inject during a run.
type Fault struct {
	Name     string        // a key of faults
	Share    float64       // share of the controllers, engines or rooms that it hits, which the seed selects; above 0 and at most 1
	At       time.Duration // since the start of the load
	Duration time.Duration // how long it lasts; 0 for a fault without a duration
}

// faultTarget is what a fault applies to.
type faultTarget int

const (
	targetControllers faultTarget = iota
	targetEngines
	targetRooms
)

// faults are the known faults by name. Faults on links need relays between controllers and engines.
var faults = map[string]struct {
	target               faultTarget
	hasDuration, onLinks bool
	description          string
	excludedFromDraw     bool // DrawFaults never picks it, so that each seed keeps drawing the same faults
}{
	"kill":    {targetControllers, false, false, "controllers are killed and restarted at once", false},
	"term":    {targetControllers, false, false, "controllers get SIGTERM and are restarted once they have exited", false},
	"stop":    {targetControllers, true, false, "controllers are stopped (SIGSTOP)", false},
	"away":    {targetControllers, true, false, "discovery does not answer the affected controllers", false},
	"late":    {targetControllers, true, false, "controllers receive changes of the list late by this duration, until the end of the run", false},
	"hot":     {targetControllers, true, false, "controllers get ten times the mean job rate; each second others are selected", false},
	"signals": {targetControllers, true, false, "controllers get HUP and USR1 in quick succession, with changing addresses of discovery", false},
	"crowd":   {targetControllers, true, false, "idle clients take more than a third of the controllers' descriptors", false},
	"flood": {target: targetControllers, hasDuration: true,
		description: "clients send controllers malformed data, send at full speed, or read no answer", excludedFromDraw: true},
	"babble":  {target: targetEngines, hasDuration: true, description: "engines answer jobs with endless malformed data", excludedFromDraw: true},
	"eager":   {targetControllers, true, false, "clients of controllers send a rejected job again at once, up to twice", false},
	"leave":   {targetControllers, true, false, "clients of controllers give up after a tenth of the deadline", false},
	"die":     {targetEngines, true, false, "engines are killed and come back cold; the list does not say so", false},
	"hang":    {targetEngines, true, false, "engines accept jobs and answer none", false},
	"fail":    {targetEngines, true, false, "engines answer each job with an error at once", false},
	"slow":    {targetEngines, true, false, "engines take four times as long", false},
	"flap":    {targetEngines, true, false, "engines take four times as long in every other second", false},
	"replace": {targetEngines, true, false, "engines drain and are replaced by cold ones, at random times within the duration", false},
	"silent":  {targetEngines, true, true, "links to engines carry nothing either way", false},
	"delay":   {targetEngines, true, true, "links to engines take 100 to 200 ms each way", false},
	"reset":   {targetEngines, true, true, "connections to engines are reset, on average after 2 kB", false},
	"thin":    {targetEngines, true, true, "links to engines carry 2 kB per second and connection", false},
	"lose":    {targetRooms, true, false, "all engines of the affected rooms are killed and come back cold, and the list says so", false},
	"cut":     {targetRooms, true, true, "links between the affected rooms and the others carry nothing either way", false},
	"deaf":    {targetRooms, true, true, "controllers of the affected rooms receive nothing from engines of other rooms", false},
	"mute":    {targetRooms, true, true, "engines of other rooms receive nothing from controllers of the affected rooms", false},
}

// FaultHelp describes the text form of a fault that ParseFault reads.
const FaultHelp = "NAME:SHARE@START/DURATION, such as stop:0.3@5s/3s or kill:0.7@5s"

// FaultKinds returns the name and description of each fault, sorted by name.
func FaultKinds() (all [][2]string) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		all = append(all, [2]string{name, faults[name].description})
	}
	return all
}

var faultPattern = regexp.MustCompile(`^([a-z]+):([0-9.]+)@([0-9a-z.]+)(?:/([0-9a-z.]+))?$`)

// ParseFault parses a fault such as kill:0.7@5s or stop:0.3@5s/3s. Faults with a duration require one, the others allow none.
func ParseFault(text string) (f Fault, err error) {
	m := faultPattern.FindStringSubmatch(strings.TrimSpace(text))
	if m == nil {
		return f, fmt.Errorf("fault %q: wanted %s", text, FaultHelp)
	}
	spec, known := faults[m[1]]
	if !known {
		return f, fmt.Errorf("fault %q: name %q is not known, wanted one of %s", text, m[1],
			strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
	}
	f.Name = m[1]
	if f.Share, err = strconv.ParseFloat(m[2], 64); err != nil || f.Share <= 0 || f.Share > 1 {
		return f, fmt.Errorf("fault %q: the share must be above 0 and at most 1", text)
	}
	if f.At, err = time.ParseDuration(m[3]); err != nil || f.At < 0 {
		return f, fmt.Errorf("fault %q: %q is not a valid time, such as 5s or 300ms", text, m[3])
	}
	if spec.hasDuration != (m[4] != "") {
		return f, fmt.Errorf("fault %q (%s) %s", text, spec.description,
			map[bool]string{true: "needs a duration, such as /3s", false: "takes no duration"}[spec.hasDuration])
	}
	if m[4] != "" {
		if f.Duration, err = time.ParseDuration(m[4]); err != nil || f.Duration <= 0 {
			return f, fmt.Errorf("fault %q: %q is not a valid duration, such as 3s", text, m[4])
		}
	}
	return f, nil
}

// ReadScript reads a script with one fault per line. Text after a # is a comment. Errors name the line.
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

// DrawFaults returns count faults drawn from a seed, sorted by start, for a load of the given length. Faults with a duration last
// between a twentieth and three tenths of that, some seconds in a usual run. Shares are of the sizes that operators have seen: an eighth to
// two thirds.
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

// String returns the text form that ParseFault reads.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%g@%v", f.Name, f.Share, f.At)
	if f.Duration > 0 {
		text += "/" + f.Duration.String()
	}
	return text
}

// pickTargets draws the targets out of count: the fault's share of them, at least one, in random order.
func (f Fault) pickTargets(rng *rand.Rand, count int) []int {
	return rng.Perm(count)[:min(max(int(f.Share*float64(count)+0.5), 1), count)]
}
