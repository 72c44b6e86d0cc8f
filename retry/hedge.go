package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// HedgePercentile is the percentile of a class's latencies after which a
	// request is hedged.
	HedgePercentile = 95
	// hedgeMinSamples is the number of samples below which the percentile is not
	// reliable: of 60 samples, three lie above it.
	hedgeMinSamples = 60
	// histogramPeriod is the age at which a histogram is replaced; the percentile
	// is computed from the current and the previous one.
	histogramPeriod = 30 * time.Second
	// maxRecordedLatency is the largest value of a histogram; longer latencies are
	// recorded as this one.
	maxRecordedLatency = 10 * time.Minute
	// histogramUnit is the resolution of the histograms.
	histogramUnit = 100 * time.Microsecond
	// maxClasses bounds the memory of a hedger; a class takes about 30 KB.
	maxClasses = 64
)

// Hedger decides when a request is sent a second time, to another target, although
// its first attempt has not ended. It is safe for concurrent use.
type Hedger struct {
	mu      sync.Mutex
	classes map[string]*latencies
}

// latencies holds the recent latencies of one class.
type latencies struct {
	current, previous *hdrhistogram.Histogram
	periodStart       time.Time
	// cachedPercentile is the percentile as of cachedAt. It is cached because
	// computing it iterates over the histogram.
	cachedPercentile time.Duration
	cachedAt         time.Time
}

// percentileCacheTTL is how long a computed percentile is used.
const percentileCacheTTL = time.Second

// NewHedger returns a hedger without samples.
func NewHedger() *Hedger {
	return &Hedger{classes: map[string]*latencies{}}
}

// Observe records the latency of an attempt that was answered. A class is a set of
// requests of similar duration, such as those of one route or of one model and
// length. Classes beyond the first maxClasses are not recorded, and their requests
// are not hedged.
func (h *Hedger) Observe(now time.Time, class string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.classes[class]
	if l == nil {
		if len(h.classes) >= maxClasses {
			return
		}
		l = &latencies{current: newHistogram(), previous: newHistogram(), periodStart: now}
		h.classes[class] = l
	}
	l.rotate(now)
	// RecordValue only fails for values outside the histogram's range.
	_ = l.current.RecordValue(int64(min(max(latency, histogramUnit), maxRecordedLatency) / histogramUnit))
}

// Delay returns the time after which a request of a class is hedged. It reports
// false when there are too few samples.
func (h *Hedger) Delay(now time.Time, class string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.classes[class]
	if l == nil {
		return 0, false
	}
	l.rotate(now)
	if l.current.TotalCount()+l.previous.TotalCount() < hedgeMinSamples {
		return 0, false
	}
	if l.cachedAt.IsZero() || now.Sub(l.cachedAt) >= percentileCacheTTL {
		merged := newHistogram()
		merged.Merge(l.previous)
		merged.Merge(l.current)
		l.cachedPercentile = time.Duration(merged.ValueAtPercentile(HedgePercentile)) * histogramUnit
		l.cachedAt = now
	}
	return l.cachedPercentile, true
}

// HedgeCandidate describes a request that has no answer yet and may be hedged.
type HedgeCandidate struct {
	Class      string
	Idempotent bool
	// Started is when the first attempt began, Remaining the time until the
	// deadline, Expected the predicted duration of another attempt.
	Started   time.Time
	Remaining time.Duration
	Expected  time.Duration
}

// TryHedge reports whether the request is to be sent a second time now. If so, it
// takes a retry from the budget.
func (h *Hedger) TryHedge(now time.Time, budget *Budget, r HedgeCandidate) bool {
	if !r.Idempotent || !FitsDeadline(r.Remaining, 0, r.Expected) {
		return false
	}
	delay, ok := h.Delay(now, r.Class)
	return ok && now.Sub(r.Started) >= delay && budget.TryRetry(now)
}

// rotate starts a new histogram when the current one is histogramPeriod old.
func (l *latencies) rotate(now time.Time) {
	age := now.Sub(l.periodStart)
	if age < histogramPeriod {
		return
	}
	l.previous, l.current = l.current, l.previous
	l.current.Reset()
	if age >= 2*histogramPeriod {
		l.previous.Reset()
	}
	l.periodStart = now
	l.cachedAt = time.Time{}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedLatency/histogramUnit), 2)
}
