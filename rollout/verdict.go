package rollout

import "time"

// Verdict is what the evidence says about the new version.
type Verdict struct {
	// Bad says that the new version is worse; Reason names the route, target and
	// load level and the counts.
	Bad    bool
	Reason string
	// Suspicious says that the evidence leans against the new version without
	// proving it; the share is not raised.
	Suspicious bool
	// Good says that the evidence rules out that the next share does harm.
	Good bool
}

// Judge decides on the evidence of one attempt. Implementations are safe for
// concurrent use as long as the tally does not change.
type Evaluator interface {
	// Judge returns the verdict at now; next is the share in 1/10,000 that the new
	// version would get.
	Evaluate(t *Tally, now time.Time, next uint32) Verdict
}
