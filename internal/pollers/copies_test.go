package pollers

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// fleet is a data centre of daemons that start together.
type fleet struct {
	names  []string
	relays map[string]*Relay

	mu sync.Mutex
	// reads counts the reads of the source, copies the copies that each daemon sent.
	reads  int
	copies map[string]int
	// dead daemons receive no messages.
	dead map[string]bool
}

// sourceReadTime is the time that a read of the registry from the source takes.
const sourceReadTime = 500 * time.Millisecond

var registry = catalog.Batch{Revision: 9, Records: []catalog.Record{
	{Key: "t1", Revision: 7, Raw: []byte("one")}, {Key: "t2", Revision: 9, Raw: []byte("two")},
}}

func newFleet(size int) *fleet {
	f := &fleet{relays: make(map[string]*Relay), copies: make(map[string]int), dead: make(map[string]bool)}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("d%03d", i))
	}
	for _, name := range f.names {
		f.relays[name] = New(Config{
			Self: name, DataCentre: "a", LiveLocal: func() []string { return f.names }, DaemonListRead: daemonListRead, Logger: eventlog.Discard(),
			Send: func(to string, m *peerpb.Envelope) error { return f.send(name, to, m) },
			Decode: func(_ catalog.Topic, key string, revision uint64, raw []byte) catalog.Record {
				return catalog.Record{Key: key, Revision: revision, Raw: raw}
			},
		})
	}
	return f
}

func (f *fleet) send(from, to string, m *peerpb.Envelope) error {
	f.mu.Lock()
	dead := f.dead[to]
	if m.GetSourceCopy().GetState() == peerpb.CopyState_COPY_HERE {
		f.copies[from]++
	}
	f.mu.Unlock()
	if !dead {
		f.relays[to].OnMessage(from, m)
	}
	return nil
}

// load reads the registry as a watcher does at start, and returns it with the time taken.
func (f *fleet) load(ctx context.Context, name string) (catalog.Batch, time.Duration) {
	started := time.Now()
	relay := f.relays[name]
	if batch, ok := relay.Snapshot(ctx, catalog.RegistryTopic); ok {
		relay.OnPeerBatch(catalog.RegistryTopic, batch, true)
		return batch, time.Since(started)
	}
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	time.Sleep(sourceReadTime)
	relay.OnSourceAnswer(catalog.RegistryTopic, registry, true)
	return registry, time.Since(started)
}

// Guards against overload of the link between regions when many daemons start together: 50
// daemons of a data centre that all read thousands of targets from the source would
// occupy it for seconds.
func TestFewDaemonsOfACommonStartReadTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50)
		var tasks sync.WaitGroup
		for _, name := range f.names {
			tasks.Go(func() {
				batch, elapsed := f.load(t.Context(), name)
				assert.Equal(t, len(batch.Records), 2)
				assert.Equal(t, batch.Revision, uint64(9))
				assert.Assert(t, elapsed < time.Second, "%v", elapsed)
			})
		}
		tasks.Wait()
		assert.Equal(t, f.reads, pollersPerDataCentre)
		for name, n := range f.copies {
			assert.Assert(t, n <= fanOut, "%s sent %d copies", name, n)
		}
	})
}

// Guards against a daemon that never starts because its parent in the tree is gone, and
// against one that keeps asking other daemons instead of reading the source.
func TestCopyIsTakenFromAPollerWhenTheParentIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50)
		ranked := rendezvous.Rank("a", f.names)
		for _, poller := range ranked[:pollersPerDataCentre] {
			f.load(t.Context(), poller)
		}
		f.dead[ranked[(49-pollersPerDataCentre)/fanOut]] = true
		_, elapsed := f.load(t.Context(), ranked[49])
		assert.Assert(t, elapsed <= copyTimeout, "%v", elapsed)
		assert.Equal(t, f.reads, pollersPerDataCentre)

		for _, name := range ranked[:48] {
			f.dead[name] = true
		}
		_, elapsed = f.load(t.Context(), ranked[48])
		assert.Equal(t, f.reads, pollersPerDataCentre+1)
		assert.Assert(t, elapsed <= 2*copyTimeout+sourceReadTime, "%v", elapsed)
	})
}

// Guards against serving an outdated copy: a daemon that no longer receives changes must
// not serve its copy.
func TestStaleCopyIsNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		for _, poller := range ranked[:pollersPerDataCentre] {
			f.load(t.Context(), poller)
		}
		time.Sleep(maxAnswerAge + time.Second)
		f.load(t.Context(), ranked[3])
		assert.Equal(t, f.reads, pollersPerDataCentre+1)
	})
}

// Guards against a copy that misses a later change or keeps a deleted row.
func TestCopyFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		poller := f.relays[ranked[0]]
		f.load(t.Context(), ranked[0])
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "t1", Revision: 11, Deleted: true}, {Key: "t3", Revision: 12, Raw: []byte("three")},
		}}, false)
		batch, _ := f.load(t.Context(), ranked[3])
		assert.DeepEqual(t, batch, catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "t2", Revision: 9, Raw: []byte("two")}, {Key: "t3", Revision: 12, Raw: []byte("three")},
		}})
	})
}

// Guards against a daemon that waits for a poller although it is one, and against a wait
// without a bound.
func TestAwaitPollerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		started := time.Now()
		f.relays[ranked[0]].AwaitPoller(t.Context())
		assert.Equal(t, time.Since(started), time.Duration(0))
		f.relays[ranked[4]].AwaitPoller(t.Context())
		assert.Equal(t, time.Since(started), awaitPollerTimeout)
	})
}
