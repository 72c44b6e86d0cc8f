package linkbudget

import (
	"sync"
	"time"
)

const (
	// LinkBytesPerSecond is the link's rate in each direction: 30 Mbit/s.
	LinkBytesPerSecond = 30e6 / 8
	// RequestShare is the part of the link that requests may use.
	RequestShare = 0.5
	// burst is the time for which unused bytes are collected. Longer bursts would
	// delay the other traffic of the link.
	burst = time.Second
	// rounding is the error of the sums of bytes.
	rounding = 1e-3
)

// tierShares are the parts of the requests' half that the tiers may use.
var tierShares = [...]float64{1, 0.6, 0.3}

// Direction is a direction of the link.
type Direction uint8

const (
	// Out is from this region to another one.
	Out Direction = iota
	// In is from another region to this one.
	In

	directions
)

// Budget is one daemon's portion of the link. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	perSecond float64
	buckets   [directions][len(tierShares)]bucket
	used      [directions]int64
}

// bucket holds the bytes that a tier and all lower ones may still send. Bytes of
// a tier are taken from its own bucket and from those of all higher tiers, so
// that each tier's cap includes the traffic of the tiers below it, and a higher
// tier's traffic does not come out of a lower tier's cap but out of the whole.
type bucket struct {
	bytes float64
	at    time.Time
}

// New returns the budget of one of the live daemons of a region, for a link of
// bytesPerSecond in each direction.
func New(now time.Time, bytesPerSecond float64, liveDaemons int) *Budget {
	b := &Budget{}
	b.SetRate(now, bytesPerSecond, liveDaemons)
	for d := range b.buckets {
		for t := range b.buckets[d] {
			b.buckets[d][t] = bucket{bytes: b.size(t), at: now}
		}
	}
	return b
}

// SetRate changes the rate of the link or the number of live daemons.
func (b *Budget) SetRate(now time.Time, bytesPerSecond float64, liveDaemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for d := range b.buckets {
		b.refill(now, Direction(d))
	}
	b.perSecond = bytesPerSecond * RequestShare / float64(max(1, liveDaemons))
}

// Take takes the expected bytes of a request of a tier, and reports false when
// the tier's cap or the whole budget is used up. A request larger than the bucket
// is let through when the bucket is full, and paid off by those that follow.
func (b *Budget) Take(now time.Time, d Direction, tier int, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, d)
	own := capIndex(tier)
	need := min(float64(bytes), b.size(own))
	for t := 0; t <= own; t++ {
		// The part of a higher tier's bucket that is beyond the own share stays
		// for that tier. Rounding is allowed for.
		reserve := b.size(t) - b.size(own)
		if b.buckets[d][t].bytes < reserve+need-rounding {
			return false
		}
	}
	b.add(d, tier, bytes)
	return true
}

// Settle accounts for the difference between the bytes that a request really
// sent and those that it took.
func (b *Budget) Settle(now time.Time, d Direction, tier int, taken, sent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, d)
	b.add(d, tier, sent-taken)
}

// Used returns the bytes accounted for in a direction.
func (b *Budget) Used(d Direction) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[d]
}

// add takes bytes from the buckets of a tier and of all tiers above it.
func (b *Budget) add(d Direction, tier int, bytes int64) {
	b.used[d] += bytes
	for t := 0; t <= capIndex(tier); t++ {
		bucket := &b.buckets[d][t]
		bucket.bytes = min(bucket.bytes-float64(bytes), b.size(t))
	}
}

func (b *Budget) refill(now time.Time, d Direction) {
	for t := range b.buckets[d] {
		bucket := &b.buckets[d][t]
		if elapsed := now.Sub(bucket.at); elapsed > 0 {
			bucket.bytes = min(bucket.bytes+elapsed.Seconds()*b.perSecond*tierShares[t], b.size(t))
			bucket.at = now
		}
	}
}

// size is the most that a tier's bucket holds.
func (b *Budget) size(t int) float64 {
	return b.perSecond * tierShares[t] * burst.Seconds()
}

func capIndex(tier int) int {
	return min(max(tier, 0), len(tierShares)-1)
}
