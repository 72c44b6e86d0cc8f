package replytime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testBounds = Bounds{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond, Initial: 200 * time.Millisecond}

// Guards against a wait that does not follow the peer: a near one is waited for briefly, one
// that has become slow longer, and no one longer than the bound.
func TestBoundFollowsThePeer(t *testing.T) {
	e := New(testBounds)
	assert.Equal(t, e.Bound("a"), testBounds.Initial)
	for range 20 {
		e.Observe("a", 2*time.Millisecond)
		e.Observe("far", 90*time.Millisecond)
	}
	assert.Equal(t, e.Bound("a"), testBounds.Min)
	assert.Assert(t, e.Bound("far") > 90*time.Millisecond && e.Bound("far") < 150*time.Millisecond, "%v", e.Bound("far"))
	for range 3 {
		e.Observe("a", 150*time.Millisecond)
	}
	assert.Assert(t, e.Bound("a") > 200*time.Millisecond, "%v", e.Bound("a"))
	e.Observe("a", 10*time.Second)
	assert.Equal(t, e.Bound("a"), testBounds.Max)
}
