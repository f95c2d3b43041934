// Package listing reads what discovery tells of the engines.
package listing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"yarrowbarrow/logic"
)

var states = map[string]logic.Health{"active": logic.Up, "leaving": logic.Draining, "left": logic.Gone}

// Events are what an answer of discovery holds, or what a configuration knows.
type Events struct {
	last   int64
	events []change
}

type change struct {
	N       int64 `json:"n"`
	Members *struct {
		Whole bool  `json:"whole"`
		Hosts hosts `json:"hosts"`
	} `json:"members"`
}

// events and hosts are read one by one, so that a faulty text ends at its first fault, whatever its length.
type (
	events []change
	hosts  []host
)

func (all *events) UnmarshalJSON(raw []byte) error {
	return elements(raw, func(e change) error {
		*all = append(*all, e)
		return nil
	})
}

func (all *hosts) UnmarshalJSON(raw []byte) error {
	return elements(raw, func(h host) error {
		if _, known := states[h.Health]; !known || h.Host == "" {
			return fmt.Errorf("host %q: health %q is not known", h.Host, h.Health)
		}
		*all = append(*all, h)
		return nil
	})
}

// elements hands over those of an array; null has none.
func elements[T any](raw []byte, each func(T) error) error {
	from := json.NewDecoder(bytes.NewReader(raw))
	if begin, err := from.Token(); err != nil || begin == nil {
		return err
	}
	for from.More() {
		var one T
		if err := from.Decode(&one); err != nil {
			return err
		}
		if err := each(one); err != nil {
			return err
		}
	}
	return nil
}

type host struct {
	Host   logic.EngineID `json:"host"`
	Dial   string         `json:"dial"`
	Site   logic.Location `json:"site"`
	Class  logic.KindName `json:"class"`
	Block  logic.Cell     `json:"block"`
	Health string         `json:"health"`
	Share  float64        `json:"share"`
	BornMS int64          `json:"born_ms"`
}

// Parse reads a text with at most so many events, and hosts in all of them. A faulty one is refused as a whole.
func Parse(raw []byte, most int) (Events, error) {
	var answer struct {
		N      int64  `json:"n"`
		Events events `json:"events"`
	}
	if n := bytes.Count(raw, []byte("{")); n > 3*most+1 { // an object for each event, its members and each host, and one round all
		return Events{}, fmt.Errorf("%d objects, of at most %d events and hosts", n, most)
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return Events{}, err
	}
	return Events{answer.N, answer.Events}, nil
}

// Since hands over the events behind number after: each begins, lists its engines and ends. last is the number of the newest
// event told; a gap in the numbers ends the reading, which tells that discovery has to be read anew.
func (all Events) Since(after int64, begins func(whole bool), lists func(id logic.EngineID, address string,
	location logic.Location, kind logic.KindName, cell logic.Cell, state logic.Health, weight float64,
	since time.Duration), ends func()) (last int64, gap bool) {
	if all.last < after {
		return after, true
	}
	last = after
	for _, e := range all.events {
		if e.N <= last {
			continue
		}
		if whole := e.Members != nil && e.Members.Whole; e.N > last+1 && !whole {
			return last, true
		}
		if last = e.N; e.Members == nil {
			continue
		}
		begins(e.Members.Whole)
		for _, h := range e.Members.Hosts {
			lists(h.Host, h.Dial, h.Site, h.Class, h.Block, states[h.Health], h.Share,
				time.Duration(h.BornMS)*time.Millisecond)
		}
		ends()
	}
	return last, last < all.last
}

// MostKnown events and hosts may be in what a configuration knows.
const MostKnown = 1 << 16

// Read parses a text and hands over the events behind number after.
func Read(raw []byte, after int64, begins func(whole bool), lists func(id logic.EngineID, address string,
	location logic.Location, kind logic.KindName, cell logic.Cell, state logic.Health, weight float64,
	since time.Duration), ends func()) (last int64, gap bool, err error) {
	all, err := Parse(raw, MostKnown)
	if err != nil {
		return after, false, err
	}
	last, gap = all.Since(after, begins, lists, ends)
	return last, gap, nil
}
