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

// fleet is the targets of a test: it records the orders that they execute.
type fleet struct {
	mu       sync.Mutex
	highest  map[string]uint64
	executed []execution
	loads    map[string]int
	// needed is how many orders a target takes before the version is loaded.
	needed int
	// late lets orders pass after their deadline, as a faulty adapter would.
	late bool
}

type execution struct {
	target string
	fence  uint64
}

func newFleet(needed int) *fleet {
	return &fleet{highest: make(map[string]uint64), loads: make(map[string]int), needed: needed}
}

func (f *fleet) Load(ctx context.Context, o LoadVersion) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil && !f.late {
		return false, ctx.Err()
	}
	if o.Target.ChecksFencing && o.Fence < f.highest[o.Target.Name] {
		return false, errors.New("old fencing number")
	}
	f.highest[o.Target.Name] = max(f.highest[o.Target.Name], o.Fence)
	f.executed = append(f.executed, execution{o.Target.Name, o.Fence})
	f.loads[o.Target.Name]++
	return f.loads[o.Target.Name] >= f.needed, nil
}

// stale counts orders that were executed after one of a newer holder.
func (f *fleet) stale() int {
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

// instantWeights admits every load.
type instantWeights struct{}

func (instantWeights) Reserve(context.Context, string, int64) (time.Duration, error) { return 0, nil }

// peers passes rows and cuts to the shares of all daemons.
type peers struct{ all []*Shares }

func (p *peers) NotifyRow(move string, sequence uint64, row []byte) {
	for _, s := range p.all {
		_, _ = s.ApplyRow(move, sequence, row)
	}
}

func (p *peers) NotifyCut(move string, attempt int, reason string) {
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

// gate stops a whole daemon once, when it reaches a point for the nth time.
type gate struct {
	mu     sync.Mutex
	point  HookPoint
	nth    int
	length time.Duration
	until  time.Time
}

func (g *gate) hook(p HookPoint) {
	g.mu.Lock()
	if p == g.point {
		g.nth--
		if g.nth == 0 {
			g.until = time.Now().Add(g.length)
		}
	}
	until := g.until
	g.mu.Unlock()
	time.Sleep(time.Until(until))
}

type daemon struct {
	controller *Controller
	shares     *Shares
}

func startDaemons(ctx context.Context, table provider.Table, orders Loader, set *object.Set, hooks ...func(HookPoint)) []daemon {
	p := &peers{}
	for range hooks {
		p.all = append(p.all, NewShares())
	}
	var out []daemon
	for i, hook := range hooks {
		s := p.all[i]
		c := NewController(Config{
			Table: table, Loader: orders, Weights: instantWeights{}, Notifier: p,
			Self: string(rune('a' + i)), Shares: s, Hook: hook,
		})
		c.SetConfig(set)
		out = append(out, daemon{c, s})
		go c.Run(ctx)
		time.Sleep(50 * time.Millisecond)
	}
	return out
}

// frozen runs a move during whose loading the first holder is paused at a point,
// and returns the fleet and the final row.
func frozen(t *testing.T, point HookPoint, late bool) (f *fleet, row Row) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		f = newFleet(20)
		f.late = late
		g := &gate{point: point, nth: 3, length: 25 * time.Second}
		if point == BeforeReserve {
			g.nth = 1 // bandwidth is reserved once for each target
		}
		set := controllerSet(time.Now().Add(3 * time.Minute))
		// With a faulty adapter, the order that is paused may be any target's.
		set.Targets[0].ChecksFencing = !late
		startDaemons(ctx, table, f, set, g.hook, nil)
		time.Sleep(3 * time.Minute)
		rows, err := table.Get(ctx, RowKey("m"), LeaseKey("s"))
		assert.NilError(t, err)
		row, err = DecodeRow(rows[0].Value)
		assert.NilError(t, err)
		assert.Assert(t, !g.until.IsZero(), "the pause did not happen")
		cancel()
		synctest.Wait()
	})
	return f, row
}

// Guards against orders or writes of a holder that was paused past the end of its
// lease, at every point of the controller.
func TestPausedHolderSendsNothing(t *testing.T) {
	points := []HookPoint{BeforeRead, BeforeAcquire, BeforeDecide, BeforeWrite, BeforeReserve, BeforeCheck, BeforeSend}
	for _, point := range points {
		t.Run(string(point), func(t *testing.T) {
			f, row := frozen(t, point, false)
			assert.Equal(t, f.stale(), 0)
			assert.Equal(t, row.Phase, Done, "%s", row.Reason)
			assert.Assert(t, row.Fence > 1, "no other daemon took over")
		})
	}
}

// Shows that the test above would notice an order that is sent too late.
func TestPausedHolderWithFaultyAdapterIsNoticed(t *testing.T) {
	f, _ := frozen(t, BeforeSend, true)
	assert.Assert(t, f.stale() > 0)
}

// Guards against a cut that is not recorded, not told to all, or revived, and
// against needing the store for it.
func TestCutIsFinalEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		set := controllerSet(time.Now().Add(5 * time.Minute))
		all := startDaemons(ctx, table, newFleet(1), set, nil, nil, nil)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, share(all[0].shares) > 0)
		table.SetFailure(func(bool) memtable.Failure { return memtable.Down })
		all[2].controller.Cut("m", 1, "errors on route r")
		for _, d := range all {
			assert.Equal(t, share(d.shares), 0.0)
		}
		time.Sleep(30 * time.Second)
		table.SetFailure(nil)
		time.Sleep(20 * time.Second)
		for _, d := range all {
			assert.Equal(t, share(d.shares), 0.0)
			status := d.controller.Status()[0]
			assert.Equal(t, status.Phase, Reversed)
			assert.Equal(t, status.Reason, "errors on route r")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a move that hangs when its holder dies or the store loses
// answers, and against a share that stays after the deadline without the store.
func TestTakeoverLostAnswersAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := memtable.New()
		calls := 0
		table.SetFailure(func(commit bool) memtable.Failure {
			if !commit {
				return memtable.None
			}
			calls++
			return []memtable.Failure{memtable.None, memtable.LostAnswer, memtable.LostRequest}[calls%3]
		})
		set := controllerSet(time.Now().Add(2 * time.Minute))
		killed, kill := context.WithCancel(ctx)
		dead := func(HookPoint) {
			if killed.Err() != nil {
				<-ctx.Done() // a killed process does nothing more
			}
		}
		a := startDaemons(ctx, table, newFleet(3), set, dead)
		time.Sleep(10 * time.Second)
		assert.Assert(t, a[0].controller.Status()[0].Held)
		kill()
		b := startDaemons(ctx, table, newFleet(3), set, nil)
		time.Sleep(105 * time.Second)
		assert.Equal(t, b[0].controller.Status()[0].Phase, Done)

		late := controllerSet(time.Now().Add(time.Minute))
		late.Moves[0].Name = "late"
		b[0].controller.SetConfig(late)
		time.Sleep(30 * time.Second)
		table.SetFailure(func(bool) memtable.Failure { return memtable.Down })
		assert.Assert(t, share(b[0].shares) > 0)
		time.Sleep(30 * time.Second)
		assert.Equal(t, share(b[0].shares), 0.0)
		cancel()
		synctest.Wait()
	})
}

// Guards against evidence that is counted twice or lost when the holder changes.
func TestAggregatorSendsEverythingToNewHolder(t *testing.T) {
	now := start
	clock := func() time.Time { return now }
	s := NewSharesAt(clock)
	s.SetConfig(testSet())
	row := testRow(Shifting, 100)
	apply(t, s, 1, row)
	a := NewAggregator(AggregatorConfig{Shares: s, Origin: "dc", Evaluator: NewTest(), Now: clock})
	add := func(sequence uint64) {
		a.Add(&Evidence{Move: "m", Attempt: 1, Origin: "e", Sequence: sequence, Strata: []StratumCounts{{Version: "v1", Route: "r", Requests: 10}}})
	}
	add(1)
	add(1)
	assert.Equal(t, a.Drain()[0].Evidence.Strata[0].Requests, uint32(10))
	assert.Equal(t, len(a.Drain()), 0)
	add(2)
	row.Fence = 2
	apply(t, s, 2, row)
	m := a.Drain()[0]
	assert.Equal(t, m.Evidence.Strata[0].Requests, uint32(20))
	assert.Assert(t, meantFor(m.Evidence.Origin, 2) && !meantFor(m.Evidence.Origin, 1))
}

// hangingTable answers nothing while it hangs.
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

// Guards against a cut that waits for a store that does not answer.
func TestCutDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := &hangingTable{Table: memtable.New()}
		all := startDaemons(ctx, table, newFleet(1), controllerSet(time.Now().Add(5*time.Minute)), nil)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, share(all[0].shares) > 0)
		table.hangs.Store(true)
		time.Sleep(800 * time.Millisecond)
		all[0].controller.AddEvidence(&Evidence{Move: "m", Attempt: 1, Origin: "e", Sequence: 1, Strata: []StratumCounts{
			{Version: "v1", Route: "r", Requests: 1000}, {Version: "v2", Route: "r", Requests: 50, Errors: 40},
		}})
		assert.Equal(t, share(all[0].shares), 0.0)
		cancel()
		synctest.Wait()
	})
}
