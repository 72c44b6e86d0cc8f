package quarantinesync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/quarantine"
)

// carrier delivers every broadcast of a duty to its neighbours in a chain, so
// that notices have to be passed on.
type carrier struct {
	mu         sync.Mutex
	neighbours map[string][]*Syncer
}

func (c *carrier) broadcast(from string) func(*peerpb.Envelope) {
	return func(m *peerpb.Envelope) {
		c.mu.Lock()
		to := c.neighbours[from]
		c.mu.Unlock()
		for _, d := range to {
			go d.OnMessage(m)
		}
	}
}

// chain runs duties a, b and c over one table; a and c are not connected.
func chain(t *testing.T, table provider.Table) map[string]*Syncer {
	c := &carrier{neighbours: make(map[string][]*Syncer)}
	duties := make(map[string]*Syncer)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, name := range []string{"a", "b", "c"} {
		d := New(Config{Self: name, Broadcast: c.broadcast(name), Table: table, Logger: eventlog.Discard()})
		duties[name] = d
		group.Go(func() { _ = d.Run(ctx) })
		group.Go(func() { _ = d.RunStore(ctx) })
	}
	c.neighbours["a"] = []*Syncer{duties["b"]}
	c.neighbours["b"] = []*Syncer{duties["a"], duties["c"]}
	c.neighbours["c"] = []*Syncer{duties["b"]}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return duties
}

const crashing = uint64(42)

// Guards against a conviction that stays with the daemon that saw the losses: it
// reaches daemons without a session to it within 2 s of the second loss.
func TestConvictionReachesEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		duties := chain(t, memtable.New())
		duties["a"].TargetLost("t1", []uint64{crashing, 7})
		time.Sleep(time.Second)
		assert.Equal(t, duties["c"].Check(crashing), quarantine.Suspect)
		duties["a"].RequestFinished(7)
		duties["a"].TargetLost("t2", []uint64{crashing})
		time.Sleep(2 * time.Second)
		for name, d := range duties {
			assert.Equal(t, d.Check(crashing), quarantine.Quarantined, name)
			assert.Equal(t, d.Check(7), quarantine.Clear, name)
		}
	})
}

// Guards against a conviction that is forgotten when all daemons are replaced.
func TestConvictionIsReadFromTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		first := chain(t, table)
		first["b"].TargetLost("t1", []uint64{crashing})
		time.Sleep(time.Second)
		first["b"].TargetLost("t2", []uint64{crashing})
		time.Sleep(3 * time.Second)
		replaced := chain(t, table)
		time.Sleep(time.Second)
		assert.Equal(t, replaced["c"].Check(crashing), quarantine.Quarantined)
	})
}

// Guards against a conviction that rests on a target whose VM the platform removed.
func TestRemovedVMClearsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		duties := chain(t, memtable.New())
		duties["a"].TargetLost("t1", []uint64{crashing})
		time.Sleep(time.Second)
		duties["a"].DiscountLoss("t1")
		time.Sleep(time.Second)
		assert.Equal(t, duties["c"].Check(crashing), quarantine.Clear)
	})
}
