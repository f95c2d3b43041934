package config

import (
	"encoding/json"
	"fmt"
	"time"

	"yarrowbarrow/decide/limit"
	"yarrowbarrow/decide/spread"
	"yarrowbarrow/decide/thin"
	"yarrowbarrow/logic"
)

// Settings are the operators' figures: those of the module, and those of the sockets round it.
type Settings struct {
	Logic          logic.Settings
	Columns        []string // of a load report, in order
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // nothing goes to an engine that drains later than this after it was told; 0: not told
	IdleClose      time.Duration
	Streams        int // jobs on one connection to an engine
	OpenCap        int // jobs open at once, 0 for no limit
	Probes         bool
	Notes          bool // engines tell of jobs that run
}

// ReadSettings takes the figures that are read out of the settings object; other keys are passed over.
func ReadSettings(raw json.RawMessage) (Settings, error) {
	var document struct {
		Balancers int `json:"balancers"`
		Rank      int `json:"rank"`
		Classes   []struct {
			Name             string           `json:"name"`
			Aim              time.Duration    `json:"aim"`
			Deadline         time.Duration    `json:"deadline"`
			AimStretch       float64          `json:"aim_stretch"`
			Gain             float64          `json:"gain"`
			LateWorth        float64          `json:"late_worth"`
			Repeat           string           `json:"repeat"`
			Group            string           `json:"group"`
			KeyTTL           time.Duration    `json:"key_ttl"`
			ByArrival        bool             `json:"by_arrival"`
			AllowedIn        []logic.Location `json:"allowed_in"`
			MachineTypesOpen []logic.KindName `json:"machine_types_open"`
		} `json:"classes"`
		Discovery  string `json:"discovery"`
		FamilyInfo struct {
			BlockedByLoads []bool        `json:"blocked_by_loads"`
			GrantCap       float64       `json:"grant_cap"`
			GrantsCount    bool          `json:"grants_count"`
			HoldsTables    []bool        `json:"holds_tables"`
			KindCores      []float64     `json:"kind_cores"`
			NotePeriod     time.Duration `json:"note_period"`
			OutOfMemory    string        `json:"out_of_memory"`
			RAM            []float64     `json:"ram_of_kind_mb"`
			RanksHeeded    bool          `json:"ranks_heeded"`
			WidthByClass   []float64     `json:"width_by_class"`
		} `json:"family_info"`
		LoadReport struct {
			Columns []string `json:"columns"`
		} `json:"load_report"`
		MachineTypes []logic.KindName `json:"machine_types"`
		Orgs         []struct {
			Name     logic.CustomerID `json:"name"`
			QuotaRPS float64          `json:"quota_rps"`
		} `json:"orgs"`
		OverShareWorth float64 `json:"over_share_worth"`
		Permissions    struct {
			MaxAttempts   int           `json:"max_attempts"`
			MaxRetryAfter time.Duration `json:"max_retry_after"`
			MayCancel     bool          `json:"may_cancel"`
			RetryAfter    bool          `json:"retry_after"`
			Connect       time.Duration `json:"connect_timeout"`
			IdleClose     time.Duration `json:"idle_close"`
			Streams       int           `json:"streams_per_conn"`
			OpenCap       int           `json:"open_cap"`
			Probes        bool          `json:"probes"`
		} `json:"permissions"`
		Safety struct {
			BudgetWindow    time.Duration `json:"budget_window"`
			Cold            time.Duration `json:"cold"`
			DrainGrace      time.Duration `json:"drain_grace"`
			ExtraFloor      float64       `json:"extra_floor"`
			ExtraPerRequest float64       `json:"extra_per_request"`
			Fall            time.Duration `json:"fall"`
			KeyQuiet        time.Duration `json:"key_quiet"`
			StartCapacity   float64       `json:"start_capacity"`
			TipMultiple     float64       `json:"tip_multiple"`
		} `json:"safety"`
		Tick time.Duration  `json:"tick"`
		Zone logic.Location `json:"zone"`
	}
	if err := decode("settings", raw, &document); err != nil {
		return Settings{}, err
	}
	logicSettings := logic.Settings{
		Controllers: document.Balancers, Number: document.Rank, Location: document.Zone, OverShareValue: document.OverShareWorth,
		ListOnRequest: document.Discovery == "on_request", MayRecall: document.Permissions.MayCancel,
		GrantsCount: document.FamilyInfo.GrantsCount, PriorityHeeded: document.FamilyInfo.RanksHeeded,
		GrantShare: document.FamilyInfo.GrantCap, OverGrantsPage: document.FamilyInfo.OutOfMemory == "swap",
		MaxAttempts: document.Permissions.MaxAttempts, Tick: document.Tick,
		StartCapacity: document.Safety.StartCapacity, Cold: document.Safety.Cold, FallMultiple: document.Safety.TipMultiple,
		Fall: document.Safety.Fall, KeyQuiet: document.Safety.KeyQuiet, BudgetWindow: document.Safety.BudgetWindow,
		BudgetFree: document.Safety.ExtraFloor, BudgetShare: document.Safety.ExtraPerRequest,
	}
	if document.Permissions.RetryAfter {
		logicSettings.MaxComeBack = document.Permissions.MaxRetryAfter
	}
	for index, class := range document.Classes {
		repeat, known := map[string]logic.Repeat{"retryable": logic.Idempotent, "dedup": logic.Keyed,
			"fragile": logic.NonIdempotent}[class.Repeat]
		if !known {
			return Settings{}, invalidValue(fmt.Sprintf("settings.classes[%d].repeat", index), class.Repeat,
				"retryable, dedup or fragile")
		}
		logicClass := logic.Class{Name: logic.ClassName(class.Name), LatencyTarget: class.Aim, TargetStretch: class.AimStretch,
			Deadline: class.Deadline, Value: class.Gain, LateValue: class.LateWorth, Repeat: repeat,
			Group:  map[string]logic.Group{"zone": logic.GroupLocation, "cell": logic.GroupCell}[class.Group],
			Window: class.KeyTTL, Ordered: class.ByArrival, Locations: class.AllowedIn,
			Kinds: class.MachineTypesOpen, Threads: valueAt(document.FamilyInfo.WidthByClass, index, 1),
			HoldsLoad: valueAt(document.FamilyInfo.HoldsTables, index, false), StandsBy: valueAt(document.FamilyInfo.BlockedByLoads, index, false)}
		logicSettings.Classes = append(logicSettings.Classes, logicClass)
	}
	for index, kind := range document.MachineTypes {
		logicSettings.Kinds = append(logicSettings.Kinds, logic.EngineKind{Name: kind, Cores: valueAt(document.FamilyInfo.KindCores, index, 1),
			MemoryMB: valueAt(document.FamilyInfo.RAM, index, 0)})
	}
	for _, org := range document.Orgs {
		logicSettings.Customers = append(logicSettings.Customers, logic.Customer{Name: org.Name, JobsPerS: org.QuotaRPS})
	}
	return Settings{Logic: logicSettings, Columns: document.LoadReport.Columns, ConnectTimeout: document.Permissions.Connect,
		IdleClose: document.Permissions.IdleClose, Streams: document.Permissions.Streams, OpenCap: document.Permissions.OpenCap,
		Probes: document.Permissions.Probes, Notes: document.FamilyInfo.NotePeriod > 0, DrainGrace: document.Safety.DrainGrace}, nil
}

// at is the n-th value of a list that may be shorter, or absent.
func valueAt[T any](list []T, index int, fallback T) T {
	if index < len(list) {
		return list[index]
	}
	return fallback
}

// limits has decide/limit speak the module's types.
type limitsAdapter struct{ *limit.Limits }

func (l limitsAdapter) Within(now time.Duration, customer logic.CustomerID) bool {
	return l.Limits.Within(now, limit.CustomerID(customer))
}

func (l limitsAdapter) Engine(cores float64) logic.EngineLimit { return l.Limits.Engine(cores) }

func newLimits(settings logic.Settings) limitsAdapter {
	limitSettings := limit.Settings{Controllers: settings.Controllers, Number: settings.Number, BudgetWindow: settings.BudgetWindow, BudgetFree: settings.BudgetFree,
		BudgetShare: settings.BudgetShare, StartCapacity: settings.StartCapacity, Cold: settings.Cold, FallMultiple: settings.FallMultiple, Fall: settings.Fall}
	for _, customer := range settings.Customers {
		limitSettings.Customers = append(limitSettings.Customers, limit.Customer{Name: limit.CustomerID(customer.Name), JobsPerS: customer.JobsPerS})
	}
	return limitsAdapter{limit.New(limitSettings)}
}

// slowness has decide/thin speak the module's types.
type slownessAdapter struct{ *thin.Book }

func (s slownessAdapter) Engine(location logic.Location, kind logic.KindName) logic.EngineSlowness {
	return s.Book.Engine(thin.Location(location), thin.Kind(kind))
}

// Module makes the decision module with subsets dealt by decide/spread, the limits of decide/limit, and what decide/thin makes
// of few answers.
func Module(host logic.Host, settings logic.Settings, seed int64) *logic.Controller {
	settings.Limits, settings.Slowness = newLimits(settings), slownessAdapter{thin.New()}
	settings.Order = func(candidates []logic.Candidate, size int) []logic.Candidate {
		engines, candidateByID := make([]spread.Engine, len(candidates)), make(map[spread.EngineID]logic.Candidate, len(candidates))
		for index, candidate := range candidates {
			engines[index] = spread.Engine{ID: spread.EngineID(candidate.ID), Location: spread.Location(candidate.Location), Capacity: candidate.Cores}
			candidateByID[engines[index].ID] = candidate
		}
		for index, id := range spread.Order(engines, settings.Controllers, settings.Number, size) {
			candidates[index] = candidateByID[id]
		}
		return candidates
	}
	return logic.New(host, settings, seed)
}
