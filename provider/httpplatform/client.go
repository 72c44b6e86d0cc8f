package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxAnswerBytes bounds the memory that one answer can take.
	maxAnswerBytes = 64 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes pooled connections before a stateful middlebox on the
	// way forgets them.
	idleTimeout = 20 * time.Second
)

// Client speaks to one platform service by its base URL. It implements
// provider.Weights, and through its view provider.VMList. It is safe for concurrent
// use.
type Client struct {
	base string
	peer string
	http *http.Client
}

// New returns a client for a base URL such as "http://127.0.0.1:9000".
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, fault.New("provider.url", base, "not an absolute URL")
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 16,
	}
	return &Client{base: base, peer: u.Host, http: &http.Client{Transport: transport}}, nil
}

type reserveBody struct {
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

type waitBody struct {
	WaitMs int64 `json:"waitMs"`
}

type vmsBody struct {
	VMs []provider.VM `json:"vms"`
}

// call posts one JSON request and decodes the answer into out when it is not nil.
func (c *Client) call(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(err, step, c.peer)
	}
	resp, err := c.send(ctx, step, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(errors.Join(provider.ErrUnknown, err), step, c.peer)
	}
	return c.decode(step, resp.StatusCode, data, out)
}

// decode maps a status to the errors of package provider.
func (c *Client) decode(step string, status int, data []byte, out any) error {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fault.Wrap(provider.ErrUnavailable, step, c.peer)
	case status >= http.StatusInternalServerError:
		return fault.Wrap(provider.ErrUnknown, step, c.peer)
	case status >= http.StatusMultipleChoices:
		return fault.New(step, c.peer, fmt.Sprintf("status %d: %.200s", status, data))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(err, step, c.peer)
	}
	return nil
}

// send performs one HTTP exchange. Connection errors before anything was sent
// are ErrUnavailable, all others ErrUnknown.
func (c *Client) send(ctx context.Context, step, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, step, c.peer)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	kind := provider.ErrUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		kind = provider.ErrUnavailable
	}
	return nil, fault.Wrap(errors.Join(kind, err), step, c.peer)
}

// Reserve implements provider.Weights.
func (c *Client) Reserve(ctx context.Context, version string, size int64) (time.Duration, error) {
	var out waitBody
	err := c.call(ctx, "weights.reserve", "/v1/weights:reserve", reserveBody{Version: version, Bytes: size}, &out)
	return time.Duration(out.WaitMs) * time.Millisecond, err
}

// VMs is the provider.VMList view of a client.
type VMs struct {
	*Client
}

// List implements provider.VMList.
func (v VMs) List(ctx context.Context) ([]provider.VM, error) {
	const step = "vms.list"
	resp, err := v.send(ctx, step, http.MethodGet, "/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fault.Wrap(err, step, v.peer)
	}
	var out vmsBody
	err = v.decode(step, resp.StatusCode, data, &out)
	return out.VMs, err
}

var (
	_ provider.Weights = (*Client)(nil)
	_ provider.VMList  = VMs{}
)
