// Package replytime learns from observed replies how long to wait for the next one, for
// each peer. It keeps the smoothed reply time and its mean deviation as TCP does for
// retransmissions (RFC 6298).
package replytime

import (
	"sync"
	"time"
)

const (
	// deviationFactor is the number of mean deviations by which a reply may be later than
	// usual.
	deviationFactor = 4
	// timeGain and deviationGain are the weights of a new sample.
	timeGain      = 0.125
	deviationGain = 0.25
)

// Bounds limit the result of Estimator.Bound.
type Bounds struct {
	// Min and Max are the shortest and the longest wait. Initial is the wait for a peer
	// without a sample.
	Min, Max, Initial time.Duration
}

// Estimator holds the reply times of peers. It is safe for concurrent use.
type Estimator struct {
	bounds Bounds

	mu    sync.Mutex
	peers map[string]*estimate
}

// estimate is the smoothed reply time of one peer, in seconds.
type estimate struct {
	mean, deviation float64
}

// New returns an Estimator without samples.
func New(bounds Bounds) *Estimator {
	return &Estimator{bounds: bounds, peers: make(map[string]*estimate)}
}

// Observe records the time that a peer took to reply. Late replies must be recorded too:
// otherwise the wait for a peer that has become slow never grows.
func (e *Estimator) Observe(peer string, took time.Duration) {
	sample := took.Seconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[peer]
	if p == nil {
		e.peers[peer] = &estimate{mean: sample, deviation: sample / 2}
		return
	}
	p.deviation += deviationGain * (max(sample-p.mean, p.mean-sample) - p.deviation)
	p.mean += timeGain * (sample - p.mean)
}

// Bound returns the time after which a missing reply of a peer is unusual.
func (e *Estimator) Bound(peer string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[peer]
	if p == nil {
		return e.bounds.Initial
	}
	bound := time.Duration((p.mean + deviationFactor*p.deviation) * float64(time.Second))
	return min(max(bound, e.bounds.Min), e.bounds.Max)
}
