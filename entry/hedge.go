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
	attempt *plain
	answer  *plainservice.Answer
	err     error
}

// good says whether the answer can go to the caller.
func (r *hedgeResult) good() bool {
	return r.err == nil && r.answer.Status < http.StatusInternalServerError
}

// hedged makes one attempt. An idempotent call that takes longer than 95 of 100
// calls of its class gets a second attempt on another target, within the retry
// budget; the first good answer counts and the other attempt is canceled.
func (p *plain) hedged(ctx context.Context) (*plainservice.Answer, error) {
	if !p.request.Route.Idempotent {
		return p.dispatch(ctx)
	}
	delay, ok := p.entry.HedgePolicy.Delay(p.class())
	if !ok {
		return p.observed(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgeResult, 2)
	first := p.fork(p.run)
	started := time.Now()
	first.start(ctx, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	open := 1
	for {
		select {
		case <-timer.C:
			if second := p.second(first, started); second != nil {
				open++
				second.start(ctx, results)
			}
		case r := <-results:
			open--
			if r.good() || open == 0 {
				p.exclude = r.attempt.exclude
				return r.answer, r.err
			}
		}
	}
}

// class groups calls of like duration.
func (p *plain) class() string {
	return p.request.Service.Name + "/" + p.request.Route.Name
}

// observed makes one attempt and records its time.
func (p *plain) observed(ctx context.Context) (*plainservice.Answer, error) {
	started := time.Now()
	answer, err := p.dispatch(ctx)
	if err == nil {
		p.entry.HedgePolicy.Observe(p.class(), time.Since(started))
	}
	return answer, err
}

// fork returns the state for an attempt that runs beside another one.
func (p *plain) fork(run string) *plain {
	return &plain{
		entry:   p.entry,
		request: p.request,
		run:     run,
		suspect: p.suspect,
		version: p.version,
		exclude: slices.Clone(p.exclude),
		tries:   p.tries,
	}
}

// second returns the state of the hedge, or nil when there is none: the first
// attempt still waits for its target, or the budget is used up.
func (p *plain) second(first *plain, started time.Time) *plain {
	target := first.target.Load()
	if target == nil {
		return nil
	}
	allowed := p.entry.HedgePolicy.TryHedge(p.request.Service.Name, retry.Hedge{
		Class:      p.class(),
		Idempotent: true,
		Started:    started,
		Remaining:  time.Until(p.request.Deadline),
	})
	if !allowed {
		return nil
	}
	hedge := p.fork(p.entry.newRun())
	hedge.exclude = append(hedge.exclude, *target)
	return hedge
}

// start runs the attempt in a goroutine of its own. A canceled attempt ends soon,
// and its result fits into the channel.
func (p *plain) start(ctx context.Context, results chan<- hedgeResult) {
	go func() {
		answer, err := p.observed(ctx)
		results <- hedgeResult{attempt: p, answer: answer, err: err}
	}()
}
