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

// onData reads answers of an engine in place.
func (l *engineLink) onData() {
	c := l.c
	var words [][]byte
	err := l.read(func(data []byte) (call func(), size int, err error) {
		words, size, err = resp.Next(data, words[:0])
		if err != nil || size == 0 {
			return nil, 0, err
		}
		if len(words) != 4 {
			return nil, 0, errors.New("four words are wanted")
		}
		return c.engineSays(l, logic.JobID(words[0]), string(words[1]), words[2], words[3]), size, nil
	})
	if err != nil {
		c.do(func() { c.spoilt(l, err) })
	}
}

var (
	errAnswer  = errors.New("no answer of the protocol")
	errFigure  = errors.New("a figure can't be read")
	errPage    = errors.New("no page of a result")
	errSecond  = errors.New("two answers differ")
	errStopped = errors.New("an answer does not go on")
)

// engineSays reads one answer in place and gives the call that it leads to.
func (c *Controller) engineSays(l *engineLink, id logic.JobID, word string, fields, body []byte) func() {
	load, work, memory, pages, page, err := noLoad, 0.0, 0.0, 0, -1, error(nil)
	resp.Fields(fields, func(name, value []byte) {
		var wrong error
		switch string(name) {
		case "ticks":
			work, wrong = figure(value)
		case "footprint":
			memory, wrong = figure(value)
		case "count":
			pages, wrong = strconv.Atoi(string(value))
		case "pos":
			page, wrong = strconv.Atoi(string(value))
		case "stats":
			load, wrong = readLoad(value)
		}
		err = cmp.Or(err, wrong)
	})
	if word == "PONG" || word == "SICK" {
		return func() {
			l.hears()
			c.probed(string(id), word == "PONG", load)
		}
	}
	return func() {
		if l.gone {
			return
		}
		l.hears()
		d := l.open[id]
		if d == nil {
			c.counts[strayAnswers]++
			return
		}
		if load != noLoad {
			d.load = load
		}
		switch word {
		case "HIT":
			if err == nil && d.begun { // a second copy does no harm
				c.counts[strayAnswers]++
				err = d.same(0, body)
				break
			}
			if pages < 1 || pages > mostPages {
				err = cmp.Or(err, errPage)
			}
			if err != nil {
				break
			}
			d.work, d.memory = time.Duration(work*float64(time.Millisecond)), memory
			d.begun, d.pages, d.missing, d.reads = true, make([][]byte, pages), pages, c.now
			for n := 1; n < pages; n++ {
				l.say("read", string(id), strconv.Itoa(n))
			}
			err = c.page(d, 0, body)
		case "PART":
			if err != nil {
				break
			}
			if d.begun && page == 1 {
				d.engine.trip.add(c.now - d.reads)
			}
			err = c.page(d, page, body)
		case "SHED", "LATE":
			if d.begun { // it ran, so this is no proof that it did not
				err = errSecond
				break
			}
			c.unlist(d)
			c.over(d, logic.TurnedAway)
		case "FAULT":
			c.unlist(d)
			c.over(d, logic.Errored)
		default:
			// Where engines tell how far a job is, a word that is no answer of the protocol is such a note, or a later
			// kind of it: it ends nothing, and its engine is alive.
			if c.counts[notesUnread]++; !c.cfg.Settings.Notes {
				err = errAnswer
			}
		}
		if err != nil {
			c.counts[faultyAnswers]++
			c.spoilt(l, err)
		}
	}
}

// A result has 48,000 bytes at most and a page 6,000. Pages that are filled with rows as far as they go come to 17;
// there is room for an engine that fills them badly.
const mostResult, mostPage, mostPages = 48_000, 6_000, 64

// page keeps a page at its place; with the last one the job is done.
func (c *Controller) page(d *attempt, n int, body []byte) error {
	if !d.begun || n < 0 || n >= len(d.pages) || !isPage(body) || len(body) == 0 && len(d.pages) > 1 {
		return errPage
	}
	if d.pages[n] != nil {
		c.counts[strayAnswers]++
		return d.same(n, body)
	}
	// Guards the machine: results of requests that were let in while there was room, and answers that nobody reads yet.
	if c.bytes+c.held.Load()+int64(len(body)) > c.cfg.MemoryMB<<20/2 {
		return errMemory
	}
	d.pages[n] = append(make([]byte, 0, len(body)), body...)
	d.size += len(body)
	c.bytes += int64(len(body))
	c.counts[pagesRead]++
	d.paged = c.now
	if d.size > mostResult {
		return errPage
	}
	if d.missing--; d.missing > 0 {
		return nil
	}
	if len(d.pages) > 1 {
		d.link.say("release", string(d.job.id))
	}
	c.unlist(d)
	if d.job.client != nil {
		c.counts[done]++
	}
	c.answer(d.job, frame.Done, "", "", d.pages...)
	d.pages = nil // alarms may hold on to the attempt for seconds
	c.over(d, logic.Done)
	return nil
}

// same tells whether a page came twice the same. Which of two is right can't be told.
func (d *attempt) same(n int, body []byte) error {
	if !bytes.Equal(d.pages[n], body) {
		return errSecond
	}
	return nil
}

// isPage tells whether a text is whole rows of three columns, as far as that shows.
func isPage(body []byte) bool {
	if len(body) > mostPage || !utf8.Valid(body) || len(body) > 0 && body[len(body)-1] != '\n' {
		return false
	}
	tabs := 0
	for _, ch := range body {
		switch {
		case ch == '\t':
			tabs++
		case ch == '\n':
			if tabs != 2 {
				return false
			}
			tabs = 0
		case ch < ' ' || ch == 0x7f:
			return false
		}
	}
	return true
}

// figure reads a number that an engine reports.
func figure(text []byte) (float64, error) {
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(n >= 0 && n <= mostFigure) {
		return 0, errFigure
	}
	return n, nil
}

// readLoad reads an engine's report of itself, as in util:0.61;queue:3. A figure that can't be is none.
func readLoad(stats []byte) (load logic.Load, err error) {
	load = noLoad
	resp.Pairs(stats, ';', ':', func(name, value []byte) {
		var at *float64
		switch string(name) {
		case "util":
			at = &load.Util
		case "queue":
			at = &load.Waiting
		case "x0":
			at = &load.MemoryGranted
		default:
			return
		}
		n, wrong := figure(value)
		if *at = n; wrong != nil {
			err = wrong
		}
	})
	if err != nil {
		load = noLoad
	}
	return load, err
}
