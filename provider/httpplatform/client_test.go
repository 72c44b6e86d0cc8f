package httpplatform

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

func client(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(server.URL)
	assert.NilError(t, err)
	return c
}

// Guards against a write that may have taken effect and is reported as without
// effect, and the other way round.
func TestOutcomesOfACommit(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"applied", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, nil},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, provider.ErrUnavailable},
		{"over the rate", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, provider.ErrUnavailable},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, provider.ErrUnknown},
		{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, provider.ErrUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := client(t, tc.answer).Commit(t.Context(), provider.Write{Key: "k"})
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
	}
}

// Guards against a conflict that loses the keys that failed.
func TestConflictNamesItsKeys(t *testing.T) {
	c := client(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"keys":["a","b"]}`))
	})
	var conflict *provider.ConflictError
	assert.Assert(t, errors.As(c.Commit(t.Context(), provider.Write{Key: "a"}), &conflict))
	assert.DeepEqual(t, conflict.Keys, []string{"a", "b"})
}

// Guards against "unknown" for a write that was never sent.
func TestRefusedConnectionHadNoEffect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	c, err := New("http://" + address)
	assert.NilError(t, err)
	assert.ErrorIs(t, c.Commit(t.Context(), provider.Write{Key: "k"}), provider.ErrUnavailable)
}

// Guards against object names whose slash becomes a path.
func TestObjectNamesAreEscaped(t *testing.T) {
	c := client(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.EscapedPath() != "/v1/objects/sets%2F1-a" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte("content"))
	})
	data, err := Objects{Client: c}.Get(t.Context(), "sets/1-a")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "content")
	_, err = Objects{Client: c}.Get(t.Context(), "missing")
	assert.ErrorIs(t, err, provider.ErrNotFound)
}
