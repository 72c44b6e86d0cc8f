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
	// maxLoadAge is the age above which a load summary says nothing any more.
	maxLoadAge = 5 * time.Second
	// affinityWait is the predicted wait by which the group with the cached
	// prefix may exceed the best other group. It is about the prefill time of a
	// 1,000 token prefix, which is what staying saves.
	affinityWait = 100 * time.Millisecond
)

// GroupChooser chooses between the target groups of one service on the entry side,
// from the load that each group told last.
type GroupChooser struct {
	service string
	names   []string
	known   []known
	rng     *rand.Rand
}

// known is the last load of a group and what was sent there since.
type known struct {
	load Load
	at   time.Time
	sent int
}

// NewGroupChooser returns a chooser for count groups, numbered from 0.
func NewGroupChooser(service string, count int, seed uint64) *GroupChooser {
	g := &GroupChooser{service: service, known: make([]known, count), rng: newRand(seed)}
	for i := range count {
		g.names = append(g.names, strconv.Itoa(i))
	}
	return g
}

// Update stores the load that a group told. Loads of unknown groups are ignored.
func (g *GroupChooser) Update(now time.Time, number int, load Load) {
	if number >= 0 && number < len(g.known) {
		g.known[number] = known{load: load, at: now}
	}
}

// RecordSent records that a request went to a group, until its next load arrives.
func (g *GroupChooser) RecordSent(number int) {
	if number >= 0 && number < len(g.known) {
		g.known[number].sent++
	}
}

// Choose returns the two groups to ask for a request, the better one first; -1
// stands for no group. The first block of the prefix decides which group has
// affinity; that group is asked first while it is not loaded much more than the
// better of two others chosen at random.
func (g *GroupChooser) Choose(now time.Time, tier int, prefix []uint64) (first, second int) {
	switch len(g.known) {
	case 0:
		return -1, -1
	case 1:
		return 0, -1
	}
	if len(prefix) == 0 {
		a := g.rng.IntN(len(g.known))
		return g.order(now, tier, a, g.another(now, tier, a))
	}
	affine := g.affine(prefix[0])
	other := g.another(now, tier, affine)
	if g.pressure(now, tier, affine) <= g.pressure(now, tier, other)+affinityWait {
		return affine, other
	}
	return other, affine
}

// Preemptible returns the groups that reported work of a lower tier, the one
// with the lowest tier first. They are asked with preemption before a request of
// this tier is shed. Groups without a recent load are included.
func (g *GroupChooser) Preemptible(now time.Time, tier int) []int {
	var found []int
	for i := range g.known {
		if g.stale(now, i) || g.known[i].load.LowestTier > tier {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Compare(g.known[b].load.LowestTier, g.known[a].load.LowestTier)
	})
	return found
}

func (g *GroupChooser) affine(block uint64) int {
	key := g.service + "/" + strconv.FormatUint(block, 16)
	number, _ := strconv.Atoi(rendezvous.Owner(key, g.names))
	return number
}

// another returns the less loaded of two random groups other than not.
func (g *GroupChooser) another(now time.Time, tier, not int) int {
	a, b := g.random(not), g.random(not)
	first, _ := g.order(now, tier, a, b)
	return first
}

func (g *GroupChooser) random(not int) int {
	i := g.rng.IntN(len(g.known) - 1)
	if i >= not {
		i++
	}
	return i
}

func (g *GroupChooser) order(now time.Time, tier, a, b int) (first, second int) {
	if g.pressure(now, tier, b) < g.pressure(now, tier, a) {
		return b, a
	}
	return a, b
}

// perSent is the wait that one request sent since the last load adds.
const perSent = 20 * time.Millisecond

// pressure is the wait expected at a group, below zero while it has free slots.
func (g *GroupChooser) pressure(now time.Time, tier, number int) time.Duration {
	k := &g.known[number]
	added := time.Duration(k.sent) * perSent
	if g.stale(now, number) {
		return added
	}
	if free := k.load.FreeSlots - k.sent; free > 0 {
		return -time.Duration(free) * time.Millisecond
	}
	return k.load.waitOf(tier) + added
}

func (g *GroupChooser) stale(now time.Time, number int) bool {
	return now.Sub(g.known[number].at) > maxLoadAge
}

// waitOf returns the part of the predicted wait that a tier waits for.
func (l Load) waitOf(tier int) time.Duration {
	all, ahead := 0, 0
	for i, count := range l.Waiting {
		all += count
		if i <= tier {
			ahead += count
		}
	}
	if all == 0 {
		return l.PredictedWait
	}
	return l.PredictedWait * time.Duration(ahead) / time.Duration(all)
}
