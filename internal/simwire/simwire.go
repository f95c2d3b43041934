// Package simwire puts controllers on the simulator's wire: a batch of events a line in, a reply a line out.
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

type event []json.RawMessage

// fields reads one row's values in order of their place and keeps the first error.
type fields struct {
	row event
	err error
}

func (f *fields) get(at int, name string, into any) {
	if f.err != nil || at >= len(f.row) {
		return
	}
	if err := json.Unmarshal(f.row[at], into); err != nil {
		f.err = fmt.Errorf("field %s: %w", name, err)
	}
}

func (f *fields) text(at int, name string) (s string) { f.get(at, name, &s); return }

func (f *fields) int(at int, name string) (n int64) { f.get(at, name, &n); return }

func (f *fields) span(at int, name string) time.Duration { return time.Duration(f.int(at, name)) }

func (f *fields) number(at int, name string) (n float64) { f.get(at, name, &n); return }

func (f *fields) flag(at int, name string) (b bool) { f.get(at, name, &b); return }

// customer is a name, and 0 or absent where there are none.
func (f *fields) customer(at int, name string) logic.CustomerID {
	if at < len(f.row) && string(f.row[at]) == "0" {
		return ""
	}
	return logic.CustomerID(f.text(at, name))
}

// instance is one controller and its host; replies is the batch's common list of decisions.
type instance struct {
	id      int64
	logic   *logic.Controller
	columns []string
	replies *[][]any
}

func (i *instance) say(name string, values ...any) {
	*i.replies = append(*i.replies, append([]any{name, i.id}, values...))
}

func (i *instance) Attempt(job logic.JobID, engine logic.EngineID, timeout, _ time.Duration) {
	i.say("assign", job, engine, timeout)
}

func (i *instance) SetTerms(job logic.JobID, memoryMB float64, priority int) {
	i.say("grant_and_rank", job, priority, memoryMB)
}
func (i *instance) Recall(job logic.JobID, attempt int)         { i.say("recall", job, attempt) }
func (i *instance) Reject(job logic.JobID, wait time.Duration)  { i.say("refuse", job, wait) }
func (i *instance) Fail(job logic.JobID)                        { i.say("give_up", job) }
func (i *instance) WakeAfter(t logic.TimerID, in time.Duration) { i.say("arm", t, in) }
func (i *instance) Follow(on bool)                              { i.say("tail", on) }
func (i *instance) FetchList()                                  { i.say("reload") }
func (i *instance) Probe(engine logic.EngineID)                 { i.say("sound_out", engine) }
func (i *instance) CloseIdle(engine logic.EngineID)             { i.say("free_links", engine) }
func (i *instance) TellPeer(peer logic.PeerID, message string)  { i.say("share", peer, message) }
func (i *instance) Suspects(logic.EngineID, bool)               {}
func (i *instance) Log(line string)                             { i.say("print", line) }

// process hosts many instances; they share nothing but the pipe and the numbered lists of the wire.
type process struct {
	instances map[int64]*instance
	lists     map[int64][]event
	replies   [][]any
	stderr    io.Writer
}

// Run answers batches until the input ends.
func Run(in io.Reader, out, stderr io.Writer) error {
	p := &process{instances: map[int64]*instance{}, lists: map[int64][]event{}, stderr: stderr}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	last := "the start"
	for {
		line, err := r.ReadBytes('\n')
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
			return fmt.Errorf("batch after frame %s: unreadable: %w", last, err)
		}
		if batch.Moment == nil || batch.Frame == nil {
			return fmt.Errorf("batch after frame %s: field moment or frame is missing", last)
		}
		last = string(batch.Frame)
		p.replies = p.replies[:0]
		for n, e := range batch.Events {
			if err := p.event(time.Duration(*batch.Moment), e); err != nil {
				return fmt.Errorf("frame %s: event %d: %w", last, n, err)
			}
		}
		if p.replies == nil {
			p.replies = [][]any{}
		}
		reply, err := json.Marshal(map[string]any{"frame": batch.Frame, "decisions": p.replies})
		if err != nil {
			return fmt.Errorf("frame %s: reply: %w", last, err)
		}
		w.Write(append(reply, '\n'))
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// width is the number of values of each event, the name among them.
var width = map[string]int{"init": 4, "snapshot_rows": 3, "discovery": 5, "new_request": 11,
	"timed_out_client": 3, "halt": 2, "fired": 3, "status_back": 6, "signal": 7, "closed_attempt": 10,
	"whisper": 4, "accepted": 6}

func (p *process) event(now time.Duration, row event) error {
	f := &fields{row: row}
	name := f.text(0, "name")
	id := f.int(1, "controller_id")
	if f.err != nil {
		return f.err
	}
	if len(row) < 2 {
		return fmt.Errorf("%q: field controller_id is missing", name)
	}
	if want, known := width[name]; !known {
		fmt.Fprintf(p.stderr, "simhost: event %q is not known: passed over\n", name)
		return nil
	} else if len(row) > want {
		fmt.Fprintf(p.stderr, "simhost: %s has %d values, %d are read\n", name, len(row), want)
	}
	switch name {
	case "snapshot_rows":
		var rows []event
		f.get(2, "elements", &rows)
		p.lists[id] = rows
		return named(name, f.err)
	case "init":
		return named(name, p.start(id, f))
	case "halt":
		delete(p.instances, id)
		return nil
	}
	i := p.instances[id]
	if i == nil {
		fmt.Fprintf(p.stderr, "simhost: %s for instance %d, which is not known: passed over\n", name, id)
		return nil
	}
	defer func() {
		if broke := recover(); broke != nil {
			i.say("exception", fmt.Sprint(broke))
		}
	}()
	return named(name, p.tell(i, now, name, f))
}

func named(name string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (p *process) start(id int64, f *fields) error {
	var seed uint64
	f.get(2, "salt", &seed)
	if f.err != nil {
		return f.err
	}
	if len(f.row) < 4 {
		return fmt.Errorf("field config is missing")
	}
	settings, err := config.ReadSettings(f.row[3])
	if err != nil {
		return err
	}
	i := &instance{id: id, columns: settings.Columns, replies: &p.replies}
	i.logic = config.Module(i, settings.Logic, int64(seed))
	p.instances[id] = i
	return nil
}

var outcomes = map[string]logic.Outcome{"S": logic.Done, "E": logic.Errored, "F": logic.TurnedAway,
	"T": logic.TimedOut, "C": logic.NoConnection, "R": logic.ConnectionLost, "X": logic.Recalled,
	"N": logic.NotSent}

func (f *fields) outcome(at int) logic.Outcome {
	code := f.text(at, "disposition")
	o, known := outcomes[code]
	if f.err == nil && !known {
		f.err = fmt.Errorf("field disposition: %q is not known", code)
	}
	return o
}

func (f *fields) load(at int, columns []string) logic.Load {
	load := logic.Load{Util: -1, Waiting: -1, MemoryGranted: -1}
	var values []*float64
	f.get(at, "stats", &values)
	for n, column := range columns {
		if n >= len(values) || values[n] == nil {
			continue
		}
		switch column {
		case "cpu":
			load.Util = *values[n]
		case "waiting":
			load.Waiting = *values[n]
		case "x0":
			load.MemoryGranted = *values[n]
		}
	}
	return load
}

func (p *process) tell(i *instance, now time.Duration, name string, f *fields) error {
	job := func() logic.JobID { return logic.JobID(f.text(2, "id")) }
	engine := func(at int) logic.EngineID { return logic.EngineID(f.text(at, "executor")) }
	var call func()
	switch name {
	case "discovery":
		return p.list(i, now, f)
	case "new_request":
		j, t, customer := job(), logic.ClassName(f.text(3, "type")), f.customer(4, "user_group")
		key, expires := logic.Key(f.text(5, "order_key")), f.span(6, "expires")
		cost, memory := f.span(7, "plan_cost"), f.number(8, "need_mb")
		tables, flags := logic.Tables(f.number(9, "table_group")), f.int(10, "flags")
		if flags&1 == 0 {
			cost = 0
		}
		call = func() { i.logic.JobTaken(now, j, t, customer, key, expires, cost, memory, tables, flags&2 != 0, nil) }
	case "timed_out_client":
		j := job()
		call = func() { i.logic.ClientGone(now, j) }
	case "fired":
		t := logic.TimerID(f.int(2, "name"))
		call = func() { i.logic.TimerDue(now, t) }
	case "status_back":
		o, e, took := f.outcome(2), engine(3), f.span(4, "wait_time")
		load := f.load(5, i.columns)
		call = func() { i.logic.ProbeAnswered(now, e, o, took, load) }
	case "signal":
		j, n, e := job(), int(f.int(3, "go")), engine(4)
		level, topic := f.number(5, "level"), logic.Topic(f.int(6, "topic"))
		call = func() { i.logic.Noted(now, j, n, e, topic, level) }
	case "closed_attempt":
		j, n, e, o := job(), int(f.int(3, "go")), engine(4), f.outcome(5)
		took, over, note := f.span(6, "wait_time"), f.flag(7, "complete"), f.int(8, "note")
		work, memory := time.Duration(note/4096)*time.Millisecond, float64(note%4096)*4
		load := f.load(9, i.columns)
		call = func() { i.logic.AttemptOver(now, j, n, e, o, took, over, work, memory, load) }
	case "whisper":
		from, message := logic.PeerID(f.int(2, "from")), f.text(3, "blob")
		call = func() { i.logic.PeerTold(now, from, message) }
	case "accepted":
		j, n, e, took := job(), int(f.int(3, "go")), engine(4), f.span(5, "wait_time")
		call = func() { i.logic.AnswerBegun(now, j, n, e, took) }
	}
	if f.err == nil {
		call()
	}
	return f.err
}

func (p *process) list(i *instance, now time.Duration, f *fields) error {
	how := f.text(2, "how")
	kind, known := map[string]logic.ListKind{"changes": logic.ListChanges, "all": logic.ListWhole,
		"remembered": logic.ListRemembered, "refused": logic.ListRefused}[how]
	number := f.int(4, "list")
	if f.err != nil {
		return f.err
	}
	if !known {
		return fmt.Errorf("field how: %q is not known", how)
	}
	i.logic.ListBegins(now, kind)
	if kind != logic.ListRefused {
		for _, row := range p.lists[number] {
			e := &fields{row: row}
			id, where, sku := e.text(0, "executor"), e.text(1, "rack_zone"), e.text(2, "sku")
			cell, health, rating := e.int(3, "block"), e.text(4, "health"), e.number(5, "rating")
			since := e.span(6, "online_since")
			state, known := map[string]logic.Health{"up": logic.Up, "draining": logic.Draining,
				"removed": logic.Gone}[health]
			if e.err != nil {
				return e.err
			}
			if !known {
				return fmt.Errorf("field health: %q is not known", health)
			}
			i.logic.EngineListed(now, logic.EngineID(id), logic.Location(where), logic.KindName(sku),
				logic.Cell(cell), state, rating, since)
		}
	}
	i.logic.ListEnds(now)
	return nil
}
