// Package simwire runs controllers under a simulator. It reads batches of events, one JSON object a line, passes the events on to the
// controllers, and answers each batch with one line that lists the decisions of the controllers.
package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/logic"
)

// event is one event of a batch, or one row of an engine list: an array of values in a fixed order.
type event []json.RawMessage

// valueReader decodes the values of an event or row by their index and keeps the first error. A value beyond the end of the array reads
// as the zero value.
type valueReader struct {
	values event
	err    error
}

// decode decodes the value at index into dst. name is that of the field in error messages.
func (r *valueReader) decode(index int, name string, dst any) {
	if r.err != nil || index >= len(r.values) {
		return
	}
	if err := json.Unmarshal(r.values[index], dst); err != nil {
		r.err = fmt.Errorf("field %s: %w", name, err)
	}
}

func (r *valueReader) str(index int, name string) (s string) { r.decode(index, name, &s); return }

func (r *valueReader) integer(index int, name string) (n int64) { r.decode(index, name, &n); return }

func (r *valueReader) duration(index int, name string) time.Duration {
	return time.Duration(r.integer(index, name))
}

func (r *valueReader) float(index int, name string) (n float64) { r.decode(index, name, &n); return }

func (r *valueReader) boolean(index int, name string) (b bool) { r.decode(index, name, &b); return }

// customer returns the name of a customer, or "" if the value is 0 or absent.
func (r *valueReader) customer(index int, name string) logic.CustomerID {
	if index < len(r.values) && string(r.values[index]) == "0" {
		return ""
	}
	return logic.CustomerID(r.str(index, name))
}

// instance is one controller and its logic.Host, which records each call as a decision. decisions points to the list that all
// instances of a batch share.
type instance struct {
	id         int64
	controller *logic.Controller
	columns    []string
	decisions  *[][]any
}

// decide records a decision of this instance.
func (i *instance) decide(name string, values ...any) {
	*i.decisions = append(*i.decisions, append([]any{name, i.id}, values...))
}

func (i *instance) Attempt(job logic.JobID, engine logic.EngineID, timeout, _ time.Duration) {
	i.decide("assign", job, engine, timeout)
}

func (i *instance) SetTerms(job logic.JobID, memoryMB float64, priority int) {
	i.decide("grant_and_rank", job, priority, memoryMB)
}
func (i *instance) Recall(job logic.JobID, attempt int) { i.decide("recall", job, attempt) }
func (i *instance) Reject(job logic.JobID, retryAfter time.Duration) {
	i.decide("refuse", job, retryAfter)
}
func (i *instance) Fail(job logic.JobID) { i.decide("give_up", job) }
func (i *instance) StartTimer(timer logic.TimerID, delay time.Duration) {
	i.decide("arm", timer, delay)
}
func (i *instance) FollowList(enabled bool)                      { i.decide("tail", enabled) }
func (i *instance) FetchList()                                   { i.decide("reload") }
func (i *instance) Probe(engine logic.EngineID)                  { i.decide("sound_out", engine) }
func (i *instance) CloseIdle(engine logic.EngineID)              { i.decide("free_links", engine) }
func (i *instance) SendToPeer(peer logic.PeerID, message string) { i.decide("share", peer, message) }
func (i *instance) SetSuspected(logic.EngineID, bool)            {}
func (i *instance) KeyRests(logic.JobID, time.Duration)          {}
func (i *instance) Log(line string)                              { i.decide("print", line) }

// simulatorHost hosts the controller instances. They share only the input, the output and the engine lists, which events refer to by
// number.
type simulatorHost struct {
	instances   map[int64]*instance
	engineLists map[int64][]event
	decisions   [][]any
	stderr      io.Writer
}

// Run answers batches from in until its end, or until an input can't be decoded. It warns on stderr of events that it skips and of
// values that it ignores.
func Run(in io.Reader, out, stderr io.Writer) error {
	host := &simulatorHost{instances: map[int64]*instance{}, engineLists: map[int64][]event{}, stderr: stderr}
	reader := bufio.NewReaderSize(in, 1<<20)
	writer := bufio.NewWriterSize(out, 1<<20)
	lastFrame := "the start"
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) == 0 && err == io.EOF {
			return nil
		} else if err != nil && err != io.EOF {
			return err
		}
		var batch struct {
			Moment *int64          `json:"moment"`
			Frame  json.RawMessage `json:"frame"`
			Events []event         `json:"events"`
		}
		if err := json.Unmarshal(line, &batch); err != nil {
			return fmt.Errorf("batch after frame %s: unreadable: %w", lastFrame, err)
		}
		if batch.Moment == nil || batch.Frame == nil {
			return fmt.Errorf("batch after frame %s: field moment or frame is missing", lastFrame)
		}
		lastFrame = string(batch.Frame)
		host.decisions = host.decisions[:0]
		for index, row := range batch.Events {
			if err := host.handleEvent(time.Duration(*batch.Moment), row); err != nil {
				return fmt.Errorf("frame %s: event %d: %w", lastFrame, index, err)
			}
		}
		if host.decisions == nil {
			host.decisions = [][]any{}
		}
		reply, err := json.Marshal(map[string]any{"frame": batch.Frame, "decisions": host.decisions})
		if err != nil {
			return fmt.Errorf("frame %s: reply: %w", lastFrame, err)
		}
		writer.Write(append(reply, '\n'))
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// maxValues is the number of values that are read of each event, including the name.
var maxValues = map[string]int{"init": 4, "snapshot_rows": 3, "discovery": 5, "new_request": 11,
	"timed_out_client": 3, "halt": 2, "fired": 3, "status_back": 6, "signal": 7, "closed_attempt": 10,
	"whisper": 4, "accepted": 6}

// handleEvent handles one event of a batch. A panic of a controller becomes a decision named exception.
func (h *simulatorHost) handleEvent(now time.Duration, row event) error {
	fields := &valueReader{values: row}
	name := fields.str(0, "name")
	id := fields.integer(1, "controller_id")
	if fields.err != nil {
		return fields.err
	}
	if len(row) < 2 {
		return fmt.Errorf("%q: field controller_id is missing", name)
	}
	if limit, known := maxValues[name]; !known {
		fmt.Fprintf(h.stderr, "simhost: event %q is not known: passed over\n", name)
		return nil
	} else if len(row) > limit {
		fmt.Fprintf(h.stderr, "simhost: %s has %d values, %d are read\n", name, len(row), limit)
	}
	switch name {
	case "snapshot_rows":
		var rows []event
		fields.decode(2, "elements", &rows)
		h.engineLists[id] = rows
		return withEventName(name, fields.err)
	case "init":
		return withEventName(name, h.startInstance(id, fields))
	case "halt":
		delete(h.instances, id)
		return nil
	}
	target := h.instances[id]
	if target == nil {
		fmt.Fprintf(h.stderr, "simhost: %s for instance %d, which is not known: passed over\n", name, id)
		return nil
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			target.decide("exception", fmt.Sprint(recovered))
		}
	}()
	return withEventName(name, h.deliver(target, now, name, fields))
}

// withEventName prefixes an error with the name of the event.
func withEventName(name string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// startInstance starts a controller with the seed and settings of an init event, in place of any with the same ID.
func (h *simulatorHost) startInstance(id int64, fields *valueReader) error {
	var seed uint64
	fields.decode(2, "salt", &seed)
	if fields.err != nil {
		return fields.err
	}
	if len(fields.values) < 4 {
		return fmt.Errorf("field config is missing")
	}
	settings, err := config.ReadSettings(fields.values[3])
	if err != nil {
		return err
	}
	started := &instance{id: id, columns: settings.Columns, decisions: &h.decisions}
	started.controller = config.NewModule(started, settings.Logic, int64(seed))
	h.instances[id] = started
	return nil
}

// outcomeByCode maps the simulator's codes for the end of an attempt to outcomes.
var outcomeByCode = map[string]logic.Outcome{"S": logic.Done, "E": logic.Errored, "F": logic.Refused,
	"T": logic.TimedOut, "C": logic.NoConnection, "R": logic.ConnectionLost, "X": logic.Recalled,
	"N": logic.NotSent}

func (r *valueReader) outcome(index int) logic.Outcome {
	code := r.str(index, "disposition")
	outcome, known := outcomeByCode[code]
	if r.err == nil && !known {
		r.err = fmt.Errorf("field disposition: %q is not known", code)
	}
	return outcome
}

// load decodes an engine's statistics, whose values are in the order of columns. A statistic that is absent is -1.
func (r *valueReader) load(index int, columns []string) logic.Load {
	load := logic.Load{Util: -1, Waiting: -1, MemoryGranted: -1}
	var values []*float64
	r.decode(index, "stats", &values)
	for position, column := range columns {
		if position >= len(values) || values[position] == nil {
			continue
		}
		switch column {
		case "cpu":
			load.Util = *values[position]
		case "waiting":
			load.Waiting = *values[position]
		case "x0":
			load.MemoryGranted = *values[position]
		}
	}
	return load
}

// deliver decodes the values of an event and calls the controller, unless a value can't be decoded.
func (h *simulatorHost) deliver(target *instance, now time.Duration, name string, fields *valueReader) error {
	jobField := func() logic.JobID { return logic.JobID(fields.str(2, "id")) }
	engineField := func(index int) logic.EngineID { return logic.EngineID(fields.str(index, "executor")) }
	var call func()
	switch name {
	case "discovery":
		return h.applyEngineList(target, now, fields)
	case "new_request":
		job, class, customer := jobField(), logic.ClassName(fields.str(3, "type")), fields.customer(4, "user_group")
		key, expires := logic.Key(fields.str(5, "order_key")), fields.duration(6, "expires")
		cost, memoryMB := fields.duration(7, "plan_cost"), fields.float(8, "need_mb")
		tables, flags := logic.Tables(fields.float(9, "table_group")), fields.integer(10, "flags")
		if flags&1 == 0 { // plan_cost counts only if bit 0 is set
			cost = 0
		}
		call = func() {
			target.controller.JobArrived(now, job, class, customer, key, expires, cost, memoryMB, tables, flags&2 != 0, nil)
		}
	case "timed_out_client":
		job := jobField()
		call = func() { target.controller.ClientGone(now, job) }
	case "fired":
		timer := logic.TimerID(fields.integer(2, "name"))
		call = func() { target.controller.TimerDue(now, timer) }
	case "status_back":
		outcome, engine, elapsed := fields.outcome(2), engineField(3), fields.duration(4, "wait_time")
		load := fields.load(5, target.columns)
		call = func() { target.controller.ProbeAnswered(now, engine, outcome, elapsed, load) }
	case "signal":
		job, attempt, engine := jobField(), int(fields.integer(3, "go")), engineField(4)
		level, topic := fields.float(5, "level"), logic.Topic(fields.integer(6, "topic"))
		call = func() { target.controller.NoteReceived(now, job, attempt, engine, topic, level) }
	case "closed_attempt":
		job, attempt, engine, outcome := jobField(), int(fields.integer(3, "go")), engineField(4), fields.outcome(5)
		elapsed, complete, note := fields.duration(6, "wait_time"), fields.boolean(7, "complete"), fields.integer(8, "note")
		// note holds the work in milliseconds, and in its lower 12 bits the memory in units of 4 MB.
		work, memoryMB := time.Duration(note/4096)*time.Millisecond, float64(note%4096)*4
		load := fields.load(9, target.columns)
		call = func() {
			target.controller.AttemptEnded(now, job, attempt, engine, outcome, elapsed, complete, work, memoryMB, load)
		}
	case "whisper":
		peer, message := logic.PeerID(fields.integer(2, "from")), fields.str(3, "blob")
		call = func() { target.controller.PeerMessage(now, peer, message) }
	case "accepted":
		job, attempt, engine, elapsed := jobField(), int(fields.integer(3, "go")), engineField(4), fields.duration(5, "wait_time")
		call = func() { target.controller.AnswerStarted(now, job, attempt, engine, elapsed) }
	}
	if fields.err == nil {
		call()
	}
	return fields.err
}

// applyEngineList passes the engine list that a discovery event refers to on to the controller.
func (h *simulatorHost) applyEngineList(target *instance, now time.Duration, fields *valueReader) error {
	mode := fields.str(2, "how")
	kind, known := map[string]logic.ListKind{"changes": logic.ListChanges, "all": logic.ListComplete,
		"remembered": logic.ListInitial, "refused": logic.ListFailed}[mode]
	listNumber := fields.integer(4, "list")
	if fields.err != nil {
		return fields.err
	}
	if !known {
		return fmt.Errorf("field how: %q is not known", mode)
	}
	target.controller.ListBegins(now, kind)
	if kind != logic.ListFailed {
		for _, row := range h.engineLists[listNumber] {
			entry := &valueReader{values: row}
			id, location, kindName := entry.str(0, "executor"), entry.str(1, "rack_zone"), entry.str(2, "sku")
			cell, healthName, weight := entry.integer(3, "block"), entry.str(4, "health"), entry.float(5, "rating")
			since := entry.duration(6, "online_since")
			health, known := map[string]logic.Health{"up": logic.Up, "draining": logic.Draining,
				"removed": logic.Gone}[healthName]
			if entry.err != nil {
				return entry.err
			}
			if !known {
				return fmt.Errorf("field health: %q is not known", healthName)
			}
			target.controller.EngineListed(now, logic.EngineID(id), logic.Location(location), logic.KindName(kindName),
				logic.Cell(cell), health, weight, since)
		}
	}
	target.controller.ListEnds(now)
	return nil
}
