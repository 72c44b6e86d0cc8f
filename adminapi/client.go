package adminapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

const (
	// callTimeout bounds one call to one server. A publication takes at most the
	// store's timeout plus the time to read the outcome from the store when its
	// response was lost.
	callTimeout = 15 * time.Second
	// dialTimeout is short so that an unreachable server delays the next try
	// only briefly.
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response; the rest is not read.
	maxResponseBytes = 64 << 20
)

// ErrOutcomeUnknown is returned when a change was sent to a server and neither
// its response nor a later try on another server shows whether it took effect.
var ErrOutcomeUnknown = errors.New("outcome unknown: the change may have taken effect; check with status and diff")

// Client calls the administration API. It tries its servers in order and goes on
// to the next one when a server is unreachable, unavailable or fails. It is
// safe for concurrent use.
type Client struct {
	servers []string
	token   settings.Secret
	http    *http.Client
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Servers are base URLs or addresses IP:port, short for http://IP:port.
	Servers []string
	Token   settings.Secret
	// TLS is used for https servers; nil means the defaults of crypto/tls.
	TLS *tls.Config
	// Transport sends the requests; nil means an http.Transport that dials the
	// servers.
	Transport http.RoundTripper
}

// NewClient returns a client. It fails when no server is given or when one is
// not a valid http or https address.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, fault.New("admin.client", "", "no server is given")
	}
	c := &Client{token: o.Token}
	for _, server := range o.Servers {
		base, err := baseURL(server)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, base)
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig: o.TLS,
		}
	}
	c.http = &http.Client{
		Timeout:   callTimeout,
		Transport: o.Transport,
		// Redirects are not followed, since they could send the token to
		// another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func baseURL(server string) (string, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		return "", fault.New("admin.client", "", fmt.Sprintf("%q is not a server address such as 10.0.0.1:8081", server))
	}
	return strings.TrimSuffix(u.String(), "/"), nil
}

// Current returns the configuration in force.
func (c *Client) Current(ctx context.Context) (Config, error) {
	return getFromAny[Config](ctx, c, "/v1/set")
}

// Generation returns a published generation.
func (c *Client) Generation(ctx context.Context, generation uint64) (Config, error) {
	return getFromAny[Config](ctx, c, "/v1/set?generation="+formatGeneration(generation))
}

// Objects returns the objects of a kind in force as JSON.
func (c *Client) Objects(ctx context.Context, kind object.Kind) (json.RawMessage, error) {
	return getFromAny[json.RawMessage](ctx, c, "/v1/objects/"+url.PathEscape(string(kind)))
}

// Object returns one object in force as JSON.
func (c *Client) Object(ctx context.Context, kind object.Kind, name string) (json.RawMessage, error) {
	return getFromAny[json.RawMessage](ctx, c, "/v1/objects/"+url.PathEscape(string(kind))+"/"+url.PathEscape(name))
}

// Check returns the problems of a set.
func (c *Client) Check(ctx context.Context, set *object.Set) (object.Problems, error) {
	response, err := queryAny[CheckResponse](ctx, c, "/v1/check", SetRequest{Set: set})
	return response.Problems, err
}

// Diff returns the changes from the set in force to a set.
func (c *Client) Diff(ctx context.Context, set *object.Set) (DiffResponse, error) {
	return queryAny[DiffResponse](ctx, c, "/v1/diff", SetRequest{Set: set})
}

// DiffGenerations returns the changes between two generations.
func (c *Client) DiffGenerations(ctx context.Context, from, to uint64) (DiffResponse, error) {
	return getFromAny[DiffResponse](ctx, c, "/v1/diff?from="+formatGeneration(from)+"&to="+formatGeneration(to))
}

// Publish publishes a set that was made from generation base. The error wraps an
// *Error with CodeConflict when another generation is current, or CodeProblems
// when the set has problems; nothing was published then. It wraps
// ErrOutcomeUnknown when the set may or may not have been published.
func (c *Client) Publish(ctx context.Context, base uint64, set *object.Set) (PublishResponse, error) {
	return c.postChange(ctx, "/v1/publish", PublishRequest{Base: base, Set: set})
}

// PublishDelta publishes the set that results from applying a delta to
// generation base. It returns the errors of Publish.
func (c *Client) PublishDelta(ctx context.Context, base uint64, delta *object.Delta) (PublishResponse, error) {
	return c.postChange(ctx, "/v1/publish", PublishRequest{Base: base, Delta: delta})
}

// Revert publishes the content of an older generation if base is current. It
// returns the errors of Publish.
func (c *Client) Revert(ctx context.Context, base, generation uint64) (PublishResponse, error) {
	return c.postChange(ctx, "/v1/revert", RevertRequest{Base: base, Generation: generation})
}

// Drain sets the drain mark of a target, so that no new requests are sent to it.
func (c *Client) Drain(ctx context.Context, target string) (PublishResponse, error) {
	return c.postChange(ctx, "/v1/targets/"+url.PathEscape(target)+"/drain", struct{}{})
}

// Undrain clears the drain mark of a target.
func (c *Client) Undrain(ctx context.Context, target string) (PublishResponse, error) {
	return c.postChange(ctx, "/v1/targets/"+url.PathEscape(target)+"/undrain", struct{}{})
}

// Status returns the generation in force on each daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return getFromAny[Status](ctx, c, "/v1/status")
}

// Moves returns the progress of all moves.
func (c *Client) Moves(ctx context.Context) ([]MoveStatus, error) {
	return getFromAny[[]MoveStatus](ctx, c, "/v1/moves")
}

// Targets returns the state of all targets.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	return getFromAny[[]TargetStatus](ctx, c, "/v1/targets")
}

// Tiers returns the load of all tiers.
func (c *Client) Tiers(ctx context.Context) ([]TierStatus, error) {
	return getFromAny[[]TierStatus](ctx, c, "/v1/tiers")
}

// Accounts returns how much of their limits all client accounts use.
func (c *Client) Accounts(ctx context.Context) ([]AccountStatus, error) {
	return getFromAny[[]AccountStatus](ctx, c, "/v1/accounts")
}

// Version returns the name and version of the responding daemon.
func (c *Client) Version(ctx context.Context) (Version, error) {
	return getFromAny[Version](ctx, c, "/v1/version")
}

// WaitInForce polls the status until all reachable daemons have the generation
// or a later one. When the context ends first, it returns the last status, in
// which Behind lists the daemons below the generation, and the context's error.
// CodeUnauthorized ends the wait at once; other errors are retried.
func (c *Client) WaitInForce(ctx context.Context, generation uint64, interval time.Duration) (Status, error) {
	var last Status
	for {
		status, err := c.Status(ctx)
		if err == nil {
			last = recomputeBehind(status, generation)
			if len(last.Behind) == 0 && last.Generation >= generation {
				return last, nil
			}
		}
		var apiErr *Error
		if errors.As(err, &apiErr) && apiErr.Code == CodeUnauthorized {
			return last, err
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-time.After(interval):
		}
	}
}

// recomputeBehind returns the status with Behind limited to the reachable
// daemons below a generation. Otherwise a later publication would prolong a wait
// for this generation.
func recomputeBehind(status Status, generation uint64) Status {
	status.Behind = []string{}
	for _, d := range status.Daemons {
		if d.Reachable && d.Generation < generation {
			status.Behind = append(status.Behind, d.Name)
		}
	}
	return status
}

func formatGeneration(generation uint64) string {
	return strconv.FormatUint(generation, 10)
}

// getFromAny sends a GET request to the servers in order until one succeeds or
// refuses it.
func getFromAny[T any](ctx context.Context, c *Client, path string) (T, error) {
	var result T
	err := c.tryServers(func(server string) error {
		return c.callServer(ctx, http.MethodGet, server+path, nil, &result)
	})
	return result, err
}

// queryAny sends a POST request without side effects to the servers in order
// until one succeeds or refuses it.
func queryAny[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var result T
	data, err := json.Marshal(body)
	if err != nil {
		return result, fault.Wrap(err, "admin.encode", path)
	}
	err = c.tryServers(func(server string) error {
		return c.callServer(ctx, http.MethodPost, server+path, data, &result)
	})
	return result, err
}

// tryServers passes the servers to call in order until shouldTryNextServer is
// false for the error. When all servers have failed, it returns their errors.
func (c *Client) tryServers(call func(server string) error) error {
	var failures []error
	for _, server := range c.servers {
		err := call(server)
		if !shouldTryNextServer(err) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// shouldTryNextServer reports whether a call that failed on one server may
// succeed on another: no response, unavailable, unknown outcome or internal
// error. The other error codes are final.
func shouldTryNextServer(err error) bool {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == CodeUnavailable || apiErr.Code == CodeUnknown || apiErr.Code == CodeInternal
	}
	return err != nil
}

// postChange sends a change to the servers in order. Repeating a change is safe,
// since each is conditional on a generation or idempotent.
func (c *Client) postChange(ctx context.Context, path string, body any) (PublishResponse, error) {
	var response PublishResponse
	data, err := json.Marshal(body)
	if err != nil {
		return response, fault.Wrap(err, "admin.encode", path)
	}
	unknown := false
	err = c.tryServers(func(server string) error {
		err := c.callServer(ctx, http.MethodPost, server+path, data, &response)
		unknown = unknown || mayHaveTakenEffect(err)
		return err
	})
	if err == nil || !unknown {
		return response, err
	}
	return resolveUnknownOutcome(err)
}

// resolveUnknownOutcome returns the result of a change that may have taken
// effect on one of its tries. If err, from a later try, is a conflict, its details
// show whether the change was published or not. Without a conflict, or with one
// whose generations could not be read, the error wraps ErrOutcomeUnknown.
func resolveUnknownOutcome(err error) (PublishResponse, error) {
	var apiErr *Error
	if !errors.As(err, &apiErr) || apiErr.Conflict == nil {
		return PublishResponse{}, errors.Join(ErrOutcomeUnknown, err)
	}
	conflict := apiErr.Conflict
	switch {
	case conflict.Published != 0:
		return PublishResponse{Generation: conflict.Published, Digest: conflict.Digest}, nil
	case conflict.Unknown:
		return PublishResponse{}, errors.Join(ErrOutcomeUnknown, err)
	}
	return PublishResponse{}, err
}

// mayHaveTakenEffect reports whether a change that returned err may have taken
// effect. It has not when the server says so or could not be dialed.
func mayHaveTakenEffect(err error) bool {
	if err == nil {
		return false
	}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == CodeUnknown || apiErr.Code == CodeInternal
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}

// callServer sends one request to one server and decodes the JSON response into
// result. An error response of the API is returned as an error that wraps
// *Error.
func (c *Client) callServer(ctx context.Context, method, endpoint string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, "admin.call", endpoint)
	}
	request.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fault.Wrap(err, "admin.call", endpoint)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(err, "admin.read", endpoint)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, endpoint, data)
	}
	return fault.Wrap(json.Unmarshal(data, result), "admin.decode", endpoint)
}

// decodeError decodes an error response. A body that is not an Error comes from
// something other than the API, such as a proxy.
func decodeError(status int, endpoint string, data []byte) error {
	var apiErr Error
	if json.Unmarshal(data, &apiErr) == nil && apiErr.Code != "" {
		return fault.Wrap(&apiErr, "admin.call", endpoint)
	}
	return fault.New("admin.call", endpoint, "unexpected answer with status "+strconv.Itoa(status))
}
