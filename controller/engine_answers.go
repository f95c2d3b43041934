package controller

import (
	"bytes"
	"cmp"
	"errors"
	"strconv"
	"time"
	"unicode/utf8"

	"yarrowbarrow/internal/frame"
	"yarrowbarrow/internal/resp"
	"yarrowbarrow/logic"
)

// onData parses an engine's answers in place.
func (l *engineLink) onData() {
	c := l.c
	var words [][]byte
	err := l.readMessages(func(data []byte) (call func(), size int, err error) {
		words, size, err = resp.Next(data, words[:0])
		if err != nil || size == 0 {
			return nil, 0, err
		}
		if len(words) != 4 {
			return nil, 0, errors.New("answer does not have 4 words")
		}
		return c.parseAnswer(l, logic.JobID(words[0]), string(words[1]), words[2], words[3]), size, nil
	})
	if err != nil {
		c.withLock(func() { c.closeMalformedLink(l, err) })
	}
}

var (
	errUnknownAnswer    = errors.New("unknown answer")
	errInvalidNumber    = errors.New("invalid number")
	errInvalidPage      = errors.New("invalid result page")
	errContradiction    = errors.New("answers contradict each other")
	errIncompleteAnswer = errors.New("answer is incomplete")
)

// parseAnswer parses one answer in place and returns the call to make for it.
func (c *Controller) parseAnswer(l *engineLink, id logic.JobID, verb string, fields, body []byte) func() {
	load, work, memory, pageCount, page, err := noLoad, 0.0, 0.0, 0, -1, error(nil)
	resp.ParsePairs(fields, func(name, value []byte) {
		var parseErr error
		switch string(name) {
		case "ticks":
			work, parseErr = reportedNumber(value)
		case "footprint":
			memory, parseErr = reportedNumber(value)
		case "count":
			pageCount, parseErr = strconv.Atoi(string(value))
		case "pos":
			page, parseErr = strconv.Atoi(string(value))
		case "stats":
			load, parseErr = parseLoad(value)
		}
		err = cmp.Or(err, parseErr)
	})
	if verb == "PONG" || verb == "SICK" {
		return func() {
			l.markHeard()
			c.probeAnswered(string(id), verb == "PONG", load)
		}
	}
	return func() {
		if l.failed {
			return
		}
		l.markHeard()
		a := l.attempts[id]
		if a == nil {
			c.counts[strayAnswers]++
			return
		}
		if load != noLoad {
			a.load = load
		}
		switch verb {
		case "HIT":
			if err == nil && a.resultBegun { // a duplicate does no harm
				c.counts[strayAnswers]++
				err = a.samePage(0, body)
				break
			}
			if pageCount < 1 || pageCount > maxPages {
				err = cmp.Or(err, errInvalidPage)
			}
			if err != nil {
				break
			}
			a.work, a.memory = time.Duration(work*float64(time.Millisecond)), memory
			a.resultBegun, a.pages, a.missingPages, a.pagesRequestedAt = true, make([][]byte, pageCount), pageCount, c.now
			for index := 1; index < pageCount; index++ {
				l.sendCommand("read", string(id), strconv.Itoa(index))
			}
			err = c.addPage(a, 0, body)
		case "PART":
			if err != nil {
				break
			}
			if a.resultBegun && page == 1 {
				a.engine.rtt.addSample(c.now - a.pagesRequestedAt)
			}
			err = c.addPage(a, page, body)
		case "SHED", "LATE":
			if a.resultBegun { // it ran, so this does not prove that it did not
				err = errContradiction
				break
			}
			c.removeFromLink(a)
			c.finishAttempt(a, logic.Refused)
		case "FAULT":
			c.removeFromLink(a)
			c.finishAttempt(a, logic.Errored)
		default:
			// Where engines report the progress of a job, an unknown answer word is such a report, or a later kind of
			// one: it finishes nothing, and shows that its engine is alive.
			if c.counts[unknownAnswers]++; !c.cfg.Settings.ProgressNotes {
				err = errUnknownAnswer
			}
		}
		if err != nil {
			c.counts[faultyAnswers]++
			c.closeMalformedLink(l, err)
		}
	}
}

// A result has at most 48,000 bytes and a page at most 6,000. Pages that are filled with rows as far as possible come to
// 17; the limit leaves room for an engine that fills them badly.
const maxResultBytes, maxPageBytes, maxPages = 48_000, 6_000, 64

// addPage stores a page at its position. The last missing page completes the job.
func (c *Controller) addPage(a *attempt, index int, body []byte) error {
	if !a.resultBegun || index < 0 || index >= len(a.pages) || !isValidPage(body) || len(body) == 0 && len(a.pages) > 1 {
		return errInvalidPage
	}
	if a.pages[index] != nil {
		c.counts[strayAnswers]++
		return a.samePage(index, body)
	}
	// Memory protection: results of jobs that were accepted while there was room, and answers that clients have not read
	// yet, may add up to more.
	if c.heldBytes()+int64(len(body)) > c.maxHeldBytes() {
		return errMemory
	}
	a.pages[index] = append(make([]byte, 0, len(body)), body...)
	a.resultBytes += len(body)
	c.jobBytes += int64(len(body))
	c.counts[pagesRead]++
	a.lastPageAt = c.now
	if a.resultBytes > maxResultBytes {
		return errInvalidPage
	}
	if a.missingPages--; a.missingPages > 0 {
		return nil
	}
	if len(a.pages) > 1 {
		a.link.sendCommand("release", string(a.job.id))
	}
	c.removeFromLink(a)
	if a.job.client != nil {
		c.counts[jobsDone]++
	}
	a.job.served = true
	c.answerJob(a.job, frame.Done, "", "", a.pages...)
	c.finishAttempt(a, logic.Done)
	return nil
}

// samePage returns an error if a second copy of a page differs from the first. Which of the two is right is unknown.
func (a *attempt) samePage(index int, body []byte) error {
	if !bytes.Equal(a.pages[index], body) {
		return errContradiction
	}
	return nil
}

// isValidPage reports whether a text is whole rows of three columns, as far as that can be checked.
func isValidPage(body []byte) bool {
	if len(body) > maxPageBytes || !utf8.Valid(body) || len(body) > 0 && body[len(body)-1] != '\n' {
		return false
	}
	tabs := 0
	for _, char := range body {
		switch {
		case char == '\t':
			tabs++
		case char == '\n':
			if tabs != 2 {
				return false
			}
			tabs = 0
		case char < ' ' || char == 0x7f:
			return false
		}
	}
	return true
}

// reportedNumber parses a number that an engine reports.
func reportedNumber(text []byte) (float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(value >= 0 && value <= maxNumber) {
		return 0, errInvalidNumber
	}
	return value, nil
}

// parseLoad parses an engine's load report, such as util:0.61;queue:3. An invalid number is an error and makes the whole
// report noLoad.
func parseLoad(stats []byte) (load logic.Load, err error) {
	load = noLoad
	resp.ParsePairsSeparatedBy(stats, ';', ':', func(name, value []byte) {
		var target *float64
		switch string(name) {
		case "util":
			target = &load.Util
		case "queue":
			target = &load.Waiting
		case "x0":
			target = &load.MemoryGranted
		default:
			return
		}
		number, parseErr := reportedNumber(value)
		if *target = number; parseErr != nil {
			err = parseErr
		}
	})
	if err != nil {
		load = noLoad
	}
	return load, err
}
