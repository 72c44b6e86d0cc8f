package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that serves before it knows the other daemons, as every daemon
// would if all were killed and restarted together, and against one that never serves
// because the list of daemons cannot be read.
func TestDaemonServesOnceItKnowsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newStartup()
		go func() { _ = s.run(ctx) }()
		s.markMembersListed()
		synctest.Wait()
		assert.Assert(t, !s.isReady(), "ready without a configuration")
		s.markConfigured()
		s.markConfigured()
		synctest.Wait()
		assert.Assert(t, s.isReady())

		withoutList := newStartup()
		go func() { _ = withoutList.run(ctx) }()
		withoutList.markConfigured()
		time.Sleep(memberListTimeout - time.Millisecond)
		assert.Assert(t, !withoutList.isReady())
		time.Sleep(2 * time.Millisecond)
		assert.Assert(t, withoutList.isReady())
	})
}
