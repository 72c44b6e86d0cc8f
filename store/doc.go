// Package store is the daemon's client of the platform's table service and
// object store. All parts of a daemon share one Client, so that together they
// stay within the daemon's budget of reads and writes.
//
// A call that would exceed the budget waits, at most for
// the timeout of a call. After repeated failures a circuit breaker refuses
// calls at once and lets single ones through as probes, at times that differ
// between daemons, so that a store that recovers is not flooded.
//
// Errors tell what happened to a write: errors that wrap platform.ErrUnavailable
// had no effect, platform.ErrUnknown may have had one. CommitWithToken resolves the
// latter by reading back.
package store
