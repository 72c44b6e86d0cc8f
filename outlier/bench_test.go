package outlier

import (
	"fmt"
	"testing"
	"time"
)

func benchTargets(n int) (out []Target) {
	for i := range n {
		out = append(out, Target{Name: fmt.Sprint("t", i), Pool: fmt.Sprint("p", i/98), Hardware: []string{"a", "b"}[i%2]})
	}
	return out
}

func forSizes(b *testing.B, run func(b *testing.B, detector *Detector, pool []Target)) {
	for _, n := range []int{18, 7800} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			detector, pool := New(), benchTargets(n)
			detector.SetTargets(start, pool)
			for range MinSamples {
				for _, t := range pool {
					detector.Observe(start, t.Name, Sample{Observed: time.Second, Predicted: time.Second})
				}
			}
			run(b, detector, pool)
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	forSizes(b, func(b *testing.B, detector *Detector, pool []Target) {
		i := 0
		for b.Loop() {
			detector.Observe(start, pool[i%len(pool)].Name, Sample{Observed: time.Second, Predicted: time.Second})
			i++
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, detector *Detector, _ []Target) {
		for b.Loop() {
			detector.Tick(start)
		}
	})
}
