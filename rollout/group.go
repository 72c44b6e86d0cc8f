package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/lease"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// group is the moves of one service, which share a lease. Fields are guarded by
// the controller's mutex, which is not held during calls to the provider.
type group struct {
	c       *Controller
	service string
	keeper  *lease.Keeper
	moves   map[string]*moveState

	fence    uint64 // of the last term
	since    time.Time
	nextRead time.Time
}

// moveState is what this daemon knows of one move beside its row.
type moveState struct {
	move    *object.Move
	version uint64
	row     Row
	since   time.Time // when the row's attempt, phase and step were first seen
	tally   *Tally
	targets map[string]*targetState
	order   []string // target names
	waiting string
	decided time.Time // when the policy was last asked
}

// targetState follows the loading of the new version on one target.
type targetState struct {
	Target
	reserved bool
}

func newGroup(c *Controller, service string) *group {
	return &group{
		c: c, service: service, moves: make(map[string]*moveState),
		keeper: lease.NewKeeper(lease.Config{
			Table: c.config.Table, Key: LeaseKey(service), Self: c.config.Self, Terms: c.config.Terms, Now: c.config.Now,
		}),
	}
}

func (g *group) setConfig(set *object.Set) {
	moves := make(map[string]*moveState)
	for i := range set.Moves {
		m := &set.Moves[i]
		if m.Service != g.service {
			continue
		}
		state := g.moves[m.Name]
		if state == nil {
			state = &moveState{}
		}
		if state.move != nil && state.move.To != m.To {
			state.targets = nil
		}
		state.move = m
		state.setTargets(set)
		moves[m.Name] = state
	}
	g.moves = moves
	g.nextRead = time.Time{}
}

// setTargets lists the targets that can serve the new version.
func (m *moveState) setTargets(set *object.Set) {
	targets := make(map[string]*targetState)
	m.order = m.order[:0]
	for i := range set.Targets {
		t := &set.Targets[i]
		if t.Service != m.move.Service || !slices.Contains(t.Versions, m.move.To) {
			continue
		}
		state := m.targets[t.Name]
		if state == nil {
			state = &targetState{}
		}
		state.Object = t
		targets[t.Name] = state
		m.order = append(m.order, t.Name)
	}
	m.targets = targets
}

func (g *group) addEvidence(m *moveState, e *Evidence) {
	if m.version == 0 || e.Attempt != m.row.Attempt || !meantFor(e.Origin, g.fence) {
		return
	}
	if g.fence == 0 {
		return
	}
	if m.tally == nil {
		m.tally = NewTally(m.row.From, m.row.To)
	}
	m.tally.Merge(g.c.config.Now(), e)
}

// cuts returns the cuts that new evidence calls for while the controller's
// goroutine waits for the store. The caller holds the mutex.
func (g *group) cuts(m *moveState) []CutShare {
	if m.tally == nil || g.c.config.Now().Sub(m.decided) < 2*idle {
		return nil
	}
	var out []CutShare
	for _, action := range g.next(m) {
		if cut, ok := action.(CutShare); ok {
			out = append(out, cut)
		}
	}
	return out
}

// tick reads, decides and acts, and returns how long to wait.
func (g *group) tick(ctx context.Context) time.Duration {
	now := g.c.config.Now()
	g.c.mu.Lock()
	nextRead := g.nextRead
	g.c.mu.Unlock()
	if _, _, held := g.keeper.Held(now); !held && now.Before(nextRead) {
		return min(nextRead.Sub(now), g.actWithoutLease(ctx))
	}
	readErr := g.read(ctx)
	if !g.needed() {
		return g.rest(ctx)
	}
	if !g.hold(ctx) {
		g.note(readErr)
		return min(g.restFor(watchEvery), g.actWithoutLease(ctx))
	}
	// Without the store the holder decides on the last rows that it read: it can
	// still cut.
	return g.act(ctx)
}

// read reads the lease and all rows, and passes new rows on.
func (g *group) read(ctx context.Context) error {
	g.c.mu.Lock()
	names := make([]string, 0, len(g.moves))
	for name := range g.moves {
		names = append(names, name)
	}
	g.c.mu.Unlock()
	slices.Sort(names)
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = RowKey(name)
	}
	g.c.config.Hook(BeforeRead)
	rows, err := g.keeper.Read(ctx, keys...)
	if err != nil {
		return err
	}
	for i, row := range rows {
		if row.Version != 0 {
			g.learn(names[i], row)
		}
	}
	return nil
}

func (g *group) learn(name string, row provider.Row) {
	decoded, err := DecodeRow(row.Value)
	if err != nil {
		g.note(err)
		return
	}
	g.c.mu.Lock()
	if m := g.moves[name]; m != nil && row.Version > m.version {
		if m.version == 0 || m.row.Attempt != decoded.Attempt {
			m.tally = nil
		}
		same := m.row.Attempt == decoded.Attempt && m.row.Phase == decoded.Phase && m.row.Step == decoded.Step
		if m.version == 0 || !same {
			m.since = g.c.config.Now()
		}
		m.version, m.row = row.Version, decoded
	}
	g.c.mu.Unlock()
	fresh, err := g.c.config.Shares.ApplyRow(name, row.Version, row.Value)
	if err == nil && fresh {
		g.c.config.Notifier.NotifyRow(name, row.Version, row.Value)
	}
}

// needed reports whether a move needs a holder.
func (g *group) needed() bool {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	for _, m := range g.moves {
		if m.version == 0 || !m.row.Phase.Final() {
			return true
		}
		if m.row.Phase == Reversed && m.move.Attempt > m.row.Attempt {
			return true
		}
		if _, isCut := g.c.config.Shares.CutReason(m.move.Name, m.row.Attempt); isCut && m.row.Phase == Done && !m.row.Cut {
			return true
		}
	}
	return false
}

// rest gives the lease up while no move needs a holder.
func (g *group) rest(ctx context.Context) time.Duration {
	// An error leaves the lease to expire.
	_ = g.keeper.Release(ctx)
	return g.restFor(restEvery)
}

// restFor delays the next read unless the configuration changes.
func (g *group) restFor(d time.Duration) time.Duration {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	g.nextRead = g.c.config.Now().Add(d)
	return d
}

// hold takes or renews the lease and reports whether it is held.
func (g *group) hold(ctx context.Context) bool {
	g.c.config.Hook(BeforeAcquire)
	held, _, err := g.keeper.Acquire(ctx)
	if err != nil {
		g.note(err)
	}
	now := g.c.config.Now()
	fence, left, ok := g.keeper.Held(now)
	if !held || !ok {
		return false
	}
	g.c.mu.Lock()
	if fence != g.fence {
		g.fence, g.since = fence, now
		for _, m := range g.moves {
			m.tally = nil
		}
	}
	g.c.mu.Unlock()
	if left < time.Duration(float64(g.c.config.Terms.Duration)*renewBelow) {
		if err := g.keeper.Renew(ctx); err != nil {
			g.note(err)
		}
	}
	return true
}

// act executes the policy's decisions on all moves.
func (g *group) act(ctx context.Context) time.Duration {
	pause := watchEvery
	g.c.mu.Lock()
	states := make([]*moveState, 0, len(g.moves))
	for _, m := range g.moves {
		states = append(states, m)
	}
	g.c.mu.Unlock()
	for _, m := range states {
		pause = min(pause, g.actOn(ctx, m))
	}
	return pause
}

// actWithoutLease judges the evidence of a term that has ended.
func (g *group) actWithoutLease(ctx context.Context) time.Duration {
	g.c.mu.Lock()
	var states []*moveState
	for _, m := range g.moves {
		if m.tally != nil {
			states = append(states, m)
		}
	}
	g.c.mu.Unlock()
	pause := restEvery
	for _, m := range states {
		pause = min(pause, g.actOn(ctx, m))
	}
	return pause
}

func (g *group) actOn(ctx context.Context, m *moveState) time.Duration {
	g.c.config.Hook(BeforeDecide)
	for _, action := range g.decide(m) {
		switch a := action.(type) {
		case CutShare:
			g.c.Cut(a.Move, a.Attempt, a.Reason)
		case LoadVersion:
			g.order(ctx, m, a)
		case WriteRow:
			return g.write(ctx, a)
		case Wait:
			g.c.mu.Lock()
			m.waiting = a.Reason
			g.c.mu.Unlock()
			return a.For
		}
	}
	return idle
}

func (g *group) decide(m *moveState) []Action {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	return g.next(m)
}

// next asks the policy. The caller holds the mutex.
func (g *group) next(m *moveState) []Action {
	now := g.c.config.Now()
	m.decided = now
	fence, left, held := g.keeper.Held(now)
	in := &Input{
		Now: now, Move: m.move, Row: m.row, RowVersion: m.version, Since: m.since, Evidence: m.tally,
		Lease: Lease{Held: held, Holder: g.c.config.Self, Fence: fence, Left: left, Since: g.since},
	}
	attempt := m.row.Attempt
	if starts(in) {
		attempt = m.move.Attempt
	}
	in.Cut, _ = g.c.config.Shares.CutReason(m.move.Name, attempt)
	for _, name := range m.order {
		in.Targets = append(in.Targets, m.targets[name].Target)
	}
	return g.c.config.Policy.Next(in)
}

// write commits a row together with the lease and reads the result back.
func (g *group) write(ctx context.Context, a WriteRow) time.Duration {
	g.c.config.Hook(BeforeWrite)
	err := g.keeper.Commit(ctx, provider.Write{
		Key: RowKey(a.Row.Move), Value: a.Row.Encode(), IfVersion: a.IfVersion,
	})
	if err != nil {
		g.note(fault.Wrap(err, "rollout.write", a.Row.Move))
		return idle
	}
	if err := g.read(ctx); err != nil {
		g.note(err)
		return idle
	}
	return 0
}

func (g *group) note(err error) {
	if err == nil {
		return
	}
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	for _, m := range g.moves {
		m.waiting = err.Error()
	}
}
