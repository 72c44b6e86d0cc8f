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

// Daemon is the daemon that is configured through its administration API. It connects the
// parts of the scheduler.
type Daemon struct {
	settingsPath string
	logWriter    *eventlog.AsyncWriter
	settings     *settings.Settings
	logger       *eventlog.Logger

	// table and objects are views of storeClient, so that all store calls share one budget.
	table       provider.Table
	objects     provider.Objects
	storeClient *store.Client
	weights     provider.Weights
	vms         provider.VMList

	topologies      *topologies
	trafficSplit    *rollout.TrafficSplit
	mesh            *peer.Mesh
	members         *members.Manager
	owners          *owners.Manager
	grants          *grants.Client
	probes          *probes.Monitor
	quarantine      *quarantinesync.Syncer
	idempotencyKeys *idempotency.Claims
	configSyncer    *confsync.Syncer
	publisher       *confsync.Publisher
	accountLimiter  *accountLimiter
	linkBudget      linkBudget
	moves           *moves.Manager
	metrics         *metrics.Registry
	outputPredictor *outputPredictor
	peerStatuses    *peerStatuses
	targetStates    *targetStates
	admin           *adminapi.Server
	engines         *engine.Client
	entryRunner     *entry.Runner
	frontend        *frontend.Server

	callerListener net.Listener
	adminListener  net.Listener
	incarnation    uint64
	stopping       atomic.Bool
}

// Runner is a daemon, either a Daemon or a Gateway.
type Runner interface {
	// Run serves until the context ends, then stops gracefully.
	Run(ctx context.Context) error
	// Reload reads the settings file again and logs whether it is valid and has changed.
	// Changes take effect at the next start.
	Reload()
}

// Open reads the settings file and returns a daemon that logs to w: a Gateway if the
// settings configure one, else a Daemon.
func Open(path string, w io.Writer) (Runner, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	async := eventlog.NewAsyncWriter(w)
	logger, err := eventlog.New(async, s.Log.Level, s.Log.Format, s.Name)
	if err != nil {
		return nil, err
	}
	if s.Gateway.Enabled() {
		g, err := NewGateway(s, logger)
		if err != nil {
			return nil, err
		}
		g.settingsPath = path
		g.logWriter = async
		return g, nil
	}
	d, err := New(s, logger)
	if err != nil {
		return nil, err
	}
	d.settingsPath = path
	d.logWriter = async
	return d, nil
}

// Reload implements Runner.
func (d *Daemon) Reload() {
	reload(d.settingsPath, d.settings, d.logger)
}

// reload reads the settings file again. The listeners, the data centre and the limits of a
// running daemon are fixed, so a change is only logged.
func reload(path string, current *settings.Settings, logger *eventlog.Logger) {
	s, err := settings.Load(path)
	if err != nil {
		logger.EmitError(eventlog.SettingsRefused, err, eventlog.Fields{"file": path})
		return
	}
	logger.Emit(eventlog.SettingsRead, eventlog.Fields{"file": path, "changed": !reflect.DeepEqual(s, current)})
}

// New creates a daemon and opens its listeners. Nothing is served before Run.
func New(s *settings.Settings, logger *eventlog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:        s,
		logger:          logger,
		topologies:      newTopologies(s.DataCentre, s.Region),
		trafficSplit:    rollout.NewTrafficSplit(),
		engines:         engine.NewClient(),
		metrics:         metrics.New(metrics.DefaultLimits),
		outputPredictor: &outputPredictor{model: estimate.New()},
		peerStatuses:    newPeerStatuses(),
		targetStates:    newTargetStates(),
		incarnation:     uint64(time.Now().UnixMilli()),
	}
	if err := d.openPlatform(); err != nil {
		return nil, err
	}
	if err := d.openMesh(); err != nil {
		return nil, err
	}
	d.buildConfigSync()
	d.buildSharedState()
	d.buildScheduling()
	d.buildFrontend()
	d.buildAdmin()
	listener, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, fault.Wrap(err, "daemon.listen", s.Listen.Callers)
	}
	d.callerListener = listener
	d.adminListener, err = net.Listen("tcp", s.Listen.Admin)
	return d, fault.Wrap(err, "daemon.listen", s.Listen.Admin)
}

// Each daemon deletes expired idempotency claims with a small part of the store's writes:
// at the planned 2,600 daemons, these are at most 9 writes/s together.
const (
	claimSweepInterval = 10 * time.Minute
	maxWritesPerSweep  = 2
)

// sweepClaims deletes expired idempotency claims until the context ends. It returns nil.
func (d *Daemon) sweepClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, claimSweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		if _, err := d.idempotencyKeys.Sweep(ctx, maxWritesPerSweep); err != nil {
			d.logger.EmitError(eventlog.PlatformUnavailable, err, nil)
		}
	}
	return nil
}

// quantileInterval is the time span that the quantiles of the metrics cover.
const quantileInterval = time.Minute

// rotateMetrics starts a new quantile interval periodically until the context ends. It
// returns nil.
func (d *Daemon) rotateMetrics(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, quantileInterval)
		d.metrics.Rotate()
	}
	return nil
}

// Run starts the background tasks and serves until the context ends or a task fails, then
// stops gracefully. It returns the error of the failed task, else that of the stop.
func (d *Daemon) Run(ctx context.Context) error {
	tasksCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, groupCtx := errgroup.WithContext(tasksCtx)
	stopLog := startLogWriter(d.logWriter, d.logger)
	defer stopLog()
	for _, task := range d.backgroundTasks() {
		group.Go(func() error { return d.runBackgroundTask(groupCtx, task) })
	}
	group.Go(func() error { return d.frontend.Serve(d.callerListener) })
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
	cancelTasks()
	err := group.Wait()
	d.logger.Emit(eventlog.DaemonStopped, nil)
	if err == nil {
		err = stopErr
	}
	return err
}

// startLogWriter writes log lines in the background until the returned function is called,
// which returns once the last line is written. With a nil writer it does nothing.
func startLogWriter(async *eventlog.AsyncWriter, logger *eventlog.Logger) func() {
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

// runBackgroundTask runs one background task and logs its error, which stops the daemon.
func (d *Daemon) runBackgroundTask(ctx context.Context, task func(context.Context) error) error {
	err := task(ctx)
	if err != nil {
		d.logger.EmitError(eventlog.DutyFailed, err, nil)
	}
	return err
}

// backgroundTasks returns the functions that run in goroutines of their own.
func (d *Daemon) backgroundTasks() []func(context.Context) error {
	return []func(context.Context) error{
		d.mesh.Run,
		d.members.Run,
		d.members.RunVMList,
		d.owners.Run,
		d.grants.Run,
		d.probes.Run,
		d.quarantine.Run,
		d.quarantine.RunTable,
		d.moves.Run,
		d.idempotencyKeys.Run,
		d.sweepClaims,
		d.rotateMetrics,
		func(ctx context.Context) error { return d.admin.Serve(ctx, d.adminListener) },
		d.configSyncer.Run,
		d.accountLimiter.run,
	}
}

// stop ends the daemon's work without interrupting requests. It leaves the mesh, waits for
// the drain time of the settings, in which other daemons take over the owned groups, and
// then waits for the requests in flight. The drain and shutdown times together bound it.
func (d *Daemon) stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.logger.Emit(eventlog.DaemonStopping, eventlog.Fields{"open": d.frontend.InFlight()})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Limits.Drain+d.settings.Limits.Shutdown)
	defer cancel()
	d.members.Leave(ctx)
	sleep(ctx, d.settings.Limits.Drain)
	return d.frontend.Shutdown(ctx)
}
