package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a Retry-After that leaves the caller too little time, and against callers
// of one burst that retry at the same time.
func TestRetryAfterIsBoundedAndJittered(t *testing.T) {
	assert.Equal(t, boundRetryAfter(10*time.Second, 12*time.Second, 0), 4*time.Second)
	assert.Equal(t, boundRetryAfter(2*time.Second, 12*time.Second, 0), 2*time.Second)
	assert.Equal(t, boundRetryAfter(2*time.Second, 12*time.Second, 1), 1500*time.Millisecond)
	assert.Equal(t, boundRetryAfter(time.Second, -time.Second, 0.5), time.Duration(0))
}
