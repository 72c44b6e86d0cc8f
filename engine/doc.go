// Package engine is the client of LLM engines: chat completions streamed as
// server-sent events, health probes, load reports, cache events and control
// commands.
//
// Every frame of a stream names the attempt that it belongs to and the index of
// its token. Frames of another attempt are dropped. A missing token ends the
// stream with an error, so that the caller of this package can resume at the
// right token. A stream that makes no progress within its timeout is closed.
package engine
