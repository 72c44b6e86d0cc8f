// Package reachability checks targets on whose connections requests were lost or stalled:
// whether the target still takes connections. One that does not gets no requests
// until it does again. Nothing is checked without such a reason, so that sound
// targets are not bothered.
package reachability

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
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
	// identifyInterval is the pause between questions for the name of the target at an
	// address. The registry drops a target that was replaced within about four seconds.
	identifyInterval = 500 * time.Millisecond
)

// Config holds the parts of a Checker. All are required.
type Config struct {
	// Dial opens a connection to an address and closes it again.
	Dial func(ctx context.Context, address string) error
	// Address returns the address of a target, "" when it is not known any more.
	Address func(target string) string
	// Identify asks for the name of the target at an address. Its error wraps
	// attempt.ErrReplaced when that is another one.
	Identify func(target string) error
	// OnState is told when a target is found down, and when it is up again.
	OnState func(target string, state owner.TargetState)
	// OnDown is told the fingerprints of the requests that ran on a target when it
	// was found down.
	OnDown func(target string, fingerprints []uint64)
	Logger *eventlog.Logger
}

// Checker checks targets. Its methods are safe for concurrent use.
type Checker struct {
	Config

	mu     sync.Mutex
	ctx    context.Context
	active map[string]bool
	tasks  sync.WaitGroup
}

// New returns a duty. Reports before Run are ignored.
func New(config Config) *Checker {
	return &Checker{Config: config, active: make(map[string]bool)}
}

// Run enables checks until the context ends, and waits for those in progress.
func (d *Checker) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	<-ctx.Done()
	d.tasks.Wait()
	return nil
}

// Check looks whether a target takes connections, after requests on it were lost.
func (d *Checker) Check(target string, running []owner.RunningRequest) {
	d.start(target, func(ctx context.Context) { d.check(ctx, target, running) })
}

// TargetReplaced takes a target out at whose address another one answered, until it answers
// under its own name. Targets that were started anew look idle and quick to refuse, and
// would draw request after request until the registry drops their old entry.
func (d *Checker) TargetReplaced(target string) {
	d.start(target, func(ctx context.Context) {
		d.OnState(target, owner.TargetDown)
		d.awaitIdentity(ctx, target)
	})
}

// start runs a check of a target unless one is running.
func (d *Checker) start(target string, check func(ctx context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil || d.active[target] {
		return
	}
	d.active[target] = true
	d.tasks.Go(func() {
		defer d.end(target)
		check(d.ctx)
	})
}

func (d *Checker) end(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, target)
}

// awaitIdentity waits until a target answers under its own name, or cannot be asked, and
// lets it have requests again.
func (d *Checker) awaitIdentity(ctx context.Context, target string) {
	logged := false
	for started := time.Now(); time.Since(started) < maxAge && d.Address(target) != ""; {
		if !errors.Is(d.Identify(target), attempt.ErrReplaced) {
			break
		}
		if !logged {
			d.Logger.Emit(eventlog.TargetReplaced, eventlog.Fields{"target": target})
			logged = true
		}
		if !ctxtime.Sleep(ctx, identifyInterval) {
			return
		}
	}
	d.OnState(target, owner.TargetUp)
}

func (d *Checker) check(ctx context.Context, target string, running []owner.RunningRequest) {
	if d.reachable(ctx, target) || ctx.Err() != nil {
		return
	}
	d.Logger.Emit(eventlog.TargetDown, eventlog.Fields{"target": target, "running": len(running)})
	d.OnState(target, owner.TargetDown)
	fingerprints := make([]uint64, len(running))
	for i, r := range running {
		fingerprints[i] = r.Fingerprint
	}
	d.OnDown(target, fingerprints)
	for started := time.Now(); time.Since(started) < maxAge && d.Address(target) != ""; {
		if !ctxtime.Sleep(ctx, dialInterval) {
			return
		}
		if d.reachable(ctx, target) {
			break
		}
	}
	d.Logger.Emit(eventlog.TargetUp, eventlog.Fields{"target": target})
	d.awaitIdentity(ctx, target)
}

func (d *Checker) reachable(ctx context.Context, target string) bool {
	address := d.Address(target)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.Dial(ctx, address) == nil
}
