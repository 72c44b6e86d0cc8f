// Package plainservice is the adapter to plain services over HTTP.
//
// Calls that must not run twice go over a connection of their own. Go's
// http.Transport sends a request again when a reused connection breaks and the
// request looks replayable to it, which includes every request with an
// Idempotency-Key header.
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
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/outbound"
)

// MaxAnswerBytes bounds an answer that is held in memory.
const MaxAnswerBytes = 16 << 20

// VersionHeader tells the target which version the request is meant for.
const VersionHeader = "X-Marjoram-Version"

// Call is one attempt of a plain call.
type Call struct {
	// ID is passed to the target as X-Request-Id.
	ID      string
	Target  string
	Address string
	Version string
	Method  string
	// Path includes the query.
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client speaks to plain services. It is safe for concurrent use.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{pooled: outbound.NewClient(false), fresh: outbound.NewClient(true)}
}

// Do runs one attempt and reads the whole answer. Failures are *attempt.Error;
// NotSent is returned only when no connection to the target was made.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := call.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, call.fail(attempt.NotSent, 0, err)
	}
	resp, err := c.clientFor(call).Do(req)
	if err != nil {
		return nil, call.fail(kindOf(ctx, connected), 0, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, call.fail(attempt.Cut, resp.StatusCode, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, call.fail(attempt.Cut, resp.StatusCode, fmt.Errorf("answer exceeds %d bytes", MaxAnswerBytes))
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Client) clientFor(call *Call) *http.Client {
	if call.Idempotent {
		return c.pooled
	}
	return c.fresh
}

func kindOf(ctx context.Context, connected bool) attempt.Kind {
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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func (call *Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, name := range namedInConnection(req.Header) {
		req.Header.Del(name)
	}
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	// The caller's token is for this system, not for the target.
	req.Header.Del("Authorization")
	req.Header.Set("X-Request-Id", call.ID)
	req.Header.Set(VersionHeader, call.Version)
	return req, nil
}

// namedInConnection returns the headers that the sender declared as belonging to
// its connection.
func namedInConnection(header http.Header) []string {
	var names []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

func (call *Call) fail(kind attempt.Kind, status int, err error) error {
	return &attempt.Error{Kind: kind, Target: call.Target, Status: status, Err: fault.Wrap(err, "plainservice.call", call.Target)}
}
