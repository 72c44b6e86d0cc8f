package lease

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/provider"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time        { return c.now }
func (c *clock) Sleep(d time.Duration) { c.now = c.now.Add(d) }

func newKeeper(table provider.Table, c *clock, name string) *Keeper {
	n := 0
	return NewKeeper(Config{
		Table: table, Key: "leases/x", Self: name, Now: c.Now,
		Token: func() string { n++; return fmt.Sprintf("%s-%d", name, n) },
	})
}

// readAndAcquire reports whether k holds the lease afterwards. A conflict with
// another write is no error.
func readAndAcquire(t *testing.T, k *Keeper) bool {
	t.Helper()
	_, err := k.Read(t.Context())
	assert.NilError(t, err)
	held, _, err := k.Acquire(t.Context())
	var conflict *provider.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	return held
}

// Guards against two holders at once, and against a fencing number used twice.
func TestWaiterTakesOverOnlyAfterTheTerm(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := memtable.New()
	a, b := newKeeper(table, c, "a"), newKeeper(table, c, "b")
	assert.Assert(t, readAndAcquire(t, a))
	assert.Assert(t, !readAndAcquire(t, b))
	c.Sleep(6 * time.Second)
	assert.NilError(t, a.Renew(t.Context()))
	assert.Assert(t, !readAndAcquire(t, b))
	c.Sleep(9 * time.Second)
	assert.Assert(t, !readAndAcquire(t, b))
	c.Sleep(time.Second)
	_, _, held := a.Held(c.now)
	assert.Assert(t, !held, "the holder's term must have ended before a waiter may take the lease")
	assert.Assert(t, readAndAcquire(t, b))
	fence, _, _ := b.Held(c.now)
	assert.Equal(t, fence, uint64(2))
	assert.ErrorIs(t, a.Commit(t.Context()), ErrNotHeld)
}

// Guards against a paused holder whose write changes rows after another daemon has
// acquired the lease.
func TestGuardedWriteOfPausedHolderConflicts(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := memtable.New()
	a, b := newKeeper(table, c, "a"), newKeeper(table, c, "b")
	pausedClock := &clock{now: c.now}
	a.config.Now = pausedClock.Now // a's clock stands still while it is paused
	assert.Assert(t, readAndAcquire(t, a))
	assert.Assert(t, !readAndAcquire(t, b))
	c.Sleep(11 * time.Second)
	assert.Assert(t, readAndAcquire(t, b))
	err := a.Commit(t.Context(), provider.Write{Key: "moves/m", Value: []byte("old")})
	var conflict *provider.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	rows, err := table.Get(t.Context(), "moves/m")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, uint64(0))
}

// Guards against treating a write whose answer was lost as failed although it took
// effect, and against treating one that never arrived as successful.
func TestLostAnswers(t *testing.T) {
	for _, failure := range []memtable.Failure{memtable.LostAnswer, memtable.LostRequest} {
		c := &clock{now: time.Unix(1000, 0)}
		table := memtable.New()
		a := newKeeper(table, c, "a")
		failNextCommit(table, failure)
		_, err := a.Read(t.Context())
		assert.NilError(t, err)
		held, _, _ := a.Acquire(t.Context())
		assert.Equal(t, held, failure == memtable.LostAnswer)
		assert.Assert(t, readAndAcquire(t, a))
		failNextCommit(table, failure)
		err = a.Commit(t.Context(), provider.Write{Key: "k", Value: []byte("v")})
		assert.Equal(t, err == nil, failure == memtable.LostAnswer)
		rows, err := table.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, rows[0].Version != 0, failure == memtable.LostAnswer)
	}
}

// failNextCommit injects a failure into the next commit of the table.
func failNextCommit(table *memtable.Table, failure memtable.Failure) {
	injected := false
	table.SetFailure(func(commit bool) memtable.Failure {
		if !commit || injected {
			return memtable.NoFailure
		}
		injected = true
		return failure
	})
}

// Guards against a release that keeps the term or resets the fencing number.
func TestRelease(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := memtable.New()
	a, b := newKeeper(table, c, "a"), newKeeper(table, c, "b")
	assert.Assert(t, readAndAcquire(t, a))
	assert.NilError(t, a.Release(context.Background()))
	_, _, held := a.Held(c.now)
	assert.Assert(t, !held)
	assert.Assert(t, readAndAcquire(t, b))
	fence, _, _ := b.Held(c.now)
	assert.Equal(t, fence, uint64(2))
}
