package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/object"
)

const (
	newVersion = "assistant-2"
	newModel   = "m2"
)

// twoVersionSpec returns one data centre with three daemons and a second model version
// to move to.
func twoVersionSpec() cluster.Spec {
	spec := cluster.OneDataCentre(3)
	spec.ExtraVersions = []object.Version{{Name: newVersion, Service: cluster.ModelService, Model: newModel, WeightBytes: 1 << 30}}
	return spec
}

// publishMove publishes a move to the new version. Its deadline is the given time from
// now.
func publishMove(ctx context.Context, t *testing.T, c *cluster.Cluster, untilDeadline time.Duration) {
	t.Helper()
	c.Set.Moves = []object.Move{{
		Name:     "upgrade",
		Service:  cluster.ModelService,
		From:     cluster.ModelVersion,
		To:       newVersion,
		Deadline: time.Now().Add(untilDeadline),
		Attempt:  1,
		Soak:     2 * time.Second,
	}}
	_, err := c.Publish(ctx)
	assert.NilError(t, err)
}

// waitMoveEnd waits until the move is done or reversed and returns its status.
func waitMoveEnd(ctx context.Context, t *testing.T, c *cluster.Cluster, timeout time.Duration) adminapi.MoveStatus {
	t.Helper()
	admin, err := c.Admin()
	assert.NilError(t, err)
	var last adminapi.MoveStatus
	err = cluster.WaitUntil(ctx, timeout, func(ctx context.Context) error {
		list, err := admin.Moves(ctx)
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return fmt.Errorf("no move")
		}
		last = list[0]
		if last.Phase != "done" && last.Phase != "reversed" {
			return fmt.Errorf("move is %+v", last)
		}
		return nil
	})
	assert.NilError(t, err)
	return last
}

// Guards against a good version that is not in service by the deadline of its move, and
// against requests that are lost during the move.
func TestGoodMoveIsDone(t *testing.T) {
	ctx, c := startCluster(t, twoVersionSpec())
	l := startLoad(ctx, c, 4)
	publishMove(ctx, t, c, 60*time.Second)
	state := waitMoveEnd(ctx, t, c, 70*time.Second)
	assert.Equal(t, state.Phase, "done", "%+v", state)
	for name, results := range l.stop() {
		for _, r := range results {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}

// Guards against keeping a version that fails all its requests: its move has to be
// reversed, and callers still get complete answers from the old version.
func TestBadMoveIsReversed(t *testing.T) {
	ctx, c := startCluster(t, twoVersionSpec())
	for _, e := range c.Engines {
		assert.NilError(t, e.SetFaults(ctx, faults.Switches{Versions: map[string]faults.VersionFault{newModel: {FailShare: 1}}}))
	}
	l := startLoad(ctx, c, 4)
	publishMove(ctx, t, c, 60*time.Second)
	state := waitMoveEnd(ctx, t, c, 70*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	harmed, total := 0, 0
	for _, results := range l.stop() {
		for _, r := range results {
			total++
			if r.Outcome != caller.Complete {
				harmed++
			}
		}
	}
	assert.Assert(t, harmed*100 <= total, "%d of %d requests harmed", harmed, total)
}
