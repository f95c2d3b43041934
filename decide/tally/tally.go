// Package tally counts over a fleet what only informs: instances that are there, jobs open, work out. Each instance says its
// own figures, and passes on the newest that it has of others; what is read comes with bounds and an age, and never rests on
// a word that has to arrive. It does no I/O and asks no clock.
//
// Its promises, under loss, delay, doubling and any order of messages:
//   - A figure of an instance is never replaced by an older one, nor by one of an earlier life: a restart counts once.
//   - A sum is at least that of all words that are fresh, and at most that with the most that each other may have; an instance
//     of which nothing fresh is known is in neither twice.
//   - No more is kept than there is room for, and nothing packed is larger than asked.
//
// Ages are bounds as those of decide/member: what came in an answer left its sender after the question, and what it tells of
// third ones was as old as it says then. What came unasked takes part by its figure, with the age that is known otherwise.
package tally

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"yarrowbarrow/decide/member"
)

// Key names a figure: what is counted, and of which class, customer or engine.
type Key struct {
	What byte
	Of   string
}

// Value is a figure of this moment, 0 and up.
type Value int64

// entry is what one instance said of itself.
type entry struct {
	name    member.Name
	life    member.Life
	version uint64
	values  map[Key]Value
	left    time.Duration // its words left it then or later; never where that is not known
	came    time.Duration
}

const never = time.Duration(-1 << 62)

// Tally is the state of one instance.
type Tally struct {
	own     entry
	others  map[member.Name]*entry
	turn    []member.Name // whose words are passed on next
	changed bool
	most    int
}

// Bounds of what is kept: instances, and figures of each. Names of what is counted are short.
const mostKeys, mostOf = 64, 64

// New gives the tally of an instance that begins, among at most so many others.
func New(name member.Name, life member.Life, most int) *Tally {
	return &Tally{own: entry{name: name, life: life, version: 1, values: map[Key]Value{}}, others: map[member.Name]*entry{}, most: most}
}

// Set says what a figure of this instance is now; 0 takes it out. It tells whether there was room for it.
func (t *Tally) Set(k Key, v Value) bool {
	was, is := t.own.values[k]
	switch {
	case v == was && (is || v == 0):
		return true
	case len(k.Of) > mostOf || v < 0 || !is && len(t.own.values) >= mostKeys:
		return false
	case v == 0:
		delete(t.own.values, k)
	default:
		t.own.values[k] = v
	}
	t.changed = true // many changes between two messages are one version
	return true
}

// Pack gives this instance's figures, and those of others that were not passed on for longest.
func (t *Tally) Pack(now time.Duration, _ member.Name, room int) []byte {
	if t.changed {
		t.own.version++
		t.changed = false
	}
	own := t.own
	own.left = now
	out := own.append(nil, now)
	if len(out) > room {
		return nil
	}
	for range t.others {
		if len(t.turn) == 0 {
			t.turn = t.names()
		}
		e := t.others[t.turn[0]]
		if e == nil {
			t.turn = t.turn[1:]
			continue
		}
		more := e.append(out, now)
		if len(more) > room {
			break
		}
		out, t.turn = more, t.turn[1:]
	}
	return out
}

func (t *Tally) names() (all []member.Name) {
	for name := range t.others {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Unpack takes what came from another. asked is the age of the answer at most, below 0 where it was not asked for.
func (t *Tally) Unpack(now time.Duration, _ member.Name, _ member.Life, asked time.Duration, data []byte) {
	for len(data) > 0 {
		e, rest, err := read(data)
		if err != nil {
			return // of another version, or faulty: what came before it counts
		}
		data = rest
		age := e.left // read gives the age told
		if e.left = never; asked >= 0 && age >= 0 {
			e.left = now - asked - age
		}
		e.came = now
		t.take(e)
	}
}

// take keeps the newest of an instance.
func (t *Tally) take(e *entry) {
	if e.name == t.own.name {
		return
	}
	was := t.others[e.name]
	switch {
	case was == nil:
		if len(t.others) < t.most {
			t.others[e.name] = e
		}
	case e.life < was.life || e.life == was.life && e.version < was.version:
	case e.life == was.life && e.version == was.version:
		was.left = max(was.left, e.left) // the same figures were still true then
	default:
		if e.life == was.life {
			e.left = max(e.left, was.left) // it came after those
		}
		t.others[e.name] = e
	}
}

// Gone forgets an instance that membership has forgotten, or holds for gone: its figures are no part of any sum.
func (t *Tally) Gone(name member.Name) { delete(t.others, name) }

// Sum is a figure over the fleet.
type Sum struct {
	Least   Value         // of this instance and all whose words are fresh
	Most    Value         // with the most that each other may have
	Oldest  time.Duration // of the words that count in Least
	Fresh   int           // instances whose words are, this one among them
	Unknown int           // others that are there
}

// Sum adds a figure up. fresh is how old a word may be; there are the others that membership holds for alive or suspect, and
// each may have up to so many.
func (t *Tally) Sum(now time.Duration, k Key, fresh time.Duration, there []member.Name, each Value) Sum {
	s := Sum{Least: t.own.values[k], Fresh: 1}
	for _, name := range there {
		e := t.others[name]
		if e == nil || e.left == never || now-e.left > fresh {
			s.Unknown++
			continue
		}
		s.Least += e.values[k]
		s.Fresh++
		s.Oldest = max(s.Oldest, now-e.left)
	}
	s.Most = s.Least + Value(s.Unknown)*each
	return s
}

// append writes an entry: name, life, version, age and one, or 0 where none is known, figures by key.
func (e *entry) append(out []byte, now time.Duration) []byte {
	out = appendText(out, string(e.name))
	out = binary.AppendVarint(out, int64(e.life))
	out = binary.AppendUvarint(out, e.version)
	age := uint64(0)
	if e.left != never {
		age = 1 + uint64((max(now-e.left, 0)+time.Millisecond-1)/time.Millisecond) // rounded up, as it is a bound
	}
	out = binary.AppendUvarint(out, age)
	keys := make([]Key, 0, len(e.values))
	for k := range e.values {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.Of, b.Of)) })
	out = binary.AppendUvarint(out, uint64(len(keys)))
	for _, k := range keys {
		out = appendText(append(out, k.What), k.Of)
		out = binary.AppendUvarint(out, uint64(e.values[k]))
	}
	return out
}

func appendText(out []byte, s string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(s))), s...)
}

var errFaulty = errors.New("no tally")

// reader takes parts off data; after the first that can't be it takes none.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 || r.bad {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) text(most int) string {
	n := r.number()
	if r.bad || n > uint64(most) || n > uint64(len(r.data)) {
		r.bad = true
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

// mostAge is taken for older than anything that matters, so that no sum of times runs over.
const mostAge = 24 * time.Hour

// read gives the first entry, with its age in left, below 0 where none is told.
func read(data []byte) (e *entry, rest []byte, err error) {
	r := &reader{data: data}
	e = &entry{values: map[Key]Value{}, left: -1}
	e.name = member.Name(r.text(mostOf))
	life, size := binary.Varint(r.data)
	if size <= 0 || r.bad || e.name == "" {
		return nil, nil, errFaulty
	}
	r.data = r.data[size:]
	e.life, e.version = member.Life(life), r.number()
	if age := r.number(); age > 0 {
		e.left = min(time.Duration(min(age-1, uint64(mostAge/time.Millisecond)))*time.Millisecond, mostAge)
	}
	many := r.number()
	if r.bad || many > mostKeys {
		return nil, nil, errFaulty
	}
	for range many {
		if len(r.data) == 0 {
			return nil, nil, errFaulty
		}
		what := r.data[0]
		r.data = r.data[1:]
		k := Key{what, r.text(mostOf)}
		v := r.number()
		if r.bad || v > 1<<53 {
			return nil, nil, errFaulty
		}
		e.values[k] = Value(v)
	}
	return e, r.data, nil
}
