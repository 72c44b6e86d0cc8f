package rollout

import "math"

const (
	// bucketsPerOctave gives limits that are exact to 9%.
	bucketsPerOctave = 8
	// octaves above and below 1 cover ratios and milliseconds up to 18 minutes.
	octaves     = 20
	buckets     = 2 * octaves * bucketsPerOctave
	middle      = octaves * bucketsPerOctave
	enough      = 50
	halveAt     = 4000
	ninthDecile = 0.9
)

// histogram estimates a quantile of the newest few thousand values.
type histogram struct {
	counts [buckets]uint32
	total  uint32
	limit  float64
	fresh  bool
}

func (h *histogram) add(value float64) {
	i := middle + int(math.Floor(math.Log2(max(value, 1e-6))*bucketsPerOctave))
	h.counts[min(max(i, 0), buckets-1)]++
	h.total++
	h.fresh = h.fresh && h.total%16 != 0
	if h.total >= halveAt {
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

// ninthDecile returns the value that 9 of 10 values do not exceed; ok is false
// while there are too few values. It is computed again after every 16 values.
func (h *histogram) ninthDecile() (limit float64, ok bool) {
	if h.total < enough {
		return 0, false
	}
	if !h.fresh {
		h.limit = h.quantile()
		h.fresh = true
	}
	return h.limit, true
}

func (h *histogram) quantile() float64 {
	rest := float64(h.total) * (1 - ninthDecile)
	for i := buckets - 1; i > 0; i-- {
		rest -= float64(h.counts[i])
		if rest < 0 {
			return math.Exp2(float64(i+1-middle) / bucketsPerOctave)
		}
	}
	return 0
}
