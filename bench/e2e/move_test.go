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

// moveSpec is a data centre with a second version to move to.
func moveSpec() cluster.Spec {
	spec := cluster.OneDataCentre(3)
	spec.MoreVersions = []object.Version{{Name: newVersion, Service: cluster.ModelService, Model: newModel, WeightBytes: 1 << 30}}
	return spec
}

// beginMove publishes a move to the new version.
func beginMove(ctx context.Context, t *testing.T, c *cluster.Cluster, within time.Duration) {
	t.Helper()
	c.Set.Moves = []object.Move{{
		Name:     "upgrade",
		Service:  cluster.ModelService,
		From:     cluster.ModelVersion,
		To:       newVersion,
		Deadline: time.Now().Add(within),
		Attempt:  1,
		Soak:     2 * time.Second,
	}}
	_, err := c.Publish(ctx)
	assert.NilError(t, err)
}

// waitMove waits until the move has ended and returns its state.
func waitMove(ctx context.Context, t *testing.T, c *cluster.Cluster, timeout time.Duration) adminapi.MoveStatus {
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

// Guards against a good version that is not brought into service by its
// deadline, and against requests lost on the way.
func TestGoodMoveIsDone(t *testing.T) {
	ctx, c := start(t, moveSpec())
	l := startLoad(ctx, c, 4)
	beginMove(ctx, t, c, 60*time.Second)
	state := waitMove(ctx, t, c, 70*time.Second)
	assert.Equal(t, state.Phase, "done", "%+v", state)
	for name, results := range l.stop() {
		for _, r := range results {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}

// Guards against a version that fails all its requests staying in service: it is
// reversed, and callers still get whole answers through the old version.
func TestBadMoveIsReversed(t *testing.T) {
	ctx, c := start(t, moveSpec())
	for _, e := range c.Engines {
		assert.NilError(t, e.SetFaults(ctx, faults.Switches{Versions: map[string]faults.VersionFault{newModel: {FailShare: 1}}}))
	}
	l := startLoad(ctx, c, 4)
	beginMove(ctx, t, c, 60*time.Second)
	state := waitMove(ctx, t, c, 70*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	hurt, total := 0, 0
	for _, results := range l.stop() {
		for _, r := range results {
			total++
			if r.Outcome != caller.Complete {
				hurt++
			}
		}
	}
	assert.Assert(t, hurt*100 <= total, "%d of %d requests hurt", hurt, total)
}
