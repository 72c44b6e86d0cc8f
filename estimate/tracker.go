package estimate

import "math"

const (
	// maxStep bounds one correction, as a natural logarithm: one observation
	// counts for at most a factor of e, however extreme it is.
	maxStep = 1.0
	// settledGain is the weight of an observation after the first ones. At 1/32
	// an estimate follows a change of speed within about 100 observations.
	settledGain = 1.0 / 32
)

// tracker follows the typical value of a positive quantity on a logarithmic
// scale, so errors by a factor of two up and down weigh the same.
type tracker struct {
	log     float64
	current float64
	samples int
}

func (t *tracker) observe(value float64) {
	if value <= 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return
	}
	if t.samples == 0 {
		t.log, t.current = math.Log(value), value
		t.samples = 1
		return
	}
	t.samples++
	gain := max(settledGain, 1/float64(t.samples))
	step := math.Log(value) - t.log
	t.log += gain * max(-maxStep, min(maxStep, step))
	t.current = math.Exp(t.log)
}

// value is read far more often than it changes.
func (t *tracker) value() float64 {
	return t.current
}

// quantile follows a quantile on a logarithmic scale by stochastic
// approximation: it moves up by gain*q when a value lies above and down by
// gain*(1-q) when it lies below.
type quantile struct {
	log     float64
	current float64
	samples int
}

// quantileGain is the size of a settled step: about 5% of the value.
const quantileGain = 0.1

func (e *quantile) observe(value, q float64) {
	if value <= 0 {
		return
	}
	e.samples++
	if e.samples == 1 {
		e.log, e.current = math.Log(value), value
		return
	}
	gain := max(quantileGain, 2/float64(e.samples))
	if math.Log(value) > e.log {
		e.log += gain * q
	} else {
		e.log -= gain * (1 - q)
	}
	e.current = math.Exp(e.log)
}

func (e *quantile) value() float64 {
	return e.current
}

// Ratio follows the typical ratio of an actual to a predicted quantity. The zero
// value stands for 1.
type Ratio struct {
	tracker tracker
}

const (
	// minRatio and maxRatio bound a correction, so that a burst cannot distort
	// predictions without limit.
	minRatio = 0.5
	maxRatio = 8
)

// Observe compares an actual value with the prediction made for it. Predictions
// of zero are ignored.
func (r *Ratio) Observe(predicted, actual float64) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	if r.tracker.samples == 0 {
		r.tracker = tracker{current: 1, samples: settledSamples}
	}
	r.tracker.observe(max(minRatio, min(maxRatio, actual/predicted)))
}

// Value returns the factor that corrects a prediction.
func (r *Ratio) Value() float64 {
	if r.tracker.samples == 0 {
		return 1
	}
	return r.tracker.value()
}
