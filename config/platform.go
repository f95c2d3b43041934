package config

import (
	"encoding/json"
	"slices"
	"time"

	"yarrowbarrow/config/lang"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/internal/listing"
	"yarrowbarrow/logic"
)

// Platform returns the settings that an operators' file can be checked against.
func (c *Config) Platform() lang.Platform {
	settings := &c.Settings.Logic
	platform := lang.Platform{Fronts: []string{"framed"}}
	locations := []logic.Location{settings.Location}
	for _, class := range settings.Classes {
		platformClass := lang.PlatformClass{Name: string(class.Name), LatencyTarget: class.LatencyTarget,
			Deadline: class.Deadline, DedupWindow: class.DedupWindow, Keyed: class.Repeat == logic.Keyed}
		for _, location := range class.Locations {
			platformClass.Locations = append(platformClass.Locations, string(location))
		}
		for _, kind := range class.Kinds {
			platformClass.Kinds = append(platformClass.Kinds, string(kind))
		}
		platform.Classes = append(platform.Classes, platformClass)
		locations = append(locations, class.Locations...)
	}
	for _, engine := range c.Engines() {
		locations = append(locations, logic.Location(engine.Location))
	}
	slices.Sort(locations)
	for _, location := range slices.Compact(locations) {
		if location != "" {
			platform.Locations = append(platform.Locations, string(location))
		}
	}
	for _, kind := range settings.Kinds {
		platform.Kinds = append(platform.Kinds, string(kind.Name))
	}
	for _, customer := range settings.Customers {
		platform.Customers = append(platform.Customers, string(customer.Name))
	}
	return platform
}

// Engines returns the engines that are known and up at startup, in the order of the list.
func (c *Config) Engines() []route.Engine {
	indexByID := map[route.EngineID]int{} // position in engines of each engine that is up
	var engines []route.Engine
	_, _, _ = listing.Replay(json.RawMessage(c.InitialDiscovery), 0, func(isSnapshot bool) {
		if isSnapshot {
			engines = nil
			clear(indexByID)
		}
	}, func(id logic.EngineID, _ string, location logic.Location, kind logic.KindName, _ logic.Cell, state logic.Health,
		_ float64, _ time.Duration) {
		if index, listed := indexByID[route.EngineID(id)]; listed {
			engines[index].ID = ""
			delete(indexByID, route.EngineID(id))
		}
		if state == logic.Up {
			indexByID[route.EngineID(id)] = len(engines)
			engines = append(engines, route.Engine{ID: route.EngineID(id), Location: string(location), Kind: string(kind)})
		}
	}, func() {})
	return slices.DeleteFunc(engines, func(e route.Engine) bool { return e.ID == "" })
}
