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

// moveCallers are the callers per daemon; they keep both engines full, so that
// evidence comes fast.
const moveCallers = 8

// waitShare waits until the move has the share and a holder.
func waitShare(ctx context.Context, t *testing.T, c *cluster.Cluster, percent float64) adminapi.MoveStatus {
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

// setVersionFault makes the new version bad on all engines.
func setVersionFault(ctx context.Context, t *testing.T, c *cluster.Cluster, f faults.VersionFault) {
	t.Helper()
	for _, e := range c.Engines {
		assert.NilError(t, e.SetFaults(ctx, faults.Switches{Versions: map[string]faults.VersionFault{newModel: f}}))
	}
}

// runsOf counts the attempts of a model on all engines.
func runsOf(t *testing.T, c *cluster.Cluster, model string) int {
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

// waitRuns waits until the new version got so many attempts.
func waitRuns(ctx context.Context, t *testing.T, c *cluster.Cluster, count int) {
	t.Helper()
	err := cluster.WaitUntil(ctx, 20*time.Second, func(context.Context) error {
		if runs := runsOf(t, c, newModel); runs < count {
			return fmt.Errorf("the new version got %d attempts", runs)
		}
		return nil
	})
	assert.NilError(t, err)
}

// assertFewHurt requires whole answers for at least 99 of 100 requests of the
// daemons, and no answer that is cut or wrong.
func assertFewHurt(t *testing.T, results map[string][]caller.Result) {
	t.Helper()
	hurt, total := 0, 0
	for _, list := range results {
		for _, r := range list {
			total++
			if r.Outcome != caller.Complete {
				hurt++
			}
			assert.Check(t, r.Outcome != caller.Wrong && r.Outcome != caller.Broken, "%+v", r)
		}
	}
	assert.Assert(t, hurt*100 <= total, "%d of %d requests hurt", hurt, total)
}

// assertReversed requires that the move is reversed, and that the new version
// gets no attempt later than 3 s after that.
func assertReversed(ctx context.Context, t *testing.T, c *cluster.Cluster, l *load) {
	t.Helper()
	state := waitMove(ctx, t, c, 20*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	time.Sleep(3 * time.Second) // the bound for a reversal to be in force
	runs := runsOf(t, c, newModel)
	assert.Assert(t, runs > 0, "the new version got no traffic, so nothing was shown")
	before := l.count(c.Daemons[0].Name)
	assert.NilError(t, l.wait(ctx, []string{c.Daemons[0].Name}, before+10))
	assert.Equal(t, runsOf(t, c, newModel), runs, "attempts after the reversal")
	assertFewHurt(t, l.stop())
}

// Guards against a version that turns bad only after its first steps and is kept
// because its early evidence was good.
func TestVersionThatTurnsBadIsReversed(t *testing.T) {
	ctx, c := start(t, moveSpec())
	l := startLoad(ctx, c, moveCallers)
	beginMove(ctx, t, c, 60*time.Second)
	waitRuns(ctx, t, c, 5)
	setVersionFault(ctx, t, c, faults.VersionFault{FailShare: 1})
	assertReversed(ctx, t, c, l)
}

// Guards against a version that fails only on busy targets and passes the first
// steps on the quiet ones.
func TestVersionThatIsBadUnderLoadIsReversed(t *testing.T) {
	ctx, c := start(t, moveSpec())
	setVersionFault(ctx, t, c, faults.VersionFault{FailShare: 1, AboveRunning: 4})
	l := startLoad(ctx, c, moveCallers)
	beginMove(ctx, t, c, 60*time.Second)
	assertReversed(ctx, t, c, l)
}

// Guards against a move that stops for ever when the daemon that holds it is
// killed: another one takes over with a higher fencing number.
func TestMoveGoesOnWhenItsHolderIsKilled(t *testing.T) {
	ctx, c := start(t, moveSpec())
	l := startLoad(ctx, c, moveCallers)
	beginMove(ctx, t, c, 60*time.Second)
	before := waitShare(ctx, t, c, 1)
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
			assertAllWhole(t, results)
		}
	}
}

// Guards against traffic that stays on a version whose move was not done by its
// deadline, because the store was down and nobody could record the reversal.
func TestMoveInOutageIsReversedByEachDaemon(t *testing.T) {
	// The holder gives up 7 s before the deadline, so that the outcome is known in
	// time; the rest is left for the first requests of the new version.
	const within = 15 * time.Second
	ctx, c := start(t, moveSpec())
	l := startLoad(ctx, c, moveCallers)
	// The version's first steps are good; the move cannot end in an outage.
	beginMove(ctx, t, c, within)
	deadline := c.Set.Moves[0].Deadline
	waitShare(ctx, t, c, 1)
	waitRuns(ctx, t, c, 1)
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{Down: true}))
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline.Add(time.Second))):
	}
	var names []string
	for _, d := range c.Daemons {
		names = append(names, d.Name)
	}
	// Attempts that began before the deadline have ended after this.
	before := l.count(names[0])
	assert.NilError(t, l.wait(ctx, names[:1], before+5))
	runs := runsOf(t, c, newModel)
	assert.Assert(t, runs > 0, "the new version got no traffic, so nothing was shown")
	for _, name := range names {
		before := l.count(name)
		assert.NilError(t, l.wait(ctx, []string{name}, before+15))
	}
	assert.Equal(t, runsOf(t, c, newModel), runs, "attempts after the deadline")
	for _, d := range c.Daemons {
		admin, err := d.AdminClient()
		assert.NilError(t, err)
		list, err := admin.Moves(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].SharePercent, 0.0, "%s: %+v", d.Name, list[0])
	}
	assert.NilError(t, c.Platform.SetFaults(ctx, faults.Switches{}))
	state := waitMove(ctx, t, c, 20*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	for _, results := range l.stop() {
		assertAllWhole(t, results)
	}
}

// Guards against a version that answers everything, ten times too slowly, and is
// in service after its deadline.
func TestSlowVersionIsReversedByItsDeadline(t *testing.T) {
	const within = 30 * time.Second
	ctx, c := start(t, moveSpec())
	setVersionFault(ctx, t, c, faults.VersionFault{Slow: 10})
	l := startLoad(ctx, c, moveCallers)
	beginMove(ctx, t, c, within)
	state := waitMove(ctx, t, c, within+4*time.Second)
	assert.Equal(t, state.Phase, "reversed", "%+v", state)
	for name, results := range l.stop() {
		for _, r := range results {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}
