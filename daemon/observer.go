package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// observer passes what was seen of attempts to the estimates and to the moves.
// It implements entry.Observer and is safe for concurrent use.
type observer struct {
	lengths *lengths
	moves   *moves.Manager
	metrics *metrics.Registry
}

// ObserveAttempt implements entry.Observer.
func (o *observer) ObserveAttempt(a entry.Observation) {
	if a.QueueWait > 0 {
		o.metrics.Series(metrics.Labels{Tier: a.Tier, Account: a.Account, Service: a.Service}).RecordQueueWait(a.QueueWait)
	}
	if a.Stopped {
		return
	}
	latency := a.First
	if a.Plain {
		latency = a.Duration
	}
	expected := o.expect(&a)
	o.moves.Observe(rollout.Observation{
		Service:  a.Service,
		Version:  a.Version,
		Route:    a.Route,
		Target:   a.Target,
		Load:     rollout.LoadLevel(a.InFlight, a.Slots),
		Failed:   a.Failed,
		Latency:  latency,
		Expected: expected,
	})
}

// expect predicts the latency that is judged, and corrects the estimate. The
// prediction is by hardware alone: an estimate that learned the new version's
// own times would hide that it is slow.
func (o *observer) expect(a *entry.Observation) time.Duration {
	if a.Plain {
		return 0
	}
	job := estimate.Job{
		Hardware:      a.Hardware,
		PrefillTokens: max(1, a.PromptTokens-a.CachedTokens),
		OutputTokens:  a.OutputTokens,
		Batch:         max(1, a.InFlight),
	}
	o.lengths.mu.Lock()
	defer o.lengths.mu.Unlock()
	expected := o.lengths.model.Predict(job).FirstToken
	if !a.Failed {
		o.lengths.model.Observe(estimate.Observation{Job: job, FirstToken: a.First, Duration: a.Duration})
	}
	return expected
}
