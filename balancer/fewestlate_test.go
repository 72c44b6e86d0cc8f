package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a long prompt that is placed beside short streams on a slow target
// because it finishes earlier there: its prefill makes all these streams late.
func TestFewestLateCountsLateStreams(t *testing.T) {
	pick := FewestLate{}.Build(0).Pick
	ms := time.Millisecond
	targets := []Target{
		{InFlight: 6, FirstToken: 100 * ms, FirstTokenLimit: 800 * ms, DelaysStreams: true, Finish: time.Second},
		{InFlight: 6, FirstToken: 300 * ms, FirstTokenLimit: 800 * ms, Finish: 3 * time.Second},
		{InFlight: 2, FirstToken: 750 * ms, FirstTokenLimit: 800 * ms},
	}
	assert.Equal(t, pick(targets), 1)
	// A late first token of the request itself counts as much as one late stream, and
	// so does an answer that ends too late.
	assert.Equal(t, pick([]Target{
		{InFlight: 2, FirstToken: 10 * ms, FirstTokenLimit: 800 * ms, DelaysStreams: true},
		{FirstToken: 900 * ms, FirstTokenLimit: 800 * ms},
	}), 1)
	assert.Equal(t, pick([]Target{
		{FirstToken: 10 * ms, Finish: 2 * time.Second, FinishLimit: time.Second},
		{FirstToken: 20 * ms, Finish: time.Second / 2, FinishLimit: time.Second},
	}), 1)
	// Nothing is late: the earliest first token wins.
	assert.Equal(t, pick([]Target{{FirstToken: 20 * ms}, {FirstToken: 10 * ms, InFlight: 9}}), 1)
}
