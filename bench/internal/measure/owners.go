package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/object"
)

// ownerDaemons is the number of daemons that share the configured targets.
const ownerDaemons = 4

// Owners prints the resource usage per daemon for each number of configured targets.
// The added targets have addresses that refuse connections.
func Owners(ctx context.Context, programs cluster.Programs, o DaemonsOptions, out io.Writer) error {
	fmt.Fprintln(out, "| targets | idle CPU % | resident MB | idle bytes/s | time in force ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	var x, cpu, resident []float64
	for _, n := range o.Targets {
		u, inForce, err := measureTargetCount(ctx, programs, o, n)
		if err != nil {
			return fmt.Errorf("%d targets: %w", n, err)
		}
		fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f | %d |\n", n, u.cpu, u.resident, u.bytes, inForce.Milliseconds())
		x = append(x, float64(n)/ownerDaemons)
		cpu = append(cpu, u.cpu)
		resident = append(resident, u.resident)
	}
	cpuFit, memoryFit := fitLine(x, cpu), fitLine(x, resident)
	fmt.Fprintf(out, "\nPer target and owner: %.4f %% of a core (R2 %.3f), %.1f KB (R2 %.3f).\n", cpuFit.slope, cpuFit.r2, 1000*memoryFit.slope, memoryFit.r2)
	return nil
}

// measureTargetCount adds n targets to a cluster and returns the time until they are in
// force and the resource usage while idle.
func measureTargetCount(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (resourceUsage, time.Duration, error) {
	// Only the runs of Daemons are profiled: the daemons have the same names here, so
	// their profiles would overwrite those.
	o.Profile = ""
	c, err := startDaemonCluster(ctx, programs, o, ownerDaemons)
	if err != nil {
		return resourceUsage{}, 0, err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	for i := range n {
		c.Set.Targets = append(c.Set.Targets, object.Target{
			Name: fmt.Sprintf("absent-%d", i), Service: cluster.ModelService, DataCentre: "lhr-a", Region: "lahore",
			Address: fmt.Sprintf("127.0.0.1:%d", 2+i), Hardware: "gen1", Slots: 8, KVTokens: 32000, Versions: []string{cluster.ModelVersion},
		})
	}
	inForce, err := c.TimePublication(ctx)
	if err != nil {
		return resourceUsage{}, 0, err
	}
	time.Sleep(o.SettleTime)
	u, err := measureUsage(ctx, c, o.Duration)
	return u, inForce, err
}
