package linkbudget

import (
	"sync"
	"time"
)

const (
	// LinkBytesPerSecond is the capacity of the link in each direction: 30 Mbit/s.
	LinkBytesPerSecond = 30e6 / 8
	// RequestShare is the share of the link's capacity that requests may use.
	RequestShare = 0.5
	// burstDuration is the time after which an empty bucket is full again. Longer bursts
	// would delay the other traffic of the link.
	burstDuration = time.Second
	// roundingBytes is the tolerance for rounding errors in the sums of bytes.
	roundingBytes = 1e-3
)

// tierShares holds, by tier, the share of the requests' half of the link that the tier may
// use. The last share is also that of all lower tiers.
var tierShares = [...]float64{1, 0.6, 0.3}

// Direction is a direction of traffic on the link.
type Direction uint8

const (
	// Out is from this region to another region.
	Out Direction = iota
	// In is from another region to this region.
	In

	directionCount
)

// Budget is one daemon's portion of the link's capacity for requests. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// portionBytesPerSecond is this daemon's portion of the rate for requests.
	portionBytesPerSecond float64
	buckets               [directionCount][len(tierShares)]bucket
	used                  [directionCount]int64
}

// bucket is a token bucket with the bytes that a tier and all lower tiers may still send.
// Bytes of a tier are taken from its own bucket and from the buckets of all higher tiers.
// So the cap of each tier includes the traffic of the tiers below it, while the traffic
// of a higher tier counts only against the total and not against a lower tier's cap.
type bucket struct {
	bytes      float64
	refilledAt time.Time
}

// New returns the budget of one daemon in a region with liveDaemons live daemons, for a
// link of bytesPerSecond in each direction. Its buckets are full.
func New(now time.Time, bytesPerSecond float64, liveDaemons int) *Budget {
	b := &Budget{}
	b.SetRate(now, bytesPerSecond, liveDaemons)
	for d := range b.buckets {
		for t := range b.buckets[d] {
			b.buckets[d][t] = bucket{bytes: b.bucketSize(t), refilledAt: now}
		}
	}
	return b
}

// SetRate sets the capacity of the link and the number of live daemons of the region.
func (b *Budget) SetRate(now time.Time, bytesPerSecond float64, liveDaemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for d := range b.buckets {
		b.refill(now, Direction(d))
	}
	b.portionBytesPerSecond = bytesPerSecond * RequestShare / float64(max(1, liveDaemons))
}

// TryCharge charges the expected bytes of a request of a tier and returns true. If the
// tier's cap or the whole budget does not allow them, it charges nothing and returns
// false. A request larger than the tier's bucket is admitted when the bucket is full; the
// negative balance then delays later requests.
func (b *Budget) TryCharge(now time.Time, d Direction, tier int, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, d)
	index := tierIndex(tier)
	required := min(float64(bytes), b.bucketSize(index))
	for t := 0; t <= index; t++ {
		// The bytes by which a higher tier's bucket is larger than this tier's are
		// reserved for the higher tier.
		reserved := b.bucketSize(t) - b.bucketSize(index)
		if b.buckets[d][t].bytes < reserved+required-roundingBytes {
			return false
		}
	}
	b.charge(d, tier, bytes)
	return true
}

// CorrectCharge corrects the charge of a finished request: charged is what TryCharge
// charged and sent is what the request actually sent, both in bytes.
func (b *Budget) CorrectCharge(now time.Time, d Direction, tier int, charged, sent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, d)
	b.charge(d, tier, sent-charged)
}

// Used returns the total bytes charged in a direction, corrections included.
func (b *Budget) Used(d Direction) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[d]
}

// charge takes bytes from the buckets of a tier and of all tiers above it. Negative bytes
// are returned to them.
func (b *Budget) charge(d Direction, tier int, bytes int64) {
	b.used[d] += bytes
	for t := 0; t <= tierIndex(tier); t++ {
		bucket := &b.buckets[d][t]
		bucket.bytes = min(bucket.bytes-float64(bytes), b.bucketSize(t))
	}
}

// refill adds the bytes that have accrued in the buckets of a direction until now.
func (b *Budget) refill(now time.Time, d Direction) {
	for t := range b.buckets[d] {
		bucket := &b.buckets[d][t]
		if elapsed := now.Sub(bucket.refilledAt); elapsed > 0 {
			bucket.bytes = min(bucket.bytes+elapsed.Seconds()*b.portionBytesPerSecond*tierShares[t], b.bucketSize(t))
			bucket.refilledAt = now
		}
	}
}

// bucketSize returns the capacity of a tier's bucket in bytes.
func (b *Budget) bucketSize(t int) float64 {
	return b.portionBytesPerSecond * tierShares[t] * burstDuration.Seconds()
}

// tierIndex returns the index of a tier in tierShares and in the buckets.
func tierIndex(tier int) int {
	return min(max(tier, 0), len(tierShares)-1)
}
