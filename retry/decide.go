package retry

import (
	"net/http"
	"time"
)

// Outcome is how an attempt at a request ended.
type Outcome uint8

const (
	// NotSent: no byte of the request can have reached the target.
	NotSent Outcome = iota
	// MaybeSent: the connection failed after bytes may have been written.
	MaybeSent
	// Answered: the target answered completely, with Attempt.Status.
	Answered
	// TargetLost: the target was lost while the request was in flight on it.
	TargetLost
	// TimedOut: no answer or no progress within the attempt's time.
	TimedOut
	// StreamCut: the answer broke off after Attempt.Tokens tokens.
	StreamCut

	outcomes
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
	// Refused says that the target states that it did not run the request.
	Refused bool
	// RetryAfter is the wait that the target asked for; 0 when it did not.
	RetryAfter time.Duration
	// Tokens were relayed to the caller by all attempts so far.
	Tokens int
	// Number is 1 for the first attempt.
	Number int
	// EarlierMayHaveRun says that an earlier attempt of the request may have run.
	EarlierMayHaveRun bool
	// Idempotent is the route's property.
	Idempotent bool
	// Resumable says that a stream can be continued at a token. Such a request
	// has no side effects and may be repeated before its first token.
	Resumable bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Expected is the predicted time of another attempt.
	Expected time.Duration
}

// Kind is the kind of an action.
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
	// GiveUpNotRun ends the request: it did not run and will not run.
	GiveUpNotRun
	// GiveUpUnknown ends the request: it may have run, in whole or in part.
	GiveUpUnknown
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"deliver", "retry elsewhere", "retry after", "resume", "give up, not run", "give up, unknown"}[k]
}

// Action says what to do after an attempt.
type Action struct {
	Kind      Kind
	Delay     time.Duration
	FromToken int
	// Charged says that the action draws on the budget.
	Charged bool
}

// MayHaveRun reports whether the target may have run the attempt, in whole or in
// part. The caller carries it to the next attempt as EarlierMayHaveRun.
func (a Attempt) MayHaveRun() bool {
	if a.Outcome == NotSent {
		return false
	}
	return a.Outcome != Answered || !a.Refused
}

// Decide returns the action that the outcome and the route permit, without
// regard to budget, deadline, number of attempts and backoff; Policy.Decide adds
// those.
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
	// A lost target bounds the number of its retries by what it had in flight.
	return Action{Kind: RetryElsewhere, Charged: a.Outcome != TargetLost}
}

// continueStream goes on with a stream whose first tokens the caller has.
func continueStream(a Attempt) Action {
	if !a.Resumable {
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: Resume, FromToken: a.Tokens}
}

func decideAnswer(a Attempt, repeatable bool) Action {
	busy := a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
	switch {
	case a.Tokens > 0 && (a.Refused || a.Status >= http.StatusInternalServerError || busy):
		// The attempt was to resume a stream and did not.
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
		// Something behind the target did not answer it.
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: Deliver}
}

// giveUp returns the action for a request that is not attempted again.
func giveUp(a Attempt) Action {
	switch {
	case a.Outcome == Answered && !a.Refused && a.Tokens == 0:
		return Action{Kind: Deliver}
	case a.EarlierMayHaveRun || a.MayHaveRun() || a.Tokens > 0:
		return Action{Kind: GiveUpUnknown}
	}
	return Action{Kind: GiveUpNotRun}
}
