// Package frame reads and writes the frames between clients and controllers, over bytes alone.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The types of frames.
const (
	Job      = 100
	Answer   = 101
	Gone     = 102
	Ready    = 110
	IsReady  = 111
	NoMore   = 120
	HeadSize = 9
)

// The codes of an answer.
const (
	Done     = 1
	Rejected = 2
	Failed   = 3
)

// The least and most that a frame's length may say.
const (
	MinLength = 5
	MaxLength = 262144
)

var errLength = errors.New("length out of range")

// Next splits the first frame off data. Its size is 0 while more bytes are needed; the payload is part of data.
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
	return data[4], binary.BigEndian.Uint32(data[5:]), data[HeadSize:size], size, nil
}

var errFields = errors.New("fields end early")

// Fields hands over each field of a payload and gives what follows them, the body; all are parts of the payload.
func Fields(payload []byte, each func(name, value []byte)) (body []byte, err error) {
	if len(payload) == 0 {
		return nil, errFields
	}
	count, rest := int(payload[0]), payload[1:]
	for range count {
		if len(rest) < 1 || len(rest) < 3+int(rest[0]) {
			return nil, errFields
		}
		name := rest[1 : 1+rest[0]]
		rest = rest[1+rest[0]:]
		size := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+size {
			return nil, errFields
		}
		each(name, rest[2:2+size])
		rest = rest[2+size:]
	}
	return rest, nil
}

// AppendHead writes what goes before a payload of that size.
func AppendHead(to []byte, kind byte, stream uint32, payload int) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(MinLength+payload))
	return binary.BigEndian.AppendUint32(append(to, kind), stream)
}

// AppendField writes one field; the count before the first is the caller's.
func AppendField(to []byte, name, value string) []byte {
	to = append(append(to, byte(len(name))), name...)
	return append(binary.BigEndian.AppendUint16(to, uint16(len(value))), value...)
}
