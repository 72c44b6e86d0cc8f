package rollout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// fakeTargets is a Loader for the targets of a test. It records the load commands
// that they execute.
type fakeTargets struct {
	mu           sync.Mutex
	highestFence map[string]uint64
	executed     []execution
	loads        map[string]int
	// commandsToLoad is the number of load commands after which a target has loaded
	// the version.
	commandsToLoad int
	// ignoreDeadline lets targets execute load commands after their deadline, as with
	// a faulty adapter.
	ignoreDeadline bool
}

type execution struct {
	target string
	fence  uint64
}

func newFakeTargets(commandsToLoad int) *fakeTargets {
	return &fakeTargets{highestFence: make(map[string]uint64), loads: make(map[string]int), commandsToLoad: commandsToLoad}
}

func (f *fakeTargets) Load(ctx context.Context, command LoadVersion) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil && !f.ignoreDeadline {
		return false, ctx.Err()
	}
	if command.Target.ChecksFencing && command.Fence < f.highestFence[command.Target.Name] {
		return false, errors.New("old fencing number")
	}
	f.highestFence[command.Target.Name] = max(f.highestFence[command.Target.Name], command.Fence)
	f.executed = append(f.executed, execution{command.Target.Name, command.Fence})
	f.loads[command.Target.Name]++
	return f.loads[command.Target.Name] >= f.commandsToLoad, nil
}

// staleExecutions returns the number of load commands that a target executed after
// one of a newer holder.
func (f *fakeTargets) staleExecutions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := make(map[string]uint64)
	n := 0
	for _, e := range f.executed {
		if e.fence < newest[e.target] {
			n++
		}
		newest[e.target] = max(newest[e.target], e.fence)
	}
	return n
}

// instantWeights grants every reservation of bandwidth at once.
type instantWeights struct{}

func (instantWeights) Reserve(context.Context, string, int64) (time.Duration, error) { return 0, nil }

// splitNotifier is a Notifier that passes rows and cuts to the TrafficSplit of all daemons.
type splitNotifier struct{ all []*TrafficSplit }

func (p *splitNotifier) NotifyRow(move string, sequence uint64, row []byte) {
	for _, s := range p.all {
		_, _ = s.ApplyRow(move, sequence, row)
	}
}

func (p *splitNotifier) NotifyCut(move string, attempt int, reason string) {
	for _, s := range p.all {
		s.ApplyCut(move, attempt, reason)
	}
}

func controllerSet(deadline time.Time) *object.Set {
	return &object.Set{
		Services: []object.Service{{Name: "s", Kind: object.ModelService, Version: "v1"}},
		Versions: []object.Version{{Name: "v2", Service: "s", WeightBytes: 1 << 30}},
		Targets: []object.Target{
			{Name: "t1", Service: "s", DataCentre: "d", Versions: []string{"v1", "v2"}, ChecksFencing: true},
			{Name: "t2", Service: "s", DataCentre: "d", Versions: []string{"v1", "v2"}},
		},
		Moves: []object.Move{{Name: "m", Service: "s", From: "v1", To: "v2", Attempt: 1, Deadline: deadline}},
	}
}

// pauseHook pauses a whole daemon once for a duration, when it reaches a point for the
// nth time.
type pauseHook struct {
	mu       sync.Mutex
	point    HookPoint
	nth      int
	duration time.Duration
	until    time.Time
}

func (h *pauseHook) hook(p HookPoint) {
	h.mu.Lock()
	if p == h.point {
		h.nth--
		if h.nth == 0 {
			h.until = time.Now().Add(h.duration)
		}
	}
	until := h.until
	h.mu.Unlock()
	time.Sleep(time.Until(until))
}

type testDaemon struct {
	controller   *Controller
	trafficSplit *TrafficSplit
}

func startDaemons(ctx context.Context, table provider.Table, loader Loader, set *object.Set, hooks ...func(HookPoint)) []testDaemon {
	p := &splitNotifier{}
	for range hooks {
		p.all = append(p.all, NewTrafficSplit())
	}
	var out []testDaemon
	for i, hook := range hooks {
		s := p.all[i]
		c := NewController(Config{
			Table: table, Loader: loader, Weights: instantWeights{}, Notifier: p,
			Self: string(rune('a' + i)), TrafficSplit: s, Hook: hook,
		})
		c.SetConfig(set)
		out = append(out, testDaemon{c, s})
		go c.Run(ctx)
		time.Sleep(50 * time.Millisecond)
	}
	return out
}

// runWithPausedHolder runs a move whose first holder is paused at a point while the
// targets load, and returns the targets and the final row.
func runWithPausedHolder(t *testing.T, point HookPoint, ignoreDeadline bool) (f *fakeTargets, row Row) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		f = newFakeTargets(20)
		f.ignoreDeadline = ignoreDeadline
		pause := &pauseHook{point: point, nth: 3, duration: 25 * time.Second}
		if point == BeforeReserve {
			pause.nth = 1 // bandwidth is reserved once for each target
		}
		set := controllerSet(time.Now().Add(3 * time.Minute))
		// With a faulty adapter, the paused load command may be for either target, so
		// neither may refuse it for its old fencing number.
		set.Targets[0].ChecksFencing = !ignoreDeadline
		startDaemons(ctx, table, f, set, pause.hook, nil)
		time.Sleep(3 * time.Minute)
		rows, err := table.Get(ctx, RowKey("m"), LeaseKey("s"))
		assert.NilError(t, err)
		row, err = DecodeRow(rows[0].Value)
		assert.NilError(t, err)
		assert.Assert(t, !pause.until.IsZero(), "the pause did not happen")
		cancel()
		synctest.Wait()
	})
	return f, row
}

// Guards against load commands or writes by a holder that was paused past the end of
// its lease, at every hook point of the controller.
func TestPausedHolderSendsNothing(t *testing.T) {
	points := []HookPoint{BeforeRead, BeforeAcquire, BeforeDecide, BeforeWrite, BeforeReserve, BeforeCheck, BeforeSend}
	for _, point := range points {
		t.Run(string(point), func(t *testing.T) {
			f, row := runWithPausedHolder(t, point, false)
			assert.Equal(t, f.staleExecutions(), 0)
			assert.Equal(t, row.Phase, Done, "%s", row.Reason)
			assert.Assert(t, row.Fence > 1, "no other daemon took over")
		})
	}
}

// Shows that TestPausedHolderSendsNothing detects a load command that is sent too
// late.
func TestPausedHolderWithFaultyAdapterIsNoticed(t *testing.T) {
	f, _ := runWithPausedHolder(t, BeforeSend, true)
	assert.Assert(t, f.staleExecutions() > 0)
}

// Guards against a cut that is not recorded, does not reach all daemons, needs the
// store, or is undone later.
func TestCutIsFinalEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		set := controllerSet(time.Now().Add(5 * time.Minute))
		all := startDaemons(ctx, table, newFakeTargets(1), set, nil, nil, nil)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, newVersionShare(all[0].trafficSplit) > 0)
		table.SetFailure(func(bool) memtable.Failure { return memtable.Unavailable })
		all[2].controller.Cut("m", 1, "errors on route r")
		for _, d := range all {
			assert.Equal(t, newVersionShare(d.trafficSplit), 0.0)
		}
		time.Sleep(30 * time.Second)
		table.SetFailure(nil)
		time.Sleep(20 * time.Second)
		for _, d := range all {
			assert.Equal(t, newVersionShare(d.trafficSplit), 0.0)
			status := d.controller.Status()[0]
			assert.Equal(t, status.Phase, Reversed)
			assert.Equal(t, status.Reason, "errors on route r")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a move that hangs when its holder is killed or the store loses
// requests or answers, and against a share that outlasts the deadline while the store
// is down.
func TestTakeoverLostAnswersAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		calls := 0
		table.SetFailure(func(commit bool) memtable.Failure {
			if !commit {
				return memtable.NoFailure
			}
			calls++
			return []memtable.Failure{memtable.NoFailure, memtable.LostAnswer, memtable.LostRequest}[calls%3]
		})
		set := controllerSet(time.Now().Add(2 * time.Minute))
		killed, kill := context.WithCancel(ctx)
		dead := func(HookPoint) {
			if killed.Err() != nil {
				<-ctx.Done() // a killed process does nothing more
			}
		}
		a := startDaemons(ctx, table, newFakeTargets(3), set, dead)
		time.Sleep(10 * time.Second)
		assert.Assert(t, a[0].controller.Status()[0].HoldsLease)
		kill()
		b := startDaemons(ctx, table, newFakeTargets(3), set, nil)
		time.Sleep(105 * time.Second)
		assert.Equal(t, b[0].controller.Status()[0].Phase, Done)

		late := controllerSet(time.Now().Add(time.Minute))
		late.Moves[0].Name = "late"
		b[0].controller.SetConfig(late)
		time.Sleep(30 * time.Second)
		table.SetFailure(func(bool) memtable.Failure { return memtable.Unavailable })
		assert.Assert(t, newVersionShare(b[0].trafficSplit) > 0)
		time.Sleep(30 * time.Second)
		assert.Equal(t, newVersionShare(b[0].trafficSplit), 0.0)
		cancel()
		synctest.Wait()
	})
}

// Guards against evidence that is counted twice or lost when the holder changes: a
// new holder needs all of it since the start of the attempt.
func TestAggregatorSendsEverythingToNewHolder(t *testing.T) {
	now := startTime
	clock := func() time.Time { return now }
	s := NewTrafficSplitWithClock(clock)
	s.SetConfig(testSet())
	row := testRow(Shifting, 100)
	applyTestRow(t, s, 1, row)
	a := NewAggregator(AggregatorConfig{TrafficSplit: s, Origin: "dc", Evaluator: NewSequentialTest(), Now: clock})
	add := func(sequence uint64) {
		a.Add(&Evidence{Move: "m", Attempt: 1, Origin: "e", Sequence: sequence, Strata: []StratumCounts{{Version: "v1", Route: "r", Requests: 10}}})
	}
	add(1)
	add(1)
	assert.Equal(t, a.Drain()[0].Evidence.Strata[0].Requests, uint32(10))
	assert.Equal(t, len(a.Drain()), 0)
	add(2)
	row.Fence = 2
	applyTestRow(t, s, 2, row)
	m := a.Drain()[0]
	assert.Equal(t, m.Evidence.Strata[0].Requests, uint32(20))
	assert.Assert(t, isForHolder(m.Evidence.Origin, 2) && !isForHolder(m.Evidence.Origin, 1))
}

// hangingTable is a table whose reads do not return while hangs is set.
type hangingTable struct {
	provider.Table
	hangs atomic.Bool
}

func (h *hangingTable) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if h.hangs.Load() {
		<-ctx.Done()
		return nil, provider.ErrUnavailable
	}
	return h.Table.Get(ctx, keys...)
}

// Guards against a cut that is delayed while Run waits for a store that does not
// answer.
func TestCutDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &hangingTable{Table: memtable.New()}
		all := startDaemons(ctx, table, newFakeTargets(1), controllerSet(time.Now().Add(5*time.Minute)), nil)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, newVersionShare(all[0].trafficSplit) > 0)
		table.hangs.Store(true)
		time.Sleep(800 * time.Millisecond)
		all[0].controller.AddEvidence(&Evidence{Move: "m", Attempt: 1, Origin: "e", Sequence: 1, Strata: []StratumCounts{
			{Version: "v1", Route: "r", Requests: 1000}, {Version: "v2", Route: "r", Requests: 50, Errors: 40},
		}})
		assert.Equal(t, newVersionShare(all[0].trafficSplit), 0.0)
		cancel()
		synctest.Wait()
	})
}
