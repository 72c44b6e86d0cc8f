package rollout

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Options configure the timing of a StateMachine.
type Options struct {
	// DoneLead is the least time before the deadline at which `done` is recorded, so
	// that every reachable daemon knows it in time.
	DoneLead time.Duration
	// WriteAllowance is the time that one write may take if the store's answer to it
	// is lost.
	WriteAllowance time.Duration
	// TakeoverAllowance is the time reserved for one change of the holder; short moves
	// reserve at most a tenth of their time.
	TakeoverAllowance time.Duration
	// Soak is the soak time of moves that specify none; short moves soak at most a
	// fifth of their time.
	Soak time.Duration
	// MinimumSoak is the least time at full share before a move is done. It covers the time
	// that evidence takes from the entries to the holder; with less, a fault that shows only
	// at full share would not be seen.
	MinimumSoak time.Duration
	// MinimumDwell is the least time at one step. It covers the time that evidence
	// takes from the entries to the holder.
	MinimumDwell time.Duration
	// LoadTimeout bounds one load command to a target.
	LoadTimeout time.Duration
	// LoadFraction is the fraction of the move's time after which shifting starts even
	// if a fraction of up to MissingTargets of a data centre's targets have not loaded
	// the new version.
	LoadFraction   float64
	MissingTargets float64
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options {
	return Options{
		DoneLead:          4 * time.Second,
		WriteAllowance:    3 * time.Second,
		TakeoverAllowance: 15 * time.Second,
		Soak:              time.Minute,
		MinimumSoak:       time.Second,
		MinimumDwell:      3 * time.Second,
		LoadTimeout:       3 * time.Second,
		LoadFraction:      0.25,
		MissingTargets:    0.3,
	}
}

// Lease is the state of the lease of a service's moves in this daemon.
type Lease struct {
	Held   bool
	Holder string
	Fence  uint64
	// Remaining is the time left of the term.
	Remaining time.Duration
	// AcquiredAt is the time at which this process acquired the lease with this fencing
	// number.
	AcquiredAt time.Time
}

// Target is what the holder knows about loading the new version on a target.
type Target struct {
	Object *object.Target
	Loaded bool
	// LoadInFlight says that a load command is in progress: bandwidth for it is being
	// reserved, or it is being sent or not yet answered.
	LoadInFlight bool
	// RetryAt is the earliest time for the next load command.
	RetryAt time.Time
}

// Input is everything that a decision depends on.
type Input struct {
	Now  time.Time
	Move *object.Move
	// Row is the move's record; RowVersion 0 means that there is none.
	Row        Row
	RowVersion uint64
	// Lost means that the table lost Row when it was restored from an older copy. RowVersion
	// is then that of the older row that it has, or 0.
	Lost bool
	// StepSince is when this process first saw the row's attempt, phase and step. It is
	// used instead of the time of the write, so that the clocks of different VMs are
	// not compared.
	StepSince time.Time
	Lease     Lease
	// CutReason is the reason of a cut of the attempt in the row, or of the attempt to be
	// recorded when one starts; "" without a cut.
	CutReason string
	Evidence  *Tally
	Targets   []Target
}

// Action is one action of the holder: WriteRow, LoadVersion, CutShare or Wait.
type Action interface {
	action()
}

// WriteRow replaces the move's row, in one transaction, on condition that the row's
// version is IfVersion and that the lease row still has the token of this daemon.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

// LoadVersion commands a target to load a version. Nothing is sent after Deadline.
type LoadVersion struct {
	Target   *object.Target
	Version  string
	Fence    uint64
	Timeout  time.Duration
	Deadline time.Time
}

// CutShare sets the share of the attempt to zero in all daemons. It does not need the
// store.
type CutShare struct {
	Move    string
	Attempt int
	Reason  string
}

// Wait is the last action of a list: the next decision is due after For. Reason says
// what the holder waits for.
type Wait struct {
	For    time.Duration
	Reason string
}

func (WriteRow) action()    {}
func (LoadVersion) action() {}
func (CutShare) action()    {}
func (Wait) action()        {}

// Policy decides on one move. StateMachine is the policy used in production.
type Policy interface {
	// Next returns the actions that the holder executes now, in order. A WriteRow is
	// the last action, since what follows depends on its outcome.
	Next(in *Input) []Action
}

// decisionInterval is the time between two decisions while only new evidence or the
// passing of time can change them.
const decisionInterval = 250 * time.Millisecond

// StateMachine is the policy that takes a move through its phases. Apart from its
// options it has no state of its own, and it is safe for concurrent use.
type StateMachine struct {
	Options   Options
	Evaluator Evaluator
}

// Next implements Policy.
func (m *StateMachine) Next(in *Input) []Action {
	if !in.Lease.Held {
		return m.withoutLease(in)
	}
	if startsAttempt(in) {
		return m.startAttempt(in)
	}
	if in.Lost {
		return writeRow(in, in.Row)
	}
	if in.Row.Phase.Final() {
		return m.handleEnded(in)
	}
	if reason := m.reversalReason(in); reason != "" {
		return reverseAttempt(in, reason)
	}
	verdict := m.evaluate(in)
	if verdict.Bad {
		return reverseAttempt(in, verdict.Reason)
	}
	if in.Row.Fence != in.Lease.Fence {
		return writeRow(in, in.Row)
	}
	switch in.Row.Phase {
	case Pending:
		return m.enterPhase(in, Loading, 0, 0)
	case Loading:
		return m.loadTargets(in)
	case Shifting:
		return append(m.loadCommands(in), m.raiseShare(in, verdict)...)
	default:
		return append(m.loadCommands(in), m.finishSoak(in, verdict)...)
	}
}

// withoutLease cuts on the evidence of a term that has ended: any daemon may cut, and
// while the store is down no other daemon has the evidence of all data centres.
func (m *StateMachine) withoutLease(in *Input) []Action {
	if (in.RowVersion != 0 || in.Lost) && in.CutReason == "" {
		if v := m.evaluate(in); v.Bad {
			return []Action{CutShare{Move: in.Row.Move, Attempt: in.Row.Attempt, Reason: v.Reason}}
		}
	}
	return waitBecause("the lease is not held")
}

// startsAttempt reports whether a new attempt is to be recorded: the move has no row
// yet, or the operator has raised the attempt number after a reversal.
func startsAttempt(in *Input) bool {
	if in.RowVersion == 0 && !in.Lost {
		return true
	}
	return in.Row.Phase == Reversed && in.Move.Attempt > in.Row.Attempt
}

// startAttempt records a new attempt as pending, or as reversed if it was cut or there
// is no time left for it.
func (m *StateMachine) startAttempt(in *Input) []Action {
	row := Row{
		Move: in.Move.Name, Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
		Attempt: in.Move.Attempt, Phase: Pending, Deadline: in.Move.Deadline, Started: in.Now,
	}
	if in.CutReason != "" {
		row.Phase, row.Reason = Reversed, in.CutReason
	}
	if m.latestDoneWrite(row).Before(in.Now) {
		row.Phase, row.Reason = Reversed, "the deadline leaves no time to move"
	}
	return writeRow(in, row)
}

// handleEnded handles a row in a final phase: it records a cut of a move that is done.
func (m *StateMachine) handleEnded(in *Input) []Action {
	if in.Row.Phase == Done && in.CutReason != "" && !in.Row.Cut {
		row := in.Row
		row.Cut, row.Reason, row.Share = true, in.CutReason, 0
		return writeRow(in, row)
	}
	return waitBecause("the attempt has ended")
}

// reversalReason returns why the attempt must be reversed whatever the evidence says,
// or "" if it need not be.
func (m *StateMachine) reversalReason(in *Input) string {
	switch {
	case in.CutReason != "":
		return in.CutReason
	case in.Move.Attempt != in.Row.Attempt:
		return fmt.Sprintf("superseded by attempt %d", in.Move.Attempt)
	case in.Move.From != in.Row.From || in.Move.To != in.Row.To:
		return "the move's versions were changed"
	case in.Now.After(m.latestDoneWrite(in.Row)):
		return "the deadline came before the move was done"
	}
	return ""
}

// latestDoneWrite returns the latest time at which the write of `done` may be sent.
func (m *StateMachine) latestDoneWrite(row Row) time.Time {
	return row.Deadline.Add(-m.Options.DoneLead - m.Options.WriteAllowance)
}

// evaluate evaluates the evidence for the share of the next step. In phases other than
// shifting and soaking the verdict is empty.
func (m *StateMachine) evaluate(in *Input) Verdict {
	if in.Row.Phase != Shifting && in.Row.Phase != Soaking {
		return Verdict{}
	}
	steps := Steps(in.Move)
	next := steps[min(in.Row.Step+1, len(steps)-1)]
	return m.Evaluator.Evaluate(in.Evidence, in.Now, next)
}

// reverseAttempt returns a cut of the attempt, followed by the write that records the
// reversal. The cut comes first so that it does not wait for the store.
func reverseAttempt(in *Input, reason string) []Action {
	row := in.Row
	row.Phase, row.Share, row.Reason = Reversed, 0, reason
	return append([]Action{CutShare{Move: row.Move, Attempt: row.Attempt, Reason: reason}}, writeRow(in, row)...)
}

// writeRow returns the action that writes a row under the lease.
func writeRow(in *Input, row Row) []Action {
	row.Holder, row.Fence = in.Lease.Holder, in.Lease.Fence
	return []Action{WriteRow{Row: row, IfVersion: in.RowVersion}}
}

// waitBecause returns a wait of decisionInterval.
func waitBecause(reason string) []Action {
	return []Action{Wait{For: decisionInterval, Reason: reason}}
}

// waitUntil returns a wait of at most decisionInterval that ends at the given time, which is
// after now, so that a step with little time is not cut short by the interval.
func waitUntil(in *Input, at time.Time, reason string) []Action {
	return []Action{Wait{For: min(decisionInterval, at.Sub(in.Now)), Reason: reason}}
}

// enterPhase records a phase, step and share, and the targets that have not loaded the
// new version.
func (m *StateMachine) enterPhase(in *Input, phase Phase, step int, share uint32) []Action {
	row := in.Row
	row.Phase, row.Step, row.Share = phase, step, share
	row.Missing = nil
	for i := range in.Targets {
		if t := &in.Targets[i]; !t.Loaded {
			row.Missing = append(row.Missing, t.Object.Name)
		}
	}
	return writeRow(in, row)
}
