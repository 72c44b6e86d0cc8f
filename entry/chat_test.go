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

// answerTokens is the length of every answer of faultyEngine.
const answerTokens = 8

// stallLimit is the progress timeout in these tests, in real time.
const stallLimit = 40 * time.Millisecond

// faultyEngine streams answers with faults, and preempts grants while it does.
type faultyEngine struct {
	dice   *dice
	grants *preemptible
	client *engine.Client
	server *httptest.Server
	closed string
	mu     sync.Mutex
	ran    map[string]int
}

func newFaultyEngine(t *testing.T, d *dice, grants *preemptible) *faultyEngine {
	f := &faultyEngine{dice: d, grants: grants, client: engine.NewClient(), ran: map[string]int{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.closed = l.Addr().String()
	assert.NilError(t, l.Close())
	return f
}

// Stream implements Engines with the shipped client and shorter timeouts.
func (f *faultyEngine) Stream(ctx context.Context, call *engine.Call) (*engine.Stream, error) {
	call.Address = f.server.Listener.Addr().String()
	if f.dice.n(6) == 0 {
		call.Address = f.closed
	}
	call.FirstTimeout, call.GapTimeout = stallLimit, stallLimit
	return f.client.Stream(ctx, call)
}

// requestOf returns the caller's request id, the first part of an attempt's id.
func requestOf(id string) string {
	request, _, _ := strings.Cut(id, ".")
	return request
}

// noHedges never sends a call to a second target.
type noHedges struct{}

func (noHedges) Observe(string, time.Duration)      {}
func (noHedges) Delay(string) (time.Duration, bool) { return 0, false }
func (noHedges) TryHedge(string, retry.Hedge) bool  { return false }

func frame(id string, index int, content, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", id, index, content, finish)
}

func (f *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From int `json:"resume_from"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	id := r.Header.Get(engine.RequestIDHeader)
	fate, at := f.dice.n(11), f.dice.n(answerTokens+1)
	switch fate {
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
	if fate == 2 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fate == 3 {
		panic(http.ErrAbortHandler)
	}
	flush := func() { _ = http.NewResponseController(w).Flush() }
	for i := body.From; i < answerTokens; i++ {
		if i == at {
			switch fate {
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
		if fate == 9 { // frames of another request, and a token twice
			fmt.Fprint(w, frame("other.0", i, "crossed", "null"))
			if i > body.From {
				fmt.Fprint(w, frame(id, i-1, "twice", "null"))
			}
		}
		fmt.Fprint(w, frame(id, i, fmt.Sprint(requestOf(id), "#", i), "null"))
		flush()
	}
	fmt.Fprint(w, frame(id, answerTokens, "", `"stop"`), "data: [DONE]\n\n")
}

// preemptible grants everything, and takes grants back on demand.
type preemptible struct {
	openGrants
	taken map[string]chan struct{}
}

func (g *preemptible) Reserve(ctx context.Context, need GrantRequest) (*Grant, error) {
	grant, err := g.openGrants.Reserve(ctx, need)
	if err == nil {
		taken := make(chan struct{})
		grant.Preempted = taken
		g.mu.Lock()
		g.taken[requestOf(need.ID)] = taken
		g.mu.Unlock()
	}
	return grant, err
}

func (g *preemptible) Requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error) {
	g.Release(grant, report)
	return g.Reserve(ctx, grant.Request)
}

func (g *preemptible) preempt(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if taken := g.taken[request]; taken != nil {
		close(taken)
		delete(g.taken, request)
	}
}

// tokens is a sink that records what it got.
type tokens struct {
	request string
	got     int
	last    bool
	problem string
	gone    int
}

func (s *tokens) Frame(f *engine.Frame) error {
	if s.gone > 0 && s.got >= s.gone {
		return errors.New("caller has gone")
	}
	choices, err := f.Parse()
	if err != nil {
		return err
	}
	if f.Last {
		s.last = true
		return nil
	}
	if want := fmt.Sprintf(`{"content":"%s#%d"}`, s.request, s.got); string(choices[0].Delta) != want {
		s.problem = fmt.Sprintf("got %s where %s was due", choices[0].Delta, want)
	}
	s.got++
	return nil
}

func chatRequest(id string) *ChatRequest {
	return &ChatRequest{
		ID: id, Caller: testCaller, Service: testService, Model: func(v string) string { return v },
		PromptTokens: 10, OutputTokens: answerTokens, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
	}
}

func noPause(context.Context, time.Duration) {}

// chatRun runs the requests of one seed and returns what was violated.
func chatRun(t *testing.T, seed uint64, retries RetryPolicy) (problems []string) {
	d := newDice(seed)
	grants := &preemptible{openGrants: openGrants{dice: d, open: map[string]int{}}, taken: map[string]chan struct{}{}}
	target := newFaultyEngine(t, d, grants)
	s := stubs{}
	e := New(Config{Grants: grants, Engines: target, VersionPicker: s, Observer: s, Quarantine: s, RetryPolicy: retries, HedgePolicy: noHedges{}, Pause: noPause})
	notRun := map[string]bool{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range 8 {
		sink := &tokens{request: fmt.Sprint("r", i), gone: max(0, d.n(30)-30+answerTokens)}
		calls.Go(func() {
			err := e.Chat(t.Context(), chatRequest(sink.request), sink)
			mu.Lock()
			defer mu.Unlock()
			var refusal *Refusal
			switch {
			case sink.problem != "":
				problems = append(problems, sink.problem)
			case err == nil && (sink.got != answerTokens || !sink.last):
				problems = append(problems, fmt.Sprintf("%s: success after %d tokens", sink.request, sink.got))
			case err != nil && !errors.As(err, &refusal):
				problems = append(problems, fmt.Sprintf("%s: no refusal: %v", sink.request, err))
			}
			notRun[sink.request] = refusal != nil && refusal.Outcome == OutcomeNotRun
		})
	}
	calls.Wait()
	target.server.Close()
	for id, said := range notRun {
		if said && target.ran[id] > 0 {
			problems = append(problems, fmt.Sprintf("%s ran and was answered with not run", id))
		}
	}
	return append(problems, grants.check()...)
}

// Guards against a stream with a token lost, repeated or of another request,
// against a broken stream that looks whole, and against an untrue "not run".
func TestChatsUnderFaults(t *testing.T) {
	for seed := range seeds(40) {
		policy := retry.NewPolicy()
		policy.MaxAttempts = 2 + int(seed%4)
		if problems := chatRun(t, seed, policyRetries{policy}); len(problems) > 0 {
			t.Errorf("seed %d: %v", seed, problems)
		}
	}
}

// Guards against checks that cannot fail.
func TestChatChecksFindBlindRetries(t *testing.T) {
	found := 0
	for seed := range uint64(5) {
		found += len(chatRun(t, seed, blindRetries{}))
	}
	assert.Assert(t, found > 0)
}

// script plays attempts and records what the entry does between them.
type script struct {
	stubs
	steps    []string
	verdict  quarantine.State
	attempts []error
	preempt  map[int]bool
	taken    chan struct{}
}

func (s *script) Check(uint64) quarantine.State {
	for _, step := range s.steps {
		if step == "pause "+verdictTime.String() {
			return s.verdict
		}
	}
	return quarantine.Clear
}

func (s *script) Pause(_ context.Context, d time.Duration) {
	if d >= verdictTime {
		s.steps = append(s.steps, "pause "+d.String())
	}
}

func (s *script) attempt(ctx context.Context) error {
	n := 0
	for _, step := range s.steps {
		if step == "send" {
			n++
		}
	}
	s.steps = append(s.steps, "send")
	if s.preempt[n] {
		close(s.taken)
		<-ctx.Done()
		return &attempt.Error{Kind: attempt.Canceled, Err: ctx.Err()}
	}
	return s.attempts[min(n, len(s.attempts)-1)]
}

func (s *script) Stream(ctx context.Context, _ *engine.Call) (*engine.Stream, error) {
	return nil, s.attempt(ctx)
}

func (s *script) Do(ctx context.Context, _ *plainservice.Call) (*plainservice.Answer, error) {
	return nil, s.attempt(ctx)
}

func (s *script) Reserve(_ context.Context, need GrantRequest) (*Grant, error) {
	s.taken = make(chan struct{})
	return &Grant{Request: need, Target: object.Target{Name: "t"}, Preempted: s.taken}, nil
}

func (s *script) Release(*Grant, Report)    {}
func (s *script) ReportUnresponsive(*Grant) {}

func (s *script) Requeue(ctx context.Context, g *Grant, _ Report) (*Grant, error) {
	return s.Reserve(ctx, g.Request)
}

func (s *script) entry() *Runner {
	return New(Config{Grants: s, Engines: s, PlainServices: s, VersionPicker: s, Observer: s, Quarantine: s, Pause: s.Pause, RetryPolicy: policyRetries{retry.NewPolicy()}, HedgePolicy: noHedges{}})
}

func failed(kind attempt.Kind) error {
	return &attempt.Error{Kind: kind, Target: "t", Err: errors.New("injected")}
}

// Guards against a request that crashes a third target while the case of the
// first two is being judged.
func TestTwoLostTargetsWaitForTheVerdict(t *testing.T) {
	for _, plain := range []bool{false, true} {
		for _, kind := range []attempt.Kind{attempt.MaybeSent, attempt.Cut} {
			s := &script{verdict: quarantine.Quarantined, attempts: []error{failed(kind)}}
			var err error
			if plain {
				_, err = s.entry().Plain(t.Context(), &PlainRequest{ID: "r", Caller: testCaller, Service: testService, Route: &object.Route{Idempotent: true}, Deadline: time.Now().Add(time.Minute)})
			} else {
				err = s.entry().Chat(t.Context(), chatRequest("r"), &tokens{})
			}
			assert.DeepEqual(t, s.steps, []string{"send", "send", "pause " + verdictTime.String()})
			assert.Equal(t, AsRefusal(err).Code, CodeQuarantined)
			assert.Equal(t, AsRefusal(err).Outcome, OutcomeUnknown)
		}
	}
}

// Guards against "not run" for a chat of which an earlier attempt ran: one that
// was preempted, or one that failed.
func TestEarlierAttemptsCountForNotRun(t *testing.T) {
	cases := []struct {
		name     string
		preempt  map[int]bool
		attempts []error
		outcome  Outcome
	}{
		{"never sent", nil, []error{failed(attempt.NotSent)}, OutcomeNotRun},
		{"rejected at once", nil, []error{failed(attempt.Rejected)}, OutcomeNotRun},
		{"preempted, then never sent", map[int]bool{0: true}, []error{failed(attempt.NotSent)}, OutcomeUnknown},
		{"preempted, then rejected", map[int]bool{0: true}, []error{failed(attempt.Rejected)}, OutcomeUnknown},
		{"failed, then rejected", nil, []error{failed(attempt.Failed), failed(attempt.Rejected)}, OutcomeUnknown},
		{"refused, then rejected", nil, []error{failed(attempt.Refused), failed(attempt.Rejected)}, OutcomeNotRun},
	}
	for _, c := range cases {
		s := &script{attempts: c.attempts, preempt: c.preempt}
		e := s.entry()
		e.RetryPolicy.(policyRetries).policy.MaxAttempts = 2
		if c.name == "preempted, then never sent" {
			e.RetryPolicy.(policyRetries).policy.MaxAttempts = 1
		}
		err := e.Chat(t.Context(), chatRequest("r"), &tokens{})
		assert.Equal(t, AsRefusal(err).Outcome, c.outcome, c.name)
	}
}
