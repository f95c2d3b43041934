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

	"yarrowbarrow/decide/membership"
)

// A datagram consists of a header with an authentication code over all that follows the code, and the message in CBOR. The
// numbers are sizes in bytes:
//
//	"yb" version:1 code:16 sender:8 number:8 message
//
// The code is the first half of HMAC-SHA256 under the shared key. Sender is a hash of the sender's name and life. Number counts
// its datagrams from 1 and serves to reject replays. Unknown fields of a message are skipped and absent ones are zero, so that
// two versions can communicate as long as the meaning of the common fields stays.
const (
	version             = 1
	codeBytes           = 16
	headerBytes         = 3 + codeBytes
	datagramHeaderBytes = headerBytes + 16
)

// maxDatagramBytes keeps a datagram with its IP and UDP headers below 1,280 bytes, the smallest MTU of usual network paths.
const maxDatagramBytes = 1200

// maxStateBytes limits the encoded full state of an instance; it has room for 10,000 records.
const maxStateBytes = 1 << 20

var (
	errLength  = errors.New("invalid message length")
	errVersion = errors.New("not a message of this protocol and version")
	errKey     = errors.New("authentication code matches none of the keys")
	errReplay  = errors.New("replayed or outdated message, or sender does not match the message")
)

// record is a membership.Record on the wire.
type record struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Life    int64  `cbor:"3,keyasint"`
	Turn    uint32 `cbor:"4,keyasint,omitempty"`
	Status  int8   `cbor:"5,keyasint,omitempty"`
	By      string `cbor:"6,keyasint,omitempty"`
}

// age is a membership.Age on the wire, an array of two numbers.
type age struct {
	_    struct{} `cbor:",toarray"`
	Hash uint32
	Age  uint32 // in ms; rounded up, as it is an upper bound
}

// payload is a membership.Payload on the wire.
type payload struct {
	_    struct{} `cbor:",toarray"`
	Type byte
	Data []byte
}

// message is a membership.Message on the wire.
type message struct {
	Kind        int8      `cbor:"1,keyasint"`
	Seq         uint64    `cbor:"2,keyasint"`
	From        record    `cbor:"3,keyasint"`
	To          string    `cbor:"4,keyasint,omitempty"`
	Target      *record   `cbor:"5,keyasint,omitempty"`
	Updates     []record  `cbor:"6,keyasint,omitempty"`
	Ages        []age     `cbor:"7,keyasint,omitempty"`
	Payloads    []payload `cbor:"8,keyasint,omitempty"`
	Unreachable []uint32  `cbor:"9,keyasint,omitempty"`
}

// state is a request for, or an answer with, the full state of an instance; each carries the state of its sender.
type state struct {
	From    record   `cbor:"1,keyasint"`
	Records []record `cbor:"2,keyasint,omitempty"`
	Ages    []age    `cbor:"3,keyasint,omitempty"`
	Answer  []byte   `cbor:"4,keyasint,omitempty"` // the nonce of the request that this answers
	Nonce   []byte   `cbor:"5,keyasint,omitempty"` // random bytes that the answer must repeat; in requests only
}

// decoder returns the CBOR decoding mode, whose limits apply before anything is allocated for the content of a message.
var decoder = sync.OnceValue(func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16384, MaxMapPairs: 64, MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorNone,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
})

// toRecord converts a record to its form on the wire; toMember converts it back.
func toRecord(r membership.Record) record {
	return record{string(r.Name), string(r.Address), int64(r.Generation), r.Incarnation, int8(r.Status), string(r.AccusedBy)}
}

func (r record) toMember() membership.Record {
	return membership.Record{Name: membership.Name(r.Name), Address: membership.Address(r.Address), Generation: membership.Generation(r.Life), Incarnation: r.Turn,
		Status: membership.Status(r.Status), AccusedBy: membership.Name(r.By)}
}

func toRecords(records []membership.Record) (out []record) {
	for _, r := range records {
		out = append(out, toRecord(r))
	}
	return out
}

// fromRecords is the inverse of toRecords.
func fromRecords(records []record) (out []membership.Record) {
	for _, r := range records {
		out = append(out, r.toMember())
	}
	return out
}

func toAges(ages []membership.Age) (out []age) {
	for _, a := range ages {
		out = append(out, age{Hash: a.Hash, Age: uint32(min((a.Age+ms-1)/ms, 1<<32-1))})
	}
	return out
}

// fromAges is the inverse of toAges.
func fromAges(ages []age) (out []membership.Age) {
	for _, a := range ages {
		out = append(out, membership.Age{Hash: a.Hash, Age: ms * time.Duration(a.Age)})
	}
	return out
}

// valid rejects a message with invalid records or with too many unreachable members.
func (m *message) valid() error {
	for _, r := range append([]record{m.From}, m.Updates...) {
		if err := r.valid(); err != nil {
			return err
		}
	}
	if len(m.Unreachable) > maxUnreachable {
		return fmt.Errorf("%d unreachable members are more than allowed", len(m.Unreachable))
	}
	if m.Target != nil {
		return m.Target.valid()
	}
	return nil
}

// maxUnreachable limits Unreachable in received messages. It is above what any version sends.
const maxUnreachable = 64

// maxNameBytes limits the name and the address of a member.
const maxNameBytes = 64

// valid rejects records with an empty name, overlong names or addresses, or an unknown status.
func (r *record) valid() error {
	if r.Name == "" || len(r.Name) > maxNameBytes || len(r.Address) > maxNameBytes || len(r.By) > maxNameBytes {
		return fmt.Errorf("record has an empty or overlong text: name of %d bytes, address of %d bytes", len(r.Name), len(r.Address))
	}
	if r.Status < 0 || r.Status > int8(membership.Left) {
		return fmt.Errorf("record has unknown status %d", r.Status)
	}
	return nil
}

func encode(m membership.Message) ([]byte, error) {
	out := message{Kind: int8(m.Kind), Seq: uint64(m.Seq), From: toRecord(m.From), To: string(m.To), Updates: toRecords(m.Updates), Ages: toAges(m.Ages),
		Unreachable: m.Unreachable}
	if m.Target.Name != "" {
		target := toRecord(m.Target)
		out.Target = &target
	}
	for _, p := range m.Payloads {
		out.Payloads = append(out.Payloads, payload{Type: p.Type, Data: p.Data})
	}
	return cbor.Marshal(out)
}

func decode(data []byte) (m membership.Message, err error) {
	var in message
	if err = decoder().Unmarshal(data, &in); err == nil {
		err = in.valid()
	}
	if err != nil {
		return m, err
	}
	m = membership.Message{Kind: membership.Kind(in.Kind), Seq: membership.Seq(in.Seq), From: in.From.toMember(), To: membership.Name(in.To),
		Updates: fromRecords(in.Updates), Ages: fromAges(in.Ages), Unreachable: in.Unreachable}
	if in.Target != nil {
		m.Target = in.Target.toMember()
	}
	for _, p := range in.Payloads {
		m.Payloads = append(m.Payloads, membership.Payload{Type: p.Type, Data: p.Data})
	}
	return m, nil
}

// keys are the shared keys: the first one authenticates what is sent, any of them is accepted.
type keys [][]byte

// seal fills in the header of a message whose first headerBytes bytes are reserved for it, and returns the message.
func (k keys) seal(message []byte) []byte {
	message[0], message[1], message[2] = 'y', 'b', version
	copy(message[3:], authCode(k[0], message[headerBytes:]))
	return message
}

// open returns what follows the header of a message, if its code is valid under one of the keys.
func (k keys) open(message []byte) ([]byte, error) {
	if len(message) < headerBytes {
		return nil, errLength
	}
	if message[0] != 'y' || message[1] != 'b' || message[2] != version {
		return nil, errVersion
	}
	for _, key := range k {
		if hmac.Equal(authCode(key, message[headerBytes:]), message[3:headerBytes]) {
			return message[headerBytes:], nil
		}
	}
	return nil, errKey
}

// authCode returns the authentication code of data.
func authCode(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:codeBytes]
}

// senderNumber returns the sender number of datagrams: a hash of the member's name and generation.
func senderNumber(name string, life int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	var lifeBytes [8]byte
	binary.BigEndian.PutUint64(lifeBytes[:], uint64(life))
	_, _ = h.Write(lifeBytes[:])
	return h.Sum64()
}

// window is the replay window of one sender: the highest number received, and which of the 64 numbers up to it were received.
type window struct {
	newest   uint64
	received uint64 // bit i is set if newest-i was received
}

// accept marks a number as received. It returns false for a number that was received before, or is too old to tell.
func (w *window) accept(number uint64) bool {
	switch {
	case number == 0 || number+64 <= w.newest:
		return false
	case number > w.newest:
		if shift := number - w.newest; shift < 64 {
			w.received <<= shift
		} else {
			w.received = 0
		}
		w.newest, w.received = number, w.received|1
		return true
	}
	bit := uint64(1) << (w.newest - number)
	fresh := w.received&bit == 0
	w.received |= bit
	return fresh
}
