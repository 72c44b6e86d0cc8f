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
	"github.com/marjoramflow/marjoramflow/store"
)

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

// startJitter spreads the first calls of daemons that start together. Each makes one
// read before it serves, and a store that serves 16,000 reads a second takes those of
// 2,600 daemons in this time.
const startJitter = 150 * time.Millisecond

// openStore builds what is read from and kept in the platform's store.
func (g *Gateway) openStore() {
	g.store = platform.NewStore(g.settings.Gateway.Store, g.pool)
	g.table = store.New(store.Config{
		Table:   g.store,
		Objects: g.store.Objects(),
		Limits: store.Limits{
			ReadsPerSecond:  g.settings.Limits.StoreReads,
			WritesPerSecond: g.settings.Limits.StoreWrites,
			StartJitter:     startJitter,
		},
		Logger: g.logger,
	})
	g.targets = platform.NewForwarder(g.pool)
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
	g.pollers = pollers.New(pollers.Config{
		Self:       g.settings.Name,
		DataCentre: g.settings.DataCentre,
		LiveLocal:  g.liveHere,
		ListRead:   g.startup.listed,
		Send:       func(to string, m *peerpb.Envelope) error { return g.mesh.Send(to, m) },
		Decode:     g.store.Decode,
		Logger:     g.logger,
	})
	g.watcher = catalog.NewWatcher(catalog.WatcherConfig{
		Source:  g.store,
		Regions: g.settings.Gateway.DataCentres,
		Install: g.install,
		OnOrder: func(order catalog.Order) { g.orders.take(order) },
		Peers:   g.pollers,
		// A quarter leaves time for the call, the installation and one failure.
		Interval:   g.settings.Gateway.ApplyWithin / 4,
		OnComplete: g.startup.configure,
		Logger:     g.logger,
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
		OnList: func([]provider.VM) { g.startup.list() },
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
	g.suspects = quarantinesync.New(quarantinesync.Config{Self: self, Broadcast: g.broadcast, Table: g.table, Logger: g.logger})
	g.leases = quota.New(quota.Config{Self: self, Send: g.mesh.Send, LiveAll: g.places.everyone, Bucket: g.bucketOf})
	g.link = newLink()
	g.reach = reachability.New(reachability.Config{
		Dial:     g.pool.CheckReachable,
		Address:  g.addressOf,
		Identify: g.identify,
		OnState:  func(target string, state owner.TargetState) { g.owners.SetTargetState(target, state) },
		OnDown:   g.suspects.TargetLost,
		Logger:   g.logger,
	})
	g.moves = moves.New(moves.Config{
		Self:        self,
		Incarnation: g.incarnation,
		Send:        g.mesh.Send,
		Broadcast:   g.broadcast,
		LiveLocal:   g.liveHere,
		LiveAll:     g.places.everyone,
		DataCentres: len(g.settings.Gateway.DataCentres),
		Table:       g.table,
		Weights:     loadedVersions{},
		Loader:      loadedVersions{},
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
		Self:             self,
		Sender:           g.mesh,
		OnConnectionLost: g.reach.Check,
		OnReplaced:       g.reach.TargetReplaced,
		EjectionProbe:    g.trial,
		// The platform does not tell the hardware of targets: each one is its own.
		Model:  estimate.NewWithTypicalDefaults(),
		Logger: g.logger,
		// The queue is held here and not in the targets, which know no order.
		Group: owner.Options{Picker: balancer.FewestLate{}.Build(0), Backlog: -1, CheckStalled: true},
	})
	g.grants = grants.New(grants.Config{
		Self:          self,
		Sender:        g.mesh,
		Topologies:    g.places,
		LinkBudget:    g.link,
		OnUnreachable: g.members.ReportUnreachable,
	})
	g.retries = newRetries()
	g.shareRetries()
	g.entry = entry.New(entry.Config{
		Grants:        g.grants,
		VersionPicker: versions{shares: g.shares},
		Observer:      &gatewayObserver{observer: observer{lengths: g.lengths, moves: g.moves, metrics: g.metrics}, logger: g.logger},
		Quarantine:    g.suspects,
		RetryPolicy:   g.retries,
		Forwarder:     g.targets,
		Pause:         sleep,
		// The daemon's own messages and state need the rest.
		AnswerMemory: bytebudget.New(g.memoryPart(answerMemoryShare)),
	})
}

const (
	// answerMemoryShare and bodyMemoryShare are the parts of the memory limit that
	// answers of targets and bodies of callers may take. The process itself takes 20 to
	// 40 MB, and what the runtime has not collected yet is as much again.
	answerMemoryShare = 0.12
	bodyMemoryShare   = 0.12
)

// memoryPart is a part of the memory limit in bytes.
func (g *Gateway) memoryPart(share float64) int64 {
	return int64(share * float64(g.settings.Gateway.MemoryMB) * (1 << 20))
}

func (g *Gateway) buildFront() {
	g.ingress = ingress.New(ingress.Config{
		Ready:        g.startup.ready,
		Index:        g.places.Index,
		Runner:       g.entry,
		Limiter:      g.leases,
		Recorder:     recorder{registry: g.metrics},
		Logger:       g.logger,
		OpenRequests: g.settings.Limits.OpenRequests,
	})
	g.front = platform.NewServer(platform.ServerConfig{
		Ingress:       g.ingress,
		HeaderBytes:   defaultCallerLimits.HeaderBytes,
		HeaderTimeout: defaultCallerLimits.HeaderTimeout,
		IdleTimeout:   idleFactor * defaultCallerLimits.IdleTimeout,
		BodyMemory:    bytebudget.New(g.memoryPart(bodyMemoryShare)),
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
