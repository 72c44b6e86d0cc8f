package pollers

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// newest returns the revision of the newest entry of a batch; 0 is none.
func newest(b catalog.Batch) uint64 {
	revision := uint64(0)
	for i := range b.Records {
		revision = max(revision, b.Records[i].Revision)
	}
	return revision
}

// push passes a batch on to the other daemons of the data centre.
func (d *Relay) push(topic catalog.Topic, after, revision uint64, batch catalog.Batch) {
	packed, err := pack(batch.Records)
	if err != nil {
		// The others hear of the revision and ask the store.
		d.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": topic.String(), "revision": revision})
		return
	}
	d.toOthers(&peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{
		Topic:       uint32(topic),
		After:       after,
		Revision:    revision,
		AfterOutage: batch.AfterOutage,
		Rows:        packed,
	}}})
}

// takePush hands a push to the watcher.
func (d *Relay) takePush(m *peerpb.SourceChanges) {
	topic := catalog.Topic(m.Topic)
	if m.Topic >= topicCount {
		return
	}
	entries, err := d.unpack(topic, m.Rows)
	if err != nil {
		d.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", ""), eventlog.Fields{"topic": topic.String(), "revision": m.Revision})
		return
	}
	push := catalog.Push{After: m.After, Batch: catalog.Batch{Records: entries, Revision: m.Revision, AfterOutage: m.AfterOutage}}
	select {
	case d.pushes[topic] <- push:
	default:
		// The watcher finds out by the revision that is told, and asks the store.
	}
}

// pack compresses rows: a manifest of a thousand routes shrinks to a tenth, which counts
// on VMs with slow links.
func pack(entries []catalog.Record) ([]byte, error) {
	rows := &peerpb.SourceRows{Rows: make([]*peerpb.SourceRow, len(entries))}
	for i, e := range entries {
		rows.Rows[i] = &peerpb.SourceRow{Key: e.Key, Revision: e.Revision, Deleted: e.Deleted, Value: e.Raw}
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

func (d *Relay) unpack(topic catalog.Topic, packed []byte) ([]catalog.Record, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxPushBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPushBytes {
		return nil, fmt.Errorf("rows exceed %d bytes", maxPushBytes)
	}
	var rows peerpb.SourceRows
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return nil, err
	}
	entries := make([]catalog.Record, len(rows.Rows))
	for i, r := range rows.Rows {
		if r.Deleted {
			entries[i] = catalog.Record{Key: r.Key, Revision: r.Revision, Deleted: true}
			continue
		}
		entries[i] = d.Decode(topic, r.Key, r.Revision, r.Value)
	}
	return entries, nil
}
