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
type SeenMember struct {
	Name   string        `json:"name"`
	Life   int64         `json:"life"`
	Status string        `json:"status"`
	Age    time.Duration `json:"age_ns"`
	Hears  time.Duration `json:"hears_us_ns"`
}

// SeenFleet is what an instance says of its fleet.
type SeenFleet struct {
	Name    string       `json:"name"`
	Life    int64        `json:"life"`
	Contact string       `json:"contact"`
	Members []SeenMember `json:"members"`
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
func (s SeenFleet) Of(name string) SeenMember {
	for _, m := range s.Members {
		if m.Name == name {
			return m
		}
	}
	return SeenMember{}
}

// Talkers are processes of the program that talk to one another over a mesh.
type Talkers struct {
	Processes []*Process
	Mesh      *relay.Mesh
	folder    string
	discovery *discovery.Discovery
	rng       *rand.Rand
	closed    atomic.Bool
}

// StartTalkers starts so many, with a period between probes. Close ends them.
func StartTalkers(program string, many int, period time.Duration, seed int64) (t *Talkers, err error) {
	t = &Talkers{Mesh: relay.NewMesh(seed), rng: rand.New(rand.NewSource(seed))}
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
	var told []string
	var listens []string
	for n := range many {
		listen, err := FreeAddress()
		if err != nil {
			return t, err
		}
		front, err := FreeAddress()
		if err != nil {
			return t, err
		}
		own := strings.Replace(listen, ":"+strconv.Itoa(listenPort), ":7946", 1)
		at, err := t.Mesh.Add(TalkerName(n), front, own)
		if err != nil {
			return t, err
		}
		listens, told = append(listens, listen), append(told, at)
	}
	options := Options{Controllers: many, Cores: 1, Rooms: 1}
	for n := range many {
		file := filepath.Join(t.folder, TalkerName(n)+".conf")
		seeds := strconv.Quote(told[0])
		if many > 1 {
			seeds += ", " + strconv.Quote(told[1])
		}
		text := fmt.Sprintf("[fleet \"lab\"]\nadvertise = %q\nseeds = %s\nkey-file = %q\nperiod = %dms\nstatus = %q\n", told[n],
			seeds, key, period.Milliseconds(), t.socket(n))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return t, err
		}
		t.Processes = append(t.Processes, NewProcess(program, t.folder, Setup{Name: TalkerName(n), Listen: listens[n], Seed: "1",
			Discovery: t.discovery.Address(), Known: json.RawMessage(`{"n":0,"events":[]}`), Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
			Settings: settings(options, plainKinds(), n, n%max(options.Rooms, 1))}, "serve", "--operators", file))
	}
	return t, t.Each(func(n int) error { return t.Processes[n].Start(30 * time.Second) })
}

// TalkerName is the name of the n-th.
func TalkerName(n int) string { return fmt.Sprintf("t%03d", n) }

func (t *Talkers) socket(n int) string { return filepath.Join(t.folder, TalkerName(n)+".sock") }

// Each does something with all, some at a time.
func (t *Talkers) Each(do func(n int) error) error {
	errs := make([]error, len(t.Processes))
	turns := make(chan bool, 2*runtime.NumCPU())
	var all sync.WaitGroup
	for n := range t.Processes {
		all.Add(1)
		go func() {
			defer all.Done()
			turns <- true
			errs[n] = do(n)
			<-turns
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}

// Says asks one what it knows.
func (t *Talkers) Says(n int) (s SeenFleet, err error) {
	err = status.Ask(t.socket(n), &s)
	return s, err
}

// Views asks a part of them.
func (t *Talkers) Views(of []int) (all []SeenFleet) {
	views := make([]SeenFleet, len(t.Processes))
	_ = t.Each(func(n int) error {
		if slices.Contains(of, n) {
			views[n], _ = t.Says(n)
		}
		return nil
	})
	for _, n := range of {
		all = append(all, views[n])
	}
	return all
}

// Counts tells for how many of a part of them each of some others has a status.
func (t *Talkers) Counts(by, of []int) map[string]int {
	count := map[string]int{}
	for _, s := range t.Views(by) {
		for _, n := range of {
			if name := TalkerName(n); name != s.Name {
				count[s.Of(name).Status]++
			}
		}
	}
	return count
}

// Until waits until those of a part hold all of some others for a status, and gives how long that took.
func (t *Talkers) Until(most time.Duration, by, of []int, want string) (took time.Duration, err error) {
	from := time.Now()
	for {
		count := t.Counts(by, of)
		if count[want] > 0 && len(count) == 1 {
			return time.Since(from), nil
		}
		if time.Since(from) > most || t.closed.Load() {
			return 0, fmt.Errorf("after %v: %v", time.Since(from), count)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close ends all.
func (t *Talkers) Close() {
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
func PlayTalk(ctx context.Context, program string, many int, period time.Duration, seed int64, say func(string, ...any)) (r Talk, err error) {
	t, err := StartTalkers(program, many, period, seed)
	if err != nil {
		return r, err
	}
	over := context.AfterFunc(ctx, t.Close) // what waits for them then finds nobody
	defer t.Close()
	defer over()
	all := make([]int, many)
	for n := range all {
		all[n] = n
	}
	patience := time.Duration(60+many) * period
	r.Instances, r.Period = many, period
	if r.Formed, err = t.Until(patience, all, all, "alive"); err != nil {
		return r, cmp.Or(ctx.Err(), err)
	}
	say("all hold all for alive after %v", r.Formed)
	calm := 20 * period
	time.Sleep(calm) // words of the start are older than those of calm
	before := t.used()
	datagrams, bytes := t.Mesh.Passed()
	from := time.Now()
	time.Sleep(calm)
	length := time.Since(from).Seconds() * float64(many)
	d, b := t.Mesh.Passed()
	r.Datagrams, r.Bytes = float64(d-datagrams)/length, float64(b-bytes)/length
	after := t.used()
	r.CPU, r.Memory = (after.cpu-before.cpu).Seconds()/length, after.memory/float64(many)
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
	struck := many / 2
	others := slices.Concat(all[:struck], all[struck+1:])
	say("one of them is killed")
	t.Processes[struck].Kill()
	from = time.Now()
	for known := 0; known < len(others) && time.Since(from) < patience; time.Sleep(period / 10) {
		known = t.Counts(others, []int{struck})["gone"]
		now := time.Since(from)
		if known > 0 && r.LossFirst == 0 {
			r.LossFirst = now
		}
		if 2*known >= len(others) && r.LossHalf == 0 {
			r.LossHalf = now
		}
		r.LossLast = now
	}
	say("three datagrams in ten are lost")
	t.Mesh.Between(func(_, _ string) relay.Link { return relay.Link{Loss: 0.3} })
	for until := time.Now().Add(2 * calm); time.Now().Before(until); time.Sleep(period) {
		r.WrongLossy += t.Counts(others, others)["gone"]
	}
	say("they are split in halves")
	t.Mesh.Between(func(from, to string) relay.Link {
		return relay.Link{Silent: (from < TalkerName(struck)) != (to < TalkerName(struck))}
	})
	time.Sleep(calm)
	t.Mesh.Whole()
	if r.Healed, err = t.Until(patience, others, others, "alive"); ctx.Err() != nil {
		err = ctx.Err()
	}
	return r, err
}

// usedBy is what all instances together have used.
type usedBy struct {
	cpu    time.Duration
	memory float64
}

func (t *Talkers) used() (u usedBy) {
	for _, p := range t.Processes {
		if cpu, memory, err := usage(p.PID()); err == nil {
			u.cpu, u.memory = u.cpu+cpu, u.memory+memory
		}
	}
	return u
}
