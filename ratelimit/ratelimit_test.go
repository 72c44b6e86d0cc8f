package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// node is one daemon of the simulation. Messages between it and the divider are
// delayed, cut off for some time, or lost one at a time.
type node struct {
	name               string
	account            *Account
	offeredPerSecond   float64 // requests per second
	cutUntil           time.Time
	lastAnswerLost     bool
	fractionalRequests float64 // requests accrued but not offered yet
	allowed            int
	offered            int
}

type message struct {
	deliverAt time.Time
	deliver   func(now time.Time)
}

// cluster runs nodes and one or more dividers in steps of 20 ms.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	nodes      []*node
	dividers   []*Divider
	messages   []message
	faults     bool
	floorsOnly bool // no reports: the limit is divided equally
}

const (
	step           = 20 * time.Millisecond
	stepsPerSecond = int(time.Second / step)
)

func newCluster(rng *rand.Rand, nodes int, limit float64) *cluster {
	c := &cluster{rng: rng, now: start}
	for i := range nodes {
		c.nodes = append(c.nodes, &node{name: fmt.Sprint("d", i), account: NewAccount(start, limit, nodes)})
	}
	c.addDivider(limit)
	return c
}

func (c *cluster) addDivider(limit float64) {
	var names []string
	for _, n := range c.nodes {
		names = append(names, n.name)
	}
	c.dividers = append(c.dividers, NewDivider(c.now, limit, names))
}

func (c *cluster) delay() time.Duration {
	if !c.faults {
		return step
	}
	return time.Duration(c.rng.IntN(200)) * time.Millisecond
}

func (c *cluster) send(deliver func(now time.Time)) {
	c.messages = append(c.messages, message{c.now.Add(c.delay()), deliver})
}

// tick advances the clock by one step and returns the sum of the rates in force.
func (c *cluster) tick(i int) (sum float64) {
	c.now = c.now.Add(step)
	undelivered := c.messages[:0:0]
	for _, m := range c.messages {
		if m.deliverAt.After(c.now) {
			undelivered = append(undelivered, m)
		} else {
			m.deliver(c.now)
		}
	}
	c.messages = undelivered
	if i%stepsPerSecond == 0 && !c.floorsOnly {
		c.exchangeReports()
	}
	for _, n := range c.nodes {
		sum += n.account.Rate(c.now)
		for n.fractionalRequests += n.offeredPerSecond * step.Seconds(); n.fractionalRequests >= 1; n.fractionalRequests-- {
			n.offered++
			if n.account.Allow(c.now, 1) {
				n.allowed++
			}
		}
	}
	return sum
}

// exchangeReports sends the dividers' answers to the reports received so far, and
// the nodes' new reports.
func (c *cluster) exchangeReports() {
	for _, d := range c.dividers {
		for _, p := range d.Divide(c.now) {
			for _, n := range c.nodes {
				c.sendPortion(n, p)
			}
		}
	}
	for _, n := range c.nodes {
		if c.faults && c.rng.IntN(20) == 0 {
			n.cutUntil = c.now.Add(time.Duration(c.rng.IntN(12)) * time.Second)
		}
		demand := n.account.UpdateDemand(c.now)
		if c.now.Before(n.cutUntil) {
			continue
		}
		d := c.dividers[c.rng.IntN(len(c.dividers))]
		c.send(func(now time.Time) { d.Report(now, n.name, demand) })
	}
}

// sendPortion sends a portion to n if it is meant for n and is neither cut off nor
// lost.
func (c *cluster) sendPortion(n *node, p Portion) {
	if p.Daemon != n.name || c.now.Before(n.cutUntil) {
		return
	}
	n.lastAnswerLost = c.faults && !n.lastAnswerLost && c.rng.IntN(10) == 0
	if n.lastAnswerLost {
		return
	}
	// The node sent the report in the previous round, a second ago.
	reportedAt := c.now.Add(-time.Second)
	c.send(func(now time.Time) { n.account.SetPortion(now, p.PerSecond, reportedAt) })
}

// Guards against rates that add up to more than the limit while one divider works,
// under partitions, delays, lost portions and changing load, and to more than twice
// the limit while two daemons act as the divider.
func TestRatesAddUpToAtMostTheLimit(t *testing.T) {
	for _, dividers := range []int{1, 2} {
		rapid.Check(t, func(t *rapid.T) {
			nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			const limit = 100.0
			c := newCluster(rng, nodes, limit)
			c.faults = true
			for range dividers - 1 {
				c.addDivider(limit)
			}
			for i := range 60 * stepsPerSecond {
				if i%(3*stepsPerSecond) == 0 {
					c.nodes[rng.IntN(nodes)].offeredPerSecond = float64(rng.IntN(150))
				}
				sum := c.tick(i)
				if sum > limit*float64(dividers)*(1+1e-9) {
					t.Fatalf("rates add up to %.3f of %.0f after %s with %d dividers", sum, limit, c.now.Sub(start), dividers)
				}
			}
		})
	}
}

// Guards against a new divider that hands out rates that are still in use by
// portions of an earlier divider.
func TestNewDividerWaitsUntilEarlierPortionsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const limit = 100.0
		c := newCluster(rng, 6, limit)
		for i := range 40 * stepsPerSecond {
			if i%(3*stepsPerSecond) == 0 {
				c.nodes[rng.IntN(6)].offeredPerSecond = float64(rng.IntN(150))
			}
			if i%(10*stepsPerSecond) == 5*stepsPerSecond {
				c.dividers = nil
				c.addDivider(limit)
			}
			if sum := c.tick(i); sum > limit*(1+1e-9) {
				t.Fatalf("rates add up to %.1f of %.0f after %s", sum, limit, c.now.Sub(start))
			}
		}
	})
}

// Guards against a division that leaves part of an account's limit unused because
// most of its callers connect to one daemon.
func TestUsedShareUnderSkewedLoad(t *testing.T) {
	allowedShare := func(floorsOnly bool) float64 {
		c := newCluster(rand.New(rand.NewPCG(1, 1)), 6, 100)
		c.floorsOnly = floorsOnly
		for i, n := range c.nodes {
			n.offeredPerSecond = 3
			if i == 0 {
				n.offeredPerSecond = 80
			}
		}
		for i := range 60 * stepsPerSecond {
			c.tick(i)
		}
		allowed, offered := 0, 0
		for _, n := range c.nodes {
			allowed += n.allowed
			offered += n.offered
		}
		return float64(allowed) / float64(offered)
	}
	portions, equal := allowedShare(false), allowedShare(true)
	t.Logf("95%% of the limit offered, 80 of 95 at one of 6 daemons, 60 s: %.1f%% allowed with portions, %.1f%% with equal division", 100*portions, 100*equal)
	assert.Assert(t, portions > 0.93 && equal < 0.4)
}

// Guards against buckets that allow more than the rate plus one burst, and
// against costs above the burst that are never allowed.
func TestAccountBucket(t *testing.T) {
	a := NewAccount(start, 100, 10)
	allowed := 0
	for i := range 10_000 {
		if a.Allow(start.Add(time.Duration(i)*time.Millisecond), 1) {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 100 && allowed <= 110, "%d in 10 s at 10/s", allowed)
	now := start.Add(time.Minute)
	assert.Assert(t, a.Allow(now, 50), "a full bucket allows a larger cost")
	assert.Assert(t, !a.Allow(now.Add(4*time.Second), 1), "the debt of the larger cost is not paid off yet")
	wait := a.RetryAfter(now.Add(4*time.Second), 1)
	assert.Assert(t, wait > 0 && a.Allow(now.Add(4*time.Second+wait+time.Millisecond), 1))
	tiny := NewAccount(start, 1, 100)
	assert.Assert(t, tiny.Allow(start.Add(time.Hour), 1), "a floor below 1/s still allows requests")
}

// Guards against a portion that is used after its validity, and against an answer
// to an old report that replaces a newer portion.
func TestPortionExpiry(t *testing.T) {
	a := NewAccount(start, 100, 10)
	a.SetPortion(start, 50, start)
	assert.Equal(t, a.Rate(start.Add(PortionValidity-1)), 50.0)
	assert.Equal(t, a.Rate(start.Add(PortionValidity)), 10.0)
	late := start.Add(10 * time.Second)
	a.SetPortion(late, 2, late)
	a.SetPortion(late, 90, late.Add(-time.Second))
	assert.Equal(t, a.Rate(late.Add(PortionValidity+FloorDelay-1)), 2.0, "kept below the floor while the divider takes it back")
	assert.Equal(t, a.Rate(late.Add(PortionValidity+FloorDelay)), 10.0)
}
