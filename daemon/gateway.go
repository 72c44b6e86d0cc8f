package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/ingress"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/internal/members"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/internal/owners"
	"github.com/marjoramflow/marjoramflow/internal/pollers"
	"github.com/marjoramflow/marjoramflow/internal/quarantinesync"
	"github.com/marjoramflow/marjoramflow/internal/quota"
	"github.com/marjoramflow/marjoramflow/internal/reachability"
	"github.com/marjoramflow/marjoramflow/internal/roster"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/platform"
	"github.com/marjoramflow/marjoramflow/rollout"
	"github.com/marjoramflow/marjoramflow/settings"
	"github.com/marjoramflow/marjoramflow/store"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// Gateway is a daemon on a platform that holds the configuration, the registry of
// targets and everything that must last. It shares the scheduling with Daemon: the
// mesh, the owners of target groups and the entry.
type Gateway struct {
	path        string
	log         *eventlog.Async
	settings    *settings.Settings
	logger      *eventlog.Logger
	incarnation uint64

	store    *platform.Store
	table    *store.Client
	pool     *upstream.Pool
	targets  *platform.Forwarder
	watcher  *catalog.Watcher
	pollers  *pollers.Relay
	roster   *roster.Roster
	places   *places
	startup  *startup
	shares   *rollout.Shares
	moves    *moves.Manager
	orders   *orders
	retries  *retries
	mesh     *peer.Mesh
	members  *members.Manager
	owners   *owners.Manager
	grants   *grants.Client
	suspects *quarantinesync.Syncer
	leases   *quota.Limiter
	reach    *reachability.Checker
	link     link
	metrics  *metrics.Registry
	lengths  *lengths
	entry    *entry.Runner
	ingress  *ingress.Server
	front    *platform.Server

	// limitsInForce bound what callers may send.
	limitsInForce atomic.Pointer[catalog.CallerLimits]
	generation    atomic.Uint64
	callers       net.Listener
	probes        net.Listener
	exposed       net.Listener
	stopping      atomic.Bool
}

// defaultCallerLimits apply before the first manifest.
var defaultCallerLimits = catalog.CallerLimits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// idleFactor stretches the idle timeout that callers know, so that their next
// request does not cross the daemon's close.
const idleFactor = 2

// memoryShare is the part of the process's memory at which the garbage collector
// works harder; the rest is for sockets and stacks.
const memoryShare = 0.5

// NewGateway opens the listeners and puts the parts together. Nothing runs before
// Run.
func NewGateway(s *settings.Settings, logger *eventlog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Gateway.MemoryMB) * memoryShare * (1 << 20)))
	g := &Gateway{
		settings:    s,
		logger:      logger,
		incarnation: uint64(time.Now().UnixMilli()),
		pool:        upstream.NewPool(upstream.Options{}),
		places:      newPlaces(s.DataCentre, s.Region),
		startup:     newStartup(),
		shares:      rollout.NewShares(),
		metrics:     metrics.New(metrics.DefaultLimits),
		lengths:     &lengths{model: estimate.New()},
	}
	g.limitsInForce.Store(&defaultCallerLimits)
	g.openStore()
	if err := g.openMesh(); err != nil {
		return nil, err
	}
	g.buildScheduling()
	g.buildFront()
	return g, g.listen()
}

// Reload implements Runner.
func (g *Gateway) Reload() {
	reload(g.path, g.settings, g.logger)
}

// Run starts the duties and serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	duties, cancelDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelDuties()
	group, groupCtx := errgroup.WithContext(duties)
	stopLog := startLog(g.log, g.logger)
	defer stopLog()
	for _, duty := range g.duties() {
		group.Go(func() error {
			err := duty(groupCtx)
			if err != nil {
				g.logger.EmitError(eventlog.DutyFailed, err, nil)
			}
			return err
		})
	}
	g.logger.Emit(eventlog.DaemonStarted, eventlog.Fields{
		"callers":    g.settings.Listen.Callers,
		"peers":      g.settings.Listen.Peers,
		"dataCentre": g.settings.DataCentre,
	})
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := g.stop(ctx)
	cancelDuties()
	err := group.Wait()
	g.logger.Emit(eventlog.DaemonStopped, nil)
	if err == nil {
		err = stopErr
	}
	return err
}

// duties are the goroutines of the daemon.
func (g *Gateway) duties() []func(context.Context) error {
	return []func(context.Context) error{
		g.mesh.Run,
		g.members.Run,
		g.members.RunVMList,
		g.roster.Run,
		g.watcher.RunOperator,
		g.watcher.RunRegistry,
		g.pollers.Run,
		g.owners.Run,
		g.grants.Run,
		g.suspects.Run,
		g.leases.Run,
		g.reach.Run,
		g.moves.Run,
		g.orders.run,
		g.pool.Run,
		g.startup.run,
		func(context.Context) error { return g.front.Serve(g.callers) },
		func(ctx context.Context) error { return serve(ctx, g.probes, g.probeHandler()) },
		func(ctx context.Context) error { return serve(ctx, g.exposed, g.metricsHandler()) },
	}
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultCallerLimits.HeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fault.Wrap(err, "gateway.serve", listener.Addr().String())
}

func (g *Gateway) probeHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(g.metrics.String()))
	})
}

// ready is the answer to the balancer.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.startup.done()
}

const (
	// stopMargin is left of the grace for the end of the process itself.
	stopMargin = 700 * time.Millisecond
	// acceptWhileStopping is the time after the request to stop in which requests of
	// kept connections are still run. The balancer notices within two probes, two
	// seconds, and what starts later might not end within the grace.
	acceptWhileStopping = 2500 * time.Millisecond
	// lingerWhileStopping is the time in which kept connections may still bring
	// requests; each gets its answer and then the end of the connection.
	lingerWhileStopping = acceptWhileStopping + 500*time.Millisecond
)

// stop ends the daemon's work without cutting a request.
func (g *Gateway) stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": g.ingress.InFlight()})
	grace := g.settings.Gateway.Grace
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-stopMargin)
	defer cancel()
	g.front.DisableKeepAlives()
	refusing := time.AfterFunc(acceptWhileStopping, g.ingress.StopAccepting)
	defer refusing.Stop()
	if err := g.roster.Leave(ctx); err != nil {
		g.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
	}
	g.members.Leave(ctx)
	sleep(ctx, lingerWhileStopping)
	return g.front.Shutdown(ctx)
}
