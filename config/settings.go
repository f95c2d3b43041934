package config

import (
	"encoding/json"
	"fmt"
	"time"

	"yarrowbarrow/decide/limit"
	"yarrowbarrow/decide/slowness"
	"yarrowbarrow/decide/subsetting"
	"yarrowbarrow/logic"
)

// Settings are the values from the settings object: those of the decision module, and those of the connections around it.
type Settings struct {
	Logic          logic.Settings
	Columns        []string // columns of a load report, in order
	ConnectTimeout time.Duration
	// DrainGrace is how long after an announced drain a job may still be sent to the engine; 0 if not specified.
	DrainGrace        time.Duration
	IdleClose         time.Duration // idle connections to engines are closed after this time; 0: never
	JobsPerConnection int           // maximum number of jobs on one connection to an engine
	MaxOpenJobs       int           // maximum number of jobs open at once; 0 for no limit
	Probes            bool
	ProgressNotes     bool // engines report the progress of running jobs
}

// ReadSettings parses the settings object. Unknown keys are ignored.
func ReadSettings(raw json.RawMessage) (Settings, error) {
	var document struct {
		Controllers      int `json:"balancers"`
		ControllerNumber int `json:"rank"`
		Classes          []struct {
			Name          string           `json:"name"`
			LatencyTarget time.Duration    `json:"aim"`
			Deadline      time.Duration    `json:"deadline"`
			TargetStretch float64          `json:"aim_stretch"`
			Value         float64          `json:"gain"`
			LateValue     float64          `json:"late_worth"`
			Repeat        string           `json:"repeat"`
			Group         string           `json:"group"`
			DedupWindow   time.Duration    `json:"key_ttl"`
			Ordered       bool             `json:"by_arrival"`
			Locations     []logic.Location `json:"allowed_in"`
			Kinds         []logic.KindName `json:"machine_types_open"`
		} `json:"classes"`
		Discovery  string `json:"discovery"`
		FamilyInfo struct {
			BlockedByLoads []bool        `json:"blocked_by_loads"`
			GrantShare     float64       `json:"grant_cap"`
			GrantsCount    bool          `json:"grants_count"`
			HoldsLoad      []bool        `json:"holds_tables"`
			KindCores      []float64     `json:"kind_cores"`
			NotePeriod     time.Duration `json:"note_period"`
			OutOfMemory    string        `json:"out_of_memory"`
			MemoryMB       []float64     `json:"ram_of_kind_mb"`
			PriorityHeeded bool          `json:"ranks_heeded"`
			ThreadsByClass []float64     `json:"width_by_class"`
		} `json:"family_info"`
		LoadReport struct {
			Columns []string `json:"columns"`
		} `json:"load_report"`
		EngineKinds []logic.KindName `json:"machine_types"`
		Customers   []struct {
			Name     logic.CustomerID `json:"name"`
			JobsPerS float64          `json:"quota_rps"`
		} `json:"orgs"`
		OverShareValue float64 `json:"over_share_worth"`
		Permissions    struct {
			MaxAttempts    int           `json:"max_attempts"`
			MaxRetryAfter  time.Duration `json:"max_retry_after"`
			MayRecall      bool          `json:"may_cancel"`
			RetryAfter     bool          `json:"retry_after"`
			ConnectTimeout time.Duration `json:"connect_timeout"`
			IdleClose      time.Duration `json:"idle_close"`
			Streams        int           `json:"streams_per_conn"`
			OpenCap        int           `json:"open_cap"`
			Probes         bool          `json:"probes"`
		} `json:"permissions"`
		Safety struct {
			BudgetWindow  time.Duration `json:"budget_window"`
			Cold          time.Duration `json:"cold"`
			DrainGrace    time.Duration `json:"drain_grace"`
			BudgetFree    float64       `json:"extra_floor"`
			BudgetShare   float64       `json:"extra_per_request"`
			Fall          time.Duration `json:"fall"`
			KeyQuiet      time.Duration `json:"key_quiet"`
			StartCapacity float64       `json:"start_capacity"`
			FallMultiple  float64       `json:"tip_multiple"`
		} `json:"safety"`
		Tick     time.Duration  `json:"tick"`
		Location logic.Location `json:"zone"`
	}
	if err := decode("settings", raw, &document); err != nil {
		return Settings{}, err
	}
	logicSettings := logic.Settings{
		Controllers: document.Controllers, Number: document.ControllerNumber, Location: document.Location,
		OverShareValue: document.OverShareValue,
		ListOnRequest:  document.Discovery == "on_request", MayRecall: document.Permissions.MayRecall,
		GrantsHeeded: document.FamilyInfo.GrantsCount, PriorityHeeded: document.FamilyInfo.PriorityHeeded,
		GrantShare: document.FamilyInfo.GrantShare, SwapsWhenFull: document.FamilyInfo.OutOfMemory == "swap",
		MaxAttempts: document.Permissions.MaxAttempts, Tick: document.Tick,
		StartCapacity: document.Safety.StartCapacity, ColdPeriod: document.Safety.Cold, CollapseMultiple: document.Safety.FallMultiple,
		CollapsePeriod: document.Safety.Fall, KeyQuietPeriod: document.Safety.KeyQuiet, BudgetWindow: document.Safety.BudgetWindow,
		BudgetFloor: document.Safety.BudgetFree, BudgetShare: document.Safety.BudgetShare,
	}
	if document.Permissions.RetryAfter {
		logicSettings.MaxRetryAfter = document.Permissions.MaxRetryAfter
	}
	for index, class := range document.Classes {
		repeat, known := map[string]logic.Repeat{"retryable": logic.Idempotent, "dedup": logic.Keyed,
			"fragile": logic.NonIdempotent}[class.Repeat]
		if !known {
			return Settings{}, invalidValue(fmt.Sprintf("settings.classes[%d].repeat", index), class.Repeat,
				"retryable, dedup or fragile")
		}
		logicClass := logic.Class{Name: logic.ClassName(class.Name), LatencyTarget: class.LatencyTarget, TargetStretch: class.TargetStretch,
			Deadline: class.Deadline, Value: class.Value, LateValue: class.LateValue, Repeat: repeat,
			Group:       map[string]logic.Group{"zone": logic.GroupLocation, "cell": logic.GroupCell}[class.Group],
			DedupWindow: class.DedupWindow, Ordered: class.Ordered, Locations: class.Locations,
			Kinds: class.Kinds, Threads: valueAt(document.FamilyInfo.ThreadsByClass, index, 1),
			HoldsTables:    valueAt(document.FamilyInfo.HoldsLoad, index, false),
			BlockedByLoads: valueAt(document.FamilyInfo.BlockedByLoads, index, false)}
		logicSettings.Classes = append(logicSettings.Classes, logicClass)
	}
	for index, kind := range document.EngineKinds {
		logicSettings.Kinds = append(logicSettings.Kinds, logic.EngineKind{Name: kind,
			Cores: valueAt(document.FamilyInfo.KindCores, index, 1), MemoryMB: valueAt(document.FamilyInfo.MemoryMB, index, 0)})
	}
	for _, org := range document.Customers {
		logicSettings.Customers = append(logicSettings.Customers,
			logic.Customer{Name: org.Name, JobsPerSecond: org.JobsPerS})
	}
	return Settings{Logic: logicSettings, Columns: document.LoadReport.Columns, ConnectTimeout: document.Permissions.ConnectTimeout,
		IdleClose: document.Permissions.IdleClose, JobsPerConnection: document.Permissions.Streams, MaxOpenJobs: document.Permissions.OpenCap,
		Probes: document.Permissions.Probes, ProgressNotes: document.FamilyInfo.NotePeriod > 0, DrainGrace: document.Safety.DrainGrace}, nil
}

// valueAt returns list[index], or fallback if the list is shorter or absent.
func valueAt[T any](list []T, index int, fallback T) T {
	if index < len(list) {
		return list[index]
	}
	return fallback
}

// limitsAdapter adapts the limits of decide/limit to the types of package logic.
type limitsAdapter struct{ *limit.Limits }

func (l limitsAdapter) TakeCustomerShare(now time.Duration, customer logic.CustomerID) bool {
	return l.Limits.TakeCustomerShare(now, limit.CustomerID(customer))
}

func (l limitsAdapter) Engine(cores float64) logic.EngineLimit { return l.Limits.Engine(cores) }

func newLimits(settings logic.Settings) limitsAdapter {
	limitSettings := limit.Settings{Controllers: settings.Controllers, Number: settings.Number, BudgetWindow: settings.BudgetWindow,
		BudgetFloor: settings.BudgetFloor, BudgetShare: settings.BudgetShare, StartCapacity: settings.StartCapacity,
		ColdPeriod: settings.ColdPeriod, CollapseMultiple: settings.CollapseMultiple, CollapsePeriod: settings.CollapsePeriod}
	for _, customer := range settings.Customers {
		limitSettings.Customers = append(limitSettings.Customers,
			limit.Customer{Name: limit.CustomerID(customer.Name), JobsPerSecond: customer.JobsPerSecond})
	}
	return limitsAdapter{limit.New(limitSettings)}
}

// slownessAdapter adapts the estimates of decide/slowness to the types of package logic.
type slownessAdapter struct{ *slowness.Estimator }

func (s slownessAdapter) Engine(location logic.Location, kind logic.KindName) logic.EngineSlowness {
	return s.Estimator.Engine(slowness.Location(location), slowness.Kind(kind))
}

// NewModule creates the decision module. decide/subsetting assigns its subset of engines, decide/limit enforces its limits, and
// decide/slowness estimates the slowness of engines from few answers.
func NewModule(host logic.Host, settings logic.Settings, seed int64) *logic.Controller {
	settings.Limits, settings.Slowness = newLimits(settings), slownessAdapter{slowness.New()}
	settings.Order = func(candidates []logic.Candidate, size int) []logic.Candidate {
		engines, candidateByID := make([]subsetting.Engine, len(candidates)),
			make(map[subsetting.EngineID]logic.Candidate, len(candidates))
		for index, candidate := range candidates {
			engines[index] = subsetting.Engine{ID: subsetting.EngineID(candidate.ID), Location: subsetting.Location(candidate.Location),
				Capacity: candidate.Cores}
			candidateByID[engines[index].ID] = candidate
		}
		for index, id := range subsetting.Order(engines, settings.Controllers, settings.Number, size) {
			candidates[index] = candidateByID[id]
		}
		return candidates
	}
	return logic.New(host, settings, seed)
}
