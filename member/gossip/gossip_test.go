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

	"yarrowbarrow/decide/member"
)

var everything = member.Message{Kind: member.Ack, Seq: 1<<63 + 5, From: member.Record{Name: "a", Address: "10.0.0.1:1", Life: 99, Turn: 3, Status: member.Alive},
	To: "b", About: member.Record{Name: "c", Address: "10.0.0.3:1", Life: 1, Status: member.Suspect, By: "a"},
	News:    []member.Record{{Name: "d", Address: "x", Life: 2, Status: member.Gone, By: "e"}, {Name: "f", Life: 3, Status: member.Alive}},
	Ages:    []member.Age{{Of: 1 << 31, Old: 0}, {Of: 2, Old: 1500 * ms}},
	Parcels: []member.Parcel{{Cargo: 7, Data: []byte("x")}}, Misses: []uint32{1, 1 << 31}}

// TestMessage: what is written is what is read; ages are rounded up, never down.
func TestMessage(t *testing.T) {
	text, err := encode(everything)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decode(text)
	if d := cmp.Diff(everything, back); d != "" || err != nil {
		t.Error(d, err)
	}
	text, _ = encode(member.Message{From: everything.From, Ages: []member.Age{{Of: 1, Old: ms + 1}}})
	if back, _ := decode(text); back.Ages[0].Old != 2*ms {
		t.Error(back.Ages)
	}
}

// TestVersions: a later version's fields are passed over, and an earlier one's absent ones are zero.
func TestVersions(t *testing.T) {
	later, err := cbor.Marshal(map[int]any{1: 1, 2: 5, 3: map[int]any{1: "a", 2: "10.0.0.1:1", 3: 9, 99: "new"}, 42: []string{"new"}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(later)
	if err != nil || m.Kind != member.Ping || m.From.Name != "a" || m.From.Life != 9 {
		t.Error(m, err)
	}
}

// TestFaulty: what can't be is refused, whatever it is.
func TestFaulty(t *testing.T) {
	for name, change := range map[string]func(*message){
		"no name":     func(m *message) { m.From.Name = "" },
		"long name":   func(m *message) { m.From.Name = string(bytes.Repeat([]byte("x"), 65)) },
		"status":      func(m *message) { m.News = []record{{Name: "x", Status: 9}} },
		"status less": func(m *message) { m.About = &record{Name: "x", Status: -1} },
	} {
		m := message{Kind: 1, From: record{Name: "a"}}
		change(&m)
		text, _ := cbor.Marshal(m)
		if _, err := decode(text); err == nil {
			t.Error(name)
		}
	}
	whole, _ := encode(everything)
	for n := range whole { // cut off anywhere
		if _, err := decode(whole[:n]); err == nil {
			t.Error("cut off at ", n)
		}
	}
}

func FuzzDecode(f *testing.F) {
	text, _ := encode(everything)
	f.Add(text)
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decode(data); err == nil {
			if _, err := encode(m); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestWindow: each number once, in any order within 64.
func TestWindow(t *testing.T) {
	var w window
	for _, c := range []struct {
		n     uint64
		fresh bool
	}{{0, false}, {5, true}, {5, false}, {3, true}, {3, false}, {70, true}, {6, false}, {7, true}, {69, true}, {69, false}, {1000, true},
		{70, false}, {937, true}, {936, false}, {1 << 40, true}, {1000, false}} {
		if w.take(c.n) != c.fresh {
			t.Error(c.n, w)
		}
	}
}

func instance(t *testing.T, name, key string, seeds ...string) *Gossip {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	listen := free(t)
	g, err := Start(Config{Name: name, Listen: listen, Seeds: seeds, KeyFile: file, Period: 50 * ms, Most: 10, BytesPS: 100_000},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	for from := time.Now(); !so(); time.Sleep(5 * ms) {
		if time.Since(from) > 20*time.Second {
			t.Fatal(what)
		}
	}
}

func alive(g *Gossip, name member.Name) bool {
	return slices.ContainsFunc(g.View().Members, func(m member.One) bool { return m.Name == name && m.Status == member.Alive })
}

const oldKey, newKey = "the key of the fleet before", "the key of the fleet from now on"

// TestKeys: a fleet changes its key without a moment in which one does not hear another; who has only the old one is out.
func TestKeys(t *testing.T) {
	a := instance(t, "a", oldKey)
	b := instance(t, "b", oldKey, a.cfg.Listen)
	until(t, "they find each other", func() bool { return alive(a, "b") && alive(b, "a") })
	for _, step := range []string{oldKey + "\n" + newKey, newKey + "\n" + oldKey, newKey} {
		for _, g := range []*Gossip{a, b} {
			if err := os.WriteFile(g.cfg.KeyFile, []byte(step), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := g.ReadKeys(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * ms)
			if !alive(a, "b") || !alive(b, "a") || a.View().Counts.Refused+b.View().Counts.Refused > 0 {
				t.Fatal(a.View(), b.View())
			}
		}
	}
	c := instance(t, "c", oldKey, a.cfg.Listen)
	until(t, "refused", func() bool { return a.View().Counts.Refused > 0 })
	if alive(a, "c") || len(c.View().Members) > 0 {
		t.Error(a.View(), c.View())
	}
	if err := os.WriteFile(a.cfg.KeyFile, []byte("short"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.ReadKeys(); err == nil || !alive(a, "b") {
		t.Error("a faulty key file: ", err)
	}
}

// TestReplay: a datagram that comes again is not taken, and one that was changed is not of the key.
func TestReplay(t *testing.T) {
	g := instance(t, "g", oldKey)
	text, _ := encode(member.Message{Kind: member.Ping, Seq: 1, From: member.Record{Name: "x", Address: "127.0.0.1:1", Life: 5}})
	whole := make([]byte, numbered, 200)
	sender := senderOf("x", 5)
	for n := range 8 {
		whole[headSize+n] = byte(sender >> (56 - 8*n))
	}
	whole[headSize+15] = 1
	whole = keys{[]byte(oldKey)}.seal(append(whole, text...))
	if _, err := g.read(whole); err != nil {
		t.Fatal(err)
	}
	if _, err := g.read(whole); err != errReplay {
		t.Error(err)
	}
	for n := range whole {
		changed := bytes.Clone(whole)
		changed[n] ^= 1
		if _, err := g.read(changed); err == nil {
			t.Error("changed at ", n)
		}
	}
}

// TestBounds: what floods is passed over, and what the instance itself says is within its bound.
func TestBounds(t *testing.T) {
	g := instance(t, "g", oldKey)
	other := instance(t, "o", oldKey, g.cfg.Listen)
	until(t, "they find each other", func() bool { return alive(g, "o") && alive(other, "g") })
	conn, err := net.Dial("udp", g.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from, before := time.Now(), g.View().Counts
	for time.Since(from) < 500*ms {
		_, _ = conn.Write(make([]byte, 1000))
	}
	now, length := g.View().Counts, time.Since(from).Seconds()
	if now.Bounded == before.Bounded {
		t.Skip("this machine sends no flood") // too slow to come near the bound
	}
	if taken := now.Refused - before.Refused; float64(taken)*1000 > (length+2.5)*100_000 {
		t.Errorf("%d read in %.1f s", taken, length)
	}
}
