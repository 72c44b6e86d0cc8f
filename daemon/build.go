package daemon

import (
	"crypto/sha256"
	"expvar"
	"net/url"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/frontend"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/internal/members"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/internal/owners"
	"github.com/marjoramflow/marjoramflow/internal/probes"
	"github.com/marjoramflow/marjoramflow/internal/quarantinesync"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/platform"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/provider/httpplatform"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/retry"
	"github.com/marjoramflow/marjoramflow/settings"
	"github.com/marjoramflow/marjoramflow/store"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// openPlatform creates the clients of the platform's services.
func (d *Daemon) openPlatform() error {
	p := d.settings.Platform
	table, err := openStore(p.Table)
	if err != nil {
		return err
	}
	table.OnRestore(d.storeRestored)
	d.metrics.Set("storeEra", expvar.Func(func() any { return table.Era() }))
	objects, err := openStore(p.Objects)
	if err != nil {
		return err
	}
	weights, err := httpplatform.New(p.Weights)
	if err != nil {
		return err
	}
	vms, err := httpplatform.New(p.VMs)
	if err != nil {
		return err
	}
	d.storeClient = store.New(store.Config{
		Table:   table,
		Objects: objects.Objects(),
		Limits: store.Limits{
			ReadsPerSecond:  d.settings.Limits.StoreReads,
			WritesPerSecond: d.settings.Limits.StoreWrites,
		},
		Logger: d.logger,
	})
	d.table = d.storeClient
	d.objects = d.storeClient.Objects()
	d.weights = weights
	d.vms = httpplatform.VMs{Client: vms}
	return nil
}

// openStore returns a client of the platform's store at a base URL.
func openStore(base string) (*platform.Store, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fault.Wrap(err, "platform.url", base)
	}
	return platform.NewStore(u.Host, upstream.NewPool(upstream.Options{})), nil
}

// openMesh creates the membership manager and the mesh of sessions with other daemons.
func (d *Daemon) openMesh() error {
	s := d.settings
	d.members = members.New(members.Config{
		Self: membership.Member{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: d.incarnation,
		},
		VMs:           d.vms,
		Seeds:         seedAddresses(s.Seeds),
		Logger:        d.logger,
		OnLiveChanged: d.onLiveChanged,
		OnDaemonDead:  d.onDaemonDead,
		OnVMList:      func(list []provider.VM) { d.probes.SetVMList(list) },
	})
	mesh, err := peer.New(peer.Config{
		Self: peer.Identity{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: d.incarnation,
		},
		Listen:     s.Listen.Peers,
		TLS:        tlsFiles(s.TLS),
		Generation: d.generation,
		OnMessage:  d.onMessage,
		OnSession:  d.onSession,
		Logger:     d.logger,
	})
	if err != nil {
		return err
	}
	d.mesh = mesh
	d.metrics.Set("mesh", expvar.Func(func() any { return mesh.Stats() }))
	d.members.SetMesh(mesh)
	return nil
}

func seedAddresses(list []settings.Seed) []peer.Address {
	out := make([]peer.Address, len(list))
	for i, s := range list {
		out[i] = peer.Address{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre}
	}
	return out
}

func tlsFiles(t settings.TLS) *peer.TLSFiles {
	if t.Certificate == "" {
		return nil
	}
	return &peer.TLSFiles{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
}

// buildSharedState creates the parts by which daemons share state or limits, directly or
// through the store: quarantine, account limits, the link budget, idempotency keys and moves.
func (d *Daemon) buildSharedState() {
	d.quarantine = quarantinesync.New(quarantinesync.Config{
		Self:      d.settings.Name,
		Broadcast: d.broadcast,
		Send:      d.mesh.Send,
		IsKeeper:  func(key string) bool { return rendezvous.Owner(key, d.topologies.liveAll()) == d.settings.Name },
		Table:     d.table,
		Logger:    d.logger,
	})
	d.accountLimiter = newAccountLimiter(d.settings.Name, d.mesh.Send, d.topologies.liveAll)
	d.linkBudget = newLinkBudget()
	d.idempotencyKeys = idempotency.New(d.table, idempotency.Options{})
	d.moves = moves.New(moves.Config{
		Self:         d.settings.Name,
		Incarnation:  d.incarnation,
		Send:         d.mesh.Send,
		Broadcast:    d.broadcast,
		LiveLocal:    d.liveLocal,
		LiveAll:      d.topologies.liveAll,
		DataCentres:  plannedDataCentres,
		Table:        d.table,
		Weights:      d.weights,
		Loader:       moves.Loader{Engines: d.engines, Model: d.engineModel},
		TrafficSplit: d.trafficSplit,
		Logger:       d.logger,
	})
}

// plannedDataCentres is the planned number of data centres. Each data centre tests the new
// version of a move on its own, so the error probability of the tests is divided by it.
const plannedDataCentres = 16

// buildAdmin creates the administration API.
func (d *Daemon) buildAdmin() {
	d.admin = adminapi.NewServer(adminapi.ServerOptions{
		Daemon:    d.settings.Name,
		Version:   Version,
		Backend:   backend{daemon: d},
		Operators: d.settings.Tokens.Operators,
		Log:       d.logger,
		Metrics:   d.metrics,
	})
}

// Version is the version of the binary. It is set by the linker.
var Version = "devel"

// buildScheduling creates the target probes, the manager of owned target groups, the grant
// client and the runner of requests.
func (d *Daemon) buildScheduling() {
	d.probes = probes.New(probes.Config{
		Prober:       d.engines,
		OnState:      d.onTargetState,
		OnLoaded:     d.onModelsLoaded,
		OnTargetLost: func(target string, fingerprints []uint64) { d.quarantine.TargetLost(target, fingerprints) },
		OnVMRemoved:  func(target string) { d.quarantine.DiscountLoss(target) },
		Logger:       d.logger,
	})
	d.owners = owners.New(owners.Config{
		Self:             d.settings.Name,
		Sender:           d.mesh,
		OnConnectionLost: d.probes.ConnectionLost,
		EjectionProbe:    d.probeEjected,
		Logger:           d.logger,
		Cold:             owners.ColdConfig{Overage: 1},
	})
	d.metrics.Set("coldTargets", expvar.Func(func() any { return d.owners.ColdStats() }))
	d.grants = grants.New(grants.Config{
		Self:          d.settings.Name,
		Region:        d.settings.Region,
		Sender:        d.mesh,
		Topologies:    d.topologies,
		LinkBudget:    d.linkBudget,
		OnUnreachable: d.members.ReportUnreachable,
		OnUnanswered:  d.members.ReportUnanswered,
	})
	policies := newRetryPolicies()
	d.entryRunner = entry.New(entry.Config{
		Grants:          d.grants,
		Engines:         d.engines,
		PlainServices:   plainservice.NewClient(),
		VersionPicker:   versionPicker{trafficSplit: d.trafficSplit},
		Observer:        &observer{outputPredictor: d.outputPredictor, moves: d.moves, metrics: d.metrics},
		IdempotencyKeys: d.idempotencyKeys,
		Quarantine:      d.quarantine,
		RetryPolicy:     policies,
		HedgePolicy:     hedgePolicy{hedger: retry.NewHedger(), retryPolicies: policies},
		Sleep:           sleep,
	})
}

func (d *Daemon) buildFrontend() {
	d.frontend = frontend.New(frontend.Config{
		Limits:          d.settings.Limits,
		Runner:          d.entryRunner,
		Limiter:         d.accountLimiter,
		OutputPredictor: d.outputPredictor,
		Recorder:        recorder{registry: d.metrics},
		Logger:          d.logger,
		Index:           d.topologies.Index,
		Callers:         accountsByTokenDigest(d.settings.Tokens.Callers),
		Ready:           d.ready,
	})
}

func accountsByTokenDigest(tokens map[string]settings.Secret) map[[sha256.Size]byte]string {
	out := make(map[[sha256.Size]byte]string, len(tokens))
	for account, token := range tokens {
		out[sha256.Sum256([]byte(token.Reveal()))] = account
	}
	return out
}
