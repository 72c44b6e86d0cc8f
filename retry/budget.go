package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the share of requests that may be retried.
	DefaultRatio = 0.1
	// DefaultMinPerSecond permits retries for services with few requests.
	DefaultMinPerSecond = 1.0
	// Window is the time over which requests and retries are counted.
	Window = 10 * time.Second

	bucketCount = 20
	bucketWidth = Window / bucketCount
)

// Budget limits the retries and hedges of one service in one daemon. It is safe
// for concurrent use.
type Budget struct {
	ratio        float64
	minPerSecond float64

	mu       sync.Mutex
	buckets  [bucketCount]counts
	total    counts
	position int64 // number of the newest bucket since the epoch
}

type counts struct {
	requests, retries int
}

// NewBudget returns a budget of ratio retries per request plus minPerSecond
// retries per second, over Window.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond}
}

// SetLimits changes the ratio and the retries per second that are always permitted.
func (b *Budget) SetLimits(ratio, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minPerSecond = ratio, minPerSecond
}

// CountRequest counts one request, not its retries.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
	b.total.requests++
}

// TryRetry takes one retry from the budget, unless it is used up.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(now)
	limit := b.ratio*float64(b.total.requests) + b.minPerSecond*Window.Seconds()
	if float64(b.total.retries+1) > limit {
		return false
	}
	bucket.retries++
	b.total.retries++
	return true
}

// bucket returns the bucket of now after it dropped those that left the window.
// A time before the newest bucket counts as that bucket.
func (b *Budget) bucket(now time.Time) *counts {
	n := now.UnixNano() / int64(bucketWidth)
	if n > b.position {
		for i := max(b.position+1, n-bucketCount+1); i <= n; i++ {
			old := &b.buckets[i%bucketCount]
			b.total.requests -= old.requests
			b.total.retries -= old.retries
			*old = counts{}
		}
		b.position = n
	}
	return &b.buckets[b.position%bucketCount]
}
