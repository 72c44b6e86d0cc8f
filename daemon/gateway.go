package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/avoidance"
	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/ingress"
	"github.com/marjoramflow/marjoramflow/internal/blocklistsync"
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

// Gateway is a daemon on a platform whose store holds the configuration, the registry of
// targets and all persistent state. It schedules with the same parts as Daemon: the mesh,
// the owners of target groups and the runner of requests.
type Gateway struct {
	settingsPath string
	logWriter    *eventlog.AsyncWriter
	settings     *settings.Settings
	logger       *eventlog.Logger
	incarnation  uint64

	platformStore   *platform.Store
	storeClient     *store.Client
	pool            *upstream.Pool
	forwarder       *platform.Forwarder
	watcher         *catalog.Watcher
	pollers         *pollers.Relay
	roster          *roster.Roster
	topologies      *topologies
	startup         *startup
	trafficSplit    *rollout.TrafficSplit
	moves           *moves.Manager
	orderHandler    *orderHandler
	retryPolicies   *retryPolicies
	mesh            *peer.Mesh
	members         *members.Manager
	owners          *owners.Manager
	grants          *grants.Client
	quarantine      *quarantinesync.Syncer
	blocklist       *blocklistsync.Syncer
	accountLimiter  *quota.Limiter
	avoidance       *avoidance.Set
	reachability    *reachability.Checker
	linkBudget      linkBudget
	metrics         *metrics.Registry
	outputPredictor *outputPredictor
	entryRunner     *entry.Runner
	ingress         *ingress.Server
	callerServer    *platform.Server

	// callerLimits are the limits in force on what callers may send.
	callerLimits atomic.Pointer[catalog.CallerLimits]
	generation   atomic.Uint64
	// storeRestores counts the restores of the platform's store that this daemon has noticed.
	storeRestores     atomic.Uint64
	callerListener    net.Listener
	readinessListener net.Listener
	metricsListener   net.Listener
	stopping          atomic.Bool
}

// defaultCallerLimits apply until the first manifest is in force.
var defaultCallerLimits = catalog.CallerLimits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// idleTimeoutFactor is the ratio of the daemon's idle timeout of connections to the one that
// callers know. The daemon closes later, so that it does not close a connection on which a
// caller just sends its next request.
const idleTimeoutFactor = 2

// softMemoryShare is the share of the process's memory that is set as the memory limit of
// the Go runtime, near which the garbage collector runs more often. The rest is for sockets
// and stacks.
const softMemoryShare = 0.5

// NewGateway creates a gateway and opens its listeners. Nothing is served before Run.
func NewGateway(s *settings.Settings, logger *eventlog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(s.Gateway.MemoryMB * softMemoryShare * (1 << 20)))
	g := &Gateway{
		settings:        s,
		logger:          logger,
		incarnation:     uint64(time.Now().UnixMilli()),
		pool:            upstream.NewPool(upstream.Options{}),
		topologies:      newTopologies(s.DataCentre, s.Region),
		startup:         newStartup(),
		avoidance:       avoidance.New(),
		trafficSplit:    rollout.NewTrafficSplit(),
		metrics:         metrics.New(metrics.DefaultLimits),
		outputPredictor: &outputPredictor{model: estimate.New()},
	}
	g.callerLimits.Store(&defaultCallerLimits)
	g.openStore()
	if err := g.openMesh(); err != nil {
		return nil, err
	}
	g.buildScheduling()
	g.buildCallerServer()
	return g, g.listen()
}

// Reload implements Runner.
func (g *Gateway) Reload() {
	reload(g.settingsPath, g.settings, g.logger)
}

// Run starts the background tasks and serves until the context ends or a task fails, then
// stops gracefully. It returns the error of the failed task, else that of the stop.
func (g *Gateway) Run(ctx context.Context) error {
	tasksCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, groupCtx := errgroup.WithContext(tasksCtx)
	stopLog := startLogWriter(g.logWriter, g.logger)
	defer stopLog()
	for _, task := range g.backgroundTasks() {
		group.Go(func() error {
			err := task(groupCtx)
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
	cancelTasks()
	err := group.Wait()
	g.logger.Emit(eventlog.DaemonStopped, nil)
	if err == nil {
		err = stopErr
	}
	return err
}

// backgroundTasks returns the functions that run in goroutines of their own.
func (g *Gateway) backgroundTasks() []func(context.Context) error {
	return []func(context.Context) error{
		g.mesh.Run,
		g.members.Run,
		g.members.RunVMList,
		g.roster.Run,
		g.roster.RunRestores,
		g.watcher.RunOperator,
		g.watcher.RunRegistry,
		g.pollers.Run,
		g.pollers.RunQueries,
		g.owners.Run,
		g.grants.Run,
		g.quarantine.Run,
		g.quarantine.RunTable,
		g.blocklist.Run,
		g.blocklist.RunTable,
		g.accountLimiter.Run,
		g.reachability.Run,
		g.moves.Run,
		g.orderHandler.run,
		g.pool.Run,
		g.startup.run,
		func(context.Context) error { return g.callerServer.Serve(g.callerListener) },
		func(ctx context.Context) error { return serveHTTP(ctx, g.readinessListener, g.readinessHandler()) },
		func(ctx context.Context) error { return serveHTTP(ctx, g.metricsListener, g.metricsHandler()) },
	}
}

// serveHTTP runs an HTTP server on a listener until the context ends, and returns nil then.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultCallerLimits.HeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fault.Wrap(err, "gateway.serve", listener.Addr().String())
}

// readinessHandler answers readiness probes: 200 when the daemon is ready, else 503.
func (g *Gateway) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// metricsHandler answers with the metrics of the daemon as text.
func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(g.metrics.String()))
	})
}

// ready reports whether the daemon is ready to serve, which load balancers ask for.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.startup.isReady()
}

const (
	// exitMargin is the part of the grace period that is kept for the last answers and the exit
	// of the process.
	exitMargin = 700 * time.Millisecond
	// abortedAnswersTime is the part of exitMargin in which the answers to aborted requests
	// are sent.
	abortedAnswersTime = 300 * time.Millisecond
	// stopAcceptingAfter is the time, from the start of a stop, in which requests on
	// keep-alive connections are still run. The load balancer notices the stop within two
	// probes, 2 s, and requests that start later might not end within the grace period.
	stopAcceptingAfter = 2500 * time.Millisecond
	// lateRequestTime is the time, after stopAcceptingAfter, in which requests may still
	// arrive on keep-alive connections. Each is answered, and its connection is closed
	// after the answer.
	lateRequestTime = 500 * time.Millisecond
	// The shares of the grace period after which requests are refused, and after which none
	// waits for a target, at the latest. The rest is for the attempts that have begun.
	stopAcceptingShare = 1.0 / 3
	stopWaitingShare   = 1.0 / 2
	// exitShare bounds exitMargin to a share of the grace period.
	exitShare = 1.0 / 4
)

// stopSchedule holds the times of the steps of a stop, from its start.
type stopSchedule struct {
	// stopAccepting is when new requests are refused, shutDown when connections without a
	// request are closed, stopWaiting when requests that wait for a target are refused, and
	// abort when the requests that still run are ended.
	stopAccepting, shutDown, stopWaiting, abort time.Duration
}

// newStopSchedule returns the schedule for a grace period.
func newStopSchedule(grace time.Duration) stopSchedule {
	share := func(part float64) time.Duration { return time.Duration(part * float64(grace)) }
	s := stopSchedule{
		stopAccepting: min(stopAcceptingAfter, share(stopAcceptingShare)),
		stopWaiting:   share(stopWaitingShare),
		abort:         grace - min(exitMargin, share(exitShare)),
	}
	s.shutDown = min(s.stopAccepting+lateRequestTime, s.stopWaiting)
	return s
}

// stop ends the daemon's work without interrupting requests, by the schedule of the grace
// period. It closes connections after their next answer, leaves the roster and the mesh,
// refuses new requests and later those that still wait for a target, and waits for the
// requests in flight. What is left at the end is aborted, so that its callers get an answer.
func (g *Gateway) stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": g.ingress.InFlight()})
	schedule := newStopSchedule(g.settings.Gateway.Grace)
	ctx = context.WithoutCancel(ctx)
	runCtx, cancel := context.WithTimeout(ctx, schedule.abort)
	defer cancel()
	g.callerServer.DisableKeepAlives()
	defer time.AfterFunc(schedule.stopAccepting, g.ingress.StopAccepting).Stop()
	defer time.AfterFunc(schedule.stopWaiting, g.entryRunner.StopWaiting).Stop()
	shutDownTimer := time.NewTimer(schedule.shutDown)
	defer shutDownTimer.Stop()
	g.leave(runCtx, schedule.shutDown)
	<-shutDownTimer.C
	if err := g.callerServer.Shutdown(runCtx); err == nil || runCtx.Err() == nil {
		return err
	}
	g.entryRunner.Abort()
	abortCtx, cancelAbort := context.WithTimeout(ctx, abortedAnswersTime)
	defer cancelAbort()
	return g.callerServer.Shutdown(abortCtx)
}

// leave leaves the roster and the mesh, for at most a time.
func (g *Gateway) leave(ctx context.Context, atMost time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	if err := g.roster.Leave(ctx); err != nil {
		g.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
	}
	g.members.Leave(ctx)
}
