package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against quantiles that differ from those of the sorted values by more
// than the stated precision plus the resolution.
func TestQuantilesAgreeWithSortedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorded := rapid.SliceOfN(rapid.Int64Range(0, maxRecorded.Microseconds()), 1, 200).Draw(t, "micros")
		h := NewHistogram()
		for _, v := range recorded {
			h.Record(time.Duration(v) * time.Microsecond)
		}
		slices.Sort(recorded)
		// HDR histograms round the rank to the nearest one.
		rank := max(int(0.95*float64(len(recorded))+0.5), 1) - 1
		want := float64(recorded[rank]) / 1000
		got := h.Summary()
		assert.Equal(t, got.Count, int64(len(recorded)))
		assert.Assert(t, math.Abs(got.P95Ms-want) <= 0.01*want+0.1, "95th percentile %v, sorted values give %v", got.P95Ms, want)
	})
}

// Guards against lost values at the ends of the range and against quantiles
// that keep values older than the previous interval.
func TestRangeAndRotation(t *testing.T) {
	h := NewHistogram()
	h.Record(-time.Second)
	h.Record(24 * time.Hour)
	assert.Equal(t, h.Summary().RecentCount, int64(2))
	h.Rotate()
	assert.Equal(t, h.Summary().RecentCount, int64(2))
	h.Rotate()
	got := h.Summary()
	assert.Equal(t, got.RecentCount, int64(0))
	assert.Equal(t, got.Count, int64(2))
}

// Guards against memory that grows with the number of label values that callers
// send, and against lost counts.
func TestLabelsAreBounded(t *testing.T) {
	r := New(Limits{Tiers: 1, Accounts: 3, Services: 2, Outcomes: 1})
	for i := range 10_000 {
		s := r.Series(Labels{"gold", fmt.Sprint("account-", i), fmt.Sprint("service-", i%4)})
		s.Count(Done)
		s.Count(Outcome(fmt.Sprint("made-up-", i)))
		s.RecordTotal(time.Millisecond)
	}
	snapshot := r.Snapshot()
	assert.Equal(t, len(snapshot.Total.Account), 4)
	assert.Equal(t, len(snapshot.Total.Service), 3)
	assert.Equal(t, snapshot.Total.Account[OtherValue].Count, int64(9997))
	total := int64(0)
	for _, c := range snapshot.Requests {
		total += c.Count
	}
	assert.Equal(t, total, int64(20_000))
	assert.Assert(t, len(snapshot.Requests) <= 4*3*2, "%d counters", len(snapshot.Requests))
	assert.Assert(t, r.cachedSeries <= maxSeries)
}

// Guards against a registry that needs more than 10 MB with the default limits.
func TestMemoryBound(t *testing.T) {
	bytesPerValue := 4 * 2 * newHDR().ByteSize()
	values := DefaultLimits.Tiers + DefaultLimits.Accounts + DefaultLimits.Services + 3
	t.Logf("%d bytes for each label value, %d bytes in all", bytesPerValue, bytesPerValue*values)
	assert.Assert(t, bytesPerValue*values < 10<<20)
}

// Guards against races between recording, rotating and reading; run with -race.
func TestConcurrentUse(t *testing.T) {
	r := New(Limits{})
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for j := range 500 {
				s := r.Series(Labels{"gold", fmt.Sprint(j % 5), "chat"})
				s.Count(Done)
				s.RecordFirstToken(time.Millisecond)
				s.RecordTokenGap(time.Millisecond)
				s.RecordQueueWait(time.Millisecond)
				r.Add("pushes", 1)
				if i == 0 && j%100 == 0 {
					r.Rotate()
					_ = r.String()
				}
			}
		})
	}
	wait.Wait()
	snapshot := r.Snapshot()
	assert.Equal(t, snapshot.FirstToken.Tier["gold"].Count, int64(4000))
	assert.Equal(t, string(snapshot.Variables["pushes"]), "4000")
}

// Guards against output that expvar cannot embed.
func TestStringIsJSON(t *testing.T) {
	r := New(Limits{})
	var v expvar.Var = r
	r.Series(Labels{"gold", "field", "chat"}).Count(Shed)
	r.Set("broken", expvar.Func(func() any { return math.NaN() }))
	var got Snapshot
	assert.NilError(t, json.Unmarshal([]byte(v.String()), &got))
	assert.DeepEqual(t, got.Requests, []RequestCount{{"gold", "field", "chat", Shed, 1}})
}

// BenchmarkToken measures RecordTokenGap, the most frequent call.
func BenchmarkToken(b *testing.B) {
	r := New(Limits{})
	s := r.Series(Labels{"gold", "field", "chat"})
	b.ReportAllocs()
	for b.Loop() {
		s.RecordTokenGap(28 * time.Millisecond)
	}
}

// BenchmarkTokenParallel measures RecordTokenGap with all cores on the same series.
func BenchmarkTokenParallel(b *testing.B) {
	r := New(Limits{})
	s := r.Series(Labels{"gold", "field", "chat"})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.RecordTokenGap(28 * time.Millisecond)
		}
	})
}

// BenchmarkRequest measures the lookup and the count of one request.
func BenchmarkRequest(b *testing.B) {
	r := New(Limits{})
	b.ReportAllocs()
	for b.Loop() {
		r.Series(Labels{"gold", "field", "chat"}).Count(Done)
	}
}
