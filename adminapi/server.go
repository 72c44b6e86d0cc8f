package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/settings"
)

const (
	// maxBodyBytes bounds a request. A set of 7,800 targets and 800
	// accounts has 1.6 MB.
	maxBodyBytes = 32 << 20
	// headerTimeout and bodyTimeout bound the time to read a request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	// answerTimeout bounds a call from its headers to the end of the answer.
	answerTimeout = 90 * time.Second
	// idleTimeout closes idle connections.
	idleTimeout = 60 * time.Second
	// stopTimeout bounds the time that Serve waits for requests in flight.
	stopTimeout = 30 * time.Second
	// operatorKey is the key of the operator's name in a request's context.
	operatorKey = "operator"
)

// Options configure a server.
type Options struct {
	// Daemon is the name of the daemon; Version is the version of its binary.
	Daemon  string
	Version string
	Backend Backend
	// Operators holds the bearer token of each operator. Without operators every
	// request that needs a token is refused.
	Operators map[string]settings.Secret
	// Log receives the audit events; nil discards them.
	Log *eventlog.Logger
	// Metrics is shown at /debug/vars; it may be nil.
	Metrics *metrics.Registry
	// Now is the clock for deadlines of moves; nil is time.Now.
	Now func() time.Time
}

// Server answers the administration API. It is safe for concurrent use.
type Server struct {
	options   Options
	operators []operator
	echo      *echo.Echo
}

// operator holds the digest of a token, so that comparisons take equal time for
// tokens of any length.
type operator struct {
	name   string
	digest [sha256.Size]byte
}

// New returns a server.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{options: o, echo: echo.New()}
	for name, token := range o.Operators {
		s.operators = append(s.operators, operator{name, sha256.Sum256([]byte(token.Reveal()))})
	}
	s.echo.HTTPErrorHandler = s.writeError
	s.routes()
	return s
}

func (s *Server) routes() {
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.ready)

	private := s.echo.Group("", s.authenticate, limitBody)
	private.GET("/debug/vars", s.variables)
	private.GET("/v1/version", s.version)
	private.GET("/v1/set", s.getSet)
	private.GET("/v1/objects/:kind", s.listObjects)
	private.GET("/v1/objects/:kind/:name", s.getObject)
	private.POST("/v1/check", s.check)
	private.POST("/v1/diff", s.diffSet)
	private.GET("/v1/diff", s.diffGenerations)
	private.POST("/v1/publish", s.publish)
	private.POST("/v1/revert", s.revert)
	private.POST("/v1/targets/:name/drain", s.drain)
	private.POST("/v1/targets/:name/undrain", s.undrain)
	private.GET("/v1/status", s.status)
	private.GET("/v1/moves", list(s.options.Backend.Moves))
	private.GET("/v1/targets", list(s.options.Backend.Targets))
	private.GET("/v1/tiers", list(s.options.Backend.Tiers))
	private.GET("/v1/accounts", list(s.options.Backend.Accounts))
}

// Handler returns the API as an HTTP handler.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// Serve answers on a listener until the context ends; requests in flight are
// then finished within a bound. It closes the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(bounded)
	})
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return fault.Wrap(err, "admin.serve", l.Addr().String())
	}
	return fault.Wrap(<-stopped, "admin.stop", l.Addr().String())
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes)
		return next(c)
	}
}

// authenticate requires the token of an operator.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		name, ok := s.operatorOf(token)
		if !strings.EqualFold(scheme, "Bearer") || !ok {
			s.options.Log.Emit(eventlog.OperatorRefused, eventlog.Fields{
				"address": c.Request().RemoteAddr,
				"method":  c.Request().Method,
				"path":    c.Path(),
			})
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return newError(CodeUnauthorized, "the operator's token is missing or wrong")
		}
		c.Set(operatorKey, name)
		return next(c)
	}
}

// operatorOf returns the operator of a token. It compares with every operator
// in constant time.
func (s *Server) operatorOf(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range s.operators {
		if subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1 {
			name, found = o.name, true
		}
	}
	return name, found && token != ""
}

// writeError answers with an Error.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	answer := toError(err)
	_ = c.JSON(statuses[answer.Code], answer)
}

// toError turns any error into an error answer.
func toError(err error) *Error {
	var answer *Error
	var byEcho *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &answer):
		return answer
	case errors.As(err, &tooLarge):
		return newError(CodeInvalid, "the request has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, ErrNoGeneration):
		return newError(CodeNotFound, "%v", err)
	case errors.Is(err, provider.ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		return newError(CodeUnknown, "%v", err)
	case errors.Is(err, provider.ErrUnavailable):
		return newError(CodeUnavailable, "%v", err)
	case errors.As(err, &byEcho) && byEcho.Code < http.StatusInternalServerError:
		return newError(codeOf(byEcho.Code), "%v", byEcho.Message)
	}
	return newError(CodeInternal, "%v", err)
}

func codeOf(status int) Code {
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return CodeNotFound
	}
	return CodeInvalid
}

func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready answers without authentication, so it does not state the reason.
func (s *Server) ready(c echo.Context) error {
	if err := s.options.Backend.Ready(c.Request().Context()); err != nil {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) version(c echo.Context) error {
	return c.JSON(http.StatusOK, Version{Daemon: s.options.Daemon, Version: s.options.Version})
}

// variables writes all expvar variables and the daemon's metrics as one JSON object.
func (s *Server) variables(c echo.Context) error {
	var all expvar.Map
	expvar.Do(func(kv expvar.KeyValue) { all.Set(kv.Key, kv.Value) })
	if s.options.Metrics != nil {
		all.Set("marjoram", s.options.Metrics)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(all.String()))
}
