package frontend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

const (
	testToken = "token"
	chatPath  = "/v1/chat/completions"
	testBody  = `{"model":"assistant","messages":[{"role":"user","content":"hello"}],"stream":true}`
)

// stub implements Runner and the other dependencies of a Server.
type stub struct {
	chat  func(ctx context.Context, r *entry.ChatRequest, sink entry.Sink) error
	wait  time.Duration
	plain func(r *entry.PlainRequest) (*PlainAnswer, error)
}

func (s *stub) Chat(ctx context.Context, r *entry.ChatRequest, sink entry.Sink) error {
	if s.chat == nil {
		return nil
	}
	return s.chat(ctx, r, sink)
}

func (s *stub) Plain(_ context.Context, r *entry.PlainRequest) (*PlainAnswer, error) {
	return s.plain(r)
}
func (s *stub) Allow(string, int) time.Duration                      { return s.wait }
func (s *stub) OutputTokens(_, _ string, maxTokens int) int          { return maxTokens }
func (s *stub) ObserveOutput(_, _ string, _, _ int)                  {}
func (s *stub) RecordTokenGap(string, string, string, time.Duration) {}

func (s *stub) RecordRequest(Measurement) {}

func newServer(s *stub) *Server {
	index := object.NewIndex(1, &object.Set{
		Services: []object.Service{
			{Name: "assistant", Kind: object.ModelService, Version: "v1"},
			{Name: "depot", Kind: object.PlainService, Version: "d1", Routes: []object.Route{{Name: "put", Method: http.MethodPut, Path: "/bales/"}}},
		},
		Versions:       []object.Version{{Name: "v1", Service: "assistant"}, {Name: "d1", Service: "depot"}},
		Tiers:          []object.Tier{{Name: "top", FirstToken: time.Second, Deadline: time.Minute}},
		ClientAccounts: []object.ClientAccount{{Name: "desk", Tier: "top", Services: []string{"assistant"}}, {Name: "clerk", Tier: "top"}},
	})
	return New(Config{
		Limits: settings.Limits{BodyBytes: 4 << 10, OpenRequests: 1},
		Runner: s, Limiter: s, OutputPredictor: s, Recorder: s, Logger: eventlog.Discard(),
		Index:   func() *object.Index { return index },
		Callers: map[[sha256.Size]byte]string{sha256.Sum256([]byte(testToken)): "desk", sha256.Sum256([]byte("clerk")): "clerk"},
		Ready:   func() bool { return true },
	})
}

func send(s *Server, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(w, r)
	return w
}

// checkRefusal checks the status, headers and body of a refusal.
func checkRefusal(t *testing.T, name string, w *httptest.ResponseRecorder, status int, code entry.Code, outcome entry.Outcome) {
	t.Helper()
	var body ErrorBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body), name)
	assert.Equal(t, w.Code, status, name)
	assert.Equal(t, w.Header().Get(OutcomeHeader), string(outcome), name)
	assert.Equal(t, body.Error.Code, code, name)
	assert.Equal(t, body.Error.Outcome, outcome, name)
	assert.Equal(t, body.Error.RequestID, w.Header().Get(RequestIDHeader), name)
	assert.Assert(t, body.Error.Message != "", name)
}

// Guards against a refusal without its code, outcome, request id or Retry-After hint, and
// against requests beyond a limit that are accepted.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		stub                     stub
		status                   int
		code                     entry.Code
		outcome                  entry.Outcome
		retryAfter               string
	}{
		{name: "no token", path: chatPath, body: testBody, header: http.Header{"Authorization": nil}, status: 401, code: entry.CodeUnauthorized},
		{name: "unknown token", path: chatPath, body: testBody, header: http.Header{"Authorization": {"Bearer x"}}, status: 401, code: entry.CodeUnauthorized},
		{name: "no route", path: "/nowhere", status: 404, code: entry.CodeNotFound},
		{name: "not permitted", method: http.MethodPut, path: "/bales/1", status: 403, code: entry.CodeForbidden},
		{name: "body too large", path: chatPath, body: strings.Repeat("x", 4<<10+1), status: 413, code: entry.CodeTooLarge},
		{name: "no JSON", path: chatPath, body: "{", status: 400, code: entry.CodeBadRequest},
		{name: "no messages", path: chatPath, body: `{"model":"assistant"}`, status: 400, code: entry.CodeBadRequest},
		{name: "unknown model", path: chatPath, body: `{"model":"x","messages":[{}]}`, status: 404, code: entry.CodeNotFound},
		{name: "max_tokens", path: chatPath, body: `{"model":"assistant","messages":[{}],"max_tokens":-1}`, status: 400, code: entry.CodeBadRequest},
		{name: "over the limit", path: chatPath, body: testBody, stub: stub{wait: 1500 * time.Millisecond}, status: 429, code: entry.CodeRateLimited, retryAfter: "2"},
		{name: "of the entry", path: chatPath, body: testBody, stub: stub{chat: func(context.Context, *entry.ChatRequest, entry.Sink) error {
			return &entry.Refusal{Status: 502, Code: entry.CodeTargetFailed, Outcome: entry.OutcomeUnknown, Message: "m"}
		}}, status: 502, code: entry.CodeTargetFailed, outcome: entry.OutcomeUnknown},
		{name: "internal error", path: chatPath, body: testBody, stub: stub{chat: func(context.Context, *entry.ChatRequest, entry.Sink) error {
			return io.ErrUnexpectedEOF
		}}, status: 500, code: entry.CodeInternal, outcome: entry.OutcomeUnknown},
	}
	for _, c := range cases {
		if c.method == "" {
			c.method = http.MethodPost
		}
		if c.outcome == "" {
			c.outcome = entry.OutcomeNotRun
		}
		w := send(newServer(&c.stub), c.method, c.path, c.body, c.header)
		checkRefusal(t, c.name, w, c.status, c.code, c.outcome)
		assert.Equal(t, w.Header().Get("Retry-After"), c.retryAfter, c.name)
	}
}

// Guards against more open requests than the daemon has memory for, and against a count of
// open requests that does not fall when they end.
func TestTooManyOpenRequests(t *testing.T) {
	s := &stub{}
	server := newServer(s)
	s.chat = func(context.Context, *entry.ChatRequest, entry.Sink) error {
		w := send(server, http.MethodPost, chatPath, testBody, nil)
		checkRefusal(t, "second", w, 503, entry.CodeOverloaded, entry.OutcomeNotRun)
		return nil
	}
	for range 2 {
		assert.Equal(t, send(server, http.MethodPost, chatPath, testBody, nil).Code, http.StatusOK)
		assert.Equal(t, server.InFlight(), int64(0))
	}
}

// Guards against a failed stream that looks complete to its caller.
func TestFailedStreamEndsWithAnErrorEvent(t *testing.T) {
	for _, failure := range []error{nil, &entry.Refusal{Status: 502, Code: entry.CodeTargetFailed, Outcome: entry.OutcomeUnknown, Message: "m"}} {
		s := &stub{chat: func(_ context.Context, _ *entry.ChatRequest, sink entry.Sink) error {
			assert.NilError(t, sink.Frame(&engine.Frame{Choices: []byte(`[{"delta":{"content":"a"}}]`)}))
			return failure
		}}
		w := send(newServer(s), http.MethodPost, chatPath, testBody, nil)
		assert.Equal(t, w.Code, http.StatusOK)
		events := strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
		assert.Equal(t, len(events), 2)
		if failure == nil {
			assert.Equal(t, events[1], "data: [DONE]")
			continue
		}
		var body ErrorBody
		assert.NilError(t, json.Unmarshal([]byte(strings.TrimPrefix(events[1], "data: ")), &body))
		assert.Equal(t, body.Error.Code, entry.CodeTargetFailed)
		assert.Equal(t, body.Error.Outcome, entry.OutcomeUnknown)
		assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	}
}

// Guards against request ids that break logs or headers, and against a caller's
// id that is lost or overwritten by the target's.
func TestRequestIDs(t *testing.T) {
	long := strings.Repeat("x", maxRequestID)
	for id, accepted := range map[string]bool{"abc-1": true, long: true, long + "x": false, "": false, "a b": false, "a\x7f": false, "é": false} {
		s := &stub{plain: func(r *entry.PlainRequest) (*PlainAnswer, error) {
			assert.Equal(t, r.ID == id, accepted, "%q", id)
			return &PlainAnswer{Status: 200, Header: http.Header{RequestIDHeader: {"target"}, "X-Answer": {"1"}}}, nil
		}}
		header := http.Header{RequestIDHeader: {id}, "Authorization": {"Bearer clerk"}}
		w := send(newServer(s), http.MethodPut, "/bales/1", "", header)
		got := w.Header().Get(RequestIDHeader)
		assert.Assert(t, got != "" && got != "target" && (got == id) == accepted, "%q became %q", id, got)
		assert.Equal(t, w.Header().Get("X-Answer"), "1")
	}
}

// Guards against chat bodies that crash the daemon, that are refused without a reason, or
// that reach an engine with values out of range.
func FuzzChatBody(f *testing.F) {
	for _, seed := range []string{
		testBody, ``, `null`, `[]`, `{`, `{"model":1}`, `{"messages":null}`, `{"model":"assistant","messages":[null]}`,
		`{"model":"assistant","messages":[{"content":[{"type":"text","text":"x"}]}],"max_tokens":131072}`,
		`{"model":"assistant","messages":[{}],"max_completion_tokens":9223372036854775807}`,
		`{"model":"assistant","messages":[{}],"max_tokens":1e99}`, "{\"model\":\"\\ud800\"}", "\xff",
		`{"MODEL":"assistant","messages":[{"role":"user","content":"a"}],"Messages":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ran := false
		s := &stub{chat: func(_ context.Context, r *entry.ChatRequest, _ entry.Sink) error {
			ran = true
			assert.Assert(t, r.PromptTokens >= 1 && r.OutputTokens >= 1 && r.OutputTokens <= maxMaxTokens)
			assert.Assert(t, r.Body != nil && r.Service.Name == "assistant" && r.Deadline.After(r.Arrived))
			return nil
		}}
		w := send(newServer(s), http.MethodPost, chatPath, string(body), nil)
		if ran {
			assert.Equal(t, w.Code, http.StatusOK)
			return
		}
		assert.Assert(t, w.Code >= 400 && w.Code < 500, "%d", w.Code)
		assert.Equal(t, w.Header().Get(OutcomeHeader), string(entry.OutcomeNotRun))
		assert.Assert(t, bytes.Contains(w.Body.Bytes(), []byte(`"request_id"`)))
	})
}
