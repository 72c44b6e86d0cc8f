package daemon

import (
	"context"
	"crypto/sha256"
	"expvar"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/confsync"
	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/frontend"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/internal/members"
	"github.com/marjoramflow/marjoramflow/internal/moves"
	"github.com/marjoramflow/marjoramflow/internal/owners"
	"github.com/marjoramflow/marjoramflow/internal/probes"
	"github.com/marjoramflow/marjoramflow/internal/suspects"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/platform"
	"github.com/marjoramflow/marjoramflow/provider/httpplatform"
	"github.com/marjoramflow/marjoramflow/rollout"
	"github.com/marjoramflow/marjoramflow/settings"
	"github.com/marjoramflow/marjoramflow/store"
)

// Daemon holds the parts of one daemon.
type Daemon struct {
	settings *settings.Settings
	logger   *eventlog.Logger

	// table and objects share the daemon's budget of store calls.
	table   platform.Table
	objects platform.Objects
	store   *store.Client
	weights platform.Weights
	vms     platform.VMList

	places    *places
	shares    *rollout.Shares
	mesh      *peer.Mesh
	members   *members.Duty
	owners    *owners.Duty
	grants    *grants.Client
	probes    *probes.Duty
	suspects  *suspects.Duty
	keys      *idempotency.Claims
	config    *confsync.Syncer
	publisher *confsync.Publisher
	limits    *limits
	link      link
	moves     *moves.Duty
	metrics   *metrics.Registry
	lengths   *lengths
	peers     *peerViews
	states    *targetStates
	admin     *adminapi.Server
	engines   *engine.Client
	entry     *entry.Entry
	frontend  *frontend.Server

	callers     net.Listener
	operators   net.Listener
	incarnation uint64
	stopping    atomic.Bool
}

// New opens the listeners and puts the parts together. Nothing runs before Run.
func New(s *settings.Settings, logger *eventlog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		logger:      logger,
		places:      newPlaces(s.DataCentre, s.Region),
		shares:      rollout.NewShares(),
		engines:     engine.NewClient(),
		metrics:     metrics.New(metrics.DefaultLimits),
		lengths:     &lengths{model: estimate.New()},
		peers:       newPeerViews(),
		states:      newTargetStates(),
		incarnation: uint64(time.Now().UnixMilli()),
	}
	if err := d.openPlatform(); err != nil {
		return nil, err
	}
	if err := d.openMesh(); err != nil {
		return nil, err
	}
	d.buildConfig()
	d.buildSharing()
	d.buildScheduling()
	d.buildFrontend()
	d.buildAdmin()
	listener, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, fault.Wrap(err, "daemon.listen", s.Listen.Callers)
	}
	d.callers = listener
	d.operators, err = net.Listen("tcp", s.Listen.Admin)
	return d, fault.Wrap(err, "daemon.listen", s.Listen.Admin)
}

// openPlatform builds the adapters to the platform's services.
func (d *Daemon) openPlatform() error {
	p := d.settings.Platform
	table, err := httpplatform.New(p.Table)
	if err != nil {
		return err
	}
	objects, err := httpplatform.New(p.Objects)
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
		Objects: httpplatform.Objects{Client: objects},
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
		OnList: func(list []platform.VM) { d.probes.SetList(list) },
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
	d.suspects = suspects.New(suspects.Config{
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
		Live:        d.liveHere,
		Everyone:    d.places.everyone,
		DataCentres: maxDataCentres,
		Table:       d.table,
		Weights:     d.weights,
		Orders:      moves.Orders{Engines: d.engines, Model: d.model},
		Shares:      d.shares,
		Logger:      d.logger,
	})
}

// maxDataCentres divides the error probability of the tests that data centres
// make on their own; it is the planned number of data centres.
const maxDataCentres = 16

// broadcast sends a message to every daemon with a session.
func (d *Daemon) broadcast(m *peerpb.Envelope) {
	for _, s := range d.mesh.Sessions() {
		// A peer that cannot take the message learns its content when its session
		// is up again.
		_ = d.mesh.Send(s.Name, m)
	}
}

// model returns the engine's name of a version.
func (d *Daemon) model(version string) string {
	if index := d.places.Index(); index != nil {
		if v := index.Version(version); v != nil && v.Model != "" {
			return v.Model
		}
	}
	return version
}

// onTargetState tells the owner duty and the operators about a target.
func (d *Daemon) onTargetState(target string, state owner.TargetState) {
	d.states.set(target, state)
	d.owners.SetTargetState(target, state)
}

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

// Each daemon sweeps old claims with a small part of the store's writes: at the
// planned 2,600 daemons this is 9 writes/s at most.
const (
	sweepInterval = 10 * time.Minute
	sweepWrites   = 2
)

func (d *Daemon) sweepKeys(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		if _, err := d.keys.Sweep(ctx, sweepWrites); err != nil {
			d.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		}
	}
	return nil
}

// rotateInterval is the span of the quantiles of the metrics.
const rotateInterval = time.Minute

func (d *Daemon) rotateMetrics(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, rotateInterval)
		d.metrics.Rotate()
	}
	return nil
}

// buildScheduling builds the owner, grant and probe parts and the entry.
func (d *Daemon) buildScheduling() {
	d.probes = probes.New(probes.Config{
		Prober:    d.engines,
		OnState:   d.onTargetState,
		OnLoaded:  d.onLoaded,
		OnLost:    func(target string, ran []uint64) { d.suspects.TargetLost(target, ran) },
		OnRemoved: func(target string) { d.suspects.Exonerate(target) },
		Logger:    d.logger,
	})
	d.owners = owners.New(owners.Config{
		Self:   d.settings.Name,
		Sender: d.mesh,
		OnLost: d.probes.Lost,
		Trial:  d.trial,
		Logger: d.logger,
	})
	d.grants = grants.New(grants.Config{
		Self:        d.settings.Name,
		Sender:      d.mesh,
		Places:      d.places,
		Link:        d.link,
		Unreachable: d.members.Unreachable,
	})
	d.entry = entry.New(entry.Config{
		Grants:   d.grants,
		Engines:  d.engines,
		Plains:   plainservice.NewClient(),
		Versions: versions{shares: d.shares},
		Observer: &observer{lengths: d.lengths, moves: d.moves},
		Keys:     d.keys,
		Suspects: d.suspects,
		Retries:  newRetries(),
		Pause:    pause,
	})
}

func (d *Daemon) buildFrontend() {
	d.frontend = frontend.New(frontend.Config{
		Limits:   d.settings.Limits,
		Runner:   d.entry,
		Limiter:  d.limits,
		Lengths:  d.lengths,
		Recorder: recorder{registry: d.metrics},
		Logger:   d.logger,
		Index:    d.places.Index,
		Callers:  callerDigests(d.settings.Tokens.Callers),
		Ready:    d.ready,
	})
}

func callerDigests(tokens map[string]settings.Secret) map[[sha256.Size]byte]string {
	out := make(map[[sha256.Size]byte]string, len(tokens))
	for account, token := range tokens {
		out[sha256.Sum256([]byte(token.Reveal()))] = account
	}
	return out
}

// ready is the answer to the balancer.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.places.Index() != nil
}

// liveHere returns the live daemons of the own data centre.
func (d *Daemon) liveHere() []string {
	live, _ := d.places.liveIn(d.settings.DataCentre)
	return live
}

func (d *Daemon) generation() uint64 {
	if index := d.places.Index(); index != nil {
		return index.Generation
	}
	return 0
}

// onMessage hands a frame to the duty that it belongs to.
func (d *Daemon) onMessage(from string, m *peerpb.Envelope) {
	d.peers.onMessage(from, m)
	d.onConfigMessage(from, m)
	d.limits.onMessage(from, m)
	handled := d.members.OnMessage(from, m) ||
		d.owners.OnMessage(from, m) ||
		d.grants.OnMessage(from, m) ||
		d.suspects.OnMessage(m) ||
		d.moves.OnMessage(from, m)
	_ = handled
}

func (d *Daemon) onSession(name string, up bool, hello *peerpb.Hello) {
	if up {
		d.grants.SessionUp(name)
		d.moves.SessionUp(name)
		d.config.PeerGeneration(name, hello.Generation)
	} else {
		d.grants.SessionLost(name)
	}
	d.members.OnSession(name, up, hello)
}

func (d *Daemon) onLive(dataCentre string, daemons []string) {
	if d.places.setLive(dataCentre, daemons) {
		d.placesChanged()
	}
}

func (d *Daemon) onGone(daemon string) {
	d.owners.EntryGone(daemon)
}

// install puts a configuration in force on this daemon.
func (d *Daemon) install(generation uint64, set *object.Set) {
	d.places.setIndex(object.NewIndex(generation, set))
	d.moves.SetConfig(set)
	d.limits.setConfig(set)
	d.placesChanged()
	d.logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": generation})
}

// placesChanged tells the duties that groups or owners changed.
func (d *Daemon) placesChanged() {
	local := d.places.Local()
	d.owners.SetPlaces(local, len(d.liveHere()))
	d.link.setDaemons(d.places.liveInRegion())
	d.grants.PlacesChanged()
	var owned []*object.Target
	for _, g := range local.OwnedBy(d.settings.Name) {
		owned = append(owned, g.Targets...)
	}
	d.probes.SetTargets(owned)
}

// onLoaded maps the models that a target reports to versions.
func (d *Daemon) onLoaded(target string, models []string) {
	index := d.places.Index()
	if index == nil || index.Target(target) == nil {
		return
	}
	loaded := make(map[string]bool, len(models))
	for _, m := range models {
		loaded[m] = true
	}
	versions := []string{}
	for _, name := range index.Target(target).Versions {
		v := index.Version(name)
		if loaded[name] || (v != nil && loaded[v.Model]) {
			versions = append(versions, name)
		}
	}
	d.owners.SetLoaded(target, versions)
}

// Run starts the duties and serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	duties, cancelDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelDuties()
	group, groupCtx := errgroup.WithContext(duties)
	for _, duty := range d.duties() {
		group.Go(func() error { return d.runDuty(groupCtx, duty) })
	}
	group.Go(func() error { return d.frontend.Serve(d.callers) })
	d.logger.Emit(eventlog.DaemonStarted, eventlog.Fields{
		"callers":    d.settings.Listen.Callers,
		"peers":      d.settings.Listen.Peers,
		"dataCentre": d.settings.DataCentre,
	})
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := d.stop(ctx)
	cancelDuties()
	err := group.Wait()
	d.logger.Emit(eventlog.DaemonStopped, nil)
	if err == nil {
		err = stopErr
	}
	return err
}

// runDuty runs one duty; its error ends the daemon.
func (d *Daemon) runDuty(ctx context.Context, duty func(context.Context) error) error {
	err := duty(ctx)
	if err != nil {
		d.logger.EmitError(eventlog.DutyFailed, err, nil)
	}
	return err
}

// duties are the goroutines of the daemon.
func (d *Daemon) duties() []func(context.Context) error {
	return []func(context.Context) error{
		d.mesh.Run,
		d.members.Run,
		d.members.RunList,
		d.owners.Run,
		d.probes.Run,
		d.suspects.Run,
		d.suspects.RunStore,
		d.moves.Run,
		d.keys.Run,
		d.sweepKeys,
		d.rotateMetrics,
		func(ctx context.Context) error { return d.admin.Serve(ctx, d.operators) },
		d.config.Run,
		d.limits.run,
	}
}

// stop ends the daemon's work without cutting a request.
func (d *Daemon) stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": d.frontend.Open()})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Limits.Drain+d.settings.Limits.Shutdown)
	defer cancel()
	d.members.Leave(ctx)
	pause(ctx, d.settings.Limits.Drain)
	return d.frontend.Shutdown(ctx)
}
