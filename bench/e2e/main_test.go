// Package e2e tests marjoramflow end to end. Daemons and stand-in servers run as
// separate processes on loopback addresses. The tests kill and suspend processes, take
// the platform down, and make servers lose answers.
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
	os.Exit(runTests(m))
}

// runTests builds the programs, runs the tests and returns the exit code.
func runTests(m *testing.M) int {
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

// testTimeout bounds one test, so that a test that hangs fails with the daemons' logs.
const testTimeout = 90 * time.Second

// startCluster starts a cluster and waits until its first configuration is in force. It
// stops the cluster at the end of the test and fails the test if a daemon logged a data
// race. The context ends after testTimeout.
func startCluster(t *testing.T, spec cluster.Spec) (context.Context, *cluster.Cluster) {
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
	publishSet(ctx, t, c)
	return ctx, c
}

// publishSet waits for the administration API, publishes the cluster's set and waits
// until all daemons are ready.
func publishSet(ctx context.Context, t *testing.T, c *cluster.Cluster) {
	t.Helper()
	err := cluster.WaitUntil(ctx, testTimeout, func(ctx context.Context) error {
		_, err := c.Publish(ctx)
		return err
	})
	assert.NilError(t, err)
	assert.NilError(t, c.WaitReady(ctx))
}

// newCaller returns a client with the token of a client account.
func newCaller(account string) *caller.Client {
	return caller.New(cluster.CallerToken(account))
}
