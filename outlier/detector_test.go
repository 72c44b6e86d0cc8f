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

// watcher is what the simulation needs; fixedThreshold implements it too.
type watcher interface {
	Observe(now time.Time, name string, s Sample)
	Tick(now time.Time) []Change
	Ejected(name string) bool
}

// fixedThreshold is the naive version: it ejects a target whose last eight
// requests took more than 5 s on average, or of which half failed, for 30 s.
type fixedThreshold struct {
	last  map[string][]Sample
	until map[string]time.Time
	now   time.Time
}

func (f *fixedThreshold) Observe(now time.Time, name string, s Sample) {
	all := append(f.last[name], s)
	f.last[name] = all[max(0, len(all)-8):]
}

func (f *fixedThreshold) Tick(now time.Time) (out []Change) {
	f.now = now
	for name, all := range f.last {
		var sum time.Duration
		failed := 0
		for _, s := range all {
			sum += s.Observed
			if s.Failed {
				failed++
			}
		}
		if !f.Ejected(name) && (sum > time.Duration(len(all))*5*time.Second || 2*failed >= len(all)) {
			f.until[name] = now.Add(30 * time.Second)
			delete(f.last, name)
			out = append(out, Change{Target: name, Ejected: true})
		}
	}
	return out
}

func (f *fixedThreshold) Ejected(name string) bool { return f.now.Before(f.until[name]) }

// world produces samples: slowdown and failure shares by target number.
type world struct {
	rng      *rand.Rand
	slowdown func(target int, second int) float64
	failing  func(target int, second int) float64
	perTick  int
}

const poolSize = 18

func targets() (out []Target) {
	for i := range poolSize {
		out = append(out, Target{Name: fmt.Sprint("t", i), Pool: "p", Hardware: []string{"a", "b"}[i%2]})
	}
	return out
}

func (w *world) sample(target, second int) Sample {
	predicted := time.Duration(float64(300*time.Millisecond) * math.Exp(1.5*w.rng.NormFloat64()))
	factor := math.Exp(0.3 * w.rng.NormFloat64())
	if w.slowdown != nil {
		factor *= w.slowdown(target, second)
	}
	failed := w.failing != nil && w.rng.Float64() < w.failing(target, second)
	return Sample{Failed: failed, Predicted: predicted, Observed: time.Duration(float64(predicted) * factor)}
}

// run simulates some seconds and returns the ejections by target, and the
// largest number out at once.
func (w *world) run(d watcher, seconds int) (ejections map[string]int, most int) {
	ejections = map[string]int{}
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		out := 0
		for i, t := range targets() {
			if d.Ejected(t.Name) {
				out++
				continue
			}
			for range w.perTick {
				d.Observe(now, t.Name, w.sample(i, second))
			}
		}
		most = max(most, out)
		for _, c := range d.Tick(now) {
			if c.Ejected {
				ejections[c.Target]++
			}
		}
		if detector, ok := d.(*Detector); ok {
			for _, name := range detector.Probes(now) {
				var i int
				_, _ = fmt.Sscanf(name, "t%d", &i)
				detector.ProbeDone(now, name, w.sample(i, second))
			}
		}
	}
	return ejections, most
}

func newWorld(seed uint64, perTick int) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, 1)), perTick: perTick}
}

func newDetector() *Detector {
	d := New()
	d.SetTargets(start, targets())
	return d
}

func newNaive() *fixedThreshold {
	return &fixedThreshold{last: map[string][]Sample{}, until: map[string]time.Time{}}
}

// Guards against missing a target that becomes ten times slower, and against
// ejecting its peers; fixed thresholds take long requests for a slow target.
func TestSlowTarget(t *testing.T) {
	slow := func(target, second int) float64 {
		if target == 3 && second >= 30 && second < 90 {
			return 10
		}
		return 1
	}
	naiveInnocents := 0
	for seed := range uint64(20) {
		w, d := newWorld(seed, 1), newDetector()
		w.slowdown = slow
		ejections, _ := w.run(d, 75)
		assert.Equal(t, len(ejections), 1, "seed %d: %v", seed, ejections)
		assert.Assert(t, d.Ejected("t3"), "seed %d", seed)
		n := newWorld(seed, 1)
		n.slowdown = slow
		ejections, _ = n.run(newNaive(), 75)
		delete(ejections, "t3")
		for _, count := range ejections {
			naiveInnocents += count
		}
	}
	t.Logf("20 runs of 75 s: fixed thresholds ejected healthy targets %d times, the detector never", naiveInnocents)
	assert.Assert(t, naiveInnocents > 0)
}

// Guards against ejecting targets for what hits all of them.
func TestAllTargetsSlowOrFailingTogether(t *testing.T) {
	all := func(_, second int) float64 {
		if second >= 20 {
			return 10
		}
		return 1
	}
	half := func(_, second int) float64 {
		if second >= 20 {
			return 0.6
		}
		return 0
	}
	for seed := range uint64(20) {
		w := newWorld(seed, 3)
		w.slowdown = all
		ejections, _ := w.run(newDetector(), 60)
		assert.Equal(t, len(ejections), 0, "seed %d: slow together", seed)
		w = newWorld(seed, 3)
		w.failing = half
		ejections, _ = w.run(newDetector(), 60)
		assert.Equal(t, len(ejections), 0, "seed %d: failing together", seed)
		w = newWorld(seed, 3)
		w.slowdown = all
		_, most := w.run(newNaive(), 60)
		assert.Assert(t, most > poolSize*3/10, "the naive version empties the pool")
	}
}

// Guards against more than 30% of a pool out at once.
func TestEjectionsAreBounded(t *testing.T) {
	w, d := newWorld(1, 3), newDetector()
	w.failing = func(target, _ int) float64 {
		if target < 8 {
			return 0.95
		}
		return 0
	}
	ejections, most := w.run(d, 300)
	assert.Equal(t, most, 5, "30%% of 18, rounded down: %v", ejections)
	small := New()
	small.SetTargets(start, targets()[:3])
	w.run(small, 60)
	assert.Assert(t, !small.Ejected("t0") && !small.Ejected("t1") && !small.Ejected("t2"))
}

// Guards against judging a target by a few samples.
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

// Guards against a target that flaps: one that is slow every other half minute
// is ejected for growing times, and is readmitted in the end when it is well.
func TestFlappingBacksOffAndRecovers(t *testing.T) {
	w, d := newWorld(5, 3), newDetector()
	w.slowdown = func(target, second int) float64 {
		if target == 4 && second < 600 && second%60 < 30 {
			return 10
		}
		return 1
	}
	ejections, _ := w.run(d, 1000)
	naive := newWorld(5, 3)
	naive.slowdown = w.slowdown
	fixed, _ := naive.run(newNaive(), 1000)
	t.Logf("ejections of the flapping target: %d, with fixed thresholds %d", ejections["t4"], fixed["t4"])
	assert.Equal(t, len(ejections), 1)
	assert.Assert(t, ejections["t4"] >= 1 && ejections["t4"] <= 6)
	assert.Assert(t, !d.Ejected("t4"))
}
