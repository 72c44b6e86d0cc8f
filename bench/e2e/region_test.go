package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// freezeAll freezes or thaws daemons.
func freezeAll(t *testing.T, daemons []*cluster.Daemon, frozen bool) {
	t.Helper()
	for _, d := range daemons {
		if frozen {
			assert.NilError(t, d.Suspend())
			continue
		}
		assert.NilError(t, d.Resume())
	}
}

// waitOneOwner waits until the daemons of each data centre name the same owner
// of every target.
func waitOneOwner(ctx context.Context, daemons []*cluster.Daemon) error {
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

// Guards against regions that stop when they do not hear from each other, and
// that keep different generations or two owners of a group when they do again.
// A region that is cut off is made by freezing the daemons of the other one.
func TestRegionsServeApartAndAgreeAfterwards(t *testing.T) {
	ctx, c := start(t, cluster.TwoRegions())
	near, far := c.Daemons[:4], c.Daemons[4:]
	assert.NilError(t, waitOneOwner(ctx, c.Daemons))

	freezeAll(t, far, true)
	askEach(ctx, t, near, "without the far region")
	c.Set.Tiers[2].Deadline = 25 * time.Second
	admin, err := near[0].AdminClient()
	assert.NilError(t, err)
	base, err := admin.Current(ctx)
	assert.NilError(t, err)
	published, err := admin.Publish(ctx, base.Generation, c.Set)
	assert.NilError(t, err)
	reachable := &cluster.Cluster{Daemons: near}
	assert.NilError(t, reachable.WaitInForce(ctx, published.Generation, 4*time.Second))
	freezeAll(t, far, false)
	assert.NilError(t, c.WaitInForce(ctx, published.Generation, 4*time.Second))

	freezeAll(t, near, true)
	askEach(ctx, t, far, "without the near region")
	freezeAll(t, near, false)
	assert.NilError(t, waitOneOwner(ctx, c.Daemons))
	assert.NilError(t, c.WaitInForce(ctx, published.Generation, 4*time.Second))
	askEach(ctx, t, c.Daemons, "together")
}
