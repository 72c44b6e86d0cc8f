// Package reach checks targets on whose connections requests were lost or stalled:
// whether the target still takes connections. One that does not gets no requests
// until it does again. Nothing is checked without such a reason, so that sound
// targets are not bothered.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/pause"
	"github.com/marjoramflow/marjoramflow/owner"
)

const (
	// dialTimeout bounds one check; a target in the same region answers within
	// milliseconds.
	dialTimeout = 300 * time.Millisecond
	// dialInterval is the pause between checks of a target that is down.
	dialInterval = 200 * time.Millisecond
	// maxAge ends the checks of a target that stays down; the registry drops it
	// long before.
	maxAge = time.Minute
)

// Config holds the parts of a Duty. All are required.
type Config struct {
	// Dial opens a connection to an address and closes it again.
	Dial func(ctx context.Context, address string) error
	// Address returns the address of a target, "" when it is not known any more.
	Address func(target string) string
	// OnState is told when a target is found down, and when it is up again.
	OnState func(target string, state owner.TargetState)
	// OnDown is told the fingerprints of the requests that ran on a target when it
	// was found down.
	OnDown func(target string, fingerprints []uint64)
	Logger *eventlog.Logger
}

// Duty checks targets. Its methods are safe for concurrent use.
type Duty struct {
	Config

	mu     sync.Mutex
	ctx    context.Context
	active map[string]bool
	tasks  sync.WaitGroup
}

// New returns a duty. Reports before Run are ignored.
func New(config Config) *Duty {
	return &Duty{Config: config, active: make(map[string]bool)}
}

// Run enables checks until the context ends, and waits for those in progress.
func (d *Duty) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	<-ctx.Done()
	d.tasks.Wait()
	return nil
}

// Check looks whether a target takes connections, after requests on it were lost.
func (d *Duty) Check(target string, running []owner.Running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil || d.active[target] {
		return
	}
	d.active[target] = true
	d.tasks.Go(func() { d.check(d.ctx, target, running) })
}

func (d *Duty) check(ctx context.Context, target string, running []owner.Running) {
	defer func() {
		d.mu.Lock()
		delete(d.active, target)
		d.mu.Unlock()
	}()
	if d.reachable(ctx, target) || ctx.Err() != nil {
		return
	}
	d.Logger.Emit(eventlog.TargetDown, eventlog.Fields{"target": target, "running": len(running)})
	d.OnState(target, owner.Down)
	fingerprints := make([]uint64, len(running))
	for i, r := range running {
		fingerprints[i] = r.Fingerprint
	}
	d.OnDown(target, fingerprints)
	for started := time.Now(); time.Since(started) < maxAge && d.Address(target) != ""; {
		if !pause.For(ctx, dialInterval) {
			return
		}
		if d.reachable(ctx, target) {
			break
		}
	}
	d.Logger.Emit(eventlog.TargetUp, eventlog.Fields{"target": target})
	d.OnState(target, owner.Up)
}

func (d *Duty) reachable(ctx context.Context, target string) bool {
	address := d.Address(target)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.Dial(ctx, address) == nil
}
