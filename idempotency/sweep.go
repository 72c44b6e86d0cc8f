package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

// Each transaction that inserts rows of claims also writes one index row with
// their row names. The names of index rows begin with the time, so that a list
// in key order returns the oldest first and Sweep needs no scan of all claims.
const indexPrefix = "claim-index/"

// clockMargin is the difference between the daemons' clocks that is allowed for.
const clockMargin = 10 * time.Minute

// sweepList is the number of index rows read at once.
const sweepList = provider.MaxTransactionRows

func indexWrite(now time.Time, token string, rows []string) provider.Write {
	data, err := json.Marshal(rows)
	if err != nil {
		// A list of strings can always be encoded.
		panic(err)
	}
	return provider.Write{Key: fmt.Sprintf("%s%013d-%s", indexPrefix, now.UnixMilli(), token), Value: data}
}

// Sweep deletes claims older than Retention with at most maxWrites transactions of
// up to 100 rows, oldest first. It returns the number of claims deleted. One
// daemon at a time should sweep; several at once only waste writes.
func (c *Claims) Sweep(ctx context.Context, maxWrites int) (deleted int, err error) {
	limit := time.Now().Add(-Retention - clockMargin)
	for range maxWrites {
		index, err := c.oldIndex(ctx, limit)
		if err != nil || len(index) == 0 {
			return deleted, err
		}
		n, err := c.sweepIndex(ctx, index, limit)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// indexRow is an index row and the claims that it names.
type indexRow struct {
	row  provider.Row
	keys []string
}

// oldIndex returns as many of the oldest index rows as one transaction can
// delete together with their claims.
func (c *Claims) oldIndex(ctx context.Context, limit time.Time) ([]indexRow, error) {
	rows, err := c.list(ctx)
	if err != nil {
		return nil, err
	}
	bound := fmt.Sprintf("%s%013d", indexPrefix, limit.UnixMilli())
	var out []indexRow
	size := 0
	for _, row := range rows {
		var keys []string
		if err := json.Unmarshal(row.Value, &keys); err != nil {
			return nil, fault.Wrap(err, step+".sweep", row.Key)
		}
		size += len(keys) + 1
		if row.Key >= bound || size > provider.MaxTransactionRows {
			break
		}
		out = append(out, indexRow{row: row, keys: keys})
	}
	return out, nil
}

func (c *Claims) list(ctx context.Context) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.table.List(ctx, indexPrefix, sweepList)
}

// sweepIndex deletes the old claims that some index rows name, and the index
// rows. A claim that was made anew after an abandoned one has a newer index row.
func (c *Claims) sweepIndex(ctx context.Context, index []indexRow, limit time.Time) (int, error) {
	var writes []provider.Write
	var keys []string
	for _, i := range index {
		writes = append(writes, provider.Write{Key: i.row.Key, IfVersion: i.row.Version, Delete: true})
		keys = append(keys, i.keys...)
	}
	slices.Sort(keys)
	rows, err := c.get(ctx, slices.Compact(keys))
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		if r, err := decode(row); err == nil && time.UnixMilli(r.ClaimedMs).Before(limit) {
			writes = append(writes, provider.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	err = c.commit(ctx, writes)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		// A late answer or another sweeper changed a row; the next round sees it.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(writes) - len(index), nil
}
