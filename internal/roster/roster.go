// Package roster lets daemons find one another through the platform's table
// service: each writes a row with its address, and reads those of the others.
// Rows of daemons that were killed stay; whoever reads one finds out by dialling.
package roster

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// prefix is the prefix of the rows.
	prefix = "daemons/"
	// maxDaemons bounds the rows that are read, above the planned 2,600 daemons.
	maxDaemons = 5000
	// callTimeout bounds one call of the table.
	callTimeout = time.Second
	// retryPause is the pause after a failed registration.
	retryPause = 500 * time.Millisecond
	// firstRead bounds the wait of the registration for the first read.
	firstRead = time.Second
	// readInterval is the time between reads. Each daemon reads after it has
	// registered, so that of two daemons the later one finds the earlier one; gossip
	// tells the others. At 300 daemons a read by each of them is 20 MB from the table.
	readInterval = 30 * time.Second
)

// Config holds the parts of a Roster. All are required.
type Config struct {
	Self   provider.VM
	Table  provider.Table
	Logger *eventlog.Logger
}

// Roster implements provider.VMList. It is safe for concurrent use.
type Roster struct {
	Config

	// listed is closed after the first read.
	listed chan struct{}

	mu   sync.Mutex
	next time.Time
	last []provider.VM
}

// New returns a roster.
func New(config Config) *Roster {
	return &Roster{Config: config, listed: make(chan struct{})}
}

// Run registers the daemon, again and again until the table took it. The row of an
// earlier run with the same address is kept: when all daemons come back at once, their
// writes would take a second of the table.
func (r *Roster) Run(ctx context.Context) error {
	ctxtime.WaitClosed(ctx, r.listed, firstRead)
	failing := false
	for ctx.Err() == nil && !r.registered() {
		err := r.register(ctx)
		if err == nil {
			r.readAgain()
			return nil
		}
		if !failing && ctx.Err() == nil {
			r.Logger.EmitError(eventlog.PlatformUnavailable, err, nil)
			failing = true
		}
		ctxtime.Sleep(ctx, retryPause)
	}
	return nil
}

// registered says whether the last read has the row of this daemon as it would write it.
func (r *Roster) registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.last, r.Self)
}

// readAgain makes the next List read the table.
func (r *Roster) readAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = time.Time{}
}

func (r *Roster) register(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fault.Wrap(err, "roster.encode", r.Self.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.Table.Commit(ctx, provider.Write{Key: prefix + r.Self.Name, Value: value, Unconditional: true})
	return fault.Wrap(err, "roster.register", "")
}

// Leave removes the daemon's row.
func (r *Roster) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Table.Commit(ctx, provider.Write{Key: prefix + r.Self.Name, Delete: true, Unconditional: true})
	return fault.Wrap(err, "roster.leave", "")
}

// List implements provider.VMList. Between reads it returns the last list.
func (r *Roster) List(ctx context.Context) ([]provider.VM, error) {
	now := time.Now()
	r.mu.Lock()
	last, due := r.last, !now.Before(r.next)
	r.mu.Unlock()
	if !due {
		return last, nil
	}
	rows, err := r.Table.List(ctx, prefix, maxDaemons)
	if err != nil {
		return nil, fault.Wrap(err, "roster.list", "")
	}
	list := r.decode(rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		close(r.listed)
	}
	r.last = list
	r.next = now.Add(readInterval)
	return list, nil
}

func (r *Roster) decode(rows []provider.Row) []provider.VM {
	list := make([]provider.VM, 0, len(rows))
	for _, row := range rows {
		var vm provider.VM
		if err := json.Unmarshal(row.Value, &vm); err != nil || prefix+vm.Name != row.Key {
			r.Logger.EmitError(eventlog.EntryRefused, fault.New("roster.decode", row.Key, "row does not describe a daemon"), eventlog.Fields{"key": row.Key})
			continue
		}
		list = append(list, vm)
	}
	return list
}
