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
	// store's timeout plus the time to read back a lost answer.
	callTimeout = 15 * time.Second
	// dialTimeout is short, so that the next server is tried soon.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// ErrOutcomeUnknown is returned when a change was sent, no answer came, and no
// other server could tell whether it took effect.
var ErrOutcomeUnknown = errors.New("outcome unknown: the change may have taken effect; check with status and diff")

// Client calls the administration API. It tries its servers in turn: the next
// one when a server is not reached or cannot answer at the moment. It is safe
// for concurrent use.
type Client struct {
	servers []string
	token   settings.Secret
	http    *http.Client
}

// ClientOptions configure a client.
type ClientOptions struct {
	// Servers are base URLs or IP:port, which stands for http://IP:port.
	Servers []string
	Token   settings.Secret
	// TLS is used for https servers; nil takes the defaults.
	TLS *tls.Config
	// Transport replaces connections to the servers; nil dials them.
	Transport http.RoundTripper
}

// NewClient returns a client. It fails when no server is given or when one is
// not a URL.
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
		// A redirect could carry the token to another host.
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
	return read[Config](ctx, c, "/v1/set")
}

// Generation returns a generation.
func (c *Client) Generation(ctx context.Context, generation uint64) (Config, error) {
	return read[Config](ctx, c, "/v1/set?generation="+formatGeneration(generation))
}

// Objects returns the objects of a kind in force as JSON.
func (c *Client) Objects(ctx context.Context, kind object.Kind) (json.RawMessage, error) {
	return read[json.RawMessage](ctx, c, "/v1/objects/"+url.PathEscape(string(kind)))
}

// Object returns one object in force as JSON.
func (c *Client) Object(ctx context.Context, kind object.Kind, name string) (json.RawMessage, error) {
	return read[json.RawMessage](ctx, c, "/v1/objects/"+url.PathEscape(string(kind))+"/"+url.PathEscape(name))
}

// Check returns the problems of a set.
func (c *Client) Check(ctx context.Context, set *object.Set) (object.Problems, error) {
	answer, err := send[CheckResponse](ctx, c, "/v1/check", SetRequest{Set: set})
	return answer.Problems, err
}

// Diff returns the changes from the set in force to a set.
func (c *Client) Diff(ctx context.Context, set *object.Set) (DiffResponse, error) {
	return send[DiffResponse](ctx, c, "/v1/diff", SetRequest{Set: set})
}

// DiffGenerations returns the changes between two generations.
func (c *Client) DiffGenerations(ctx context.Context, from, to uint64) (DiffResponse, error) {
	return read[DiffResponse](ctx, c, "/v1/diff?from="+formatGeneration(from)+"&to="+formatGeneration(to))
}

// Publish publishes a set that was made from generation base. The error is an
// *Error with CodeConflict or CodeProblems when nothing was published for these
// reasons, or wraps ErrOutcomeUnknown.
func (c *Client) Publish(ctx context.Context, base uint64, set *object.Set) (PublishResponse, error) {
	return c.change(ctx, "/v1/publish", PublishRequest{Base: base, Set: set})
}

// PublishDelta publishes the set that a delta from generation base leads to.
// Errors are those of Publish.
func (c *Client) PublishDelta(ctx context.Context, base uint64, delta *object.Delta) (PublishResponse, error) {
	return c.change(ctx, "/v1/publish", PublishRequest{Base: base, Delta: delta})
}

// Revert publishes the content of an older generation. Errors are those of Publish.
func (c *Client) Revert(ctx context.Context, base, generation uint64) (PublishResponse, error) {
	return c.change(ctx, "/v1/revert", RevertRequest{Base: base, Generation: generation})
}

// Drain stops new work for a target.
func (c *Client) Drain(ctx context.Context, target string) (PublishResponse, error) {
	return c.change(ctx, "/v1/targets/"+url.PathEscape(target)+"/drain", struct{}{})
}

// Undrain permits new work for a target again.
func (c *Client) Undrain(ctx context.Context, target string) (PublishResponse, error) {
	return c.change(ctx, "/v1/targets/"+url.PathEscape(target)+"/undrain", struct{}{})
}

// Status returns the generations of all daemons.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return read[Status](ctx, c, "/v1/status")
}

// Moves returns the progress of all moves.
func (c *Client) Moves(ctx context.Context) ([]MoveStatus, error) {
	return read[[]MoveStatus](ctx, c, "/v1/moves")
}

// Targets returns the state of all targets.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	return read[[]TargetStatus](ctx, c, "/v1/targets")
}

// Tiers returns the load of all tiers.
func (c *Client) Tiers(ctx context.Context) ([]TierStatus, error) {
	return read[[]TierStatus](ctx, c, "/v1/tiers")
}

// Accounts returns the use of the limits of all client accounts.
func (c *Client) Accounts(ctx context.Context) ([]AccountStatus, error) {
	return read[[]AccountStatus](ctx, c, "/v1/accounts")
}

// Version returns what the daemon that answers runs.
func (c *Client) Version(ctx context.Context) (Version, error) {
	return read[Version](ctx, c, "/v1/version")
}

// WaitInForce polls the status until every reachable daemon has a generation or
// a later one. When the context ends first, it returns the last status, whose
// Behind holds the daemons without the generation, and the context's error.
func (c *Client) WaitInForce(ctx context.Context, generation uint64, poll time.Duration) (Status, error) {
	var last Status
	for {
		status, err := c.Status(ctx)
		if err == nil {
			last = behind(status, generation)
			if len(last.Behind) == 0 && last.Generation >= generation {
				return last, nil
			}
		}
		var answer *Error
		if errors.As(err, &answer) && answer.Code == CodeUnauthorized {
			return last, err
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-time.After(poll):
		}
	}
}

// behind limits the daemons that count as behind to those below a generation:
// a later publication must not make the wait fail.
func behind(status Status, generation uint64) Status {
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

// read gets a path from the first server that answers.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	err := c.any(func(server string) error {
		return c.call(ctx, http.MethodGet, server+path, nil, &answer)
	})
	return answer, err
}

// send posts a body that changes nothing to the first server that answers.
func send[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var answer T
	data, err := json.Marshal(body)
	if err != nil {
		return answer, fault.Wrap(err, "admin.encode", path)
	}
	err = c.any(func(server string) error {
		return c.call(ctx, http.MethodPost, server+path, data, &answer)
	})
	return answer, err
}

// any calls the servers in turn until one answers or all have failed.
func (c *Client) any(call func(server string) error) error {
	var failures []error
	for _, server := range c.servers {
		err := call(server)
		if !triesNext(err) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// triesNext reports whether another server may answer better.
func triesNext(err error) bool {
	var answer *Error
	if errors.As(err, &answer) {
		return answer.Code == CodeUnavailable || answer.Code == CodeUnknown || answer.Code == CodeInternal
	}
	return err != nil
}

// change posts a change to the servers in turn. Trying again is safe, since all
// changes are conditional on a generation or have the same effect twice.
func (c *Client) change(ctx context.Context, path string, body any) (PublishResponse, error) {
	var answer PublishResponse
	data, err := json.Marshal(body)
	if err != nil {
		return answer, fault.Wrap(err, "admin.encode", path)
	}
	unknown := false
	err = c.any(func(server string) error {
		err := c.call(ctx, http.MethodPost, server+path, data, &answer)
		unknown = unknown || mayHaveTakenEffect(err)
		return err
	})
	if err == nil || !unknown {
		return answer, err
	}
	return resolve(err)
}

// resolve decides about a change with an unknown outcome from the error of a
// later try.
func resolve(err error) (PublishResponse, error) {
	var refused *Error
	if !errors.As(err, &refused) || refused.Conflict == nil {
		return PublishResponse{}, errors.Join(ErrOutcomeUnknown, err)
	}
	conflict := refused.Conflict
	switch {
	case conflict.Published != 0:
		return PublishResponse{Generation: conflict.Published, Digest: conflict.Digest}, nil
	case conflict.Unknown:
		return PublishResponse{}, errors.Join(ErrOutcomeUnknown, err)
	}
	return PublishResponse{}, err
}

// mayHaveTakenEffect reports whether a failed change may still have happened.
// It did not when the server said so or was never reached.
func mayHaveTakenEffect(err error) bool {
	if err == nil {
		return false
	}
	var answer *Error
	if errors.As(err, &answer) {
		return answer.Code == CodeUnknown || answer.Code == CodeInternal
	}
	var operation *net.OpError
	return !errors.As(err, &operation) || operation.Op != "dial"
}

// call makes one call to one server.
func (c *Client) call(ctx context.Context, method, address string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, "admin.call", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fault.Wrap(err, "admin.call", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(err, "admin.read", address)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, address, data)
	}
	return fault.Wrap(json.Unmarshal(data, answer), "admin.decode", address)
}

// decodeError reads an error answer. An answer of another form comes from
// something else than the API, such as a proxy.
func decodeError(status int, address string, data []byte) error {
	var answer Error
	if json.Unmarshal(data, &answer) == nil && answer.Code != "" {
		return fault.Wrap(&answer, "admin.call", address)
	}
	return fault.New("admin.call", address, "unexpected answer with status "+strconv.Itoa(status))
}
