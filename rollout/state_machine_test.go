package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
)

// fixedEvaluator always returns the same verdict.
type fixedEvaluator struct{ verdict Verdict }

func (f fixedEvaluator) Evaluate(*Tally, time.Time, uint32) Verdict { return f.verdict }

// runMove runs one move whose writes and load commands always succeed, and returns the
// final row and the time that the move took.
func runMove(t *testing.T, m *StateMachine, move *object.Move) (Row, time.Duration) {
	t.Helper()
	in := &Input{Now: startTime, Move: move, Lease: Lease{Held: true, Fence: 1, Remaining: 10 * time.Second, AcquiredAt: startTime}}
	in.Targets = []Target{{Object: &object.Target{Name: "t", DataCentre: "d"}}}
	for in.Now.Before(move.Deadline) {
		for _, action := range m.Next(in) {
			switch a := action.(type) {
			case WriteRow:
				assert.Equal(t, a.IfVersion, in.RowVersion)
				in.Row, in.RowVersion, in.StepSince = a.Row, in.RowVersion+1, in.Now
			case LoadVersion:
				in.Targets[0].Loaded = true
			case Wait:
				in.Now = in.Now.Add(a.For)
			}
		}
		if in.Row.Phase.Final() {
			break
		}
	}
	return in.Row, in.Now.Sub(startTime)
}

func testMove(d time.Duration) *object.Move {
	return &object.Move{Name: "m", Service: "s", From: "v1", To: "v2", Attempt: 1, Deadline: startTime.Add(d)}
}

// Guards against a good move that misses its deadline, with and without evidence.
func TestGoodMoveIsDoneBeforeItsDeadline(t *testing.T) {
	for _, d := range []time.Duration{40 * time.Second, 2 * time.Minute, 15 * time.Minute} {
		for _, good := range []bool{true, false} {
			m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{Verdict{Good: good}}}
			row, took := runMove(t, m, testMove(d))
			assert.Equal(t, row.Phase, Done, "deadline %v", d)
			assert.Assert(t, took <= d-m.Options.DoneLead-m.Options.WriteAllowance)
			if good {
				assert.Assert(t, took < 2*time.Minute)
			}
		}
	}
}

// Guards against a bad or suspicious version whose move becomes done.
func TestBadOrSuspiciousMoveIsReversed(t *testing.T) {
	for _, v := range []Verdict{{Bad: true, Reason: "errors"}, {Suspicious: true}} {
		m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{v}}
		row, _ := runMove(t, m, testMove(2*time.Minute))
		assert.Equal(t, row.Phase, Reversed)
		assert.Equal(t, row.Share, uint32(0))
		assert.Assert(t, row.Reason != "")
	}
}

// Guards against a version that is completed without any evidence from full share: by a holder
// that has just taken over, or that entered the soak late.
func TestSoakWaitsForItsEvidence(t *testing.T) {
	m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{}}
	move := testMove(time.Minute)
	move.Soak = 10 * time.Second
	row := testRow(Soaking, FullShare)
	row.Deadline, row.Started, row.Fence = move.Deadline, startTime, 2
	latestEnd := m.latestDoneWrite(row).Add(-m.Options.WriteAllowance)
	for _, test := range []struct {
		name                  string
		stepSince, acquiredAt time.Time
		end                   time.Time
	}{
		{"from the start", startTime, startTime, startTime.Add(move.Soak)},
		{"late takeover", startTime, startTime.Add(20 * time.Second), startTime.Add(20*time.Second + m.Options.MinimumSoak)},
		{"late soak", latestEnd, startTime, latestEnd.Add(m.Options.MinimumSoak)},
	} {
		isDone := func(now time.Time) bool {
			actions := m.Next(&Input{
				Now: now, Move: move, Row: row, RowVersion: 5, StepSince: test.stepSince,
				Lease: Lease{Held: true, Fence: 2, Remaining: time.Minute, AcquiredAt: test.acquiredAt},
			})
			write, isWrite := actions[len(actions)-1].(WriteRow)
			return isWrite && write.Row.Phase == Done
		}
		assert.Assert(t, !isDone(test.end.Add(-time.Millisecond)), test.name)
		assert.Assert(t, isDone(test.end), test.name)
	}
}

// Guards against a version that is completed, and whose old targets are stopped, on evidence that
// speaks against it without being suspicious.
func TestLeaningEvidenceKeepsAVersionFromBeingDone(t *testing.T) {
	m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{Verdict{Leaning: true}}}
	row, _ := runMove(t, m, testMove(2*time.Minute))
	assert.Equal(t, row.Phase, Reversed)
}

// Guards against load commands that can outlast the lease on a target that does not
// check fencing numbers, and against load commands to such a target before those of
// the previous holder have timed out.
func TestLoadCommandsToTargetsWithoutFencing(t *testing.T) {
	m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{}}
	in := &Input{Now: startTime, Move: testMove(time.Minute), Targets: []Target{
		{Object: &object.Target{Name: "plain"}}, {Object: &object.Target{Name: "checks", ChecksFencing: true}},
	}}
	for _, c := range []struct {
		fence      uint64
		left, held time.Duration
		want       int
	}{
		{1, 9 * time.Second, 0, 2},
		{2, 9 * time.Second, 0, 1},
		{2, 9 * time.Second, m.Options.LoadTimeout, 2},
		{1, m.Options.LoadTimeout - 1, 0, 1},
	} {
		in.Lease = Lease{Held: true, Fence: c.fence, Remaining: c.left, AcquiredAt: startTime.Add(-c.held)}
		assert.Equal(t, len(m.loadCommands(in)), c.want)
	}
}

// Guards against an attempt that starts again after its reversal.
func TestReversedAttemptStaysReversed(t *testing.T) {
	m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{Verdict{Good: true}}}
	row := testRow(Reversed, 0)
	in := &Input{
		Now: startTime, Move: testMove(time.Minute), Row: row, RowVersion: 5,
		Lease: Lease{Held: true, Fence: 2, Remaining: time.Second},
	}
	_, isWait := m.Next(in)[0].(Wait)
	assert.Assert(t, isWait)
	in.Move.Attempt = 2
	write, ok := m.Next(in)[0].(WriteRow)
	assert.Assert(t, ok)
	assert.Equal(t, write.Row.Phase, Pending)
	in.CutReason = "errors"
	assert.Equal(t, m.Next(in)[0].(WriteRow).Row.Phase, Reversed)
}

// Guards against evidence that is ignored once the lease has ended, and against any
// action but a cut without the lease.
func TestWithoutLeaseOnlyCuts(t *testing.T) {
	in := &Input{Now: startTime, Move: testMove(time.Minute), Row: testRow(Shifting, 5000), RowVersion: 5}
	m := &StateMachine{Options: DefaultOptions(), Evaluator: fixedEvaluator{Verdict{Bad: true, Reason: "errors"}}}
	assert.DeepEqual(t, m.Next(in), []Action{CutShare{Move: "m", Attempt: 1, Reason: "errors"}})
	m.Evaluator = fixedEvaluator{Verdict{Good: true}}
	in.Now = startTime.Add(4 * time.Minute)
	_, isWait := m.Next(in)[0].(Wait)
	assert.Assert(t, isWait)
}
