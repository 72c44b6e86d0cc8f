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
	// minSamples is the number of values from which percentile90 returns a result.
	minSamples = 50
	// halveAtSamples is the number of values at which all counts are halved.
	halveAtSamples = 4000
	// slowQuantile is the quantile that percentile90 estimates.
	slowQuantile = 0.9
)

// histogram estimates the 90th percentile of the newest few thousand values. Its
// buckets are logarithmic; all counts are halved at halveAtSamples values, so that
// old values lose weight.
type histogram struct {
	counts      [bucketCount]uint32
	total       uint32
	cachedLimit float64
	cacheValid  bool
}

func (h *histogram) add(value float64) {
	i := middleBucket + int(math.Floor(math.Log2(max(value, 1e-6))*bucketsPerOctave))
	h.counts[min(max(i, 0), bucketCount-1)]++
	h.total++
	h.cacheValid = h.cacheValid && h.total%16 != 0
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

// percentile90 returns the value that 9 of 10 values do not exceed; ok is false with
// fewer than minSamples values. The result is cached for 16 values.
func (h *histogram) percentile90() (limit float64, ok bool) {
	if h.total < minSamples {
		return 0, false
	}
	if !h.cacheValid {
		h.cachedLimit = h.computePercentile90()
		h.cacheValid = true
	}
	return h.cachedLimit, true
}

// computePercentile90 returns the upper edge of the bucket with the 90th percentile.
func (h *histogram) computePercentile90() float64 {
	aboveQuantile := float64(h.total) * (1 - slowQuantile)
	for i := bucketCount - 1; i > 0; i-- {
		aboveQuantile -= float64(h.counts[i])
		if aboveQuantile < 0 {
			return math.Exp2(float64(i+1-middleBucket) / bucketsPerOctave)
		}
	}
	return 0
}
