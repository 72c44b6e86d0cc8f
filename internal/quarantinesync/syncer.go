// Package quarantinesync shares the quarantine book of a daemon with its peers and
// with the table service. Every change is passed to all sessions at once; a
// daemon that learns something new passes it on, so that a notice reaches all
// reachable daemons over a few hops. Convictions are written to the table when it
// answers, and read at start.
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
	// tickInterval is the precision of the book's burst window.
	tickInterval = 250 * time.Millisecond
	// storeRing bounds convictions that wait for the table.
	storeRing = 1024
	// storeTimeout bounds one call of the table; storePause follows a failure.
	storeTimeout = 2 * time.Second
	storePause   = 5 * time.Second
	// tablePrefix is the prefix of the rows of convictions.
	tablePrefix = "quarantine/"
	// loadLimit bounds the convictions read at start.
	loadLimit = 10000
)

// Config holds the parts of a Syncer. All are required.
type Config struct {
	Self string
	// Broadcast sends a message to every daemon with a session.
	Broadcast func(m *peerpb.Envelope)
	Table     provider.Table
	Logger    *eventlog.Logger
}

// Syncer holds the book. Its methods are safe for concurrent use.
type Syncer struct {
	Config
	convicted *ring.Ring[quarantine.Notice]

	mu   sync.Mutex
	book *quarantine.Tracker
	// relayed holds when notices of peers were passed on last.
	relayed map[relay]time.Time
}

// New returns a duty with an empty book.
func New(config Config) *Syncer {
	return &Syncer{
		Config:    config,
		convicted: ring.New[quarantine.Notice](storeRing),
		book:      quarantine.New(quarantine.Options{}),
		relayed:   make(map[relay]time.Time),
	}
}

// Check says how a request with this fingerprint is to be treated.
func (d *Syncer) Check(fingerprint uint64) quarantine.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Check(fingerprint)
}

// RequestFinished clears a suspect that ran to its end.
func (d *Syncer) RequestFinished(fingerprint uint64) {
	d.mu.Lock()
	if d.book.Check(fingerprint) == quarantine.Clear {
		d.mu.Unlock()
		return
	}
	notices := d.book.RequestFinished(time.Now(), fingerprint)
	d.mu.Unlock()
	d.tell(notices)
}

// TargetLost takes the loss of a target with the requests that ran on it.
func (d *Syncer) TargetLost(target string, fingerprints []uint64) {
	d.mu.Lock()
	notices := d.book.TargetLost(time.Now(), target, fingerprints)
	d.mu.Unlock()
	d.tell(notices)
}

// DiscountLoss withdraws the last loss of a target as evidence: the platform removed
// its VM, so the requests that ran there did not crash it.
func (d *Syncer) DiscountLoss(target string) {
	d.mu.Lock()
	notices := d.book.DiscountLoss(time.Now(), target)
	d.mu.Unlock()
	d.tell(notices)
}

// OnMessage takes a notice of a peer, and passes it on when it was new.
func (d *Syncer) OnMessage(m *peerpb.Envelope) bool {
	body, ok := m.Body.(*peerpb.Envelope_Suspicion)
	if !ok {
		return false
	}
	notice := quarantine.Notice{
		Fingerprint: body.Suspicion.Fingerprint,
		State:       stateOf(body.Suspicion.State),
		Targets:     body.Suspicion.Targets,
	}
	d.mu.Lock()
	before := d.book.Check(notice.Fingerprint)
	d.book.Merge(time.Now(), notice)
	after := d.book.Check(notice.Fingerprint)
	d.mu.Unlock()
	if before != after && d.mayRelay(time.Now(), notice) {
		d.Broadcast(m)
	}
	return true
}

// relayInterval is the time in which a daemon passes the same notice on once. Notices
// of opposite content that meet would otherwise pass each other on for ever.
const relayInterval = 2 * time.Second

// maxRelays bounds the notices that are remembered.
const maxRelays = 10_000

// relay names a notice that was passed on.
type relay struct {
	fingerprint uint64
	state       quarantine.State
}

// mayRelay says whether a notice of a peer may be passed on now.
func (d *Syncer) mayRelay(now time.Time, n quarantine.Notice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := relay{n.Fingerprint, n.State}
	if now.Sub(d.relayed[key]) < relayInterval {
		return false
	}
	if len(d.relayed) >= maxRelays {
		clear(d.relayed)
	}
	d.relayed[key] = now
	return true
}

// tell spreads notices and keeps convictions for the table.
func (d *Syncer) tell(notices []quarantine.Notice) {
	for _, n := range notices {
		d.Broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Suspicion{Suspicion: &peerpb.Suspicion{
			Fingerprint: n.Fingerprint,
			State:       wireState(n.State),
			Targets:     n.Targets,
			Origin:      d.Self,
		}}})
		if n.State != quarantine.Quarantined {
			continue
		}
		d.Logger.Emit(eventlog.RequestQuarantined, eventlog.Fields{
			"fingerprint": fmt.Sprintf("%016x", n.Fingerprint),
			"targets":     n.Targets,
		})
		d.convicted.TryPush(n)
	}
}

// Run advances the book and writes convictions until the context ends.
func (d *Syncer) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tickInterval, func(now time.Time) {
		d.mu.Lock()
		notices := d.book.Tick(now)
		d.mu.Unlock()
		d.tell(notices)
	})
}

// RunStore reads the convictions of the table once and writes new ones.
func (d *Syncer) RunStore(ctx context.Context) error {
	for !d.load(ctx) {
		if !ctxtime.Sleep(ctx, storePause) {
			return nil
		}
	}
	for {
		notice, err := d.convicted.Pop(ctx)
		if err != nil {
			return nil
		}
		for !d.save(ctx, notice) {
			if !ctxtime.Sleep(ctx, storePause) {
				return nil
			}
		}
	}
}

// row is the table row of a conviction.
type row struct {
	Fingerprint uint64    `json:"fingerprint"`
	Targets     []string  `json:"targets"`
	Since       time.Time `json:"since"`
}

func (d *Syncer) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := d.Table.List(ctx, tablePrefix, loadLimit)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		var stored row
		if json.Unmarshal(r.Value, &stored) != nil || time.Since(stored.Since) > quarantine.DefaultExpiry {
			continue
		}
		d.book.Merge(time.Now(), quarantine.Notice{Fingerprint: stored.Fingerprint, State: quarantine.Quarantined, Targets: stored.Targets})
	}
	return true
}

// save writes one conviction. The write is the same whoever makes it, so it
// needs no condition.
func (d *Syncer) save(ctx context.Context, n quarantine.Notice) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(row{Fingerprint: n.Fingerprint, Targets: n.Targets, Since: time.Now()})
	if err != nil {
		return true
	}
	err = d.Table.Commit(ctx, provider.Write{
		Key:           fmt.Sprintf("%s%016x", tablePrefix, n.Fingerprint),
		Value:         value,
		Unconditional: true,
	})
	return err == nil
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

func stateOf(s peerpb.SuspicionState) quarantine.State {
	for state, wire := range wireStates {
		if wire == s {
			return state
		}
	}
	return quarantine.Clear
}
