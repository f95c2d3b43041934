// Package thin tells how slow each engine is from the few answers that one controller of a large fleet gets from it. An
// engine's own answers are pooled with those of engines alike (of its location and kind) and with all; how much of each
// counts follows from what is seen: where engines differ little against the noise of single answers, the many stand for the
// one, and where one differs it is told apart after a few answers. It does no I/O and asks no clock.
//
// Slowness is a latency over the best one, 1 and up. Its promise, tested against the two plain ways (own answers alone, all
// together) and against a fixed weight: in calm, with one engine in eight slow, and with a slow location, its error is near
// that of whichever is best there.
package thin

import (
	"math"
	"time"
)

type (
	Location string
	Kind     string
)

// Book is what one controller knows of all engines.
type Book struct {
	alike map[likeness]*group
	all   mean
	noise mean // squared, of a single answer against its engine's mean
	apart mean // squared, of an engine's mean against those alike
	rooms mean // squared, of those alike against all
}

type likeness struct {
	location Location
	kind     Kind
}

type group struct{ slow mean }

// mean is a running mean that starts with plain averaging.
type mean struct{ value, n float64 }

func (m *mean) add(x, most float64) {
	m.n = math.Min(m.n+1, most)
	m.value += (x - m.value) / m.n
}

// New gives an empty book.
func New() *Book { return &Book{alike: map[likeness]*group{}} }

// Engine is what is known of one.
type Engine struct {
	book *Book
	like *group
	slow mean
	at   time.Duration // of the last answer
}

// Engine begins a page for one. Groups are as many as locations times kinds.
func (b *Book) Engine(location Location, kind Kind) *Engine {
	key := likeness{location, kind}
	if b.alike[key] == nil {
		b.alike[key] = &group{}
	}
	return &Engine{book: b, like: b.alike[key]}
}

// An engine's mean spans about a limit's worth of its answers; those over many engines are quick, as congestion of the
// fleet has to be seen soon; what tells them apart is learned over a minute of a busy controller's answers.
const ownSpan, manySpan, learnSpan = 20, 10, 300

// fade is the time in which what an engine's own answers told loses all but a third of its weight: an engine that is avoided
// is not judged by it for ever.
const fade = 10 * time.Second

// Answered takes an answer's slowness.
func (e *Engine) Answered(now time.Duration, slow float64) {
	b := e.book
	n := e.weight(now)
	if n >= 1 {
		off := slow - e.slow.value
		b.noise.add(off*off*n/(n+1), learnSpan)
	}
	e.slow.n = n
	e.slow.add(slow, ownSpan)
	e.like.slow.add(slow, manySpan)
	b.all.add(slow, manySpan)
	e.at = now
	if e.slow.n >= 2 && b.noise.n > 0 { // the noise that is left in a mean is no difference
		b.apart.add(square(e.slow.value-e.like.slow.value)-b.noise.value*(1/e.slow.n+1/e.like.slow.n), learnSpan)
		b.rooms.add(square(e.like.slow.value-b.all.value)-b.noise.value/e.like.slow.n, learnSpan)
	}
}

func square(x float64) float64 { return x * x }

// Anew forgets an engine's own answers, as its process is another.
func (e *Engine) Anew() { e.slow = mean{} }

func (e *Engine) weight(now time.Duration) float64 {
	return e.slow.n * math.Exp(float64(e.at-now)/float64(fade))
}

// usual is how many answers of one's own weigh as much as those of the many until there is more to go by, and the bounds of
// what is learned: with all alike an engine's own answers still count a little, or none would ever be told apart, and with
// all different the many still guard against a single odd answer.
const usual, least, most = 3, 1, 12

// pooled is how many of one's own answers the others' weigh as much as.
func pooled(noise, apart mean) float64 {
	if apart.n < 10 {
		return usual
	}
	return math.Min(math.Max(noise.value/math.Max(apart.value, 1e-9), least), most)
}

// Slow is how slow the engine is now, by all that is known; 0 while nothing is.
func (e *Engine) Slow(now time.Duration) float64 {
	b := e.book
	if b.all.n == 0 {
		return 0
	}
	k := pooled(b.noise, b.rooms)
	like := (e.like.slow.n*e.like.slow.value + k*b.all.value) / (e.like.slow.n + k)
	k = pooled(b.noise, b.apart)
	n := e.weight(now)
	return (n*e.slow.value + k*like) / (n + k)
}
