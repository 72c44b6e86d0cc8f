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

var here = []string{"d1", "d2", "d3", "d4", "d5"}

// mesh connects duties and counts the messages.
type mesh struct {
	mu       sync.Mutex
	duties   map[string]*Relay
	messages int
}

func (m *mesh) send(from, to string, e *peerpb.Envelope) error {
	m.mu.Lock()
	d := m.duties[to]
	m.messages++
	m.mu.Unlock()
	if d == nil {
		return errors.New("no session")
	}
	d.OnMessage(from, e)
	return nil
}

// inMesh runs the duties of a data centre in a bubble for a test; ranked are their names
// in the order in which they become pollers.
// listed says that the daemons are known.
var listed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func inMesh(t *testing.T, test func(m *mesh, ranked []string)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{duties: make(map[string]*Relay)}
		for _, name := range here {
			m.duties[name] = New(Config{
				Self: name, DataCentre: "a", LiveLocal: func() []string { return here }, Logger: eventlog.Discard(),
				ListRead: listed,
				Send:     func(to string, e *peerpb.Envelope) error { return m.send(name, to, e) },
				Decode: func(_ catalog.Topic, key string, revision uint64, raw []byte) catalog.Record {
					return catalog.Record{Key: key, Revision: revision, Raw: raw}
				},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		for _, d := range m.duties {
			tasks.Go(func() { _ = d.Run(ctx) })
		}
		test(m, rendezvous.Rank("a", here))
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

// answer gives a daemon its first answers, which are snapshots.
func answer(d *Relay, operator, registry uint64) {
	d.OnSourceAnswer(catalog.OperatorTopic, batch(operator), true)
	d.OnSourceAnswer(catalog.RegistryTopic, batch(registry), true)
}

// Guards against a change that reaches a daemon late because a poller tells it only at
// the next turn, and against daemons that are not pollers and tell others.
func TestPollersTellAtOnce(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		answer(m.duties[ranked[3]], 9, 9)
		assert.Equal(t, m.messages, 0)
		answer(m.duties[ranked[0]], 3, 0)
		answer(m.duties[ranked[0]], 4, 7)
		last := m.duties[ranked[4]]
		assert.Equal(t, last.AnnouncedRevision(catalog.OperatorTopic), uint64(4))
		assert.Equal(t, last.AnnouncedRevision(catalog.RegistryTopic), uint64(7))
		assert.Assert(t, last.HasPoller())
		assert.Assert(t, !m.duties[ranked[0]].HasPoller())
		assert.Assert(t, !m.duties[ranked[1]].HasPoller())
	})
}

// Guards against changes that are passed on incomplete, or by daemons that are not
// pollers.
func TestPollersPassChangesOn(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		answer(m.duties[ranked[0]], 3, 7)
		changes := catalog.Batch{Revision: 9, AfterOutage: true, Records: []catalog.Record{
			{Key: "gone", Revision: 8, Deleted: true}, {Key: "k", Revision: 9, Raw: []byte("new")},
		}}
		m.duties[ranked[0]].OnSourceAnswer(catalog.RegistryTopic, changes, false)
		m.duties[ranked[3]].OnSourceAnswer(catalog.RegistryTopic, batch(12), false)
		pushes := m.duties[ranked[4]].Pushes(catalog.RegistryTopic)
		assert.Equal(t, len(pushes), 1)
		assert.DeepEqual(t, <-pushes, catalog.Push{After: 7, Batch: changes})
	})
}

// Guards against a new poller whose first push claims to be complete from a revision
// before those that it took from others: a daemon in between would skip changes.
func TestNewPollerPushesBehindWhatItTook(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		d := m.duties[ranked[0]]
		answer(d, 3, 5)
		d.OnPeerBatch(catalog.RegistryTopic, catalog.Batch{Revision: 20}, false)
		d.OnSourceAnswer(catalog.RegistryTopic, batch(21), false)
		assert.Equal(t, (<-m.duties[ranked[4]].Pushes(catalog.RegistryTopic)).After, uint64(20))
	})
}

// Guards against a push that cannot be read, or unpacks without end.
func TestUnreadablePushIsDropped(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		d := m.duties[ranked[3]]
		bomb, err := pack([]catalog.Record{{Key: "k", Revision: 1, Raw: make([]byte, maxPushBytes+1)}})
		assert.NilError(t, err)
		for _, rows := range [][]byte{nil, []byte("no gzip"), bomb} {
			d.OnMessage("", &peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{Topic: 1, Revision: 1, Rows: rows}}})
		}
		d.OnMessage("", &peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{Topic: 9}}})
		assert.Equal(t, len(d.Pushes(catalog.RegistryTopic)), 0)
	})
}

// Guards against daemons that rely on pollers which the store does not answer any more.
func TestPollerWithoutAnswersCoversNobody(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		answer(m.duties[ranked[0]], 3, 7)
		time.Sleep(3 * time.Second)
		assert.Assert(t, m.duties[ranked[3]].HasPoller())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !m.duties[ranked[3]].HasPoller())
		// A call that failed says at once what an old answer says late.
		answer(m.duties[ranked[0]], 4, 8)
		assert.Assert(t, m.duties[ranked[3]].HasPoller())
		m.duties[ranked[0]].OnSourceFailure(catalog.RegistryTopic)
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, !m.duties[ranked[3]].HasPoller())
	})
}

// Guards against a leaving target that only the pollers hear of: when the store has lost
// its history, they read everything anew, and what is gone from that must be passed on.
func TestPollersPassOnWhatASnapshotDropped(t *testing.T) {
	inMesh(t, func(m *mesh, ranked []string) {
		poller := m.duties[ranked[0]]
		poller.OnSourceAnswer(catalog.RegistryTopic, catalog.Batch{Revision: 7, Records: []catalog.Record{
			{Key: "gone", Revision: 5, Raw: []byte("x")}, {Key: "kept", Revision: 6, Raw: []byte("y")}, {Key: "new", Revision: 7, Raw: []byte("1")},
		}}, true)
		pushes := m.duties[ranked[4]].Pushes(catalog.RegistryTopic)
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
