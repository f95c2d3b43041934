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

// SeenMember is what an instance says of another on its status socket.
type MemberView struct {
	Name     string        `json:"name"`
	Life     int64         `json:"life"`
	Status   string        `json:"status"`
	Age      time.Duration `json:"age_ns"`
	HeardAge time.Duration `json:"hears_us_ns"`
}

// SeenFleet is what an instance says of its fleet.
type FleetView struct {
	Name    string       `json:"name"`
	Life    int64        `json:"life"`
	Contact string       `json:"contact"`
	Members []MemberView `json:"members"`
	Open    struct {
		Least   int `json:"at_least"`
		Fresh   int `json:"instances"`
		Unknown int `json:"unknown"`
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

// Of finds a member, or an empty one.
func (s FleetView) Member(name string) MemberView {
	for _, m := range s.Members {
		if m.Name == name {
			return m
		}
	}
	return MemberView{}
}

// Talkers are processes of the program that talk to one another over a mesh.
type MemberGroup struct {
	Processes []*Process
	Mesh      *relay.Mesh
	folder    string
	discovery *discovery.Discovery
	rng       *rand.Rand
	closed    atomic.Bool
}

// StartTalkers starts so many, with a period between probes. Close ends them.
func StartMembers(program string, count int, period time.Duration, seed int64) (t *MemberGroup, err error) {
	t = &MemberGroup{Mesh: relay.NewMesh(seed), rng: rand.New(rand.NewSource(seed))}
	defer func() {
		if err != nil {
			t.Close()
		}
	}()
	if t.folder, err = os.MkdirTemp("", "talk"); err != nil {
		return t, err
	}
	if t.discovery, err = discovery.Start("127.0.0.1:0"); err != nil {
		return t, err
	}
	t.discovery.Tell(true)
	key := filepath.Join(t.folder, "key")
	if err = os.WriteFile(key, []byte("a key that all instances share\n"), 0o600); err != nil {
		return t, err
	}
	var advertised []string
	var listens []string
	for n := range count {
		listen, err := FreeAddress()
		if err != nil {
			return t, err
		}
		meshAddress, err := FreeAddress()
		if err != nil {
			return t, err
		}
		memberAddress := strings.Replace(listen, ":"+strconv.Itoa(listenPort), ":7946", 1)
		address, err := t.Mesh.Add(MemberName(n), meshAddress, memberAddress)
		if err != nil {
			return t, err
		}
		listens, advertised = append(listens, listen), append(advertised, address)
	}
	options := Options{Controllers: count, Cores: 1, Rooms: 1}
	for n := range count {
		file := filepath.Join(t.folder, MemberName(n)+".conf")
		seeds := strconv.Quote(advertised[0])
		if count > 1 {
			seeds += ", " + strconv.Quote(advertised[1])
		}
		text := fmt.Sprintf("[fleet \"lab\"]\nadvertise = %q\nseeds = %s\nkey-file = %q\nperiod = %dms\nstatus = %q\n", advertised[n],
			seeds, key, period.Milliseconds(), t.statusSocket(n))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return t, err
		}
		t.Processes = append(t.Processes, NewProcess(program, t.folder, Setup{Name: MemberName(n), Listen: listens[n], Seed: "1",
			Discovery: t.discovery.Address(), Known: json.RawMessage(`{"n":0,"events":[]}`), Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
			Settings: settingsJSON(options, plainKinds(), n, n%max(options.Rooms, 1))}, "serve", "--operators", file))
	}
	return t, t.Each(func(n int) error { return t.Processes[n].Start(30 * time.Second) })
}

// TalkerName is the name of the n-th.
func MemberName(n int) string { return fmt.Sprintf("t%03d", n) }

func (t *MemberGroup) statusSocket(n int) string {
	return filepath.Join(t.folder, MemberName(n)+".sock")
}

// Each does something with all, some at a time.
func (t *MemberGroup) Each(do func(n int) error) error {
	errs := make([]error, len(t.Processes))
	slots := make(chan bool, 2*runtime.NumCPU())
	var running sync.WaitGroup
	for n := range t.Processes {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- true
			errs[n] = do(n)
			<-slots
		}()
	}
	running.Wait()
	return errors.Join(errs...)
}

// Says asks one what it knows.
func (t *MemberGroup) View(n int) (s FleetView, err error) {
	err = status.Ask(t.statusSocket(n), &s)
	return s, err
}

// Views asks a part of them.
func (t *MemberGroup) Views(members []int) (all []FleetView) {
	views := make([]FleetView, len(t.Processes))
	_ = t.Each(func(n int) error {
		if slices.Contains(members, n) {
			views[n], _ = t.View(n)
		}
		return nil
	})
	for _, n := range members {
		all = append(all, views[n])
	}
	return all
}

// Counts tells for how many of a part of them each of some others has a status.
func (t *MemberGroup) CountStatuses(observers, subjects []int) map[string]int {
	count := map[string]int{}
	for _, s := range t.Views(observers) {
		for _, n := range subjects {
			if name := MemberName(n); name != s.Name {
				count[s.Member(name).Status]++
			}
		}
	}
	return count
}

// Until waits until those of a part hold all of some others for a status, and gives how long that took.
func (t *MemberGroup) AwaitStatus(timeout time.Duration, observers, subjects []int, want string) (took time.Duration, err error) {
	start := time.Now()
	for {
		count := t.CountStatuses(observers, subjects)
		if count[want] > 0 && len(count) == 1 {
			return time.Since(start), nil
		}
		if time.Since(start) > timeout || t.closed.Load() {
			return 0, fmt.Errorf("after %v: %v", time.Since(start), count)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close ends all.
func (t *MemberGroup) Close() {
	t.closed.Store(true)
	_ = t.Each(func(n int) error { t.Processes[n].Kill(); return nil })
	t.Mesh.Close()
	if t.discovery != nil {
		t.discovery.Close()
	}
	_ = os.RemoveAll(t.folder)
}

// Talk is what a run of instances that talk shows.
type Talk struct {
	Instances  int           `json:"instances"`
	Period     time.Duration `json:"period_ns"`
	Formed     time.Duration `json:"formed_ns"`    // from the last start until all hold all for alive
	AgeHalf    time.Duration `json:"age_half_ns"`  // of words, over all pairs, in calm
	AgeMost    time.Duration `json:"age_p99_ns"`   // 99 of 100
	Datagrams  float64       `json:"datagrams_ps"` // a second and instance
	Bytes      float64       `json:"bytes_ps"`
	CPU        float64       `json:"cpu_share"` // of one core
	Memory     float64       `json:"memory_mb"`
	LossFirst  time.Duration `json:"loss_first_ns"` // from a kill until one knows, and until half and all do
	LossHalf   time.Duration `json:"loss_half_ns"`
	LossLast   time.Duration `json:"loss_last_ns"`
	WrongCalm  int           `json:"wrong_calm"` // pairs found gone that are there, over all looks
	WrongLossy int           `json:"wrong_lossy"`
	Healed     time.Duration `json:"healed_ns"` // after a split in halves
}

// PlayTalk starts so many instances, looks at them in calm, kills one, loses three datagrams in ten, and splits them.
func PlayTalk(ctx context.Context, program string, count int, period time.Duration, seed int64, say func(string, ...any)) (r Talk, err error) {
	t, err := StartMembers(program, count, period, seed)
	if err != nil {
		return r, err
	}
	stopOnCancel := context.AfterFunc(ctx, t.Close) // what waits for them then finds nobody
	defer t.Close()
	defer stopOnCancel()
	all := make([]int, count)
	for n := range all {
		all[n] = n
	}
	timeout := time.Duration(60+count) * period
	r.Instances, r.Period = count, period
	if r.Formed, err = t.AwaitStatus(timeout, all, all, "alive"); err != nil {
		return r, cmp.Or(ctx.Err(), err)
	}
	say("all hold all for alive after %v", r.Formed)
	calm := 20 * period
	time.Sleep(calm) // words of the start are older than those of calm
	before := t.totalUsage()
	datagrams, bytes := t.Mesh.Forwarded()
	from := time.Now()
	time.Sleep(calm)
	instanceSeconds := time.Since(from).Seconds() * float64(count)
	datagramsAfter, bytesAfter := t.Mesh.Forwarded()
	r.Datagrams, r.Bytes = float64(datagramsAfter-datagrams)/instanceSeconds, float64(bytesAfter-bytes)/instanceSeconds
	after := t.totalUsage()
	r.CPU, r.Memory = (after.cpu-before.cpu).Seconds()/instanceSeconds, after.memoryMB/float64(count)
	var ages []time.Duration
	for _, s := range t.Views(all) {
		for _, m := range s.Members {
			ages = append(ages, m.Age)
			if m.Status == "gone" {
				r.WrongCalm++
			}
		}
	}
	slices.Sort(ages)
	if len(ages) > 0 {
		r.AgeHalf, r.AgeMost = ages[len(ages)/2], ages[len(ages)*99/100]
	}
	killed := count / 2
	others := slices.Concat(all[:killed], all[killed+1:])
	say("one of them is killed")
	t.Processes[killed].Kill()
	from = time.Now()
	for detected := 0; detected < len(others) && time.Since(from) < timeout; time.Sleep(period / 10) {
		detected = t.CountStatuses(others, []int{killed})["gone"]
		now := time.Since(from)
		if detected > 0 && r.LossFirst == 0 {
			r.LossFirst = now
		}
		if 2*detected >= len(others) && r.LossHalf == 0 {
			r.LossHalf = now
		}
		r.LossLast = now
	}
	say("three datagrams in ten are lost")
	t.Mesh.SetLinks(func(_, _ string) relay.Link { return relay.Link{Loss: 0.3} })
	for until := time.Now().Add(2 * calm); time.Now().Before(until); time.Sleep(period) {
		r.WrongLossy += t.CountStatuses(others, others)["gone"]
	}
	say("they are split in halves")
	t.Mesh.SetLinks(func(from, to string) relay.Link {
		return relay.Link{Silent: (from < MemberName(killed)) != (to < MemberName(killed))}
	})
	time.Sleep(calm)
	t.Mesh.Heal()
	if r.Healed, err = t.AwaitStatus(timeout, others, others, "alive"); ctx.Err() != nil {
		err = ctx.Err()
	}
	return r, err
}

// usedBy is what all instances together have used.
type resourceUsage struct {
	cpu      time.Duration
	memoryMB float64
}

func (t *MemberGroup) totalUsage() (total resourceUsage) {
	for _, p := range t.Processes {
		if cpu, memory, err := usage(p.PID()); err == nil {
			total.cpu, total.memoryMB = total.cpu+cpu, total.memoryMB+memory
		}
	}
	return total
}
