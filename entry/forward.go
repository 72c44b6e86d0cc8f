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

// heldAnswer is a whole answer of a target that has not gone to the caller.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward is the state of one opaque request between attempts.
type forward struct {
	entry   *Runner
	request *ForwardRequest
	sink    ForwardSink
	run     string
	version string
	suspect bool
	exclude []string
	// ran are the targets that may have run the request.
	ran    []string
	tries  int
	losses losses
	// mayHaveRun is set once a target may have run an attempt.
	mayHaveRun bool
	// lastEvent is the last event that the caller has; events counts those of
	// this request.
	lastEvent int64
	events    int
	started   bool
	// held is the last whole answer of a target that has run the request, and holding
	// its memory.
	held    *heldAnswer
	holding *bytebudget.Allocation
	gone    error
	// lastPassed is when the last event went to the caller.
	lastPassed time.Time
	trace      Trace
}

// Forward runs an opaque request to its end. It returns nil when a whole answer of
// a target went to the sink, and a *Refusal otherwise; the sink may have been
// started before.
func (e *Runner) Forward(ctx context.Context, r *ForwardRequest, sink ForwardSink) (Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	suspect, quarantined := e.checkQuarantine(ctx, r.Fingerprint)
	if quarantined {
		return Trace{}, quarantinedRefusal()
	}
	e.RetryPolicy.CountRequest(r.Service.Name)
	f := &forward{
		entry:     e,
		request:   r,
		sink:      sink,
		run:       e.newRun(),
		suspect:   suspect,
		lastEvent: r.ResumeAfter,
		version:   e.VersionPicker.Pick(r.Service),
		holding:   e.AnswerMemory.NewAllocation(),
	}
	defer func() { f.holding.Release() }()
	err := f.runToEnd(ctx)
	return f.trace, err
}

// runToEnd makes attempts until the answer is whole or the request ends.
func (f *forward) runToEnd(ctx context.Context) error {
	for {
		f.tries++
		err := f.attempt(ctx)
		if err == nil {
			return nil
		}
		if f.gone != nil || errors.Is(ctx.Err(), context.Canceled) {
			return &Refusal{Status: statusClientClosed, Code: CodeCanceled, Outcome: f.outcome(), Message: "the caller closed the connection", Err: err}
		}
		if attempt.KindOf(err) == 0 {
			return f.afterReserve(err)
		}
		if again, end := f.again(ctx, err); !again {
			return end
		}
	}
}

// attempt reserves a target and runs the request there once.
func (f *forward) attempt(ctx context.Context) error {
	grant, err := f.entry.Grants.Reserve(ctx, f.need())
	if err != nil {
		return err
	}
	f.trace.Targets = append(f.trace.Targets, grant.Target.Name)
	if f.tries == 1 {
		f.trace.QueueWait = grant.At.Sub(f.request.Arrived)
	}
	started := time.Now()
	report := Report{PromptTokens: f.request.PromptTokens}
	before := f.events
	err = f.dispatch(ctx, grant, &report, started)
	report.Duration = time.Since(started)
	report.Result = resultOf(ctx, err)
	report.OutputTokens = (f.events - before) * max(1, f.request.Service.EventTokens)
	f.entry.Grants.Release(grant, report)
	f.observe(grant, &report, err)
	if err != nil && !slices.Contains(f.exclude, grant.Target.Name) {
		f.exclude = append(f.exclude, grant.Target.Name)
	}
	return err
}

func (f *forward) need() GrantRequest {
	r := f.request
	return GrantRequest{
		ID:              attemptID(f.run, f.tries),
		Service:         r.Service.Name,
		Version:         f.version,
		Account:         r.account(),
		Tier:            r.Rank,
		PromptTokens:    r.PromptTokens,
		OutputTokens:    max(1, r.OutputTokens),
		Deadline:        r.Deadline,
		FinalDeadline:   r.Deadline,
		FirstTokenBy:    f.firstEventBy(),
		ObjectiveBy:     f.objectiveBy(),
		MaxGap:          r.Ingress.MaxGap,
		EventTokens:     r.Service.EventTokens,
		ObjectiveMissed: r.CallerRetry,
		WaitingSince:    r.Arrived,
		AskAllGroups:    true,
		Accepted:        f.started,
		Suspect:         f.suspect,
		Fingerprint:     r.Fingerprint,
		Prefix:          r.Prefix,
		Plain:           r.PromptTokens == 0,
		Exclude:         f.exclude,
	}
}

// dispatch sends one attempt and passes its answer on.
func (f *forward) dispatch(ctx context.Context, grant *Grant, report *Report, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	doubt := time.AfterFunc(f.doubtAfter(), func() { f.entry.Grants.ReportUnresponsive(grant) })
	defer doubt.Stop()
	remaining := time.Until(f.request.Deadline)
	reply, err := f.entry.Forwarder.Dispatch(ctx, &Dispatch{
		Request:     f.request,
		Target:      grant.Target,
		Remaining:   remaining,
		ResumeAfter: f.lastEvent,
	}, f.firstByteBy(started))
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.Status == http.StatusOK && f.request.Ingress.Stream {
		return f.stream(reply, grant.Target.Name, report, started, doubt)
	}
	report.FirstToken = time.Since(started)
	return f.whole(ctx, reply, grant.Target.Name, started)
}

// fail is the error of an attempt on a target that may have run the request.
func fail(kind attempt.Kind, target string, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: target, Status: status, Err: err}
}

// whole reads an answer to its end before it goes to the caller, so that a cut one
// can be repeated or replaced by an error.
func (f *forward) whole(ctx context.Context, reply *Reply, target string, started time.Time) error {
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	holding := f.entry.AnswerMemory.NewAllocation()
	body, err := readWhole(reply, holding)
	if err != nil {
		holding.Release()
		return fail(readFailure(ctx, err), target, reply.Status, err)
	}
	if kind, err := withoutAnswer(reply); err != nil {
		holding.Release()
		return fail(kind, target, reply.Status, err)
	}
	f.holding.Release()
	f.holding = holding
	f.held = &heldAnswer{status: reply.Status, header: reply.Header, body: body}
	if reply.Status >= http.StatusInternalServerError {
		return fail(attempt.Failed, target, reply.Status, errTargetFailed)
	}
	f.entry.Quarantine.RequestFinished(f.request.Fingerprint)
	return f.deliver()
}

// withoutAnswer returns the error of a reply that is not passed on: a target that did not
// run the request, or one that says so by its status alone.
func withoutAnswer(reply *Reply) (attempt.Kind, error) {
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return attempt.Refused, attempt.ErrReplaced
	case reply.NotRun:
		return attempt.Refused, errTargetRefused
	case promisesNotRun(reply.Status):
		return attempt.Failed, errTargetFailed
	}
	return 0, nil
}

// promisesNotRun says whether a status tells callers that their request has not run.
// A target that sends one without saying so itself may have run the request, and
// its answer is not passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readWhole reads a body into memory that is charged to a holding.
func readWhole(reply *Reply, holding *bytebudget.Allocation) ([]byte, error) {
	body, err := holding.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1), reply.Length)
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, err
}

// readFailure classifies a body that could not be read to its end.
func readFailure(ctx context.Context, err error) attempt.Kind {
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return attempt.Canceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return attempt.Stalled
	}
	return attempt.Cut
}

// deliver passes the held answer on.
func (f *forward) deliver() error {
	a := f.held
	if err := f.sink.Start(a.status, a.header, int64(len(a.body))); err != nil {
		return f.left(err)
	}
	f.started = true
	if err := f.sink.Write(a.body); err != nil {
		return f.left(err)
	}
	return nil
}

// left notes that the caller has gone.
func (f *forward) left(err error) error {
	f.gone = err
	return fail(attempt.Canceled, "", 0, err)
}

// again decides whether the request is tried once more; the error is the answer
// otherwise.
func (f *forward) again(ctx context.Context, err error) (bool, error) {
	f.trace.Failures = append(f.trace.Failures, err.Error())
	a := f.describe(err)
	if a.MayHaveRun() {
		f.mayHaveRun = true
		f.ran = append(f.ran, f.exclude[len(f.exclude)-1])
	}
	if ctx.Err() != nil || (f.mayHaveRun && len(f.ran) >= f.request.Ingress.Attempts) {
		return false, f.end(err)
	}
	action := f.entry.RetryPolicy.Decide(f.request.Service.Name, a)
	switch action.Kind {
	case retry.RetryElsewhere, retry.RetryAfter, retry.Resume:
	default:
		return false, f.end(err)
	}
	f.entry.Pause(ctx, action.Delay)
	lost := f.losses.note(err)
	f.entry.awaitVerdict(ctx, f.losses)
	suspect, quarantined := f.entry.checkQuarantine(ctx, f.request.Fingerprint)
	f.suspect = suspect || lost
	if quarantined {
		refusal := quarantinedRefusal()
		refusal.Outcome = f.outcome()
		return false, refusal
	}
	f.version = f.entry.VersionPicker.Pick(f.request.Service)
	return true, nil
}

func (f *forward) describe(err error) retry.Attempt {
	a := describe(err)
	a.Number = f.tries
	a.EarlierMayHaveRun = f.mayHaveRun
	a.Idempotent = f.request.Ingress.Repeat == object.RepeatSafe
	a.Resumable = f.request.Ingress.Repeat == object.RepeatResume
	a.Tokens = f.events
	a.Remaining = time.Until(f.request.Deadline)
	return a
}

// end answers a request that is not tried again. A failure that a target made is
// passed on as it is, unless the caller has a part of an answer already.
func (f *forward) end(err error) error {
	var failed *attempt.Error
	if errors.As(err, &failed) && failed.Kind == attempt.Failed && !f.started && f.held != nil {
		return f.deliver()
	}
	return giveUp(err, f.outcome())
}

// outcome is what is known of the attempts so far.
func (f *forward) outcome() Outcome {
	if f.mayHaveRun || f.started {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// afterReserve turns a refused reservation into the caller's refusal. After a
// failure that a target made, that failure is the better answer.
func (f *forward) afterReserve(err error) error {
	if f.held != nil && f.mayHaveRun && !f.started {
		return f.deliver()
	}
	refusal := AsRefusal(err)
	refusal.Outcome = f.outcome()
	refusal.RetryAfter = returnAfter(refusal.RetryAfter, time.Until(f.request.Deadline), rand.Float64())
	return refusal
}

func (f *forward) observe(grant *Grant, report *Report, err error) {
	r := f.request
	o := observation(grant, report, r.Caller)
	o.Request = r.ID
	o.Err = err
	o.Service = r.Service.Name
	o.Route = r.Ingress.Name
	o.Version = f.version
	o.Plain = r.PromptTokens == 0
	o.Failed = err != nil && !o.Stopped
	if f.tries == 1 {
		o.QueueWait = grant.At.Sub(r.Arrived)
	}
	f.entry.Observer.ObserveAttempt(o)
}
