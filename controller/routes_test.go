package controller

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"yarrowbarrow/config"
	"yarrowbarrow/config/lang"
	"yarrowbarrow/decide/route"
	"yarrowbarrow/internal/frame"
)

// planOf reads routes as an operator writes them.
func planOf(t *testing.T, text string) *route.Plan {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := lang.Load(path, nil)
	if c.Plan == nil {
		t.Fatal(c.Messages)
	}
	return c.Plan
}

func withRoutes(t *testing.T, text string) func(*config.Config) {
	return func(cfg *config.Config) { cfg.Plan = planOf(t, text) }
}

// takes gives the routes as a configuration that was read again.
func (b *bed) takes(text string) {
	b.t.Helper()
	if err := b.c.Reload(func() (config.Config, error) {
		next := b.c.cfg
		next.Plan = planOf(b.t, text)
		return next, nil
	}); err != nil {
		b.t.Fatal(err)
	}
}

func (k conn) job(stream uint32, class string, more ...string) {
	k.asks(stream, "select 1", append([]string{"class", class, "id", "00000000000000" + strconv.FormatInt(int64(stream)+16, 16),
		"wait", "2500", "once", "k" + strconv.Itoa(int(stream))}, more...)...)
}

const twoRoutes = `
[route "quick"]
match = type = quick
pool  = a

[route "load"]
match = type = load
pool  = b

[pool "a"]
id = e0

[pool "b"]
id = e1
`

// TestRoutes: jobs go to the engines of their route's pool and to no other.
func TestRoutes(t *testing.T) {
	e0, e1 := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	k := startWith(t, "", withRoutes(t, twoRoutes), e0, e1).client()
	for n := range uint32(20) {
		class, e, other := "quick", e0, e1
		if n%2 == 1 {
			class, e, other = "load", e1, e0
		}
		k.job(2*n+1, class)
		e.hears("serve").answer("HIT", "count=1", rowA)
		k.gets(frame.Answer, 2*n+1, frame.Done, rowA)
		if len(other.said) > 0 {
			t.Fatal("the other engine was told ", (<-other.said).words)
		}
	}
}

// TestRouteFallsBack: when the pool's engine is lost, what is held and what comes goes to the fallback.
func TestRouteFallsBack(t *testing.T) {
	e0, e1 := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", withRoutes(t, "[route \"r\"]\npool = a\nfallback = b\n[pool \"a\"]\nid = e0\n[pool \"b\"]\nid = e1\n"), e0, e1)
	k := b.client()
	k.job(1, "quick")
	e0.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	b.list.tell(false, [3]string{"e0", e0.ln.Addr().String(), "left"})
	b.until(func() bool { return b.c.engines["e0"] == nil || b.c.engines["e0"].state != 0 })
	k.job(2, "quick")
	e1.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.list.tell(false, [3]string{"e1", e1.ln.Addr().String(), "left"}) // all pools are down: it waits
	b.until(func() bool { return b.c.engines["e1"] == nil || b.c.engines["e1"].state != 0 })
	k.job(3, "quick")
	b.until(func() bool { return len(b.c.jobs) == 1 })
	b.list.tell(false, [3]string{"e0", e0.ln.Addr().String(), "active"})
	e0.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 3, frame.Done, rowA)
}

// TestRouteLimits: over a limit, a job is rejected at once with the time to come back.
func TestRouteLimits(t *testing.T) {
	e := newStandIn(t, "127.0.0.1:0")
	k := startWith(t, "", withRoutes(t, "[route \"r\"]\npolicy = p\n[policy \"p\"]\nrate = 2/s\nburst = 1\n"), e).client()
	k.job(1, "quick")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	k.job(2, "quick")
	after, err := strconv.Atoi(k.gets(frame.Answer, 2, frame.Rejected, "")["after"])
	if err != nil || after < 300 || after > 500 {
		t.Error("after ", after, err)
	}
	time.Sleep(time.Duration(after+10) * time.Millisecond) // what was told holds
	k.job(3, "quick")
	e.hears("serve").answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 3, frame.Done, rowA)
}

// TestRoutesReload: a pool that a later version does not have gets nothing more, also of jobs taken before.
func TestRoutesReload(t *testing.T) {
	e0, e1 := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", withRoutes(t, "[route \"r\"]\npool = a\nfallback = b\npolicy = p\n[policy \"p\"]\ndispatched = 1\n"+
		"[pool \"a\"]\nid = e0\n[pool \"b\"]\nid = e1\n"), e0, e1)
	k := b.client()
	k.job(1, "quick")
	first := e0.hears("serve")
	k.job(2, "quick") // held, as one is attempted
	b.until(func() bool { return len(b.c.jobs) == 2 })
	b.takes("[route \"r\"]\npool = b\n[pool \"b\"]\nid = e1\n")
	first.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	e1.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.c.do(func() {
		if kept, open := b.c.router.Versions(); kept != 1 || open != 0 {
			t.Error(kept, "versions kept,", open, "open")
		}
	})
	if err := b.c.Reload(func() (config.Config, error) { return b.c.cfg, os.ErrInvalid }); err == nil {
		t.Error("taken")
	}
	k.job(3, "quick") // by the version that holds
	e1.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 3, frame.Done, rowB)
}

// TestRoutesAfterPanic: a new module begins with a new router of the same routes, and jobs go on as they did.
func TestRoutesAfterPanic(t *testing.T) {
	e0, e1 := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", withRoutes(t, twoRoutes), e0, e1)
	k := b.client()
	k.job(1, "quick")
	e0.hears("serve")
	b.c.do(func() { panic("on purpose") })
	k.gets(frame.Answer, 1, frame.Failed, "")
	k.job(2, "load")
	e1.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
	b.c.do(func() {
		if kept, open := b.c.router.Versions(); kept != 1 || open != 0 {
			t.Error(kept, open)
		}
	})
}

// TestRoutesTakenAway: without a file any more, new jobs go anywhere, and those that were taken keep their route.
func TestRoutesTakenAway(t *testing.T) {
	e0, e1 := newStandIn(t, "127.0.0.1:0"), newStandIn(t, "127.0.0.1:0")
	b := startWith(t, "", withRoutes(t, twoRoutes), e0, e1)
	k := b.client()
	k.job(1, "quick")
	first := e0.hears("serve")
	if err := b.c.Reload(func() (config.Config, error) {
		next := b.c.cfg
		next.Plan = nil
		return next, nil
	}); err != nil {
		t.Fatal(err)
	}
	first.answer("HIT", "count=1", rowA)
	k.gets(frame.Answer, 1, frame.Done, rowA)
	b.list.tell(false, [3]string{"e0", e0.ln.Addr().String(), "left"})
	b.until(func() bool { return b.c.engines["e0"] == nil || b.c.engines["e0"].state != 0 })
	k.job(2, "quick") // whose pool was e0
	e1.hears("serve").answer("HIT", "count=1", rowB)
	k.gets(frame.Answer, 2, frame.Done, rowB)
}
