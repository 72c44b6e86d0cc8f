package rolloutcompare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
)

const (
	// step is the resolution of virtual time and the delay of messages.
	step = 50 * time.Millisecond
	// evidenceInterval is how often entries send their evidence and the aggregators
	// evaluate it.
	evidenceInterval = 200 * time.Millisecond
	// storeCallTimeout is the time that a daemon loses to a store call without an
	// answer.
	storeCallTimeout = time.Second
	// restartDelay is the time until a killed daemon restarts.
	restartDelay = 30 * time.Second
	serviceName  = "s"
	moveName     = "m"
	oldVersion   = "v1"
	newVersion   = "v2"
)

var epoch = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

// simulation is one run of a scenario under one system. The zero of elapsed is epoch.
type simulation struct {
	scenario   scenario
	naive      bool
	rand       *rand.Rand
	elapsed    time.Duration
	table      *memtable.Table
	objects    *object.Set
	nodes      []*node
	loadDoneAt map[string]time.Duration
	inFlight   map[int64][]completion
	messages   []func() // messages that arrive in the next step
	observer   observer
	result     Result
}

// node is one simulated daemon. It implements rollout.Loader, rollout.Notifier and
// provider.Table for its controller.
type node struct {
	sim           *simulation
	name          string
	centre        int
	downUntil     time.Duration
	trafficSplit  *rollout.TrafficSplit
	collector     *rollout.Collector
	aggregator    *rollout.Aggregator // used only on the first live daemon of the data centre
	controller    *rollout.Controller
	unsent        []*rollout.Evidence
	nextTick      time.Duration
	storeTimeouts int // store calls that timed out in this tick
	incarnation   int
}

func (s *simulation) now() time.Time { return epoch.Add(s.elapsed) }

// isCutOff reports whether a data centre is cut off now.
func (s *simulation) isCutOff(centre int) bool {
	return centre == dataCentres-1 && s.scenario.cutOff.contains(s.elapsed)
}

// canReach reports whether messages pass between two data centres.
func (s *simulation) canReach(a, b int) bool {
	return a == b || (!s.isCutOff(a) && !s.isCutOff(b))
}

func (n *node) alive() bool { return n.sim.elapsed >= n.downUntil }

// start starts or restarts the daemon, whose only state is what its peers send it.
func (n *node) start() {
	s := n.sim
	n.incarnation++
	n.trafficSplit = rollout.NewTrafficSplitWithClock(s.now)
	n.collector = rollout.NewCollector(n.trafficSplit, fmt.Sprintf("%s/%d", n.name, n.incarnation))
	n.unsent = nil
	test := rollout.NewSequentialTest()
	evaluator := rollout.Evaluator(test.SplitAmong(2 * dataCentres))
	policy := rollout.Policy(&rollout.StateMachine{Options: rollout.DefaultOptions(), Evaluator: test.SplitAmong(2)})
	if s.naive {
		policy, evaluator = s.naivePolicy(), noEvaluator{}
	}
	n.aggregator = rollout.NewAggregator(rollout.AggregatorConfig{
		TrafficSplit: n.trafficSplit, Origin: fmt.Sprintf("%s/%d", n.name, n.incarnation), Evaluator: evaluator, Now: s.now,
	})
	n.controller = rollout.NewController(rollout.Config{
		Table: n, Loader: n, Notifier: n, Self: n.name, TrafficSplit: n.trafficSplit, Policy: policy, Now: s.now,
		Spawn: func(f func()) { f() },
		WithDeadline: func(ctx context.Context, _ time.Time) (context.Context, context.CancelFunc) {
			return context.WithCancel(ctx) // virtual time does not pass during a call
		},
	})
	n.controller.SetConfig(s.objects)
	n.nextTick = s.elapsed
	s.syncFromPeers(n)
}

// syncFromPeers copies the rows and cuts that the reachable daemons know to n.
func (s *simulation) syncFromPeers(n *node) {
	for _, other := range s.nodes {
		if other == n || other.trafficSplit == nil || !other.alive() || !s.canReach(n.centre, other.centre) {
			continue
		}
		rows, cuts := other.trafficSplit.Snapshot()
		for _, r := range rows {
			_, _ = n.trafficSplit.ApplyRow(r.Move, r.Sequence, r.Row)
		}
		for _, c := range cuts {
			n.controller.Cut(c.Move, c.Attempt, c.Reason)
		}
	}
}

// broadcast sends a message to all other daemons that are live and reachable when it
// arrives.
func (n *node) broadcast(deliver func(*node)) {
	for _, other := range n.sim.nodes {
		if other == n {
			continue
		}
		n.sim.messages = append(n.sim.messages, func() {
			if other.alive() && n.sim.canReach(n.centre, other.centre) {
				deliver(other)
			}
		})
	}
}

// NotifyRow implements rollout.Notifier.
func (n *node) NotifyRow(move string, sequence uint64, row []byte) {
	n.broadcast(func(o *node) { _, _ = o.trafficSplit.ApplyRow(move, sequence, row) })
}

// NotifyCut implements rollout.Notifier.
func (n *node) NotifyCut(move string, attempt int, reason string) {
	n.sim.observer.recordCut(n.sim.elapsed)
	n.broadcast(func(o *node) { o.controller.Cut(move, attempt, reason) })
}

// Load implements rollout.Loader. A target takes 5 s to load the version.
func (n *node) Load(_ context.Context, o rollout.LoadVersion) (bool, error) {
	at, ok := n.sim.loadDoneAt[o.Target.Name]
	if !ok {
		n.sim.loadDoneAt[o.Target.Name] = n.sim.elapsed + 5*time.Second
		return false, nil
	}
	return n.sim.elapsed >= at, nil
}

// storeFails reports whether the store is down or out of reach now.
func (n *node) storeFails() bool {
	if n.sim.isCutOff(n.centre) {
		return true
	}
	for _, o := range n.sim.scenario.storeOutages {
		if o.contains(n.sim.elapsed) {
			return true
		}
	}
	return false
}

// Get implements provider.Table.
func (n *node) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if n.storeFails() {
		n.storeTimeouts++
		return nil, provider.ErrUnavailable
	}
	return n.sim.table.Get(ctx, keys...)
}

// Commit implements provider.Table. With probability commitLoss it returns
// provider.ErrOutcomeUnknown: in half of these cases the request is lost, else the answer.
func (n *node) Commit(ctx context.Context, writes ...provider.Write) error {
	if n.storeFails() {
		n.storeTimeouts++
		return provider.ErrUnavailable
	}
	if n.sim.rand.Float64() < n.sim.scenario.commitLoss {
		n.storeTimeouts++
		if n.sim.rand.IntN(2) == 0 {
			_ = n.sim.table.Commit(ctx, writes...)
		}
		return provider.ErrOutcomeUnknown
	}
	return n.sim.table.Commit(ctx, writes...)
}

// List implements provider.Table.
func (n *node) List(ctx context.Context, prefix string, limit int) ([]provider.Row, error) {
	return n.sim.table.List(ctx, prefix, limit)
}

// noEvaluator never finds a version bad: under the naive system, data centres make no
// cuts of their own.
type noEvaluator struct{}

func (noEvaluator) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict {
	return rollout.Verdict{}
}
