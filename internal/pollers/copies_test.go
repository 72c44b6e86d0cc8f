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
	duties map[string]*Relay

	mu sync.Mutex
	// reads counts the reads of the source, copies those that a daemon sent.
	reads  int
	copies map[string]int
	// dead daemons take no message.
	dead map[string]bool
}

// readTime is what a poller takes to read the registry from the source.
const readTime = 500 * time.Millisecond

var registry = catalog.Batch{Revision: 9, Records: []catalog.Record{
	{Key: "t1", Revision: 7, Raw: []byte("one")}, {Key: "t2", Revision: 9, Raw: []byte("two")},
}}

func newFleet(size int) *fleet {
	f := &fleet{duties: make(map[string]*Relay), copies: make(map[string]int), dead: make(map[string]bool)}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("d%03d", i))
	}
	for _, name := range f.names {
		f.duties[name] = New(Config{
			Self: name, DataCentre: "a", LiveLocal: func() []string { return f.names }, ListRead: listed, Logger: eventlog.Discard(),
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
		f.duties[to].OnMessage(from, m)
	}
	return nil
}

// start reads the registry as a watcher does.
func (f *fleet) start(ctx context.Context, name string) (catalog.Batch, time.Duration) {
	begun := time.Now()
	d := f.duties[name]
	if batch, ok := d.Snapshot(ctx, catalog.RegistryTopic); ok {
		d.OnPeerBatch(catalog.RegistryTopic, batch, true)
		return batch, time.Since(begun)
	}
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	time.Sleep(readTime)
	d.OnSourceAnswer(catalog.RegistryTopic, registry, true)
	return registry, time.Since(begun)
}

// Answers the load of a mass start: 50 daemons of a data centre that all read thousands
// of targets from the store would take seconds of the link between regions.
func TestFewDaemonsOfACommonStartReadTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50)
		var tasks sync.WaitGroup
		for _, name := range f.names {
			tasks.Go(func() {
				batch, took := f.start(t.Context(), name)
				assert.Equal(t, len(batch.Records), 2)
				assert.Equal(t, batch.Revision, uint64(9))
				assert.Assert(t, took < time.Second, "%v", took)
			})
		}
		tasks.Wait()
		assert.Equal(t, f.reads, perDataCentre)
		for name, n := range f.copies {
			assert.Assert(t, n <= fanOut, "%s sent %d copies", name, n)
		}
	})
}

// Guards against a daemon that never starts because the one that it asks is gone, and
// against one that goes on asking.
func TestCopyIsTakenFromAPollerWhenTheParentIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(50)
		ranked := rendezvous.Rank("a", f.names)
		for _, poller := range ranked[:perDataCentre] {
			f.start(t.Context(), poller)
		}
		f.dead[ranked[(49-perDataCentre)/fanOut]] = true
		_, took := f.start(t.Context(), ranked[49])
		assert.Assert(t, took <= copyWait, "%v", took)
		assert.Equal(t, f.reads, perDataCentre)

		for _, name := range ranked[:48] {
			f.dead[name] = true
		}
		_, took = f.start(t.Context(), ranked[48])
		assert.Equal(t, f.reads, perDataCentre+1)
		assert.Assert(t, took <= 2*copyWait+readTime, "%v", took)
	})
}

// Guards against an old copy: a daemon that no longer hears of changes hands none out.
func TestStaleCopyIsNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		for _, poller := range ranked[:perDataCentre] {
			f.start(t.Context(), poller)
		}
		time.Sleep(answerAge + time.Second)
		f.start(t.Context(), ranked[3])
		assert.Equal(t, f.reads, perDataCentre+1)
	})
}

// Guards against a copy that misses a later change or keeps a dropped row.
func TestCopyFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		poller := f.duties[ranked[0]]
		f.start(t.Context(), ranked[0])
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "t1", Revision: 11, Deleted: true}, {Key: "t3", Revision: 12, Raw: []byte("three")},
		}}, false)
		batch, _ := f.start(t.Context(), ranked[3])
		assert.DeepEqual(t, batch, catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "t2", Revision: 9, Raw: []byte("two")}, {Key: "t3", Revision: 12, Raw: []byte("three")},
		}})
	})
}

// Guards against a wait for a poller's word by daemons that poll themselves, and
// against one without end.
func TestDaemonsSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		ranked := rendezvous.Rank("a", f.names)
		begun := time.Now()
		f.duties[ranked[0]].AwaitPoller(t.Context())
		assert.Equal(t, time.Since(begun), time.Duration(0))
		f.duties[ranked[4]].AwaitPoller(t.Context())
		assert.Equal(t, time.Since(begun), settleTime)
	})
}
