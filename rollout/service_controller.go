package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/lease"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// serviceController executes the moves of one service, which share a lease. Its
// fields are guarded by the controller's mutex, which is not held during calls to
// the provider.
type serviceController struct {
	controller *Controller
	service    string
	keeper     *lease.Keeper
	moves      map[string]*moveState

	fence     uint64 // fencing number of the last term; 0 before the first
	heldSince time.Time
	nextRead  time.Time
}

// moveState is the state of one move in this daemon: its row, the evidence and the
// targets.
type moveState struct {
	move       *object.Move
	rowVersion uint64 // version of the row in the table
	row        Row
	// lost says that row is known from an earlier era of the table, which has an older row or
	// none since it was restored.
	lost         bool
	stepSince    time.Time // when the row's attempt, phase and step were first seen
	tally        *Tally
	targets      map[string]*targetState
	targetNames  []string // in the order of the configuration
	waiting      string
	lastDecision time.Time // when the policy last decided
}

// targetState tracks the loading of the new version on one target.
type targetState struct {
	Target
	bandwidthReserved bool
}

// hasRow reports whether the move's row is known.
func (m *moveState) hasRow() bool {
	return m.rowVersion != 0 || m.lost
}

func newServiceController(c *Controller, service string) *serviceController {
	return &serviceController{
		controller: c, service: service, moves: make(map[string]*moveState),
		keeper: lease.NewKeeper(lease.Config{
			Table: c.config.Table, Key: LeaseKey(service), Self: c.config.Self, Terms: c.config.Terms, Now: c.config.Now,
		}),
	}
}

// setConfig applies a configuration and keeps the state of the moves that it still
// contains. The caller holds the mutex.
func (s *serviceController) setConfig(set *object.Set) {
	moves := make(map[string]*moveState)
	for i := range set.Moves {
		m := &set.Moves[i]
		if m.Service != s.service {
			continue
		}
		state := s.moves[m.Name]
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
	s.moves = moves
	s.nextRead = time.Time{}
}

// setTargets updates the targets to those that can serve the new version and keeps
// the loading state of the ones that stay. The caller holds the mutex.
func (m *moveState) setTargets(set *object.Set) {
	targets := make(map[string]*targetState)
	m.targetNames = m.targetNames[:0]
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
		m.targetNames = append(m.targetNames, t.Name)
	}
	m.targets = targets
}

// addEvidence merges evidence for the current attempt that is meant for this daemon's
// last term; other evidence is dropped. The caller holds the mutex.
func (s *serviceController) addEvidence(m *moveState, e *Evidence) {
	if !m.hasRow() || e.Attempt != m.row.Attempt || !isForHolder(e.Origin, s.fence) {
		return
	}
	if s.fence == 0 {
		return
	}
	if m.tally == nil {
		m.tally = NewTally(m.row.From, m.row.To)
	}
	m.tally.Merge(s.controller.config.Now(), e)
}

// cutsOnEvidence returns the cuts that new evidence requires, so that a cut waits neither for a
// call to the store that blocks Run nor, during a short soak, for the next decision. It returns
// none if the policy has decided on the move just before. The caller holds the mutex.
func (s *serviceController) cutsOnEvidence(m *moveState) []CutShare {
	pause := 2 * decisionInterval
	if m.row.Phase == Soaking && m.move.Soak > 0 {
		pause = min(pause, evidenceInterval(m.move.Soak))
	}
	if m.tally == nil || s.controller.config.Now().Sub(m.lastDecision) < pause {
		return nil
	}
	var out []CutShare
	for _, action := range s.decideLocked(m) {
		if cut, ok := action.(CutShare); ok {
			out = append(out, cut)
		}
	}
	return out
}

// tick reads the rows, lets the policy decide and executes its actions. It returns
// the time until the next call.
func (s *serviceController) tick(ctx context.Context) time.Duration {
	now := s.controller.config.Now()
	s.controller.mu.Lock()
	nextRead := s.nextRead
	s.controller.mu.Unlock()
	if _, _, held := s.keeper.Held(now); !held && now.Before(nextRead) {
		return min(nextRead.Sub(now), s.actWithoutLease(ctx))
	}
	readErr := s.readRows(ctx)
	if readErr == nil {
		readErr = s.rewriteEnded(ctx)
	}
	if !s.needsHolder() {
		return s.releaseLease(ctx)
	}
	if !s.acquireOrRenewLease(ctx) {
		s.recordError(readErr)
		return min(s.delayNextRead(leaseWatchInterval), s.actWithoutLease(ctx))
	}
	// After a failed read the holder decides on the rows of the last successful
	// read: it can still cut.
	return s.actWithLease(ctx)
}

// readRows reads the lease and the rows of all moves, and applies the new rows.
func (s *serviceController) readRows(ctx context.Context) error {
	s.controller.mu.Lock()
	names := make([]string, 0, len(s.moves))
	for name := range s.moves {
		names = append(names, name)
	}
	s.controller.mu.Unlock()
	slices.Sort(names)
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = RowKey(name)
	}
	s.controller.config.Hook(BeforeRead)
	rows, err := s.keeper.Read(ctx, keys...)
	if err != nil {
		return err
	}
	for i, row := range rows {
		if s.keepLostRow(names[i], row) {
			continue
		}
		if row.Version != 0 {
			s.applyRow(names[i], row)
		}
	}
	return nil
}

// keepLostRow keeps the known row of a move if the table was restored and has an older one or none,
// and reports whether it does. The holder writes the row again.
func (s *serviceController) keepLostRow(name string, stored provider.Row) bool {
	known, sequence, ok := s.controller.config.TrafficSplit.Row(name)
	if !ok || provider.Era(sequence) >= stored.Era {
		return false
	}
	if stored.Version != 0 {
		decoded, err := DecodeRow(stored.Value)
		if err == nil && !known.follows(&decoded) {
			return false
		}
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	if m := s.moves[name]; m != nil {
		m.setRow(s.controller.config.Now(), known)
		m.rowVersion, m.lost = stored.Version, true
	}
	return true
}

// rewriteEnded writes the rows of ended attempts again that the restored table lost. It does not need
// the lease, which may not be free for a whole term: the end is final, and each write is conditional
// on the row that was read.
func (s *serviceController) rewriteEnded(ctx context.Context) error {
	s.controller.mu.Lock()
	var writes []provider.Write
	for name, m := range s.moves {
		if m.lost && m.row.Phase.Final() {
			writes = append(writes, provider.Write{Key: RowKey(name), Value: m.row.Encode(), IfVersion: m.rowVersion})
		}
	}
	s.controller.mu.Unlock()
	if len(writes) == 0 {
		return nil
	}
	for _, write := range writes {
		callCtx, cancel := context.WithTimeout(ctx, lease.DefaultCallTimeout)
		err := s.controller.config.Table.Commit(callCtx, write)
		cancel()
		var conflict *provider.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return fault.Wrap(err, "rollout.rewrite", write.Key)
		}
	}
	return s.readRows(ctx)
}

// setRow sets the row of a move. A new attempt starts without evidence. The caller holds the mutex.
func (m *moveState) setRow(now time.Time, row Row) {
	if !m.hasRow() || m.row.Attempt != row.Attempt {
		m.tally = nil
	}
	sameStep := m.row.Attempt == row.Attempt && m.row.Phase == row.Phase && m.row.Step == row.Step
	if !m.hasRow() || !sameStep {
		m.stepSince = now
	}
	m.row = row
}

// applyRow updates the state of a move from its row and notifies the peers of a new row.
func (s *serviceController) applyRow(name string, row provider.Row) {
	decoded, err := DecodeRow(row.Value)
	if err != nil {
		s.recordError(err)
		return
	}
	s.controller.mu.Lock()
	if m := s.moves[name]; m != nil && (m.lost || row.Version > m.rowVersion) {
		m.setRow(s.controller.config.Now(), decoded)
		m.rowVersion, m.lost = row.Version, false
	}
	s.controller.mu.Unlock()
	isNew, err := s.controller.config.TrafficSplit.ApplyRow(name, row.Version, row.Value)
	if err == nil && isNew {
		s.controller.config.Notifier.NotifyRow(name, row.Version, row.Value)
	}
}

// needsHolder reports whether a move needs a daemon that holds the lease: it has no
// row or the table lost it, its attempt has not ended or is to be followed by a new one, or a
// cut of a move that is done is not recorded yet.
func (s *serviceController) needsHolder() bool {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	for _, m := range s.moves {
		if m.rowVersion == 0 || m.lost || !m.row.Phase.Final() {
			return true
		}
		if m.row.Phase == Reversed && m.move.Attempt > m.row.Attempt {
			return true
		}
		if _, isCut := s.controller.config.TrafficSplit.CutReason(m.move.Name, m.row.Attempt); isCut && m.row.Phase == Done && !m.row.Cut {
			return true
		}
	}
	return false
}

// releaseLease releases the lease when no move needs a holder.
func (s *serviceController) releaseLease(ctx context.Context) time.Duration {
	// After an error the lease expires by itself.
	_ = s.keeper.Release(ctx)
	return s.delayNextRead(idleReadInterval)
}

// delayNextRead delays the next read by d and returns d. A change of the
// configuration ends the delay.
func (s *serviceController) delayNextRead(d time.Duration) time.Duration {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	s.nextRead = s.controller.config.Now().Add(d)
	return d
}

// acquireOrRenewLease acquires the lease, or renews it when little of the term is
// left, and reports whether it is held. With a new fencing number it discards the
// evidence, since the aggregators send all of it again to a new holder.
func (s *serviceController) acquireOrRenewLease(ctx context.Context) bool {
	s.controller.config.Hook(BeforeAcquire)
	held, _, err := s.keeper.Acquire(ctx)
	if err != nil {
		s.recordError(err)
	}
	now := s.controller.config.Now()
	fence, left, ok := s.keeper.Held(now)
	if !held || !ok {
		return false
	}
	s.controller.mu.Lock()
	if fence != s.fence {
		s.fence, s.heldSince = fence, now
		for _, m := range s.moves {
			m.tally = nil
		}
	}
	s.controller.mu.Unlock()
	if left < time.Duration(float64(s.controller.config.Terms.Duration)*renewBelowFraction) {
		if err := s.keeper.Renew(ctx); err != nil {
			s.recordError(err)
		}
	}
	return true
}

// actWithLease executes the policy's decisions on all moves and returns the time
// until the next tick.
func (s *serviceController) actWithLease(ctx context.Context) time.Duration {
	pause := leaseWatchInterval
	s.controller.mu.Lock()
	states := make([]*moveState, 0, len(s.moves))
	for _, m := range s.moves {
		states = append(states, m)
	}
	s.controller.mu.Unlock()
	for _, m := range states {
		pause = min(pause, s.decideAndAct(ctx, m))
	}
	return pause
}

// actWithoutLease has the policy evaluate the evidence of a term that has ended, and
// returns the time until the next tick.
func (s *serviceController) actWithoutLease(ctx context.Context) time.Duration {
	s.controller.mu.Lock()
	var states []*moveState
	for _, m := range s.moves {
		if m.tally != nil {
			states = append(states, m)
		}
	}
	s.controller.mu.Unlock()
	pause := idleReadInterval
	for _, m := range states {
		pause = min(pause, s.decideAndAct(ctx, m))
	}
	return pause
}

// decideAndAct executes the policy's actions for one move and returns the time until
// the next decision.
func (s *serviceController) decideAndAct(ctx context.Context, m *moveState) time.Duration {
	s.controller.config.Hook(BeforeDecide)
	for _, action := range s.decide(m) {
		switch a := action.(type) {
		case CutShare:
			s.controller.Cut(a.Move, a.Attempt, a.Reason)
		case LoadVersion:
			s.startLoad(ctx, m, a)
		case WriteRow:
			return s.commitRow(ctx, a)
		case Wait:
			s.controller.mu.Lock()
			m.waiting = a.Reason
			s.controller.mu.Unlock()
			return a.For
		}
	}
	return decisionInterval
}

// decide returns the policy's actions for one move.
func (s *serviceController) decide(m *moveState) []Action {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	return s.decideLocked(m)
}

// decideLocked is decide for callers that hold the mutex.
func (s *serviceController) decideLocked(m *moveState) []Action {
	now := s.controller.config.Now()
	m.lastDecision = now
	fence, left, held := s.keeper.Held(now)
	in := &Input{
		Now: now, Move: m.move, Row: m.row, RowVersion: m.rowVersion, Lost: m.lost, StepSince: m.stepSince, Evidence: m.tally,
		Lease: Lease{Held: held, Holder: s.controller.config.Self, Fence: fence, Remaining: left, AcquiredAt: s.heldSince},
	}
	attempt := m.row.Attempt
	if startsAttempt(in) {
		attempt = m.move.Attempt
	}
	in.CutReason, _ = s.controller.config.TrafficSplit.CutReason(m.move.Name, attempt)
	for _, name := range m.targetNames {
		in.Targets = append(in.Targets, m.targets[name].Target)
	}
	return s.controller.config.Policy.Next(in)
}

// commitRow writes a row on condition that the lease is still held, and reads the
// rows again. It returns the time until the next decision: 0 after a success.
func (s *serviceController) commitRow(ctx context.Context, a WriteRow) time.Duration {
	s.controller.config.Hook(BeforeWrite)
	err := s.keeper.Commit(ctx, provider.Write{
		Key: RowKey(a.Row.Move), Value: a.Row.Encode(), IfVersion: a.IfVersion,
	})
	if err != nil {
		s.recordError(fault.Wrap(err, "rollout.write", a.Row.Move))
		return decisionInterval
	}
	if err := s.readRows(ctx); err != nil {
		s.recordError(err)
		return decisionInterval
	}
	return 0
}

// recordError shows err, unless it is nil, as what the service's moves wait for.
func (s *serviceController) recordError(err error) {
	if err == nil {
		return
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	for _, m := range s.moves {
		m.waiting = err.Error()
	}
}
