package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/provider"
)

var controlClient = &http.Client{Timeout: 5 * time.Second}

// sendJSON sends the JSON encoding of in to a stand-in or a daemon and decodes the answer
// into out, unless out is nil. A status of 300 or more is an error.
func sendJSON(ctx context.Context, method, url string, in, out any) error {
	return sendJSONWithToken(ctx, method, url, "", in, out)
}

// sendJSONWithToken is sendJSON with a bearer token; an empty token is not sent.
func sendJSONWithToken(ctx context.Context, method, url, token string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// SetFaults replaces the fault switches of a stand-in.
func (s *Server) SetFaults(ctx context.Context, f faults.Switches) error {
	return sendJSON(ctx, http.MethodPut, "http://"+s.Address+"/v1/faults", f, nil)
}

// Get reads a JSON document from a stand-in, such as /v1/executions, into out.
func (s *Server) Get(ctx context.Context, path string, out any) error {
	return sendJSON(ctx, http.MethodGet, "http://"+s.Address+path, nil, out)
}

// PutVMs replaces the platform's VM list.
func (c *Cluster) PutVMs(ctx context.Context, vms []provider.VM) error {
	return sendJSON(ctx, http.MethodPut, "http://"+c.Platform.Address+"/v1/vms", map[string]any{"vms": vms}, nil)
}

// WaitUntil calls check every 20 ms until it returns nil. When the timeout passes or
// ctx ends, it returns the last error of check.
func WaitUntil(ctx context.Context, timeout time.Duration, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// waitStandIns waits until every stand-in answers.
func (c *Cluster) waitStandIns(ctx context.Context) error {
	paths := map[*Server]string{c.Platform: "/v1/vms"}
	for _, s := range append(append([]*Server{}, c.Engines...), c.PlainServers...) {
		paths[s] = "/health"
	}
	for s, path := range paths {
		err := WaitUntil(ctx, readyTimeout, func(ctx context.Context) error { return s.Get(ctx, path, &json.RawMessage{}) })
		if err != nil {
			return fmt.Errorf("stand-in %s: %w", s.Name, err)
		}
	}
	return nil
}

// waitListening waits until each address accepts connections.
func (c *Cluster) waitListening(ctx context.Context, addresses []string) error {
	for _, address := range addresses {
		err := WaitUntil(ctx, readyTimeout, func(context.Context) error {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until every running daemon is ready for callers.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, d := range c.Daemons {
		if !d.Running() {
			continue
		}
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the daemon is ready for callers.
func (d *Daemon) WaitReady(ctx context.Context) error {
	err := WaitUntil(ctx, readyTimeout, func(ctx context.Context) error {
		return sendJSON(ctx, http.MethodGet, "http://"+d.CallerAddress+"/readyz", nil, nil)
	})
	if err != nil {
		return fmt.Errorf("daemon %s is not ready: %w\n%s", d.Name, err, d.Log())
	}
	return nil
}

// WriteSet writes the configuration as a file that marjoramctl reads.
func (c *Cluster) WriteSet(name string) (string, error) {
	data, err := c.Set.FormatYAML()
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Dir, name)
	return path, os.WriteFile(path, data, 0o600)
}
