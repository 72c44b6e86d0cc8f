package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/retry"
)

// Guards against daemons that each use the whole slack of the common retry budget, the
// retries that are permitted whatever the number of requests: 69 daemons would permit 690
// retries in ten seconds instead of 178.
func TestRetryBudgetIsDivided(t *testing.T) {
	granted := func(r *retryPolicies) int {
		count := 0
		for range 1000 {
			a := retry.Attempt{Outcome: retry.MaybeSent, Idempotent: true, Number: 1, Remaining: time.Minute}
			if r.Decide("s", a).Kind == retry.RetryElsewhere {
				count++
			}
		}
		return count
	}
	r := newRetryPolicies()
	r.setBudget(0.1, 8.9/69)
	assert.Assert(t, granted(r) <= 2)
	for range 100 {
		r.CountRequest("s")
	}
	assert.Assert(t, granted(r) <= 11)
	r.setBudget(0.1, 100)
	assert.Assert(t, granted(r) > 100)
}
