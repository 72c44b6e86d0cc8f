package rollout

import (
	"context"
	"time"
)

// order sends one order beside the controller's goroutine.
func (g *group) order(ctx context.Context, m *moveState, a LoadVersion) {
	select {
	case g.c.slots <- struct{}{}:
	default:
		return // the next tick tries again
	}
	g.c.mu.Lock()
	t := m.targets[a.Target.Name]
	if t != nil {
		t.LoadInFlight = true
	}
	bytes := g.weightBytes(a.Version)
	g.c.mu.Unlock()
	if t == nil {
		<-g.c.slots
		return
	}
	g.c.config.Spawn(func() {
		defer func() { <-g.c.slots }()
		loaded, retry := g.send(ctx, t, a, bytes)
		g.c.mu.Lock()
		t.LoadInFlight = false
		t.Loaded = loaded
		t.RetryAt = g.c.config.Now().Add(retry)
		g.c.mu.Unlock()
		g.c.signal()
	})
}

// weightBytes returns the size of a version. The caller holds the mutex.
func (g *group) weightBytes(version string) int64 {
	for i := range g.c.set.Versions {
		v := &g.c.set.Versions[i]
		if v.Name == version && v.Service == g.service {
			return v.WeightBytes
		}
	}
	return 0
}

// send reserves bandwidth at the weight store, checks the lease again and sends
// the order.
func (g *group) send(ctx context.Context, t *targetState, a LoadVersion, bytes int64) (loaded bool, retry time.Duration) {
	if wait, ok := g.reserve(ctx, t, a, bytes); !ok {
		return false, wait
	}
	g.c.config.Hook(BeforeCheck)
	deadline, ok := g.mayStillSend(a)
	if !ok {
		return false, orderRetry
	}
	ctx, cancel := g.c.config.WithDeadline(ctx, deadline)
	defer cancel()
	a.Deadline = deadline
	g.c.config.Hook(BeforeSend)
	loaded, err := g.c.config.Loader.Load(ctx, a)
	if err != nil {
		g.note(err)
		return false, orderRetry
	}
	return loaded, orderRetry
}

// reserve asks the weight store for bandwidth once for each target.
func (g *group) reserve(ctx context.Context, t *targetState, a LoadVersion, bytes int64) (wait time.Duration, ok bool) {
	g.c.mu.Lock()
	reserved := t.reserved || bytes == 0 || g.c.config.Weights == nil
	g.c.mu.Unlock()
	if reserved {
		return 0, true
	}
	g.c.config.Hook(BeforeReserve)
	ctx, cancel := g.c.config.WithDeadline(ctx, a.Deadline)
	defer cancel()
	wait, err := g.c.config.Weights.Reserve(ctx, a.Version, bytes)
	if err != nil {
		g.note(err)
		return orderRetry, false
	}
	if wait > 0 {
		return wait, false
	}
	g.c.mu.Lock()
	t.reserved = true
	g.c.mu.Unlock()
	return 0, true
}

// mayStillSend checks the lease after the order was built, since any time may
// have passed. The order's deadline is never later than the end of the lease. For
// targets that ignore fencing numbers the whole timeout must fit into it.
func (g *group) mayStillSend(a LoadVersion) (deadline time.Time, ok bool) {
	now := g.c.config.Now()
	fence, left, held := g.keeper.Held(now)
	if !held || fence != a.Fence {
		return time.Time{}, false
	}
	deadline = now.Add(left)
	if a.Timeout < left {
		deadline = now.Add(a.Timeout)
	}
	return deadline, a.Target.ChecksFencing || left >= a.Timeout
}
