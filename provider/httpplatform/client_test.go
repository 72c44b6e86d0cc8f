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

func client(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(server.URL)
	assert.NilError(t, err)
	return c
}

// Guards against a reservation whose outcome is reported as another one.
func TestOutcomesOfAReservation(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"granted", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"waitMs":5}`)) }, nil},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, provider.ErrUnavailable},
		{"over the rate", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, provider.ErrUnavailable},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, provider.ErrUnknown},
		{"connection cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, provider.ErrUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			wait, err := client(t, tc.answer).Reserve(t.Context(), "v", 1)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			if tc.want == nil {
				assert.Equal(t, wait, 5*time.Millisecond)
			}
		})
	}
}

// Guards against "unknown" for a call that was never sent, and a list that is read
// from a broken answer.
func TestListOfVMs(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	c, err := New("http://" + address)
	assert.NilError(t, err)
	_, err = VMs{c}.List(t.Context())
	assert.ErrorIs(t, err, provider.ErrUnavailable)

	c = client(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vms":[{"name":"a","state":"leaving"}]}`))
	})
	list, err := VMs{c}.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []provider.VM{{Name: "a", State: provider.VMLeaving}})
	c = client(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vms":`)) })
	_, err = VMs{c}.List(t.Context())
	assert.Assert(t, err != nil)
}
