package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// retryPolicy is the part of Policy that the simulation of a retry storm uses;
// immediateRetries implements it too.
type retryPolicy interface {
	Decide(now time.Time, a Attempt) Action
}

// immediateRetries retries up to four times, without delay or budget.
type immediateRetries struct{}

func (immediateRetries) Decide(_ time.Time, a Attempt) Action {
	if a.Number >= DefaultMaxAttempts {
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: RetryElsewhere}
}

type stormRequest struct {
	attempt  int
	deadline time.Time
	// enqueuedAt is when the attempt reached the pool, retryAt when the next one
	// starts.
	enqueuedAt, retryAt time.Time
	done, refused       bool
}

type stormResult struct {
	// peakAttemptsPerRequest is the largest number of attempts per new request in
	// any second.
	peakAttemptsPerRequest float64
	// answeredDuringFault and answeredAfterFault are the shares of requests
	// answered in time during the fault and in the minute after it.
	answeredDuringFault, answeredAfterFault float64
}

const (
	stormStep = 10 * time.Millisecond
	// stormQueueLimit is 2 s of work, twice the timeout of an attempt: a pool
	// whose queue stays full only works on attempts that have timed out.
	stormQueueLimit     = 250
	stormAttemptTimeout = time.Second
)

// stormPool serves its queue in order of arrival, at 125 attempts/s, and at 50/s
// during the fault in seconds 10 to 40. It also serves attempts that timed out.
type stormPool struct {
	queue      []*stormRequest
	workCredit float64
	attempts   int
}

func isFaultSecond(second int) bool { return second >= 10 && second < 40 }

// enqueue adds an attempt of a request, or refuses it when the queue is full.
func (p *stormPool) enqueue(now time.Time, r *stormRequest) {
	p.attempts++
	r.enqueuedAt, r.retryAt = now, time.Time{}
	r.refused = len(p.queue) >= stormQueueLimit
	if !r.refused {
		p.queue = append(p.queue, r)
	}
}

// serve works for one step and returns the number of requests answered in time.
func (p *stormPool) serve(now time.Time, second int) (answered float64) {
	rate := 125.0
	if isFaultSecond(second) {
		rate = 50
	}
	for p.workCredit += rate * stormStep.Seconds(); p.workCredit >= 1 && len(p.queue) > 0; p.workCredit-- {
		r := p.queue[0]
		p.queue = p.queue[1:]
		if !r.done && r.retryAt.IsZero() && now.Sub(r.enqueuedAt) < stormAttemptTimeout {
			r.done = true
			answered++
		}
	}
	p.workCredit = min(p.workCredit, 1)
	return answered
}

// endedAttempt returns the present attempt of a request and whether it has ended
// without an answer in time.
func (r *stormRequest) endedAttempt(now time.Time) (Attempt, bool) {
	a := Attempt{Number: r.attempt, Idempotent: true, Remaining: r.deadline.Sub(now), Expected: 50 * time.Millisecond}
	if r.refused {
		a.Outcome, a.Status = Answered, 503
		return a, true
	}
	a.Outcome = TimedOut
	return a, now.Sub(r.enqueuedAt) >= stormAttemptTimeout
}

// simulateStorm offers 100 requests/s to a pool for 100 s. Each request has a
// deadline of 6 s.
func simulateStorm(policy retryPolicy, countRequest func(now time.Time)) stormResult {
	pool := &stormPool{}
	var open []*stormRequest
	var result stormResult
	for i := range 10000 {
		now, second := start.Add(time.Duration(i)*stormStep), i/100
		countRequest(now)
		request := &stormRequest{attempt: 1, deadline: now.Add(6 * time.Second)}
		pool.enqueue(now, request)
		open = append(open, request)
		answered := pool.serve(now, second)
		if isFaultSecond(second) {
			result.answeredDuringFault += answered / 3000
		} else if second >= 40 {
			result.answeredAfterFault += answered / 6000
		}
		open = slices.DeleteFunc(open, func(r *stormRequest) bool { return r.step(now, policy, pool) })
		if i%100 == 99 {
			result.peakAttemptsPerRequest = max(result.peakAttemptsPerRequest, float64(pool.attempts)/100)
			pool.attempts = 0
		}
	}
	return result
}

// step starts a retry that is due or decides about an attempt that has ended, and
// reports whether the request is over.
func (r *stormRequest) step(now time.Time, policy retryPolicy, pool *stormPool) bool {
	if r.done {
		return true
	}
	if !r.retryAt.IsZero() {
		if !now.Before(r.retryAt) {
			pool.enqueue(now, r)
		}
		return false
	}
	a, ended := r.endedAttempt(now)
	if !ended {
		return false
	}
	action := policy.Decide(now, a)
	if action.Kind != RetryElsewhere {
		return true
	}
	r.attempt++
	r.retryAt = now.Add(action.Delay)
	return false
}

// Guards against retries that keep a pool overloaded after its fault has ended.
func TestRetryStormIsDamped(t *testing.T) {
	immediate := simulateStorm(immediateRetries{}, func(time.Time) {})
	p := NewPolicy()
	p.Random = rand.New(rand.NewPCG(3, 4)).Float64
	budgeted := simulateStorm(p, p.Budget.CountRequest)
	t.Logf("immediate retry: peak %.2f attempts per request, answered in time %.1f%% during and %.1f%% after the fault", immediate.peakAttemptsPerRequest, 100*immediate.answeredDuringFault, 100*immediate.answeredAfterFault)
	t.Logf("retry budget:    peak %.2f attempts per request, answered in time %.1f%% during and %.1f%% after the fault", budgeted.peakAttemptsPerRequest, 100*budgeted.answeredDuringFault, 100*budgeted.answeredAfterFault)
	assert.Assert(t, immediate.peakAttemptsPerRequest > 3)
	// The budget is counted over 10 s and may be spent in one of them.
	assert.Assert(t, budgeted.peakAttemptsPerRequest <= 2.2)
	assert.Assert(t, budgeted.answeredAfterFault > 0.8 && immediate.answeredAfterFault < 0.6)
}
