package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// HedgePercentile is the percentile of a class after which a request is hedged.
	HedgePercentile = 95
	// hedgeMinSamples is needed before the percentile means anything: with 60
	// samples three of them lie above it.
	hedgeMinSamples = 60
	// hedgePeriod is the age at which a histogram is replaced; the percentile
	// rests on the current and the previous one.
	hedgePeriod = 30 * time.Second
	// maxHedgeTime is the largest time in a histogram; longer ones count as it.
	maxHedgeTime = 10 * time.Minute
	// hedgeUnit is the unit of the histograms.
	hedgeUnit = 100 * time.Microsecond
	// maxClasses bounds the memory of a hedger; a class takes about 30 KB.
	maxClasses = 64
)

// Hedger decides when a request is sent a second time to another target before
// the first attempt ended. It is safe for concurrent use.
type Hedger struct {
	mu      sync.Mutex
	classes map[string]*latencies
}

type latencies struct {
	current, previous *hdrhistogram.Histogram
	since             time.Time
	// cached is the percentile as of cachedAt, since a query walks the histogram.
	cached   time.Duration
	cachedAt time.Time
}

// cacheTime is how long a computed percentile is used.
const cacheTime = time.Second

// NewHedger returns a hedger without samples.
func NewHedger() *Hedger {
	return &Hedger{classes: map[string]*latencies{}}
}

// Observe records the time of an attempt that was answered. A class is a set of
// requests of like duration, such as a route or a model and length. Classes
// beyond the bound are not recorded, and their requests not hedged.
func (h *Hedger) Observe(now time.Time, class string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.classes[class]
	if l == nil {
		if len(h.classes) >= maxClasses {
			return
		}
		l = &latencies{current: newHistogram(), previous: newHistogram(), since: now}
		h.classes[class] = l
	}
	l.rotate(now)
	// The value lies in the histogram's range, which is the only cause of an error.
	_ = l.current.RecordValue(int64(min(max(took, hedgeUnit), maxHedgeTime) / hedgeUnit))
}

// Delay returns the time after which a request of a class is hedged; false when
// there are too few samples.
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
	if l.cachedAt.IsZero() || now.Sub(l.cachedAt) >= cacheTime {
		all := newHistogram()
		all.Merge(l.previous)
		all.Merge(l.current)
		l.cached = time.Duration(all.ValueAtPercentile(HedgePercentile)) * hedgeUnit
		l.cachedAt = now
	}
	return l.cached, true
}

// Hedge describes a request that has no answer yet.
type Hedge struct {
	Class      string
	Idempotent bool
	// Started is when the first attempt began, Remaining the time until the
	// deadline, Expected the predicted time of another attempt.
	Started   time.Time
	Remaining time.Duration
	Expected  time.Duration
}

// TryHedge reports whether the request is to be sent a second time now, and
// takes a retry from the budget when it is.
func (h *Hedger) TryHedge(now time.Time, budget *Budget, r Hedge) bool {
	if !r.Idempotent || !FitsDeadline(r.Remaining, 0, r.Expected) {
		return false
	}
	delay, ok := h.Delay(now, r.Class)
	return ok && now.Sub(r.Started) >= delay && budget.TryRetry(now)
}

func (l *latencies) rotate(now time.Time) {
	age := now.Sub(l.since)
	if age < hedgePeriod {
		return
	}
	l.previous, l.current = l.current, l.previous
	l.current.Reset()
	if age >= 2*hedgePeriod {
		l.previous.Reset()
	}
	l.since = now
	l.cachedAt = time.Time{}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxHedgeTime/hedgeUnit), 2)
}
