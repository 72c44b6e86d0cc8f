package prefix

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against equal hashes of blocks although an earlier part of the prompts differs,
// and against hashes that depend on the text after the block.
func TestBlockHashCoversPromptUpToBlockEnd(t *testing.T) {
	a := HashBlocks(strings.Repeat("a", 3*BlockBytes))
	longer := HashBlocks(strings.Repeat("a", 3*BlockBytes) + strings.Repeat("b", BlockBytes+5))
	other := HashBlocks("x" + strings.Repeat("a", 3*BlockBytes))
	assert.Equal(t, len(a), 3)
	assert.Equal(t, len(longer), 4)
	assert.DeepEqual(t, longer[:3], a)
	for i := range a {
		assert.Assert(t, a[i] != other[i])
	}
	assert.Assert(t, a[0] != a[1])
	assert.Equal(t, len(HashBlocks(strings.Repeat("a", 2*MaxBlocks*BlockBytes))), MaxBlocks)
	assert.Equal(t, len(HashBlocks("short")), 0)
}

// Guards against counting blocks as cached that the engine has evicted.
func TestEventsOverruleDispatches(t *testing.T) {
	x := NewIndex(100)
	blocks := []uint64{1, 2, 3}
	x.RecordDispatch(start, blocks)
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), 3*BlockTokens)
	x.ApplyEvent(start, Event{Sequence: 1, Kind: Evicted, Blocks: []uint64{2}})
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), BlockTokens)
	x.ApplyEvent(start, Event{Sequence: 2, Kind: Stored, Blocks: []uint64{2}})
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), 3*BlockTokens)
	x.ApplyEvent(start, Event{Sequence: 3, Kind: Cleared})
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), 0)
}

// Guards against full trust in blocks recorded before a gap in the events or long ago, and
// against trust that stays low after the block is recorded again.
func TestTrustFallsAfterAGapAndWithTime(t *testing.T) {
	x := NewIndex(100)
	blocks := []uint64{1}
	x.ApplyEvent(start, Event{Sequence: 5, Kind: Stored, Blocks: blocks})
	x.ApplyEvent(start, Event{Sequence: 6, Kind: Stored, Blocks: []uint64{9}})
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), BlockTokens)
	x.ApplyEvent(start, Event{Sequence: 8, Kind: Stored, Blocks: []uint64{10}})
	assert.Equal(t, x.Gaps(), 1)
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), BlockTokens/2)
	assert.Equal(t, x.ExpectedCachedTokens(start.Add(eventHalfLife), blocks), BlockTokens/4)
	x.ApplyEvent(start, Event{Sequence: 9, Kind: Stored, Blocks: blocks})
	assert.Equal(t, x.ExpectedCachedTokens(start, blocks), BlockTokens)
	assert.Equal(t, x.ExpectedCachedTokens(start.Add(10*eventHalfLife), blocks), 0)
}

// Guards against late or repeated events that override newer ones.
func TestOldEventsAreIgnored(t *testing.T) {
	x := NewIndex(100)
	x.ApplyEvent(start, Event{Sequence: 2, Kind: Stored, Blocks: []uint64{1}})
	x.ApplyEvent(start, Event{Sequence: 1, Kind: Evicted, Blocks: []uint64{1}})
	x.ApplyEvent(start, Event{Sequence: 2, Kind: Evicted, Blocks: []uint64{1}})
	assert.Equal(t, x.ExpectedCachedTokens(start, []uint64{1}), BlockTokens)
	assert.Equal(t, x.Gaps(), 0)
}

// Guards against unbounded growth and a corrupted list: after any sequence of calls, the
// index holds at most its capacity of blocks, among them the newest, and each is in the
// list.
func TestIndexIsBoundedAndKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		x := NewIndex(capacity)
		blocks := rapid.SliceOfN(rapid.Uint64Range(0, 40), 1, 4)
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			drawn := blocks.Draw(t, "blocks")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				x.ApplyEvent(start, Event{Sequence: uint64(i + 1), Kind: Evicted, Blocks: drawn})
				assert.Equal(t, x.ExpectedCachedTokens(start, drawn), 0)
			} else {
				x.RecordDispatch(start, drawn)
				assert.Assert(t, x.ExpectedCachedTokens(start, drawn[:1]) > 0)
			}
			assert.Assert(t, x.Len() <= capacity)
			listed := 0
			for n := x.newest; n != noNode; n = x.nodes[n].older {
				listed++
			}
			assert.Equal(t, listed, x.Len())
		}
	})
}
