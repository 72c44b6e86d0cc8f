package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// setSuspended suspends or resumes daemons.
func setSuspended(t *testing.T, daemons []*cluster.Daemon, suspended bool) {
	t.Helper()
	for _, d := range daemons {
		if suspended {
			assert.NilError(t, d.Suspend())
			continue
		}
		assert.NilError(t, d.Resume())
	}
}

// waitSingleOwners waits until, in each data centre, all daemons report the same owner for
// each of its targets.
func waitSingleOwners(ctx context.Context, daemons []*cluster.Daemon) error {
	return cluster.WaitUntil(ctx, 10*time.Second, func(ctx context.Context) error {
		owners := make(map[string]string)
		for _, d := range daemons {
			admin, err := d.AdminClient()
			if err != nil {
				return err
			}
			targets, err := admin.Targets(ctx)
			if err != nil {
				return err
			}
			for _, target := range targets {
				if target.DataCentre != d.DataCentre {
					continue
				}
				if target.Owner == "" {
					return fmt.Errorf("%s knows no owner of %s", d.Name, target.Name)
				}
				if known := owners[target.Name]; known != "" && known != target.Owner {
					return fmt.Errorf("%s has the owners %s and %s", target.Name, known, target.Owner)
				}
				owners[target.Name] = target.Owner
			}
		}
		if len(owners) == 0 {
			return fmt.Errorf("no target has an owner")
		}
		return nil
	})
}

// Guards against regions that stop serving when they cannot reach each other, and that
// keep different generations or two owners of a group after they can again. The test
// cuts a region off by suspending the daemons of the other one.
func TestRegionsServeApartAndAgreeAfterwards(t *testing.T) {
	ctx, c := startCluster(t, cluster.TwoRegions())
	near, far := c.Daemons[:4], c.Daemons[4:]
	assert.NilError(t, waitSingleOwners(ctx, c.Daemons))

	setSuspended(t, far, true)
	assertEachServes(ctx, t, near, "without the far region")
	c.Set.Tiers[2].Deadline = 25 * time.Second
	admin, err := near[0].AdminClient()
	assert.NilError(t, err)
	base, err := admin.Current(ctx)
	assert.NilError(t, err)
	published, err := admin.Publish(ctx, base.Generation, c.Set)
	assert.NilError(t, err)
	reachable := &cluster.Cluster{Daemons: near}
	assert.NilError(t, reachable.WaitInForce(ctx, published.Generation, 4*time.Second))
	setSuspended(t, far, false)
	assert.NilError(t, c.WaitInForce(ctx, published.Generation, 4*time.Second))

	setSuspended(t, near, true)
	assertEachServes(ctx, t, far, "without the near region")
	setSuspended(t, near, false)
	assert.NilError(t, waitSingleOwners(ctx, c.Daemons))
	assert.NilError(t, c.WaitInForce(ctx, published.Generation, 4*time.Second))
	assertEachServes(ctx, t, c.Daemons, "together")
}
