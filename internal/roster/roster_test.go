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

// flakyTable fails the next commitFailures commits and counts the reads.
type flakyTable struct {
	provider.Table
	commitFailures int
	reads          int
}

func (f *flakyTable) Commit(ctx context.Context, writes ...provider.Write) error {
	if f.commitFailures > 0 {
		f.commitFailures--
		return provider.ErrUnavailable
	}
	return f.Table.Commit(ctx, writes...)
}

func (f *flakyTable) List(ctx context.Context, prefix string, limit int) ([]provider.Row, error) {
	f.reads++
	return f.Table.List(ctx, prefix, limit)
}

var self = provider.VM{Name: "d1", Address: "10.0.0.1:7", DataCentre: "a", Role: provider.RoleEntry, State: provider.VMLive}

// Guards against a daemon that is not found because the table was unavailable when it
// started or because of invalid rows, and against a read of the table at every List.
func TestDaemonsFindOneAnother(t *testing.T) {
	table := &flakyTable{Table: memtable.New(), commitFailures: 1}
	r := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	list, err := r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	assert.NilError(t, r.Run(t.Context()))
	assert.NilError(t, table.Commit(t.Context(),
		provider.Write{Key: rowPrefix + "bad", Value: []byte("{"), Unconditional: true},
		provider.Write{Key: rowPrefix + "wrong", Value: []byte(`{"name":"other"}`), Unconditional: true}))
	for range 5 {
		list, err = r.List(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, list, []provider.VM{self})
	}
	assert.Equal(t, table.reads, 2, "one read before the registration and one after it")
	r.expireList()
	assert.NilError(t, r.Leave(t.Context()))
	list, err = r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	table.commitFailures = 1
	assert.NilError(t, r.Run(ctx))
	assert.Assert(t, errors.Is(r.register(context.Background()), provider.ErrUnavailable))
}

// Guards against a table that is overloaded by the registrations of all daemons after they
// were killed together: a row that exists already must not be written again.
func TestRestartedDaemonKeepsItsRow(t *testing.T) {
	table := &flakyTable{Table: memtable.New()}
	first := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	_, err := first.List(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, first.Run(t.Context()))
	table.commitFailures = 1
	restarted := New(Config{Self: self, Table: table, Logger: eventlog.Discard()})
	_, err = restarted.List(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, restarted.Run(t.Context()))
	assert.Equal(t, table.commitFailures, 1, "the row was written again")

	moved := self
	moved.Address = "10.0.0.2:7"
	relocated := New(Config{Self: moved, Table: table, Logger: eventlog.Discard()})
	_, err = relocated.List(t.Context())
	assert.NilError(t, err)
	table.commitFailures = 0
	assert.NilError(t, relocated.Run(t.Context()))
	list, err := relocated.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []provider.VM{moved})
}
