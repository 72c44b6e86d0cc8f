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
	"github.com/marjoramflow/marjoramflow/retry"
)

// ChatRequest is a chat completion of an authenticated caller.
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
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	Arrived      time.Time
	Deadline     time.Time
}

// finalFactor stretches the deadline of a request that has run. Its caller may
// have received a part of the answer, and a preemption must not make the rest
// impossible; the bound ends requests that make no progress at all.
const finalFactor = 3

// final is the time until which a request that has run is followed.
func (r *ChatRequest) final() time.Time {
	return r.Arrived.Add(finalFactor * r.Deadline.Sub(r.Arrived))
}

// Sink takes the answer. Frame is called once per token, in order, without gaps
// or repetitions; its error means that the caller has gone.
type Sink interface {
	Frame(*engine.Frame) error
}

// errPreempted is the cancellation cause of an attempt whose grant was taken back.
var errPreempted = errors.New("grant was preempted")

// chat is the state of one request between attempts.
type chat struct {
	entry   *Runner
	request *ChatRequest
	// run names this run of the request in reservations.
	run      string
	sink     Sink
	version  string
	suspect  bool
	exclude  []string
	next     int
	finished bool
	gone     error
	// attempts counts attempts of every kind, failures those that failed.
	attempts int
	failures int
	losses   losses
	// mayHaveRun is set once a target may have run an attempt.
	mayHaveRun bool
}

// Chat runs a request to its end. It returns nil when the whole answer went to
// the sink, and a *Refusal otherwise; frames may have gone to the sink before.
func (e *Runner) Chat(ctx context.Context, r *ChatRequest, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, r.final())
	defer cancel()
	suspect, quarantined := e.checkQuarantine(ctx, r.Fingerprint)
	if quarantined {
		return quarantinedRefusal()
	}
	e.RetryPolicy.CountRequest(r.Service.Name)
	c := &chat{entry: e, request: r, run: e.newRun(), sink: sink, suspect: suspect, version: e.VersionPicker.Pick(r.Service)}
	return c.runToEnd(ctx)
}

// runToEnd reserves and runs attempts until the answer is whole or the request
// fails.
func (c *chat) runToEnd(ctx context.Context) error {
	grant, err := c.firstGrant(ctx)
	for err == nil {
		report, runErr := c.runAttempt(ctx, grant)
		if errors.Is(runErr, errPreempted) {
			c.attempts++
			c.mayHaveRun = true
			grant, err = c.regrant(ctx, grant, report)
			continue
		}
		c.entry.Grants.Release(grant, report)
		if runErr == nil {
			c.entry.Quarantine.RequestFinished(c.request.Fingerprint)
			return nil
		}
		again, failure := c.afterFailure(ctx, grant, runErr)
		if !again {
			return failure
		}
		grant, err = c.entry.Grants.Reserve(ctx, c.need())
	}
	return c.afterReserve(err)
}

// regrant waits for a target after a preemption. The owner may give up a request
// that can no longer end when it was first due; an accepted request is then
// reserved anew until its deadline.
func (c *chat) regrant(ctx context.Context, grant *Grant, report Report) (*Grant, error) {
	next, err := c.entry.Grants.Requeue(ctx, grant, report)
	if err == nil || ctx.Err() != nil {
		return next, err
	}
	return c.entry.Grants.Reserve(ctx, c.need())
}

// firstGrant waits for a target until the first token is due. A request that
// waits longer would only use up prefill for an answer that comes too late; once
// it has run, it is followed to its deadline.
func (c *chat) firstGrant(ctx context.Context) (*Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.firstTokenBy())
	defer cancel()
	return c.entry.Grants.Reserve(ctx, c.need())
}

// due is the time by which the answer has to end. Before the first attempt it
// leaves the time to the first token and a bounded time for each further one,
// so that no prefill is spent on an answer that comes too late.
func (c *chat) due() time.Time {
	r := c.request
	if c.attempts > 0 {
		return r.final()
	}
	allowed := r.Caller.Tier.FirstToken + time.Duration(r.OutputTokens)*tokenAllowance
	due := r.Arrived.Add(allowed)
	if due.After(r.Deadline) {
		return r.Deadline
	}
	return due
}

// firstTokenBy is the time by which the tier promises the first token.
func (r *ChatRequest) firstTokenBy() time.Time {
	return r.Arrived.Add(r.Caller.Tier.FirstToken)
}

func (c *chat) need() GrantRequest {
	r := c.request
	need := GrantRequest{
		ID:            attemptID(c.run, c.failures),
		Service:       r.Service.Name,
		Version:       c.version,
		Account:       r.Caller.Account.Name,
		Tier:          r.Caller.Tier.Rank,
		PromptTokens:  r.PromptTokens + c.next,
		OutputTokens:  max(1, r.OutputTokens-c.next),
		Deadline:      c.due(),
		FinalDeadline: r.final(),
		Accepted:      c.attempts > 0,
		Preemptible:   true,
		Suspect:       c.suspect,
		Fingerprint:   r.Fingerprint,
		Prefix:        r.Prefix,
		Exclude:       c.exclude,
	}
	if c.attempts == 0 {
		need.FirstTokenBy = r.firstTokenBy()
	}
	return need
}

// afterReserve turns a refused reservation into the caller's refusal.
func (c *chat) afterReserve(err error) error {
	refusal := AsRefusal(err)
	if c.attempts > 0 {
		refusal.Outcome = OutcomeUnknown
		if refusal.Code == CodeLate {
			refusal.Code = CodeDeadline
		}
	}
	return refusal
}

// runAttempt streams one attempt to the sink.
func (c *chat) runAttempt(ctx context.Context, grant *Grant) (Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.watchPreemption(ctx, cancel, grant)
	defer stop()
	started := time.Now()
	report := Report{PromptTokens: c.request.PromptTokens}
	err := c.stream(ctx, grant, &report, started)
	report.Duration = time.Since(started)
	report.Result = resultOf(ctx, err)
	if c.gone == nil && report.Result != ResultPreempted {
		c.observe(grant, &report, err)
	}
	if errors.Is(context.Cause(ctx), errPreempted) && err != nil {
		return report, errPreempted
	}
	return report, err
}

// watchPreemption cancels the attempt when the grant is taken back.
func (c *chat) watchPreemption(ctx context.Context, cancel context.CancelCauseFunc, grant *Grant) func() {
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

func (c *chat) stream(ctx context.Context, grant *Grant, report *Report, started time.Time) error {
	s, err := c.entry.Engines.Stream(ctx, c.call(grant))
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		frame, err := s.Next()
		if frame == nil {
			return err
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
		}
		if err := c.deliver(frame, report); err != nil {
			return err
		}
	}
}

// deliver hands a frame to the sink. A sink error means that the caller has gone.
func (c *chat) deliver(frame *engine.Frame, report *Report) error {
	if frame.Usage != nil {
		report.PromptTokens = frame.Usage.PromptTokens
		report.CachedTokens = frame.Usage.CachedTokens
	}
	if err := c.sink.Frame(frame); err != nil {
		c.gone = err
		return err
	}
	if frame.Last {
		c.finished = true
		return nil
	}
	c.next = frame.Index + 1
	report.OutputTokens++
	return nil
}

func (c *chat) call(grant *Grant) *engine.Call {
	return &engine.Call{
		ID:           c.request.ID + "." + attemptID(c.run, c.attempts),
		Target:       grant.Target.Name,
		Address:      grant.Target.Address,
		Model:        c.request.Model(c.version),
		Body:         c.request.Body,
		ResumeFrom:   c.next,
		FirstTimeout: max(minFirstTimeout, firstTimeoutFactor*c.request.Caller.Tier.FirstToken),
		GapTimeout:   gapTimeout,
	}
}

// resultOf classifies the end of an attempt for the owner.
func resultOf(ctx context.Context, err error) Result {
	switch {
	case err == nil:
		return ResultDone
	case errors.Is(context.Cause(ctx), errPreempted):
		return ResultPreempted
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ResultTimeout
	}
	if errors.Is(err, attempt.ErrReplaced) {
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

// afterFailure decides whether the request is tried again. A chat completion is
// resumable, so every failure but the caller's own end permits it.
func (c *chat) afterFailure(ctx context.Context, grant *Grant, err error) (bool, error) {
	c.attempts++
	switch {
	case c.finished:
		return false, nil
	case c.gone != nil:
		return false, &Refusal{Status: statusClientClosed, Code: CodeCanceled, Outcome: OutcomeUnknown, Message: "the caller closed the connection", Err: c.gone}
	case ctx.Err() != nil:
		return false, &Refusal{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: OutcomeUnknown, Message: "the deadline passed", Err: err}
	case attempt.KindOf(err) == attempt.Rejected:
		return false, c.rejected(err)
	}
	return c.retry(ctx, grant, err)
}

// rejected passes on that an engine found the request at fault.
func (c *chat) rejected(err error) *Refusal {
	r := Refuse(http.StatusBadRequest, CodeBadRequest, "the engine rejected the request")
	if c.mayHaveRun {
		r.Outcome = OutcomeUnknown
	}
	r.Err = err
	return r
}

// retry asks the retry policy, and prepares the next attempt on another target.
func (c *chat) retry(ctx context.Context, grant *Grant, err error) (bool, error) {
	c.failures++
	service := c.request.Service
	failure := &Refusal{Status: http.StatusBadGateway, Code: CodeTargetFailed, Outcome: OutcomeUnknown, Message: "targets failed while running the request", Err: err}
	a := describe(err)
	a.Tokens = c.next
	a.Number = c.failures
	a.EarlierMayHaveRun = c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || a.MayHaveRun()
	a.Resumable = true
	a.Remaining = time.Until(c.request.final())
	action := c.entry.RetryPolicy.Decide(service.Name, a)
	switch action.Kind {
	case retry.RetryElsewhere, retry.RetryAfter, retry.Resume:
	default:
		if action.Kind == retry.GiveUpNotRun {
			failure.Outcome = OutcomeNotRun
		}
		return false, failure
	}
	if name := grant.Target.Name; !slices.Contains(c.exclude, name) {
		c.exclude = append(c.exclude, name)
	}
	if c.next == 0 {
		c.version = c.entry.VersionPicker.Pick(service)
	}
	c.entry.Pause(ctx, action.Delay)
	lost := c.losses.note(err)
	c.entry.awaitVerdict(ctx, c.losses)
	suspect, quarantined := c.entry.checkQuarantine(ctx, c.request.Fingerprint)
	c.suspect = suspect || lost
	if quarantined {
		failure.Code = CodeQuarantined
		return false, failure
	}
	return true, nil
}

func (c *chat) observe(grant *Grant, report *Report, err error) {
	r := c.request
	o := observation(grant, report, r.Caller)
	o.Service = r.Service.Name
	o.Route = r.Route
	o.Version = c.version
	o.Failed = err != nil && !o.Stopped
	if c.attempts == 0 {
		o.QueueWait = grant.At.Sub(r.Arrived)
	}
	c.entry.Observer.ObserveAttempt(o)
}
