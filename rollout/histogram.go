package rollout

import "math"

const (
	// bucketsPerOctave limits the error of the quantile to 9% (one eighth octave).
	bucketsPerOctave = 8
	// octaves is the number of powers of two that the buckets cover above 1, and below 1.
	// It suffices for ratios, and for milliseconds up to 18 minutes.
	octaves      = 20
	bucketCount  = 2 * octaves * bucketsPerOctave
	middleBucket = octaves * bucketsPerOctave
	// minSamples is the number of values from which limit returns a result. A limit from few
	// values is imprecise, but both versions are classified by it; one of many daemons gets
	// only a few requests before it has to classify the next.
	minSamples = 8
	// cachedFromSamples is the number of values from which a limit is cached.
	cachedFromSamples = 200
	// halveAtSamples is the number of values at which all counts are halved.
	halveAtSamples = 4000
	// latencyQuantile and paceQuantile are the quantiles of the old version's latencies and
	// paces above which an answer counts as slow. The pace has the lower one, because the
	// prefill of other requests slows down one in ten streams of any version.
	latencyQuantile = 0.9
	paceQuantile    = 0.75
)

// histogram estimates a quantile of the newest few thousand values. Its
// buckets are logarithmic; all counts are halved at halveAtSamples values, so that
// old values lose weight.
type histogram struct {
	quantile    float64
	counts      [bucketCount]uint32
	total       uint32
	cachedLimit float64
	cacheValid  bool
}

func (h *histogram) add(value float64) {
	i := middleBucket + int(math.Floor(math.Log2(max(value, 1e-6))*bucketsPerOctave))
	h.counts[min(max(i, 0), bucketCount-1)]++
	h.total++
	h.cacheValid = h.cacheValid && h.total%16 != 0 && h.total >= cachedFromSamples
	if h.total >= halveAtSamples {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// limit returns the value that the histogram's quantile of the values does not exceed; ok is
// false with fewer than minSamples values. From cachedFromSamples on, the result is cached
// for 16 values.
func (h *histogram) limit() (limit float64, ok bool) {
	if h.total < minSamples {
		return 0, false
	}
	if !h.cacheValid {
		h.cachedLimit = h.computeLimit()
		h.cacheValid = true
	}
	return h.cachedLimit, true
}

// computeLimit returns the upper edge of the bucket with the quantile.
func (h *histogram) computeLimit() float64 {
	aboveQuantile := float64(h.total) * (1 - h.quantile)
	for i := bucketCount - 1; i > 0; i-- {
		aboveQuantile -= float64(h.counts[i])
		if aboveQuantile < 0 {
			return math.Exp2(float64(i+1-middleBucket) / bucketsPerOctave)
		}
	}
	return 0
}
