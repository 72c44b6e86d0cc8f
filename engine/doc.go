// Package engine is the adapter to model engines: chat completions with
// server-sent events, health probes, load reports, cache events and control
// commands.
//
// Every frame of a stream names the attempt that it belongs to and the index of
// its token. Frames of another attempt are dropped; a missing token ends the
// stream with an error, so that the caller of this package can resume at the
// right token. A stream that makes no progress within its timeout is closed.
package engine
