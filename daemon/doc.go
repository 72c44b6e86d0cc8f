// Package daemon puts the parts of marjoramd together. Each duty runs in its own
// goroutine; duties exchange messages through bounded rings and read shared
// state through immutable snapshots.
//
// A planned stop turns readiness off, tells the peers, waits for requests in
// flight and for the groups that the daemon owns to be taken over, and ends the
// duties last.
package daemon
