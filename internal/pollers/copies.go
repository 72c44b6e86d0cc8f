package pollers

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// fanOut is the number of daemons that fetch their copy from the same daemon. At
	// 20 Mbit/s, sending three copies of 3,000 targets (200 KB each) takes a quarter of
	// a second.
	fanOut = 3
	// listReadTimeout bounds the wait for the list of daemons at start.
	listReadTimeout = 300 * time.Millisecond
	// copyTimeout is the time without an answer after which the next daemon is asked.
	// It covers a dial and a round trip in the data centre while processors are busy at
	// start.
	copyTimeout = 300 * time.Millisecond
	// promisedCopyTimeout bounds the wait for a copy after a COPY_LATER answer. A poller
	// reads 3,000 targets in about half a second, and a copy passes through three daemons.
	promisedCopyTimeout = 1500 * time.Millisecond
	// awaitPollerTimeout bounds the wait of AwaitPoller for a poller's first message.
	awaitPollerTimeout = time.Second
	// awaitPollerInterval is the time between two checks of AwaitPoller.
	awaitPollerInterval = 50 * time.Millisecond
	// maxDeleted bounds the deletions that a copy remembers, about 0.5 MB. A daemon that
	// lacks older ones gets the whole topic.
	maxDeleted = 4096
	// maxWaiting bounds the daemons that wait for a copy of this daemon.
	maxWaiting = 64
)

// topicCopy is this daemon's copy of a topic, from which starting daemons are served.
type topicCopy struct {
	// complete is set once a snapshot was applied.
	complete bool
	revision uint64
	rows     map[string]catalog.Record
	// deleted are the revisions of the rows deleted after the revision since, the first
	// one from which the copy can list all changes.
	deleted map[string]uint64
	since   uint64
	// newest is the highest revision of a row or of a deletion.
	newest uint64
	// delta caches the message with the changes after a revision; nil after a change.
	delta *peerpb.SourceCopy
	// packed caches the compressed rows for sending; nil after a change.
	packed []byte
	// waiting are the daemons that asked before the copy was complete.
	waiting []string
	// answers receives the answers of the daemons that this one asks for their copies.
	answers chan copyAnswer
}

type copyAnswer struct {
	from string
	*peerpb.SourceCopy
}

func newTopicCopy() *topicCopy {
	return &topicCopy{rows: make(map[string]catalog.Record), deleted: make(map[string]uint64), answers: make(chan copyAnswer, fanOut)}
}

// apply applies a batch that was read from the source or from another daemon. A
// snapshot replaces all rows. The caller holds the Relay's lock.
func (c *topicCopy) apply(batch catalog.Batch, snapshot bool) {
	if snapshot {
		clear(c.rows)
		clear(c.deleted)
		c.complete, c.since = true, batch.Revision
	}
	for i := range batch.Records {
		record := batch.Records[i]
		c.newest = max(c.newest, record.Revision)
		if record.Deleted {
			delete(c.rows, record.Key)
			c.deleted[record.Key] = record.Revision
		} else {
			delete(c.deleted, record.Key)
			c.rows[record.Key] = catalog.Record{Key: record.Key, Revision: record.Revision, Raw: record.Raw}
		}
	}
	if len(batch.Records) > 0 || snapshot {
		c.packed, c.delta = nil, nil
	}
	c.revision = max(c.revision, batch.Revision)
	if len(c.deleted) > maxDeleted {
		clear(c.deleted)
		c.since = c.revision
	}
}

// diff returns the records of a snapshot that are new or have another revision than in
// the copy, and a deleted record for each row that the snapshot lacks.
func (c *topicCopy) diff(snapshot catalog.Batch) []catalog.Record {
	var changes []catalog.Record
	listed := make(map[string]bool, len(snapshot.Records))
	for _, record := range snapshot.Records {
		listed[record.Key] = true
		if old, known := c.rows[record.Key]; !known || old.Revision != record.Revision {
			changes = append(changes, record)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		if !listed[key] {
			changes = append(changes, catalog.Record{Key: key, Revision: snapshot.Revision, Deleted: true})
		}
	}
	return changes
}

// discardAnswers discards late answers to an earlier request.
func (c *topicCopy) discardAnswers() {
	for {
		select {
		case <-c.answers:
		default:
			return
		}
	}
}

// message returns the answer with the rows of the copy. The caller holds the Relay's
// lock.
func (c *topicCopy) message(topic catalog.Topic) (*peerpb.SourceCopy, error) {
	if c.packed == nil {
		keys := slices.Sorted(maps.Keys(c.rows))
		records := make([]catalog.Record, len(keys))
		for i, key := range keys {
			records[i] = c.rows[key]
		}
		packed, err := pack(records)
		if err != nil {
			return nil, err
		}
		c.packed = packed
	}
	return &peerpb.SourceCopy{Topic: uint32(topic), State: peerpb.CopyState_COPY_HERE, Revision: c.revision, Rows: c.packed}, nil
}

// Snapshot implements catalog.Peers: it requests the copy of a topic from another daemon
// of the data centre, so that only few daemons read a registry of thousands of targets
// from the source. The daemons form a tree below the pollers. If it returns false, the
// caller has to read the source; this is always so for topics other than the registry.
func (r *Relay) Snapshot(ctx context.Context, topic catalog.Topic) (catalog.Batch, bool) {
	if topic != catalog.RegistryTopic {
		return catalog.Batch{}, false
	}
	ctxtime.WaitClosed(ctx, r.DaemonListRead, listReadTimeout)
	r.copies[topic].discardAnswers()
	for _, name := range r.copyHolders() {
		if batch, ok := r.requestCopy(ctx, topic, name); ok {
			return batch, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return catalog.Batch{}, false
}

// copyHolders returns the daemons to ask for a copy: the parent in the tree, then a
// poller. It returns none for a poller, which reads the source.
func (r *Relay) copyHolders() []string {
	ranked := rendezvous.Rank(r.DataCentre, r.LiveLocal())
	rank := slices.Index(ranked, r.Self)
	if rank < pollersPerDataCentre {
		return nil
	}
	parent, poller := ranked[(rank-pollersPerDataCentre)/fanOut], ranked[rank%pollersPerDataCentre]
	if parent == poller {
		return []string{parent}
	}
	return []string{parent, poller}
}

// requestCopy requests a copy from one daemon. It returns false if the daemon has none,
// does not answer in time, or sends rows that cannot be unpacked.
func (r *Relay) requestCopy(ctx context.Context, topic catalog.Topic, name string) (catalog.Batch, bool) {
	request := &peerpb.Envelope{Body: &peerpb.Envelope_SourcePull{SourcePull: &peerpb.SourcePull{Topic: uint32(topic)}}}
	if r.Send(name, request) != nil {
		return catalog.Batch{}, false
	}
	timer := time.NewTimer(copyTimeout)
	defer timer.Stop()
	for {
		select {
		case answer := <-r.copies[topic].answers:
			switch {
			case answer.from != name && answer.State != peerpb.CopyState_COPY_HERE:
				// A late answer of a daemon that was asked before; only its copy is of use.
			case answer.State == peerpb.CopyState_COPY_HERE:
				return r.unpackCopy(topic, answer.SourceCopy)
			case answer.State == peerpb.CopyState_COPY_LATER:
				timer.Reset(promisedCopyTimeout)
			default:
				return catalog.Batch{}, false
			}
		case <-timer.C:
			return catalog.Batch{}, false
		case <-ctx.Done():
			return catalog.Batch{}, false
		}
	}
}

func (r *Relay) unpackCopy(topic catalog.Topic, m *peerpb.SourceCopy) (catalog.Batch, bool) {
	records, err := r.unpack(topic, m.Rows)
	if err != nil {
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", ""), eventlog.Fields{"topic": topic.String(), "revision": m.Revision})
		return catalog.Batch{}, false
	}
	return catalog.Batch{Records: records, Revision: m.Revision}, true
}

// onCopyRequest answers a daemon that requests a copy. While the copy is incomplete, the
// daemon is told to wait, up to maxWaiting of them.
func (r *Relay) onCopyRequest(from string, m *peerpb.SourcePull) {
	if m.Topic >= topicCount {
		return
	}
	if m.Withheld {
		r.answerWithheld(from, m)
		return
	}
	topic := catalog.Topic(m.Topic)
	r.mu.Lock()
	c := r.copies[topic]
	state := peerpb.CopyState_COPY_HERE
	switch {
	case !c.complete && len(c.waiting) < maxWaiting:
		c.waiting = append(c.waiting, from)
		state = peerpb.CopyState_COPY_LATER
	case !c.complete || !r.copyIsCurrent(time.Now(), topic):
		state = peerpb.CopyState_COPY_NONE
	}
	r.mu.Unlock()
	r.sendCopy(topic, state, []string{from})
}

// copyIsCurrent reports whether the copy is up to date: either the source answered this
// daemon recently, or a poller recently announced its revisions and the topic's is not
// newer than the one seen here. The caller holds the lock.
func (r *Relay) copyIsCurrent(now time.Time, topic catalog.Topic) bool {
	answeredAt := r.answeredAt[topic]
	answersRecent := !answeredAt.IsZero() && now.Sub(answeredAt) <= maxAnswerAge
	return answersRecent || r.announcedRecently(now) && r.announcedRevisions[topic] <= r.seenRevisions[topic]
}

// sendCopy sends the copy of a topic to daemons, or just the state if that is not
// COPY_HERE. If the copy cannot be packed, it sends COPY_NONE.
func (r *Relay) sendCopy(topic catalog.Topic, state peerpb.CopyState, to []string) {
	message := &peerpb.SourceCopy{Topic: uint32(topic), State: state}
	if state == peerpb.CopyState_COPY_HERE {
		r.mu.Lock()
		packed, err := r.copies[topic].message(topic)
		r.mu.Unlock()
		if err != nil {
			r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": topic.String()})
			message.State = peerpb.CopyState_COPY_NONE
		} else {
			message = packed
		}
	}
	for _, name := range to {
		// A daemon that gets no answer asks the next one.
		_ = r.Send(name, &peerpb.Envelope{Body: &peerpb.Envelope_SourceCopy{SourceCopy: message}})
	}
}

// onCopy passes the answer of another daemon to requestCopy. The answer is dropped if
// the buffer is full.
func (r *Relay) onCopy(from string, m *peerpb.SourceCopy) {
	if m.Topic >= topicCount {
		return
	}
	if m.Withheld {
		r.onRelief(from, m)
		return
	}
	select {
	case r.copies[m.Topic].answers <- copyAnswer{from, m}:
	default:
	}
}

// updateCopy applies a batch to the copy, and sends the complete copy to the daemons
// that wait for it. If batch is a snapshot after an earlier one, its records are replaced
// by the changes since then, because rows that it lacks were deleted while the source
// lost its history. The result first is true for the first snapshot.
func (r *Relay) updateCopy(topic catalog.Topic, batch *catalog.Batch, snapshot bool) (first bool) {
	r.mu.Lock()
	c := r.copies[topic]
	received := *batch
	first = snapshot && !c.complete
	if snapshot && c.complete {
		batch.Records = c.diff(received)
	}
	c.apply(received, snapshot)
	var waiting []string
	if c.complete {
		waiting, c.waiting = c.waiting, nil
	}
	r.mu.Unlock()
	if len(waiting) > 0 {
		r.sendCopy(topic, peerpb.CopyState_COPY_HERE, waiting)
	}
	return first
}

// AwaitPoller implements catalog.Peers: it waits at start until a poller has announced
// its revisions, at most awaitPollerTimeout, and not at all if this daemon is a poller.
// Without it, daemons that start together would all ask the source for changes before
// the first announcement.
func (r *Relay) AwaitPoller(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitPollerTimeout)
	defer cancel()
	for ctx.Err() == nil && !r.HasPoller() && !r.isPoller(r.LiveLocal()) {
		ctxtime.Sleep(ctx, awaitPollerInterval)
	}
}

// changesAfter returns a message with the rows that changed after a revision, which is not
// below c.since, and with the rows deleted after it. The caller holds the Relay's lock.
func (c *topicCopy) changesAfter(topic catalog.Topic, after uint64) (*peerpb.SourceCopy, error) {
	if c.delta != nil && c.delta.After == after {
		c.delta.Revision = c.revision
		return c.delta, nil
	}
	var records []catalog.Record
	for _, record := range c.rows {
		if record.Revision > after {
			records = append(records, record)
		}
	}
	for key, revision := range c.deleted {
		if revision > after {
			records = append(records, catalog.Record{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(records, func(a, b catalog.Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	packed, err := pack(records)
	if err != nil {
		return nil, err
	}
	c.delta = &peerpb.SourceCopy{Topic: uint32(topic), State: peerpb.CopyState_COPY_HERE, Revision: c.revision, After: after, Rows: packed}
	return c.delta, nil
}
