package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against first attempts that are put behind others because their ingress has
// a longer timeout than its callers wait.
func TestReturnedCallersAreKnownByTheirTime(t *testing.T) {
	detector := callerRetryDetector{longestTimeLeft: make(map[string]time.Duration)}
	assert.Assert(t, !detector.observe("a", 12*time.Second))
	assert.Assert(t, !detector.observe("a", 11950*time.Millisecond))
	assert.Assert(t, detector.observe("a", 9*time.Second))
	assert.Assert(t, !detector.observe("b", 2*time.Second))
	assert.Assert(t, !detector.observe("a", 0))
	assert.Assert(t, !detector.observe("a", 12*time.Second))
}
