package rollout

import (
	"fmt"
	"math/rand/v2"
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
	for range minSamples - 2 {
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
	for i := range 50 {
		o.Latency = time.Duration(i+1) * 10 * time.Millisecond
		c.Observe(o)
	}
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
	for i := range 10 * (minSamples - 1) {
		c.Observe(Observation{Service: "s", Version: "v1", Route: strconv.Itoa(i % 10), Target: "t", Latency: 30 * time.Millisecond, Pace: 20 * time.Millisecond})
	}
	applyTestRow(t, s, 1, testRow(Shifting, 100))
	c.Observe(Observation{Service: "s", Version: "v2", Route: "3", Target: "n", Latency: 100 * time.Millisecond, Pace: 60 * time.Millisecond})
	e := c.Drain()
	assert.Equal(t, len(e), 1)
	assert.DeepEqual(t, e[0].Strata, []StratumCounts{{Version: "v2", Route: "3", Target: "n", Requests: 1, Timed: 1, Slow: 1, Paced: 1, SlowPaced: 1}})
}

// Guards against a slow version that is kept in a large system, where each of many daemons
// sees only a few answers before and during the move.
func TestSlowVersionIsFoundByManyDaemons(t *testing.T) {
	const daemons = 200
	r := rand.New(rand.NewPCG(1, 9))
	active := []ActiveMove{{Move: "m", Attempt: 1, From: "v1", To: "v2"}}
	tally := NewTally("v1", "v2")
	var collectors []*Collector
	for i := range daemons {
		collectors = append(collectors, NewCollector(NewTrafficSplit(), fmt.Sprint("d", i)))
	}
	observe := func(active []ActiveMove, newShare float64) {
		o := Observation{Service: "s", Version: "v1", Route: fmt.Sprint("r", r.IntN(3)), Target: "t", Latency: 30 * time.Millisecond, Pace: time.Duration(15+r.IntN(10)) * time.Millisecond}
		if r.Float64() < newShare {
			o.Version, o.Target, o.Pace = "v2", "n", 3*o.Pace
		}
		collectors[r.IntN(daemons)].observe(active, &o)
	}
	// Two answers a second and daemon, for five seconds before the move and for three after.
	for range 5 * 2 * daemons {
		observe(nil, 0)
	}
	for second := range 3 {
		now := startTime.Add(time.Duration(second) * time.Second)
		for range 2 * daemons {
			observe(active, 0.05)
		}
		for _, c := range collectors {
			for _, e := range c.Drain() {
				tally.Merge(now, e)
			}
		}
		if NewSequentialTest().SplitAmong(2).Evaluate(tally, now, 2000).Bad {
			return
		}
	}
	t.Fatal("the version passed")
}
