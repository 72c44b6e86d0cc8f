// Package probes watches the targets that a daemon owns: a probe a second tells
// whether a target is up, leaving or down and which versions it has loaded, the
// VM list tells which targets leave, and a lost connection is checked at once, so
// that requests which crash targets are told from connections that merely broke.
//
// Package membership decides what the evidence means. A large share of the
// targets that vanishes from the list at once is kept and probed.
package probes

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// tickInterval is the precision of probe times.
	tickInterval = 250 * time.Millisecond
	// probeTimeout bounds how long a leaving mark stays unseen.
	probeTimeout = 900 * time.Millisecond
	// failuresForDown is the number of failed probes that takes a target out.
	failuresForDown = 3
	// lossWindow joins the losses of one crash: the attempts on a target break
	// within this time.
	lossWindow = 500 * time.Millisecond
	// eventRing bounds the inputs that wait for the duty.
	eventRing = 4096
	// parallelProbes bounds open probes.
	parallelProbes = 16
)

// Prober asks a target for its health.
type Prober interface {
	Probe(ctx context.Context, target, address string) (*engine.Health, error)
}

// Config holds the parts of a Monitor. All are required. The callbacks are called
// from the duty's goroutine and must not block.
type Config struct {
	Prober   Prober
	OnState  func(target string, state owner.TargetState)
	OnLoaded func(target string, models []string)
	// OnTargetLost is told the fingerprints that ran on a target when it was lost.
	OnTargetLost func(target string, fingerprints []uint64)
	// OnRemoved is told that the platform removed a target's VM.
	OnRemoved func(target string)
	Logger    *eventlog.Logger
}

// Monitor probes targets. Run owns its state; the other methods hand their input to
// a ring and are safe for concurrent use.
type Monitor struct {
	Config
	events *ring.Ring[func(now time.Time)]
	table  *membership.TargetTable
	// targets are those to watch, by name.
	targets map[string]*object.Target
	// list is the last VM list, listed the names that were ever in it.
	list   []provider.VM
	listed map[string]bool
	// losses collects the fingerprints that ran on targets whose connections broke.
	losses  map[string]map[uint64]bool
	checkAt time.Time
	probes  errgroup.Group
}

// New returns a duty without targets.
func New(config Config) *Monitor {
	d := &Monitor{
		Config:  config,
		events:  ring.New[func(time.Time)](eventRing),
		table:   membership.NewTargetTable(membership.TargetTableConfig{}),
		targets: make(map[string]*object.Target),
		listed:  make(map[string]bool),
		losses:  make(map[string]map[uint64]bool),
	}
	d.probes.SetLimit(parallelProbes)
	return d
}

// SetTargets replaces the targets to watch. States of targets that stay are kept.
func (d *Monitor) SetTargets(targets []*object.Target) {
	d.events.TryPush(func(now time.Time) {
		d.targets = make(map[string]*object.Target, len(targets))
		for _, t := range targets {
			d.targets[t.Name] = t
		}
		d.applyList(now)
	})
}

// SetList takes the platform's list of VMs.
func (d *Monitor) SetList(list []provider.VM) {
	d.events.TryPush(func(now time.Time) {
		d.list = list
		for _, vm := range list {
			if vm.Role == provider.RoleTarget {
				d.listed[vm.Name] = true
			}
		}
		d.applyList(now)
	})
}

// applyList gives the table the watched targets as the list has them. A target
// that was never listed counts as live: the list lags, and the configuration
// names it.
func (d *Monitor) applyList(now time.Time) {
	var list []provider.VM
	present := make(map[string]provider.VM, len(d.list))
	for _, vm := range d.list {
		present[vm.Name] = vm
	}
	for name, t := range d.targets {
		vm, ok := present[name]
		if !ok && d.listed[name] {
			continue
		}
		state := provider.VMLive
		if ok {
			state = vm.State
		}
		list = append(list, provider.VM{Name: name, Address: t.Address, Role: provider.RoleTarget, State: state})
	}
	d.perform(d.table.SetList(now, list))
}

// ConnectionLost reports that a connection to a target broke while requests ran there.
func (d *Monitor) ConnectionLost(target string, running []owner.RunningRequest) {
	d.events.TryPush(func(now time.Time) {
		fingerprints := d.losses[target]
		if fingerprints == nil {
			fingerprints = make(map[uint64]bool)
			d.losses[target] = fingerprints
		}
		for _, r := range running {
			fingerprints[r.Fingerprint] = true
		}
		if d.checkAt.IsZero() {
			d.checkAt = now.Add(lossWindow)
		}
	})
}

// Run probes until the context ends.
func (d *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() { _ = d.probes.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-d.events.Items():
			handle(time.Now())
		case now := <-ticker.C:
			d.tick(ctx, now)
		}
	}
}

func (d *Monitor) tick(ctx context.Context, now time.Time) {
	for _, action := range d.table.Tick(now) {
		if probe, ok := action.(membership.ProbeTarget); ok {
			d.probe(ctx, probe.Name, probe.Address, d.probed)
			continue
		}
		d.perform([]membership.Action{action})
	}
	if !d.checkAt.IsZero() && !now.Before(d.checkAt) {
		d.checkLosses(ctx)
	}
}

// probe asks one target in a goroutine of its own; then runs in the duty's. A
// probe that finds no free goroutine is left to the next tick.
func (d *Monitor) probe(ctx context.Context, name, address string, then func(now time.Time, name string, health *engine.Health, err error)) bool {
	return d.probes.TryGo(func() error {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		health, err := d.Prober.Probe(callCtx, name, address)
		d.events.TryPush(func(now time.Time) { then(now, name, health, err) })
		return nil
	})
}

func (d *Monitor) probed(now time.Time, name string, health *engine.Health, err error) {
	if err != nil {
		d.perform(d.table.Probed(now, name, false, false))
		return
	}
	d.OnLoaded(name, health.Versions)
	d.perform(d.table.Probed(now, name, true, health.Leaving()))
}

// states maps what is believed about a target to what its group does. A target
// that has not answered yet is used: its probe follows within a second.
var states = map[membership.TargetState]owner.TargetState{
	membership.TargetUnproven: owner.TargetUp,
	membership.TargetUp:       owner.TargetUp,
	membership.TargetLeaving:  owner.TargetLeaving,
	membership.TargetDown:     owner.TargetDown,
	membership.TargetRemoved:  owner.TargetDown,
}

func (d *Monitor) perform(actions []membership.Action) {
	for _, action := range actions {
		change, ok := action.(membership.TargetChanged)
		if !ok {
			continue
		}
		d.OnState(change.Name, states[change.To])
		if change.To == membership.TargetRemoved {
			d.OnRemoved(change.Name)
		}
		d.log(change)
	}
}

func (d *Monitor) log(change membership.TargetChanged) {
	fields := eventlog.Fields{"target": change.Name, "from": change.From.String(), "to": change.To.String()}
	switch {
	case change.To == membership.TargetDown:
		d.Logger.Emit(eventlog.TargetDown, fields)
	case change.From == membership.TargetDown && change.To == membership.TargetUp:
		d.Logger.Emit(eventlog.TargetUp, fields)
	default:
		d.Logger.Emit(eventlog.TargetChanged, fields)
	}
}

// checkLosses probes the targets that broke connections.
func (d *Monitor) checkLosses(ctx context.Context) {
	d.checkAt = time.Time{}
	for name, fingerprints := range d.losses {
		t := d.targets[name]
		if t == nil {
			delete(d.losses, name)
			continue
		}
		started := d.probe(ctx, name, t.Address, func(now time.Time, name string, health *engine.Health, err error) {
			d.checked(now, name, fingerprints, health, err)
		})
		if started {
			delete(d.losses, name)
		}
	}
	if len(d.losses) > 0 {
		d.checkAt = time.Now().Add(tickInterval)
	}
}

// checked takes the probe of a target that broke connections. A target that
// still answers has not crashed; otherwise broken connections and a failed probe
// together are enough to take it out.
func (d *Monitor) checked(now time.Time, name string, fingerprints map[uint64]bool, health *engine.Health, err error) {
	if err == nil {
		d.probed(now, name, health, nil)
		return
	}
	for range failuresForDown {
		d.perform(d.table.Probed(now, name, false, false))
	}
	list := make([]uint64, 0, len(fingerprints))
	for f := range fingerprints {
		list = append(list, f)
	}
	d.OnTargetLost(name, list)
}
