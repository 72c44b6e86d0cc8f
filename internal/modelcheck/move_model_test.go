package modelcheck

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/lease"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// The model runs the real lease.State and rollout.StateMachine of two daemons against
// a table that loses requests and answers and applies abandoned writes late, one
// target that checks fencing numbers and one that does not. Time is a tick counter; a
// daemon that takes no step while the counter rises is paused.

const (
	maxAttempts = 2 // attempts of the move that the operator allows
	fenceCount  = 8 // fencing numbers are below this
)

// bounds limits the exploration: ticks of time, lost answers, crashes, and writes of
// each kind by both processes together.
type bounds struct {
	ticks, lost, crashes, leases, releases, rows int8
	// orders lets each process send one command.
	orders bool
	// target receives the commands: 0 checks fencing numbers, 1 does not.
	target int8
	// term is the duration of a lease in ticks; timeout is the number of ticks after
	// which a command that was sent is lost.
	term, timeout int8
	// held starts the exploration with a lease that the first process has just
	// acquired and the second one has observed.
	held bool
}

// removedGuards selects the conditions that a variant of the model leaves out.
type removedGuards struct {
	noLeaseCondition bool // the row is written without the lease row in the transaction
	noRowCondition   bool // the row is written whatever its version is
	shortWait        bool // the second process acquires the lease before its term has passed
	longTerm         bool // the first process assumes a longer term than it has
	noTokenCompare   bool // a write without an answer counts as successful
	noCommandMargin  bool // a command may outlive the lease
	noSendDeadline   bool // a command is sent however long the process was paused
	noTakeoverWait   bool // a new holder sends commands at once
	noFenceCheck     bool // the first target ignores fencing numbers, too
	reopensFinalRow  bool // a row in a final phase is treated as if it were soaking
}

// moveRow is the row of the move.
type moveRow struct {
	version uint64
	phase   rollout.Phase
	attempt int8
	share   bool
	fence   uint64
}

// leaseRow is the row of the lease.
type leaseRow struct {
	version uint64
	record  lease.Record
}

// transaction is a write of the lease row, and of the move row if withRow is set, that
// has been sent to the table.
type transaction struct {
	active  bool
	ifLease uint64
	record  lease.Record
	withRow bool
	ifRow   uint64
	row     moveRow
}

// command is the one command that a process sends to the target.
type command struct {
	active  bool
	sent    bool
	ended   bool
	target  int8
	fence   uint64
	expires int8 // before sending: first tick at which it may not be sent; afterwards: first tick at which it no longer reaches target 1
}

// process is the state of one daemon.
type process struct {
	lease       lease.State
	row         moveRow
	hasRead     bool // since its start
	fenceSince  int8 // tick at which it first held the lease with lastFence
	lastFence   uint64
	pending     transaction // sent, without an answer so far
	abandoned   transaction // given up, may still take effect
	tokenCount  int8
	command     command
	incarnation int8
}

// state is the state of the whole model.
type state struct {
	now           int8
	lease         leaseRow
	row           moveRow
	lastVersion   uint64
	processes     [2]process
	executedFence [2]uint64                // highest fencing number that each target has seen
	fenceUsers    [fenceCount]int8         // process incarnation that used each fencing number
	finalPhases   [maxAttempts + 1][2]bool // for each attempt, whether done and reversed were written
	remaining     bounds
	violation     string
}

type moveModel struct {
	removed removedGuards
	bounds  bounds
}

func tickTime(tick int8) time.Time { return time.Unix(int64(tick), 0).UTC() }

func (m *moveModel) leaseTerms(p int) lease.Terms {
	t := lease.Terms{Duration: time.Duration(m.bounds.term) * time.Second}
	if m.removed.shortWait && p == 1 {
		t.Duration -= time.Second
	}
	if m.removed.longTerm && p == 0 {
		t.Duration += time.Second
	}
	return t
}

func letterName(p int) string { return string(rune('a' + p)) }

func (m *moveModel) initial(b bounds) state {
	s := state{remaining: b, row: moveRow{version: 1, phase: rollout.Soaking, attempt: 1, share: true}, lastVersion: 1}
	for p := range s.processes {
		s.processes[p].lease = lease.NewState("lease", letterName(p), m.leaseTerms(p))
	}
	if !b.held {
		return s
	}
	s = m.readRows(s, 0)
	w := s.processes[0].lease.Acquire(tickTime(0), s.nextToken(0))
	s.remaining.leases--
	s = m.startTransaction(s, 0, w)
	s, _ = m.apply(s, s.processes[0].pending)
	s.processes[0].pending = transaction{}
	return m.readRows(m.readRows(s, 0), 1)
}

func (m *moveModel) steps(s state, next func(string, state)) {
	if s.remaining.ticks > 0 {
		t := s
		t.now++
		t.remaining.ticks--
		next("time passes", t)
	}
	for p := range s.processes {
		m.networkSteps(s, p, next)
		m.commandSteps(s, p, next)
		if s.remaining.crashes > 0 {
			next(letterName(p)+" crashes", m.crash(s, p))
		}
		if s.processes[p].pending.active {
			continue
		}
		if q := &s.processes[p]; !q.hasRead || q.lease.Version() != s.lease.version || q.row != s.row {
			next(letterName(p)+" reads", m.readRows(s, p))
		}
		m.offerWrites(s, p, next)
	}
}

// networkSteps delivers, loses or delays the writes of one process. An answer arrives
// in the same step as the effect: a later answer is equivalent to a process that was
// paused.
func (m *moveModel) networkSteps(s state, p int, next func(string, state)) {
	if w := s.processes[p].abandoned; w.active {
		t, _ := m.apply(s, w)
		t.processes[p].abandoned = transaction{}
		next(letterName(p)+"'s abandoned write arrives", t)
	}
	w := s.processes[p].pending
	if !w.active {
		return
	}
	t, ok := m.apply(s, w)
	t.processes[p].pending = transaction{}
	if ok {
		t.processes[p].lease.ObserveCommit(tickTime(t.now), w.record.Token)
	}
	next(fmt.Sprintf("%s's write is answered (%v)", letterName(p), ok), m.recordFenceUse(t, p))
	if s.remaining.lost == 0 {
		return
	}
	t, _ = m.apply(s, w)
	t.remaining.lost--
	next(letterName(p)+"'s write arrives, its answer is lost", m.loseAnswer(t, p, w))
	t = s
	t.remaining.lost--
	t.processes[p].abandoned = w
	next(letterName(p)+"'s write is delayed without an answer", m.loseAnswer(t, p, w))
}

// loseAnswer makes process p give up waiting for the answer to w.
func (m *moveModel) loseAnswer(s state, p int, w transaction) state {
	s.processes[p].pending = transaction{}
	if m.removed.noTokenCompare {
		s.processes[p].lease.ObserveCommit(tickTime(s.now), w.record.Token)
	}
	return m.recordFenceUse(s, p)
}

// apply executes a transaction on the table and reports whether its conditions held.
func (m *moveModel) apply(s state, w transaction) (state, bool) {
	checksLease := !w.withRow || !m.removed.noLeaseCondition
	if checksLease && s.lease.version != w.ifLease {
		return s, false
	}
	if w.withRow && !m.removed.noRowCondition && s.row.version != w.ifRow {
		return s, false
	}
	if checksLease {
		s.lastVersion++
		s.lease = leaseRow{version: s.lastVersion, record: w.record}
	}
	if w.withRow {
		s = writeRow(s, w)
	}
	return s, true
}

// writeRow writes the move row and checks the invariants on rows.
func writeRow(s state, w transaction) state {
	if w.row.fence < s.lease.record.Fence {
		s.violation = "a row was written by an earlier holder"
	}
	if w.row.share && s.finalPhases[w.row.attempt][1] {
		s.violation = "a reversed attempt got a share"
	}
	s.lastVersion++
	s.row = w.row
	s.row.version = s.lastVersion
	switch w.row.phase {
	case rollout.Done:
		s.finalPhases[w.row.attempt][0] = true
	case rollout.Reversed:
		s.finalPhases[w.row.attempt][1] = true
	}
	if s.finalPhases[w.row.attempt] == [2]bool{true, true} {
		s.violation = "an attempt is both done and reversed"
	}
	return s
}

// readRows lets process p read both rows.
func (m *moveModel) readRows(s state, p int) state {
	row := provider.Row{Key: "lease", Version: s.lease.version}
	if row.Version != 0 {
		row.Value, _ = json.Marshal(s.lease.record)
	}
	if err := s.processes[p].lease.Observe(tickTime(s.now), row); err != nil {
		s.violation = err.Error()
	}
	s.processes[p].row = s.row
	s.processes[p].hasRead = true
	return m.recordFenceUse(s, p)
}

// recordFenceUse records that p holds the lease with its fencing number, if it does,
// and checks that no other process or incarnation has used the number. It must be
// called after every change of what p knows.
func (m *moveModel) recordFenceUse(s state, p int) state {
	fence, _, held := s.processes[p].lease.Held(tickTime(s.now))
	if !held {
		return s
	}
	if fence != s.processes[p].lastFence {
		s.processes[p].lastFence, s.processes[p].fenceSince = fence, s.now
	}
	user := int8(p)*8 + s.processes[p].incarnation + 1
	if s.fenceUsers[fence] != 0 && s.fenceUsers[fence] != user {
		s.violation = "two holders use one fencing number"
	}
	s.fenceUsers[fence] = user
	return s
}

// crash restarts process p. Writes and commands that it has sent stay under way.
func (m *moveModel) crash(s state, p int) state {
	s.remaining.crashes--
	q := &s.processes[p]
	fresh := process{
		lease: lease.NewState("lease", letterName(p), m.leaseTerms(p)), tokenCount: q.tokenCount, incarnation: q.incarnation + 1, abandoned: q.abandoned,
	}
	if q.pending.active {
		fresh.abandoned = q.pending
	}
	if q.command.sent {
		fresh.command = q.command
	}
	s.processes[p] = fresh
	return s
}

// offerWrites calls next for each write that process p may send.
func (m *moveModel) offerWrites(s state, p int, next func(string, state)) {
	q := s.processes[p]
	if !q.hasRead {
		return
	}
	now := tickTime(s.now)
	// Before the lease is first acquired the processes are alike, so it is enough to
	// let the first one acquire it.
	mayAcquire := s.remaining.leases > 0 && (p == 0 || s.lease.version != 0 || s.remaining.crashes > 0)
	if _, ok := q.lease.Claimable(now); ok && mayAcquire {
		t := s
		t.remaining.leases--
		w := t.processes[p].lease.Acquire(now, t.nextToken(p))
		next(letterName(p)+" acquires the lease", m.startTransaction(t, p, w))
		return
	}
	if _, _, held := q.lease.Held(now); !held {
		return
	}
	t := s
	if w, ok := t.processes[p].lease.Release(now, t.nextToken(p)); ok && s.remaining.releases > 0 {
		t.remaining.releases--
		next(letterName(p)+" releases the lease", m.startTransaction(t, p, w))
	}
	if s.remaining.rows == 0 {
		return
	}
	for _, bad := range []bool{false, true} {
		row, ok := m.nextRow(s, p, bad)
		if !ok {
			continue
		}
		t := s
		t.remaining.rows--
		w, _ := t.processes[p].lease.Renew(now, t.nextToken(p))
		t = m.startTransaction(t, p, w)
		pending := &t.processes[p].pending
		pending.withRow, pending.ifRow, pending.row = true, q.row.version, row
		next(fmt.Sprintf("%s writes %s of attempt %d", letterName(p), row.phase, row.attempt), t)
	}
}

// nextToken returns a token that process p has not used before.
func (s *state) nextToken(p int) string {
	s.processes[p].tokenCount++
	return fmt.Sprintf("%s%d.%d", letterName(p), s.processes[p].incarnation, s.processes[p].tokenCount)
}

// startTransaction sends a write of the lease row.
func (m *moveModel) startTransaction(s state, p int, w provider.Write) state {
	var record lease.Record
	if err := json.Unmarshal(w.Value, &record); err != nil {
		s.violation = err.Error()
	}
	s.processes[p].pending = transaction{active: true, ifLease: w.IfVersion, record: record}
	return s
}

// fixedEvaluator is an evaluator whose verdict is always bad if it is true.
type fixedEvaluator bool

func (v fixedEvaluator) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict {
	return rollout.Verdict{Bad: bool(v), Reason: "evidence"}
}

// nextRow returns the move row that process p would write according to the real
// rollout.StateMachine, and false if it would write none.
func (m *moveModel) nextRow(s state, p int, bad bool) (moveRow, bool) {
	q := s.processes[p]
	fence, left, held := q.lease.Held(tickTime(s.now))
	row := rollout.Row{
		Move: "m", Attempt: int(q.row.attempt), Phase: q.row.phase, Share: rollout.FullShare,
		Fence: q.row.fence, Deadline: tickTime(100), Started: tickTime(0),
	}
	if m.removed.reopensFinalRow {
		row.Phase = rollout.Soaking
	}
	machine := rollout.StateMachine{Evaluator: fixedEvaluator(bad)}
	move := &object.Move{Name: "m", Attempt: maxAttempts, Deadline: tickTime(100), Steps: []float64{100}, Soak: 1}
	if row.Phase != rollout.Reversed {
		move.Attempt = row.Attempt
	}
	actions := machine.Next(&rollout.Input{
		Now: tickTime(s.now), Move: move, Row: row, RowVersion: q.row.version, StepSince: tickTime(-10),
		Lease: rollout.Lease{Held: held, Fence: fence, Remaining: left},
	})
	w, ok := actions[len(actions)-1].(rollout.WriteRow)
	if !ok || w.Row.Phase == rollout.Loading {
		return moveRow{}, false
	}
	return moveRow{
		phase: w.Row.Phase, attempt: int8(w.Row.Attempt), share: w.Row.Share > 0, fence: w.Row.Fence,
	}, true
}
