package fleet

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"yarrowbarrow/lab/fleet/relay"
	"yarrowbarrow/lab/load"
	"yarrowbarrow/lab/standin/discovery"
	"yarrowbarrow/lab/standin/engine"
)

// quick is a period between probes that has a test over in seconds; waits follow it.
const quick = 200 * time.Millisecond

func talkers(t *testing.T, many int) *MemberGroup {
	t.Helper()
	all, err := StartMembers(program, many, quick, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range all.Processes {
				t.Log(p.Log())
			}
		}
		all.Close()
	})
	all.await(t, numbers(0, many), numbers(0, many), "alive")
	return all
}

func numbers(from, to int) (all []int) {
	for n := from; n < to; n++ {
		all = append(all, n)
	}
	return all
}

func (t *MemberGroup) await(tt *testing.T, by, of []int, want string) time.Duration {
	tt.Helper()
	took, err := t.AwaitStatus(patience, by, of, want)
	if err != nil {
		tt.Fatalf("%v hold %v: %v", by, of, err)
	}
	return took
}

// contact waits until all of a part say of themselves what they should.
func (t *MemberGroup) contact(tt *testing.T, of []int, want string) {
	tt.Helper()
	for from := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		views := t.Views(of)
		if !slices.ContainsFunc(views, func(s FleetView) bool { return s.Contact != want }) {
			return
		}
		if time.Since(from) > patience {
			tt.Fatalf("%v are not all %s: %+v", of, want, views)
		}
	}
}

// TestMembers: five processes find each other over UDP, one is killed and the four say so; it comes back as a new life.
func TestMembers(t *testing.T) {
	t.Parallel()
	all := talkers(t, 5)
	others := []int{0, 1, 2, 4}
	before := all.Views([]int{0})[0].Member(MemberName(3)).Incarnation
	all.Processes[3].Kill()
	t.Log("known to be gone after", all.await(t, others, []int{3}, "gone"))
	if count := all.CountStatuses(others, others); count["alive"] != 12 {
		t.Error("others are accused: ", count)
	}
	if err := all.Processes[3].Start(patience); err != nil {
		t.Fatal(err)
	}
	t.Log("back after", all.await(t, numbers(0, 5), numbers(0, 5), "alive"))
	if now := all.Views([]int{0})[0].Member(MemberName(3)).Incarnation; now <= before {
		t.Errorf("life %d after %d", now, before)
	}
	_ = all.Processes[2].Signal(syscall.SIGTERM)
	all.await(t, []int{0, 1, 3, 4}, []int{2}, "left")
}

// TestMembersCount: jobs that are open at two of four instances, at an engine that answers none, are counted by all, and
// those of one that is killed no longer.
func TestMembersCount(t *testing.T) {
	t.Parallel()
	all := talkers(t, 4)
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	e, err := engine.Start(address, engine.Options{Cores: 64})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Die()
	e.Hang(true)
	all.discovery.Tell(true, discovery.Host{Host: "e", Dial: address, Site: "room-0", Class: "std", Health: "active"})
	time.Sleep(2 * time.Second) // until all have called for the list again
	for n, jobs := range []int{2, 2} {
		c, err := load.Dial(all.Processes[n].Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for job := range jobs {
			j := load.Job{Type: "report", ID: fmt.Sprintf("%08x%08x", n, job), Wait: 10 * time.Second, Statement: "select 1"}
			if err := c.Ask(j, func(load.Answer, error) {}); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts := func(of []int, want, instances int) {
		t.Helper()
		for from := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			views := all.Views(of)
			if !slices.ContainsFunc(views, func(s FleetView) bool {
				return s.Open.AtLeast != want || s.Open.Instances != instances || s.Open.Unknown > 0
			}) {
				return
			}
			if time.Since(from) > patience {
				t.Fatalf("wanted %d of %d: %+v", want, instances, views)
			}
		}
	}
	counts(numbers(0, 4), 4, 4)
	all.Processes[1].Kill()
	counts([]int{0, 2, 3}, 2, 3)
}

// TestMembersSplit: two sides that don't hear each other hold the other for gone and nobody of their own, the lone one says
// that it is deaf and holds nobody for gone; all heal by themselves.
func TestMembersSplit(t *testing.T) {
	t.Parallel()
	all := talkers(t, 8)
	left, right, lone := numbers(0, 4), numbers(4, 7), []int{7}
	side := func(name string) int {
		for n, s := range [][]int{left, right, lone} {
			for _, i := range s {
				if MemberName(i) == name {
					return n
				}
			}
		}
		return -1
	}
	all.Mesh.SetLinks(func(from, to string) relay.Link { return relay.Link{Silent: side(from) != side(to)} })
	all.await(t, left, slices.Concat(right, lone), "gone")
	all.await(t, right, slices.Concat(left, lone), "gone")
	all.contact(t, lone, "deaf")
	all.contact(t, slices.Concat(left, right), "partly")
	for _, s := range [][]int{left, right} {
		if count := all.CountStatuses(s, s); len(count) != 1 || count["alive"] == 0 {
			t.Errorf("%v hold of their own side: %v", s, count)
		}
	}
	if count := all.CountStatuses(lone, numbers(0, 7)); count["gone"] > 0 {
		t.Error("the lone one holds for gone: ", count)
	}
	all.Mesh.Heal()
	t.Log("healed after", all.await(t, numbers(0, 8), numbers(0, 8), "alive"))
	all.contact(t, numbers(0, 8), "connected")
}

// TestMembersOneWay: one that is not heard says that it is mute, and accuses nobody; the others miss it.
func TestMembersOneWay(t *testing.T) {
	t.Parallel()
	all := talkers(t, 5)
	all.Mesh.SetLinks(func(from, _ string) relay.Link { return relay.Link{Silent: from == MemberName(4)} })
	all.contact(t, []int{4}, "mute")
	all.await(t, numbers(0, 4), []int{4}, "gone")
	if count := all.CountStatuses([]int{4}, numbers(0, 4)); count["gone"] > 0 {
		t.Error("the one that is not heard holds for gone: ", count)
	}
	all.Mesh.Heal()
	all.await(t, numbers(0, 5), numbers(0, 5), "alive")
}

// TestMembersStopped: one that stood still accuses nobody when it goes on, and its words of others are as old as they are.
func TestMembersStopped(t *testing.T) {
	t.Parallel()
	all := talkers(t, 5)
	_ = all.Processes[1].Signal(syscall.SIGSTOP)
	all.await(t, []int{0, 2, 3, 4}, []int{1}, "gone")
	_ = all.Processes[1].Signal(syscall.SIGCONT)
	for until := time.Now().Add(20 * quick); time.Now().Before(until); time.Sleep(quick / 4) {
		if count := all.CountStatuses([]int{1}, []int{0, 2, 3, 4}); count["gone"]+count["suspect"] > 0 {
			t.Fatal("it accuses: ", count)
		}
	}
	all.await(t, numbers(0, 5), numbers(0, 5), "alive")
}

// TestMembersBad: three in ten datagrams lost, some doubled and late: nobody is held for gone, by anybody, for seconds.
func TestMembersBad(t *testing.T) {
	t.Parallel()
	all := talkers(t, 8)
	all.Mesh.SetLinks(func(_, _ string) relay.Link {
		return relay.Link{Loss: 0.3, Duplicate: 0.1, Jitter: quick / 2}
	})
	for until := time.Now().Add(40 * quick); time.Now().Before(until); time.Sleep(quick) {
		if count := all.CountStatuses(numbers(0, 8), numbers(0, 8)); count["gone"] > 0 {
			t.Fatal(count)
		}
	}
}

// TestMembersKey: one with another key is no member.
func TestMembersKey(t *testing.T) {
	t.Parallel()
	all := talkers(t, 3)
	stranger, err := StartMembers(program, 1, quick, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	if s, err := stranger.View(0); err != nil || s.Contact != "alone" {
		t.Error(s, err)
	}
	if s, err := all.View(0); err != nil || len(s.Members) != 2 {
		t.Error(s, err)
	}
}

// TestMembersStarved: one that runs a twentieth of the time accuses nobody of being gone, and is not held for gone.
func TestMembersStarved(t *testing.T) {
	t.Parallel()
	all := talkers(t, 5)
	p, over := all.Processes[2], time.Now().Add(40*quick)
	for time.Now().Before(over) {
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(95 * time.Millisecond)
		_ = p.Signal(syscall.SIGCONT)
		time.Sleep(5 * time.Millisecond)
		if count := all.CountStatuses([]int{0, 1, 3, 4}, numbers(0, 5)); count["gone"] > 0 {
			t.Fatal(count)
		}
	}
	all.await(t, numbers(0, 5), numbers(0, 5), "alive")
}
