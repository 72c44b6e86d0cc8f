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

// Direct is the variant without a scheduler: callers send to the engines.
const Direct = "direct"

// SpeedOptions holds the options of Speed.
type SpeedOptions struct {
	// Duration is the time of each load.
	Duration time.Duration
	// Engines is the number of stand-in engines.
	Engines int
	// Streams is the number of streams that are open at once at full load.
	Streams int
	// Rate is the number of tokens per second at half load.
	Rate float64
	// OpenStreams is the number of almost idle streams whose memory is measured.
	OpenStreams int
	Seed        uint64
	Variants    []string
	// Profile is a directory for a CPU profile of the daemon; empty makes none.
	Profile string
}

// DefaultSpeed holds the options of make measure. Times are measured at half load,
// which is half of the goal of 10,000 tokens/s on one core.
var DefaultSpeed = SpeedOptions{
	Duration:    6 * time.Second,
	Engines:     4,
	Streams:     256,
	Rate:        5000,
	OpenStreams: 800,
	Seed:        1,
	Variants:    []string{Direct, Naive, Marjoramflow},
}

// quickEngine decodes a token of every stream each 5 ms and takes almost no time for
// prompts.
var quickEngine = cluster.Engine{
	Hardware: "gen2", MaxBatch: 256, KVTokens: 1 << 22, PrefillTokensPerSecond: 1e7,
	DecodeBase: 5 * time.Millisecond, DecodePerSequence: time.Microsecond, Stamp: true,
}

const (
	// fullLoadTokens is max_tokens at full load, halfLoadTokens that at half load:
	// shorter answers give more first tokens, so that there are enough of them for
	// the 99th percentile.
	fullLoadTokens = 200
	halfLoadTokens = 40
	promptTokens   = 40
	// warmUp is the time in which connections are opened and targets probed.
	warmUp = 2 * time.Second
)

// halfLoadMeanTokens is the mean length of the answers at half load: the stand-in's
// lengths are uniform from 1 to the caller's max_tokens.
const halfLoadMeanTokens = float64(halfLoadTokens+1) / 2

// speedRun is one variant with its running cluster.
type speedRun struct {
	cluster *cluster.Cluster
	variant string
	// scheduler is the process of the scheduler; nil for the variant Direct.
	scheduler *cluster.Process
	entries   []string
	service   string
	options   SpeedOptions
}

// Speed prints, for each variant, the times that it adds and its CPU and memory costs.
func Speed(ctx context.Context, programs cluster.Programs, o SpeedOptions, out io.Writer) error {
	fmt.Fprintf(out, "%d engines; half load is %.0f tokens/s; the scheduler runs with GOMAXPROCS=1.\n\n", o.Engines, o.Rate)
	fmt.Fprintln(out, "| variant | first token on the way p50/p99 us | token on the way p50/p99 us | gap p50/p99 us | us CPU per token | requests/s, one-token answers | us CPU per request | tokens/s at full load | tokens/s per core | engines' cores | caller's cores | bytes per open stream |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, variant := range o.Variants {
		if err := measureSpeed(ctx, programs, o, variant, out); err != nil {
			return fmt.Errorf("%s: %w", variant, err)
		}
	}
	return nil
}

func measureSpeed(ctx context.Context, programs cluster.Programs, o SpeedOptions, variant string, out io.Writer) error {
	r, err := startSpeedRun(ctx, programs, o, variant)
	if err != nil {
		return err
	}
	defer os.RemoveAll(r.cluster.Dir)
	defer r.cluster.Close()
	if _, err := r.runHalfLoad(ctx, warmUp); err != nil {
		return err
	}
	half, err := r.runHalfLoad(ctx, o.Duration)
	if err != nil {
		return err
	}
	full, err := r.runFullLoad(ctx, fullLoadTokens)
	if err != nil {
		return err
	}
	short, err := r.runFullLoad(ctx, 1)
	if err != nil {
		return err
	}
	memory, err := r.measureStreamMemory(ctx)
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
		full.cpuPerToken(), short.requestRate(), short.cpuPerRequest(), full.tokenRate(), full.tokensPerCore(), full.engineCores, full.callerCores, memory)
	return nil
}

func startSpeedRun(ctx context.Context, programs cluster.Programs, o SpeedOptions, variant string) (*speedRun, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, err
	}
	dc := cluster.DataCentre{Name: "lhr-a", Region: "lahore", PlainServers: 1}
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
	return r, r.resolveEntries(ctx)
}

// resolveEntries starts what the variant needs and sets the addresses to which callers
// send, the service and the scheduler's process.
func (r *speedRun) resolveEntries(ctx context.Context) error {
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
			r.scheduler = r.cluster.NaiveServers[0].Process
		}
	default:
		err = publishAndWaitReady(ctx, r.cluster)
		r.scheduler = r.cluster.Daemons[0].Process
		r.entries = []string{r.cluster.Daemons[0].CallerAddress}
	}
	return err
}

// publishAndWaitReady publishes the set and waits until the daemons are ready for
// callers. It retries for up to a minute, since the administration API does not answer
// right after the start.
func publishAndWaitReady(ctx context.Context, c *cluster.Cluster) error {
	err := cluster.WaitUntil(ctx, time.Minute, func(ctx context.Context) error {
		_, err := c.Publish(ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// runHalfLoad sends an open-loop load at SpeedOptions.Rate and checks that all answers
// are complete.
func (r *speedRun) runHalfLoad(ctx context.Context, duration time.Duration) (*load.Report, error) {
	class := load.Class{Name: "question", Account: "clerks", Tier: "gold", Weight: 1, PromptMin: promptTokens, PromptMax: promptTokens,
		OutputMin: halfLoadTokens, OutputMax: halfLoadTokens, FirstTokenLimit: time.Minute, TotalLimit: time.Minute}
	plan := &load.Plan{Seed: r.options.Seed, Duration: duration, Rate: r.options.Rate / halfLoadMeanTokens, Classes: []load.Class{class}, Service: r.service}
	report := load.Run(ctx, plan, r.entries)
	if s := report.Classes[0]; s.Outcomes[caller.Complete] != s.Sent {
		return nil, fmt.Errorf("not all answers at half load were complete: outcomes %v of %d requests", s.Outcomes, s.Sent)
	}
	return report, nil
}

// loadCost holds the work done and the CPU used at full load.
type loadCost struct {
	tokens, requests int64
	elapsed          time.Duration
	// schedulerCPU is the CPU time of the scheduler.
	schedulerCPU time.Duration
	// engineCores and callerCores are the mean numbers of cores in use.
	engineCores, callerCores float64
}

// cpuPerToken and cpuPerRequest are in microseconds of the scheduler's CPU time.
func (c loadCost) cpuPerToken() float64 {
	return float64(c.schedulerCPU.Microseconds()) / float64(c.tokens)
}
func (c loadCost) cpuPerRequest() float64 {
	return float64(c.schedulerCPU.Microseconds()) / float64(c.requests)
}
func (c loadCost) tokenRate() float64   { return float64(c.tokens) / c.elapsed.Seconds() }
func (c loadCost) requestRate() float64 { return float64(c.requests) / c.elapsed.Seconds() }

// tokensPerCore returns the tokens per CPU second of the scheduler, or 0 without one.
func (c loadCost) tokensPerCore() float64 {
	if c.schedulerCPU == 0 {
		return 0
	}
	return float64(c.tokens) / c.schedulerCPU.Seconds()
}

// runFullLoad keeps SpeedOptions.Streams streams open for the time of the measurement
// and returns the cost.
func (r *speedRun) runFullLoad(ctx context.Context, maxTokens int) (loadCost, error) {
	before, err := r.readCPUTimes()
	if err != nil {
		return loadCost{}, err
	}
	started := time.Now()
	tokens, requests, failure := r.runClosedLoop(ctx, maxTokens)
	elapsed := time.Since(started)
	after, err := r.readCPUTimes()
	if err != nil {
		return loadCost{}, err
	}
	if failure != "" {
		return loadCost{}, fmt.Errorf("at full load: %s", failure)
	}
	return loadCost{
		tokens: tokens, requests: requests, elapsed: elapsed, schedulerCPU: after.scheduler - before.scheduler,
		engineCores: (after.engines - before.engines).Seconds() / elapsed.Seconds(),
		callerCores: (after.callers - before.callers).Seconds() / elapsed.Seconds(),
	}, nil
}

// runClosedLoop runs closed-loop callers and returns the tokens and requests of complete
// answers. failure describes the first other result; it is empty if there was none.
func (r *speedRun) runClosedLoop(ctx context.Context, maxTokens int) (tokens, requests int64, failure string) {
	var group sync.WaitGroup
	var tokenCount, requestCount atomic.Int64
	var firstFailure atomic.Value
	end := time.Now().Add(r.options.Duration)
	client := caller.New(cluster.CallerToken("clerks"))
	for i := range r.options.Streams {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prompt := fmt.Sprintf("caller %d asks question %d %s", i, n, strings.Repeat("x ", promptTokens))
				result := client.Chat(ctx, r.entries[i%len(r.entries)], caller.Chat{Service: r.service, Prompt: prompt, MaxTokens: maxTokens})
				if result.Outcome != caller.Complete {
					firstFailure.CompareAndSwap(nil, fmt.Sprintf("%+v", result))
					return
				}
				tokenCount.Add(int64(result.Tokens))
				requestCount.Add(1)
			}
		})
	}
	group.Wait()
	failure, _ = firstFailure.Load().(string)
	return tokenCount.Load(), requestCount.Load(), failure
}

// cpuTimes holds CPU times since the start of the processes; callers is this program.
type cpuTimes struct {
	scheduler, engines, callers time.Duration
}

func (r *speedRun) readCPUTimes() (cpuTimes, error) {
	var u cpuTimes
	if r.scheduler != nil {
		usage, err := r.scheduler.Usage()
		if err != nil {
			return u, err
		}
		u.scheduler = usage.CPU
	}
	for _, e := range r.cluster.Engines {
		usage, err := e.Usage()
		if err != nil {
			return u, err
		}
		u.engines += usage.CPU
	}
	self, err := cluster.SelfUsage()
	u.callers = self.CPU
	return u, err
}

// measureStreamMemory returns the resident bytes that each open stream adds to the
// scheduler, or 0 without one. It slows the engines, so that the streams stay open
// and almost idle, and leaves them slow.
func (r *speedRun) measureStreamMemory(ctx context.Context) (int64, error) {
	if r.scheduler == nil {
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
	before, err := r.scheduler.Usage()
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
	after, err := r.scheduler.Usage()
	cancel()
	group.Wait()
	return (after.Resident - before.Resident) / int64(r.options.OpenStreams), err
}
