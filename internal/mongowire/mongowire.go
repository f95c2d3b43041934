// Package mongowire encodes and decodes messages of the MongoDB wire protocol in byte slices, without I/O. It follows the
// published description of the protocol, and covers the header and OP_MSG with its sections and checksum. BSON documents are
// passed on as bytes; only their length and final zero byte are checked.
package mongowire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// The operation codes of a header that this package names, and the size of the header in bytes.
const (
	OpQuery      = 2004 // only for the first hello of a connection
	OpCompressed = 2012
	OpMsg        = 2013
	HeaderBytes  = 16
)

// MaxMessageBytes is the protocol's limit on the size of a message, including its header. Servers announce it as maxMessageSizeBytes
// in the response to hello.
const MaxMessageBytes = 48_000_000

// minDocumentBytes is the size of an empty document: its length in four bytes and a zero byte.
const minDocumentBytes = 5

// Flags are the flag bits of an OP_MSG. A receiver must reject a message with an unknown flag in the lower sixteen bits.
type Flags uint32

const (
	ChecksumPresent Flags = 1 << 0
	MoreToCome      Flags = 1 << 1  // in a request: no response is expected; in a response: another one follows
	ExhaustAllowed  Flags = 1 << 16 // the response may be followed by more without further requests
)

// requiredFlags are the bits that a receiver must know to accept a message.
const requiredFlags Flags = 0xffff

// Header is the header of a message.
type Header struct {
	Size       int // of the message including the header, in bytes: HeaderBytes to MaxMessageBytes
	RequestID  int32
	ResponseTo int32 // request ID of the request that this message responds to, or 0
	OpCode     int32
}

// ErrSize reports a message size below that of the header or above the limit. The rest of the stream can't be decoded.
var ErrSize = errors.New("message size out of range")

// Next decodes the header of the first message in data and returns its body, which shares memory with data. header.Size is 0 while
// more bytes are needed. A message may have at most maxBytes bytes, and never more than MaxMessageBytes. A size out of range is
// reported as soon as its four bytes are there, so that the caller need not buffer the message.
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

// Errors of ParseMsg.
var (
	ErrFlags    = errors.New("unknown required flag in OP_MSG")
	ErrChecksum = errors.New("OP_MSG checksum mismatch")
	ErrSection  = errors.New("malformed OP_MSG section")
)

// ParseMsg decodes an OP_MSG, given with its header, as the checksum covers it. It returns the flags and the command document, and
// calls visit, if not nil, with each document of the document sequences and the name of its sequence. It validates all sections
// before the first call of visit.
func ParseMsg(message []byte, visit func(sequence []byte, document []byte)) (flags Flags, command []byte, err error) {
	if len(message) < HeaderBytes+4 {
		return 0, nil, fmt.Errorf("%w: message ends before the flags", ErrSection)
	}
	flags = Flags(binary.LittleEndian.Uint32(message[HeaderBytes:]))
	if unknown := flags & requiredFlags &^ (ChecksumPresent | MoreToCome); unknown != 0 {
		return flags, nil, fmt.Errorf("%w: %#x", ErrFlags, uint32(unknown))
	}
	body := message[HeaderBytes+4:]
	if flags&ChecksumPresent != 0 {
		if len(body) < 4 {
			return flags, nil, fmt.Errorf("%w: checksum is missing", ErrChecksum)
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

// parseSections decodes the sections of an OP_MSG and returns the command document. visit may be nil.
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
				return nil, fmt.Errorf("%w: more than one command document", ErrSection)
			}
			command = document
		case 1:
			if len(body) < 4 {
				return nil, fmt.Errorf("%w: message ends before the size of a document sequence", ErrSection)
			}
			size := int64(int32(binary.LittleEndian.Uint32(body)))
			if size < 5 || size > int64(len(body)) {
				return nil, fmt.Errorf("%w: document sequence has an invalid size of %d bytes", ErrSection, size)
			}
			sequence := body[4:size]
			body = body[size:]
			end := bytes.IndexByte(sequence, 0)
			if end < 1 {
				return nil, fmt.Errorf("%w: document sequence has no name", ErrSection)
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
			return nil, fmt.Errorf("%w: unknown section kind %d", ErrSection, kind)
		}
	}
	if command == nil {
		return nil, fmt.Errorf("%w: no command document", ErrSection)
	}
	return command, nil
}

// cutDocument splits data after its first document.
func cutDocument(data []byte) (document, rest []byte, err error) {
	if len(data) < minDocumentBytes {
		return nil, nil, fmt.Errorf("%w: truncated document", ErrSection)
	}
	size := int64(int32(binary.LittleEndian.Uint32(data)))
	if size < minDocumentBytes || size > int64(len(data)) || data[size-1] != 0 {
		return nil, nil, fmt.Errorf("%w: document has an invalid size of %d bytes or no final zero byte", ErrSection, size)
	}
	return data[:size], data[size:], nil
}

// Sequence is a document sequence: a named list of documents.
type Sequence struct {
	Name      string
	Documents [][]byte
}

// AppendMsg appends an OP_MSG with its header, a command document and document sequences, and a checksum if flags has
// ChecksumPresent.
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
