package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/ingress"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/internal/leases"
	"github.com/marjoramflow/marjoramflow/internal/members"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/internal/owners"
	"github.com/marjoramflow/marjoramflow/internal/reach"
	"github.com/marjoramflow/marjoramflow/internal/roster"
	"github.com/marjoramflow/marjoramflow/internal/suspects"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/platform"
	"github.com/marjoramflow/marjoramflow/provider"
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
	targets  *platform.Targets
	watcher  *catalog.Watcher
	roster   *roster.Roster
	places   *places
	shares   *rollout.Shares
	moves    *moves.Duty
	orders   *orders
	retries  *retries
	mesh     *peer.Mesh
	members  *members.Duty
	owners   *owners.Duty
	grants   *grants.Client
	suspects *suspects.Duty
	leases   *leases.Duty
	reach    *reach.Duty
	link     link
	metrics  *metrics.Registry
	lengths  *lengths
	entry    *entry.Entry
	ingress  *ingress.Server
	front    *platform.Front

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

func (g *Gateway) listen() error {
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&g.callers, g.settings.Listen.Callers},
		{&g.probes, g.settings.Gateway.Ready},
		{&g.exposed, g.settings.Gateway.Metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fault.Wrap(err, "gateway.listen", l.address)
		}
		*l.into = listener
	}
	return nil
}

// openStore builds what is read from and kept in the platform's store.
func (g *Gateway) openStore() {
	g.store = platform.NewStore(g.settings.Gateway.Store, g.pool)
	g.table = store.New(store.Config{
		Table:   g.store,
		Objects: g.store.Objects(),
		Limits: store.Limits{
			ReadsPerSecond:  g.settings.Limits.StoreReads,
			WritesPerSecond: g.settings.Limits.StoreWrites,
		},
		Logger: g.logger,
	})
	g.targets = platform.NewTargets(g.pool)
	g.roster = roster.New(roster.Config{
		Self: provider.VM{
			Name:       g.settings.Name,
			Address:    g.settings.Listen.Peers,
			DataCentre: g.settings.DataCentre,
			Role:       provider.RoleEntry,
			State:      provider.VMLive,
		},
		Table:  g.table,
		Logger: g.logger,
	})
	g.watcher = catalog.NewWatcher(catalog.WatcherConfig{
		Source:  g.store,
		Regions: g.settings.Gateway.DataCentres,
		Install: g.install,
		OnOrder: func(order catalog.Order) { g.orders.take(order) },
		// A quarter leaves time for the call, the installation and one failure.
		Interval: g.settings.Gateway.ApplyWithin / 4,
		Logger:   g.logger,
	})
}

// openMesh builds the membership duty and the mesh of sessions.
func (g *Gateway) openMesh() error {
	s := g.settings
	g.members = members.New(members.Config{
		Self: membership.Member{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: g.incarnation,
		},
		VMs:    g.roster,
		Seeds:  seeds(s.Seeds),
		Logger: g.logger,
		OnLive: g.onLive,
		OnGone: func(daemon string) { g.owners.EntryGone(daemon) },
		OnList: func([]provider.VM) {},
	})
	mesh, err := peer.New(peer.Config{
		Self: peer.Identity{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: g.incarnation,
		},
		Listen:     s.Listen.Peers,
		TLS:        tlsFiles(s.TLS),
		Generation: g.generation.Load,
		OnMessage:  g.onMessage,
		OnSession:  g.onSession,
		Logger:     g.logger,
	})
	if err != nil {
		return err
	}
	g.mesh = mesh
	g.metrics.Set("mesh", expvar.Func(func() any { return mesh.Stats() }))
	g.metrics.Set("store", expvar.Func(func() any { return g.table.Stats() }))
	g.metrics.Set("connections", expvar.Func(func() any { return g.pool.Stats() }))
	g.members.SetMesh(mesh)
	return nil
}

// buildScheduling builds the owner and grant parts and the entry.
func (g *Gateway) buildScheduling() {
	self := g.settings.Name
	g.suspects = suspects.New(suspects.Config{Self: self, Broadcast: g.broadcast, Table: g.table, Logger: g.logger})
	g.leases = leases.New(leases.Config{Self: self, Send: g.mesh.Send, Everyone: g.places.everyone, Bucket: g.bucketOf})
	g.link = newLink()
	g.reach = reach.New(reach.Config{
		Dial:    g.pool.Dial,
		Address: g.addressOf,
		OnState: func(target string, state owner.TargetState) { g.owners.SetTargetState(target, state) },
		OnDown:  g.suspects.TargetLost,
		Logger:  g.logger,
	})
	g.moves = moves.New(moves.Config{
		Self:        self,
		Incarnation: g.incarnation,
		Send:        g.mesh.Send,
		Broadcast:   g.broadcast,
		Live:        g.liveHere,
		Everyone:    g.places.everyone,
		DataCentres: len(g.settings.Gateway.DataCentres),
		Table:       g.table,
		Weights:     loadedVersions{},
		Orders:      loadedVersions{},
		Shares:      g.shares,
		Options:     orderOptions(),
		Logger:      g.logger,
	})
	g.orders = newOrders(ordersConfig{
		table:       g.table,
		moves:       g.moves,
		setMove:     g.watcher.SetMove,
		writeStatus: g.store.WriteStatus,
		logger:      g.logger,
	})
	g.owners = owners.New(owners.Config{
		Self:   self,
		Sender: g.mesh,
		OnLost: g.reach.Check,
		Trial:  g.trial,
		Logger: g.logger,
		// The queue is held here and not in the targets, which know no order.
		Group: owner.Options{Picker: balancer.Timely{}.Build(0), Backlog: -1, CheckStalled: true},
	})
	g.grants = grants.New(grants.Config{
		Self:        self,
		Sender:      g.mesh,
		Places:      g.places,
		Link:        g.link,
		Unreachable: g.members.Unreachable,
	})
	g.retries = newRetries()
	g.shareRetries()
	g.entry = entry.New(entry.Config{
		Grants:    g.grants,
		Versions:  versions{shares: g.shares},
		Observer:  &gatewayObserver{observer: observer{lengths: g.lengths, moves: g.moves, metrics: g.metrics}, logger: g.logger},
		Suspects:  g.suspects,
		Retries:   g.retries,
		Forwarder: g.targets,
		Pause:     pause,
	})
}

func (g *Gateway) buildFront() {
	g.ingress = ingress.New(ingress.Config{
		Index:        g.places.Index,
		Runner:       g.entry,
		Limiter:      g.leases,
		Recorder:     recorder{registry: g.metrics},
		Logger:       g.logger,
		OpenRequests: g.settings.Limits.OpenRequests,
	})
	g.front = platform.NewFront(platform.FrontConfig{
		Ingress:       g.ingress,
		HeaderBytes:   defaultCallerLimits.HeaderBytes,
		HeaderTimeout: defaultCallerLimits.HeaderTimeout,
		IdleTimeout:   idleFactor * defaultCallerLimits.IdleTimeout,
		BodyBytes:     func() int64 { return g.limitsInForce.Load().BodyBytes },
	})
}

const (
	// limitMargin leaves a part of what the limits tolerate for units that are
	// leased and not yet used, and for the first units of a bucket that moves.
	limitMargin = 0.92
	// bucketTime is the time for which a bucket collects its rate: long enough for
	// the longest requests of a small account, short against the window of a limit.
	bucketTime = 1500 * time.Millisecond
)

// bucketOf returns the bucket that lets an account take what its limit tolerates in
// each window, and no more.
func (g *Gateway) bucketOf(account *object.ClientAccount, perSecond float64) (rate, burst float64) {
	s := &g.settings.Gateway
	window := s.LimitWindow.Seconds()
	tolerated := (1+s.LimitOverage)*(perSecond*window+account.Burst) + s.LimitSlack
	rate = limitMargin * tolerated / (window + bucketTime.Seconds())
	return rate, rate * bucketTime.Seconds()
}

// Reload implements Runner.
func (g *Gateway) Reload() {
	reload(g.path, g.settings, g.logger)
}

// gatewayObserver logs failed attempts and passes all on to the moves.
type gatewayObserver struct {
	observer
	logger *eventlog.Logger
}

// Attempt implements entry.Observer.
func (o *gatewayObserver) Attempt(a entry.Observation) {
	if a.Err != nil {
		o.logger.EmitError(eventlog.AttemptFailed, a.Err, eventlog.Fields{
			"request": a.Request, "target": a.Target, "kind": attempt.KindOf(a.Err).String(),
			"tookMs": a.Duration.Milliseconds(), "inFlight": a.InFlight, "version": a.Version,
		})
	}
	// Versions are compared by what targets of the service usually take: an estimate
	// of the target's own would hide that its version is slow.
	a.Hardware = a.Service
	o.observer.Attempt(a)
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
		g.members.RunList,
		g.roster.Run,
		g.watcher.RunOperator,
		g.watcher.RunRegistry,
		g.owners.Run,
		g.grants.Run,
		g.suspects.Run,
		g.leases.Run,
		g.reach.Run,
		g.moves.Run,
		g.orders.run,
		g.pool.Run,
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
	return !g.stopping.Load() && g.places.Index() != nil
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
	g.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": g.ingress.Open()})
	grace := g.settings.Gateway.Grace
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-stopMargin)
	defer cancel()
	g.front.Leave()
	refusing := time.AfterFunc(acceptWhileStopping, g.ingress.Leave)
	defer refusing.Stop()
	if err := g.roster.Leave(ctx); err != nil {
		g.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
	}
	g.members.Leave(ctx)
	pause(ctx, lingerWhileStopping)
	return g.front.Shutdown(ctx)
}

// install puts a checked set in force on this daemon.
func (g *Gateway) install(set *object.Set, callerLimits catalog.CallerLimits) {
	generation := g.generation.Add(1)
	g.limitsInForce.Store(&callerLimits)
	g.places.setIndex(object.NewIndex(generation, set))
	g.moves.SetConfig(set)
	g.leases.SetConfig(set)
	g.placesChanged()
	g.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation, "targets": len(set.Targets), "ingresses": len(set.Ingresses)})
}

// placesChanged tells the duties that groups or owners changed.
func (g *Gateway) placesChanged() {
	g.owners.SetPlaces(g.places.Local(), len(g.liveHere()))
	g.link.setDaemons(g.places.liveInRegion())
	g.shareRetries()
	g.grants.PlacesChanged()
}

func (g *Gateway) onLive(dataCentre string, daemons []string) {
	if g.places.setLive(dataCentre, daemons) {
		g.placesChanged()
	}
}

// retryMargin is the part of the common retry budget that the daemons use: a
// daemon that is cut off counts fewer others than there are, and a stream that goes
// on elsewhere is not charged.
const retryMargin = 0.5

// shareRetries gives this daemon its part of the retry budget of all daemons. The
// ratio counts its own requests; the slack is divided.
func (g *Gateway) shareRetries() {
	s := &g.settings.Gateway
	daemons := max(1, len(g.places.everyone()))
	slack := retryMargin * float64(s.RetrySlack) / float64(daemons)
	g.retries.setBudget(retryMargin*s.RetryRatio, slack/s.RetryWindow.Seconds())
}

// liveHere returns the live daemons of the own data centre.
func (g *Gateway) liveHere() []string {
	live, _ := g.places.liveIn(g.settings.DataCentre)
	return live
}

// broadcast sends a message to every daemon with a session.
func (g *Gateway) broadcast(m *peerpb.Envelope) {
	for _, s := range g.mesh.Sessions() {
		// A peer that cannot take the message learns its content when its session
		// is up again.
		_ = g.mesh.Send(s.Name, m)
	}
}

// onMessage hands a frame to the duty that it belongs to.
func (g *Gateway) onMessage(from string, m *peerpb.Envelope) {
	switch {
	case g.members.OnMessage(from, m):
	case g.owners.OnMessage(from, m):
	case g.grants.OnMessage(from, m):
	case g.leases.OnMessage(from, m):
	case g.suspects.OnMessage(m):
	case g.moves.OnMessage(m):
	}
}

func (g *Gateway) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		g.grants.SessionUp(name)
		g.moves.SessionUp(name)
	} else {
		g.grants.SessionLost(name)
	}
	g.members.OnSession(name, up, hello)
}

// addressOf returns the address of a target, "" when it is not configured.
func (g *Gateway) addressOf(target string) string {
	if t := g.places.Target(target); t != nil {
		return t.Address
	}
	return ""
}

// trial asks an ejected target for its health. A target that says that it is
// healthy gets requests again, and is ejected anew if they fail.
func (g *Gateway) trial(t *object.Target) error {
	index := g.places.Index()
	if index == nil {
		return fault.New("gateway.trial", t.Name, "no configuration is in force")
	}
	service := index.Service(t.Service)
	if service == nil {
		return fault.New("gateway.trial", t.Name, "service is not in the configuration")
	}
	return g.targets.Check(context.Background(), t, service.HealthPath)
}
