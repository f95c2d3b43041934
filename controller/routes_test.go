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

// planOf parses routes as an operator writes them.
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

// withRoutes returns a configuration change that sets the routes.
func withRoutes(t *testing.T, text string) func(*config.Config) {
	return func(cfg *config.Config) { cfg.Plan = planOf(t, text) }
}

// reloadRoutes reloads the configuration with other routes.
func (b *testbed) reloadRoutes(text string) {
	b.t.Helper()
	if err := b.c.Reload(func() (config.Config, error) {
		next := b.c.cfg
		next.Plan = planOf(b.t, text)
		return next, nil
	}); err != nil {
		b.t.Fatal(err)
	}
}

// sendJobOfClass sends a job of a class with an idempotency key, and with more fields.
func (cl testClient) sendJobOfClass(stream uint32, class string, more ...string) {
	cl.sendJob(stream, "select 1", append([]string{"class", class, "id", "00000000000000" + strconv.FormatInt(int64(stream)+16, 16),
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
	e0, e1 := newFakeEngine(t, "127.0.0.1:0"), newFakeEngine(t, "127.0.0.1:0")
	cl := startWithConfig(t, "", withRoutes(t, twoRoutes), e0, e1).connect()
	for n := range uint32(20) {
		class, e, other := "quick", e0, e1
		if n%2 == 1 {
			class, e, other = "load", e1, e0
		}
		cl.sendJobOfClass(2*n+1, class)
		e.expectCommand("serve").answer("HIT", "count=1", rowA)
		cl.expectFrame(frame.Answer, 2*n+1, frame.Done, rowA)
		if len(other.received) > 0 {
			t.Fatal("the other engine received ", (<-other.received).words)
		}
	}
}

// TestRouteFallsBack: when the pool's engine is lost, waiting and new jobs go to the fallback pool.
func TestRouteFallsBack(t *testing.T) {
	e0, e1 := newFakeEngine(t, "127.0.0.1:0"), newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", withRoutes(t, "[route \"r\"]\npool = a\nfallback = b\n[pool \"a\"]\nid = e0\n[pool \"b\"]\nid = e1\n"), e0, e1)
	cl := b.connect()
	cl.sendJobOfClass(1, "quick")
	e0.expectCommand("serve").answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
	b.discovery.publish(false, [3]string{"e0", e0.ln.Addr().String(), "left"})
	b.waitUntil(func() bool { return b.c.engines["e0"] == nil || b.c.engines["e0"].state != 0 })
	cl.sendJobOfClass(2, "quick")
	e1.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 2, frame.Done, rowB)
	b.discovery.publish(false, [3]string{"e1", e1.ln.Addr().String(), "left"}) // all pools are down: it waits
	b.waitUntil(func() bool { return b.c.engines["e1"] == nil || b.c.engines["e1"].state != 0 })
	cl.sendJobOfClass(3, "quick")
	b.waitUntil(func() bool { return len(b.c.jobs) == 1 })
	b.discovery.publish(false, [3]string{"e0", e0.ln.Addr().String(), "active"})
	e0.expectCommand("serve").answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 3, frame.Done, rowA)
}

// TestRouteLimits: a job over a limit is rejected at once, with the time to come back.
func TestRouteLimits(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	cl := startWithConfig(t, "", withRoutes(t, "[route \"r\"]\npolicy = p\n[policy \"p\"]\nrate = 2/s\nburst = 1\n"), e).connect()
	cl.sendJobOfClass(1, "quick")
	e.expectCommand("serve").answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
	cl.sendJobOfClass(2, "quick")
	after, err := strconv.Atoi(cl.expectFrame(frame.Answer, 2, frame.Rejected, "")["after"])
	if err != nil || after < 300 || after > 500 {
		t.Error("after ", after, err)
	}
	time.Sleep(time.Duration(after+10) * time.Millisecond) // the announced time is sufficient
	cl.sendJobOfClass(3, "quick")
	e.expectCommand("serve").answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 3, frame.Done, rowA)
}

// TestRoutesReload: a pool that a later version does not contain gets no more attempts, not even of jobs accepted before.
func TestRoutesReload(t *testing.T) {
	e0, e1 := newFakeEngine(t, "127.0.0.1:0"), newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", withRoutes(t, "[route \"r\"]\npool = a\nfallback = b\npolicy = p\n[policy \"p\"]\ndispatched = 1\n"+
		"[pool \"a\"]\nid = e0\n[pool \"b\"]\nid = e1\n"), e0, e1)
	cl := b.connect()
	cl.sendJobOfClass(1, "quick")
	first := e0.expectCommand("serve")
	cl.sendJobOfClass(2, "quick") // held, as another one is in flight
	b.waitUntil(func() bool { return len(b.c.jobs) == 2 })
	b.reloadRoutes("[route \"r\"]\npool = b\n[pool \"b\"]\nid = e1\n")
	first.answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
	e1.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 2, frame.Done, rowB)
	b.c.withLock(func() {
		if kept, open := b.c.router.Versions(); kept != 1 || open != 0 {
			t.Error(kept, "versions kept,", open, "open")
		}
	})
	if err := b.c.Reload(func() (config.Config, error) { return b.c.cfg, os.ErrInvalid }); err == nil {
		t.Error("taken")
	}
	cl.sendJobOfClass(3, "quick") // by the version that is in effect
	e1.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 3, frame.Done, rowB)
}

// TestRoutesAfterPanic: a new module starts with a new router with the same routes, and jobs are routed as before.
func TestRoutesAfterPanic(t *testing.T) {
	e0, e1 := newFakeEngine(t, "127.0.0.1:0"), newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", withRoutes(t, twoRoutes), e0, e1)
	cl := b.connect()
	cl.sendJobOfClass(1, "quick")
	e0.expectCommand("serve")
	b.c.withLock(func() { panic("on purpose") })
	cl.expectFrame(frame.Answer, 1, frame.Failed, "")
	cl.sendJobOfClass(2, "load")
	e1.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 2, frame.Done, rowB)
	b.c.withLock(func() {
		if kept, open := b.c.router.Versions(); kept != 1 || open != 0 {
			t.Error(kept, open)
		}
	})
}

// TestRoutesTakenAway: when the operators' file is removed, new jobs go to any engine, and jobs accepted before keep
// their route.
func TestRoutesTakenAway(t *testing.T) {
	e0, e1 := newFakeEngine(t, "127.0.0.1:0"), newFakeEngine(t, "127.0.0.1:0")
	b := startWithConfig(t, "", withRoutes(t, twoRoutes), e0, e1)
	cl := b.connect()
	cl.sendJobOfClass(1, "quick")
	first := e0.expectCommand("serve")
	if err := b.c.Reload(func() (config.Config, error) {
		next := b.c.cfg
		next.Plan = nil
		return next, nil
	}); err != nil {
		t.Fatal(err)
	}
	first.answer("HIT", "count=1", rowA)
	cl.expectFrame(frame.Answer, 1, frame.Done, rowA)
	b.discovery.publish(false, [3]string{"e0", e0.ln.Addr().String(), "left"})
	b.waitUntil(func() bool { return b.c.engines["e0"] == nil || b.c.engines["e0"].state != 0 })
	cl.sendJobOfClass(2, "quick") // its class used the pool with e0
	e1.expectCommand("serve").answer("HIT", "count=1", rowB)
	cl.expectFrame(frame.Answer, 2, frame.Done, rowB)
}
