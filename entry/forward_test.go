package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/retry"
)

// turn is what a target does with one attempt.
type turn struct {
	status int
	notRun bool
	body   string
	// err ends the body after its text; nil is its orderly end.
	err error
	// fails is returned instead of an answer.
	fails attempt.Kind
	// hangs keeps the attempt until its context ends.
	hangs bool
}

// scriptedForwarder plays turns in order and records the attempts.
type scriptedForwarder struct {
	mu       sync.Mutex
	turns    []turn
	attempts []Dispatch
	closed   int
}

func (f *scriptedForwarder) Dispatch(ctx context.Context, d *Dispatch, _ time.Time) (*Reply, error) {
	f.mu.Lock()
	t := f.turns[len(f.attempts)]
	f.attempts = append(f.attempts, *d)
	f.mu.Unlock()
	if t.hangs {
		<-ctx.Done()
		return nil, &attempt.Error{Kind: attempt.Canceled, Target: d.Target.Name, Err: ctx.Err()}
	}
	if t.fails != 0 {
		return nil, &attempt.Error{Kind: t.fails, Target: d.Target.Name, Err: errors.New("scripted")}
	}
	end := t.err
	if end == nil {
		end = io.EOF
	}
	return &Reply{
		Status: t.status, Header: http.Header{"X-From": {d.Target.Name}}, Length: -1, NotRun: t.notRun,
		Body: &scriptedBody{f: f, Reader: io.MultiReader(strings.NewReader(t.body), errReader{end})},
	}, nil
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

type scriptedBody struct {
	io.Reader
	f *scriptedForwarder
}

func (*scriptedBody) SetReadDeadline(time.Time) {}
func (b *scriptedBody) Close() {
	b.f.mu.Lock()
	defer b.f.mu.Unlock()
	b.f.closed++
}

// rotatingGrants grants the targets in turn and none that is excluded.
type rotatingGrants struct {
	mu      sync.Mutex
	open    int
	refuse  bool
	results []Result
}

var errNoGrant = Refuse(http.StatusServiceUnavailable, CodeOverloaded, "no room")

func (g *rotatingGrants) Reserve(_ context.Context, need GrantRequest) (*Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse {
		return nil, errNoGrant
	}
	for _, name := range []string{"t1", "t2", "t3"} {
		if !slices.Contains(need.Exclude, name) {
			g.open++
			return &Grant{Request: need, Target: object.Target{Name: name}, At: time.Now()}, nil
		}
	}
	return nil, errNoGrant
}

func (g *rotatingGrants) Release(_ *Grant, report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, report.Result)
	g.open--
}
func (*rotatingGrants) ReportUnresponsive(*Grant) {}
func (g *rotatingGrants) Requeue(ctx context.Context, grant *Grant, _ Report) (*Grant, error) {
	return g.Reserve(ctx, grant.Request)
}

type noSuspects struct{ state quarantine.State }

func (s noSuspects) Check(uint64) quarantine.State { return s.state }
func (noSuspects) RequestFinished(uint64)          {}

type freeRetries struct{}

func (freeRetries) CountRequest(string) {}
func (freeRetries) Decide(_ string, a retry.Attempt) retry.Action {
	return retry.Decide(a)
}

type oneVersion struct{}

func (oneVersion) Pick(*object.Service) string { return "v" }

type noObserver struct{}

func (noObserver) ObserveAttempt(Observation) {}

// recordedSink keeps what a caller receives.
type recordedSink struct {
	status int
	from   string
	body   strings.Builder
	starts int
}

func (s *recordedSink) Start(status int, header http.Header, _ int64) error {
	s.status, s.from = status, header.Get("X-From")
	s.starts++
	return nil
}

func (s *recordedSink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

type forwardCase struct {
	forwarder *scriptedForwarder
	grants    *rotatingGrants
	entry     *Runner
	sink      *recordedSink
	// attempts are those that the ingress permits.
	attempts int
}

func newForward(turns ...turn) *forwardCase {
	c := &forwardCase{forwarder: &scriptedForwarder{turns: turns}, grants: &rotatingGrants{}, sink: &recordedSink{}, attempts: 2}
	c.entry = New(Config{
		Grants: c.grants, VersionPicker: oneVersion{}, Observer: noObserver{}, Quarantine: noSuspects{}, RetryPolicy: freeRetries{},
		Forwarder: c.forwarder, Pause: func(context.Context, time.Duration) {},
	})
	return c
}

func (c *forwardCase) run(ctx context.Context, repeat object.Repeat, stream bool) error {
	now := time.Now()
	_, err := c.entry.Forward(ctx, &ForwardRequest{
		ID: "r", Caller: Caller{Tier: &object.Tier{Name: "t"}}, Service: &object.Service{Name: "s"},
		Ingress: &object.Ingress{Name: "i", Repeat: repeat, Stream: stream, Attempts: c.attempts, Timeout: 5 * time.Second, Objective: time.Second},
		Arrived: now, Deadline: now.Add(5 * time.Second), ResumeAfter: NoEvent,
	}, c.sink)
	return err
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

var errCut = errors.New("connection reset")

// Guards against a request that must run once and is sent to a second target after
// the first may have run it, and against a promise that it has not run.
func TestOnceOnlyRequestIsNotSentAgain(t *testing.T) {
	for _, first := range []turn{
		{fails: attempt.MaybeSent},
		{fails: attempt.Stalled},
		{status: http.StatusOK, body: "half", err: errCut},
	} {
		c := newForward(first, turn{status: http.StatusOK, body: "second"})
		refusal := AsRefusal(c.run(t.Context(), object.RepeatNever, false))
		assert.Equal(t, refusal.Outcome, OutcomeUnknown)
		assert.Equal(t, len(c.forwarder.attempts), 1)
		assert.Equal(t, c.sink.starts, 0)
		assert.Equal(t, c.grants.open, 0)
	}
}

// Guards against a request that is lost although no target has run it yet.
func TestOnceOnlyRequestGoesOnAfterARefusal(t *testing.T) {
	for _, first := range []turn{{fails: attempt.NotSent}, {status: http.StatusServiceUnavailable, notRun: true}, {status: http.StatusMisdirectedRequest, notRun: true}} {
		c := newForward(first, turn{status: http.StatusOK, body: "done"})
		assert.NilError(t, c.run(t.Context(), object.RepeatNever, false))
		assert.Equal(t, c.sink.body.String(), "done")
		assert.Equal(t, c.sink.from, "t2")
		replaced := first.status == http.StatusMisdirectedRequest
		assert.Equal(t, c.grants.results[0] == ResultTargetReplaced, replaced, "the owner learns of a replaced target, and of no other failure by this word")
	}
}

// Guards against the failure of a target that is replaced by one of our own, and
// against a status that promises that nothing ran.
func TestFailureOfATargetIsPassedOn(t *testing.T) {
	c := newForward(turn{status: http.StatusInternalServerError, body: "broken"})
	assert.NilError(t, c.run(t.Context(), object.RepeatNever, false))
	assert.Equal(t, c.sink.status, http.StatusInternalServerError)
	assert.Equal(t, c.sink.body.String(), "broken")

	c = newForward(turn{status: http.StatusServiceUnavailable, body: "ran all the same"})
	refusal := AsRefusal(c.run(t.Context(), object.RepeatNever, false))
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
	assert.Equal(t, c.sink.starts, 0)
}

// Guards against the word of a target that it did not run a request which another one
// has run, and against a whole failure that is lost because a later answer was cut.
func TestFailureOutlastsLaterRefusals(t *testing.T) {
	c := newForward(turn{status: http.StatusInternalServerError, body: "broken"},
		turn{status: http.StatusServiceUnavailable, notRun: true}, turn{status: http.StatusServiceUnavailable, notRun: true})
	assert.NilError(t, c.run(t.Context(), object.RepeatSafe, false))
	assert.Equal(t, c.sink.status, http.StatusInternalServerError)
	assert.Equal(t, c.sink.body.String(), "broken")

	c = newForward(turn{status: http.StatusInternalServerError, body: "broken"},
		turn{status: http.StatusServiceUnavailable, notRun: true, body: "half", err: errCut}, turn{fails: attempt.NotSent})
	c.attempts = 3
	assert.NilError(t, c.run(t.Context(), object.RepeatSafe, false))
	assert.Equal(t, c.sink.status, http.StatusInternalServerError)
}

// Guards against a safe call that is given up after one failure, and against more
// targets than the ingress permits.
func TestSafeCallRunsElsewhereWithinItsAttempts(t *testing.T) {
	c := newForward(turn{fails: attempt.MaybeSent}, turn{status: http.StatusOK, body: "ok"})
	assert.NilError(t, c.run(t.Context(), object.RepeatSafe, false))
	assert.Equal(t, c.sink.from, "t2")

	c = newForward(turn{fails: attempt.MaybeSent}, turn{fails: attempt.MaybeSent}, turn{status: http.StatusOK})
	assert.Assert(t, c.run(t.Context(), object.RepeatSafe, false) != nil)
	assert.Equal(t, len(c.forwarder.attempts), 2)
}

// Guards against events that are missing, doubled or joined from two runs when a
// stream goes on elsewhere.
func TestBrokenStreamGoesOnBehindTheLastWholeEvent(t *testing.T) {
	c := newForward(
		turn{status: http.StatusOK, body: events(0, 3) + "id: 4\nda", err: errCut},
		turn{status: http.StatusOK, body: events(3, 9)},
	)
	assert.NilError(t, c.run(t.Context(), object.RepeatResume, true))
	assert.Equal(t, c.sink.body.String(), events(0, 9))
	assert.Equal(t, c.sink.starts, 1)
	assert.Equal(t, c.sink.from, "t1")
	assert.Equal(t, c.forwarder.attempts[1].ResumeAfter, int64(3))
	assert.Equal(t, c.forwarder.closed, 2)

	c = newForward(
		turn{status: http.StatusOK, body: events(0, 3), err: errCut},
		turn{status: http.StatusOK, body: events(6, 9)},
	)
	assert.Assert(t, c.run(t.Context(), object.RepeatResume, true) != nil)
	assert.Equal(t, c.sink.body.String(), events(0, 3))
}

// Guards against a stream that may not run twice and is started again, and against a
// broken one that passes for whole.
func TestBrokenStreamWithoutResumeEndsAsBroken(t *testing.T) {
	c := newForward(turn{status: http.StatusOK, body: events(0, 3), err: errCut}, turn{status: http.StatusOK, body: events(0, 9)})
	refusal := AsRefusal(c.run(t.Context(), object.RepeatNever, true))
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
	assert.Equal(t, len(c.forwarder.attempts), 1)
	assert.Equal(t, c.sink.body.String(), events(0, 3))
}

// Guards against a target that works on after its caller has left, and against a
// grant that is never given back.
func TestLeavingCallerEndsTheAttempt(t *testing.T) {
	c := newForward(turn{hangs: true})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	refusal := AsRefusal(c.run(ctx, object.RepeatSafe, false))
	assert.Equal(t, refusal.Code, CodeCanceled)
	assert.Equal(t, c.grants.open, 0)
	assert.Equal(t, len(c.forwarder.attempts), 1)
}

// Guards against a refusal that loses the word that nothing ran, or says so of a
// request that may have.
func TestRefusalSaysWhetherTheRequestRan(t *testing.T) {
	c := newForward()
	c.grants.refuse = true
	refusal := AsRefusal(c.run(t.Context(), object.RepeatSafe, false))
	assert.Equal(t, refusal.Outcome, OutcomeNotRun)
	assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)

	c = newForward()
	c.entry.Quarantine = noSuspects{quarantine.Quarantined}
	refusal = AsRefusal(c.run(t.Context(), object.RepeatSafe, false))
	assert.Equal(t, refusal.Code, CodeQuarantined)
	assert.Equal(t, refusal.Outcome, OutcomeNotRun)
}
