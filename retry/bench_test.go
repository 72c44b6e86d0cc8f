package retry

import (
	"testing"
	"time"
)

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(DefaultRatio, DefaultMinPerSecond)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.CountRequest(now)
		budget.TryRetry(now)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := NewPolicy()
	a := Attempt{Outcome: NotSent, Number: 1, Remaining: time.Minute}
	for b.Loop() {
		p.Decide(start, a)
	}
}
