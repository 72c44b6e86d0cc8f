package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// naiveBudget is a simple reference for Budget that keeps a list of all events.
type naiveBudget struct {
	requests, retries []int64 // bucket numbers
}

func (n *naiveBudget) countRecent(buckets []int64, newest int64) (count int) {
	for _, bucket := range buckets {
		if bucket > newest-bucketCount {
			count++
		}
	}
	return count
}

func (n *naiveBudget) CountRequest(now time.Time) {
	n.requests = append(n.requests, now.UnixNano()/int64(bucketWidth))
}

func (n *naiveBudget) TryRetry(now time.Time) bool {
	bucket := now.UnixNano() / int64(bucketWidth)
	if float64(n.countRecent(n.retries, bucket)+1) > DefaultRatio*float64(n.countRecent(n.requests, bucket))+10 {
		return false
	}
	n.retries = append(n.retries, bucket)
	return true
}

// Guards against a budget whose buckets leave the window too early or not at all.
func TestBudgetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, n := NewBudget(DefaultRatio, DefaultMinPerSecond), &naiveBudget{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 400, 3000, 9999, 40000}).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 50).Draw(t, "requests") {
				b.CountRequest(now)
				n.CountRequest(now)
			}
			for range rapid.IntRange(0, 8).Draw(t, "retries") {
				assert.Equal(t, b.TryRetry(now), n.TryRetry(now))
			}
		}
	})
}

// Guards against backoff outside its bounds.
func TestBackoff(t *testing.T) {
	almostOne := func() float64 { return 0.999999 }
	for number, want := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 6: 1600, 7: 2000, 40: 2000} {
		got := Backoff(number, almostOne)
		assert.Assert(t, got <= want*time.Millisecond && got > (want-1)*time.Millisecond, "%d: %s", number, got)
		assert.Equal(t, Backoff(number, func() float64 { return 0 }), time.Duration(0))
	}
}

// Guards against attempts that cannot end before the deadline, and against a
// timeout that leaves no time for the retry that it should permit.
func TestDeadlineArithmetic(t *testing.T) {
	assert.Assert(t, FitsDeadline(time.Second, 100*time.Millisecond, 800*time.Millisecond))
	assert.Assert(t, !FitsDeadline(time.Second, 300*time.Millisecond, 800*time.Millisecond))
	assert.Assert(t, !FitsDeadline(0, 0, 0))
	assert.Equal(t, AttemptTimeout(10*time.Second, 2*time.Second, true), 8*time.Second)
	assert.Equal(t, AttemptTimeout(5*time.Second, 2*time.Second, true), 5*time.Second)
	assert.Equal(t, AttemptTimeout(10*time.Second, 2*time.Second, false), 10*time.Second)
	assert.Equal(t, AttemptTimeout(-time.Second, 2*time.Second, false), time.Duration(0))
}

// Guards against hedges of non-idempotent requests, and against hedges before the
// 95th percentile, without samples, without time left or beyond the budget.
func TestHedge(t *testing.T) {
	h, budget := NewHedger(), NewBudget(0, 0.1)
	candidate := HedgeCandidate{Class: "c", Idempotent: true, Started: start, Remaining: time.Minute, Expected: time.Second}
	late := start.Add(2 * time.Second)
	assert.Assert(t, !h.TryHedge(late, budget, candidate), "no samples")
	for i := range 100 {
		h.Observe(start, "c", time.Duration(i+1)*10*time.Millisecond)
	}
	delay, ok := h.Delay(start, "c")
	assert.Assert(t, ok && delay > 940*time.Millisecond && delay < 965*time.Millisecond, "%s", delay)
	assert.Assert(t, !h.TryHedge(start.Add(900*time.Millisecond), budget, candidate), "too early")
	nonIdempotent := candidate
	nonIdempotent.Idempotent = false
	assert.Assert(t, !h.TryHedge(late, budget, nonIdempotent), "not idempotent")
	tooLittleTime := candidate
	tooLittleTime.Remaining = time.Second
	assert.Assert(t, !h.TryHedge(late, budget, tooLittleTime), "no time left")
	assert.Assert(t, h.TryHedge(late, budget, candidate))
	assert.Assert(t, !h.TryHedge(late, budget, candidate), "budget used up")
	_, ok = h.Delay(start.Add(70*time.Second), "c")
	assert.Assert(t, !ok, "samples are too old")
}
