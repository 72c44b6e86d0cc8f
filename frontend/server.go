package frontend

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

// RequestIDHeader carries the caller's request id; a new id is generated when it is absent
// or invalid.
const RequestIDHeader = "X-Request-Id"

// maxRequestID bounds the length of a caller's request id in bytes.
const maxRequestID = 128

// Runner runs requests; *entry.Runner implements it.
type Runner interface {
	Chat(ctx context.Context, r *entry.ChatRequest, sink entry.Sink) error
	Plain(ctx context.Context, r *entry.PlainRequest) (*PlainAnswer, error)
}

// Limiter enforces the rate limits of client accounts.
type Limiter interface {
	// Allow charges one request with the given number of tokens to the account. A
	// positive wait means that the request is refused and may be retried after it.
	Allow(account string, tokens int) (wait time.Duration)
}

// OutputPredictor predicts the length of an answer in tokens.
type OutputPredictor interface {
	// OutputTokens returns the expected number of tokens of an answer that is bounded by
	// maxTokens.
	OutputTokens(account, service string, maxTokens int) int
	// ObserveOutput updates the prediction with the observed length of an answer that
	// was bounded by maxTokens.
	ObserveOutput(account, service string, maxTokens, tokens int)
}

// Recorder receives the measurements of requests.
type Recorder interface {
	RecordRequest(m Measurement)
	// RecordTokenGap records the time between two tokens of an answer.
	RecordTokenGap(tier, account, service string, gap time.Duration)
}

// Measurement describes one finished request. FirstToken is the time from its arrival to the
// first token, 0 without one; Total is the time from its arrival to its end.
type Measurement struct {
	Tier, Account, Service string
	// Outcome is "ok" or the code of the refusal.
	Outcome    string
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Config holds the dependencies and limits of a Server. All fields are required.
type Config struct {
	Limits          settings.Limits
	Runner          Runner
	Limiter         Limiter
	OutputPredictor OutputPredictor
	Recorder        Recorder
	Logger          *eventlog.Logger
	// Index returns the configuration in force, or nil before the first one is read.
	Index func() *object.Index
	// Callers maps the digests of the tokens in the settings to client account names.
	Callers map[[sha256.Size]byte]string
	// Ready answers the readiness probe of the load balancer. Requests are accepted even
	// while it returns false, since the load balancer reacts with a delay.
	Ready func() bool
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	Config
	http     *http.Server
	inFlight atomic.Int64
}

// New returns a server that is not yet listening.
func New(config Config) *Server {
	s := &Server{Config: config}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.handleReady)
	e.Any("/*", s.handle)
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: config.Limits.HeaderTimeout,
		ReadTimeout:       config.Limits.IdleTimeout,
		IdleTimeout:       config.Limits.IdleTimeout,
		MaxHeaderBytes:    config.Limits.HeaderBytes,
	}
	return s
}

// Serve accepts connections on listener until Shutdown is called; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, "frontend.serve", listener.Addr().String())
}

// Shutdown stops accepting connections and waits until the requests in flight have ended or
// the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return fault.Wrap(s.http.Shutdown(ctx), "frontend.shutdown", "")
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

func (s *Server) handleReady(c echo.Context) error {
	if s.Ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

// handle serves one call, or refuses it when too many requests are in flight.
func (s *Server) handle(c echo.Context) error {
	id := requestID(c.Request())
	c.Response().Header().Set(RequestIDHeader, id)
	if s.inFlight.Add(1) > int64(s.Limits.OpenRequests) {
		s.inFlight.Add(-1)
		return refuse(c, id, entry.Refuse(http.StatusServiceUnavailable, entry.CodeOverloaded, "too many open requests on this daemon"))
	}
	defer s.inFlight.Add(-1)
	if err := s.serve(c, id); err != nil {
		return refuse(c, id, entry.AsRefusal(err))
	}
	return nil
}

// serve authenticates a call, finds its service and runs it.
func (s *Server) serve(c echo.Context, id string) error {
	index := s.Index()
	if index == nil {
		refusal := entry.Refuse(http.StatusServiceUnavailable, entry.CodeNotReady, "the daemon has no configuration yet")
		refusal.RetryAfter = time.Second
		return refusal
	}
	caller, err := s.authenticate(index, c.Request())
	if err != nil {
		return err
	}
	matches := index.MatchRoutes(c.Request().Method, c.Request().URL.Path)
	if len(matches) == 0 {
		return entry.Refuse(http.StatusNotFound, entry.CodeNotFound, "no service has this method and path")
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	call := &call{server: s, echo: c, id: id, index: index, caller: caller, body: body, started: time.Now()}
	if matches[0].Service.Kind == object.ModelService {
		return call.runChat(matches)
	}
	return call.runPlain(matches[0])
}

// authenticate finds the client account of the bearer token. The lookup is by digest, so
// that its duration does not depend on the content of the token.
func (s *Server) authenticate(index *object.Index, r *http.Request) (entry.Caller, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return entry.Caller{}, entry.Refuse(http.StatusUnauthorized, entry.CodeUnauthorized, "a bearer token is required")
	}
	digest := sha256.Sum256([]byte(token))
	account := index.AccountByDigest(digest)
	if account == nil {
		account = index.ClientAccount(s.Callers[digest])
	}
	if account == nil {
		return entry.Caller{}, entry.Refuse(http.StatusUnauthorized, entry.CodeUnauthorized, "the token belongs to no client account")
	}
	return entry.Caller{Account: account, Tier: index.TierOf(account)}, nil
}

// readBody reads the body; it may not exceed the limit of the settings.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	r := c.Request()
	body, err := readAll(http.MaxBytesReader(c.Response(), r.Body, s.Limits.BodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, entry.Refuse(http.StatusRequestEntityTooLarge, entry.CodeTooLarge, "the body exceeds the limit")
	}
	if err != nil {
		return nil, entry.Refuse(http.StatusBadRequest, entry.CodeBadRequest, "the body could not be read")
	}
	return body, nil
}

// requestID returns the caller's request id if it is printable ASCII of at most maxRequestID
// bytes, and a new id otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, notPrintable) {
		return uuid.NewString()
	}
	return id
}

func notPrintable(r rune) bool {
	return r < '!' || r > '~'
}
