// Package probes monitors the health of the targets that a daemon owns. A probe every
// second shows whether a target is up, leaving or down and which versions it has loaded,
// and the VM list shows which targets are leaving. A target whose connection broke is
// probed at once, to distinguish requests that crash targets from connections that
// merely broke.
//
// Package membership derives the state of a target from this evidence. When a large
// share of the targets vanishes from the list at once, they are kept and probed.
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
	// probeTimeout bounds one probe, and thereby the delay until a target that marks
	// itself as leaving is noticed.
	probeTimeout = 900 * time.Millisecond
	// failuresForDown is the number of failed probes that onLossProbe reports to the table
	// at once, so that a target is down after one failed probe. It must be at least
	// maxFailedProbes of package membership.
	failuresForDown = 3
	// lossWindow is the time over which lost connections are collected before their
	// targets are probed: the attempts on a crashed target all break within it.
	lossWindow = 500 * time.Millisecond
	// eventRingSize bounds the events that wait for Run; events beyond it are dropped.
	eventRingSize = 4096
	// maxParallelProbes bounds the probes that run at the same time.
	maxParallelProbes = 16
)

// Prober requests the health of a target.
type Prober interface {
	Probe(ctx context.Context, target, address string) (*engine.Health, error)
}

// Config holds the dependencies of a Monitor. All are required. The callbacks are called
// from Run's goroutine and must not block.
type Config struct {
	Prober   Prober
	OnState  func(target string, state owner.TargetState)
	OnLoaded func(target string, models []string)
	// OnTargetLost is called with the fingerprints of the requests that ran on a target
	// when its connections broke and it failed the probe that followed.
	OnTargetLost func(target string, fingerprints []uint64)
	// OnVMRemoved is called when the platform removed a target's VM.
	OnVMRemoved func(target string)
	Logger      *eventlog.Logger
}

// Monitor probes targets. Only Run's goroutine accesses its state; the other methods
// queue their input in a ring and are safe for concurrent use.
type Monitor struct {
	Config
	events *ring.Ring[func(now time.Time)]
	table  *membership.TargetTable
	// targets are the monitored targets by name.
	targets map[string]*object.Target
	// vmList is the last VM list, everListed the names of all targets that were ever in
	// one.
	vmList     []provider.VM
	everListed map[string]bool
	// lostRequests holds, by target whose connections broke, the fingerprints of the
	// requests that ran there.
	lostRequests map[string]map[uint64]bool
	// lossCheckAt is the time of the next probes after losses; zero if there are none.
	lossCheckAt time.Time
	probeGroup  errgroup.Group
}

// New returns a Monitor without targets.
func New(config Config) *Monitor {
	m := &Monitor{
		Config:       config,
		events:       ring.New[func(time.Time)](eventRingSize),
		table:        membership.NewTargetTable(membership.TargetTableConfig{}),
		targets:      make(map[string]*object.Target),
		everListed:   make(map[string]bool),
		lostRequests: make(map[string]map[uint64]bool),
	}
	m.probeGroup.SetLimit(maxParallelProbes)
	return m
}

// SetTargets replaces the monitored targets. The states of targets that stay are kept.
func (m *Monitor) SetTargets(targets []*object.Target) {
	m.events.TryPush(func(now time.Time) {
		m.targets = make(map[string]*object.Target, len(targets))
		for _, t := range targets {
			m.targets[t.Name] = t
		}
		m.applyVMList(now)
	})
}

// SetVMList replaces the platform's list of VMs.
func (m *Monitor) SetVMList(list []provider.VM) {
	m.events.TryPush(func(now time.Time) {
		m.vmList = list
		for _, vm := range list {
			if vm.Role == provider.RoleTarget {
				m.everListed[vm.Name] = true
			}
		}
		m.applyVMList(now)
	})
}

// applyVMList passes the monitored targets with their states in the VM list to the table.
// A target that was never listed counts as live: the configuration names it, and the
// list may lag behind.
func (m *Monitor) applyVMList(now time.Time) {
	var watched []provider.VM
	listedVMs := make(map[string]provider.VM, len(m.vmList))
	for _, vm := range m.vmList {
		listedVMs[vm.Name] = vm
	}
	for name, t := range m.targets {
		vm, ok := listedVMs[name]
		if !ok && m.everListed[name] {
			continue
		}
		state := provider.VMLive
		if ok {
			state = vm.State
		}
		watched = append(watched, provider.VM{Name: name, Address: t.Address, Role: provider.RoleTarget, State: state})
	}
	m.applyChanges(m.table.SetVMList(now, watched))
}

// ConnectionLost reports that a connection to a target broke while requests ran there. The
// target is probed after lossWindow.
func (m *Monitor) ConnectionLost(target string, running []owner.RunningRequest) {
	m.events.TryPush(func(now time.Time) {
		fingerprints := m.lostRequests[target]
		if fingerprints == nil {
			fingerprints = make(map[uint64]bool)
			m.lostRequests[target] = fingerprints
		}
		for _, r := range running {
			fingerprints[r.Fingerprint] = true
		}
		if m.lossCheckAt.IsZero() {
			m.lossCheckAt = now.Add(lossWindow)
		}
	})
}

// Run probes until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() { _ = m.probeGroup.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-m.events.Items():
			handle(time.Now())
		case now := <-ticker.C:
			m.tick(ctx, now)
		}
	}
}

func (m *Monitor) tick(ctx context.Context, now time.Time) {
	for _, action := range m.table.Tick(now) {
		if probe, ok := action.(membership.ProbeTarget); ok {
			m.probe(ctx, probe.Name, probe.Address, m.onProbe)
			continue
		}
		m.applyChanges([]membership.Action{action})
	}
	if !m.lossCheckAt.IsZero() && !now.Before(m.lossCheckAt) {
		m.probeAfterLosses(ctx)
	}
}

// probe probes one target in a separate goroutine and calls onResult in Run's goroutine.
// It returns false without probing if maxParallelProbes are running; the caller tries
// again at a later tick.
func (m *Monitor) probe(ctx context.Context, name, address string, onResult func(now time.Time, name string, health *engine.Health, err error)) bool {
	return m.probeGroup.TryGo(func() error {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		health, err := m.Prober.Probe(callCtx, name, address)
		m.events.TryPush(func(now time.Time) { onResult(now, name, health, err) })
		return nil
	})
}

// onProbe passes the result of a probe to the table.
func (m *Monitor) onProbe(now time.Time, name string, health *engine.Health, err error) {
	if err != nil {
		m.applyChanges(m.table.ProbeFinished(now, name, false, false))
		return
	}
	m.OnLoaded(name, health.Versions)
	m.applyChanges(m.table.ProbeFinished(now, name, true, health.Leaving()))
}

// groupStates maps the state of a target in the membership table to its state in the target
// group. A target that has not answered a probe yet counts as up: its first probe follows
// within a second.
var groupStates = map[membership.TargetState]owner.TargetState{
	membership.TargetUnproven: owner.TargetUp,
	membership.TargetUp:       owner.TargetUp,
	membership.TargetLeaving:  owner.TargetLeaving,
	membership.TargetDown:     owner.TargetDown,
	membership.TargetRemoved:  owner.TargetDown,
}

// applyChanges reports and logs the state changes among the actions of the table.
func (m *Monitor) applyChanges(actions []membership.Action) {
	for _, action := range actions {
		change, ok := action.(membership.TargetChanged)
		if !ok {
			continue
		}
		m.OnState(change.Name, groupStates[change.To])
		if change.To == membership.TargetRemoved {
			m.OnVMRemoved(change.Name)
		}
		m.logChange(change)
	}
}

func (m *Monitor) logChange(change membership.TargetChanged) {
	fields := eventlog.Fields{"target": change.Name, "from": change.From.String(), "to": change.To.String()}
	switch {
	case change.To == membership.TargetDown:
		m.Logger.Emit(eventlog.TargetDown, fields)
	case change.From == membership.TargetDown && change.To == membership.TargetUp:
		m.Logger.Emit(eventlog.TargetUp, fields)
	default:
		m.Logger.Emit(eventlog.TargetChanged, fields)
	}
}

// probeAfterLosses probes the targets whose connections broke. Probes that cannot start now
// are retried after tickInterval.
func (m *Monitor) probeAfterLosses(ctx context.Context) {
	m.lossCheckAt = time.Time{}
	for name, fingerprints := range m.lostRequests {
		t := m.targets[name]
		if t == nil {
			delete(m.lostRequests, name)
			continue
		}
		started := m.probe(ctx, name, t.Address, func(now time.Time, name string, health *engine.Health, err error) {
			m.onLossProbe(now, name, fingerprints, health, err)
		})
		if started {
			delete(m.lostRequests, name)
		}
	}
	if len(m.lostRequests) > 0 {
		m.lossCheckAt = time.Now().Add(tickInterval)
	}
}

// onLossProbe handles the probe of a target whose connections broke. A target that still
// answers has not crashed. Otherwise the broken connections and one failed probe together
// suffice to mark it as down.
func (m *Monitor) onLossProbe(now time.Time, name string, fingerprints map[uint64]bool, health *engine.Health, err error) {
	if err == nil {
		m.onProbe(now, name, health, nil)
		return
	}
	for range failuresForDown {
		m.applyChanges(m.table.ProbeFinished(now, name, false, false))
	}
	lost := make([]uint64, 0, len(fingerprints))
	for f := range fingerprints {
		lost = append(lost, f)
	}
	m.OnTargetLost(name, lost)
}
