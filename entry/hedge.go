package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/retry"
)

// hedgeResult is the end of one of two attempts.
type hedgeResult struct {
	attempt *plainRun
	answer  *plainservice.Answer
	err     error
}

// succeeded says whether the answer can go to the caller.
func (r *hedgeResult) succeeded() bool {
	return r.err == nil && r.answer.Status < http.StatusInternalServerError
}

// dispatchHedged makes one attempt. An idempotent call that takes longer than 95 of 100
// calls of its class gets a second attempt on another target, within the retry
// budget; the first good answer counts and the other attempt is canceled.
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

// class groups calls of like duration.
func (p *plainRun) class() string {
	return p.request.Service.Name + "/" + p.request.Route.Name
}

// dispatchObserved makes one attempt and records its time.
func (p *plainRun) dispatchObserved(ctx context.Context) (*plainservice.Answer, error) {
	started := time.Now()
	answer, err := p.dispatch(ctx)
	if err == nil {
		p.runner.HedgePolicy.Observe(p.class(), time.Since(started))
	}
	return answer, err
}

// fork returns the state for an attempt that runs beside another one.
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

// second returns the state of the hedge, or nil when there is none: the first
// attempt still waits for its target, or the budget is used up.
func (p *plainRun) newHedge(first *plainRun, started time.Time) *plainRun {
	target := first.currentTarget.Load()
	if target == nil {
		return nil
	}
	allowed := p.runner.HedgePolicy.TryHedge(p.request.Service.Name, retry.Hedge{
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

// start runs the attempt in a goroutine of its own. A canceled attempt ends soon,
// and its result fits into the channel.
func (p *plainRun) start(ctx context.Context, results chan<- hedgeResult) {
	go func() {
		answer, err := p.dispatchObserved(ctx)
		results <- hedgeResult{attempt: p, answer: answer, err: err}
	}()
}
