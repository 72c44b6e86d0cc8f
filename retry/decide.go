package retry

import (
	"net/http"
	"time"
)

// Outcome tells how an attempt at a request ended.
type Outcome uint8

const (
	// NotSent means that no byte of the request can have reached the target.
	NotSent Outcome = iota
	// MaybeSent means that the connection failed after bytes may have been
	// written.
	MaybeSent
	// Answered means that the target answered completely, with Attempt.Status.
	Answered
	// TargetLost means that the target was lost with the request in flight on it.
	TargetLost
	// TimedOut means that there was no answer or no progress within the attempt's
	// timeout.
	TimedOut
	// StreamCut means that the answer broke off after Attempt.Tokens tokens.
	StreamCut

	outcomeCount
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"not sent", "maybe sent", "answered", "target lost", "timed out", "stream cut"}[o]
}

// Attempt describes an attempt that ended and the request that it served.
type Attempt struct {
	Outcome Outcome
	// Status is the HTTP status of an answer.
	Status int
	// Refused is set when the target states that it did not run the request.
	Refused bool
	// RetryAfter is the wait that the target asked for, or 0.
	RetryAfter time.Duration
	// Tokens is the number of tokens that all attempts so far relayed to the
	// caller.
	Tokens int
	// Number is 1 for the first attempt.
	Number int
	// EarlierMayHaveRun is set when an earlier attempt of the request may have
	// run.
	EarlierMayHaveRun bool
	// Idempotent is set when the request's route is idempotent.
	Idempotent bool
	// Resumable is set when the stream can be continued at a token. Such a
	// request has no side effects and may be repeated before its first token.
	Resumable bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Expected is the predicted duration of another attempt.
	Expected time.Duration
}

// Kind tells what an Action does.
type Kind uint8

const (
	// Deliver passes the answer on to the caller.
	Deliver Kind = iota
	// RetryElsewhere repeats the request on another target after Action.Delay.
	RetryElsewhere
	// RetryAfter repeats the request on any target after Action.Delay.
	RetryAfter
	// Resume continues the stream at token Action.FromToken after Action.Delay.
	Resume
	// GiveUpNotRun ends the request, which did not run and will not run.
	GiveUpNotRun
	// GiveUpUnknown ends the request, which may have run, in whole or in part.
	GiveUpUnknown
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"deliver", "retry elsewhere", "retry after", "resume", "give up, not run", "give up, unknown"}[k]
}

// Action is what to do after an attempt.
type Action struct {
	Kind      Kind
	Delay     time.Duration
	FromToken int
	// Charged is set when the action takes a retry from the budget.
	Charged bool
}

// MayHaveRun reports whether the target may have run the attempt, in whole or in
// part. If so, the caller sets EarlierMayHaveRun in all later attempts of the
// request.
func (a Attempt) MayHaveRun() bool {
	if a.Outcome == NotSent {
		return false
	}
	return a.Outcome != Answered || !a.Refused
}

// Decide returns the action that the outcome and the route permit. It ignores the
// budget, the deadline, the number of attempts and the backoff, which
// Policy.Decide adds.
func Decide(a Attempt) Action {
	repeatable := a.Idempotent || a.Resumable
	switch a.Outcome {
	case NotSent:
		if a.Tokens > 0 {
			return continueStream(a)
		}
		if a.EarlierMayHaveRun && !repeatable {
			return Action{Kind: GiveUpUnknown}
		}
		return Action{Kind: RetryElsewhere}
	case Answered:
		return decideAnswer(a, repeatable)
	}
	if a.Tokens > 0 {
		return continueStream(a)
	}
	if !repeatable {
		return Action{Kind: GiveUpUnknown}
	}
	// Retries after the loss of a target are not charged: what was in flight on
	// the target bounds their number.
	return Action{Kind: RetryElsewhere, Charged: a.Outcome != TargetLost}
}

// continueStream returns the action for a stream of which the caller has the first
// tokens.
func continueStream(a Attempt) Action {
	if !a.Resumable {
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: Resume, FromToken: a.Tokens}
}

// decideAnswer returns the action for an attempt that was answered.
func decideAnswer(a Attempt, repeatable bool) Action {
	busy := a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
	switch {
	case a.Tokens > 0:
		// The attempt should have resumed a stream but failed to. An answer of its own
		// cannot be delivered inside the stream.
		return continueStream(a)
	case a.Refused && (repeatable || !a.EarlierMayHaveRun), repeatable && busy:
		if a.RetryAfter > 0 {
			return Action{Kind: RetryAfter, Delay: a.RetryAfter, Charged: true}
		}
		return Action{Kind: RetryElsewhere, Charged: true}
	case a.Refused:
		return Action{Kind: GiveUpUnknown}
	case repeatable && a.Status >= http.StatusInternalServerError:
		return Action{Kind: RetryElsewhere, Charged: true}
	case a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout:
		// A service behind the target did not answer it, so the request may have
		// run there.
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: Deliver}
}

// finalAction returns the action for a request that is not attempted again: an
// answer is delivered if there is one, else the request ends as not run or unknown.
func finalAction(a Attempt) Action {
	switch {
	case a.Outcome == Answered && !a.Refused && a.Tokens == 0:
		return Action{Kind: Deliver}
	case a.EarlierMayHaveRun || a.MayHaveRun() || a.Tokens > 0:
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: GiveUpNotRun}
}
