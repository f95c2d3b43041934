// Package mongowire reads and writes the messages of the MongoDB wire protocol over bytes, in place and without I/O, by
// the published description of the protocol: the header, and OP_MSG with its sections and its checksum. Documents are
// only cut out, not looked into.
package mongowire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// The operations of a header that are known here.
const (
	OpQuery      = 2004 // for the first hello only
	OpCompressed = 2012
	OpMsg        = 2013
	HeadSize     = 16
)

// MostSize is the protocol's bound on a message in bytes, header and all; a hello tells it as maxMessageSizeBytes.
const MostSize = 48_000_000

// leastDocument is an empty document: its length and the end.
const leastDocument = 5

// Flags of an OP_MSG. The lower sixteen bits must be understood by whoever reads them.
type Flags uint32

const (
	ChecksumPresent Flags = 1 << 0
	MoreToCome      Flags = 1 << 1  // no answer is wanted, or another one follows
	ExhaustAllowed  Flags = 1 << 16 // an answer may be followed by more without a request for each
)

const mustKnow Flags = 0xffff

// Header is what each message begins with.
type Header struct {
	Size     int // of the whole message in bytes, 16 to MostSize
	Request  int32
	Response int32 // the request that this answers, or 0
	Op       int32
}

// ErrSize tells that a message is shorter than its header or longer than the bound; what follows can't be read.
var ErrSize = errors.New("size of message out of range")

// Next splits the first message off data, whose body is a part of data. Its header's Size is 0 while more bytes are
// needed; a size out of range is told as soon as it can be read, before anything of the message is kept.
func Next(data []byte, most int) (h Header, body []byte, err error) {
	if len(data) < 4 {
		return Header{}, nil, nil
	}
	size := int32(binary.LittleEndian.Uint32(data))
	if size < HeadSize || int64(size) > int64(min(most, MostSize)) {
		return Header{}, nil, fmt.Errorf("%w: %d", ErrSize, size)
	}
	if len(data) < int(size) {
		return Header{}, nil, nil
	}
	read := func(at int) int32 { return int32(binary.LittleEndian.Uint32(data[at:])) }
	return Header{int(size), read(4), read(8), read(12)}, data[HeadSize:size], nil
}

// The faults of an OP_MSG.
var (
	ErrFlags    = errors.New("required flag not known")
	ErrChecksum = errors.New("checksum does not fit")
	ErrSection  = errors.New("faulty section")
)

// Msg reads the body of an OP_MSG, which is part of the message given whole for its checksum. It gives the flags and
// the one command document, and hands over each document of the sequences, if any, with the name of its sequence. All
// of it is checked to fit together before anything is handed over.
func Msg(message []byte, each func(sequence []byte, document []byte)) (flags Flags, command []byte, err error) {
	if len(message) < HeadSize+4 {
		return 0, nil, fmt.Errorf("%w: no flags", ErrSection)
	}
	flags = Flags(binary.LittleEndian.Uint32(message[HeadSize:]))
	if unknown := flags & mustKnow &^ (ChecksumPresent | MoreToCome); unknown != 0 {
		return flags, nil, fmt.Errorf("%w: %#x", ErrFlags, uint32(unknown))
	}
	body := message[HeadSize+4:]
	if flags&ChecksumPresent != 0 {
		if len(body) < 4 {
			return flags, nil, fmt.Errorf("%w: none is there", ErrChecksum)
		}
		end := len(message) - 4
		if crc32.Checksum(message[:end], castagnoli) != binary.LittleEndian.Uint32(message[end:]) {
			return flags, nil, ErrChecksum
		}
		body = body[:len(body)-4]
	}
	command, err = sections(body, nil)
	if err == nil && each != nil {
		_, err = sections(body, each)
	}
	return flags, command, err
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sections(body []byte, each func(sequence, document []byte)) (command []byte, err error) {
	for len(body) > 0 {
		kind := body[0]
		body = body[1:]
		switch kind {
		case 0:
			var document []byte
			if document, body, err = cut(body); err != nil {
				return nil, err
			}
			if command != nil {
				return nil, fmt.Errorf("%w: two commands", ErrSection)
			}
			command = document
		case 1:
			if len(body) < 4 {
				return nil, fmt.Errorf("%w: a sequence without a size", ErrSection)
			}
			size := int64(int32(binary.LittleEndian.Uint32(body)))
			if size < 5 || size > int64(len(body)) {
				return nil, fmt.Errorf("%w: a sequence of %d bytes", ErrSection, size)
			}
			sequence := body[4:size]
			body = body[size:]
			end := bytes.IndexByte(sequence, 0)
			if end < 1 {
				return nil, fmt.Errorf("%w: a sequence without a name", ErrSection)
			}
			name, rest := sequence[:end], sequence[end+1:]
			for len(rest) > 0 {
				var document []byte
				if document, rest, err = cut(rest); err != nil {
					return nil, err
				}
				if each != nil {
					each(name, document)
				}
			}
		default:
			return nil, fmt.Errorf("%w: kind %d", ErrSection, kind)
		}
	}
	if command == nil {
		return nil, fmt.Errorf("%w: no command", ErrSection)
	}
	return command, nil
}

// cut splits the first document off.
func cut(data []byte) (document, rest []byte, err error) {
	if len(data) < leastDocument {
		return nil, nil, fmt.Errorf("%w: half a document", ErrSection)
	}
	size := int64(int32(binary.LittleEndian.Uint32(data)))
	if size < leastDocument || size > int64(len(data)) || data[size-1] != 0 {
		return nil, nil, fmt.Errorf("%w: a document of %d bytes", ErrSection, size)
	}
	return data[:size], data[size:], nil
}

// Sequence is a named list of documents, one behind the other.
type Sequence struct {
	Name      string
	Documents [][]byte
}

// AppendMsg appends an OP_MSG with a command and its sequences, and its checksum where the flags say so.
func AppendMsg(out []byte, request, response int32, flags Flags, command []byte, sequences ...Sequence) []byte {
	from := len(out)
	out = append(out, make([]byte, HeadSize)...)
	out = binary.LittleEndian.AppendUint32(out, uint32(flags))
	out = append(append(out, 0), command...)
	for _, s := range sequences {
		out = append(out, 1)
		at := len(out)
		out = append(append(append(out, 0, 0, 0, 0), s.Name...), 0)
		for _, document := range s.Documents {
			out = append(out, document...)
		}
		binary.LittleEndian.PutUint32(out[at:], uint32(len(out)-at))
	}
	size := len(out) - from
	if flags&ChecksumPresent != 0 {
		size += 4
	}
	for n, value := range []int32{int32(size), request, response, OpMsg} {
		binary.LittleEndian.PutUint32(out[from+4*n:], uint32(value))
	}
	if flags&ChecksumPresent != 0 {
		out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[from:], castagnoli))
	}
	return out
}
