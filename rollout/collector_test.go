package rollout

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers that are counted while no move is in progress, against answers that
// are counted as fast before the limit for slow answers is known, and against a wrong limit.
func TestCollector(t *testing.T) {
	s := NewTrafficSplitWithClock(func() time.Time { return startTime })
	s.SetConfig(testSet())
	c := NewCollector(s, "d/1")
	o := Observation{Service: "s", Version: "v1", Route: "r", Target: "t", Latency: 100 * time.Millisecond}
	c.Observe(o)
	assert.Equal(t, len(c.Drain()), 0)
	applyTestRow(t, s, 1, testRow(Shifting, 100))
	for i := range 48 {
		o.Latency = time.Duration(i+1) * 10 * time.Millisecond
		c.Observe(o)
	}
	o.Version = "v2"
	c.Observe(o)
	e := c.Drain()
	assert.Equal(t, len(e), 1)
	assert.Equal(t, len(e[0].Strata), 2)
	for _, counts := range e[0].Strata {
		assert.Equal(t, counts.Timed+counts.Slow, uint32(0))
	}
	o.Version = "v1"
	c.Observe(o)
	c.Drain()
	o.Version = "v2"
	for _, latency := range []time.Duration{100, 400, 600} {
		o.Latency = latency * time.Millisecond
		c.Observe(o)
	}
	o.Failed = true
	c.Observe(o)
	e = c.Drain()
	assert.Equal(t, len(e), 1)
	assert.DeepEqual(t, e[0].Strata, []StratumCounts{{Version: "v2", Route: "r", Target: "t", Requests: 4, Errors: 1, Timed: 3, Slow: 1}})
	assert.Equal(t, len(c.Drain()), 0)
}

// Guards against a slow version that is taken for a good one in the first seconds of a move,
// because each daemon learns the usual latency of the old version only from then on.
func TestLimitsAreKnownWhenAMoveBegins(t *testing.T) {
	s := NewTrafficSplitWithClock(func() time.Time { return startTime })
	s.SetConfig(testSet())
	c := NewCollector(s, "d/1")
	for range 100 {
		c.Observe(Observation{Service: "s", Version: "v1", Route: "r", Target: "t", Latency: 30 * time.Millisecond, Pace: 20 * time.Millisecond})
	}
	applyTestRow(t, s, 1, testRow(Shifting, 100))
	c.Observe(Observation{Service: "s", Version: "v2", Route: "r", Target: "n", Latency: 100 * time.Millisecond, Pace: 60 * time.Millisecond})
	e := c.Drain()
	assert.Equal(t, len(e), 1)
	assert.DeepEqual(t, e[0].Strata, []StratumCounts{{Version: "v2", Route: "r", Target: "n", Requests: 1, Timed: 1, Slow: 1, Paced: 1, SlowPaced: 1}})
}

// Guards against usual values that are kept for every route and version there ever was.
func TestUsualValuesAreBounded(t *testing.T) {
	c := NewCollector(NewTrafficSplit(), "d/1")
	for i := range 3 * maxUsualRoutes {
		c.Observe(Observation{Service: "s", Version: "v1", Route: strconv.Itoa(i), Latency: time.Millisecond})
	}
	assert.Equal(t, c.usual.Len(), maxUsualRoutes)
}

// Guards against a slow version that is taken for a good one on the routes that a daemon
// gets few requests for.
func TestRareRoutesUseTheLimitOfTheService(t *testing.T) {
	s := NewTrafficSplitWithClock(func() time.Time { return startTime })
	s.SetConfig(testSet())
	c := NewCollector(s, "d/1")
	for i := range 100 {
		c.Observe(Observation{Service: "s", Version: "v1", Route: strconv.Itoa(i % 10), Target: "t", Latency: 30 * time.Millisecond, Pace: 20 * time.Millisecond})
	}
	applyTestRow(t, s, 1, testRow(Shifting, 100))
	c.Observe(Observation{Service: "s", Version: "v2", Route: "3", Target: "n", Latency: 100 * time.Millisecond, Pace: 60 * time.Millisecond})
	e := c.Drain()
	assert.Equal(t, len(e), 1)
	assert.DeepEqual(t, e[0].Strata, []StratumCounts{{Version: "v2", Route: "3", Target: "n", Requests: 1, Timed: 1, Slow: 1, Paced: 1, SlowPaced: 1}})
}
