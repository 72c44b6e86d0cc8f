// Package moves runs the moves of services to new versions in a daemon. It competes for
// the leases of moves and broadcasts move rows and cuts to the peers. It also collects
// evidence from the requests of this daemon and sends it to one daemon of the data
// centre, which aggregates it and sends the sums to the holder of the move's lease.
//
// A Manager is safe for concurrent use.
package moves

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// Config holds the dependencies of a Manager. All but Options are required.
type Config struct {
	Self        string
	Incarnation uint64
	Send        func(to string, m *peerpb.Envelope) error
	// Broadcast sends a message to every daemon with a session.
	Broadcast func(m *peerpb.Envelope)
	// LiveLocal returns the live daemons of this daemon's data centre.
	LiveLocal func() []string
	// LiveAll returns the live daemons of all data centres.
	LiveAll func() []string
	// DataCentres is the number of data centres, among which the error probability
	// of the statistical tests is divided.
	DataCentres  int
	Table        provider.Table
	Weights      provider.Weights
	Loader       rollout.Loader
	TrafficSplit *rollout.TrafficSplit
	// Options configure the timing of moves; nil selects rollout.DefaultOptions.
	Options *rollout.Options
	Logger  *eventlog.Logger
}

// maxCandidates is the number of daemons that compete for the lease of a service's
// moves. More of them would only add reads of the store.
const maxCandidates = 3

// Manager connects the controller, collector and aggregator of package rollout in
// one daemon.
type Manager struct {
	Config
	controller *rollout.Controller
	collector  *rollout.Collector
	aggregator *rollout.Aggregator
	// rowChanged holds at most one wake-up of the loop that forwards evidence.
	rowChanged chan struct{}
}

// New returns a Manager without a configuration; SetConfig provides one.
func New(config Config) *Manager {
	m := &Manager{Config: config, rowChanged: make(chan struct{}, 1)}
	origin := fmt.Sprintf("%s@%d", config.Self, config.Incarnation)
	m.collector = rollout.NewCollector(config.TrafficSplit, origin)
	m.aggregator = rollout.NewAggregator(rollout.AggregatorConfig{
		TrafficSplit: config.TrafficSplit,
		Origin:       origin,
		Evaluator:    rollout.NewSequentialTest().SplitAmong(2 * max(1, config.DataCentres)),
	})
	m.controller = rollout.NewController(rollout.Config{
		Table:        config.Table,
		Loader:       config.Loader,
		Weights:      config.Weights,
		Notifier:     notifier{manager: m},
		Self:         config.Self,
		TrafficSplit: config.TrafficSplit,
		IsCandidate:  m.isCandidate,
		Options:      config.Options,
	})
	return m
}

// isCandidate reports whether this daemon ranks among the first maxCandidates of all
// live daemons for a service.
func (m *Manager) isCandidate(service string) bool {
	ranked := rendezvous.Rank("move/"+service, m.LiveAll())
	for i, name := range ranked {
		if i >= maxCandidates {
			return false
		}
		if name == m.Self {
			return true
		}
	}
	return false
}

// SetConfig passes the configuration in force to the controller.
func (m *Manager) SetConfig(set *object.Set) {
	m.controller.SetConfig(set)
}

// TableRestored reads the rows of all moves again and writes those that the restored table lost. It
// does not block.
func (m *Manager) TableRestored() {
	m.controller.TableRestored()
}

// Observe counts one finished attempt.
func (m *Manager) Observe(o rollout.Observation) {
	m.collector.Observe(o)
}

// Status returns the state of all moves.
func (m *Manager) Status() []rollout.MoveStatus {
	return m.controller.Status()
}

// Run runs the controller and forwards evidence until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		m.controller.Run(ctx)
		return nil
	})
	group.Go(func() error { return m.forwardAllEvidence(ctx) })
	return group.Wait()
}

// forwardAllEvidence forwards evidence until the context ends: in the interval that the phases
// of the moves call for, and when a phase changes. It returns nil.
func (m *Manager) forwardAllEvidence(ctx context.Context) error {
	timer := time.NewTimer(m.TrafficSplit.EvidenceInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.rowChanged:
		case <-timer.C:
		}
		m.forwardEvidence()
		timer.Reset(m.TrafficSplit.EvidenceInterval())
	}
}

// forwardEvidence sends the evidence of this daemon's collector to the daemon that
// aggregates it for the data centre, and the evidence of this daemon's aggregator to
// the holders of the moves. It applies the cuts that the aggregator decides.
func (m *Manager) forwardEvidence() {
	aggregatorDaemon := rendezvous.Owner("evidence", m.LiveLocal())
	for _, e := range m.collector.Drain() {
		if aggregatorDaemon == "" || aggregatorDaemon == m.Self || m.Send(aggregatorDaemon, evidenceMessage(e)) != nil {
			m.aggregator.Add(e)
		}
	}
	for _, cut := range m.aggregator.Evaluate() {
		m.applyCut(cut.Move, cut.Attempt, cut.Reason, m.Self)
	}
	for _, pooled := range m.aggregator.Drain() {
		if pooled.Holder == m.Self {
			m.controller.AddEvidence(pooled.Evidence)
			continue
		}
		// Evidence that is lost here only delays the move: the aggregator of the data
		// centre evaluates it as well.
		_ = m.Send(pooled.Holder, evidenceMessage(pooled.Evidence))
	}
}

// applyCut logs a cut and passes it to the controller, unless it is known with a
// reason already.
func (m *Manager) applyCut(move string, attempt int, reason, origin string) {
	if knownReason, isCut := m.TrafficSplit.CutReason(move, attempt); isCut && knownReason != "" {
		return
	}
	m.Logger.Emit(eventlog.MoveCut, eventlog.Fields{"move": move, "attempt": attempt, "reason": reason, "origin": origin})
	m.controller.Cut(move, attempt, reason)
}

// OnMessage handles move rows, cuts and evidence of other daemons. It reports whether
// the message was one of them.
func (m *Manager) OnMessage(message *peerpb.Envelope) bool {
	switch body := message.Body.(type) {
	case *peerpb.Envelope_MoveState:
		m.onRow(body.MoveState, message)
	case *peerpb.Envelope_MoveCut:
		m.applyCut(body.MoveCut.Move, int(body.MoveCut.Attempt), body.MoveCut.Reason, body.MoveCut.Origin)
	case *peerpb.Envelope_Evidence:
		m.onEvidence(body.Evidence)
	default:
		return false
	}
	return true
}

// onRow applies a move row, and passes it on to all peers if it is newer than the
// known one.
func (m *Manager) onRow(state *peerpb.MoveState, envelope *peerpb.Envelope) {
	fresh, err := m.TrafficSplit.ApplyRow(state.Move, state.Sequence, state.Row)
	if err == nil && fresh {
		m.noteRow(state.Move)
		m.Broadcast(envelope)
	}
}

// noteRow logs a new row of a move and wakes the loop that forwards evidence.
func (m *Manager) noteRow(move string) {
	select {
	case m.rowChanged <- struct{}{}:
	default:
	}
	row, _, ok := m.TrafficSplit.Row(move)
	if !ok {
		return
	}
	m.Logger.Emit(eventlog.MoveChanged, eventlog.Fields{
		"move":   move,
		"phase":  string(row.Phase),
		"share":  row.Share,
		"reason": row.Reason,
		"holder": row.Holder,
	})
}

// onEvidence passes evidence of an aggregator to the controller, and evidence of a
// collector to this daemon's aggregator.
func (m *Manager) onEvidence(message *peerpb.Evidence) {
	e := decodeEvidence(message)
	if rollout.IsPooled(e.Origin) {
		m.controller.AddEvidence(e)
		return
	}
	m.aggregator.Add(e)
}

// SessionUp sends a peer all move rows and cuts that this daemon knows.
func (m *Manager) SessionUp(peer string) {
	rows, cuts := m.TrafficSplit.Snapshot()
	for _, r := range rows {
		_ = m.Send(peer, rowMessage(r.Move, r.Sequence, r.Row))
	}
	for _, c := range cuts {
		_ = m.Send(peer, cutMessage(c.Move, c.Attempt, c.Reason, m.Self))
	}
}

// notifier implements rollout.Notifier: it broadcasts the changes that the controller
// makes.
type notifier struct {
	manager *Manager
}

// NotifyRow implements rollout.Notifier.
func (n notifier) NotifyRow(move string, sequence uint64, row []byte) {
	n.manager.noteRow(move)
	n.manager.Broadcast(rowMessage(move, sequence, row))
}

// NotifyCut implements rollout.Notifier.
func (n notifier) NotifyCut(move string, attempt int, reason string) {
	n.manager.Broadcast(cutMessage(move, attempt, reason, n.manager.Self))
}
