package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
)

// memberListTimeout bounds the wait for the list of daemons once a configuration is in
// force. If the store does not answer in this time, the daemon serves all the same, with
// the live daemons that it knows by then. If it knows none but itself, it owns every target
// group of its data centre until it knows others.
const memberListTimeout = time.Second

// startup tracks when a daemon can begin to serve: once a configuration is in force and the
// list of daemons was read or memberListTimeout has passed. A daemon that does not know the
// others regards itself as the owner of every target group and grants slots that others
// grant too. Without the wait for the list, all daemons would do so at the same time after
// a mass kill and fill the engines' queues. Its methods are safe for concurrent use.
type startup struct {
	configured, membersListed         chan struct{}
	configuredOnce, membersListedOnce sync.Once
	// ready is closed once the daemon can serve.
	ready chan struct{}
}

func newStartup() *startup {
	return &startup{configured: make(chan struct{}), membersListed: make(chan struct{}), ready: make(chan struct{})}
}

// markConfigured records that a configuration is in force. It may be called repeatedly.
func (s *startup) markConfigured() {
	s.configuredOnce.Do(func() { close(s.configured) })
}

// markMembersListed records that the list of daemons was read. It may be called repeatedly.
func (s *startup) markMembersListed() {
	s.membersListedOnce.Do(func() { close(s.membersListed) })
}

// isReady reports whether the daemon can serve.
func (s *startup) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// run waits for a configuration, then at most memberListTimeout for the list of daemons, and
// closes ready. It must be called once. It returns nil, early when the context ends.
func (s *startup) run(ctx context.Context) error {
	select {
	case <-s.configured:
	case <-ctx.Done():
		return nil
	}
	ctxtime.WaitClosed(ctx, s.membersListed, memberListTimeout)
	if ctx.Err() != nil {
		return nil
	}
	close(s.ready)
	return nil
}
