package compare

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// unloaded is the load at which a tier shows its goodput without contention.
const unloaded = 0.2

var loads = []float64{0.7, 1.0, 1.5, 3.0}

// parallelRuns leaves cores of a shared machine to others.
const parallelRuns = 4

type run struct {
	setup Setup
	way   Variant
}

func runAll(t *testing.T, rate float64, runs []run) []Result {
	t.Helper()
	results := make([]Result, len(runs))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, r := range runs {
		group.Go(func() error {
			results[i] = Run(r.setup, r.way, rate*r.setup.Load)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	return results
}

// Guards against a scheduler that misses its stated aims under overload, with
// stale reports, engine speeds 1:3 and lengths a hundredfold apart: goodput of
// the top tier, R2, wasted prefill and total goodput, against the naive version
// and the other pickers on the same recorded input.
func TestAimsAgainstNaiveAndPickers(t *testing.T) {
	t.Run("one group", func(t *testing.T) { checkAims(t, 1, 1, Variants(), loads) })
	t.Run("three groups", func(t *testing.T) { checkAims(t, 3, 1, oursAndNaive(), []float64{1.0, 3.0}) })
}

// Guards against aims that are met by the luck of one recorded input.
func TestAimsHoldForOtherSeeds(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed+2), func(t *testing.T) { checkAims(t, 1, seed+2, oursAndNaive(), []float64{3.0}) })
	}
}

// capacityOf takes the capacity of one group for each: groups share nothing.
func capacityOf(groups int) float64 {
	return float64(groups) * Capacity(StandardSetup(1, 1))
}

func oursAndNaive() []Variant {
	return []Variant{Variants()[0], Naive()}
}

func checkAims(t *testing.T, groups int, seed uint64, ways []Variant, loads []float64) {
	setup := StandardSetup(groups, unloaded)
	setup.Seed = seed
	runs := []run{{setup, ways[0]}}
	for _, load := range loads {
		setup.Load = load
		for _, way := range ways {
			runs = append(runs, run{setup, way})
		}
	}
	results := runAll(t, capacityOf(groups), runs)
	t.Logf("%d group(s), seed %d\n%s", groups, seed, table(t, results))
	for i := 1; i < len(results); i += len(ways) {
		atLoad := results[i : i+len(ways)]
		checkLoad(t, results[0], atLoad[0], atLoad[len(ways)-1], atLoad)
	}
}

func checkLoad(t *testing.T, idle, ours, naive Result, all []Result) {
	t.Helper()
	check := func(ok bool, format string, args ...any) {
		t.Helper()
		if !ok {
			t.Errorf("load %.1f: %s", ours.Load, fmt.Sprintf(format, args...))
		}
	}
	check(ours.Tiers[0].OnTimeShare() >= 0.99*idle.Tiers[0].OnTimeShare(),
		"top tier keeps %.2f%% of %.2f%%", 100*ours.Tiers[0].OnTimeShare(), 100*idle.Tiers[0].OnTimeShare())
	check(ours.Violations == 0, "%d violations of R2", ours.Violations)
	check(ours.WastedShare() < 0.02, "%.2f%% of the prefill is wasted", 100*ours.WastedShare())
	check(ours.WastedShare() < naive.WastedShare()/10,
		"%.2f%% of the prefill is wasted, naive %.2f%%", 100*ours.WastedShare(), 100*naive.WastedShare())
	requests, tokens := 0.0, 0.0
	for _, r := range all {
		requests = max(requests, r.Goodput())
		tokens = max(tokens, r.GoodTokens())
	}
	check(ours.Goodput() >= 0.9*requests, "%.1f of %.1f requests/s", ours.Goodput(), requests)
	check(ours.GoodTokens() >= 0.9*tokens, "%.0f of %.0f tokens/s", ours.GoodTokens(), tokens)
}

func table(t *testing.T, results []Result) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, Table(&text, results))
	return text.String()
}

// Guards against results that depend on map order or time: figures in the
// documentation must be reproducible.
func TestRunsAreReproducible(t *testing.T) {
	setup := StandardSetup(2, 1.5)
	setup.Length, setup.Warmup = setup.Length/3, 0
	setup.Deadlines = []time.Duration{20 * time.Second, 20 * time.Second, 20 * time.Second}
	a := Run(setup, Variants()[0], 120)
	b := Run(setup, Variants()[0], 120)
	assert.DeepEqual(t, a, b)
}

// Guards against an engine model without the effects that the comparison is
// about: batching, speed by generation, prefix reuse and KV overflow.
func TestEngineModel(t *testing.T) {
	slow, fast := StandardSetup(1, 1), StandardSetup(1, 1)
	slow.Speeds, fast.Speeds = []float64{1}, []float64{3}
	a, b := Capacity(slow), Capacity(fast)
	assert.Assert(t, math.Abs(b/a-3) < 0.3, "capacity %.1f and %.1f", a, b)
	narrow := slow
	narrow.Slots = 1
	assert.Assert(t, Capacity(narrow) < a/4, "batching brings nothing")
	tight := StandardSetup(1, 1)
	tight.KVTokens = 6000
	r := Run(tight, Naive(), 8)
	assert.Assert(t, r.Wasted > 0, "no eviction with a small KV cache")
}
