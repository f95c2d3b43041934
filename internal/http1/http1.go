// Package http1 encodes HTTP/1.1 requests to the discovery service and decodes its responses, in byte slices and without I/O.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits in bytes on the head and the body of a response. An engine in a list takes about 200 bytes: MaxBody has room for 3,200
// engines that each changed a dozen times, as a reader that starts at the first event receives all these changes.
const (
	MaxHead = 16 << 10
	MaxBody = 8 << 20
)

var (
	errHead        = errors.New("malformed HTTP response head")
	errBody        = errors.New("malformed chunked HTTP body")
	errTooLarge    = errors.New("HTTP response exceeds the size limit")
	errClosedEarly = errors.New("connection closed before the end of the HTTP response")
)

// AppendGet appends a GET request for target.
func AppendGet(dst []byte, host, target string) []byte {
	return append(dst, "GET "+target+" HTTP/1.1\r\nHost: "+host+"\r\nAccept: application/json\r\n\r\n"...)
}

// Progress records how far the chunks of an incomplete response have been parsed, and the bytes of body up to there, so that Next
// does not parse them again. The zero value is the start of a response.
type Progress struct{ offset, bodyBytes int }

// maxResponses bounds the responses to one request: the interim (1xx) ones and the final one together. Next fails if the final one is not
// among them.
const maxResponses = 16

// Next decodes the first final response in data, after any interim (1xx) ones; closed tells that no more bytes will follow. size is
// the number of bytes decoded, or 0 while more bytes are needed: the caller then calls Next again with the same bytes and those that
// arrived since, and the same progress. closeAfter tells that the connection serves no further request. A response, including
// the framing of its body and all interim responses before it, may take at most MaxHead+maxBodyBytes bytes.
func Next(data []byte, closed bool, maxBodyBytes int, progress *Progress) (status int, body []byte, size int, closeAfter bool, err error) {
	consumed := 0
	for range maxResponses {
		status, body, size, closeAfter, err = next(data[consumed:], closed, maxBodyBytes-consumed, progress)
		if err != nil || size == 0 {
			return status, body, 0, closeAfter, err
		}
		consumed += size
		if status/100 != 1 {
			*progress = Progress{}
			return status, body, consumed, closeAfter, nil
		}
	}
	return 0, nil, 0, true, errHead
}

// next decodes one response, interim or final.
func next(data []byte, closed bool, maxBodyBytes int, progress *Progress) (status int, body []byte, size int, closeAfter bool, err error) {
	if len(data) > MaxHead+maxBodyBytes {
		return 0, nil, 0, true, errTooLarge
	}
	incomplete := func() (int, []byte, int, bool, error) {
		if closed && len(data) > 0 {
			return 0, nil, 0, true, errClosedEarly
		}
		return 0, nil, 0, false, nil
	}
	headEnd := bytes.Index(data, []byte("\r\n\r\n"))
	if headEnd > MaxHead || headEnd < 0 && len(data) > MaxHead {
		return 0, nil, 0, true, errTooLarge
	} else if headEnd < 0 {
		return incomplete()
	}
	lines := strings.Split(string(data[:headEnd]), "\r\n")
	afterHead := data[headEnd+4:]
	version, statusCode, _ := strings.Cut(lines[0], " ")
	statusCode, _, _ = strings.Cut(statusCode, " ")
	if status, err = strconv.Atoi(statusCode); err != nil || len(statusCode) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, 0, true, errHead
	}
	closeAfter = version == "HTTP/1.0"
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return 0, nil, 0, true, errHead
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			parsed, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(parsed) {
				return 0, nil, 0, true, errHead
			}
			length = int(parsed)
		case "transfer-encoding":
			if chunked = strings.EqualFold(value, "chunked"); !chunked {
				return 0, nil, 0, true, errHead
			}
		case "connection":
			closeAfter = strings.EqualFold(value, "close") || closeAfter && !strings.EqualFold(value, "keep-alive")
		}
	}
	headBytes := headEnd + 4
	switch {
	case status/100 == 1 || status == 204 || status == 304: // these have no body; the final response follows an interim one
		return status, nil, headBytes, closeAfter, nil
	case chunked:
		body, size, err = readChunked(afterHead, maxBodyBytes, progress)
		if err == nil && size == 0 {
			return incomplete()
		}
		return status, body, headBytes + size, closeAfter || err != nil, err
	case length > maxBodyBytes || length < 0 && len(afterHead) > maxBodyBytes:
		return 0, nil, 0, true, errTooLarge
	case length >= 0 && len(afterHead) < length:
		return incomplete()
	case length >= 0:
		return status, afterHead[:length], headBytes + length, closeAfter, nil
	case closed: // a body without a length ends where the connection is closed
		return status, afterHead, len(data), true, nil
	}
	return 0, nil, 0, false, nil
}

// readChunked decodes a chunked body. size is the number of encoded bytes, or 0 while more bytes are needed.
func readChunked(data []byte, maxBodyBytes int, progress *Progress) (body []byte, size int, err error) {
	for {
		start, chunkBytes, err := readChunkHeader(data, progress.offset)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		if progress.bodyBytes+chunkBytes > maxBodyBytes {
			return nil, 0, errTooLarge
		}
		if chunkBytes == 0 {
			end, err := skipTrailers(data, start)
			if err != nil || end == 0 {
				return nil, 0, err
			}
			return joinChunks(data, progress), end, nil
		}
		end := start + chunkBytes + 2
		if len(data) < end {
			return nil, 0, nil
		}
		if string(data[end-2:end]) != "\r\n" {
			return nil, 0, errBody
		}
		progress.offset, progress.bodyBytes = end, progress.bodyBytes+chunkBytes
	}
}

// joinChunks returns the content of all chunks up to progress.offset.
func joinChunks(data []byte, progress *Progress) []byte {
	body := make([]byte, 0, progress.bodyBytes)
	for offset := 0; offset < progress.offset; {
		start, chunkBytes, _ := readChunkHeader(data, offset)
		body = append(body, data[start:start+chunkBytes]...)
		offset = start + chunkBytes + 2
	}
	return body
}

// readChunkHeader reads the size line of a chunk. start is the position of the chunk's content, or 0 while the line is
// incomplete; length is the size of the content in bytes.
func readChunkHeader(data []byte, offset int) (start, length int, err error) {
	lineBytes := bytes.Index(data[offset:], []byte("\r\n"))
	if lineBytes < 0 && len(data)-offset > MaxHead {
		return 0, 0, errBody
	} else if lineBytes < 0 {
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(data[offset:offset+lineBytes], []byte(";"))
	parsed, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil {
		return 0, 0, errBody
	}
	return offset + lineBytes + 2, int(parsed), nil
}

// skipTrailers skips the trailer lines after the last chunk. end is the position after the empty line that ends them, or 0 while
// it has not arrived.
func skipTrailers(data []byte, start int) (end int, err error) {
	for offset := start; ; {
		lineBytes := bytes.Index(data[offset:], []byte("\r\n"))
		if offset-start > MaxHead || lineBytes < 0 && len(data)-start > MaxHead {
			return 0, errBody
		} else if lineBytes < 0 {
			return 0, nil
		}
		offset += lineBytes + 2
		if lineBytes == 0 {
			return offset, nil
		}
	}
}
