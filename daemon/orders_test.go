package daemon

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// Guards against daemons that disagree about the end of a move because they saw its
// order at different times.
func TestDaemonsAgreeOnTheDeadlineOfAnOrder(t *testing.T) {
	table := memtable.New()
	var mu sync.Mutex
	var moves []catalog.Move
	order := catalog.Order{Service: "s", To: "v2", MaxDuration: 12 * time.Second}
	for range 2 {
		o := newOrders(ordersConfig{table: table, logger: eventlog.Discard(), setMove: func(m catalog.Move) {
			mu.Lock()
			defer mu.Unlock()
			moves = append(moves, m)
		}})
		o.ctx = t.Context()
		o.take(order)
		o.take(order)
		o.tasks.Wait()
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(moves), 2)
	assert.Assert(t, moves[0].Deadline.Equal(moves[1].Deadline))
	left := time.Until(moves[0].Deadline)
	assert.Assert(t, left < order.MaxDuration && left > order.MaxDuration-2*time.Second, "%v", left)
}

// Guards against a share that rises early in a short order: a version that turns bad
// late would have had far more than a tenth of the requests.
func TestOrderStaysAtItsFirstStep(t *testing.T) {
	now := time.Now()
	state := catalog.NewState(map[string]string{"a": "r"})
	state.SetManifest(&catalog.Manifest{Version: 1, Services: placesSet().Set.Services})
	state.SetMove(catalog.Move{Order: catalog.Order{Service: "s", To: "v2"}, Deadline: now.Add(11500 * time.Millisecond)})
	move := state.Build().Moves[0]
	machine := &rollout.StateMachine{Options: *orderOptions(), Evaluator: goodJudge{}}
	row := rollout.Row{Move: move.Name, From: move.From, To: move.To, Phase: rollout.Shifting, Step: 0, Share: 500, Started: now, Deadline: move.Deadline}
	share := func(after time.Duration) bool {
		at := now.Add(after)
		for _, a := range machine.Next(&rollout.Input{Now: at, Since: now, Row: row, RowVersion: 1, Move: &move, Evidence: &rollout.Tally{}, Lease: rollout.Lease{Held: true, Left: time.Minute}}) {
			if _, raises := a.(rollout.WriteRow); raises {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !share(9500*time.Millisecond))
	assert.Assert(t, share(10200*time.Millisecond))
}

type goodJudge struct{}

func (goodJudge) Evaluate(*rollout.Tally, time.Time, uint32) rollout.Verdict {
	return rollout.Verdict{Good: true}
}
