package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against first attempts that are treated as caller retries, and so queued behind
// others, because the timeout of their ingress is longer than its callers wait.
func TestCallerRetriesAreDetectedByTimeLeft(t *testing.T) {
	detector := callerRetryDetector{longestTimeLeft: make(map[string]time.Duration)}
	assert.Assert(t, !detector.observe("a", 12*time.Second))
	assert.Assert(t, !detector.observe("a", 11950*time.Millisecond))
	assert.Assert(t, detector.observe("a", 9*time.Second))
	assert.Assert(t, !detector.observe("b", 2*time.Second))
	assert.Assert(t, !detector.observe("a", 0))
	assert.Assert(t, !detector.observe("a", 12*time.Second))
}
