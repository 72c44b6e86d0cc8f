// Package roster lets daemons discover one another through the platform's table service:
// each writes a row with its address and reads the rows of the others. Rows of daemons
// that were killed stay; a reader finds out by dialling.
package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// rowPrefix is the key prefix of the rows.
	rowPrefix = "daemons/"
	// maxDaemons bounds the rows that are read, above the planned 2,600 daemons.
	maxDaemons = 5000
	// writeTimeout bounds one write to the table.
	writeTimeout = time.Second
	// retryInterval is the pause after a failed registration.
	retryInterval = 500 * time.Millisecond
	// maxCheckDelay spreads the checks of the daemons after the table was restored.
	maxCheckDelay = 5 * time.Second
	// firstReadTimeout bounds the time for which Run waits for the first read before it
	// registers the daemon.
	firstReadTimeout = time.Second
	// readInterval is the time between reads. Each daemon also reads after it has
	// registered, so that of two daemons the later one finds the earlier one; the others
	// learn of it by gossip. With 300 daemons, one read by each transfers 20 MB from the
	// table.
	readInterval = 30 * time.Second
)

// Config holds the parts of a Roster. All are required.
type Config struct {
	Self   provider.VM
	Table  provider.Table
	Logger *eventlog.Logger
}

// Roster registers this daemon in the table and lists the registered daemons. It implements
// provider.VMList. It is safe for concurrent use.
type Roster struct {
	Config

	// firstReadDone is closed after the first successful read.
	firstReadDone chan struct{}
	// restored holds an element from a restore of the table until RunRestores handles it.
	restored chan struct{}
	// left is set when the daemon leaves.
	left atomic.Bool

	mu       sync.Mutex
	nextRead time.Time
	lastList []provider.VM
}

// New returns a Roster that has not read the table yet.
func New(config Config) *Roster {
	return &Roster{Config: config, firstReadDone: make(chan struct{}), restored: make(chan struct{}, 1)}
}

// Run registers the daemon and retries until the write succeeds or the context ends. It
// always returns nil. It does not write if the table has the same row from an earlier
// run: when all daemons restart at once, their writes would occupy the table for a
// second.
func (r *Roster) Run(ctx context.Context) error {
	ctxtime.WaitClosed(ctx, r.firstReadDone, firstReadTimeout)
	if !r.registered() {
		r.registerUntilDone(ctx)
	}
	return nil
}

// RunRestores registers the daemon again each time that a restored table has lost its row, until the
// context ends. It always returns nil.
func (r *Roster) RunRestores(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.restored:
		}
		if !ctxtime.Sleep(ctx, rand.N(maxCheckDelay)) {
			return nil
		}
		present, err := r.isInTable(ctx)
		for err != nil && ctxtime.Sleep(ctx, retryInterval) {
			present, err = r.isInTable(ctx)
		}
		if !present && !r.left.Load() {
			r.registerUntilDone(ctx)
		}
	}
}

// TableRestored makes RunRestores check whether the restored table still has the row of this daemon. It does
// not block.
func (r *Roster) TableRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// isInTable reports whether the table has a row of this daemon.
func (r *Roster) isInTable(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := r.Table.Get(ctx, rowPrefix+r.Self.Name)
	return err == nil && rows[0].Version != 0, fault.Wrap(err, "roster.check", "")
}

// registerUntilDone registers the daemon and retries until the write succeeds or the context ends.
func (r *Roster) registerUntilDone(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil {
			r.expireList()
			return
		}
		if !failing && ctx.Err() == nil {
			r.Logger.EmitError(eventlog.PlatformUnavailable, err, nil)
			failing = true
		}
		ctxtime.Sleep(ctx, retryInterval)
	}
}

// registered reports whether the last read contained the row of this daemon exactly as it
// would be written.
func (r *Roster) registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.lastList, r.Self)
}

// expireList makes the next List read the table.
func (r *Roster) expireList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextRead = time.Time{}
}

func (r *Roster) register(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fault.Wrap(err, "roster.encode", r.Self.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = r.Table.Commit(ctx, provider.Write{Key: rowPrefix + r.Self.Name, Value: value, Unconditional: true})
	return fault.Wrap(err, "roster.register", "")
}

// Leave removes the daemon's row.
func (r *Roster) Leave(ctx context.Context) error {
	r.left.Store(true)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.Table.Commit(ctx, provider.Write{Key: rowPrefix + r.Self.Name, Delete: true, Unconditional: true})
	return fault.Wrap(err, "roster.leave", "")
}

// List implements provider.VMList. It reads the table once per readInterval, and once more
// after the registration; otherwise it returns the last list.
func (r *Roster) List(ctx context.Context) ([]provider.VM, error) {
	now := time.Now()
	r.mu.Lock()
	last, due := r.lastList, !now.Before(r.nextRead)
	r.mu.Unlock()
	if !due {
		return last, nil
	}
	rows, err := r.Table.List(ctx, rowPrefix, maxDaemons)
	if err != nil {
		return nil, fault.Wrap(err, "roster.list", "")
	}
	list := r.decode(rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastList == nil {
		close(r.firstReadDone)
	}
	r.lastList = list
	r.nextRead = now.Add(readInterval)
	return list, nil
}

// decode decodes the rows of daemons. Rows that do not describe the daemon of their key are
// logged and skipped.
func (r *Roster) decode(rows []provider.Row) []provider.VM {
	list := make([]provider.VM, 0, len(rows))
	for _, row := range rows {
		var vm provider.VM
		if err := json.Unmarshal(row.Value, &vm); err != nil || rowPrefix+vm.Name != row.Key {
			r.Logger.EmitError(eventlog.EntryRefused, fault.New("roster.decode", row.Key, "row does not describe a daemon"), eventlog.Fields{"key": row.Key})
			continue
		}
		list = append(list, vm)
	}
	return list
}
