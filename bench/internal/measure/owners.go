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

// ownersDaemons is the number of daemons that share the configured targets.
const ownersDaemons = 4

// Owners prints the use of daemons by the number of configured targets. The
// targets do not answer: their addresses refuse connections.
func Owners(ctx context.Context, programs cluster.Programs, o DaemonsOptions, out io.Writer) error {
	fmt.Fprintln(out, "| targets | idle CPU % | resident MB | idle bytes/s | time in force ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	var x, cpu, resident []float64
	for _, n := range o.Targets {
		u, inForce, err := owners(ctx, programs, o, n)
		if err != nil {
			return fmt.Errorf("%d targets: %w", n, err)
		}
		fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f | %d |\n", n, u.cpu, u.resident, u.bytes, inForce.Milliseconds())
		x = append(x, float64(n)/ownersDaemons)
		cpu = append(cpu, u.cpu)
		resident = append(resident, u.resident)
	}
	c, m := fit(x, cpu), fit(x, resident)
	fmt.Fprintf(out, "\nPer target and owner: %.4f %% of a core (R2 %.3f), %.1f KB (R2 %.3f).\n", c.slope, c.r2, 1000*m.slope, m.r2)
	return nil
}

func owners(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (use, time.Duration, error) {
	// Only the runs by number of daemons are profiled; the names are the same.
	o.Profile = ""
	c, err := startDaemons(ctx, programs, o, ownersDaemons)
	if err != nil {
		return use{}, 0, err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	for i := range n {
		c.Set.Targets = append(c.Set.Targets, object.Target{
			Name: fmt.Sprintf("absent-%d", i), Service: cluster.ModelService, DataCentre: "lhr-a", Region: "lahore",
			Address: fmt.Sprintf("127.0.0.1:%d", 2+i), Hardware: "gen1", Slots: 8, KVTokens: 32000, Versions: []string{cluster.ModelVersion},
		})
	}
	took, err := c.TimePublication(ctx)
	if err != nil {
		return use{}, 0, err
	}
	time.Sleep(o.Settle)
	u, err := measureUse(ctx, c, o.Duration)
	return u, took, err
}
