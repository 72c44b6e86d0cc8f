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

// maxControlBytes bounds how much of the answer to a control call is read.
const maxControlBytes = 4 << 20

// Health is the answer to a health probe.
type Health struct {
	// State is "live" or "leaving".
	State    string   `json:"state"`
	Versions []string `json:"versions"`
}

// Leaving reports whether the target wants no new requests.
func (h *Health) Leaving() bool {
	return h.State == "leaving"
}

// LoadReport is the load that an engine reports about itself. It lags behind the actual
// load.
type LoadReport struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	KVTokens int `json:"kvTokens"`
}

// CacheEvent reports that a prefix block was stored in or evicted from an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    uint64 `json:"block,string"`
}

// Command is a control command for an engine with its fencing number.
type Command struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Probe requests a target's health. It works for engines and plain services.
func (c *Client) Probe(ctx context.Context, target, address string) (*Health, error) {
	var out Health
	return &out, c.sendControl(ctx, "engine.probe", target, http.MethodGet, address, "/health", nil, &out)
}

// FetchLoadReport requests an engine's load report.
func (c *Client) FetchLoadReport(ctx context.Context, target, address string) (*LoadReport, error) {
	var out LoadReport
	return &out, c.sendControl(ctx, "engine.load", target, http.MethodGet, address, "/v1/load", nil, &out)
}

// CacheEvents returns an engine's cache events whose sequence number is above after.
func (c *Client) CacheEvents(ctx context.Context, target, address string, after uint64) ([]CacheEvent, error) {
	var out struct{ Events []CacheEvent }
	path := fmt.Sprintf("/v1/cache-events?after=%d", after)
	err := c.sendControl(ctx, "engine.events", target, http.MethodGet, address, path, nil, &out)
	return out.Events, err
}

// SendCommand sends a control command to an engine. It returns an error if the engine does
// not accept the command.
func (c *Client) SendCommand(ctx context.Context, target, address string, command Command) error {
	return c.sendControl(ctx, "engine.order", target, http.MethodPost, address, "/v1/orders", command, nil)
}

// sendControl sends in as JSON and decodes the answer into out, unless out is nil. Statuses
// from 300 on are errors.
func (c *Client) sendControl(ctx context.Context, step, target, method, address, path string, in, out any) error {
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
