package balancer

import (
	"math/rand/v2"
	"time"
)

// Target is what a picker knows about one target with room for the request.
type Target struct {
	Slots int
	// InFlight counts the requests that the group dispatched and that run.
	InFlight int
	// ReportedLoad is the load that the target reported last; it may be stale.
	ReportedLoad int
	// Finish is the predicted time until the request ends on this target, with
	// the work in flight there and the cached prefix taken into account.
	Finish time.Duration
	// CachedTokens is the expected length of the cached prefix.
	CachedTokens int
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
	// FirstTokenLimit is the time left until the first token is late; 0 is no bound.
	FirstTokenLimit time.Duration
	// FinishLimit is the time left until the end of the answer is too late; 0 is no
	// bound.
	FinishLimit time.Duration
	// DelaysStreams reports that prefilling the request on this target would make the
	// streams that run there late.
	DelaysStreams bool
}

// Picker chooses one of several targets.
type Picker interface {
	// Pick returns an index into targets, which is not empty.
	Pick(targets []Target) int
}

// Builder makes pickers. A picker may keep state, so each group gets its own.
type Builder interface {
	Name() string
	Build(seed uint64) Picker
}

// Builders returns all builders, the default one last.
func Builders() []Builder {
	return []Builder{Random{}, LeastOutstanding{}, PowerOfTwo{}, FewestLate{}, PredictedFinish{}}
}

// Random chooses uniformly.
type Random struct{}

// Name implements Builder.
func (Random) Name() string { return "random" }

// Build implements Builder.
func (Random) Build(seed uint64) Picker { return randomPicker{rng: newRand(seed)} }

type randomPicker struct{ rng *rand.Rand }

func (p randomPicker) Pick(targets []Target) int { return p.rng.IntN(len(targets)) }

// LeastOutstanding chooses the target with the fewest requests of this group.
type LeastOutstanding struct{}

// Name implements Builder.
func (LeastOutstanding) Name() string { return "least-outstanding" }

// Build implements Builder.
func (LeastOutstanding) Build(uint64) Picker { return leastOutstandingPicker{} }

type leastOutstandingPicker struct{}

func (leastOutstandingPicker) Pick(targets []Target) int {
	return indexOfLeast(targets, func(a, b Target) bool { return a.InFlight < b.InFlight })
}

// PowerOfTwo compares the reported load of two targets chosen at random.
type PowerOfTwo struct{}

// Name implements Builder.
func (PowerOfTwo) Name() string { return "power-of-two" }

// Build implements Builder.
func (PowerOfTwo) Build(seed uint64) Picker { return powerOfTwoPicker{rng: newRand(seed)} }

type powerOfTwoPicker struct{ rng *rand.Rand }

func (p powerOfTwoPicker) Pick(targets []Target) int {
	if len(targets) == 1 {
		return 0
	}
	a := p.rng.IntN(len(targets))
	b := p.rng.IntN(len(targets) - 1)
	if b >= a {
		b++
	}
	if targets[b].ReportedLoad < targets[a].ReportedLoad {
		return b
	}
	return a
}

// PredictedFinish chooses the target where the request is predicted to end
// first, from exact counts, engine speed and the cached prefix.
type PredictedFinish struct{}

// Name implements Builder.
func (PredictedFinish) Name() string { return "predicted-finish" }

// Build implements Builder.
func (PredictedFinish) Build(uint64) Picker { return predictedFinishPicker{} }

type predictedFinishPicker struct{}

func (predictedFinishPicker) Pick(targets []Target) int {
	return indexOfLeast(targets, func(a, b Target) bool {
		if a.Finish != b.Finish {
			return a.Finish < b.Finish
		}
		return a.InFlight < b.InFlight
	})
}

// indexOfLeast returns the index of the first target that no other one is less than.
func indexOfLeast(targets []Target, less func(a, b Target) bool) int {
	least := 0
	for i := range targets {
		if less(targets[i], targets[least]) {
			least = i
		}
	}
	return least
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}
