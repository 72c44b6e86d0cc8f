package e2e

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// replace stops daemons at the same time and starts them again.
func replace(ctx context.Context, t *testing.T, daemons []*cluster.Daemon) {
	t.Helper()
	errs := make([]error, len(daemons))
	var group sync.WaitGroup
	for i, d := range daemons {
		group.Go(func() { errs[i] = d.Stop(15 * time.Second) })
	}
	group.Wait()
	for i, d := range daemons {
		assert.NilError(t, errs[i])
		assert.NilError(t, d.Start())
	}
	for _, d := range daemons {
		assert.NilError(t, d.WaitReady(ctx))
	}
}

// Guards against requests cut when half of the daemons are replaced at once, and
// then the other half, so that no daemon is left that saw the start.
func TestHalfOfTheDaemonsReplacedAtOnce(t *testing.T) {
	ctx, c := start(t, cluster.OneDataCentre(4))
	for _, half := range [][]*cluster.Daemon{c.Daemons[:2], c.Daemons[2:]} {
		l := startLoad(ctx, c, 3)
		var names []string
		for _, d := range c.Daemons {
			names = append(names, d.Name)
		}
		assert.NilError(t, l.wait(ctx, names, 3))
		replace(ctx, t, half)
		// The new daemons serve while the load goes on.
		before := l.count(half[0].Name)
		assert.NilError(t, l.wait(ctx, []string{half[0].Name}, before+5))
		results := l.stop()
		for _, d := range c.Daemons {
			if d == half[0] || d == half[1] {
				assertNoneCut(t, withoutNotReady(results[d.Name]))
				continue
			}
			assertAllWhole(t, results[d.Name])
		}
	}
}

// withoutNotReady removes the refusals of a daemon that has started and is not
// ready; a balancer sends it nothing, and the load here does.
func withoutNotReady(results []caller.Result) []caller.Result {
	return slices.DeleteFunc(results, func(r caller.Result) bool {
		return r.Code == "not_ready" && r.Outcome == caller.NotRun
	})
}

// Guards against state of the first life of a daemon that disturbs the second
// and third: a daemon is killed, started, and killed again before it is ready,
// while the others serve.
func TestDaemonKilledTwice(t *testing.T) {
	ctx, c := start(t, cluster.OneDataCentre(3))
	l := startLoad(ctx, c, 3)
	victim, others := c.Daemons[0], c.Daemons[1:]
	names := []string{others[0].Name, others[1].Name}
	assert.NilError(t, l.wait(ctx, names, 3))
	victim.Kill()
	assert.NilError(t, victim.Start())
	assert.NilError(t, victim.WaitReady(ctx))
	victim.Kill()
	assert.NilError(t, victim.Start())
	victim.Kill()
	before := l.count(names[0])
	assert.NilError(t, l.wait(ctx, names[:1], before+20))
	assert.NilError(t, victim.Start())
	assert.NilError(t, victim.WaitReady(ctx))
	assert.NilError(t, waitSessions(ctx, victim, names...))
	results := l.stop()
	for _, name := range names {
		assertAllWhole(t, results[name])
	}
	askEach(ctx, t, c.Daemons, "after the kills")
}
