// Package reachability checks whether a target still accepts connections after requests
// on it were lost or stalled. An unreachable target gets no requests until it accepts
// connections again. Targets are not checked without such a reason, so that healthy ones
// get no extra load.
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
	// dialTimeout bounds one dial; a target in the same region answers within
	// milliseconds.
	dialTimeout = 300 * time.Millisecond
	// dialInterval is the pause between dials of a target that is down.
	dialInterval = 200 * time.Millisecond
	// maxCheckTime bounds the checks of a target that stays down; the registry drops it
	// long before.
	maxCheckTime = time.Minute
	// identifyInterval is the pause between requests for the name of the target at an
	// address. The registry drops a replaced target within about four seconds.
	identifyInterval = 500 * time.Millisecond
)

// Config holds the dependencies of a Checker. All but OnReplaced are required.
type Config struct {
	// Dial opens a connection to an address and closes it again.
	Dial func(ctx context.Context, address string) error
	// Address returns the address of a target, or "" if the target is no longer known.
	Address func(target string) string
	// Identify asks for the name of the target at the address of the given one. Its error
	// wraps attempt.ErrTargetReplaced if another target answers there.
	Identify func(target string) error
	// OnState is called when a target is found down, and when it is up again.
	OnState func(target string, state owner.TargetState)
	// OnDown is called with the fingerprints of the requests that ran on a target when it
	// was found down.
	OnDown func(target string, fingerprints []uint64)
	// OnReplaced is called, if it is not nil, when another target answers at the address of one that
	// was not found down: it may have crashed and started again in between.
	OnReplaced func(target string)
	Logger     *eventlog.Logger
}

// Checker checks targets. Its methods are safe for concurrent use.
type Checker struct {
	Config

	mu     sync.Mutex
	ctx    context.Context
	active map[string]bool
	tasks  sync.WaitGroup
}

// New returns a Checker. Calls of Check and TargetReplaced before Run are ignored.
func New(config Config) *Checker {
	return &Checker{Config: config, active: make(map[string]bool)}
}

// Run enables checks until the context ends, and waits for those in progress.
func (c *Checker) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.tasks.Wait()
	return nil
}

// Check starts a check whether a target accepts connections, after requests on it were
// lost. If it does not, it is reported as down until it does and answers under its own
// name; maxCheckTime bounds each of the two waits. A call during a check of the same
// target has no effect.
func (c *Checker) Check(target string, running []owner.RunningRequest) {
	c.start(target, func(ctx context.Context) { c.checkTarget(ctx, target, running) })
}

// TargetReplaced reports that another target answered at the address of a target. The
// target is reported as down until it answers under its own name. Otherwise it would
// attract request after request until the registry drops its old entry, because a
// newly started target looks idle and refuses requests quickly.
func (c *Checker) TargetReplaced(target string) {
	c.start(target, func(ctx context.Context) {
		c.OnState(target, owner.TargetDown)
		if c.OnReplaced != nil {
			c.OnReplaced(target)
		}
		c.awaitIdentity(ctx, target)
	})
}

// start runs a check of a target in a new goroutine. It does nothing if a check of that
// target is in progress or if Run is not running.
func (c *Checker) start(target string, check func(ctx context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil || c.active[target] {
		return
	}
	c.active[target] = true
	c.tasks.Go(func() {
		defer c.finish(target)
		check(c.ctx)
	})
}

func (c *Checker) finish(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, target)
}

// awaitIdentity waits until a target answers under its own name, cannot be asked, or is no
// longer known, at most maxCheckTime, and then reports it as up. It reports nothing if the
// context ends first.
func (c *Checker) awaitIdentity(ctx context.Context, target string) {
	logged := false
	for started := time.Now(); time.Since(started) < maxCheckTime && c.Address(target) != ""; {
		if !errors.Is(c.Identify(target), attempt.ErrTargetReplaced) {
			break
		}
		if !logged {
			c.Logger.Emit(eventlog.TargetReplaced, eventlog.Fields{"target": target})
			logged = true
		}
		if !ctxtime.Sleep(ctx, identifyInterval) {
			return
		}
	}
	c.OnState(target, owner.TargetUp)
}

// checkTarget dials a target. If that fails, it reports the target as down, waits until the
// target is reachable or no longer known, or maxCheckTime has passed, and then calls
// awaitIdentity.
func (c *Checker) checkTarget(ctx context.Context, target string, running []owner.RunningRequest) {
	if c.reachable(ctx, target) || ctx.Err() != nil {
		return
	}
	c.Logger.Emit(eventlog.TargetDown, eventlog.Fields{"target": target, "running": len(running)})
	c.OnState(target, owner.TargetDown)
	fingerprints := make([]uint64, len(running))
	for i, r := range running {
		fingerprints[i] = r.Fingerprint
	}
	c.OnDown(target, fingerprints)
	for started := time.Now(); time.Since(started) < maxCheckTime && c.Address(target) != ""; {
		if !ctxtime.Sleep(ctx, dialInterval) {
			return
		}
		if c.reachable(ctx, target) {
			break
		}
	}
	c.Logger.Emit(eventlog.TargetUp, eventlog.Fields{"target": target})
	c.awaitIdentity(ctx, target)
}

func (c *Checker) reachable(ctx context.Context, target string) bool {
	address := c.Address(target)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.Dial(ctx, address) == nil
}
