// Package flood provides the traffic of hostile or broken peers, sent at full speed, for stand-ins and tests.
package flood

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"yarrowbarrow/internal/frame"
)

// Flood is the traffic of a peer: a prefix, and then a repeated chunk.
type Flood struct {
	Name       string
	Prefix     []byte
	Chunk      []byte
	ChunkCount int // number of chunks
	// ChunkAt, if not nil, returns the chunk to send in place of Chunk. Connections are numbered across all floods.
	ChunkAt  func(connection, index int) []byte
	Unread   bool          // the peer's answers are not read
	Linger   time.Duration // how long the connection stays open after the last chunk
	Deadline time.Duration // for the whole flood; 0: 10 s
}

// connectionCount numbers the connections of all floods, as requests need unique IDs.
var connectionCount atomic.Int64

// Send writes the flood to conn. It returns early if the peer closes the connection or the deadline passes.
func (f Flood) Send(conn net.Conn) {
	connection := int(connectionCount.Add(1))
	if f.Deadline == 0 {
		f.Deadline = 10 * time.Second
	}
	deadline := time.Now().Add(f.Deadline)
	_ = conn.SetWriteDeadline(deadline)
	if _, err := conn.Write(f.Prefix); err != nil {
		return
	}
	for index := range f.ChunkCount {
		chunk := f.Chunk
		if f.ChunkAt != nil {
			chunk = f.ChunkAt(connection, index)
		}
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
	time.Sleep(min(f.Linger, time.Until(deadline)))
}

// Run connects to address, sends the flood and discards the answers, or leaves them unread if Unread is set. The error is that of the
// connection attempt.
func (f Flood) Run(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !f.Unread {
		go discard(conn)
	}
	f.Send(conn)
	return nil
}

func discard(conn net.Conn) {
	for buf := make([]byte, 64<<10); ; {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

const bytesPerMiB = 1 << 20

// repeatToMiB repeats text until it fills at least 1 MiB.
func repeatToMiB(text string) []byte {
	data := make([]byte, 0, bytesPerMiB+len(text))
	for len(data) < bytesPerMiB {
		data = append(data, text...)
	}
	return data
}

// Clients returns floods by clients, whose requests have the given class.
func Clients(class string) []Flood {
	oversized := make([]byte, 9)
	binary.BigEndian.PutUint32(oversized, 60*bytesPerMiB)
	oversized[4] = frame.Job
	cancels := repeatToMiB(string(frame.AppendHeader(nil, frame.Cancel, 1, 0)))
	readinessChecks := repeatToMiB(string(append(frame.AppendHeader(nil, frame.ReadinessRequest, 1, 1), 0)))
	jobFrames := func(size int) func(connection, index int) []byte {
		statement := make([]byte, size)
		for i := range statement {
			statement[i] = 'x'
		}
		return func(connection, index int) []byte {
			return JobFrame(class, uint32(index+1), fmt.Sprintf("%08x%08x", connection, index), statement)
		}
	}
	largeJob := JobFrame(class, 1, "00000000000000ff", make([]byte, 250_000))
	return []Flood{
		{Name: "a body of 60 MB", Prefix: oversized, Chunk: repeatToMiB("x"), ChunkCount: 60},
		{Name: "cancels of unknown jobs", Chunk: cancels, ChunkCount: 8},
		{Name: "readiness checks", Chunk: readinessChecks, ChunkCount: 6},
		{Name: "readiness checks, answers left unread", Chunk: readinessChecks, ChunkCount: 10, Unread: true, Deadline: 3 * time.Second},
		{Name: "requests of 250 kB", ChunkAt: jobFrames(250_000), ChunkCount: 80},
		{Name: "requests without a statement", ChunkAt: jobFrames(0), ChunkCount: 20_000},
		{Name: "a request without its last byte", Prefix: largeJob[:len(largeJob)-1], Linger: time.Second},
		{Name: "a request and a stray byte", Prefix: largeJob[:len(largeJob):len(largeJob)], Chunk: []byte{0}, ChunkCount: 1, Linger: time.Second},
	}
}

// differingHosts returns about 1 MiB of list entries for hosts that all differ, also between chunks.
func differingHosts(_, chunk int) []byte {
	data := make([]byte, 0, bytesPerMiB+100)
	for host := 0; len(data) < bytesPerMiB; host++ {
		data = fmt.Appendf(data, `{"host":"h%d-%d","dial":"127.0.0.1:9","site":"east","class":"std","health":"active"},`, chunk, host)
	}
	return data
}

// JobFrame returns the frame of a request.
func JobFrame(class string, stream uint32, id string, statement []byte) []byte {
	fields := [][2]string{{"class", class}, {"id", id}, {"wait", "1000"}}
	payload := []byte{byte(len(fields))}
	for _, field := range fields {
		payload = frame.AppendField(payload, field[0], field[1])
	}
	payload = append(payload, statement...)
	return append(frame.AppendHeader(nil, frame.Job, stream, len(payload)), payload...)
}

// Engines returns floods by engines, sent on a connection after a request has arrived on it.
func Engines() []Flood {
	return []Flood{
		{Name: "an answer with a declared length of 3 GB", Prefix: []byte("*4\r\n$3221225472\r\n"), Chunk: repeatToMiB("x"), ChunkCount: 400},
		{Name: "noise", Chunk: repeatToMiB("x"), ChunkCount: 400},
		{Name: "unsolicited answers", Chunk: repeatToMiB("*4\r\n$1\r\nx\r\n$5\r\nFAULT\r\n$1\r\n-\r\n$0\r\n\r\n"), ChunkCount: 400},
		{Name: "unsolicited probe answers", Chunk: repeatToMiB("*4\r\n$1\r\nx\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"), ChunkCount: 400},
		{Name: "a long word that does not end", Prefix: []byte("*8\r\n$16384\r\n"), Chunk: make([]byte, 16_000), ChunkCount: 1,
			Linger: time.Second},
	}
}

// Discoveries returns floods by discovery services, sent after a request.
func Discoveries() []Flood {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const list = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + `{"n":9,"events":[{"n":9,"members":{"whole":true,"hosts":[`
	return []Flood{
		{Name: "chunks of a byte", Prefix: []byte(chunked), Chunk: repeatToMiB("1\r\nx\r\n"), ChunkCount: 100},
		{Name: "trailers that do not end", Prefix: []byte(chunked + "0\r\n"), Chunk: repeatToMiB("A: b\r\n"), ChunkCount: 100},
		{Name: "interim answers", Chunk: repeatToMiB("HTTP/1.1 100 C\r\n\r\n"), ChunkCount: 100},
		{Name: "a body without a length", Prefix: []byte("HTTP/1.1 200 OK\r\n\r\n"), Chunk: repeatToMiB("x"), ChunkCount: 100},
		{Name: "unsolicited answers", Chunk: repeatToMiB("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), ChunkCount: 100},
		{Name: "a header that does not end", Prefix: []byte("HTTP/1.1 200 OK\r\n"), Chunk: repeatToMiB("A: b\r\n"), ChunkCount: 100},
		{Name: "a list of many hosts", Prefix: []byte(list), ChunkAt: differingHosts, ChunkCount: 8},
		{Name: "a list of empty hosts", Prefix: []byte(list), Chunk: repeatToMiB("{},"), ChunkCount: 8},
	}
}
