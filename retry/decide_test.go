package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wrong action for any combination of outcome and kind of route.
func TestDecideTable(t *testing.T) {
	type row struct {
		attempt                   Attempt
		nonIdempotent, idempotent Kind // expected action by kind of route
		resumable                 Kind // expected action for a resumable stream
		resumeFrom                int
	}
	rows := []row{
		{Attempt{Outcome: NotSent}, RetryElsewhere, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: NotSent, EarlierMayHaveRun: true}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: NotSent, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: MaybeSent}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: MaybeSent, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: TargetLost}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: TargetLost, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: TimedOut}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: TimedOut, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: StreamCut}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: StreamCut, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: Answered, Status: 404, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: Answered, Status: 200}, Deliver, Deliver, Deliver, 0},
		{Attempt{Outcome: Answered, Status: 404}, Deliver, Deliver, Deliver, 0},
		{Attempt{Outcome: Answered, Status: 409}, Deliver, Deliver, Deliver, 0},
		{Attempt{Outcome: Answered, Status: 429}, Deliver, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 500}, Deliver, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 500, Tokens: 4}, GiveUpUnknown, GiveUpUnknown, Resume, 4},
		{Attempt{Outcome: Answered, Status: 502}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 503}, Deliver, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 503, RetryAfter: time.Second}, Deliver, RetryAfter, RetryAfter, 0},
		{Attempt{Outcome: Answered, Status: 503, Refused: true}, RetryElsewhere, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 503, Refused: true, RetryAfter: time.Second}, RetryAfter, RetryAfter, RetryAfter, 0},
		{Attempt{Outcome: Answered, Status: 503, Refused: true, EarlierMayHaveRun: true}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
		{Attempt{Outcome: Answered, Status: 504}, GiveUpUnknown, RetryElsewhere, RetryElsewhere, 0},
	}
	seen := map[Outcome]bool{}
	for _, r := range rows {
		seen[r.attempt.Outcome] = true
		name := fmt.Sprintf("%+v", r.attempt)
		assert.Equal(t, Decide(r.attempt).Kind, r.nonIdempotent, name)
		r.attempt.Idempotent = true
		assert.Equal(t, Decide(r.attempt).Kind, r.idempotent, name)
		r.attempt.Idempotent, r.attempt.Resumable = false, true
		assert.Equal(t, Decide(r.attempt).Kind, r.resumable, name)
		assert.Equal(t, Decide(r.attempt).FromToken, r.resumeFrom, name)
	}
	assert.Equal(t, len(seen), int(outcomeCount))
}

// forEachAttempt calls f for every combination of the fields that affect Decide.
func forEachAttempt(f func(Attempt)) {
	bools := []bool{false, true}
	for outcome := range outcomeCount {
		for _, status := range []int{200, 400, 429, 500, 502, 503, 504} {
			for _, refused := range bools {
				for _, tokens := range []int{0, 7} {
					for _, earlier := range bools {
						for _, idempotent := range bools {
							for _, resumable := range bools {
								f(Attempt{Outcome: outcome, Status: status, Refused: refused, Tokens: tokens,
									EarlierMayHaveRun: earlier, Idempotent: idempotent, Resumable: resumable,
									Number: 1, Remaining: time.Minute, Expected: time.Second})
							}
						}
					}
				}
			}
		}
	}
}

// Guards against "not run" for a request that may have run, and against a second
// run of a request that is neither idempotent nor resumable (R5, R6), with and
// without budget, attempts and time left.
func TestNotRunAndRepetitionAreSafe(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := 0
	forEachAttempt(func(a Attempt) {
		for _, limitedBy := range []string{"", "attempts", "deadline", "budget"} {
			p := NewPolicy()
			switch limitedBy {
			case "attempts":
				a.Number = p.MaxAttempts
			case "deadline":
				a.Remaining = 0
			case "budget":
				p.Budget = NewBudget(0, 0)
			}
			action := p.Decide(now, a)
			mayHaveRun := a.MayHaveRun() || a.EarlierMayHaveRun
			name := fmt.Sprintf("%+v limited by %q: %+v", a, limitedBy, action)
			switch action.Kind {
			case GiveUpNotRun:
				assert.Assert(t, !mayHaveRun && a.Tokens == 0, name)
			case RetryElsewhere, RetryAfter:
				assert.Assert(t, !mayHaveRun || a.Idempotent || a.Resumable, name)
				assert.Equal(t, a.Tokens, 0, name)
				assert.Equal(t, limitedBy == "attempts" || limitedBy == "deadline", false, name)
			case Resume:
				assert.Assert(t, a.Resumable && action.FromToken == a.Tokens, name)
			case Deliver:
				assert.Equal(t, a.Outcome, Answered, name)
			}
			cases++
		}
	})
	t.Logf("%d cases", cases)
}
