// Package peer keeps sessions between marjoramflow daemons. A session is one
// TCP connection (with mutual TLS when files are set) that carries one drpc
// stream of peerpb.Envelope messages in both directions.
//
// Each pair of daemons has at most one session. When two daemons dial each
// other at the same moment, the session dialled by the daemon with the smaller
// name stays up and the other one is closed.
//
// A daemon that has sent nothing on a session for one second (1.5 s on the
// accepting side) sends a Ping. A session on which no bytes arrive for three
// seconds is closed and the peer is dialled again, so that a connection that
// fails without an error is detected and replaced.
//
// Messages are delivered in the order in which they were sent, at most once.
// Messages that were queued when a session ended are lost; callers of Send have
// to retry.
package peer
