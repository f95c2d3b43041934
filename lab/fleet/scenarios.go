package fleet

import (
	"fmt"
	"time"
)

// Scenario is a named scenario: faults that operators have seen, one or several in sequence, for fifteen seconds of load.
type Scenario struct {
	Name   string
	Rooms  int
	Ruled  bool
	Uneven bool
	Script []string // faults as ParseFault reads them
}

// Scenarios are the standard scenarios.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "uneven", Uneven: true},
	{Name: "hot", Script: []string{"hot:0.01@2s/12s"}},
	{Name: "discovery", Script: []string{"away:1@2s/10s", "replace:0.1@4s/2s"}},
	{Name: "late", Script: []string{"late:0.5@0s/7s", "replace:0.3@2s/2s"}},
	{Name: "kill", Script: []string{"kill:0.7@5s"}},
	{Name: "roll", Script: rollingRestart()},
	{Name: "stop", Script: []string{"stop:0.33@4s/3s"}},
	{Name: "cut", Rooms: 2, Ruled: true, Script: []string{"cut:0.5@4s/5s"}},
	{Name: "deaf", Rooms: 2, Ruled: true, Script: []string{"deaf:0.5@4s/5s"}},
	{Name: "lose", Rooms: 2, Script: []string{"lose:0.5@3s/5s"}},
	{Name: "silent", Script: []string{"silent:0.2@4s/5s"}},
	{Name: "hang", Script: []string{"hang:0.125@4s/6s"}},
	{Name: "slow", Script: []string{"slow:0.125@4s/6s"}},
	{Name: "fail", Script: []string{"fail:0.125@4s/6s"}},
	{Name: "flap", Script: []string{"flap:0.125@3s/10s"}},
	{Name: "join", Script: []string{"replace:0.6@3s/7s"}},
	{Name: "eager", Script: []string{"hang:0.125@4s/4s", "eager:1@4s/8s", "leave:0.2@4s/8s"}},
	{Name: "links", Rooms: 2, Ruled: true, Script: []string{"delay:0.2@3s/4s", "reset:0.3@5s/5s", "thin:0.1@8s/4s"}},
	{Name: "worst", Rooms: 2, Script: []string{"away:1@2s/8s", "kill:0.7@4s", "hang:0.125@4s/6s", "lose:0.5@6s/3s"}},
}

// rollingRestart returns a script that restarts the fleet in ten groups, one after the other.
func rollingRestart() (all []string) {
	for n := range 10 {
		all = append(all, fmt.Sprintf("term:0.1@%v", time.Second+time.Duration(n)*1200*time.Millisecond))
	}
	return all
}

// Options returns o with the faults and the other settings of the scenario.
func (d Scenario) Options(o Options) (Options, error) {
	o.Rooms, o.ConstrainedJobs, o.MixedCores = max(d.Rooms, o.Rooms), o.ConstrainedJobs || d.Ruled, o.MixedCores || d.Uneven
	o.Faults = nil
	for _, text := range d.Script {
		f, err := ParseFault(text)
		if err != nil {
			return o, fmt.Errorf("day %s: %w", d.Name, err)
		}
		o.Faults = append(o.Faults, f)
	}
	return o, nil
}
