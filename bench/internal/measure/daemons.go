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

// DaemonsOptions choose what is measured.
type DaemonsOptions struct {
	// Counts are the numbers of daemons in the data centre.
	Counts []int
	// Settle is the time before a measurement, Duration that of each.
	Settle, Duration time.Duration
	// Rate is the number of requests per second and daemon under load.
	Rate float64
	// Publications are timed per count.
	Publications int
	Seed         uint64
	// Targets are the numbers of targets of the owner measurement.
	Targets []int
	// Processors is GOMAXPROCS of the daemons; 0 leaves it at the machine's cores.
	Processors int
	// Profile is a directory for CPU profiles of the daemons; empty makes none.
	Profile string
}

// DefaultDaemons is what make measure runs.
var DefaultDaemons = DaemonsOptions{
	Counts:       []int{4, 8, 16, 32, 64},
	Settle:       4 * time.Second,
	Duration:     8 * time.Second,
	Rate:         20,
	Publications: 20,
	Seed:         1,
	Targets:      []int{10, 100, 500},
}

// plannedDaemons is the number of daemons per data centre at the two-year size.
const plannedDaemons = 162

// daemonsRow is what one cluster size showed; use is per daemon.
type daemonsRow struct {
	daemons    int
	idle, busy use
	// reads and writes are calls per second at the platform while idle.
	reads, writes float64
	inForce       []time.Duration
	requests      float64
	whole         float64
}

// use is the mean use of one daemon.
type use struct {
	// cpu is in percent of a core, resident in MB, bytes and messages are those sent
	// per second to other daemons.
	cpu, resident, bytes, messages float64
}

// Daemons prints the use of daemons by their number, with fitted lines.
func Daemons(ctx context.Context, programs cluster.Programs, o DaemonsOptions, out io.Writer) error {
	var rows []daemonsRow
	fmt.Fprintln(out, "| daemons | idle CPU % | resident MB | idle bytes/s | idle messages/s | reads/s | writes/s | in force p50/max ms | requests/s per daemon | whole % | busy CPU % | busy bytes/s | CPU us per request | control bytes per request |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range o.Counts {
		row, err := daemons(ctx, programs, o, n)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
		row.print(out)
		rows = append(rows, row)
	}
	fmt.Fprintln(out)
	printLines(out, rows)
	return nil
}

func daemons(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (daemonsRow, error) {
	row := daemonsRow{daemons: n}
	c, err := startDaemons(ctx, programs, o, n)
	if err != nil {
		return row, err
	}
	defer os.RemoveAll(c.Dir)
	defer c.Close()
	time.Sleep(o.Settle)
	calls, err := platformCalls(ctx, c)
	if err != nil {
		return row, err
	}
	if row.idle, err = measureUse(ctx, c, o.Duration); err != nil {
		return row, err
	}
	after, err := platformCalls(ctx, c)
	if err != nil {
		return row, err
	}
	row.reads = float64(after.Reads-calls.Reads) / o.Duration.Seconds()
	row.writes = float64(after.Writes-calls.Writes) / o.Duration.Seconds()
	if row.inForce, err = publications(ctx, c, o.Publications); err != nil {
		return row, err
	}
	if err := row.load(ctx, c, o); err != nil || o.Profile == "" {
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

// startDaemons starts one data centre with few engines, which are quick.
func startDaemons(ctx context.Context, programs cluster.Programs, o DaemonsOptions, n int) (*cluster.Cluster, error) {
	dir, err := os.MkdirTemp("", "marjoramflow-measure-")
	if err != nil {
		return nil, err
	}
	dc := cluster.DataCentre{Name: "lhr-a", Region: "lahore", Daemons: n, Engines: []cluster.Engine{quickEngine, quickEngine, quickEngine, quickEngine}, Plains: 1}
	spec := cluster.Spec{DataCentres: []cluster.DataCentre{dc}, Profile: o.Profile}
	if o.Processors > 0 {
		spec.DaemonEnvironment = []string{fmt.Sprintf("GOMAXPROCS=%d", o.Processors)}
	}
	c, err := cluster.Start(ctx, dir, programs, spec)
	if err != nil {
		return nil, err
	}
	if err := publishFirst(ctx, c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// load measures the daemons under a fixed rate of one-token requests, so that
// control work is not hidden by relayed tokens.
func (row *daemonsRow) load(ctx context.Context, c *cluster.Cluster, o DaemonsOptions) error {
	class := load.Class{Name: "question", Account: "clerks", Tier: "gold", Weight: 1, PromptMin: speedPrompt, PromptMax: speedPrompt,
		OutputMin: 1, OutputMax: 1, FirstToken: time.Minute, Total: time.Minute}
	plan := &load.Plan{Seed: o.Seed, Duration: o.Duration + 2*warmUp, Rate: o.Rate * float64(row.daemons), Classes: []load.Class{class}, Service: cluster.ModelService}
	var entries []string
	for _, d := range c.Daemons {
		entries = append(entries, d.Callers)
	}
	done := make(chan *load.Report, 1)
	go func() { done <- load.Run(ctx, plan, entries) }()
	time.Sleep(warmUp)
	var err error
	row.busy, err = measureUse(ctx, c, o.Duration)
	s := (<-done).Classes[0]
	row.requests = o.Rate
	row.whole = percent(s.Outcomes[caller.Complete], s.Sent)
	return err
}

// measureUse returns the mean use of a daemon over a time.
func measureUse(ctx context.Context, c *cluster.Cluster, duration time.Duration) (use, error) {
	before, err := snapshot(ctx, c)
	if err != nil {
		return use{}, err
	}
	started := time.Now()
	time.Sleep(duration)
	after, err := snapshot(ctx, c)
	if err != nil {
		return use{}, err
	}
	seconds, n := time.Since(started).Seconds(), float64(len(c.Daemons))
	return use{
		cpu:      100 * (after.cpu - before.cpu).Seconds() / seconds / n,
		resident: float64(after.resident) / 1e6 / n,
		bytes:    float64(after.wire-before.wire) / seconds / n,
		messages: float64(after.messages-before.messages) / seconds / n,
	}, nil
}

// totals are sums over all daemons since their start.
type totals struct {
	cpu            time.Duration
	resident       int64
	wire, messages uint64
}

func snapshot(ctx context.Context, c *cluster.Cluster) (totals, error) {
	var t totals
	for _, d := range c.Daemons {
		u, err := d.Usage()
		if err != nil {
			return t, err
		}
		m, err := d.MeshStats(ctx)
		if err != nil {
			return t, err
		}
		t.cpu += u.CPU
		t.resident += u.Resident
		t.wire += m.WireOut
		for _, k := range m.Out {
			t.messages += k.Messages
		}
	}
	return t, nil
}

// platformCounts are the calls of the stand-in platform.
type platformCounts struct{ Reads, Writes int64 }

func platformCalls(ctx context.Context, c *cluster.Cluster) (platformCounts, error) {
	var counts platformCounts
	err := c.Platform.Get(ctx, "/v1/counts", &counts)
	return counts, err
}

// publications times so many publications until all daemons have them.
func publications(ctx context.Context, c *cluster.Cluster, count int) ([]time.Duration, error) {
	var times []time.Duration
	for i := range count {
		c.Set.Tiers[2].Deadline = 20*time.Second + time.Duration(i+1)*time.Millisecond
		took, err := c.TimePublication(ctx)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	return times, nil
}

func (row *daemonsRow) print(out io.Writer) {
	perRequest := func(busy, idle float64) float64 { return (busy - idle) / row.requests }
	last := len(row.inForce) - 1
	fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f | %.1f | %.1f | %.1f | %d/%d | %.0f | %.1f | %.2f | %.0f | %.0f | %.0f |\n",
		row.daemons, row.idle.cpu, row.idle.resident, row.idle.bytes, row.idle.messages, row.reads, row.writes,
		row.inForce[last/2].Milliseconds(), row.inForce[last].Milliseconds(), row.requests, row.whole,
		row.busy.cpu, row.busy.bytes, perRequest(row.busy.cpu, row.idle.cpu)*1e4, perRequest(row.busy.bytes, row.idle.bytes))
}
