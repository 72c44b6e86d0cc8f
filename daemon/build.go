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
	"github.com/marjoramflow/marjoramflow/retry"
	"github.com/marjoramflow/marjoramflow/settings"
	"github.com/marjoramflow/marjoramflow/store"
	"github.com/marjoramflow/marjoramflow/upstream"
)

// openPlatform builds the adapters to the platform's services.
func (d *Daemon) openPlatform() error {
	p := d.settings.Platform
	table, err := openStore(p.Table)
	if err != nil {
		return err
	}
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
	d.store = store.New(store.Config{
		Table:   table,
		Objects: objects.Objects(),
		Limits: store.Limits{
			ReadsPerSecond:  d.settings.Limits.StoreReads,
			WritesPerSecond: d.settings.Limits.StoreWrites,
		},
		Logger: d.logger,
	})
	d.table = d.store
	d.objects = d.store.Objects()
	d.weights = weights
	d.vms = httpplatform.VMs{Client: vms}
	return nil
}

// openStore returns a client of the platform's store by its base URL.
func openStore(base string) (*platform.Store, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fault.Wrap(err, "platform.url", base)
	}
	return platform.NewStore(u.Host, upstream.NewPool(upstream.Options{})), nil
}

// openMesh builds the membership duty and the mesh of sessions.
func (d *Daemon) openMesh() error {
	s := d.settings
	d.members = members.New(members.Config{
		Self: membership.Member{
			Name:        s.Name,
			Address:     s.Listen.Peers,
			DataCentre:  s.DataCentre,
			Incarnation: d.incarnation,
		},
		VMs:    d.vms,
		Seeds:  seeds(s.Seeds),
		Logger: d.logger,
		OnLive: d.onLive,
		OnGone: d.onGone,
		OnList: func(list []provider.VM) { d.probes.SetList(list) },
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

func seeds(list []settings.Seed) []peer.Address {
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

// buildSharing builds the parts that share what this daemon learned.
func (d *Daemon) buildSharing() {
	d.suspects = quarantinesync.New(quarantinesync.Config{
		Self:      d.settings.Name,
		Broadcast: d.broadcast,
		Table:     d.table,
		Logger:    d.logger,
	})
	d.limits = newLimits(d.settings.Name, d.mesh.Send, d.places.everyone)
	d.link = newLink()
	d.keys = idempotency.New(d.table, idempotency.Options{})
	d.moves = moves.New(moves.Config{
		Self:        d.settings.Name,
		Incarnation: d.incarnation,
		Send:        d.mesh.Send,
		Broadcast:   d.broadcast,
		LiveLocal:   d.liveHere,
		LiveAll:     d.places.everyone,
		DataCentres: maxDataCentres,
		Table:       d.table,
		Weights:     d.weights,
		Loader:      moves.Loader{Engines: d.engines, Model: d.model},
		Shares:      d.shares,
		Logger:      d.logger,
	})
}

// maxDataCentres divides the error probability of the tests that data centres
// make on their own; it is the planned number of data centres.
const maxDataCentres = 16

// buildAdmin builds the administration API.
func (d *Daemon) buildAdmin() {
	d.admin = adminapi.New(adminapi.Options{
		Daemon:    d.settings.Name,
		Version:   Version,
		Backend:   backend{daemon: d},
		Operators: d.settings.Tokens.Operators,
		Log:       d.logger,
		Metrics:   d.metrics,
	})
}

// Version is the version of the binary; the linker sets it.
var Version = "devel"

// buildScheduling builds the owner, grant and probe parts and the entry.
func (d *Daemon) buildScheduling() {
	d.probes = probes.New(probes.Config{
		Prober:       d.engines,
		OnState:      d.onTargetState,
		OnLoaded:     d.onLoaded,
		OnTargetLost: func(target string, ran []uint64) { d.suspects.TargetLost(target, ran) },
		OnRemoved:    func(target string) { d.suspects.DiscountLoss(target) },
		Logger:       d.logger,
	})
	d.owners = owners.New(owners.Config{
		Self:             d.settings.Name,
		Sender:           d.mesh,
		OnConnectionLost: d.probes.ConnectionLost,
		EjectionProbe:    d.trial,
		Logger:           d.logger,
	})
	d.grants = grants.New(grants.Config{
		Self:          d.settings.Name,
		Sender:        d.mesh,
		Topologies:    d.places,
		LinkBudget:    d.link,
		OnUnreachable: d.members.ReportUnreachable,
	})
	budgets := newRetries()
	d.entry = entry.New(entry.Config{
		Grants:          d.grants,
		Engines:         d.engines,
		PlainServices:   plainservice.NewClient(),
		VersionPicker:   versions{shares: d.shares},
		Observer:        &observer{lengths: d.lengths, moves: d.moves, metrics: d.metrics},
		IdempotencyKeys: d.keys,
		Quarantine:      d.suspects,
		RetryPolicy:     budgets,
		HedgePolicy:     hedges{hedger: retry.NewHedger(), retries: budgets},
		Pause:           sleep,
	})
}

func (d *Daemon) buildFrontend() {
	d.frontend = frontend.New(frontend.Config{
		Limits:          d.settings.Limits,
		Runner:          d.entry,
		Limiter:         d.limits,
		OutputPredictor: d.lengths,
		Recorder:        recorder{registry: d.metrics},
		Logger:          d.logger,
		Index:           d.places.Index,
		Callers:         callerDigests(d.settings.Tokens.Callers),
		Ready:           d.ready,
	})
}

func callerDigests(tokens map[string]settings.Secret) map[[sha256.Size]byte]string {
	out := make(map[[sha256.Size]byte]string, len(tokens))
	for account, token := range tokens {
		out[sha256.Sum256([]byte(token.Reveal()))] = account
	}
	return out
}
