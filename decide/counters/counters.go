// Package counters aggregates counters over a fleet by gossip. They are for information only: instances, open jobs, work in progress.
// Each instance sends its own counters and passes on the newest ones that it has of others. Sums are returned with bounds and an
// age, and do not depend on the arrival of any particular message. The package does no I/O and reads no clock.
//
// It guarantees, under loss, delay, duplication and reordering of messages:
//   - Counters of an instance are never replaced by older ones, nor by those of an earlier incarnation: a restart counts once.
//   - A sum lies between the sum of all fresh reports and that sum plus the maximum of each instance without a fresh report; such
//     an instance is counted at most once.
//   - State is limited to the configured number of instances, and no packed message is larger than requested.
//
// Ages are upper bounds, as in decide/membership: what arrives in an answer was sent after the question, and what it relays of other
// instances had then the age that it states. Counters that arrive unsolicited are stored, but do not change the known age.
package counters

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"yarrowbarrow/decide/membership"
)

// Key identifies a counter: what is counted, and for which class, customer or engine.
type Key struct {
	Kind  byte
	Label string
}

// Value is the current value of a counter, never negative.
type Value int64

// entry holds the counters that an instance reported about itself.
type entry struct {
	name       membership.Name
	life       membership.Generation
	version    uint64
	values     map[Key]Value
	sentAt     time.Duration // the report was sent at this time or later; never if unknown
	receivedAt time.Duration
}

// never is the time of a report whose age is unknown.
const never = time.Duration(-1 << 62)

// Tally holds the counters of one instance and those that it received from others.
type Tally struct {
	own          entry
	others       map[membership.Name]*entry
	relayQueue   []membership.Name // instances whose reports are relayed next
	changed      bool
	maxInstances int
}

// Limits of the counters of an instance, and of the length of the names in messages in bytes.
const maxKeys, maxNameBytes = 64, 64

// New returns the Tally of an instance that starts. It stores the reports of at most the given number of other instances.
func New(name membership.Name, life membership.Generation, maxInstances int) *Tally {
	return &Tally{own: entry{name: name, life: life, version: 1, values: map[Key]Value{}},
		others: map[membership.Name]*entry{}, maxInstances: maxInstances}
}

// Set sets a counter of this instance; 0 removes it. It reports false if the key or value is invalid or there are too many
// counters.
func (t *Tally) Set(k Key, v Value) bool {
	old, exists := t.own.values[k]
	switch {
	case v == old && (exists || v == 0):
		return true
	case len(k.Label) > maxNameBytes || v < 0 || !exists && len(t.own.values) >= maxKeys:
		return false
	case v == 0:
		delete(t.own.values, k)
	default:
		t.own.values[k] = v
	}
	t.changed = true // all changes between two messages share a version
	return true
}

// Pack returns a message of at most room bytes with the counters of this instance, and those of the other instances that have not
// been relayed for the longest time. It returns nil if its own counters do not fit.
func (t *Tally) Pack(now time.Duration, _ membership.Name, room int) []byte {
	if t.changed {
		t.own.version++
		t.changed = false
	}
	own := t.own
	own.sentAt = now
	out := own.append(nil, now)
	if len(out) > room {
		return nil
	}
	for range t.others {
		if len(t.relayQueue) == 0 {
			t.relayQueue = t.names()
		}
		e := t.others[t.relayQueue[0]]
		if e == nil {
			t.relayQueue = t.relayQueue[1:]
			continue
		}
		extended := e.append(out, now)
		if len(extended) > room {
			break
		}
		out, t.relayQueue = extended, t.relayQueue[1:]
	}
	return out
}

// names returns the other instances in ascending order.
func (t *Tally) names() (all []membership.Name) {
	for name := range t.others {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Unpack reads a message of another instance. asked is the maximum age of the message if it is an answer, and negative if it was
// unsolicited.
func (t *Tally) Unpack(now time.Duration, _ membership.Name, _ membership.Generation, asked time.Duration, data []byte) {
	for len(data) > 0 {
		e, rest, err := readEntry(data)
		if err != nil {
			return // of another version or malformed; the entries before it count
		}
		data = rest
		age := e.sentAt // readEntry stores the reported age here
		if e.sentAt = never; asked >= 0 && age >= 0 {
			e.sentAt = now - asked - age
		}
		e.receivedAt = now
		t.store(e)
	}
}

// store stores an entry if it is newer than the stored one of its instance.
func (t *Tally) store(e *entry) {
	if e.name == t.own.name {
		return
	}
	stored := t.others[e.name]
	switch {
	case stored == nil:
		if len(t.others) < t.maxInstances {
			t.others[e.name] = e
		}
	case e.life < stored.life || e.life == stored.life && e.version < stored.version:
	case e.life == stored.life && e.version == stored.version:
		stored.sentAt = max(stored.sentAt, e.sentAt) // the counters were unchanged at the later time
	default:
		if e.life == stored.life {
			e.sentAt = max(e.sentAt, stored.sentAt) // a newer version was sent no earlier than the stored one
		}
		t.others[e.name] = e
	}
}

// MemberGone removes an instance that membership has forgotten or regards as gone, so that it is no longer part of any sum.
func (t *Tally) MemberGone(name membership.Name) { delete(t.others, name) }

// Sum is the sum of a counter over the fleet.
type Sum struct {
	Min       Value         // lower bound: this instance and all instances with a fresh report
	Max       Value         // upper bound: Min plus the maximum of each unknown instance
	MaxAge    time.Duration // age of the oldest report included in Min
	Instances int           // number of instances with a fresh report, including this one
	Unknown   int           // number of other instances present without a fresh report
}

// Sum adds up a counter. maxAge is the maximum age of a report that counts, present the other instances that membership
// regards as alive or suspect, and maxEach the maximum value that an instance without a fresh report may have.
func (t *Tally) Sum(now time.Duration, k Key, maxAge time.Duration, present []membership.Name, maxEach Value) Sum {
	s := Sum{Min: t.own.values[k], Instances: 1}
	for _, name := range present {
		e := t.others[name]
		if e == nil || e.sentAt == never || now-e.sentAt > maxAge {
			s.Unknown++
			continue
		}
		s.Min += e.values[k]
		s.Instances++
		s.MaxAge = max(s.MaxAge, now-e.sentAt)
	}
	s.Max = s.Min + Value(s.Unknown)*maxEach
	return s
}

// append encodes an entry: name, generation, version, age in milliseconds plus one or 0 if unknown, and counters in ascending order of
// keys.
func (e *entry) append(out []byte, now time.Duration) []byte {
	out = appendText(out, string(e.name))
	out = binary.AppendVarint(out, int64(e.life))
	out = binary.AppendUvarint(out, e.version)
	age := uint64(0)
	if e.sentAt != never {
		age = 1 + uint64((max(now-e.sentAt, 0)+time.Millisecond-1)/time.Millisecond) // rounded up, as the age is an upper bound
	}
	out = binary.AppendUvarint(out, age)
	keys := make([]Key, 0, len(e.values))
	for k := range e.values {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Label, b.Label)) })
	out = binary.AppendUvarint(out, uint64(len(keys)))
	for _, k := range keys {
		out = appendText(append(out, k.Kind), k.Label)
		out = binary.AppendUvarint(out, uint64(e.values[k]))
	}
	return out
}

func appendText(out []byte, s string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(s))), s...)
}

var errMalformed = errors.New("malformed tally entry")

// reader decodes data from its start. After the first error, bad is set and it returns zero values.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 || r.bad {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) text(maxBytes int) string {
	n := r.uvarint()
	if r.bad || n > uint64(maxBytes) || n > uint64(len(r.data)) {
		r.bad = true
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

// maxReportedAge limits reported ages, so that sums of times do not overflow. It is older than any age that matters.
const maxReportedAge = 24 * time.Hour

// readEntry decodes the first entry of data and returns it with the remaining data. Its sentAt is the reported age, negative if
// there is none.
func readEntry(data []byte) (e *entry, rest []byte, err error) {
	r := &reader{data: data}
	e = &entry{values: map[Key]Value{}, sentAt: -1}
	e.name = membership.Name(r.text(maxNameBytes))
	life, size := binary.Varint(r.data)
	if size <= 0 || r.bad || e.name == "" {
		return nil, nil, errMalformed
	}
	r.data = r.data[size:]
	e.life, e.version = membership.Generation(life), r.uvarint()
	if age := r.uvarint(); age > 0 {
		e.sentAt = min(time.Duration(min(age-1, uint64(maxReportedAge/time.Millisecond)))*time.Millisecond, maxReportedAge)
	}
	count := r.uvarint()
	if r.bad || count > maxKeys {
		return nil, nil, errMalformed
	}
	for range count {
		if len(r.data) == 0 {
			return nil, nil, errMalformed
		}
		kind := r.data[0]
		r.data = r.data[1:]
		k := Key{kind, r.text(maxNameBytes)}
		v := r.uvarint()
		if r.bad || v > 1<<53 {
			return nil, nil, errMalformed
		}
		e.values[k] = Value(v)
	}
	return e, r.data, nil
}
