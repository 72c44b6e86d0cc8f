package e2e

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/object"
)

// generationWatcher samples the generations that daemons report. It finds daemons that
// went back to an older generation and generations that have different contents on two
// daemons. It continues while daemons restart.
type generationWatcher struct {
	cancel     context.CancelFunc
	group      sync.WaitGroup
	mu         sync.Mutex
	highest    map[string]uint64
	digests    map[uint64]string
	violations []string
}

// watchGenerations starts a watcher of all daemons.
func watchGenerations(ctx context.Context, t *testing.T, c *cluster.Cluster) *generationWatcher {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	g := &generationWatcher{cancel: cancel, highest: make(map[string]uint64), digests: make(map[uint64]string)}
	for _, d := range c.Daemons {
		admin, err := d.AdminClient()
		assert.NilError(t, err)
		g.group.Go(func() { g.poll(ctx, d.Name, admin) })
	}
	return g
}

// poll samples the generation of one daemon until the context ends.
func (g *generationWatcher) poll(ctx context.Context, name string, admin *adminapi.Client) {
	const pause = 50 * time.Millisecond
	for ctx.Err() == nil {
		if config, err := admin.Current(ctx); err == nil && config.Generation > 0 {
			g.record(name, config)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// record compares a sample with those before it and stores it.
func (g *generationWatcher) record(name string, config adminapi.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if config.Generation < g.highest[name] {
		g.violations = append(g.violations, fmt.Sprintf("%s went from generation %d to %d", name, g.highest[name], config.Generation))
	}
	g.highest[name] = config.Generation
	if known, ok := g.digests[config.Generation]; ok && known != config.Digest {
		g.violations = append(g.violations, fmt.Sprintf("%s has different contents of generation %d", name, config.Generation))
	}
	g.digests[config.Generation] = config.Digest
}

// stop ends the sampling and returns the violations.
func (g *generationWatcher) stop() []string {
	g.cancel()
	g.group.Wait()
	return g.violations
}

// publishResult is the result of one publication.
type publishResult struct {
	published adminapi.PublishResponse
	err       error
}

// publishConcurrently publishes a different set through each daemon at the same time. All
// sets are changes of base. The results are in the order of the daemons.
func publishConcurrently(ctx context.Context, t *testing.T, daemons []*cluster.Daemon, base adminapi.Config, round int) []publishResult {
	t.Helper()
	results := make([]publishResult, len(daemons))
	begin := make(chan struct{})
	var group sync.WaitGroup
	for i, d := range daemons {
		admin, err := d.AdminClient()
		assert.NilError(t, err)
		set := *base.Set
		set.Tiers = slices.Clone(set.Tiers)
		set.Tiers[i].Deadline = time.Duration(30+round) * time.Second
		group.Go(func() {
			<-begin
			results[i].published, results[i].err = admin.Publish(ctx, base.Generation, &set)
		})
	}
	close(begin)
	group.Wait()
	return results
}

// waitConfig waits until a daemon has at least this generation and returns its
// configuration.
func waitConfig(ctx context.Context, t *testing.T, d *cluster.Daemon, generation uint64) adminapi.Config {
	t.Helper()
	admin, err := d.AdminClient()
	assert.NilError(t, err)
	var config adminapi.Config
	err = cluster.WaitUntil(ctx, 10*time.Second, func(ctx context.Context) error {
		var err error
		config, err = admin.Current(ctx)
		if err == nil && config.Generation < generation {
			err = fmt.Errorf("daemon %s has generation %d, want %d", d.Name, config.Generation, generation)
		}
		return err
	})
	assert.NilError(t, err)
	return config
}

// assertConflict requires that a publication was refused as a conflict and that the error
// lists what changed since base.
func assertConflict(t *testing.T, err error, base adminapi.Config, round int) {
	t.Helper()
	var refused *adminapi.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, adminapi.CodeConflict, "%v", err)
	conflict := refused.Conflict
	assert.Equal(t, conflict.Base, base.Generation)
	assert.Equal(t, conflict.Current, base.Generation+1)
	assert.Equal(t, len(conflict.Changes), 1, "round %d: %+v", round, conflict)
	assert.Equal(t, conflict.Changes[0].Kind, object.KindTier)
}

// Guards against reporting success to two operators who publish at the same time: of two
// sets made from one generation, exactly one is published, and the other operator gets a
// conflict that lists what changed.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	base := waitConfig(ctx, t, c.Daemons[0], 1)
	for round := range 8 {
		results := publishConcurrently(ctx, t, c.Daemons[:2], base, round)
		winners := 0
		for _, r := range results {
			if r.err == nil {
				winners++
				assert.Equal(t, r.published.Generation, base.Generation+1)
				continue
			}
			assertConflict(t, r.err, base, round)
		}
		assert.Equal(t, winners, 1, "round %d: %+v", round, results)
		assert.NilError(t, c.WaitInForce(ctx, base.Generation+1, 4*time.Second))
		base = waitConfig(ctx, t, c.Daemons[round%3], base.Generation+1)
	}
}

// Guards against losing or replacing an accepted generation when the store loses answers
// and daemons are killed and restarted while operators publish concurrently.
func TestAcceptedGenerationNeverReverts(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	watcher := watchGenerations(ctx, t, c)
	accepted := make(map[uint64]string)
	base := waitConfig(ctx, t, c.Daemons[0], 1)
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{DropAnswers: 0.3, DropCalls: 0.1}))
	for round := range 5 {
		killed := c.Daemons[round%3]
		killed.Kill()
		results := publishConcurrently(ctx, t, daemonsExcept(c.Daemons, killed), base, round)
		winners := 0
		for _, r := range results {
			if r.err == nil {
				winners++
				accepted[r.published.Generation] = r.published.Digest
			}
		}
		assert.Assert(t, winners <= 1, "round %d: %+v", round, results)
		assert.NilError(t, killed.Start())
		base = waitConfig(ctx, t, c.Daemons[(round+1)%3], base.Generation+uint64(winners))
	}
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	assert.NilError(t, c.WaitReady(ctx))
	assert.Assert(t, len(accepted) > 0, "no publication was accepted, so the test is inconclusive")
	for _, d := range c.Daemons {
		assert.Assert(t, waitConfig(ctx, t, d, base.Generation).Generation >= base.Generation)
	}
	assert.Equal(t, len(watcher.stop()), 0, "%v", watcher.violations)
	for generation, digest := range accepted {
		if seen, ok := watcher.digests[generation]; ok {
			assert.Equal(t, seen, digest, "generation %d", generation)
		}
	}
}
