package metrics

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms. Values are kept in microseconds. Durations
// below the resolution don't matter between VMs that are 1 ms apart; durations
// above the maximum are counted as the maximum.
const (
	resolution         = 100 * time.Microsecond
	maxRecorded        = 10 * time.Minute
	significantFigures = 2
)

// Histogram holds the distribution of one kind of duration. All methods are safe
// for concurrent use.
type Histogram struct {
	mu sync.Mutex
	// count and sum cover the life of the histogram.
	count int64
	sum   time.Duration
	// current covers the time since the last rotation, previous the interval
	// before it.
	current, previous *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{current: newHDR(), previous: newHDR()}
}

func newHDR() *hdr.Histogram {
	return hdr.New(resolution.Microseconds(), maxRecorded.Microseconds(), significantFigures)
}

// Record adds one duration. Durations outside the range are counted at its ends.
func (h *Histogram) Record(d time.Duration) {
	d = min(max(d, 0), maxRecorded)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	h.sum += d
	// RecordValue fails only for values outside the range, and d is inside it.
	_ = h.current.RecordValue(d.Microseconds())
}

// Rotate starts a new interval. The current interval becomes the previous one;
// the values of the interval before it are dropped from the quantiles.
func (h *Histogram) Rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
}

// Summary holds the count, sum and quantiles of a distribution. Durations are in
// milliseconds.
type Summary struct {
	// Count and SumMs cover the life of the process.
	Count int64   `json:"count"`
	SumMs float64 `json:"sumMs"`
	// RecentCount and the quantiles cover the current and previous interval.
	RecentCount int64   `json:"recentCount"`
	P50Ms       float64 `json:"p50Ms"`
	P95Ms       float64 `json:"p95Ms"`
	P99Ms       float64 `json:"p99Ms"`
	MaxMs       float64 `json:"maxMs"`
}

// Summary returns the count, sum and quantiles of the distribution.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	recent := h.current.Clone()
	recent.Merge(h.previous)
	count, sum := h.count, h.sum
	h.mu.Unlock()
	return Summary{
		Count:       count,
		SumMs:       float64(sum) / float64(time.Millisecond),
		RecentCount: recent.TotalCount(),
		P50Ms:       quantile(recent, 50),
		P95Ms:       quantile(recent, 95),
		P99Ms:       quantile(recent, 99),
		MaxMs:       float64(recent.Max()) / microsecondsPerMillisecond,
	}
}

const microsecondsPerMillisecond = 1000

func quantile(h *hdr.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / microsecondsPerMillisecond
}
