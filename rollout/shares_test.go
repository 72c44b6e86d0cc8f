package rollout

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
)

var startTime = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

func testSet() *object.Set {
	return &object.Set{
		Services: []object.Service{{Name: "s", Kind: object.PlainService, Version: "v1"}},
		Moves: []object.Move{{
			Name: "m", Service: "s", From: "v1", To: "v2", Attempt: 1, Deadline: startTime.Add(5 * time.Minute),
		}},
	}
}

func testRow(phase Phase, share uint32) Row {
	return Row{
		Move: "m", Service: "s", From: "v1", To: "v2", Attempt: 1, Phase: phase, Share: share,
		Fence: 1, Deadline: startTime.Add(5 * time.Minute), Started: startTime,
	}
}

// newVersionShare returns the fraction of 20,000 requests that get the new version.
func newVersionShare(s *TrafficSplit) float64 {
	r := rand.New(rand.NewPCG(1, 2))
	n := 0
	for range 20_000 {
		if s.Pick("s", r.Uint64()) == "v2" {
			n++
		}
	}
	return float64(n) / 20_000
}

func applyTestRow(t *testing.T, s *TrafficSplit, sequence uint64, row Row) bool {
	t.Helper()
	fresh, err := s.ApplyRow("m", sequence, row.Encode())
	assert.NilError(t, err)
	return fresh
}

// Guards against a request that failed on a version on trial and is sent to it again, although
// the old version still serves.
func TestRetryAvoidsAVersionOnTrial(t *testing.T) {
	s := NewTrafficSplitWithClock(func() time.Time { return startTime })
	s.SetConfig(testSet())
	applyTestRow(t, s, 1, testRow(Soaking, FullShare))
	assert.Equal(t, s.PickRetry("s", "", 0), "v2")
	assert.Equal(t, s.PickRetry("s", "v1", 0), "v2")
	assert.Equal(t, s.PickRetry("s", "v2", 0), "v1")
	applyTestRow(t, s, 2, testRow(Done, FullShare))
	assert.Equal(t, s.PickRetry("s", "v2", 0), "v2", "the old version does not serve any more")
}

// Guards against evidence that is sent, and evaluated, very often during a long soak, and too
// rarely during a short one.
func TestEvidenceIntervalFollowsTheSoak(t *testing.T) {
	for soak, want := range map[time.Duration]time.Duration{
		0: 500 * time.Millisecond, 950 * time.Millisecond: 50 * time.Millisecond, 3 * time.Second: 150 * time.Millisecond, time.Minute: 500 * time.Millisecond,
	} {
		s := NewTrafficSplitWithClock(func() time.Time { return startTime })
		set := testSet()
		set.Moves[0].Soak = soak
		s.SetConfig(set)
		assert.Equal(t, s.EvidenceInterval(), maxEvidenceInterval)
		applyTestRow(t, s, 1, testRow(Shifting, 500))
		assert.Equal(t, s.EvidenceInterval(), maxEvidenceInterval)
		applyTestRow(t, s, 2, testRow(Soaking, FullShare))
		assert.Equal(t, s.EvidenceInterval(), want, "soak %v", soak)
	}
}

// Guards against a share that differs from the newest row, that an older row raises,
// or that outlasts a cut or the deadline.
func TestShares(t *testing.T) {
	now := startTime
	s := NewTrafficSplitWithClock(func() time.Time { return now })
	assert.Equal(t, s.Pick("s", 0), "")
	s.SetConfig(testSet())
	assert.Equal(t, newVersionShare(s), 0.0)
	assert.Assert(t, applyTestRow(t, s, 10, testRow(Shifting, 2000)))
	assert.Assert(t, newVersionShare(s) > 0.19 && newVersionShare(s) < 0.21)
	assert.Assert(t, !applyTestRow(t, s, 9, testRow(Soaking, FullShare)))
	assert.Assert(t, !applyTestRow(t, s, 10, testRow(Soaking, FullShare)))
	assert.Assert(t, newVersionShare(s) < 0.21)

	now = startTime.Add(5 * time.Minute)
	assert.Equal(t, newVersionShare(s), 0.0)
	assert.Assert(t, applyTestRow(t, s, 12, testRow(Done, FullShare)))
	assert.Equal(t, newVersionShare(s), 1.0)

	now = startTime
	s = NewTrafficSplitWithClock(func() time.Time { return now })
	s.SetConfig(testSet())
	assert.Assert(t, s.ApplyCut("m", 1, "errors"))
	assert.Assert(t, !s.ApplyCut("m", 1, "again"))
	for i, row := range []Row{testRow(Shifting, 5000), testRow(Soaking, FullShare), testRow(Done, FullShare)} {
		applyTestRow(t, s, uint64(20+i), row)
		assert.Equal(t, newVersionShare(s), 0.0)
	}
	second := testSet()
	second.Moves[0].Attempt = 2
	s.SetConfig(second)
	row := testRow(Shifting, FullShare)
	row.Attempt = 2
	applyTestRow(t, s, 30, row)
	assert.Equal(t, newVersionShare(s), 1.0)
}

// Guards against data races between the request path and updates.
func TestSharesConcurrent(t *testing.T) {
	s := NewTrafficSplit()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range uint64(2000) {
				_ = s.Pick("s", i<<40)
			}
		})
	}
	for i := range uint64(500) {
		s.SetConfig(testSet())
		applyTestRow(t, s, i, testRow(Shifting, uint32(i)))
		s.ApplyCut("m", int(i/400), "x")
	}
	wg.Wait()
}

func BenchmarkPick(b *testing.B) {
	s := NewTrafficSplit()
	s.SetConfig(testSet())
	row := testRow(Shifting, FullShare)
	row.Deadline = time.Now().Add(time.Hour)
	_, _ = s.ApplyRow("m", 1, row.Encode())
	for b.Loop() {
		_ = s.Pick("s", 1<<40)
	}
}
