package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// moveCallersPerDaemon keeps both engines full, so that evidence on the new version
// accumulates quickly.
const moveCallersPerDaemon = 8

// waitMoveShare waits until the new version has at least this share of the traffic, in
// percent, and a daemon holds the move's lease. It returns the status of the move.
func waitMoveShare(ctx context.Context, t *testing.T, c *cluster.Cluster, percent float64) adminapi.MoveStatus {
	t.Helper()
	admin, err := c.Admin()
	assert.NilError(t, err)
	var last adminapi.MoveStatus
	err = cluster.WaitUntil(ctx, 20*time.Second, func(ctx context.Context) error {
		list, err := admin.Moves(ctx)
		if err != nil {
			return err
		}
		if len(list) != 1 || list[0].SharePercent < percent || list[0].Holder == "" {
			return fmt.Errorf("moves are %+v", list)
		}
		last = list[0]
		return nil
	})
	assert.NilError(t, err)
	return last
}

// setVersionFault injects a fault of the new version on all engines.
func setVersionFault(ctx context.Context, t *testing.T, c *cluster.Cluster, f faults.VersionFault) {
	t.Helper()
	for _, e := range c.Engines {
		assert.NilError(t, e.SetFaults(ctx, faults.Switches{Versions: map[string]faults.VersionFault{newModel: f}}))
	}
}

// countAttempts returns the number of attempts that ran with a model on all engines.
func countAttempts(t *testing.T, c *cluster.Cluster, model string) int {
	t.Helper()
	count := 0
	for _, s := range c.Engines {
		var list []engine.Execution
		assert.NilError(t, s.Get(t.Context(), "/v1/executions", &list))
		for _, e := range list {
			if e.Version == model {
				count++
			}
		}
	}
	return count
}

// waitAttempts waits until the new version got at least count attempts.
func waitAttempts(ctx context.Context, t *testing.T, c *cluster.Cluster, count int) {
	t.Helper()
	err := cluster.WaitUntil(ctx, 20*time.Second, func(context.Context) error {
		if attempts := countAttempts(t, c, newModel); attempts < count {
			return fmt.Errorf("the new version got %d attempts", attempts)
		}
		return nil
	})
	assert.NilError(t, err)
}

// assertFewHarmed requires complete answers to at least 99 of 100 requests, and no
// answer that is wrong or was cut.
func assertFewHarmed(t *testing.T, results map[string][]caller.Result) {
	t.Helper()
	harmed, total := 0, 0
	for _, list := range results {
		for _, r := range list {
			total++
			if r.Outcome != caller.Complete {
				harmed++
			}
			assert.Check(t, r.Outcome != caller.Wrong && r.Outcome != caller.Broken, "%+v", r)
		}
	}
	assert.Assert(t, harmed*100 <= total, "%d of %d requests harmed", harmed, total)
}

// assertMoveReversed requires that the move is reversed and that the new version gets
// no attempt later than 3 s after that. It stops the load.
func assertMoveReversed(ctx context.Context, t *testing.T, c *cluster.Cluster, l *load) {
	t.Helper()
	state := waitMoveEnd(ctx, t, c, 20*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	time.Sleep(3 * time.Second) // a reversal has to be in force within this time
	attempts := countAttempts(t, c, newModel)
	assert.Assert(t, attempts > 0, "the new version got no traffic, so the test is inconclusive")
	before := l.resultCount(c.Daemons[0].Name)
	assert.NilError(t, l.waitResults(ctx, []string{c.Daemons[0].Name}, before+10))
	assert.Equal(t, countAttempts(t, c, newModel), attempts, "attempts after the reversal")
	assertFewHarmed(t, l.stop())
}

// Guards against keeping a version that starts to fail only after the first steps of its
// move, because its early evidence was good.
func TestVersionThatTurnsBadIsReversed(t *testing.T) {
	ctx, c := startCluster(t, twoVersionSpec())
	l := startLoad(ctx, c, moveCallersPerDaemon)
	publishMove(ctx, t, c, 60*time.Second)
	waitAttempts(ctx, t, c, 5)
	setVersionFault(ctx, t, c, faults.VersionFault{FailShare: 1})
	assertMoveReversed(ctx, t, c, l)
}

// Guards against keeping a version that fails only on busy targets, because it passed
// the first steps on targets with little load.
func TestVersionThatIsBadUnderLoadIsReversed(t *testing.T) {
	ctx, c := startCluster(t, twoVersionSpec())
	setVersionFault(ctx, t, c, faults.VersionFault{FailShare: 1, AboveRunning: 4})
	l := startLoad(ctx, c, moveCallersPerDaemon)
	publishMove(ctx, t, c, 60*time.Second)
	assertMoveReversed(ctx, t, c, l)
}

// Guards against a move that never continues after the daemon that holds its lease was killed:
// another daemon has to take it over with a higher fencing number.
func TestMoveGoesOnWhenItsHolderIsKilled(t *testing.T) {
	ctx, c := startCluster(t, twoVersionSpec())
	l := startLoad(ctx, c, moveCallersPerDaemon)
	publishMove(ctx, t, c, 60*time.Second)
	before := waitMoveShare(ctx, t, c, 1)
	var killed string
	for _, d := range c.Daemons {
		if d.Name == before.Holder {
			killed = d.Name
			d.Kill()
		}
	}
	assert.Equal(t, killed, before.Holder)
	admin, err := c.Admin()
	assert.NilError(t, err)
	err = cluster.WaitUntil(ctx, 40*time.Second, func(ctx context.Context) error {
		list, err := admin.Moves(ctx)
		if err != nil {
			return err
		}
		after := list[0]
		if after.Holder == killed || after.Fencing <= before.Fencing || after.SharePercent <= before.SharePercent {
			return fmt.Errorf("before %+v, after %+v", before, after)
		}
		return nil
	})
	assert.NilError(t, err)
	for name, results := range l.stop() {
		if name != killed {
			assertAllComplete(t, results)
		}
	}
}

// Guards against traffic that stays on a version after the deadline of its unfinished
// move, because the store is down and the reversal cannot be recorded.
func TestMoveInOutageIsReversedByEachDaemon(t *testing.T) {
	// The holder gives up 7 s before the deadline (DoneLead and WriteAllowance of
	// rollout.Options), so that the outcome is known in time. The remaining 8 s are for
	// the first requests of the new version.
	const untilDeadline = 15 * time.Second
	ctx, c := startCluster(t, twoVersionSpec())
	l := startLoad(ctx, c, moveCallersPerDaemon)
	// The new version has no fault, but the move cannot finish during an outage.
	publishMove(ctx, t, c, untilDeadline)
	deadline := c.Set.Moves[0].Deadline
	waitMoveShare(ctx, t, c, 1)
	waitAttempts(ctx, t, c, 1)
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{Down: true}))
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline.Add(time.Second))):
	}
	var names []string
	for _, d := range c.Daemons {
		names = append(names, d.Name)
	}
	// After five more results, attempts that began before the deadline have ended.
	before := l.resultCount(names[0])
	assert.NilError(t, l.waitResults(ctx, names[:1], before+5))
	attempts := countAttempts(t, c, newModel)
	assert.Assert(t, attempts > 0, "the new version got no traffic, so the test is inconclusive")
	for _, name := range names {
		before := l.resultCount(name)
		assert.NilError(t, l.waitResults(ctx, []string{name}, before+15))
	}
	assert.Equal(t, countAttempts(t, c, newModel), attempts, "attempts after the deadline")
	for _, d := range c.Daemons {
		admin, err := d.AdminClient()
		assert.NilError(t, err)
		list, err := admin.Moves(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].SharePercent, 0.0, "%s: %+v", d.Name, list[0])
	}
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	state := waitMoveEnd(ctx, t, c, 20*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	for _, results := range l.stop() {
		assertAllComplete(t, results)
	}
}

// Guards against a version that answers all requests but ten times slower, and that is
// still in service after the deadline of its move.
func TestSlowVersionIsReversedByItsDeadline(t *testing.T) {
	const untilDeadline = 30 * time.Second
	ctx, c := startCluster(t, twoVersionSpec())
	setVersionFault(ctx, t, c, faults.VersionFault{Slow: 10})
	l := startLoad(ctx, c, moveCallersPerDaemon)
	publishMove(ctx, t, c, untilDeadline)
	state := waitMoveEnd(ctx, t, c, untilDeadline+4*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	for name, results := range l.stop() {
		for _, r := range results {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}
