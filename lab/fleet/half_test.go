package fleet

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"yarrowbarrow/internal/frame"
)

// half is a client that sees each frame, and may send a job in two parts.
type half struct {
	t    *testing.T
	conn net.Conn
	job  []byte
}

// newHalf connects, with a job of its own to send.
func newHalf(t *testing.T, p *Process, number int) *half {
	t.Helper()
	conn, err := net.Dial("tcp", p.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	payload := []byte{3}
	for _, f := range [][2]string{{"class", "quick"}, {"id", fmt.Sprintf("ff%014x", number)}, {"wait", "10000"}} {
		payload = frame.AppendField(payload, f[0], f[1])
	}
	payload = append(payload, "select 1"...)
	return &half{t, conn, append(frame.AppendHead(nil, frame.Job, 2, len(payload)), payload...)}
}

// greet asks whether the process is ready, and waits for the answer.
func (h *half) greet() {
	h.t.Helper()
	h.write(append(frame.AppendHead(nil, frame.Ready, 1, 1), 0))
	h.reads(frame.IsReady)
}

// begin sends the first part, and gives the process time to read it: what it reads whole is the easier case.
func (h *half) begin() {
	h.write(h.job[:20])
	time.Sleep(50 * time.Millisecond)
}

func (h *half) write(data []byte) {
	h.t.Helper()
	if _, err := h.conn.Write(data); err != nil {
		h.t.Fatal(err)
	}
}

func (h *half) whole() { h.write(h.job) }
func (h *half) rest()  { h.write(h.job[20:]) }

// reads passes over frames until one of a kind.
func (h *half) reads(kind byte) (payload []byte) {
	h.t.Helper()
	for {
		head := make([]byte, frame.HeadSize)
		if _, err := io.ReadFull(h.conn, head); err != nil {
			h.t.Fatal("no answer: ", err)
		}
		payload = make([]byte, int(head[2])<<8+int(head[3])-frame.MinLength)
		if _, err := io.ReadFull(h.conn, payload); err != nil {
			h.t.Fatal(err)
		}
		if head[4] == kind {
			return payload
		}
	}
}

func (h *half) answered() {
	h.t.Helper()
	if payload := h.reads(frame.Answer); payload[0] != frame.Done && payload[0] != frame.Rejected {
		h.t.Error("code ", payload[0], string(payload))
	}
}
