package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// Guards against idempotent calls that wait for a target that stopped answering while
// another target answers: they have to be hedged before the health probe takes the target
// out of service.
func TestIdempotentCallIsHedged(t *testing.T) {
	spec := cluster.OneDataCentre(1)
	spec.DataCentres[0].PlainServers = 2
	ctx, c := startCluster(t, spec)
	client := newCaller("clerks")
	read := caller.Plain{Method: http.MethodGet, Path: "/stock"}
	for range 60 {
		r := client.Plain(ctx, c.Daemons[0].CallerAddress, read)
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	}
	assert.NilError(t, c.PlainServers[0].SetFaults(ctx, faults.Switches{Freeze: true}))
	for i := range 6 {
		r := client.Plain(ctx, c.Daemons[0].CallerAddress, read)
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
		assert.Assert(t, r.Total < time.Second, "call %d took %s", i, r.Total)
	}
	// Reservations are not idempotent, so they must not be hedged.
	for i := range 3 {
		body := fmt.Sprintf("panel %d", i)
		client.HTTP.Timeout = time.Second
		client.Plain(ctx, c.Daemons[0].CallerAddress, reservation(body, ""))
	}
	for body, runs := range executionsByBody(t, c) {
		if body != "" {
			assert.Equal(t, runs, 1, body)
		}
	}
}
