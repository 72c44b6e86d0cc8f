// Package measure runs experiments against real processes and prints tables. The
// same seeds give the same requests.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/load"
)

// Variants of schedulers.
const (
	Marjoramflow = "marjoramflow"
	Naive        = "naive"
)

// GoodputOptions choose what is measured.
type GoodputOptions struct {
	// Loads are factors of the engines' capacity.
	Loads    []float64
	Duration time.Duration
	Seed     uint64
	Daemons  int
	// Skew is the part of the requests that the balancer sends to one daemon.
	Skew float64
}

// DefaultGoodput is what make measure runs.
var DefaultGoodput = GoodputOptions{
	Loads:    []float64{0.7, 1.0, 1.5, 3.0},
	Duration: 12 * time.Second,
	Seed:     1,
	Daemons:  3,
	Skew:     0.5,
}

// Workload is a named mix of requests.
type Workload struct {
	Name    string
	Classes []load.Class
}

// Workloads are those of the two users.
func Workloads() []Workload {
	return []Workload{{"authority", load.DonationClasses()}, {"divisoria", load.RentalClasses()}}
}

// engines of the experiments: speeds 1:3.
var engines = []cluster.Engine{cluster.FastEngine, cluster.SlowEngine, cluster.SlowEngine}

// Goodput prints goodput by tier, wasted prefill and first-token times for each
// workload, load and variant.
func Goodput(ctx context.Context, programs cluster.Programs, o GoodputOptions, out io.Writer) error {
	fmt.Fprintln(out, "| workload | load | variant | tier | sent | good | good % | not run | other | first token p50/p95 ms | wasted prefill, dropped or repeated % | too late % |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, w := range Workloads() {
		for _, variant := range []string{Marjoramflow, Naive} {
			if err := goodput(ctx, programs, o, w, variant, out); err != nil {
				return fmt.Errorf("%s, %s: %w", w.Name, variant, err)
			}
		}
	}
	return nil
}

// goodput measures one variant at all loads on a fresh cluster.
func goodput(ctx context.Context, programs cluster.Programs, o GoodputOptions, w Workload, variant string, out io.Writer) error {
	c, entries, err := startVariant(ctx, programs, o.Daemons, variant)
	if err != nil {
		return err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	for _, factor := range o.Loads {
		plan := &load.Plan{
			Seed:     o.Seed,
			Duration: o.Duration,
			Rate:     factor * Capacity(engines, w.Classes),
			Classes:  w.Classes,
			Service:  cluster.ModelService,
			Skew:     o.Skew,
		}
		before, err := prefill(ctx, c)
		if err != nil {
			return err
		}
		report := load.Run(ctx, plan, entries)
		after, err := prefill(ctx, c)
		if err != nil {
			return err
		}
		printGoodput(out, w.Name, factor, variant, report, after.minus(before))
	}
	return nil
}

// startVariant starts a data centre whose entries are daemons or naive schedulers.
func startVariant(ctx context.Context, programs cluster.Programs, daemons int, variant string) (*cluster.Cluster, []string, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, nil, err
	}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{{Name: "lhr-a", Region: "lahore", Engines: engines, Plains: 1}}}
	if variant == Marjoramflow {
		spec.DataCentres[0].Daemons = daemons
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, nil, err
	}
	if variant == Naive {
		entries, err := c.StartNaive(ctx, daemons)
		return c, entries, err
	}
	err = cluster.WaitUntil(ctx, time.Minute, func(ctx context.Context) error {
		_, err := c.Publish(ctx)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var entries []string
	for _, d := range c.Daemons {
		entries = append(entries, d.Callers)
	}
	return c, entries, c.WaitReady(ctx)
}

// Capacity is the number of requests per second that the engines finish with full
// batches, without prefix reuse.
func Capacity(list []cluster.Engine, classes []load.Class) float64 {
	prompt, output, weight := 0.0, 0.0, 0.0
	for _, c := range classes {
		prompt += c.Weight * (float64(c.PromptMin+c.PromptMax)/2 + float64(c.SharedPrefix))
		// The stand-in's answers are uniform up to the caller's limit.
		output += c.Weight * float64(c.OutputMin+c.OutputMax) / 2 / 2
		weight += c.Weight
	}
	total := 0.0
	for _, e := range list {
		step := e.DecodeBase + time.Duration(e.Batch)*e.DecodePer
		seconds := prompt/weight/e.Prefill + output/weight*step.Seconds()/float64(e.Batch)
		total += 1 / seconds
	}
	return total
}

// prefilled counts prompt tokens that engines processed.
type prefilled struct {
	Tokens int64
	Wasted int64
}

func (p prefilled) minus(o prefilled) prefilled {
	return prefilled{Tokens: p.Tokens - o.Tokens, Wasted: p.Wasted - o.Wasted}
}

func prefill(ctx context.Context, c *cluster.Cluster) (prefilled, error) {
	var sum prefilled
	for _, e := range c.Engines {
		var p prefilled
		if err := e.Get(ctx, "/v1/prefill", &p); err != nil {
			return sum, err
		}
		sum.Tokens += p.Tokens
		sum.Wasted += p.Wasted
	}
	return sum, nil
}

func printGoodput(out io.Writer, workload string, factor float64, variant string, report *load.Report, p prefilled) {
	tiers := report.ByTier()
	late := 0
	for _, s := range tiers {
		late += s.LatePrompt
	}
	for _, name := range []string{"gold", "silver", "bronze"} {
		s := tiers[name]
		if s == nil {
			continue
		}
		other := s.Sent - s.Outcomes[caller.Complete] - s.Outcomes[caller.NotRun]
		fmt.Fprintf(out, "| %s | %.1f | %s | %s | %d | %d | %.1f | %d | %d | %d/%d | %.1f | %.1f |\n",
			workload, factor, variant, name, s.Sent, s.Good, percent(s.Good, s.Sent), s.Outcomes[caller.NotRun], other,
			s.FirstToken.ValueAtQuantile(50)/1000, s.FirstToken.ValueAtQuantile(95)/1000,
			percent(int(p.Wasted), int(p.Tokens)), percent(late, int(p.Tokens)))
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
