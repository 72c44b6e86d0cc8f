package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/retry"
)

// hedgeResult is the result of one of two parallel attempts.
type hedgeResult struct {
	attempt *plainRun
	answer  *plainservice.Answer
	err     error
}

// succeeded reports whether the answer can be sent to the caller.
func (r *hedgeResult) succeeded() bool {
	return r.err == nil && r.answer.Status < http.StatusInternalServerError
}

// dispatchHedged makes one attempt. An idempotent call that takes longer than 95 of 100
// calls of its class gets a second attempt on another target, within the retry budget. The
// first successful answer is returned and the other attempt is canceled.
func (p *plainRun) dispatchHedged(ctx context.Context) (*plainservice.Answer, error) {
	if !p.request.Route.Idempotent {
		return p.dispatch(ctx)
	}
	delay, ok := p.runner.HedgePolicy.Delay(p.class())
	if !ok {
		return p.dispatchObserved(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgeResult, 2)
	first := p.fork(p.runID)
	started := time.Now()
	first.start(ctx, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	inFlight := 1
	for {
		select {
		case <-timer.C:
			if hedge := p.newHedge(first, started); hedge != nil {
				inFlight++
				hedge.start(ctx, results)
			}
		case r := <-results:
			inFlight--
			if r.succeeded() || inFlight == 0 {
				p.excludedTargets = r.attempt.excludedTargets
				return r.answer, r.err
			}
		}
	}
}

// class returns the class of calls whose durations are comparable: service and route.
func (p *plainRun) class() string {
	return p.request.Service.Name + "/" + p.request.Route.Name
}

// dispatchObserved makes one attempt and records its duration if it was answered.
func (p *plainRun) dispatchObserved(ctx context.Context) (*plainservice.Answer, error) {
	started := time.Now()
	answer, err := p.dispatch(ctx)
	if err == nil {
		p.runner.HedgePolicy.Observe(p.class(), time.Since(started))
	}
	return answer, err
}

// fork returns a copy of the state for an attempt that runs in parallel to another one.
func (p *plainRun) fork(runID string) *plainRun {
	return &plainRun{
		runner:          p.runner,
		request:         p.request,
		runID:           runID,
		suspect:         p.suspect,
		version:         p.version,
		excludedTargets: slices.Clone(p.excludedTargets),
		attempts:        p.attempts,
	}
}

// newHedge returns the state of the second attempt. It returns nil when the first attempt has no
// target yet, or when the hedge policy refuses, for example because the retry budget is used up.
func (p *plainRun) newHedge(first *plainRun, started time.Time) *plainRun {
	target := first.currentTarget.Load()
	if target == nil {
		return nil
	}
	allowed := p.runner.HedgePolicy.TryHedge(p.request.Service.Name, retry.HedgeCandidate{
		Class:      p.class(),
		Idempotent: true,
		Started:    started,
		Remaining:  time.Until(p.request.Deadline),
	})
	if !allowed {
		return nil
	}
	hedge := p.fork(p.runner.newRunID())
	hedge.excludedTargets = append(hedge.excludedTargets, *target)
	return hedge
}

// start runs the attempt in its own goroutine and sends the result to results. The channel
// has room for it, so that a canceled attempt ends even when nobody receives.
func (p *plainRun) start(ctx context.Context, results chan<- hedgeResult) {
	go func() {
		answer, err := p.dispatchObserved(ctx)
		results <- hedgeResult{attempt: p, answer: answer, err: err}
	}()
}
