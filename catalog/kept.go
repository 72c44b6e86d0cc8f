package catalog

import (
	"bytes"
	"slices"

	"github.com/marjoramflow/marjoramflow/provider"
)

// keptRows holds the operator's rows that are in force. A store that is restored from an older
// copy shows rows that were replaced, and lacks rows that were written since; the operator writes
// these again, but may take a while. Until then the last known rows stay in force. keptRows is not
// safe for concurrent use.
type keptRows struct {
	rows map[string]*keptRow
}

// keptRow is a row in force, or the deletion of a row.
type keptRow struct {
	Record
	// replaced are the numbers of the last rows with this key before it, oldest first.
	replaced []uint64
	// missingUpTo is the revision up to which a restored store is known not to have the row, 0 if
	// the store has it.
	missingUpTo uint64
}

const (
	// maxReplaced bounds the rows that are remembered as replaced. A copy is some seconds old.
	maxReplaced = 8
	// maxKeptRows bounds the rows, with deleted ones. The operator has a row for each service
	// and data centre.
	maxKeptRows = 1024
)

func newKeptRows() *keptRows {
	return &keptRows{rows: make(map[string]*keptRow)}
}

// take records a row of the store and reports whether it takes effect. A row that the restored
// store shows again does not.
func (k *keptRows) take(r Record) bool {
	known := k.rows[r.Key]
	if known == nil {
		k.add(r, nil)
		return true
	}
	if provider.Era(r.Revision) == provider.Era(known.Revision) && r.Revision < known.Revision {
		return false
	}
	if provider.Era(r.Revision) > provider.Era(known.Revision) {
		if r.Deleted == known.Deleted && bytes.Equal(r.Raw, known.Raw) {
			known.Record, known.missingUpTo = r, 0
			return true
		}
		if known.follows(r) {
			known.missingUpTo = r.Revision
			return false
		}
	}
	if r.Revision == known.Revision {
		return true
	}
	k.add(r, append(known.replaced, provider.Number(known.Revision)))
	return true
}

// add puts a row in force. It forgets deleted rows if there are too many rows.
func (k *keptRows) add(r Record, replaced []uint64) *keptRow {
	if len(k.rows) >= maxKeptRows {
		for key, row := range k.rows {
			if row.Deleted {
				delete(k.rows, key)
			}
		}
	}
	row := &keptRow{Record: r, replaced: replaced[max(0, len(replaced)-maxReplaced):]}
	k.rows[r.Key] = row
	return row
}

// follows reports whether the row has replaced a row of a later era, which the restored store
// shows again. Manifests have versions of their own.
func (r *keptRow) follows(other Record) bool {
	if r.Manifest != nil && other.Manifest != nil {
		return other.Manifest.Version <= r.Manifest.Version
	}
	return slices.Contains(r.replaced, provider.Number(other.Revision))
}

// unlisted records which rows a snapshot of the store lacks, and returns the keys of those that
// were deleted. Rows of an earlier era were lost and stay in force.
func (k *keptRows) unlisted(listed map[string]bool, revision uint64) (deleted []string) {
	for key, row := range k.rows {
		switch {
		case listed[key] || row.Deleted:
		case provider.Era(row.Revision) < provider.Era(revision):
			row.missingUpTo = revision
		default:
			k.add(Record{Key: key, Revision: revision, Deleted: true}, append(row.replaced, provider.Number(row.Revision)))
			deleted = append(deleted, key)
		}
	}
	return deleted
}

// replacedBefore records numbers of rows with a key that were replaced before its row in force,
// which this daemon may not have seen.
func (k *keptRows) replacedBefore(service string, numbers []uint64) {
	for _, row := range k.rows {
		if row.Order == nil || row.Order.Service != service {
			continue
		}
		for _, number := range numbers {
			if !slices.Contains(row.replaced, number) && number != provider.Number(row.Revision) {
				row.replaced = append(row.replaced, number)
			}
		}
	}
}

// lost returns the rows and deletions in force that a restored store does not have, and the newest
// revision at which it did not.
func (k *keptRows) lost() (rows []Record, upTo uint64) {
	for _, row := range k.rows {
		if row.missingUpTo != 0 {
			rows = append(rows, row.Record)
			upTo = max(upTo, row.missingUpTo)
		}
	}
	return rows, upTo
}

// takeLost records a row that another daemon has and the restored store did not have up to a
// revision. It reports whether the row takes effect.
func (k *keptRows) takeLost(r Record, upTo uint64) bool {
	known := k.rows[r.Key]
	if known == nil {
		k.add(r, nil).missingUpTo = upTo
		return true
	}
	sameEra := provider.Era(known.Revision) == provider.Era(r.Revision)
	switch {
	case known.Revision > upTo, sameEra && known.Revision >= r.Revision:
		return false
	case known.Manifest != nil && r.Manifest != nil && known.Manifest.Version >= r.Manifest.Version:
		return false
	}
	k.add(r, append(known.replaced, provider.Number(known.Revision))).missingUpTo = upTo
	return true
}
