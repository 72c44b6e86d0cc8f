package blocklistsync

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// rowKey is the key of the row that holds the blocked sets.
	rowKey = "blocklist"
	// maxRowBytes bounds the value of this row. Sets whose last loss is the oldest are left
	// out beyond it.
	maxRowBytes = 32 << 10
	// storeTimeout bounds one call of the table; storeRetryInterval is the pause after a
	// failed call.
	storeTimeout       = 2 * time.Second
	storeRetryInterval = 2 * time.Second
)

// storedBlock is a blocked set as the row holds it.
type storedBlock struct {
	Parts        []uint64  `json:"parts"`
	FirstLoss    time.Time `json:"firstLoss"`
	LastLoss     time.Time `json:"lastLoss"`
	Recurring    bool      `json:"recurring"`
	FailedTrials int       `json:"failedTrials"`
	Targets      []string  `json:"targets"`
	Begun        bool      `json:"begun,omitempty"`
}

// RunTable reads the blocked sets from the table once and then writes them after each
// change, until the context ends. Failed calls are retried after storeRetryInterval.
func (s *Syncer) RunTable(ctx context.Context) error {
	for {
		if _, err := s.load(ctx); err == nil {
			break
		}
		if !ctxtime.Sleep(ctx, storeRetryInterval) {
			return nil
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.unsaved:
		}
		for !s.save(ctx) {
			if !ctxtime.Sleep(ctx, storeRetryInterval) {
				return nil
			}
		}
	}
}

// TableRestored makes the keeper of the row write the blocked sets again, since a restored table may
// have lost some. It does not block.
func (s *Syncer) TableRestored() {
	if len(s.tracker.Snapshot()) > 0 && s.IsKeeper(rowKey) {
		s.markUnsaved()
	}
}

// load merges the sets in the table and returns the version of their row. A row that cannot
// be read counts as empty.
func (s *Syncer) load(ctx context.Context) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.Table.Get(ctx, rowKey)
	if err != nil {
		return 0, err
	}
	var stored []storedBlock
	if len(rows) == 0 || json.Unmarshal(rows[0].Value, &stored) != nil {
		return versionOf(rows), nil
	}
	now := time.Now()
	for _, b := range stored {
		s.tracker.Merge(now, blocklist.Block{
			State:        blocklist.Blocked,
			Parts:        b.Parts,
			FirstLoss:    earlier(b.FirstLoss, now),
			LastLoss:     earlier(b.LastLoss, now),
			Recurring:    b.Recurring,
			FailedTrials: b.FailedTrials,
			Targets:      b.Targets,
			Begun:        b.Begun,
		})
	}
	return versionOf(rows), nil
}

func versionOf(rows []provider.Row) uint64 {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// earlier returns the earlier of two times. The clock of the daemon that wrote a row may be
// ahead of the one here.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// save writes the blocked sets, after it merged those that other daemons wrote. It returns
// false if the write has to be retried.
func (s *Syncer) save(ctx context.Context) bool {
	version, err := s.load(ctx)
	if err != nil {
		return false
	}
	value, err := encodeRow(s.tracker.Snapshot())
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = s.Table.Commit(ctx, provider.Write{Key: rowKey, Value: value, IfVersion: version})
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		// Another daemon wrote meanwhile; its sets are merged at once.
		s.markUnsaved()
		return true
	}
	return err == nil
}

// encodeRow encodes the blocked sets, those with the newest losses first, up to maxRowBytes.
func encodeRow(blocks []blocklist.Block) ([]byte, error) {
	slices.SortFunc(blocks, func(x, y blocklist.Block) int {
		return cmp.Or(y.LastLoss.Compare(x.LastLoss), cmp.Compare(blocklist.Key(x.Parts), blocklist.Key(y.Parts)))
	})
	stored := make([]storedBlock, len(blocks))
	for i, b := range blocks {
		// Without the monotonic clock, which other processes do not share.
		stored[i] = storedBlock{
			Parts: b.Parts, FirstLoss: b.FirstLoss.Round(0), LastLoss: b.LastLoss.Round(0),
			Recurring: b.Recurring, FailedTrials: b.FailedTrials, Targets: b.Targets, Begun: b.Begun,
		}
	}
	for {
		value, err := json.Marshal(stored)
		if err != nil || len(value) <= maxRowBytes {
			return value, err
		}
		stored = stored[:len(stored)-1]
	}
}
