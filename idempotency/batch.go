package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxEntries leaves one row of the transaction for the batch's index row.
	maxEntries = provider.MaxTransactionRows - 1
	// retryDelay is the first delay between calls of a batch; it doubles.
	retryDelay = 20 * time.Millisecond
	// maxRetryDelay bounds it.
	maxRetryDelay = time.Second
	// maxFailures is the number of failed calls after which claims that certainly
	// had no effect are given up.
	maxFailures = 4
)

// entry is one key of a batch. The first waiter's token is written; the other
// waiters asked for the same key and get the state that results.
type entry struct {
	row     string
	waiters []*waiter
	record  record
	// ifVersion is the version that the claim replaces; 0 for an absent row.
	ifVersion uint64
	// doubt is set when a write may have been made and not been seen yet.
	doubt bool
}

// batch claims several keys in one transaction.
type batch struct {
	claims  *Claims
	entries map[string]*entry
}

func newBatch(c *Claims) *batch {
	return &batch{claims: c, entries: map[string]*entry{}}
}

func (b *batch) add(w *waiter) {
	e := b.entries[w.row]
	if e == nil {
		e = &entry{row: w.row}
		e.record = record{State: stateClaimed, Token: w.token, Fingerprint: w.fingerprint, ClaimedMs: time.Now().UnixMilli()}
		b.entries[w.row] = e
	}
	e.waiters = append(e.waiters, w)
}

// run commits the batch and answers all waiters.
func (b *batch) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, b.claims.options.ResolveTimeout)
	defer cancel()
	var err error
	delay := retryDelay
	for failures := 0; len(b.entries) > 0; {
		err = b.attempt(ctx)
		if err == nil && ctx.Err() == nil {
			continue
		}
		failures++
		// An unreachable table is reported early; a doubt is worth the full time.
		if failures >= maxFailures && !b.inDoubt() {
			break
		}
		if !pause(ctx, delay) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	b.fail(err)
}

// attempt makes one transaction and settles the entries that it decides. It
// returns nil when the next transaction can follow at once.
func (b *batch) attempt(ctx context.Context) error {
	err := b.claims.commit(ctx, b.writes())
	var conflict *provider.ConflictError
	switch {
	case err == nil:
		for _, e := range b.entries {
			b.won(e)
		}
		return nil
	case errors.As(err, &conflict):
		return b.readBack(ctx, conflict.Keys)
	case isUnavailable(err):
		return err
	}
	for _, e := range b.entries {
		e.doubt = true
	}
	if readErr := b.readBack(ctx, nil); readErr != nil {
		return readErr
	}
	return err
}

func (b *batch) inDoubt() bool {
	for _, e := range b.entries {
		if e.doubt {
			return true
		}
	}
	return false
}

func (b *batch) writes() []provider.Write {
	writes := make([]provider.Write, 0, len(b.entries)+1)
	rows := make([]string, 0, len(b.entries))
	for row, e := range b.entries {
		writes = append(writes, provider.Write{Key: row, Value: e.record.encode(), IfVersion: e.ifVersion})
		rows = append(rows, row)
	}
	return append(writes, indexWrite(time.Now(), b.claims.newToken(), rows))
}

// readBack reads rows of the batch, or all of them when there are no keys, and
// settles those that are decided.
func (b *batch) readBack(ctx context.Context, keys []string) error {
	var known []string
	for _, key := range keys {
		if b.entries[key] != nil {
			known = append(known, key)
		}
	}
	if len(known) == 0 {
		for row := range b.entries {
			known = append(known, row)
		}
	}
	rows, err := b.claims.get(ctx, known)
	if err != nil {
		return err
	}
	for i, row := range rows {
		b.settle(b.entries[known[i]], row)
	}
	return nil
}

// settle compares a row with an entry. Entries of free rows stay in the batch.
func (b *batch) settle(e *entry, row provider.Row) {
	if row.Version == 0 {
		e.ifVersion = 0
		return
	}
	r, err := decode(row)
	switch {
	case err != nil:
		b.lost(e, func(*waiter) reply { return reply{err: err} })
	case r.Token == e.record.Token && r.State == stateClaimed:
		b.won(e)
	case r.free():
		e.ifVersion = row.Version
	default:
		now, maxRun := time.Now(), b.claims.options.MaxRunTime
		b.lost(e, func(w *waiter) reply { return reply{result: r.result(w.fingerprint, now, maxRun)} })
	}
}

// won answers the waiters of an entry whose row has our token.
func (b *batch) won(e *entry) {
	delete(b.entries, e.row)
	held := &HeldClaim{row: e.row, token: e.record.Token}
	if !e.waiters[0].answer(reply{result: Result{Outcome: Claimed, HeldClaim: held}}) {
		b.claims.Abandon(held)
	}
	now, maxRun := time.Now(), b.claims.options.MaxRunTime
	for _, w := range e.waiters[1:] {
		w.answer(reply{result: e.record.result(w.fingerprint, now, maxRun)})
	}
}

// lost answers the waiters of an entry whose row is not ours. A row that was
// claimed by another token excludes our own late write: its condition fails.
func (b *batch) lost(e *entry, answer func(*waiter) reply) {
	delete(b.entries, e.row)
	for _, w := range e.waiters {
		w.answer(answer(w))
	}
}

// fail answers the waiters of entries that could not be settled. Entries in
// doubt are closed by a tombstone.
func (b *batch) fail(cause error) {
	err := fault.Wrap(errors.Join(ErrUnreachable, cause), step+".claim", "")
	for _, e := range b.entries {
		b.lost(e, func(*waiter) reply { return reply{err: err} })
		if e.doubt {
			b.claims.submit(&end{row: e.row, token: e.record.Token, state: stateAbandoned, tombstone: &e.record})
		}
	}
}

// isUnavailable reports whether a commit certainly had no effect.
func isUnavailable(err error) bool {
	return errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrUnknown)
}

// pause reports whether the delay passed before ctx ended.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
