package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yarrowbarrow/decide/member"
)

// A datagram is a head, a code over all that follows it, and the message as CBOR:
//
//	"yb" version:1 code:16 sender:8 number:8 message
//
// The code is the first half of HMAC-SHA256 under the shared key. Sender is the mark of a name and its life, and number
// counts what it sent, from 1, against replays. Unknown fields of a message are skipped, and absent ones are zero, so that
// two versions understand each other as long as the meaning of the others stays.
const (
	version  = 1
	codeSize = 16
	headSize = 3 + codeSize
	numbered = headSize + 16
)

// mostDatagram stays under the smallest usual way's 1,280 bytes with its heads.
const mostDatagram = 1200

// mostState is of the full state of an instance: 10,000 records.
const mostState = 1 << 20

var (
	errShort   = errors.New("too short")
	errVersion = errors.New("not of this protocol, or of another version")
	errKey     = errors.New("not of this key")
	errReplay  = errors.New("seen before, or too old")
)

type record struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Life    int64  `cbor:"3,keyasint"`
	Turn    uint32 `cbor:"4,keyasint,omitempty"`
	Status  int8   `cbor:"5,keyasint,omitempty"`
	By      string `cbor:"6,keyasint,omitempty"`
}

type age struct {
	_   struct{} `cbor:",toarray"`
	Of  uint32
	Old uint32 // in ms, rounded up
}

type parcel struct {
	_     struct{} `cbor:",toarray"`
	Cargo byte
	Data  []byte
}

type message struct {
	Kind    int8     `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint"`
	From    record   `cbor:"3,keyasint"`
	To      string   `cbor:"4,keyasint,omitempty"`
	About   *record  `cbor:"5,keyasint,omitempty"`
	News    []record `cbor:"6,keyasint,omitempty"`
	Ages    []age    `cbor:"7,keyasint,omitempty"`
	Parcels []parcel `cbor:"8,keyasint,omitempty"`
	Misses  []uint32 `cbor:"9,keyasint,omitempty"`
}

// state is what a stream carries, both ways.
type state struct {
	From   record   `cbor:"1,keyasint"`
	All    []record `cbor:"2,keyasint,omitempty"`
	Ages   []age    `cbor:"3,keyasint,omitempty"`
	Answer []byte   `cbor:"4,keyasint,omitempty"` // the nonce of the question that this answers
	Nonce  []byte   `cbor:"5,keyasint,omitempty"`
}

// reader bounds what a message may ask for before anything is built of it.
var reader = sync.OnceValue(func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16384, MaxMapPairs: 64, MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorNone,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
})

func toRecord(r member.Record) record {
	return record{string(r.Name), string(r.Address), int64(r.Life), r.Turn, int8(r.Status), string(r.By)}
}

func (r record) record() member.Record {
	return member.Record{Name: member.Name(r.Name), Address: member.Address(r.Address), Life: member.Life(r.Life), Turn: r.Turn,
		Status: member.Status(r.Status), By: member.Name(r.By)}
}

func toRecords(all []member.Record) (out []record) {
	for _, r := range all {
		out = append(out, toRecord(r))
	}
	return out
}

func records(all []record) (out []member.Record) {
	for _, r := range all {
		out = append(out, r.record())
	}
	return out
}

func toAges(all []member.Age) (out []age) {
	for _, a := range all {
		out = append(out, age{Of: a.Of, Old: uint32(min((a.Old+ms-1)/ms, 1<<32-1))})
	}
	return out
}

func ages(all []age) (out []member.Age) {
	for _, a := range all {
		out = append(out, member.Age{Of: a.Of, Old: ms * time.Duration(a.Old)})
	}
	return out
}

// valid bounds what comes: names and addresses are short, and no part is longer than a datagram has room for.
func (m *message) valid() error {
	for _, r := range append([]record{m.From}, m.News...) {
		if err := r.valid(); err != nil {
			return err
		}
	}
	if len(m.Misses) > mostMisses {
		return fmt.Errorf("%d links that don't carry", len(m.Misses))
	}
	if m.About != nil {
		return m.About.valid()
	}
	return nil
}

// mostMisses is more than any version tells of.
const mostMisses = 64

// mostName is of a member's name and address.
const mostName = 64

func (r *record) valid() error {
	if r.Name == "" || len(r.Name) > mostName || len(r.Address) > mostName || len(r.By) > mostName {
		return fmt.Errorf("a name of %d bytes, an address of %d", len(r.Name), len(r.Address))
	}
	if r.Status < 0 || r.Status > int8(member.Left) {
		return fmt.Errorf("status %d", r.Status)
	}
	return nil
}

func encode(m member.Message) ([]byte, error) {
	out := message{Kind: int8(m.Kind), Seq: uint64(m.Seq), From: toRecord(m.From), To: string(m.To), News: toRecords(m.News), Ages: toAges(m.Ages),
		Misses: m.Misses}
	if m.About.Name != "" {
		about := toRecord(m.About)
		out.About = &about
	}
	for _, p := range m.Parcels {
		out.Parcels = append(out.Parcels, parcel{Cargo: p.Cargo, Data: p.Data})
	}
	return cbor.Marshal(out)
}

func decode(data []byte) (m member.Message, err error) {
	var in message
	if err = reader().Unmarshal(data, &in); err == nil {
		err = in.valid()
	}
	if err != nil {
		return m, err
	}
	m = member.Message{Kind: member.Kind(in.Kind), Seq: member.Seq(in.Seq), From: in.From.record(), To: member.Name(in.To),
		News: records(in.News), Ages: ages(in.Ages), Misses: in.Misses}
	if in.About != nil {
		m.About = in.About.record()
	}
	for _, p := range in.Parcels {
		m.Parcels = append(m.Parcels, member.Parcel{Cargo: p.Cargo, Data: p.Data})
	}
	return m, nil
}

// keys are the shared ones: the first seals, any opens.
type keys [][]byte

// seal puts the head before a message whose first headSize bytes are kept free for it.
func (k keys) seal(text []byte) []byte {
	text[0], text[1], text[2] = 'y', 'b', version
	copy(text[3:], code(k[0], text[headSize:]))
	return text
}

// open gives what stands behind the head of a text under one of the keys.
func (k keys) open(text []byte) ([]byte, error) {
	if len(text) < headSize {
		return nil, errShort
	}
	if text[0] != 'y' || text[1] != 'b' || text[2] != version {
		return nil, errVersion
	}
	for _, key := range k {
		if hmac.Equal(code(key, text[headSize:]), text[3:headSize]) {
			return text[headSize:], nil
		}
	}
	return nil, errKey
}

func code(key, text []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(text)
	return h.Sum(nil)[:codeSize]
}

// senderOf is the mark of a name's life in datagrams.
func senderOf(name string, life int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // which never fails
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(life))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// window tells the numbers of one sender that have come from those that have not: the newest, and which of the 64 before.
type window struct {
	newest uint64
	came   uint64 // bit n: newest-n
}

func (w *window) take(n uint64) bool {
	switch {
	case n == 0 || n+64 <= w.newest:
		return false
	case n > w.newest:
		if by := n - w.newest; by < 64 {
			w.came <<= by
		} else {
			w.came = 0
		}
		w.newest, w.came = n, w.came|1
		return true
	}
	bit := uint64(1) << (w.newest - n)
	fresh := w.came&bit == 0
	w.came |= bit
	return fresh
}
