package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
)

// memberListTimeout bounds the wait for the list of daemons once a configuration is in
// force. If the store does not answer in this time, the daemon serves with its own part of
// the targets.
const memberListTimeout = time.Second

// startup tracks when a daemon can begin to serve: once a configuration is in force and the
// other daemons are known. A daemon that does not know the others would regard itself as
// the owner of every target group and grant slots that others grant too. After a mass kill,
// all daemons would do so at once and fill the engines' queues. Its methods are safe for
// concurrent use.
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
