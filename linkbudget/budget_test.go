package linkbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// charger is implemented by Budget and singleBucket.
type charger interface {
	TryCharge(now time.Time, d Direction, tier int, bytes int64) bool
}

// singleBucket is the alternative for comparison: one bucket for all tiers.
type singleBucket struct {
	bytes      float64
	refilledAt time.Time
}

func (o *singleBucket) TryCharge(now time.Time, _ Direction, _ int, bytes int64) bool {
	const perSecond = LinkBytesPerSecond * RequestShare
	o.bytes = min(o.bytes+now.Sub(o.refilledAt).Seconds()*perSecond, perSecond)
	o.refilledAt = now
	if o.bytes < float64(bytes) {
		return false
	}
	o.bytes -= float64(bytes)
	return true
}

// offerLoad simulates 60 s in which each tier offers perSecond requests of 20 KB per
// second. It returns the rate that each tier got as a share of the requests' half.
func offerLoad(b charger, perSecond [3]int) (shares [3]float64) {
	const bytes, seconds = 20_000, 60
	var backlog [3]float64
	for i := range seconds * 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for tier := 2; tier >= 0; tier-- {
			for backlog[tier] += float64(perSecond[tier]) / 1000; backlog[tier] >= 1; backlog[tier]-- {
				if b.TryCharge(now, Out, tier, bytes) {
					shares[tier] += bytes
				}
			}
		}
	}
	for tier := range shares {
		shares[tier] /= seconds * LinkBytesPerSecond * RequestShare
	}
	return shares
}

// Guards against tiers that exceed their caps, against lower tiers that reduce the share
// of tier 0, and against requests that use more than half of a 30 Mbit/s link.
func TestCapsAt30Mbit(t *testing.T) {
	const flood = 500 // requests/s, 80 Mbit/s
	newBudget := func() *Budget { return New(start, LinkBytesPerSecond, 1) }
	for tier, limit := range []float64{1, 0.6, 0.3} {
		var load [3]int
		load[tier] = flood
		got := offerLoad(newBudget(), load)[tier]
		assert.Assert(t, got > 0.98*limit && got < 1.02*limit, "tier %d alone got %.3f", tier, got)
	}
	got := offerLoad(newBudget(), [3]int{flood, flood, flood})
	assert.Assert(t, got[0]+got[1]+got[2] < 1.02)
	assert.Assert(t, got[0] > 0.97, "tier 0 under full load must leave the others almost nothing: %v", got)
	got = offerLoad(newBudget(), [3]int{0, flood, flood})
	assert.Assert(t, got[1] > 0.58 && got[1]+got[2] < 0.62, "%v", got)
	// Tier 0 offers 35% of the half, less than the caps of the other tiers leave it.
	lightTier0 := [3]int{33, flood, flood}
	got, single := offerLoad(newBudget(), lightTier0), offerLoad(&singleBucket{refilledAt: start}, lightTier0)
	t.Logf("tier 0 offers 0.35 of the half, the others 10 times the half: it gets %.3f with caps, %.3f with one bucket", got[0], single[0])
	assert.Assert(t, got[0] > 0.34 && single[0] < 0.2)
}

// Guards against directions that share a bucket, portions that ignore the number of live
// daemons, and corrections that CorrectCharge does not apply.
func TestDirectionsPortionsAndCorrections(t *testing.T) {
	b := New(start, LinkBytesPerSecond, 10)
	portion := int64(LinkBytesPerSecond * RequestShare / 10)
	assert.Assert(t, b.TryCharge(start, Out, 0, portion))
	assert.Assert(t, !b.TryCharge(start, Out, 0, 1))
	assert.Assert(t, b.TryCharge(start, In, 0, portion))
	// The answer was three times as long as expected, so two more seconds are needed to
	// refill the bucket.
	b.CorrectCharge(start, Out, 0, portion, 3*portion)
	assert.Equal(t, b.Used(Out), 3*portion)
	assert.Assert(t, !b.TryCharge(start.Add(1999*time.Millisecond), Out, 0, 1))
	assert.Assert(t, b.TryCharge(start.Add(2001*time.Millisecond), Out, 0, 1))
	// A request that sent nothing returns its bytes.
	b.CorrectCharge(start, In, 0, portion, 0)
	assert.Assert(t, b.TryCharge(start, In, 0, portion))
	assert.Assert(t, b.TryCharge(start.Add(10*time.Second), In, 2, 5*portion), "larger than the bucket")
	assert.Assert(t, !b.TryCharge(start.Add(14*time.Second), In, 2, 1))
}
