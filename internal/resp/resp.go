// Package resp reads and writes RESP arrays of bulk strings, over bytes alone.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// The most words of an array and bytes of a word that are taken: four words are sent, and a page has 6,000
// bytes, so that both leave room for later fields. A number has no more digits than it needs.
const (
	MaxWords  = 8
	MaxWord   = 1 << 14
	mostDigit = 5
)

var (
	errForm  = errors.New("not an array of bulk strings")
	errLimit = errors.New("number out of range")
)

// Next splits the first array off data and appends its words, parts of data, to words. Its size is 0 while more
// bytes are needed.
func Next(data []byte, words [][]byte) (_ [][]byte, size int, err error) {
	count, at, err := number(data, 0, '*', MaxWords)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	for range count {
		length, from, err := number(data, at, '$', MaxWord)
		if err != nil || from == 0 {
			return nil, 0, err
		}
		at = from + length + 2
		if len(data) < at {
			return nil, 0, nil
		}
		if data[at-2] != '\r' || data[at-1] != '\n' {
			return nil, 0, errForm
		}
		words = append(words, data[from:at-2])
	}
	return words, at, nil
}

// number reads a mark, digits and the line's end; next is 0 while more bytes are needed.
func number(data []byte, at int, mark byte, most int) (n, next int, err error) {
	if at >= len(data) {
		return 0, 0, nil
	}
	if data[at] != mark {
		return 0, 0, errForm
	}
	for i := at + 1; i < len(data); i++ {
		switch d := data[i]; {
		case d >= '0' && d <= '9':
			if n = n*10 + int(d-'0'); n > most || i-at > mostDigit {
				return 0, 0, errLimit
			}
		case d == '\r' && i > at+1:
			if i+1 < len(data) && data[i+1] != '\n' {
				return 0, 0, errForm
			}
			if i+1 == len(data) {
				return 0, 0, nil
			}
			return n, i + 2, nil
		default:
			return 0, 0, errForm
		}
	}
	return 0, 0, nil
}

// AppendArray begins an array of so many words.
func AppendArray(to []byte, words int) []byte {
	return append(strconv.AppendInt(append(to, '*'), int64(words), 10), "\r\n"...)
}

// AppendWord writes one word.
func AppendWord(to []byte, word string) []byte {
	return append(append(AppendWordHead(to, len(word)), word...), "\r\n"...)
}

// AppendWordHead writes what goes before a word; the word and the line's end follow apart from it.
func AppendWordHead(to []byte, length int) []byte {
	return append(strconv.AppendInt(append(to, '$'), int64(length), 10), "\r\n"...)
}

// Fields hands over each pair of a list name=value,name=value, or none for a lone dash.
func Fields(list []byte, each func(name, value []byte)) {
	if len(list) == 1 && list[0] == '-' {
		return
	}
	Pairs(list, ',', '=', each)
}

// Pairs hands over the pairs of a list with the separators given; a part without one is passed over.
func Pairs(list []byte, between, within byte, each func(name, value []byte)) {
	for len(list) > 0 {
		var part []byte
		if at := bytes.IndexByte(list, between); at >= 0 {
			part, list = list[:at], list[at+1:]
		} else {
			part, list = list, nil
		}
		if name, value, found := bytes.Cut(part, []byte{within}); found {
			each(name, value)
		}
	}
}
