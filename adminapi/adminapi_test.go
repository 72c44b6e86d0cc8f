package adminapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

const token = "operator-token-0123456789"

var now = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a server over a backend in memory, with a client.
type fixture struct {
	backend *memoryBackend
	url     string
	client  *Client
	log     *bytes.Buffer
}

func newFixture(t *testing.T, servers ...string) *fixture {
	t.Helper()
	f := &fixture{backend: newMemoryBackend(), log: &bytes.Buffer{}}
	log, err := eventlog.New(f.log, "info", "json", "entry-1")
	assert.NilError(t, err)
	registry := metrics.New(metrics.Limits{})
	registry.Series(metrics.Labels{Tier: "gold", Account: "field", Service: "chat"}).Count(metrics.Done)
	server := httptest.NewServer(New(Options{
		Daemon:    "entry-1",
		Version:   "test",
		Backend:   f.backend,
		Operators: map[string]settings.Secret{"ana": settings.NewSecret(token), "bo": settings.NewSecret("another-token-0123456789")},
		Log:       log,
		Metrics:   registry,
		Now:       func() time.Time { return now },
	}).Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.client = newTestClient(t, token, append(servers, server.URL)...)
	return f
}

func newTestClient(t *testing.T, token string, servers ...string) *Client {
	t.Helper()
	client, err := NewClient(ClientOptions{Servers: servers, Token: settings.NewSecret(token)})
	assert.NilError(t, err)
	t.Cleanup(client.http.CloseIdleConnections)
	return client
}

func exampleSet(t *testing.T) *object.Set {
	t.Helper()
	data, err := os.ReadFile("../object/testdata/authority.yaml")
	assert.NilError(t, err)
	set, problems := object.Parse("authority.yaml", data)
	assert.NilError(t, problems.Err())
	set.Services = append(set.Services, object.Service{Name: "letters", Kind: object.PlainService, Version: "letters-1", Discovered: true})
	set.Versions = append(set.Versions, object.Version{Name: "letters-1", Service: "letters"})
	set.Ingresses = []object.Ingress{{
		Name: "letters", Host: "letters.example", Prefix: "/v2/", Repeat: object.RepeatResume, Stream: true, Tier: "donors",
		Backends: []object.Backend{{Service: "letters", Weight: 1}}, Attempts: 2,
		Timeout: 15 * time.Second, Objective: 800 * time.Millisecond, MaxGap: 250 * time.Millisecond,
	}}
	assert.NilError(t, set.Check().Err())
	return set
}

func (f *fixture) publish(t *testing.T, base uint64, set *object.Set) uint64 {
	t.Helper()
	answer, err := f.client.Publish(context.Background(), base, set)
	assert.NilError(t, err)
	return answer.Generation
}

func codeOfError(err error) Code {
	var answer *Error
	if errors.As(err, &answer) {
		return answer.Code
	}
	return ""
}

// Guards against calls without or with a wrong token, and against tokens in the log.
func TestAuthentication(t *testing.T) {
	f := newFixture(t)
	for _, wrong := range []string{"", "x", token + "x", token[:len(token)-1]} {
		_, err := newTestClient(t, wrong, f.url).Current(context.Background())
		assert.Equal(t, codeOfError(err), CodeUnauthorized, "token %q", wrong)
	}
	for _, path := range []string{"/debug/vars", "/v1/set", "/v1/status", "/v1/version"} {
		response, err := http.Get(f.url + path)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized, path)
	}
	_, err := f.client.Current(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(f.log.String(), eventlog.OperatorRefused.Code()))
	assert.Assert(t, !strings.Contains(f.log.String(), token[:16]))
}

// Guards against a server that lets everyone in when no operator is set.
func TestNoOperators(t *testing.T) {
	server := httptest.NewServer(New(Options{Backend: newMemoryBackend()}).Handler())
	defer server.Close()
	_, err := newTestClient(t, "", server.URL).Current(context.Background())
	assert.Equal(t, codeOfError(err), CodeUnauthorized)
}

// Guards against a set that changes on its way through the API.
func TestPublishAndRead(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	set := exampleSet(t)
	answer, err := f.client.Publish(ctx, 0, set)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, PublishResponse{Generation: 1, Digest: set.Digest()})
	assert.Assert(t, strings.Contains(f.log.String(), `"operator":"ana"`), f.log.String())

	config, err := f.client.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, config.Generation, uint64(1))
	assert.Equal(t, config.Set.Digest(), set.Digest())
	assert.Equal(t, config.Digest, set.Digest())
	config, err = f.client.Generation(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(config.Set.Targets), 0)
	_, err = f.client.Generation(ctx, 9)
	assert.Equal(t, codeOfError(err), CodeNotFound)

	one, err := f.client.Object(ctx, object.KindTier, "clerks")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(one), `"deadline":"30s"`), string(one))
	for _, kind := range object.Kinds() {
		all, err := f.client.Objects(ctx, kind)
		assert.NilError(t, err)
		assert.Assert(t, len(all) > 2, "%s", kind)
	}
	_, err = f.client.Object(ctx, object.KindTier, "none")
	assert.Equal(t, codeOfError(err), CodeNotFound)
	_, err = f.client.Objects(ctx, "bale")
	assert.Equal(t, codeOfError(err), CodeNotFound)
}

// Guards against publishing a set with problems, those that need a clock included.
func TestPublishChecks(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	set := exampleSet(t)
	set.Tiers[1].Rank = 0
	set.Moves[0].Deadline = now.Add(-time.Hour)
	problems, err := f.client.Check(ctx, set)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 2, "%v", problems)
	_, err = f.client.Publish(ctx, 0, set)
	assert.Equal(t, codeOfError(err), CodeProblems)
	assert.ErrorContains(t, err, `tier "donors": rank`)
	assert.ErrorContains(t, err, `move "assistant-to-2": deadline`)
	config, err := f.client.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, config.Generation, uint64(0))
}

// Guards against one operator overwriting another's change unseen.
func TestConflict(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.publish(t, 0, exampleSet(t))
	theirs := exampleSet(t)
	theirs.Targets[0].Slots = 4
	f.publish(t, 1, theirs)

	ours := exampleSet(t)
	ours.Tiers[0].Deadline = time.Minute
	_, err := f.client.Publish(ctx, 1, ours)
	var answer *Error
	assert.Assert(t, errors.As(err, &answer))
	assert.Equal(t, answer.Code, CodeConflict)
	assert.DeepEqual(t, answer.Conflict, &Conflict{Base: 1, Current: 2, Digest: ours.Digest(), Changes: []object.Change{{
		Op: object.Changed, Kind: object.KindTarget, Name: "llm-1",
		Fields: []object.FieldChange{{Field: "slots", Before: "8", After: "4"}},
	}}})
	_, err = f.client.Publish(ctx, 7, ours)
	assert.Equal(t, codeOfError(err), CodeNotFound)
}

// Guards against deltas that publish other content than the whole set, and
// against deltas that are applied to another generation than their base.
func TestPublishDelta(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.publish(t, 0, exampleSet(t))
	next := exampleSet(t)
	next.Targets[0].Slots = 4
	delta, err := object.MakeDelta(exampleSet(t), next)
	assert.NilError(t, err)
	answer, err := f.client.PublishDelta(ctx, 1, delta)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, PublishResponse{Generation: 2, Digest: next.Digest()})

	_, err = f.client.PublishDelta(ctx, 0, delta)
	assert.Equal(t, codeOfError(err), CodeInvalid)
	_, err = f.client.PublishDelta(ctx, 1, delta)
	assert.Equal(t, codeOfError(err), CodeConflict)
	bad := exampleSet(t)
	bad.Tiers[0].Rank = -1
	delta, err = object.MakeDelta(next, bad)
	assert.NilError(t, err)
	_, err = f.client.PublishDelta(ctx, 2, delta)
	assert.Equal(t, codeOfError(err), CodeProblems)
}

// Guards against diffs that differ from object.Diff.
func TestDiff(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.publish(t, 0, exampleSet(t))
	next := exampleSet(t)
	next.Targets[0].Slots = 4
	want := object.Diff(exampleSet(t), next)
	diff, err := f.client.Diff(ctx, next)
	assert.NilError(t, err)
	assert.DeepEqual(t, diff, DiffResponse{From: 1, Changes: want})
	f.publish(t, 1, next)
	diff, err = f.client.DiffGenerations(ctx, 1, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, diff, DiffResponse{From: 1, To: 2, Changes: want})
}

// Guards against a drain that gets lost: by a race with a publication, or by a
// later publication from files that do not hold the mark.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.publish(t, 0, exampleSet(t))
	f.backend.beforePublish = func() {
		other := exampleSet(t)
		other.Targets[0].Slots = 4
		_, err := f.backend.Publish(ctx, 1, other, "bo")
		assert.NilError(t, err)
	}
	answer, err := f.client.Drain(ctx, "llm-1")
	assert.NilError(t, err)
	assert.Equal(t, answer.Generation, uint64(3))
	config, _ := f.client.Current(ctx)
	target := config.Set.Object(object.KindTarget, "llm-1").(*object.Target)
	assert.Assert(t, target.Leaving && target.Slots == 4, "%+v", target)

	answer, err = f.client.Drain(ctx, "llm-1")
	assert.NilError(t, err)
	assert.Assert(t, answer.Unchanged)

	f.publish(t, 3, exampleSet(t))
	config, _ = f.client.Current(ctx)
	assert.Assert(t, config.Set.Object(object.KindTarget, "llm-1").(*object.Target).Leaving)

	moved := exampleSet(t)
	moved.Targets[0].Address = "10.0.0.3:8000"
	f.publish(t, 4, moved)
	config, _ = f.client.Current(ctx)
	assert.Assert(t, !config.Set.Object(object.KindTarget, "llm-1").(*object.Target).Leaving)

	_, err = f.client.Drain(ctx, "depot-1")
	assert.NilError(t, err)
	answer, err = f.client.Undrain(ctx, "depot-1")
	assert.NilError(t, err)
	assert.Equal(t, answer.Digest, moved.Digest())
	_, err = f.client.Drain(ctx, "nobody")
	assert.Equal(t, codeOfError(err), CodeNotFound)
}

// Guards against a revert that changes other content, lowers a generation,
// restarts an old attempt, or overwrites a publication unseen.
func TestRevert(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	first := exampleSet(t)
	f.publish(t, 0, first)
	second := exampleSet(t)
	second.Targets[0].Slots = 4
	second.Moves[0].Attempt = 5
	f.publish(t, 1, second)
	answer, err := f.client.Revert(ctx, 2, 1)
	assert.NilError(t, err)
	assert.Equal(t, answer.Generation, uint64(3))
	first.Moves[0].Attempt = 5
	assert.Equal(t, answer.Digest, first.Digest())
	_, err = f.client.Revert(ctx, 2, 1)
	assert.Equal(t, codeOfError(err), CodeConflict)
	_, err = f.client.Revert(ctx, 3, 42)
	assert.Equal(t, codeOfError(err), CodeNotFound)
}

// Guards against missing lists and against null where tools expect a list.
func TestLists(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	moves, err := f.client.Moves(ctx)
	assert.NilError(t, err)
	assert.Equal(t, moves[0].SharePercent, 5.0)
	targets, err := f.client.Targets(ctx)
	assert.NilError(t, err)
	assert.Equal(t, targets[0].State, "up")
	tiers, err := f.client.Tiers(ctx)
	assert.NilError(t, err)
	assert.Assert(t, tiers != nil)
	accounts, err := f.client.Accounts(ctx)
	assert.NilError(t, err)
	assert.Assert(t, accounts != nil)
}

// Guards against probes that need a token, and against metrics that are not JSON.
func TestProbesAndVariables(t *testing.T) {
	f := newFixture(t)
	get := func(path string) (int, string) {
		request, err := http.NewRequest(http.MethodGet, f.url+path, nil)
		assert.NilError(t, err)
		if path == "/debug/vars" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body)
	}
	code, _ := get("/healthz")
	assert.Equal(t, code, http.StatusOK)
	code, _ = get("/readyz")
	assert.Equal(t, code, http.StatusOK)
	f.backend.notReady = errors.New("no configuration from 10.0.0.9")
	code, body := get("/readyz")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, !strings.Contains(body, "10.0.0.9"))
	code, body = get("/debug/vars")
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"memstats"`) && strings.Contains(body, `"account":"field"`))
}

// Guards against malformed requests that reach the backend or break the server.
func TestMalformedRequests(t *testing.T) {
	f := newFixture(t)
	for _, body := range []string{"", "{", `{}`, `{"base":0,"sets":{}}`, `{"base":-1,"set":{}}`, `{"set":{}} {}`,
		`{"set":{"targets":[{"nam":"x"}]}}`, `{"set":{"tiers":[{"name":"x","deadline":5}]}}`} {
		request, err := http.NewRequest(http.MethodPost, f.url+"/v1/publish", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusBadRequest, body)
	}
	_, err := read[Config](context.Background(), f.client, "/v1/set?generation=x")
	assert.Equal(t, codeOfError(err), CodeInvalid)
	_, err = read[Config](context.Background(), f.client, "/v1/nothing")
	assert.Equal(t, codeOfError(err), CodeNotFound)
}

// Guards against a stop that breaks a request in flight (R8).
func TestServeFinishesRequestsInFlight(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	backend := newMemoryBackend()
	entered, release := make(chan struct{}), make(chan struct{})
	backend.beforePublish = func() {
		close(entered)
		<-release
	}
	server := New(Options{Backend: backend, Operators: map[string]settings.Secret{"ana": settings.NewSecret(token)}, Now: func() time.Time { return now }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	client := newTestClient(t, token, listener.Addr().String())
	published := make(chan error, 1)
	go func() {
		_, err := client.Publish(context.Background(), 0, exampleSet(t))
		published <- err
	}()
	<-entered
	cancel()
	close(release)
	assert.NilError(t, <-published)
	assert.NilError(t, <-served)
}
