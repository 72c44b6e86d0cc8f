package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/load"
)

// DaemonsOptions holds the options of Daemons and Owners.
type DaemonsOptions struct {
	// Counts are the numbers of daemons in the data centre.
	Counts []int
	// SettleTime is the time to wait before a measurement, Duration the time of each
	// measurement.
	SettleTime, Duration time.Duration
	// Rate is the number of requests per second for each daemon under load.
	Rate float64
	// Publications is the number of publications that are timed for each count.
	Publications int
	Seed         uint64
	// Targets are the numbers of configured targets that Owners measures.
	Targets []int
	// Processors is GOMAXPROCS of the daemons; 0 leaves it at the number of the
	// machine's cores.
	Processors int
	// Profile is a directory for CPU profiles of the daemons; empty makes none.
	Profile string
}

// DefaultDaemons holds the options of make measure.
var DefaultDaemons = DaemonsOptions{
	Counts:       []int{4, 8, 16, 32, 64},
	SettleTime:   4 * time.Second,
	Duration:     8 * time.Second,
	Rate:         20,
	Publications: 20,
	Seed:         1,
	Targets:      []int{10, 100, 500},
}

// plannedDaemons is the number of daemons per data centre at the deployment size planned
// for two years ahead, to which the fitted lines are extrapolated.
const plannedDaemons = 162

// daemonsRow holds the results for one number of daemons; usage is per daemon.
type daemonsRow struct {
	daemonCount int
	idle, busy  resourceUsage
	// readRate and writeRate are calls per second to the platform, of all daemons
	// together, while idle.
	readRate, writeRate float64
	// publishTimes are the times until publications were in force, in ascending order.
	publishTimes    []time.Duration
	requestRate     float64
	completePercent float64
}

// resourceUsage is the mean resource usage of one daemon.
type resourceUsage struct {
	// cpu is in percent of a core, resident in MB; bytes and messages are those sent
	// per second to other daemons.
	cpu, resident, bytes, messages float64
}

// Daemons prints the resource usage per daemon for each number of daemons, and lines
// fitted to it.
func Daemons(ctx context.Context, programs cluster.Programs, o DaemonsOptions, out io.Writer) error {
	var rows []daemonsRow
	fmt.Fprintln(out, "| daemons | idle CPU % | resident MB | idle bytes/s | idle messages/s | reads/s | writes/s | in force p50/max ms | requests/s per daemon | whole % | busy CPU % | busy bytes/s | CPU us per request | control bytes per request |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range o.Counts {
		row, err := measureDaemonCount(ctx, programs, o, n)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
		row.writeTo(out)
		rows = append(rows, row)
	}
	fmt.Fprintln(out)
	printFittedLines(out, rows)
	return nil
}

// measureDaemonCount runs a cluster of n daemons and measures it idle, during
// publications and under load.
func measureDaemonCount(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (daemonsRow, error) {
	row := daemonsRow{daemonCount: n}
	c, err := startDaemonCluster(ctx, programs, o, n)
	if err != nil {
		return row, err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	time.Sleep(o.SettleTime)
	before, err := readPlatformCalls(ctx, c)
	if err != nil {
		return row, err
	}
	if row.idle, err = measureUsage(ctx, c, o.Duration); err != nil {
		return row, err
	}
	after, err := readPlatformCalls(ctx, c)
	if err != nil {
		return row, err
	}
	row.readRate = float64(after.Reads-before.Reads) / o.Duration.Seconds()
	row.writeRate = float64(after.Writes-before.Writes) / o.Duration.Seconds()
	if row.publishTimes, err = timePublications(ctx, c, o.Publications); err != nil {
		return row, err
	}
	if err := row.measureUnderLoad(ctx, c, o); err != nil || o.Profile == "" {
		return row, err
	}
	// Profiles are written at a graceful stop.
	for _, d := range c.Daemons {
		if err := d.Stop(time.Minute); err != nil {
			return row, err
		}
	}
	return row, nil
}

// startDaemonCluster starts one data centre with n daemons and four fast engines and
// publishes its configuration.
func startDaemonCluster(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (*cluster.Cluster, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, err
	}
	dc := cluster.DataCentre{Name: "lhr-a", Region: "lahore", Daemons: n, Engines: []cluster.Engine{quickEngine, quickEngine, quickEngine, quickEngine}, PlainServers: 1}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{dc}, Profile: o.Profile}
	if o.Processors > 0 {
		spec.DaemonEnvironment = []string{fmt.Sprintf("GOMAXPROCS=%d", o.Processors)}
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, err
	}
	if err := publishAndWaitReady(ctx, c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// measureUnderLoad measures the daemons under a fixed rate of requests. Answers have
// one token, so that the cost of relaying tokens does not hide that of control work.
func (row *daemonsRow) measureUnderLoad(ctx context.Context, c *cluster.Cluster, o DaemonsOptions) error {
	class := load.Class{Name: "question", Account: "clerks", Tier: "gold", Weight: 1, PromptMin: promptTokens, PromptMax: promptTokens,
		OutputMin: 1, OutputMax: 1, FirstTokenLimit: time.Minute, TotalLimit: time.Minute}
	plan := &load.Plan{Seed: o.Seed, Duration: o.Duration + 2*warmUp, Rate: o.Rate * float64(row.daemonCount), Classes: []load.Class{class}, Service: cluster.ModelService}
	var entries []string
	for _, d := range c.Daemons {
		entries = append(entries, d.CallerAddress)
	}
	done := make(chan *load.Report, 1)
	go func() { done <- load.Run(ctx, plan, entries) }()
	time.Sleep(warmUp)
	var err error
	row.busy, err = measureUsage(ctx, c, o.Duration)
	s := (<-done).Classes[0]
	row.requestRate = o.Rate
	row.completePercent = percent(s.Outcomes[caller.Complete], s.Sent)
	return err
}

// measureUsage returns the mean resource usage of a daemon over the duration.
func measureUsage(ctx context.Context, c *cluster.Cluster, duration time.Duration) (resourceUsage, error) {
	before, err := readDaemonTotals(ctx, c)
	if err != nil {
		return resourceUsage{}, err
	}
	started := time.Now()
	time.Sleep(duration)
	after, err := readDaemonTotals(ctx, c)
	if err != nil {
		return resourceUsage{}, err
	}
	seconds, n := time.Since(started).Seconds(), float64(len(c.Daemons))
	return resourceUsage{
		cpu:      100 * (after.cpu - before.cpu).Seconds() / seconds / n,
		resident: float64(after.resident) / 1e6 / n,
		bytes:    float64(after.wireBytes-before.wireBytes) / seconds / n,
		messages: float64(after.messages-before.messages) / seconds / n,
	}, nil
}

// daemonTotals are sums over all daemons since their start.
type daemonTotals struct {
	cpu                 time.Duration
	resident            int64
	wireBytes, messages uint64
}

func readDaemonTotals(ctx context.Context, c *cluster.Cluster) (daemonTotals, error) {
	var t daemonTotals
	for _, d := range c.Daemons {
		u, err := d.Usage()
		if err != nil {
			return t, err
		}
		mesh, err := d.MeshStats(ctx)
		if err != nil {
			return t, err
		}
		t.cpu += u.CPU
		t.resident += u.Resident
		t.wireBytes += mesh.WireOut
		for _, kind := range mesh.Out {
			t.messages += kind.Messages
		}
	}
	return t, nil
}

// platformCalls are the calls that the stand-in platform has served.
type platformCalls struct{ Reads, Writes int64 }

func readPlatformCalls(ctx context.Context, c *cluster.Cluster) (platformCalls, error) {
	var counts platformCalls
	err := c.Platform.Get(ctx, "/v1/counts", &counts)
	return counts, err
}

// timePublications publishes count times and returns, in ascending order, the times
// until the publications were in force on all daemons.
func timePublications(ctx context.Context, c *cluster.Cluster, count int) ([]time.Duration, error) {
	var times []time.Duration
	for i := range count {
		// Every publication changes the set.
		c.Set.Tiers[2].Deadline = 20*time.Second + time.Duration(i+1)*time.Millisecond
		inForce, err := c.TimePublication(ctx)
		if err != nil {
			return nil, err
		}
		times = append(times, inForce)
	}
	slices.Sort(times)
	return times, nil
}

func (row *daemonsRow) writeTo(out io.Writer) {
	perRequest := func(busy, idle float64) float64 { return (busy - idle) / row.requestRate }
	last := len(row.publishTimes) - 1
	fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f | %.1f | %.1f | %.1f | %d/%d | %.0f | %.1f | %.2f | %.0f | %.0f | %.0f |\n",
		row.daemonCount, row.idle.cpu, row.idle.resident, row.idle.bytes, row.idle.messages, row.readRate, row.writeRate,
		row.publishTimes[last/2].Milliseconds(), row.publishTimes[last].Milliseconds(), row.requestRate, row.completePercent,
		row.busy.cpu, row.busy.bytes, perRequest(row.busy.cpu, row.idle.cpu)*1e4, perRequest(row.busy.bytes, row.idle.bytes))
}
