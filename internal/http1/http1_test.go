package http1

import (
	"strings"
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name, data string
		closed     bool
		status     int
		body       string
		last, bad  bool
	}{
		{name: "length", data: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status: 200, body: "{}"},
		{name: "chunks", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nA: b\r\n\r\n",
			status: 200, body: "{}"},
		{name: "until the close", data: "HTTP/1.0 200 OK\r\n\r\n{}", closed: true, status: 200, body: "{}", last: true},
		{name: "last", data: "HTTP/1.1 503 No\r\nconnection: Close\r\ncontent-length: 0\r\n\r\n", status: 503, last: true},
		{name: "interim", data: "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 None\r\n\r\n", status: 204},
		{name: "closed early", data: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", closed: true, bad: true, last: true},
		{name: "two lengths", data: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", bad: true, last: true},
		{name: "no status", data: "HTTP/1.1 OK\r\n\r\n", bad: true, last: true},
		{name: "another protocol", data: "*1\r\n$1\r\nx\r\n\r\n", bad: true, last: true},
		{name: "long head", data: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", MaxHead), bad: true, last: true},
		{name: "long body", data: "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", bad: true, last: true},
		{name: "interim answers without end", data: strings.Repeat("HTTP/1.1 100 Go\r\n\r\n", 1_000_000), bad: true, last: true},
		{name: "trailers without end", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			strings.Repeat("A: b\r\n", MaxHead), bad: true, last: true},
		{name: "chunks beyond the bound by their frames", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1;"+strings.Repeat("x", 8000)+"\r\n{\r\n", 2000), bad: true, last: true},
		{name: "faulty chunk", data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", bad: true, last: true},
	} {
		status, body, size, last, err := Next([]byte(c.data), c.closed, MaxBody, &Progress{})
		if (err != nil) != c.bad || last != c.last {
			t.Errorf("%s: last %v, %v", c.name, last, err)
		} else if !c.bad && (status != c.status || string(body) != c.body || size != len(c.data)) {
			t.Errorf("%s: %d %q, %d of %d bytes", c.name, status, body, size, len(c.data))
		}
	}
}

// TestNextInPieces: an answer is read alike however its bytes come, and its chunks are looked through once.
func TestNextInPieces(t *testing.T) {
	const text = `{"n":1,"events":[]}`
	data := "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range text {
		data += "1;a=b\r\n" + string(c) + "\r\n"
	}
	data += "0\r\nA: b\r\n\r\n"
	var seen Progress
	for n := range len(data) + 1 {
		at := seen.at
		_, body, size, _, err := Next([]byte(data[:n]), false, MaxBody, &seen)
		if whole := n == len(data); err != nil || (size > 0) != whole || whole && string(body) != text {
			t.Fatalf("%d of %d bytes: %d, %q, %v", n, len(data), size, body, err)
		}
		if n < len(data) && seen.at < at {
			t.Fatal("looked through again")
		}
	}
	if seen != (Progress{}) {
		t.Error("progress is kept beyond an answer")
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, body, size, _, err := Next(data, false, MaxBody, &Progress{})
		if size > len(data) || len(body) > len(data) {
			t.Fatal("more than there is")
		}
		if err == nil && size > 0 {
			if _, _, early, _, err := Next(data[:size-1], false, MaxBody, &Progress{}); early != 0 || err != nil {
				t.Fatal("taken early", early, err)
			}
		}
	})
}
