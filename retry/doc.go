// Package retry decides what follows an attempt at a request: another attempt, a
// resumed stream, or the end with "not run" or "outcome unknown".
//
// The answer "not run" is given only when no attempt can have run: nothing was
// sent, or the target states that it refused the request before running it. One
// earlier attempt that may have run turns every later "not run" into "unknown".
//
// Retries and hedges that load targets draw on a budget: 10% of the requests of
// the last 10 s plus one per second. A retry after an attempt that was not sent,
// after the loss of a target, and the resumption of a stream do not draw on it:
// the first costs targets nothing, and the others are bounded by what was in
// flight on the lost target. All retries are bounded by MaxAttempts and by the
// deadline.
//
// The package is pure. Budget and Hedger are safe for concurrent use.
package retry
