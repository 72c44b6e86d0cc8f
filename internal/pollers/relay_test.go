package pollers

import (
	"context"
	"errors"
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

var daemons = []string{"d1", "d2", "d3", "d4", "d5"}

// mesh connects relays and counts the messages.
type mesh struct {
	mu       sync.Mutex
	relays   map[string]*Relay
	messages int
}

func (m *mesh) send(from, to string, e *peerpb.Envelope) error {
	m.mu.Lock()
	relay := m.relays[to]
	m.messages++
	m.mu.Unlock()
	if relay == nil {
		return errors.New("no session")
	}
	relay.OnMessage(from, e)
	return nil
}

// daemonListRead is a closed channel: the list of daemons has been read.
var daemonListRead = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// runMesh runs the relays of a data centre in a synctest bubble; ranked are their names in
// the order in which they become pollers.
func runMesh(t *testing.T, test func(m *mesh, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{relays: make(map[string]*Relay)}
		for _, name := range daemons {
			m.relays[name] = New(Config{
				Self: name, DataCentre: "a", LiveLocal: func() []string { return daemons }, Logger: eventlog.Discard(),
				DaemonListRead: daemonListRead,
				Send:           func(to string, e *peerpb.Envelope) error { return m.send(name, to, e) },
				Decode: func(_ catalog.Topic, key string, revision uint64, raw []byte) catalog.Record {
					return catalog.Record{Key: key, Revision: revision, Raw: raw}
				},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		for _, relay := range m.relays {
			tasks.Go(func() { _ = relay.Run(ctx) })
		}
		test(m, rendezvous.Rank("a", daemons))
		cancel()
		tasks.Wait()
	})
}

func batch(revision uint64) catalog.Batch {
	if revision == 0 {
		return catalog.Batch{}
	}
	return catalog.Batch{Revision: revision, Records: []catalog.Record{{Key: "k", Revision: revision, Raw: []byte("value")}}}
}

// answerSnapshots reports a snapshot of each topic to a relay as the source's answers.
func answerSnapshots(relay *Relay, operator, registry uint64) {
	relay.OnSourceAnswer(catalog.OperatorTopic, batch(operator), true)
	relay.OnSourceAnswer(catalog.RegistryTopic, batch(registry), true)
}

// Guards against a change that reaches a daemon late because the poller announces it only
// at the next interval, and against announcements by daemons that are not pollers.
func TestPollersAnnounceAtOnce(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		answerSnapshots(m.relays[ranked[3]], 9, 9)
		assert.Equal(t, m.messages, 0)
		answerSnapshots(m.relays[ranked[0]], 3, 0)
		answerSnapshots(m.relays[ranked[0]], 4, 7)
		last := m.relays[ranked[4]]
		assert.Equal(t, last.AnnouncedRevision(catalog.OperatorTopic), uint64(4))
		assert.Equal(t, last.AnnouncedRevision(catalog.RegistryTopic), uint64(7))
		assert.Assert(t, last.HasPoller())
		assert.Assert(t, !m.relays[ranked[0]].HasPoller())
		assert.Assert(t, !m.relays[ranked[1]].HasPoller())
	})
}

// Guards against incomplete pushes, and against pushes by daemons that are not pollers.
func TestPollersPassChangesOn(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		answerSnapshots(m.relays[ranked[0]], 3, 7)
		changes := catalog.Batch{Revision: 9, AfterOutage: true, Records: []catalog.Record{
			{Key: "gone", Revision: 8, Deleted: true}, {Key: "k", Revision: 9, Raw: []byte("new")},
		}}
		m.relays[ranked[0]].OnSourceAnswer(catalog.RegistryTopic, changes, false)
		m.relays[ranked[3]].OnSourceAnswer(catalog.RegistryTopic, batch(12), false)
		pushes := m.relays[ranked[4]].Pushes(catalog.RegistryTopic)
		assert.Equal(t, len(pushes), 1)
		assert.DeepEqual(t, <-pushes, catalog.Push{After: 7, Batch: changes})
	})
}

// Guards against a new poller whose first push claims to contain all changes since a
// revision older than those it received from other daemons. A daemon between the two
// revisions would miss changes.
func TestNewPollerPushStartsAfterPeerBatches(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		relay := m.relays[ranked[0]]
		answerSnapshots(relay, 3, 5)
		relay.OnPeerBatch(catalog.RegistryTopic, catalog.Batch{Revision: 20}, false)
		relay.OnSourceAnswer(catalog.RegistryTopic, batch(21), false)
		assert.Equal(t, (<-m.relays[ranked[4]].Pushes(catalog.RegistryTopic)).After, uint64(20))
	})
}

// Guards against pushes that cannot be decoded or that decompress to an excessive size.
func TestUnreadablePushIsDropped(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		relay := m.relays[ranked[3]]
		bomb, err := pack([]catalog.Record{{Key: "k", Revision: 1, Raw: make([]byte, maxPushBytes+1)}})
		assert.NilError(t, err)
		for _, rows := range [][]byte{nil, []byte("no gzip"), bomb} {
			relay.OnMessage("", &peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{Topic: 1, Revision: 1, Rows: rows}}})
		}
		relay.OnMessage("", &peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{Topic: 9}}})
		assert.Equal(t, len(relay.Pushes(catalog.RegistryTopic)), 0)
	})
}

// Guards against daemons that rely on a poller which gets no answers from the source.
func TestPollerWithoutAnswersIsNotReliedOn(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		answerSnapshots(m.relays[ranked[0]], 3, 7)
		time.Sleep(3 * time.Second)
		assert.Assert(t, m.relays[ranked[3]].HasPoller())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !m.relays[ranked[3]].HasPoller())
		// A failed call stops the announcements at once, before the last answer is too old.
		answerSnapshots(m.relays[ranked[0]], 4, 8)
		assert.Assert(t, m.relays[ranked[3]].HasPoller())
		m.relays[ranked[0]].OnSourceFailure(catalog.RegistryTopic)
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, !m.relays[ranked[3]].HasPoller())
	})
}

// Guards against a removed target that only the pollers learn of: when the source has lost
// its history, they read a new snapshot, and must push the deletion of rows that it
// lacks.
func TestPollersPassOnWhatASnapshotDropped(t *testing.T) {
	runMesh(t, func(m *mesh, ranked []string) {
		poller := m.relays[ranked[0]]
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 7, Records: []catalog.Record{
			{Key: "gone", Revision: 5, Raw: []byte("x")}, {Key: "kept", Revision: 6, Raw: []byte("y")}, {Key: "new", Revision: 7, Raw: []byte("1")},
		}}, true)
		pushes := m.relays[ranked[4]].Pushes(catalog.RegistryTopic)
		assert.Equal(t, len(pushes), 0, "the first snapshot is no change")
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "kept", Revision: 6, Raw: []byte("y")}, {Key: "new", Revision: 9, Raw: []byte("2")},
		}}, true)
		assert.Equal(t, len(pushes), 1)
		assert.DeepEqual(t, <-pushes, catalog.Push{After: 7, Batch: catalog.Batch{Revision: 12, Records: []catalog.Record{
			{Key: "new", Revision: 9, Raw: []byte("2")}, {Key: "gone", Revision: 12, Deleted: true},
		}}})
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 14, Records: []catalog.Record{
			{Key: "kept", Revision: 6, Raw: []byte("y")}, {Key: "new", Revision: 9, Raw: []byte("2")},
		}}, true)
		assert.Equal(t, len(pushes), 0, "nothing changed")
	})
}
