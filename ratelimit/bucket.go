package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// initialFillShare is the share of its burst that a new bucket holds. When the
// daemon that keeps a bucket stops, another one creates it anew, which must add
// little to what the account may take.
const initialFillShare = 0.125

// Bucket is the single token bucket of a limit across all daemons. One daemon keeps
// it, and the others lease units from it. It is safe for concurrent use.
type Bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// NewBucket returns a bucket that gains perSecond units per second, up to burst. It
// starts with an eighth of burst.
func NewBucket(now time.Time, perSecond, burst float64) *Bucket {
	b := &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(burst))}
	initialUse := int(math.Ceil((1 - initialFillShare) * burst))
	b.limiter.AllowN(now, min(initialUse, b.limiter.Burst()))
	return b
}

// burstSize converts a burst to an integer of at least 1.
func burstSize(burst float64) int {
	return max(1, int(math.Min(burst, math.MaxInt32)))
}

// SetRate changes the rate, in units per second, and the burst. The units in the
// bucket stay.
func (b *Bucket) SetRate(now time.Time, perSecond, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burstSize(burst))
}

// Lease takes at least minUnits, and more, up to maxUnits, as long as that leaves the
// bucket half full, so that units leased in advance are not missing elsewhere. When
// the bucket has fewer than minUnits, it returns 0 and the time until it has that
// many. A minUnits above the bucket's size is granted when the bucket is full, and
// leaves it in debt.
func (b *Bucket) Lease(now time.Time, minUnits, maxUnits int) (units int, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.limiter.TokensAt(now)
	burst := float64(b.limiter.Burst())
	required := math.Min(float64(minUnits), burst)
	if available < required {
		perSecond := math.Max(float64(b.limiter.Limit()), minRefillRate)
		return 0, time.Duration((required - available) / perSecond * float64(time.Second))
	}
	units = minUnits
	if spare := int(available - required - burst/2); spare > 0 {
		units += min(spare, max(0, maxUnits-minUnits))
	}
	for remaining := units; remaining > 0; {
		step := min(remaining, b.limiter.Burst())
		b.limiter.ReserveN(now, step)
		remaining -= step
	}
	return units, 0
}

// minRefillRate, in units per second, keeps waits finite when the limit is 0.
const minRefillRate = 0.01
