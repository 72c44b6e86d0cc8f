package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/soak"
)

// soakTimeout bounds the run of one seed with its faults, their repair and the recovery
// time.
const soakTimeout = 2 * time.Minute

// Guards against violations of the promises under random faults. Seeds that once failed
// stay in the list, with the cause of the failure.
func TestSoak(t *testing.T) {
	for _, run := range []struct {
		seed   uint64
		length time.Duration
	}{
		{1, 6 * time.Second},
		// A peer still excluded a daemon after both had been restarted.
		{13, 20 * time.Second},
	} {
		t.Run(fmt.Sprint("seed-", run.seed), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), soakTimeout)
			defer cancel()
			report, err := soak.Run(ctx, soak.Config{
				Seed: run.seed, Duration: run.length, Daemons: 4, Callers: 6, Program: programs.Daemon, Dir: t.TempDir(),
			})
			assert.NilError(t, err)
			t.Log(report)
			assert.Equal(t, len(report.Violations), 0, "%s", report)
			assert.Assert(t, report.Counts["once 200"] > 0 && report.Counts["stream 200"] > 0)
		})
	}
}
