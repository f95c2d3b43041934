// Package frame encodes and decodes the frames between clients and controllers, in byte slices and without I/O. A frame is its
// length in four bytes, its type in one, its stream in four, and a payload. All integers are big-endian.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The types of frames, and the size in bytes of what precedes the payload.
const (
	Job               = 100 // client: a job
	Answer            = 101 // controller: the outcome of a job
	Cancel            = 102 // client: no longer waits for a job
	ReadinessRequest  = 110 // client: asks whether jobs are accepted
	ReadinessResponse = 111 // controller: answers ReadinessRequest
	Drain             = 120 // controller: asks the client to send no more jobs on this connection
	HeaderBytes       = 9
)

// The outcomes in an Answer frame.
const (
	Done     = 1
	Rejected = 2
	Failed   = 3
)

// Limits of a frame's length field, in bytes. The length counts what follows the field: type, stream and payload.
const (
	MinLength = 5
	MaxLength = 262144
)

var errLength = errors.New("length out of range")

// Next decodes the first frame in data. size is the number of bytes that the frame takes, or 0 while more bytes are needed. payload
// shares memory with data.
func Next(data []byte) (kind byte, stream uint32, payload []byte, size int, err error) {
	if len(data) < 4 {
		return
	}
	length := binary.BigEndian.Uint32(data)
	if length < MinLength || length > MaxLength {
		return 0, 0, nil, 0, fmt.Errorf("%w: %d", errLength, length)
	}
	if size = 4 + int(length); len(data) < size {
		return 0, 0, nil, 0, nil
	}
	return data[4], binary.BigEndian.Uint32(data[5:]), data[HeaderBytes:size], size, nil
}

// Header decodes the header of a frame of which at least HeaderBytes have arrived and which Next found incomplete. size is the
// number of bytes that the whole frame takes.
func Header(data []byte) (kind byte, stream uint32, size int) {
	return data[4], binary.BigEndian.Uint32(data[5:]), 4 + int(binary.BigEndian.Uint32(data))
}

var errTruncatedFields = errors.New("fields end early")

// ParseFields calls visit with each field of a payload and returns the body, which follows the fields. All of them share memory with
// payload.
func ParseFields(payload []byte, visit func(name, value []byte)) (body []byte, err error) {
	if len(payload) == 0 {
		return nil, errTruncatedFields
	}
	count, rest := int(payload[0]), payload[1:]
	for range count {
		if len(rest) < 1 || len(rest) < 3+int(rest[0]) {
			return nil, errTruncatedFields
		}
		nameEnd := 1 + int(rest[0])
		name := rest[1:nameEnd]
		rest = rest[nameEnd:]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return nil, errTruncatedFields
		}
		visit(name, rest[2:2+size])
		rest = rest[2+size:]
	}
	return rest, nil
}

// AppendHeader appends what precedes a payload of payloadBytes bytes: length, type and stream.
func AppendHeader(dst []byte, kind byte, stream uint32, payloadBytes int) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(MinLength+payloadBytes))
	return binary.BigEndian.AppendUint32(append(dst, kind), stream)
}

// AppendField appends one field. The caller writes the number of fields, one byte, before the first.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(append(dst, byte(len(name))), name...)
	return append(binary.BigEndian.AppendUint16(dst, uint16(len(value))), value...)
}
