package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJob measures one job from arrival to answer, with no other jobs and with 100 queued.
func BenchmarkJob(b *testing.B) {
	for _, queued := range []int{0, 100} {
		b.Run(fmt.Sprintf("held=%d", queued), func(b *testing.B) {
			h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
			h.start(nil)
			h.addEngines("a", "b", "c", "d")
			for n := range queued {
				h.c.JobArrived(h.now, JobID(fmt.Sprint("held", n)), "load", "", "key", h.now+time.Hour, 0, 0, 1, false, nil)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now += 100 * time.Microsecond
				h.c.JobArrived(h.now, "j", "lookup", "", "", h.now+2*time.Second, 20*ms, 0, 2, false, nil)
				h.c.AttemptEnded(h.now, "j", 0, "a", Done, 20*ms, true, 20*ms, 0, Load{})
				h.trace.Reset()
			}
		})
	}
}

// BenchmarkEngines measures one job from arrival to answer at one of 300 controllers, for several numbers of engines.
func BenchmarkEngines(b *testing.B) {
	for _, engineCount := range []int{8, 80, 800} {
		b.Run(fmt.Sprintf("engines=%d", engineCount), func(b *testing.B) {
			h := &fakeHost{now: time.Minute, timers: map[TimerID]time.Duration{}}
			h.start(func(s *Settings) { s.Controllers, s.Number = 300, 7 })
			h.c.ListBegins(h.now, ListComplete)
			for n := range engineCount {
				h.c.EngineListed(h.now, EngineID(fmt.Sprintf("e%03d", n)), "here", "k", 0, Up, 1, 0)
			}
			h.c.ListEnds(h.now)
			b.ReportAllocs()
			for b.Loop() {
				h.now += 10 * time.Millisecond
				h.c.JobArrived(h.now, "j", "lookup", "", "", h.now+2*time.Second, 20*ms, 0, 2, false, nil)
				h.c.AttemptEnded(h.now, "j", 0, h.c.list.byID["e000"].id, Done, 20*ms, true, 20*ms, 0, Load{})
				h.trace.Reset()
			}
		})
	}
}
