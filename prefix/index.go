package prefix

import (
	"math"
	"time"
)

const (
	// DefaultCapacity is the default number of blocks in an index, enough for about
	// half a million tokens. Such an index takes about 300 KB of memory.
	DefaultCapacity = 4096
	// gapTrustFactor is the factor by which each gap in the events lowers the trust
	// in the blocks recorded before it, since an eviction may have been missed.
	gapTrustFactor = 0.5
	// dispatchHalfLife is the half-life of the trust in a block that was recorded
	// last by a dispatch.
	dispatchHalfLife = 2 * time.Minute
	// eventHalfLife is the half-life of the trust in a block that was recorded last by
	// an event of the engine.
	eventHalfLife = 10 * time.Minute
	// minTrust is the trust below which a block counts as not cached.
	minTrust = 0.05
)

// Index records which blocks a target has probably cached. It holds a bounded number of
// blocks and replaces the least recently recorded one when it is full.
type Index struct {
	capacity int
	// nodeByHash maps the hash of a block to the position of its node in nodes.
	nodeByHash map[uint64]int32
	nodes      []node
	freeNodes  []int32
	// newest and oldest are the ends of the list of nodes, ordered by when their blocks
	// were last recorded. Both are noNode when the list is empty.
	newest, oldest int32
	lastSequence   uint64
	gaps           uint32
	hasSequence    bool
}

// node is a block in the index and an element of a doubly linked list.
type node struct {
	hash             uint64
	recordedAt       time.Time
	newer, older     int32
	gapsWhenRecorded uint32
	fromEvent        bool
}

// noNode is the position that refers to no node.
const noNode = int32(-1)

// NewIndex returns an empty index for capacity blocks. A capacity of 0 or less means
// DefaultCapacity.
func NewIndex(capacity int) *Index {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Index{
		capacity:   capacity,
		nodeByHash: make(map[uint64]int32),
		newest:     noNode,
		oldest:     noNode,
	}
}

// ExpectedCachedTokens returns the expected number of tokens of a prompt that the target
// has cached: the tokens of each block, weighted by the lowest trust in it and the blocks
// before it. It stops at the first block that is unknown or whose weight is below
// minTrust.
func (x *Index) ExpectedCachedTokens(now time.Time, blocks []uint64) int {
	expected := 0.0
	trust := 1.0
	for _, hash := range blocks {
		i, ok := x.nodeByHash[hash]
		if !ok {
			break
		}
		trust = min(trust, x.blockTrust(now, &x.nodes[i]))
		if trust < minTrust {
			break
		}
		expected += trust * BlockTokens
	}
	return int(expected)
}

// RecordDispatch records that a prompt with these blocks was sent to the target, which
// will cache it.
func (x *Index) RecordDispatch(now time.Time, blocks []uint64) {
	x.recordBlocks(now, blocks, false)
}

// ApplyEvent applies one cache event. An event whose sequence number is not above the
// last one is ignored. Skipped sequence numbers count as one gap.
func (x *Index) ApplyEvent(now time.Time, event Event) {
	if x.hasSequence && event.Sequence <= x.lastSequence {
		return
	}
	if x.hasSequence && event.Sequence != x.lastSequence+1 {
		x.gaps++
	}
	x.hasSequence = true
	x.lastSequence = event.Sequence
	switch event.Kind {
	case Stored:
		x.recordBlocks(now, event.Blocks, true)
	case Evicted:
		for _, hash := range event.Blocks {
			x.remove(hash)
		}
	case Cleared:
		x.clear()
	}
}

// Reset removes all blocks and the last sequence number, for a target that was restarted.
func (x *Index) Reset() {
	x.clear()
	x.hasSequence = false
	x.lastSequence = 0
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	return len(x.nodeByHash)
}

// Gaps returns the number of gaps in the sequence of events since the index was created.
func (x *Index) Gaps() int {
	return int(x.gaps)
}

func (x *Index) clear() {
	clear(x.nodeByHash)
	x.nodes = x.nodes[:0]
	x.freeNodes = x.freeNodes[:0]
	x.newest, x.oldest = noNode, noNode
}

// blockTrust returns the trust in a block, between 0 and 1. It decreases with the time
// since the block was recorded and with the gaps since then.
func (x *Index) blockTrust(now time.Time, n *node) float64 {
	halfLife := dispatchHalfLife
	if n.fromEvent {
		halfLife = eventHalfLife
	}
	age := max(now.Sub(n.recordedAt), 0).Seconds() / halfLife.Seconds()
	return math.Exp2(-age) * math.Pow(gapTrustFactor, float64(x.gaps-n.gapsWhenRecorded))
}

// recordBlocks records the blocks from the last to the first, so that the first block of
// a prefix, without which the others are useless, is replaced last.
func (x *Index) recordBlocks(now time.Time, blocks []uint64, fromEvent bool) {
	for i := len(blocks) - 1; i >= 0; i-- {
		x.recordBlock(now, blocks[i], fromEvent)
	}
}

// recordBlock adds or updates one block and makes it the newest.
func (x *Index) recordBlock(now time.Time, hash uint64, fromEvent bool) {
	i, ok := x.nodeByHash[hash]
	if !ok {
		i = x.allocateNode()
		x.nodes[i] = node{hash: hash}
		x.nodeByHash[hash] = i
	} else {
		x.unlink(i)
	}
	n := &x.nodes[i]
	n.recordedAt = now
	n.gapsWhenRecorded = x.gaps
	n.fromEvent = fromEvent
	x.linkNewest(i)
}

// allocateNode returns the position of an unlinked node. When the index is full, it removes
// the oldest block and reuses its node.
func (x *Index) allocateNode() int32 {
	if last := len(x.freeNodes) - 1; last >= 0 {
		i := x.freeNodes[last]
		x.freeNodes = x.freeNodes[:last]
		return i
	}
	if len(x.nodes) < x.capacity {
		x.nodes = append(x.nodes, node{})
		return int32(len(x.nodes) - 1)
	}
	i := x.oldest
	x.unlink(i)
	delete(x.nodeByHash, x.nodes[i].hash)
	return i
}

// remove removes a block if the index has it.
func (x *Index) remove(hash uint64) {
	i, ok := x.nodeByHash[hash]
	if !ok {
		return
	}
	x.unlink(i)
	delete(x.nodeByHash, hash)
	x.freeNodes = append(x.freeNodes, i)
}

// linkNewest inserts an unlinked node at the newest end of the list.
func (x *Index) linkNewest(i int32) {
	x.nodes[i].older = x.newest
	x.nodes[i].newer = noNode
	if x.newest != noNode {
		x.nodes[x.newest].newer = i
	} else {
		x.oldest = i
	}
	x.newest = i
}

// unlink takes a node out of the list.
func (x *Index) unlink(i int32) {
	n := x.nodes[i]
	if n.newer != noNode {
		x.nodes[n.newer].older = n.older
	} else {
		x.newest = n.older
	}
	if n.older != noNode {
		x.nodes[n.older].newer = n.newer
	} else {
		x.oldest = n.newer
	}
}
