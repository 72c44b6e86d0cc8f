package balancer

import "time"

// FewestLate chooses the target where the fewest deadlines are missed: those of the
// request itself, for its first token and its end, and those of the streams that its
// prefill would delay. Among equal targets it chooses the earliest first token.
//
// It is meant for targets of different speed and prompts whose lengths differ by a
// factor of a hundred. There, the earliest finish would put long prompts beside short
// streams on a slow target, where each chunk of the prompt delays every stream.
type FewestLate struct{}

// Name implements Builder. Result tables list this picker as "timely".
func (FewestLate) Name() string { return "timely" }

// Build implements Builder.
func (FewestLate) Build(uint64) Picker { return fewestLatePicker{} }

type fewestLatePicker struct{}

// firstTokenMargin is the factor applied to the predicted time of the first token,
// so that common prediction errors do not make a request late.
const firstTokenMargin = 1.2

// missedDeadlines returns the number of deadlines that are expected to be missed if the
// request runs on the target. The request itself counts twice if both its first
// token and its end are late.
func (t *Target) missedDeadlines() int {
	n := 0
	if t.DelaysStreams {
		n += t.InFlight
	}
	if t.FirstTokenLimit > 0 && time.Duration(firstTokenMargin*float64(t.FirstToken)) > t.FirstTokenLimit {
		n++
	}
	if t.FinishLimit > 0 && t.Finish > t.FinishLimit {
		n++
	}
	return n
}

func (fewestLatePicker) Pick(targets []Target) int {
	return indexOfLeast(targets, func(a, b Target) bool {
		if x, y := a.missedDeadlines(), b.missedDeadlines(); x != y {
			return x < y
		}
		if a.FirstToken != b.FirstToken {
			return a.FirstToken < b.FirstToken
		}
		return a.InFlight < b.InFlight
	})
}
