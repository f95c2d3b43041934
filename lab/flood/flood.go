// Package flood provides the traffic of hostile or broken peers, sent at full speed, for stand-ins and tests.
package flood

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"strconv"
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
	Pause    time.Duration // after each chunk
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
		if _, err := conn.Write(chunk); err != nil || time.Now().After(deadline) {
			return
		}
		time.Sleep(f.Pause)
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
			return JobFrame(class, uint32(index+1), uniqueID(connection, index), statement)
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

// Sizes of the requests of SlowClients: nearly the largest frame, and the most fields that a frame can have.
const (
	longRequestBytes = 261_000
	maxFields        = 255
)

// SlowClients returns the traffic of clients that write slowly, stop half way through a request, or send heads of many short fields.
func SlowClients(class string) []Flood {
	long := JobFrame(class, 1, "00000000000000fe", bytes.Repeat([]byte{'x'}, longRequestBytes))
	shortFields := func(connection, index int) []byte {
		var more [][2]string
		for n := range maxFields - 3 {
			more = append(more, [2]string{fmt.Sprintf("f%d", n), "v"})
		}
		return JobFrame(class, uint32(index+1), uniqueID(connection, index), nil, more...)
	}
	return []Flood{
		{Name: "a long request, written slowly", ChunkAt: func(_, index int) []byte { return piece(long, index, slowPieces) }, ChunkCount: slowPieces,
			Pause: 60 * time.Millisecond},
		{Name: "half of a long request", Prefix: long[:len(long)/2], Linger: 4 * time.Second},
		{Name: "half of a long request, halted again", ChunkAt: func(_, index int) []byte { return piece(long, index, 8) }, ChunkCount: 6,
			Pause: 700 * time.Millisecond},
		{Name: "heads of many short fields", ChunkAt: shortFields, ChunkCount: 4000, Deadline: 4 * time.Second},
		{Name: "half of a head of many short fields", ChunkAt: func(connection, _ int) []byte {
			head := shortFields(connection, 0)
			return head[:len(head)/2]
		}, ChunkCount: 1, Linger: 4 * time.Second},
	}
}

// slowPieces is the number of pieces in which a long request is written slowly.
const slowPieces = 64

// piece returns one of count pieces of data, of about equal size.
func piece(data []byte, index, count int) []byte {
	return data[len(data)*index/count : len(data)*(index+1)/count]
}

// uniqueID returns the ID of a request of a connection.
func uniqueID(connection, index int) string { return fmt.Sprintf("%08x%08x", connection, index) }

// OneClient returns floods by a single client at full speed, for as long as length: small requests, also under ever new names, unsound
// ones, and cancels. Each comes with its answers read and left unread. ordered is a class that takes a key of idempotency and an order key.
func OneClient(class, ordered string, length time.Duration) (floods []Flood) {
	small := func(connection, index int) []byte {
		return JobFrame(class, uint32(index+1), uniqueID(connection, index), nil)
	}
	newNames := func(connection, index int) []byte {
		name := strconv.Itoa(index)
		return JobFrame(ordered, uint32(index+1), uniqueID(connection, index), nil, [2]string{"once", "once" + name},
			[2]string{"key", "key" + name}, [2]string{"tenant", "tenant" + name}, [2]string{"x" + name, name})
	}
	newClasses := func(connection, index int) []byte {
		return JobFrame("class"+strconv.Itoa(index), uint32(index+1), uniqueID(connection, index), nil)
	}
	cancelled := func(connection, index int) []byte {
		return append(small(connection, index), frame.AppendHeader(nil, frame.Cancel, uint32(index+1), 0)...)
	}
	unsound := func(connection, index int) []byte {
		return JobFrame(class, uint32(index+1), "no id", []byte{0xff})
	}
	unknownType := func(int, int) []byte { return frame.AppendHeader(nil, 99, 1, 0) }
	for _, f := range []Flood{
		{Name: "small requests", ChunkAt: small},
		{Name: "new names", ChunkAt: newNames},
		{Name: "new classes", ChunkAt: newClasses},
		{Name: "requests taken back", ChunkAt: cancelled},
		{Name: "unsound requests", ChunkAt: unsound},
		{Name: "unknown types", ChunkAt: unknownType},
		{Name: "cancels", Chunk: frame.AppendHeader(nil, frame.Cancel, 1, 0)},
	} {
		f.ChunkCount, f.Deadline = math.MaxInt, length
		unread := f
		unread.Name, unread.Unread = f.Name+", answers unread", true
		floods = append(floods, f, unread)
	}
	return floods
}

// differingHosts returns about 1 MiB of list entries for hosts that all differ, also between chunks.
func differingHosts(_, chunk int) []byte {
	data := make([]byte, 0, bytesPerMiB+100)
	for host := 0; len(data) < bytesPerMiB; host++ {
		data = fmt.Appendf(data, `{"host":"h%d-%d","dial":"127.0.0.1:9","site":"east","class":"std","health":"active"},`, chunk, host)
	}
	return data
}

// JobFrame returns the frame of a request, with more fields than it needs if any are given.
func JobFrame(class string, stream uint32, id string, statement []byte, more ...[2]string) []byte {
	fields := append([][2]string{{"class", class}, {"id", id}, {"wait", "1000"}}, more...)
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
