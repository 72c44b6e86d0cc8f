package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/outbound"
)

// maxErrorBytes bounds how much of an error answer is read.
const maxErrorBytes = 4 << 10

// RequestIDHeader is the header that carries the attempt's id to targets.
const RequestIDHeader = "X-Request-Id"

// Client sends calls to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// droppedFrames counts frames that carried the id of another attempt.
	droppedFrames atomic.Int64
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: outbound.NewClient(false)}
}

// DroppedFrames returns the number of frames dropped so far because they carried the id of
// another attempt.
func (c *Client) DroppedFrames() int64 {
	return c.droppedFrames.Load()
}

// Call is one attempt to run a chat completion.
type Call struct {
	// ID is unique per attempt; the engine repeats it on every frame.
	ID string
	// Target is the target's name, Address its host:port.
	Target  string
	Address string
	// Model is the name under which the engine serves the version.
	Model string
	// Body is the caller's JSON object; model, stream and resume_from are replaced.
	Body map[string]json.RawMessage
	// ResumeFrom is the index of the first token wanted.
	ResumeFrom int
	// FirstFrameTimeout bounds the wait for the first frame, FrameGapTimeout the wait for each
	// later frame.
	FirstFrameTimeout time.Duration
	FrameGapTimeout   time.Duration
}

// Stream starts the call and returns once the engine has answered with status 200. A
// failed attempt is an *attempt.Error. The stream must be closed.
func (c *Client) Stream(ctx context.Context, call *Call) (*Stream, error) {
	body, err := call.encode()
	if err != nil {
		return nil, fault.Wrap(err, "engine.encode", call.Target)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(call.FirstFrameTimeout, func() { cancel(errStalled) })
	resp, err := c.post(ctx, call, body)
	if err != nil {
		watchdog.Stop()
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, watchdog, c, call, resp), nil
}

// errStalled is the cancellation cause that the watchdog sets when no frame arrives in time.
var errStalled = errors.New("no progress within the timeout")

// post sends the request and returns the answer if its status is 200. Other statuses and
// send errors become an *attempt.Error.
func (c *Client) post(ctx context.Context, call *Call, body []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := "http://" + call.Address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, "engine.request", call.Target)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDHeader, call.ID)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, call.newError(c.kindOfSendError(ctx, connected), 0, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return nil, call.newError(kindOfStatus(resp.StatusCode), resp.StatusCode, fmt.Errorf("%.200s", text))
}

// kindOfSendError classifies an error before any answer: stalled, canceled, not sent
// because no connection was made, or maybe sent because the connection broke.
func (c *Client) kindOfSendError(ctx context.Context, connected bool) attempt.Kind {
	switch {
	case errors.Is(context.Cause(ctx), errStalled) && connected:
		return attempt.Stalled
	case !connected:
		return attempt.NotSent
	case ctx.Err() != nil:
		return attempt.Canceled
	}
	return attempt.MaybeSent
}

// kindOfStatus classifies an answer whose status is not 200. Engines answer 4xx and 503
// before they admit a request.
func kindOfStatus(status int) attempt.Kind {
	switch {
	case status == http.StatusBadRequest, status == http.StatusRequestEntityTooLarge, status == http.StatusUnprocessableEntity:
		return attempt.Rejected
	case status < http.StatusInternalServerError, status == http.StatusServiceUnavailable:
		return attempt.Refused
	}
	return attempt.Failed
}

// newError returns an *attempt.Error for the call's target.
func (call *Call) newError(kind attempt.Kind, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: call.Target, Status: status, Err: fault.Wrap(err, "engine.call", call.Target)}
}

// encode returns the request body for the engine, built from the caller's body.
func (call *Call) encode() ([]byte, error) {
	out := make(map[string]json.RawMessage, len(call.Body)+3)
	for key, value := range call.Body {
		out[key] = value
	}
	model, err := json.Marshal(call.Model)
	if err != nil {
		return nil, err
	}
	out["model"] = model
	out["stream"] = json.RawMessage("true")
	if call.ResumeFrom > 0 {
		out["resume_from"] = json.RawMessage(fmt.Sprint(call.ResumeFrom))
	}
	return json.Marshal(out)
}
