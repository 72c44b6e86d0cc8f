// Package idempotency makes a request with an Idempotency-Key run at most once,
// whichever daemons its caller sends it to.
//
// Before dispatch, the daemon claims the key: it inserts one row in the table
// service on condition that the row is absent. Claims that arrive within a few
// milliseconds are committed in one transaction of at most 100 rows. When one key
// of a transaction conflicts, the others are committed without it.
//
// When the outcome of a commit is unknown, the rows are read back and their claim
// token is compared with that of the claim. A claim that cannot be resolved within
// a few seconds ends with an error, and a tombstone with the same condition is
// written in the background, so that a late write can no longer take the key.
//
// Every error of Claim means that the request did not run and will not run.
//
// After the request, Complete stores its answer, Abandon frees the key of a
// request that is certain not to have run, and MarkUnknown records that the
// outcome is unknown. A claim whose daemon died is reported as in progress until
// MaxRunTime has passed and as unknown from then on; its request is never
// dispatched again. Rows are kept for 24 hours; Sweep removes older ones.
//
// A table that is restored from an older copy loses claims and outcomes. TableRestored makes each
// daemon write again those that it made within the last minute.
//
// Rows are changed only on condition of their version. The package relies on
// the table service never to give a row a version that it had before it was
// deleted. Only Sweep deletes rows.
//
// All methods are safe for concurrent use.
package idempotency
