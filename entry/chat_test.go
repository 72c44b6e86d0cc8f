package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/retry"
)

// answerTokens is the length in tokens of every answer of faultyEngine.
const answerTokens = 8

// stallTimeout is the progress timeout in these tests, in real time.
const stallTimeout = 40 * time.Millisecond

// faultyEngine streams answers with random faults, and preempts some grants during an answer.
type faultyEngine struct {
	random        *lockedRand
	grants        *preemptibleGrants
	client        *engine.Client
	server        *httptest.Server
	closedAddress string
	mu            sync.Mutex
	ran           map[string]int
}

func newFaultyEngine(t *testing.T, random *lockedRand, grants *preemptibleGrants) *faultyEngine {
	f := &faultyEngine{random: random, grants: grants, client: engine.NewClient(), ran: map[string]int{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.closedAddress = l.Addr().String()
	assert.NilError(t, l.Close())
	return f
}

// Stream implements Engines with the shipped client and shorter timeouts.
func (f *faultyEngine) Stream(ctx context.Context, call *engine.Call) (*engine.Stream, error) {
	call.Address = f.server.Listener.Addr().String()
	if f.random.intN(6) == 0 {
		call.Address = f.closedAddress
	}
	call.FirstFrameTimeout, call.FrameGapTimeout = stallTimeout, stallTimeout
	return f.client.Stream(ctx, call)
}

// requestOf returns the caller's request id, which is the first part of an attempt id.
func requestOf(id string) string {
	request, _, _ := strings.Cut(id, ".")
	return request
}

// noHedges is a HedgePolicy that never hedges.
type noHedges struct{}

func (noHedges) Observe(string, time.Duration)              {}
func (noHedges) Delay(string) (time.Duration, bool)         { return 0, false }
func (noHedges) TryHedge(string, retry.HedgeCandidate) bool { return false }

func eventText(id string, index int, content, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", id, index, content, finish)
}

func (f *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From int `json:"resume_from"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	id := r.Header.Get(engine.RequestIDHeader)
	fault, faultIndex := f.random.intN(11), f.random.intN(answerTokens+1)
	switch fault {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 1:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.ran[requestOf(id)]++
	f.mu.Unlock()
	if fault == 2 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fault == 3 {
		panic(http.ErrAbortHandler)
	}
	flush := func() { _ = http.NewResponseController(w).Flush() }
	for i := body.From; i < answerTokens; i++ {
		if i == faultIndex {
			switch fault {
			case 4: // cut
				panic(http.ErrAbortHandler)
			case 5: // ends without a finish reason
				return
			case 6: // stalls
				flush()
				<-r.Context().Done()
				return
			case 7: // a token is missing
				continue
			case 8: // preempted
				flush()
				f.grants.preempt(requestOf(id))
				<-r.Context().Done()
				return
			}
		}
		if fault == 9 { // frames of another request, and a token twice
			fmt.Fprint(w, eventText("other.0", i, "crossed", "null"))
			if i > body.From {
				fmt.Fprint(w, eventText(id, i-1, "twice", "null"))
			}
		}
		fmt.Fprint(w, eventText(id, i, fmt.Sprint(requestOf(id), "#", i), "null"))
		flush()
	}
	fmt.Fprint(w, eventText(id, answerTokens, "", `"stop"`), "data: [DONE]\n\n")
}

// preemptibleGrants is refusingGrants with grants that preempt revokes.
type preemptibleGrants struct {
	refusingGrants
	preempted map[string]chan struct{}
}

func (g *preemptibleGrants) Reserve(ctx context.Context, request GrantRequest) (*Grant, error) {
	grant, err := g.refusingGrants.Reserve(ctx, request)
	if err == nil {
		preempted := make(chan struct{})
		grant.Preempted = preempted
		g.mu.Lock()
		g.preempted[requestOf(request.ID)] = preempted
		g.mu.Unlock()
	}
	return grant, err
}

func (g *preemptibleGrants) Requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error) {
	g.Release(grant, report)
	return g.Reserve(ctx, grant.Request)
}

func (g *preemptibleGrants) preempt(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if preempted := g.preempted[request]; preempted != nil {
		close(preempted)
		delete(g.preempted, request)
	}
}

// recordingSink is a Sink that checks the frames it receives, and fails as if the caller had
// disconnected after disconnectAfter tokens.
type recordingSink struct {
	request         string
	received        int
	last            bool
	problem         string
	disconnectAfter int
}

func (s *recordingSink) Frame(f *engine.Frame) error {
	if s.disconnectAfter > 0 && s.received >= s.disconnectAfter {
		return errors.New("caller disconnected")
	}
	choices, err := f.Parse()
	if err != nil {
		return err
	}
	if f.Last {
		s.last = true
		return nil
	}
	if want := fmt.Sprintf(`{"content":"%s#%d"}`, s.request, s.received); string(choices[0].Delta) != want {
		s.problem = fmt.Sprintf("got %s, want %s", choices[0].Delta, want)
	}
	s.received++
	return nil
}

func chatRequest(id string) *ChatRequest {
	return &ChatRequest{
		ID: id, Caller: testCaller, Service: testService, Model: func(v string) string { return v },
		PromptTokens: 10, OutputTokens: answerTokens, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
}

func noSleep(context.Context, time.Duration) {}

// runChats runs the requests of one seed and returns the violations it found.
func runChats(t *testing.T, seed uint64, retries RetryPolicy) (problems []string) {
	random := newLockedRand(seed)
	grants := &preemptibleGrants{refusingGrants: refusingGrants{random: random, open: map[string]int{}}, preempted: map[string]chan struct{}{}}
	target := newFaultyEngine(t, random, grants)
	s := stubs{}
	runner := New(Config{Grants: grants, Engines: target, VersionPicker: s, Observer: s, Quarantine: s, RetryPolicy: retries, HedgePolicy: noHedges{}, Sleep: noSleep})
	notRun := map[string]bool{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range 8 {
		sink := &recordingSink{request: fmt.Sprint("r", i), disconnectAfter: max(0, random.intN(30)-30+answerTokens)}
		calls.Go(func() {
			err := runner.Chat(t.Context(), chatRequest(sink.request), sink)
			mu.Lock()
			defer mu.Unlock()
			var refusal *Refusal
			switch {
			case sink.problem != "":
				problems = append(problems, sink.problem)
			case err == nil && (sink.received != answerTokens || !sink.last):
				problems = append(problems, fmt.Sprintf("%s: success after %d tokens", sink.request, sink.received))
			case err != nil && !errors.As(err, &refusal):
				problems = append(problems, fmt.Sprintf("%s: error is no *Refusal: %v", sink.request, err))
			}
			notRun[sink.request] = refusal != nil && refusal.Outcome == OutcomeNotRun
		})
	}
	calls.Wait()
	target.server.Close()
	for id, reportedNotRun := range notRun {
		if reportedNotRun && target.ran[id] > 0 {
			problems = append(problems, fmt.Sprintf("%s ran, but its refusal says not run", id))
		}
	}
	return append(problems, grants.check()...)
}

// Guards against a stream with a token that is lost, repeated or from another request,
// against an incomplete stream that looks complete, and against a false "not run".
func TestChatsUnderFaults(t *testing.T) {
	for seed := range seedCount(40) {
		policy := retry.NewPolicy()
		policy.MaxAttempts = 2 + int(seed%4)
		if problems := runChats(t, seed, policyRetries{policy}); len(problems) > 0 {
			t.Errorf("seed %d: %v", seed, problems)
		}
	}
}

// Shows that the checks of runChats can fail: they must detect a policy that retries blindly.
func TestChatChecksFindBlindRetries(t *testing.T) {
	found := 0
	for seed := range uint64(5) {
		found += len(runChats(t, seed, blindRetries{}))
	}
	assert.Assert(t, found > 0)
}

// scriptedPorts implements the dependencies of a Runner. It returns the scripted result of each
// attempt, and records the attempts and the waits for a quarantine decision in steps.
type scriptedPorts struct {
	stubs
	steps     []string
	decision  quarantine.State
	attempts  []error
	preempt   map[int]bool
	preempted chan struct{}
}

func (s *scriptedPorts) StateOf(uint64) quarantine.State {
	for _, step := range s.steps {
		if step == "pause "+quarantineDecisionTime.String() {
			return s.decision
		}
	}
	return quarantine.Clear
}

func (s *scriptedPorts) Sleep(_ context.Context, d time.Duration) {
	if d >= quarantineDecisionTime {
		s.steps = append(s.steps, "pause "+d.String())
	}
}

func (s *scriptedPorts) playAttempt(ctx context.Context) error {
	n := 0
	for _, step := range s.steps {
		if step == "send" {
			n++
		}
	}
	s.steps = append(s.steps, "send")
	if s.preempt[n] {
		close(s.preempted)
		<-ctx.Done()
		return &attempt.Error{Kind: attempt.Canceled, Err: ctx.Err()}
	}
	return s.attempts[min(n, len(s.attempts)-1)]
}

func (s *scriptedPorts) Stream(ctx context.Context, _ *engine.Call) (*engine.Stream, error) {
	return nil, s.playAttempt(ctx)
}

func (s *scriptedPorts) Do(ctx context.Context, _ *plainservice.Call) (*plainservice.Answer, error) {
	return nil, s.playAttempt(ctx)
}

func (s *scriptedPorts) Reserve(_ context.Context, request GrantRequest) (*Grant, error) {
	s.preempted = make(chan struct{})
	return &Grant{Request: request, Target: object.Target{Name: "t"}, Preempted: s.preempted}, nil
}

func (s *scriptedPorts) Release(*Grant, Report)    {}
func (s *scriptedPorts) ReportUnresponsive(*Grant) {}

func (s *scriptedPorts) Requeue(ctx context.Context, g *Grant, _ Report) (*Grant, error) {
	return s.Reserve(ctx, g.Request)
}

func (s *scriptedPorts) newRunner() *Runner {
	return New(Config{Grants: s, Engines: s, PlainServices: s, VersionPicker: s, Observer: s, Quarantine: s, Sleep: s.Sleep, RetryPolicy: policyRetries{retry.NewPolicy()}, HedgePolicy: noHedges{}})
}

func failedAttempt(kind attempt.Kind) error {
	return &attempt.Error{Kind: kind, Target: "t", Err: errors.New("injected")}
}

// Guards against a request that crashes a third target while the quarantine decision about
// the first two is pending.
func TestRetryAfterTwoLostTargetsWaitsForQuarantineDecision(t *testing.T) {
	for _, plain := range []bool{false, true} {
		for _, kind := range []attempt.Kind{attempt.MaybeSent, attempt.Cut} {
			s := &scriptedPorts{decision: quarantine.Quarantined, attempts: []error{failedAttempt(kind)}}
			var err error
			if plain {
				_, err = s.newRunner().Plain(t.Context(), &PlainRequest{ID: "r", Caller: testCaller, Service: testService, Route: &object.Route{Idempotent: true}, Deadline: time.Now().Add(time.Minute)})
			} else {
				err = s.newRunner().Chat(t.Context(), chatRequest("r"), &recordingSink{})
			}
			assert.DeepEqual(t, s.steps, []string{"send", "send", "pause " + quarantineDecisionTime.String()})
			assert.Equal(t, AsRefusal(err).Code, CodeQuarantined)
			assert.Equal(t, AsRefusal(err).Outcome, OutcomeUnknown)
		}
	}
}

// Guards against "not run" for a chat after an earlier attempt that was preempted, or that
// failed and may have run.
func TestOutcomeIsUnknownAfterAnAttemptThatMayHaveRun(t *testing.T) {
	cases := []struct {
		name     string
		preempt  map[int]bool
		attempts []error
		outcome  Outcome
	}{
		{"never sent", nil, []error{failedAttempt(attempt.NotSent)}, OutcomeNotRun},
		{"rejected at once", nil, []error{failedAttempt(attempt.Rejected)}, OutcomeNotRun},
		{"preempted, then never sent", map[int]bool{0: true}, []error{failedAttempt(attempt.NotSent)}, OutcomeUnknown},
		{"preempted, then rejected", map[int]bool{0: true}, []error{failedAttempt(attempt.Rejected)}, OutcomeUnknown},
		{"failed, then rejected", nil, []error{failedAttempt(attempt.Failed), failedAttempt(attempt.Rejected)}, OutcomeUnknown},
		{"refused, then rejected", nil, []error{failedAttempt(attempt.Refused), failedAttempt(attempt.Rejected)}, OutcomeNotRun},
	}
	for _, c := range cases {
		s := &scriptedPorts{attempts: c.attempts, preempt: c.preempt}
		runner := s.newRunner()
		runner.RetryPolicy.(policyRetries).policy.MaxAttempts = 2
		if c.name == "preempted, then never sent" {
			runner.RetryPolicy.(policyRetries).policy.MaxAttempts = 1
		}
		err := runner.Chat(t.Context(), chatRequest("r"), &recordingSink{})
		assert.Equal(t, AsRefusal(err).Outcome, c.outcome, c.name)
	}
}
