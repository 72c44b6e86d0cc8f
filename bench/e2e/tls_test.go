package e2e

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/settings"
)

// newAuthority returns a new certificate authority.
func newAuthority(t *testing.T, name string) *cluster.Authority {
	t.Helper()
	a, err := cluster.NewAuthority(name)
	assert.NilError(t, err)
	return a
}

// waitSessions waits until the daemon reports exactly these other daemons as reachable.
func waitSessions(ctx context.Context, d *cluster.Daemon, want ...string) error {
	admin, err := d.AdminClient()
	if err != nil {
		return err
	}
	slices.Sort(want)
	return cluster.WaitUntil(ctx, 15*time.Second, func(ctx context.Context) error {
		status, err := admin.Status(ctx)
		if err != nil {
			return err
		}
		var reached []string
		for _, other := range status.Daemons {
			if other.Reachable && other.Name != d.Name {
				reached = append(reached, other.Name)
			}
		}
		slices.Sort(reached)
		if !slices.Equal(reached, want) {
			return fmt.Errorf("daemon %s reaches %v, want %v", d.Name, reached, want)
		}
		return nil
	})
}

// assertEachServes sends chats through each daemon and requires complete answers. The
// label makes the prompts of a call unique.
func assertEachServes(ctx context.Context, t *testing.T, daemons []*cluster.Daemon, label string) {
	t.Helper()
	client := newCaller("clerks")
	for _, d := range daemons {
		for i := range 4 {
			prompt := fmt.Sprintf("%s: question %d through %s", label, i, d.Name)
			r := client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: prompt, MaxTokens: 8})
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", prompt, r)
		}
	}
}

// countReserveMessages returns the number of grants that daemons requested from other
// daemons.
func countReserveMessages(ctx context.Context, t *testing.T, c *cluster.Cluster) uint64 {
	t.Helper()
	var total uint64
	for _, d := range c.Daemons {
		stats, err := d.MeshStats(ctx)
		assert.NilError(t, err)
		total += stats.Out["reserve"].Messages
	}
	return total
}

// Guards against daemons with TLS that cannot use each other's target groups, against
// sessions with a daemon whose certificate another authority issued, and against new keys
// that take effect only after a restart.
func TestForeignCertificateGetsNoSession(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	dir := t.TempDir()
	ours, foreign := newAuthority(t, "ours"), newAuthority(t, "foreign")
	const outsider = "lhr-a-3"
	spec.TLS = func(daemon string) (settings.TLS, error) {
		if daemon == outsider {
			// It trusts both authorities, so only the check by the other daemons can
			// reject the session.
			return foreign.Issue(dir, daemon, ours, foreign)
		}
		return ours.Issue(dir, daemon, ours)
	}
	ctx, c := startCluster(t, spec)
	first, second, third := c.Daemons[0], c.Daemons[1], c.Daemons[2]
	assert.NilError(t, waitSessions(ctx, first, second.Name))
	assert.NilError(t, waitSessions(ctx, second, first.Name))
	assert.NilError(t, waitSessions(ctx, third))
	assertEachServes(ctx, t, c.Daemons[:2], "apart")
	assert.Assert(t, countReserveMessages(ctx, t, c) > 0)
	stats, err := third.MeshStats(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(stats.In), 0, "messages to the daemon of another authority: %+v", stats.In)

	pid := third.PID()
	_, err = ours.Issue(dir, outsider, ours)
	assert.NilError(t, err)
	assert.NilError(t, waitSessions(ctx, third, first.Name, second.Name))
	assert.NilError(t, waitSessions(ctx, first, second.Name, third.Name))
	assert.Equal(t, third.PID(), pid)
	assertEachServes(ctx, t, c.Daemons, "together")
}

// Guards against a change of the certificate authority that needs a restart of all
// daemons. The daemons first trust both authorities, then get new certificates, then stop
// trusting the old authority.
func TestAuthorityIsReplacedWithoutRestart(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	dir := t.TempDir()
	previous, next := newAuthority(t, "previous"), newAuthority(t, "next")
	spec.TLS = func(daemon string) (settings.TLS, error) { return previous.Issue(dir, daemon, previous) }
	ctx, c := startCluster(t, spec)
	issue := func(a *cluster.Authority, trusted ...*cluster.Authority) {
		for _, d := range c.Daemons {
			_, err := a.Issue(dir, d.Name, trusted...)
			assert.NilError(t, err)
		}
	}
	issue(previous, previous, next)
	issue(next, previous, next)
	issue(next, next)
	first, second, third := c.Daemons[0], c.Daemons[1], c.Daemons[2]
	// The restarted daemon has read only the new files. Its sessions are established
	// only if the running daemons use the new files, too.
	third.Kill()
	assert.NilError(t, third.Start())
	assert.NilError(t, third.WaitReady(ctx))
	assert.NilError(t, waitSessions(ctx, third, first.Name, second.Name))
	assertEachServes(ctx, t, c.Daemons, "new keys")
}
