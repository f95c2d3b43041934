package controller

import (
	"testing"
	"time"

	"yarrowbarrow/logic"
)

// TestWallClockStepped: the wall clock is stepped by an hour or by seconds, forward and back, before an engine starts and
// after discovery reports the engine. The controller derives the right age of the engine, keeps it when the same start is
// reported again, and recognizes another process by its new start.
func TestWallClockStepped(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		b := startController(t, "", newFakeEngine(t, "127.0.0.1:0"))
		b.c.withLock(func() {
			stepped := step
			b.c.sys.wallClock = func() time.Duration { return b.c.now + stepped }
			const age = 3 * time.Second
			born := b.c.sys.wallClock() - age
			update := func(born time.Duration) *engine {
				b.c.updateEngine("late", "127.0.0.1:1", "east", "std", 0, logic.Up, 1, born)
				return b.c.engines["late"]
			}
			want := b.c.now - age
			if e := update(born); e.startedAt != want {
				t.Errorf("step %v: start time off by %v", step, e.startedAt-want)
			}
			stepped = 0
			b.c.now += time.Second
			if e := update(born); e.startedAt != want {
				t.Errorf("step %v: start time moved by %v after a later step", step, e.startedAt-want)
			}
			if e := update(b.c.sys.wallClock()); e.startedAt != b.c.now {
				t.Errorf("step %v: start time of another process off by %v", step, e.startedAt-b.c.now)
			}
		})
	}
}
