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

// indexPrefix begins the keys of index rows. Each transaction that inserts rows
// of claims also writes one index row with their keys. The time follows the
// prefix, so that a list in key order returns the oldest index rows first and
// Sweep needs no scan of all claims.
const indexPrefix = "claim-index/"

// maxClockSkew is the tolerated difference between the clocks of two daemons.
const maxClockSkew = 10 * time.Minute

// indexRowsPerList is the number of index rows read at once.
const indexRowsPerList = provider.MaxTransactionRows

// indexWrite returns the write of an index row for the given row keys. The token
// makes its key unique.
func indexWrite(now time.Time, token string, rowKeys []string) provider.Write {
	data, err := json.Marshal(rowKeys)
	if err != nil {
		// A list of strings can always be encoded.
		panic(err)
	}
	return provider.Write{Key: fmt.Sprintf("%s%013d-%s", indexPrefix, now.UnixMilli(), token), Value: data}
}

// Sweep deletes claims older than Retention plus maxClockSkew, oldest first, with
// at most maxWrites transactions of up to 100 rows. It returns the number of
// claims deleted, also with an error. One daemon at a time should sweep; several
// at once only waste writes.
func (c *Claims) Sweep(ctx context.Context, maxWrites int) (deleted int, err error) {
	cutoff := time.Now().Add(-Retention - maxClockSkew)
	for range maxWrites {
		indexRows, err := c.oldIndexRows(ctx, cutoff)
		if err != nil || len(indexRows) == 0 {
			return deleted, err
		}
		n, err := c.sweepIndexRows(ctx, indexRows, cutoff)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// indexRow is an index row and the keys of the claims that it lists.
type indexRow struct {
	row  provider.Row
	keys []string
}

// oldIndexRows returns as many of the oldest index rows, all from before cutoff,
// as one transaction can delete together with their claims.
func (c *Claims) oldIndexRows(ctx context.Context, cutoff time.Time) ([]indexRow, error) {
	rows, err := c.listIndexRows(ctx)
	if err != nil {
		return nil, err
	}
	cutoffKey := fmt.Sprintf("%s%013d", indexPrefix, cutoff.UnixMilli())
	var out []indexRow
	rowCount := 0
	for _, row := range rows {
		var keys []string
		if err := json.Unmarshal(row.Value, &keys); err != nil {
			return nil, fault.Wrap(err, stepPrefix+".sweep", row.Key)
		}
		rowCount += len(keys) + 1
		if row.Key >= cutoffKey || rowCount > provider.MaxTransactionRows {
			break
		}
		out = append(out, indexRow{row: row, keys: keys})
	}
	return out, nil
}

func (c *Claims) listIndexRows(ctx context.Context) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.table.List(ctx, indexPrefix, indexRowsPerList)
}

// sweepIndexRows deletes the given index rows and the claims in them that were
// made before cutoff; it returns the number of claims deleted. A key that was
// claimed again after it was abandoned has a newer index row and is kept.
func (c *Claims) sweepIndexRows(ctx context.Context, indexRows []indexRow, cutoff time.Time) (int, error) {
	var writes []provider.Write
	var keys []string
	for _, indexed := range indexRows {
		writes = append(writes, provider.Write{Key: indexed.row.Key, IfVersion: indexed.row.Version, Delete: true})
		keys = append(keys, indexed.keys...)
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
		if r, err := decodeRecord(row); err == nil && time.UnixMilli(r.ClaimedMs).Before(cutoff) {
			writes = append(writes, provider.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	err = c.commit(ctx, writes)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		// A late answer or another sweeping daemon changed a row. The next round
		// reads it again.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(writes) - len(indexRows), nil
}
