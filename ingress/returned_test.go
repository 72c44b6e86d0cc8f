package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against first attempts that are put behind others because their ingress has
// a longer timeout than its callers wait.
func TestReturnedCallersAreKnownByTheirTime(t *testing.T) {
	times := callerTimes{longest: make(map[string]time.Duration)}
	assert.Assert(t, !times.returned("a", 12*time.Second))
	assert.Assert(t, !times.returned("a", 11950*time.Millisecond))
	assert.Assert(t, times.returned("a", 9*time.Second))
	assert.Assert(t, !times.returned("b", 2*time.Second))
	assert.Assert(t, !times.returned("a", 0))
	assert.Assert(t, !times.returned("a", 12*time.Second))
}
