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
	"github.com/marjoramflow/marjoramflow/upstream"
)

// Runner runs requests; entry.Entry implements it.
type Runner interface {
	Forward(ctx context.Context, r *entry.ForwardRequest, sink entry.ForwardSink) (entry.Trace, error)
}

// Limiter bounds client accounts.
type Limiter interface {
	// Allow takes one request of so many tokens; a positive wait refuses it.
	Allow(account string, tokens int) (wait time.Duration)
}

// Call is one request as an adapter read it.
type Call struct {
	ID string
	// Token is what the caller authenticates with; "" is none.
	Token string
	// Path is the path of URI without its query, as the caller encoded it.
	Method, URI, Path, Host string
	Header                  []upstream.Field
	Body                    []byte
	// TimeLeft is the time that the caller waits; 0 is not stated.
	TimeLeft time.Duration
	Size     Size
	Prefix   []uint64
	// ResumeAfter is the last event that the caller has, or entry.NoEvent.
	ResumeAfter int64
	Arrived     time.Time
}

// Size is the size of a generation in tokens.
type Size struct {
	// Stated says that the caller told the size.
	Stated         bool
	Prompt, Output int
	// Expected is the caller's estimate of the output; 0 is none.
	Expected int
}

// Config holds the parts of a Server. All are required.
type Config struct {
	// Ready is closed once the daemon can serve; nil is ready from the start.
	Ready <-chan struct{}
	// Index returns the configuration in force, or nil before the first.
	Index    func() *object.Index
	Runner   Runner
	Limiter  Limiter
	Recorder frontend.Recorder
	Logger   *eventlog.Logger
	// OpenRequests bounds the requests held at once; more are refused.
	OpenRequests int
}

// Server admits requests.
type Server struct {
	Config
	inFlight      atomic.Int64
	retryDetector callerRetryDetector
	stopping      atomic.Bool
}

// New returns a server.
func New(config Config) *Server {
	return &Server{Config: config, retryDetector: callerRetryDetector{longestTimeLeft: make(map[string]time.Duration)}}
}

// StopAccepting refuses every request from now on: the daemon ends soon, and others serve.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

const (
	// maxReadyWait and maxReadyWaitShare bound the wait of a request for the start of the daemon,
	// which takes a few hundred milliseconds: the caller's next attempt would meet
	// another daemon that starts.
	maxReadyWait      = time.Second
	maxReadyWaitShare = 0.25
	// notReadyRetryAfter is the hint before the first configuration, which takes about
	// a second to read.
	notReadyRetryAfter = time.Second
	// stoppingRetryAfter is the hint while the daemon stops; the balancer sends the next
	// attempt elsewhere.
	stoppingRetryAfter = 50 * time.Millisecond
	// overloadedRetryAfter is the hint when too many requests are open.
	overloadedRetryAfter = time.Second
)

// Run serves one call. It returns nil when a whole answer went to the sink, and a
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

// awaitReady holds a request that arrives while the daemon starts.
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

// admit finds out whose request it is, where it goes and whether it is within the
// account's limits.
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
	service := index.Service(ingress.Choose(rand.Float64()))
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
		Fingerprint:  fingerprint(c, caller),
		Arrived:      c.Arrived,
		Deadline:     c.Arrived.Add(ingress.Timeout),
		ResumeAfter:  c.ResumeAfter,
		CallerRetry:  s.retryDetector.observe(ingress.Name, c.TimeLeft),
	}
	if c.TimeLeft > 0 && c.TimeLeft < ingress.Timeout {
		request.Deadline = c.Arrived.Add(c.TimeLeft)
	}
	return request, s.checkRateLimit(c, caller)
}

// authenticate finds the account of a token. Lookups are by digest, so that their
// time does not depend on a token's content.
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

// checkRateLimit holds the account to its limits.
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

// expectedOutput is the expected output: the caller's estimate, or half of its bound.
func (s Size) expectedOutput() int {
	if s.Expected > 0 && (s.Output == 0 || s.Expected < s.Output) {
		return s.Expected
	}
	return (s.Output + 1) / 2
}

// fingerprint names the content of a request, for requests that crash targets.
func fingerprint(c *Call, caller entry.Caller) uint64 {
	digest := xxhash.New()
	if caller.Account != nil {
		_, _ = digest.WriteString(caller.Account.Name)
	}
	_, _ = digest.WriteString("\n" + c.Method + " " + c.Host + c.URI + "\n")
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}
