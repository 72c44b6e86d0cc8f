package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxRowsPerBatch leaves one row of the transaction for the batch's index row.
	maxRowsPerBatch = provider.MaxTransactionRows - 1
	// initialRetryDelay is the delay before the first retry; it doubles with
	// each further one.
	initialRetryDelay = 20 * time.Millisecond
	// maxRetryDelay bounds the delay between retries.
	maxRetryDelay = time.Second
	// maxFailures is the number of failed attempts after which a batch gives up,
	// if none of its claims can have been written.
	maxFailures = 4
)

// keyClaim is the claim of one key in a batch. Its row gets the token of the first
// waiter. The others claimed the same key and get the resulting state.
type keyClaim struct {
	rowKey  string
	waiters []*waiter
	record  record
	// ifVersion is the row version that the claim replaces; 0 for an absent row.
	ifVersion uint64
	// maybeWritten is set when a commit ended with an unknown outcome: the row may
	// have been written, or may still be.
	maybeWritten bool
}

// batch claims several keys in one transaction. Keys that are resolved leave it.
type batch struct {
	claims    *Claims
	keyClaims map[string]*keyClaim
}

func newBatch(c *Claims) *batch {
	return &batch{claims: c, keyClaims: map[string]*keyClaim{}}
}

func (b *batch) add(w *waiter) {
	kc := b.keyClaims[w.rowKey]
	if kc == nil {
		kc = &keyClaim{rowKey: w.rowKey}
		kc.record = record{State: stateClaimed, Token: w.token, Fingerprint: w.fingerprint, ClaimedMs: time.Now().UnixMilli()}
		b.keyClaims[w.rowKey] = kc
	}
	kc.waiters = append(kc.waiters, w)
}

// run commits the batch, with retries within ResolveTimeout, and replies to all
// waiters.
func (b *batch) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, b.claims.options.ResolveTimeout)
	defer cancel()
	var err error
	delay := initialRetryDelay
	for failures := 0; len(b.keyClaims) > 0; {
		err = b.tryCommit(ctx)
		if err == nil && ctx.Err() == nil {
			continue
		}
		failures++
		// When nothing can have been written, an unreachable table is reported
		// early. Otherwise the batch keeps trying for the whole ResolveTimeout.
		if failures >= maxFailures && !b.anyMaybeWritten() {
			break
		}
		if !sleep(ctx, delay) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	b.failRemaining(err)
}

// tryCommit makes one transaction and resolves the claims that it decides. It
// returns nil when the next attempt can follow without delay.
func (b *batch) tryCommit(ctx context.Context) error {
	err := b.claims.commit(ctx, b.writes())
	var conflict *provider.ConflictError
	switch {
	case err == nil:
		for _, kc := range b.keyClaims {
			b.respondClaimed(kc)
		}
		return nil
	case errors.As(err, &conflict):
		return b.readBack(ctx, conflict.Keys)
	case hadNoEffect(err):
		return err
	}
	for _, kc := range b.keyClaims {
		kc.maybeWritten = true
	}
	if readErr := b.readBack(ctx, nil); readErr != nil {
		return readErr
	}
	return err
}

func (b *batch) anyMaybeWritten() bool {
	for _, kc := range b.keyClaims {
		if kc.maybeWritten {
			return true
		}
	}
	return false
}

func (b *batch) writes() []provider.Write {
	writes := make([]provider.Write, 0, len(b.keyClaims)+1)
	rowKeys := make([]string, 0, len(b.keyClaims))
	for rowKey, kc := range b.keyClaims {
		writes = append(writes, provider.Write{Key: rowKey, Value: kc.record.encode(), IfVersion: kc.ifVersion})
		rowKeys = append(rowKeys, rowKey)
	}
	return append(writes, indexWrite(time.Now(), b.claims.newToken(), rowKeys))
}

// readBack reads the rows of the given keys and resolves the claims that are
// decided. When no given key is in the batch, it reads all rows of the batch.
func (b *batch) readBack(ctx context.Context, keys []string) error {
	var readKeys []string
	for _, key := range keys {
		if b.keyClaims[key] != nil {
			readKeys = append(readKeys, key)
		}
	}
	if len(readKeys) == 0 {
		for rowKey := range b.keyClaims {
			readKeys = append(readKeys, rowKey)
		}
	}
	rows, err := b.claims.get(ctx, readKeys)
	if err != nil {
		return err
	}
	for i, row := range rows {
		b.resolve(b.keyClaims[readKeys[i]], row)
	}
	return nil
}

// resolve compares a claim with its row and replies to its waiters, unless the row
// is free. In that case the claim stays in the batch for the next attempt.
func (b *batch) resolve(kc *keyClaim, row provider.Row) {
	if row.Version == 0 {
		kc.ifVersion = 0
		return
	}
	r, err := decodeRecord(row)
	switch {
	case err != nil:
		b.respondEach(kc, func(*waiter) reply { return reply{err: err} })
	case r.Token == kc.record.Token && r.State == stateClaimed:
		b.respondClaimed(kc)
	case r.free():
		kc.ifVersion = row.Version
	default:
		now, maxRun := time.Now(), b.claims.options.MaxRunTime
		b.respondEach(kc, func(w *waiter) reply { return reply{result: r.resultFor(w.fingerprint, now, maxRun)} })
	}
}

// respondClaimed removes a claim whose row has its token from the batch. The
// first waiter gets the key; the claim is abandoned if that waiter has cancelled.
func (b *batch) respondClaimed(kc *keyClaim) {
	delete(b.keyClaims, kc.rowKey)
	b.claims.recent.add(time.Now(), kc.rowKey, kc.record)
	held := &HeldClaim{rowKey: kc.rowKey, token: kc.record.Token}
	if !kc.waiters[0].respond(reply{result: Result{Outcome: Claimed, HeldClaim: held}}) {
		b.claims.Abandon(held)
	}
	now, maxRun := time.Now(), b.claims.options.MaxRunTime
	for _, w := range kc.waiters[1:] {
		w.respond(reply{result: kc.record.resultFor(w.fingerprint, now, maxRun)})
	}
}

// respondEach removes a claim that did not get its key from the batch and replies
// to its waiters. When the row was claimed with another token, a late write of this
// claim cannot take effect: the condition on the row's version fails.
func (b *batch) respondEach(kc *keyClaim, replyFor func(*waiter) reply) {
	delete(b.keyClaims, kc.rowKey)
	for _, w := range kc.waiters {
		w.respond(replyFor(w))
	}
}

// failRemaining replies with an error to the waiters of all claims that are not
// resolved. For rows that may have been written, it submits a tombstone.
func (b *batch) failRemaining(cause error) {
	err := fault.Wrap(errors.Join(ErrUnresolved, cause), stepPrefix+".claim", "")
	for _, kc := range b.keyClaims {
		b.respondEach(kc, func(*waiter) reply { return reply{err: err} })
		if kc.maybeWritten {
			b.claims.submit(&stateUpdate{rowKey: kc.rowKey, token: kc.record.Token, state: stateAbandoned, tombstone: &kc.record})
		}
	}
}

// hadNoEffect reports whether a failed commit certainly had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrOutcomeUnknown)
}

// sleep waits for the delay. It returns false when ctx ended first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
