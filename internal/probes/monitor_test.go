package probes

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/provider"
)

// fleet answers probes and records what the monitor reports.
type fleet struct {
	mu           sync.Mutex
	down         map[string]bool
	leaving      map[string]bool
	states       map[string]owner.TargetState
	lostRequests map[string][]uint64
}

func (f *fleet) Probe(_ context.Context, target, _ string) (*engine.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[target] {
		return nil, errors.New("connection refused")
	}
	state := "live"
	if f.leaving[target] {
		state = "leaving"
	}
	return &engine.Health{State: state}, nil
}

func (f *fleet) state(target string) owner.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[target]
}

func (f *fleet) setFlag(m map[string]bool, target string, value bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[target] = value
}

// start runs a monitor for the named targets.
func start(t *testing.T, names ...string) (*Monitor, *fleet) {
	f := &fleet{
		down:         make(map[string]bool),
		leaving:      make(map[string]bool),
		states:       make(map[string]owner.TargetState),
		lostRequests: make(map[string][]uint64),
	}
	monitor := New(Config{
		Prober: f,
		OnState: func(target string, state owner.TargetState) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.states[target] = state
		},
		OnLoaded: func(string, []string) {},
		OnTargetLost: func(target string, fingerprints []uint64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lostRequests[target] = fingerprints
		},
		OnVMRemoved: func(string) {},
		Logger:      eventlog.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- monitor.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	var targets []*object.Target
	for _, name := range names {
		targets = append(targets, &object.Target{Name: name, Address: "127.0.0.1:1"})
	}
	monitor.SetTargets(targets)
	time.Sleep(2 * time.Second)
	return monitor, f
}

func vmList(leaving string, names ...string) []provider.VM {
	var vms []provider.VM
	for _, name := range names {
		state := provider.VMLive
		if name == leaving {
			state = provider.VMLeaving
		}
		vms = append(vms, provider.VM{Name: name, Address: "127.0.0.1:1", Role: provider.RoleTarget, State: state})
	}
	return vms
}

// Guards against sending new requests to a target more than 3 s after the VM list or the
// target itself marked it as leaving.
func TestLeavingIsNoticedInVMListAndInProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor, f := start(t, "a", "b", "c")
		monitor.SetVMList(vmList("a", "a", "b", "c"))
		f.setFlag(f.leaving, "b", true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.state("a"), owner.TargetLeaving)
		assert.Equal(t, f.state("b"), owner.TargetLeaving)
		assert.Equal(t, f.state("c"), owner.TargetUp)
	})
}

// Guards against waiting for three failed probes when a target's connections broke and it
// does not answer: its requests must be reported within a second.
func TestCrashedTargetIsReportedWithItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor, f := start(t, "a", "b")
		f.setFlag(f.down, "a", true)
		monitor.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}, {Fingerprint: 8}})
		monitor.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}})
		time.Sleep(time.Second)
		assert.Equal(t, f.state("a"), owner.TargetDown)
		assert.Equal(t, len(f.lostRequests["a"]), 2)
	})
}

// Guards against reporting requests as suspects when only their connection broke and the
// target is alive.
func TestBrokenConnectionOfALiveTargetIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor, f := start(t, "a")
		monitor.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}})
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.state("a"), owner.TargetUp)
		assert.Equal(t, len(f.lostRequests), 0)
	})
}

// Guards against removing targets that answer probes when the VM list loses most targets
// at once, and against keeping one that is really gone.
func TestListThatLosesMostTargetsRemovesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d"}
		monitor, f := start(t, names...)
		monitor.SetVMList(vmList("", names...))
		time.Sleep(2 * time.Second)
		monitor.SetVMList(vmList("", "a"))
		f.setFlag(f.down, "d", true)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.state("b"), owner.TargetUp)
		assert.Equal(t, f.state("c"), owner.TargetUp)
		assert.Equal(t, f.state("d"), owner.TargetDown)
	})
}
