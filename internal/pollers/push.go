package pollers

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// newestRevision returns the highest revision of the records of a batch, or 0 if it is
// empty.
func newestRevision(b catalog.Batch) uint64 {
	revision := uint64(0)
	for i := range b.Records {
		revision = max(revision, b.Records[i].Revision)
	}
	return revision
}

// push sends the changes after one revision, up to another, to the other daemons of the
// data centre.
func (r *Relay) push(topic catalog.Topic, after, revision uint64, batch catalog.Batch) {
	packed, err := pack(batch.Records)
	if err != nil {
		// The other daemons learn of the revision by announce, and ask the source.
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": topic.String(), "revision": revision})
		return
	}
	r.sendToOthers(&peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{
		Topic:       uint32(topic),
		After:       after,
		Revision:    revision,
		AfterOutage: batch.AfterOutage,
		Rows:        packed,
	}}})
}

// needsPush reports whether the watcher of a topic takes a push: a poller that the source
// answers does not.
func (r *Relay) needsPush(topic catalog.Topic, revision uint64) bool {
	now := time.Now()
	r.mu.Lock()
	r.expectAnswer(now, topic, revision)
	unanswered := r.unanswered(now, topic)
	r.mu.Unlock()
	return unanswered || !r.isPoller(r.LiveLocal())
}

// onPush passes a push of another daemon to the watcher. Unreadable pushes are logged
// and dropped.
func (r *Relay) onPush(m *peerpb.SourceChanges) {
	topic := catalog.Topic(m.Topic)
	if m.Topic >= topicCount || !r.needsPush(topic, m.Revision) {
		return
	}
	records, err := r.unpack(topic, m.Rows)
	if err != nil {
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", ""), eventlog.Fields{"topic": topic.String(), "revision": m.Revision})
		return
	}
	push := catalog.Push{After: m.After, Batch: catalog.Batch{Records: records, Revision: m.Revision, AfterOutage: m.AfterOutage}}
	select {
	case r.pushes[topic] <- push:
	default:
		// The watcher finds the gap by the announced revision, and asks the source.
	}
}

// pack encodes and compresses records. A manifest of a thousand routes shrinks to a
// tenth, which matters on VMs with slow links.
func pack(records []catalog.Record) ([]byte, error) {
	rows := &peerpb.SourceRows{Rows: make([]*peerpb.SourceRow, len(records))}
	for i, record := range records {
		rows.Rows[i] = &peerpb.SourceRow{Key: record.Key, Revision: record.Revision, Deleted: record.Deleted, Value: record.Raw}
	}
	plain, err := proto.Marshal(rows)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack reverses pack. It returns an error if the rows exceed maxPushBytes when
// decompressed.
func (r *Relay) unpack(topic catalog.Topic, packed []byte) ([]catalog.Record, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxPushBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPushBytes {
		return nil, fmt.Errorf("unpacked rows exceed %d bytes", maxPushBytes)
	}
	var rows peerpb.SourceRows
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return nil, err
	}
	records := make([]catalog.Record, len(rows.Rows))
	for i, row := range rows.Rows {
		if row.Deleted {
			records[i] = catalog.Record{Key: row.Key, Revision: row.Revision, Deleted: true}
			continue
		}
		records[i] = r.Decode(topic, row.Key, row.Revision, row.Value)
	}
	return records, nil
}
