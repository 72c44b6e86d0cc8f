// Package pollers spares the platform's store: in each data centre, a few daemons ask
// it for changes and pass them on to the others, which ask it themselves only while
// nobody passes anything on, or when they hear of a revision that they lack.
//
// The pollers are the first live daemons by rank, so that all agree on them without a
// message. A poller whose calls fail falls silent.
//
// A daemon that starts takes the registry from another one, along a tree below the
// pollers, instead of reading it from the store.
package pollers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// perDataCentre is the number of pollers in a data centre: trouble often takes the
	// store from a third of the daemons at once, and a change must not wait for that.
	perDataCentre = 3
	// tellInterval is the time between two messages of a poller without a change.
	tellInterval = 500 * time.Millisecond
	// answerAge is the age of the last answer above which a poller falls silent: its
	// calls last up to 3.2 s. After a call that failed, it is silent at once.
	answerAge = 3500 * time.Millisecond
	// coverTime is the time after the last message for which a daemon counts as covered:
	// two messages may be late, and a change that nobody passes on is still in force
	// within 2.5 s.
	coverTime = 1200 * time.Millisecond
	// topicCount is the number of topics of a source.
	topicCount = 2
	// pushBuffer bounds the pushes that wait to be applied; what does not fit is read
	// from the store.
	pushBuffer = 16
	// maxPushBytes bounds the rows of one push once they are unpacked, four times the
	// largest transaction of the store.
	maxPushBytes = 4 << 20
)

// Config holds the parts of a Relay. All are required.
type Config struct {
	Self       string
	DataCentre string
	// LiveLocal returns the live daemons of the own data centre, this one included.
	LiveLocal func() []string
	// ListRead is closed once the list of daemons was read.
	ListRead <-chan struct{}
	Send     func(to string, m *peerpb.Envelope) error
	// Decode reads a row that another daemon passed on.
	Decode func(topic catalog.Topic, key string, revision uint64, raw []byte) catalog.Record
	Logger *eventlog.Logger
}

// Relay implements catalog.Peers. Its methods are safe for concurrent use.
type Relay struct {
	Config
	pushes [topicCount]chan catalog.Push
	copies [topicCount]*copied

	mu sync.Mutex
	// heard is when a poller told its revisions last.
	heard    time.Time
	told     [topicCount]uint64
	seen     [topicCount]uint64
	answered [topicCount]time.Time
}

// New returns a duty that has heard of nobody.
func New(config Config) *Relay {
	d := &Relay{Config: config}
	for i := range d.pushes {
		d.pushes[i] = make(chan catalog.Push, pushBuffer)
		d.copies[i] = newCopied()
	}
	return d
}

// Run tells the others the revisions that this daemon has seen, while it is a poller,
// until the context ends.
func (d *Relay) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tellInterval, d.tell)
}

// tell sends the revisions to the other daemons of the data centre.
func (d *Relay) tell(now time.Time) {
	if !d.polls(d.LiveLocal()) || !d.follows(now) {
		return
	}
	d.mu.Lock()
	message := &peerpb.Envelope{Body: &peerpb.Envelope_SourceRevision{SourceRevision: &peerpb.SourceRevision{
		Operator: d.seen[catalog.OperatorTopic],
		Registry: d.seen[catalog.RegistryTopic],
	}}}
	d.mu.Unlock()
	d.toOthers(message)
}

// toOthers sends a message to the other daemons of the data centre. One that it does not
// reach asks the store itself.
func (d *Relay) toOthers(message *peerpb.Envelope) {
	for _, name := range d.LiveLocal() {
		if name != d.Self {
			_ = d.Send(name, message)
		}
	}
}

// polls reports whether this daemon is a poller.
func (d *Relay) polls(here []string) bool {
	ranked := rendezvous.Rank(d.DataCentre, here)
	return slices.Contains(ranked[:min(perDataCentre, len(ranked))], d.Self)
}

// follows reports whether the source has answered lately on every topic.
func (d *Relay) follows(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.answered {
		if at.IsZero() || now.Sub(at) > answerAge {
			return false
		}
	}
	return true
}

// OnMessage takes what a poller tells. It says whether the message was from one.
func (d *Relay) OnMessage(from string, m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_SourceRevision:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.heard = time.Now()
		d.told[catalog.OperatorTopic] = max(d.told[catalog.OperatorTopic], body.SourceRevision.Operator)
		d.told[catalog.RegistryTopic] = max(d.told[catalog.RegistryTopic], body.SourceRevision.Registry)
	case *peerpb.Envelope_SourceChanges:
		d.takePush(body.SourceChanges)
	case *peerpb.Envelope_SourcePull:
		d.onPull(from, body.SourcePull)
	case *peerpb.Envelope_SourceCopy:
		d.onCopy(from, body.SourceCopy)
	default:
		return false
	}
	return true
}

// HasPoller implements catalog.Peers. A poller asks often itself.
func (d *Relay) HasPoller() bool {
	d.mu.Lock()
	recent := time.Since(d.heard) <= coverTime
	d.mu.Unlock()
	return recent && !d.polls(d.LiveLocal())
}

// AnnouncedRevision implements catalog.Peers.
func (d *Relay) AnnouncedRevision(topic catalog.Topic) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[topic]
}

// Pushes implements catalog.Peers.
func (d *Relay) Pushes(topic catalog.Topic) <-chan catalog.Push {
	return d.pushes[topic]
}

// OnSourceAnswer implements catalog.Peers. A poller passes changes on at once; its first
// snapshot is no change.
func (d *Relay) OnSourceAnswer(topic catalog.Topic, batch catalog.Batch, snapshot bool) {
	now := time.Now()
	first := d.keep(topic, &batch, snapshot)
	revision := newest(batch)
	d.mu.Lock()
	d.answered[topic] = now
	after := d.seen[topic]
	d.seen[topic] = max(after, revision)
	d.mu.Unlock()
	if revision <= after {
		return
	}
	if !first && d.polls(d.LiveLocal()) {
		d.push(topic, after, revision, batch)
	}
	d.tell(now)
}

// OnPeerBatch implements catalog.Peers. When this daemon becomes a poller, its first push begins
// behind what it took from others.
func (d *Relay) OnPeerBatch(topic catalog.Topic, batch catalog.Batch, snapshot bool) {
	d.mu.Lock()
	d.seen[topic] = max(d.seen[topic], batch.Revision)
	d.mu.Unlock()
	d.keep(topic, &batch, snapshot)
}

// OnSourceFailure implements catalog.Peers.
func (d *Relay) OnSourceFailure(topic catalog.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered[topic] = time.Time{}
}
