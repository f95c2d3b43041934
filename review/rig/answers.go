package main

import (
	"fmt"
	"slices"
)

// countAnswers records what became of requests and returns how many were lost: taken, and with no whole answer until half a second after
// their time, or on a connection that the controller ended; or served with what no engine made for them; or answered twice. A request is
// taken once its last byte is written.
func (r *run) countAnswers(all []*request) (lost int) {
	counts := map[string]int{}
	var examples []string
	for _, q := range all {
		if q.client == nil { // its client could not connect or send
			counts[q.class+": not taken"]++
			continue
		}
		q.client.mu.Lock()
		result := ""
		switch after := q.answerAt.Sub(q.writtenAt); {
		case q.writtenAt.IsZero() && q.code == 0:
			result = "not taken"
		case q.code == 1 && q.body != rowFor(q.id):
			result = "LOST: served with another result"
		case q.code != 0 && after > q.wait+lostAfter:
			result = "LOST: answered too late, " + codeNames[q.code]
		case q.code != 0:
			result = codeNames[q.code]
		case !q.closedAt.IsZero():
			result = "LOST: connection ended without an answer"
			if len(examples) < 10 {
				examples = append(examples, fmt.Sprintf("request %s: connection ended %v after its last byte was written, errors told on stream 0: %d",
					q.id, q.closedAt.Sub(q.writtenAt), q.client.errors0))
			}
		default:
			result = "LOST: no answer"
			if len(examples) < 10 {
				examples = append(examples, fmt.Sprintf("request %s: no answer, written at %.3f s", q.id, q.writtenAt.Sub(r.begun).Seconds()))
			}
		}
		q.client.mu.Unlock()
		if result[:4] == "LOST" {
			lost++
		}
		counts[q.class+": "+result]++
	}
	for _, example := range examples {
		r.note("%s", example)
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
	return lost
}
