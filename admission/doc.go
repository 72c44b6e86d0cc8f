// Package admission holds the requests that wait for a target. Tiers are served
// in strict order; tier 0 is the highest. Inside a tier, client accounts share
// the targets by start-time fair queueing with predicted work as the cost.
// Inside an account, a request is ordered by its arrival plus a multiple of its
// predicted work, so a short request overtakes a long one that arrived shortly
// before, and a long one is overtaken only for a bounded time.
//
// Requests that can run on the same targets form a class. The cost of an
// operation grows with the logarithm of the number of waiting requests and with
// the number of tiers and classes; it never visits the whole queue, except in
// Reclassify, which runs when the set of targets changes.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package admission
