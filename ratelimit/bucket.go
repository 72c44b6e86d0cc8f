package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// initialShare is the part of its burst with which a bucket starts. A bucket moves
// to another daemon when its keeper stops; each move must add little to what the
// account may take.
const initialShare = 0.125

// Bucket is the one bucket of a limit over all daemons, kept by one of them. The
// others lease units from it. It is safe for concurrent use.
type Bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// NewBucket returns a bucket that collects perSecond units up to burst.
func NewBucket(now time.Time, perSecond, burst float64) *Bucket {
	b := &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), atLeastOne(burst))}
	start := int(math.Ceil((1 - initialShare) * burst))
	b.limiter.AllowN(now, min(start, b.limiter.Burst()))
	return b
}

func atLeastOne(burst float64) int {
	return max(1, int(math.Min(burst, math.MaxInt32)))
}

// SetRate changes the rate and the burst. What the bucket holds stays.
func (b *Bucket) SetRate(now time.Time, perSecond, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, atLeastOne(burst))
}

// Lease takes at least some units, and up to most while the bucket is over half
// full. It returns 0 and the time until it has the least when it has fewer. A
// request larger than the bucket is served when it is full, and paid off later.
func (b *Bucket) Lease(now time.Time, least, most int) (units int, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.limiter.TokensAt(now)
	burst := float64(b.limiter.Burst())
	need := math.Min(float64(least), burst)
	if held < need {
		perSecond := math.Max(float64(b.limiter.Limit()), minRate)
		return 0, time.Duration((need - held) / perSecond * float64(time.Second))
	}
	units = least
	if spare := int(held - need - burst/2); spare > 0 {
		units += min(spare, max(0, most-least))
	}
	for left := units; left > 0; {
		step := min(left, b.limiter.Burst())
		b.limiter.ReserveN(now, step)
		left -= step
	}
	return units, 0
}

// minRate keeps waits finite for a limit of nothing, in units per second.
const minRate = 0.01
