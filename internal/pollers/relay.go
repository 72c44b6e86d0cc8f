// Package pollers reduces the load on the platform's store, the source of package
// catalog: in each data centre, a few daemons poll it for changes and push them to the
// others. These ask the source themselves only while no poller announces its revisions,
// or when they lack an announced revision.
//
// The pollers are the live daemons that rank first by rendezvous hashing, so that all
// daemons agree on them without messages. A poller whose calls of the source fail stops
// announcing.
//
// A daemon that starts fetches the registry from another daemon, along a tree below the
// pollers, instead of reading it from the source.
//
// A daemon that the source does not answer, and to which no poller announces what it has, asks
// other daemons for the changes after its revision, first in its data centre, then in others
// (withheld.go).
//
// Revisions hold the era of the source, see provider.NewVersion. Changes are not pushed from one era
// to the next, since a restored source may have lost changes that some daemons have applied: each
// daemon reads the topic again. Rows of the operator that the restored source lacks are told to
// daemons that may not know them (lost.go).
package pollers

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// pollersPerDataCentre is the number of pollers in a data centre. A failure often cuts
	// off a third of the daemons from the source at once, and must not delay a change.
	pollersPerDataCentre = 3
	// announceInterval is the time between two announcements of a poller while nothing
	// changes.
	announceInterval = 500 * time.Millisecond
	// maxAnswerAge is the age of the source's last answer above which a poller stops
	// announcing: its calls last up to 3.2 s. After a failed call it stops at once.
	maxAnswerAge = 3500 * time.Millisecond
	// pollerTimeout is the time after the last announcement for which a daemon relies on
	// the pollers. Two announcements may be late, and a change that no poller pushes is
	// still in force within 2.5 s.
	pollerTimeout = 1200 * time.Millisecond
	// topicCount is the number of topics of a source.
	topicCount = 2
	// pushBufferSize bounds the pushes that wait to be applied. Changes of dropped pushes
	// are read from the source.
	pushBufferSize = 16
	// maxPushBytes bounds the decompressed rows of one push or copy: four times the
	// largest transaction of the store.
	maxPushBytes = 4 << 20
)

// Config holds the parts of a Relay. All are required.
type Config struct {
	Self       string
	DataCentre string
	// LiveLocal returns the live daemons of this daemon's data centre, itself included.
	LiveLocal func() []string
	// LiveAll returns the live daemons of all data centres, this one included.
	LiveAll func() []string
	// DaemonListRead is closed once the list of daemons was read.
	DaemonListRead <-chan struct{}
	Send           func(to string, m *peerpb.Envelope) error
	// Decode decodes a row that another daemon sent.
	Decode func(topic catalog.Topic, key string, revision uint64, raw []byte) catalog.Record
	// OnLostRows is called with rows of the operator that another daemon has in force and that the
	// restored source lacks up to a revision.
	OnLostRows func(rows []catalog.Record, upTo uint64)
	Logger     *eventlog.Logger
}

// Relay exchanges changes, revisions and copies of the source's topics with the other
// daemons of the data centre, and with those of others while the source withholds changes. It implements catalog.Peers. Its methods are safe for
// concurrent use.
type Relay struct {
	Config
	pushes [topicCount]chan catalog.Push
	copies [topicCount]*topicCopy

	mu sync.Mutex
	// announcedAt is the time of the last announcement of each poller that has not
	// withdrawn since.
	announcedAt map[string]time.Time
	// announcedRevisions are the highest revisions that pollers announced.
	announcedRevisions [topicCount]uint64
	// seenRevisions are the highest revisions that this daemon received, from the source
	// or from another daemon.
	seenRevisions [topicCount]uint64
	// answeredAt is the time of the source's last answer; zero after a failed call.
	answeredAt [topicCount]time.Time
	withheld   withheld
	lost       lostRows
}

// New returns a Relay that has received no announcement yet and holds no copies.
func New(config Config) *Relay {
	r := &Relay{Config: config, announcedAt: make(map[string]time.Time)}
	for i := range r.pushes {
		r.pushes[i] = make(chan catalog.Push, pushBufferSize)
		r.copies[i] = newTopicCopy()
		r.withheld.relief[i] = make(chan catalog.Push, reliefBufferSize)
	}
	return r
}

// Run announces the revisions that this daemon has seen, while it is a poller, until the
// context ends.
func (r *Relay) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, announceInterval, r.announce)
}

// announce sends the revisions that this daemon has seen to the other daemons of the data
// centre, if it is a poller and the source answered recently on all topics.
func (r *Relay) announce(now time.Time) {
	if !r.isPoller(r.LiveLocal()) || !r.followsSource(now) {
		return
	}
	r.mu.Lock()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_SourceRevision{SourceRevision: &peerpb.SourceRevision{
		Operator: r.seenRevisions[catalog.OperatorTopic],
		Registry: r.seenRevisions[catalog.RegistryTopic],
	}}}
	r.mu.Unlock()
	r.sendToOthers(message)
}

// sendToOthers sends a message to the other daemons of the data centre. A daemon that the
// message does not reach asks the source itself.
func (r *Relay) sendToOthers(message *peerpb.Envelope) {
	for _, name := range r.LiveLocal() {
		if name != r.Self {
			_ = r.Send(name, message)
		}
	}
}

// isPoller reports whether this daemon is a poller, given the live daemons of its data
// centre.
func (r *Relay) isPoller(live []string) bool {
	ranked := rendezvous.Rank(r.DataCentre, live)
	return slices.Contains(ranked[:min(pollersPerDataCentre, len(ranked))], r.Self)
}

// followsSource reports whether the source's last answer on every topic is no older than
// maxAnswerAge.
func (r *Relay) followsSource(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for topic, at := range r.answeredAt {
		if at.IsZero() || now.Sub(at) > maxAnswerAge || r.unanswered(now, catalog.Topic(topic)) {
			return false
		}
	}
	return true
}

// OnMessage handles announcements, pushes, and requests and answers for copies. It reports
// whether the message was one of these.
func (r *Relay) OnMessage(from string, m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_SourceRevision:
		r.mu.Lock()
		defer r.mu.Unlock()
		if body.SourceRevision.Withdrawn {
			delete(r.announcedAt, from)
			break
		}
		now := time.Now()
		r.announcedAt[from] = now
		r.expectAnswer(now, catalog.OperatorTopic, body.SourceRevision.Operator)
		r.expectAnswer(now, catalog.RegistryTopic, body.SourceRevision.Registry)
		r.announcedRevisions[catalog.OperatorTopic] = max(r.announcedRevisions[catalog.OperatorTopic], body.SourceRevision.Operator)
		r.announcedRevisions[catalog.RegistryTopic] = max(r.announcedRevisions[catalog.RegistryTopic], body.SourceRevision.Registry)
	case *peerpb.Envelope_SourceChanges:
		if m := body.SourceChanges; m.Revision == 0 && m.Topic == uint32(catalog.OperatorTopic) {
			r.onLostRows(m)
			break
		}
		r.onPush(body.SourceChanges)
	case *peerpb.Envelope_SourcePull:
		r.onCopyRequest(from, body.SourcePull)
	case *peerpb.Envelope_SourceCopy:
		r.onCopy(from, body.SourceCopy)
	default:
		return false
	}
	return true
}

// HasPoller implements catalog.Peers. It returns false for a poller, which asks the source
// often itself.
func (r *Relay) HasPoller() bool {
	r.mu.Lock()
	recent := r.announcedRecently(time.Now())
	r.mu.Unlock()
	return recent && !r.isPoller(r.LiveLocal())
}

// announcedRecently reports whether a poller announced its revisions within pollerTimeout and
// has not withdrawn since. It forgets older announcements. The caller holds the lock.
func (r *Relay) announcedRecently(now time.Time) bool {
	maps.DeleteFunc(r.announcedAt, func(_ string, at time.Time) bool { return now.Sub(at) > pollerTimeout })
	return len(r.announcedAt) > 0
}

// AnnouncedRevision implements catalog.Peers.
func (r *Relay) AnnouncedRevision(topic catalog.Topic) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcedRevisions[topic]
}

// Pushes implements catalog.Peers.
func (r *Relay) Pushes(topic catalog.Topic) <-chan catalog.Push {
	return r.pushes[topic]
}

// OnSourceAnswer implements catalog.Peers. A poller pushes and announces changes at once.
// Its first snapshot is announced but not pushed, since it does not show changes.
func (r *Relay) OnSourceAnswer(topic catalog.Topic, batch catalog.Batch, snapshot bool) {
	now := time.Now()
	first := r.updateCopy(topic, &batch, snapshot)
	revision := newestRevision(batch)
	r.mu.Lock()
	r.answeredAt[topic] = now
	r.withheld.clear(topic)
	after := r.seenRevisions[topic]
	r.seenRevisions[topic] = max(after, revision)
	r.mu.Unlock()
	if revision <= after {
		return
	}
	if !first && isSameEra(after, revision) && r.isPoller(r.LiveLocal()) {
		r.push(topic, after, revision, batch)
	}
	r.announce(now)
}

// isSameEra reports whether two revisions are of the same era of the source.
func isSameEra(a, b uint64) bool {
	return provider.Era(a) == provider.Era(b)
}

// OnPeerBatch implements catalog.Peers. When this daemon becomes a poller, its first push
// starts after the revisions that it received from other daemons. A poller that the source
// does not answer pushes what it gets from daemons elsewhere, unless another poller announces.
func (r *Relay) OnPeerBatch(topic catalog.Topic, batch catalog.Batch, snapshot bool) {
	r.mu.Lock()
	r.seenRevisions[topic] = max(r.seenRevisions[topic], batch.Revision)
	after := max(r.copies[topic].newest, r.copies[topic].since)
	now := time.Now()
	pushes := r.unanswered(now, topic) && !r.announcedRecently(now)
	r.mu.Unlock()
	first := r.updateCopy(topic, &batch, snapshot)
	if pushes && !first && batch.Revision > after && isSameEra(after, batch.Revision) && r.isPoller(r.LiveLocal()) {
		r.push(topic, after, batch.Revision, batch)
	}
}

// OnSourceFailure implements catalog.Peers. It stops the announcements of this daemon until
// the next answer.
func (r *Relay) OnSourceFailure(topic catalog.Topic) {
	r.mu.Lock()
	r.answeredAt[topic] = time.Time{}
	r.withheld.failed[topic] = true
	r.mu.Unlock()
	r.withdraw(time.Now())
}
