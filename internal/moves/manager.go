// Package moves runs the part of a daemon that brings services to new versions:
// it collects evidence from the requests of this daemon, pools it in one daemon
// of the data centre and passes it to the holder of the move, spreads rows and
// cuts among the peers, and competes for the leases of moves.
//
// A Manager is safe for concurrent use.
package moves

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// evidenceInterval is the time between two messages of evidence. A bad version
// has to be at zero share within 2 s of its evidence, over two hops.
const evidenceInterval = 500 * time.Millisecond

// Config holds the parts of a Manager. All are required.
type Config struct {
	Self        string
	Incarnation uint64
	Send        func(to string, m *peerpb.Envelope) error
	// Broadcast sends a message to every daemon with a session.
	Broadcast func(m *peerpb.Envelope)
	// LiveLocal returns the live daemons of the own data centre.
	LiveLocal func() []string
	// LiveAll returns the live daemons of all data centres.
	LiveAll func() []string
	// DataCentres returns the number of data centres, over which the error
	// probability of the tests is divided.
	DataCentres int
	Table       provider.Table
	Weights     provider.Weights
	Loader      rollout.Loader
	Shares      *rollout.Shares
	// Options are the times of moves; nil takes rollout.DefaultOptions.
	Options *rollout.Options
	Logger  *eventlog.Logger
}

// candidates is the number of daemons that compete for the lease of a service.
// The others would only read the store.
const candidates = 3

// Manager holds the parts of rollout of one daemon.
type Manager struct {
	Config
	controller *rollout.Controller
	collector  *rollout.Collector
	aggregator *rollout.Aggregator
}

// New returns a duty without a configuration.
func New(config Config) *Manager {
	d := &Manager{Config: config}
	origin := fmt.Sprintf("%s@%d", config.Self, config.Incarnation)
	d.collector = rollout.NewCollector(config.Shares, origin)
	d.aggregator = rollout.NewAggregator(rollout.AggregatorConfig{
		Shares:    config.Shares,
		Origin:    origin,
		Evaluator: rollout.NewTest().SplitAmong(2 * max(1, config.DataCentres)),
	})
	d.controller = rollout.NewController(rollout.Config{
		Table:       config.Table,
		Loader:      config.Loader,
		Weights:     config.Weights,
		Notifier:    notify{duty: d},
		Self:        config.Self,
		Shares:      config.Shares,
		IsCandidate: d.candidate,
		Options:     config.Options,
	})
	return d
}

// candidate says whether this daemon is among the first by rank for a service.
func (d *Manager) candidate(service string) bool {
	ranked := rendezvous.Rank("move/"+service, d.LiveAll())
	for i, name := range ranked {
		if i >= candidates {
			return false
		}
		if name == d.Self {
			return true
		}
	}
	return false
}

// SetConfig takes in the configuration in force.
func (d *Manager) SetConfig(set *object.Set) {
	d.controller.SetConfig(set)
}

// Observe counts one finished attempt.
func (d *Manager) Observe(o rollout.Observation) {
	d.collector.Observe(o)
}

// Status returns the state of all moves.
func (d *Manager) Status() []rollout.MoveStatus {
	return d.controller.Status()
}

// Run works until the context ends.
func (d *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.controller.Run(ctx)
		return nil
	})
	group.Go(func() error {
		return ctxtime.RunEvery(ctx, evidenceInterval, func(time.Time) { d.passEvidence() })
	})
	return group.Wait()
}

// passEvidence moves evidence one step on: from the collector to the daemon that
// pools it, and from the pool to the holder.
func (d *Manager) passEvidence() {
	pool := rendezvous.Owner("evidence", d.LiveLocal())
	for _, e := range d.collector.Drain() {
		if pool == "" || pool == d.Self || d.Send(pool, evidenceMessage(e)) != nil {
			d.aggregator.Add(e)
		}
	}
	for _, cut := range d.aggregator.Evaluate() {
		d.cut(cut.Move, cut.Attempt, cut.Reason, d.Self)
	}
	for _, m := range d.aggregator.Drain() {
		if m.Holder == d.Self {
			d.controller.AddEvidence(m.Evidence)
			continue
		}
		// Evidence that is lost here delays the move; the data centre judges it too.
		_ = d.Send(m.Holder, evidenceMessage(m.Evidence))
	}
}

func (d *Manager) cut(move string, attempt int, reason, origin string) {
	if known, done := d.Shares.CutReason(move, attempt); done && known != "" {
		return
	}
	d.Logger.Emit(eventlog.MoveCut, eventlog.Fields{"move": move, "attempt": attempt, "reason": reason, "origin": origin})
	d.controller.Cut(move, attempt, reason)
}

// OnMessage takes a message about moves.
func (d *Manager) OnMessage(m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_MoveState:
		d.onRow(body.MoveState, m)
	case *peerpb.Envelope_MoveCut:
		d.cut(body.MoveCut.Move, int(body.MoveCut.Attempt), body.MoveCut.Reason, body.MoveCut.Origin)
	case *peerpb.Envelope_Evidence:
		d.onEvidence(body.Evidence)
	default:
		return false
	}
	return true
}

func (d *Manager) onRow(m *peerpb.MoveState, envelope *peerpb.Envelope) {
	fresh, err := d.Shares.ApplyRow(m.Move, m.Sequence, m.Row)
	if err == nil && fresh {
		d.logRow(m.Move)
		d.Broadcast(envelope)
	}
}

func (d *Manager) logRow(move string) {
	row, _, ok := d.Shares.Row(move)
	if !ok {
		return
	}
	d.Logger.Emit(eventlog.MoveChanged, eventlog.Fields{
		"move":   move,
		"phase":  string(row.Phase),
		"share":  row.Share,
		"reason": row.Reason,
		"holder": row.Holder,
	})
}

// onEvidence takes evidence of collectors into the pool, and that of pools, which
// names the holder it is meant for, to the controller.
func (d *Manager) onEvidence(m *peerpb.Evidence) {
	e := decodeEvidence(m)
	if rollout.IsPooled(e.Origin) {
		d.controller.AddEvidence(e)
		return
	}
	d.aggregator.Add(e)
}

// SessionUp tells a peer all rows and cuts that this daemon knows.
func (d *Manager) SessionUp(peer string) {
	rows, cuts := d.Shares.Snapshot()
	for _, r := range rows {
		_ = d.Send(peer, rowMessage(r.Move, r.Sequence, r.Row))
	}
	for _, c := range cuts {
		_ = d.Send(peer, cutMessage(c.Move, c.Attempt, c.Reason, d.Self))
	}
}

// notify spreads what the controller did.
type notify struct {
	duty *Manager
}

// NotifyRow implements rollout.Notify.
func (n notify) NotifyRow(move string, sequence uint64, row []byte) {
	n.duty.logRow(move)
	n.duty.Broadcast(rowMessage(move, sequence, row))
}

// NotifyCut implements rollout.Notify.
func (n notify) NotifyCut(move string, attempt int, reason string) {
	n.duty.Broadcast(cutMessage(move, attempt, reason, n.duty.Self))
}
