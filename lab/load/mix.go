package load

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"yarrowbarrow/internal/frame"
)

// Kind describes one kind of job in a Mix.
type Kind struct {
	Type          string
	PerSecond     float64
	Work          time.Duration // mean core time; a job's time is uniform between 0.5 and 1.5 times this
	Wait          time.Duration // how long the client waits for the answer
	LatencyTarget time.Duration
	SendCost      bool // whether the job carries its cost
	Keyed         bool // whether the job carries an idempotency key, which allows repeating it
}

// Count holds the outcomes of the jobs of a class. InTime counts done jobs within the latency target, Cancelled jobs answered
// as failed, and Lost jobs that could not be sent, whose connection ended or whose answer could not be parsed.
type Count struct {
	Sent, Done, InTime, Rejected, Cancelled, Lost int
	Took                                          []time.Duration // response times of the done jobs
}

// Mix sends jobs of several kinds over a few connections. Times between jobs are exponentially distributed, as with many independent
// clients, and drawn from a seed.
type Mix struct {
	Kinds     []Kind
	Statement func(kind Kind, work time.Duration) string // returns the statement of a job that takes work

	mu           sync.Mutex
	counts       map[string]*Count
	answersByJob map[string]int // by job ID
	unanswered   sync.WaitGroup
}

// Run sends jobs to address for a duration and waits until all of them are answered. It resets the counts.
func (m *Mix) Run(address string, connections int, seed int64, duration time.Duration) error {
	m.mu.Lock() // Counts may be called concurrently to show progress
	m.counts, m.answersByJob = map[string]*Count{}, map[string]int{}
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
			m.sendKind(kind, clients, rand.New(rand.NewSource(seed+int64(n))), duration)
		}()
	}
	senders.Wait()
	m.unanswered.Wait()
	return nil
}

func (m *Mix) sendKind(kind Kind, clients []*Client, rng *rand.Rand, duration time.Duration) {
	start := time.Now()
	for number, offset := 0, time.Duration(0); ; number++ {
		offset += time.Duration(rng.ExpFloat64() / kind.PerSecond * float64(time.Second))
		if offset >= duration {
			return
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(kind.Work))
		job := Job{Type: kind.Type, ID: fmt.Sprintf("%016x", rng.Uint64()), Wait: kind.Wait, Statement: m.Statement(kind, work)}
		if kind.SendCost {
			job.CostMS = float64(work) / float64(time.Millisecond)
		}
		if kind.Keyed {
			job.IdempotencyKey = "k" + job.ID
		}
		time.Sleep(time.Until(start.Add(offset)))
		m.updateCount(kind.Type, func(c *Count) { c.Sent++ })
		m.unanswered.Add(1)
		if err := clients[number%len(clients)].Send(job, func(answer Answer, err error) {
			m.recordAnswer(kind, job.ID, answer, err)
		}); err != nil {
			m.recordAnswer(kind, job.ID, Answer{}, err)
		}
	}
}

func (m *Mix) updateCount(class string, change func(*Count)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.counts[class])
}

func (m *Mix) recordAnswer(kind Kind, id string, answer Answer, err error) {
	m.updateCount(kind.Type, func(c *Count) {
		switch m.answersByJob[id]++; {
		case err != nil:
			c.Lost++
		case answer.Code == frame.Done:
			c.Done++
			c.Took = append(c.Took, answer.Latency)
			if answer.Latency <= kind.LatencyTarget {
				c.InTime++
			}
		case answer.Code == frame.Rejected:
			c.Rejected++
		default:
			c.Cancelled++
		}
	})
	m.unanswered.Done()
}

// Counts returns a copy of the counts so far, by class.
func (m *Mix) Counts() map[string]Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]Count, len(m.counts))
	for class, c := range m.counts {
		copied := *c
		copied.Took = slices.Clone(c.Took)
		counts[class] = copied
	}
	return counts
}

// AnsweredTwice returns the number of jobs that were answered more than once.
func (m *Mix) AnsweredTwice() (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, answers := range m.answersByJob {
		if answers > 1 {
			count++
		}
	}
	return count
}

// Quantile returns the q-quantile of durations, with q from 0 to 1, or 0 if there are none.
func Quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	durations = slices.Clone(durations)
	slices.Sort(durations)
	return durations[min(int(q*float64(len(durations))), len(durations)-1)]
}
