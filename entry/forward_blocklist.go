package entry

import (
	"context"
	"net/http"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/blocklist"
)

// answeredEvents is the number of events of a stream with which a target has answered, see
// Blocklist.Answered.
const answeredEvents = 2

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

// reportAnswered tells the blocklist that a target answered the request.
func (f *forwardRun) reportAnswered() {
	f.runner.Blocklist.Answered(f.request.SharedParts)
}

// allowAll is a Blocklist that blocks nothing.
type allowAll struct{}

func (allowAll) Check([]uint64) blocklist.Verdict { return blocklist.Verdict{} }
func (allowAll) StartTrial([]uint64) bool         { return false }
func (allowAll) Answered([]uint64)                {}
