// Package resp encodes and decodes RESP arrays of bulk strings, called words here, in byte slices and without I/O.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on what is decoded: words in an array, bytes in a word, and digits in either number. A command has four words and a
// result page at most 6,000 bytes, so that MaxWords and MaxWordBytes leave room for later fields. maxDigits is what
// MaxWordBytes needs.
const (
	MaxWords     = 8
	MaxWordBytes = 1 << 14
	maxDigits    = 5
)

var (
	errSyntax = errors.New("input is not a RESP array of bulk strings")
	errRange  = errors.New("RESP array or bulk string exceeds the size limit")
)

// Next decodes the first array in data and appends its words to words; they share memory with data. size is the number of bytes
// that the array takes, or 0 while more bytes are needed.
func Next(data []byte, words [][]byte) (_ [][]byte, size int, err error) {
	count, pos, err := readHeader(data, 0, '*', MaxWords)
	if err != nil || pos == 0 {
		return nil, 0, err
	}
	for range count {
		length, start, err := readHeader(data, pos, '$', MaxWordBytes)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		pos = start + length + 2
		if len(data) < pos {
			return nil, 0, nil
		}
		if data[pos-2] != '\r' || data[pos-1] != '\n' {
			return nil, 0, errSyntax
		}
		words = append(words, data[start:pos-2])
	}
	return words, pos, nil
}

// readHeader reads a line of prefix, a decimal number up to maximum, and CR LF, starting at pos. next is the position after the
// line, or 0 while more bytes are needed.
func readHeader(data []byte, pos int, prefix byte, maximum int) (value, next int, err error) {
	if pos >= len(data) {
		return 0, 0, nil
	}
	if data[pos] != prefix {
		return 0, 0, errSyntax
	}
	for i := pos + 1; i < len(data); i++ {
		switch digit := data[i]; {
		case digit >= '0' && digit <= '9':
			if value = value*10 + int(digit-'0'); value > maximum || i-pos > maxDigits {
				return 0, 0, errRange
			}
		case digit == '\r' && i > pos+1:
			if i+1 < len(data) && data[i+1] != '\n' {
				return 0, 0, errSyntax
			}
			if i+1 == len(data) {
				return 0, 0, nil
			}
			return value, i + 2, nil
		default:
			return 0, 0, errSyntax
		}
	}
	return 0, 0, nil
}

// AppendArrayHeader appends the header of an array of count words; the caller appends the words after it.
func AppendArrayHeader(dst []byte, count int) []byte {
	return append(strconv.AppendInt(append(dst, '*'), int64(count), 10), "\r\n"...)
}

// AppendArray appends an array of words.
func AppendArray(dst []byte, words ...string) []byte {
	dst = AppendArrayHeader(dst, len(words))
	for _, word := range words {
		dst = AppendBulkString(dst, word)
	}
	return dst
}

// AppendBulkString appends one word as a bulk string.
func AppendBulkString(dst []byte, word string) []byte {
	return append(append(AppendBulkStringHeader(dst, len(word)), word...), "\r\n"...)
}

// AppendBulkStringHeader appends the header of a bulk string of length bytes. The bytes and the final CR LF are left to the caller.
func AppendBulkStringHeader(dst []byte, length int) []byte {
	return append(strconv.AppendInt(append(dst, '$'), int64(length), 10), "\r\n"...)
}

// ParsePairs calls visit with each pair of a list such as name=value,name=value. A list of a single dash is empty.
func ParsePairs(list []byte, visit func(name, value []byte)) {
	if len(list) == 1 && list[0] == '-' {
		return
	}
	ParsePairsSeparatedBy(list, ',', '=', visit)
}

// ParsePairsSeparatedBy calls visit with each pair of a list, whose pairs are separated by pairSeparator, and whose names and values by
// valueSeparator. It skips elements without a valueSeparator.
func ParsePairsSeparatedBy(list []byte, pairSeparator, valueSeparator byte, visit func(name, value []byte)) {
	for len(list) > 0 {
		var part []byte
		if at := bytes.IndexByte(list, pairSeparator); at >= 0 {
			part, list = list[:at], list[at+1:]
		} else {
			part, list = list, nil
		}
		if name, value, found := bytes.Cut(part, []byte{valueSeparator}); found {
			visit(name, value)
		}
	}
}
