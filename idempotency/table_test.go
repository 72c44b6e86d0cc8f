package idempotency

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramflow/marjoramflow/provider"
)

// memoryTable is a table service in memory without faults. Row versions come from
// one counter.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]provider.Row
	version uint64
	commits int
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: map[string]provider.Row{}}
}

func (m *memoryTable) Get(_ context.Context, keys ...string) ([]provider.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]provider.Row, len(keys))
	for i, key := range keys {
		out[i] = m.rows[key]
		out[i].Key = key
	}
	return out, nil
}

func (m *memoryTable) Commit(_ context.Context, writes ...provider.Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(writes) > provider.MaxTransactionRows {
		panic("transaction is too large")
	}
	conflict := &provider.ConflictError{}
	seen := map[string]bool{}
	for _, w := range writes {
		if seen[w.Key] {
			panic("row written twice in one transaction")
		}
		seen[w.Key] = true
		if !w.Unconditional && m.rows[w.Key].Version != w.IfVersion {
			conflict.Keys = append(conflict.Keys, w.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return conflict
	}
	m.version++
	m.commits++
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
		} else {
			m.rows[w.Key] = provider.Row{Key: w.Key, Value: w.Value, Version: m.version}
		}
	}
	return nil
}

func (m *memoryTable) List(_ context.Context, prefix string, limit int) ([]provider.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for key := range m.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var out []provider.Row
	for _, key := range keys[:min(limit, len(keys))] {
		out = append(out, m.rows[key])
	}
	return out, nil
}

func (m *memoryTable) count(prefix string) int {
	rows, _ := m.List(context.Background(), prefix, 1<<30)
	return len(rows)
}
