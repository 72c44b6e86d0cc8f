package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// ejector is the part of Detector that the simulation uses; fixedThreshold
// implements it too.
type ejector interface {
	Observe(now time.Time, name string, s Sample)
	Tick(now time.Time) []Change
	IsEjected(name string) bool
}

// fixedThreshold is the naive alternative to Detector. It ejects a target for 30 s
// when its last eight requests took more than 5 s on average or half of them
// failed.
type fixedThreshold struct {
	lastSamples  map[string][]Sample
	ejectedUntil map[string]time.Time
	now          time.Time
}

func (f *fixedThreshold) Observe(now time.Time, name string, s Sample) {
	samples := append(f.lastSamples[name], s)
	f.lastSamples[name] = samples[max(0, len(samples)-8):]
}

func (f *fixedThreshold) Tick(now time.Time) (out []Change) {
	f.now = now
	for name, samples := range f.lastSamples {
		var sum time.Duration
		failed := 0
		for _, s := range samples {
			sum += s.Observed
			if s.Failed {
				failed++
			}
		}
		if !f.IsEjected(name) && (sum > time.Duration(len(samples))*5*time.Second || 2*failed >= len(samples)) {
			f.ejectedUntil[name] = now.Add(30 * time.Second)
			delete(f.lastSamples, name)
			out = append(out, Change{Target: name, Ejected: true})
		}
	}
	return out
}

func (f *fixedThreshold) IsEjected(name string) bool { return f.now.Before(f.ejectedUntil[name]) }

// simulation produces the samples of a pool. The functions return a target's factor
// of slowdown and its share of failed requests in a second; nil means none.
type simulation struct {
	rng               *rand.Rand
	slowdown          func(target int, second int) float64
	failureShare      func(target int, second int) float64
	requestsPerSecond int
}

const poolSize = 18

func targets() (out []Target) {
	for i := range poolSize {
		out = append(out, Target{Name: fmt.Sprint("t", i), Pool: "p", Hardware: []string{"a", "b"}[i%2]})
	}
	return out
}

func (sim *simulation) sample(target, second int) Sample {
	predicted := time.Duration(float64(300*time.Millisecond) * math.Exp(1.5*sim.rng.NormFloat64()))
	factor := math.Exp(0.3 * sim.rng.NormFloat64())
	if sim.slowdown != nil {
		factor *= sim.slowdown(target, second)
	}
	failed := sim.failureShare != nil && sim.rng.Float64() < sim.failureShare(target, second)
	return Sample{Failed: failed, Predicted: predicted, Observed: time.Duration(float64(predicted) * factor)}
}

// run simulates some seconds, and returns the ejections by target and the largest
// number of targets ejected at once.
func (sim *simulation) run(d ejector, seconds int) (ejections map[string]int, maxEjected int) {
	ejections = map[string]int{}
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		ejected := 0
		for i, t := range targets() {
			if d.IsEjected(t.Name) {
				ejected++
				continue
			}
			for range sim.requestsPerSecond {
				d.Observe(now, t.Name, sim.sample(i, second))
			}
		}
		maxEjected = max(maxEjected, ejected)
		for _, c := range d.Tick(now) {
			if c.Ejected {
				ejections[c.Target]++
			}
		}
		if detector, ok := d.(*Detector); ok {
			for _, name := range detector.DueProbes(now) {
				var i int
				_, _ = fmt.Sscanf(name, "t%d", &i)
				detector.RecordProbe(now, name, sim.sample(i, second))
			}
		}
	}
	return ejections, maxEjected
}

func newSimulation(seed uint64, requestsPerSecond int) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 1)), requestsPerSecond: requestsPerSecond}
}

func newDetector() *Detector {
	d := New()
	d.SetTargets(start, targets())
	return d
}

func newFixedThreshold() *fixedThreshold {
	return &fixedThreshold{lastSamples: map[string][]Sample{}, ejectedUntil: map[string]time.Time{}}
}

// Guards against missing a target that becomes ten times slower, and against
// ejecting its peers. Fixed thresholds eject healthy targets because they serve
// long requests.
func TestSlowTarget(t *testing.T) {
	slow := func(target, second int) float64 {
		if target == 3 && second >= 30 && second < 90 {
			return 10
		}
		return 1
	}
	naiveFalsePositives := 0
	for seed := range uint64(20) {
		sim, d := newSimulation(seed, 1), newDetector()
		sim.slowdown = slow
		ejections, _ := sim.run(d, 75)
		assert.Equal(t, len(ejections), 1, "seed %d: %v", seed, ejections)
		assert.Assert(t, d.IsEjected("t3"), "seed %d", seed)
		naive := newSimulation(seed, 1)
		naive.slowdown = slow
		ejections, _ = naive.run(newFixedThreshold(), 75)
		delete(ejections, "t3")
		for _, count := range ejections {
			naiveFalsePositives += count
		}
	}
	t.Logf("20 runs of 75 s: fixed thresholds ejected healthy targets %d times, the detector never", naiveFalsePositives)
	assert.Assert(t, naiveFalsePositives > 0)
}

// Guards against ejecting targets for a slowdown or failures that affect all of
// them.
func TestAllTargetsSlowOrFailingTogether(t *testing.T) {
	allSlow := func(_, second int) float64 {
		if second >= 20 {
			return 10
		}
		return 1
	}
	allFailing := func(_, second int) float64 {
		if second >= 20 {
			return 0.6
		}
		return 0
	}
	for seed := range uint64(20) {
		sim := newSimulation(seed, 3)
		sim.slowdown = allSlow
		ejections, _ := sim.run(newDetector(), 60)
		assert.Equal(t, len(ejections), 0, "seed %d: slow together", seed)
		sim = newSimulation(seed, 3)
		sim.failureShare = allFailing
		ejections, _ = sim.run(newDetector(), 60)
		assert.Equal(t, len(ejections), 0, "seed %d: failing together", seed)
		sim = newSimulation(seed, 3)
		sim.slowdown = allSlow
		_, naiveMaxEjected := sim.run(newFixedThreshold(), 60)
		assert.Assert(t, naiveMaxEjected > poolSize*3/10, "fixed thresholds should eject too much of the pool")
	}
}

// Guards against more than 30% of a pool being ejected at once.
func TestEjectionsAreBounded(t *testing.T) {
	sim, d := newSimulation(1, 3), newDetector()
	sim.failureShare = func(target, _ int) float64 {
		if target < 8 {
			return 0.95
		}
		return 0
	}
	ejections, maxEjected := sim.run(d, 300)
	assert.Equal(t, maxEjected, 5, "30%% of 18, rounded down: %v", ejections)
	small := New()
	small.SetTargets(start, targets()[:3])
	sim.run(small, 60)
	assert.Assert(t, !small.IsEjected("t0") && !small.IsEjected("t1") && !small.IsEjected("t2"))
}

// Guards against ejecting a target with fewer than MinSamples samples.
func TestFewSamples(t *testing.T) {
	d := newDetector()
	for i := range poolSize {
		for range 20 {
			d.Observe(start, fmt.Sprint("t", i), Sample{Observed: time.Second, Predicted: time.Second})
		}
	}
	d.SetTargets(start, append(targets(), Target{Name: "new", Pool: "p", Hardware: "a"}))
	for range MinSamples - 1 {
		d.Observe(start, "new", Sample{Observed: time.Minute, Predicted: time.Second})
	}
	for i := range 5 {
		assert.Equal(t, len(d.Tick(start.Add(time.Duration(i)*time.Second))), 0)
	}
	d.Observe(start, "new", Sample{Observed: time.Minute, Predicted: time.Second})
	assert.Equal(t, len(d.Tick(start)), 0, "one bad evaluation is not enough")
	assert.DeepEqual(t, d.Tick(start), []Change{{Target: "new", Ejected: true, Reason: Slow}})
}

// Guards against a flapping target: one that is slow in every other half minute
// must be ejected for increasing times, and be readmitted after it has recovered.
func TestFlappingBacksOffAndRecovers(t *testing.T) {
	sim, d := newSimulation(5, 3), newDetector()
	sim.slowdown = func(target, second int) float64 {
		if target == 4 && second < 600 && second%60 < 30 {
			return 10
		}
		return 1
	}
	ejections, _ := sim.run(d, 1000)
	naive := newSimulation(5, 3)
	naive.slowdown = sim.slowdown
	naiveEjections, _ := naive.run(newFixedThreshold(), 1000)
	t.Logf("ejections of the flapping target: %d, with fixed thresholds %d", ejections["t4"], naiveEjections["t4"])
	assert.Equal(t, len(ejections), 1)
	assert.Assert(t, ejections["t4"] >= 1 && ejections["t4"] <= 6)
	assert.Assert(t, !d.IsEjected("t4"))
}
