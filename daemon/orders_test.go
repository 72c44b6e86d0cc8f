package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/rollout"
)

func noVersions(string) []string { return nil }

// Guards against daemons that use different deadlines for a move because they received its
// order at different times.
func TestDaemonsAgreeOnTheDeadlineOfAnOrder(t *testing.T) {
	table := memtable.New()
	var mu sync.Mutex
	var moves []catalog.Move
	order := catalog.Order{Service: "s", To: "v2", MaxDuration: 12 * time.Second}
	for range 2 {
		h := newOrderHandler(orderHandlerConfig{table: table, logger: eventlog.Discard(), registeredVersions: noVersions, setMove: func(m catalog.Move) {
			mu.Lock()
			defer mu.Unlock()
			moves = append(moves, m)
		}})
		h.ctx = t.Context()
		h.accept(order)
		h.accept(order)
		h.tasks.Wait()
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(moves), 2)
	assert.Assert(t, moves[0].Deadline.Equal(moves[1].Deadline))
	left := time.Until(moves[0].Deadline)
	assert.Assert(t, left < order.MaxDuration && left > order.MaxDuration-2*time.Second, "%v", left)
}

// Guards against a traffic share that rises early in a move with a short deadline: a version
// that starts to fail late would have received far more than a tenth of the requests.
func TestOrderedMoveStaysAtFirstStepUntilNearDeadline(t *testing.T) {
	now := time.Now()
	state := catalog.NewState(map[string]string{"a": "r"})
	state.SetManifest(&catalog.Manifest{Version: 1, Services: threeDataCentreIndex().Set.Services})
	state.SetMove(catalog.Move{Order: catalog.Order{Service: "s", To: "v2"}, Deadline: now.Add(11500 * time.Millisecond)})
	move := state.Build().Moves[0]
	machine := &rollout.StateMachine{Options: *orderedMoveOptions(), Evaluator: passingEvaluator{}}
	row := rollout.Row{Move: move.Name, From: move.From, To: move.To, Phase: rollout.Shifting, Step: 0, Share: 500, Started: now, Deadline: move.Deadline}
	raisesShare := func(after time.Duration) bool {
		at := now.Add(after)
		for _, a := range machine.Next(&rollout.Input{Now: at, StepSince: now, Row: row, RowVersion: 1, Move: &move, Evidence: &rollout.Tally{}, Lease: rollout.Lease{Held: true, Remaining: time.Minute}}) {
			if _, isWrite := a.(rollout.WriteRow); isWrite {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !raisesShare(9500*time.Millisecond))
	assert.Assert(t, raisesShare(10200*time.Millisecond))
}

// passingEvaluator accepts every version.
type passingEvaluator struct{}

func (passingEvaluator) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict {
	return rollout.Verdict{Good: true}
}

// reportedBy returns the phases that a daemon reports for the move of an order in a state.
func reportedBy(t *testing.T, self string, order catalog.Order, status rollout.MoveStatus, live ...string) []rollout.Phase {
	t.Helper()
	var reported []rollout.Phase
	h := newOrderHandler(orderHandlerConfig{
		self: self, table: memtable.New(), logger: eventlog.Discard(), registeredVersions: noVersions, setMove: func(catalog.Move) {},
		moveStatus: func() []rollout.MoveStatus { return []rollout.MoveStatus{status} },
		liveAll:    func() []string { return live },
		writeStatus: func(_ context.Context, _ catalog.Order, phase rollout.Phase) error {
			reported = append(reported, phase)
			return nil
		},
	})
	h.ctx = t.Context()
	h.accept(order)
	h.tasks.Wait()
	h.reportPhases(t.Context())
	h.reportPhases(t.Context())
	return reported
}

// Guards against an operator who is never told that a version was taken back, because the
// lease of the move was released before the next report.
func TestEndOfAMoveIsReportedWithoutItsLease(t *testing.T) {
	order := catalog.Order{Service: "s", To: "v2", MaxDuration: 12 * time.Second}
	for _, phase := range []rollout.Phase{rollout.Reversed, rollout.Done} {
		status := rollout.MoveStatus{Move: "s.to.v2", Service: "s", Phase: phase, Holder: "d1"}
		assert.DeepEqual(t, reportedBy(t, "d1", order, status, "d0", "d1", "d2"), []rollout.Phase{phase})
		assert.Equal(t, len(reportedBy(t, "d2", order, status, "d0", "d1", "d2")), 0)
	}
}

// Guards against the end of a move that is never reported, because the daemon that recorded
// it has died.
func TestEndOfAMoveIsReportedInsteadOfADeadDaemon(t *testing.T) {
	order := catalog.Order{Service: "s", To: "v2", MaxDuration: 12 * time.Second}
	status := rollout.MoveStatus{Move: "s.to.v2", Service: "s", Phase: rollout.Reversed, Holder: "dead"}
	reports := 0
	for _, self := range []string{"d0", "d1", "d2"} {
		reports += len(reportedBy(t, self, order, status, "d0", "d1", "d2"))
	}
	assert.Equal(t, reports, 1)
}

// Guards against the end of an earlier move being reported as that of a new order, after which
// the operator would stop targets in use.
func TestEndOfAnEarlierMoveIsNotReported(t *testing.T) {
	order := catalog.Order{Service: "s", To: "v3", MaxDuration: 12 * time.Second}
	status := rollout.MoveStatus{Move: "s.to.v2", Service: "s", Phase: rollout.Done, Holder: "d1", HoldsLease: true}
	assert.Equal(t, len(reportedBy(t, "d1", order, status, "d1")), 0)
}

// Guards against an operator who is told that a version was completed, and stops the old targets,
// although a cut crossed with the end of the move, and the old version serves.
func TestCutThatCrossesTheEndIsReportedAsReversed(t *testing.T) {
	order := catalog.Order{Service: "s", To: "v2", MaxDuration: 12 * time.Second}
	status := rollout.MoveStatus{Move: "s.to.v2", Service: "s", Phase: rollout.Done, Holder: "d1", CutReason: "errors"}
	assert.DeepEqual(t, reportedBy(t, "d1", order, status, "d1", "d2"), []rollout.Phase{rollout.Reversed})

	// Once the operator was told of the end, the old targets are gone.
	h := newOrderHandler(orderHandlerConfig{self: "d1"})
	h.reportedPhases[status.Move] = rollout.Done
	assert.Equal(t, h.reportablePhaseLocked(&status), rollout.Done)
	other := newOrderHandler(orderHandlerConfig{self: "d2"})
	assert.Equal(t, other.reportablePhaseLocked(&status), rollout.Done)
}
