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

// The model runs the real lease.State and rollout.Machine of two daemons against
// a table that loses requests and answers and applies abandoned writes late, one
// target that checks fencing numbers and one that does not. Time is a counter; a
// daemon that takes no step while it rises is paused.

const (
	attempts = 2 // attempts of the move that the operator allows
	fences   = 8
)

// bounds limit the exploration: ticks of time, lost answers, crashes, and writes
// of each kind over both processes.
type bounds struct {
	ticks, lost, crashes, leases, releases, rows int8
	// orders lets each process send one order.
	orders bool
	// target gets the orders: 0 checks fencing numbers, 1 does not.
	target int8
	// term is the ticks of a lease, and timeout those within which an order that
	// was sent is executed or lost.
	term, timeout int8
	// held starts with a lease that the first process has just taken and the second
	// one has seen.
	held bool
}

// guards are the conditions that a variant of the model leaves out.
type guards struct {
	noLeaseCondition bool // the row is written without the lease row in the transaction
	noRowCondition   bool // the row is written whatever its version is
	shortWait        bool // a waiter takes the lease before the term has passed
	longTerm         bool // the holder counts its term longer than it is
	noTokenCompare   bool // a lost answer counts as success
	noOrderMargin    bool // an order may outlive the lease
	noSendDeadline   bool // an order is sent however long it was paused
	noTakeoverWait   bool // a new holder orders at once
	noFenceCheck     bool // the first target ignores fencing numbers, too
	revives          bool // a final row is treated as if it were not
}

type moveRow struct {
	version uint64
	phase   rollout.Phase
	attempt int8
	share   bool
	fence   uint64
}

type leaseRow struct {
	version uint64
	record  lease.Record
}

// write is a transaction on its way to the table.
type write struct {
	on      bool
	ifLease uint64
	record  lease.Record
	withRow bool
	ifRow   uint64
	row     moveRow
}

// order is the one order that a process sends.
type order struct {
	on     bool
	sent   bool
	ended  bool
	target int8
	fence  uint64
	until  int8 // before it is sent: last tick to send; after: last tick to execute
}

type process struct {
	lease     lease.State
	row       moveRow
	read      bool
	since     int8
	lastFence uint64
	pending   write // awaited
	stray     write // abandoned, may still take effect
	token     int8
	order     order
	life      int8
}

type state struct {
	now      int8
	lease    leaseRow
	row      moveRow
	versions uint64
	procs    [2]process
	executed [2]uint64 // highest fencing number that each target has seen
	users    [fences]int8
	finals   [attempts + 1][2]bool
	left     bounds
	broken   string
}

type moveModel struct {
	g guards
	b bounds
}

func at(tick int8) time.Time { return time.Unix(int64(tick), 0).UTC() }

func (m *moveModel) terms(p int) lease.Terms {
	t := lease.Terms{Duration: time.Duration(m.b.term) * time.Second}
	if m.g.shortWait && p == 1 {
		t.Duration -= time.Second
	}
	if m.g.longTerm && p == 0 {
		t.Duration += time.Second
	}
	return t
}

func name(p int) string { return string(rune('a' + p)) }

func (m *moveModel) initial(b bounds) state {
	s := state{left: b, row: moveRow{version: 1, phase: rollout.Soaking, attempt: 1, share: true}, versions: 1}
	for p := range s.procs {
		s.procs[p].lease = lease.NewState("lease", name(p), m.terms(p))
	}
	if !b.held {
		return s
	}
	s = m.readRows(s, 0)
	w := s.procs[0].lease.Acquire(at(0), s.nextToken(0))
	s.left.leases--
	s = m.send(s, 0, w)
	s, _ = m.apply(s, s.procs[0].pending)
	s.procs[0].pending = write{}
	return m.readRows(m.readRows(s, 0), 1)
}

func (m *moveModel) steps(s state, next func(string, state)) {
	if s.left.ticks > 0 {
		t := s
		t.now++
		t.left.ticks--
		next("time passes", t)
	}
	for p := range s.procs {
		m.network(s, p, next)
		m.orderSteps(s, p, next)
		if s.left.crashes > 0 {
			next(name(p)+" crashes", m.crash(s, p))
		}
		if s.procs[p].pending.on {
			continue
		}
		if q := &s.procs[p]; !q.read || q.lease.Version() != s.lease.version || q.row != s.row {
			next(name(p)+" reads", m.readRows(s, p))
		}
		m.decide(s, p, next)
	}
}

// network delivers, loses or delays the writes of one process. An answer arrives
// with the effect: a process that gets it later is one that was paused.
func (m *moveModel) network(s state, p int, next func(string, state)) {
	if w := s.procs[p].stray; w.on {
		t, _ := m.apply(s, w)
		t.procs[p].stray = write{}
		next(name(p)+"'s abandoned write arrives", t)
	}
	w := s.procs[p].pending
	if !w.on {
		return
	}
	t, ok := m.apply(s, w)
	t.procs[p].pending = write{}
	if ok {
		t.procs[p].lease.ObserveCommit(at(t.now), w.record.Token)
	}
	next(fmt.Sprintf("%s's write is answered (%v)", name(p), ok), m.believe(t, p))
	if s.left.lost == 0 {
		return
	}
	t, _ = m.apply(s, w)
	t.left.lost--
	next(name(p)+"'s write arrives, its answer is lost", m.unanswered(t, p, w))
	t = s
	t.left.lost--
	t.procs[p].stray = w
	next(name(p)+"'s write is delayed without an answer", m.unanswered(t, p, w))
}

func (m *moveModel) unanswered(s state, p int, w write) state {
	s.procs[p].pending = write{}
	if m.g.noTokenCompare {
		s.procs[p].lease.ObserveCommit(at(s.now), w.record.Token)
	}
	return m.believe(s, p)
}

// apply executes a transaction on the table.
func (m *moveModel) apply(s state, w write) (state, bool) {
	leaseMatters := !w.withRow || !m.g.noLeaseCondition
	if leaseMatters && s.lease.version != w.ifLease {
		return s, false
	}
	if w.withRow && !m.g.noRowCondition && s.row.version != w.ifRow {
		return s, false
	}
	if leaseMatters {
		s.versions++
		s.lease = leaseRow{version: s.versions, record: w.record}
	}
	if w.withRow {
		s = writeRow(s, w)
	}
	return s, true
}

func writeRow(s state, w write) state {
	if w.row.fence < s.lease.record.Fence {
		s.broken = "a row was written by an old holder"
	}
	if w.row.share && s.finals[w.row.attempt][1] {
		s.broken = "a reversed attempt got a share"
	}
	s.versions++
	s.row = w.row
	s.row.version = s.versions
	switch w.row.phase {
	case rollout.Done:
		s.finals[w.row.attempt][0] = true
	case rollout.Reversed:
		s.finals[w.row.attempt][1] = true
	}
	if s.finals[w.row.attempt] == [2]bool{true, true} {
		s.broken = "an attempt is both done and reversed"
	}
	return s
}

func (m *moveModel) readRows(s state, p int) state {
	row := provider.Row{Key: "lease", Version: s.lease.version}
	if row.Version != 0 {
		row.Value, _ = json.Marshal(s.lease.record)
	}
	if err := s.procs[p].lease.Observe(at(s.now), row); err != nil {
		s.broken = err.Error()
	}
	s.procs[p].row = s.row
	s.procs[p].read = true
	return m.believe(s, p)
}

// believe checks what the processes take for granted after p's knowledge changed.
func (m *moveModel) believe(s state, p int) state {
	fence, _, held := s.procs[p].lease.Held(at(s.now))
	if !held {
		return s
	}
	if fence != s.procs[p].lastFence {
		s.procs[p].lastFence, s.procs[p].since = fence, s.now
	}
	user := int8(p)*8 + s.procs[p].life + 1
	if s.users[fence] != 0 && s.users[fence] != user {
		s.broken = "two holders use one fencing number"
	}
	s.users[fence] = user
	return s
}

func (m *moveModel) crash(s state, p int) state {
	s.left.crashes--
	q := &s.procs[p]
	fresh := process{
		lease: lease.NewState("lease", name(p), m.terms(p)), token: q.token, life: q.life + 1, stray: q.stray,
	}
	if q.pending.on {
		fresh.stray = q.pending
	}
	if q.order.sent {
		fresh.order = q.order
	}
	s.procs[p] = fresh
	return s
}

// decide offers the writes that process p may send.
func (m *moveModel) decide(s state, p int, next func(string, state)) {
	q := s.procs[p]
	if !q.read {
		return
	}
	now := at(s.now)
	// Before the lease is first taken the processes are alike, so that it is enough
	// to let the first one take it.
	mayTake := s.left.leases > 0 && (p == 0 || s.lease.version != 0 || s.left.crashes > 0)
	if _, ok := q.lease.Claimable(now); ok && mayTake {
		t := s
		t.left.leases--
		w := t.procs[p].lease.Acquire(now, t.nextToken(p))
		next(name(p)+" takes the lease", m.send(t, p, w))
		return
	}
	if _, _, held := q.lease.Held(now); !held {
		return
	}
	t := s
	if w, ok := t.procs[p].lease.Release(now, t.nextToken(p)); ok && s.left.releases > 0 {
		t.left.releases--
		next(name(p)+" releases the lease", m.send(t, p, w))
	}
	if s.left.rows == 0 {
		return
	}
	for _, bad := range []bool{false, true} {
		row, ok := m.policy(s, p, bad)
		if !ok {
			continue
		}
		t := s
		t.left.rows--
		w, _ := t.procs[p].lease.Renew(now, t.nextToken(p))
		t = m.send(t, p, w)
		pending := &t.procs[p].pending
		pending.withRow, pending.ifRow, pending.row = true, q.row.version, row
		next(fmt.Sprintf("%s writes %s of attempt %d", name(p), row.phase, row.attempt), t)
	}
}

func (s *state) nextToken(p int) string {
	s.procs[p].token++
	return fmt.Sprintf("%s%d.%d", name(p), s.procs[p].life, s.procs[p].token)
}

func (m *moveModel) send(s state, p int, w provider.Write) state {
	var record lease.Record
	if err := json.Unmarshal(w.Value, &record); err != nil {
		s.broken = err.Error()
	}
	s.procs[p].pending = write{on: true, ifLease: w.IfVersion, record: record}
	return s
}

type verdict bool

func (v verdict) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict {
	return rollout.Verdict{Bad: bool(v), Reason: "evidence"}
}

// policy asks the real machine for the row that process p would write.
func (m *moveModel) policy(s state, p int, bad bool) (moveRow, bool) {
	q := s.procs[p]
	fence, left, held := q.lease.Held(at(s.now))
	row := rollout.Row{
		Move: "m", Attempt: int(q.row.attempt), Phase: q.row.phase, Share: rollout.FullShare,
		Fence: q.row.fence, Deadline: at(100), Started: at(0),
	}
	if m.g.revives {
		row.Phase = rollout.Soaking
	}
	machine := rollout.StateMachine{Evaluator: verdict(bad)}
	move := &object.Move{Name: "m", Attempt: attempts, Deadline: at(100), Steps: []float64{100}, Soak: 1}
	if row.Phase != rollout.Reversed {
		move.Attempt = row.Attempt
	}
	actions := machine.Next(&rollout.Input{
		Now: at(s.now), Move: move, Row: row, RowVersion: q.row.version, StepSince: at(-10),
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
