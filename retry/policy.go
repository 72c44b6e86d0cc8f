package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BackoffBase is the largest delay before the first retry.
	BackoffBase = 50 * time.Millisecond
	// BackoffCap is the largest delay before any retry.
	BackoffCap = 2 * time.Second
	// DefaultMaxAttempts bounds the attempts of one request. After two targets
	// lost to a crash request, five attempts still leave two for other faults.
	DefaultMaxAttempts = 5
)

// Random returns a uniformly distributed number in [0, 1).
type Random func() float64

// Policy decides about the retries of one service. It is safe for concurrent use
// if Random is and its fields are not changed.
type Policy struct {
	Budget      *Budget
	MaxAttempts int
	Random      Random
}

// NewPolicy returns a policy with the default limits.
func NewPolicy() *Policy {
	return &Policy{
		Budget:      NewBudget(DefaultRatio, DefaultMinPerSecond),
		MaxAttempts: DefaultMaxAttempts,
		Random:      rand.Float64,
	}
}

// Decide returns what to do after an attempt. It takes a retry from the budget when
// the action is charged to it.
func (p *Policy) Decide(now time.Time, a Attempt) Action {
	action := Decide(a)
	switch action.Kind {
	case RetryElsewhere, RetryAfter, Resume:
	default:
		return action
	}
	if a.Number >= p.MaxAttempts {
		return finalAction(a)
	}
	action.Delay += Backoff(a.Number, p.Random)
	if !FitsDeadline(a.Remaining, action.Delay, a.Expected) {
		return finalAction(a)
	}
	if action.Charged && !p.Budget.TryRetry(now) {
		return finalAction(a)
	}
	return action
}

// Backoff returns the delay after the attempt with this number, which is 1 for the
// first. It is exponential backoff with full jitter: uniform between 0 and a limit
// that is 50 ms for the first retry and doubles with each further one, up to 2 s.
func Backoff(number int, random Random) time.Duration {
	limit := BackoffBase
	for i := 1; i < number && limit < BackoffCap; i++ {
		limit *= 2
	}
	return time.Duration(random() * float64(min(limit, BackoffCap)))
}

// FitsDeadline reports whether an attempt that starts after delay and takes the
// expected time ends before the deadline, which is remaining away.
func FitsDeadline(remaining, delay, expected time.Duration) bool {
	return remaining > 0 && delay+expected < remaining
}

// AttemptTimeout returns how long an attempt may take. A repeatable attempt leaves
// enough time for another one of the expected duration, if its own timeout is then
// still at least twice that duration.
func AttemptTimeout(remaining, expected time.Duration, repeatable bool) time.Duration {
	if repeatable && expected > 0 && remaining >= 3*expected {
		return remaining - expected
	}
	return max(remaining, 0)
}
