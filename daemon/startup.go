package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
)

// listWait bounds the wait for the list of daemons once the configuration is in force:
// without the store, a daemon serves with its own part of the targets.
const listWait = time.Second

// startup tells when a daemon can serve: the configuration is in force, and the other
// daemons are known. Before that it would take itself for the owner of every target
// group and grant slots that others grant too; after a mass kill all daemons would do so
// at once and fill the engines' queues.
type startup struct {
	configured, listed   chan struct{}
	onceConfig, onceList sync.Once
	// ready is closed once the daemon can serve.
	ready chan struct{}
}

func newStartup() *startup {
	return &startup{configured: make(chan struct{}), listed: make(chan struct{}), ready: make(chan struct{})}
}

// configure notes that a configuration is in force.
func (s *startup) configure() {
	s.onceConfig.Do(func() { close(s.configured) })
}

// list notes that the list of daemons was read.
func (s *startup) list() {
	s.onceList.Do(func() { close(s.listed) })
}

// done reports whether the daemon can serve.
func (s *startup) done() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// run waits for both. It is called once.
func (s *startup) run(ctx context.Context) error {
	select {
	case <-s.configured:
	case <-ctx.Done():
		return nil
	}
	ctxtime.WaitClosed(ctx, s.listed, listWait)
	if ctx.Err() != nil {
		return nil
	}
	close(s.ready)
	return nil
}
