// Package retry decides what follows an attempt at a request: another attempt, a
// resumed stream, or the end of the request with "not run" or "outcome unknown".
//
// A request ends with "not run" only when no attempt can have run: either nothing
// was sent, or the target states that it refused the request before running it.
// Once an attempt may have run, "unknown" takes the place of any later "not run".
//
// Retries and hedges that put load on targets are charged to a budget: 10% of the
// requests of the last 10 s plus one per second. Three kinds are not charged: a
// retry after an attempt that was not sent, because it cost the targets nothing; a
// retry after the loss of a target, and the resumption of a stream, because their
// number is bounded by what was in flight on the lost target. All retries are
// bounded by MaxAttempts and by the deadline.
//
// The package does no I/O and reads no clock; the caller passes the time. Budget
// and Hedger are safe for concurrent use.
package retry
