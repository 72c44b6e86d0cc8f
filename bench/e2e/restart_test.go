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

// restartTogether stops daemons gracefully at the same time, starts them again and waits
// until all are ready.
func restartTogether(ctx context.Context, t *testing.T, daemons []*cluster.Daemon) {
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

// Guards against cutting requests when half of the daemons are restarted at once and then
// the other half, so that no process is left that ran at the start.
func TestHalfOfTheDaemonsReplacedAtOnce(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(4))
	for _, half := range [][]*cluster.Daemon{c.Daemons[:2], c.Daemons[2:]} {
		l := startLoad(ctx, c, 3)
		var names []string
		for _, d := range c.Daemons {
			names = append(names, d.Name)
		}
		assert.NilError(t, l.waitResults(ctx, names, 3))
		restartTogether(ctx, t, half)
		// The restarted daemons have to serve while the load continues.
		before := l.resultCount(half[0].Name)
		assert.NilError(t, l.waitResults(ctx, []string{half[0].Name}, before+5))
		results := l.stop()
		for _, d := range c.Daemons {
			if d == half[0] || d == half[1] {
				assertNoneCut(t, withoutNotReady(results[d.Name]))
				continue
			}
			assertAllComplete(t, results[d.Name])
		}
	}
}

// withoutNotReady removes the refusals of a daemon that has started and is not ready yet.
// A load balancer would send it nothing, but the load of the test does.
func withoutNotReady(results []caller.Result) []caller.Result {
	return slices.DeleteFunc(results, func(r caller.Result) bool {
		return r.Code == "not_ready" && r.Outcome == caller.NotRun
	})
}

// Guards against state of a daemon's first process that disturbs its second and third: a
// daemon is killed and restarted, killed again, started, and killed before it is ready,
// while the others serve.
func TestDaemonKilledTwice(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	l := startLoad(ctx, c, 3)
	killed, others := c.Daemons[0], c.Daemons[1:]
	names := []string{others[0].Name, others[1].Name}
	assert.NilError(t, l.waitResults(ctx, names, 3))
	killed.Kill()
	assert.NilError(t, killed.Start())
	assert.NilError(t, killed.WaitReady(ctx))
	killed.Kill()
	assert.NilError(t, killed.Start())
	killed.Kill()
	before := l.resultCount(names[0])
	assert.NilError(t, l.waitResults(ctx, names[:1], before+20))
	assert.NilError(t, killed.Start())
	assert.NilError(t, killed.WaitReady(ctx))
	assert.NilError(t, waitSessions(ctx, killed, names...))
	results := l.stop()
	for _, name := range names {
		assertAllComplete(t, results[name])
	}
	assertEachServes(ctx, t, c.Daemons, "after the kills")
}
