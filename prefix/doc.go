// Package prefix estimates how much of a prompt a target has in its prefix
// cache. A prompt is cut into blocks, and the hash of a block covers the prompt
// up to its end, so equal hashes mean equal prefixes.
//
// Two kinds of evidence feed an index: the group's own dispatches, and cache
// events of the engine, which come late and with gaps. A gap in the sequence
// numbers lowers the trust in everything that was known before.
//
// The package is pure and not safe for concurrent use.
package prefix
