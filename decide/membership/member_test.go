package membership

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the expected traces in testdata; review them before they are committed")

const second = time.Second

// checkTrace compares the trace with the expected one in testdata.
func (w *world) checkTrace() {
	w.t.Helper()
	file := filepath.Join("testdata", w.t.Name()+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(w.trace.String()), 0o644); err != nil {
			w.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		w.t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(w.trace.String(), "\n")); diff != "" {
		w.t.Error("decisions differ (-expected +actual):\n" + diff)
	}
}

// formedWorld starts a fleet and runs it until all instances know each other.
func formedWorld(t *testing.T, size int, seed int64) *world {
	t.Helper()
	w := newWorld(t, size, seed)
	w.runUntil(30*second, func() bool { return w.now > 2*second && w.checkConverged() == nil })
	return w
}

// TestKilled kills one of five instances and starts it again later: the others must declare it gone, and then have its new life
// as alive. The trace of all decisions must equal the expected one.
func TestKilled(t *testing.T) {
	w := newWorld(t, 5, 1)
	w.traced = true
	w.run(10 * second)
	w.instances[3].kill()
	w.run(35 * second)
	w.instances[3].start()
	w.run(45 * second)
	w.checkTrace()
	if err := w.checkConverged(); err != nil {
		t.Error(err)
	}
}

// TestSplits partitions a fleet into two or three parts for 1, 10 and 60 s. No instance may declare a member of its own part gone;
// a part of at least two thirds must report Connected, and a single instance Deaf; and after the repair the fleet must become
// whole by itself.
func TestSplits(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts [][]int
	}{
		{"halves", [][]int{indexRange(0, 10), indexRange(10, 20)}},
		{"three", [][]int{indexRange(0, 10), indexRange(10, 16), indexRange(16, 20)}},
		{"one", [][]int{indexRange(0, 19), indexRange(19, 20)}},
	} {
		for _, duration := range []time.Duration{second, 10 * second, 60 * second} {
			w := formedWorld(t, 20, 3)
			w.partition(c.parts...)
			w.run(w.now + duration)
			for _, part := range c.parts {
				for _, a := range part {
					for _, b := range part {
						if _, gone := w.instances[a].gone[nameOf(b)]; gone {
							t.Errorf("%s, %v: %d has declared %d of its own part gone", c.name, duration, a, b)
						}
					}
				}
				if duration < 60*second {
					continue
				}
				count, want := w.contacts(part), Partial
				if 3*len(part) >= 2*len(w.instances) {
					want = Connected
				} else if len(part) == 1 {
					want = Deaf
				}
				// Other parts are not checked: members of the far side still count for a minute after they are gone.
				if count[want] != len(part) && want != Partial {
					t.Errorf("%s, %v: a part of %d reports %v", c.name, duration, len(part), count)
				}
			}
			w.repairLinks()
			took := w.runUntil(120*second, func() bool { return w.checkConverged() == nil })
			t.Logf("%s, %v: healed after %v", c.name, duration, took)
		}
	}
}

// TestOneWay cuts all links of one instance in one direction. An instance that no other hears must report Mute, one that hears no
// other Deaf, and neither may declare a member gone.
func TestOneWay(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(from, to int) bool
		want Contact
	}{
		{"not heard", func(from, to int) bool { return from == 7 }, Mute},
		{"not hearing", func(from, to int) bool { return to == 7 }, Deaf},
	} {
		w := formedWorld(t, 12, 5)
		w.cut = c.cut
		w.run(w.now + (DeafAfterPeriods+3)*second)
		if count := w.contacts([]int{7}); count[c.want] != 1 {
			t.Errorf("%s: wrong contact: %v", c.name, count)
		}
		w.run(w.now + 60*second)
		if len(w.instances[7].gone) > 0 {
			t.Errorf("%s: it has declared members gone: %v", c.name, w.instances[7].gone)
		}
		w.repairLinks()
		w.runUntil(120*second, func() bool { return w.checkConverged() == nil })
	}
}

// TestChain arranges a fleet as a chain in which each instance reaches only its neighbours: nobody may be declared gone, as signs
// of life are passed on. With a single cut link, all instances must know that link as broken, and no other, and forget it once
// it is repaired.
func TestChain(t *testing.T) {
	for seed := range int64(10) {
		w := formedWorld(t, 6, seed)
		w.cut = func(from, to int) bool { return from-to > 1 || to-from > 1 }
		w.run(w.now + 120*second)
		for _, i := range w.instances {
			if len(i.gone) > 0 {
				t.Errorf("seed %d: %d has declared members gone: %v", seed, i.index, i.gone)
			}
		}
	}
	w := formedWorld(t, 12, 8)
	w.cut = func(from, to int) bool { return from == 3 && to == 9 || from == 9 && to == 3 }
	w.run(w.now + 120*second)
	if w.statuses(3)[Alive] != 11 || w.statuses(9)[Alive] != 11 {
		t.Error("members declared not alive because of a single cut link: ", w.statuses(3), w.statuses(9))
	}
	// All instances know of the broken link, and of no other.
	for _, i := range w.instances {
		for _, link := range i.member.BrokenLinks() {
			if link != (BrokenLink{nameOf(3), nameOf(9)}) && link != (BrokenLink{nameOf(9), nameOf(3)}) {
				t.Errorf("%d reports a broken link that works: %v", i.index, link)
			}
		}
		want := 2
		if i.index == 3 || i.index == 9 { // it gets no report from the other end
			want = 1
		}
		if n := len(i.member.BrokenLinks()); n != want {
			t.Errorf("%d knows %d broken links", i.index, n)
		}
	}
	w.repairLinks()
	w.run(w.now + 60*second)
	for _, i := range w.instances {
		if links := i.member.BrokenLinks(); len(links) > 0 {
			t.Errorf("%d reports a broken link that works: %v", i.index, links)
		}
	}
}

// TestBad loses 30% of the messages and duplicates 20% for two minutes, then delays and reorders them by up to 2 s for one
// minute: nobody may be declared gone.
func TestBad(t *testing.T) {
	w := formedWorld(t, 20, 11)
	w.loss, w.duplication = 0.3, 0.2
	goneSeconds := 0
	for range 120 {
		w.run(w.now + second)
		for _, i := range w.instances {
			goneSeconds += len(i.gone)
		}
	}
	if goneSeconds > 0 {
		t.Errorf("30%% loss: running members were declared gone for %d member seconds", goneSeconds)
	}
	w.loss = 0
	w.delay = func() time.Duration { return time.Duration(w.rng.Int63n(int64(2 * second))) }
	w.run(w.now + 60*second)
	for _, i := range w.instances {
		if len(i.gone) > 0 {
			t.Errorf("delays: %d has declared members gone: %v", i.index, i.gone)
		}
	}
}

// TestStopped pauses an instance for 3 to 30 s, as SIGSTOP does. On resuming, it must know that its information is old, and it
// must accuse nobody, even if the messages that arrived during the pause were lost.
func TestStopped(t *testing.T) {
	w := formedWorld(t, 20, 13)
	for n, duration := range []time.Duration{3 * second, 10 * second, 30 * second, 3 * second, 4 * second, 5 * second, 10 * second,
		30 * second} {
		if n > 2 { // messages that arrive during the pause are lost
			w.pausedBuffer = 0
			w.run(w.now + time.Duration(n)*170*time.Millisecond)
		}
		w.instances[4].pause()
		w.run(w.now + duration)
		for _, info := range w.instances[4].member.Members(w.instances[4].clock()) { // before it has received anything
			if info.Age < duration {
				t.Fatalf("age is %v after a pause of %v", info.Age, duration)
			}
		}
		if c, _ := w.instances[4].member.Contact(w.instances[4].clock()); duration > DeafAfterPeriods*second && c != Deaf {
			t.Errorf("after a pause of %v it reports %v", duration, c)
		}
		w.instances[4].suspectedCount = 0
		w.instances[4].resume()
		w.run(w.now + 20*second)
		if len(w.instances[4].gone) > 0 || w.instances[4].suspectedCount > 0 {
			t.Errorf("after a pause of %v it has declared members gone: %v, and suspected %d", duration, w.instances[4].gone,
				w.instances[4].suspectedCount)
		}
		w.runUntil(60*second, func() bool { return w.checkConverged() == nil })
	}
}

// TestStoppedInDoubt pauses an instance while it suspects a member, until after the suspicion would have timed out. Meanwhile the
// member becomes reachable again. On resuming, the instance must not declare it gone, as it could not receive its signs of life.
func TestStoppedInDoubt(t *testing.T) {
	for seed := range int64(20) {
		w := formedWorld(t, 20, seed)
		w.cut = func(from, to int) bool { return from == 7 || to == 7 }
		i := w.instances[4]
		w.runUntil(30*second, func() bool { return i.member.peers[nameOf(7)].Status == Suspect })
		w.run(w.now + 2*second)
		if i.member.peers[nameOf(7)].Status != Suspect {
			continue
		}
		w.pausedBuffer = 0
		i.pause()
		w.repairLinks()
		w.run(i.member.peers[nameOf(7)].suspicionDeadline - i.skew + second)
		declared := len(i.gone)
		i.resume()
		w.run(w.now + 20*second)
		if len(i.gone) > 0 || declared > 0 || i.member.peers[nameOf(7)].Status != Alive {
			t.Errorf("seed %d: it has declared members gone: %v", seed, i.gone)
		}
		if i.wrongGoneCount > 0 {
			t.Errorf("seed %d: it declared a member gone that was reachable", seed)
		}
	}
}

// TestHalf kills half of a fleet at once and starts it again at once, then does a rolling restart while one instance crashes every
// second. Each time all must agree within a minute on who is alive.
func TestHalf(t *testing.T) {
	w := formedWorld(t, 40, 17)
	for n := 20; n < 40; n++ {
		w.instances[n].kill()
	}
	t.Log("failure of half of the fleet known after ", w.runUntil(60*second, func() bool { return w.checkConverged() == nil }))
	for n := 20; n < 40; n++ {
		w.instances[n].start()
	}
	t.Log("return of half of the fleet known after ", w.runUntil(60*second, func() bool { return w.checkConverged() == nil }))
	for step := range 10 { // rolling restart of a tenth per second; instance 1 crashes every second
		w.instances[1].kill()
		w.instances[1].start()
		for n := step * 4; n < step*4+4; n++ {
			w.instances[n].kill()
			w.instances[n].start()
		}
		w.run(w.now + second)
	}
	t.Log("all known after a rolling restart, within ", w.runUntil(60*second, func() bool { return w.checkConverged() == nil }))
}

// TestLeave has an instance leave: after 10 s at least 8 of the 11 others must have it as Left; the rest may suspect it or have
// declared it gone.
func TestLeave(t *testing.T) {
	w := formedWorld(t, 12, 19)
	w.instances[5].member.Leave(w.instances[5].clock())
	w.instances[5].kill()
	w.run(w.now + 10*second)
	if s := w.statuses(5); s[Left]+s[Suspect]+s[Gone] != 11 || s[Left] < 8 {
		t.Error(s)
	}
}

// TestNamesake starts a second instance under a name in use: the one with the earlier life must report that it was displaced.
func TestNamesake(t *testing.T) {
	w := formedWorld(t, 6, 23)
	twin := &instance{world: w, index: 2, life: 100, gone: map[Name]time.Duration{}}
	w.instances = append(w.instances, twin)
	w.byAddress["twin"] = twin
	twin.running = true
	twin.member = New(twin, Settings{Name: nameOf(2), Address: "twin", Generation: 101, Seeds: []Address{"i000"}}, 1)
	twin.life = 101
	twin.member.Start(twin.clock())
	w.run(w.now + 30*second)
	if !w.instances[2].displaced || twin.displaced {
		t.Error(w.instances[2].displaced, twin.displaced)
	}
}

// TestLiar has an instance report for 30 s that all others are gone, and that many made-up members are alive. No reachable member
// may be declared gone, the number of members kept stays limited, and members are suspected less than 0.8% of the time.
func TestLiar(t *testing.T) {
	w := formedWorld(t, 10, 29)
	liar := w.instances[9]
	suspected, pairs := 0, 0
	for round := range 300 {
		w.schedule(w.now+time.Duration(round)*100*time.Millisecond, func() {
			for n := range 9 {
				msg := Message{Kind: Ping, Seq: 1, From: liar.member.own, To: nameOf(n)}
				for other := range 9 {
					msg.Updates = append(msg.Updates, Record{Name: nameOf(other), Address: Address(nameOf(other)), Generation: 1, Incarnation: 1000, Status: Gone, AccusedBy: nameOf(8)})
				}
				for k := range 20 {
					msg.Updates = append(msg.Updates, Record{Name: Name(strings.Repeat("x", 1+k)) + nameOf(round), Address: "nowhere", Generation: 1, Status: Alive})
				}
				liar.Send(Address(nameOf(n)), msg)
			}
		})
	}
	for range 40 {
		w.run(w.now + second)
		for n := range 9 {
			for m := range 9 {
				if _, gone := w.instances[n].gone[nameOf(m)]; gone {
					t.Fatalf("%d has declared %d gone", n, m)
				}
			}
			for m := range 9 {
				if p := w.instances[n].member.peers[nameOf(m)]; p != nil && m != n {
					if pairs++; p.Status == Suspect {
						suspected++
					}
				}
			}
		}
	}
	if share := float64(suspected) / float64(pairs); share > 0.008 {
		t.Errorf("members were suspected %.3f of the time, more than allowed", share)
	} else {
		t.Logf("members were suspected %.4f of the time", share)
	}
}

// TestBadLarge loses 30% of the messages of a fleet of 100, which is too large for the ages of all members to fit into an
// answer: no reachable member may be declared gone.
func TestBadLarge(t *testing.T) {
	w := newWorld(t, 100, 5)
	w.unchecked = true
	w.run(40 * second)
	w.loss = 0.3
	w.run(w.now + 40*second)
	for _, i := range w.instances {
		if i.wrongGoneCount > 0 {
			t.Errorf("%d wrongly declared members gone: %d times", i.index, i.wrongGoneCount)
		}
	}
}

// TestBadSmall loses 30% of the messages of fifty fleets of eight for 40 s: no reachable member may be declared gone. In such a
// small fleet each instance has fewer others through which it can hear of a member.
func TestBadSmall(t *testing.T) {
	for seed := range int64(50) {
		w := formedWorld(t, 8, seed)
		w.loss, w.duplication = 0.3, 0.1
		w.run(w.now + 40*second)
		for _, i := range w.instances {
			if i.wrongGoneCount > 0 {
				t.Errorf("seed %d: %d wrongly declared members gone: %d times", seed, i.index, i.wrongGoneCount)
			}
		}
	}
}
