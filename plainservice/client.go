// Package plainservice is the HTTP client of plain services.
//
// Each call that must not run twice gets a new connection. Go's http.Transport
// sends a request again when a reused connection breaks and it considers the
// request replayable, which includes every request with an Idempotency-Key header.
package plainservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/bytebudget"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/outbound"
	"github.com/marjoramflow/marjoramflow/liveness"
)

// MaxAnswerBytes bounds the body of an answer, which is held in memory.
const MaxAnswerBytes = 16 << 20

// answerMemoryBytes bounds the memory of all answers that are being read, so that targets that
// send bodies without end do not use up the memory of the VM.
const answerMemoryBytes = 64 << 20

// VersionHeader is the header that names the version that the request is for.
const VersionHeader = "X-Marjoram-Version"

// Call is one attempt to run a request on a plain service.
type Call struct {
	// ID is the attempt's id, sent to the target as X-Request-Id.
	ID      string
	Target  string
	Address string
	Version string
	Method  string
	// Path is the request path with its query string.
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends calls to plain services. It is safe for concurrent use.
type Client struct {
	pooled    *http.Client
	singleUse *http.Client
	memory    *bytebudget.Budget
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{pooled: outbound.NewClient(false), singleUse: outbound.NewClient(true), memory: bytebudget.New(answerMemoryBytes)}
}

// Do runs one attempt and reads the whole answer. Its errors are *attempt.Error, of kind
// NotSent only when no connection to the target was made.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	sent := newTransmission()
	req, err := call.newRequest(httptrace.WithClientTrace(ctx, sent.trace()))
	if err != nil {
		return nil, call.newError(attempt.NotSent, 0, err)
	}
	resp, err := c.clientFor(call).Do(req)
	if err != nil {
		return nil, call.newError(kindOfSendError(ctx, sent.connected()), 0, err)
	}
	defer resp.Body.Close()
	memory := c.memory.NewAllocation()
	defer memory.Release()
	body, err := memory.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1), resp.ContentLength)
	if err != nil {
		return nil, call.newError(attempt.Cut, resp.StatusCode, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, call.newError(attempt.Cut, resp.StatusCode, fmt.Errorf("answer exceeds %d bytes", MaxAnswerBytes))
	}
	if err := confirmEnd(ctx, call, resp, sent); err != nil {
		return nil, call.newError(attempt.Cut, resp.StatusCode, err)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// confirmEnd returns an error if the answer ended with its connection, and the request was not
// written to its end or the target does not run any more, so that the answer may be incomplete.
func confirmEnd(ctx context.Context, call *Call, resp *http.Response, sent *transmission) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead {
		return nil
	}
	if err := sent.checkWritten(ctx); err != nil {
		return err
	}
	conn, err := liveness.Check(ctx, outbound.NewDialer(), call.Address)
	if conn != nil {
		conn.Close()
	}
	return err
}

// clientFor returns the client that reuses connections if the call may run twice, and
// otherwise the one that opens a connection for each request.
func (c *Client) clientFor(call *Call) *http.Client {
	if call.Idempotent {
		return c.pooled
	}
	return c.singleUse
}

// kindOfSendError classifies an error before any answer: not sent because no connection
// was made, stalled, canceled, or maybe sent because the connection broke.
func kindOfSendError(ctx context.Context, connected bool) attempt.Kind {
	switch {
	case !connected:
		return attempt.NotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return attempt.Stalled
	case ctx.Err() != nil:
		return attempt.Canceled
	}
	return attempt.MaybeSent
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// newRequest builds the HTTP request for the target, without hop-by-hop headers and the
// caller's token.
func (call *Call) newRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, name := range connectionHeaders(req.Header) {
		req.Header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	// The caller's token authenticates it to this system; targets must not see it.
	req.Header.Del("Authorization")
	req.Header.Set("X-Request-Id", call.ID)
	req.Header.Set(VersionHeader, call.Version)
	return req, nil
}

// connectionHeaders returns the header names that the Connection header lists as
// hop-by-hop.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// newError returns an *attempt.Error for the call's target.
func (call *Call) newError(kind attempt.Kind, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: call.Target, Status: status, Err: fault.Wrap(err, "plainservice.call", call.Target)}
}
