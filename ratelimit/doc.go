// Package ratelimit holds a client account to one limit across all daemons
// without using the table service. It has two independent schemes: an Account in
// each daemon with one Divider per limit, and a single Bucket per limit.
//
// With Account and Divider, each daemon has a token bucket per account, whose rate
// is the daemon's portion of the account's limit. Once a second the daemon reports
// its demand to the account's divider, which answers with a new portion. The daemon
// counts the validity of a portion, 2 s, from the moment at which it sent the
// report that the portion answers, so neither differences between clocks nor
// message delays extend it.
//
// A daemon without a valid portion uses its floor: the limit divided by the number
// of live daemons. A portion above the floor ends when it expires. A portion below
// the floor is kept for another 6 s, during which the divider takes the difference
// back from the other daemons.
//
// The portions and floors in force add up to at most the limit while a single
// divider works, knows all daemons, and no daemon whose reports arrive misses two
// answers in a row (a session between daemons that loses messages breaks, and then
// carries no reports either). A portion that was handed out counts until it
// expires, whether or not a smaller one followed. The exceptions are bounded:
//
//   - A daemon that joins uses its floor at once, which adds one floor for a few
//     seconds.
//   - With n daemons that each act as the divider, the sum is at most n times the
//     limit.
//   - Partitions that are cut off from the divider and from one another use at most
//     their floors, so together at most the limit once their portions have expired.
//
// A divider hands out nothing in its first 2 s, in which the portions of an earlier
// divider expire.
//
// The token bucket of an Account holds one second of its rate, but at least one
// unit.
//
// A Bucket is kept by one daemon, and the others lease units from it. Package
// internal/quota uses it.
//
// The package does no I/O and reads no clock; the caller passes the time. Account,
// Bucket and Divider are safe for concurrent use.
package ratelimit
