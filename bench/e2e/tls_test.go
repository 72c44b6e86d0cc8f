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

func newAuthority(t *testing.T, name string) *cluster.Authority {
	t.Helper()
	a, err := cluster.NewAuthority(name)
	assert.NilError(t, err)
	return a
}

// waitSessions waits until the daemon reaches exactly these other daemons.
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

// askEach sends chats through each daemon and requires whole answers.
func askEach(ctx context.Context, t *testing.T, daemons []*cluster.Daemon, label string) {
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

// reserveMessages counts the grants that all daemons asked of other daemons.
func reserveMessages(ctx context.Context, t *testing.T, c *cluster.Cluster) uint64 {
	t.Helper()
	var total uint64
	for _, d := range c.Daemons {
		stats, err := d.MeshStats(ctx)
		assert.NilError(t, err)
		total += stats.Out["reserve"].Messages
	}
	return total
}

// Guards against daemons with TLS that cannot use one another's target groups,
// against sessions with a daemon of another authority, and against new keys that
// take effect only after a restart.
func TestForeignCertificateGetsNoSession(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	dir := t.TempDir()
	ours, foreign := newAuthority(t, "ours"), newAuthority(t, "foreign")
	const outsider = "lhr-a-3"
	spec.TLS = func(daemon string) (settings.TLS, error) {
		if daemon == outsider {
			// It trusts everybody, so only the others' check keeps it out.
			return foreign.Issue(dir, daemon, ours, foreign)
		}
		return ours.Issue(dir, daemon, ours)
	}
	ctx, c := start(t, spec)
	first, second, third := c.Daemons[0], c.Daemons[1], c.Daemons[2]
	assert.NilError(t, waitSessions(ctx, first, second.Name))
	assert.NilError(t, waitSessions(ctx, second, first.Name))
	assert.NilError(t, waitSessions(ctx, third))
	askEach(ctx, t, c.Daemons[:2], "apart")
	assert.Assert(t, reserveMessages(ctx, t, c) > 0)
	stats, err := third.MeshStats(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(stats.In), 0, "messages to the daemon of another authority: %+v", stats.In)

	pid := third.PID()
	_, err = ours.Issue(dir, outsider, ours)
	assert.NilError(t, err)
	assert.NilError(t, waitSessions(ctx, third, first.Name, second.Name))
	assert.NilError(t, waitSessions(ctx, first, second.Name, third.Name))
	assert.Equal(t, third.PID(), pid)
	askEach(ctx, t, c.Daemons, "together")
}

// Guards against a change of the authority that needs a restart of all daemons:
// the daemons trust both authorities, get new certificates, and drop the old one.
func TestAuthorityIsReplacedWithoutRestart(t *testing.T) {
	spec := cluster.OneDataCentre(3)
	dir := t.TempDir()
	previous, next := newAuthority(t, "previous"), newAuthority(t, "next")
	spec.TLS = func(daemon string) (settings.TLS, error) { return previous.Issue(dir, daemon, previous) }
	ctx, c := start(t, spec)
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
	// The restarted daemon has read the new files only; the sessions to it come up
	// if the running daemons use the new files, too.
	third.Kill()
	assert.NilError(t, third.Start())
	assert.NilError(t, third.WaitReady(ctx))
	assert.NilError(t, waitSessions(ctx, third, first.Name, second.Name))
	askEach(ctx, t, c.Daemons, "new keys")
}
