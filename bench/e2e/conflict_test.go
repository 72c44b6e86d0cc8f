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

// generationLog records the generations that daemons report and finds reverts
// and generations with two contents. Watching goes on through restarts.
type generationLog struct {
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	highest map[string]uint64
	digests map[uint64]string
	faults  []string
}

func watchGenerations(ctx context.Context, t *testing.T, c *cluster.Cluster) *generationLog {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	g := &generationLog{cancel: cancel, highest: make(map[string]uint64), digests: make(map[uint64]string)}
	for _, d := range c.Daemons {
		admin, err := d.AdminClient()
		assert.NilError(t, err)
		g.group.Go(func() { g.watch(ctx, d.Name, admin) })
	}
	return g
}

func (g *generationLog) watch(ctx context.Context, name string, admin *adminapi.Client) {
	const pause = 50 * time.Millisecond
	for ctx.Err() == nil {
		if config, err := admin.Current(ctx); err == nil && config.Generation > 0 {
			g.add(name, config)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *generationLog) add(name string, config adminapi.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if config.Generation < g.highest[name] {
		g.faults = append(g.faults, fmt.Sprintf("%s went from generation %d to %d", name, g.highest[name], config.Generation))
	}
	g.highest[name] = config.Generation
	if known, ok := g.digests[config.Generation]; ok && known != config.Digest {
		g.faults = append(g.faults, fmt.Sprintf("%s has another content of generation %d", name, config.Generation))
	}
	g.digests[config.Generation] = config.Digest
}

// stop ends the watch and returns the faults.
func (g *generationLog) stop() []string {
	g.cancel()
	g.group.Wait()
	return g.faults
}

// attemptResult is the result of one operator's publication.
type attemptResult struct {
	published adminapi.PublishResponse
	err       error
}

// raceOperators publishes a different set through each daemon at the same time,
// all made from the generation base.
func raceOperators(ctx context.Context, t *testing.T, daemons []*cluster.Daemon, base adminapi.Config, round int) []attemptResult {
	t.Helper()
	results := make([]attemptResult, len(daemons))
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

// current reads the configuration of a daemon once it has the generation.
func current(ctx context.Context, t *testing.T, d *cluster.Daemon, generation uint64) adminapi.Config {
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

// assertConflict requires the refusal that tells a losing operator what changed.
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

// Guards against two operators that both believe that their set is in force: of
// two sets made from one generation exactly one is published, and the other
// operator is told what changed.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	ctx, c := start(t, cluster.OneDataCentre(3))
	base := current(ctx, t, c.Daemons[0], 1)
	for round := range 8 {
		results := raceOperators(ctx, t, c.Daemons[:2], base, round)
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
		base = current(ctx, t, c.Daemons[round%3], base.Generation+1)
	}
}

// Guards against an accepted generation that is lost or replaced when the store
// loses answers and daemons are killed and started again while operators race.
func TestAcceptedGenerationNeverReverts(t *testing.T) {
	ctx, c := start(t, cluster.OneDataCentre(3))
	watch := watchGenerations(ctx, t, c)
	accepted := make(map[uint64]string)
	base := current(ctx, t, c.Daemons[0], 1)
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{DropAnswers: 0.3, DropCalls: 0.1}))
	for round := range 5 {
		victim := c.Daemons[round%3]
		victim.Kill()
		results := raceOperators(ctx, t, without(c.Daemons, victim), base, round)
		winners := 0
		for _, r := range results {
			if r.err == nil {
				winners++
				accepted[r.published.Generation] = r.published.Digest
			}
		}
		assert.Assert(t, winners <= 1, "round %d: %+v", round, results)
		assert.NilError(t, victim.Start())
		base = current(ctx, t, c.Daemons[(round+1)%3], base.Generation+uint64(winners))
	}
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	assert.NilError(t, c.WaitReady(ctx))
	assert.Assert(t, len(accepted) > 0, "no publication was accepted, so nothing was shown")
	for _, d := range c.Daemons {
		assert.Assert(t, current(ctx, t, d, base.Generation).Generation >= base.Generation)
	}
	assert.Equal(t, len(watch.stop()), 0, "%v", watch.faults)
	for generation, digest := range accepted {
		if seen, ok := watch.digests[generation]; ok {
			assert.Equal(t, seen, digest, "generation %d", generation)
		}
	}
}
