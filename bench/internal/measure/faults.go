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

// FaultsOptions choose what is measured.
type FaultsOptions struct {
	// Load is a factor of the engines' capacity without a fault.
	Load     float64
	Duration time.Duration
	Seed     uint64
	// Daemons is the number of daemons, or of naive schedulers.
	Daemons int
}

// DefaultFaults is what make measure runs.
var DefaultFaults = FaultsOptions{Load: 0.6, Duration: 12 * time.Second, Seed: 1, Daemons: 3}

const (
	// slowdown is the factor of the slow target.
	slowdown = 10
	// downTime is the time until a killed scheduler is started again.
	downTime = 2 * time.Second
)

// faultEngines are equal, so that losing one is losing a quarter.
var faultEngines = []cluster.Engine{cluster.FastEngine, cluster.FastEngine, cluster.FastEngine, cluster.FastEngine}

// scenario is a fault that begins after a quarter of the load's time.
type scenario struct {
	name   string
	inject func(ctx context.Context, c *cluster.Cluster, variant string) error
}

var scenarios = []scenario{
	{"none", func(context.Context, *cluster.Cluster, string) error { return nil }},
	{"one of four targets slows tenfold", slowTarget},
	{"one scheduler killed, back after 2 s", killScheduler},
	{"data centre cut off", cutOff},
}

// Faults prints goodput by tier under each fault, with and without marjoramflow.
func Faults(ctx context.Context, programs cluster.Programs, o FaultsOptions, out io.Writer) error {
	fmt.Fprintln(out, "| fault | variant | tier | sent | good | good % | not run | broken | other | first token p50/p95 ms |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range scenarios {
		for _, variant := range []string{Marjoramflow, Naive} {
			report, err := underFault(ctx, programs, o, s, variant)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", s.name, variant, err)
			}
			printFault(out, s.name, variant, report)
		}
	}
	return nil
}

func underFault(ctx context.Context, programs cluster.Programs, o FaultsOptions, s scenario, variant string) (*load.Report, error) {
	c, entries, err := startFaults(ctx, programs, o, variant)
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

// startFaults starts the measured data centre and, for marjoramflow, a second one
// that it can be cut off from.
func startFaults(ctx context.Context, programs cluster.Programs, o FaultsOptions, variant string) (*cluster.Cluster, []string, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, nil, err
	}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{{Name: "lhr-a", Region: "lahore", Engines: faultEngines, Plains: 1}}}
	if variant == Marjoramflow {
		spec.DataCentres[0].Daemons = o.Daemons
		spec.DataCentres = append(spec.DataCentres, cluster.DataCentre{Name: "qta-a", Region: "quetta", Daemons: 2, Plains: 1})
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, nil, err
	}
	if variant == Naive {
		entries, err := c.StartNaive(ctx, o.Daemons)
		return c, entries, err
	}
	if err := publishFirst(ctx, c); err != nil {
		return c, nil, err
	}
	var entries []string
	for _, d := range c.Daemons[:o.Daemons] {
		entries = append(entries, d.Callers)
	}
	return c, entries, nil
}

func slowTarget(ctx context.Context, c *cluster.Cluster, _ string) error {
	return c.Engines[0].SetFaults(ctx, faults.Switches{Slow: slowdown})
}

// killScheduler kills one entry and starts it again. Its callers are not moved to
// another one meanwhile.
func killScheduler(_ context.Context, c *cluster.Cluster, variant string) error {
	victim := (*cluster.Process)(nil)
	if variant == Marjoramflow {
		victim = c.Daemons[0].Process
	} else {
		victim = c.Naive[0].Process
	}
	victim.Kill()
	time.Sleep(downTime)
	return victim.Start()
}

// cutOff freezes the platform and the other data centre's daemons: connections to
// them stay open and go silent. The naive scheduler uses neither.
func cutOff(_ context.Context, c *cluster.Cluster, variant string) error {
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

func printFault(out io.Writer, fault, variant string, report *load.Report) {
	tiers := report.ByTier()
	for _, name := range []string{"gold", "silver", "bronze"} {
		s := tiers[name]
		other := s.Sent - s.Outcomes[caller.Complete] - s.Outcomes[caller.NotRun] - s.Outcomes[caller.Broken]
		fmt.Fprintf(out, "| %s | %s | %s | %d | %d | %.1f | %d | %d | %d | %d/%d |\n",
			fault, variant, name, s.Sent, s.Good, percent(s.Good, s.Sent), s.Outcomes[caller.NotRun], s.Outcomes[caller.Broken], other,
			s.FirstToken.ValueAtQuantile(50)/1000, s.FirstToken.ValueAtQuantile(95)/1000)
	}
}
