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

// unloadedLoad is the load at which the goodput of a tier is measured without
// contention.
const unloadedLoad = 0.2

var loads = []float64{0.7, 1.0, 1.5, 3.0}

// parallelRuns bounds the concurrent runs, so that other processes of a shared
// machine get cores.
const parallelRuns = 4

type runSpec struct {
	setup   Setup
	variant Variant
}

func runAll(t *testing.T, rate float64, runs []runSpec) []Result {
	t.Helper()
	results := make([]Result, len(runs))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, r := range runs {
		group.Go(func() error {
			results[i] = Run(r.setup, r.variant, rate*r.setup.Load)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	return results
}

// Guards against a scheduler that misses its stated aims under overload, with stale
// load reports, engine speeds 1:3 and lengths that differ a hundredfold: goodput of
// the top tier, promise R2, wasted prefill and total goodput, compared with the naive
// scheduler and the other pickers on the same recorded input.
func TestAimsAgainstNaiveAndPickers(t *testing.T) {
	t.Run("one group", func(t *testing.T) { checkAims(t, 1, 1, Variants(), loads) })
	t.Run("three groups", func(t *testing.T) { checkAims(t, 3, 1, productionAndNaive(), []float64{1.0, 3.0}) })
}

// Guards against aims that are met only by chance, with one recorded input.
func TestAimsHoldForOtherSeeds(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed+2), func(t *testing.T) { checkAims(t, 1, seed+2, productionAndNaive(), []float64{3.0}) })
	}
}

// capacityOf returns the capacity of several groups, which is that of one group
// times their number because groups share no engines.
func capacityOf(groups int) float64 {
	return float64(groups) * Capacity(StandardSetup(1, 1))
}

func productionAndNaive() []Variant {
	return []Variant{Variants()[0], Naive()}
}

func checkAims(t *testing.T, groups int, seed uint64, variants []Variant, loads []float64) {
	setup := StandardSetup(groups, unloadedLoad)
	setup.Seed = seed
	runs := []runSpec{{setup, variants[0]}}
	for _, load := range loads {
		setup.Load = load
		for _, variant := range variants {
			runs = append(runs, runSpec{setup, variant})
		}
	}
	results := runAll(t, capacityOf(groups), runs)
	t.Logf("%d group(s), seed %d\n%s", groups, seed, formatTable(t, results))
	for i := 1; i < len(results); i += len(variants) {
		atLoad := results[i : i+len(variants)]
		checkLoad(t, results[0], atLoad[0], atLoad[len(variants)-1], atLoad)
	}
}

func checkLoad(t *testing.T, unloaded, production, naive Result, all []Result) {
	t.Helper()
	check := func(ok bool, format string, args ...any) {
		t.Helper()
		if !ok {
			t.Errorf("load %.1f: %s", production.Load, fmt.Sprintf(format, args...))
		}
	}
	check(production.Tiers[0].OnTimeShare() >= 0.99*unloaded.Tiers[0].OnTimeShare(),
		"top tier: %.2f%% in time, %.2f%% without contention", 100*production.Tiers[0].OnTimeShare(), 100*unloaded.Tiers[0].OnTimeShare())
	check(production.Violations == 0, "%d violations of R2", production.Violations)
	check(production.WastedShare() < 0.02, "%.2f%% of the prefill is wasted", 100*production.WastedShare())
	check(production.WastedShare() < naive.WastedShare()/10,
		"%.2f%% of the prefill is wasted, naive %.2f%%", 100*production.WastedShare(), 100*naive.WastedShare())
	bestRequests, bestTokens := 0.0, 0.0
	for _, r := range all {
		bestRequests = max(bestRequests, r.Goodput())
		bestTokens = max(bestTokens, r.TokenGoodput())
	}
	check(production.Goodput() >= 0.9*bestRequests, "%.1f of %.1f requests/s", production.Goodput(), bestRequests)
	check(production.TokenGoodput() >= 0.9*bestTokens, "%.0f of %.0f tokens/s", production.TokenGoodput(), bestTokens)
}

func formatTable(t *testing.T, results []Result) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, Table(&text, results))
	return text.String()
}

// Guards against results that depend on map order or wall-clock time: figures in
// the documentation must be reproducible.
func TestRunsAreReproducible(t *testing.T) {
	setup := StandardSetup(2, 1.5)
	setup.Duration, setup.Warmup = setup.Duration/3, 0
	setup.Deadlines = []time.Duration{20 * time.Second, 20 * time.Second, 20 * time.Second}
	a := Run(setup, Variants()[0], 120)
	b := Run(setup, Variants()[0], 120)
	assert.DeepEqual(t, a, b)
}

// Guards against an engine model that lacks an effect the comparison depends on:
// batching, speed by hardware generation, prefix reuse and KV cache overflow.
func TestEngineModel(t *testing.T) {
	slow, fast := StandardSetup(1, 1), StandardSetup(1, 1)
	slow.Speeds, fast.Speeds = []float64{1}, []float64{3}
	a, b := Capacity(slow), Capacity(fast)
	assert.Assert(t, math.Abs(b/a-3) < 0.3, "capacity %.1f and %.1f", a, b)
	oneSlot := slow
	oneSlot.Slots = 1
	assert.Assert(t, Capacity(oneSlot) < a/4, "batching does not raise the capacity")
	smallCache := StandardSetup(1, 1)
	smallCache.KVTokens = 6000
	r := Run(smallCache, Naive(), 8)
	assert.Assert(t, r.WastedTokens > 0, "no eviction with a small KV cache")
}
