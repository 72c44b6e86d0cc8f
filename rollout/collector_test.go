package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers that are counted while no move is in progress, against
// answers of the old version that are counted as fast before the limit for slow
// answers is known, and against a wrong limit.
func TestCollector(t *testing.T) {
	s := NewTrafficSplitWithClock(func() time.Time { return startTime })
	s.SetConfig(testSet())
	c := NewCollector(s, "d/1")
	o := Observation{Service: "s", Version: "v1", Route: "r", Target: "t", Latency: 100 * time.Millisecond}
	c.Observe(o)
	assert.Equal(t, len(c.Drain()), 0)
	applyTestRow(t, s, 1, testRow(Shifting, 100))
	for i := range 50 {
		o.Latency = time.Duration(i+1) * 10 * time.Millisecond
		c.Observe(o)
	}
	assert.Equal(t, len(c.Drain()), 0)
	o.Version = "v2"
	for _, latency := range []time.Duration{100, 400, 600} {
		o.Latency = latency * time.Millisecond
		c.Observe(o)
	}
	o.Failed = true
	c.Observe(o)
	e := c.Drain()
	assert.Equal(t, len(e), 1)
	assert.DeepEqual(t, e[0].Strata, []StratumCounts{{Version: "v2", Route: "r", Target: "t", Requests: 4, Errors: 1, Slow: 1}})
	assert.Equal(t, len(c.Drain()), 0)
}
