package estimate

import (
	"math/bits"
	"time"
)

// engine holds the estimates of one version on one hardware generation. A nil
// engine stands for one that was never observed and returns the defaults. Values
// that were not observed yet are taken from the typical engine of the version, if
// there is one.
type engine struct {
	// typical is nil for a typical engine itself, and in a model without typical
	// engines.
	typical *engine
	// prefillTracker is in tokens per second, plainTracker in seconds per call.
	prefillTracker tracker
	plainTracker   tracker
	// decodeRatio holds ratios to the default time per token, by batch bucket.
	decodeRatio [batchBuckets]tracker
	// spreadQuantile follows the ratio of actual to predicted time.
	spreadQuantile quantile
	samples        int
}

// confident reports whether enough was observed to refuse work on a prediction.
func (e *engine) confident() bool {
	return e != nil && e.samples >= minConfidentSamples
}

// spreadFactor returns the factor described at Prediction.Spread.
func (e *engine) spreadFactor() float64 {
	if e == nil || e.spreadQuantile.samples < minConfidentSamples {
		return defaultSpread
	}
	return max(1, min(e.spreadQuantile.value(), maxSpread))
}

func (e *engine) plainTime() time.Duration {
	if e == nil || e.plainTracker.samples == 0 {
		return DefaultPlainTime
	}
	return time.Duration(e.plainTracker.value() * float64(time.Second))
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / e.prefillRate() * float64(time.Second))
}

// prefillRate returns prompt tokens per second.
func (e *engine) prefillRate() float64 {
	switch {
	case e == nil:
		return DefaultPrefillRate
	case e.prefillTracker.samples > 0:
		return e.prefillTracker.value()
	}
	return e.typical.prefillRate()
}

// tokenTime returns the time per output token at a batch size, by the ratio that
// was observed at the nearest batch size.
func (e *engine) tokenTime(batch int) time.Duration {
	defaultTime := defaultTokenTime(batch)
	if e == nil {
		return defaultTime
	}
	if e.typical != nil && !e.decodeObserved() {
		return e.typical.tokenTime(batch)
	}
	bucket := batchBucket(batch)
	for distance := range batchBuckets {
		for _, i := range [2]int{bucket - distance, bucket + distance} {
			if i >= 0 && i < batchBuckets && e.decodeRatio[i].samples > 0 {
				return time.Duration(float64(defaultTime) * e.decodeRatio[i].value())
			}
		}
	}
	return defaultTime
}

// decodeObserved reports whether the time per token was observed at any batch size.
func (e *engine) decodeObserved() bool {
	for i := range e.decodeRatio {
		if e.decodeRatio[i].samples > 0 {
			return true
		}
	}
	return false
}

func defaultTokenTime(batch int) time.Duration {
	return DefaultTokenTime + time.Duration(max(batch, 1)-1)*DefaultTokenTimeSlope
}

// batchBucket returns the bucket of a batch size; buckets are powers of two.
func batchBucket(batch int) int {
	return min(bits.Len(uint(max(batch, 1)))-1, batchBuckets-1)
}
