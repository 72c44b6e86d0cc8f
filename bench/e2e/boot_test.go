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

// bootFromPeers starts a killed daemon again and requires the newest generation,
// which the daemon has not seen before, and whole answers.
func bootFromPeers(ctx context.Context, t *testing.T, c *cluster.Cluster, outage func()) {
	t.Helper()
	victim := c.Daemons[2]
	victim.Kill()
	c.Set.Tiers[2].Deadline = 25 * time.Second
	generation, err := c.Publish(ctx)
	assert.NilError(t, err)
	outage()
	assert.NilError(t, victim.Start())
	assert.NilError(t, victim.WaitReady(ctx))
	assert.Equal(t, current(ctx, t, victim, generation).Generation, generation)
	askEach(ctx, t, c.Daemons, "in the outage")
}

// Guards against a daemon that cannot start while the store is down, although its
// peers have the configuration.
func TestDaemonBootsFromPeersWhileStoreIsDown(t *testing.T) {
	ctx, c := start(t, cluster.OneDataCentre(3))
	bootFromPeers(ctx, t, c, func() {
		// The switch covers the table service and the object store; the VM list
		// stays up.
		assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{Down: true}))
	})
}

// Guards against a daemon that finds no peers while the whole platform is down,
// although its settings name them.
func TestDaemonBootsFromSeedsWhilePlatformIsDown(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	spec.Seeds = true
	ctx, c := start(t, spec)
	bootFromPeers(ctx, t, c, func() { c.Platform.Kill() })
}

// Guards against serving from an old or empty configuration: a daemon that
// reaches neither the store nor a peer is not ready and runs nothing.
func TestDaemonAloneIsNotReady(t *testing.T) {
	spec := cluster.OneDataCentre(2)
	spec.Seeds = true
	ctx, c := start(t, spec)
	alone, other := c.Daemons[0], c.Daemons[1]
	c.Platform.Kill()
	other.Kill()
	alone.Kill()
	ranBefore := admitted(t, c.Engines[0]) + admitted(t, c.Engines[1])
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
	r := client.Plain(ctx, alone.CallerAddress, reserve("panel", ""))
	assert.Equal(t, r.Outcome, caller.NotRun, "%+v", r)
	assert.Equal(t, readyStatus(ctx, t, alone), http.StatusServiceUnavailable)
	assert.Equal(t, admitted(t, c.Engines[0])+admitted(t, c.Engines[1]), ranBefore)
	assert.Equal(t, executions(t, c)["panel"], 0)
}

// readyStatus returns the status of the readiness probe.
func readyStatus(ctx context.Context, t *testing.T, d *cluster.Daemon) int {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.CallerAddress+"/readyz", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}
