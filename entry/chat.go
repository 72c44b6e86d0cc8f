package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/residency"
	"github.com/marjoramflow/marjoramflow/retry"
)

// ChatRequest is a chat completion request of an authenticated caller.
type ChatRequest struct {
	ID      string
	Caller  Caller
	Service *object.Service
	// Model maps a version to the engine's model name.
	Model        func(version string) string
	Route        string
	Body         map[string]json.RawMessage
	Fingerprint  uint64
	Prefix       []uint64
	PromptTokens int
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
	Arrived      time.Time
	Deadline     time.Time
}

// finalDeadlineFactor extends the time of a request that has run. Its caller may have
// received a part of the answer, and a preemption must not prevent the rest. The
// extended deadline ends requests that make no progress.
const finalDeadlineFactor = 3

// finalDeadline returns the time at which a request that has run is given up.
func (r *ChatRequest) finalDeadline() time.Time {
	return r.Arrived.Add(finalDeadlineFactor * r.Deadline.Sub(r.Arrived))
}

// Sink receives the answer. Frame is called once per token, in order, without gaps
// or repetitions. An error means that the caller has disconnected.
type Sink interface {
	Frame(*engine.Frame) error
}

// errPreempted is the cancellation cause of an attempt whose grant was revoked.
var errPreempted = errors.New("grant was preempted")

// chatRun is the state of one chat request across its attempts.
type chatRun struct {
	runner  *Runner
	request *ChatRequest
	// runID identifies this run of the request in reservations.
	runID   string
	sink    Sink
	version string
	suspect bool
	// excludedTargets are those on which the request failed.
	excludedTargets []string
	// nextToken is the index of the first token that the caller does not have yet.
	nextToken     int
	lastFrameSent bool
	// disconnectErr is the error of the sink after the caller disconnected.
	disconnectErr error
	// attempts counts all ended attempts, failures those that failed and were not preempted.
	attempts    int
	failures    int
	lostTargets lostTargetCount
	// mayHaveRun is set once a target may have run an attempt of the request.
	mayHaveRun bool
}

// Chat runs a request to its end, with retries. It returns nil when the whole answer
// was sent to the sink, and a *Refusal otherwise; the sink may have received some frames
// even then.
func (runner *Runner) Chat(ctx context.Context, request *ChatRequest, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.finalDeadline())
	defer cancel()
	suspect, quarantined := runner.checkQuarantine(ctx, request.Fingerprint)
	if quarantined {
		return quarantinedRefusal()
	}
	runner.RetryPolicy.CountRequest(request.Service.Name)
	c := &chatRun{runner: runner, request: request, runID: runner.newRunID(), sink: sink, suspect: suspect, version: runner.VersionPicker.Pick(request.Service, "")}
	return c.runToEnd(ctx)
}

// runToEnd reserves targets and runs attempts until the answer is complete or the
// request fails.
func (c *chatRun) runToEnd(ctx context.Context) error {
	grant, err := c.firstGrant(ctx)
	for err == nil {
		report, runErr := c.runAttempt(ctx, grant)
		if errors.Is(runErr, errPreempted) {
			c.attempts++
			c.mayHaveRun = true
			grant, err = c.requeue(ctx, grant, report)
			continue
		}
		c.runner.Grants.Release(grant, report)
		if runErr == nil {
			c.runner.Quarantine.RequestFinished(c.request.Fingerprint)
			return nil
		}
		retryable, failure := c.decideRetry(ctx, grant, runErr)
		if !retryable {
			return failure
		}
		grant, err = c.runner.Grants.Reserve(ctx, c.grantRequest())
	}
	return c.afterReserveError(err)
}

// requeue waits for a target after a preemption. The owner may drop a request that can
// no longer meet its first deadline; since the request was accepted, it is then reserved
// again with its final deadline.
func (c *chatRun) requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error) {
	next, err := c.runner.Grants.Requeue(ctx, grant, report)
	if err == nil || ctx.Err() != nil {
		return next, err
	}
	return c.runner.Grants.Reserve(ctx, c.grantRequest())
}

// firstGrant waits for the first grant, until the time at which the first token is due.
// A request that waits longer would waste prefill on an answer that is late. Later
// attempts wait until the final deadline.
func (c *chatRun) firstGrant(ctx context.Context) (*Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.firstTokenBy())
	defer cancel()
	return c.runner.Grants.Reserve(ctx, c.grantRequest())
}

// answerDeadline returns the time by which the answer has to be complete. For the first
// attempt it allows the time to the first token and allowedTimePerToken for each token,
// so that no prefill is spent on an answer that is late. Later attempts have until the
// final deadline.
func (c *chatRun) answerDeadline() time.Time {
	r := c.request
	if c.attempts > 0 {
		return r.finalDeadline()
	}
	allowed := r.Caller.Tier.FirstToken + time.Duration(r.OutputTokens)*allowedTimePerToken
	deadline := r.Arrived.Add(allowed)
	if deadline.After(r.Deadline) {
		return r.Deadline
	}
	return deadline
}

// firstTokenBy returns the time by which the tier promises the first token.
func (r *ChatRequest) firstTokenBy() time.Time {
	return r.Arrived.Add(r.Caller.Tier.FirstToken)
}

func (c *chatRun) grantRequest() GrantRequest {
	r := c.request
	grantRequest := GrantRequest{
		ID:            attemptID(c.runID, c.failures),
		Service:       r.Service.Name,
		Version:       c.version,
		Account:       r.Caller.Account.Name,
		Regions:       residency.Permit(r.Caller.Account.AllowedRegions),
		Tier:          r.Caller.Tier.Rank,
		PromptTokens:  r.PromptTokens + c.nextToken,
		OutputTokens:  max(1, r.OutputTokens-c.nextToken),
		Deadline:      c.answerDeadline(),
		FinalDeadline: r.finalDeadline(),
		Accepted:      c.attempts > 0,
		Preemptible:   true,
		Suspect:       c.suspect,
		Fingerprint:   r.Fingerprint,
		Prefix:        r.Prefix,
		Exclude:       c.excludedTargets,
	}
	if c.attempts == 0 {
		grantRequest.FirstTokenBy = r.firstTokenBy()
	}
	return grantRequest
}

// afterReserveError converts the error of a reservation into the refusal for the caller.
func (c *chatRun) afterReserveError(err error) error {
	refusal := AsRefusal(err)
	if c.attempts > 0 {
		refusal.Outcome = OutcomeUnknown
		if refusal.Code == CodeTooLate {
			refusal.Code = CodeDeadline
		}
	}
	return refusal
}

// runAttempt streams one attempt to the sink and returns the report for the owner. The
// error is errPreempted when the grant was revoked before the answer was complete.
func (c *chatRun) runAttempt(ctx context.Context, grant *Grant) (Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.watchPreemption(ctx, cancel, grant)
	defer stop()
	started := time.Now()
	report := Report{PromptTokens: c.request.PromptTokens}
	err := c.relayStream(ctx, grant, &report, started)
	report.Duration = time.Since(started)
	report.Result = resultOf(ctx, err)
	if c.disconnectErr == nil && report.Result != ResultPreempted {
		c.observe(grant, &report, err)
	}
	if errors.Is(context.Cause(ctx), errPreempted) && err != nil {
		return report, errPreempted
	}
	return report, err
}

// watchPreemption cancels the attempt when the grant is revoked, until the returned
// function is called.
func (c *chatRun) watchPreemption(ctx context.Context, cancel context.CancelCauseFunc, grant *Grant) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-grant.Preempted:
			cancel(errPreempted)
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (c *chatRun) relayStream(ctx context.Context, grant *Grant, report *Report, started time.Time) error {
	stream, err := c.runner.Engines.Stream(ctx, c.engineCall(grant))
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if frame == nil {
			return err
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
		}
		if err := c.sendFrame(frame, report); err != nil {
			return err
		}
	}
}

// sendFrame passes a frame to the sink. An error of the sink means that the caller has
// disconnected.
func (c *chatRun) sendFrame(frame *engine.Frame, report *Report) error {
	if frame.Usage != nil {
		report.PromptTokens = frame.Usage.PromptTokens
		report.CachedTokens = frame.Usage.CachedTokens
	}
	if err := c.sink.Frame(frame); err != nil {
		c.disconnectErr = err
		return err
	}
	if frame.Last {
		c.lastFrameSent = true
		return nil
	}
	c.nextToken = frame.Index + 1
	report.OutputTokens++
	return nil
}

func (c *chatRun) engineCall(grant *Grant) *engine.Call {
	return &engine.Call{
		ID:                c.request.ID + "." + attemptID(c.runID, c.attempts),
		Target:            grant.Target.Name,
		Address:           grant.Target.Address,
		Model:             c.request.Model(c.version),
		Body:              c.request.Body,
		ResumeFrom:        c.nextToken,
		FirstFrameTimeout: max(minFirstTokenTimeout, firstTokenTimeoutFactor*c.request.Caller.Tier.FirstToken),
		FrameGapTimeout:   tokenGapTimeout,
	}
}

// resultOf returns how an attempt ended, for the report to the owner.
func resultOf(ctx context.Context, err error) Result {
	switch {
	case err == nil:
		return ResultDone
	case errors.Is(context.Cause(ctx), errPreempted):
		return ResultPreempted
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ResultTimeout
	}
	if errors.Is(err, attempt.ErrTargetReplaced) {
		return ResultTargetReplaced
	}
	switch attempt.KindOf(err) {
	case attempt.NotSent, attempt.MaybeSent, attempt.Cut:
		return ResultTargetLost
	case attempt.Stalled:
		return ResultTimeout
	case attempt.Failed, attempt.Refused:
		return ResultFailed
	}
	return ResultCanceled
}

// decideRetry decides whether a failed request is retried; if not, it also returns the
// error for the caller. A chat completion is resumable, so the retry policy is asked
// unless the caller has disconnected, the context has ended, the engine rejected the
// request, or the last frame was already sent.
func (c *chatRun) decideRetry(ctx context.Context, grant *Grant, err error) (bool, error) {
	c.attempts++
	switch {
	case c.lastFrameSent:
		return false, nil
	case c.disconnectErr != nil:
		return false, &Refusal{Status: statusClientClosed, Code: CodeCanceled, Outcome: OutcomeUnknown, Message: "the caller closed the connection", Err: c.disconnectErr}
	case ctx.Err() != nil:
		return false, &Refusal{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: OutcomeUnknown, Message: "the deadline passed", Err: err}
	case attempt.KindOf(err) == attempt.Rejected:
		return false, c.rejectedRefusal(err)
	}
	return c.prepareRetry(ctx, grant, err)
}

// rejectedRefusal returns the refusal of a request that an engine found invalid.
func (c *chatRun) rejectedRefusal(err error) *Refusal {
	r := Refuse(http.StatusBadRequest, CodeBadRequest, "the engine rejected the request")
	if c.mayHaveRun {
		r.Outcome = OutcomeUnknown
	}
	r.Err = err
	return r
}

// prepareRetry asks the retry policy, and prepares the next attempt on another target if
// the policy permits one. Otherwise it returns the error for the caller.
func (c *chatRun) prepareRetry(ctx context.Context, grant *Grant, err error) (bool, error) {
	c.failures++
	service := c.request.Service
	failure := &Refusal{Status: http.StatusBadGateway, Code: CodeTargetFailed, Outcome: OutcomeUnknown, Message: "targets failed while running the request", Err: err}
	a := newRetryAttempt(err)
	a.Tokens = c.nextToken
	a.Number = c.failures
	a.EarlierMayHaveRun = c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || a.MayHaveRun()
	a.Resumable = true
	a.Remaining = time.Until(c.request.finalDeadline())
	action := c.runner.RetryPolicy.Decide(service.Name, a)
	switch action.Kind {
	case retry.RetryElsewhere, retry.RetryAfter, retry.Resume:
	default:
		if action.Kind == retry.GiveUpNotRun {
			failure.Outcome = OutcomeNotRun
		}
		return false, failure
	}
	if name := grant.Target.Name; !slices.Contains(c.excludedTargets, name) {
		c.excludedTargets = append(c.excludedTargets, name)
	}
	if c.nextToken == 0 {
		c.version = c.runner.VersionPicker.Pick(service, c.version)
	}
	c.runner.Sleep(ctx, action.Delay)
	targetLost := c.lostTargets.record(err)
	c.runner.awaitQuarantineDecision(ctx, c.lostTargets)
	suspect, quarantined := c.runner.checkQuarantine(ctx, c.request.Fingerprint)
	c.suspect = suspect || targetLost
	if quarantined {
		failure.Code = CodeQuarantined
		return false, failure
	}
	return true, nil
}

func (c *chatRun) observe(grant *Grant, report *Report, err error) {
	r := c.request
	o := newObservation(grant, report, r.Caller)
	o.Service = r.Service.Name
	o.Route = r.Route
	o.Version = c.version
	o.Pace = pace(report, report.OutputTokens)
	o.Failed = err != nil && !o.Stopped
	if c.attempts == 0 {
		o.QueueWait = grant.GrantedAt.Sub(r.Arrived)
	}
	c.runner.Observer.ObserveAttempt(o)
}
