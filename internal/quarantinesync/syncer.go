// Package quarantinesync shares the quarantine state of a daemon with its peers and with
// the table service. Every change is broadcast to all sessions at once. A daemon whose
// state changes by a notice relays it, so that it reaches all reachable daemons within a
// few hops. Quarantined requests are written to the table when it answers, and read at
// start.
package quarantinesync

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// tickInterval is the time between two calls of Tracker.Tick, which must be called at
	// least this often. It is the precision of the tracker's burst window.
	tickInterval = 250 * time.Millisecond
	// storeRingSize bounds the quarantine notices that wait to be written to the table;
	// further ones are not written.
	storeRingSize = 1024
	// storeTimeout bounds one call of the table; storeRetryInterval is the pause after a
	// failed call.
	storeTimeout       = 2 * time.Second
	storeRetryInterval = 5 * time.Second
	// tablePrefix is the key prefix of the rows of quarantined requests.
	tablePrefix = "quarantine/"
	// maxLoadedRows bounds the rows read at start.
	maxLoadedRows = 10000
)

// Config holds the dependencies of a Syncer. All are required, but Table only for
// RunTable.
type Config struct {
	Self string
	// Broadcast sends a message to every daemon with a session.
	Broadcast func(m *peerpb.Envelope)
	// Send sends a message to one of them.
	Send func(to string, m *peerpb.Envelope) error
	// IsKeeper reports whether this daemon is the one of all live daemons that writes a row again
	// after the table was restored. It is only required for TableRestored.
	IsKeeper func(key string) bool
	Table    provider.Table
	Logger   *eventlog.Logger
}

// Syncer keeps the quarantine tracker of a daemon in sync with its peers and the table.
// Its methods are safe for concurrent use.
type Syncer struct {
	Config
	// unsaved holds the notices of quarantined requests that RunTable has to write.
	unsaved *ring.Ring[quarantine.Notice]

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// relayedAt holds the times at which notices of peers were last relayed.
	relayedAt map[relayKey]time.Time
}

// New returns a Syncer with an empty tracker.
func New(config Config) *Syncer {
	return &Syncer{
		Config:    config,
		unsaved:   ring.New[quarantine.Notice](storeRingSize),
		tracker:   quarantine.New(quarantine.Options{}),
		relayedAt: make(map[relayKey]time.Time),
	}
}

// StateOf returns the quarantine state of a request with this fingerprint.
func (s *Syncer) StateOf(fingerprint uint64) quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.StateOf(fingerprint)
}

// RequestFinished clears a suspect request that finished.
func (s *Syncer) RequestFinished(fingerprint uint64) {
	s.mu.Lock()
	if s.tracker.StateOf(fingerprint) == quarantine.Clear {
		s.mu.Unlock()
		return
	}
	notices := s.tracker.RequestFinished(time.Now(), fingerprint)
	s.mu.Unlock()
	s.publish(notices)
}

// TargetLost reports the loss of a target and the fingerprints of the requests that ran on
// it.
func (s *Syncer) TargetLost(target string, fingerprints []uint64) {
	s.mu.Lock()
	notices := s.tracker.TargetLost(time.Now(), target, fingerprints)
	s.mu.Unlock()
	s.publish(notices)
}

// DiscountLoss withdraws the last loss of a target as evidence: the platform removed
// its VM, so the requests that ran there did not crash it.
func (s *Syncer) DiscountLoss(target string) {
	s.mu.Lock()
	notices := s.tracker.DiscountLoss(time.Now(), target)
	s.mu.Unlock()
	s.publish(notices)
}

// OnMessage merges a quarantine notice of a peer, and relays it if it changed the state of
// the request here. It reports whether the message was such a notice.
func (s *Syncer) OnMessage(m *peerpb.Envelope) bool {
	body, ok := m.Body.(*peerpb.Envelope_Suspicion)
	if !ok {
		return false
	}
	notice := quarantine.Notice{
		Fingerprint: body.Suspicion.Fingerprint,
		State:       stateFromWire(body.Suspicion.State),
		Targets:     body.Suspicion.Targets,
	}
	s.mu.Lock()
	before := s.tracker.StateOf(notice.Fingerprint)
	s.tracker.Merge(time.Now(), notice)
	after := s.tracker.StateOf(notice.Fingerprint)
	s.mu.Unlock()
	if before != after && s.shouldRelay(time.Now(), notice) {
		s.Broadcast(m)
	}
	return true
}

// maxToldNotices bounds the notices that a peer is told at the start of a session.
const maxToldNotices = 256

// SessionUp tells a peer the quarantined requests. It may have started, or been cut off,
// while they were told.
func (s *Syncer) SessionUp(peer string) {
	s.mu.Lock()
	notices := s.tracker.Quarantined(maxToldNotices)
	s.mu.Unlock()
	for _, n := range notices {
		// A peer that cannot be reached is told when its next session starts.
		_ = s.Send(peer, s.encodeNotice(n))
	}
}

func (s *Syncer) encodeNotice(n quarantine.Notice) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Suspicion{Suspicion: &peerpb.Suspicion{
		Fingerprint: n.Fingerprint,
		State:       wireState(n.State),
		Targets:     n.Targets,
		Origin:      s.Self,
	}}}
}

// relayInterval is the minimum time between two relays of the same notice by a daemon.
// Without it, two contradictory notices could be relayed endlessly, each one undoing the
// other.
const relayInterval = 2 * time.Second

// maxRelayedNotices bounds the size of Syncer.relayedAt.
const maxRelayedNotices = 10_000

// relayKey identifies a relayed notice.
type relayKey struct {
	fingerprint uint64
	state       quarantine.State
}

// shouldRelay reports whether a notice of a peer may be relayed now, and if so records the
// time.
func (s *Syncer) shouldRelay(now time.Time, n quarantine.Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := relayKey{n.Fingerprint, n.State}
	if now.Sub(s.relayedAt[key]) < relayInterval {
		return false
	}
	if len(s.relayedAt) >= maxRelayedNotices {
		clear(s.relayedAt)
	}
	s.relayedAt[key] = now
	return true
}

// publish broadcasts notices. Those of quarantined requests are also logged and queued for
// RunTable.
func (s *Syncer) publish(notices []quarantine.Notice) {
	for _, n := range notices {
		s.Broadcast(s.encodeNotice(n))
		if n.State != quarantine.Quarantined {
			continue
		}
		s.Logger.Emit(eventlog.RequestQuarantined, eventlog.Fields{
			"fingerprint": fmt.Sprintf("%016x", n.Fingerprint),
			"targets":     n.Targets,
		})
		s.unsaved.TryPush(n)
	}
}

// Run advances the tracker's time and broadcasts the resulting notices until the context
// ends.
func (s *Syncer) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tickInterval, func(now time.Time) {
		s.mu.Lock()
		notices := s.tracker.Tick(now)
		s.mu.Unlock()
		s.publish(notices)
	})
}

// RunTable reads the quarantined requests from the table once and then writes new ones,
// until the context ends. Failed calls are retried after storeRetryInterval.
func (s *Syncer) RunTable(ctx context.Context) error {
	for !s.load(ctx) {
		if !ctxtime.Sleep(ctx, storeRetryInterval) {
			return nil
		}
	}
	for {
		notice, err := s.unsaved.Pop(ctx)
		if err != nil {
			return nil
		}
		for !s.save(ctx, notice) {
			if !ctxtime.Sleep(ctx, storeRetryInterval) {
				return nil
			}
		}
	}
}

// TableRestored queues the quarantined requests whose rows this daemon keeps, since a restored table
// may have lost some. It does not block.
func (s *Syncer) TableRestored() {
	s.mu.Lock()
	notices := s.tracker.Quarantined(storeRingSize)
	s.mu.Unlock()
	for _, n := range notices {
		if s.IsKeeper(rowKey(n.Fingerprint)) {
			s.unsaved.TryPush(n)
		}
	}
}

// row is the table row of a quarantined request.
type row struct {
	Fingerprint uint64    `json:"fingerprint"`
	Targets     []string  `json:"targets"`
	Since       time.Time `json:"since"`
}

// load merges the rows of the table into the tracker, except unreadable and expired ones.
// It returns false if the table cannot be read.
func (s *Syncer) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.Table.List(ctx, tablePrefix, maxLoadedRows)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		var stored row
		if json.Unmarshal(r.Value, &stored) != nil || time.Since(stored.Since) > quarantine.DefaultExpiry {
			continue
		}
		s.tracker.Merge(time.Now(), quarantine.Notice{Fingerprint: stored.Fingerprint, State: quarantine.Quarantined, Targets: stored.Targets})
	}
	return true
}

// save writes the row of one quarantined request. It returns false if the write has to be
// retried. The write is unconditional, since it does not matter which daemon writes the
// row.
func (s *Syncer) save(ctx context.Context, n quarantine.Notice) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(row{Fingerprint: n.Fingerprint, Targets: n.Targets, Since: time.Now()})
	if err != nil {
		return true
	}
	err = s.Table.Commit(ctx, provider.Write{
		Key:           rowKey(n.Fingerprint),
		Value:         value,
		Unconditional: true,
	})
	return err == nil
}

// rowKey returns the key of the row of a quarantined request.
func rowKey(fingerprint uint64) string {
	return fmt.Sprintf("%s%016x", tablePrefix, fingerprint)
}

var wireStates = map[quarantine.State]peerpb.SuspicionState{
	quarantine.Clear:       peerpb.SuspicionState_SUSPICION_CLEARED,
	quarantine.Suspect:     peerpb.SuspicionState_SUSPICION_SUSPECT,
	quarantine.Pending:     peerpb.SuspicionState_SUSPICION_HELD,
	quarantine.Quarantined: peerpb.SuspicionState_SUSPICION_CONVICTED,
}

func wireState(s quarantine.State) peerpb.SuspicionState {
	return wireStates[s]
}

func stateFromWire(s peerpb.SuspicionState) quarantine.State {
	for state, wire := range wireStates {
		if wire == s {
			return state
		}
	}
	return quarantine.Clear
}
