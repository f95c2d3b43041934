package load

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"yarrowbarrow/internal/frame"
)

// Kind is one sort of jobs in a mix.
type Kind struct {
	Type          string
	PerSecond     float64
	Work          time.Duration // mean core time; each job's is drawn between a half and one and a half of it
	Wait          time.Duration // how long a client waits
	LatencyTarget time.Duration
	Told          bool // whether the cost is told
	Keyed         bool
}

// Count is what became of the jobs of a class.
type Count struct {
	Sent, Done, InTime, Rejected, Cancelled, Lost int
	Took                                          []time.Duration // of those done
}

// Mix sends jobs of several kinds from a seed, over a few connections, at times drawn from an exponential
// distribution, as jobs of many independent clients come.
type Mix struct {
	Kinds     []Kind
	Statement func(kind Kind, work time.Duration) string

	mu      sync.Mutex
	counts  map[string]*Count
	answers map[string]int // by job
	open    sync.WaitGroup
}

// Run sends to an address for a time and waits for the last answers.
func (m *Mix) Run(address string, connections int, seed int64, length time.Duration) error {
	m.mu.Lock() // what is shown meanwhile asks for the counts
	m.counts, m.answers = map[string]*Count{}, map[string]int{}
	for _, kind := range m.Kinds {
		m.counts[kind.Type] = &Count{}
	}
	m.mu.Unlock()
	var clients []*Client
	for range connections {
		c, err := Dial(address)
		if err != nil {
			return err
		}
		defer c.Close()
		clients = append(clients, c)
	}
	var senders sync.WaitGroup
	for n, kind := range m.Kinds {
		senders.Add(1)
		go func() {
			defer senders.Done()
			m.send(kind, clients, rand.New(rand.NewSource(seed+int64(n))), length)
		}()
	}
	senders.Wait()
	m.open.Wait()
	return nil
}

func (m *Mix) send(kind Kind, clients []*Client, rng *rand.Rand, length time.Duration) {
	from := time.Now()
	for n, at := 0, time.Duration(0); ; n++ {
		at += time.Duration(rng.ExpFloat64() / kind.PerSecond * float64(time.Second))
		if at >= length {
			return
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(kind.Work))
		j := Job{Type: kind.Type, ID: fmt.Sprintf("%016x", rng.Uint64()), Wait: kind.Wait, Statement: m.Statement(kind, work)}
		if kind.Told {
			j.CostMS = float64(work) / float64(time.Millisecond)
		}
		if kind.Keyed {
			j.Once = "k" + j.ID
		}
		time.Sleep(time.Until(from.Add(at)))
		m.count(kind.Type, func(c *Count) { c.Sent++ })
		m.open.Add(1)
		if err := clients[n%len(clients)].Ask(j, func(a Answer, err error) { m.answered(kind, j.ID, a, err) }); err != nil {
			m.answered(kind, j.ID, Answer{}, err)
		}
	}
}

func (m *Mix) count(name string, change func(*Count)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.counts[name])
}

func (m *Mix) answered(kind Kind, id string, a Answer, err error) {
	m.count(kind.Type, func(c *Count) {
		switch m.answers[id]++; {
		case err != nil:
			c.Lost++
		case a.Code == frame.Done:
			c.Done++
			c.Took = append(c.Took, a.Took)
			if a.Took <= kind.LatencyTarget {
				c.InTime++
			}
		case a.Code == frame.Rejected:
			c.Rejected++
		default:
			c.Cancelled++
		}
	})
	m.open.Done()
}

// Counts gives a copy of the figures so far, by class.
func (m *Mix) Counts() map[string]Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Count, len(m.counts))
	for name, c := range m.counts {
		copied := *c
		copied.Took = slices.Clone(c.Took)
		out[name] = copied
	}
	return out
}

// Doubled counts jobs that were answered more than once.
func (m *Mix) Doubled() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, answers := range m.answers {
		if answers > 1 {
			n++
		}
	}
	return n
}

// Quantile of durations, 0 for none.
func Quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
