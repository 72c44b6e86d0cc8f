package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramflow/marjoramflow/fault"
)

// maxControlBytes bounds the answer to a probe or a control call.
const maxControlBytes = 4 << 20

// Health is the answer to a probe.
type Health struct {
	// State is "live" or "leaving".
	State    string   `json:"state"`
	Versions []string `json:"versions"`
}

// Leaving says whether the target asked for no new work.
func (h *Health) Leaving() bool {
	return h.State == "leaving"
}

// LoadReport is what an engine says about itself; it lags behind.
type LoadReport struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	KVTokens int `json:"kvTokens"`
}

// CacheEvent says that a prefix block was stored in or evicted from the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    uint64 `json:"block,string"`
}

// Order is a control command with a fencing number.
type Command struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Probe asks a target for its health. It works for engines and plain services.
func (c *Client) Probe(ctx context.Context, target, address string) (*Health, error) {
	var out Health
	return &out, c.control(ctx, "engine.probe", target, http.MethodGet, address, "/health", nil, &out)
}

// Load asks an engine for its load report.
func (c *Client) Load(ctx context.Context, target, address string) (*LoadReport, error) {
	var out LoadReport
	return &out, c.control(ctx, "engine.load", target, http.MethodGet, address, "/v1/load", nil, &out)
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, target, address string, after uint64) ([]CacheEvent, error) {
	var out struct{ Events []CacheEvent }
	path := fmt.Sprintf("/v1/cache-events?after=%d", after)
	err := c.control(ctx, "engine.events", target, http.MethodGet, address, path, nil, &out)
	return out.Events, err
}

// Order sends a control command.
func (c *Client) SendCommand(ctx context.Context, target, address string, order Command) error {
	return c.control(ctx, "engine.order", target, http.MethodPost, address, "/v1/orders", order, nil)
}

func (c *Client) control(ctx context.Context, step, target, method, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(err, step, target)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, step, target)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.Wrap(err, step, target)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return fault.Wrap(err, step, target)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fault.New(step, target, fmt.Sprintf("status %d: %.200s", resp.StatusCode, data))
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(json.Unmarshal(data, out), step, target)
}
