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
	// maxBodyBytes bounds a request body. A set of 7,800 targets and 800 client
	// accounts has 1.6 MB.
	maxBodyBytes = 32 << 20
	// readHeaderTimeout bounds the time to read the headers of a request,
	// readTimeout the time to read all of it.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout bounds the time from the end of the request's headers to the
	// end of the response.
	writeTimeout = 90 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// shutdownTimeout bounds the time that Serve waits for requests in flight
	// when its context ends.
	shutdownTimeout = 30 * time.Second
	// operatorKey is the key of the operator's name in an echo.Context.
	operatorKey = "operator"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Daemon is the name of the daemon; Version is the version of its binary.
	Daemon  string
	Version string
	Backend Backend
	// Operators holds the bearer token of each operator by name. If it is empty,
	// every request that needs a token is refused.
	Operators map[string]settings.Secret
	// Log receives the audit events; nil discards them.
	Log *eventlog.Logger
	// Metrics is included in the response of /debug/vars; it may be nil.
	Metrics *metrics.Registry
	// Now is the clock that deadlines of moves are checked against; nil means
	// time.Now.
	Now func() time.Time
}

// Server serves the administration API. It is safe for concurrent use.
type Server struct {
	options   ServerOptions
	operators []operator
	echo      *echo.Echo
}

// operator holds an operator's name and the digest of the token. Digests are
// compared because that takes equal time for tokens of any length.
type operator struct {
	name   string
	digest [sha256.Size]byte
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
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
	s.registerRoutes()
	return s
}

func (s *Server) registerRoutes() {
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.ready)

	authenticated := s.echo.Group("", s.authenticate, limitBody)
	authenticated.GET("/debug/vars", s.debugVars)
	authenticated.GET("/v1/version", s.version)
	authenticated.GET("/v1/set", s.getSet)
	authenticated.GET("/v1/objects/:kind", s.listObjects)
	authenticated.GET("/v1/objects/:kind/:name", s.getObject)
	authenticated.POST("/v1/check", s.check)
	authenticated.POST("/v1/diff", s.diffSet)
	authenticated.GET("/v1/diff", s.diffGenerations)
	authenticated.POST("/v1/publish", s.publish)
	authenticated.POST("/v1/revert", s.revert)
	authenticated.POST("/v1/targets/:name/drain", s.drain)
	authenticated.POST("/v1/targets/:name/undrain", s.undrain)
	authenticated.GET("/v1/status", s.status)
	authenticated.GET("/v1/moves", listHandler(s.options.Backend.Moves))
	authenticated.GET("/v1/targets", listHandler(s.options.Backend.Targets))
	authenticated.GET("/v1/tiers", listHandler(s.options.Backend.Tiers))
	authenticated.GET("/v1/accounts", listHandler(s.options.Backend.Accounts))
}

// Handler returns the API as an HTTP handler.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// Serve serves the API on a listener until the context ends. Then it waits up to
// shutdownTimeout for requests in flight, and returns an error if that is not
// enough. It closes the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	shutdownErr := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		cancelShutdown()
		return fault.Wrap(err, "admin.serve", l.Addr().String())
	}
	return fault.Wrap(<-shutdownErr, "admin.stop", l.Addr().String())
}

// limitBody limits the size of request bodies to maxBodyBytes.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes)
		return next(c)
	}
}

// authenticate refuses requests without the bearer token of an operator and
// stores the operator's name under operatorKey.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		name, ok := s.operatorByToken(token)
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

// operatorByToken returns the name of the operator with a token. It compares the
// token with those of all operators in constant time.
func (s *Server) operatorByToken(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range s.operators {
		if subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1 {
			name, found = o.name, true
		}
	}
	return name, found && token != ""
}

// writeError writes err as an error response, unless the response has already
// been started.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	apiErr := toError(err)
	_ = c.JSON(httpStatuses[apiErr.Code], apiErr)
}

// toError converts any error to an error response.
func toError(err error) *Error {
	var apiErr *Error
	var echoErr *echo.HTTPError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &tooLarge):
		return newError(CodeInvalid, "the request has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, ErrNoGeneration):
		return newError(CodeNotFound, "%v", err)
	case errors.Is(err, provider.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return newError(CodeUnknown, "%v", err)
	case errors.Is(err, provider.ErrUnavailable):
		return newError(CodeUnavailable, "%v", err)
	case errors.As(err, &echoErr) && echoErr.Code < http.StatusInternalServerError:
		return newError(codeForStatus(echoErr.Code), "%v", echoErr.Message)
	}
	return newError(CodeInternal, "%v", err)
}

// codeForStatus returns the code for a 4xx status set by echo.
func codeForStatus(status int) Code {
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return CodeNotFound
	}
	return CodeInvalid
}

func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready reports the readiness of the daemon. It needs no token, so the response
// does not state the reason when the daemon is not ready.
func (s *Server) ready(c echo.Context) error {
	if err := s.options.Backend.Ready(c.Request().Context()); err != nil {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) version(c echo.Context) error {
	return c.JSON(http.StatusOK, Version{Daemon: s.options.Daemon, Version: s.options.Version})
}

// debugVars writes all expvar variables and the daemon's metrics as one JSON
// object.
func (s *Server) debugVars(c echo.Context) error {
	var all expvar.Map
	expvar.Do(func(kv expvar.KeyValue) { all.Set(kv.Key, kv.Value) })
	if s.options.Metrics != nil {
		all.Set("marjoram", s.options.Metrics)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(all.String()))
}
