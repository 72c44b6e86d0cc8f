package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
)

const (
	// changesWait is the time that one call for changes waits at the source. A
	// connection that has gone silent is noticed callSlack later, inside the time after
	// which a daemon whose connections broke has to be up to date, 4 s.
	changesWait = 2500 * time.Millisecond
	// callSlack is added to the wait for the answer itself.
	callSlack = 700 * time.Millisecond
	// shortTopic is the number of entries up to which a daemon reads a topic from the
	// source: 200 targets are 60 KB, which a link of 20 Mbit/s carries in 25 ms.
	shortTopic = 200
	// snapshotTimeout bounds one snapshot; a source bounds each of its calls itself.
	snapshotTimeout = 5 * time.Second
	// minRetry and maxRetry bound the pause after a failed call, which doubles.
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// outageTime is the time without an answer after which missing targets may
	// have lapsed only because they could not report to the source.
	outageTime = 3 * time.Second
	// returnTime is the time in which such targets are back after the source is.
	returnTime = 2 * time.Second
)

// WatcherConfig holds the parts of a Watcher. All are required.
type WatcherConfig struct {
	Source Source
	// Regions names the region of each data centre.
	Regions map[string]string
	// Install puts a checked set in force. It is called from one goroutine at a
	// time.
	Install func(set *object.Set, limits CallerLimits)
	// OnOrder is told every order of the operator.
	OnOrder func(Order)
	// Peers are the other daemons that follow the source.
	Peers Peers
	// Interval is the least time between two reads of changes. Changes that come
	// close together cost one call and one installation.
	Interval time.Duration
	// OnComplete is called once, when every topic was read and a set is in force. It may
	// be nil.
	OnComplete func()
	Logger     *eventlog.Logger
}

// Peers are the other daemons that follow the same source. Its methods are safe for
// concurrent use.
type Peers interface {
	// HasPoller reports whether a daemon that asks the source passes changes on to this
	// one.
	HasPoller() bool
	// AnnouncedRevision returns the newest revision of a topic that another daemon told.
	AnnouncedRevision(topic Topic) uint64
	// Pushes returns the changes of a topic that other daemons pass on.
	Pushes(topic Topic) <-chan Push
	// OnSourceAnswer is called with each answer of the source; a snapshot lists everything.
	OnSourceAnswer(topic Topic, batch Batch, snapshot bool)
	// OnPeerBatch is called when a batch of another daemon was applied; a snapshot lists
	// everything.
	OnPeerBatch(topic Topic, batch Batch, snapshot bool)
	// Snapshot returns everything of a topic as another daemon has it. False means that
	// the source has to be asked.
	Snapshot(ctx context.Context, topic Topic) (Batch, bool)
	// AwaitPoller waits at start until it is known whether another daemon passes changes on.
	AwaitPoller(ctx context.Context)
	// OnSourceFailure is called when the source did not answer.
	OnSourceFailure(topic Topic)
}

// Watcher follows a source. Its methods are safe for concurrent use.
type Watcher struct {
	WatcherConfig

	mu    sync.Mutex
	state *State
	// gone are registered targets that were missing after an outage, with the time
	// at which they are given up.
	gone map[string]time.Time
	last [topics]time.Time
	// away is since when the source may have been away; zero while it answers.
	away [topics]time.Time
	lost [topics]bool
	// whole are the topics of which a snapshot was applied.
	whole [topics]bool
}

// NewWatcher returns a watcher that knows nothing.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{
		WatcherConfig: config,
		state:         NewState(config.Regions),
		gone:          make(map[string]time.Time),
	}
}

// RunOperator follows the manifest and the orders until the context ends.
func (w *Watcher) RunOperator(ctx context.Context) error {
	return w.run(ctx, OperatorTopic)
}

// RunRegistry follows the targets until the context ends.
func (w *Watcher) RunRegistry(ctx context.Context) error {
	return w.run(ctx, RegistryTopic)
}

// SetMove sets the move of a service.
func (w *Watcher) SetMove(m Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.SetMove(m)
	w.install()
}

// run reads a snapshot and then changes, and begins anew when history is lost.
func (w *Watcher) run(ctx context.Context, topic Topic) error {
	revision, complete, often := uint64(0), false, false
	backoff := minRetry
	for ctx.Err() == nil {
		batch, pushed, err := w.read(ctx, topic, revision, complete, often)
		often = err != nil
		switch {
		case errors.Is(err, errRenew):
			continue
		case errors.Is(err, ErrHistoryLost):
			complete = false
			continue
		case err != nil:
			w.failed(ctx, topic, err)
			w.Peers.OnSourceFailure(topic)
			ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxRetry)
			continue
		}
		backoff = minRetry
		batch.AfterOutage = w.apply(time.Now(), topic, batch, !complete)
		if pushed {
			w.Peers.OnPeerBatch(topic, batch, !complete)
		} else {
			w.Peers.OnSourceAnswer(topic, batch, !complete)
		}
		if !complete {
			w.Peers.AwaitPoller(ctx)
		}
		if complete && len(batch.Records) > 0 {
			ctxtime.Sleep(ctx, w.Interval)
		}
		revision, complete = max(revision, batch.Revision), true
	}
	return nil
}

// read gets the next batch, from the source or pushed by another daemon. With often, it
// asks the source: the call before has failed, or something was missed.
func (w *Watcher) read(ctx context.Context, topic Topic, revision uint64, complete, often bool) (batch Batch, pushed bool, err error) {
	switch {
	case !complete:
		batch, pushed, err = w.snapshot(ctx, topic, revision)
	case topic == RegistryTopic && w.pending():
		batch, err = w.changes(ctx, topic, revision, returnTime/4)
	case !often && w.Peers.HasPoller():
		batch, err = w.awaitPush(ctx, topic, revision)
		pushed = true
	default:
		batch, err = w.changes(ctx, topic, revision, changesWait)
	}
	return batch, pushed, err
}

// snapshot reads a topic as a whole. A long one is taken from another daemon, whose copy
// must not be older than what this one had; the read from the source is the quicker one
// for a short topic, and the only one without other daemons.
func (w *Watcher) snapshot(ctx context.Context, topic Topic, revision uint64) (batch Batch, pushed bool, err error) {
	batch, whole, err := w.readSource(ctx, topic, shortTopic)
	if whole || err != nil {
		return batch, false, err
	}
	if batch, ok := w.Peers.Snapshot(ctx, topic); ok && batch.Revision >= revision {
		return batch, true, nil
	}
	batch, _, err = w.readSource(ctx, topic, 0)
	return batch, false, err
}

func (w *Watcher) readSource(ctx context.Context, topic Topic, most int) (Batch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return w.Source.Snapshot(ctx, topic, most)
}

func (w *Watcher) changes(ctx context.Context, topic Topic, revision uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return w.Source.Changes(ctx, topic, revision, wait)
}

// pending says whether targets wait to be given up.
func (w *Watcher) pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.gone) > 0
}

// doubt notes that the source may have been away since shortly before. The caller
// holds the lock.
func (w *Watcher) doubt(now time.Time, topic Topic) {
	if !w.away[topic].IsZero() {
		return
	}
	w.away[topic] = now.Add(-changesWait - callSlack)
	if last := w.last[topic]; last.After(w.away[topic]) {
		w.away[topic] = last
	}
}

// failed logs the first failure after a success.
func (w *Watcher) failed(ctx context.Context, topic Topic, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubt(time.Now(), topic)
	if w.lost[topic] || ctx.Err() != nil {
		return
	}
	w.lost[topic] = true
	w.Logger.EmitError(eventlog.SourceLost, err, eventlog.Fields{"topic": topic.String()})
}

// apply takes a batch. A snapshot lists everything, so what it lacks is gone. It reports
// whether the source was away before.
func (w *Watcher) apply(now time.Time, topic Topic, batch Batch, snapshot bool) (afterOutage bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	afterOutage = batch.AfterOutage || !w.last[topic].IsZero() && !w.away[topic].IsZero() && now.Sub(w.away[topic]) > changesWait+outageTime
	w.last[topic], w.away[topic] = now, time.Time{}
	if w.lost[topic] {
		w.lost[topic] = false
		w.Logger.Emit(eventlog.SourceBack, eventlog.Fields{"topic": topic.String(), "revision": batch.Revision})
	}
	changed := w.expire(now)
	listed := make(map[string]bool, len(batch.Records))
	for i := range batch.Records {
		listed[batch.Records[i].Key] = true
		if w.take(now, topic, &batch.Records[i], afterOutage) {
			changed = true
		}
	}
	if snapshot && topic == RegistryTopic {
		for _, id := range w.state.InstanceIDs() {
			if !listed[id] && w.drop(now, id, afterOutage) {
				changed = true
			}
		}
	}
	if changed {
		w.install()
	}
	w.whole[topic] = w.whole[topic] || snapshot
	if w.OnComplete != nil && w.state.Manifest() != nil && !slices.Contains(w.whole[:], false) {
		w.OnComplete()
		w.OnComplete = nil
	}
	return afterOutage
}

// take applies one entry and says whether the set may have changed.
func (w *Watcher) take(now time.Time, topic Topic, e *Record, afterOutage bool) bool {
	switch {
	case e.Err != nil:
		w.Logger.EmitError(eventlog.EntryRefused, e.Err, eventlog.Fields{"topic": topic.String(), "key": e.Key, "revision": e.Revision})
		return topic == RegistryTopic && w.drop(now, e.Key, false)
	case e.Deleted:
		return topic == RegistryTopic && w.drop(now, e.Key, afterOutage)
	case e.Instance != nil:
		delete(w.gone, e.Key)
		return w.takeInstance(e)
	case e.Manifest != nil:
		return w.takeManifest(e)
	case e.Order != nil:
		w.OnOrder(*e.Order)
	}
	return false
}

func (w *Watcher) takeInstance(e *Record) bool {
	if !w.state.SetInstance(*e.Instance) {
		return false
	}
	w.Logger.Emit(eventlog.TargetRegistered, eventlog.Fields{
		"target": e.Key, "service": e.Instance.Service, "address": e.Instance.Address,
		"version": e.Instance.Version, "draining": e.Instance.Draining, "revision": e.Revision,
	})
	return true
}

// takeManifest takes a newer manifest when the set that it leads to passes its
// check as a whole.
func (w *Watcher) takeManifest(e *Record) bool {
	trial := NewState(w.Regions)
	trial.SetManifest(e.Manifest)
	if problems := trial.Build().Check(); len(problems) > 0 {
		w.Logger.EmitError(eventlog.ManifestRefused, problems.Err(), eventlog.Fields{"version": e.Manifest.Version, "revision": e.Revision})
		return false
	}
	if !w.state.SetManifest(e.Manifest) {
		return false
	}
	w.Logger.Emit(eventlog.ManifestTaken, eventlog.Fields{"version": e.Manifest.Version, "revision": e.Revision})
	return true
}

// drop forgets a target. After an outage of the source it may only have lapsed,
// and is kept until it had the time to come back.
func (w *Watcher) drop(now time.Time, id string, afterOutage bool) bool {
	if _, known := w.state.Instance(id); !known {
		return false
	}
	if afterOutage {
		if _, waiting := w.gone[id]; !waiting {
			w.gone[id] = now.Add(returnTime)
		}
		return false
	}
	delete(w.gone, id)
	w.Logger.Emit(eventlog.TargetGone, eventlog.Fields{"target": id})
	return w.state.RemoveInstance(id)
}

// expire gives up targets that did not come back after an outage.
func (w *Watcher) expire(now time.Time) bool {
	changed := false
	for id, at := range w.gone {
		if !now.Before(at) {
			changed = w.drop(now, id, false) || changed
		}
	}
	return changed
}

// install checks the whole set and puts it in force. Targets that fail the check are
// left out: a row of another writer must not hold up the manifest. A set that fails
// all the same leaves the one in force.
func (w *Watcher) install() {
	set := w.state.Build()
	if set == nil {
		return
	}
	problems := set.Check()
	if faulty := faultyTargets(problems); len(faulty) > 0 {
		w.Logger.EmitError(eventlog.EntryRefused, problems.Err(), eventlog.Fields{"topic": RegistryTopic.String(), "targets": len(faulty)})
		set.Targets = slices.DeleteFunc(set.Targets, func(t object.Target) bool { return faulty[t.Name] })
		problems = set.Check()
	}
	if len(problems) > 0 {
		w.Logger.EmitError(eventlog.SetRefused, problems.Err(), nil)
		return
	}
	w.Install(set, w.state.Manifest().Limits)
}

// faultyTargets returns the names of the targets that problems are about.
func faultyTargets(problems object.Problems) map[string]bool {
	faulty := make(map[string]bool)
	for _, p := range problems {
		if p.Kind == object.KindTarget {
			faulty[p.Object] = true
		}
	}
	return faulty
}
