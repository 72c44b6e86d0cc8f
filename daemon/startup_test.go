package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that serves before it knows the others, as all of them would
// after a mass kill, and against one that never serves because the list of daemons
// cannot be read.
func TestDaemonServesOnceItKnowsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newStartup()
		go func() { _ = s.run(ctx) }()
		s.list()
		synctest.Wait()
		assert.Assert(t, !s.done(), "without a configuration")
		s.configure()
		s.configure()
		synctest.Wait()
		assert.Assert(t, s.done())

		alone := newStartup()
		go func() { _ = alone.run(ctx) }()
		alone.configure()
		time.Sleep(listWait - time.Millisecond)
		assert.Assert(t, !alone.done())
		time.Sleep(2 * time.Millisecond)
		assert.Assert(t, alone.done())
	})
}
