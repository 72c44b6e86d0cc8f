package rollout

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Options are the times by which a Machine works.
type Options struct {
	// DoneLead is how long before the deadline `done` is recorded at the latest,
	// so that every reachable daemon knows it in time.
	DoneLead time.Duration
	// WriteAllowance is the time that one write may take with a lost answer.
	WriteAllowance time.Duration
	// TakeoverAllowance is kept free for one change of the holder; short moves
	// keep at most a tenth of their time.
	TakeoverAllowance time.Duration
	// Soak is used by moves that name none; short moves soak at most a fifth of
	// their time.
	Soak time.Duration
	// MinimumDwell is the least time at one step. It covers the way of the
	// evidence from the entries to the holder.
	MinimumDwell time.Duration
	// LoadTimeout bounds one order to a target.
	LoadTimeout time.Duration
	// LoadFraction is the part of the move's time after which shifting starts
	// although up to MissingTargets of a data centre have not loaded.
	LoadFraction   float64
	MissingTargets float64
}

// DefaultOptions returns the options of production.
func DefaultOptions() Options {
	return Options{
		DoneLead:          4 * time.Second,
		WriteAllowance:    3 * time.Second,
		TakeoverAllowance: 15 * time.Second,
		Soak:              time.Minute,
		MinimumDwell:      3 * time.Second,
		LoadTimeout:       3 * time.Second,
		LoadFraction:      0.25,
		MissingTargets:    0.3,
	}
}

// Lease is the right to act, as the holder knows it.
type Lease struct {
	Held   bool
	Holder string
	Fence  uint64
	// Left is the rest of the term.
	Left time.Duration
	// Since is when this process got the fencing number.
	Since time.Time
}

// Target is what the holder knows about loading the new version on a target.
type Target struct {
	Object *object.Target
	Loaded bool
	// LoadInFlight says that an order is on its way.
	LoadInFlight bool
	// RetryAt is when the next order may be sent.
	RetryAt time.Time
}

// Input is everything that a decision depends on.
type Input struct {
	Now  time.Time
	Move *object.Move
	// NotifyRow is the move's record; RowVersion 0 means that there is none.
	Row        Row
	RowVersion uint64
	// Since is when this process first saw the row's attempt, phase and step. It
	// stands in for the time of the write, so that clocks are not compared.
	Since time.Time
	Lease Lease
	// NotifyCut is the reason of a cut of the attempt in the row, or of the attempt to
	// be recorded when one starts; "" without a cut.
	Cut      string
	Evidence *Tally
	Targets  []Target
}

// Action is one thing to do: WriteRow, LoadVersion, CutShare or Wait.
type Action interface {
	action()
}

// WriteRow replaces the move's row if its version is IfVersion and the lease row
// still has our token, in one transaction.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

// LoadVersion has a target load a version. Nothing is sent after Deadline.
type LoadVersion struct {
	Target   *object.Target
	Version  string
	Fence    uint64
	Timeout  time.Duration
	Deadline time.Time
}

// CutShare sets the share of the attempt to zero everywhere, store or no store.
type CutShare struct {
	Move    string
	Attempt int
	Reason  string
}

// Wait ends the list of actions: nothing else is to be done now.
type Wait struct {
	For    time.Duration
	Reason string
}

func (WriteRow) action()    {}
func (LoadVersion) action() {}
func (CutShare) action()    {}
func (Wait) action()        {}

// Policy decides on one move. Machine is the policy of production.
type Policy interface {
	// Next returns what the holder does now, in order. A WriteRow is the last
	// action, since what follows depends on its outcome.
	Next(in *Input) []Action
}

// idle is how long the holder waits when only new evidence or time can change
// its decision.
const idle = 250 * time.Millisecond

// StateMachine is the state machine of a move. It has no state of its own beside its
// options and is safe for concurrent use.
type StateMachine struct {
	Options   Options
	Evaluator Evaluator
}

// Next implements Policy.
func (m *StateMachine) Next(in *Input) []Action {
	if !in.Lease.Held {
		return m.withoutLease(in)
	}
	if starts(in) {
		return m.start(in)
	}
	if in.Row.Phase.Final() {
		return m.settled(in)
	}
	if reason := m.mustReverse(in); reason != "" {
		return reverse(in, reason)
	}
	verdict := m.judge(in)
	if verdict.Bad {
		return reverse(in, verdict.Reason)
	}
	if in.Row.Fence != in.Lease.Fence {
		return write(in, in.Row)
	}
	switch in.Row.Phase {
	case Pending:
		return m.enter(in, Loading, 0, 0)
	case Loading:
		return m.load(in)
	case Shifting:
		return append(m.orders(in), m.shift(in, verdict)...)
	default:
		return append(m.orders(in), m.soak(in, verdict)...)
	}
}

// withoutLease cuts on the evidence of a term that has ended: any daemon may cut,
// and while the store is down nobody else has the evidence of all data centres.
func (m *StateMachine) withoutLease(in *Input) []Action {
	if in.RowVersion != 0 && in.Cut == "" {
		if v := m.judge(in); v.Bad {
			return []Action{CutShare{Move: in.Row.Move, Attempt: in.Row.Attempt, Reason: v.Reason}}
		}
	}
	return wait("the lease is not held")
}

// starts reports whether a new attempt is to be recorded.
func starts(in *Input) bool {
	if in.RowVersion == 0 {
		return true
	}
	return in.Row.Phase == Reversed && in.Move.Attempt > in.Row.Attempt
}

func (m *StateMachine) start(in *Input) []Action {
	row := Row{
		Move: in.Move.Name, Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
		Attempt: in.Move.Attempt, Phase: Pending, Deadline: in.Move.Deadline, Started: in.Now,
	}
	if in.Cut != "" {
		row.Phase, row.Reason = Reversed, in.Cut
	}
	if m.latestDone(row).Before(in.Now) {
		row.Phase, row.Reason = Reversed, "the deadline leaves no time to move"
	}
	return write(in, row)
}

// settled handles a row in a final phase.
func (m *StateMachine) settled(in *Input) []Action {
	if in.Row.Phase == Done && in.Cut != "" && !in.Row.Cut {
		row := in.Row
		row.Cut, row.Reason, row.Share = true, in.Cut, 0
		return write(in, row)
	}
	return wait("the attempt has ended")
}

// mustReverse returns the reason to take the attempt back without regard to the
// evidence, or "".
func (m *StateMachine) mustReverse(in *Input) string {
	switch {
	case in.Cut != "":
		return in.Cut
	case in.Move.Attempt != in.Row.Attempt:
		return fmt.Sprintf("superseded by attempt %d", in.Move.Attempt)
	case in.Move.From != in.Row.From || in.Move.To != in.Row.To:
		return "the move's versions were changed"
	case in.Now.After(m.latestDone(in.Row)):
		return "the deadline came before the move was done"
	}
	return ""
}

// latestDone is the last moment to send the write of `done`.
func (m *StateMachine) latestDone(row Row) time.Time {
	return row.Deadline.Add(-m.Options.DoneLead - m.Options.WriteAllowance)
}

func (m *StateMachine) judge(in *Input) Verdict {
	if in.Row.Phase != Shifting && in.Row.Phase != Soaking {
		return Verdict{}
	}
	steps := Steps(in.Move)
	next := steps[min(in.Row.Step+1, len(steps)-1)]
	return m.Evaluator.Evaluate(in.Evidence, in.Now, next)
}

// reverse cuts at once and records it. The cut does not wait for the store.
func reverse(in *Input, reason string) []Action {
	row := in.Row
	row.Phase, row.Share, row.Reason = Reversed, 0, reason
	return append([]Action{CutShare{Move: row.Move, Attempt: row.Attempt, Reason: reason}}, write(in, row)...)
}

func write(in *Input, row Row) []Action {
	row.Holder, row.Fence = in.Lease.Holder, in.Lease.Fence
	return []Action{WriteRow{Row: row, IfVersion: in.RowVersion}}
}

func wait(reason string) []Action {
	return []Action{Wait{For: idle, Reason: reason}}
}

func (m *StateMachine) enter(in *Input, phase Phase, step int, share uint32) []Action {
	row := in.Row
	row.Phase, row.Step, row.Share = phase, step, share
	row.Missing = nil
	for i := range in.Targets {
		if t := &in.Targets[i]; !t.Loaded {
			row.Missing = append(row.Missing, t.Object.Name)
		}
	}
	return write(in, row)
}
