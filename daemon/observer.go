package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// observer passes observations of attempts to the metrics, the latency model and the
// evidence of moves. It implements entry.Observer and is safe for concurrent use.
type observer struct {
	outputPredictor *outputPredictor
	moves           *moves.Manager
	metrics         *metrics.Registry
}

// ObserveAttempt implements entry.Observer. Of stopped attempts it records only the time in
// the queue.
func (o *observer) ObserveAttempt(a entry.Observation) {
	if a.QueueWait > 0 {
		o.metrics.Series(metrics.Labels{Tier: a.Tier, Account: a.Account, Service: a.Service}).RecordQueueWait(a.QueueWait)
	}
	if a.Stopped {
		return
	}
	latency := a.FirstToken
	if a.Plain {
		latency = a.Duration
	}
	expected := o.predictAndObserve(&a)
	o.moves.Observe(rollout.Observation{
		Service:  a.Service,
		Version:  a.Version,
		Route:    a.Route,
		Target:   a.Target,
		Load:     rollout.LoadLevel(a.InFlight, a.Slots),
		Failed:   a.Failed,
		Latency:  latency,
		Pace:     a.Pace,
		Expected: expected,
	})
}

// predictAndObserve returns the expected time to the first token of an attempt, with which
// the evidence of moves compares the observed time, and then corrects the model by the
// observed times unless the attempt failed. For plain services it only returns 0.
//
// The model knows only the hardware and not the version: an estimate that includes the
// times of a new version would hide that the version is slow.
func (o *observer) predictAndObserve(a *entry.Observation) time.Duration {
	if a.Plain {
		return 0
	}
	job := estimate.Job{
		Hardware:      a.Hardware,
		PrefillTokens: max(1, a.PromptTokens-a.CachedTokens),
		OutputTokens:  a.OutputTokens,
		Batch:         max(1, a.InFlight),
	}
	o.outputPredictor.mu.Lock()
	defer o.outputPredictor.mu.Unlock()
	expected := o.outputPredictor.model.Predict(job).FirstToken
	if !a.Failed {
		o.outputPredictor.model.Observe(estimate.Observation{Job: job, FirstToken: a.FirstToken, Duration: a.Duration})
	}
	return expected
}
