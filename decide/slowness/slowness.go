// Package slowness estimates how slow each engine is from sparse data, as one controller of a large fleet gets only few answers from
// each engine. An engine's own answers are pooled with those of similar engines (same location and kind) and of all engines. The
// weights follow from the observed variances: if engines differ little compared with the noise of single answers, the estimate
// relies on the pooled answers; an engine that does differ is recognized after a few answers. It does no I/O and reads no clock.
//
// Slowness is a latency divided by the best latency, so 1 or more. Tests compare the estimate with an engine's own mean, the mean
// of all engines and a pooled estimate of fixed weight: if all engines are alike, if one in eight is slow, and if one location
// is slow, the error is close to that of the best of these.
package slowness

import (
	"math"
	"time"
)

type (
	Location string
	Kind     string
)

// Estimator holds the estimates of one controller for all engines.
type Estimator struct {
	groups         map[groupKey]*group
	overall        mean
	noiseVariance  mean // variance of single answers around their engine's mean
	engineVariance mean // variance of engines' means around the mean of similar engines
	groupVariance  mean // variance of the means of similar engines around the mean of all
}

type groupKey struct {
	location Location
	kind     Kind
}

type group struct{ slowness mean }

// mean is a running mean: an arithmetic mean at first, then an exponentially weighted one.
type mean struct{ value, samples float64 }

// add adds a sample. The number of samples that count is limited to the given maximum.
func (m *mean) add(sample, maxSamples float64) {
	m.samples = math.Min(m.samples+1, maxSamples)
	m.value += (sample - m.value) / m.samples
}

// New returns an empty Estimator.
func New() *Estimator { return &Estimator{groups: map[groupKey]*group{}} }

// Engine estimates the slowness of one engine.
type Engine struct {
	estimator  *Estimator
	group      *group
	slowness   mean
	lastAnswer time.Duration // time of the last answer
}

// Engine returns an Engine without answers. There are at most as many groups of similar engines as locations times kinds.
func (b *Estimator) Engine(location Location, kind Kind) *Engine {
	key := groupKey{location, kind}
	if b.groups[key] == nil {
		b.groups[key] = &group{}
	}
	return &Engine{estimator: b, group: b.groups[key]}
}

// Numbers of samples that the running means span. An engine's own mean spans about as many answers as its concurrency limit; means
// over many engines span fewer, as congestion of the fleet must be noticed quickly; the variances span a minute of a busy
// controller's answers.
const ownSamples, pooledSamples, varianceSamples = 20, 10, 300

// fadeTime is the time constant with which an engine's own answers lose weight, to about a third after this time: an engine that
// gets no jobs because it was slow is not judged by old answers forever.
const fadeTime = 10 * time.Second

// Add adds the slowness of an answer that arrived now.
func (e *Engine) Add(now time.Duration, slowness float64) {
	estimator := e.estimator
	ownWeight := e.ownWeight(now)
	if ownWeight >= 1 {
		deviation := slowness - e.slowness.value
		estimator.noiseVariance.add(deviation*deviation*ownWeight/(ownWeight+1), varianceSamples)
	}
	e.slowness.samples = ownWeight
	e.slowness.add(slowness, ownSamples)
	e.group.slowness.add(slowness, pooledSamples)
	estimator.overall.add(slowness, pooledSamples)
	e.lastAnswer = now
	if e.slowness.samples >= 2 && estimator.noiseVariance.samples > 0 { // the noise remaining in the means is subtracted
		estimator.engineVariance.add(square(e.slowness.value-e.group.slowness.value)-
			estimator.noiseVariance.value*(1/e.slowness.samples+1/e.group.slowness.samples), varianceSamples)
		estimator.groupVariance.add(square(e.group.slowness.value-estimator.overall.value)-estimator.noiseVariance.value/e.group.slowness.samples, varianceSamples)
	}
}

func square(x float64) float64 { return x * x }

// Reset discards the engine's own answers. It is called when the engine's process was replaced.
func (e *Engine) Reset() { e.slowness = mean{} }

// ownWeight returns the number of own answers that still count now.
func (e *Engine) ownWeight(now time.Duration) float64 {
	return e.slowness.samples * math.Exp(float64(e.lastAnswer-now)/float64(fadeTime))
}

// Weight of the pooled answers, as a number of own answers. defaultPoolWeight applies until enough samples have been seen;
// minPoolWeight and maxPoolWeight bound the learned value. If all engines are alike, an engine's own answers must still count a
// little, or a difference would never be noticed; if all differ, the pooled answers still guard against a single outlier.
const defaultPoolWeight, minPoolWeight, maxPoolWeight = 3, 1, 12

// poolWeight returns how many own answers the pooled answers weigh as much as: the variance of single answers divided by the
// variance between engines, within bounds.
func poolWeight(noiseVariance, variance mean) float64 {
	if variance.samples < 10 {
		return defaultPoolWeight
	}
	return math.Min(math.Max(noiseVariance.value/math.Max(variance.value, 1e-9), minPoolWeight), maxPoolWeight)
}

// Estimate returns the estimated slowness of the engine now, or 0 if the Estimator has no answers yet.
func (e *Engine) Estimate(now time.Duration) float64 {
	estimator := e.estimator
	if estimator.overall.samples == 0 {
		return 0
	}
	prior := poolWeight(estimator.noiseVariance, estimator.groupVariance)
	groupMean := (e.group.slowness.samples*e.group.slowness.value + prior*estimator.overall.value) / (e.group.slowness.samples + prior)
	prior = poolWeight(estimator.noiseVariance, estimator.engineVariance)
	ownWeight := e.ownWeight(now)
	return (ownWeight*e.slowness.value + prior*groupMean) / (ownWeight + prior)
}
