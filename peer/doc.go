// Package peer keeps sessions between marjoramflow daemons. A session is one
// TCP connection (with mutual TLS when files are set) that carries one drpc
// stream of peerpb.Envelope messages in both directions.
//
// Each pair of daemons has at most one session. When two daemons dial each
// other at the same moment, the session dialled by the daemon with the smaller
// name stays and the other one is closed.
//
// A daemon that has sent nothing for one second sends a Ping. A session on
// which no bytes arrive for three seconds is closed and replaced by a fresh
// connection, so a connection that went silent without an error is found.
//
// Messages are delivered in the order in which they were sent, at most once.
// Messages that were queued when a session ended are lost; the callers of Send
// repeat what they need.
package peer
