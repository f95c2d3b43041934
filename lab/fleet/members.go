package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yarrowbarrow/internal/status"
	"yarrowbarrow/lab/fleet/relay"
	"yarrowbarrow/lab/standin/discovery"
)

// MemberView is what an instance reports of another member on its status socket.
type MemberView struct {
	Name        string        `json:"name"`
	Incarnation int64         `json:"life"`
	Status      string        `json:"status"`
	Age         time.Duration `json:"age_ns"`
	HearsUs     time.Duration `json:"hears_us_ns"`
}

// FleetView is what an instance reports of its fleet on its status socket.
type FleetView struct {
	Name        string       `json:"name"`
	Incarnation int64        `json:"life"`
	Contact     string       `json:"contact"`
	Members     []MemberView `json:"members"`
	Open        struct {
		AtLeast   int `json:"at_least"`
		Instances int `json:"instances"`
		Unknown   int `json:"unknown"`
	} `json:"open_jobs"`
	Counts struct {
		Sent      int64 `json:"Sent"`
		Came      int64 `json:"Came"`
		SentBytes int64 `json:"SentBytes"`
		CameBytes int64 `json:"CameBytes"`
		Bounded   int64 `json:"Bounded"`
		Refused   int64 `json:"Refused"`
		Streams   int64 `json:"Streams"`
	} `json:"counts"`
}

// Member returns the view of the member with a name, or an empty one if it is not known.
func (v FleetView) Member(name string) MemberView {
	for _, m := range v.Members {
		if m.Name == name {
			return m
		}
	}
	return MemberView{}
}

// MemberGroup is a group of processes of the program that exchange membership messages over a mesh.
type MemberGroup struct {
	Processes []*Process
	Mesh      *relay.Mesh
	folder    string
	discovery *discovery.Discovery
	rng       *rand.Rand
	closed    atomic.Bool
}

// StartMembers starts count processes with a period between their probes. Close ends them. On an error everything has been closed.
func StartMembers(program string, count int, period time.Duration, seed int64) (g *MemberGroup, err error) {
	g = &MemberGroup{Mesh: relay.NewMesh(seed), rng: rand.New(rand.NewSource(seed))}
	defer func() {
		if err != nil {
			g.Close()
		}
	}()
	if g.folder, err = os.MkdirTemp("", "talk"); err != nil {
		return g, err
	}
	if g.discovery, err = discovery.Start("127.0.0.1:0"); err != nil {
		return g, err
	}
	g.discovery.Publish(true)
	keyFile := filepath.Join(g.folder, "key")
	if err = os.WriteFile(keyFile, []byte("a key that all instances share\n"), 0o600); err != nil {
		return g, err
	}
	var advertised []string
	var listenAddresses []string
	for n := range count {
		listenAddress, err := FreeAddress()
		if err != nil {
			return g, err
		}
		meshAddress, err := FreeAddress()
		if err != nil {
			return g, err
		}
		memberAddress := strings.Replace(listenAddress, ":"+strconv.Itoa(listenPort), ":7946", 1)
		address, err := g.Mesh.Add(MemberName(n), meshAddress, memberAddress)
		if err != nil {
			return g, err
		}
		listenAddresses, advertised = append(listenAddresses, listenAddress), append(advertised, address)
	}
	options := Options{Controllers: count, Cores: 1, Rooms: 1}
	for n := range count {
		file := filepath.Join(g.folder, MemberName(n)+".conf")
		seeds := strconv.Quote(advertised[0])
		if count > 1 {
			seeds += ", " + strconv.Quote(advertised[1])
		}
		config := fmt.Sprintf("[fleet \"lab\"]\nadvertise = %q\nseeds = %s\nkey-file = %q\nperiod = %dms\nstatus = %q\n", advertised[n],
			seeds, keyFile, period.Milliseconds(), g.statusSocket(n))
		if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
			return g, err
		}
		g.Processes = append(g.Processes, NewProcess(program, g.folder, Setup{Name: MemberName(n), Listen: listenAddresses[n], Seed: "1",
			Discovery: g.discovery.Address(), Known: json.RawMessage(`{"n":0,"events":[]}`), Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
			Settings: settingsJSON(options, plainKinds(), n, n%max(options.Rooms, 1))}, "serve", "--operators", file))
	}
	return g, g.Each(func(n int) error { return g.Processes[n].Start(30 * time.Second) })
}

// MemberName returns the name of the n-th member.
func MemberName(n int) string { return fmt.Sprintf("t%03d", n) }

// statusSocket returns the path of a member's status socket.
func (g *MemberGroup) statusSocket(member int) string {
	return filepath.Join(g.folder, MemberName(member)+".sock")
}

// Each runs an action for every member, a limited number at a time, and returns the joined errors.
func (g *MemberGroup) Each(action func(member int) error) error {
	errs := make([]error, len(g.Processes))
	slots := make(chan bool, 2*runtime.NumCPU())
	var running sync.WaitGroup
	for member := range g.Processes {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- true
			errs[member] = action(member)
			<-slots
		}()
	}
	running.Wait()
	return errors.Join(errs...)
}

// View queries the status socket of a member.
func (g *MemberGroup) View(member int) (view FleetView, err error) {
	err = status.Query(g.statusSocket(member), &view)
	return view, err
}

// Views returns the views of the given members. It is empty for one that does not answer.
func (g *MemberGroup) Views(members []int) (all []FleetView) {
	views := make([]FleetView, len(g.Processes))
	_ = g.Each(func(n int) error {
		if slices.Contains(members, n) {
			views[n], _ = g.View(n)
		}
		return nil
	})
	for _, n := range members {
		all = append(all, views[n])
	}
	return all
}

// CountStatuses returns by status how many pairs of an observer and another member among subjects there are in which the observer reports
// that status for it. An unknown member counts under "".
func (g *MemberGroup) CountStatuses(observers, subjects []int) map[string]int {
	counts := map[string]int{}
	for _, view := range g.Views(observers) {
		for _, subject := range subjects {
			if name := MemberName(subject); name != view.Name {
				counts[view.Member(name).Status]++
			}
		}
	}
	return counts
}

// AwaitStatus waits until all observers report the same status for all subjects, and returns how long that took. It fails after timeout
// or when the group is closed.
func (g *MemberGroup) AwaitStatus(timeout time.Duration, observers, subjects []int, status string) (took time.Duration, err error) {
	start := time.Now()
	for {
		counts := g.CountStatuses(observers, subjects)
		if counts[status] > 0 && len(counts) == 1 {
			return time.Since(start), nil
		}
		if time.Since(start) > timeout || g.closed.Load() {
			return 0, fmt.Errorf("statuses after %v: %v", time.Since(start), counts)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close kills the processes and removes their files.
func (g *MemberGroup) Close() {
	g.closed.Store(true)
	_ = g.Each(func(n int) error { g.Processes[n].Kill(); return nil })
	g.Mesh.Close()
	if g.discovery != nil {
		g.discovery.Close()
	}
	_ = os.RemoveAll(g.folder)
}

// MembershipResult holds the measurements of MeasureMembership, a run of instances that exchange membership messages.
type MembershipResult struct {
	Instances      int           `json:"instances"`
	Period         time.Duration `json:"period_ns"`
	Formed         time.Duration `json:"formed_ns"`    // from the last start until every instance reports all others alive
	AgeMedian      time.Duration `json:"age_half_ns"`  // age of what an instance knows of another without faults: median over all pairs
	AgeP99         time.Duration `json:"age_p99_ns"`   // 99th percentile
	Datagrams      float64       `json:"datagrams_ps"` // per second and instance, as Bytes
	Bytes          float64       `json:"bytes_ps"`
	CPU            float64       `json:"cpu_share"`     // of one core, per instance
	Memory         float64       `json:"memory_mb"`     // resident, mean of the instances
	DetectedFirst  time.Duration `json:"loss_first_ns"` // from a kill until the first instance detects it, until half of them and until all do
	DetectedHalf   time.Duration `json:"loss_half_ns"`
	DetectedAll    time.Duration `json:"loss_last_ns"`
	FalseGone      int           `json:"wrong_calm"`  // pairs in which a live instance is reported gone, without faults
	FalseGoneLossy int           `json:"wrong_lossy"` // the same at 30% loss, summed over all queries
	Healed         time.Duration `json:"healed_ns"`   // from the end of a split into halves until all report all others alive
}

// MeasureMembership starts count instances and measures them without faults, then kills one, then loses 30% of datagrams, and then splits the
// instances into halves.
func MeasureMembership(ctx context.Context, program string, count int, period time.Duration, seed int64, say func(string, ...any)) (r MembershipResult, err error) {
	group, err := StartMembers(program, count, period, seed)
	if err != nil {
		return r, err
	}
	stopOnCancel := context.AfterFunc(ctx, group.Close) // pending waits then fail
	defer group.Close()
	defer stopOnCancel()
	all := make([]int, count)
	for n := range all {
		all[n] = n
	}
	timeout := time.Duration(60+count) * period
	r.Instances, r.Period = count, period
	if r.Formed, err = group.AwaitStatus(timeout, all, all, "alive"); err != nil {
		return r, cmp.Or(ctx.Err(), err)
	}
	say("every instance reports all others alive after %v", r.Formed)
	calmLength := 20 * period
	time.Sleep(calmLength) // lets what was learned during the start age out of the measurement
	before := group.totalUsage()
	datagrams, bytes := group.Mesh.Forwarded()
	start := time.Now()
	time.Sleep(calmLength)
	instanceSeconds := time.Since(start).Seconds() * float64(count)
	datagramsAfter, bytesAfter := group.Mesh.Forwarded()
	r.Datagrams, r.Bytes = float64(datagramsAfter-datagrams)/instanceSeconds, float64(bytesAfter-bytes)/instanceSeconds
	after := group.totalUsage()
	r.CPU, r.Memory = (after.cpu-before.cpu).Seconds()/instanceSeconds, after.memoryMB/float64(count)
	var ages []time.Duration
	for _, s := range group.Views(all) {
		for _, m := range s.Members {
			ages = append(ages, m.Age)
			if m.Status == "gone" {
				r.FalseGone++
			}
		}
	}
	slices.Sort(ages)
	if len(ages) > 0 {
		r.AgeMedian, r.AgeP99 = ages[len(ages)/2], ages[len(ages)*99/100]
	}
	killed := count / 2
	others := slices.Concat(all[:killed], all[killed+1:])
	say("killing one instance")
	group.Processes[killed].Kill()
	start = time.Now()
	for detected := 0; detected < len(others) && time.Since(start) < timeout; time.Sleep(period / 10) {
		detected = group.CountStatuses(others, []int{killed})["gone"]
		now := time.Since(start)
		if detected > 0 && r.DetectedFirst == 0 {
			r.DetectedFirst = now
		}
		if 2*detected >= len(others) && r.DetectedHalf == 0 {
			r.DetectedHalf = now
		}
		r.DetectedAll = now
	}
	say("losing three in ten datagrams")
	group.Mesh.SetLinks(func(_, _ string) relay.Link { return relay.Link{Loss: 0.3} })
	for until := time.Now().Add(2 * calmLength); time.Now().Before(until); time.Sleep(period) {
		r.FalseGoneLossy += group.CountStatuses(others, others)["gone"]
	}
	say("splitting the instances into halves")
	group.Mesh.SetLinks(func(from, to string) relay.Link {
		return relay.Link{Silent: (from < MemberName(killed)) != (to < MemberName(killed))}
	})
	time.Sleep(calmLength)
	group.Mesh.Heal()
	if r.Healed, err = group.AwaitStatus(timeout, others, others, "alive"); ctx.Err() != nil {
		err = ctx.Err()
	}
	return r, err
}

// resourceUsage is the total of all instances.
type resourceUsage struct {
	cpu      time.Duration
	memoryMB float64
}

// totalUsage returns the usage of all running instances.
func (g *MemberGroup) totalUsage() (total resourceUsage) {
	for _, p := range g.Processes {
		if cpu, memory, err := usage(p.PID()); err == nil {
			total.cpu, total.memoryMB = total.cpu+cpu, total.memoryMB+memory
		}
	}
	return total
}
