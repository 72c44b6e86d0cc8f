package pollers

import (
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
	// fanOut is the number of daemons that take their copy from one daemon: with links
	// of 20 Mbit/s and 3,000 targets (200 KB), three copies take a quarter of a second.
	fanOut = 3
	// listWait bounds the wait for the list of daemons at start.
	listWait = 300 * time.Millisecond
	// copyWait is the time without any word after which the next daemon is asked: a
	// dial and a round trip in the data centre with processors busy at start.
	copyWait = 300 * time.Millisecond
	// laterWait bounds the wait for a copy that was promised. A poller reads 3,000
	// targets in about half a second, and a copy passes three daemons on its way.
	laterWait = 1500 * time.Millisecond
	// settleTime bounds the wait at start for a poller's word, see Settle.
	settleTime = time.Second
	// settleCheck is how often Settle looks.
	settleCheck = 50 * time.Millisecond
	// maxAskers bounds the daemons that wait for a copy.
	maxAskers = 64
)

// copied is a topic as this daemon has it, for daemons that start.
type copied struct {
	complete bool
	revision uint64
	rows     map[string]catalog.Record
	// packed is the copy as it is sent; nil after a change.
	packed []byte
	// askers wait for the copy to be complete.
	askers []string
	// answers are those of the daemon that is asked for its copy.
	answers chan copyAnswer
}

type copyAnswer struct {
	from string
	*peerpb.SourceCopy
}

func newCopied() *copied {
	return &copied{rows: make(map[string]catalog.Record), answers: make(chan copyAnswer, fanOut)}
}

// apply takes what was read from the source or from another daemon.
func (c *copied) apply(batch catalog.Batch, snapshot bool) {
	if snapshot {
		clear(c.rows)
		c.complete = true
	}
	for i := range batch.Records {
		e := batch.Records[i]
		if e.Deleted {
			delete(c.rows, e.Key)
		} else {
			c.rows[e.Key] = catalog.Record{Key: e.Key, Revision: e.Revision, Raw: e.Raw}
		}
	}
	if len(batch.Records) > 0 || snapshot {
		c.packed = nil
	}
	c.revision = max(c.revision, batch.Revision)
}

// changed returns how a snapshot differs from the copy.
func (c *copied) changed(snapshot catalog.Batch) []catalog.Record {
	var out []catalog.Record
	listed := make(map[string]bool, len(snapshot.Records))
	for _, e := range snapshot.Records {
		listed[e.Key] = true
		if old, known := c.rows[e.Key]; !known || old.Revision != e.Revision {
			out = append(out, e)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		if !listed[key] {
			out = append(out, catalog.Record{Key: key, Revision: snapshot.Revision, Deleted: true})
		}
	}
	return out
}

// dropAnswers drops what came too late for an earlier question.
func (c *copied) dropAnswers() {
	for {
		select {
		case <-c.answers:
		default:
			return
		}
	}
}

// message is the answer to a daemon that asks.
func (c *copied) message(topic catalog.Topic) (*peerpb.SourceCopy, error) {
	if c.packed == nil {
		keys := slices.Sorted(maps.Keys(c.rows))
		entries := make([]catalog.Record, len(keys))
		for i, key := range keys {
			entries[i] = c.rows[key]
		}
		packed, err := pack(entries)
		if err != nil {
			return nil, err
		}
		c.packed = packed
	}
	return &peerpb.SourceCopy{Topic: uint32(topic), State: peerpb.CopyState_COPY_HERE, Revision: c.revision, Rows: c.packed}, nil
}

// Snapshot implements catalog.Peers: it asks another daemon of the data centre for its
// copy of a topic, so that a registry of thousands of targets is read from the source by
// few. The daemons form a tree below the pollers. False means that the source has to
// be asked.
func (d *Relay) Snapshot(ctx context.Context, topic catalog.Topic) (catalog.Batch, bool) {
	if topic != catalog.RegistryTopic {
		return catalog.Batch{}, false
	}
	ctxtime.WaitClosed(ctx, d.ListRead, listWait)
	d.copies[topic].dropAnswers()
	for _, name := range d.copyHolders() {
		if batch, ok := d.pull(ctx, topic, name); ok {
			return batch, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return catalog.Batch{}, false
}

// copyHolders returns the daemons to ask: the parent in the tree, then a poller. A
// poller asks the source.
func (d *Relay) copyHolders() []string {
	ranked := rendezvous.Rank(d.DataCentre, d.LiveLocal())
	at := slices.Index(ranked, d.Self)
	if at < perDataCentre {
		return nil
	}
	parent, poller := ranked[(at-perDataCentre)/fanOut], ranked[at%perDataCentre]
	if parent == poller {
		return []string{parent}
	}
	return []string{parent, poller}
}

// pull asks one daemon for its copy.
func (d *Relay) pull(ctx context.Context, topic catalog.Topic, name string) (catalog.Batch, bool) {
	pull := &peerpb.Envelope{Body: &peerpb.Envelope_SourcePull{SourcePull: &peerpb.SourcePull{Topic: uint32(topic)}}}
	if d.Send(name, pull) != nil {
		return catalog.Batch{}, false
	}
	timer := time.NewTimer(copyWait)
	defer timer.Stop()
	for {
		select {
		case answer := <-d.copies[topic].answers:
			switch {
			case answer.from != name && answer.State != peerpb.CopyState_COPY_HERE:
			case answer.State == peerpb.CopyState_COPY_HERE:
				return d.unpackCopy(topic, answer.SourceCopy)
			case answer.State == peerpb.CopyState_COPY_LATER:
				timer.Reset(laterWait)
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

func (d *Relay) unpackCopy(topic catalog.Topic, m *peerpb.SourceCopy) (catalog.Batch, bool) {
	entries, err := d.unpack(topic, m.Rows)
	if err != nil {
		d.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", ""), eventlog.Fields{"topic": topic.String(), "revision": m.Revision})
		return catalog.Batch{}, false
	}
	return catalog.Batch{Records: entries, Revision: m.Revision}, true
}

// onPull answers a daemon that asks for a copy.
func (d *Relay) onPull(from string, m *peerpb.SourcePull) {
	if m.Topic >= topicCount {
		return
	}
	topic := catalog.Topic(m.Topic)
	d.mu.Lock()
	c := d.copies[topic]
	state := peerpb.CopyState_COPY_HERE
	switch {
	case !c.complete && len(c.askers) < maxAskers:
		c.askers = append(c.askers, from)
		state = peerpb.CopyState_COPY_LATER
	case !c.complete || !d.upToDate(time.Now(), topic):
		state = peerpb.CopyState_COPY_NONE
	}
	d.mu.Unlock()
	d.sendCopy(topic, state, []string{from})
}

// upToDate says whether the copy follows the source: this daemon reads it, or hears of
// no newer revision from one that does. The caller holds the lock.
func (d *Relay) upToDate(now time.Time, topic catalog.Topic) bool {
	at := d.answered[topic]
	reads := !at.IsZero() && now.Sub(at) <= answerAge
	return reads || now.Sub(d.heard) <= coverTime && d.told[topic] <= d.seen[topic]
}

// sendCopy sends a copy, or the word that there is none yet.
func (d *Relay) sendCopy(topic catalog.Topic, state peerpb.CopyState, to []string) {
	message := &peerpb.SourceCopy{Topic: uint32(topic), State: state}
	if state == peerpb.CopyState_COPY_HERE {
		d.mu.Lock()
		packed, err := d.copies[topic].message(topic)
		d.mu.Unlock()
		if err != nil {
			d.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": topic.String()})
			message.State = peerpb.CopyState_COPY_NONE
		} else {
			message = packed
		}
	}
	for _, name := range to {
		// A daemon without the answer asks the next one.
		_ = d.Send(name, &peerpb.Envelope{Body: &peerpb.Envelope_SourceCopy{SourceCopy: message}})
	}
}

// onCopy takes the answer of another daemon. One that nobody waits for is dropped.
func (d *Relay) onCopy(from string, m *peerpb.SourceCopy) {
	if m.Topic >= topicCount {
		return
	}
	select {
	case d.copies[m.Topic].answers <- copyAnswer{from, m}:
	default:
	}
}

// keep takes a batch into the copy, and sends the copy to those that wait for it. A
// snapshot after an earlier one becomes what changed since: rows that are gone from it
// were dropped while the source lost its history. First is set for the first snapshot.
func (d *Relay) keep(topic catalog.Topic, batch *catalog.Batch, snapshot bool) (first bool) {
	d.mu.Lock()
	c := d.copies[topic]
	whole := *batch
	first = snapshot && !c.complete
	if snapshot && c.complete {
		batch.Records = c.changed(whole)
	}
	c.apply(whole, snapshot)
	var askers []string
	if c.complete {
		askers, c.askers = c.askers, nil
	}
	d.mu.Unlock()
	if len(askers) > 0 {
		d.sendCopy(topic, peerpb.CopyState_COPY_HERE, askers)
	}
	return first
}

// AwaitPoller implements catalog.Peers: it waits at start until a poller has told its
// revisions, unless this daemon is one. Without it, every daemon of a common start
// would ask the source for changes before the first word of a poller.
func (d *Relay) AwaitPoller(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for ctx.Err() == nil && !d.HasPoller() && !d.polls(d.LiveLocal()) {
		ctxtime.Sleep(ctx, settleCheck)
	}
}
