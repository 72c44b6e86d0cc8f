package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of prompt text.
	BlockBytes = 512
	// BlockTokens is the length of a block in tokens, at 4 bytes a token.
	BlockTokens = 128
	// MaxBlocks bounds the hashes of one prompt, and so the size of a message
	// that carries them.
	MaxBlocks = 64
)

// Blocks returns the hashes of the whole blocks of a prompt, at most MaxBlocks.
// Hash i covers the prompt up to the end of block i.
func Blocks(text string) []uint64 {
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

// Chain derives the hash of the block that follows the prefix with hash parent,
// for sources that know blocks only by number.
func Chain(parent, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], parent)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

// EventKind says what happened to blocks of a cache.
type EventKind uint8

// Kinds of cache events.
const (
	// Stored blocks are in the cache now.
	Stored EventKind = iota
	// Evicted blocks have left the cache.
	Evicted
	// Cleared means that the cache is empty; the event has no blocks.
	Cleared
)

// Event is one cache event of an engine.
type Event struct {
	// Sequence rises by one with each event of a target.
	Sequence uint64
	Kind     EventKind
	Blocks   []uint64
}
