package ingress

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/frontend"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/residency"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// Runner runs requests; *entry.Runner implements it.
type Runner interface {
	Forward(ctx context.Context, r *entry.ForwardRequest, sink entry.ForwardSink) (entry.Trace, error)
}

// Limiter enforces the rate limits of client accounts.
type Limiter interface {
	// Allow charges one request with the given number of tokens to the account. A
	// positive wait means that the request is refused and may be retried after it.
	Allow(account string, tokens int) (wait time.Duration)
}

// Call is one request as read by an adapter.
type Call struct {
	ID string
	// Token authenticates the caller; "" means that there is none.
	Token string
	// Path is the path of URI without its query, as the caller encoded it.
	Method, URI, Path, Host string
	Header                  []upstream.Field
	Body                    []byte
	// TimeLeft is the time that the caller still waits; 0 means not stated.
	TimeLeft time.Duration
	Size     Size
	Prefix   []uint64
	// SharedParts are the ids of the parts of the prompt that other requests may hold too.
	SharedParts []uint64
	// ResumeAfter is the number of the last event that the caller has, or entry.NoEvent.
	ResumeAfter int64
	Arrived     time.Time
}

// Size is the size of a model call in tokens. Output is the caller's bound on the answer.
type Size struct {
	// Stated is set when the caller stated the size.
	Stated         bool
	Prompt, Output int
	// Expected is the caller's estimate of the output; 0 means none.
	Expected int
}

// Config holds the dependencies and limits of a Server. All but Ready are required.
type Config struct {
	// Ready is closed once the daemon can serve; nil means ready from the start.
	Ready <-chan struct{}
	// Index returns the configuration in force, or nil before the first one is read.
	Index    func() *object.Index
	Runner   Runner
	Limiter  Limiter
	Recorder frontend.Recorder
	Logger   *eventlog.Logger
	// OpenRequests bounds the requests in flight at once; further ones are refused.
	OpenRequests int
}

// Server admits requests and passes them to the Runner. It is safe for concurrent use.
type Server struct {
	Config
	inFlight atomic.Int64
	stopping atomic.Bool
	// restricted and restrictedRefused count the requests that only some regions may serve,
	// and those of them that were refused.
	restricted, restrictedRefused atomic.Uint64
}

// New returns a Server.
func New(config Config) *Server {
	return &Server{Config: config}
}

// Stats holds totals since the server was created.
type Stats struct {
	// Restricted counts the requests that only some regions may serve, RestrictedRefused
	// those of them that got no target.
	Restricted, RestrictedRefused uint64
}

// Stats returns a copy of the totals.
func (s *Server) Stats() Stats {
	return Stats{Restricted: s.restricted.Load(), RestrictedRefused: s.restrictedRefused.Load()}
}

// StopAccepting makes the server refuse every new request, because the daemon is about to
// stop. Requests in flight continue.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

const (
	// maxReadyWait, and maxReadyWaitShare of the caller's time, bound the wait of a request
	// until the daemon has started, which takes a few hundred milliseconds. The request is
	// not refused at once, since the caller's retry would reach another daemon that is
	// starting too.
	maxReadyWait      = time.Second
	maxReadyWaitShare = 0.25
	// notReadyRetryAfter is the Retry-After hint before the first configuration, which
	// takes about a second to read.
	notReadyRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After hint while the daemon stops; the load balancer
	// in front sends the next attempt to another daemon.
	stoppingRetryAfter = 50 * time.Millisecond
	// overloadedRetryAfter is the Retry-After hint when too many requests are open.
	overloadedRetryAfter = time.Second
)

// Run serves one call. It returns nil when a complete answer was sent to the sink, and a
// *entry.Refusal otherwise.
func (s *Server) Run(ctx context.Context, c *Call, sink entry.ForwardSink) error {
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.OpenRequests) {
		return s.recordRefusal(c, nil, refuseLater(http.StatusServiceUnavailable, entry.CodeOverloaded, "too many open requests on this daemon", overloadedRetryAfter))
	}
	if s.stopping.Load() {
		return s.recordRefusal(c, nil, refuseLater(http.StatusServiceUnavailable, entry.CodeShuttingDown, "the daemon is stopping", stoppingRetryAfter))
	}
	s.awaitReady(ctx, c)
	request, refusal := s.admit(c)
	if refusal != nil {
		return s.recordRefusal(c, request, refusal)
	}
	measured := &measuredSink{ForwardSink: sink, arrived: c.Arrived}
	trace, err := s.Runner.Forward(ctx, request, measured)
	s.recordResult(request, measured, &trace, err)
	return err
}

// awaitReady blocks until the daemon is ready, the allowed wait is over, or the context
// ends.
func (s *Server) awaitReady(ctx context.Context, c *Call) {
	if s.Ready == nil {
		return
	}
	wait := maxReadyWait
	if c.TimeLeft > 0 {
		wait = min(wait, time.Duration(maxReadyWaitShare*float64(c.TimeLeft)))
	}
	ctxtime.WaitClosed(ctx, s.Ready, wait)
}

func refuseLater(status int, code entry.Code, message string, retryAfter time.Duration) *entry.Refusal {
	refusal := entry.Refuse(status, code, message)
	refusal.RetryAfter = retryAfter
	return refusal
}

// admit finds the ingress, caller and service of a call, builds the request, and checks the
// rate limits of the account. If the rate limits refuse the call, it returns the request too;
// with any other refusal, the request is nil.
func (s *Server) admit(c *Call) (*entry.ForwardRequest, *entry.Refusal) {
	index := s.Index()
	if index == nil {
		return nil, refuseLater(http.StatusServiceUnavailable, entry.CodeNotReady, "the daemon has no configuration yet", notReadyRetryAfter)
	}
	ingress := index.MatchIngress(c.Host, c.Path)
	if ingress == nil {
		return nil, entry.Refuse(http.StatusNotFound, entry.CodeNotFound, "no ingress has this host and path")
	}
	caller, refusal := authenticate(index, ingress, c.Token)
	if refusal != nil {
		return nil, refusal
	}
	service := index.Service(ingress.ChooseService(rand.Float64()))
	request := &entry.ForwardRequest{
		ID:           c.ID,
		Caller:       caller,
		Rank:         index.Precedence(caller.Account, ingress),
		Ingress:      ingress,
		Service:      service,
		Method:       c.Method,
		URI:          c.URI,
		Host:         c.Host,
		Header:       c.Header,
		Body:         c.Body,
		PromptTokens: c.Size.Prompt,
		OutputTokens: c.Size.expectedOutput(),
		Prefix:       c.Prefix,
		SharedParts:  c.SharedParts,
		Fingerprint:  fingerprint(c, caller),
		Arrived:      c.Arrived,
		Deadline:     c.Arrived.Add(ingress.Timeout),
		ResumeAfter:  c.ResumeAfter,
		Regions:      func() residency.Regions { return s.permittedRegions(ingress, caller.Account) },
	}
	if c.TimeLeft > 0 && c.TimeLeft < ingress.Timeout {
		request.Deadline = c.Arrived.Add(c.TimeLeft)
	}
	return request, s.checkRateLimit(c, caller)
}

// permittedRegions returns the regions that may serve the requests of an ingress and an account,
// which may be nil, by the configuration in force. An object that the configuration no longer
// has keeps its last restriction.
func (s *Server) permittedRegions(ingress *object.Ingress, account *object.ClientAccount) residency.Regions {
	index := s.Index()
	if current := index.Ingress(ingress.Name); current != nil {
		ingress = current
	}
	if account == nil {
		return residency.Permit(ingress.AllowedRegions)
	}
	if current := index.ClientAccount(account.Name); current != nil {
		account = current
	}
	return residency.Permit(ingress.AllowedRegions, account.AllowedRegions)
}

// authenticate finds the account of a token. The lookup is by digest, so that its
// duration does not depend on the content of the token.
func authenticate(index *object.Index, ingress *object.Ingress, token string) (entry.Caller, *entry.Refusal) {
	caller := entry.Caller{Tier: index.Tier(ingress.Tier)}
	if token != "" {
		caller.Account = index.AccountByDigest(sha256.Sum256([]byte(token)))
	}
	if caller.Account == nil && !ingress.Public {
		return caller, entry.Refuse(http.StatusUnauthorized, entry.CodeUnauthorized, "the token belongs to no client account")
	}
	if caller.Account != nil && caller.Account.Tier != "" {
		caller.Tier = index.TierOf(caller.Account)
	}
	return caller, nil
}

// checkRateLimit returns a refusal when the account has exceeded its rate limits.
func (s *Server) checkRateLimit(c *Call, caller entry.Caller) *entry.Refusal {
	if caller.Account == nil {
		return nil
	}
	tokens := caller.Account.TokensPerCall
	if c.Size.Stated {
		tokens = c.Size.Prompt + c.Size.Output
	}
	wait := s.Limiter.Allow(caller.Account.Name, tokens)
	if wait <= 0 {
		return nil
	}
	return refuseLater(http.StatusTooManyRequests, entry.CodeRateLimited, "the client account is over its limit", wait)
}

// expectedOutput returns the expected number of output tokens: the caller's estimate, or half
// of the caller's bound when there is no estimate below it.
func (s Size) expectedOutput() int {
	if s.Expected > 0 && (s.Output == 0 || s.Expected < s.Output) {
		return s.Expected
	}
	return (s.Output + 1) / 2
}

// fingerprint returns a hash of the account and content of a request, by which requests that
// crash targets are recognized.
func fingerprint(c *Call, caller entry.Caller) uint64 {
	digest := xxhash.New()
	if caller.Account != nil {
		_, _ = digest.WriteString(caller.Account.Name)
	}
	_, _ = digest.WriteString("\n" + c.Method + " " + c.Host + c.URI + "\n")
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}
