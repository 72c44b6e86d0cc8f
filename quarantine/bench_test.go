package quarantine

import (
	"fmt"
	"testing"
)

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{18, 7800} {
		b.Run(fmt.Sprint("convicted=", n), func(b *testing.B) {
			tracker := New(Options{})
			for i := range n {
				tracker.Merge(at(0), Notice{Fingerprint: uint64(i), State: Quarantined, Targets: []string{"a", "b"}})
			}
			fp := uint64(0)
			for b.Loop() {
				tracker.StateOf(fp)
				fp++
			}
		})
	}
}
