package estimate

import "math"

const (
	// maxStep bounds one correction, as a natural logarithm: one observation
	// counts for at most a factor of e, however extreme it is.
	maxStep = 1.0
	// minGain is the weight of an observation from the 32nd one on; earlier ones
	// weigh more. At 1/32 an estimate follows a change of speed within about 100
	// observations.
	minGain = 1.0 / 32
)

// tracker follows the typical value of a positive quantity on a logarithmic
// scale, so errors by a factor of two up and down weigh the same.
type tracker struct {
	log      float64
	estimate float64
	samples  int
}

func (t *tracker) observe(value float64) {
	if value <= 0 || math.IsInf(value, 0) || math.IsNaN(value) {
		return
	}
	if t.samples == 0 {
		t.log, t.estimate = math.Log(value), value
		t.samples = 1
		return
	}
	t.samples++
	gain := max(minGain, 1/float64(t.samples))
	step := math.Log(value) - t.log
	t.log += gain * max(-maxStep, min(maxStep, step))
	t.estimate = math.Exp(t.log)
}

// value returns the current estimate. It is stored, not computed, because it is read
// far more often than it changes.
func (t *tracker) value() float64 {
	return t.estimate
}

// quantile tracks a quantile q of a positive quantity on a logarithmic scale by
// stochastic approximation: the estimate moves up by gain*q when a value lies above
// it, else down by gain*(1-q).
type quantile struct {
	log      float64
	estimate float64
	samples  int
}

// minQuantileGain is the gain from the 20th observation on; earlier ones have a
// larger one. At 0.1 a step changes the estimate by about 5%.
const minQuantileGain = 0.1

func (t *quantile) observe(value, q float64) {
	if value <= 0 {
		return
	}
	t.samples++
	if t.samples == 1 {
		t.log, t.estimate = math.Log(value), value
		return
	}
	gain := max(minQuantileGain, 2/float64(t.samples))
	if math.Log(value) > t.log {
		t.log += gain * q
	} else {
		t.log -= gain * (1 - q)
	}
	t.estimate = math.Exp(t.log)
}

func (t *quantile) value() float64 {
	return t.estimate
}

// Ratio tracks the typical ratio of an actual to a predicted quantity. The zero
// value is a ratio of 1.
type Ratio struct {
	tracker tracker
}

const (
	// minRatio and maxRatio bound each observed ratio, so that a burst cannot distort
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
		// The initial ratio of 1 has the weight of minConfidentSamples observations.
		r.tracker = tracker{estimate: 1, samples: minConfidentSamples}
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
