package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// jobKind is a kind of job: what clients send, and the class that the settings define for it.
type jobKind struct {
	name                       string
	share                      float64       // of all jobs
	work                       time.Duration // mean core time of a job
	sla, deadline              time.Duration // the settings' aim and deadline
	gain                       float64
	lateGain                   float64 // the settings' late_worth
	repeatPolicy               string
	hasDedupKey, neverRepeated bool
	requiredRoom               string // only engines in this room may run it; empty: any
	statement                  string
	settingsExtra              string
}

// dedupWindow is how long an engine recognizes a repeat of a job with a dedup key. For drainGrace after the drain of an engine was announced,
// jobs may still reach it.
const dedupWindow, drainGrace = 4 * time.Second, 2 * time.Second

// plainKinds returns kinds that any engine may run repeatedly: short jobs, and a tenth that take ten times as long. The mean work of a job
// is 76 ms of one core.
func plainKinds() []jobKind {
	return []jobKind{
		{name: "lookup", share: 0.9, work: 40 * time.Millisecond, sla: 500 * time.Millisecond, deadline: 3 * time.Second, gain: 1,
			repeatPolicy: "retryable", statement: "select 1 from t_1.x"},
		{name: "report", share: 0.1, work: 400 * time.Millisecond, sla: 2 * time.Second, deadline: 10 * time.Second, gain: 4, lateGain: 0.4,
			repeatPolicy: "retryable", statement: "select 1 from t_1.x"},
	}
}

// constrainedKinds returns the plain kinds with 80% of the jobs, and in the other 20% kinds that rules on repeats and placement apply to.
func constrainedKinds() []jobKind {
	kinds := plainKinds()
	kinds[0].share, kinds[1].share = 0.72, 0.08
	return append(kinds,
		jobKind{name: "load", share: 0.08, work: 80 * time.Millisecond, sla: time.Second, deadline: 6 * time.Second, gain: 2, lateGain: 0.4,
			repeatPolicy: "dedup", hasDedupKey: true, statement: "insert into t_2.x", settingsExtra: fmt.Sprintf(`,"key_ttl":%d`, dedupWindow)},
		jobKind{name: "single", share: 0.06, work: 60 * time.Millisecond, sla: time.Second, deadline: 4 * time.Second, gain: 2,
			repeatPolicy: "fragile", neverRepeated: true, statement: "call t_1.once()"},
		jobKind{name: "local", share: 0.06, work: 40 * time.Millisecond, sla: time.Second, deadline: 4 * time.Second, gain: 1,
			repeatPolicy: "retryable", requiredRoom: roomName(0), statement: "select 1 from t_1.x",
			settingsExtra: fmt.Sprintf(`,"allowed_in":[%q]`, roomName(0))})
}

// roomName returns the name of the n-th room.
func roomName(n int) string { return fmt.Sprintf("room-%d", n) }

// Values of the settings that the audit needs too.
var (
	configuredBudget    = attemptBudget{window: 10 * time.Second, base: 2, perJob: 0.2}
	configuredColdStart = coldStart{duration: 5 * time.Second, loadWindow: 2 * time.Second, startCapacity: 0.31, overloadFactor: 3}
)

// settingsJSON returns the settings of the controller with a rank in a room.
func settingsJSON(o Options, kinds []jobKind, rank, room int) json.RawMessage {
	classes, widths := "", ""
	for n, k := range kinds {
		if n > 0 {
			classes, widths = classes+",", widths+","
		}
		classes += fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"gain":%g,"late_worth":%g,"repeat":%q%s}`, k.name, k.sla, k.deadline,
			k.gain, k.lateGain, k.repeatPolicy, k.settingsExtra)
		widths += "1"
	}
	return json.RawMessage(fmt.Sprintf(`{"balancers":%d,"rank":%d,"zone":%q,"tick":5000000,"discovery":"pushed","classes":[%s],
"machine_types":["std","big"],"family_info":{"kind_cores":[%d,%d],"ram_of_kind_mb":[8192,8192],"width_by_class":[%s]},
"permissions":{"connect_timeout":250000000,"idle_close":15000000000,"max_attempts":3,"max_retry_after":1000000000,
"may_cancel":true,"probes":true,"retry_after":true,"streams_per_conn":32,"open_cap":20000},
"safety":{"cold":%d,"fall":%d,"start_capacity":%g,"tip_multiple":%g,"drain_grace":%d,"key_quiet":300000000,
"budget_window":%d,"extra_floor":%g,"extra_per_request":%g}}`, o.ConfiguredControllers, rank, roomName(room), classes, o.Cores, 2*o.Cores, widths,
		configuredColdStart.duration, configuredColdStart.loadWindow, configuredColdStart.startCapacity, configuredColdStart.overloadFactor,
		drainGrace, configuredBudget.window, configuredBudget.base, configuredBudget.perJob))
}
