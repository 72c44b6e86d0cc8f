package pollers

import (
	"slices"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// tellersPerDaemon is the number of daemons that tell a daemon, when a session with it starts,
// which rows of the operator the restored source lacks.
const tellersPerDaemon = 6

// lostRows are the operator's rows in force that the restored source lacks up to a revision.
type lostRows struct {
	rows []catalog.Record
	upTo uint64
}

// SetLostRows implements catalog.Peers. A poller tells the other daemons of the data centre, since
// one that started after the restore does not know the rows.
func (r *Relay) SetLostRows(rows []catalog.Record, upTo uint64) {
	r.mu.Lock()
	r.lost = lostRows{rows, upTo}
	r.mu.Unlock()
	r.Logger.Emit(eventlog.OperatorRowsKept, eventlog.Fields{"rows": len(rows), "revision": upTo})
	if len(rows) == 0 || !r.isPoller(r.LiveLocal()) {
		return
	}
	if message := r.lostMessage(); message != nil {
		r.sendToOthers(message)
	}
}

// SessionUp tells a daemon which rows of the operator the restored source lacks, if this daemon is
// one of its tellers.
func (r *Relay) SessionUp(peer string) {
	r.mu.Lock()
	none := len(r.lost.rows) == 0
	r.mu.Unlock()
	if none || !isTeller(r.Self, peer, r.LiveAll()) {
		return
	}
	if message := r.lostMessage(); message != nil {
		// A daemon that the message does not reach is told when its next session starts.
		_ = r.Send(peer, message)
	}
}

// isTeller reports whether a daemon is one of those that tell another one, given the live daemons.
func isTeller(self, peer string, live []string) bool {
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == peer })
	ranked := rendezvous.Rank(peer, others)
	return slices.Contains(ranked[:min(tellersPerDaemon, len(ranked))], self)
}

// lostMessage returns the message with the lost rows, or nil if they cannot be encoded. It is a
// push without a revision of its own, which daemons that only follow pushes ignore.
func (r *Relay) lostMessage() *peerpb.Envelope {
	r.mu.Lock()
	lost := r.lost
	r.mu.Unlock()
	packed, err := pack(lost.rows)
	if err != nil {
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": catalog.OperatorTopic.String()})
		return nil
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_SourceChanges{SourceChanges: &peerpb.SourceChanges{
		Topic: uint32(catalog.OperatorTopic), After: lost.upTo, Rows: packed,
	}}}
}

// onLostRows passes the lost rows that another daemon tells to the watcher.
func (r *Relay) onLostRows(m *peerpb.SourceChanges) {
	records, err := r.unpack(catalog.OperatorTopic, m.Rows)
	if err != nil {
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", ""), eventlog.Fields{"topic": catalog.OperatorTopic.String()})
		return
	}
	r.OnLostRows(records, m.After)
}
