package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that accepts requests until its grace period ends, or that leaves too
// little of it for them: whatever the period, a third is for new requests at most, half is for
// attempts that have begun, and the last answers are sent before it is over.
func TestStopScheduleFitsTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		assert.Assert(t, s.stopAccepting > 0 && s.stopAccepting <= grace/3, "%v: %+v", grace, s)
		assert.Assert(t, s.stopAccepting < s.shutDown && s.shutDown <= s.stopWaiting, "%v: %+v", grace, s)
		assert.Assert(t, s.stopWaiting <= grace/2 && s.stopWaiting < s.abort, "%v: %+v", grace, s)
		assert.Assert(t, s.abort <= grace-min(exitMargin, grace/4) && s.abort >= grace*3/4, "%v: %+v", grace, s)
	}
}
