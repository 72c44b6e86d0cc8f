package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/residency"
	"github.com/marjoramflow/marjoramflow/retry"
)

// PlainRequest is a call to a plain service by an authenticated caller.
type PlainRequest struct {
	ID      string
	Caller  Caller
	Service *object.Service
	Route   *object.Route
	Path    string
	Header  http.Header
	Body    []byte
	// Key is the caller's Idempotency-Key; it may be empty.
	Key         string
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
}

// Plain runs a call to its end, with retries. It returns the target's answer, or a *Refusal.
func (runner *Runner) Plain(ctx context.Context, request *PlainRequest) (*plainservice.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	suspect, quarantined := runner.checkQuarantine(ctx, request.Fingerprint)
	if quarantined {
		return nil, quarantinedRefusal()
	}
	runner.RetryPolicy.CountRequest(request.Service.Name)
	p := &plainRun{runner: runner, request: request, runID: runner.newRunID(), suspect: suspect}
	if request.Key != "" && !request.Route.Idempotent {
		return p.runWithKey(ctx)
	}
	return p.runToEnd(ctx)
}

// plainRun is the state of one call across its attempts.
type plainRun struct {
	runner  *Runner
	request *PlainRequest
	// runID identifies this run of the request in reservations.
	runID           string
	suspect         bool
	version         string
	excludedTargets []string
	attempts        int
	lostTargets     lostTargetCount
	// currentTarget is the name of the target of the latest attempt; nil before the first
	// grant.
	currentTarget atomic.Pointer[string]
	// mayHaveRun is set once a target may have run an attempt of the request.
	mayHaveRun bool
}

// completeTimeout bounds how long the answer to the caller is delayed until it is stored
// under its idempotency key. Storing that takes longer continues in the background.
const completeTimeout = time.Second

// runWithKey claims the idempotency key, runs the call and records its outcome under the key.
// A call whose key cannot be claimed is not run.
func (p *plainRun) runWithKey(ctx context.Context) (*plainservice.Answer, error) {
	r := p.request
	key := idempotency.Key{Service: r.Service.Name, Account: r.Caller.Account.Name, Key: r.Key}
	claim, err := p.runner.IdempotencyKeys.Claim(ctx, key, r.Fingerprint)
	if err != nil {
		refusal := Refuse(http.StatusServiceUnavailable, CodeStoreUnavailable, "the idempotency key could not be claimed")
		refusal.Err = err
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	if claim.Outcome != idempotency.Claimed {
		return repeatedKeyAnswer(claim)
	}
	answer, err := p.runToEnd(ctx)
	p.finishClaim(claim.HeldClaim, answer, err)
	return answer, err
}

// finishClaim records the outcome of the claimed request. It does not use the context of the
// request, so that the outcome is also recorded after the request's deadline.
func (p *plainRun) finishClaim(claim *idempotency.HeldClaim, answer *plainservice.Answer, err error) {
	switch {
	case err == nil:
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		// When storing fails, the key stays in progress and its outcome becomes unknown
		// later; the caller still gets its answer.
		_ = p.runner.IdempotencyKeys.Complete(ctx, claim, idempotency.Answer{Status: answer.Status, Headers: answer.Header, Body: answer.Body})
	case AsRefusal(err).Outcome == OutcomeNotRun:
		p.runner.IdempotencyKeys.Abandon(claim)
	default:
		p.runner.IdempotencyKeys.MarkUnknown(claim)
	}
}

// repeatedKeyAnswer returns the answer to a call whose key was used before: the stored answer,
// or a refusal.
func repeatedKeyAnswer(claim idempotency.Result) (*plainservice.Answer, error) {
	switch claim.Outcome {
	case idempotency.Done:
		if claim.Answer.Omitted {
			return nil, &Refusal{Status: http.StatusConflict, Code: CodeKeyDone, Outcome: OutcomeUnknown, Message: "the request with this key is done; its answer was too large to keep"}
		}
		return &plainservice.Answer{Status: claim.Answer.Status, Header: claim.Answer.Headers, Body: claim.Answer.Body}, nil
	case idempotency.InProgress:
		return nil, &Refusal{Status: http.StatusConflict, Code: CodeKeyInProgress, Outcome: OutcomeUnknown, Message: "a request with this key is in progress", RetryAfter: time.Second}
	case idempotency.Mismatch:
		// The earlier request may have run, but this one did not.
		return nil, Refuse(http.StatusUnprocessableEntity, CodeKeyMismatch, "the key was used with another body")
	}
	return nil, &Refusal{Status: http.StatusConflict, Code: CodeKeyOutcomeUnknown, Outcome: OutcomeUnknown, Message: "the outcome of the request with this key is unknown"}
}

// runToEnd makes attempts until the retry policy ends the call. A call that is not idempotent
// is retried only when no target can have run it.
func (p *plainRun) runToEnd(ctx context.Context) (*plainservice.Answer, error) {
	for {
		p.attempts++
		answer, err := p.dispatchHedged(ctx)
		if err != nil && attempt.KindOf(err) == 0 {
			return nil, p.afterReserveError(err)
		}
		action := p.retryAction(answer, err)
		switch action.Kind {
		case retry.Deliver:
			return answer, nil
		case retry.GiveUpNotRun:
			return nil, giveUpRefusal(err, OutcomeNotRun)
		case retry.GiveUpUnknown:
			return nil, giveUpRefusal(err, OutcomeUnknown)
		}
		if ctx.Err() != nil {
			return nil, giveUpRefusal(err, p.outcome())
		}
		p.runner.Sleep(ctx, action.Delay)
		targetLost := p.lostTargets.record(err)
		p.runner.awaitQuarantineDecision(ctx, p.lostTargets)
		suspect, quarantined := p.runner.checkQuarantine(ctx, p.request.Fingerprint)
		p.suspect = suspect || targetLost
		if quarantined {
			refusal := quarantinedRefusal()
			refusal.Outcome = p.outcome()
			return nil, refusal
		}
	}
}

// retryAction returns the decision of the retry policy about the last attempt.
func (p *plainRun) retryAction(answer *plainservice.Answer, err error) retry.Action {
	a := retry.Attempt{Outcome: retry.Answered}
	if err != nil {
		a = newRetryAttempt(err)
	} else {
		a.Status = answer.Status
	}
	a.Number = p.attempts
	a.EarlierMayHaveRun = p.mayHaveRun
	a.Idempotent = p.request.Route.Idempotent
	a.Remaining = time.Until(p.request.Deadline)
	p.mayHaveRun = p.mayHaveRun || a.MayHaveRun()
	return p.runner.RetryPolicy.Decide(p.request.Service.Name, a)
}

// outcome reports whether any attempt so far may have run.
func (p *plainRun) outcome() Outcome {
	if p.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// afterReserveError converts the error of a reservation into the refusal for the caller.
func (p *plainRun) afterReserveError(err error) *Refusal {
	refusal := AsRefusal(err)
	refusal.Outcome = p.outcome()
	return refusal
}

// giveUpRefusal returns the refusal after the last failed attempt.
func giveUpRefusal(err error, outcome Outcome) *Refusal {
	r := &Refusal{Status: http.StatusBadGateway, Code: CodeTargetFailed, Outcome: outcome, Message: "the target gave no answer", Err: err}
	if outcome == OutcomeNotRun {
		r.Message = "no target could be reached"
	}
	if attempt.KindOf(err) == attempt.Stalled {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}

// dispatch reserves a target and sends the call once.
func (p *plainRun) dispatch(ctx context.Context) (*plainservice.Answer, error) {
	if p.version == "" || p.request.Route.Idempotent {
		p.version = p.runner.VersionPicker.Pick(p.request.Service, p.version)
	}
	grant, err := p.runner.Grants.Reserve(ctx, p.grantRequest())
	if err != nil {
		return nil, err
	}
	p.currentTarget.Store(&grant.Target.Name)
	started := time.Now()
	answer, err := p.runner.PlainServices.Do(ctx, p.serviceCall(grant))
	report := Report{Duration: time.Since(started), Result: resultOf(ctx, err)}
	p.runner.Grants.Release(grant, report)
	p.observe(grant, report, answer, err)
	if err != nil {
		p.excludedTargets = append(p.excludedTargets, grant.Target.Name)
		return nil, err
	}
	p.runner.Quarantine.RequestFinished(p.request.Fingerprint)
	if answer.Status >= http.StatusInternalServerError {
		p.excludedTargets = append(p.excludedTargets, grant.Target.Name)
	}
	return answer, nil
}

func (p *plainRun) grantRequest() GrantRequest {
	r := p.request
	return GrantRequest{
		ID:            attemptID(p.runID, p.attempts),
		Service:       r.Service.Name,
		Version:       p.version,
		Account:       r.Caller.Account.Name,
		Regions:       residency.Permit(r.Caller.Account.AllowedRegions),
		Tier:          r.Caller.Tier.Rank,
		Deadline:      r.Deadline,
		FinalDeadline: r.Deadline,
		Plain:         true,
		Suspect:       p.suspect,
		Fingerprint:   r.Fingerprint,
		Exclude:       p.excludedTargets,
	}
}

func (p *plainRun) serviceCall(grant *Grant) *plainservice.Call {
	r := p.request
	return &plainservice.Call{
		ID:         r.ID,
		Target:     grant.Target.Name,
		Address:    grant.Target.Address,
		Version:    p.version,
		Method:     r.Route.Method,
		Path:       r.Path,
		Header:     r.Header,
		Body:       r.Body,
		Idempotent: r.Route.Idempotent,
	}
}

func (p *plainRun) observe(grant *Grant, report Report, answer *plainservice.Answer, err error) {
	r := p.request
	o := newObservation(grant, &report, r.Caller)
	o.Service = r.Service.Name
	o.Route = r.Route.Name
	o.Version = p.version
	o.Plain = true
	o.QueueWait = grant.GrantedAt.Sub(r.Arrived)
	o.Failed = err != nil && !o.Stopped
	if answer != nil && answer.Status >= http.StatusInternalServerError {
		o.Failed = true
	}
	p.runner.Observer.ObserveAttempt(o)
}
