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
	"github.com/marjoramflow/marjoramflow/internal/answerhead"
	"github.com/marjoramflow/marjoramflow/internal/resetconn"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxResponseBytes bounds the memory that one response body can take.
	maxResponseBytes = 64 << 20
	// dialTimeout bounds the dial of a TCP connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is the idle time after which pooled connections are closed,
	// before a stateful middlebox on the path drops its entry for them.
	idleTimeout = 20 * time.Second
)

// Client calls the platform service at one base URL. It implements provider.Weights;
// VMs wraps it as a provider.VMList. It is safe for concurrent use.
type Client struct {
	baseURL    string
	host       string
	httpClient *http.Client
}

// New returns a client for a base URL such as "http://127.0.0.1:9000". It returns an
// error when the URL is not absolute.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, fault.New("provider.url", base, "the base URL is not an absolute URL")
	}
	transport := &http.Transport{
		DialContext:         (&resetconn.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 16,
	}
	return &Client{baseURL: base, host: u.Host, httpClient: &http.Client{Transport: answerhead.Transport{RoundTripper: transport}}}, nil
}

type reserveRequest struct {
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

type reserveResponse struct {
	WaitMs int64 `json:"waitMs"`
}

type vmListResponse struct {
	VMs []provider.VM `json:"vms"`
}

// post sends in as a JSON request and decodes the response into out when out is not
// nil.
func (c *Client) post(ctx context.Context, step, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(err, step, c.host)
	}
	resp, err := c.send(ctx, step, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(errors.Join(provider.ErrOutcomeUnknown, err), step, c.host)
	}
	return c.decodeResponse(step, resp.StatusCode, data, out)
}

// decodeResponse returns the error of package provider that belongs to the status, or
// decodes the body of a successful response into out when out is not nil.
func (c *Client) decodeResponse(step string, status int, data []byte, out any) error {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fault.Wrap(provider.ErrUnavailable, step, c.host)
	case status >= http.StatusInternalServerError:
		return fault.Wrap(provider.ErrOutcomeUnknown, step, c.host)
	case status >= http.StatusMultipleChoices:
		return fault.New(step, c.host, fmt.Sprintf("status %d: %.200s", status, data))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(errors.Join(provider.ErrOutcomeUnknown, err), step, c.host)
	}
	return nil
}

// send sends one HTTP request; the caller closes the response body. A failed dial is
// provider.ErrUnavailable, because nothing was sent. All other transport errors are
// provider.ErrOutcomeUnknown.
func (c *Client) send(ctx context.Context, step, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, step, c.host)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err == nil {
		return resp, nil
	}
	outcome := provider.ErrOutcomeUnknown
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		outcome = provider.ErrUnavailable
	}
	return nil, fault.Wrap(errors.Join(outcome, err), step, c.host)
}

// Reserve implements provider.Weights.
func (c *Client) Reserve(ctx context.Context, version string, size int64) (time.Duration, error) {
	var out reserveResponse
	err := c.post(ctx, "weights.reserve", "/v1/weights:reserve", reserveRequest{Version: version, Bytes: size}, &out)
	return time.Duration(out.WaitMs) * time.Millisecond, err
}

// VMs implements provider.VMList with a client.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(err, step, v.host)
	}
	var out vmListResponse
	err = v.decodeResponse(step, resp.StatusCode, data, &out)
	return out.VMs, err
}

var (
	_ provider.Weights = (*Client)(nil)
	_ provider.VMList  = VMs{}
)
