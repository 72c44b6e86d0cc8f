package roster

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/provider"
)

// flaky fails calls while down is set.
type flaky struct {
	provider.Table
	down  int
	reads int
}

func (f *flaky) Commit(ctx context.Context, writes ...provider.Write) error {
	if f.down > 0 {
		f.down--
		return provider.ErrUnavailable
	}
	return f.Table.Commit(ctx, writes...)
}

func (f *flaky) List(ctx context.Context, prefix string, limit int) ([]provider.Row, error) {
	f.reads++
	return f.Table.List(ctx, prefix, limit)
}

// Guards against a daemon that nobody finds because the store was away when it
// started, against rows of others that hide it, and against reads that never end.
func TestDaemonsFindOneAnother(t *testing.T) {
	table := &flaky{Table: memtable.New(), down: 1}
	self := provider.VM{Name: "d1", Address: "10.0.0.1:7", DataCentre: "a", Role: provider.RoleEntry, State: provider.VMLive}
	r := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	assert.NilError(t, r.Run(t.Context()))
	assert.NilError(t, table.Commit(t.Context(),
		provider.Write{Key: prefix + "bad", Value: []byte("{"), Unconditional: true},
		provider.Write{Key: prefix + "wrong", Value: []byte(`{"name":"other"}`), Unconditional: true}))
	for range quickReads + 4 {
		list, err := r.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []provider.VM{self})
	}
	assert.Equal(t, table.reads, quickReads+1)
	r.next = time.Time{}
	assert.NilError(t, r.Leave(t.Context()))
	list, err := r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	table.down = 1
	assert.NilError(t, r.Run(ctx))
	assert.Assert(t, errors.Is(r.register(context.Background()), provider.ErrUnavailable))
}
