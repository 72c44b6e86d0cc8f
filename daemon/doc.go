// Package daemon connects the parts of marjoramd. Each background task runs in its own
// goroutine; the tasks exchange messages through bounded rings and read shared state
// through immutable snapshots.
//
// A planned stop turns readiness off, informs the peers, waits for requests in flight and
// for other daemons to take over the groups that this one owns, and ends the background
// tasks last.
package daemon
