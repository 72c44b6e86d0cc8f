package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the number of retries permitted per request.
	DefaultRatio = 0.1
	// DefaultMinPerSecond is the number of retries per second that are permitted in
	// addition, for services with few requests.
	DefaultMinPerSecond = 1.0
	// BudgetWindow is the time over which requests and retries are counted.
	BudgetWindow = 10 * time.Second

	bucketCount = 20
	bucketWidth = BudgetWindow / bucketCount
)

// Budget limits the retries and hedges of one service in one daemon. It is safe
// for concurrent use.
type Budget struct {
	ratio        float64
	minPerSecond float64

	mu           sync.Mutex
	buckets      [bucketCount]counts
	total        counts
	newestBucket int64 // number of the newest bucket, counted from the Unix epoch
}

// counts holds the events of one bucket or of the whole window.
type counts struct {
	requests, retries int
}

// NewBudget returns a budget of ratio retries per request plus minPerSecond
// retries per second, over BudgetWindow.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond}
}

// SetLimits changes the retries permitted per request and those permitted per
// second in addition.
func (b *Budget) SetLimits(ratio, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minPerSecond = ratio, minPerSecond
}

// CountRequest counts a request. It is called once per request and not for its
// retries.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
	b.total.requests++
}

// TryRetry takes one retry from the budget. It reports false, and takes nothing,
// when the budget is used up.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(now)
	limit := b.ratio*float64(b.total.requests) + b.minPerSecond*BudgetWindow.Seconds()
	if float64(b.total.retries+1) > limit {
		return false
	}
	bucket.retries++
	b.total.retries++
	return true
}

// bucket removes the buckets that left the window from the totals and returns the
// bucket of now. A time before the newest bucket counts as that bucket.
func (b *Budget) bucket(now time.Time) *counts {
	n := now.UnixNano() / int64(bucketWidth)
	if n > b.newestBucket {
		for i := max(b.newestBucket+1, n-bucketCount+1); i <= n; i++ {
			old := &b.buckets[i%bucketCount]
			b.total.requests -= old.requests
			b.total.retries -= old.retries
			*old = counts{}
		}
		b.newestBucket = n
	}
	return &b.buckets[b.newestBucket%bucketCount]
}
