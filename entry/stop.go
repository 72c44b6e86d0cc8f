package entry

import (
	"context"
	"net/http"
	"time"
)

// stopSignals end opaque requests while the daemon stops.
type stopSignals struct {
	// waiting ends when no request may wait for a target any more, running when all requests
	// have to end.
	waiting, running             context.Context
	cancelWaiting, cancelRunning context.CancelFunc
}

func newStopSignals() stopSignals {
	var s stopSignals
	s.waiting, s.cancelWaiting = context.WithCancel(context.Background())
	s.running, s.cancelRunning = context.WithCancel(context.Background())
	return s
}

// StopWaiting refuses the opaque requests that wait for a target, now or later, because the
// daemon stops and they could not end in time. Attempts that have begun go on.
func (runner *Runner) StopWaiting() {
	runner.stops.cancelWaiting()
}

// Abort ends all opaque requests, because the daemon's process is about to end. Their callers
// get an answer unless a part of one was sent.
func (runner *Runner) Abort() {
	runner.stops.cancelWaiting()
	runner.stops.cancelRunning()
}

// stoppedRetryAfter is the Retry-After hint of a daemon that stops; the load balancer sends the
// next attempt to another daemon.
const stoppedRetryAfter = 50 * time.Millisecond

// stoppedRefusal returns the refusal of a request that the stop of the daemon ended.
func stoppedRefusal(outcome Outcome) *Refusal {
	refusal := Refuse(http.StatusServiceUnavailable, CodeShuttingDown, "the daemon is stopping")
	refusal.Outcome = outcome
	if outcome == OutcomeNotRun {
		refusal.RetryAfter = stoppedRetryAfter
	} else {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// stopping reports whether the daemon stops, so that a request should stay on its target.
func (f *forwardRun) stopping() bool {
	return f.runner.stops.waiting.Err() != nil
}

// reserve reserves a target. While the daemon stops, it returns a refusal instead of waiting,
// unless the caller has a part of the answer: that is lost if the stream does not go on.
func (f *forwardRun) reserve(ctx context.Context) (*Grant, error) {
	waiting := f.runner.stops.waiting
	if f.answerStarted {
		waiting = f.runner.stops.running
	}
	if waiting.Err() != nil {
		return nil, stoppedRefusal(OutcomeNotRun)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(waiting, cancel)()
	for {
		grant, err := f.runner.Grants.Reserve(ctx, f.grantRequest())
		switch {
		case err != nil && waiting.Err() != nil:
			return nil, stoppedRefusal(OutcomeNotRun)
		case err != nil || f.request.regions().Allows(grant.Target.Region):
			return grant, err
		}
		// The configuration excluded the region while the request waited.
		f.runner.Grants.Release(grant, Report{Result: ResultCanceled})
	}
}

// abortedRefusal returns the refusal of a request that Abort ended in an attempt, or nil if it
// was not ended by that. The error is that of the attempt.
func (f *forwardRun) abortedRefusal(err error) *Refusal {
	if f.runner.stops.running.Err() == nil || f.disconnectErr != nil {
		return nil
	}
	if f.retryAttempt(err).MayHaveRun() {
		f.mayHaveRun = true
	}
	return stoppedRefusal(f.outcome())
}
