package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of prompt text in bytes.
	BlockBytes = 512
	// BlockTokens is the estimated length of a block in tokens, at 4 bytes per token.
	BlockTokens = 128
	// MaxBlocks bounds the number of hashes of one prompt, and thereby the size of a
	// message that carries them.
	MaxBlocks = 64
)

// HashBlocks returns the hashes of the complete blocks of a prompt, at most MaxBlocks.
// Hash i covers the prompt from its start to the end of block i.
func HashBlocks(text string) []uint64 {
	count := min(len(text)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, count)
	var digest xxhash.Digest
	digest.Reset()
	for i := range hashes {
		_, _ = digest.WriteString(text[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// ChainHash returns the hash of the prefix that extends the prefix with hash parent by
// the block with the given number. It is for sources that identify blocks only by
// number.
func ChainHash(parent, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], parent)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

// EventKind is the kind of a cache event.
type EventKind uint8

// Kinds of cache events.
const (
	// Stored means that the blocks are now in the cache.
	Stored EventKind = iota
	// Evicted means that the blocks were removed from the cache.
	Evicted
	// Cleared means that the cache is empty; the event has no blocks.
	Cleared
)

// Event is one cache event of an engine.
type Event struct {
	// Sequence increases by one with each event of a target.
	Sequence uint64
	Kind     EventKind
	Blocks   []uint64
}
