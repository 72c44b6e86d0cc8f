package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// recentTime is how long a record is kept after it was written. A table that is restored from a
	// copy loses the writes of some seconds.
	recentTime = time.Minute
	// maxRecentRecords and maxRecentAnswerBytes bound the records that are kept. Beyond them, answers
	// and then whole records are left out: their keys count as unknown after a restore, or as free.
	maxRecentRecords     = 20_000
	maxRecentAnswerBytes = 2 << 20
)

// recentRecord is a record of this daemon with the time at which it was written.
type recentRecord struct {
	record
	at time.Time
}

// recentRecords are the records that this daemon wrote last, by row key. It is safe for concurrent use.
type recentRecords struct {
	mu          sync.Mutex
	records     map[string]recentRecord
	answerBytes int
	nextSweep   time.Time
}

// add keeps the record of a claim.
func (r *recentRecords) add(now time.Time, rowKey string, claimed record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if len(r.records) < maxRecentRecords {
		r.put(rowKey, recentRecord{claimed, now})
	}
}

// update keeps the final state of a claim that is known.
func (r *recentRecords) update(now time.Time, u *stateUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.records[u.rowKey]
	if !found || known.Token != u.token {
		return
	}
	known.State, known.Answer, known.at = u.state, u.answer, now
	if u.answer != nil && r.answerBytes+u.answer.size() > maxRecentAnswerBytes {
		known.State, known.Answer = stateUnknown, nil
	}
	r.put(u.rowKey, known)
}

// put replaces a record. The caller holds mu.
func (r *recentRecords) put(rowKey string, next recentRecord) {
	r.remove(rowKey)
	r.records[rowKey] = next
	if next.Answer != nil {
		r.answerBytes += next.Answer.size()
	}
}

// remove forgets a record. The caller holds mu.
func (r *recentRecords) remove(rowKey string) {
	if old := r.records[rowKey]; old.Answer != nil {
		r.answerBytes -= old.Answer.size()
	}
	delete(r.records, rowKey)
}

// sweep forgets old records, once in a while. The caller holds mu.
func (r *recentRecords) sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(recentTime / 8)
	for rowKey, kept := range r.records {
		if now.Sub(kept.at) > recentTime {
			r.remove(rowKey)
		}
	}
}

// all returns the row keys of the records that were written within recentTime.
func (r *recentRecords) all(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for rowKey, kept := range r.records {
		if now.Sub(kept.at) <= recentTime {
			keys = append(keys, rowKey)
		}
	}
	return keys
}

func (r *recentRecords) get(rowKey string) (record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, found := r.records[rowKey]
	return kept.record, found
}

// TableRestored makes Run write the recent claims and outcomes of this daemon again that a restored
// table has lost. Until then another daemon may claim their keys. It does not block.
func (c *Claims) TableRestored() {
	select {
	case c.restored <- struct{}{}:
	default:
	}
}

// runRestores handles restores of the table until ctx ends.
func (c *Claims) runRestores(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.restored:
		}
		keys := c.recent.all(time.Now())
		delay := initialRetryDelay
		for len(keys) > 0 {
			batch := keys[:min(len(keys), maxRowsPerBatch)]
			if err := c.writeAgain(ctx, batch); err == nil {
				keys, delay = keys[len(batch):], initialRetryDelay
				continue
			}
			if !sleep(ctx, delay) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// writeAgain writes the records of some rows again that the table lacks or has in an earlier state.
func (c *Claims) writeAgain(ctx context.Context, keys []string) error {
	rows, err := c.get(ctx, keys)
	if err != nil {
		return err
	}
	var writes []provider.Write
	for _, row := range rows {
		if write, needed := c.lostWrite(row); needed {
			writes = append(writes, write)
		}
	}
	if len(writes) == 0 {
		return nil
	}
	if inserted := insertedKeys(writes); len(inserted) > 0 {
		writes = append(writes, indexWrite(time.Now(), c.newToken(), inserted))
	}
	err = c.commit(ctx, writes)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		return c.writeAgain(ctx, keys)
	}
	return err
}

// lostWrite returns the write of the known record of a row, and false if the row is not behind it.
func (c *Claims) lostWrite(row provider.Row) (provider.Write, bool) {
	known, found := c.recent.get(row.Key)
	if !found {
		return provider.Write{}, false
	}
	if row.Version != 0 {
		stored, err := decodeRecord(row)
		isBehind := stored.Token == known.Token && stored.State == stateClaimed && known.State != stateClaimed
		if err != nil || !isBehind && !stored.free() || stored.Token == known.Token && stored.State == known.State {
			return provider.Write{}, false
		}
	}
	if known.State == stateAbandoned {
		return provider.Write{}, false
	}
	return provider.Write{Key: row.Key, Value: known.encode(), IfVersion: row.Version}, true
}
