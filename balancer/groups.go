package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// maxLoadAge is the age above which a reported load is ignored.
	maxLoadAge = 5 * time.Second
	// affinityMargin is how much longer the expected wait at the group with the
	// cached prefix may be than at the best other group. It is about the prefill
	// time of a 1,000 token prefix, which a cache hit saves.
	affinityMargin = 100 * time.Millisecond
)

// GroupChooser chooses between the target groups of one service on the entry side,
// by the load that each group reported last.
type GroupChooser struct {
	service    string
	groupNames []string
	groups     []groupState
	rng        *rand.Rand
}

// groupState is the last reported load of a group and the number of requests sent
// there since.
type groupState struct {
	load      Load
	updatedAt time.Time
	sentSince int
}

// NewGroupChooser returns a chooser for count groups, numbered from 0.
func NewGroupChooser(service string, count int, seed uint64) *GroupChooser {
	g := &GroupChooser{service: service, groups: make([]groupState, count), rng: newRand(seed)}
	for i := range count {
		g.groupNames = append(g.groupNames, strconv.Itoa(i))
	}
	return g
}

// Update stores the load that a group reported and resets its count of sent
// requests. Loads of unknown groups are ignored.
func (g *GroupChooser) Update(now time.Time, number int, load Load) {
	if number >= 0 && number < len(g.groups) {
		g.groups[number] = groupState{load: load, updatedAt: now}
	}
}

// RecordSent counts a request that was sent to a group; the count adds to the
// group's expected wait until its next load arrives.
func (g *GroupChooser) RecordSent(number int) {
	if number >= 0 && number < len(g.groups) {
		g.groups[number].sentSince++
	}
}

// Choose returns the two groups to ask for a request, the better one first; -1
// stands for no group. The first block of the prefix decides which group has
// affinity. That group comes first unless its expected wait exceeds that of the
// better of two random other groups by more than affinityMargin.
func (g *GroupChooser) Choose(now time.Time, tier int, prefix []uint64) (first, second int) {
	switch len(g.groups) {
	case 0:
		return -1, -1
	case 1:
		return 0, -1
	}
	if len(prefix) == 0 {
		a := g.rng.IntN(len(g.groups))
		return g.lessLoadedFirst(now, tier, a, g.lessLoadedOther(now, tier, a))
	}
	affine := g.affinityGroup(prefix[0])
	other := g.lessLoadedOther(now, tier, affine)
	if g.expectedWait(now, tier, affine) <= g.expectedWait(now, tier, other)+affinityMargin {
		return affine, other
	}
	return other, affine
}

// Preemptible returns the groups that reported work of a lower tier, the one
// with the lowest tier first. They are asked with preemption before a request of
// this tier is shed. Groups without a recent load are included.
func (g *GroupChooser) Preemptible(now time.Time, tier int) []int {
	var found []int
	for i := range g.groups {
		if g.loadIsStale(now, i) || g.groups[i].load.LowestTier > tier {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Compare(g.groups[b].load.LowestTier, g.groups[a].load.LowestTier)
	})
	return found
}

// affinityGroup returns the group that all prompts with the same first prefix block
// share, by rendezvous hashing.
func (g *GroupChooser) affinityGroup(block uint64) int {
	key := g.service + "/" + strconv.FormatUint(block, 16)
	number, _ := strconv.Atoi(rendezvous.Owner(key, g.groupNames))
	return number
}

// lessLoadedOther returns the less loaded of two random groups, neither of which is
// the excluded one.
func (g *GroupChooser) lessLoadedOther(now time.Time, tier, excluded int) int {
	a, b := g.randomOther(excluded), g.randomOther(excluded)
	first, _ := g.lessLoadedFirst(now, tier, a, b)
	return first
}

func (g *GroupChooser) randomOther(excluded int) int {
	i := g.rng.IntN(len(g.groups) - 1)
	if i >= excluded {
		i++
	}
	return i
}

func (g *GroupChooser) lessLoadedFirst(now time.Time, tier, a, b int) (first, second int) {
	if g.expectedWait(now, tier, b) < g.expectedWait(now, tier, a) {
		return b, a
	}
	return a, b
}

// waitPerSentRequest is what each request sent since the last reported load adds to
// the expected wait of a group.
const waitPerSentRequest = 20 * time.Millisecond

// expectedWait returns the wait expected at a group. While the group has free slots
// the value is negative, 1 ms for each of them, so that groups can be compared.
func (g *GroupChooser) expectedWait(now time.Time, tier, number int) time.Duration {
	state := &g.groups[number]
	sentWait := time.Duration(state.sentSince) * waitPerSentRequest
	if g.loadIsStale(now, number) {
		return sentWait
	}
	if free := state.load.FreeSlots - state.sentSince; free > 0 {
		return -time.Duration(free) * time.Millisecond
	}
	return state.load.waitForTier(tier) + sentWait
}

func (g *GroupChooser) loadIsStale(now time.Time, number int) bool {
	return now.Sub(g.groups[number].updatedAt) > maxLoadAge
}

// waitForTier returns the part of the predicted wait that a request of the tier has
// to wait: the part of the waiting requests that are of this tier or higher ones.
func (l Load) waitForTier(tier int) time.Duration {
	total, ahead := 0, 0
	for i, count := range l.Waiting {
		total += count
		if i <= tier {
			ahead += count
		}
	}
	if total == 0 {
		return l.PredictedWait
	}
	return l.PredictedWait * time.Duration(ahead) / time.Duration(total)
}
