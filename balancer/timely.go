package balancer

import "time"

// FewestLate chooses the target where the fewest streams become late: the request's own
// by its first token or its end, and those that run beside its prefill. Among equal ones it
// takes the earliest first token.
//
// It answers targets of unlike speed with prompts that differ a hundredfold: the
// earliest finish would put long prompts beside short streams on a slow target,
// where each chunk of the prompt holds up every stream.
type FewestLate struct{}

// Name implements Builder.
func (FewestLate) Name() string { return "timely" }

// Build implements Builder.
func (FewestLate) Build(uint64) Picker { return timelyPicker{} }

type timelyPicker struct{}

// firstTokenMargin stretches predictions of first tokens, so that usual errors do
// not make a request late.
const firstTokenMargin = 1.2

// late returns the number of streams that are expected to be late on a target.
func (t *Target) late() int {
	n := 0
	if t.DelaysStreams {
		n += t.InFlight
	}
	if t.Due > 0 && time.Duration(firstTokenMargin*float64(t.FirstToken)) > t.Due {
		n++
	}
	if t.Remaining > 0 && t.Finish > t.Remaining {
		n++
	}
	return n
}

func (timelyPicker) Pick(targets []Target) int {
	return best(targets, func(a, b Target) bool {
		if x, y := a.late(), b.late(); x != y {
			return x < y
		}
		if a.FirstToken != b.FirstToken {
			return a.FirstToken < b.FirstToken
		}
		return a.InFlight < b.InFlight
	})
}
