package entry

import (
	"context"
	"net/http"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/blocklist"
)

// begunEvents is the number of events of a stream with which a target has begun to answer, see
// Blocklist.Begun.
const begunEvents = 2

// targetLostRequest reports whether an attempt failed because its connection broke after the
// target may have got the request.
func targetLostRequest(err error) bool {
	switch attempt.KindOf(err) {
	case attempt.MaybeSent, attempt.Cut:
		return true
	}
	return false
}

// checkBlocklist returns a refusal if the parts of the prompt are blocked. While they are
// accused, it blocks.
func (f *forwardRun) checkBlocklist(ctx context.Context) *Refusal {
	if f.trial {
		return nil
	}
	for {
		verdict := f.runner.Blocklist.Check(f.request.SharedParts)
		switch {
		case verdict.State == blocklist.Allowed:
			return nil
		case verdict.State == blocklist.Blocked && verdict.TrialDue && f.runner.Blocklist.StartTrial(verdict.Parts):
			f.trial, f.suspect = true, true
			return nil
		case verdict.State == blocklist.Blocked:
			refusal := Refuse(http.StatusUnprocessableEntity, CodeQuarantined, "requests with these parts of a prompt made targets fail and are not run again")
			refusal.RetryAfter = verdict.RetryAfter
			return refusal
		case ctx.Err() != nil:
			refusal := Refuse(http.StatusGatewayTimeout, CodeDeadline, "the deadline passed while the request was held back")
			refusal.Err = ctx.Err()
			return refusal
		}
		f.runner.Sleep(ctx, quarantinePollInterval)
	}
}

// reportBegun tells the blocklist that a target began to answer the request.
func (f *forwardRun) reportBegun() {
	f.runner.Blocklist.Begun(f.request.SharedParts)
}

// reportFinished tells the blocklist that a target answered the request to its end.
func (f *forwardRun) reportFinished(target string) {
	f.runner.Blocklist.Finished(target, f.request.Fingerprint, f.request.SharedParts)
}

// recordLoss completes the report about an attempt that may have crashed its target. What the target
// had answered before does not matter: it may crash at any event.
func (f *forwardRun) recordLoss(report *Report, events int, err error) {
	if !targetLostRequest(err) || len(f.request.SharedParts) == 0 {
		return
	}
	report.LostParts = f.runner.Blocklist.Suspects(f.request.Fingerprint, f.request.SharedParts)
	report.Begun = events >= begunEvents
}

// allowAll is a Blocklist that blocks nothing.
type allowAll struct{}

func (allowAll) Check([]uint64) blocklist.Verdict           { return blocklist.Verdict{} }
func (allowAll) StartTrial([]uint64) bool                   { return false }
func (allowAll) Begun([]uint64)                             {}
func (allowAll) Finished(string, uint64, []uint64)          {}
func (allowAll) Suspects(_ uint64, parts []uint64) []uint64 { return parts }
