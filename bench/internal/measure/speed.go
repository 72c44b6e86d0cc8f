package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/load"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/object"
)

// Direct is the path without a scheduler.
const Direct = "direct"

// SpeedOptions choose what is measured.
type SpeedOptions struct {
	// Duration is the time of each load.
	Duration time.Duration
	// Engines is the number of stand-in engines.
	Engines int
	// Streams is the number of streams that are open at once at full load.
	Streams int
	// Rate is the number of tokens per second at half load.
	Rate float64
	// OpenStreams is the number of silent streams whose memory is measured.
	OpenStreams int
	Seed        uint64
	Variants    []string
	// Profile is a directory for a CPU profile of the daemon; empty makes none.
	Profile string
}

// DefaultSpeed is what make measure runs. Half of the aim of 10,000 tokens/s on
// one core is the load at which times are measured.
var DefaultSpeed = SpeedOptions{
	Duration:    6 * time.Second,
	Engines:     4,
	Streams:     256,
	Rate:        5000,
	OpenStreams: 800,
	Seed:        1,
	Variants:    []string{Direct, Naive, Marjoramflow},
}

// The stand-in engines of this measurement decode a token of every stream each
// 5 ms and take almost no time for prompts.
var quickEngine = cluster.Engine{
	Hardware: "gen2", Batch: 256, KVTokens: 1 << 22, Prefill: 1e7,
	DecodeBase: 5 * time.Millisecond, DecodePer: time.Microsecond, Stamp: true,
}

const (
	// speedTokens bounds the answers at full load, halfTokens those at half load:
	// shorter answers give more first tokens, so that the 99th percentile stands
	// on enough of them.
	speedTokens = 200
	halfTokens  = 40
	speedPrompt = 40
	// warmUp is the time in which connections are opened and targets probed.
	warmUp = 2 * time.Second
)

// halfMean is the mean length of the answers at half load: the stand-in draws it
// uniformly up to the caller's limit.
const halfMean = float64(halfTokens+1) / 2

// speedRun is a running variant.
type speedRun struct {
	cluster *cluster.Cluster
	variant string
	// process is the scheduler; nil on the direct path.
	process *cluster.Process
	entries []string
	service string
	options SpeedOptions
}

// Speed prints added times and costs of the variants.
func Speed(ctx context.Context, programs cluster.Programs, o SpeedOptions, out io.Writer) error {
	fmt.Fprintf(out, "%d engines; half load is %.0f tokens/s; the scheduler runs with GOMAXPROCS=1.\n\n", o.Engines, o.Rate)
	fmt.Fprintln(out, "| variant | first token on the way p50/p99 us | token on the way p50/p99 us | gap p50/p99 us | us CPU per token | requests/s, one-token answers | us CPU per request | tokens/s at full load | tokens/s per core | engines' cores | caller's cores | bytes per open stream |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, variant := range o.Variants {
		if err := speed(ctx, programs, o, variant, out); err != nil {
			return fmt.Errorf("%s: %w", variant, err)
		}
	}
	return nil
}

func speed(ctx context.Context, programs cluster.Programs, o SpeedOptions, variant string, out io.Writer) error {
	r, err := startSpeed(ctx, programs, o, variant)
	if err != nil {
		return err
	}
	defer os.RemoveAll(r.cluster.Dir)
	defer r.cluster.Close()
	if _, err := r.half(ctx, warmUp); err != nil {
		return err
	}
	half, err := r.half(ctx, o.Duration)
	if err != nil {
		return err
	}
	full, err := r.full(ctx, speedTokens)
	if err != nil {
		return err
	}
	short, err := r.full(ctx, 1)
	if err != nil {
		return err
	}
	memory, err := r.memory(ctx)
	if err != nil {
		return err
	}
	for _, d := range r.cluster.Daemons {
		// The profile is written at a graceful stop.
		if err := d.Stop(time.Minute); err != nil {
			return err
		}
	}
	s := half.Classes[0]
	fmt.Fprintf(out, "| %s | %d/%d | %d/%d | %d/%d | %.1f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %d |\n", variant,
		s.FirstTokenTransit.ValueAtQuantile(50), s.FirstTokenTransit.ValueAtQuantile(99), s.Transit.ValueAtQuantile(50), s.Transit.ValueAtQuantile(99),
		s.Gaps.ValueAtQuantile(50), s.Gaps.ValueAtQuantile(99),
		full.perToken(), short.requestRate(), short.perRequest(), full.tokenRate(), full.perCore(), full.engines, full.callers, memory)
	return nil
}

func startSpeed(ctx context.Context, programs cluster.Programs, o SpeedOptions, variant string) (*speedRun, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, err
	}
	dc := cluster.DataCentre{Name: "lhr-a", Region: "lahore", Plains: 1}
	for range o.Engines {
		dc.Engines = append(dc.Engines, quickEngine)
	}
	if variant == Marjoramflow {
		dc.Daemons = 1
	}
	spec := cluster.Spec{
		DataCentres:       []cluster.DataCentre{dc},
		Tiers:             []object.Tier{{Name: "gold", FirstToken: 10 * time.Second, Deadline: 10 * time.Minute}},
		Accounts:          []object.ClientAccount{{Name: "clerks", Tier: "gold"}},
		Profile:           o.Profile,
		DaemonEnvironment: []string{"GOMAXPROCS=1"},
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, err
	}
	r := &speedRun{cluster: c, variant: variant, options: o, service: cluster.ModelService}
	return r, r.open(ctx)
}

// open finds the addresses of the variant.
func (r *speedRun) open(ctx context.Context) error {
	var err error
	switch r.variant {
	case Direct:
		r.service = cluster.ModelName
		for _, e := range r.cluster.Engines {
			r.entries = append(r.entries, e.Address)
		}
	case Naive:
		r.entries, err = r.cluster.StartNaive(ctx, 1)
		if err == nil {
			r.process = r.cluster.Naive[0].Process
		}
	default:
		err = publishFirst(ctx, r.cluster)
		r.process = r.cluster.Daemons[0].Process
		r.entries = []string{r.cluster.Daemons[0].Callers}
	}
	return err
}

// publishFirst waits for the administration API and puts the set in force.
func publishFirst(ctx context.Context, c *cluster.Cluster) error {
	err := cluster.WaitUntil(ctx, time.Minute, func(ctx context.Context) error {
		_, err := c.Publish(ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// half sends an open-loop load and checks that all answers are whole.
func (r *speedRun) half(ctx context.Context, duration time.Duration) (*load.Report, error) {
	class := load.Class{Name: "question", Account: "clerks", Tier: "gold", Weight: 1, PromptMin: speedPrompt, PromptMax: speedPrompt,
		OutputMin: halfTokens, OutputMax: halfTokens, FirstToken: time.Minute, Total: time.Minute}
	plan := &load.Plan{Seed: r.options.Seed, Duration: duration, Rate: r.options.Rate / halfMean, Classes: []load.Class{class}, Service: r.service}
	report := load.Run(ctx, plan, r.entries)
	if s := report.Classes[0]; s.Outcomes[caller.Complete] != s.Sent {
		return nil, fmt.Errorf("%v of %d requests at half load", s.Outcomes, s.Sent)
	}
	return report, nil
}

// cost is what a full load used.
type cost struct {
	tokens, requests int64
	elapsed          time.Duration
	// cpu is that of the scheduler.
	cpu time.Duration
	// engines and callers are cores in use.
	engines, callers float64
}

func (c cost) perToken() float64    { return float64(c.cpu.Microseconds()) / float64(c.tokens) }
func (c cost) perRequest() float64  { return float64(c.cpu.Microseconds()) / float64(c.requests) }
func (c cost) tokenRate() float64   { return float64(c.tokens) / c.elapsed.Seconds() }
func (c cost) requestRate() float64 { return float64(c.requests) / c.elapsed.Seconds() }

// perCore is the tokens per CPU second of the scheduler; 0 without one.
func (c cost) perCore() float64 {
	if c.cpu == 0 {
		return 0
	}
	return float64(c.tokens) / c.cpu.Seconds()
}

// full keeps so many streams open for the time of the measurement.
func (r *speedRun) full(ctx context.Context, maxTokens int) (cost, error) {
	before, err := r.usage()
	if err != nil {
		return cost{}, err
	}
	started := time.Now()
	tokens, requests, failed := r.keepBusy(ctx, maxTokens)
	elapsed := time.Since(started)
	after, err := r.usage()
	if err != nil {
		return cost{}, err
	}
	if failed != "" {
		return cost{}, fmt.Errorf("at full load: %s", failed)
	}
	return cost{
		tokens: tokens, requests: requests, elapsed: elapsed, cpu: after.scheduler - before.scheduler,
		engines: (after.engines - before.engines).Seconds() / elapsed.Seconds(),
		callers: (after.callers - before.callers).Seconds() / elapsed.Seconds(),
	}, nil
}

// keepBusy runs closed-loop callers; it returns the first failure.
func (r *speedRun) keepBusy(ctx context.Context, maxTokens int) (tokens, requests int64, failed string) {
	var group sync.WaitGroup
	var tokenCount, requestCount atomic.Int64
	var failure atomic.Value
	end := time.Now().Add(r.options.Duration)
	client := caller.New(cluster.CallerToken("clerks"))
	for i := range r.options.Streams {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prompt := fmt.Sprintf("caller %d asks question %d %s", i, n, strings.Repeat("x ", speedPrompt))
				result := client.Chat(ctx, r.entries[i%len(r.entries)], caller.Chat{Service: r.service, Prompt: prompt, MaxTokens: maxTokens})
				if result.Outcome != caller.Complete {
					failure.CompareAndSwap(nil, fmt.Sprintf("%+v", result))
					return
				}
				tokenCount.Add(int64(result.Tokens))
				requestCount.Add(1)
			}
		})
	}
	group.Wait()
	failed, _ = failure.Load().(string)
	return tokenCount.Load(), requestCount.Load(), failed
}

// usages are CPU times since the start of the processes.
type usages struct {
	scheduler, engines, callers time.Duration
}

func (r *speedRun) usage() (usages, error) {
	var u usages
	if r.process != nil {
		own, err := r.process.Usage()
		if err != nil {
			return u, err
		}
		u.scheduler = own.CPU
	}
	for _, e := range r.cluster.Engines {
		one, err := e.Usage()
		if err != nil {
			return u, err
		}
		u.engines += one.CPU
	}
	self, err := cluster.SelfUsage()
	u.callers = self.CPU
	return u, err
}

// memory returns the resident bytes that each open stream adds to the scheduler.
// The engines are slowed so that the streams stay open and almost silent.
func (r *speedRun) memory(ctx context.Context) (int64, error) {
	if r.process == nil {
		return 0, nil
	}
	const slowness = 200
	for _, e := range r.cluster.Engines {
		if err := e.SetFaults(ctx, faults.Switches{Slow: slowness}); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	before, err := r.process.Usage()
	if err != nil {
		return 0, err
	}
	var group sync.WaitGroup
	client := caller.New(cluster.CallerToken("clerks"))
	for i := range r.options.OpenStreams {
		group.Go(func() {
			client.Chat(ctx, r.entries[i%len(r.entries)], caller.Chat{Service: r.service, Prompt: fmt.Sprintf("stream %d", i), MaxTokens: 2000})
		})
	}
	time.Sleep(r.options.Duration * 3 / 4)
	after, err := r.process.Usage()
	cancel()
	group.Wait()
	return (after.Resident - before.Resident) / int64(r.options.OpenStreams), err
}
