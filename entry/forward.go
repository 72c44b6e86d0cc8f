package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/eventstream"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/retry"
)

const (
	// minFirstWait and firstWaitPerToken bound the wait for the first byte of a
	// repeatable stream. The slowest engines prefill about 20 tokens a millisecond,
	// behind up to a second of work of others.
	minFirstWait = time.Second
	// doubtShare is the part of such a wait after which a target is checked.
	doubtShare        = 0.5
	firstWaitPerToken = 50 * time.Microsecond
	// eventGapWait bounds the pause between events of a resumable stream. Prefill of
	// others pauses a stream for up to half a second, callers leave after two.
	eventGapWait = 1500 * time.Millisecond
	// safeCallWait bounds one attempt of a safe call that may run elsewhere. It is
	// above the longest usual call of plain services.
	safeCallWait = 800 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
)

// heldAnswer is a whole answer of a target that has not gone to the caller.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward is the state of one opaque request between attempts.
type forward struct {
	entry   *Entry
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
	// held is the last whole failure of a target.
	held *heldAnswer
	gone error
	// lastPassed is when the last event went to the caller.
	lastPassed time.Time
	trace      Trace
}

// Forward runs an opaque request to its end. It returns nil when a whole answer of
// a target went to the sink, and a *Refusal otherwise; the sink may have been
// started before.
func (e *Entry) Forward(ctx context.Context, r *ForwardRequest, sink ForwardSink) (Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	suspect, quarantined := e.checkQuarantine(ctx, r.Fingerprint)
	if quarantined {
		return Trace{}, quarantinedRefusal()
	}
	e.Retries.Request(r.Service.Name)
	f := &forward{
		entry:     e,
		request:   r,
		sink:      sink,
		run:       e.newRun(),
		suspect:   suspect,
		lastEvent: r.ResumeAfter,
		version:   e.Versions.Pick(r.Service),
	}
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

func (f *forward) need() Need {
	r := f.request
	return Need{
		ID:           attemptID(f.run, f.tries),
		Service:      r.Service.Name,
		Version:      f.version,
		Account:      r.account(),
		Tier:         r.Rank,
		PromptTokens: r.PromptTokens,
		OutputTokens: max(1, r.OutputTokens),
		Deadline:     r.Deadline,
		Final:        r.Deadline,
		FirstTokenBy: f.firstEventBy(),
		ObjectiveBy:  f.objectiveBy(),
		MaxGap:       r.Ingress.MaxGap,
		EventTokens:  r.Service.EventTokens,
		Late:         f.returned(),
		Since:        r.Arrived,
		Spread:       true,
		Accepted:     f.started,
		Suspect:      f.suspect,
		Fingerprint:  r.Fingerprint,
		Prefix:       r.Prefix,
		Plain:        r.PromptTokens == 0,
		Exclude:      f.exclude,
	}
}

const (
	// leaveMargin is the time before a caller leaves in which its refusal is sent.
	leaveMargin = 150 * time.Millisecond
	// queueShare is the part of its time that a request may wait in the queue; the
	// rest is for its answer, or for its caller to try elsewhere.
	queueShare = 0.5
	// returnedWait bounds the wait of a caller that was sent away before. Those still
	// in time go first, so that a longer wait in an overload is in vain.
	returnedWait = 700 * time.Millisecond
	// returnMargin is what a first attempt may lose on its way to the daemon.
	returnMargin = 100 * time.Millisecond
)

// Callers leave a stream that has brought nothing for the longest of these times.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// firstEventBy is the time by which a stream has to begin: shortly before its caller
// leaves, and while enough time is left for the answer. Zero is no bound.
func (f *forward) firstEventBy() time.Time {
	r := f.request
	if !r.Ingress.Stream || f.started {
		return time.Time{}
	}
	patience := max(minPatience, objectivePatience*r.Ingress.Objective, gapPatience*r.Ingress.MaxGap)
	half := time.Duration(queueShare * float64(r.Deadline.Sub(r.Arrived)))
	if f.returned() {
		half = min(half, returnedWait)
	}
	return earliest(r.Arrived.Add(half), r.Arrived.Add(patience-leaveMargin))
}

// objectiveBy is the time after which the answer is late; zero is no bound, for a
// caller whose objective has passed already.
func (f *forward) objectiveBy() time.Time {
	r := f.request
	if r.Ingress.Objective == 0 || f.returned() {
		return time.Time{}
	}
	return r.Arrived.Add(r.Ingress.Objective)
}

// returned says whether the caller was sent away before: its time is shorter than
// that of the ingress, and its objective has passed.
func (f *forward) returned() bool {
	r := f.request
	return r.Deadline.Sub(r.Arrived) < r.Ingress.Timeout-returnMargin
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dispatch sends one attempt and passes its answer on.
func (f *forward) dispatch(ctx context.Context, grant *Grant, report *Report, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	doubt := time.AfterFunc(f.doubtAfter(), func() { f.entry.Grants.Doubt(grant) })
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

// firstByteBy is the time until which the head of an answer is waited for. A
// request that must not run again has no more to gain elsewhere and waits to its
// end.
func (f *forward) firstByteBy(started time.Time) time.Time {
	r := f.request
	switch {
	case !r.repeatable() || len(f.ran)+1 >= r.Ingress.Attempts:
		return r.Deadline
	case r.Ingress.Stream:
		wait := minFirstWait + time.Duration(r.PromptTokens)*firstWaitPerToken
		return earliest(r.Deadline, started.Add(wait))
	}
	return earliest(r.Deadline, started.Add(safeCallWait))
}

// doubtAfter is the time without a first byte after which a target is checked.
func (f *forward) doubtAfter() time.Duration {
	wait := minFirstWait + time.Duration(f.request.PromptTokens)*firstWaitPerToken
	return time.Duration(doubtShare * float64(wait))
}

// fail is the error of an attempt on a target that may have run the request.
func fail(kind attempt.Kind, target string, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: target, Status: status, Err: err}
}

// whole reads an answer to its end before it goes to the caller, so that a cut one
// can be repeated or replaced by an error.
func (f *forward) whole(ctx context.Context, reply *Reply, target string, started time.Time) error {
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	body, err := readWhole(reply)
	if err != nil {
		return fail(readFailure(ctx, err), target, reply.Status, err)
	}
	f.held = &heldAnswer{status: reply.Status, header: reply.Header, body: body}
	switch {
	case reply.NotRun:
		return fail(attempt.Refused, target, reply.Status, errTargetRefused)
	case promisesNotRun(reply.Status):
		f.held = nil
		return fail(attempt.Failed, target, reply.Status, errTargetFailed)
	case reply.Status >= http.StatusInternalServerError:
		return fail(attempt.Failed, target, reply.Status, errTargetFailed)
	}
	f.entry.Suspects.Finished(f.request.Fingerprint)
	return f.deliver()
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

var (
	errTargetRefused = errors.New("the target did not run the request")
	errTargetFailed  = errors.New("the target answered with a failure")
	errEventGap      = errors.New("events of the stream are missing")
)

func readWhole(reply *Reply) ([]byte, error) {
	var b bytes.Buffer
	if reply.Length > 0 && reply.Length < maxAnswerBytes {
		b.Grow(int(reply.Length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err == nil && n > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return b.Bytes(), err
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

// stream passes whole events on as they arrive.
func (f *forward) stream(reply *Reply, target string, report *Report, started time.Time, doubt *time.Timer) error {
	events := eventstream.NewReader(reply.Body)
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	for {
		event, err := events.Next()
		if err == io.EOF {
			f.entry.Suspects.Finished(f.request.Fingerprint)
			return f.endStream(reply)
		}
		if err != nil {
			return fail(readFailure(context.Background(), err), target, reply.Status, err)
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
			doubt.Stop()
		}
		if err := f.passEvent(reply, target, event); err != nil {
			return err
		}
		reply.Body.SetReadDeadline(f.nextEventBy())
	}
}

// endStream ends an answer. A stream without any event is passed on as it is.
func (f *forward) endStream(reply *Reply) error {
	if f.started {
		return nil
	}
	if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
		return f.left(err)
	}
	f.started = true
	return nil
}

// passEvent passes one event on. A resumed run must go on right behind the last
// event that the caller has.
func (f *forward) passEvent(reply *Reply, target string, event eventstream.Event) error {
	if event.HasID && f.lastEvent != NoEvent {
		if event.ID <= f.lastEvent {
			return nil
		}
		if event.ID > f.lastEvent+1 {
			return fail(attempt.Cut, target, reply.Status, errEventGap)
		}
	}
	if !f.started {
		if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
			return f.left(err)
		}
		f.started = true
	}
	if err := f.sink.Write(event.Raw); err != nil {
		return f.left(err)
	}
	f.notePassed()
	if event.HasID {
		f.lastEvent = event.ID
	}
	return nil
}

// notePassed records that an event went to the caller.
func (f *forward) notePassed() {
	now := time.Now()
	if f.events > 0 {
		f.trace.MaxGap = max(f.trace.MaxGap, now.Sub(f.lastPassed))
	}
	f.lastPassed = now
	f.events++
}

// nextEventBy bounds the pause after an event. A stream that cannot go on
// elsewhere is followed to its deadline: silence is no reason to end it sooner.
func (f *forward) nextEventBy() time.Time {
	r := f.request
	if r.Ingress.Repeat != object.RepeatResume || len(f.ran)+1 >= r.Ingress.Attempts {
		return r.Deadline
	}
	return earliest(r.Deadline, time.Now().Add(eventGapWait))
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
	action := f.entry.Retries.Decide(f.request.Service.Name, a)
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
	f.version = f.entry.Versions.Pick(f.request.Service)
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
		return Unknown
	}
	return NotRun
}

// afterReserve turns a refused reservation into the caller's refusal. After a
// failure that a target made, that failure is the better answer.
func (f *forward) afterReserve(err error) error {
	if f.held != nil && f.mayHaveRun && !f.started {
		return f.deliver()
	}
	refusal := AsRefusal(err)
	refusal.Outcome = f.outcome()
	return refusal
}

func (f *forward) observe(grant *Grant, report *Report, err error) {
	r := f.request
	o := Observation{
		Request:      r.ID,
		Err:          err,
		Service:      r.Service.Name,
		Route:        r.Ingress.Name,
		Version:      f.version,
		Target:       grant.Target.Name,
		Hardware:     grant.Target.Hardware,
		Slots:        grant.Target.Slots,
		InFlight:     grant.InFlight,
		Tier:         r.Caller.Tier.Name,
		Account:      r.account(),
		Stopped:      report.Result == ResultCanceled,
		First:        report.FirstToken,
		Duration:     report.Duration,
		PromptTokens: report.PromptTokens,
		OutputTokens: report.OutputTokens,
		Plain:        r.PromptTokens == 0,
	}
	o.Failed = err != nil && !o.Stopped
	if f.tries == 1 {
		o.QueueWait = grant.At.Sub(r.Arrived)
	}
	f.entry.Observer.Attempt(o)
}
