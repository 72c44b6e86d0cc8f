package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers who are told to come back when too little time is left, and
// against those of one burst coming back together.
func TestCallersReturnInTimeAndApart(t *testing.T) {
	assert.Equal(t, boundRetryAfter(10*time.Second, 12*time.Second, 0), 4*time.Second)
	assert.Equal(t, boundRetryAfter(2*time.Second, 12*time.Second, 0), 2*time.Second)
	assert.Equal(t, boundRetryAfter(2*time.Second, 12*time.Second, 1), 1500*time.Millisecond)
	assert.Equal(t, boundRetryAfter(time.Second, -time.Second, 0.5), time.Duration(0))
}
