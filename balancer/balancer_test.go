package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against pickers that compare the wrong field of a target.
func TestPickersCompareTheirOwnField(t *testing.T) {
	targets := []Target{
		{InFlight: 1, ReportedLoad: 9, Finish: 3 * time.Second},
		{InFlight: 2, ReportedLoad: 1, Finish: 2 * time.Second},
		{InFlight: 3, ReportedLoad: 5, Finish: time.Second},
	}
	assert.Equal(t, LeastOutstanding{}.Build(1).Pick(targets), 0)
	assert.Equal(t, PredictedFinish{}.Build(1).Pick(targets), 2)
	powerOfTwo := PowerOfTwo{}.Build(1)
	random := Random{}.Build(1)
	var counts [2][3]int
	for range 3000 {
		counts[0][powerOfTwo.Pick(targets)]++
		counts[1][random.Pick(targets)]++
	}
	// The target with the highest reported load never wins a comparison; the one
	// with the lowest is in two of three pairs and wins both.
	assert.Equal(t, counts[0][0], 0)
	assert.Assert(t, counts[0][1] > 1800 && counts[0][2] > 800)
	for _, count := range counts[1] {
		assert.Assert(t, count > 900 && count < 1100)
	}
}

// Guards against prompts with the same prefix that are spread over several groups,
// each of which would then prefill the prefix.
func TestSamePrefixGoesToTheSameGroup(t *testing.T) {
	g := NewGroupChooser("s", 5, 1)
	want, _ := g.Choose(startTime, 0, []uint64{77, 1})
	for i := range 50 {
		first, second := g.Choose(startTime, 0, []uint64{77, uint64(i)})
		assert.Equal(t, first, want)
		assert.Assert(t, second != first && second >= 0)
	}
}

// Guards against affinity that overloads one group while others are free.
func TestAffinityYieldsToLoad(t *testing.T) {
	g := NewGroupChooser("s", 3, 1)
	affine, _ := g.Choose(startTime, 0, []uint64{77})
	for i := range 3 {
		g.Update(startTime, i, Load{FreeSlots: 10, LowestTier: -1})
	}
	g.Update(startTime, affine, Load{Waiting: []int{50}, PredictedWait: 5 * time.Second, LowestTier: 0})
	first, second := g.Choose(startTime, 0, []uint64{77})
	assert.Assert(t, first != affine)
	assert.Equal(t, second, affine)
	// Waiting requests of lower tiers add nothing to the wait of a higher tier.
	g.Update(startTime, affine, Load{Waiting: []int{0, 50}, PredictedWait: 5 * time.Second, LowestTier: 1})
	first, _ = g.Choose(startTime, 0, []uint64{77})
	assert.Equal(t, first, affine)
}

// Guards against shedding a request without asking the groups that serve lower
// tiers, and against excluding a group because of a stale load.
func TestPreemptibleListsGroupsWithLowerTiers(t *testing.T) {
	g := NewGroupChooser("s", 4, 1)
	for i, lowest := range []int{1, 2, 0, -1} {
		g.Update(startTime, i, Load{LowestTier: lowest})
	}
	assert.DeepEqual(t, g.Preemptible(startTime, 0), []int{1, 0})
	assert.DeepEqual(t, g.Preemptible(startTime, 1), []int{1})
	assert.Equal(t, len(g.Preemptible(startTime.Add(time.Minute), 1)), 4)
}

// Guards against a choice that fails without groups or with only one.
func TestChooseWithFewGroups(t *testing.T) {
	first, second := NewGroupChooser("s", 0, 1).Choose(startTime, 0, nil)
	assert.DeepEqual(t, []int{first, second}, []int{-1, -1})
	first, second = NewGroupChooser("s", 1, 1).Choose(startTime, 0, []uint64{1})
	assert.DeepEqual(t, []int{first, second}, []int{0, -1})
}
