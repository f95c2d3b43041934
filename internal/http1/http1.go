// Package http1 writes the requests and reads the answers of discovery, over bytes alone.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// The most bytes of a head and of a body that are taken. An engine in a list is some 200 bytes: there is room for all changes of
// 3,200 engines that each changed a dozen times, which is what a reader that starts from nothing gets.
const (
	MaxHead = 16 << 10
	MaxBody = 8 << 20
)

var (
	errHead  = errors.New("faulty head")
	errBody  = errors.New("faulty body")
	errLimit = errors.New("answer too large")
	errEarly = errors.New("connection closed early")
)

// AppendGet writes a request without a body.
func AppendGet(to []byte, host, target string) []byte {
	return append(to, "GET "+target+" HTTP/1.1\r\nHost: "+host+"\r\nAccept: application/json\r\n\r\n"...)
}

// Progress is how far the chunks of an answer that is not whole have been looked through. The zero value is none.
type Progress struct{ at, length int }

// mostInterim answers may come before the real one.
const mostInterim = 16

// Next reads the first answer of data; closed tells that no more bytes come. Its size is 0 while more are needed: it is called again
// with the same bytes and more, and the same progress. last tells that the connection serves no further request. An answer, with all
// that frames its body, takes at most MaxHead and most bytes.
func Next(data []byte, closed bool, most int, seen *Progress) (status int, body []byte, size int, last bool, err error) {
	before := 0
	for range mostInterim {
		status, body, size, last, err = next(data[before:], closed, most-before, seen)
		if err != nil || size == 0 {
			return status, body, 0, last, err
		}
		before += size
		if status/100 != 1 {
			*seen = Progress{}
			return status, body, before, last, nil
		}
	}
	return 0, nil, 0, true, errHead
}

// next reads one answer, an interim one too.
func next(data []byte, closed bool, most int, seen *Progress) (status int, body []byte, size int, last bool, err error) {
	if len(data) > MaxHead+most {
		return 0, nil, 0, true, errLimit
	}
	more := func() (int, []byte, int, bool, error) {
		if closed && len(data) > 0 {
			return 0, nil, 0, true, errEarly
		}
		return 0, nil, 0, false, nil
	}
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end > MaxHead || end < 0 && len(data) > MaxHead {
		return 0, nil, 0, true, errLimit
	} else if end < 0 {
		return more()
	}
	lines := strings.Split(string(data[:end]), "\r\n")
	rest := data[end+4:]
	version, code, _ := strings.Cut(lines[0], " ")
	code, _, _ = strings.Cut(code, " ")
	if status, err = strconv.Atoi(code); err != nil || len(code) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, 0, true, errHead
	}
	last = version == "HTTP/1.0"
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return 0, nil, 0, true, errHead
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return 0, nil, 0, true, errHead
			}
			length = int(n)
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return 0, nil, 0, true, errHead
			}
		case "connection":
			last = strings.EqualFold(value, "close") || last && !strings.EqualFold(value, "keep-alive")
		}
	}
	head := end + 4
	switch {
	case status/100 == 1 || status == 204 || status == 304: // behind an interim answer the real one follows
		return status, nil, head, last, nil
	case chunked:
		body, size, err = chunks(rest, most, seen)
		if err == nil && size == 0 {
			return more()
		}
		return status, body, head + size, last || err != nil, err
	case length > most || length < 0 && len(rest) > most:
		return 0, nil, 0, true, errLimit
	case length >= 0 && len(rest) < length:
		return more()
	case length >= 0:
		return status, rest[:length], head + length, last, nil
	case closed: // a body without a length ends with the connection
		return status, rest, len(data), true, nil
	}
	return 0, nil, 0, false, nil
}

// chunks puts a chunked body together; size is 0 while more bytes are needed.
func chunks(data []byte, most int, seen *Progress) (body []byte, size int, err error) {
	for {
		from, n, err := chunk(data, seen.at)
		if err != nil || from == 0 {
			return nil, 0, err
		}
		if seen.length+n > most {
			return nil, 0, errLimit
		}
		if n == 0 {
			end, err := trailers(data, from)
			if err != nil || end == 0 {
				return nil, 0, err
			}
			return join(data, seen), end, nil
		}
		end := from + n + 2
		if len(data) < end {
			return nil, 0, nil
		}
		if string(data[end-2:end]) != "\r\n" {
			return nil, 0, errBody
		}
		seen.at, seen.length = end, seen.length+n
	}
}

// join gives the bytes of all chunks that were looked through.
func join(data []byte, seen *Progress) []byte {
	body := make([]byte, 0, seen.length)
	for at := 0; at < seen.at; {
		from, n, _ := chunk(data, at)
		body = append(body, data[from:from+n]...)
		at = from + n + 2
	}
	return body
}

// chunk reads the line before a chunk: where its bytes begin, 0 while the line is not whole, and how many they are.
func chunk(data []byte, at int) (from, length int, err error) {
	line := bytes.Index(data[at:], []byte("\r\n"))
	if line < 0 && len(data)-at > MaxHead {
		return 0, 0, errBody
	} else if line < 0 {
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(data[at:at+line], []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return 0, 0, errBody
	}
	return at + line + 2, int(n), nil
}

// trailers passes over the lines behind the last chunk, up to an empty one, and gives the end of it; 0 while it is not here.
func trailers(data []byte, from int) (end int, err error) {
	for at := from; ; {
		line := bytes.Index(data[at:], []byte("\r\n"))
		if at-from > MaxHead || line < 0 && len(data)-from > MaxHead {
			return 0, errBody
		} else if line < 0 {
			return 0, nil
		}
		at += line + 2
		if line == 0 {
			return at, nil
		}
	}
}
