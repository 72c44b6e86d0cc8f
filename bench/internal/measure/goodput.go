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

// Variants of the scheduler; see also Direct.
const (
	Marjoramflow = "marjoramflow"
	Naive        = "naive"
)

// GoodputOptions holds the options of Goodput.
type GoodputOptions struct {
	// Loads are the request rates as factors of Capacity.
	Loads    []float64
	Duration time.Duration
	Seed     uint64
	Daemons  int
	// Skew is the share of the requests that the load balancer sends to one daemon.
	Skew float64
}

// DefaultGoodput holds the options of make measure.
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

// Workloads returns the request mixes of the two users of marjoramflow.
func Workloads() []Workload {
	return []Workload{{"authority", load.DonationClasses()}, {"divisoria", load.RentalClasses()}}
}

// goodputEngines are one fast engine and two slow ones with a third of its speed.
var goodputEngines = []cluster.Engine{cluster.FastEngine, cluster.SlowEngine, cluster.SlowEngine}

// Goodput prints goodput by tier, wasted prefill and first-token times for each
// workload, load and variant.
func Goodput(ctx context.Context, programs cluster.Programs, o GoodputOptions, out io.Writer) error {
	fmt.Fprintln(out, "| workload | load | variant | tier | sent | good | good % | not run | other | first token p50/p95 ms | wasted prefill, dropped or repeated % | too late % |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, w := range Workloads() {
		for _, variant := range []string{Marjoramflow, Naive} {
			if err := measureGoodput(ctx, programs, o, w, variant, out); err != nil {
				return fmt.Errorf("%s, %s: %w", w.Name, variant, err)
			}
		}
	}
	return nil
}

// measureGoodput measures one variant at all loads on a new cluster.
func measureGoodput(ctx context.Context, programs cluster.Programs, o GoodputOptions, w Workload, variant string, out io.Writer) error {
	c, entries, err := startGoodputCluster(ctx, programs, o.Daemons, variant)
	if err != nil {
		return err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	for _, factor := range o.Loads {
		plan := &load.Plan{
			Seed:     o.Seed,
			Duration: o.Duration,
			Rate:     factor * Capacity(goodputEngines, w.Classes),
			Classes:  w.Classes,
			Service:  cluster.ModelService,
			Skew:     o.Skew,
		}
		before, err := readPrefillCounts(ctx, c)
		if err != nil {
			return err
		}
		report := load.Run(ctx, plan, entries)
		after, err := readPrefillCounts(ctx, c)
		if err != nil {
			return err
		}
		printGoodputRows(out, w.Name, factor, variant, report, after.sub(before))
	}
	return nil
}

// startGoodputCluster starts a data centre with daemons or naive schedulers, publishes
// the configuration of the daemons, and returns the addresses.
func startGoodputCluster(ctx context.Context, programs cluster.Programs, daemons int, variant string) (*cluster.Cluster, []string, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, nil, err
	}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{{Name: "lhr-a", Region: "lahore", Engines: goodputEngines, PlainServers: 1}}}
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
		entries = append(entries, d.CallerAddress)
	}
	return c, entries, c.WaitReady(ctx)
}

// Capacity returns the number of requests per second that the engines complete with
// full batches and without prefix reuse.
func Capacity(engines []cluster.Engine, classes []load.Class) float64 {
	prompt, output, weight := 0.0, 0.0, 0.0
	for _, c := range classes {
		prompt += c.Weight * (float64(c.PromptMin+c.PromptMax)/2 + float64(c.SharedPrefixTokens))
		// The lengths of the stand-in's answers are uniform up to the caller's
		// max_tokens.
		output += c.Weight * float64(c.OutputMin+c.OutputMax) / 2 / 2
		weight += c.Weight
	}
	total := 0.0
	for _, e := range engines {
		step := e.DecodeBase + time.Duration(e.MaxBatch)*e.DecodePerSequence
		seconds := prompt/weight/e.PrefillTokensPerSecond + output/weight*step.Seconds()/float64(e.MaxBatch)
		total += 1 / seconds
	}
	return total
}

// prefillCounts holds the prompt tokens that engines processed and those wasted; see
// engine.Server.PrefillTokens.
type prefillCounts struct {
	Tokens int64
	Wasted int64
}

func (p prefillCounts) sub(other prefillCounts) prefillCounts {
	return prefillCounts{Tokens: p.Tokens - other.Tokens, Wasted: p.Wasted - other.Wasted}
}

// readPrefillCounts returns the sums over all engines since their start.
func readPrefillCounts(ctx context.Context, c *cluster.Cluster) (prefillCounts, error) {
	var sum prefillCounts
	for _, e := range c.Engines {
		var p prefillCounts
		if err := e.Get(ctx, "/v1/prefill", &p); err != nil {
			return sum, err
		}
		sum.Tokens += p.Tokens
		sum.Wasted += p.Wasted
	}
	return sum, nil
}

func printGoodputRows(out io.Writer, workload string, factor float64, variant string, report *load.Report, p prefillCounts) {
	tiers := report.ByTier()
	latePromptTokens := 0
	for _, s := range tiers {
		latePromptTokens += s.LatePromptTokens
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
			percent(int(p.Wasted), int(p.Tokens)), percent(latePromptTokens, int(p.Tokens)))
	}
}

func percent(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}
