package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// assertBootsFromPeers kills a daemon, publishes a generation that it has not seen,
// calls outage, and starts the daemon again. It requires that the daemon gets this
// generation and that all daemons serve.
func assertBootsFromPeers(ctx context.Context, t *testing.T, c *cluster.Cluster, outage func()) {
	t.Helper()
	killed := c.Daemons[2]
	killed.Kill()
	c.Set.Tiers[2].Deadline = 25 * time.Second
	generation, err := c.Publish(ctx)
	assert.NilError(t, err)
	outage()
	assert.NilError(t, killed.Start())
	assert.NilError(t, killed.WaitReady(ctx))
	assert.Equal(t, waitConfig(ctx, t, killed, generation).Generation, generation)
	assertEachServes(ctx, t, c.Daemons, "in the outage")
}

// Guards against a daemon that cannot start while the store is down, although its
// peers have the configuration.
func TestDaemonBootsFromPeersWhileStoreIsDown(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	assertBootsFromPeers(ctx, t, c, func() {
		// The switch affects the table service and the object store. The VM list
		// stays available.
		assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{Down: true}))
	})
}

// Guards against a daemon that finds no peers while the whole platform is down,
// although its settings name them as seeds.
func TestDaemonBootsFromSeedsWhilePlatformIsDown(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	spec.Seeds = true
	ctx, c := startCluster(t, spec)
	assertBootsFromPeers(ctx, t, c, func() { c.Platform.Kill() })
}

// Guards against serving with an old or empty configuration: a daemon that reaches
// neither the store nor a peer must not be ready and must not run any request.
func TestDaemonAloneIsNotReady(t *testing.T) {
	spec := cluster.OneDataCentre(2)
	spec.Seeds = true
	ctx, c := startCluster(t, spec)
	alone, other := c.Daemons[0], c.Daemons[1]
	c.Platform.Kill()
	other.Kill()
	alone.Kill()
	ranBefore := countAdmitted(t, c.Engines[0]) + countAdmitted(t, c.Engines[1])
	assert.NilError(t, alone.Start())
	client := newCaller("clerks")
	var refused caller.Result
	err := cluster.WaitUntil(ctx, 10*time.Second, func(ctx context.Context) error {
		refused = client.Chat(ctx, alone.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "is anybody there", MaxTokens: 8})
		if refused.Outcome == caller.Broken {
			return fmt.Errorf("%+v", refused)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, refused.Outcome, caller.NotRun, "%+v", refused)
	r := client.Plain(ctx, alone.CallerAddress, reservation("panel", ""))
	assert.Equal(t, r.Outcome, caller.NotRun, "%+v", r)
	assert.Equal(t, readinessStatus(ctx, t, alone), http.StatusServiceUnavailable)
	assert.Equal(t, countAdmitted(t, c.Engines[0])+countAdmitted(t, c.Engines[1]), ranBefore)
	assert.Equal(t, executionsByBody(t, c)["panel"], 0)
}

// readinessStatus returns the HTTP status of the readiness probe.
func readinessStatus(ctx context.Context, t *testing.T, d *cluster.Daemon) int {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.CallerAddress+"/readyz", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}
