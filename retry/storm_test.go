package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// decider is what the storm simulation needs; blind implements it too.
type decider interface {
	Decide(now time.Time, a Attempt) Action
}

// blind retries at once up to four times, whatever the load.
type blind struct{}

func (blind) Decide(_ time.Time, a Attempt) Action {
	if a.Number >= DefaultMaxAttempts {
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: RetryElsewhere}
}

type stormRequest struct {
	attempt  int
	deadline time.Time
	// enqueued is when the attempt reached the pool, retryAt when the next starts.
	enqueued, retryAt time.Time
	done, refused     bool
}

type stormResult struct {
	// peak is the largest number of attempts per request in any second.
	peak float64
	// during and after are the shares of requests answered in time during the
	// fault and in the minute after it.
	during, after float64
}

const (
	stormStep = 10 * time.Millisecond
	// stormQueue is 2 s of work, twice the time after which an attempt times out:
	// a pool whose queue stays full does only work that nobody waits for.
	stormQueue   = 250
	stormTimeout = time.Second
)

// stormPool works on its queue in order of arrival, at 125/s and at 50/s during
// the fault in seconds 10 to 40. It also works on attempts that timed out.
type stormPool struct {
	queue    []*stormRequest
	credit   float64
	attempts int
}

func faulty(second int) bool { return second >= 10 && second < 40 }

func (p *stormPool) offer(now time.Time, r *stormRequest) {
	p.attempts++
	r.enqueued, r.retryAt = now, time.Time{}
	r.refused = len(p.queue) >= stormQueue
	if !r.refused {
		p.queue = append(p.queue, r)
	}
}

// work returns the number of requests answered in time.
func (p *stormPool) work(now time.Time, second int) (answered float64) {
	rate := 125.0
	if faulty(second) {
		rate = 50
	}
	for p.credit += rate * stormStep.Seconds(); p.credit >= 1 && len(p.queue) > 0; p.credit-- {
		r := p.queue[0]
		p.queue = p.queue[1:]
		if !r.done && r.retryAt.IsZero() && now.Sub(r.enqueued) < stormTimeout {
			r.done = true
			answered++
		}
	}
	p.credit = min(p.credit, 1)
	return answered
}

// ended returns the attempt of a request when it has ended.
func (r *stormRequest) ended(now time.Time) (Attempt, bool) {
	a := Attempt{Number: r.attempt, Idempotent: true, Remaining: r.deadline.Sub(now), Expected: 50 * time.Millisecond}
	if r.refused {
		a.Outcome, a.Status = Answered, 503
		return a, true
	}
	a.Outcome = TimedOut
	return a, now.Sub(r.enqueued) >= stormTimeout
}

// storm offers 100 requests/s for 100 s to a pool; a request has 6 s.
func storm(d decider, count func(now time.Time)) stormResult {
	pool := &stormPool{}
	var open []*stormRequest
	var result stormResult
	for i := range 10000 {
		now, second := start.Add(time.Duration(i)*stormStep), i/100
		count(now)
		fresh := &stormRequest{attempt: 1, deadline: now.Add(6 * time.Second)}
		pool.offer(now, fresh)
		open = append(open, fresh)
		answered := pool.work(now, second)
		if faulty(second) {
			result.during += answered / 3000
		} else if second >= 40 {
			result.after += answered / 6000
		}
		open = slices.DeleteFunc(open, func(r *stormRequest) bool { return r.step(now, d, pool) })
		if i%100 == 99 {
			result.peak = max(result.peak, float64(pool.attempts)/100)
			pool.attempts = 0
		}
	}
	return result
}

// step reports whether the request is over.
func (r *stormRequest) step(now time.Time, d decider, pool *stormPool) bool {
	if r.done {
		return true
	}
	if !r.retryAt.IsZero() {
		if !now.Before(r.retryAt) {
			pool.offer(now, r)
		}
		return false
	}
	a, ended := r.ended(now)
	if !ended {
		return false
	}
	action := d.Decide(now, a)
	if action.Kind != RetryElsewhere {
		return true
	}
	r.attempt++
	r.retryAt = now.Add(action.Delay)
	return false
}

// Guards against retries that keep a pool overloaded after its fault has ended.
func TestRetryStormIsDamped(t *testing.T) {
	naive := storm(blind{}, func(time.Time) {})
	p := NewPolicy()
	p.Random = rand.New(rand.NewPCG(3, 4)).Float64
	budgeted := storm(p, p.Budget.CountRequest)
	t.Logf("blind retry:  peak %.2f attempts per request, answered in time %.1f%% during and %.1f%% after the fault", naive.peak, 100*naive.during, 100*naive.after)
	t.Logf("retry budget: peak %.2f attempts per request, answered in time %.1f%% during and %.1f%% after the fault", budgeted.peak, 100*budgeted.during, 100*budgeted.after)
	assert.Assert(t, naive.peak > 3)
	// The budget is counted over 10 s and may be spent in one of them.
	assert.Assert(t, budgeted.peak <= 2.2)
	assert.Assert(t, budgeted.after > 0.8 && naive.after < 0.6)
}
