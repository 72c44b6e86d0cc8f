package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// reservation returns a reservation with an idempotency key, or without one if key is
// empty.
func reservation(body, key string) caller.Plain {
	return caller.Plain{Method: http.MethodPost, Path: "/reservations", Body: body, Key: key}
}

// Guards against running a request twice when its idempotency key is sent again through
// other daemons, one after the other and at the same time.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	client := newCaller("clerks")
	for _, d := range c.Daemons {
		r := client.Plain(ctx, d.CallerAddress, reservation("panel one", "key-1"))
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	}
	var group sync.WaitGroup
	for i := range 30 {
		group.Go(func() {
			client.Plain(ctx, c.Daemons[i%3].CallerAddress, reservation("panel two", "key-2"))
		})
	}
	group.Wait()
	runs := executionsByBody(t, c)
	assert.Equal(t, runs["panel one"], 1)
	assert.Equal(t, runs["panel two"], 1)
	r := client.Plain(ctx, c.Daemons[0].CallerAddress, reservation("panel three", "key-1"))
	assert.Equal(t, r.Code, "key_mismatch")
	assert.Equal(t, r.Outcome, caller.NotRun)
}

// Guards against dispatching a keyed request while the store cannot confirm its claim: it
// has to be refused as "not run" and must not run.
func TestStoreOutageRefusesKeyedRequests(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(2))
	client := newCaller("clerks")
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{Down: true}))
	r := client.Plain(ctx, c.Daemons[0].CallerAddress, reservation("panel", "key"))
	assert.Equal(t, r.Outcome, caller.NotRun, "%+v", r)
	r = client.Chat(ctx, c.Daemons[0].CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "still served", MaxTokens: 8})
	assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	r = client.Plain(ctx, c.Daemons[0].CallerAddress, reservation("panel without key", ""))
	assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	err := cluster.WaitUntil(ctx, 15*time.Second, func(ctx context.Context) error {
		if r := client.Plain(ctx, c.Daemons[1].CallerAddress, reservation("panel", "key")); r.Outcome != caller.Complete {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, executionsByBody(t, c)["panel"], 1)
}

// Guards against reporting "not run" for a request that was dispatched and got no answer,
// and against dispatching it again. The target runs requests and then loses its answers.
func TestLostAnswersOfATargetAreUnknown(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(2))
	client := newCaller("clerks")
	assert.NilError(t, c.PlainServers[0].SetFaults(ctx, faults.Switches{DropAnswers: 1}))
	r := client.Plain(ctx, c.Daemons[0].CallerAddress, reservation("no key", ""))
	assert.Equal(t, r.Outcome, caller.Unknown, "%+v", r)
	r = client.Plain(ctx, c.Daemons[0].CallerAddress, reservation("with key", "key"))
	assert.Equal(t, r.Outcome, caller.Unknown, "%+v", r)
	assert.NilError(t, c.PlainServers[0].SetFaults(ctx, faults.Switches{}))
	r = client.Plain(ctx, c.Daemons[1].CallerAddress, reservation("with key", "key"))
	assert.Equal(t, r.Outcome, caller.Unknown, "%+v", r)
	runs := executionsByBody(t, c)
	assert.Equal(t, runs["no key"], 1)
	assert.Equal(t, runs["with key"], 1)
}

// Guards against wrong outcomes of keyed requests when the store applies writes of claims
// and loses its answers.
func TestLostAnswersOfTheStore(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(2))
	client := newCaller("clerks")
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{DropAnswers: 0.4, DropCalls: 0.1}))
	outcomes := make(map[string]string)
	for i := range 40 {
		body := fmt.Sprintf("panel %d", i)
		outcomes[body] = client.Plain(ctx, c.Daemons[i%2].CallerAddress, reservation(body, "key-"+body)).Outcome
	}
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	runs := executionsByBody(t, c)
	for body, outcome := range outcomes {
		assert.Assert(t, runs[body] <= 1, "%s ran %d times", body, runs[body])
		switch outcome {
		case caller.Complete:
			assert.Equal(t, runs[body], 1, body)
		case caller.NotRun:
			assert.Equal(t, runs[body], 0, body)
		}
	}
}
