package rollout

import "time"

// Verdict is the result of evaluating the evidence about the new version.
type Verdict struct {
	// Bad says that the new version is worse; Reason names the route, target and
	// load level and the counts.
	Bad    bool
	Reason string
	// Suspicious says that the evidence indicates a worse new version but does not
	// suffice for Bad; the share is not raised.
	Suspicious bool
	// Leaning says that the evidence speaks more for a worse new version than against it, which
	// it does now and then for a good one, too.
	Leaning bool
	// Good says that the evidence rules out harm at the next share.
	Good bool
}

// Evaluator evaluates the evidence of one attempt. Implementations are safe for
// concurrent use on different tallies; calls on the same tally must not overlap.
type Evaluator interface {
	// Evaluate returns the verdict at now; next is the share in 1/10,000 that the new
	// version would get at the next step.
	Evaluate(t *Tally, now time.Time, next uint32) Verdict
}
