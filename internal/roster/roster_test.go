package roster

import (
	"context"
	"errors"
	"testing"

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

var self = provider.VM{Name: "d1", Address: "10.0.0.1:7", DataCentre: "a", Role: provider.RoleEntry, State: provider.VMLive}

// Guards against a daemon that nobody finds because the store was away when it
// started, against rows of others that hide it, and against reads that never end.
func TestDaemonsFindOneAnother(t *testing.T) {
	table := &flaky{Table: memtable.New(), down: 1}
	r := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	list, err := r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	assert.NilError(t, r.Run(t.Context()))
	assert.NilError(t, table.Commit(t.Context(),
		provider.Write{Key: prefix + "bad", Value: []byte("{"), Unconditional: true},
		provider.Write{Key: prefix + "wrong", Value: []byte(`{"name":"other"}`), Unconditional: true}))
	for range 5 {
		list, err = r.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []provider.VM{self})
	}
	assert.Equal(t, table.reads, 2, "one read before the registration and one after it")
	r.readAgain()
	assert.NilError(t, r.Leave(t.Context()))
	list, err = r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	table.down = 1
	assert.NilError(t, r.Run(ctx))
	assert.Assert(t, errors.Is(r.register(context.Background()), provider.ErrUnavailable))
}

// Guards against a table that is busy with the registrations of all daemons after they
// were killed together: a row that is there already is not written again.
func TestReturnedDaemonKeepsItsRow(t *testing.T) {
	table := &flaky{Table: memtable.New()}
	first := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	_, err := first.List(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, first.Run(t.Context()))
	table.down = 1
	again := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	_, err = again.List(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, again.Run(t.Context()))
	assert.Equal(t, table.down, 1, "the row was written again")

	moved := self
	moved.Address = "10.0.0.2:7"
	other := New(Config{Self: moved, Table: table, Logger: eventlog.Discard()})
	_, err = other.List(t.Context())
	assert.NilError(t, err)
	table.down = 0
	assert.NilError(t, other.Run(t.Context()))
	list, err := other.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []provider.VM{moved})
}
