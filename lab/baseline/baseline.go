// Package baseline provides plain load balancing policies that the decision module is compared with. Each sends a job at once to a
// listed engine that the rules allow, and retries it on failures that prove that it never ran. None queues jobs, learns from
// answers or sheds load by itself. They keep the rules on placement, draining and repeated execution, but not those on cold engines
// and ordering.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"yarrowbarrow/logic"
)

// Names lists the policies, except those that break a rule (see rulebreakers.go).
var Names = []string{"random", "round-robin", "least-outstanding", "two-choices"}

// New returns the constructor of the named policy: one of Names, or one that breaks a rule, such as "without-rule-1".
func New(name string) (func(logic.Host, logic.Settings, int64) logic.Module, error) {
	var pick func(*policy, []*engine) *engine
	switch name {
	case "random":
		pick = func(p *policy, candidates []*engine) *engine { return candidates[p.rng.Intn(len(candidates))] }
	case "round-robin":
		pick = func(p *policy, candidates []*engine) *engine {
			p.nextEngine++
			return candidates[p.nextEngine%len(candidates)]
		}
	case "least-outstanding":
		pick = func(p *policy, candidates []*engine) *engine {
			start := p.rng.Intn(len(candidates)) // random, as ties would otherwise all go to the same engine
			best := candidates[start]
			for n := range candidates {
				if e := candidates[(start+n)%len(candidates)]; e.inFlight < best.inFlight {
					best = e
				}
			}
			return best
		}
	case "two-choices":
		pick = func(p *policy, candidates []*engine) *engine {
			a, b := candidates[p.rng.Intn(len(candidates))], candidates[p.rng.Intn(len(candidates))]
			if b.inFlight < a.inFlight {
				return b
			}
			return a
		}
	default:
		if module := newRuleBreaker(name); module != nil {
			return module, nil
		}
		return nil, fmt.Errorf("unknown policy %q; want one of %v", name, Names)
	}
	return func(host logic.Host, settings logic.Settings, seed int64) logic.Module {
		p := &policy{host: host, settings: settings, rng: rand.New(rand.NewSource(seed)), pick: pick, engines: map[logic.EngineID]*engine{},
			jobs: map[logic.JobID]*job{}, classes: map[logic.ClassName]logic.Class{}}
		for _, class := range settings.Classes {
			p.classes[class.Name] = class
		}
		p.nextEngine = p.rng.Intn(1 << 16) // random, so that controllers start at different engines
		return p
	}, nil
}

type engine struct {
	id       logic.EngineID
	location logic.Location
	kind     logic.KindName
	health   logic.Health
	listed   bool // named by the list being received
	inFlight int  // attempts of this controller without an outcome yet
}

type job struct {
	class     logic.Class
	expires   time.Duration // the earlier of the client's deadline and that of the class
	placement logic.Placement
	attempts  int     // number of attempts sent
	engine    *engine // of the current attempt, or nil
	maybeRan  bool    // an attempt may have run
	ended     bool    // its outcome is decided; no further attempt is made
}

type policy struct {
	host          logic.Host
	settings      logic.Settings
	rng           *rand.Rand
	pick          func(*policy, []*engine) *engine
	nextEngine    int // round-robin position
	engines       map[logic.EngineID]*engine
	sortedEngines []*engine // by ID, so that no choice depends on the iteration order of a map
	jobs          map[logic.JobID]*job
	classes       map[logic.ClassName]logic.Class
	completeList  bool // the list being received names all engines, not only changes
}

func (p *policy) ListBegins(_ time.Duration, kind logic.ListKind) {
	p.completeList = kind == logic.ListComplete || kind == logic.ListInitial
	for _, e := range p.sortedEngines {
		e.listed = false
	}
}

func (p *policy) EngineListed(_ time.Duration, id logic.EngineID, location logic.Location, kind logic.KindName, _ logic.Cell,
	health logic.Health, _ float64, _ time.Duration) {
	e := p.engines[id]
	if e == nil {
		e = &engine{id: id}
		p.engines[id] = e
		p.sortedEngines = append(p.sortedEngines, e)
		slices.SortFunc(p.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	}
	e.location, e.kind, e.health, e.listed = location, kind, health, true
}

func (p *policy) ListEnds(time.Duration) {
	p.sortedEngines = slices.DeleteFunc(p.sortedEngines, func(e *engine) bool {
		if p.completeList && !e.listed {
			e.health = logic.Gone
		}
		gone := e.health == logic.Gone && e.inFlight == 0
		if gone {
			delete(p.engines, e.id)
		}
		return gone
	})
}

func (p *policy) JobArrived(now time.Duration, id logic.JobID, class logic.ClassName, _ logic.CustomerID, _ logic.Key,
	expires, _ time.Duration, _ float64, _ logic.Tables, _ bool, placement logic.Placement) {
	j := &job{class: p.classes[class], expires: min(expires, now+p.classes[class].Deadline), placement: placement}
	p.jobs[id] = j
	p.sendAttempt(now, id, j)
}

// sendAttempt sends a job to one of the allowed engines, or finishes it if there is none, or no attempt or time is left.
func (p *policy) sendAttempt(now time.Duration, id logic.JobID, j *job) {
	var candidates []*engine
	for _, e := range p.sortedEngines {
		if e.health == logic.Up && (len(j.class.Locations) == 0 || slices.Contains(j.class.Locations, e.location)) &&
			(len(j.class.Kinds) == 0 || slices.Contains(j.class.Kinds, e.kind)) && (j.placement == nil || j.placement.Allows(e.id)) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 || j.attempts >= max(p.settings.MaxAttempts, 1) || now >= j.expires {
		p.finish(id, j)
		return
	}
	j.engine = p.pick(p, candidates)
	j.attempts++
	j.engine.inFlight++
	p.host.Attempt(id, j.engine.id, j.expires-now, j.expires-now)
}

// finish answers a job that has no result: as failed if it may have run and must not run again, else as rejected.
func (p *policy) finish(id logic.JobID, j *job) {
	j.ended = true
	if j.maybeRan && j.class.Repeat != logic.Idempotent {
		p.host.Fail(id)
	} else {
		p.host.Reject(id, 0)
	}
	if j.engine == nil {
		delete(p.jobs, id)
	}
}

func (p *policy) AttemptEnded(now time.Duration, id logic.JobID, _ int, _ logic.EngineID, outcome logic.Outcome, _ time.Duration,
	jobOver bool, _ time.Duration, _ float64, _ logic.Load) {
	j := p.jobs[id]
	if j == nil || j.engine == nil {
		return
	}
	j.engine.inFlight--
	j.engine = nil
	neverRan := outcome == logic.Refused || outcome == logic.NoConnection || outcome == logic.NotSent
	j.maybeRan = j.maybeRan || !neverRan
	switch {
	case jobOver || j.ended || outcome == logic.Done:
		delete(p.jobs, id)
	case neverRan && !j.maybeRan:
		p.sendAttempt(now, id, j)
	default:
		p.finish(id, j)
	}
}

func (p *policy) PlacementChanged(_ time.Duration, id logic.JobID, placement logic.Placement, noEngine bool) {
	if j := p.jobs[id]; j != nil {
		if j.placement = placement; noEngine && j.engine == nil && !j.ended {
			p.finish(id, j)
		}
	}
}

func (p *policy) ClientGone(_ time.Duration, id logic.JobID) {
	if j := p.jobs[id]; j != nil {
		j.ended = true
		if j.engine == nil {
			delete(p.jobs, id)
		} else if p.settings.MayRecall {
			p.host.Recall(id, j.attempts-1)
		}
	}
}

// MayStart allows each attempt to begin.
func (p *policy) MayStart(time.Duration, logic.JobID) bool { return true }

func (p *policy) ShuttingDown(_, lastExpiry time.Duration) {
	for _, j := range p.jobs {
		j.expires = min(j.expires, lastExpiry)
	}
}

func (p *policy) TimerDue(time.Duration, logic.TimerID) {}

func (p *policy) ProbeAnswered(time.Duration, logic.EngineID, logic.Outcome, time.Duration, logic.Load) {
}
