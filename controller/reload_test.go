package controller

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/resp"
)

// quickEngine answers each job at once, and keeps when each came.
type quickEngine struct {
	ln   net.Listener
	mu   sync.Mutex
	seen map[string]time.Time
}

func newQuickEngine(t *testing.T) *quickEngine {
	e := &quickEngine{seen: map[string]time.Time{}}
	e.ln = listen(t, "127.0.0.1:0", func(conn net.Conn) {
		var data []byte
		for buf := make([]byte, 64<<10); ; {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			data = append(data, buf[:n]...)
			var out []byte
			for {
				words, size, err := resp.Next(data, nil)
				if size == 0 || err != nil {
					break
				}
				verb, id := string(words[0]), string(words[1])
				data = data[size:]
				answer := []string{id, "HIT", "count=1,ticks=1,footprint=1", rowA}
				switch verb {
				case "health":
					answer = []string{id, "PONG", "-", ""}
				case "serve":
					e.mu.Lock()
					e.seen[id] = time.Now()
					e.mu.Unlock()
				default:
					continue
				}
				out = resp.AppendArray(out, len(answer))
				for _, word := range answer {
					out = resp.AppendWord(out, word)
				}
			}
			if _, err := conn.Write(out); err != nil {
				return
			}
		}
	})
	return e
}

// versionText is version n of the routes: the quick pool is one of three engines in turn, another is its fallback, and
// the third one's pool is not there at all. Each version's route is of its own name.
func versionText(n int) string {
	a, b := n%3, (n+1)%3
	return fmt.Sprintf("[route \"v%d\"]\npool = p%d\nfallback = p%d\n[pool \"p%d\"]\nid = e%d\n[pool \"p%d\"]\nid = e%d\n", n, a, b, a, a, b, b)
}

// TestReloadUnderLoad: 200 reloads while 20,000 jobs pass, among them faulty files, pools that are gone and swapped
// fallbacks. Each job gets one answer, none goes to a pool that a version took away 2 s before, each is routed by the
// version that it was taken under, and no version is kept. A job whose version's pools are all gone by two further
// reloads is rejected at once, as it is nowhere to go.
func TestReloadUnderLoad(t *testing.T) {
	const reloads, jobs, clients = 200, 20_000, 16
	engines := []*quickEngine{newQuickEngine(t), newQuickEngine(t), newQuickEngine(t)}
	discovery := newList(t)
	discovery.tell(true, [3]string{"e0", engines[0].ln.Addr().String(), "active"},
		[3]string{"e1", engines[1].ln.Addr().String(), "active"}, [3]string{"e2", engines[2].ln.Addr().String(), "active"})
	b := startWith(t, "", func(cfg *config.Config) {
		cfg.Plan, cfg.Discovery, cfg.Known, cfg.Sockets = planOf(t, versionText(0)), discovery.ln.Addr().String(), []byte(discovery.text(0)), 256
	})
	b.client()
	before := heapHeld()
	var mu sync.Mutex
	goneAt := map[int][][2]time.Time{2: {{time.Now()}}} // by engine: spans in which its pool was gone
	stop := make(chan struct{})
	var reloaded sync.WaitGroup
	plans := make([]*route.Plan, reloads+1)
	for n := range plans {
		plans[n] = planOf(t, versionText(n))
	}
	reloaded.Add(1)
	go func() {
		defer reloaded.Done()
		for n := 1; n <= reloads; n++ {
			if n%5 == 0 { // a faulty one changes nothing
				if err := b.c.Reload(func() (config.Config, error) { return config.Config{}, errors.New("operator.conf:1:1: error") }); err == nil {
					t.Error("taken")
				}
			}
			_ = b.c.Reload(func() (config.Config, error) {
				next := b.c.cfg
				next.Plan = plans[n]
				return next, nil
			})
			mu.Lock()
			now, left, back := time.Now(), (n+2)%3, (n+1)%3
			goneAt[left] = append(goneAt[left], [2]time.Time{now})
			if spans := goneAt[back]; len(spans) > 0 && spans[len(spans)-1][1].IsZero() {
				spans[len(spans)-1][1] = now
			}
			mu.Unlock()
			if n%40 == 0 { // long enough that a late attempt would show
				time.Sleep(2200 * time.Millisecond)
			} else {
				time.Sleep(10 * time.Millisecond)
			}
		}
		close(stop)
	}()
	var answered, doubled, served, wrong atomic.Int64
	var all sync.WaitGroup
	for c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			stream := uint32(0)
			for n := 0; n < jobs/clients || !closed(stop); n++ {
				if n >= jobs/clients && n%4 == 0 {
					time.Sleep(time.Millisecond)
				}
				stream++
				job := jobFrame(stream, "select 1", "class", "quick", "id", fmt.Sprintf("%08x%08x", c, stream), "wait", "2500")
				if _, err := conn.Write(job); err != nil {
					t.Error(err)
					return
				}
				_ = conn.SetReadDeadline(time.Now().Add(patience))
				head := make([]byte, frame.HeadSize)
				if _, err := io.ReadFull(conn, head); err != nil {
					t.Error("no answer: ", err)
					return
				}
				body := make([]byte, int(head[2])<<8+int(head[3])-frame.MinLength)
				if _, err := io.ReadFull(conn, body); err != nil {
					t.Error(err)
					return
				}
				if got := uint32(head[5])<<24 + uint32(head[6])<<16 + uint32(head[7])<<8 + uint32(head[8]); got != stream {
					doubled.Add(1)
				}
				answered.Add(1)
				if body[0] == frame.Done {
					served.Add(1)
				} else if body[0] != frame.Rejected {
					wrong.Add(1)
				}
			}
		}()
	}
	all.Wait()
	reloaded.Wait()
	if doubled.Load() > 0 || wrong.Load() > 0 || answered.Load() < jobs || served.Load() < answered.Load()*9/10 {
		t.Errorf("%d answers, %d in time, %d doubled, %d of another code", answered.Load(), served.Load(), doubled.Load(), wrong.Load())
	}
	late := time.Duration(0)
	for n, e := range engines {
		for _, at := range e.seen {
			for _, span := range goneAt[n] {
				if at.After(span[0]) && (span[1].IsZero() || at.Before(span[1])) {
					late = max(late, at.Sub(span[0]))
				}
			}
		}
	}
	if late > 2*time.Second {
		t.Error("a job reached the engine of a pool ", late, " after it was taken away")
	}
	b.c.do(func() {
		if kept, open := b.c.router.Versions(); kept != 1 || open != 0 || len(b.c.jobs) > 0 {
			t.Error(kept, "versions kept,", open, "jobs")
		}
	})
	if after := heapHeld(); after > before+8<<20 {
		t.Errorf("%d KB held, %d KB before", after>>10, before>>10)
	}
	t.Logf("%d answers, %d done, longest after a pool was gone %v", answered.Load(), served.Load(), late)
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func heapHeld() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestReloadFiles: a SIGHUP reads the operators' file; a faulty one is named with its line, and changes nothing.
func TestReloadFiles(t *testing.T) {
	dir := t.TempDir()
	platform, operators := dir+"/config.json", dir+"/operator.conf"
	e := newStandIn(t, "127.0.0.1:0")
	var log strings.Builder
	b := startWith(t, "", withRoutes(t, twoRoutes), e)
	_ = b.client()
	b.c.do(func() { b.c.log = slog.New(slog.NewTextHandler(&log, nil)) })
	raw, err := os.ReadFile("../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platform, string(raw))
	t.Setenv("BALANCER_CONFIG", platform)
	read := func() (config.Config, error) {
		next, err := config.FromEnvironment(operators)
		next.Discovery = b.c.cfg.Discovery
		return next, err
	}
	write(operators, "[route \"r\"]\npool = a\n[pool \"a\"]\nid = *\nminimum = 5s\n")
	if err := b.c.Reload(read); err == nil || !strings.Contains(err.Error(), "operator.conf:5:11: error: minimum: 5s is a duration") {
		t.Error(err)
	}
	b.c.do(func() {
		if len(b.c.plan.Routes) != 2 {
			t.Error("changed")
		}
	})
	if !strings.Contains(log.String(), "operator.conf:5:11") {
		t.Error(log.String())
	}
	write(operators, "[route \"r\"]\npool = a\n[pool \"a\"]\nid = *\nminimum = 5\n")
	if err := b.c.Reload(read); err != nil {
		t.Error(err)
	}
	b.c.do(func() {
		if len(b.c.plan.Routes) != 1 {
			t.Error("not taken")
		}
	})
}
