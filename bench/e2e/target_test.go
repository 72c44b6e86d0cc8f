package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxStreamTokens limits a stream to about two seconds on a fast engine.
	maxStreamTokens = 200
	// minStreamTokens is the smallest length of a stream. The length of an answer depends
	// on its prompt, so longPrompts chooses the prompts.
	minStreamTokens = 120
)

// longPrompts returns prompts whose answers have at least minStreamTokens tokens.
func longPrompts(count int) []string {
	var prompts []string
	for i := 0; len(prompts) < count; i++ {
		prompt := fmt.Sprintf("long question %d", i)
		text := engine.PromptText([]engine.Message{{Role: "user", Content: prompt}})
		if engine.AnswerTokens(text, maxStreamTokens) >= minStreamTokens {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// streams is a number of long chats that run at the same time.
type streams struct {
	group   sync.WaitGroup
	results []caller.Result
	tokens  []atomic.Int32
}

// startStreams starts count long chats, distributed over the daemons in turn.
func startStreams(ctx context.Context, c *cluster.Cluster, count int) *streams {
	client := newCaller("clerks")
	s := &streams{results: make([]caller.Result, count), tokens: make([]atomic.Int32, count)}
	for i, prompt := range longPrompts(count) {
		d := c.Daemons[i%len(c.Daemons)]
		chat := caller.Chat{Service: cluster.ModelService, Prompt: prompt, MaxTokens: maxStreamTokens}
		chat.OnToken = func() { s.tokens[i].Add(1) }
		s.group.Go(func() { s.results[i] = client.Chat(ctx, d.CallerAddress, chat) })
	}
	return s
}

// wait waits for the end of all streams and returns their results.
func (s *streams) wait() []caller.Result {
	s.group.Wait()
	return s.results
}

// waitTokens waits until every stream has received at least count tokens.
func (s *streams) waitTokens(ctx context.Context, t *testing.T, count int32) {
	t.Helper()
	err := cluster.WaitUntil(ctx, 10*time.Second, func(context.Context) error {
		for i := range s.tokens {
			if got := s.tokens[i].Load(); got < count {
				return fmt.Errorf("stream %d has %d tokens", i, got)
			}
		}
		return nil
	})
	assert.NilError(t, err)
}

// twoEngineSpec returns one data centre with two fast engines. Either engine can run all
// streams of a test alone.
func twoEngineSpec(daemons int) cluster.Spec {
	spec := cluster.OneDataCentre(daemons)
	spec.DataCentres[0].Engines = []cluster.Engine{cluster.FastEngine, cluster.FastEngine}
	return spec
}

// assertAllComplete requires complete answers to all requests.
func assertAllComplete(t *testing.T, results []caller.Result) {
	t.Helper()
	for i, r := range results {
		assert.Check(t, r.Outcome == caller.Complete, "request %d: %+v", i, r)
	}
}

// countResumed returns the number of streams that an engine continued after their first
// token.
func countResumed(t *testing.T, s *cluster.Server) int {
	t.Helper()
	var list []engine.Execution
	assert.NilError(t, s.Get(t.Context(), "/v1/executions", &list))
	count := 0
	for _, e := range list {
		if e.From > 0 {
			count++
		}
	}
	return count
}

// Guards against streams that are truncated, restarted from the beginning or refused when
// the target that runs them is killed.
func TestKilledTargetStreamsAreResumed(t *testing.T) {
	ctx, c := startCluster(t, twoEngineSpec(2))
	s := startStreams(ctx, c, 8)
	s.waitTokens(ctx, t, 5)
	c.Engines[0].Kill()
	assertAllComplete(t, s.wait())
	assert.Assert(t, countResumed(t, c.Engines[1]) > 0)
}

// Guards against streams that wait without limit for a target that is suspended with its
// connections open.
func TestFrozenTargetStreamsAreResumed(t *testing.T) {
	ctx, c := startCluster(t, twoEngineSpec(2))
	s := startStreams(ctx, c, 8)
	s.waitTokens(ctx, t, 5)
	assert.NilError(t, c.Engines[0].Suspend())
	results := s.wait()
	assert.NilError(t, c.Engines[0].Resume())
	assertAllComplete(t, results)
	for i, r := range results {
		assert.Check(t, r.Total < 10*time.Second, "stream %d took %s", i, r.Total)
	}
	assert.Assert(t, countResumed(t, c.Engines[1]) > 0)
}

// Guards against new requests that wait on idle connections to a target that stopped
// answering: the target is used first, then it stops sending on all its connections.
func TestTargetWithSilentConnections(t *testing.T) {
	ctx, c := startCluster(t, twoEngineSpec(2))
	assertEachServes(ctx, t, c.Daemons, "warm")
	assert.NilError(t, c.Engines[0].SetFaults(ctx, faults.Switches{Freeze: true}))
	client := newCaller("clerks")
	for i := range 12 {
		d := c.Daemons[i%2]
		r := client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: fmt.Sprintf("question %d", i), MaxTokens: 8})
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
		assert.Assert(t, r.Total < 10*time.Second, "request %d took %s", i, r.Total)
	}
}

// assertNoNewWork marks the first engine as leaving under load and requires that it admits
// no request later than 3 s after that and that no request is cut.
func assertNoNewWork(t *testing.T, mark func(context.Context, *cluster.Cluster) error) {
	t.Helper()
	ctx, c := startCluster(t, twoEngineSpec(2))
	l := startLoad(ctx, c, 4)
	names := []string{c.Daemons[0].Name, c.Daemons[1].Name}
	assert.NilError(t, l.waitResults(ctx, names, 5))
	assert.Assert(t, countAdmitted(t, c.Engines[0]) > 0)
	assert.NilError(t, mark(ctx, c))
	time.Sleep(3 * time.Second) // the bound of promise R7 for drained and leaving targets
	atBound := countAdmitted(t, c.Engines[0])
	before := l.resultCount(names[0])
	assert.NilError(t, l.waitResults(ctx, names[:1], before+20))
	assert.Check(t, countAdmitted(t, c.Engines[0]) == atBound, "%d requests admitted after the bound", countAdmitted(t, c.Engines[0])-atBound)
	for _, results := range l.stop() {
		assertAllComplete(t, results)
	}
}

// Guards against new requests for a target whose health answer says that it is leaving.
func TestTargetLeavingByHealthGetsNoNewWork(t *testing.T) {
	assertNoNewWork(t, func(ctx context.Context, c *cluster.Cluster) error {
		return c.Engines[0].SetFaults(ctx, faults.Switches{Leaving: true})
	})
}

// Guards against new requests for a target that the platform's VM list marks as leaving.
func TestTargetLeavingByVMListGetsNoNewWork(t *testing.T) {
	assertNoNewWork(t, func(ctx context.Context, c *cluster.Cluster) error {
		vms := c.VMs()
		for i := range vms {
			if vms[i].Name == c.Engines[0].Name {
				vms[i].State = provider.VMLeaving
			}
		}
		return c.PutVMs(ctx, vms)
	})
}
