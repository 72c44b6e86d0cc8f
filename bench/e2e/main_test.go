// Package e2e tests marjoramflow end to end: daemons and stand-in servers run as
// separate processes on loopback addresses, and the failures are real ones:
// killed and frozen processes, platform outages and lost answers.
package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

var programs cluster.Programs

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "marjoramflow-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs, err = cluster.BuildPrograms(dir, buildFlags...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// testTimeout bounds one test; a hang is reported with the daemons' logs.
const testTimeout = 90 * time.Second

// start runs a cluster with its configuration in force.
func start(t *testing.T, spec cluster.Spec) (context.Context, *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c, err := cluster.Start(ctx, t.TempDir(), programs, spec)
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		for _, d := range c.Daemons {
			assert.Check(t, !strings.Contains(d.Log(), "DATA RACE"), "daemon %s", d.Name)
		}
		if t.Failed() {
			for _, d := range c.Daemons {
				t.Logf("log of %s:\n%s", d.Name, d.Log())
			}
		}
	})
	publish(ctx, t, c)
	return ctx, c
}

// publish waits for the administration API and puts the set in force.
func publish(ctx context.Context, t *testing.T, c *cluster.Cluster) {
	t.Helper()
	err := cluster.WaitUntil(ctx, testTimeout, func(ctx context.Context) error {
		_, err := c.Publish(ctx)
		return err
	})
	assert.NilError(t, err)
	assert.NilError(t, c.WaitReady(ctx))
}

func newCaller(account string) *caller.Client {
	return caller.New(cluster.CallerToken(account))
}
