// Package memtable implements the table service in memory, with injected failures, for
// tests and for measurements in virtual time.
package memtable

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramflow/marjoramflow/provider"
)

// Failure is the kind of failure injected into one call.
type Failure int

const (
	// NoFailure lets the call succeed.
	NoFailure Failure = iota
	// Unavailable makes the call fail with provider.ErrUnavailable.
	Unavailable
	// LostRequest drops a Commit, which returns provider.ErrOutcomeUnknown without effect.
	// Other calls fail as with Unavailable.
	LostRequest
	// LostAnswer makes a Commit return provider.ErrOutcomeUnknown although it took effect.
	// Other calls fail as with Unavailable.
	LostAnswer
)

// Table implements provider.Table in memory. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// rows hold the numbers of their versions within the era.
	rows   map[string]provider.Row
	number uint64
	era    uint64
	// fail selects the failure of each call; nil lets all calls succeed.
	fail func(commit bool) Failure
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]provider.Row)}
}

// SetFailure installs the function that selects the failure of each call; nil lets all
// calls succeed. The function is called with the table locked.
func (t *Table) SetFailure(fail func(commit bool) Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail = fail
}

// Get implements provider.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil || t.failure(false) != NoFailure {
		return nil, provider.ErrUnavailable
	}
	rows := make([]provider.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.inEra(t.rows[key])
		rows[i].Key = key
	}
	return rows, nil
}

// Commit implements provider.Table.
func (t *Table) Commit(ctx context.Context, writes ...provider.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return provider.ErrUnavailable
	}
	failure := t.failure(true)
	switch failure {
	case Unavailable:
		return provider.ErrUnavailable
	case LostRequest:
		return provider.ErrOutcomeUnknown
	}
	err := t.apply(writes)
	if failure == LostAnswer {
		return provider.ErrOutcomeUnknown
	}
	return err
}

// List implements provider.Table.
func (t *Table) List(ctx context.Context, prefix string, limit int) ([]provider.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil || t.failure(false) != NoFailure {
		return nil, provider.ErrUnavailable
	}
	var rows []provider.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.inEra(row))
		}
	}
	slices.SortFunc(rows, func(a, b provider.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *Table) failure(commit bool) Failure {
	if t.fail == nil {
		return NoFailure
	}
	return t.fail(commit)
}

// apply applies all writes or none. Versions come from one counter for the whole table, so
// that callers cannot rely on a row's version increasing by one per write.
func (t *Table) apply(writes []provider.Write) error {
	var conflicts []string
	for _, w := range writes {
		if !w.Unconditional && t.inEra(t.rows[w.Key]).Version != w.IfVersion {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) > 0 {
		return &provider.ConflictError{Keys: conflicts}
	}
	for _, w := range writes {
		t.number++
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = provider.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.number}
	}
	return nil
}

// inEra returns a row with the version that it has in the present era.
func (t *Table) inEra(row provider.Row) provider.Row {
	row.Version, row.Era = provider.NewVersion(t.era, row.Version), t.era
	return row
}

// Copy is the content of a table at a moment.
type Copy struct {
	rows   map[string]provider.Row
	number uint64
}

// Copy returns a copy of the table.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows), t.number}
}

// Restore replaces the content by that of an earlier copy and begins an era: what was written since
// is gone, and its version numbers are given out again.
func (t *Table) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.number = maps.Clone(c.rows), c.number
	t.era++
}
