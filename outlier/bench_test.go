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

func forSizes(b *testing.B, f func(b *testing.B, d *Detector, all []Target)) {
	for _, n := range []int{18, 7800} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			d, all := New(), benchTargets(n)
			d.SetTargets(start, all)
			for range MinSamples {
				for _, t := range all {
					d.Observe(start, t.Name, Sample{Observed: time.Second, Predicted: time.Second})
				}
			}
			f(b, d, all)
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	forSizes(b, func(b *testing.B, d *Detector, all []Target) {
		i := 0
		for b.Loop() {
			d.Observe(start, all[i%len(all)].Name, Sample{Observed: time.Second, Predicted: time.Second})
			i++
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, d *Detector, _ []Target) {
		for b.Loop() {
			d.Tick(start)
		}
	})
}
