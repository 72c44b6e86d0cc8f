package outlier

import (
	"math"
	"time"
)

const (
	// EvidenceWindow is the length of an evidence window; a target is judged by the
	// current and the previous one.
	EvidenceWindow = 10 * time.Second
	// MinSamples is the number of samples below which a target is not judged.
	MinSamples = 8
	// SlowFactor is how many times slower than its peers a target must be, with
	// about 97% confidence, to be ejected.
	SlowFactor = 2.0
	// ReadmitFactor is how many times slower than its peers a probe may be.
	ReadmitFactor = 1.5
	// FailureExcess is how far a target's share of failures must lie above that
	// of its peers.
	FailureExcess = 0.4
	// MaxEjectedShare is the share of a pool that may be out at once.
	MaxEjectedShare = 0.3
	// badEvaluations in a row eject a target; goodProbes in a row readmit it.
	badEvaluations = 2
	goodProbes     = 3
	// minPeers with samples are needed in the hardware generation; with fewer,
	// the whole pool is the peer group.
	minPeers = 2
	// probeInterval is the time between probes that succeed.
	probeInterval = time.Second
	// firstBackoff and maxBackoff bound the time until an ejected target is probed.
	firstBackoff = 5 * time.Second
	maxBackoff   = 5 * time.Minute
	// calmPeriod in use without ejection lowers the backoff by one step.
	calmPeriod = time.Minute
)

// Target names a target and the groups it is compared in.
type Target struct {
	Name string
	// Pool is the set of targets that replace each other, such as a service in a
	// data centre.
	Pool     string
	Hardware string
	// IgnoreSlowness targets have estimates of their own: being slower than others is how
	// they are, and no fault.
	IgnoreSlowness bool
}

// Sample is what one request or probe showed.
type Sample struct {
	Failed bool
	// Observed is the observed time and Predicted the estimate for the same request;
	// a zero Predicted leaves the speed out.
	Observed, Predicted time.Duration
}

// logRatio returns the logarithm of the observed time over the estimate.
func (s Sample) logRatio() (float64, bool) {
	if s.Failed || s.Predicted <= 0 || s.Observed <= 0 {
		return 0, false
	}
	return math.Log(float64(s.Observed) / float64(s.Predicted)), true
}

// Reason says why a target was ejected or readmitted.
type Reason string

const (
	// Slow targets are slower than their peers.
	Slow Reason = "slow"
	// Failing targets fail more often than their peers.
	Failing Reason = "failing"
	// Recovered targets passed their probes.
	Recovered Reason = "recovered"
)

// Change is an ejection or a readmission.
type Change struct {
	Target  string
	Ejected bool
	Reason  Reason
}

// window sums the samples of one period.
type window struct {
	requests, failures int
	timed              int
	sum, squares       float64
}

func (w *window) add(s Sample) {
	w.requests++
	if s.Failed {
		w.failures++
	}
	if r, ok := s.logRatio(); ok {
		w.timed++
		w.sum += r
		w.squares += r * r
	}
}

func (w window) plus(o window) window {
	return window{w.requests + o.requests, w.failures + o.failures, w.timed + o.timed, w.sum + o.sum, w.squares + o.squares}
}

func (w window) mean() float64 {
	return w.sum / float64(w.timed)
}

// standardError of the mean. It is at least that of samples that differ by 10%.
func (w window) standardError() float64 {
	n := float64(w.timed)
	variance := max(w.squares/n-w.mean()*w.mean(), 0.01)
	return math.Sqrt(variance / n)
}

func (w window) failureShare() float64 {
	return float64(w.failures) / float64(w.requests)
}
