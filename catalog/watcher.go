package catalog

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// changesWait is the time for which one call waits for changes at the source. A silent
	// connection is noticed callMargin later. Both together are less than 4 s, the time in
	// which a daemon whose connections broke has to be up to date.
	changesWait = 2500 * time.Millisecond
	// callMargin is the time, beyond the wait for changes, in which a call must be answered.
	callMargin = 700 * time.Millisecond
	// maxShortTopicRecords is the number of records up to which a daemon reads a topic from
	// the source and not from another daemon. 200 targets are 60 KB, which a link of
	// 20 Mbit/s carries in 25 ms.
	maxShortTopicRecords = 200
	// snapshotTimeout bounds the read of one snapshot. A source bounds each of the calls
	// that it makes for it.
	snapshotTimeout = 5 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call, which doubles
	// with each failure.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// outageThreshold is the time without an answer, beyond changesWait, after which targets
	// that are missing may have expired only because they could not report to the source.
	outageThreshold = 3 * time.Second
	// reregistrationTime is the time, from the first answer after an outage, in which such
	// targets register again.
	reregistrationTime = 2 * time.Second
)

// WatcherConfig holds the parts of a Watcher. All but OnComplete are required.
type WatcherConfig struct {
	Source Source
	// Regions holds the region of each data centre.
	Regions map[string]string
	// Install puts a validated set in force. It is called by one goroutine at a time.
	Install func(set *object.Set, limits CallerLimits)
	// OnOrder is called with each order of the operator that is read.
	OnOrder func(Order)
	// Peers are the other daemons that follow the source.
	Peers Peers
	// Interval is the pause after changes before the next read. Changes that come close
	// together then cost one call and one installation.
	Interval time.Duration
	// OnComplete is called once, when a snapshot of every topic has been applied and a
	// manifest is known. It may be nil.
	OnComplete func()
	Logger     *eventlog.Logger
}

// Peers are the other daemons that follow the same source. Its methods are safe for
// concurrent use.
type Peers interface {
	// HasPoller reports whether a daemon that reads the source pushes changes to this
	// one.
	HasPoller() bool
	// AnnouncedRevision returns the newest revision of a topic that another daemon
	// announced.
	AnnouncedRevision(topic Topic) uint64
	// Pushes returns the channel of the changes of a topic that other daemons push.
	Pushes(topic Topic) <-chan Push
	// OnSourceAnswer is called with each batch of the source after it was applied. If
	// snapshot is true, the batch is a complete snapshot of the topic, else changes.
	OnSourceAnswer(topic Topic, batch Batch, snapshot bool)
	// OnPeerBatch is called with each batch of another daemon after it was applied. If
	// snapshot is true, the batch is a complete snapshot of the topic, else changes.
	OnPeerBatch(topic Topic, batch Batch, snapshot bool)
	// Snapshot returns a complete snapshot of a topic from another daemon. It returns false
	// if none is available, so that the source has to be read.
	Snapshot(ctx context.Context, topic Topic) (Batch, bool)
	// AwaitPoller waits, after the first snapshot, until it is known whether another daemon
	// pushes changes.
	AwaitPoller(ctx context.Context)
	// OnSourceCall is called before a call for changes that the source has to answer in the
	// time wait, and before a snapshot is read again.
	OnSourceCall(topic Topic, wait time.Duration)
	// OnSourceFailure is called when a read of the source failed.
	OnSourceFailure(topic Topic)
	// SetLostRows is called with the operator's rows in force that the restored source lacks up to
	// a revision, when they change. Other daemons may not know these rows.
	SetLostRows(rows []Record, upTo uint64)
	// Relief returns the channel of the rows of a topic that other daemons send on request
	// while the source does not answer. A push without records that is not Whole confirms
	// that a daemon that follows the source has nothing newer.
	Relief(topic Topic) <-chan Push
}

// Watcher follows a source, keeps the last known state and installs the object set that
// results from it. Its methods are safe for concurrent use.
type Watcher struct {
	WatcherConfig

	mu    sync.Mutex
	state *State
	// pendingRemovals holds the registered targets that were missing after an outage, with
	// the times at which they are removed.
	pendingRemovals map[string]time.Time
	// lastAnswer is the time of the last batch, from the source or a peer.
	lastAnswer [topicCount]time.Time
	// unavailableSince is the time since which the source may have been unavailable. It is
	// zero while the source answers.
	unavailableSince [topicCount]time.Time
	// outageLogged is set from the first failed read to the next batch.
	outageLogged [topicCount]bool
	// snapshotApplied is set for the topics of which a snapshot was applied.
	snapshotApplied [topicCount]bool
	// revisions are the newest revisions of the batches applied.
	revisions [topicCount]uint64
	kept      *keptRows
	// toldLost is the number of lost rows and the revision that Peers were told last.
	toldLost struct {
		rows int
		upTo uint64
	}
	stats     Stats
	coldTimes *ColdTimes
}

// Stats holds totals since the watcher was created, and the version in force.
type Stats struct {
	// RefusedEntries counts the rows that could not be decoded, RefusedObjects the targets and
	// moves that were left out of a set, RefusedManifests the manifests that were not taken
	// and RefusedSets the sets that were not put in force.
	RefusedEntries, RefusedObjects, RefusedManifests, RefusedSets uint64
	// Version is the version of the manifest in force, 0 before the first one.
	Version uint64
	// Evacuations is the number of evacuations in force.
	Evacuations int
	// LostRows is the number of the operator's rows in force that the source lost when it was
	// restored, and that were not written again yet.
	LostRows int
}

// Stats returns a copy of the totals.
func (w *Watcher) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	if m := w.state.Manifest(); m != nil {
		stats.Version = m.Version
	}
	stats.Evacuations = len(w.state.EvacuationKeys())
	lost, _ := w.kept.lost()
	stats.LostRows = len(lost)
	return stats
}

// NewWatcher returns a watcher with an empty state.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{
		WatcherConfig:   config,
		state:           NewState(config.Regions),
		pendingRemovals: make(map[string]time.Time),
		kept:            newKeptRows(),
		coldTimes:       newColdTimes(),
	}
}

// ColdTimes returns what the registered targets report about their cold time.
func (w *Watcher) ColdTimes() *ColdTimes {
	return w.coldTimes
}

// RunOperator follows the manifest and the orders until the context ends. It returns nil.
func (w *Watcher) RunOperator(ctx context.Context) error {
	return w.run(ctx, OperatorTopic)
}

// RunRegistry follows the registered targets until the context ends. It returns nil.
func (w *Watcher) RunRegistry(ctx context.Context) error {
	return w.run(ctx, RegistryTopic)
}

// SetMove sets the move of a service and installs the resulting set.
func (w *Watcher) SetMove(m Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept.replacedBefore(m.Service, m.Replaced)
	w.state.SetMove(m)
	w.install()
}

// RegisteredVersions returns the versions of a service's registered targets, in order.
func (w *Watcher) RegisteredVersions(service string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.registeredVersions(service)
}

// run reads a snapshot of a topic and then changes. It reads a new snapshot when the source
// no longer has the changes after the last revision.
func (w *Watcher) run(ctx context.Context, topic Topic) error {
	revision, haveSnapshot, askSource := uint64(0), false, false
	backoff, pause := minRetryPause, time.Duration(0)
	// historyLosses counts how often the history was lost without changes in between.
	historyLosses := 0
	for ctx.Err() == nil {
		next, err := w.nextBatch(ctx, topic, revision, haveSnapshot, askSource, pause)
		askSource, pause = err != nil, 0
		switch {
		case errors.Is(err, errAskSource):
			continue
		case errors.Is(err, ErrHistoryLost):
			haveSnapshot = false
			if historyLosses++; historyLosses > 1 {
				pause = backoff/2 + rand.N(backoff)
				backoff = min(2*backoff, maxRetryPause)
			}
			w.Peers.OnSourceCall(topic, pause+snapshotTimeout)
			continue
		case err != nil && ctx.Err() != nil:
			return nil
		case err != nil:
			w.recordFailure(ctx, topic, err)
			w.Peers.OnSourceFailure(topic)
			askSource = !w.Peers.HasPoller() || w.Peers.AnnouncedRevision(topic) > revision
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxRetryPause)
			continue
		}
		if next.relief {
			// The source has not answered, so it is asked as after a failure.
			askSource, pause = true, backoff/2+rand.N(backoff)
		} else {
			if haveSnapshot {
				backoff, historyLosses = minRetryPause, 0
			}
			w.recordAnswer(topic, next.Revision)
		}
		next.AfterOutage = w.apply(time.Now(), topic, next.Batch, next.snapshot)
		w.tellLostRows()
		if next.pushed {
			w.Peers.OnPeerBatch(topic, next.Batch, next.snapshot)
		} else {
			w.Peers.OnSourceAnswer(topic, next.Batch, next.snapshot)
		}
		if !haveSnapshot && !next.relief {
			w.Peers.AwaitPoller(ctx)
		}
		if haveSnapshot && len(next.Records) > 0 {
			ctxtime.Sleep(ctx, w.Interval)
		}
		revision, haveSnapshot = max(revision, next.Revision), true
	}
	return nil
}

// nextBatch returns the next batch. It reads a snapshot if there is none yet, else changes.
// With askSource, it reads changes from the source and does not wait for pushes: the previous
// call failed or a push was missed. The source is then asked without a wait for changes, so
// that a missing answer tells at once that it withholds them. While missing targets are to be
// removed, it reads the registry's changes with a short wait. The source is asked after the
// pause.
func (w *Watcher) nextBatch(ctx context.Context, topic Topic, revision uint64, haveSnapshot, askSource bool, pause time.Duration) (update, error) {
	wait := changesWait
	switch {
	case !haveSnapshot:
		return w.readUnlessRelieved(ctx, topic, revision, false, pause, func(ctx context.Context) (update, error) {
			batch, pushed, err := w.readSnapshot(ctx, topic, revision)
			return update{Batch: batch, pushed: pushed, snapshot: true}, err
		})
	case topic == RegistryTopic && w.hasPendingRemovals():
		wait = reregistrationTime / 4
	case askSource:
		wait = 0
	case w.Peers.HasPoller():
		return w.awaitPush(ctx, topic, revision)
	}
	return w.readUnlessRelieved(ctx, topic, revision, true, pause, func(ctx context.Context) (update, error) {
		w.Peers.OnSourceCall(topic, wait)
		batch, err := w.readChanges(ctx, topic, revision, wait)
		return update{Batch: batch}, err
	})
}

// readSnapshot reads a snapshot of a topic and reports whether it comes from another daemon.
// A short topic is read from the source, which is quicker. A long one is read from another
// daemon, whose snapshot must not be older than the revision that this daemon had, and from
// the source only if no daemon has one.
func (w *Watcher) readSnapshot(ctx context.Context, topic Topic, revision uint64) (batch Batch, pushed bool, err error) {
	batch, complete, err := w.readSource(ctx, topic, maxShortTopicRecords)
	if complete || err != nil {
		return batch, false, err
	}
	if batch, ok := w.Peers.Snapshot(ctx, topic); ok && batch.Revision >= revision {
		return batch, true, nil
	}
	batch, _, err = w.readSource(ctx, topic, 0)
	return batch, false, err
}

// readSource reads a snapshot from the source, in at most snapshotTimeout.
func (w *Watcher) readSource(ctx context.Context, topic Topic, maxRecords int) (Batch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return w.Source.Snapshot(ctx, topic, maxRecords)
}

// readChanges reads changes from the source, in at most the wait and callMargin. A call
// without a wait gets as much time as one with changesWait, since it may return as many rows.
func (w *Watcher) readChanges(ctx context.Context, topic Topic, revision uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(wait, changesWait)+callMargin)
	defer cancel()
	return w.Source.Changes(ctx, topic, revision, wait)
}

// hasPendingRemovals reports whether missing targets are kept until their removal is due.
func (w *Watcher) hasPendingRemovals() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pendingRemovals) > 0
}

// markUnavailable records that the source may be unavailable: since the start of a call that
// ends now without an answer, or since the last answer if that was later. An earlier mark is
// kept. The caller holds mu.
func (w *Watcher) markUnavailable(now time.Time, topic Topic) {
	if !w.unavailableSince[topic].IsZero() {
		return
	}
	w.unavailableSince[topic] = now.Add(-changesWait - callMargin)
	if lastAnswer := w.lastAnswer[topic]; lastAnswer.After(w.unavailableSince[topic]) {
		w.unavailableSince[topic] = lastAnswer
	}
}

// recordFailure marks the source as unavailable and logs the first failure after a success.
func (w *Watcher) recordFailure(ctx context.Context, topic Topic, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.markUnavailable(time.Now(), topic)
	if w.outageLogged[topic] || ctx.Err() != nil {
		return
	}
	w.outageLogged[topic] = true
	w.Logger.EmitError(eventlog.SourceLost, err, eventlog.Fields{"topic": topic.String()})
}

// recordAnswer logs the first batch of the source or of a poller after a failure.
func (w *Watcher) recordAnswer(topic Topic, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outageLogged[topic] {
		w.outageLogged[topic] = false
		w.Logger.Emit(eventlog.SourceBack, eventlog.Fields{"topic": topic.String(), "revision": revision})
	}
}

// apply applies a batch and installs the resulting set if it changed. Targets that are not in
// a snapshot of the registry are removed. It reports whether the source was unavailable, or
// restored from an older copy, before.
func (w *Watcher) apply(now time.Time, topic Topic, batch Batch, snapshot bool) (afterOutage bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	afterOutage = batch.AfterOutage || !w.lastAnswer[topic].IsZero() && !w.unavailableSince[topic].IsZero() && now.Sub(w.unavailableSince[topic]) > changesWait+outageThreshold
	w.lastAnswer[topic], w.unavailableSince[topic] = now, time.Time{}
	restored := w.snapshotApplied[topic] && provider.Era(batch.Revision) > provider.Era(w.revisions[topic])
	afterOutage = afterOutage || restored
	w.revisions[topic] = max(w.revisions[topic], batch.Revision)
	changed := w.removeExpired(now)
	listed := make(map[string]bool, len(batch.Records))
	for i := range batch.Records {
		listed[batch.Records[i].Key] = true
		if batch.Records[i].Instance != nil {
			w.coldTimes.record(now, &batch.Records[i], !snapshot && !afterOutage)
			if restored {
				w.keepDraining(batch.Records[i].Instance)
			}
		}
		if w.applyRecord(now, topic, &batch.Records[i], afterOutage) {
			changed = true
		}
	}
	if snapshot && w.removeUnlisted(now, topic, listed, batch.Revision, afterOutage) {
		changed = true
	}
	if changed {
		w.install()
	}
	w.snapshotApplied[topic] = w.snapshotApplied[topic] || snapshot
	if w.OnComplete != nil && w.state.Manifest() != nil && !slices.Contains(w.snapshotApplied[:], false) {
		w.OnComplete()
		w.OnComplete = nil
	}
	return afterOutage
}

// applyRecord applies one record and reports whether the set may have changed. The caller
// holds mu.
func (w *Watcher) applyRecord(now time.Time, topic Topic, r *Record, afterOutage bool) bool {
	if topic == OperatorTopic && r.Err == nil && !w.kept.take(*r) {
		return false
	}
	return w.putInForce(now, topic, r, afterOutage)
}

// putInForce is applyRecord for a row that takes effect. The caller holds mu.
func (w *Watcher) putInForce(now time.Time, topic Topic, r *Record, afterOutage bool) bool {
	switch {
	case r.Err != nil:
		w.stats.RefusedEntries++
		w.Logger.EmitError(eventlog.EntryRefused, r.Err, eventlog.Fields{"topic": topic.String(), "key": r.Key, "revision": r.Revision})
		return topic == RegistryTopic && w.removeTarget(now, r.Key, false)
	case r.Deleted && topic == OperatorTopic:
		return w.endEvacuation(r.Key)
	case r.Deleted:
		return w.removeTarget(now, r.Key, afterOutage)
	case r.Instance != nil:
		delete(w.pendingRemovals, r.Key)
		return w.applyInstance(r)
	case r.Manifest != nil:
		return w.applyManifest(r)
	case r.Order != nil:
		order := *r.Order
		order.Revision = r.Revision
		w.OnOrder(order)
		return w.state.noteOrder(order)
	case r.Evacuation != nil:
		return w.beginEvacuation(r)
	}
	return false
}

// removeUnlisted removes what a snapshot of a topic does not list and reports whether the set
// may have changed. The caller holds mu.
func (w *Watcher) removeUnlisted(now time.Time, topic Topic, listed map[string]bool, revision uint64, afterOutage bool) (changed bool) {
	if topic == OperatorTopic {
		for _, key := range w.kept.unlisted(listed, revision) {
			changed = w.endEvacuation(key) || changed
		}
		return changed
	}
	for _, id := range w.state.InstanceIDs() {
		changed = !listed[id] && w.removeTarget(now, id, afterOutage) || changed
	}
	return changed
}

// TakeLostRows puts rows of the operator in force that another daemon knows and that the restored
// source did not have up to a revision.
func (w *Watcher) TakeLostRows(rows []Record, upTo uint64) {
	w.mu.Lock()
	changed := false
	for i := range rows {
		if rows[i].Err == nil && w.kept.takeLost(rows[i], upTo) {
			changed = w.putInForce(time.Now(), OperatorTopic, &rows[i], false) || changed
		}
	}
	if changed {
		w.install()
	}
	w.mu.Unlock()
	w.tellLostRows()
}

// tellLostRows passes the lost rows to Peers if they have changed.
func (w *Watcher) tellLostRows() {
	w.mu.Lock()
	rows, upTo := w.kept.lost()
	changed := w.toldLost.rows != len(rows) || w.toldLost.upTo != upTo
	w.toldLost.rows, w.toldLost.upTo = len(rows), upTo
	w.mu.Unlock()
	if changed {
		w.Peers.SetLostRows(rows, upTo)
	}
}

// keepDraining keeps a target draining whose entry in the restored source is older than its
// report to drain. The caller holds mu.
func (w *Watcher) keepDraining(i *Instance) {
	if known, registered := w.state.Instance(i.ID); registered && known.StartedAt.Equal(i.StartedAt) {
		i.Draining = i.Draining || known.Draining
	}
}

// beginEvacuation puts an evacuation in force and reports whether anything changed. The caller
// holds mu.
func (w *Watcher) beginEvacuation(r *Record) bool {
	if !w.state.SetEvacuation(r.Key, *r.Evacuation) {
		return false
	}
	w.Logger.Emit(eventlog.EvacuationBegun, eventlog.Fields{"dataCentre": r.Evacuation.DataCentre, "revision": r.Revision})
	return true
}

// endEvacuation ends the evacuation of a row and reports whether there was one. The caller
// holds mu.
func (w *Watcher) endEvacuation(key string) bool {
	e, known := w.state.EndEvacuation(key)
	if known {
		w.Logger.Emit(eventlog.EvacuationEnded, eventlog.Fields{"dataCentre": e.DataCentre})
	}
	return known
}

// applyInstance registers a target and reports whether anything changed. The caller holds mu.
func (w *Watcher) applyInstance(r *Record) bool {
	if !w.state.SetInstance(*r.Instance) {
		return false
	}
	w.Logger.Emit(eventlog.TargetRegistered, eventlog.Fields{
		"target": r.Key, "service": r.Instance.Service, "address": r.Instance.Address,
		"version": r.Instance.Version, "draining": r.Instance.Draining, "revision": r.Revision,
	})
	return true
}

// applyManifest replaces the manifest by a newer one, provided that the set that results from
// it without targets is valid. It reports whether it did. The caller holds mu.
func (w *Watcher) applyManifest(r *Record) bool {
	candidate := NewState(w.Regions)
	candidate.SetManifest(r.Manifest)
	if problems := candidate.Build().Check(); len(problems) > 0 {
		w.stats.RefusedManifests++
		w.Logger.EmitError(eventlog.ManifestRefused, problems.Err(), eventlog.Fields{"version": r.Manifest.Version, "revision": r.Revision})
		return false
	}
	if !w.state.SetManifest(r.Manifest) {
		return false
	}
	w.Logger.Emit(eventlog.ManifestTaken, eventlog.Fields{"version": r.Manifest.Version, "revision": r.Revision})
	return true
}

// removeTarget removes a target and reports whether it was removed. After an outage of the
// source, the target may have expired only because it could not report, and is kept for
// reregistrationTime. The caller holds mu.
func (w *Watcher) removeTarget(now time.Time, id string, afterOutage bool) bool {
	if _, known := w.state.Instance(id); !known {
		return false
	}
	if afterOutage {
		if _, pending := w.pendingRemovals[id]; !pending {
			w.pendingRemovals[id] = now.Add(reregistrationTime)
		}
		return false
	}
	delete(w.pendingRemovals, id)
	w.coldTimes.forget(id)
	w.Logger.Emit(eventlog.TargetGone, eventlog.Fields{"target": id})
	return w.state.RemoveInstance(id)
}

// removeExpired removes the targets that did not register again after an outage, and reports
// whether there were any. The caller holds mu.
func (w *Watcher) removeExpired(now time.Time) bool {
	changed := false
	for id, removeAt := range w.pendingRemovals {
		if !now.Before(removeAt) {
			changed = w.removeTarget(now, id, false) || changed
		}
	}
	return changed
}

// install validates the whole set and puts it in force. Targets and moves that fail validation
// are left out, so that a row of another writer or an order does not block the manifest. If the
// set is still invalid, the set in force stays. The caller holds mu.
func (w *Watcher) install() {
	set := w.state.Build()
	if set == nil {
		return
	}
	problems := set.Check()
	if faultyTargets, faultyMoves := faultyObjects(problems); len(faultyTargets)+len(faultyMoves) > 0 {
		w.stats.RefusedObjects += uint64(len(faultyTargets) + len(faultyMoves))
		w.Logger.EmitError(eventlog.ObjectsLeftOut, problems.Err(), eventlog.Fields{"targets": len(faultyTargets), "moves": len(faultyMoves)})
		set.Targets = slices.DeleteFunc(set.Targets, func(t object.Target) bool { return faultyTargets[t.Name] })
		set.Moves = slices.DeleteFunc(set.Moves, func(m object.Move) bool { return faultyMoves[m.Name] })
		problems = set.Check()
	}
	if len(problems) > 0 {
		w.stats.RefusedSets++
		w.Logger.EmitError(eventlog.SetRefused, problems.Err(), nil)
		return
	}
	w.Install(set, w.state.Manifest().Limits)
}

// faultyObjects returns the names of the targets and of the moves that have problems.
func faultyObjects(problems object.Problems) (targets, moves map[string]bool) {
	targets, moves = make(map[string]bool), make(map[string]bool)
	for _, p := range problems {
		switch p.Kind {
		case object.KindTarget:
			targets[p.Object] = true
		case object.KindMove:
			moves[p.Object] = true
		}
	}
	return targets, moves
}
