package httpplatform

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(server.URL)
	assert.NilError(t, err)
	return c
}

// unsoundAnswer returns a handler that writes a text in place of an answer and closes the
// connection.
func unsoundAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = conn.Write([]byte(text))
			conn.Close()
		}
	}
}

// Guards against reporting a reservation with the wrong outcome.
func TestOutcomesOfAReservation(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"granted", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"waitMs":5}`)) }, nil},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, provider.ErrUnavailable},
		{"over the rate", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, provider.ErrUnavailable},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, provider.ErrOutcomeUnknown},
		{"status 000", unsoundAnswer("HTTP/1.1 000 \r\nContent-Length: 12\r\n\r\n{\"waitMs\":5}"), provider.ErrOutcomeUnknown},
		{"blank behind a name", unsoundAnswer("HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n{\"waitMs\":5}"), provider.ErrOutcomeUnknown},
		{"head ends early", unsoundAnswer("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"), provider.ErrOutcomeUnknown},
		{"part of the body", unsoundAnswer("HTTP/1.1 200 OK\r\n\r\n{\"wait"), provider.ErrOutcomeUnknown},
		{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, provider.ErrOutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			wait, err := newTestClient(t, tc.handler).Reserve(t.Context(), "v", 1)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			if tc.want == nil {
				assert.Equal(t, wait, 5*time.Millisecond)
			}
		})
	}
}

// Guards against ErrOutcomeUnknown for a call that was never sent, and against a list
// that is returned from a truncated response without an error.
func TestListOfVMs(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	c, err := New("http://" + address)
	assert.NilError(t, err)
	_, err = VMs{c}.List(t.Context())
	assert.ErrorIs(t, err, provider.ErrUnavailable)

	c = newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vms":[{"name":"a","state":"leaving"}]}`))
	})
	list, err := VMs{c}.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []provider.VM{{Name: "a", State: provider.VMLeaving}})
	c = newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vms":`)) })
	_, err = VMs{c}.List(t.Context())
	assert.Assert(t, err != nil)
}
