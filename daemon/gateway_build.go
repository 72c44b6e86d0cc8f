package daemon

import (
	"expvar"
	"net"
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/bytebudget"
	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
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
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/platform"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/store"
)

// listen opens the listeners for callers, readiness probes and metrics.
func (g *Gateway) listen() error {
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&g.callerListener, g.settings.Listen.Callers},
		{&g.readinessListener, g.settings.Gateway.Ready},
		{&g.metricsListener, g.settings.Gateway.Metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fault.Wrap(err, "gateway.listen", l.address)
		}
		*l.into = listener
	}
	return nil
}

// startJitter spreads the first store calls of daemons that start at the same time. Each
// daemon makes one read before it serves, and a store that serves 16,000 reads/s serves the
// reads of 2,600 daemons in about this time.
const startJitter = 150 * time.Millisecond

// openStore creates the client of the platform's store and the parts that work on it: the
// forwarder, the roster of daemons, the relay of changes and the catalog watcher.
func (g *Gateway) openStore() {
	g.platformStore = platform.NewStore(g.settings.Gateway.Store, g.pool)
	g.platformStore.OnRestore(g.storeRestored)
	g.storeClient = store.New(store.Config{
		Table:   g.platformStore,
		Objects: g.platformStore.Objects(),
		Limits: store.Limits{
			ReadsPerSecond:  g.settings.Limits.StoreReads,
			WritesPerSecond: g.settings.Limits.StoreWrites,
			StartJitter:     startJitter,
		},
		Logger: g.logger,
	})
	g.forwarder = platform.NewForwarder(g.pool)
	g.roster = roster.New(roster.Config{
		Self: provider.VM{
			Name:       g.settings.Name,
			Address:    g.settings.Listen.Peers,
			DataCentre: g.settings.DataCentre,
			Role:       provider.RoleEntry,
			State:      provider.VMLive,
		},
		Table:  g.storeClient,
		Logger: g.logger,
	})
	g.pollers = pollers.New(pollers.Config{
		Self:           g.settings.Name,
		DataCentre:     g.settings.DataCentre,
		LiveLocal:      g.liveLocal,
		LiveAll:        g.topologies.liveAll,
		DaemonListRead: g.startup.membersListed,
		Send:           func(to string, m *peerpb.Envelope) error { return g.mesh.Send(to, m) },
		Decode:         g.platformStore.Decode,
		OnLostRows:     func(rows []catalog.Record, upTo uint64) { g.watcher.TakeLostRows(rows, upTo) },
		Logger:         g.logger,
	})
	g.watcher = catalog.NewWatcher(catalog.WatcherConfig{
		Source:  g.platformStore,
		Regions: g.settings.Gateway.DataCentres,
		Install: g.installConfig,
		OnOrder: func(order catalog.Order) { g.orderHandler.accept(order) },
		Peers:   g.pollers,
		// A quarter of ApplyWithin leaves time for the call, the installation and one
		// failed call.
		Interval:   g.settings.Gateway.ApplyWithin / 4,
		OnComplete: g.startup.markConfigured,
		Logger:     g.logger,
	})
	g.forwarder.OnCold = func(target string, remaining time.Duration, asked time.Time) {
		g.watcher.ColdTimes().Answered(time.Now(), target, remaining, asked)
	}
}

// openMesh creates the membership manager and the mesh of sessions with other daemons.
func (g *Gateway) openMesh() error {
	s := g.settings
	g.members = members.New(members.Config{
		Self: membership.Member{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: g.incarnation,
		},
		VMs:           g.roster,
		Seeds:         seedAddresses(s.Seeds),
		Logger:        g.logger,
		OnLiveChanged: g.onLiveChanged,
		OnDaemonDead:  func(daemon string) { g.owners.DropEntry(daemon) },
		OnVMList:      func([]provider.VM) { g.startup.markMembersListed() },
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
	g.metrics.Set("store", expvar.Func(func() any { return g.storeClient.Stats() }))
	g.metrics.Set("storeEra", expvar.Func(func() any { return g.platformStore.Era() }))
	g.metrics.Set("storeRestores", expvar.Func(func() any { return g.storeRestores.Load() }))
	g.metrics.Set("catalog", expvar.Func(func() any { return g.watcher.Stats() }))
	g.metrics.Set("withheld", expvar.Func(func() any { return g.pollers.WithheldStats() }))
	g.metrics.Set("connections", expvar.Func(func() any { return g.pool.Stats() }))
	g.members.SetMesh(mesh)
	return nil
}

// buildScheduling creates the parts that schedule requests: quarantine, account limits,
// reachability checks, moves, the manager of owned target groups, the grant client and the
// runner of requests.
func (g *Gateway) buildScheduling() {
	self := g.settings.Name
	isKeeper := func(key string) bool { return rendezvous.Owner(key, g.topologies.liveAll()) == self }
	g.quarantine = quarantinesync.New(quarantinesync.Config{Self: self, Broadcast: g.broadcast, Send: g.mesh.Send, IsKeeper: isKeeper, Table: g.storeClient, Logger: g.logger})
	g.blocklist = blocklistsync.New(blocklistsync.Config{
		Self:        self,
		Broadcast:   g.broadcast,
		Send:        g.mesh.Send,
		IsKeeper:    isKeeper,
		OnExplained: g.quarantine.DiscountLoss,
		Table:       g.storeClient,
		Logger:      g.logger,
	})
	g.metrics.Set("blocklist", expvar.Func(func() any { return g.blocklist.Stats() }))
	g.accountLimiter = quota.New(quota.Config{Self: self, Send: g.mesh.Send, LiveAll: g.topologies.liveAll, BucketLimits: g.limitBucket})
	g.linkBudget = newLinkBudget()
	g.reachability = reachability.New(reachability.Config{
		Dial:     g.pool.CheckReachable,
		Address:  g.targetAddress,
		Identify: g.checkIdentity,
		OnState:  func(target string, state owner.TargetState) { g.owners.SetTargetState(target, state) },
		OnDown:   g.targetDown,
		// A target that ended in order has no lost attempts.
		OnReplaced: g.blocklist.TargetDown,
		Logger:     g.logger,
	})
	g.moves = moves.New(moves.Config{
		Self:         self,
		Incarnation:  g.incarnation,
		Send:         g.mesh.Send,
		Broadcast:    g.broadcast,
		LiveLocal:    g.liveLocal,
		LiveAll:      g.topologies.liveAll,
		DataCentres:  len(g.settings.Gateway.DataCentres),
		Table:        g.storeClient,
		Weights:      preloadedVersions{},
		Loader:       preloadedVersions{},
		TrafficSplit: g.trafficSplit,
		Options:      orderedMoveOptions(),
		Logger:       g.logger,
	})
	g.orderHandler = newOrderHandler(orderHandlerConfig{
		self:               self,
		table:              g.storeClient,
		setMove:            g.watcher.SetMove,
		registeredVersions: g.watcher.RegisteredVersions,
		moveStatus:         g.moves.Status,
		liveAll:            g.topologies.liveAll,
		writeStatus:        g.platformStore.WriteOrderPhase,
		logger:             g.logger,
	})
	g.owners = owners.New(owners.Config{
		Self:             self,
		DataCentre:       g.reportedDataCentre(),
		Sender:           g.mesh,
		OnConnectionLost: g.reachability.Check,
		OnAttemptLost:    g.blocklist.AttemptLost,
		OnReplaced:       g.reachability.TargetReplaced,
		EjectionProbe:    g.checkHealth,
		// The platform does not report the hardware of targets, so each target is its own
		// hardware generation.
		Model:  estimate.NewWithTypicalDefaults(),
		Logger: g.logger,
		// Requests wait in the daemon and not in the targets, which do not order their
		// queues.
		Cold:         owners.ColdConfig{Overage: g.settings.Gateway.ColdOverage, Slack: g.settings.Gateway.ColdSlack, Report: g.watcher.ColdTimes().Report},
		GroupOptions: owner.Options{Picker: balancer.FewestLate{}.Build(0), Backlog: -1, CheckOnTimeout: true},
	})
	g.metrics.Set("coldTargets", expvar.Func(func() any { return g.owners.ColdStats() }))
	g.grants = grants.New(grants.Config{
		Self:          self,
		Region:        g.settings.Region,
		Sender:        g.mesh,
		Topologies:    g.topologies,
		LinkBudget:    g.linkBudget,
		Avoidance:     g.avoidance,
		Overflow:      g.overflowConfig(),
		OnUnreachable: g.members.ReportUnreachable,
		OnUnanswered:  g.members.ReportUnanswered,
	})
	g.metrics.Set("overflow", expvar.Func(func() any { return g.grants.OverflowStats() }))
	g.retryPolicies = newRetryPolicies()
	g.divideRetryBudget()
	g.entryRunner = entry.New(entry.Config{
		Grants:        g.grants,
		VersionPicker: versionPicker{trafficSplit: g.trafficSplit},
		Observer:      &gatewayObserver{observer: observer{outputPredictor: g.outputPredictor, moves: g.moves, metrics: g.metrics}, logger: g.logger},
		Quarantine:    g.quarantine,
		RetryPolicy:   g.retryPolicies,
		Forwarder:     g.forwarder,
		Blocklist:     g.blocklist,
		Avoidance:     g.avoidance,
		Sleep:         sleep,
		// The rest of the memory is for the daemon's own messages and state.
		AnswerMemory: bytebudget.New(g.memoryBytes(answerMemoryShare)),
	})
}

const (
	// answerMemoryShare and bodyMemoryShare are the shares of the daemon's memory that
	// answers of targets and request bodies may take. The process itself takes 20 to
	// 40 MB, and garbage that is not collected yet takes as much again.
	answerMemoryShare = 0.12
	bodyMemoryShare   = 0.12
)

// memoryBytes returns a share of the memory that the settings give the daemon, in bytes.
func (g *Gateway) memoryBytes(share float64) int64 {
	return int64(share * g.settings.Gateway.MemoryMB * (1 << 20))
}

// buildCallerServer creates the server that callers send their requests to.
func (g *Gateway) buildCallerServer() {
	g.ingress = ingress.New(ingress.Config{
		Ready:        g.startup.ready,
		Index:        g.topologies.Index,
		Runner:       g.entryRunner,
		Limiter:      g.accountLimiter,
		Recorder:     recorder{registry: g.metrics},
		Logger:       g.logger,
		OpenRequests: g.settings.Limits.OpenRequests,
	})
	g.metrics.Set("residency", expvar.Func(func() any { return g.ingress.Stats() }))
	g.callerServer = platform.NewServer(platform.ServerConfig{
		Ingress:       g.ingress,
		HeaderBytes:   defaultCallerLimits.HeaderBytes,
		HeaderTimeout: defaultCallerLimits.HeaderTimeout,
		IdleTimeout:   idleTimeoutFactor * defaultCallerLimits.IdleTimeout,
		BodyMemory:    bytebudget.New(g.memoryBytes(bodyMemoryShare)),
		BodyBytes:     func() int64 { return g.callerLimits.Load().BodyBytes },
	})
}

const (
	// limitUseShare is the share of the tolerated units that a bucket gives out. The rest
	// covers units that are leased and not used yet, and the first units of a bucket that
	// moves to another daemon.
	limitUseShare = 0.92
	// bucketFillTime is the time in which an empty bucket fills at its rate: long enough
	// to hold the largest requests of a small account, and short compared with the window
	// of a limit.
	bucketFillTime = 1500 * time.Millisecond
)

// limitBucket returns the rate, in units per second, and the size, in units, of the bucket
// for a limit. In each window, the bucket lets an account take at most what the settings
// tolerate: the rate over the window and the account's burst, increased by LimitOverage,
// plus LimitSlack.
func (g *Gateway) limitBucket(account *object.ClientAccount, perSecond float64) (rate, burst float64) {
	s := &g.settings.Gateway
	window := s.LimitWindow.Seconds()
	tolerated := (1+s.LimitOverage)*(perSecond*window+account.Burst) + s.LimitSlack
	rate = limitUseShare * tolerated / (window + bucketFillTime.Seconds())
	return rate, rate * bucketFillTime.Seconds()
}

// retryBudgetShare is the share of the common retry budget that the daemons use. The rest
// covers daemons that are cut off, which divide the budget by fewer daemons than there are,
// and streams that are continued on another target, which are not charged.
const retryBudgetShare = 0.5

// divideRetryBudget sets this daemon's part of the retry budget of all daemons. The ratio
// applies to the daemon's own requests. The slack, the retries that are permitted whatever
// the number of requests, is divided by the number of live daemons.
func (g *Gateway) divideRetryBudget() {
	s := &g.settings.Gateway
	liveDaemons := max(1, len(g.topologies.liveAll()))
	slack := retryBudgetShare * s.RetrySlack / float64(liveDaemons)
	g.retryPolicies.setBudget(retryBudgetShare*s.RetryRatio, slack/s.RetryWindow.Seconds())
}
