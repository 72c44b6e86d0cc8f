// Package store is the daemon's client of the platform's table service and
// object store. All parts of a daemon share one Client, so that together they
// stay within the daemon's budget of reads and writes.
//
// A call that would exceed the budget waits, at most for the timeout of a call.
// After repeated failures a circuit breaker refuses calls immediately and lets
// single calls through as probes. The delay between probes is random, so that the
// daemons do not flood a store that recovers.
//
// The error of a write tells its outcome: the write had no effect if the error wraps
// provider.ErrUnavailable, and may have had one if it wraps provider.ErrOutcomeUnknown.
// CommitWithToken resolves the unknown outcome by reading the rows back.
package store
