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
	var c struct {
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
	if err := decode("settings", raw, &c); err != nil {
		return Settings{}, err
	}
	s := logic.Settings{
		Controllers: c.Balancers, Number: c.Rank, Location: c.Zone, OverShareValue: c.OverShareWorth,
		ListOnRequest: c.Discovery == "on_request", MayRecall: c.Permissions.MayCancel,
		GrantsCount: c.FamilyInfo.GrantsCount, PriorityHeeded: c.FamilyInfo.RanksHeeded,
		GrantShare: c.FamilyInfo.GrantCap, OverGrantsPage: c.FamilyInfo.OutOfMemory == "swap",
		MaxAttempts: c.Permissions.MaxAttempts, Tick: c.Tick,
		StartCapacity: c.Safety.StartCapacity, Cold: c.Safety.Cold, FallMultiple: c.Safety.TipMultiple,
		Fall: c.Safety.Fall, KeyQuiet: c.Safety.KeyQuiet, BudgetWindow: c.Safety.BudgetWindow,
		BudgetFree: c.Safety.ExtraFloor, BudgetShare: c.Safety.ExtraPerRequest,
	}
	if c.Permissions.RetryAfter {
		s.MaxComeBack = c.Permissions.MaxRetryAfter
	}
	for n, class := range c.Classes {
		repeat, known := map[string]logic.Repeat{"retryable": logic.Idempotent, "dedup": logic.Keyed,
			"fragile": logic.NonIdempotent}[class.Repeat]
		if !known {
			return Settings{}, faulty(fmt.Sprintf("settings.classes[%d].repeat", n), class.Repeat,
				"retryable, dedup or fragile")
		}
		t := logic.Class{Name: logic.ClassName(class.Name), LatencyTarget: class.Aim, TargetStretch: class.AimStretch,
			Deadline: class.Deadline, Value: class.Gain, LateValue: class.LateWorth, Repeat: repeat,
			Group:  map[string]logic.Group{"zone": logic.GroupLocation, "cell": logic.GroupCell}[class.Group],
			Window: class.KeyTTL, Ordered: class.ByArrival, Locations: class.AllowedIn,
			Kinds: class.MachineTypesOpen, Threads: at(c.FamilyInfo.WidthByClass, n, 1),
			HoldsLoad: at(c.FamilyInfo.HoldsTables, n, false), StandsBy: at(c.FamilyInfo.BlockedByLoads, n, false)}
		s.Classes = append(s.Classes, t)
	}
	for n, kind := range c.MachineTypes {
		s.Kinds = append(s.Kinds, logic.EngineKind{Name: kind, Cores: at(c.FamilyInfo.KindCores, n, 1),
			MemoryMB: at(c.FamilyInfo.RAM, n, 0)})
	}
	for _, org := range c.Orgs {
		s.Customers = append(s.Customers, logic.Customer{Name: org.Name, JobsPerS: org.QuotaRPS})
	}
	return Settings{Logic: s, Columns: c.LoadReport.Columns, ConnectTimeout: c.Permissions.Connect,
		IdleClose: c.Permissions.IdleClose, Streams: c.Permissions.Streams, OpenCap: c.Permissions.OpenCap,
		Probes: c.Permissions.Probes, Notes: c.FamilyInfo.NotePeriod > 0, DrainGrace: c.Safety.DrainGrace}, nil
}

// at is the n-th value of a list that may be shorter, or absent.
func at[T any](list []T, n int, other T) T {
	if n < len(list) {
		return list[n]
	}
	return other
}

// limits has decide/limit speak the module's types.
type limits struct{ *limit.Limits }

func (l limits) Within(now time.Duration, c logic.CustomerID) bool {
	return l.Limits.Within(now, limit.CustomerID(c))
}

func (l limits) Engine(cores float64) logic.EngineLimit { return l.Limits.Engine(cores) }

func newLimits(s logic.Settings) limits {
	set := limit.Settings{Controllers: s.Controllers, Number: s.Number, BudgetWindow: s.BudgetWindow, BudgetFree: s.BudgetFree,
		BudgetShare: s.BudgetShare, StartCapacity: s.StartCapacity, Cold: s.Cold, FallMultiple: s.FallMultiple, Fall: s.Fall}
	for _, c := range s.Customers {
		set.Customers = append(set.Customers, limit.Customer{Name: limit.CustomerID(c.Name), JobsPerS: c.JobsPerS})
	}
	return limits{limit.New(set)}
}

// slowness has decide/thin speak the module's types.
type slowness struct{ *thin.Book }

func (s slowness) Engine(location logic.Location, kind logic.KindName) logic.EngineSlowness {
	return s.Book.Engine(thin.Location(location), thin.Kind(kind))
}

// Module makes the decision module with subsets dealt by decide/spread, the limits of decide/limit, and what decide/thin makes
// of few answers.
func Module(host logic.Host, s logic.Settings, seed int64) *logic.Controller {
	s.Limits, s.Slowness = newLimits(s), slowness{thin.New()}
	s.Order = func(up []logic.Candidate, size int) []logic.Candidate {
		list, at := make([]spread.Engine, len(up)), make(map[spread.EngineID]logic.Candidate, len(up))
		for n, e := range up {
			list[n] = spread.Engine{ID: spread.EngineID(e.ID), Location: spread.Location(e.Location), Capacity: e.Cores}
			at[list[n].ID] = e
		}
		for n, id := range spread.Order(list, s.Controllers, s.Number, size) {
			up[n] = at[id]
		}
		return up
	}
	return logic.New(host, s, seed)
}
