// Package ratelimit holds a client account to one limit across all daemons
// without the store.
//
// Each daemon has a token bucket per account whose rate is a portion of the
// account's limit. Once a second it reports its demand to the account's divider,
// which answers with a new portion. A portion is valid until 2 s after the report
// that it answers was sent, so neither clocks nor delays of messages matter.
//
// A daemon without a valid portion uses its floor, the limit divided by the live
// daemons. A portion above the floor ends when it expires; one below the floor is
// kept 6 s longer, in which time the divider takes the difference back from the
// others.
//
// The portions and floors in force add up to at most the limit while one divider
// works, the daemons are known to it, and no daemon whose reports arrive misses
// two answers in a row (a session between daemons that loses messages breaks, and
// then carries no reports either). A portion that was handed out counts until it
// expires, whether or not a smaller one followed. The exceptions are bounded: a
// daemon that joins uses its floor at once, which adds one floor for a few
// seconds; with n daemons that each believe to be the divider, the sum is at most
// n times the limit; parts that are cut off from the divider and from one another
// use at most their floors, so together at most the limit once the portions have
// expired. A divider hands out nothing in its first 2 s, in which the portions of
// an earlier one expire.
//
// Each bucket holds one second of its rate, at least one unit.
//
// The package is pure. Account and Divider are safe for concurrent use.
package ratelimit
