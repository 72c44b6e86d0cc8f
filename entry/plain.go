package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
)

// PlainRequest is a call of a plain service by an authenticated caller.
type PlainRequest struct {
	ID      string
	Caller  Caller
	Service *object.Service
	Route   *object.Route
	Path    string
	Header  http.Header
	Body    []byte
	// Key is the caller's Idempotency-Key; may be empty.
	Key         string
	Fingerprint uint64
	Deadline    time.Time
}

// Plain runs a call to its end and returns the target's answer, or a *Refusal.
func (e *Entry) Plain(ctx context.Context, r *PlainRequest) (*plainservice.Answer, error) {
	suspect, err := e.checkQuarantine(r.Fingerprint)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	e.Retries.Request(r.Service.Name)
	p := &plain{entry: e, request: r, suspect: suspect}
	if r.Route.Idempotent {
		return p.repeatable(ctx)
	}
	if r.Key == "" {
		return p.once(ctx)
	}
	return p.keyed(ctx)
}

// plain is the state of one call between attempts.
type plain struct {
	entry   *Entry
	request *PlainRequest
	suspect bool
	version string
	exclude []string
	tries   int
}

// repeatable runs an idempotent call, again on other targets while the retry
// budget lasts.
func (p *plain) repeatable(ctx context.Context) (*plainservice.Answer, error) {
	for {
		answer, err := p.once(ctx)
		if err == nil && answer.Status < http.StatusInternalServerError {
			return answer, nil
		}
		if !p.mayRetry(ctx, err) {
			return answer, err
		}
		p.entry.Pause(ctx, p.entry.Backoff(p.tries))
	}
}

// mayRetry says whether another attempt makes sense. Refusals of the owner are
// final: they already considered every target.
func (p *plain) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || p.tries >= maxAttempts {
		return false
	}
	if err != nil && AsRefusal(err).Code != CodeTargetFailed {
		return false
	}
	return p.entry.Retries.Allow(p.request.Service.Name)
}

// keyed claims the idempotency key before the only dispatch.
func (p *plain) keyed(ctx context.Context) (*plainservice.Answer, error) {
	r := p.request
	claim, err := p.entry.Keys.Claim(ctx, r.Service.Name, r.Caller.Account.Name, r.Key, r.Fingerprint)
	if err != nil {
		refusal := Refuse(http.StatusServiceUnavailable, CodeStoreDown, "the idempotency key could not be claimed")
		refusal.Err = err
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	if claim.State() != KeyClaimed {
		return repeated(claim)
	}
	answer, err := p.once(ctx)
	switch {
	case err == nil:
		claim.Complete(&Stored{Status: answer.Status, Header: answer.Header, Body: answer.Body})
	case AsRefusal(err).Outcome == NotRun:
		claim.Abandon()
	default:
		claim.MarkUnknown()
	}
	return answer, err
}

// repeated answers a call whose key was used before.
func repeated(claim KeyClaim) (*plainservice.Answer, error) {
	switch claim.State() {
	case KeyDone:
		stored := claim.Stored()
		return &plainservice.Answer{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
	case KeyInProgress:
		return nil, &Refusal{Status: http.StatusConflict, Code: CodeKeyInProgress, Outcome: Unknown, Message: "a request with this key is in progress", RetryAfter: time.Second}
	case KeyMismatch:
		// The earlier request may have run, this one did not.
		return nil, Refuse(http.StatusUnprocessableEntity, CodeKeyMismatch, "the key was used with another body")
	}
	return nil, &Refusal{Status: http.StatusConflict, Code: CodeKeyUnknown, Outcome: Unknown, Message: "the outcome of the request with this key is unknown"}
}

// once runs one attempt. For calls that must not run twice it is the only one;
// when the connection could not be made, another target is tried, since nothing
// was sent.
func (p *plain) once(ctx context.Context) (*plainservice.Answer, error) {
	for {
		p.tries++
		answer, err := p.dispatch(ctx)
		kind := attempt.KindOf(err)
		if kind != attempt.NotSent || p.tries >= maxAttempts || ctx.Err() != nil {
			return answer, p.refusal(err, kind)
		}
	}
}

// dispatch reserves a target and sends the call once.
func (p *plain) dispatch(ctx context.Context) (*plainservice.Answer, error) {
	if p.version == "" || p.request.Route.Idempotent {
		p.version = p.entry.Versions.Pick(p.request.Service)
	}
	grant, err := p.entry.Grants.Reserve(ctx, p.need())
	if err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := p.entry.Plains.Do(ctx, p.call(grant))
	report := Report{Duration: time.Since(started), Result: resultOf(ctx, err)}
	p.entry.Grants.Release(grant, report)
	p.observe(grant, report, answer, err)
	if err != nil {
		p.exclude = append(p.exclude, grant.Target.Name)
		return nil, err
	}
	p.entry.Suspects.Finished(p.request.Fingerprint)
	return answer, nil
}

func (p *plain) need() Need {
	r := p.request
	return Need{
		ID:          attemptID(r.ID, p.tries),
		Service:     r.Service.Name,
		Version:     p.version,
		Account:     r.Caller.Account.Name,
		Tier:        r.Caller.Tier.Rank,
		Deadline:    r.Deadline,
		Plain:       true,
		Suspect:     p.suspect,
		Fingerprint: r.Fingerprint,
		Exclude:     p.exclude,
	}
}

func (p *plain) call(grant *Grant) *plainservice.Call {
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

// refusal turns an attempt's error into what the caller is told. Only an attempt
// that was not sent is certain not to have run; errors of the reservation are
// refusals already.
func (p *plain) refusal(err error, kind attempt.Kind) error {
	if err == nil {
		return nil
	}
	if kind == 0 {
		return AsRefusal(err)
	}
	r := &Refusal{Status: http.StatusBadGateway, Code: CodeTargetFailed, Outcome: Unknown, Message: "the target gave no answer", Err: err}
	if kind == attempt.NotSent {
		r.Outcome = NotRun
		r.Message = "no target could be reached"
	}
	if kind == attempt.Stalled {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}

func (p *plain) observe(grant *Grant, report Report, answer *plainservice.Answer, err error) {
	r := p.request
	failed := err != nil && report.Result != ResultCanceled
	if answer != nil && answer.Status >= http.StatusInternalServerError {
		failed = true
	}
	p.entry.Observer.Attempt(Observation{
		Service:  r.Service.Name,
		Route:    r.Route.Name,
		Version:  p.version,
		Target:   grant.Target.Name,
		Tier:     r.Caller.Tier.Name,
		Account:  r.Caller.Account.Name,
		Failed:   failed,
		Duration: report.Duration,
	})
}
