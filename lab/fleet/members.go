package fleet

import (
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
	"time"

	"yarrowbarrow/internal/status"
	"yarrowbarrow/lab/fleet/relay"
	"yarrowbarrow/lab/standin/feed"
)

// SeenMember is what an instance says of another on its status socket.
type SeenMember struct {
	Name   string
	Life   int64
	Status string
	Age    time.Duration `json:"age_ns"`
	Hears  time.Duration `json:"hears_us_ns"`
}

// SeenFleet is what an instance says of its fleet.
type SeenFleet struct {
	Name    string
	Life    int64
	Contact string
	Members []SeenMember
	Counts  struct{ Sent, Came, SentBytes, CameBytes, Bounded, Refused, Streams int64 }
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
	feed      *feed.Feed
	rng       *rand.Rand
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
	if t.feed, err = feed.Start("127.0.0.1:0"); err != nil {
		return t, err
	}
	t.feed.Tell(true)
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
			Feed: t.feed.Address(), Known: json.RawMessage(`{"n":0,"events":[]}`), Limits: Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
			Settings: settings(options, plainKinds(), n)}, "serve", "--operators", file))
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
		if time.Since(from) > most {
			return 0, fmt.Errorf("after %v: %v", most, count)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close ends all.
func (t *Talkers) Close() {
	_ = t.Each(func(n int) error { t.Processes[n].Kill(); return nil })
	t.Mesh.Close()
	if t.feed != nil {
		t.feed.Close()
	}
	_ = os.RemoveAll(t.folder)
}
