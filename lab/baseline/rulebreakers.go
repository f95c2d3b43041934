package baseline

import (
	"slices"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/logic"
)

// The policy withoutDrainRule sends jobs to draining engines, and withoutRepeatRule repeats jobs that must not run twice. The controller
// has its own guards against both.
const withoutDrainRule, withoutRepeatRule = "without-rule-3", "without-rule-2"

// NeedsGuardsDisabled tells whether a policy can break its rule only if the controller's own guards are disabled as well.
func NeedsGuardsDisabled(policy string) bool {
	return policy == withoutDrainRule || policy == withoutRepeatRule
}

// settingsChanges maps each policy that breaks one rule to its change of the settings; some policies wrap the host or the module instead.
// Each is the production module with one rule's guard removed. They are used only to prove that an audit detects violations of the rule.
var settingsChanges = map[string]func(*logic.Settings){
	// Rule 1: every job is answered.
	"without-rule-1": func(*logic.Settings) {},
	// Rule 2: a job that may have run and must not run twice is not repeated.
	withoutRepeatRule: func(settings *logic.Settings) {
		changeClasses(settings, func(class *logic.Class) { class.Repeat = logic.Idempotent })
	},
	// Rule 3: no job is sent to a draining engine.
	withoutDrainRule: func(*logic.Settings) {},
	// Rule 6: a job is sent only to the locations and kinds of engines that its class allows.
	"without-rule-6": func(settings *logic.Settings) {
		changeClasses(settings, func(class *logic.Class) { class.Locations, class.Kinds = nil, nil })
	},
	// Rule 7: further attempts stay within a budget.
	"without-rule-7": func(settings *logic.Settings) { settings.BudgetWindow = 0 },
}

// changeClasses applies change to a copy of the classes, as the settings outlive a module.
func changeClasses(settings *logic.Settings, change func(*logic.Class)) {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		change(&settings.Classes[i])
	}
}

// newRuleBreaker returns the constructor of a policy that breaks one rule, or nil for another name.
func newRuleBreaker(name string) func(logic.Host, logic.Settings, int64) logic.Module {
	change := settingsChanges[name]
	if change == nil {
		return nil
	}
	return func(host logic.Host, settings logic.Settings, seed int64) logic.Module {
		change(&settings)
		switch name {
		case "without-rule-1":
			return config.NewModule(rejectDropper{host}, settings, seed)
		case withoutDrainRule:
			return drainIgnorer{config.NewModule(host, settings, seed)}
		}
		return config.NewModule(host, settings, seed)
	}
}

// rejectDropper drops rejections, so that the client of a rejected job gets no answer.
type rejectDropper struct{ logic.Host }

func (rejectDropper) Reject(logic.JobID, time.Duration) {}

// drainIgnorer reports draining engines to the module as healthy.
type drainIgnorer struct{ logic.Module }

func (m drainIgnorer) EngineListed(now time.Duration, id logic.EngineID, location logic.Location, kind logic.KindName, cell logic.Cell,
	health logic.Health, weight float64, since time.Duration) {
	if health == logic.Draining {
		health = logic.Up
	}
	m.Module.EngineListed(now, id, location, kind, cell, health, weight, since)
}
