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
	// drainEvery is how often entries send their counts and data centres judge.
	drainEvery = 200 * time.Millisecond
	// callTimeout is what a lost answer or a store that is down costs the caller.
	callTimeout = time.Second
	// restart is how long a killed daemon stays away.
	restart = 30 * time.Second
	service = "s"
	move    = "m"
	oldName = "v1"
	newName = "v2"
)

var epoch = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

// world is one run of a scenario under one system.
type world struct {
	s      scenario
	naive  bool
	rand   *rand.Rand
	at     time.Duration
	table  *memtable.Table
	set    *object.Set
	nodes  []*node
	loaded map[string]time.Duration
	flight map[int64][]completion
	mail   []func() // messages that arrive in the next step
	watch  watch
	result Result
}

// node is one daemon.
type node struct {
	w            *world
	name         string
	centre       int
	deadUntil    time.Duration
	trafficSplit *rollout.TrafficSplit
	collector    *rollout.Collector
	aggregator   *rollout.Aggregator // in use on the first live daemon of the centre
	controller   *rollout.Controller
	unsent       []*rollout.Evidence
	nextTick     time.Duration
	failures     int // calls to the store that timed out in this tick
	run          int
}

func (w *world) now() time.Time { return epoch.Add(w.at) }

func (w *world) isolated(centre int) bool {
	return centre == dataCentres-1 && w.s.cutOff.covers(w.at)
}

// reach reports whether messages pass between two centres.
func (w *world) reach(a, b int) bool {
	return a == b || (!w.isolated(a) && !w.isolated(b))
}

func (n *node) alive() bool { return n.w.at >= n.deadUntil }

// boot starts the daemon with nothing but what its peers know.
func (n *node) boot() {
	w := n.w
	n.run++
	n.trafficSplit = rollout.NewTrafficSplitWithClock(w.now)
	n.collector = rollout.NewCollector(n.trafficSplit, fmt.Sprintf("%s/%d", n.name, n.run))
	n.unsent = nil
	test := rollout.NewSequentialTest()
	judge := rollout.Evaluator(test.SplitAmong(2 * dataCentres))
	policy := rollout.Policy(&rollout.StateMachine{Options: rollout.DefaultOptions(), Evaluator: test.SplitAmong(2)})
	if w.naive {
		policy, judge = w.naivePolicy(), noJudge{}
	}
	n.aggregator = rollout.NewAggregator(rollout.AggregatorConfig{
		Shares: n.trafficSplit, Origin: fmt.Sprintf("%s/%d", n.name, n.run), Evaluator: judge, Now: w.now,
	})
	n.controller = rollout.NewController(rollout.Config{
		Table: n, Loader: n, Notifier: n, Self: n.name, TrafficSplit: n.trafficSplit, Policy: policy, Now: w.now,
		Spawn: func(f func()) { f() },
		WithDeadline: func(ctx context.Context, _ time.Time) (context.Context, context.CancelFunc) {
			return context.WithCancel(ctx) // virtual time does not pass during a call
		},
	})
	n.controller.SetConfig(w.set)
	n.nextTick = w.at
	w.syncFrom(n)
}

// syncFrom gives n what the daemons that it reaches know.
func (w *world) syncFrom(n *node) {
	for _, other := range w.nodes {
		if other == n || other.trafficSplit == nil || !other.alive() || !w.reach(n.centre, other.centre) {
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

// tell sends a message to all daemons that can be reached.
func (n *node) tell(deliver func(*node)) {
	for _, other := range n.w.nodes {
		if other == n {
			continue
		}
		n.w.mail = append(n.w.mail, func() {
			if other.alive() && n.w.reach(n.centre, other.centre) {
				deliver(other)
			}
		})
	}
}

// NotifyRow implements rollout.Notify.
func (n *node) NotifyRow(move string, sequence uint64, row []byte) {
	n.tell(func(o *node) { _, _ = o.trafficSplit.ApplyRow(move, sequence, row) })
}

// NotifyCut implements rollout.Notify.
func (n *node) NotifyCut(move string, attempt int, reason string) {
	n.w.watch.cut(n.w.at)
	n.tell(func(o *node) { o.controller.Cut(move, attempt, reason) })
}

// Load implements rollout.Orders: a target takes 5 s to load.
func (n *node) Load(_ context.Context, o rollout.LoadVersion) (bool, error) {
	at, ok := n.w.loaded[o.Target.Name]
	if !ok {
		n.w.loaded[o.Target.Name] = n.w.at + 5*time.Second
		return false, nil
	}
	return n.w.at >= at, nil
}

func (n *node) storeFails() bool {
	if n.w.isolated(n.centre) {
		return true
	}
	for _, o := range n.w.s.storeDown {
		if o.covers(n.w.at) {
			return true
		}
	}
	return false
}

// Get implements provider.Table.
func (n *node) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if n.storeFails() {
		n.failures++
		return nil, provider.ErrUnavailable
	}
	return n.w.table.Get(ctx, keys...)
}

// Commit implements provider.Table. Half of the lost answers are lost requests.
func (n *node) Commit(ctx context.Context, writes ...provider.Write) error {
	if n.storeFails() {
		n.failures++
		return provider.ErrUnavailable
	}
	if n.w.rand.Float64() < n.w.s.lost {
		n.failures++
		if n.w.rand.IntN(2) == 0 {
			_ = n.w.table.Commit(ctx, writes...)
		}
		return provider.ErrOutcomeUnknown
	}
	return n.w.table.Commit(ctx, writes...)
}

// List implements provider.Table.
func (n *node) List(ctx context.Context, prefix string, limit int) ([]provider.Row, error) {
	return n.w.table.List(ctx, prefix, limit)
}

// noJudge never finds anything: the naive system has no local rule.
type noJudge struct{}

func (noJudge) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict { return rollout.Verdict{} }
