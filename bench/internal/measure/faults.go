package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/load"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// FaultsOptions holds the options of Faults.
type FaultsOptions struct {
	// Load is the request rate as a factor of Capacity without a fault.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// Daemons is the number of daemons, or of naive schedulers.
	Daemons int
}

// DefaultFaults holds the options of make measure.
var DefaultFaults = FaultsOptions{Load: 0.6, Duration: 12 * time.Second, Seed: 1, Daemons: 3}

const (
	// slowdown is the factor by which the slow target is slowed.
	slowdown = 10
	// restartDelay is the time until a killed scheduler is started again.
	restartDelay = 2 * time.Second
)

// faultEngines are four equal engines, so that each has a quarter of the capacity.
var faultEngines = []cluster.Engine{cluster.FastEngine, cluster.FastEngine, cluster.FastEngine, cluster.FastEngine}

// faultScenario is a fault that is injected after a quarter of the run.
type faultScenario struct {
	name   string
	inject func(ctx context.Context, c *cluster.Cluster, variant string) error
}

var faultScenarios = []faultScenario{
	{"none", func(context.Context, *cluster.Cluster, string) error { return nil }},
	{"one of four targets slows tenfold", slowOneTarget},
	{"one scheduler killed, back after 2 s", restartScheduler},
	{"data centre cut off", isolateDataCentre},
}

// Faults prints goodput by tier under each fault, with and without marjoramflow.
func Faults(ctx context.Context, programs cluster.Programs, o FaultsOptions, out io.Writer) error {
	fmt.Fprintln(out, "| fault | variant | tier | sent | good | good % | not run | broken | other | first token p50/p95 ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range faultScenarios {
		for _, variant := range []string{Marjoramflow, Naive} {
			report, err := measureUnderFault(ctx, programs, o, s, variant)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", s.name, variant, err)
			}
			printFaultRows(out, s.name, variant, report)
		}
	}
	return nil
}

// measureUnderFault runs the load on a new cluster and injects the fault.
func measureUnderFault(ctx context.Context, programs cluster.Programs, o FaultsOptions, s faultScenario, variant string) (*load.Report, error) {
	c, entries, err := startFaultCluster(ctx, programs, o, variant)
	if c != nil {
		defer os.RemoveAll(c.Dir)
		defer c.Close()
	}
	if err != nil {
		return nil, err
	}
	plan := &load.Plan{
		Seed: o.Seed, Duration: o.Duration, Classes: load.DonationClasses(), Service: cluster.ModelService,
		Rate: o.Load * Capacity(faultEngines, load.DonationClasses()),
	}
	injected := make(chan error, 1)
	go func() {
		time.Sleep(o.Duration / 4)
		injected <- s.inject(ctx, c, variant)
	}()
	report := load.Run(ctx, plan, entries)
	return report, <-injected
}

// startFaultCluster starts the measured data centre and, for marjoramflow, a second one
// from which isolateDataCentre disconnects it. It returns the addresses of the
// schedulers. The cluster is not nil if it was started, also with an error.
func startFaultCluster(ctx context.Context, programs cluster.Programs, o FaultsOptions, variant string) (*cluster.Cluster, []string, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, nil, err
	}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{{Name: "lhr-a", Region: "lahore", Engines: faultEngines, PlainServers: 1}}}
	if variant == Marjoramflow {
		spec.DataCentres[0].Daemons = o.Daemons
		spec.DataCentres = append(spec.DataCentres, cluster.DataCentre{Name: "qta-a", Region: "quetta", Daemons: 2, PlainServers: 1})
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, nil, err
	}
	if variant == Naive {
		entries, err := c.StartNaive(ctx, o.Daemons)
		return c, entries, err
	}
	if err := publishAndWaitReady(ctx, c); err != nil {
		return c, nil, err
	}
	var entries []string
	for _, d := range c.Daemons[:o.Daemons] {
		entries = append(entries, d.CallerAddress)
	}
	return c, entries, nil
}

// slowOneTarget makes the first engine slower by the factor slowdown.
func slowOneTarget(ctx context.Context, c *cluster.Cluster, _ string) error {
	return c.Engines[0].SetFaults(ctx, faults.Switches{Slow: slowdown})
}

// restartScheduler kills one scheduler and starts it again after restartDelay. Its
// callers keep sending to its address meanwhile.
func restartScheduler(_ context.Context, c *cluster.Cluster, variant string) error {
	scheduler := (*cluster.Process)(nil)
	if variant == Marjoramflow {
		scheduler = c.Daemons[0].Process
	} else {
		scheduler = c.NaiveServers[0].Process
	}
	scheduler.Kill()
	time.Sleep(restartDelay)
	return scheduler.Start()
}

// isolateDataCentre suspends the platform and the other data centre's daemons, so
// that connections to them stay open but silent. It does nothing for the naive
// scheduler, which uses neither.
func isolateDataCentre(_ context.Context, c *cluster.Cluster, variant string) error {
	if variant == Naive {
		return nil
	}
	err := c.Platform.Suspend()
	for _, d := range c.Daemons {
		if d.DataCentre != c.Daemons[0].DataCentre {
			err = errors.Join(err, d.Suspend())
		}
	}
	return err
}

func printFaultRows(out io.Writer, fault, variant string, report *load.Report) {
	tiers := report.ByTier()
	for _, name := range []string{"gold", "silver", "bronze"} {
		s := tiers[name]
		other := s.Sent - s.Outcomes[caller.Complete] - s.Outcomes[caller.NotRun] - s.Outcomes[caller.Broken]
		fmt.Fprintf(out, "| %s | %s | %s | %d | %d | %.1f | %d | %d | %d | %d/%d |\n",
			fault, variant, name, s.Sent, s.Good, percent(s.Good, s.Sent), s.Outcomes[caller.NotRun], s.Outcomes[caller.Broken], other,
			s.FirstToken.ValueAtQuantile(50)/1000, s.FirstToken.ValueAtQuantile(95)/1000)
	}
}
