package e2e

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
)

// Guards against a failure anywhere on the path from a caller through each daemon to a
// target and back: a streamed chat completion is complete, and a reservation runs once.
func TestRequestIsServedFromStartToFinish(t *testing.T) {
	ctx, c := startCluster(t, cluster.TwoRegions())
	client := newCaller("clerks")
	for _, d := range c.Daemons {
		r := client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "list the panels for " + d.Name, MaxTokens: 20})
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
		r = client.Plain(ctx, d.CallerAddress, caller.Plain{Method: http.MethodPost, Path: "/reservations", Body: "panel for " + d.Name})
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	}
	runs := executionsByBody(t, c)
	for _, d := range c.Daemons {
		assert.Equal(t, runs["panel for "+d.Name], 1)
	}
}

// executionsByBody returns how often each request body ran on the plain servers.
func executionsByBody(t *testing.T, c *cluster.Cluster) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, s := range c.PlainServers {
		var list []plain.Execution
		assert.NilError(t, s.Get(t.Context(), "/v1/executions", &list))
		for _, e := range list {
			runs[e.Body]++
		}
	}
	return runs
}
