package estimate

import (
	"math/bits"
	"time"
)

// engine holds the estimates of one version on one hardware generation. A nil
// engine stands for one that was never observed and gives the defaults. What an
// engine has not shown yet is taken from a typical one of its version, if any.
type engine struct {
	// typical is nil for a typical engine itself, and where engines do not share.
	typical *engine
	prefill tracker
	plain   tracker
	// decode are ratios to the default time per token, by batch size.
	decode  [batchBuckets]tracker
	spread  quantile
	samples int
}

func (e *engine) settled() bool {
	return e != nil && e.samples >= settledSamples
}

func (e *engine) spreadFactor() float64 {
	if e == nil || e.spread.samples < settledSamples {
		return defaultSpread
	}
	return max(1, min(e.spread.value(), maxSpread))
}

func (e *engine) plainTime() time.Duration {
	if e == nil || e.plain.samples == 0 {
		return DefaultPlainTime
	}
	return time.Duration(e.plain.value() * float64(time.Second))
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / e.prefillRate() * float64(time.Second))
}

// prefillRate returns prompt tokens per second.
func (e *engine) prefillRate() float64 {
	switch {
	case e == nil:
		return DefaultPrefillRate
	case e.prefill.samples > 0:
		return e.prefill.value()
	}
	return e.typical.prefillRate()
}

// tokenTime takes the ratio that was observed at the nearest batch size.
func (e *engine) tokenTime(batch int) time.Duration {
	usual := defaultTokenTime(batch)
	if e == nil {
		return usual
	}
	if e.typical != nil && !e.decodes() {
		return e.typical.tokenTime(batch)
	}
	at := batchBucket(batch)
	for distance := range batchBuckets {
		for _, i := range [2]int{at - distance, at + distance} {
			if i >= 0 && i < batchBuckets && e.decode[i].samples > 0 {
				return time.Duration(float64(usual) * e.decode[i].value())
			}
		}
	}
	return usual
}

// decodes reports whether the time per token was observed at any batch size.
func (e *engine) decodes() bool {
	for i := range e.decode {
		if e.decode[i].samples > 0 {
			return true
		}
	}
	return false
}

func defaultTokenTime(batch int) time.Duration {
	return DefaultTokenTime + time.Duration(max(batch, 1)-1)*DefaultTokenTimeSlope
}

func batchBucket(batch int) int {
	return min(bits.Len(uint(max(batch, 1)))-1, batchBuckets-1)
}
