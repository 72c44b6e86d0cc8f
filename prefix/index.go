package prefix

import (
	"math"
	"time"
)

const (
	// DefaultCapacity is the number of blocks that an index remembers, about
	// half a million tokens and 300 KB.
	DefaultCapacity = 4096
	// trustAfterGap is the factor by which a gap in the events lowers the trust
	// in a block that was known before: an eviction may have been lost.
	trustAfterGap = 0.5
	// dispatchHalfLife is the time in which the trust in a block that is known
	// only from an own dispatch halves.
	dispatchHalfLife = 2 * time.Minute
	// eventHalfLife is the same for a block that the engine reported.
	eventHalfLife = 10 * time.Minute
	// minTrust is the trust below which a block counts as unknown.
	minTrust = 0.05
)

// Index remembers which blocks a target has probably cached. It holds a bounded
// number of blocks and forgets those that were not seen for the longest time.
type Index struct {
	capacity int
	blocks   map[uint64]int32
	entries  []entry
	free     []int32
	// newest and oldest are the ends of the list by last use; none when empty.
	newest, oldest int32
	sequence       uint64
	gaps           uint32
	started        bool
}

type entry struct {
	hash         uint64
	seen         time.Time
	newer, older int32
	gaps         uint32
	reported     bool
}

const none = int32(-1)

// NewIndex returns an empty index for a number of blocks; capacity 0 takes
// DefaultCapacity.
func NewIndex(capacity int) *Index {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Index{
		capacity: capacity,
		blocks:   make(map[uint64]int32),
		newest:   none,
		oldest:   none,
	}
}

// Match returns how many tokens of a prompt the target has probably cached,
// each block weighted by the trust in it. A block counts only if all blocks
// before it are known.
func (x *Index) Match(now time.Time, blocks []uint64) int {
	expected := 0.0
	trust := 1.0
	for _, hash := range blocks {
		at, ok := x.blocks[hash]
		if !ok {
			break
		}
		trust = min(trust, x.trust(now, &x.entries[at]))
		if trust < minTrust {
			break
		}
		expected += trust * BlockTokens
	}
	return int(expected)
}

// Dispatched records that a prompt was sent to the target, which will cache it.
func (x *Index) Dispatched(now time.Time, blocks []uint64) {
	x.store(now, blocks, false)
}

// Event applies one cache event. Events that were applied before are ignored;
// a jump in the sequence counts as a gap.
func (x *Index) Event(now time.Time, event Event) {
	if x.started && event.Sequence <= x.sequence {
		return
	}
	if x.started && event.Sequence != x.sequence+1 {
		x.gaps++
	}
	x.started = true
	x.sequence = event.Sequence
	switch event.Kind {
	case Stored:
		x.store(now, event.Blocks, true)
	case Evicted:
		for _, hash := range event.Blocks {
			x.drop(hash)
		}
	case Cleared:
		x.clear()
	}
}

// Reset forgets everything, sequence number included, for a target that was
// restarted.
func (x *Index) Reset() {
	x.clear()
	x.started = false
	x.sequence = 0
}

// Len returns the number of known blocks.
func (x *Index) Len() int {
	return len(x.blocks)
}

// Gaps returns how many gaps were seen in the events.
func (x *Index) Gaps() int {
	return int(x.gaps)
}

func (x *Index) clear() {
	clear(x.blocks)
	x.entries = x.entries[:0]
	x.free = x.free[:0]
	x.newest, x.oldest = none, none
}

func (x *Index) trust(now time.Time, e *entry) float64 {
	halfLife := dispatchHalfLife
	if e.reported {
		halfLife = eventHalfLife
	}
	age := max(now.Sub(e.seen), 0).Seconds() / halfLife.Seconds()
	return math.Exp2(-age) * math.Pow(trustAfterGap, float64(x.gaps-e.gaps))
}

// store visits the blocks from the last to the first, so that the first block
// of a prefix, without which the others are useless, is forgotten last.
func (x *Index) store(now time.Time, blocks []uint64, reported bool) {
	for i := len(blocks) - 1; i >= 0; i-- {
		x.storeOne(now, blocks[i], reported)
	}
}

func (x *Index) storeOne(now time.Time, hash uint64, reported bool) {
	at, ok := x.blocks[hash]
	if !ok {
		at = x.take()
		x.entries[at] = entry{hash: hash}
		x.blocks[hash] = at
	} else {
		x.unlink(at)
	}
	e := &x.entries[at]
	e.seen = now
	e.gaps = x.gaps
	e.reported = reported
	x.linkNewest(at)
}

// take returns an unlinked place, the oldest one when the index is full.
func (x *Index) take() int32 {
	if last := len(x.free) - 1; last >= 0 {
		at := x.free[last]
		x.free = x.free[:last]
		return at
	}
	if len(x.entries) < x.capacity {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	at := x.oldest
	x.unlink(at)
	delete(x.blocks, x.entries[at].hash)
	return at
}

func (x *Index) drop(hash uint64) {
	at, ok := x.blocks[hash]
	if !ok {
		return
	}
	x.unlink(at)
	delete(x.blocks, hash)
	x.free = append(x.free, at)
}

func (x *Index) linkNewest(at int32) {
	x.entries[at].older = x.newest
	x.entries[at].newer = none
	if x.newest != none {
		x.entries[x.newest].newer = at
	} else {
		x.oldest = at
	}
	x.newest = at
}

func (x *Index) unlink(at int32) {
	e := x.entries[at]
	if e.newer != none {
		x.entries[e.newer].older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != none {
		x.entries[e.older].newer = e.newer
	} else {
		x.oldest = e.newer
	}
}
