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
	HeaderBytes  = 16
)

// MostSize is the protocol's bound on a message in bytes, header and all; a hello tells it as maxMessageSizeBytes.
const MaxMessageBytes = 48_000_000

// leastDocument is an empty document: its length and the end.
const minDocumentBytes = 5

// Flags of an OP_MSG. The lower sixteen bits must be understood by whoever reads them.
type Flags uint32

const (
	ChecksumPresent Flags = 1 << 0
	MoreToCome      Flags = 1 << 1  // no answer is wanted, or another one follows
	ExhaustAllowed  Flags = 1 << 16 // an answer may be followed by more without a request for each
)

const requiredFlags Flags = 0xffff

// Header is what each message begins with.
type Header struct {
	Size       int // of the whole message in bytes, 16 to MostSize
	RequestID  int32
	ResponseTo int32 // the request that this answers, or 0
	OpCode     int32
}

// ErrSize tells that a message is shorter than its header or longer than the bound; what follows can't be read.
var ErrSize = errors.New("size of message out of range")

// Next splits the first message off data, whose body is a part of data. Its header's Size is 0 while more bytes are
// needed; a size out of range is told as soon as it can be read, before anything of the message is kept.
func Next(data []byte, maxBytes int) (header Header, body []byte, err error) {
	if len(data) < 4 {
		return Header{}, nil, nil
	}
	size := int32(binary.LittleEndian.Uint32(data))
	if size < HeaderBytes || int64(size) > int64(min(maxBytes, MaxMessageBytes)) {
		return Header{}, nil, fmt.Errorf("%w: %d", ErrSize, size)
	}
	if len(data) < int(size) {
		return Header{}, nil, nil
	}
	int32At := func(offset int) int32 { return int32(binary.LittleEndian.Uint32(data[offset:])) }
	return Header{int(size), int32At(4), int32At(8), int32At(12)}, data[HeaderBytes:size], nil
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
func ParseMsg(message []byte, visit func(sequence []byte, document []byte)) (flags Flags, command []byte, err error) {
	if len(message) < HeaderBytes+4 {
		return 0, nil, fmt.Errorf("%w: no flags", ErrSection)
	}
	flags = Flags(binary.LittleEndian.Uint32(message[HeaderBytes:]))
	if unknown := flags & requiredFlags &^ (ChecksumPresent | MoreToCome); unknown != 0 {
		return flags, nil, fmt.Errorf("%w: %#x", ErrFlags, uint32(unknown))
	}
	body := message[HeaderBytes+4:]
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
	command, err = parseSections(body, nil)
	if err == nil && visit != nil {
		_, err = parseSections(body, visit)
	}
	return flags, command, err
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func parseSections(body []byte, visit func(sequence, document []byte)) (command []byte, err error) {
	for len(body) > 0 {
		kind := body[0]
		body = body[1:]
		switch kind {
		case 0:
			var document []byte
			if document, body, err = cutDocument(body); err != nil {
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
				if document, rest, err = cutDocument(rest); err != nil {
					return nil, err
				}
				if visit != nil {
					visit(name, document)
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
func cutDocument(data []byte) (document, rest []byte, err error) {
	if len(data) < minDocumentBytes {
		return nil, nil, fmt.Errorf("%w: half a document", ErrSection)
	}
	size := int64(int32(binary.LittleEndian.Uint32(data)))
	if size < minDocumentBytes || size > int64(len(data)) || data[size-1] != 0 {
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
func AppendMsg(dst []byte, requestID, responseTo int32, flags Flags, command []byte, sequences ...Sequence) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, HeaderBytes)...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(flags))
	dst = append(append(dst, 0), command...)
	for _, s := range sequences {
		dst = append(dst, 1)
		sizeOffset := len(dst)
		dst = append(append(append(dst, 0, 0, 0, 0), s.Name...), 0)
		for _, document := range s.Documents {
			dst = append(dst, document...)
		}
		binary.LittleEndian.PutUint32(dst[sizeOffset:], uint32(len(dst)-sizeOffset))
	}
	size := len(dst) - start
	if flags&ChecksumPresent != 0 {
		size += 4
	}
	for field, value := range []int32{int32(size), requestID, responseTo, OpMsg} {
		binary.LittleEndian.PutUint32(dst[start+4*field:], uint32(value))
	}
	if flags&ChecksumPresent != 0 {
		dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
	}
	return dst
}
