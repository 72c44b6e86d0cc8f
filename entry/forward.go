package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/bytebudget"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/retry"
)

// bufferedAnswer is a complete answer of a target that was not sent to the caller yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forwardRun is the state of one opaque request across its attempts.
type forwardRun struct {
	runner          *Runner
	request         *ForwardRequest
	sink            ForwardSink
	runID           string
	version         string
	suspect         bool
	excludedTargets []string
	// mayHaveRunOn lists the targets that may have run the request.
	mayHaveRunOn []string
	attempts     int
	lostTargets  lostTargetCount
	// mayHaveRun is set once a target may have run an attempt of the request.
	mayHaveRun bool
	// lastEvent is the number of the last event that the caller has; eventsSent counts
	// the events that this run sent.
	lastEvent int64
	// lastEventSum is the sum of the bytes of that event, or 0 if an earlier run sent it.
	lastEventSum  uint64
	eventsSent    int
	answerStarted bool
	// positionUnknown is set if lastEvent may be wrong, so that no target can continue the
	// stream.
	positionUnknown bool
	// startedIn is the number of the attempt that began the stream that the caller gets.
	startedIn int
	// buffered is the last complete answer of a target that ran the request; bufferMemory
	// is the memory charged for it.
	buffered      *bufferedAnswer
	bufferMemory  *bytebudget.Allocation
	disconnectErr error
	// trial is set while the next attempt is the trial of a blocked set.
	trial bool
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
	trace       Trace
}

// Forward runs an opaque request to its end, with retries. The error is nil when a
// complete answer of a target was sent to the sink, and a *Refusal otherwise; the sink
// may have been started even then.
func (runner *Runner) Forward(ctx context.Context, request *ForwardRequest, sink ForwardSink) (Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	defer context.AfterFunc(runner.stops.running, cancel)()
	suspect, quarantined := runner.checkQuarantine(ctx, request.Fingerprint)
	if quarantined {
		return Trace{}, quarantinedRefusal()
	}
	runner.RetryPolicy.CountRequest(request.Service.Name)
	f := &forwardRun{
		runner:       runner,
		request:      request,
		sink:         sink,
		runID:        runner.newRunID(),
		suspect:      suspect,
		lastEvent:    request.ResumeAfter,
		version:      runner.VersionPicker.Pick(request.Service, ""),
		bufferMemory: runner.AnswerMemory.NewAllocation(),
	}
	defer func() { f.bufferMemory.Release() }()
	err := f.runToEnd(ctx)
	return f.trace, err
}

// runToEnd makes attempts until the answer is complete or the request fails.
func (f *forwardRun) runToEnd(ctx context.Context) error {
	for {
		f.attempts++
		err := f.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if refusal := f.abortedRefusal(err); refusal != nil {
			return refusal
		}
		if f.disconnectErr != nil || errors.Is(ctx.Err(), context.Canceled) {
			return &Refusal{Status: statusClientClosed, Code: CodeCanceled, Outcome: f.outcome(), Message: "the caller closed the connection", Err: err}
		}
		if attempt.KindOf(err) == 0 {
			return f.afterReserveError(err)
		}
		if retryable, failure := f.decideRetry(ctx, err); !retryable {
			return failure
		}
	}
}

// runAttempt reserves a target and runs the request on it once. The blocklist is asked before
// and after the wait for the target.
func (f *forwardRun) runAttempt(ctx context.Context) error {
	defer func() { f.trial = false }()
	if refusal := f.checkBlocklist(ctx); refusal != nil {
		return refusal
	}
	grant, err := f.reserve(ctx)
	if err != nil {
		return err
	}
	if refusal := f.checkBlocklist(ctx); refusal != nil {
		f.runner.Grants.Release(grant, Report{Result: ResultCanceled})
		return refusal
	}
	f.trace.Targets = append(f.trace.Targets, grant.Target.Name)
	if f.attempts == 1 {
		f.trace.QueueWait = grant.GrantedAt.Sub(f.request.Arrived)
	}
	started := time.Now()
	report := Report{PromptTokens: f.request.PromptTokens}
	eventsBefore := f.eventsSent
	err = f.dispatch(ctx, grant, &report, started)
	report.Duration = time.Since(started)
	report.Result = resultOf(ctx, err)
	f.recordLoss(&report, f.eventsSent-eventsBefore, err)
	report.OutputTokens = (f.eventsSent - eventsBefore) * max(1, f.request.Service.EventTokens)
	f.runner.Grants.Release(grant, report)
	f.observe(grant, &report, err)
	if err != nil && !slices.Contains(f.excludedTargets, grant.Target.Name) {
		f.excludedTargets = append(f.excludedTargets, grant.Target.Name)
	}
	return err
}

func (f *forwardRun) grantRequest() GrantRequest {
	r := f.request
	return GrantRequest{
		ID:            attemptID(f.runID, f.attempts),
		Service:       r.Service.Name,
		Version:       f.version,
		Account:       r.account(),
		Tier:          r.Rank,
		PromptTokens:  r.PromptTokens,
		OutputTokens:  max(1, r.OutputTokens),
		Deadline:      r.Deadline,
		FinalDeadline: r.Deadline,
		FirstTokenBy:  f.firstEventBy(),
		ObjectiveBy:   f.objectiveBy(),
		MaxGap:        r.Ingress.MaxGap,
		Regions:       r.regions(),
		EventTokens:   r.Service.EventTokens,
		WaitingSince:  r.Arrived,
		AskAllGroups:  true,
		Accepted:      f.answerStarted,
		Suspect:       f.suspect,
		Fingerprint:   r.Fingerprint,
		SharedParts:   r.SharedParts,
		Prefix:        r.Prefix,
		Plain:         r.PromptTokens == 0,
		Exclude:       f.excludedTargets,
	}
}

// dispatch sends one attempt to the target and relays its answer to the caller.
func (f *forwardRun) dispatch(ctx context.Context, grant *Grant, report *Report, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unresponsiveTimer := time.AfterFunc(f.unresponsiveAfter(), func() { f.runner.Grants.ReportUnresponsive(grant) })
	defer unresponsiveTimer.Stop()
	remaining := time.Until(f.request.Deadline)
	reply, err := f.runner.Forwarder.Dispatch(ctx, &Dispatch{
		Request:     f.request,
		Target:      grant.Target,
		Remaining:   remaining,
		ResumeAfter: f.lastEvent,
	}, f.firstByteBy(started))
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	f.recordWishes(grant, reply)
	if reply.Status == http.StatusOK && f.request.Ingress.Stream {
		return f.relayStream(reply, grant.Target.Name, report, started, unresponsiveTimer)
	}
	report.FirstToken = time.Since(started)
	return f.relayBuffered(ctx, reply, grant.Target.Name, started)
}

// recordWishes records whether the target wants more requests.
func (f *forwardRun) recordWishes(grant *Grant, reply *Reply) {
	if f.runner.Avoidance == nil {
		return
	}
	if reply.Leaving {
		f.runner.Avoidance.Leave(time.Now(), &grant.Target)
	}
	if reply.Pause > 0 {
		f.runner.Avoidance.Pause(time.Now(), &grant.Target, reply.Pause)
	}
}

// attemptError returns the error of an attempt that failed after its dispatch.
func attemptError(kind attempt.Kind, target string, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: target, Status: status, Err: err}
}

// relayBuffered buffers a complete answer before it sends it to the caller, so that an answer
// that is cut can be retried or replaced by an error.
func (f *forwardRun) relayBuffered(ctx context.Context, reply *Reply, target string, started time.Time) error {
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	memory := f.runner.AnswerMemory.NewAllocation()
	body, err := readBody(reply, memory)
	if err != nil {
		memory.Release()
		return attemptError(readFailureKind(ctx, err), target, reply.Status, err)
	}
	if kind, err := f.undeliverable(reply); err != nil {
		memory.Release()
		return attemptError(kind, target, reply.Status, err)
	}
	f.bufferMemory.Release()
	f.bufferMemory = memory
	f.buffered = &bufferedAnswer{status: reply.Status, header: reply.Header, body: body}
	if reply.Status >= http.StatusInternalServerError {
		return attemptError(attempt.Failed, target, reply.Status, errTargetFailed)
	}
	f.runner.Quarantine.RequestFinished(f.request.Fingerprint)
	if reply.Status < http.StatusMultipleChoices {
		// Another status may mean that the target did not process the prompt.
		f.reportBegun()
		f.reportFinished(target)
	}
	return f.sendBuffered()
}

// undeliverable returns an error for a reply that must not be sent to the caller: its
// target did not run the request, its status alone says so, or the caller already has a part
// of a stream, which this answer does not continue. For other replies the error is nil.
func (f *forwardRun) undeliverable(reply *Reply) (attempt.Kind, error) {
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return attempt.Refused, attempt.ErrTargetReplaced
	case reply.NotRun:
		return attempt.Refused, errTargetRefused
	case statusImpliesNotRun(reply.Status):
		return attempt.Failed, errTargetFailed
	case f.answerStarted:
		return attempt.Failed, errNotContinued
	}
	return 0, nil
}

// statusImpliesNotRun reports whether callers take a status as a statement that their
// request did not run. A target that sends such a status without Reply.NotRun may have
// run the request, so its answer is not passed on.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readBody reads a body of at most maxAnswerBytes into memory that is charged to an
// allocation.
func readBody(reply *Reply, memory *bytebudget.Allocation) ([]byte, error) {
	body, err := memory.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1), reply.Length)
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, err
}

// readFailureKind classifies the error of a body that could not be read to its end.
func readFailureKind(ctx context.Context, err error) attempt.Kind {
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return attempt.Canceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return attempt.Stalled
	}
	return attempt.Cut
}

// sendBuffered sends the buffered answer to the caller.
func (f *forwardRun) sendBuffered() error {
	answer := f.buffered
	if err := f.sink.Start(answer.status, answer.header, int64(len(answer.body))); err != nil {
		return f.callerDisconnected(err)
	}
	f.answerStarted = true
	if err := f.sink.Write(answer.body); err != nil {
		return f.callerDisconnected(err)
	}
	return nil
}

// callerDisconnected records that the caller has disconnected, and returns the error of
// the attempt.
func (f *forwardRun) callerDisconnected(err error) error {
	f.disconnectErr = err
	return attemptError(attempt.Canceled, "", 0, err)
}

// decideRetry decides whether a failed request is retried. If not, the error is the result
// of Forward, nil when a buffered answer was sent.
func (f *forwardRun) decideRetry(ctx context.Context, err error) (bool, error) {
	f.trace.Failures = append(f.trace.Failures, err.Error())
	a := f.retryAttempt(err)
	if a.MayHaveRun() {
		f.mayHaveRun = true
		f.mayHaveRunOn = append(f.mayHaveRunOn, f.excludedTargets[len(f.excludedTargets)-1])
	}
	if ctx.Err() != nil || (f.mayHaveRun && len(f.mayHaveRunOn) >= f.request.Ingress.Attempts) {
		return false, f.finishFailed(err)
	}
	action := f.runner.RetryPolicy.Decide(f.request.Service.Name, a)
	switch action.Kind {
	case retry.RetryElsewhere, retry.RetryAfter, retry.Resume:
	default:
		return false, f.finishFailed(err)
	}
	f.runner.Sleep(ctx, action.Delay)
	targetLost := f.lostTargets.record(err)
	f.runner.awaitQuarantineDecision(ctx, f.lostTargets)
	suspect, quarantined := f.runner.checkQuarantine(ctx, f.request.Fingerprint)
	f.suspect = suspect || targetLost
	if quarantined {
		refusal := quarantinedRefusal()
		refusal.Outcome = f.outcome()
		return false, refusal
	}
	f.version = f.runner.VersionPicker.Pick(f.request.Service, f.version)
	return true, nil
}

func (f *forwardRun) retryAttempt(err error) retry.Attempt {
	a := newRetryAttempt(err)
	a.Number = f.attempts
	a.EarlierMayHaveRun = f.mayHaveRun
	a.Idempotent = f.request.Ingress.Repeat == object.RepeatSafe
	a.Resumable = f.request.Ingress.Repeat == object.RepeatResume && !f.positionUnknown
	a.Tokens = f.eventsSent
	a.Remaining = time.Until(f.request.Deadline)
	return a
}

// finishFailed ends a request that is not retried. An error answer of a target is sent to
// the caller unchanged, unless the caller already has a part of an answer.
func (f *forwardRun) finishFailed(err error) error {
	var failed *attempt.Error
	if errors.As(err, &failed) && failed.Kind == attempt.Failed && !f.answerStarted && f.buffered != nil {
		return f.sendBuffered()
	}
	return giveUpRefusal(err, f.outcome())
}

// outcome reports whether any attempt so far may have run.
func (f *forwardRun) outcome() Outcome {
	if f.mayHaveRun || f.answerStarted {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// afterReserveError converts the error of a reservation into the refusal for the caller.
// If a target that ran the request gave an error answer before, that answer is sent
// instead, because it tells the caller more.
func (f *forwardRun) afterReserveError(err error) error {
	if f.buffered != nil && f.mayHaveRun && !f.answerStarted {
		return f.sendBuffered()
	}
	refusal := AsRefusal(err)
	refusal.Outcome = f.outcome()
	if refusal.Code != CodeQuarantined {
		refusal.RetryAfter = boundRetryAfter(refusal.RetryAfter, time.Until(f.request.Deadline), rand.Float64())
	}
	return refusal
}

func (f *forwardRun) observe(grant *Grant, report *Report, err error) {
	r := f.request
	o := newObservation(grant, report, r.Caller)
	o.Request = r.ID
	o.Err = err
	o.Service = r.Service.Name
	o.Route = r.Ingress.Name
	o.Version = f.version
	o.Pace = pace(report, report.OutputTokens/max(1, r.Service.EventTokens))
	o.Plain = r.PromptTokens == 0
	o.Failed = err != nil && !o.Stopped
	o.Fingerprint = r.Fingerprint
	o.SharedParts = r.SharedParts
	o.Suspect = grant.Request.Suspect
	o.Number = f.attempts
	o.Begun = report.FirstToken > 0
	if f.attempts == 1 {
		o.QueueWait = grant.GrantedAt.Sub(r.Arrived)
	}
	f.runner.Observer.ObserveAttempt(o)
}
