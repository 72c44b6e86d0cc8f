package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
)

// tokenFrame returns a frame with one token of the attempt id.
func tokenFrame(id string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"finish_reason\":null}]}\n\n", id, index)
}

const (
	lastFrame = "data: {\"id\":\"a.0\",\"token_index\":2,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
	endMarker = "data: [DONE]\n\n"
)

// Guards against tokens that are lost, repeated or of another attempt, against a stream
// that stops without ending, and against an early end that is taken for a complete answer.
func TestStreams(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name       string
		resumeFrom int
		body       string
		afterBody  http.HandlerFunc
		tokens     int
		dropped    int64
		kind       attempt.Kind
	}{
		{"whole", 0, tokenFrame("a.0", 0) + tokenFrame("a.0", 1) + lastFrame + endMarker, nil, 2, 0, 0},
		{"resumed", 1, tokenFrame("a.0", 0) + tokenFrame("a.0", 1) + lastFrame + endMarker, nil, 1, 0, 0},
		{"another attempt", 0, tokenFrame("a.1", 0) + tokenFrame("a.0", 0) + tokenFrame("b.0", 1) + tokenFrame("a.0", 1) + lastFrame + endMarker, nil, 2, 2, 0},
		{"repeated", 0, tokenFrame("a.0", 0) + tokenFrame("a.0", 0) + tokenFrame("a.0", 1) + lastFrame + endMarker, nil, 2, 0, 0},
		{"skipped", 0, tokenFrame("a.0", 0) + tokenFrame("a.0", 2), nil, 1, 0, attempt.Cut},
		{"wrong index", 0, tokenFrame("a.0", 0) + tokenFrame("a.0", 1) + tokenFrame("a.0", 0) + "data: {\"id\":\"a.0\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n" + endMarker, nil, 2, 0, attempt.Cut},
		{"cut", 0, tokenFrame("a.0", 0), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, 0, attempt.Cut},
		{"ended early", 0, tokenFrame("a.0", 0), nil, 1, 0, attempt.Cut},
		{"early end marker", 0, tokenFrame("a.0", 0) + endMarker, nil, 1, 0, attempt.Cut},
		{"no JSON", 0, "data: {\n\n", nil, 0, 0, attempt.Cut},
		{"silent from the start", 0, "", silent, 0, 0, attempt.Stalled},
		{"silent later", 0, tokenFrame("a.0", 0), silent, 1, 0, attempt.Stalled},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, c.body)
			_ = http.NewResponseController(w).Flush()
			if c.afterBody != nil {
				c.afterBody(w, r)
			}
		}))
		client := NewClient()
		s, err := client.Stream(t.Context(), &Call{
			ID: "a.0", Target: "t", Address: server.Listener.Addr().String(), ResumeFrom: c.resumeFrom,
			FirstFrameTimeout: 500 * time.Millisecond, FrameGapTimeout: 500 * time.Millisecond,
		})
		assert.NilError(t, err, c.name)
		tokens := 0
		var frame *Frame
		for frame, err = s.Next(); frame != nil; frame, err = s.Next() {
			if !frame.Last {
				assert.Equal(t, frame.Index, c.resumeFrom+tokens, c.name)
				tokens++
			}
		}
		assert.Equal(t, attempt.KindOf(err), c.kind, c.name)
		assert.Equal(t, tokens, c.tokens, c.name)
		assert.Equal(t, client.DroppedFrames(), c.dropped, c.name)
		s.Close()
		server.Close()
	}
}

// Guards against a failed start whose kind is wrong about whether the request may have run.
func TestStartFailures(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	canceledCtx, cancel := context.WithCancel(t.Context())
	cases := []struct {
		name    string
		ctx     context.Context
		handler http.HandlerFunc
		kind    attempt.Kind
	}{
		{"connection refused", t.Context(), nil, attempt.NotSent},
		{"broken", t.Context(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, attempt.MaybeSent},
		{"no headers", t.Context(), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, attempt.Stalled},
		{"canceled", canceledCtx, func(_ http.ResponseWriter, r *http.Request) { cancel(); <-r.Context().Done() }, attempt.Canceled},
		{"400", t.Context(), status(400), attempt.Rejected},
		{"404", t.Context(), status(404), attempt.Refused},
		{"503", t.Context(), status(503), attempt.Refused},
		{"500", t.Context(), status(500), attempt.Failed},
		{"307", t.Context(), func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, closed.URL, http.StatusTemporaryRedirect)
		}, attempt.Refused},
	}
	for _, c := range cases {
		server := closed
		if c.handler != nil {
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server detects a closed connection only after it has read the body.
				_, _ = r.Body.Read(make([]byte, 512))
				c.handler(w, r)
			}))
		}
		_, err := NewClient().Stream(c.ctx, &Call{ID: "a.0", Target: "t", Address: server.Listener.Addr().String(), FirstFrameTimeout: 500 * time.Millisecond})
		assert.Equal(t, attempt.KindOf(err), c.kind, c.name)
		server.Close()
	}
}
