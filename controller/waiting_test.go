package controller

import (
	"fmt"
	"testing"
	"time"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/logic"
)

// addJob adds a job of a client, without the module. The lock is held.
func (b *testbed) addJob(cl *client, timeLeft time.Duration) *job {
	cl.lastStream++
	j := &job{id: jobIDOf(cl.lastStream), stream: cl.lastStream, client: cl, class: "quick", acceptedAt: b.c.now, deadline: b.c.now + timeLeft,
		priority: 1}
	cl.jobs[j.stream], b.c.jobs[j.id] = j, j
	return j
}

// addAttempts begins attempts at an engine for new jobs of the only client, without the module. The lock is held.
func (b *testbed) addAttempts(count int) {
	for _, cl := range b.c.clients {
		for range count {
			host{b.c}.Attempt(b.addJob(cl, time.Minute).id, "e0", time.Minute, time.Minute)
		}
	}
}

// elapse makes the calls that are due after some time in which nothing but timers ran. The lock is held.
func (b *testbed) elapse(span time.Duration) {
	time.Sleep(span)
	b.c.now = b.c.clock()
	b.c.runDue()
	b.c.runPending()
}

// writeUnread has a client send bytes that stay unread while the lock is held.
func (b *testbed) writeUnread(cl testClient, bytes []byte) {
	b.t.Helper()
	cl.write(bytes)
	awaitCondition(b.t, b.linkOf(cl).hasUnread)
}

// TestInputChecksDoNotMultiply guards against checks of waiting attempts that each schedule one more check for every
// attempt: the timers multiplied under the lock until nothing else ran.
func TestInputChecksDoNotMultiply(t *testing.T) {
	const attempts, rounds = 20, 4
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	cl := b.connect()
	b.holdDials()
	b.c.withLock(func() { // under the lock no input is handled
		b.writeUnread(cl, frame.AppendHeader(nil, frame.Cancel, 100, 0))
		time.Sleep(2 * maxInputLag)
		b.c.now = b.c.clock()
		b.addAttempts(attempts)
		if b.c.counts[attemptsHeld] != attempts {
			t.Fatal(b.c.counts[attemptsHeld], "attempts are held")
		}
		before := b.c.counts[timersRun]
		for range rounds {
			b.elapse(inputCheckInterval)
		}
		if ran := b.c.counts[timersRun] - before; ran > attempts*rounds {
			t.Errorf("%d timers ran in %d rounds with %d waiting attempts", ran, rounds, attempts)
		}
		if waiting := len(b.c.timers); waiting > 8*attempts {
			t.Errorf("%d timers wait with %d waiting attempts", waiting, attempts)
		}
	})
}

// TestArrivalChecksNoOthers guards against work under the lock that grows as what waits times what arrives: each arrival
// checked all attempts that waited for a connection to its engine.
func TestArrivalChecksNoOthers(t *testing.T) {
	const waiting, arriving = 1000, 100
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	b.connect()
	b.holdDials()
	b.c.withLock(func() {
		b.addAttempts(waiting)
		before := b.c.counts[attemptsChecked]
		b.addAttempts(arriving)
		if checked := b.c.counts[attemptsChecked] - before; checked > 2*arriving {
			t.Errorf("%d checks for %d arrivals beside %d waiting attempts", checked, arriving, waiting)
		}
	})
}

// TestPlacedInOrder: as connections come up, waiting attempts leave in the order in which they were decided, and one
// that ended meanwhile is passed over.
func TestPlacedInOrder(t *testing.T) {
	e := newFakeEngine(t, "127.0.0.1:0")
	b := startController(t, "", e)
	cl := b.connect()
	g := b.holdDials()
	b.c.withLock(func() { b.addAttempts(3) })
	for range 3 {
		g.awaitDial(t)
	}
	cl.write(frame.AppendHeader(nil, frame.Cancel, 2, 0))
	b.waitUntil(func() bool { return b.c.counts[jobsClientGone] == 1 })
	for _, stream := range []uint32{1, 3} {
		g.release <- struct{}{}
		if cmd := e.expectCommand("serve"); cmd.words[1] != string(jobIDOf(stream)) {
			t.Errorf("%s was sent, not the job of stream %d", cmd.words[1], stream)
		}
	}
	g.release <- struct{}{}
	b.c.withLock(func() {
		if w := &b.c.engines["e0"].waiting; w.all.Len() != 0 || w.ready.Len() != 0 {
			t.Error("attempts still listed: ", w.all.Len(), w.ready.Len())
		}
	})
}

// jobIDOf returns the id of a job that addAttempts or sendQuickJob makes.
func jobIDOf(stream uint32) logic.JobID { return logic.JobID(fmt.Sprintf("%016x", stream)) }
