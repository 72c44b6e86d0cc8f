package membership

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// targetProbeInterval is the time between two probes of a target.
	targetProbeInterval = time.Second
	// failuresUntilDown is the number of failed probes in a row after which a
	// target is down.
	failuresUntilDown = 3
	// MaxVanishedShare is the share of the known targets that may vanish from the list
	// within one grace period before the list is not believed any more.
	MaxVanishedShare = 0.3
	// heldDownLimit is how long a target that is neither listed nor answers
	// probes is kept.
	heldDownLimit = 10 * time.Minute
)

// TargetState is what is believed about a target.
type TargetState uint8

const (
	// TargetUnproven targets are listed and have not answered yet.
	TargetUnproven TargetState = iota
	// TargetUp targets get work.
	TargetUp
	// TargetLeaving targets finish their work and get no new work.
	TargetLeaving
	// TargetDown targets failed their probes.
	TargetDown
	// TargetRemoved targets left the list for a whole grace period. They are
	// not kept; the state appears in TargetChanged only.
	TargetRemoved
)

// String returns the state's name for logs.
func (s TargetState) String() string {
	return [...]string{"unproven", "up", "leaving", "down", "removed"}[s]
}

// ProbeTarget asks for a probe; the result is reported with Probed.
type ProbeTarget struct {
	Name    string
	Address string
}

// TargetChanged tells that a target changed its state.
type TargetChanged struct {
	Name     string
	From, To TargetState
	// Retained tells that the target is kept although the list lost it.
	Retained bool
}

func (ProbeTarget) isAction()   {}
func (TargetChanged) isAction() {}

// TargetTableConfig configures Targets.
type TargetTableConfig struct {
	// Grace is the time from vanishing to removal; 0 means GracePeriod.
	Grace time.Duration
	// MaxVanishedShare replaces the constant of that name; 0 means the constant, and
	// 1 never holds.
	MaxVanishedShare float64
}

// TargetTable holds the targets of one daemon. It is not safe for concurrent use.
type TargetTable struct {
	grace     time.Duration
	holdShare float64
	entries   map[string]*target
	pending   []Action
	usable    []string
	version   uint64
	stale     bool
}

type target struct {
	name, address string
	state         TargetState
	// vanished is the time at which the target left the list; zero while it is
	// listed. held is set when it is kept although it vanished.
	vanished time.Time
	held     bool
	// listLeaving, saysLeaving and drained are the three marks that stop new
	// work: of the list, of the target's own answer, and of an operator.
	listLeaving, saysLeaving, drained bool
	// answered is the time of the last good sign; zero before the first.
	answered time.Time
	failures int
	probed   time.Time
	downAt   time.Time
	// urgent asks for a probe at the next tick.
	urgent bool
	// expected is set when the target was leaving before it vanished.
	expected bool
}

// NewTargetTable returns an empty pool.
func NewTargetTable(config TargetTableConfig) *TargetTable {
	t := &TargetTable{grace: config.Grace, holdShare: config.MaxVanishedShare, entries: map[string]*target{}, stale: true}
	if t.grace == 0 {
		t.grace = GracePeriod
	}
	if t.holdShare == 0 {
		t.holdShare = MaxVanishedShare
	}
	return t
}

// SetList takes the platform's list of VMs. An address change is taken for a
// new target behind the name, which has to prove itself.
func (t *TargetTable) SetList(now time.Time, list []provider.VM) []Action {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Role != provider.RoleTarget {
			continue
		}
		listed[vm.Name] = true
		e := t.entries[vm.Name]
		if e == nil || e.address != vm.Address {
			e = &target{name: vm.Name, address: vm.Address}
			t.entries[vm.Name] = e
			t.stale = true
		}
		e.vanished, e.held, e.expected = time.Time{}, false, false
		e.listLeaving = vm.State == provider.VMLeaving
		t.update(now, e)
	}
	for name, e := range t.entries {
		if !listed[name] && e.vanished.IsZero() {
			e.vanished = now
			e.expected = e.state == TargetLeaving
		}
	}
	t.holdVanished(now)
	return t.take()
}

// holdVanished keeps vanished targets when too many vanished within one grace
// period. A list that loses a large share of the pool at once is more often
// wrong than right, and probes tell which targets are really gone. Targets that
// were leaving before do not count: they are expected to vanish.
func (t *TargetTable) holdVanished(now time.Time) {
	recent, known := 0, 0
	for _, e := range t.entries {
		if e.expected {
			continue
		}
		known++
		if !e.vanished.IsZero() && (e.held || now.Sub(e.vanished) <= t.grace) {
			recent++
		}
	}
	if float64(recent) <= t.holdShare*float64(known) {
		return
	}
	for _, e := range t.entries {
		if !e.vanished.IsZero() && !e.expected {
			e.held = true
		}
	}
}

// Probed reports a probe. Leaving is the target's own statement in its answer.
func (t *TargetTable) Probed(now time.Time, name string, ok, leaving bool) []Action {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	if ok {
		e.saysLeaving = leaving
		e.answered, e.failures = now, 0
	} else {
		e.failures++
	}
	t.update(now, e)
	return t.take()
}

// RequestAnswered reports that a target answered a request. Failed requests are not
// counted here: one may fail for its own reasons, and a probe tells.
func (t *TargetTable) RequestAnswered(now time.Time, name string) []Action {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	e.answered, e.failures = now, 0
	t.update(now, e)
	return t.take()
}

// ProbeSoon asks for a probe at the next tick, for example after a connection to
// the target broke.
func (t *TargetTable) ProbeSoon(name string) {
	if e := t.entries[name]; e != nil {
		e.urgent = true
	}
}

// Drain sets or removes the operator's mark.
func (t *TargetTable) Drain(now time.Time, name string, on bool) []Action {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	e.drained = on
	t.update(now, e)
	return t.take()
}

// Tick removes targets whose grace period is over and asks for probes.
func (t *TargetTable) Tick(now time.Time) []Action {
	t.holdVanished(now)
	for _, name := range t.names() {
		e := t.entries[name]
		gone := !e.vanished.IsZero() && !e.held && now.Sub(e.vanished) >= t.grace
		lost := e.held && e.state == TargetDown && now.Sub(e.downAt) >= heldDownLimit
		if gone || lost {
			delete(t.entries, name)
			t.change(e, TargetRemoved)
			continue
		}
		due := now.Sub(e.probed) >= targetProbeInterval && now.Sub(e.answered) >= targetProbeInterval
		if due || e.urgent {
			e.probed, e.urgent = now, false
			t.pending = append(t.pending, ProbeTarget{Name: name, Address: e.address})
		}
	}
	return t.take()
}

// update derives a target's state from its evidence.
func (t *TargetTable) update(now time.Time, e *target) {
	state := e.state
	switch {
	case e.failures >= failuresUntilDown:
		state = TargetDown
	case e.state == TargetDown && e.failures > 0:
		// A target that is down stays down until it answers.
	case e.listLeaving || e.saysLeaving || e.drained:
		state = TargetLeaving
	case e.answered.IsZero():
		state = TargetUnproven
	default:
		state = TargetUp
	}
	if state == TargetDown && e.state != TargetDown {
		e.downAt = now
	}
	t.change(e, state)
}

func (t *TargetTable) change(e *target, state TargetState) {
	if e.state == state {
		return
	}
	t.pending = append(t.pending, TargetChanged{Name: e.name, From: e.state, To: state, Retained: e.held})
	e.state = state
	t.stale = true
}

// Usable returns the targets that may get new work, in order, and a version
// that changes exactly when the list does. Callers must not change the slice.
func (t *TargetTable) Usable() ([]string, uint64) {
	if !t.stale {
		return t.usable, t.version
	}
	t.stale = false
	var names []string
	for name, e := range t.entries {
		if e.state == TargetUp {
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

// State returns the state of a target, or TargetRemoved when it is not known.
func (t *TargetTable) State(name string) TargetState {
	if e := t.entries[name]; e != nil {
		return e.state
	}
	return TargetRemoved
}

// Retained returns the targets that are kept although the list lost them.
func (t *TargetTable) Retained() []string {
	var names []string
	for _, name := range t.names() {
		if t.entries[name].held {
			names = append(names, name)
		}
	}
	return names
}

func (t *TargetTable) names() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *TargetTable) take() []Action {
	actions := t.pending
	t.pending = nil
	return actions
}
