package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
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
	"github.com/marjoramflow/marjoramflow/internal/quarantinesync"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/peer"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
	"github.com/marjoramflow/marjoramflow/settings"
	"github.com/marjoramflow/marjoramflow/store"
)

// Daemon holds the parts of one daemon.
type Daemon struct {
	path     string
	log      *eventlog.Async
	settings *settings.Settings
	logger   *eventlog.Logger

	// table and objects share the daemon's budget of store calls.
	table   provider.Table
	objects provider.Objects
	store   *store.Client
	weights provider.Weights
	vms     provider.VMList

	places    *places
	shares    *rollout.Shares
	mesh      *peer.Mesh
	members   *members.Manager
	owners    *owners.Manager
	grants    *grants.Client
	probes    *probes.Monitor
	suspects  *quarantinesync.Syncer
	keys      *idempotency.Claims
	config    *confsync.Syncer
	publisher *confsync.Publisher
	limits    *limits
	link      link
	moves     *moves.Manager
	metrics   *metrics.Registry
	lengths   *lengths
	peers     *peerViews
	states    *targetStates
	admin     *adminapi.Server
	engines   *engine.Client
	entry     *entry.Runner
	frontend  *frontend.Server

	callers     net.Listener
	operators   net.Listener
	incarnation uint64
	stopping    atomic.Bool
}

// Runner serves until the context ends, then stops gracefully.
type Runner interface {
	Run(ctx context.Context) error
	// Reload reads the settings file again and logs what it found. Static settings
	// take effect at the next start.
	Reload()
}

// InFlight reads the settings file and returns a daemon that logs to w: a Gateway when
// the settings have one, else a Daemon.
func Open(path string, w io.Writer) (Runner, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	async := eventlog.NewAsync(w)
	logger, err := eventlog.New(async, s.Log.Level, s.Log.Format, s.Name)
	if err != nil {
		return nil, err
	}
	if s.Gateway.Enabled() {
		g, err := NewGateway(s, logger)
		if err != nil {
			return nil, err
		}
		g.path = path
		g.log = async
		return g, nil
	}
	d, err := New(s, logger)
	if err != nil {
		return nil, err
	}
	d.path = path
	d.log = async
	return d, nil
}

// Reload implements Runner.
func (d *Daemon) Reload() {
	reload(d.path, d.settings, d.logger)
}

// reload reads the settings file again. The listeners, the place and the bounds of
// a daemon stay as they are until it starts anew, so a change is only reported.
func reload(path string, inForce *settings.Settings, logger *eventlog.Logger) {
	s, err := settings.Load(path)
	if err != nil {
		logger.EmitError(eventlog.SettingsRefused, err, eventlog.Fields{"file": path})
		return
	}
	logger.Emit(eventlog.SettingsRead, eventlog.Fields{"file": path, "changed": !reflect.DeepEqual(s, inForce)})
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

// Each daemon sweeps old claims with a small part of the store's writes: at the
// planned 2,600 daemons this is 9 writes/s at most.
const (
	sweepInterval = 10 * time.Minute
	sweepWrites   = 2
)

func (d *Daemon) sweepKeys(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
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
		sleep(ctx, rotateInterval)
		d.metrics.Rotate()
	}
	return nil
}

// Run starts the duties and serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	duties, cancelDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelDuties()
	group, groupCtx := errgroup.WithContext(duties)
	stopLog := startLog(d.log, d.logger)
	defer stopLog()
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

// startLog writes log lines in the background until the returned function is
// called, which waits for the last line. Without a writer it does nothing.
func startLog(async *eventlog.Async, logger *eventlog.Logger) func() {
	if async == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		onDropped := func(n int64) { logger.Emit(eventlog.LogDropped, eventlog.Fields{"dropped": n}) }
		if err := async.Run(ctx, onDropped); err != nil {
			fmt.Fprintln(os.Stderr, "marjoramd:", err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
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
		d.members.RunVMList,
		d.owners.Run,
		d.grants.Run,
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
	d.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": d.frontend.InFlight()})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Limits.Drain+d.settings.Limits.Shutdown)
	defer cancel()
	d.members.Leave(ctx)
	sleep(ctx, d.settings.Limits.Drain)
	return d.frontend.Shutdown(ctx)
}
