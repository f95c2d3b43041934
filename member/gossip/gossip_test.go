package gossip

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"yarrowbarrow/decide/membership"
)

// fullMessage is a message with all fields set.
var fullMessage = membership.Message{Kind: membership.Ack, Seq: 1<<63 + 5, From: membership.Record{Name: "a", Address: "10.0.0.1:1", Generation: 99, Incarnation: 3, Status: membership.Alive},
	To: "b", Target: membership.Record{Name: "c", Address: "10.0.0.3:1", Generation: 1, Status: membership.Suspect, AccusedBy: "a"},
	Updates:  []membership.Record{{Name: "d", Address: "x", Generation: 2, Status: membership.Gone, AccusedBy: "e"}, {Name: "f", Generation: 3, Status: membership.Alive}},
	Ages:     []membership.Age{{Hash: 1 << 31, Age: 0}, {Hash: 2, Age: 1500 * ms}},
	Payloads: []membership.Payload{{Type: 7, Data: []byte("x")}}, Unreachable: []uint32{1, 1 << 31}}

// TestMessage checks that decoding returns what was encoded, and that ages are rounded up: rounded down, an age would claim that
// a member is fresher than it is.
func TestMessage(t *testing.T) {
	encoded, err := encode(fullMessage)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decode(encoded)
	if diff := cmp.Diff(fullMessage, decoded); diff != "" || err != nil {
		t.Error(diff, err)
	}
	encoded, _ = encode(membership.Message{From: fullMessage.From, Ages: []membership.Age{{Hash: 1, Age: ms + 1}}})
	if decoded, _ := decode(encoded); decoded.Ages[0].Age != 2*ms {
		t.Error(decoded.Ages)
	}
}

// TestVersions checks compatibility between versions: unknown fields of a later version are skipped, absent fields are zero.
func TestVersions(t *testing.T) {
	later, err := cbor.Marshal(map[int]any{1: 1, 2: 5, 3: map[int]any{1: "a", 2: "10.0.0.1:1", 3: 9, 99: "new"}, 42: []string{"new"}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(later)
	if err != nil || m.Kind != membership.Ping || m.From.Name != "a" || m.From.Generation != 9 {
		t.Error(m, err)
	}
}

// TestFaulty checks that invalid and truncated messages are rejected.
func TestFaulty(t *testing.T) {
	for name, corrupt := range map[string]func(*message){
		"message without a sender name accepted":          func(m *message) { m.From.Name = "" },
		"message with a name of 65 bytes accepted":        func(m *message) { m.From.Name = string(bytes.Repeat([]byte("x"), 65)) },
		"update with a status above the highest accepted": func(m *message) { m.Updates = []record{{Name: "x", Status: 9}} },
		"target with a negative status accepted":          func(m *message) { m.Target = &record{Name: "x", Status: -1} },
	} {
		m := message{Kind: 1, From: record{Name: "a"}}
		corrupt(&m)
		encoded, _ := cbor.Marshal(m)
		if _, err := decode(encoded); err == nil {
			t.Error(name)
		}
	}
	encodedFull, _ := encode(fullMessage)
	for n := range encodedFull { // truncated at each length
		if _, err := decode(encodedFull[:n]); err == nil {
			t.Error("accepted a message truncated to this many bytes: ", n)
		}
	}
}

func FuzzDecode(f *testing.F) {
	encoded, _ := encode(fullMessage)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decode(data); err == nil {
			if _, err := encode(m); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestWindow checks that the replay window accepts each number once, in any order among the newest 64, and no older ones.
func TestWindow(t *testing.T) {
	var w window
	for _, c := range []struct {
		n     uint64
		fresh bool
	}{{0, false}, {5, true}, {5, false}, {3, true}, {3, false}, {70, true}, {6, false}, {7, true}, {69, true}, {69, false}, {1000, true},
		{70, false}, {937, true}, {936, false}, {1 << 40, true}, {1000, false}} {
		if w.accept(c.n) != c.fresh {
			t.Error(c.n, w)
		}
	}
}

// startInstance starts an instance that is closed when the test ends.
func startInstance(t *testing.T, name, key string, seeds ...string) *Gossip {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	listen := freeAddress(t)
	g, err := Start(Config{Name: name, Listen: listen, Seeds: seeds, KeyFile: file, Period: 50 * ms, MaxMembers: 10, MaxBytesPerSecond: 100_000},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// freeAddress returns a TCP address on the loopback interface that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// waitUntil waits until a condition holds. After 20 s it fails the test with the given message.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for from := time.Now(); !condition(); time.Sleep(5 * ms) {
		if time.Since(from) > 20*time.Second {
			t.Fatal(failure)
		}
	}
}

func alive(g *Gossip, name membership.Name) bool {
	return slices.ContainsFunc(g.View().Members, func(m membership.Info) bool { return m.Name == name && m.Status == membership.Alive })
}

const oldKey, newKey = "the key of the fleet before", "the key of the fleet from now on"

// TestKeys checks that a fleet can rotate its key without any datagram being rejected, that an instance with only the old key
// cannot join afterwards, and that an invalid key file leaves the keys unchanged.
func TestKeys(t *testing.T) {
	a := startInstance(t, "a", oldKey)
	b := startInstance(t, "b", oldKey, a.cfg.Listen)
	waitUntil(t, "a and b do not see each other as alive", func() bool { return alive(a, "b") && alive(b, "a") })
	for _, keyFile := range []string{oldKey + "\n" + newKey, newKey + "\n" + oldKey, newKey} {
		for _, g := range []*Gossip{a, b} {
			if err := os.WriteFile(g.cfg.KeyFile, []byte(keyFile), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := g.ReadKeys(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * ms)
			if !alive(a, "b") || !alive(b, "a") || a.View().Counts.Rejected+b.View().Counts.Rejected > 0 {
				t.Fatal(a.View(), b.View())
			}
		}
	}
	c := startInstance(t, "c", oldKey, a.cfg.Listen)
	waitUntil(t, "a has rejected no datagram under the old key", func() bool { return a.View().Counts.Rejected > 0 })
	if alive(a, "c") || len(c.View().Members) > 0 {
		t.Error(a.View(), c.View())
	}
	if err := os.WriteFile(a.cfg.KeyFile, []byte("short"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.ReadKeys(); err == nil || !alive(a, "b") {
		t.Error("ReadKeys with an invalid key file, or b not alive afterwards: ", err)
	}
}

// TestReplay checks that a datagram is rejected when it arrives a second time, and when any of its bytes was changed.
func TestReplay(t *testing.T) {
	g := startInstance(t, "g", oldKey)
	encoded, _ := encode(membership.Message{Kind: membership.Ping, Seq: 1, From: membership.Record{Name: "x", Address: "127.0.0.1:1", Generation: 5}})
	sealed := make([]byte, datagramHeaderBytes, 200)
	sender := senderNumber("x", 5)
	for n := range 8 {
		sealed[headerBytes+n] = byte(sender >> (56 - 8*n))
	}
	sealed[headerBytes+15] = 1
	sealed = keys{[]byte(oldKey)}.seal(append(sealed, encoded...))
	if _, err := g.decodeDatagram(sealed); err != nil {
		t.Fatal(err)
	}
	if _, err := g.decodeDatagram(sealed); err != errReplay {
		t.Error(err)
	}
	for n := range sealed {
		changed := bytes.Clone(sealed)
		changed[n] ^= 1
		if _, err := g.decodeDatagram(changed); err == nil {
			t.Error("accepted a datagram changed at byte ", n)
		}
	}
}

// TestBounds checks that an instance under a flood of datagrams reads no more than its configured bytes per second.
func TestBounds(t *testing.T) {
	g := startInstance(t, "g", oldKey)
	other := startInstance(t, "o", oldKey, g.cfg.Listen)
	waitUntil(t, "g and o do not see each other as alive", func() bool { return alive(g, "o") && alive(other, "g") })
	conn, err := net.Dial("udp", g.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from, before := time.Now(), g.View().Counts
	for time.Since(from) < 500*ms {
		_, _ = conn.Write(make([]byte, 1000))
	}
	now, seconds := g.View().Counts, time.Since(from).Seconds()
	if now.RateLimited == before.RateLimited {
		t.Skip("this machine sends too slowly to exceed the limit")
	}
	if processed := now.Rejected - before.Rejected; float64(processed)*1000 > (seconds+2.5)*100_000 {
		t.Errorf("read %d datagrams of 1,000 bytes in %.1f s, over the limit", processed, seconds)
	}
}
