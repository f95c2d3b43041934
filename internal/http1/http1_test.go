package http1

import (
	"strings"
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name, data      string
		closed          bool
		status          int
		body            string
		closeAfter, bad bool
	}{
		{name: "length", data: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status: 200, body: "{}"},
		{name: "chunked body", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nA: b\r\n\r\n",
			status: 200, body: "{}"},
		{name: "body ends with the connection", data: "HTTP/1.0 200 OK\r\n\r\n{}", closed: true, status: 200, body: "{}", closeAfter: true},
		{name: "connection closes after the response", data: "HTTP/1.1 503 No\r\nconnection: Close\r\ncontent-length: 0\r\n\r\n", status: 503, closeAfter: true},
		{name: "interim response", data: "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 None\r\n\r\n", status: 204},
		{name: "closed before the end of the body", data: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", closed: true, bad: true, closeAfter: true},
		{name: "two different content lengths", data: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", bad: true, closeAfter: true},
		{name: "no status code", data: "HTTP/1.1 OK\r\n\r\n", bad: true, closeAfter: true},
		{name: "another protocol", data: "*1\r\n$1\r\nx\r\n\r\n", bad: true, closeAfter: true},
		{name: "head over the limit", data: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", MaxHead), bad: true, closeAfter: true},
		{name: "body over the limit", data: "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", bad: true, closeAfter: true},
		{name: "too many interim responses", data: strings.Repeat("HTTP/1.1 100 Go\r\n\r\n", 1_000_000), bad: true, closeAfter: true},
		{name: "trailers over the limit", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			strings.Repeat("A: b\r\n", MaxHead), bad: true, closeAfter: true},
		{name: "chunk headers over the limit", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1;"+strings.Repeat("x", 8000)+"\r\n{\r\n", 2000), bad: true, closeAfter: true},
		{name: "malformed chunk size", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", bad: true, closeAfter: true},
	} {
		status, body, size, closeAfter, err := Next([]byte(c.data), c.closed, MaxBody, &Progress{})
		if (err != nil) != c.bad || closeAfter != c.closeAfter {
			t.Errorf("%s: close after %v, error %v", c.name, closeAfter, err)
		} else if !c.bad && (status != c.status || string(body) != c.body || size != len(c.data)) {
			t.Errorf("%s: status %d, body %q, %d of %d bytes decoded", c.name, status, body, size, len(c.data))
		}
	}
}

// TestNextInPieces decodes a chunked response after each byte that arrives: it must be complete only at its last byte, and chunks
// that were parsed once must not be parsed again.
func TestNextInPieces(t *testing.T) {
	const text = `{"n":1,"events":[]}`
	data := "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range text {
		data += "1;a=b\r\n" + string(c) + "\r\n"
	}
	data += "0\r\nA: b\r\n\r\n"
	var progress Progress
	for received := range len(data) + 1 {
		offset := progress.offset
		_, body, size, _, err := Next([]byte(data[:received]), false, MaxBody, &progress)
		if complete := received == len(data); err != nil || (size > 0) != complete || complete && string(body) != text {
			t.Fatalf("%d of %d bytes: size %d, body %q, error %v", received, len(data), size, body, err)
		}
		if received < len(data) && progress.offset < offset {
			t.Fatal("parsed chunks were parsed again")
		}
	}
	if progress != (Progress{}) {
		t.Error("progress was not reset after the response")
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, body, size, _, err := Next(data, false, MaxBody, &Progress{})
		if size > len(data) || len(body) > len(data) {
			t.Fatal("size or body exceeds the input")
		}
		if err == nil && size > 0 {
			if _, _, early, _, err := Next(data[:size-1], false, MaxBody, &Progress{}); early != 0 || err != nil {
				t.Fatal("response accepted before it was complete", early, err)
			}
		}
	})
}
