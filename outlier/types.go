package outlier

import (
	"math"
	"time"
)

const (
	// EvidenceWindow is the length of an evidence window; a target is evaluated by
	// the current and the previous one.
	EvidenceWindow = 10 * time.Second
	// MinSamples is the number of samples below which a target is not evaluated.
	MinSamples = 8
	// SlowFactor is how many times slower than its peers a target must be, with
	// about 97% confidence, to be ejected.
	SlowFactor = 2.0
	// ReadmitFactor is how many times slower than its peers a probe may be.
	ReadmitFactor = 1.5
	// FailureExcess is how far a target's share of failures must lie above that
	// of its peers.
	FailureExcess = 0.4
	// MaxEjectedShare is the share of a pool that may be ejected at once.
	MaxEjectedShare = 0.3
	// evaluationsToEject is the number of bad evaluations in a row that ejects a
	// target, probesToReadmit the number of good probes in a row that readmits it.
	evaluationsToEject = 2
	probesToReadmit    = 3
	// minPeers is the number of other targets with samples that the hardware
	// generation must have; with fewer, the whole pool is the peer group.
	minPeers = 2
	// probeInterval is the time from a good probe to the next one.
	probeInterval = time.Second
	// initialBackoff is the time from an ejection to the first probe; it doubles
	// up to maxBackoff.
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
	// backoffDecayInterval is the time in use, without an ejection, after which
	// backoffLevel is lowered by one.
	backoffDecayInterval = time.Minute
)

// Target names a target and the groups in which it is compared.
type Target struct {
	Name string
	// Pool is the set of targets that replace each other, such as a service in a
	// data centre.
	Pool     string
	Hardware string // hardware generation
	// IgnoreSlowness keeps the target from being ejected as slow. It is set for
	// targets with estimates of their own, which may be slower than others without
	// a fault.
	IgnoreSlowness bool
}

// Sample is the result of one request or probe.
type Sample struct {
	Failed bool
	// Observed is the observed time and Predicted the estimate for the same
	// request. With a zero Predicted, only Failed counts.
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

// window holds the sums over the samples of one EvidenceWindow. Only samples with a
// log ratio count as timed.
type window struct {
	requests, failures             int
	timedRequests                  int
	logRatioSum, logRatioSquareSum float64
}

func (w *window) add(s Sample) {
	w.requests++
	if s.Failed {
		w.failures++
	}
	if r, ok := s.logRatio(); ok {
		w.timedRequests++
		w.logRatioSum += r
		w.logRatioSquareSum += r * r
	}
}

// plus returns the sums of both windows.
func (w window) plus(other window) window {
	return window{w.requests + other.requests, w.failures + other.failures, w.timedRequests + other.timedRequests, w.logRatioSum + other.logRatioSum, w.logRatioSquareSum + other.logRatioSquareSum}
}

// mean returns the mean log ratio.
func (w window) mean() float64 {
	return w.logRatioSum / float64(w.timedRequests)
}

// standardError returns the standard error of the mean log ratio. It is at least
// that of samples with a standard deviation of 10%.
func (w window) standardError() float64 {
	n := float64(w.timedRequests)
	variance := max(w.logRatioSquareSum/n-w.mean()*w.mean(), 0.01)
	return math.Sqrt(variance / n)
}

func (w window) failureShare() float64 {
	return float64(w.failures) / float64(w.requests)
}
