package rollout

import (
	"context"
	"time"
)

// startLoad sends one load command concurrently with Run, unless maxParallelLoads are
// in flight already.
func (s *serviceController) startLoad(ctx context.Context, m *moveState, command LoadVersion) {
	select {
	case s.controller.loadSlots <- struct{}{}:
	default:
		return // the next tick tries again
	}
	s.controller.mu.Lock()
	t := m.targets[command.Target.Name]
	if t != nil {
		t.LoadInFlight = true
	}
	bytes := s.weightBytes(command.Version)
	s.controller.mu.Unlock()
	if t == nil {
		<-s.controller.loadSlots
		return
	}
	s.controller.config.Spawn(func() {
		defer func() { <-s.controller.loadSlots }()
		loaded, retryAfter := s.sendLoad(ctx, t, command, bytes)
		s.controller.mu.Lock()
		t.LoadInFlight = false
		t.Loaded = loaded
		t.RetryAt = s.controller.config.Now().Add(retryAfter)
		s.controller.mu.Unlock()
		s.controller.wakeRun()
	})
}

// weightBytes returns the size of a version's weights in bytes, or 0 if it is not
// known. The caller holds the mutex.
func (s *serviceController) weightBytes(version string) int64 {
	for i := range s.controller.set.Versions {
		v := &s.controller.set.Versions[i]
		if v.Name == version && v.Service == s.service {
			return v.WeightBytes
		}
	}
	return 0
}

// sendLoad reserves bandwidth at the weight store, checks the lease again and sends
// the load command. It reports whether the version is loaded and how long to wait
// before the next command.
func (s *serviceController) sendLoad(ctx context.Context, t *targetState, command LoadVersion, bytes int64) (loaded bool, retryAfter time.Duration) {
	if wait, ok := s.reserveBandwidth(ctx, t, command, bytes); !ok {
		return false, wait
	}
	s.controller.config.Hook(BeforeCheck)
	deadline, ok := s.recheckLease(command)
	if !ok {
		return false, loadRetryInterval
	}
	ctx, cancel := s.controller.config.WithDeadline(ctx, deadline)
	defer cancel()
	command.Deadline = deadline
	s.controller.config.Hook(BeforeSend)
	loaded, err := s.controller.config.Loader.Load(ctx, command)
	if err != nil {
		s.recordError(err)
		return false, loadRetryInterval
	}
	return loaded, loadRetryInterval
}

// reserveBandwidth reserves bandwidth at the weight store for one load of the target.
// It is granted once for each target. If ok is false, the caller tries again after
// wait.
func (s *serviceController) reserveBandwidth(ctx context.Context, t *targetState, command LoadVersion, bytes int64) (wait time.Duration, ok bool) {
	s.controller.mu.Lock()
	reserved := t.bandwidthReserved || bytes == 0 || s.controller.config.Weights == nil
	s.controller.mu.Unlock()
	if reserved {
		return 0, true
	}
	s.controller.config.Hook(BeforeReserve)
	ctx, cancel := s.controller.config.WithDeadline(ctx, command.Deadline)
	defer cancel()
	wait, err := s.controller.config.Weights.Reserve(ctx, command.Version, bytes)
	if err != nil {
		s.recordError(err)
		return loadRetryInterval, false
	}
	if wait > 0 {
		return wait, false
	}
	s.controller.mu.Lock()
	t.bandwidthReserved = true
	s.controller.mu.Unlock()
	return 0, true
}

// recheckLease checks the lease just before a load command is sent, since any time
// may have passed since the command was created. The returned deadline is never
// later than the end of the lease. For targets that do not check fencing numbers,
// the whole timeout of the command must fit into the rest of the lease.
func (s *serviceController) recheckLease(command LoadVersion) (deadline time.Time, ok bool) {
	now := s.controller.config.Now()
	fence, left, held := s.keeper.Held(now)
	if !held || fence != command.Fence {
		return time.Time{}, false
	}
	deadline = now.Add(left)
	if command.Timeout < left {
		deadline = now.Add(command.Timeout)
	}
	return deadline, command.Target.ChecksFencing || left >= command.Timeout
}
