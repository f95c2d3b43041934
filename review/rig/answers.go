package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// awaitAnswers waits until nothing more can become of the requests, until each has had its time and half a second, or for the limit.
func awaitAnswers(all []*request, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(all, func(q *request) bool {
			if q.client == nil {
				return false
			}
			q.client.mu.Lock()
			defer q.client.mu.Unlock()
			return !q.over() && !q.writtenAt.IsZero() && time.Since(q.writtenAt) < q.wait+lostAfter+100*time.Millisecond
		}) {
			time.Sleep(100 * time.Millisecond) // for second answers
			return
		}
	}
}

// judge returns what became of a request that was not taken back, and whether it was taken and whether it was lost. It is taken once its last
// byte is written. It is lost if it has no whole answer until half a second after its time, if its connection ended before (a request that
// may have crossed the end of a resting connection has been sent again by then), if it has two answers, or if it was served with what no
// engine made for it.
func (q *request) judge(engines []*engine) (result string, taken, lost bool) {
	if q.client == nil {
		return "not sent", false, false
	}
	q.client.mu.Lock()
	defer q.client.mu.Unlock()
	if q.writtenAt.IsZero() && q.code == 0 {
		return "not written whole", false, false
	}
	made := slices.ContainsFunc(engines, func(e *engine) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.completed[q.id] > 0
	})
	switch {
	case q.answers > 1:
		return "LOST: answered twice", true, true
	case q.code == 1 && (q.body != rowFor(q.id) || !made):
		return "LOST: served with what no engine made for it", true, true
	case q.code != 0 && q.answerAt.Sub(q.writtenAt) > q.wait+lostAfter:
		return "LOST: answered too late, " + codeNames[q.code], true, true
	case q.code != 0:
		return codeNames[q.code], true, false
	case !q.closedAt.IsZero():
		return "LOST: connection ended without an answer", true, true
	}
	return "LOST: no answer", true, true
}

// countAnswers records what became of requests and returns how many were taken and lost.
func (r *run) countAnswers(d *deployment, all []*request) (taken, lost int) {
	counts := map[string]int{}
	for _, q := range all {
		result, isTaken, isLost := q.judge(d.engines)
		if isTaken {
			taken++
		}
		if isLost {
			lost++
		}
		counts[q.class+": "+result]++
		r.note("%s", r.history(d, q, result))
	}
	var lines []string
	for what, count := range counts {
		lines = append(lines, fmt.Sprintf("%6d  %s", count, what))
	}
	slices.Sort(lines)
	for _, line := range lines {
		r.note("%s", line)
		fmt.Println(line)
	}
	return taken, lost
}

// history tells of a request when it was sent, run and answered, in seconds since the start of the play.
func (r *run) history(d *deployment, q *request, result string) string {
	since := func(at time.Time) string { return fmt.Sprintf("%.4f", at.Sub(r.begun).Seconds()) }
	parts := []string{"request", q.id, q.class}
	if q.client != nil {
		q.client.mu.Lock()
		parts = append(parts, "from "+q.client.conn.LocalAddr().String())
		for _, event := range []struct {
			name string
			at   time.Time
		}{{"written", q.writtenAt}, {"taken back", q.takenBack}, {"answered", q.answerAt}, {"connection ended", q.closedAt}} {
			if !event.at.IsZero() {
				parts = append(parts, event.name+" "+since(event.at))
			}
		}
		if q.sentAgain {
			parts = append(parts, "sent again")
		}
		q.client.mu.Unlock()
	}
	for _, e := range d.engines {
		e.mu.Lock()
		for _, at := range e.received[q.id] {
			parts = append(parts, "came to "+e.name+" "+since(at))
		}
		if e.completed[q.id] > 0 {
			parts = append(parts, "run whole by "+e.name)
		}
		e.mu.Unlock()
	}
	return strings.Join(append(parts, "=> "+result), ", ")
}

// verdict is the exit code of a check. A play in which under half of what it needs was taken says nothing.
func verdict(wanted, taken, lost int) int {
	switch {
	case lost > 0:
		return broken
	case 2*taken < wanted:
		return couldNot
	}
	return held
}
