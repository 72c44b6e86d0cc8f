package adminapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/settings"
)

// responseDropper starts a server that forwards requests to another server and
// aborts the connection instead of returning the response.
func responseDropper(t *testing.T, forwardTo func() string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, _ := http.NewRequest(r.Method, forwardTo()+r.URL.Path, bytes.NewReader(body))
		request.Header = r.Header
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against reporting a conflict or a failure when the response was lost but
// the change took effect (fault F5), also when another operator has published since.
func TestLostAnswerIsResolvedByTheNextServer(t *testing.T) {
	var f *fixture
	pendingPublish := make(chan func(), 1)
	dropper := responseDropper(t, func() string { return f.url })
	publishingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case publish := <-pendingPublish:
			publish()
		default:
		}
		panic(http.ErrAbortHandler)
	}))
	defer publishingServer.Close()
	f = newFixture(t, dropper.URL, publishingServer.URL)
	ctx := context.Background()
	response, err := f.client.Publish(ctx, 0, exampleSet(t))
	assert.NilError(t, err)
	assert.Equal(t, response.Generation, uint64(1))

	theirs := exampleSet(t)
	theirs.Targets[0].Slots = 4
	pendingPublish <- func() {
		_, err := f.backend.Publish(ctx, 2, theirs, "bo")
		assert.Check(t, err)
	}
	ours := exampleSet(t)
	ours.Targets[0].Slots = 2
	response, err = f.client.Publish(ctx, 1, ours)
	assert.NilError(t, err)
	assert.DeepEqual(t, response, PublishResponse{Generation: 2, Digest: ours.Digest()})

	_, err = f.client.Publish(ctx, 2, exampleSet(t))
	assert.Equal(t, errorCode(err), CodeConflict)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown), "generation 3 has other content, so nothing took effect")

	dropperOnly := newTestClient(t, token, dropper.URL)
	_, err = dropperOnly.Publish(ctx, 3, exampleSet(t))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
}

// Guards against a client that gives up when its first server is unreachable, and
// against an unknown outcome when no server was reached.
func TestServersAreTriedInTurn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	f := newFixture(t, address)
	version, err := f.client.Version(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, version.Daemon, "entry-1")

	unreachableOnly := newTestClient(t, token, address)
	_, err = unreachableOnly.Publish(context.Background(), 0, exampleSet(t))
	assert.ErrorContains(t, err, "connection refused")
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown), "the server was not reached, so nothing took effect")
}

// Guards against platform failures that are reported as success, and against
// confusing "had no effect" with "may have had an effect".
func TestPlatformFailures(t *testing.T) {
	f := newFixture(t)
	f.backend.publishErr = provider.ErrUnavailable
	_, err := f.client.Publish(context.Background(), 0, exampleSet(t))
	assert.Equal(t, errorCode(err), CodeUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
	f.backend.publishErr, f.backend.publishBeforeErr = provider.ErrOutcomeUnknown, true
	_, err = f.client.Publish(context.Background(), 0, exampleSet(t))
	assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
}

// handlerTransport passes requests to a handler without a network, so that the
// synctest clock can advance while the client waits.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// Guards against a status or a wait that does not list the daemons below the
// generation.
func TestStatusAndWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newMemoryBackend()
		backend.generations = append(backend.generations, exampleSet(t))
		server := NewServer(ServerOptions{Backend: backend, Operators: map[string]settings.Secret{"ana": settings.NewSecret(token)}})
		client := newTestClient(t, token, "10.0.0.1:8081")
		client.http.Transport = handlerTransport{server.Handler()}
		ahead := DaemonStatus{Name: "entry-1", Reachable: true, Generation: 1}
		lagging := DaemonStatus{Name: "entry-2", Reachable: true, Generation: 0}
		backend.setDaemons(ahead, lagging, DaemonStatus{Name: "entry-3", Generation: 0})
		status, err := client.Status(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, status.Behind, []string{"entry-2"})
		assert.DeepEqual(t, status.Unreachable, []string{"entry-3"})

		waitCtx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		status, err = client.WaitInForce(waitCtx, 1, time.Second)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.DeepEqual(t, status.Behind, []string{"entry-2"})

		// A later publication must not make the wait fail.
		start := time.Now()
		time.AfterFunc(3*time.Second, func() {
			ahead.Generation, lagging.Generation = 2, 1
			backend.setDaemons(ahead, lagging)
		})
		status, err = client.WaitInForce(t.Context(), 1, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(status.Behind), 0)
		assert.Assert(t, time.Since(start) <= 4*time.Second)
	})
}
