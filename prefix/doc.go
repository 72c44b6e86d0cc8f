// Package prefix estimates how much of a prompt a target has in its prefix
// cache. A prompt is divided into blocks. The hash of a block covers the prompt
// from its start to the end of the block, so equal hashes mean equal prefixes.
//
// An index is fed from two sources: the requests that the group dispatches itself,
// and cache events of the engine, which arrive late and with gaps. A gap in the
// sequence numbers lowers the trust in all blocks that were recorded before it.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package prefix
