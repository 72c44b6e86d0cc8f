package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
)

// runMarjoramctl runs a marjoramctl command against all daemons and returns its output.
func runMarjoramctl(ctx context.Context, t *testing.T, c *cluster.Cluster, args ...string) (string, error) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte(cluster.OperatorToken+"\n"), 0o600))
	for _, d := range c.Daemons {
		args = append(args, "--server", "http://"+d.AdminAddress)
	}
	args = append(args, "--token-file", token)
	out, err := exec.CommandContext(ctx, c.Programs.Ctl, args...).CombinedOutput()
	return string(out), err
}

// Guards against marjoramctl commands that do not work with real daemons: check, publish
// with --wait, status, drain and revert.
func TestOperatorToolAgainstRealDaemons(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	file, err := c.WriteSet("set.yaml")
	assert.NilError(t, err)
	out, err := runMarjoramctl(ctx, t, c, "check", file)
	assert.NilError(t, err, out)
	c.Set.Tiers[2].Deadline = 25 * time.Second
	file, err = c.WriteSet("set.yaml")
	assert.NilError(t, err)
	out, err = runMarjoramctl(ctx, t, c, "publish", "--base", "current", "--wait", file)
	assert.NilError(t, err, out)
	out, err = runMarjoramctl(ctx, t, c, "status", "-o", "json")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, `"generation": 2`), out)
	out, err = runMarjoramctl(ctx, t, c, "drain", c.Engines[0].Name)
	assert.NilError(t, err, out)
	assert.NilError(t, c.WaitInForce(ctx, 3, 4*time.Second))
	out, err = runMarjoramctl(ctx, t, c, "revert", "1")
	assert.NilError(t, err, out)
	assert.NilError(t, c.WaitInForce(ctx, 4, 4*time.Second))
}

// Guards against new requests for a drained target later than 3 s after the drain, and
// against cutting the requests that it still runs.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(2))
	l := startLoad(ctx, c, 4)
	names := []string{c.Daemons[0].Name, c.Daemons[1].Name}
	assert.NilError(t, l.waitResults(ctx, names, 5))
	out, err := runMarjoramctl(ctx, t, c, "drain", c.Engines[0].Name)
	assert.NilError(t, err, out)
	time.Sleep(3 * time.Second)
	atBound := countAdmitted(t, c.Engines[0])
	before := l.resultCount(names[0])
	assert.NilError(t, l.waitResults(ctx, names[:1], before+20))
	assert.Equal(t, countAdmitted(t, c.Engines[0]), atBound)
	for name, results := range l.stop() {
		for _, r := range results {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}

// countAdmitted returns the number of requests that an engine has admitted so far.
func countAdmitted(t *testing.T, s *cluster.Server) int {
	t.Helper()
	var list []engine.Execution
	assert.NilError(t, s.Get(t.Context(), "/v1/executions", &list))
	return len(list)
}

// Guards against a data centre that stops serving when it is cut off from the platform
// and from all other data centres.
func TestCutOffDataCentreServes(t *testing.T) {
	ctx, c := startCluster(t, cluster.TwoRegions())
	c.Platform.Kill()
	for _, d := range c.Daemons[2:] {
		d.Kill()
	}
	client := newCaller("clerks")
	for i := range 10 {
		d := c.Daemons[i%2]
		r := client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: fmt.Sprintf("question %d", i), MaxTokens: 8})
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
		r = client.Plain(ctx, d.CallerAddress, reservation(fmt.Sprintf("panel %d", i), ""))
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	}
}
