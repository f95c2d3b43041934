// Package listing decodes the membership events of the discovery service: which engines there are and in which state.
package listing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"yarrowbarrow/logic"
)

// healthByName maps the health names of the discovery service to those of package logic.
var healthByName = map[string]logic.Health{"active": logic.Up, "leaving": logic.Draining, "left": logic.Gone}

// Events is the decoded event list of one discovery response, or of the engines known to a configuration.
type Events struct {
	newest int64 // number of the newest event that the sender has
	events []event
}

// event is one entry of the event list. Members is nil for kinds of events that are not known here; they are skipped.
type event struct {
	Number  int64 `json:"n"`
	Members *struct {
		Snapshot bool          `json:"whole"`
		Engines  engineEntries `json:"hosts"`
	} `json:"members"`
}

// events and engineEntries are decoded element by element, so that decoding of an invalid input stops at the first error,
// however long the input is.
type (
	events        []event
	engineEntries []engineEntry
)

func (list *events) UnmarshalJSON(raw []byte) error {
	return decodeArray(raw, func(decoded event) error {
		*list = append(*list, decoded)
		return nil
	})
}

func (list *engineEntries) UnmarshalJSON(raw []byte) error {
	return decodeArray(raw, func(decoded engineEntry) error {
		if _, known := healthByName[decoded.Health]; !known || decoded.ID == "" {
			return fmt.Errorf("engine %q: name is empty or health %q is unknown", decoded.ID, decoded.Health)
		}
		*list = append(*list, decoded)
		return nil
	})
}

// decodeArray decodes the elements of a JSON array one by one and calls add with each. It treats null as an empty array.
func decodeArray[T any](raw []byte, add func(T) error) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening == nil {
		return err
	}
	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		if err := add(element); err != nil {
			return err
		}
	}
	return nil
}

// engineEntry is the state of one engine within an event.
type engineEntry struct {
	ID            logic.EngineID `json:"host"`
	Address       string         `json:"dial"`
	Location      logic.Location `json:"site"`
	Kind          logic.KindName `json:"class"`
	Cell          logic.Cell     `json:"block"`
	Health        string         `json:"health"`
	Weight        float64        `json:"share"`
	OnlineSinceMS int64          `json:"born_ms"`
}

// Parse decodes a discovery response. It accepts at most maxEntries events, and at most maxEntries engines in all events
// together. An input with any invalid element is rejected as a whole.
func Parse(raw []byte, maxEntries int) (Events, error) {
	var response struct {
		Newest int64  `json:"n"`
		Events events `json:"events"`
	}
	if objects := bytes.Count(raw, []byte("{")); objects > 3*maxEntries+1 { // one each per event, per members object and per engine, and the outermost
		return Events{}, fmt.Errorf("%d JSON objects are too many for at most %d events and as many engines", objects, maxEntries)
	}
	if err := json.Unmarshal(raw, &response); err != nil {
		return Events{}, err
	}
	return Events{response.Newest, response.Events}, nil
}

// ReplaySince replays the events with numbers above after. For each it calls beginEvent, where snapshot tells whether the event
// replaces the whole membership or changes only the engines that it lists, then addEngine for each engine, then endEvent. lastRead
// is the number of the last event read. gap reports that events are missing, so that the caller has to fetch the full list from the
// discovery service again; reading stops at a gap, unless the event after it is a snapshot.
func (list Events) ReplaySince(after int64, beginEvent func(snapshot bool), addEngine func(id logic.EngineID, address string,
	location logic.Location, kind logic.KindName, cell logic.Cell, state logic.Health, weight float64,
	since time.Duration), endEvent func()) (lastRead int64, gap bool) {
	if list.newest < after {
		return after, true
	}
	lastRead = after
	for _, ev := range list.events {
		if ev.Number <= lastRead {
			continue
		}
		if snapshot := ev.Members != nil && ev.Members.Snapshot; ev.Number > lastRead+1 && !snapshot {
			return lastRead, true
		}
		if lastRead = ev.Number; ev.Members == nil {
			continue
		}
		beginEvent(ev.Members.Snapshot)
		for _, entry := range ev.Members.Engines {
			addEngine(entry.ID, entry.Address, entry.Location, entry.Kind, entry.Cell, healthByName[entry.Health], entry.Weight,
				time.Duration(entry.OnlineSinceMS)*time.Millisecond)
		}
		endEvent()
	}
	return lastRead, lastRead < list.newest
}

// MaxConfiguredEntries is the maximum number of events, and of engines, in the list known to a configuration.
const MaxConfiguredEntries = 1 << 16

// Replay parses the list known to a configuration and replays the events with numbers above after, as ReplaySince does.
func Replay(raw []byte, after int64, beginEvent func(snapshot bool), addEngine func(id logic.EngineID, address string,
	location logic.Location, kind logic.KindName, cell logic.Cell, state logic.Health, weight float64,
	since time.Duration), endEvent func()) (lastRead int64, gap bool, err error) {
	list, err := Parse(raw, MaxConfiguredEntries)
	if err != nil {
		return after, false, err
	}
	lastRead, gap = list.ReplaySince(after, beginEvent, addEngine, endEvent)
	return lastRead, gap, nil
}
