package membership

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// targetProbeInterval is the time between two probes of a target.
	targetProbeInterval = time.Second
	// maxFailedProbes is the number of failed probes in a row after which a
	// target is down.
	maxFailedProbes = 3
	// MaxVanishedShare is the largest share of the known targets that may vanish
	// from the list within one grace period. When more do, the list is taken to be
	// wrong, and vanished targets are retained.
	MaxVanishedShare = 0.3
	// retainedDownLimit is how long a retained target that fails its probes is
	// kept.
	retainedDownLimit = 10 * time.Minute
)

// TargetState is the state of a target in a table.
type TargetState uint8

const (
	// TargetUnproven targets are listed and have not answered yet.
	TargetUnproven TargetState = iota
	// TargetUp targets get work.
	TargetUp
	// TargetLeaving targets finish their work and get no new work.
	TargetLeaving
	// TargetDown targets failed maxFailedProbes probes in a row.
	TargetDown
	// TargetRemoved targets were missing from the list for a whole grace period,
	// or were retained and down for retainedDownLimit. They are not kept; the
	// state appears only in TargetChanged and as the result of State.
	TargetRemoved
)

// String returns the state's name for logs.
func (s TargetState) String() string {
	return [...]string{"unproven", "up", "leaving", "down", "removed"}[s]
}

// ProbeTarget asks the caller for a probe; the result is reported with ProbeFinished.
type ProbeTarget struct {
	Name    string
	Address string
}

// TargetChanged reports that a target changed its state.
type TargetChanged struct {
	Name     string
	From, To TargetState
	// Retained is set when the target is kept although it vanished from the list.
	Retained bool
}

func (ProbeTarget) isAction()   {}
func (TargetChanged) isAction() {}

// TargetTableConfig configures a TargetTable.
type TargetTableConfig struct {
	// Grace is the time from vanishing from the list to removal; 0 means
	// GracePeriod.
	Grace time.Duration
	// MaxVanishedShare replaces the constant of that name; 0 means the constant,
	// and with 1 no target is ever retained.
	MaxVanishedShare float64
}

// TargetTable holds the targets known to one daemon. It is not safe for concurrent
// use.
type TargetTable struct {
	grace            time.Duration
	maxVanishedShare float64
	targets          map[string]*target
	pendingActions   []Action
	usable           []string
	version          uint64
	usableStale      bool
}

type target struct {
	name, address string
	state         TargetState
	// vanishedAt is when the target vanished from the list; zero while it is
	// listed. retained is set when it is kept although it vanished.
	vanishedAt time.Time
	retained   bool
	// Each of these stops new work: the VM list marks the target as leaving, the
	// target's answer to a probe says so, or an operator drains it.
	listedLeaving, reportsLeaving, drained bool
	// lastAnswered is the time of the last successful probe or request; zero
	// before the first.
	lastAnswered time.Time
	failedProbes int
	lastProbed   time.Time
	downSince    time.Time
	// probeSoon asks for a probe in the next tick.
	probeSoon bool
	// wasLeaving is set when the target was leaving before it vanished.
	wasLeaving bool
}

// NewTargetTable returns an empty table.
func NewTargetTable(config TargetTableConfig) *TargetTable {
	t := &TargetTable{grace: config.Grace, maxVanishedShare: config.MaxVanishedShare, targets: map[string]*target{}, usableStale: true}
	if t.grace == 0 {
		t.grace = GracePeriod
	}
	if t.maxVanishedShare == 0 {
		t.maxVanishedShare = MaxVanishedShare
	}
	return t
}

// SetVMList applies the platform's list of VMs. A target whose address changed is
// treated as a new target, which gets no work before it has answered.
func (t *TargetTable) SetVMList(now time.Time, list []provider.VM) []Action {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Role != provider.RoleTarget {
			continue
		}
		listed[vm.Name] = true
		tgt := t.targets[vm.Name]
		if tgt == nil || tgt.address != vm.Address {
			tgt = &target{name: vm.Name, address: vm.Address}
			t.targets[vm.Name] = tgt
			t.usableStale = true
		}
		tgt.vanishedAt, tgt.retained, tgt.wasLeaving = time.Time{}, false, false
		tgt.listedLeaving = vm.State == provider.VMLeaving
		t.updateState(now, tgt)
	}
	for name, tgt := range t.targets {
		if !listed[name] && tgt.vanishedAt.IsZero() {
			tgt.vanishedAt = now
			tgt.wasLeaving = tgt.state == TargetLeaving
		}
	}
	t.retainVanished(now)
	return t.takeActions()
}

// retainVanished keeps vanished targets when more than the configured share vanished
// within one grace period. A list that loses a large share of the targets at once is
// more often wrong than right, and probes show which targets are really gone.
// Targets that were leaving before do not count, because they are expected to
// vanish.
func (t *TargetTable) retainVanished(now time.Time) {
	recent, total := 0, 0
	for _, tgt := range t.targets {
		if tgt.wasLeaving {
			continue
		}
		total++
		if !tgt.vanishedAt.IsZero() && (tgt.retained || now.Sub(tgt.vanishedAt) <= t.grace) {
			recent++
		}
	}
	if float64(recent) <= t.maxVanishedShare*float64(total) {
		return
	}
	for _, tgt := range t.targets {
		if !tgt.vanishedAt.IsZero() && !tgt.wasLeaving {
			tgt.retained = true
		}
	}
}

// ProbeFinished reports the result of a probe. leaving is set when the target's answer
// says that it is leaving.
func (t *TargetTable) ProbeFinished(now time.Time, name string, ok, leaving bool) []Action {
	tgt := t.targets[name]
	if tgt == nil {
		return nil
	}
	if ok {
		tgt.reportsLeaving = leaving
		tgt.lastAnswered, tgt.failedProbes = now, 0
	} else {
		tgt.failedProbes++
	}
	t.updateState(now, tgt)
	return t.takeActions()
}

// RequestAnswered reports that a target answered a request. Failed requests are not
// reported: one may fail for reasons of its own, so only probes count.
func (t *TargetTable) RequestAnswered(now time.Time, name string) []Action {
	tgt := t.targets[name]
	if tgt == nil {
		return nil
	}
	tgt.lastAnswered, tgt.failedProbes = now, 0
	t.updateState(now, tgt)
	return t.takeActions()
}

// ProbeSoon asks for a probe in the next tick, for example after a connection to the
// target broke.
func (t *TargetTable) ProbeSoon(name string) {
	if tgt := t.targets[name]; tgt != nil {
		tgt.probeSoon = true
	}
}

// SetDrained sets or clears the mark of an operator that stops new work on a target.
func (t *TargetTable) SetDrained(now time.Time, name string, on bool) []Action {
	tgt := t.targets[name]
	if tgt == nil {
		return nil
	}
	tgt.drained = on
	t.updateState(now, tgt)
	return t.takeActions()
}

// Tick removes targets whose time is over and asks for probes. It retains vanished
// targets if too many vanished.
func (t *TargetTable) Tick(now time.Time) []Action {
	t.retainVanished(now)
	for _, name := range t.sortedNames() {
		tgt := t.targets[name]
		graceOver := !tgt.vanishedAt.IsZero() && !tgt.retained && now.Sub(tgt.vanishedAt) >= t.grace
		unresponsive := tgt.retained && tgt.state == TargetDown && now.Sub(tgt.downSince) >= retainedDownLimit
		if graceOver || unresponsive {
			delete(t.targets, name)
			t.setState(tgt, TargetRemoved)
			continue
		}
		probeDue := now.Sub(tgt.lastProbed) >= targetProbeInterval && now.Sub(tgt.lastAnswered) >= targetProbeInterval
		if probeDue || tgt.probeSoon {
			tgt.lastProbed, tgt.probeSoon = now, false
			t.pendingActions = append(t.pendingActions, ProbeTarget{Name: name, Address: tgt.address})
		}
	}
	return t.takeActions()
}

// updateState derives the state of a target from its fields and reports a change.
func (t *TargetTable) updateState(now time.Time, tgt *target) {
	state := tgt.state
	switch {
	case tgt.failedProbes >= maxFailedProbes:
		state = TargetDown
	case tgt.state == TargetDown && tgt.failedProbes > 0:
		// A target that is down stays down until it answers.
	case tgt.listedLeaving || tgt.reportsLeaving || tgt.drained:
		state = TargetLeaving
	case tgt.lastAnswered.IsZero():
		state = TargetUnproven
	default:
		state = TargetUp
	}
	if state == TargetDown && tgt.state != TargetDown {
		tgt.downSince = now
	}
	t.setState(tgt, state)
}

func (t *TargetTable) setState(tgt *target, state TargetState) {
	if tgt.state == state {
		return
	}
	t.pendingActions = append(t.pendingActions, TargetChanged{Name: tgt.name, From: tgt.state, To: state, Retained: tgt.retained})
	tgt.state = state
	t.usableStale = true
}

// Usable returns the targets that may get new work, in order, and a version
// that changes exactly when the list does. Callers must not change the slice.
func (t *TargetTable) Usable() ([]string, uint64) {
	if !t.usableStale {
		return t.usable, t.version
	}
	t.usableStale = false
	var names []string
	for name, tgt := range t.targets {
		if tgt.state == TargetUp {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if t.version == 0 || !slices.Equal(names, t.usable) {
		t.usable = names
		t.version++
	}
	return t.usable, t.version
}

// State returns the state of a target, or TargetRemoved when it is not in the table.
func (t *TargetTable) State(name string) TargetState {
	if tgt := t.targets[name]; tgt != nil {
		return tgt.state
	}
	return TargetRemoved
}

// Retained returns the targets that are kept although they vanished from the list, in
// order.
func (t *TargetTable) Retained() []string {
	var names []string
	for _, name := range t.sortedNames() {
		if t.targets[name].retained {
			names = append(names, name)
		}
	}
	return names
}

// sortedNames returns the names of all targets in order.
func (t *TargetTable) sortedNames() []string {
	names := make([]string, 0, len(t.targets))
	for name := range t.targets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *TargetTable) takeActions() []Action {
	actions := t.pendingActions
	t.pendingActions = nil
	return actions
}
