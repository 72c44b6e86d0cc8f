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

// fleet answers probes and records what the duty tells.
type fleet struct {
	mu     sync.Mutex
	down   map[string]bool
	leaves map[string]bool
	states map[string]owner.TargetState
	lost   map[string][]uint64
}

func (f *fleet) Probe(_ context.Context, target, _ string) (*engine.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[target] {
		return nil, errors.New("connection refused")
	}
	state := "live"
	if f.leaves[target] {
		state = "leaving"
	}
	return &engine.Health{State: state}, nil
}

func (f *fleet) state(target string) owner.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[target]
}

func (f *fleet) set(m map[string]bool, target string, value bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[target] = value
}

// start runs a duty that watches the named targets.
func start(t *testing.T, names ...string) (*Monitor, *fleet) {
	f := &fleet{
		down:   make(map[string]bool),
		leaves: make(map[string]bool),
		states: make(map[string]owner.TargetState),
		lost:   make(map[string][]uint64),
	}
	d := New(Config{
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
			f.lost[target] = fingerprints
		},
		OnRemoved: func(string) {},
		Logger:    eventlog.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	var targets []*object.Target
	for _, name := range names {
		targets = append(targets, &object.Target{Name: name, Address: "127.0.0.1:1"})
	}
	d.SetTargets(targets)
	time.Sleep(2 * time.Second)
	return d, f
}

func list(leaving string, names ...string) []provider.VM {
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

// Guards against new work for a target that the list or the target itself marks
// as leaving, later than the bound of 3 s.
func TestLeavingMarksStopNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := start(t, "a", "b", "c")
		d.SetList(list("a", "a", "b", "c"))
		f.set(f.leaves, "b", true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.state("a"), owner.TargetLeaving)
		assert.Equal(t, f.state("b"), owner.TargetLeaving)
		assert.Equal(t, f.state("c"), owner.TargetUp)
	})
}

// Guards against waiting for three probes when a target broke its connections and
// does not answer: its requests are reported within a second.
func TestCrashedTargetIsReportedWithItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := start(t, "a", "b")
		f.set(f.down, "a", true)
		d.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}, {Fingerprint: 8}})
		d.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}})
		time.Sleep(time.Second)
		assert.Equal(t, f.state("a"), owner.TargetDown)
		assert.Equal(t, len(f.lost["a"]), 2)
	})
}

// Guards against suspicion of requests whose connection merely broke.
func TestBrokenConnectionOfALiveTargetIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := start(t, "a")
		d.ConnectionLost("a", []owner.RunningRequest{{Fingerprint: 7}})
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.state("a"), owner.TargetUp)
		assert.Equal(t, len(f.lost), 0)
	})
}

// Guards against an empty pool when the list loses most targets at once while
// they answer, and against keeping one that is really gone.
func TestListThatLosesMostTargetsRemovesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d"}
		d, f := start(t, names...)
		d.SetList(list("", names...))
		time.Sleep(2 * time.Second)
		d.SetList(list("", "a"))
		f.set(f.down, "d", true)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.state("b"), owner.TargetUp)
		assert.Equal(t, f.state("c"), owner.TargetUp)
		assert.Equal(t, f.state("d"), owner.TargetDown)
	})
}
